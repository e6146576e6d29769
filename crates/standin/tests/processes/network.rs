//! Links that are cut or go silent.

use standin::{LogKind, Setup};

use crate::support::{Ready, SOON, all_succeeded, orders, pause};

/// Guards against a scheduler that goes on without the store, and against a daemon that does not
/// come back once its link is whole.
#[test]
fn cut_scheduler_from_store() {
    let ready = Ready::start(Setup {
        platform_relays: true,
        ..Setup::default()
    });
    let leader = ready.leader().expect("leader");
    let mut tasks = ready.settle(orders("before", 9, "1x1", 3_000));
    ready.await_run("before-0");
    ready.platform_relay(leader, "cut").expect("cut");
    tasks.extend(ready.settle(orders("during", 9, "1x1", 200)));
    ready
        .await_that("another daemon holds the lease", SOON, || {
            ready.leader().is_ok_and(|holder| holder != leader)
        })
        .expect("takeover");
    tasks.extend(ready.settle(orders("gang", 2, "3x2", 200)));
    pause(1_000);
    ready.platform_relay(leader, "open").expect("open");
    all_succeeded(&ready.verify(tasks));
    ready.await_ready(leader).expect("the daemon is ready again");
}

/// Guards against a store client that trusts connections that went silent.
#[test]
fn silence_scheduler_to_store() {
    let ready = Ready::start(Setup {
        platform_relays: true,
        ..Setup::default()
    });
    let leader = ready.leader().expect("leader");
    let mut tasks = ready.settle(orders("before", 9, "1x1", 3_000));
    ready.await_run("before-0");
    ready.platform_relay(leader, "silence").expect("silence");
    tasks.extend(ready.settle(orders("during", 9, "1x1", 200)));
    all_succeeded(&ready.verify(tasks));
}

/// Guards against a supervisor that trusts connections to a worker that went silent: running work
/// must go on, and the worker must get new work over new connections.
#[test]
fn silence_worker() {
    let ready = Ready::start(Setup {
        workers: 1,
        worker_relays: true,
        ..Setup::default()
    });
    // Longer than a task's lease: without renewals over a new connection they would lapse.
    let mut tasks = ready.settle(orders("before", 3, "1x1", 18_000));
    for index in 0..3 {
        ready.await_run(&format!("before-{index}"));
    }
    ready.worker_relay(0, "silence").expect("silence");
    tasks.extend(ready.settle(orders("during", 4, "1x1", 200)));
    all_succeeded(&ready.verify(tasks));
    let log = ready.log().expect("log");
    let begun = log.iter().filter(|entry| entry.kind == LogKind::Begin).count();
    assert_eq!(begun, 7, "work ran more than once");
}
