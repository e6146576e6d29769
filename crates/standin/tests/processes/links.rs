//! Links between daemons that lose datagrams or are cut.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hyper::Method;
use pistachiostair::Millis;
use serde_json::{Value, json};
use standin::{Impairment, Order, Setup, runs_of};

use crate::support::{ACCOUNT, Ready, SOON, all_succeeded, orders, pause};

/// Time within which an accepted configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Time for which a daemon is cut off.
const CUT: Duration = Duration::from_secs(8);
/// Orders under loss, and the pause between them.
const ORDERS: usize = 150;
const GAP: u64 = 100;

/// Changes of the members' states that the daemons logged, by daemon.
fn state_changes(ready: &Ready) -> Vec<Vec<String>> {
    let read = |index| std::fs::read_to_string(ready.dir().join(format!("d{index}.err"))).expect("log");
    let changes = |log: String| {
        log.lines()
            .filter(|line| line.contains("daemon changed"))
            .map(str::to_owned)
            .collect()
    };
    (0..3).map(|index| changes(read(index))).collect()
}

/// Guards against members that are found dead, and orders that are lost or run twice, because links lose,
/// delay, reorder and double datagrams.
#[test]
fn lossy_links() {
    let ready = Ready::start(Setup {
        peer_relays: Some(Impairment {
            loss: 0.05,
            duplicates: 0.02,
            delay: (3, 8),
            seed: 11,
        }),
        ..Setup::default()
    });
    let before = state_changes(&ready);
    assert!(
        before.iter().all(|changes| changes.len() >= 2),
        "others not found: {before:?}"
    );
    let leader = ready.leader().expect("leader");
    let mut tasks = Vec::new();
    for index in 0..ORDERS {
        let name = format!("order-{index}");
        let order = Order::new(ACCOUNT, &name, if index % 10 == 0 { "2x1" } else { "1x1" }, 200);
        let caller = ready.caller.clone();
        tasks.push(ready.spawn(async move { caller.settle(index, order, Millis(45_000)).await }));
        pause(GAP);
    }
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    let log = ready.log().expect("log");
    for settled in &settled {
        let parts = settled.job.as_ref().expect("a job").spec.shape.workers as usize;
        assert_eq!(runs_of(&log, &settled.order.name).len(), parts, "{settled:?}");
    }
    assert_eq!(state_changes(&ready), before, "members flapped");
    assert_eq!(ready.leader().expect("leader"), leader, "the scheduler changed");
}

/// Revision and value of the configuration in force at a daemon.
fn in_force(ready: &Ready, entry: usize) -> (u64, u64) {
    let configuration = ready
        .block(ready.caller.read(entry, "/v1/configuration"))
        .expect("configuration");
    let number = |value: &Value| value.as_u64().expect("number");
    let patience = number(&configuration["spec"]["scheduling"]["patience"]);
    (number(&configuration["metadata"]["revision"]), patience)
}

/// Members that a daemon holds for dead.
fn dead(ready: &Ready, entry: usize) -> Vec<Value> {
    let members = ready.block(ready.caller.read(entry, "/v1/members")).expect("members");
    let items = members["items"].as_array().expect("items").iter();
    items
        .filter(|member| member["state"] == "dead")
        .map(|member| member["name"].clone())
        .collect()
}

/// Changes the configuration at a daemon and returns the new revision.
fn change(ready: &Ready, entry: usize, patience: u64) -> u64 {
    let body = json!({"spec": {"scheduling": {"patience": patience}}});
    let put = ready.caller.put(entry, "/v1/configuration", &body);
    ready.block(put).expect("accepted")["metadata"]["revision"]
        .as_u64()
        .expect("revision")
}

/// Guards against a daemon that is cut off from the store and the others and passes its old configuration for a
/// new one, accepts a change, goes back, or says that it is up to date before it is.
#[test]
fn cut_during_changes() {
    let ready = Ready::start(Setup {
        platform_relays: true,
        peer_relays: Some(Impairment::default()),
        ..Setup::default()
    });
    let leader = ready.leader().expect("leader");
    let (cut, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let mut known = BTreeMap::new();
    let first = change(&ready, leader, 30_000);
    known.insert(first, 30_000);
    let everywhere = |revision| (0..3).all(|entry| in_force(&ready, entry).0 == revision);
    ready
        .await_that("the first change is in force", IN_FORCE, || everywhere(first))
        .expect("in force");

    ready.platform_relay(cut, "cut").expect("cut");
    ready.cut_links(cut).expect("cut");
    let since = Instant::now();
    let says_behind = || {
        ready
            .read_admin(cut, "/readyz")
            .is_ok_and(|state| state.contains("may be behind"))
    };
    let mut newest = first;
    for round in 1..=4 {
        let value = 30_000 + round;
        newest = change(&ready, if round % 2 == 0 { leader } else { other }, value);
        known.insert(newest, value);
        pause(500);
    }
    ready
        .await_that("the daemon says that it may be behind", IN_FORCE, says_behind)
        .expect("behind");
    while since.elapsed() < CUT {
        assert!(says_behind(), "it passes for one that is up to date");
        assert_eq!(
            in_force(&ready, cut),
            (first, 30_000),
            "the configuration before the cut"
        );
        let metrics = ready.read_admin(cut, "/metrics").expect("metrics");
        assert!(
            metrics.contains(&format!("policy_revision {first}\n")),
            "another revision in the metrics"
        );
        pause(200);
    }
    // Both sides: the links were really cut.
    assert_eq!(dead(&ready, cut).len(), 2, "it still hears others");
    assert_eq!(dead(&ready, other), [json!(format!("d{cut}"))], "others still hear it");
    let body = json!({"spec": {"scheduling": {"patience": 1}}}).to_string();
    let refused = ready
        .caller
        .send(cut, Method::PUT, "/v1/configuration", &[], &body, Millis(10_000));
    let (status, text) = ready.block(refused).expect("response");
    assert_eq!(status.as_u16(), 503, "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    let history = ready.block(ready.caller.read(cut, "/v1/configuration/history"));
    assert!(history.is_err(), "an old history for a new one: {history:?}");

    ready.platform_relay(cut, "open").expect("open");
    ready.open_links().expect("open");
    let opened = Instant::now();
    let mut seen = first;
    while seen != newest {
        assert!(
            opened.elapsed() < IN_FORCE,
            "revision {seen} instead of {newest} after the cut"
        );
        let up_to_date = ready.read_admin(cut, "/readyz").is_ok_and(|state| state == "ready\n");
        let (revision, value) = in_force(&ready, cut);
        assert!(revision >= seen, "it went back from {seen} to {revision}");
        assert_eq!(
            known.get(&revision),
            Some(&value),
            "revision {revision} holds another change"
        );
        assert!(
            !up_to_date || revision == newest,
            "up to date with revision {revision} of {newest}"
        );
        seen = revision;
        pause(10);
    }
    ready
        .await_that("the daemon is up to date", SOON, || {
            ready.read_admin(cut, "/readyz").is_ok_and(|state| state == "ready\n")
        })
        .expect("ready");
    all_succeeded(&ready.verify(ready.settle(orders("after", 6, "1x1", 100))));
    assert!(everywhere(newest), "not everywhere");
}

/// Guards against a daemon that lost the store and a push, and stays behind until the store is back although
/// the others could tell it the configuration.
#[test]
fn catch_up_without_store() {
    let ready = Ready::start(Setup {
        platform_relays: true,
        peer_relays: Some(Impairment::default()),
        ..Setup::default()
    });
    let leader = ready.leader().expect("leader");
    let cut = (leader + 1) % 3;
    ready.platform_relay(cut, "cut").expect("cut");
    ready.cut_links(cut).expect("cut");
    let revision = change(&ready, leader, 30_000);
    pause(3_000);
    assert_ne!(in_force(&ready, cut).0, revision, "it was not cut off");
    ready.open_links().expect("open");
    let holds = || in_force(&ready, cut) == (revision, 30_000);
    ready
        .await_that("the daemon learns the change from the others", SOON, holds)
        .expect("in force");
}
