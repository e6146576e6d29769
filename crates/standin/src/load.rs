//! Bounded open-loop load against a bench, checked against the workers' logs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use async_io::Timer;
use hdrhistogram::Histogram;
use pistachiostair::{Failure, Millis};
use serde_json::json;

use crate::bench::Bench;
use crate::caller::{Caller, Order, Settled, Told};
use crate::check::{check_gangs, check_settled};
use crate::launch::Setup;

/// Longest wait of one request for the end of a job.
const ROUND: Millis = Millis(10_000);
/// Pause after a response that did not arrive, or that was a failure.
const PAUSE: Duration = Duration::from_millis(200);
/// Highest latency that is told apart from higher ones, in microseconds.
const HIGHEST: u64 = 3_600_000_000;
/// Percentiles that are printed.
const PERCENTILES: [f64; 5] = [50.0, 90.0, 99.0, 99.9, 100.0];
/// Time for the daemons to learn of all workers and accounts.
const SETTLE: Duration = Duration::from_secs(15);

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Orders per second.
    pub rate: f64,
    /// Length of the load.
    pub duration: Duration,
    /// Client accounts, which take turns.
    pub accounts: usize,
    /// Run time of a short order in milliseconds.
    pub short: u64,
    /// Run time of a long job in milliseconds.
    pub long: u64,
    /// Share of long jobs, from 0 to 1.
    pub long_share: f64,
    /// Shape of long jobs.
    pub long_shape: String,
    /// Time after the load within which every accepted job must have ended.
    pub tail: Duration,
}

impl Load {
    fn count(&self) -> usize {
        (self.rate * self.duration.as_secs_f64()) as usize
    }

    fn account(&self, index: usize) -> String {
        format!("load-{}", index % self.accounts.max(1))
    }

    /// Whether an order is long; the long ones are spread evenly.
    fn is_long(&self, index: usize) -> bool {
        let share = |index: usize| (index as f64 * self.long_share).floor();
        share(index + 1) > share(index)
    }

    fn order(&self, index: usize) -> Order {
        let (account, name) = (self.account(index), format!("order-{index}"));
        match self.is_long(index) {
            true => Order::new(&account, &name, &self.long_shape, self.long),
            false => Order::new(&account, &name, "1x0", self.short),
        }
    }
}

/// What became of one order.
struct Outcome {
    settled: Settled,
    long: bool,
    /// From the intended start to the response to the submission.
    accepted: Option<Duration>,
    /// From the intended start to the response with the end.
    ended: Option<Duration>,
    /// When that response arrived.
    at: Instant,
}

/// Starts a bench, applies the load, checks it and returns a report.
///
/// # Errors
///
/// If the bench does not start, or the check finds lost, repeated or falsely reported work.
pub fn run_load(setup: Setup, load: &Load) -> Result<String> {
    let bench = Bench::start(setup.clone())?;
    prepare(&bench, &setup, load)?;
    let usage = Usage::read(&bench, setup.daemons)?;
    let begun = Instant::now();
    let (caller, executor, plan) = (bench.caller.clone(), bench.executor(), load.clone());
    let outcomes = bench.block(async move {
        let mut tasks = Vec::new();
        for index in 0..plan.count() {
            let intended = begun + Duration::from_secs_f64(index as f64 / plan.rate);
            // A late timer does not move the intended start, from which latencies are measured.
            Timer::at(intended).await;
            let until = begun + plan.duration + plan.tail;
            let (caller, order, long) = (caller.clone(), plan.order(index), plan.is_long(index));
            tasks.push(executor.spawn(async move { follow(&caller, index, order, long, intended, until).await }));
        }
        let mut outcomes = Vec::new();
        for task in tasks {
            outcomes.push(task.await);
        }
        outcomes
    });
    let spent = Usage::read(&bench, setup.daemons)?.since(&usage, begun.elapsed());
    let log = bench.log()?;
    let settled: Vec<Settled> = outcomes.iter().map(|outcome| outcome.settled.clone()).collect();
    let report = describe(load, &outcomes, begun) + &spent;
    check_settled(&log, &settled).with_context(|| report.clone())?;
    check_gangs(&log, &settled).with_context(|| report.clone())?;
    Ok(format!(
        "{report}checked against the workers' logs: nothing lost, nothing run twice\n"
    ))
}

fn prepare(bench: &Bench, setup: &Setup, load: &Load) -> Result<()> {
    for index in 0..load.accounts.max(1) {
        let name = load.account(index);
        let account = json!({"metadata": {"name": name}, "spec": {}});
        let put = || {
            bench
                .block(bench.caller.put(0, &format!("/v1/accounts/{name}"), &account))
                .is_ok()
        };
        bench.await_that(&format!("account {name} is accepted"), SETTLE, put)?;
    }
    bench.await_that("all workers are known", SETTLE, || {
        let list = bench.block(bench.caller.read(0, "/v1/workers"));
        list.is_ok_and(|list| {
            list["items"]
                .as_array()
                .is_some_and(|items| items.len() == setup.workers * setup.identities)
        })
    })
}

/// Submits an order once and follows it to its end. A refusal is final; an unknown outcome is
/// cleared up with the same key.
async fn follow(caller: &Caller, entry: usize, order: Order, long: bool, intended: Instant, until: Instant) -> Outcome {
    let mut outcome = Outcome {
        settled: Settled {
            order,
            job: None,
            failures: Vec::new(),
            lost: 0,
            took: Millis::ZERO,
        },
        long,
        accepted: None,
        ended: None,
        at: intended,
    };
    for attempt in 0.. {
        let settled = &mut outcome.settled;
        let order = &settled.order;
        let told = match &settled.job {
            None => caller.submit(entry + attempt, order, Millis::ZERO).await,
            Some(_) => caller.get(entry + attempt, &order.account, &order.name, ROUND).await,
        };
        outcome.at = Instant::now();
        let took = outcome.at - intended;
        settled.took = Millis(took.as_millis() as u64);
        match told {
            Told::Job(job) => {
                settled.job = Some(*job);
                outcome.accepted.get_or_insert(took);
            }
            Told::Failed(_, failure) => {
                settled.failures.push(failure);
                if settled.was_refused() {
                    break;
                }
                Timer::after(PAUSE).await;
            }
            Told::Lost(_) => {
                settled.lost += 1;
                Timer::after(PAUSE).await;
            }
        }
        if outcome.settled.is_final() {
            outcome.ended = Some(took);
            break;
        }
        if Instant::now() > until {
            break;
        }
    }
    outcome
}

fn describe(load: &Load, outcomes: &[Outcome], begun: Instant) -> String {
    let ended: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.ended.is_some()).collect();
    let mut seconds: BTreeMap<u64, usize> = BTreeMap::new();
    for outcome in &ended {
        *seconds.entry((outcome.at - begun).as_secs()).or_default() += 1;
    }
    let length = load.duration.as_secs();
    let within: usize = seconds.range(..length).map(|(_, count)| count).sum();
    let peak = seconds.values().max().copied().unwrap_or_default();
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} orders at {}/s for {length} s: {} accepted, {} ended; ended per second: {:.1} sustained, {peak} peak",
        outcomes.len(),
        load.rate,
        outcomes.iter().filter(|outcome| outcome.accepted.is_some()).count(),
        ended.len(),
        within as f64 / length.max(1) as f64,
    );
    let failures = outcomes.iter().flat_map(|outcome| &outcome.settled.failures);
    for (reason, count) in count_failures(failures) {
        let _ = writeln!(text, "told {count} times: {reason}");
    }
    let lost: u32 = outcomes.iter().map(|outcome| outcome.settled.lost).sum();
    let _ = writeln!(text, "responses that did not arrive: {lost}");
    let of = |long: bool| outcomes.iter().filter(move |outcome| outcome.long == long);
    text += &percentiles("accepted", outcomes.iter().filter_map(|outcome| outcome.accepted));
    text += &percentiles("short ended", of(false).filter_map(|outcome| outcome.ended));
    text += &percentiles("long ended", of(true).filter_map(|outcome| outcome.ended));
    text
}

fn count_failures<'a>(failures: impl Iterator<Item = &'a Failure>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for failure in failures {
        *counts
            .entry(format!("ran: {:?}, {:?}", failure.ran, failure.kind))
            .or_default() += 1;
    }
    counts
}

/// Percentiles in milliseconds, measured from the intended start.
fn percentiles(what: &str, times: impl Iterator<Item = Duration>) -> String {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, HIGHEST, 3).expect("the bounds are valid");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    if histogram.is_empty() {
        return String::new();
    }
    let values = PERCENTILES.map(|percentile| {
        let millis = histogram.value_at_percentile(percentile) as f64 / 1_000.0;
        format!("p{percentile} {millis:.1}")
    });
    format!(
        "{what}, ms from the intended start: {} (n {})\n",
        values.join(", "),
        histogram.len()
    )
}

/// What the daemons and the platform have done so far.
struct Usage {
    /// Processor time of each daemon, in clock ticks of 10 ms, and its peak memory in KiB.
    daemons: Vec<(u64, u64)>,
    counts: crate::platform::Counts,
}

impl Usage {
    fn read(bench: &Bench, daemons: usize) -> Result<Self> {
        let ids = (0..daemons).map(|index| bench.daemon_id(index));
        Ok(Self {
            daemons: ids.map(read_process).collect::<Result<_>>()?,
            counts: bench.counts()?,
        })
    }

    fn since(&self, earlier: &Self, span: Duration) -> String {
        let per_second = |count: u64| count as f64 / span.as_secs_f64();
        let mut text = String::new();
        for (index, (now, before)) in self.daemons.iter().zip(&earlier.daemons).enumerate() {
            let share = per_second(now.0 - before.0);
            let _ = writeln!(
                text,
                "d{index}: {share:.1}% of a core, peak memory {} MB",
                now.1 / 1_024
            );
        }
        let (now, before) = (&self.counts, &earlier.counts);
        let _ = writeln!(
            text,
            "platform: {:.1} row writes/s, {:.1} object writes/s, {:.1} reads/s",
            per_second(now.row_writes - before.row_writes),
            per_second(now.object_writes - before.object_writes),
            per_second(now.reads - before.reads),
        );
        text
    }
}

fn read_process(id: u32) -> Result<(u64, u64)> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The fields after the name in brackets, which may contain spaces: utime and stime are the 12th and 13th.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| -> Result<u64> { Ok(fields.get(index).context("short stat line")?.parse()?) };
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak
        .and_then(|line| line.split_whitespace().next())
        .context("no VmHWM")?;
    Ok((ticks(11)? + ticks(12)?, peak.parse()?))
}
