//! Measures what the journal costs: row writes, the read of a takeover, and the time from a
//! scheduler's death to the next start. Prints a table; `docs/journal.md` quotes it.

#[path = "../tests/life/mod.rs"]
mod life;

use std::time::Instant;

use life::world::spec;
use life::{Fault, World};
use pistachiostair::{Batch, Event, JobId, JobPhase, JobSpec, Millis, Ran, Record, RegionState, Scheduler, Seq, Term};
use standin::LogKind;

/// Workers of a small region: room for the whole burst at once.
const WORKERS: usize = 130;

fn main() {
    writes("one job at a time", 50, 400, false);
    writes("100 jobs in a second", 100, 10, false);
    writes("1,000 jobs in a second", 1_000, 1, false);
    writes("50 gangs of 4, one at a time", 50, 400, true);
    idle();
    for jobs in [1_000, 2_000, 5_000, 10_000, 20_000] {
        takeover(jobs);
    }
    for fault in [Fault::SchedulerDies, Fault::GracefulStop] {
        failover(fault);
    }
}

/// Row writes for `jobs` jobs that arrive `gap` milliseconds apart.
fn writes(name: &str, jobs: u64, gap: u64, gangs: bool) {
    let mut world = World::with_workers(1, WORKERS);
    let shape = if gangs { "4x1" } else { "1x1" };
    for index in 0..jobs {
        let key = format!("j{index}");
        world.add_client(
            &key,
            spec(&key, shape, 2_000, false, false),
            false,
            10_000 + index * gap,
        );
    }
    world.run(Millis(9_000));
    world.settle(Millis(120_000));
    let rows = world.rows("journal/fi/");
    let records: usize = rows
        .iter()
        .filter_map(|row| Batch::parse(&row.value).ok())
        .map(|batch| batch.records.len())
        .sum();
    let done = world.clients.iter().filter(|client| client.told.is_some()).count();
    let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
    let peak = world.by_second.values().max().copied().unwrap_or(0);
    println!(
        "writes, {name}: {done} done, {} journal rows = {:.2} per job, {records} records = {:.2} per job, \
         {} bytes per job, peak {peak} row writes in a second",
        rows.len(),
        rows.len() as f64 / jobs as f64,
        records as f64 / jobs as f64,
        bytes / jobs as usize,
    );
}

/// Row writes of a region with one long job and nothing else.
fn idle() {
    let mut world = World::new(1);
    world.add_client("long", spec("long", "1x1", 600_000, false, false), false, 8_000);
    world.run(Millis(20_000));
    let before = (world.writes, world.lease_writes);
    world.run(Millis(120_000));
    println!(
        "writes, idle for 100 s with one job running: {} rows, of which {} lease renewals",
        world.writes - before.0,
        world.lease_writes - before.1
    );
}

/// Rows of a journal with `jobs` jobs, half of them ended; about ten records in a row.
fn journal(jobs: u64) -> Vec<(Seq, String)> {
    let job_spec: JobSpec = spec("job", "1x1", 1_000, true, false);
    let mut records = Vec::new();
    for number in 1..=jobs {
        let job = JobId(number);
        records.push(Record::Accepted {
            job,
            name: format!("j{number}").as_str().into(),
            key: format!("k{number}"),
            spec: Box::new(job_spec.clone()),
        });
        if number % 2 == 0 {
            records.push(Record::Finished {
                job,
                phase: JobPhase::Succeeded,
                ran: Ran::Yes,
                answer: Some("answer of job".to_owned()),
                stored: false,
                reason: String::new(),
            });
        }
    }
    let batches = records.chunks(10).zip(1..).map(|(chunk, seq)| {
        let batch = Batch {
            write: format!("1-{seq}"),
            term: Term(1),
            wall: Millis(seq),
            records: chunk.to_vec(),
        };
        (Seq(seq), batch.text())
    });
    batches.collect()
}

/// What a takeover reads and how long it computes, from rows only and from a snapshot.
fn takeover(jobs: u64) {
    let rows = journal(jobs);
    let bytes: usize = rows.iter().map(|(_, text)| text.len()).sum();
    let mut state = RegionState::default();
    for (seq, text) in &rows {
        state.fold_batch(*seq, &Batch::parse(text).expect("a valid row"));
    }
    let started = Instant::now();
    let snapshot = state.encode();
    let encoded = started.elapsed();
    let elect = |snapshot: Option<Vec<u8>>, rows: Vec<(Seq, String)>| {
        let mut scheduler = Scheduler::new("fi".into());
        let started = Instant::now();
        let event = Event::Elected {
            term: Term(2),
            fence: 1,
            snapshot,
            rows,
            wall: Millis(1),
        };
        scheduler.on(Millis(0), event);
        started.elapsed()
    };
    let count = rows.len();
    let from_rows = elect(None, rows);
    let size = snapshot.len();
    let from_snapshot = elect(Some(snapshot), Vec::new());
    println!(
        "takeover, {jobs} jobs: rows only {count} rows, {} KiB, {from_rows:.1?}; snapshot {} KiB, written in \
         {encoded:.1?}, {from_snapshot:.1?}; a row per job would be {jobs} rows",
        bytes / 1024,
        size / 1024,
    );
}

/// Virtual time from the end of the scheduler to the first begin of a job, with one submission every
/// 100 ms at the other daemon, so that no caller's time-out is part of it.
fn failover(fault: Fault) {
    const CALLERS: u64 = 100;
    let mut spans: Vec<u64> = Vec::new();
    for offset in 0..40 {
        let at = 12_000 + offset * 37;
        let mut world = World::new(offset);
        world.run(Millis(at - 1));
        let leader = world.leader().expect("a scheduler");
        for index in 0..CALLERS {
            let key = format!("urgent{index}");
            world.add_client(&key, spec(&key, "1x1", 100, false, false), true, index * 100);
            if let Some(client) = world.clients.last_mut() {
                client.target = 1 - leader;
            }
        }
        world.inject(fault);
        world.run(Millis(at + 20_000));
        let logs = life::check::logs(&world);
        let begins = logs
            .iter()
            .flat_map(|(log, _)| log)
            .filter(|entry| entry.kind == LogKind::Begin);
        spans.extend(begins.map(|entry| entry.at.0 - at).min());
    }
    spans.sort_unstable();
    println!(
        "failover, {fault:?}: {} of 40 started; until the start {} ms least, {} ms median, {} ms most",
        spans.len(),
        spans.first().copied().unwrap_or(0),
        spans.get(spans.len() / 2).copied().unwrap_or(0),
        spans.last().copied().unwrap_or(0),
    );
}
