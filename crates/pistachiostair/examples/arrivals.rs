//! Waits and completion under the load of the two deployments, in virtual time and with a fixed
//! seed: the planner against first-come-first-served first-fit and backfill with trusted run times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod baseline;

use baseline::Simple;
use pistachiostair::{Change, Decision, End, JobId, JobSpec, MemberState, Millis, Planner, Size, Urgency, WorkerInfo};

const WORKERS: usize = 50;
const WIDTH: usize = 8;
const SHORT: u64 = 5_000;
const SPAN: u64 = 3_600_000;
/// Bursts come every ten minutes and last four seconds.
const BURST_EVERY: u64 = 600_000;
const BURST_SPAN: u64 = 4_000;

#[derive(Clone)]
struct Arrival {
    at: u64,
    spec: JobSpec,
    run: u64,
    cancel: Option<u64>,
    burst: bool,
}

struct Deployment {
    name: &'static str,
    burst: usize,
    gang: &'static [&'static str],
    gang_run: u64,
    gangs: u64,
}

/// Arrivals of one hour: a steady stream, bursts, stragglers, cancellation waves, gangs.
fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    let mut push = |random: &mut fastrand::Rng, at: u64, shape: &str, run: u64, burst: bool| {
        let straggles = shape.starts_with("1x") && random.u32(0..100) < 3;
        let run = if straggles { run * 30 } else { run };
        // Two large accounts and two small ones; declared run times are off by up to ten times.
        let account = ["a", "a", "a", "a", "b", "b", "b", "c", "c", "d"][random.usize(0..10)];
        let declared = run as f64 * 10f64.powf(random.f64() * 2.0 - 1.0);
        let stop = random.u32(0..10);
        let spec = JobSpec {
            account: account.into(),
            shape: shape.parse().expect("shape"),
            urgency: if random.u32(0..10) == 0 {
                Urgency::Urgent
            } else {
                Urgency::Normal
            },
            size: Size::default(),
            runtime: Some(Millis(declared as u64)),
            idempotent: stop < 5,
            checkpointable: stop < 3 || run > 60_000 && stop < 8,
            payload: None,
            deadline: None,
            region: None,
        };
        let wave = burst && random.u32(0..100) < 15;
        let cancel = wave.then(|| at / BURST_EVERY * BURST_EVERY + BURST_SPAN + 2_000);
        all.push(Arrival {
            at,
            spec,
            run,
            cancel,
            burst,
        });
    };
    for at in (0..SPAN).step_by(250) {
        let run = random.u64(500..4_000);
        let shape = ["1x0", "1x1"][random.usize(0..2)];
        push(&mut random, at, shape, run, false);
        if random.u32(0..100) < 3 {
            let run = random.u64(60_000..600_000);
            let shape = ["1x4", "1x8", "2x8", "1x2"][random.usize(0..4)];
            push(&mut random, at, shape, run, false);
        }
    }
    for start in (BURST_EVERY..SPAN).step_by(BURST_EVERY as usize) {
        for _ in 0..deployment.burst {
            let at = start + random.u64(0..BURST_SPAN);
            let run = random.u64(500..4_000);
            let shape = if random.bool() { "1x0" } else { "1x1" };
            push(&mut random, at, shape, run, true);
        }
    }
    for index in 0..deployment.gangs {
        let at = SPAN / 2 + index * 20_000;
        let run = random.u64(deployment.gang_run / 2..deployment.gang_run);
        let shape = deployment.gang[random.usize(0..deployment.gang.len())];
        push(&mut random, at, shape, run, false);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn workers() -> Vec<WorkerInfo> {
    let info = |index: usize| WorkerInfo {
        name: format!("w{index:02}").as_str().into(),
        region: "r".into(),
        domain: format!("d{}", index / WIDTH / 3).as_str().into(),
        rack: format!("r{}", index / WIDTH).as_str().into(),
        slots: 8,
        accelerators: 8,
        millicores: 30_000,
        memory: 65_536,
    };
    (0..WORKERS).map(info).collect()
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Planner,
    FirstFit,
    Backfill,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(JobId, u64),
    Stop(JobId, u64),
    Cancel(JobId),
    Arrive(JobId),
    Tick,
}

fn percentile(values: &mut [u64], share: f64) -> f64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share) as usize).copied().unwrap_or(0) as f64 / 1_000.0
}

fn run(policy: Policy, table: &[Arrival]) -> String {
    let mut planner = Planner::new();
    let mut simple = Simple {
        free: vec![(8, 8); WORKERS],
        waiting: BTreeMap::new(),
        placed: BTreeMap::new(),
        backfill: policy == Policy::Backfill,
    };
    for info in workers() {
        let state = MemberState::Live;
        planner.apply(Millis(0), Change::Worker { info, state });
    }
    let mut events = BinaryHeap::new();
    for (index, arrival) in table.iter().enumerate() {
        events.push(Reverse((arrival.at, Event::Arrive(JobId(index as u64)))));
        events.extend(
            arrival
                .cancel
                .map(|at| Reverse((at, Event::Cancel(JobId(index as u64))))),
        );
    }
    // For each job: attempt, start, service that counts (kept by checkpoints), first start, end.
    let mut state = vec![(0u64, None::<u64>, 0u64, None::<u64>, None::<u64>); table.len()];
    let (mut lost, mut moves, mut fragmentation, mut ticks) = (0u64, 0u64, 0.0, 0u64);
    events.push(Reverse((0, Event::Tick)));
    while let Some(Reverse((now, event))) = events.pop() {
        let at = Millis(now);
        match event {
            Event::Tick if now < SPAN || !simple.waiting.is_empty() || planner.figures().waiting > 0 => {
                events.push(Reverse((now + 100, Event::Tick)));
                fragmentation += match policy {
                    Policy::Planner => planner.figures().fragmentation,
                    Policy::FirstFit | Policy::Backfill => simple.fragmentation(),
                };
                ticks += 1;
            }
            Event::Tick => continue,
            Event::Arrive(job) => {
                let spec = table[job.0 as usize].spec.clone();
                let served = Millis::ZERO;
                if policy == Policy::Planner {
                    planner.apply(at, Change::Queued { job, spec, served });
                } else {
                    simple.waiting.insert(job, spec);
                }
            }
            Event::Cancel(job) | Event::End(job, _) | Event::Stop(job, _) => {
                let entry = &mut state[job.0 as usize];
                let arrival = &table[job.0 as usize];
                let stale = match event {
                    Event::Cancel(_) => entry.3.is_some(),
                    Event::End(_, attempt) | Event::Stop(_, attempt) => entry.0 != attempt || entry.1.is_none(),
                    _ => false,
                };
                if stale {
                    continue;
                }
                simple.end(job);
                let end = if matches!(event, Event::End(..)) {
                    End::Succeeded
                } else {
                    End::Stopped
                };
                planner.apply(at, Change::Ended { job, end });
                if let (Event::Stop(..), Some(start)) = (event, entry.1.take()) {
                    let kept = arrival.spec.checkpointable;
                    lost += if kept {
                        0
                    } else {
                        (now - start) * u64::from(arrival.spec.shape.total().max(1))
                    };
                    moves += 1;
                    entry.2 += if kept { now - start } else { 0 };
                    let (served, spec) = (Millis(now - start + entry.2), arrival.spec.clone());
                    planner.apply(at, Change::Queued { job, spec, served });
                } else if matches!(event, Event::End(..)) {
                    entry.4 = Some(now);
                }
            }
        }
        let mut started = Vec::new();
        if policy == Policy::Planner {
            for decision in planner.plan(at, 1_000) {
                match decision {
                    Decision::Place { job, .. } => {
                        planner.apply(at, Change::Running(job));
                        started.push(job);
                    }
                    Decision::Reclaim { job, grace, .. } => {
                        events.push(Reverse((now + grace.0, Event::Stop(job, state[job.0 as usize].0))));
                    }
                    Decision::Unrunnable { .. } => {}
                }
            }
        } else if event != Event::Tick {
            started = simple.plan(now);
        }
        for job in started {
            let entry = &mut state[job.0 as usize];
            (entry.0, entry.1) = (entry.0 + 1, Some(now));
            entry.3 = entry.3.or(Some(now));
            let left = table[job.0 as usize].run.saturating_sub(entry.2).max(1);
            events.push(Reverse((now + left, Event::End(job, entry.0))));
        }
    }
    let pick = |filter: &dyn Fn(&Arrival) -> bool, value: &dyn Fn(usize) -> Option<u64>| -> Vec<u64> {
        let jobs = (0..table.len()).filter(|index| filter(&table[*index]));
        jobs.filter_map(|index| value(index).map(|at| at - table[index].at))
            .collect()
    };
    let (start, end) = (|index: usize| state[index].3, |index: usize| state[index].4);
    let large = |arrival: &Arrival| arrival.spec.shape.workers >= 8;
    let mut all = pick(&|_| true, &end);
    let mut peak = pick(&|arrival| arrival.burst && arrival.run <= SHORT, &start);
    let mut urgent = pick(&|arrival| arrival.spec.urgency == Urgency::Urgent, &start);
    let (mut gang_wait, mut gang_end) = (pick(&large, &start), pick(&large, &end));
    let unfinished = (0..table.len())
        .filter(|i| state[*i].3.is_some() && state[*i].4.is_none())
        .count();
    format!(
        "completion {:.1} / {:.1}; burst wait {:.2} / {:.2}; urgent wait p99 {:.1}; gang wait max {:.0}, completion \
         {:.0} / {:.0}; fragmentation {:.2}; stopped {moves}, lost {:.0}; unfinished {unfinished}",
        percentile(&mut all, 0.5),
        percentile(&mut all, 0.99),
        percentile(&mut peak, 0.5),
        percentile(&mut peak, 0.99),
        percentile(&mut urgent, 0.99),
        percentile(&mut gang_wait, 1.0),
        percentile(&mut gang_end, 0.5),
        percentile(&mut gang_end, 0.99),
        fragmentation / (ticks.max(1)) as f64,
        lost as f64 / 1_000.0,
    )
}

fn main() {
    let transcripts = Deployment {
        name: "transcripts",
        burst: 1_500,
        gang: &["8x8", "4x8"],
        gang_run: 300_000,
        gangs: 6,
    };
    let treasury = Deployment {
        name: "treasury",
        burst: 800,
        gang: &["8x8", "16x8"],
        gang_run: 600_000,
        gangs: 12,
    };
    println!("seconds; median / 99th percentile; lost: accelerator seconds");
    for deployment in [transcripts, treasury] {
        let table = arrivals(&deployment, 11);
        println!("{}: {} jobs", deployment.name, table.len());
        for (name, policy) in [
            ("planner", Policy::Planner),
            ("first-fit", Policy::FirstFit),
            ("backfill", Policy::Backfill),
        ] {
            println!("  {name:10} {}", run(policy, &table));
        }
    }
}
