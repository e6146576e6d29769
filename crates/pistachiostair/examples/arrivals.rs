//! Waits and completion under the load of the two deployments, in virtual time: the planner against
//! first-come-first-served first-fit and backfill with trusted run times. The arguments are seeds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod baseline;
mod load;

use baseline::Simple;
use load::measure::{LABELS, Progress, Row, row};
use load::{Arrival, SPAN, WIDTH, WORKERS};
use pistachiostair::{AttemptEnd, Change, Decision, Guarantee, JobId, JobSpec, MemberState, Millis, Planner};

const SEEDS: [u64; 3] = [11, 12, 13];
/// Time beyond the grace after which a job within a guarantee counts as late.
const MARGIN: u64 = 1_000;
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

struct Bench<'a> {
    table: &'a [Arrival],
    policy: Policy,
    planner: Planner,
    simple: Simple,
    guarantees: Vec<Guarantee>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    jobs: Vec<Progress>,
    lost: u64,
    stops: u64,
    fragmentation: f64,
    ticks: u64,
}

impl<'a> Bench<'a> {
    fn new(policy: Policy, table: &'a [Arrival]) -> Self {
        let mut planner = Planner::new();
        for info in load::workers() {
            let state = MemberState::Live;
            planner.apply(Millis(0), Change::Worker { info, state });
        }
        for guarantee in load::guarantees() {
            planner
                .check_guarantee(&guarantee)
                .expect("an empty region can honour it");
            planner.apply(Millis(0), Change::Guarantee(guarantee));
        }
        let mut events = BinaryHeap::from([Reverse((0, Event::Tick))]);
        for (index, arrival) in table.iter().enumerate() {
            let job = JobId(index as u64);
            events.push(Reverse((arrival.at, Event::Arrive(job))));
            events.extend(arrival.cancel.map(|at| Reverse((at, Event::Cancel(job)))));
        }
        Self {
            table,
            policy,
            planner,
            simple: Simple {
                free: vec![(8, 8); WORKERS],
                waiting: BTreeMap::new(),
                placed: BTreeMap::new(),
                backfill: policy == Policy::Backfill,
            },
            guarantees: load::guarantees(),
            events,
            jobs: vec![Progress::default(); table.len()],
            lost: 0,
            stops: 0,
            fragmentation: 0.0,
            ticks: 0,
        }
    }

    fn spec(&self, job: JobId) -> &JobSpec {
        &self.table[job.0 as usize].spec
    }

    fn run(mut self) -> Row {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if self.handle(now, event) {
                self.plan(now, event == Event::Tick);
            }
        }
        let fragmentation = self.fragmentation / self.ticks.max(1) as f64;
        let lost = self.lost as f64 / 1_000.0;
        row(self.table, &self.jobs, [fragmentation, self.stops as f64, lost])
    }

    /// Executes an event; false if it is out of date.
    fn handle(&mut self, now: u64, event: Event) -> bool {
        match event {
            Event::Tick => {
                let busy = now < SPAN || !self.simple.waiting.is_empty() || self.planner.stats().waiting > 0;
                if busy {
                    self.events.push(Reverse((now + 100, Event::Tick)));
                    self.fragmentation += match self.policy {
                        Policy::Planner => self.planner.stats().fragmentation,
                        Policy::FirstFit | Policy::Backfill => self.simple.fragmentation(),
                    };
                    self.ticks += 1;
                }
                busy
            }
            Event::Arrive(job) => {
                self.jobs[job.0 as usize].due = self.due(now, job);
                if self.policy == Policy::Planner {
                    self.queue(now, job);
                } else {
                    let spec = self.spec(job).clone();
                    self.simple.waiting.insert(job, spec);
                }
                true
            }
            Event::Cancel(job) => {
                let entry = &mut self.jobs[job.0 as usize];
                let stale = entry.first.is_some();
                entry.cancelled |= !stale;
                if !stale {
                    self.end(now, job, AttemptEnd::Stopped);
                }
                !stale
            }
            Event::End(job, attempt) => {
                let entry = &mut self.jobs[job.0 as usize];
                let stale = entry.attempt != attempt || entry.start.take().is_none();
                if !stale {
                    entry.end = Some(now);
                    self.end(now, job, AttemptEnd::Succeeded);
                }
                !stale
            }
            Event::Stop(job, attempt) => {
                let spec = &self.table[job.0 as usize].spec;
                let entry = &mut self.jobs[job.0 as usize];
                let Some(start) = entry.start.filter(|_| entry.attempt == attempt) else {
                    return false;
                };
                entry.start = None;
                entry.served += now - start;
                if spec.checkpointable {
                    entry.kept += now - start;
                } else {
                    self.lost += (now - start) * u64::from(spec.shape.total().max(1));
                }
                self.stops += 1;
                self.end(now, job, AttemptEnd::Stopped);
                self.queue(now, job);
                true
            }
        }
    }

    fn queue(&mut self, now: u64, job: JobId) {
        let spec = self.spec(job).clone();
        let served = Millis(self.jobs[job.0 as usize].served);
        self.planner.apply(Millis(now), Change::Queued { job, spec, served });
    }

    fn end(&mut self, now: u64, job: JobId, end: AttemptEnd) {
        self.simple.end(job);
        self.planner.apply(Millis(now), Change::Ended { job, end });
    }

    /// When a job must have started that fits a guarantee of its account beside the account's
    /// running work and its earlier jobs that wait and fit.
    fn due(&self, now: u64, job: JobId) -> Option<u64> {
        let spec = self.spec(job);
        let own = self.guarantees.iter().map(|guarantee| &guarantee.spec);
        let own = own.clone().find(|own| own.account == spec.account)?;
        let shape = spec.shape;
        let taken = (0..job.0).map(|index| (&self.jobs[index as usize], self.spec(JobId(index))));
        let taken = taken.filter(|(entry, other)| {
            let waits = entry.due.is_some() && entry.first.is_none() && !entry.cancelled;
            other.account == spec.account && (entry.start.is_some() || waits)
        });
        let (accelerators, slots) = taken.fold((shape.total(), shape.workers), |sum, (_, other)| {
            (sum.0 + other.shape.total(), sum.1 + other.shape.workers)
        });
        let fits = shape.workers <= own.shape.workers && shape.accelerators <= own.shape.accelerators;
        let room = match shape.accelerators {
            0 => slots <= own.shape.workers * own.count,
            _ => accelerators <= own.shape.total() * own.count,
        };
        (fits && room).then_some(now + own.grace.0 + MARGIN)
    }

    fn plan(&mut self, now: u64, tick: bool) {
        let mut started = Vec::new();
        if self.policy == Policy::Planner {
            for decision in self.planner.plan(Millis(now), 1_000) {
                match decision {
                    Decision::Place { job, .. } => {
                        self.planner.apply(Millis(now), Change::Running(job));
                        started.push(job);
                    }
                    Decision::Reclaim { job, grace, .. } => {
                        let attempt = self.jobs[job.0 as usize].attempt;
                        self.events.push(Reverse((now + grace.0, Event::Stop(job, attempt))));
                    }
                    Decision::Unrunnable { .. } => {}
                }
            }
        } else if !tick {
            started = self.simple.plan(now);
        }
        for job in started {
            let run = self.table[job.0 as usize].run;
            let entry = &mut self.jobs[job.0 as usize];
            entry.attempt += 1;
            entry.start = Some(now);
            entry.first = entry.first.or(Some(now));
            let end = now + run.saturating_sub(entry.kept).max(1);
            self.events.push(Reverse((end, Event::End(job, entry.attempt))));
        }
    }
}

fn main() {
    let seeds: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let seeds = if seeds.is_empty() { SEEDS.to_vec() } else { seeds };
    println!("seconds for each seed of {seeds:?}, then the median over the seeds");
    for deployment in load::deployments() {
        let tables: Vec<_> = seeds.iter().map(|seed| load::arrivals(&deployment, *seed)).collect();
        for (name, policy) in [
            ("planner", Policy::Planner),
            ("first-fit", Policy::FirstFit),
            ("backfill", Policy::Backfill),
        ] {
            println!("{}, {name}", deployment.name);
            let rows: Vec<Row> = std::thread::scope(|scope| {
                let run = |table| scope.spawn(move || Bench::new(policy, table).run());
                let threads: Vec<_> = tables.iter().map(|table| run(table)).collect();
                threads.into_iter().map(|t| t.join().expect("a run")).collect()
            });
            for (index, label) in LABELS.iter().enumerate() {
                let values: Vec<f64> = rows.iter().map(|row| row[index]).collect();
                let mut sorted = values.clone();
                sorted.sort_by(f64::total_cmp);
                println!("  {label:32} {values:9.2?} {:9.2}", sorted[sorted.len() / 2]);
            }
        }
    }
}
