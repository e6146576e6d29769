//! A bench with an account, and helpers for orders.

use std::ops::Deref;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_executor::Task;
use pistachiostair::{JobPhase, Millis};
use serde_json::json;
use standin::{Bench, LogEntry, LogKind, Order, Settled, Setup, check_gangs, check_settled};

/// Client account of all orders.
pub(crate) const ACCOUNT: &str = "court";
/// Time within which a caller must learn the end of its order.
pub(crate) const LIMIT: Millis = Millis(45_000);
/// Time within which a condition must hold that the fault itself does not delay.
pub(crate) const SOON: Duration = Duration::from_secs(15);

/// Benches that run at once, so that the processes of all tests do not starve each other.
const BENCHES: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// One of the benches that may run at once.
struct Permit;

impl Permit {
    fn take() -> Self {
        let running = RUNNING.lock().expect("permit lock");
        let mut running = ENDED
            .wait_while(running, |running| *running >= BENCHES)
            .expect("permit lock");
        *running += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().expect("permit lock") -= 1;
        ENDED.notify_one();
    }
}

/// A bench on which an order has run, so that a scheduler is elected and the workers are known.
pub(crate) struct Ready {
    pub(crate) bench: Bench,
    _permit: Permit,
}

impl Deref for Ready {
    type Target = Bench;

    fn deref(&self) -> &Bench {
        &self.bench
    }
}

impl Ready {
    pub(crate) fn start(setup: Setup) -> Self {
        let permit = Permit::take();
        let workers = setup.workers;
        let bench = Bench::start(setup).expect("bench");
        let path = format!("/v1/accounts/{ACCOUNT}");
        let account = json!({"metadata": {"name": ACCOUNT}, "spec": {}});
        let put = || bench.block(bench.caller.put(0, &path, &account)).is_ok();
        bench.await_that("the account is accepted", SOON, put).expect("account");
        let known = || {
            let list = bench.block(bench.caller.read(0, "/v1/workers"));
            list.is_ok_and(|list| list["items"].as_array().is_some_and(|items| items.len() == workers))
        };
        bench.await_that("all workers are known", SOON, known).expect("workers");
        Self { bench, _permit: permit }
    }

    /// Submits orders in the background, to one daemon after the other.
    pub(crate) fn settle(&self, orders: Vec<Order>) -> Vec<Task<Settled>> {
        self.settle_within(orders, LIMIT)
    }

    /// As [`Self::settle`], with another time within which the callers must learn the ends.
    pub(crate) fn settle_within(&self, orders: Vec<Order>, limit: Millis) -> Vec<Task<Settled>> {
        let tasks = orders.into_iter().enumerate().map(|(index, order)| {
            let caller = self.caller.clone();
            self.spawn(async move { caller.settle(index, order, limit).await })
        });
        tasks.collect()
    }

    /// Waits for orders and checks them against the logs.
    pub(crate) fn verify(&self, tasks: Vec<Task<Settled>>) -> Vec<Settled> {
        let settled: Vec<Settled> = tasks.into_iter().map(|task| self.block(task)).collect();
        self.verify_settled(&settled);
        settled
    }

    pub(crate) fn verify_settled(&self, settled: &[Settled]) {
        let log = self.log().expect("log");
        if let Err(error) = check_settled(&log, settled).and_then(|()| check_gangs(&log, settled)) {
            panic!("{error:#}; see {}", self.dir().display());
        }
    }

    /// Waits until the logs hold an entry.
    pub(crate) fn await_log(&self, what: &str, found: impl Fn(&LogEntry) -> bool) {
        let holds = || self.log().expect("log").iter().any(&found);
        self.await_that(what, SOON, holds).expect("log entry");
    }

    /// Waits until an order runs.
    pub(crate) fn await_run(&self, name: &str) {
        self.await_log(&format!("{name} runs"), |entry| {
            entry.kind == LogKind::Begin && entry.payload.as_deref().is_some_and(|payload| payload.contains(name))
        });
    }
}

/// Orders of one shape and run time, called `PREFIX-NUMBER`.
pub(crate) fn orders(prefix: &str, count: usize, shape: &str, millis: u64) -> Vec<Order> {
    let name = |index| format!("{prefix}-{index}");
    (0..count)
        .map(|index| Order::new(ACCOUNT, &name(index), shape, millis))
        .collect()
}

pub(crate) fn all_succeeded(settled: &[Settled]) {
    for settled in settled {
        let phase = settled.job.as_ref().map(|job| job.status.phase);
        assert_eq!(phase, Some(JobPhase::Succeeded), "{settled:?}");
    }
}

pub(crate) fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Milliseconds since the Unix epoch, as in the logs.
pub(crate) fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis() as u64
}
