//! Measures the request path at idle, and how long it takes to recover from silent connections.

use std::fmt::Write;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use hdrhistogram::Histogram;
use hyper::Method;
use pistachiostair::{JobPhase, Millis};
use serde_json::{Value, json};

use crate::bench::Bench;
use crate::caller::{Order, Told};
use crate::launch::{START, Setup};
use crate::server::ask;

/// Client account of the orders.
const ACCOUNT: &str = "court";
/// Longest wait for the end of an order.
const WAIT: Millis = Millis(30_000);
/// Pause between two measurements of a recovery, in which all connections settle.
const SETTLE: Duration = Duration::from_secs(3);

/// Measures with `samples` requests of each kind and `rounds` silences of each connection; returns lines for people.
///
/// # Errors
///
/// If a process does not start or a request fails.
pub fn measure_path(samples: usize, rounds: usize) -> Result<String> {
    let bench = Bench::start(Setup {
        workers: 1,
        platform_relays: true,
        worker_relays: true,
        ..Setup::default()
    })?;
    let account = json!({"metadata": {"name": ACCOUNT}, "spec": {}});
    let put = || bench.block(bench.caller.put(0, "/v1/accounts/court", &account)).is_ok();
    bench.await_that("the account is accepted", START, put)?;
    let known = || {
        let list = bench.block(bench.caller.read(0, "/v1/workers")).unwrap_or_default();
        list["items"].as_array().is_some_and(|items| items.len() == 1)
    };
    bench.await_that("the worker is known", START, known)?;
    let leader = bench.leader()?;
    let other = (leader + 1) % 3;
    order(&bench, other, "first")?;

    let mut text = format!("{:<42}{:>10}{:>10}{:>10}\n", "microseconds", "median", "99%", "max");
    let mut row = |name: &str, request: &dyn Fn(usize) -> Result<()>| -> Result<()> {
        let mut times = Histogram::<u64>::new(3)?;
        for index in 0..samples {
            let since = Instant::now();
            request(index)?;
            times.record(since.elapsed().as_micros() as u64)?;
        }
        let (median, high) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        writeln!(text, "{name:<42}{median:>10}{high:>10}{:>10}", times.max())?;
        Ok(())
    };
    let worker = |_| -> Result<()> {
        let path = "/v1/changes?after=0&wait=0";
        let _: Value = bench.block(ask(&bench.client, bench.worker(0), Method::GET, path, &()))?;
        Ok(())
    };
    let read = |entry: usize, path: &'static str| {
        let bench = &bench;
        move |_| bench.block(bench.caller.read(entry, path)).map(drop)
    };
    row("worker, asked directly", &worker)?;
    row("entry daemon alone", &read(other, "/v1/members"))?;
    row("entry daemon, which is the scheduler", &read(leader, "/v1/workers"))?;
    row("entry daemon, scheduler", &read(other, "/v1/workers"))?;
    row("order at the scheduler", &|index| {
        order(&bench, leader, &format!("near-{index}"))
    })?;
    row("order at another daemon", &|index| {
        order(&bench, other, &format!("far-{index}"))
    })?;

    writeln!(
        text,
        "milliseconds from the silence to the answer of an order sent then"
    )?;
    for (name, relay) in [
        ("worker", None),
        ("store, of the scheduler", Some(leader)),
        ("store, of the entry", Some(other)),
    ] {
        let mut times = Vec::new();
        for round in 0..rounds {
            thread::sleep(SETTLE);
            match relay {
                None => bench.worker_relay(0, "silence")?,
                Some(daemon) => bench.platform_relay(daemon, "silence")?,
            }
            let since = Instant::now();
            order(&bench, other, &format!("{}-{round}", name.replace([' ', ','], "")))?;
            times.push(since.elapsed().as_millis());
        }
        writeln!(text, "{name:<42}{times:?}")?;
    }
    Ok(text)
}

/// Sends an order that takes no time and waits for its end.
fn order(bench: &Bench, entry: usize, name: &str) -> Result<()> {
    let order = Order::new(ACCOUNT, name, "1x1", 0);
    let mut told = bench.block(bench.caller.submit(entry, &order, WAIT));
    let since = Instant::now();
    while !matches!(&told, Told::Job(_)) && since.elapsed() < WAIT.duration() {
        // The key makes it safe to ask again.
        told = bench.block(bench.caller.submit(entry, &order, WAIT));
    }
    let succeeded = matches!(&told, Told::Job(job) if job.status.phase == JobPhase::Succeeded);
    ensure!(succeeded, "{name}: {told:?}");
    Ok(())
}
