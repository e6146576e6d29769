//! What operators do: restarts, leaving workers, changes of the configuration.

use std::time::{Duration, Instant};

use async_io::Timer;
use hyper::Method;
use pistachiostair::{Millis, Ran};
use rstest::rstest;
use serde_json::{Value, json};
use standin::{LogKind, Order, Settled, Setup, Told, runs_of};

use crate::support::{ACCOUNT, LIMIT, Ready, SOON, all_succeeded, orders, pause, wall};

/// Time after which a leaving worker gets no new work.
const LEAVING: u64 = 3_000;
/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Pause between the orders of the load during a rolling restart.
const GAP: Millis = Millis(50);
/// The most orders of that load for each daemon that restarts: 17 s of orders.
const MOST: usize = 340;
/// Time within which a daemon that shuts down has ended.
const SHUTDOWN: Duration = Duration::from_secs(20);

/// Guards against a graceful shutdown that interrupts or refuses requests.
#[rstest]
#[case::three(3)]
#[case::nine(9)]
fn rolling_restart(#[case] daemons: usize) {
    let mut ready = Ready::start(Setup {
        daemons,
        drain: 1_500,
        ..Setup::default()
    });
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (caller, executor) = (ready.caller.clone(), ready.executor());
    let load = ready.spawn(async move {
        let mut tasks = Vec::new();
        while !stopped.is_closed() && tasks.len() < MOST * daemons {
            let index = tasks.len();
            let order = Order::new(ACCOUNT, &format!("order-{index}"), "1x1", 200);
            let caller = caller.clone();
            tasks.push(executor.spawn(async move { caller.settle(index, order, LIMIT).await }));
            Timer::after(GAP.duration()).await;
        }
        tasks
    });
    pause(500);
    for index in 0..daemons {
        ready.bench.daemon_process(index).signal("TERM").expect("signal");
        // What a load balancer does.
        ready
            .await_that("readyz fails", SOON, || !ready.is_ready(index))
            .expect("readyz");
        ready.set_entry(index, false);
        let status = ready.bench.daemon_process(index).wait(SHUTDOWN).expect("shutdown");
        assert!(status.success(), "d{index} ended with {status}");
        ready.bench.restart_daemon(index).expect("restart");
        ready.await_ready(index).expect("ready");
        ready.set_entry(index, true);
    }
    pause(500);
    drop(stop);
    let tasks = ready.block(load);
    assert!(tasks.len() < MOST * daemons, "the restarts took longer than the load");
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    let disturbed = |settled: &&Settled| settled.lost > 0 || !settled.failures.is_empty();
    let disturbed: Vec<&Settled> = settled.iter().filter(disturbed).collect();
    assert!(
        disturbed.is_empty(),
        "{} of {}: {:?}",
        disturbed.len(),
        settled.len(),
        disturbed[0]
    );
}

/// Guards against new work for a worker that is leaving, and against the loss of the work it has.
#[test]
fn leaving_worker() {
    let ready = Ready::start(Setup {
        workers: 2,
        ..Setup::default()
    });
    let mut tasks = ready.settle(orders("long", 2, "1x8", 7_000));
    ready.await_run("long-0");
    ready.await_run("long-1");
    let before = ready.log().expect("log");
    ready.fault_worker(0, &json!({"mode": "leave"})).expect("fault");
    let left = wall();
    for round in 0..25 {
        tasks.extend(ready.settle(orders(&format!("short-{round}"), 2, "1x0", 100)));
        pause(200);
    }
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    let log = ready.log().expect("log");
    let late = |at: u64, worker: &str| {
        let started = log
            .iter()
            .filter(|entry| entry.kind == LogKind::Start && entry.worker.as_str() == worker);
        started.filter(|entry| entry.wall > at).count()
    };
    assert_eq!(late(left + LEAVING, "w0"), 0, "a leaving worker got new work");
    assert!(
        late(left + LEAVING, "w1") > 0,
        "no work was placed after the worker left"
    );
    for settled in settled.iter().filter(|settled| settled.order.name.starts_with("long")) {
        let (first, all) = (
            runs_of(&before, &settled.order.name),
            runs_of(&log, &settled.order.name),
        );
        assert_eq!(first, all, "work of a leaving worker was started again");
    }
}

/// The revision of the configuration in force at a daemon.
fn in_force(ready: &Ready, entry: usize) -> Option<u64> {
    let configuration = ready.block(ready.caller.read(entry, "/v1/configuration")).ok()?;
    configuration["metadata"]["revision"].as_u64()
}

/// Guards against changes that reach a daemon late, go back, or overwrite one that they did not see.
#[test]
fn configuration_in_force() {
    let ready = Ready::start(Setup::default());
    let mut seen = in_force(&ready, 0).expect("revision");
    for round in 0..4_u64 {
        let body = |patience: u64| json!({"spec": {"scheduling": {"patience": patience}}}).to_string();
        // Two operators change the same revision at two daemons.
        let tasks: Vec<_> = (0..2_u64)
            .map(|operator| {
                let (caller, revision) = (ready.caller.clone(), seen.to_string());
                let body = body(10_000 + 10 * round + operator);
                let entry = (round + operator) as usize;
                ready.spawn(async move {
                    let headers = [("if-match", revision.as_str()), ("author", "operator")];
                    let path = "/v1/configuration";
                    caller
                        .send(entry, Method::PUT, path, &headers, &body, Millis(5_000))
                        .await
                })
            })
            .collect();
        let told: Vec<_> = tasks
            .into_iter()
            .map(|task| ready.block(task).expect("response"))
            .collect();
        let accepted: Vec<&String> = told
            .iter()
            .filter(|(status, _)| status.is_success())
            .map(|(_, text)| text)
            .collect();
        let refused = told.iter().filter(|(status, _)| status.as_u16() == 412).count();
        assert_eq!((accepted.len(), refused), (1, 1), "{told:?}");
        let since = Instant::now();
        let document: Value = serde_json::from_str(accepted[0]).expect("configuration");
        let revision = document["metadata"]["revision"].as_u64().expect("revision");
        assert!(revision > seen, "revision {revision} after {seen}");
        seen = revision;
        for entry in 0..3 {
            let left = IN_FORCE.saturating_sub(since.elapsed());
            let holds = || in_force(&ready, entry) == Some(revision);
            ready
                .await_that(&format!("revision {revision} is in force in d{entry}"), left, holds)
                .expect("in force");
        }
        let until = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < until {
            for entry in 0..3 {
                assert_eq!(in_force(&ready, entry), Some(revision), "d{entry} went back");
            }
            pause(50);
        }
    }
}

/// Changes sent within a second.
const BURST: u64 = 50;

/// Guards against two changes that get one revision, an accepted one that is lost from the history, and
/// a daemon that stays behind after a burst of changes.
#[test]
fn configuration_burst() {
    let ready = Ready::start(Setup::default());
    let sent = Instant::now();
    let tasks: Vec<_> = (0..BURST)
        .map(|index| {
            let caller = ready.caller.clone();
            let body = json!({"spec": {"scheduling": {"patience": 20_000 + index}}}).to_string();
            ready.spawn(async move {
                Timer::after(Duration::from_millis(20 * index)).await;
                let path = "/v1/configuration";
                let entry = index as usize;
                (
                    index,
                    caller.send(entry, Method::PUT, path, &[], &body, Millis(5_000)).await,
                )
            })
        })
        .collect();
    let mut accepted = std::collections::BTreeMap::new();
    for task in tasks {
        let (index, told) = ready.block(task);
        let (status, text) = told.expect("response");
        if status.is_success() {
            let document: Value = serde_json::from_str(&text).expect("configuration");
            let revision = document["metadata"]["revision"].as_u64().expect("revision");
            assert_eq!(
                accepted.insert(revision, index),
                None,
                "revision {revision} was given twice"
            );
        } else {
            assert_eq!(status.as_u16(), 409, "{text}");
            assert!(text.contains("\"ran\":\"no\""), "{text}");
        }
    }
    let (newest, _) = accepted.last_key_value().expect("an accepted change");
    for entry in 0..3 {
        let left = (IN_FORCE + Duration::from_secs(1)).saturating_sub(sent.elapsed());
        let holds = || in_force(&ready, entry) == Some(*newest);
        ready
            .await_that(&format!("revision {newest} is in force in d{entry}"), left, holds)
            .expect("in force");
    }
    let history = ready
        .block(ready.caller.read(0, "/v1/configuration/history"))
        .expect("history");
    for item in history["items"].as_array().expect("items") {
        let revision = item["metadata"]["revision"].as_u64().expect("revision");
        let patience = item["spec"]["scheduling"]["patience"].as_u64().expect("patience");
        if let Some(index) = accepted.remove(&revision) {
            assert_eq!(patience, 20_000 + index, "revision {revision} holds another change");
        }
    }
    assert!(accepted.is_empty(), "accepted and not in the history: {accepted:?}");
}

/// Guards against callers that wait for the whole of their time because of a misspelt region.
#[test]
fn call_unknown_region() {
    let ready = Ready::start(Setup::default());
    let asked = Instant::now();
    let order = Order::new(ACCOUNT, "order", "1x1", 100).with("region", "nowhere");
    let refused = ready.block(ready.caller.submit(0, &order, LIMIT));
    let Told::Failed(status, failure) = refused else {
        panic!("expected a refusal, got {refused:?}");
    };
    assert_eq!((status.as_u16(), failure.ran), (503, Ran::No));
    assert!(failure.message.contains("nowhere"), "{}", failure.message);
    let list = ready.block(ready.caller.read(1, "/v1/jobs?region=nowhere"));
    assert!(list.is_err(), "{list:?}");
    let took = asked.elapsed();
    assert!(took < Duration::from_secs(2), "the two answers took {took:?}");
}
