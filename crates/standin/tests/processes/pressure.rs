//! Bad workers, waves of cancellations and competing operators.

use std::time::Instant;

use hyper::Method;
use pistachiostair::{JobPhase, Millis};
use serde_json::{Value, json};
use standin::{Order, Settled, Setup, Told, runs_of};

use crate::support::{ACCOUNT, Ready, all_succeeded, orders, pause};

/// Time within which urgent work starts.
const URGENT_START: Millis = Millis(9_400);

fn repeatable(orders: Vec<Order>) -> Vec<Order> {
    orders.into_iter().map(|order| order.with("idempotent", true)).collect()
}

/// Guards against a worker that fails everything it starts and goes on drawing work, as it is always free.
#[test]
fn quarantine_worker() {
    let ready = Ready::start(Setup {
        workers: 3,
        ..Setup::default()
    });
    ready.fault_worker(0, &json!({"mode": "failAll"})).expect("fault");
    let first = ready.settle(repeatable(orders("first", 24, "1x1", 50)));
    let hits = |ready: &Ready, settled: &[Settled]| {
        let log = ready.log().expect("log");
        let runs = settled.iter().flat_map(|settled| runs_of(&log, &settled.order.name));
        runs.filter(|run| run.worker.as_str() == "w0").count()
    };
    let first = ready.verify(first);
    assert!(hits(&ready, &first) > 0, "the failing worker got no work");
    let second = ready.settle(repeatable(orders("second", 48, "1x1", 50)));
    let second = ready.verify(second);
    all_succeeded(&second);
    // One job at a time may probe it, and the first pause between probes is 5 s.
    let probes = hits(&ready, &second);
    assert!(
        probes <= 1,
        "{probes} jobs of the second wave ran on the failing worker"
    );
}

/// Guards against cancelled work that runs, a caller that is not told, and urgent work that a wave of
/// cancellations holds up.
#[test]
fn cancel_wave() {
    const WAVE: usize = 200;
    let ready = Ready::start(Setup {
        workers: 2,
        ..Setup::default()
    });
    let long = ready.settle(orders("long", 2, "1x8", 12_000));
    ready.await_run("long-0");
    ready.await_run("long-1");
    let waiting = ready.settle(orders("waiting", WAVE, "1x2", 200));
    let accepted = || {
        let list = ready.block(ready.caller.read(0, &format!("/v1/jobs?account={ACCOUNT}")));
        list.is_ok_and(|list| list["items"].as_array().is_some_and(|items| items.len() == WAVE + 2))
    };
    ready
        .await_that("all jobs are accepted", crate::support::SOON, accepted)
        .expect("accepted");
    let cancels: Vec<_> = (0..WAVE)
        .map(|index| {
            let caller = ready.caller.clone();
            let name = format!("waiting-{index}");
            ready.spawn(async move { caller.cancel(index, ACCOUNT, &name).await })
        })
        .collect();
    let asked = Instant::now();
    let urgent = Order::new(ACCOUNT, "urgent", "1x0", 100).with("urgency", "urgent");
    let urgent = ready.settle(vec![urgent]);
    for cancel in cancels {
        let told = ready.block(cancel);
        assert!(matches!(told, Told::Job(_)), "a cancellation was refused: {told:?}");
    }
    all_succeeded(&ready.verify(urgent));
    let took = asked.elapsed();
    assert!(
        took < URGENT_START.duration(),
        "urgent work and the cancellations took {took:?}"
    );
    let waiting = ready.verify(waiting);
    let log = ready.log().expect("log");
    for settled in &waiting {
        let phase = settled.job.as_ref().map(|job| job.status.phase);
        assert_eq!(phase, Some(JobPhase::Cancelled), "{settled:?}");
        assert!(runs_of(&log, &settled.order.name).is_empty(), "{settled:?} ran");
    }
    all_succeeded(&ready.verify(long));
}

/// Guards against operators who overwrite each other's change of a client account without noticing, and
/// against labels that are taken and then dropped.
#[test]
fn change_account_at_once() {
    const OPERATORS: usize = 6;
    let ready = Ready::start(Setup::default());
    let path = format!("/v1/accounts/{ACCOUNT}");
    let long = json!({"metadata": {"labels": {"team": "x".repeat(5_000)}}, "spec": {}}).to_string();
    let told = ready.block(ready.caller.send(0, Method::PUT, &path, &[], &long, Millis(5_000)));
    let (status, text) = told.expect("response");
    assert_eq!(status.as_u16(), 400, "{text}");
    assert!(text.contains("metadata.labels.team"), "{text}");
    for round in 0..5 {
        pause(100);
        let account = ready.block(ready.caller.read(round, &path)).expect("account");
        let revision = account["metadata"]["revision"].to_string();
        let tasks: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                let (caller, path, revision) = (ready.caller.clone(), path.clone(), revision.clone());
                let weight = 10 + round * OPERATORS + operator;
                let body = json!({
                    "metadata": {"name": ACCOUNT, "labels": {"weight": weight.to_string()}},
                    "spec": {"weight": weight},
                });
                let body = body.to_string();
                let headers = [("if-match", revision)];
                ready.spawn(async move {
                    let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
                    let told = caller
                        .send(operator, Method::PUT, &path, &headers, &body, Millis(5_000))
                        .await;
                    (weight, told.expect("response"))
                })
            })
            .collect();
        let told: Vec<_> = tasks.into_iter().map(|task| ready.block(task)).collect();
        let won: Vec<usize> = told
            .iter()
            .filter(|(_, (status, _))| status.is_success())
            .map(|(weight, _)| *weight)
            .collect();
        let refused = told.iter().filter(|(_, (status, _))| status.as_u16() == 412).count();
        assert_eq!((won.len(), refused), (1, OPERATORS - 1), "{told:?}");
        let holds = || {
            let read = ready.block(ready.caller.read(round + 1, &path));
            read.is_ok_and(|account: Value| {
                let label = &account["metadata"]["labels"]["weight"];
                account["spec"]["weight"] == won[0] && label.as_str() == Some(won[0].to_string().as_str())
            })
        };
        ready
            .await_that("the change that won is shown", crate::support::SOON, holds)
            .expect("account");
    }
}
