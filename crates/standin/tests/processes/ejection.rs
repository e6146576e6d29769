//! Workers that answer some requests and fail others.

use std::time::Duration;

use pistachiostair::{JobPhase, Ran, WorkerName};
use serde_json::json;
use standin::{LogKind, Order, Setup, runs_of};

use crate::support::{ACCOUNT, Ready, all_succeeded, orders, wall};

/// Time within which a worker that fails most requests is ejected: 10 s in which failures count, 4 s in which a
/// failure may still belong to a silence, 2 s between reports.
const DETECTION: Duration = Duration::from_secs(16);
/// Time within which a worker that failed two rounds of probes is readmitted: 10 s and 3 probes, 1 s apart.
const READMISSION: Duration = Duration::from_secs(20);

/// Whether the scheduler lists a worker as ejected.
fn is_ejected(ready: &Ready, worker: &WorkerName) -> bool {
    let list = ready.block(ready.caller.read(0, "/v1/workers")).unwrap_or_default();
    let items = list["items"].as_array().cloned().unwrap_or_default();
    let found = items.iter().find(|item| item["metadata"]["name"] == worker.as_str());
    found.is_some_and(|item| item["ejected"] == true)
}

/// Guards against a worker that refuses most requests and keeps getting new work since it answers the others,
/// against work there that is lost or told wrongly, and against a worker that stays ejected after its fault ends.
#[test]
fn eject_flapping_worker() {
    let ready = Ready::start(Setup {
        workers: 4,
        ..Setup::default()
    });
    let mut tasks = ready.settle(orders("running", 8, "1x1", 20_000));
    (0..8).for_each(|index| ready.await_run(&format!("running-{index}")));
    let log = ready.log().expect("log");
    let victim = runs_of(&log, "running-0")[0].worker.clone();
    let index = victim.as_str()[1..].parse().expect("index");
    ready
        .fault_worker(index, &json!({"mode": "down", "share": 0.7}))
        .expect("fault");
    tasks.extend(ready.settle(orders("during", 8, "1x1", 200)));
    ready
        .await_that("the worker is ejected", DETECTION, || is_ejected(&ready, &victim))
        .expect("ejection");
    let ejected = wall();
    let new = ready.settle(orders("new", 16, "1x1", 200));
    (0..16).for_each(|index| ready.await_run(&format!("\"new-{index}\"")));
    assert!(is_ejected(&ready, &victim), "readmitted while it fails requests");
    ready.fault_worker(index, &json!({"mode": "none"})).expect("fault");
    let log = ready.log().expect("log");
    let started = log
        .iter()
        .filter(|entry| entry.kind == LogKind::Start && entry.worker == victim);
    let late: Vec<_> = started.filter(|entry| entry.wall > ejected).collect();
    assert!(late.is_empty(), "new work on an ejected worker: {late:?}");
    all_succeeded(&ready.verify(new));
    ready
        .await_that("the worker is readmitted", READMISSION, || !is_ejected(&ready, &victim))
        .expect("readmission");
    // The gang needs all workers.
    let all = Order::new(ACCOUNT, "all", "4x1", 200);
    tasks.extend(ready.settle(vec![all]));
    ready.await_log("the readmitted worker runs a part of the gang", |entry| {
        let part = entry
            .payload
            .as_deref()
            .is_some_and(|payload| payload.contains("\"all\""));
        entry.kind == LogKind::Begin && entry.worker == victim && part
    });
    for settled in ready.verify(tasks) {
        let status = settled.job.as_ref().expect("a job").status.clone();
        let hit = runs_of(&ready.log().expect("log"), &settled.order.name)[0].worker == victim;
        // Renewals on the worker may have been lost, so that a lease ended: its caller must be told that it ran.
        let told = status.phase == JobPhase::Succeeded || (hit && status.ran != Ran::No);
        assert!(told, "{settled:?}");
    }
}
