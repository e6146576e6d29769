//! Measures what a takeover costs at the size to design for: bytes of the snapshot and of the journal rows after it, the
//! time to encode, transfer and decode them, and the peak memory of the process that decodes them. Prints a table for
//! `docs/CAPACITY.md`.
//!
//! A child process decodes, so that its memory holds nothing else. Transfer times are calculated from the bytes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pistachiostair::{
    Batch, Demand, Event, Incarnation, JobKey, Millis, QueueSettings, Record, RegionState, RunOutcome, Scheduler, Seq,
    StartRecord, Step, StepJob, StepRecord, TaskKey, Term,
};
use serde::{Deserialize, Serialize};

/// Jobs that are known, ended ones among them.
const JOBS: u64 = 10_000;

/// Tasks that are running.
const RUNNING_TASKS: u64 = 11_000;

/// Gangs among the running jobs, and the members of each.
const GANGS: u64 = 40;
const GANG_SIZE: u32 = 128;

/// Workers.
const WORKERS: u64 = 1_000;

/// Bytes of the text that a job passes to its tasks.
const PAYLOAD_BYTES: usize = 200;

/// Records in one journal row.
const ROW_RECORDS: usize = 10;

/// Limits of one reply of the store.
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Bandwidths of links, in megabits a second.
const LINKS: [u64; 3] = [10, 200, 1_000];

/// Repetitions, of which the least time is printed.
const REPETITIONS: usize = 5;

/// A row as it is in a reply of the store.
#[derive(Serialize, Deserialize)]
struct RowBody {
    table: String,
    part: String,
    key: String,
    value: String,
    row_version: u64,
}

/// What the child process measures.
#[derive(Serialize, Deserialize)]
struct Decoded {
    page_time: Duration,
    fold_time: Duration,
    /// Resident memory before the pages are decoded, and its highest value afterwards, in KiB.
    memory_before: u64,
    memory_peak: u64,
}

fn main() -> anyhow::Result<()> {
    match std::env::args().nth(1) {
        Some(dir) => {
            println!("{}", serde_json::to_string(&decode(Path::new(&dir))?)?);
            Ok(())
        }
        None => report(),
    }
}

/// Writes the state to files, has a child process decode them, and prints the table.
fn report() -> anyhow::Result<()> {
    let dir = std::env::temp_dir().join(format!("takeover-costs-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    println!(
        "| rows after the snapshot | snapshot, KB | rows, KB | rows in replies, KB | encode, ms | 10 Mbit/s, ms | \
         200 Mbit/s, ms | 1,000 Mbit/s, ms | replies, ms | fold, ms | memory, MiB | peak, MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let state = state();
    let begun = Instant::now();
    let snapshot = state.encode();
    let encoded = begun.elapsed();
    // The next snapshot is due at half the bytes of the last one, and after a number of rows in any case.
    for tail_bytes in [0, snapshot.len() / 2, snapshot.len()] {
        let rows = tail(&state, tail_bytes);
        let pages = pages(&rows)?;
        std::fs::write(dir.join("snapshot"), &snapshot)?;
        std::fs::write(dir.join("pages"), serde_json::to_string(&pages)?)?;
        let decoded = (0..REPETITIONS)
            .map(|_| run_child(&dir))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let least = |time: fn(&Decoded) -> Duration| decoded.iter().map(time).min().unwrap_or_default();
        let most = |memory: fn(&Decoded) -> u64| decoded.iter().map(memory).max().unwrap_or(0) / 1024;
        let page_bytes: usize = pages.iter().map(String::len).sum();
        let bytes = snapshot.len() + page_bytes;
        let [slow, strong, fast] = LINKS.map(|mbps| bytes as u64 * 8 / (mbps * 1_000));
        println!(
            "| {} | {} | {} | {} | {} | {slow} | {strong} | {fast} | {} | {} | {} | {} |",
            rows.len(),
            snapshot.len() / 1_000,
            rows.iter().map(|(_, text)| text.len()).sum::<usize>() / 1_000,
            page_bytes / 1_000,
            encoded.as_millis(),
            least(|decoded| decoded.page_time).as_millis(),
            least(|decoded| decoded.fold_time).as_millis(),
            most(|decoded| decoded.memory_before),
            most(|decoded| decoded.memory_peak),
        );
    }
    std::fs::remove_dir_all(dir)?;
    Ok(())
}

/// Runs the child process on the files in `dir`.
fn run_child(dir: &Path) -> anyhow::Result<Decoded> {
    let output = std::process::Command::new(std::env::current_exe()?).arg(dir).output()?;
    anyhow::ensure!(output.status.success(), "the child process failed: {}", output.status);
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Decodes the files in `dir` as a daemon that was elected does.
fn decode(dir: &Path) -> anyhow::Result<Decoded> {
    let snapshot = std::fs::read(dir.join("snapshot"))?;
    let pages: Vec<String> = serde_json::from_slice(&std::fs::read(dir.join("pages"))?)?;
    let memory_before = memory("VmRSS:")?;
    let begun = Instant::now();
    let mut rows = Vec::new();
    for page in pages {
        for row in serde_json::from_str::<Vec<RowBody>>(&page)? {
            rows.push((Seq(row.row_version), String::from_utf8(STANDARD.decode(&row.value)?)?));
        }
    }
    let page_time = begun.elapsed();
    let begun = Instant::now();
    let mut scheduler = Scheduler::new("fi".into());
    let event = Event::Elected {
        term: Term(2),
        fence: 1,
        snapshot: Some(snapshot),
        rows,
        wall: Millis(1),
    };
    scheduler.on(Millis(0), event);
    let fold_time = begun.elapsed();
    anyhow::ensure!(scheduler.stats().is_some(), "the scheduler did not take over");
    Ok(Decoded {
        page_time,
        fold_time,
        memory_before,
        memory_peak: memory("VmHWM:")?,
    })
}

/// A line of `/proc/self/status`, in KiB.
fn memory(name: &str) -> anyhow::Result<u64> {
    let path = PathBuf::from("/proc/self/status");
    let status = std::fs::read_to_string(path)?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.trim().strip_suffix("kB"));
    Ok(value.unwrap_or_default().trim().parse()?)
}

/// A job of one step with `count` tasks.
fn job(key: u64, count: u32) -> StepJob {
    StepJob {
        key: JobKey(key),
        account: format!("team-{}", key % 34).as_str().into(),
        queue: "urgent".into(),
        base_url: String::new(),
        settings: QueueSettings {
            service: "svc".into(),
            ..QueueSettings::default()
        },
        payload: "p".repeat(PAYLOAD_BYTES),
        steps: vec![Step {
            count,
            demand: Demand {
                millicores: 4_000,
                memory: 8_192,
                accelerators: 1,
            },
            estimate: Millis(9_400),
            gang: count > 1,
            same_rack: count > 1,
            checkpointing: true,
            ..Step::default()
        }],
        recurrence: None,
    }
}

/// Starts of all tasks of a job.
fn starts(key: u64, count: u32) -> Record {
    let start = |index: u32| StartRecord {
        task: task(key, index),
        run: 1,
        worker: format!("worker-{}", (key + u64::from(index)) % WORKERS).as_str().into(),
        incarnation: Incarnation(1_000),
    };
    Record::Steps(StepRecord::Started {
        starts: (0..count).map(start).collect(),
    })
}

fn task(key: u64, index: u32) -> TaskKey {
    TaskKey {
        job: JobKey(key),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn accepted(key: u64, count: u32) -> Record {
    Record::Steps(StepRecord::Accepted {
        job: Box::new(job(key, count)),
    })
}

fn ended(key: u64) -> Record {
    Record::Steps(StepRecord::Ended {
        task: task(key, 0),
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
        crash: None,
        late: false,
        cleared: false,
        refuted: None,
        doubt: None,
        verdict: None,
    })
}

/// The state at the size to design for: gangs and single tasks run, and the other jobs have ended.
fn state() -> RegionState {
    let singles = RUNNING_TASKS - GANGS * u64::from(GANG_SIZE);
    let mut state = RegionState::default();
    for key in 0..JOBS {
        let count = if key < GANGS { GANG_SIZE } else { 1 };
        let mut records = vec![accepted(key, count), starts(key, count)];
        if key >= GANGS + singles {
            records.push(ended(key));
        }
        state.fold_batch(Seq(key + 1), &batch(key + 1, records));
    }
    state
}

fn batch(seq: u64, records: Vec<Record>) -> Batch {
    Batch {
        write: format!("1-{seq}"),
        term: Term(1),
        wall: Millis(seq),
        records,
    }
}

/// Journal rows of at least this many bytes after the state: jobs that are accepted, started and done.
fn tail(state: &RegionState, bytes: usize) -> Vec<(Seq, String)> {
    let mut rows = Vec::new();
    let mut written = 0;
    let mut records = (JOBS..).flat_map(|key| [accepted(key, 1), starts(key, 1), ended(key)]);
    while written < bytes {
        let seq = state.seq.0 + 1 + rows.len() as u64;
        let text = batch(seq, records.by_ref().take(ROW_RECORDS).collect()).text();
        written += text.len();
        rows.push((Seq(seq), text));
    }
    rows
}

/// The rows as the store returns them, in pages.
fn pages(rows: &[(Seq, String)]) -> anyhow::Result<Vec<String>> {
    let mut pages: Vec<Vec<RowBody>> = Vec::new();
    let mut bytes = 0;
    for (seq, text) in rows {
        let value = STANDARD.encode(text);
        bytes += value.len();
        let full = pages
            .last()
            .is_none_or(|page| page.len() == MAX_PAGE_ROWS || bytes > MAX_PAGE_BYTES);
        if full {
            pages.push(Vec::new());
            bytes = value.len();
        }
        let row = RowBody {
            table: "journal".to_owned(),
            part: "fi".to_owned(),
            key: format!("{:016}", seq.0),
            value,
            row_version: seq.0,
        };
        if let Some(page) = pages.last_mut() {
            page.push(row);
        }
    }
    Ok(pages.iter().map(serde_json::to_string).collect::<Result<_, _>>()?)
}
