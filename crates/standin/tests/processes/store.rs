//! Outages of the platform and answers that it loses.

use std::time::Instant;

use pistachiostair::{Millis, Ran};
use serde_json::json;
use standin::{Order, Settled, Setup, Told, runs_of};

use crate::support::{ACCOUNT, LIMIT, Ready, all_succeeded, orders, pause};

/// Length of the outage: four leases of a task, so that work that is not renewed ends.
const OUTAGE: Millis = Millis(60_000);
/// Time after the outage within which work is done again: that in which urgent work starts.
const RECOVERY: Millis = Millis(9_400);
/// Time after which the scheduler's lease has ended, so that it accepts nothing.
const NOTICED: u64 = 5_000;
/// Time within which a submission that can't be stored is refused.
const EARLY: Millis = Millis(5_000);

/// Submits orders at once and returns those refused with `ran: no`, and those of unknown outcome.
fn submit_without_store(ready: &Ready, orders: Vec<Order>) -> (Vec<Order>, Vec<Order>) {
    let submissions = orders.into_iter().enumerate().map(|(index, order)| {
        let caller = ready.caller.clone();
        ready.spawn(async move { (caller.submit(index, &order, EARLY).await, order) })
    });
    let (mut refused, mut unknown) = (Vec::new(), Vec::new());
    for submission in submissions.collect::<Vec<_>>() {
        match ready.block(submission) {
            (Told::Failed(_, failure), order) if failure.ran == Ran::No => {
                assert!(failure.retry.is_some(), "no time to retry after: {failure:?}");
                refused.push(order);
            }
            (Told::Failed(..), order) => unknown.push(order),
            (told, _) => panic!("told without a store: {told:?}"),
        }
    }
    (refused, unknown)
}

/// Guards against an outage that ends running work, loses submissions, or runs refused ones.
#[test]
fn outage() {
    let ready = Ready::start(Setup::default());
    let before = orders("before", 6, "1x1", OUTAGE.0 + 3_000);
    let mut tasks = ready.settle_within(before, OUTAGE + LIMIT);
    for index in 0..6 {
        ready.await_run(&format!("before-{index}"));
    }
    ready.fault_platform(&json!({"mode": "down"})).expect("fault");
    let until = Instant::now() + OUTAGE.duration();
    pause(1_000);
    // The scheduler may not know of the outage yet, so that these are caught in a commit.
    let (mut refused, unknown) = submit_without_store(&ready, orders("early", 6, "1x1", 100));
    // The store alone can tell what became of these.
    tasks.extend(ready.settle_within(unknown, OUTAGE + LIMIT));
    pause(NOTICED);
    let (late, unknown) = submit_without_store(&ready, orders("late", 6, "1x1", 100));
    assert!(
        unknown.is_empty(),
        "accepted for a commit although the store is known to be down: {unknown:?}"
    );
    refused.extend(late);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
    ready.fault_platform(&json!({"mode": "none"})).expect("fault");
    tasks.extend(ready.settle(orders("after", 6, "1x1", 100)));
    let settled = ready.verify(tasks);
    all_succeeded(&settled);
    let after = settled.iter().filter(|settled| settled.order.name.starts_with("after"));
    let recovery = after
        .map(|settled| settled.took)
        .max()
        .expect("orders after the outage");
    println!("recovery took {recovery}");
    assert!(recovery < RECOVERY, "work is done again {recovery} after the outage");
    let log = ready.log().expect("log");
    for order in refused {
        assert!(
            runs_of(&log, &order.name).is_empty(),
            "{} was refused with ran: no",
            order.name
        );
    }
}

/// Guards against commits that are repeated or dropped because their answer was lost.
#[test]
fn lost_answers() {
    let ready = Ready::start(Setup::default());
    ready
        .fault_platform(&json!({"mode": "lose", "share": 0.4}))
        .expect("fault");
    let mut tasks = Vec::new();
    for round in 0..10 {
        tasks.extend(ready.settle(orders(&format!("order-{round}"), 4, "1x1", 100)));
        tasks.extend(ready.settle(orders(&format!("gang-{round}"), 1, "3x1", 100)));
        pause(300);
    }
    ready.fault_platform(&json!({"mode": "none"})).expect("fault");
    all_succeeded(&ready.verify(tasks));
}

/// Guards against a second job for a submission that is repeated with its key, also at another
/// daemon and while the first one still runs, and against another job under the same key.
#[test]
fn repeated_key() {
    let ready = Ready::start(Setup::default());
    let order = Order::new(ACCOUNT, "order", "1x1", 500);
    let tasks: Vec<_> = (0..9).flat_map(|_| ready.settle(vec![order.clone()])).collect();
    let settled: Vec<Settled> = ready.verify(tasks);
    all_succeeded(&settled);
    let ids: Vec<_> = settled
        .iter()
        .filter_map(|settled| Some(settled.job.as_ref()?.status.id))
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    let other = Order::new(ACCOUNT, "order", "2x1", 500);
    let told = ready.block(ready.caller.submit(1, &other, Millis::from_secs(1)));
    let conflict = matches!(&told, Told::Failed(status, failure) if status.as_u16() == 409 && failure.ran == Ran::No);
    assert!(conflict, "{told:?}");
}
