//! Compares what callers were told with what ran on the workers.

use std::collections::{BTreeMap, BTreeSet};

use hyper::{Method, StatusCode};
use pistachiostair::{JobKey, Millis, RunOutcome, TaskKey};

use super::calls::{Attempt, Record};
use crate::node_fleet::{EVACUATE_TIME, worker_zone};
use crate::step_worker::StepWorkers;

/// Runs of a task that may fail before its job has failed, as in the configuration.
const MAX_ATTEMPTS: usize = 2;
/// Time after the acknowledgement of a cancellation from which on none of the job's tasks may start.
const CANCEL_TIME: Millis = Millis(3_000);
/// Time after an acceptance from which on the job is known everywhere.
const VISIBLE_TIME: Millis = Millis(3_000);
/// Time after a job was shown as completed from which on none of its tasks may start.
const COMPLETED_SLACK: Millis = Millis(1_000);

/// A time in which a daemon does not have to answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) daemon: usize,
    pub(crate) from: Millis,
    pub(crate) to: Millis,
}

/// A time for which a failure domain, given by its number, was evacuated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evacuation {
    pub(crate) domain: usize,
    pub(crate) from: Millis,
    pub(crate) to: Millis,
}

/// Starts and ends of the runs of one job, in their order.
type JobLog = Vec<(Millis, TaskKey, u32, Option<RunOutcome>)>;

/// The promises that were broken, as lines of text.
pub(crate) fn judge(records: &[Record], workers: &StepWorkers, disturbances: &[Disturbance]) -> Vec<String> {
    let mut logs: BTreeMap<JobKey, JobLog> = BTreeMap::new();
    for entry in &workers.log {
        logs.entry(entry.1.job).or_default().push(*entry);
    }
    let mut broken = workers.violations.clone();
    for record in records {
        let log = logs.get(&record.job.key).map_or(&[][..], Vec::as_slice);
        let faults = judge_calls(record, disturbances)
            .into_iter()
            .chain(judge_end(record, log))
            .chain(judge_runs(record, log));
        broken.extend(faults.map(|fault| format!("job {}: {fault}", record.job.key)));
    }
    broken
}

/// Starts that were ordered in evacuated domains later than the bound allows. An order that a worker executed late does
/// not count. One that arrived after the domain was taken back may have been sent after it as well.
pub(crate) fn judge_evacuations(evacuations: &[Evacuation], workers: &StepWorkers) -> Vec<String> {
    let mut broken = Vec::new();
    for Evacuation { domain, from, to } in evacuations {
        let late = workers.orders.iter().filter(|(sent, arrived, worker)| {
            let number = worker.as_str().trim_start_matches('w').parse().ok();
            number.map(worker_zone) == Some(worker_zone(*domain)) && *sent > *from + EVACUATE_TIME && arrived < to
        });
        broken.extend(late.map(|(sent, arrived, worker)| {
            format!(
                "start on {} sent at {sent}, there at {arrived}: evacuated from {from} to {to}",
                worker.as_str()
            )
        }));
    }
    broken
}

/// Answers that no caller may get, and answers that did not come.
fn judge_calls(record: &Record, disturbances: &[Disturbance]) -> Vec<String> {
    let mut faults = Vec::new();
    for attempt in &record.attempts {
        let disturbed = disturbances.iter().any(|disturbance| {
            disturbance.daemon == attempt.daemon && disturbance.from <= attempt.ended && attempt.sent <= disturbance.to
        });
        // Callers that are impatient on purpose see no answer.
        let impatient = record.job.patience == Some(attempt.patience);
        if attempt.is_unanswered() && !disturbed && !impatient {
            faults.push(format!("no answer: {attempt:?}"));
        }
    }
    let unexpected = record
        .attempts
        .iter()
        .find(|attempt| !attempt.status.is_none_or(|status| is_allowed(record, attempt, status)));
    faults.extend(unexpected.map(|attempt| format!("unexpected answer: {attempt:?}")));
    let ended: BTreeSet<&str> = record
        .attempts
        .iter()
        .filter_map(|attempt| attempt.state.as_deref())
        .filter(|state| !matches!(*state, "queued" | "running"))
        .collect();
    if ended.len() > 1 {
        faults.push(format!("shown as {ended:?}"));
    }
    faults
}

fn is_allowed(record: &Record, attempt: &Attempt, status: StatusCode) -> bool {
    match status {
        StatusCode::OK | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => true,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => true,
        StatusCode::GONE => {
            attempt.method != Method::POST
                && record
                    .accepted
                    .is_none_or(|accepted| attempt.sent < accepted + VISIBLE_TIME)
        }
        _ => false,
    }
}

/// Whether an accepted job ended, and as it may.
fn judge_end(record: &Record, log: &[(Millis, TaskKey, u32, Option<RunOutcome>)]) -> Option<String> {
    record.accepted?;
    let Some((_, state)) = &record.ended else {
        return Some(format!("accepted, but not ended; last calls {:?}", last(record)));
    };
    let count = |task: &TaskKey, wanted: RunOutcome| {
        log.iter()
            .filter(|(_, of, _, outcome)| of == task && *outcome == Some(wanted))
            .count()
    };
    match state.as_str() {
        "completed" => {
            let tasks: BTreeSet<TaskKey> = log.iter().map(|(_, task, ..)| *task).collect();
            let done = tasks.iter().filter(|task| count(task, RunOutcome::Done) > 0).count();
            let steps = record.job.steps;
            (done != (steps[0] + steps[1]) as usize).then(|| format!("shown as completed with {done} tasks done"))
        }
        "failed" => {
            let exhausted = |(_, task, ..): &(Millis, TaskKey, u32, Option<RunOutcome>)| {
                count(task, RunOutcome::Failed) + count(task, RunOutcome::Broken) >= MAX_ATTEMPTS
            };
            (!log.iter().any(exhausted)).then(|| "shown as failed without failed runs".to_owned())
        }
        "canceled" => record
            .cancel_sent
            .is_none()
            .then(|| "shown as canceled without a cancellation".to_owned()),
        other => Some(format!("shown as {other:?}")),
    }
}

/// Runs that may not have started.
fn judge_runs(record: &Record, log: &[(Millis, TaskKey, u32, Option<RunOutcome>)]) -> Vec<String> {
    let mut faults = Vec::new();
    let starts = || log.iter().filter(|(.., outcome)| outcome.is_none());
    if record.is_refused() && starts().next().is_some() {
        faults.push(format!("refused, but ran; calls {:?}", last(record)));
    }
    let mut bar = |what: &str, from: Option<Millis>| {
        let late = starts().find(|(at, ..)| from.is_some_and(|from| *at > from));
        if let Some((at, task, run, _)) = late {
            faults.push(format!(
                "{task} run {run} starts at {at} after the job {what} at {from:?}"
            ));
        }
    };
    bar("was cancelled", record.cancelled.map(|at| at + CANCEL_TIME));
    let completed = record.ended.as_ref().filter(|(_, state)| state == "completed");
    bar("was completed", completed.map(|(at, _)| *at + COMPLETED_SLACK));
    let done: BTreeSet<TaskKey> = log
        .iter()
        .filter(|(.., outcome)| *outcome == Some(RunOutcome::Done))
        .map(|(_, task, ..)| *task)
        .collect();
    let second = starts().find(|(_, task, ..)| task.step == 1);
    if let Some((at, task, ..)) = second {
        let before = log
            .iter()
            .filter(|(ended, other, _, outcome)| other.step == 0 && *outcome == Some(RunOutcome::Done) && ended <= at);
        let before: BTreeSet<TaskKey> = before.map(|(_, task, ..)| *task).collect();
        if before.len() < record.job.steps[0] as usize {
            faults.push(format!("{task} starts at {at} before the first step is done: {done:?}"));
        }
    }
    faults
}

/// The last calls of a record, for a message.
fn last(record: &Record) -> &[Attempt] {
    &record.attempts[record.attempts.len().saturating_sub(3)..]
}
