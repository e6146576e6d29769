//! Cost of a decision at 1, 2, 4 and 8 times the design scale.
//!
//! The region is full and has a long queue; then jobs end at random and each end is followed by a
//! plan call, whose time is divided by its decisions. Cancellations and arrivals are timed too.

use std::collections::BTreeMap;
use std::time::Instant;

use pistachiostair::{
    AccountName, AccountSpec, AttemptEnd, Change, Decision, Guarantee, GuaranteeSpec, JobId, JobSpec, MemberState,
    Metadata, Millis, Planner, Size, Urgency, WorkerInfo,
};

const ACCOUNTS: u64 = 34;
const EVENTS: usize = 4_000;

struct Load {
    planner: Planner,
    random: fastrand::Rng,
    now: Millis,
    next: u64,
    running: Vec<JobId>,
    at: BTreeMap<JobId, usize>,
    specs: BTreeMap<JobId, JobSpec>,
}

impl Load {
    fn new(scale: u64) -> Self {
        let mut planner = Planner::new();
        for index in 0..1_000 * scale {
            let info = WorkerInfo {
                name: format!("w{index:05}").as_str().into(),
                region: "r".into(),
                domain: format!("d{:02}", index / 143).as_str().into(),
                rack: format!("r{:04}", index / 8).as_str().into(),
                slots: 12,
                accelerators: if index % 10 == 0 { 3 } else { 2 },
                millicores: 30_000,
                memory: 65_536,
            };
            let state = MemberState::Live;
            planner.apply(Millis(0), Change::Worker { info, state });
        }
        for account in 0..ACCOUNTS {
            let spec = AccountSpec {
                weight: 1 + account as u32 % 3,
                quota: Some(200 * scale as u32),
                outstanding: None,
                rate: None,
            };
            planner.apply(Millis(0), Change::Account(name(account), spec));
        }
        for account in 0..10 {
            planner.apply(Millis(0), Change::Guarantee(guarantee(account)));
        }
        Self {
            planner,
            random: fastrand::Rng::with_seed(7),
            now: Millis(10_000),
            next: 0,
            running: Vec::new(),
            at: BTreeMap::new(),
            specs: BTreeMap::new(),
        }
    }

    /// Queues a job: mostly without accelerators, a few of them gangs.
    fn queue(&mut self) -> JobId {
        self.next += 1;
        let job = JobId(self.next);
        let shape = match self.random.u32(0..100) {
            0..75 => "1x0",
            75..88 => "1x1",
            88..95 => "1x2",
            95..98 => "2x2",
            98 => "8x2",
            _ => "32x2",
        };
        let spec = JobSpec {
            account: name(self.random.u64(0..ACCOUNTS)),
            shape: shape.parse().expect("shape"),
            urgency: [Urgency::Batch, Urgency::Normal, Urgency::Normal, Urgency::Urgent][self.random.usize(0..4)],
            size: Size::default(),
            runtime: [None, Some(Millis(1_000)), Some(Millis(60_000))][self.random.usize(0..3)],
            idempotent: self.random.bool(),
            checkpointable: self.random.u8(0..4) == 0,
            payload: None,
            deadline: None,
            region: None,
        };
        self.specs.insert(job, spec.clone());
        let served = Millis::ZERO;
        self.planner.apply(self.now, Change::Queued { job, spec, served });
        job
    }

    fn plan(&mut self) -> usize {
        let decisions = self.planner.plan(self.now, 100);
        for decision in &decisions {
            match decision {
                Decision::Place { job, .. } => {
                    self.planner.apply(self.now, Change::Running(*job));
                    self.at.insert(*job, self.running.len());
                    self.running.push(*job);
                }
                Decision::Reclaim { job, .. } => {
                    let spec = self.specs[job].clone();
                    self.end(*job, AttemptEnd::Stopped);
                    let served = Millis(1_000);
                    self.planner.apply(
                        self.now,
                        Change::Queued {
                            job: *job,
                            spec,
                            served,
                        },
                    );
                }
                Decision::Unrunnable { .. } => {}
            }
        }
        decisions.len()
    }

    fn end(&mut self, job: JobId, end: AttemptEnd) {
        let index = self.at.remove(&job).expect("it runs");
        self.running.swap_remove(index);
        if let Some(moved) = self.running.get(index) {
            self.at.insert(*moved, index);
        }
        self.planner.apply(self.now, Change::Ended { job, end });
    }
}

fn name(account: u64) -> AccountName {
    format!("team{account:02}").as_str().into()
}

fn guarantee(account: u64) -> Guarantee {
    Guarantee {
        metadata: Metadata {
            name: format!("g{account}"),
            ..Metadata::default()
        },
        spec: GuaranteeSpec {
            account: name(account),
            shape: "8x2".parse().expect("shape"),
            count: 2,
            region: None,
            grace: Millis(2_000),
        },
        conditions: Vec::new(),
    }
}

fn percentile(values: &mut [u64], share: f64) -> f64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share) as usize).copied().unwrap_or(0) as f64 / 1_000.0
}

fn measure(scale: u64) {
    let mut load = Load::new(scale);
    // Keeps the queue at its length until the region is full; reclaiming goes on.
    for _ in 0..200 * scale {
        while load.planner.stats().waiting < 10_000 * scale as usize {
            (0..500).for_each(|_| {
                load.queue();
            });
        }
        load.now += Millis(1);
        load.plan();
    }
    let figures = load.planner.stats();
    let (mut event, mut decision, mut arrival, mut cancel) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for _ in 0..EVENTS {
        load.now += Millis(5);
        let job = load.running[load.random.usize(0..load.running.len())];
        let start = Instant::now();
        load.end(job, AttemptEnd::Succeeded);
        let count = load.plan();
        let spent = start.elapsed().as_nanos() as u64;
        event.push(spent);
        if count > 0 {
            decision.push(spent / count as u64);
        }
        let start = Instant::now();
        let queued = load.queue();
        load.plan();
        arrival.push(start.elapsed().as_nanos() as u64);
        if load.at.contains_key(&queued) {
            continue;
        }
        let start = Instant::now();
        let end = AttemptEnd::Stopped;
        load.planner.apply(load.now, Change::Ended { job: queued, end });
        cancel.push(start.elapsed().as_nanos() as u64);
        load.queue();
    }
    println!(
        "{scale}x: {} jobs run, {} waiting, {} of {} accelerators used; microseconds (median, 99th percentile):",
        figures.placed, figures.waiting, figures.used, figures.accelerators
    );
    for (what, values) in [
        ("end and plan", &mut event),
        ("per decision", &mut decision),
        ("arrival and plan", &mut arrival),
        ("cancellation", &mut cancel),
    ] {
        let (median, high) = (percentile(values, 0.5), percentile(values, 0.99));
        println!("    {what:18} {median:9.1} {high:9.1}   ({} samples)", values.len());
    }
}

fn main() {
    let scales = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let scales: Vec<u64> = scales.collect();
    for scale in if scales.is_empty() { vec![1, 2, 4, 8] } else { scales } {
        measure(scale);
    }
}
