//! The demo: a gang and an order on real processes.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use anyhow::{Context, Result};
use pistachiostair::{Job, JobPhase, Millis, WatchLine, WorkerName};
use serde_json::json;

use crate::bench::Bench;
use crate::caller::{Order, Settled};
use crate::check::{check_gangs, check_settled, gang_parts};
use crate::launch::Setup;

/// Time within which the demo's jobs must end.
const LIMIT: Millis = Millis(30_000);
/// Time for the last lines of the watch to arrive.
const WATCH_TAIL: Duration = Duration::from_millis(500);

/// Runs the demo. With `keep`, the processes are left running and their addresses are printed.
///
/// # Errors
///
/// If a process does not start, the gang did not run whole, or the order did not get its own answer.
pub fn run_demo(keep: bool) -> Result<()> {
    let bench = Bench::start(Setup::default())?;
    println!(
        "platform, 3 workers and 3 daemons serve; settings and logs are in {}",
        bench.dir().display()
    );
    let jobs = apply_jobs(&bench)?;
    let log = bench.log()?;
    check_settled(&log, &jobs)?;
    check_gangs(&log, &jobs)?;
    report(&bench, &jobs)?;
    if keep {
        print_addresses(bench);
    }
    Ok(())
}

fn apply_jobs(bench: &Bench) -> Result<Vec<Settled>> {
    let caller = &bench.caller;
    let account = json!({"metadata": {"name": "court"}, "spec": {"weight": 2}});
    bench.block(caller.put(0, "/v1/accounts/court", &account))?;
    println!("applied client account court");
    let guarantee = json!({"metadata": {"name": "hearing"}, "spec": {"account": "court", "shape": "1x4"}});
    bench.await_that("the guarantee is accepted", Duration::from_secs(15), || {
        bench.block(caller.put(1, "/v1/guarantees/hearing", &guarantee)).is_ok()
    })?;
    println!("applied guarantee hearing: shape 1x4 for court");
    let revision = bench.block(caller.read(2, "/v1/jobs"))?["revision"]
        .as_u64()
        .context("a list has a revision")?;
    watch_jobs(bench.api(2), revision)?;
    let gang = Order::new("court", "gang", "2x4", 500);
    let order = Order::new("court", "order", "1x1", 100);
    let (first, second) = (caller.clone(), caller.clone());
    let gang = bench.spawn(async move { first.settle(0, gang, LIMIT).await });
    let order = bench.spawn(async move { second.settle(1, order, LIMIT).await });
    let jobs = vec![bench.block(gang), bench.block(order)];
    thread::sleep(WATCH_TAIL);
    Ok(jobs)
}

fn report(bench: &Bench, jobs: &[Settled]) -> Result<()> {
    let gangs = gang_parts(&bench.log()?);
    for settled in jobs {
        let job = settled.job.as_ref().context("no job")?;
        let (name, status) = (&settled.order.name, &job.status);
        anyhow::ensure!(
            status.phase == JobPhase::Succeeded,
            "{name} ended as {:?}: {}",
            status.phase,
            status.reason
        );
        let parts = gangs
            .get(&(status.id, status.attempt))
            .map_or(0, |gang| gang.succeeded.len());
        let answer = status.answer.as_deref().unwrap_or_default();
        println!(
            "{name}: the workers' logs show {parts} of {} parts; its caller got {answer:?} after {}",
            job.spec.shape.workers, settled.took
        );
    }
    Ok(())
}

/// Prints what a watch shows, in the background, until the daemon closes it or the demo ends.
fn watch_jobs(api: &str, revision: u64) -> Result<()> {
    let mut stream = TcpStream::connect(api)?;
    write!(
        stream,
        "GET /v1/jobs?watch={revision} HTTP/1.1\r\nhost: {api}\r\nconnection: close\r\n\r\n"
    )?;
    thread::spawn(move || {
        let lines = BufReader::new(stream).lines().map_while(Result::ok);
        // The other lines are the head of the response and the lengths of its chunks.
        for line in lines.filter(|line| line.starts_with('{')) {
            if let Some(summary) = summarize(&line) {
                println!("watch: {summary}");
            }
        }
    });
    Ok(())
}

fn summarize(line: &str) -> Option<String> {
    let line: WatchLine<Job> = serde_json::from_str(line).ok()?;
    let job = line.object?;
    let workers: Vec<&str> = job.status.workers.iter().map(WorkerName::as_str).collect();
    let (name, phase, workers) = (&job.metadata.name, job.status.phase, workers.join(", "));
    Some(format!(
        "revision {}: {name} is {phase:?} on [{workers}]",
        line.revision
    ))
}

fn print_addresses(bench: Bench) {
    println!("platform {}", bench.platform());
    for index in 0..3 {
        println!("worker w{index} {}", bench.worker(index));
    }
    for index in 0..3 {
        println!("daemon d{index} api={} admin={}", bench.api(index), bench.admin(index));
    }
    let processes = bench.keep();
    let ids: Vec<String> = processes.iter().map(|(_, id)| id.to_string()).collect();
    println!("left running; end them with: kill {}", ids.join(" "));
}
