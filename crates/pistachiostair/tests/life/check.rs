//! The checker: rules that hold after every run, whatever faults struck.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{
    Batch, Command, CommandBatch, JobId, JobPhase, Millis, Ran, Record, RegionState, Seq, TaskId, TaskState,
    Transaction,
};
use standin::{LogEntry, LogKind};

use super::world::World;

/// Most by which the wall clocks of two daemons may differ.
pub const DISAGREE: Millis = Millis(600_000);
/// Lease of a task, the margin of a slower clock, and the delay of a message.
const LEASE: Millis = Millis(15_000 + 1_000);

/// One run of a task, from its begin to its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: TaskId,
    pub worker: String,
    pub begin: Millis,
    pub end: Millis,
    pub state: Option<TaskState>,
    pub payload: String,
    pub incarnation: u64,
}

/// Has every start run at once, for a trial of the checker.
pub fn let_go(batch: &mut CommandBatch) {
    for command in &mut batch.commands {
        if let Command::Start(start) = command {
            start.held = false;
        }
    }
}

/// No write of an older term takes effect, and no term goes backwards.
pub fn check_write(world: &mut World, transaction: &Transaction) {
    for write in &transaction.writes {
        let value = write.value.as_deref().unwrap_or_default();
        if write.key.starts_with("term/") {
            let term = pistachiostair::Term(value.parse().unwrap_or(0));
            if world.terms.last().is_some_and(|last| *last >= term) {
                world
                    .wrong
                    .push(format!("term {term} was written after {:?}", world.terms.last()));
            }
            world.terms.push(term);
        } else if write.key.starts_with("snapshot/") {
            world.snapshots += 1;
        } else if write.key.starts_with("journal/") && write.value.is_none() {
            world.deleted += 1;
        } else if write.key.starts_with("journal/")
            && let Ok(batch) = Batch::parse(value)
        {
            if world.terms.last() != Some(&batch.term) {
                let last = world.terms.last();
                let text = format!("row {} of term {} after {last:?}", write.key, batch.term);
                world.wrong.push(text);
            }
            let seq = write.key.rsplit('/').next().and_then(|seq| seq.parse().ok());
            let row = (world.now, value.to_owned());
            world.history.insert(Seq(seq.unwrap_or(0)), row);
        }
    }
}

/// A takeover reads what all committed rows amount to.
pub fn check_load(world: &mut World, snapshot: Option<&[u8]>, rows: &[(Seq, String)]) {
    let mut whole = RegionState::default();
    for (seq, (_, text)) in &world.history {
        fold(&mut whole, *seq, text);
    }
    let read = snapshot.map_or_else(|| Ok(RegionState::default()), RegionState::decode);
    let Ok(mut read) = read else {
        return world.wrong.push("a takeover read a damaged snapshot".to_owned());
    };
    for (seq, text) in rows {
        fold(&mut read, *seq, text);
    }
    if read != whole {
        let text = format!("a takeover read row {} of {} or another state", read.seq, whole.seq);
        world.wrong.push(text);
    }
}

fn fold(state: &mut RegionState, seq: Seq, text: &str) {
    if let Ok(batch) = Batch::parse(text) {
        state.fold_batch(seq, &batch);
    }
}

/// Everything that ran, and what started without running.
pub fn logs(world: &World) -> Vec<(Vec<LogEntry>, Millis)> {
    world
        .workers
        .iter()
        .flat_map(|worker| {
            let current = (worker.log(), world.now);
            worker.old.iter().cloned().chain([current])
        })
        .collect()
}

pub fn runs(world: &World) -> Vec<Run> {
    let mut runs = Vec::new();
    for (log, until) in logs(world) {
        for entry in log.iter().filter(|entry| entry.kind == LogKind::Begin) {
            let end = log
                .iter()
                .find(|other| other.kind == LogKind::End && other.task == entry.task && other.at >= entry.at);
            runs.push(Run {
                task: entry.task,
                worker: entry.worker.to_string(),
                begin: entry.at,
                end: end.map_or(until, |end| end.at),
                state: end.map(|end| end.state),
                payload: entry.payload.clone().unwrap_or_default(),
                incarnation: entry.incarnation.0,
            });
        }
    }
    runs
}

/// Violations of all rules.
pub fn violations(world: &World) -> Vec<String> {
    let mut wrong = world.wrong.clone();
    let runs = runs(world);
    check_once(world, &runs, &mut wrong);
    check_alternate(&runs, &mut wrong);
    check_gangs(world, &runs, &mut wrong);
    check_told(world, &mut wrong);
    check_refusals(world, &runs, &mut wrong);
    check_answers(world, &mut wrong);
    check_terms(world, &mut wrong);
    check_keys(world, &mut wrong);
    check_kept(world, &mut wrong);
    check_deadlines(world, &mut wrong);
    if world.guarantees > 1 {
        wrong.push("two operators created the same guarantee".to_owned());
    }
    wrong
}

/// Work that is not idempotent runs at most once.
fn check_once(world: &World, runs: &[Run], wrong: &mut Vec<String>) {
    for client in world.clients.iter().filter(|client| client.once) {
        // A submission after the first job was forgotten starts another one; `check_keys` sees to the rest.
        let again = world.retention.is_some();
        let mut parts: BTreeMap<(Option<JobId>, u32), Vec<&Run>> = BTreeMap::new();
        let own = format!("\"answer of {}\"", client.key);
        for run in runs.iter().filter(|run| run.payload.contains(&own)) {
            let job = again.then_some(run.task.job);
            parts.entry((job, run.task.part)).or_default().push(run);
        }
        for ((_, part), runs) in parts {
            if runs.len() > 1 {
                wrong.push(format!(
                    "part {part} of {} ran {} times: {runs:?}",
                    client.key,
                    runs.len()
                ));
            }
        }
    }
}

/// Work that may run again never runs twice at the same time.
fn check_alternate(runs: &[Run], wrong: &mut Vec<String>) {
    for (index, run) in runs.iter().enumerate() {
        for other in &runs[index + 1..] {
            let same = run.task.job == other.task.job && run.task.part == other.task.part;
            if same && run.begin < other.end && other.begin < run.end {
                wrong.push(format!("two runs at a time: {run:?} {other:?}"));
            }
        }
    }
}

fn key_of(world: &World, job: JobId) -> String {
    let client = world.clients.iter().find(|client| client.accepted == Some(job));
    client.map_or_else(|| format!("job {job}"), |client| client.key.clone())
}

/// No part runs before the whole gang was started, or beyond the task lease without the whole gang.
fn check_gangs(world: &World, runs: &[Run], wrong: &mut Vec<String>) {
    let starts: Vec<LogEntry> = logs(world)
        .into_iter()
        .flat_map(|(log, _)| log)
        .filter(|entry| entry.kind == LogKind::Start)
        .collect();
    for run in runs {
        let parts = gang_size(world, run);
        for part in (0..parts).filter(|part| *part != run.task.part) {
            let mate = TaskId { part, ..run.task };
            if !starts.iter().any(|entry| entry.task == mate && entry.at <= run.begin) {
                let key = key_of(world, run.task.job);
                wrong.push(format!(
                    "part {} of {key} ran before part {part} was held",
                    run.task.part
                ));
            }
            let alone = alone(run, runs.iter().filter(|other| other.task == mate));
            if alone > LEASE {
                let key = key_of(world, run.task.job);
                wrong.push(format!(
                    "part {} of {key} ran {alone} without part {part}",
                    run.task.part
                ));
            }
        }
    }
}

fn gang_size(world: &World, run: &Run) -> u32 {
    let client = world
        .clients
        .iter()
        .find(|client| run.payload.contains(&format!("\"answer of {}\"", client.key)));
    client.map_or(1, |client| client.spec.shape.workers)
}

/// Longest time for which `run` went on while its mate neither ran nor had succeeded.
fn alone<'a>(run: &Run, mates: impl Iterator<Item = &'a Run>) -> Millis {
    let mut covered: Vec<(Millis, Millis)> = mates
        .map(|mate| {
            let done = mate.state == Some(TaskState::Succeeded);
            (mate.begin, if done { Millis::MAX } else { mate.end })
        })
        .collect();
    covered.sort();
    let mut longest = Millis(0);
    let mut at = run.begin;
    for (begin, end) in covered {
        longest = longest.max(begin.min(run.end).since(at));
        at = at.max(end.min(run.end));
    }
    longest.max(run.end.since(at))
}

/// Every accepted job reaches an end that its caller is told.
fn check_told(world: &World, wrong: &mut Vec<String>) {
    for client in &world.clients {
        let must = !client.single || client.accepted.is_some();
        if must && client.told.is_none() {
            wrong.push(format!(
                "{} was not told its end; accepted {:?}",
                client.key, client.accepted
            ));
        }
    }
    for job in accepted(world).difference(&finished(world)) {
        wrong.push(format!("{} was accepted and has not ended", key_of(world, *job)));
    }
}

/// "Did not run" was true.
fn check_refusals(world: &World, runs: &[Run], wrong: &mut Vec<String>) {
    for client in &world.clients {
        let own = format!("\"answer of {}\"", client.key);
        let ran = runs.iter().any(|run| run.payload.contains(&own));
        let refused = client.accepted.is_none() && !client.doubt && client.refused.is_some();
        if refused && ran {
            wrong.push(format!("{} was refused with ran: no and ran", client.key));
        }
        let told = client.told.as_ref().map(|job| (job.status.phase, job.status.ran));
        // Where jobs are forgotten, a submission that came too late may have run as another job.
        let other = |run: &&Run| {
            world.retention.is_some() && client.told.as_ref().is_some_and(|job| job.status.id != run.task.job)
        };
        let ran = runs.iter().any(|run| run.payload.contains(&own) && !other(&run));
        if matches!(told, Some((_, Ran::No))) && ran {
            wrong.push(format!("{} ended as {told:?} and ran", client.key));
        }
        if matches!(told, Some((JobPhase::Succeeded, _))) && !ran {
            wrong.push(format!("{} succeeded and did not run", client.key));
        }
    }
}

/// Each answer went to its own caller, whole.
fn check_answers(world: &World, wrong: &mut Vec<String>) {
    for client in &world.clients {
        wrong.extend(client.wrong.iter().map(|text| format!("{}: {text}", client.key)));
    }
}

/// No worker carries out commands of an older term after a newer one.
fn check_terms(world: &World, wrong: &mut Vec<String>) {
    for worker in &world.workers {
        if !worker.terms.is_sorted() {
            wrong.push(format!("{} carried out terms {:?}", worker.info.name, worker.terms));
        }
    }
}

/// No submission of a caller whose job is still retained starts a second job. Callers are known by their payloads.
fn check_keys(world: &World, wrong: &mut Vec<String>) {
    let mut kept: BTreeMap<JobId, Option<String>> = BTreeMap::new();
    for record in records(world) {
        match record {
            Record::Accepted { job, key, spec, .. } => {
                if let Some(first) = kept.iter().find(|(_, other)| **other == spec.payload) {
                    wrong.push(format!("{key} started job {job} while job {} was kept", first.0));
                }
                kept.insert(job, spec.payload);
            }
            Record::Forgotten { jobs } => kept.retain(|job, _| !jobs.contains(job)),
            _ => {}
        }
    }
}

/// Ended jobs are kept for the whole retention, on the region's clock.
fn check_kept(world: &World, wrong: &mut Vec<String>) {
    let Some(span) = world.retention else {
        return;
    };
    let mut ended: BTreeMap<JobId, Millis> = BTreeMap::new();
    let batches = world.history.values().filter_map(|(_, text)| Batch::parse(text).ok());
    for batch in batches {
        for record in batch.records {
            match record {
                Record::Finished { job, .. } => {
                    ended.entry(job).or_insert(batch.wall);
                }
                Record::Forgotten { jobs } => {
                    let early = |job: &JobId| ended.get(job).is_none_or(|end| batch.wall.since(*end) < span);
                    let early = jobs.iter().filter(|job| early(job));
                    wrong.extend(early.map(|job| format!("{} was forgotten early", key_of(world, *job))));
                }
                _ => {}
            }
        }
    }
}

/// No job expires before its deadline, but for what the wall clocks of daemons may differ.
fn check_deadlines(world: &World, wrong: &mut Vec<String>) {
    for client in &world.clients {
        let (Some(deadline), Some(told)) = (client.spec.deadline, &client.told) else {
            continue;
        };
        let span = client.told_at.since(client.since);
        if told.status.phase == JobPhase::Expired && span + DISAGREE < deadline {
            wrong.push(format!("{} expired after {span} of {deadline}", client.key));
        }
    }
}

/// Ended jobs that were removed.
pub fn forgotten(world: &World) -> usize {
    let forgotten = |record: &Record| match record {
        Record::Forgotten { jobs } => jobs.len(),
        _ => 0,
    };
    records(world).iter().map(forgotten).sum()
}

fn records(world: &World) -> Vec<Record> {
    let rows = world.history.values();
    let batches = rows.filter_map(|(_, text)| Batch::parse(text).ok());
    batches.flat_map(|batch| batch.records).collect()
}

fn accepted(world: &World) -> BTreeSet<JobId> {
    let records = records(world);
    records
        .iter()
        .filter_map(|record| match record {
            Record::Accepted { job, .. } => Some(*job),
            _ => None,
        })
        .collect()
}

fn finished(world: &World) -> BTreeSet<JobId> {
    let records = records(world);
    records
        .iter()
        .filter_map(|record| match record {
            Record::Finished { job, .. } => Some(*job),
            _ => None,
        })
        .collect()
}
