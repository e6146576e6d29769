//! Processes that are killed or paused.

use std::collections::BTreeSet;

use hyper::Method;
use pistachiostair::{BatchReply, CommandBatch, Incarnation, JobPhase, MemberState, Row, Term, WorkerName};
use rstest::rstest;
use serde_json::json;
use standin::{LogEntry, LogKind, Order, Setup, ask, new_client, runs_of};

use crate::support::{ACCOUNT, Ready, SOON, all_succeeded, orders, pause, wall};

/// Time within which urgent work starts, also if the scheduler's daemon crashes.
const URGENT_START: u64 = 9_400;
/// Pause of a scheduler, longer than its lease of 4 s.
const PAUSE: u64 = 6_000;

/// Checks that the order `urgent` began in time after a loss at `killed`, a wall time in milliseconds.
fn assert_urgent_start(log: &[LogEntry], killed: u64) {
    let begun = runs_of(log, "urgent")[0].wall;
    assert!(
        begun < killed + URGENT_START,
        "urgent work started {} ms after the loss",
        begun - killed
    );
}

/// Guards against gangs that run in part or twice when the scheduler's daemon dies while it
/// starts them, and against a takeover that is too slow for urgent work.
#[test]
fn kill_scheduler_starting_gang() {
    let mut ready = Ready::start(Setup {
        workers: 4,
        ..Setup::default()
    });
    // One slow worker keeps the gang from being complete until the scheduler is dead.
    ready
        .fault_worker(3, &json!({"mode": "slow", "millis": 1_000}))
        .expect("fault");
    let mut tasks = ready.settle(orders("gang", 1, "4x4", 500));
    ready.await_log("a part is held", |entry| {
        entry.kind == LogKind::Start && entry.task.part > 0
    });
    let leader = ready.leader().expect("leader");
    ready.bench.daemon_process(leader).kill().expect("kill");
    ready.set_entry(leader, false);
    let killed = wall();
    tasks.extend(ready.settle(vec![
        Order::new(ACCOUNT, "urgent", "1x1", 100).with("urgency", "urgent"),
    ]));
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    let log = ready.log().expect("log");
    assert_urgent_start(&log, killed);
}

/// Guards against work that is lost or repeated because the caller's daemon dies.
#[test]
fn kill_entry() {
    let mut ready = Ready::start(Setup::default());
    let leader = ready.leader().expect("leader");
    let entry = (leader + 1) % 3;
    ready.set_entry((entry + 1) % 3, false);
    ready.set_entry(leader, false);
    let tasks = ready.settle(orders("order", 10, "1x1", 1_500));
    ready.await_run("order-0");
    ready.bench.daemon_process(entry).kill().expect("kill");
    ready.set_entry(leader, true);
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    assert!(
        settled.iter().all(|settled| settled.lost > 0),
        "no caller was at the daemon that died"
    );
}

/// Guards against idempotent work that is not repeated, other work that is, and gangs that go on
/// without a part, when a worker dies.
#[test]
fn kill_worker() {
    let mut ready = Ready::start(Setup {
        workers: 4,
        slots: 12,
        ..Setup::default()
    });
    let repeatable = |order: Order| order.with("idempotent", true);
    // The gang first, since the others could leave no rack with room for it.
    let mut tasks = ready.settle(orders("gang", 1, "3x2", 5_000).into_iter().map(repeatable).collect());
    ready.await_run("gang-0");
    // Ten do not fit on the worker that has no part of the gang.
    tasks.extend(ready.settle(orders("once", 10, "1x1", 4_000)));
    tasks.extend(ready.settle(orders("again", 6, "1x1", 4_000).into_iter().map(repeatable).collect()));
    ready.await_run("once-9");
    ready.await_run("again-5");
    let log = ready.log().expect("log");
    let workers = |prefix: &str| -> BTreeSet<WorkerName> {
        let runs = |entry: &&LogEntry| entry.payload.as_deref().is_some_and(|payload| payload.contains(prefix));
        log.iter().filter(runs).map(|entry| entry.worker.clone()).collect()
    };
    let victim = workers("gang")
        .intersection(&workers("once"))
        .next()
        .cloned()
        .expect("a worker with both");
    let index = victim.as_str()[1..].parse().expect("index");
    ready.bench.worker_process(index).kill().expect("kill");
    pause(1_000);
    ready.unlist_vm(victim.as_str()).expect("list");
    let settled = ready.verify(tasks);
    let log = ready.log().expect("log");
    let mut unknown = 0;
    for settled in &settled {
        let phase = settled.job.as_ref().map(|job| job.status.phase);
        let hit = runs_of(&log, &settled.order.name)[0].worker == victim;
        match (settled.order.is_idempotent(), hit) {
            (false, true) => {
                assert_eq!(phase, Some(JobPhase::Unknown), "{settled:?}");
                unknown += 1;
            }
            _ => assert_eq!(phase, Some(JobPhase::Succeeded), "{settled:?}"),
        }
    }
    assert!(unknown > 0, "no order was hit");
}

/// Guards against work that is lost or repeated, and urgent work that starts late, when a failure
/// domain with the scheduler, a third of the daemons and half of the workers goes at once; and against
/// jobs that never end when the list drops the workers before another scheduler has taken over.
#[rstest]
#[case::listed_for_a_while(1_000)]
#[case::dropped_at_once(0)]
fn kill_domain(#[case] lag: u64) {
    let mut ready = Ready::start(Setup {
        daemons: 6,
        workers: 8,
        ..Setup::default()
    });
    let repeatable = |order: Order| order.with("idempotent", true);
    let mut tasks = ready.settle(orders("once", 12, "1x1", 5_000));
    tasks.extend(ready.settle(orders("again", 24, "1x1", 5_000).into_iter().map(repeatable).collect()));
    // All of them: an order may begin after others that were submitted later.
    (0..12).for_each(|index| ready.await_run(&format!("\"once-{index}\"")));
    (0..24).for_each(|index| ready.await_run(&format!("\"again-{index}\"")));
    // The domain of the scheduler's daemon, or if that has no workers the first one.
    let leader = ready.leader().expect("leader");
    let domain = if leader % 3 < 2 { leader % 3 } else { 0 };
    let (daemons, workers) = ([domain, domain + 3], domain * 4..domain * 4 + 4);
    for daemon in daemons {
        ready.bench.daemon_process(daemon).kill().expect("kill");
        ready.set_entry(daemon, false);
    }
    let lost: BTreeSet<WorkerName> = workers
        .clone()
        .map(|index| format!("w{index}").as_str().into())
        .collect();
    for worker in workers {
        ready.bench.worker_process(worker).kill().expect("kill");
    }
    let killed = wall();
    let urgent = Order::new(ACCOUNT, "urgent", "1x1", 100).with("urgency", "urgent");
    tasks.extend(ready.settle(vec![urgent]));
    pause(lag);
    for worker in &lost {
        ready.unlist_vm(worker.as_str()).expect("list");
    }
    let settled = ready.verify(tasks);
    let log = ready.log().expect("log");
    for settled in &settled {
        let phase = settled.job.as_ref().map(|job| job.status.phase);
        let first = runs_of(&log, &settled.order.name).into_iter().next();
        let first = first.unwrap_or_else(|| panic!("never ran: {settled:?}; see {}", ready.dir().display()));
        let hit = lost.contains(&first.worker);
        let expected = match !settled.order.is_idempotent() && hit {
            true => JobPhase::Unknown,
            false => JobPhase::Succeeded,
        };
        assert_eq!(phase, Some(expected), "{settled:?}");
    }
    assert_urgent_start(&log, killed);
}

/// Guards against a running gang that loses its leases in a takeover: the next scheduler renews them only
/// once all its workers have reported, some of which lost their supervisor too.
#[test]
fn kill_scheduler_running_gang() {
    let mut ready = Ready::start(Setup {
        workers: 4,
        ..Setup::default()
    });
    // Longer than a lease and a takeover.
    let tasks = ready.settle(orders("gang", 2, "4x2", 22_000));
    ready.await_run("gang-0");
    ready.await_run("gang-1");
    pause(1_000);
    let leader = ready.leader().expect("leader");
    ready.bench.daemon_process(leader).kill().expect("kill");
    ready.set_entry(leader, false);
    all_succeeded(&ready.verify(tasks));
}

/// Guards against orders of unknown outcome that were placed on a worker which had died just before: its
/// refused connections prove that nothing ran there.
#[test]
fn submit_after_kill() {
    let mut ready = Ready::start(Setup {
        workers: 2,
        ..Setup::default()
    });
    ready.bench.worker_process(0).kill().expect("kill");
    pause(100);
    // Half of them fit on the other worker; the platform's list goes on showing the dead one.
    let tasks = ready.settle(orders("once", 12, "1x1", 200));
    all_succeeded(&ready.verify(tasks));
}

/// Guards against a paused scheduler that acts with an old term when it wakes up.
#[test]
fn pause_scheduler() {
    let mut ready = Ready::start(Setup {
        workers: 4,
        ..Setup::default()
    });
    let leader = ready.leader().expect("leader");
    let mut tasks = ready.settle(orders("before", 12, "1x1", 2_000));
    tasks.extend(ready.settle(orders("gang-before", 2, "3x2", 2_000)));
    pause(300);
    ready.bench.daemon_process(leader).signal("STOP").expect("stop");
    ready.set_entry(leader, false);
    tasks.extend(ready.settle(orders("during", 12, "1x1", 300)));
    tasks.extend(ready.settle(orders("gang-during", 2, "3x2", 300)));
    pause(PAUSE);
    ready.bench.daemon_process(leader).signal("CONT").expect("continue");
    ready.set_entry(leader, true);
    tasks.extend(ready.settle(orders("after", 12, "1x1", 100)));
    all_succeeded(&ready.verify(tasks));
    assert_ne!(ready.leader().expect("leader"), leader, "no other daemon took over");
    ready.await_ready(leader).expect("the paused daemon serves again");
}

/// Guards against state that is lost with the processes: all daemons die and new ones keep nothing.
#[test]
fn kill_all() {
    let mut ready = Ready::start(Setup {
        workers: 4,
        ..Setup::default()
    });
    // The gang first, since the others could leave no rack with room for it.
    let mut tasks = ready.settle(orders("gang", 1, "4x4", 6_000));
    ready.await_run("gang-0");
    tasks.extend(ready.settle(orders("order", 12, "1x1", 6_000)));
    ready.await_run("order-0");
    // More than the workers hold: these wait in the queue of the scheduler that dies.
    tasks.extend(ready.settle(orders("waiting", 8, "1x4", 200)));
    pause(500);
    for index in 0..3 {
        ready.bench.daemon_process(index).kill().expect("kill");
        ready.unlist_vm(&format!("d{index}")).expect("list");
    }
    pause(500);
    for index in 0..3 {
        ready.bench.restart_daemon(index).expect("restart");
    }
    for index in 0..3 {
        ready.await_ready(index).expect("ready");
        ready.set_entry(index, true);
    }
    all_succeeded(&ready.verify(tasks));
    let live = || {
        let listed = ready.block(ready.caller.read(0, "/v1/members")).unwrap_or_default();
        let items = listed["items"].as_array().cloned().unwrap_or_default();
        items
            .iter()
            .filter(|member| member["state"] == json!(MemberState::Live))
            .count()
    };
    ready
        .await_that("three members are live", SOON, || live() == 3)
        .expect("members");
}

/// Guards against a region that stays in a term which a worker refuses: its scheduler has to give the
/// lease back, so that the next one has a higher term.
#[test]
fn outdated_term() {
    let ready = Ready::start(Setup::default());
    let client = new_client(&ready.executor());
    let row = ready
        .block(ask::<Row>(
            &client,
            ready.platform(),
            Method::GET,
            "/v1/rows/term%2Ffi",
            &(),
        ))
        .expect("term row");
    let term = |row: &Row| row.value.parse::<u64>().expect("a term");
    let newer = CommandBatch {
        term: Term(term(&row) + 3),
        incarnation: Incarnation(0),
        expires: None,
        commands: Vec::new(),
    };
    let worker = ready.worker(0);
    let reply = ready
        .block(ask::<BatchReply>(&client, worker, Method::POST, "/v1/commands", &newer))
        .expect("reply");
    assert!(matches!(reply, BatchReply::OtherIncarnation { .. }), "{reply:?}");
    // Enough that some must run on that worker.
    let tasks = ready.settle(orders("order", 24, "1x1", 500));
    all_succeeded(&ready.verify(tasks));
    let row = ready
        .block(ask::<Row>(
            &client,
            ready.platform(),
            Method::GET,
            "/v1/rows/term%2Ffi",
            &(),
        ))
        .expect("term row");
    assert!(term(&row) >= newer.term.0, "still in term {}", row.value);
}
