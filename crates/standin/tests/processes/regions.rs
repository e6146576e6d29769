//! Two regions that share the table service.

use hyper::{Method, StatusCode};
use pistachiostair::{Failure, JobPhase, Millis, Ran};
use serde_json::{Value, json};
use standin::{FAR_REGION, LogEntry, Order, Settled, Setup, Told, check_gangs, check_settled, runs_of};

use crate::support::{ACCOUNT, LIMIT, Ready, SOON, all_succeeded, orders};

/// Wait of a caller for the end of its job.
const WAIT: Millis = Millis(10_000);

fn two_regions() -> Ready {
    let ready = Ready::start(Setup {
        daemons: 2,
        workers: 2,
        far_daemons: 2,
        far_workers: 2,
        ..Setup::default()
    });
    await_far(&ready);
    ready
}

fn far_workers(ready: &Ready) -> Option<usize> {
    let path = format!("/v1/workers?region={FAR_REGION}");
    let list: Value = ready.block(ready.caller.read(0, &path)).ok()?;
    Some(list["items"].as_array()?.len())
}

/// Waits until a daemon of this region learns the workers of the other one from its scheduler.
fn await_far(ready: &Ready) {
    let known = || far_workers(ready) == Some(2);
    ready
        .await_that("the other region answers", SOON, known)
        .expect("region");
}

fn far(name: &str) -> Order {
    Order::new(ACCOUNT, name, "1x1", 300).with("region", FAR_REGION)
}

fn region_of(order: &Order) -> &str {
    order.spec["region"].as_str().expect("region")
}

/// Checks each region's orders against the logs of its workers, since each region numbers its own jobs, and that no
/// order ran in the other region.
fn verify(ready: &Ready, settled: &[Settled]) {
    let log = ready.log().expect("log");
    let (near, other): (Vec<LogEntry>, _) = log
        .into_iter()
        .partition(|entry| ["w0", "w1"].contains(&entry.worker.as_str()));
    for (region, own, foreign) in [("fi", &near, &other), (FAR_REGION, &other, &near)] {
        let settled: Vec<Settled> = settled
            .iter()
            .filter(|s| region_of(&s.order) == region)
            .cloned()
            .collect();
        if let Err(error) = check_settled(own, &settled).and_then(|()| check_gangs(own, &settled)) {
            panic!("{region}: {error:#}; see {}", ready.dir().display());
        }
        for settled in &settled {
            let runs = runs_of(foreign, &settled.order.name);
            assert!(runs.is_empty(), "{region}: ran in the other region: {runs:?}");
        }
    }
}

fn submit(ready: &Ready, entry: usize, order: Order) -> Settled {
    let settled = ready.block(ready.caller.settle(entry, order, LIMIT));
    verify(ready, std::slice::from_ref(&settled));
    settled
}

/// Orders to each of the four daemons in turn, for its own region.
fn own_orders(prefix: &str, shape: &str) -> Vec<Order> {
    let orders = orders(prefix, 4, shape, 200).into_iter().enumerate();
    orders
        .map(|(index, order)| order.with("region", if index < 2 { "fi" } else { FAR_REGION }))
        .collect()
}

/// Guards against a job that runs in the region of the entry daemon instead of the one that it names, and against an
/// answer that does not find its way back.
#[test]
fn name_other_region() {
    let ready = two_regions();
    let told = ready.block(ready.caller.submit(0, &far("here"), WAIT));
    let Told::Job(job) = told else { panic!("{told:?}") };
    assert_eq!(job.status.phase, JobPhase::Succeeded, "{job:?}");
    assert_eq!(job.status.answer.as_deref(), Some("here"));
    // The same key again: the region's first answer, and no second run.
    all_succeeded(&[submit(&ready, 1, far("here"))]);
    // The entries of the other region follow those of this one.
    let settled = submit(&ready, 2, Order::new(ACCOUNT, "there", "1x1", 300).with("region", "fi"));
    all_succeeded(&[settled]);
}

/// Guards against regions that stop their own work when they lose each other, that leave callers of the other region
/// without an accurate refusal, or that don't find each other again.
#[test]
fn cut_regions() {
    let ready = two_regions();
    ready.cut_regions().expect("cut");
    // Until the cut is detected, a call on an open connection has an unknown outcome.
    let dead = || {
        let list = ready.block(ready.caller.read(0, "/v1/members"));
        let items = list.ok().and_then(|list| list["items"].as_array().cloned());
        items.is_some_and(|items| items.iter().filter(|member| member["state"] == "dead").count() == 2)
    };
    ready.await_that("the cut is detected", SOON, dead).expect("cut");
    let mut tasks = ready.settle(own_orders("own", "1x1"));
    tasks.extend(ready.settle(own_orders("gang", "2x2")));

    let order = far("refused");
    let body = json!({"metadata": {"name": order.name}, "spec": order.spec}).to_string();
    let headers = [("content-type", "application/json")];
    let sent = ready
        .caller
        .send(0, Method::POST, "/v1/jobs", &headers, &body, Millis(20_000));
    let (status, text) = ready.block(sent).expect("response");
    assert!(
        matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT),
        "{status}: {text}"
    );
    let failure: Failure = serde_json::from_str(&text).expect("failure");
    assert_eq!(failure.ran, Ran::No, "{failure:?}");
    assert!(failure.retry.is_some(), "{failure:?}");

    let settled: Vec<Settled> = tasks.into_iter().map(|task| ready.block(task)).collect();
    verify(&ready, &settled);
    all_succeeded(&settled);
    let log = ready.log().expect("log");
    assert!(runs_of(&log, "refused").is_empty(), "the refused job ran");

    ready.open_links().expect("open");
    await_far(&ready);
    all_succeeded(&[submit(&ready, 0, far("again"))]);
}
