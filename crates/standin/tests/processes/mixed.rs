//! Daemons and clients of two builds. These tests need a second build; `scripts/mixed` gives them one.

use std::process::Command;
use std::time::Duration;

use hyper::Method;
use pistachiostair::Millis;
use rstest::rstest;
use serde_json::{Value, json};
use standin::{Build, Order, Setup, runs_of};

use crate::support::{ACCOUNT, Ready, SOON, all_succeeded, orders, pause};

/// Orders submitted at once until there is a snapshot. More at once share the rows of the journal, whose number decides.
const BATCH: usize = 10;
/// The most orders until there is a snapshot.
const MAX_ORDERS: usize = 4_000;
/// Takeovers from each build to the other.
const TAKEOVERS: usize = 5;
/// Time within which a daemon that shuts down has ended.
const SHUTDOWN: Duration = Duration::from_secs(20);

fn read(ready: &Ready, path: &str) -> Value {
    ready.block(ready.caller.read(0, path)).expect("a document")
}

/// Runs short orders until there is a snapshot, in addition to the journal rows after it.
fn fill_journal(ready: &Ready) {
    for batch in 0..MAX_ORDERS / BATCH {
        all_succeeded(&ready.verify(ready.settle(orders(&format!("fill-{batch}"), BATCH, "1x1", 1))));
        if ready.platform_row("snapshot/fi").is_ok() {
            return;
        }
    }
    panic!("no snapshot after {MAX_ORDERS} orders");
}

/// Number of takeovers that the daemons logged and that started from a snapshot.
fn snapshots_read(ready: &Ready) -> usize {
    let read = |index| std::fs::read_to_string(ready.dir().join(format!("d{index}.err"))).expect("log");
    let logs: Vec<String> = (0..3).map(read).collect();
    logs.iter()
        .flat_map(|log| log.lines())
        .filter(|line| line.contains("journal read") && line.contains("\"snapshot\":true"))
        .count()
}

/// Stored documents that do not change while daemons restart: ended jobs, accounts, guarantees, configurations.
fn documents(ready: &Ready) -> Vec<Value> {
    let jobs = read(ready, "/v1/jobs");
    let items = jobs["items"].as_array().expect("items").iter();
    let ended = items.filter(|job| job["status"]["phase"] == "succeeded");
    let ended: Vec<Value> = ended
        .filter(|job| {
            job["metadata"]["name"]
                .as_str()
                .is_some_and(|name| name.starts_with("fill"))
        })
        .cloned()
        .collect();
    assert!(!ended.is_empty(), "no ended jobs");
    let paths = ["accounts", "guarantees", "configuration", "configuration/history"];
    let others = paths.iter().map(|path| read(ready, &format!("/v1/{path}")));
    std::iter::once(json!(ended)).chain(others).collect()
}

/// Guards against a build that does not read the journal, snapshot, answers and other rows of the other build, or that
/// loses or repeats the jobs which that build accepted and started: an upgrade or a rollback of all daemons at once.
#[rstest]
#[case::upgrade(Build::Second, Build::Own)]
#[case::rollback(Build::Own, Build::Second)]
#[ignore = "needs a second build, see scripts/mixed"]
fn change_build(#[case] before: Build, #[case] after: Build) {
    let mut ready = Ready::start(Setup {
        workers: 5,
        builds: (0..3).map(|index| (index, before)).collect(),
        ..Setup::default()
    });
    let put = |path: &str, body: Value| {
        ready.block(ready.caller.put(0, path, &body)).expect("accepted");
    };
    put(
        &format!("/v1/accounts/{ACCOUNT}"),
        json!({"metadata": {"name": ACCOUNT}, "spec": {"weight": 7, "quota": 1_000}}),
    );
    put(
        "/v1/guarantees/stair",
        json!({"metadata": {"name": "stair"}, "spec": {"account": ACCOUNT, "shape": "1x1"}}),
    );
    put(
        "/v1/configuration",
        json!({"spec": {"scheduling": {"patience": 12_345}}}),
    );
    let drain = ready
        .caller
        .send(1, Method::POST, "/v1/workers/w4/drain", &[], "", Millis(5_000));
    let (status, text) = ready.block(drain).expect("response");
    assert!(status.is_success(), "{status}: {text}");
    fill_journal(&ready);
    let stored = documents(&ready);
    let taken = snapshots_read(&ready);
    // The gang first, since the others could leave no rack with room for it.
    let mut tasks = ready.settle(orders("gang", 1, "4x4", 6_000));
    ready.await_run("gang-0");
    tasks.extend(ready.settle(orders("order", 10, "1x1", 6_000)));
    (0..10).for_each(|index| ready.await_run(&format!("\"order-{index}\"")));
    // More than the workers hold, so that these wait in the queue.
    tasks.extend(ready.settle(orders("waiting", 8, "1x4", 200)));
    pause(500);
    for index in 0..3 {
        ready.bench.daemon_process(index).kill().expect("kill");
        ready.unlist_vm(&format!("d{index}")).expect("list");
    }
    for index in 0..3 {
        ready.bench.set_build(index, after);
        ready.bench.restart_daemon(index).expect("restart");
    }
    for index in 0..3 {
        ready.await_ready(index).expect("ready");
        ready.set_entry(index, true);
    }
    all_succeeded(&ready.verify(tasks));
    assert!(snapshots_read(&ready) > taken, "the snapshot was not read");
    for (before, after) in stored.iter().zip(documents(&ready)) {
        assert_eq!(*before, after, "another document after the change of builds");
    }
    let worker = read(&ready, "/v1/workers/w4");
    assert_eq!(worker["state"], "leaving", "{worker}");
    let log = ready.log().expect("log");
    assert_eq!(runs_of(&log, "gang-0").len(), 4, "parts of the gang");
}

/// Runs the client of a build with one daemon and returns its output.
fn pstair(ready: &Ready, build: Build, daemon: usize, args: &[&str]) -> String {
    let program = build.program("pstair").expect("a client");
    let output = Command::new(program)
        .args(["--server", ready.api(daemon), "--output", "json"])
        .args(args)
        .output()
        .expect("pstair runs");
    assert!(output.status.success(), "{build:?} at d{daemon}, {args:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Runs the clients of both builds with a daemon.
fn run_clients(ready: &Ready, daemon: usize, prefix: &str) {
    for build in [Build::Own, Build::Second] {
        let name = format!("{prefix}-d{daemon}-{build:?}").to_lowercase();
        let path = format!("{ACCOUNT}/{name}");
        let payload = json!({"sleepMs": 10, "echo": name}).to_string();
        let submit = [
            "submit",
            "--account",
            ACCOUNT,
            "--shape",
            "1x1",
            "--name",
            &name,
            "--payload",
            &payload,
            "--wait=20s",
        ];
        let job: Value = serde_json::from_str(&pstair(ready, build, daemon, &submit)).expect("a job");
        assert_eq!(job["status"]["answer"], name.as_str(), "{job}");
        pstair(ready, build, daemon, &["get", "jobs", &path]);
        pstair(ready, build, daemon, &["describe", "job", &path]);
        pstair(ready, build, daemon, &["get", "workers"]);
        pstair(ready, build, daemon, &["members"]);
        pstair(ready, build, daemon, &["config", "get"]);
    }
}

/// Guards against two builds that do not understand each other's probes, journal or passed calls: takeovers from each
/// build to the other, with running work and with clients of both builds at the follower and the holder.
#[rstest]
#[case::killed("KILL")]
#[case::terminated("TERM")]
#[ignore = "needs a second build, see scripts/mixed"]
fn takeovers(#[case] signal: &str) {
    let mut ready = Ready::start(Setup {
        daemons: 2,
        builds: [(0, Build::Own), (1, Build::Second)].into(),
        ..Setup::default()
    });
    let mut tasks = Vec::new();
    let mut ended = [0; 2];
    for round in 0..4 * TAKEOVERS {
        if ended.iter().all(|count| *count >= TAKEOVERS) {
            break;
        }
        let leader = ready.leader().expect("leader");
        ended[leader] += 1;
        let follower = 1 - leader;
        let gang = format!("gang-{round}");
        tasks.extend(ready.settle(orders(&gang, 1, "2x2", 2_000)));
        tasks.extend(ready.settle(orders(&format!("order-{round}"), 4, "1x1", 2_000)));
        ready.await_run(&format!("{gang}-0"));
        run_clients(&ready, leader, &format!("pstair-{round}"));
        run_clients(&ready, follower, &format!("pstair-{round}"));
        ready.bench.daemon_process(leader).signal(signal).expect("signal");
        ready.set_entry(leader, false);
        let urgent = Order::new(ACCOUNT, &format!("urgent-{round}"), "1x1", 100).with("urgency", "urgent");
        tasks.extend(ready.settle(vec![urgent]));
        ready
            .await_that("the other daemon holds the lease", SOON, || {
                ready.leader().is_ok_and(|holder| holder == follower)
            })
            .expect("takeover");
        ready.await_run(&format!("urgent-{round}"));
        let status = ready.bench.daemon_process(leader).wait(SHUTDOWN).expect("end");
        assert_eq!(status.success(), signal == "TERM", "{status}");
        ready.bench.restart_daemon(leader).expect("restart");
        ready.await_ready(leader).expect("ready");
        ready.set_entry(leader, true);
    }
    all_succeeded(&ready.verify(tasks));
    let enough = ended.iter().all(|count| *count >= TAKEOVERS);
    assert!(enough, "schedulers that ended, by daemon: {ended:?}");
}
