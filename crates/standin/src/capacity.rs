//! Measures what a daemon spends on control with a number of workers and running tasks.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;
use hyper::Method;
use pistachiostair::{HttpCall, Millis};
use serde_json::json;

use crate::bench::Bench;
use crate::build::Build;
use crate::caller::Order;
use crate::launch::{REGION, START, Setup};
use crate::process::Process;

/// Slots of each worker, of which the scheduler keeps one for short work.
const SLOTS: u32 = 11;
/// Tasks started on each worker.
const TASKS: usize = 10;
/// Parts of the gangs that fill the workers.
const PARTS: usize = 100;
/// Run time of the tasks: longer than any measurement.
const RUNTIME_MS: u64 = 600_000;
/// Time for all tasks to run.
const FILL: Duration = Duration::from_secs(60);
/// Time after which start-up no longer shows in the figures.
const SETTLE: Duration = Duration::from_secs(5);

/// What one daemon spent.
#[derive(Clone, Debug, Default)]
struct Usage {
    cpu: f64,
    memory: f64,
    sent: f64,
    received: f64,
    term: f64,
    /// Bytes by label of the kind and direction.
    kinds: BTreeMap<String, f64>,
}

/// Starts `daemons` and `workers` identities in one process, runs tasks on them, and prints what
/// the scheduler's daemon and the others spend over `span`.
///
/// # Errors
///
/// If a process does not start or the tasks do not all run in time.
pub fn measure_capacity(daemons: usize, workers: usize, span: Duration) -> Result<String> {
    let bench = Bench::start(Setup {
        daemons,
        workers: 0,
        ..Setup::default()
    })?;
    let _workers = start_workers(&bench, workers)?;
    let account = json!({"metadata": {"name": "court"}, "spec": {"weight": 1}});
    bench.block(bench.caller.put(0, "/v1/accounts/court", &account))?;
    let tasks = fill(&bench, workers)?;
    thread::sleep(SETTLE);
    let before = read_all(&bench, daemons)?;
    let counts = bench.counts()?;
    let start = Instant::now();
    thread::sleep(span);
    let after = read_all(&bench, daemons)?;
    let store = bench.counts()?;
    let seconds = start.elapsed().as_secs_f64();
    let leader = after
        .iter()
        .position(|usage| usage.term > 0.0)
        .context("no daemon is the scheduler")?;
    let line = |label: &str, indexes: &[usize]| {
        let mean = |value: &dyn Fn(&Usage) -> f64, from: &[Usage]| {
            indexes.iter().map(|index| value(&from[*index])).sum::<f64>() / indexes.len() as f64
        };
        let rate = |value: &dyn Fn(&Usage) -> f64| (mean(value, &after) - mean(value, &before)) / seconds;
        format!(
            "| {workers} | {tasks} | {label} | {:.2} | {:.1} | {:.2} | {:.2} |\n",
            100.0 * rate(&|usage| usage.cpu),
            mean(&|usage| usage.memory, &after) / 1_048_576.0,
            rate(&|usage| usage.sent) / 1_000.0,
            rate(&|usage| usage.received) / 1_000.0,
        )
    };
    let others: Vec<usize> = (0..daemons).filter(|index| *index != leader).collect();
    let mut text = line("scheduler", &[leader]);
    text += &line("others, mean", &others);
    for (label, indexes) in [("scheduler", vec![leader]), ("others, mean", others)] {
        text += &kind_lines(label, &indexes, &before, &after, seconds);
    }
    text += &format!(
        "table service: {:.1} reads/s, {:.1} row writes/s for all daemons\n",
        (store.reads - counts.reads) as f64 / seconds,
        (store.row_writes - counts.row_writes) as f64 / seconds,
    );
    Ok(text)
}

/// Bytes a second by kind, largest first.
fn kind_lines(label: &str, indexes: &[usize], before: &[Usage], after: &[Usage], seconds: f64) -> String {
    let mut rates: BTreeMap<&str, f64> = BTreeMap::new();
    for index in indexes {
        for (kind, total) in &after[*index].kinds {
            let earlier = before[*index].kinds.get(kind).copied().unwrap_or_default();
            *rates.entry(kind).or_default() += (total - earlier) / seconds / indexes.len() as f64;
        }
    }
    let mut rates: Vec<(&str, f64)> = rates.into_iter().filter(|(_, rate)| *rate >= 1.0).collect();
    rates.sort_by(|a, b| b.1.total_cmp(&a.1));
    let lines = rates
        .iter()
        .map(|(kind, rate)| format!("  {label}: {kind} {rate:.0} B/s\n"));
    lines.collect()
}

/// The header of the table that [`measure_capacity`] prints rows of.
pub const CAPACITY_HEADER: &str = "| workers | tasks | daemon | CPU, % of a core | memory, MiB | sent, KB/s | received, KB/s |\n\
     | --- | --- | --- | --- | --- | --- | --- |";

fn start_workers(bench: &Bench, count: usize) -> Result<Process> {
    let (platform, number, slots) = (bench.platform().to_owned(), count.to_string(), SLOTS.to_string());
    let args = [
        "--name",
        "w",
        "--region",
        REGION,
        "--domain",
        "helsinki",
        "--rack",
        "r",
        "--slots",
        &slots,
        "--accelerators",
        "2",
        "--platform",
        &platform,
        "--count",
        &number,
        "--threads",
        "2",
    ];
    let process = Process::start("workers", Build::Own, "standin-worker", &args, bench.dir())?;
    for _ in 0..count {
        process.value("listening ", START)?;
    }
    Ok(process)
}

/// Submits gangs without accelerators until each worker runs [`TASKS`] tasks; gives the number of tasks.
fn fill(bench: &Bench, workers: usize) -> Result<usize> {
    let gangs = workers * TASKS / PARTS;
    for number in 0..gangs {
        let name = format!("gang-{number}");
        let order = Order::new("court", &name, &format!("{PARTS}x0"), RUNTIME_MS);
        bench.block(bench.caller.submit(number % 3, &order, Millis::ZERO));
    }
    let tasks = gangs * PARTS;
    bench.await_that("all tasks run", FILL, || {
        let listed = bench.block(bench.caller.read(0, "/v1/workers"));
        let running: u64 = listed
            .ok()
            .and_then(|list| {
                Some(
                    list["items"]
                        .as_array()?
                        .iter()
                        .filter_map(|w| w["tasks"].as_u64())
                        .sum(),
                )
            })
            .unwrap_or_default();
        running as usize >= tasks
    })?;
    Ok(tasks)
}

fn read_all(bench: &Bench, daemons: usize) -> Result<Vec<Usage>> {
    (0..daemons).map(|index| read_usage(bench, index)).collect()
}

fn read_usage(bench: &Bench, daemon: usize) -> Result<Usage> {
    let call = HttpCall {
        method: Method::GET,
        path: "/metrics",
        headers: &[],
        body: Bytes::new(),
        timeout: Millis(5_000),
    };
    let answer = bench.block(bench.client.send(bench.admin(daemon), call))?;
    let text = String::from_utf8_lossy(&answer.body);
    let value = |name: &str| -> Result<f64> {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.with_context(|| format!("{name} is missing"))?
            .trim()
            .parse()
            .context("not a number")
    };
    let kinds = text.lines().filter_map(|line| {
        let (kind, total) = line
            .strip_prefix("pistachiostair_control_kind_bytes_total")?
            .rsplit_once(' ')?;
        Some((kind.to_owned(), total.parse().ok()?))
    });
    Ok(Usage {
        kinds: kinds.collect(),
        cpu: value("pistachiostair_process_cpu_seconds_total ")?,
        memory: value("pistachiostair_process_resident_bytes ")?,
        sent: value("pistachiostair_control_bytes_total{direction=\"sent\"} ")?,
        received: value("pistachiostair_control_bytes_total{direction=\"received\"} ")?,
        term: value("pistachiostair_scheduler_term ")?,
    })
}
