//! Measures three answers to who schedules: one lease for the region, one lease for each rack, and
//! conditional writes on worker rows by every daemon. Prints a table; `docs/journal.md` quotes it.
//!
//! Virtual clock, 3 ms one way. Tenures and journals are the library's; the store serves a row write in
//! 2 ms (500 a second) and a refused transaction in 1 ms. A view of what others own is up to 100 ms old.

mod owners;
mod placers;

use std::collections::BTreeMap;

use pistachiostair::{Commit, ElectionEvent, Transaction};
use standin::Tables;

use owners::Owner;
use placers::Placer;

const DAEMONS: usize = 9;
/// Workers of a rack, and of a gang.
const RACK: usize = 8;
const SLOTS: u8 = 8;
const HOP: u64 = 3;
const ROW_WRITE: u64 = 2;
const REFUSAL: u64 = 1;
/// Longest age of a view, and pause before a gang is tried again.
const VIEW: u64 = 100;
/// Run time of a job: the burst needs 300 of the 400 slots of 50 workers.
const RUN: u64 = 800;
/// Accounts, each with a row if placements are checked against quotas.
const ACCOUNTS: usize = 4;
/// Variants of the optimistic design: fullest worker, ends by reports, quotas.
const OPTIMISTIC: [(bool, bool, bool); 4] = [
    (true, false, false),
    (false, false, false),
    (false, true, false),
    (false, true, true),
];
/// Runs of each design.
const SEEDS: u64 = 3;
const BURST: u64 = 20_000;
const BURST_JOBS: usize = 1_500;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Design {
    #[default]
    Region,
    Racks,
    /// Every daemon places, on the fullest worker or on any. `reports`: an end frees its slots by the worker's
    /// report instead of a write to its row. `quotas`: each placement writes the row of its account.
    Optimistic {
        fullest: bool,
        reports: bool,
        quotas: bool,
    },
}

#[derive(Clone, Default)]
struct Job {
    at: u64,
    gang: bool,
    placed: Option<u64>,
    workers: Vec<usize>,
    votes: BTreeMap<usize, bool>,
}

type Step = Box<dyn FnOnce(&mut Sim)>;

#[derive(Default)]
struct Sim {
    now: u64,
    next: u64,
    steps: BTreeMap<(u64, u64), Step>,
    rng: fastrand::Rng,
    tables: Tables,
    /// When the store is free again.
    busy: u64,
    design: Design,
    /// Workers of an owner.
    size: usize,
    used: Vec<u8>,
    seen: Vec<u8>,
    jobs: Vec<Job>,
    owners: Vec<Owner>,
    placers: Vec<Placer>,
    dead: Option<usize>,
    by_second: BTreeMap<u64, u64>,
    lease_rows: u64,
    lease_reads: u64,
    conflicts: u64,
    retried: usize,
    delay: u64,
    deposed: u64,
}

impl Sim {
    fn new(design: Design, workers: usize, seed: u64) -> Self {
        let (owners, placers, size) = match design {
            Design::Region => (1, 0, workers),
            Design::Racks => (workers.div_ceil(RACK), 0, RACK),
            Design::Optimistic { .. } => (0, DAEMONS, workers),
        };
        Self {
            rng: fastrand::Rng::with_seed(seed),
            design,
            size,
            used: vec![0; workers],
            seen: vec![0; workers],
            owners: (0..owners).map(Owner::new).collect(),
            placers: vec![Placer::new(workers); placers],
            ..Self::default()
        }
    }

    fn after(&mut self, span: u64, step: impl FnOnce(&mut Self) + 'static) {
        self.next += 1;
        self.steps.insert((self.now + span, self.next), Box::new(step));
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            while let Some(entry) = self.steps.first_entry().filter(|entry| entry.key().0 <= self.now) {
                entry.remove()(self);
            }
            if self.now.is_multiple_of(10) {
                self.tick();
            }
            for daemon in 0..self.placers.len() {
                self.tick_placer(daemon);
            }
            self.now += 1;
        }
    }

    /// Each daemon's tenures get a tick every 100 ms; at first only those of its share of the owners.
    fn tick(&mut self) {
        let daemon = (self.now / 10 % 10) as usize;
        for owner in 0..self.owners.len() {
            if daemon < DAEMONS && (self.now >= 1_000 || owner % DAEMONS == daemon) {
                self.tenure(owner, daemon, ElectionEvent::Tick);
            }
            self.pump(owner);
        }
        if self.now.is_multiple_of(VIEW) {
            self.seen.clone_from(&self.used);
        }
    }

    /// A daemon places every 10 ms and looks at the rows every 100 ms, each at another time than the others.
    fn tick_placer(&mut self, daemon: usize) {
        let now = self.now + daemon as u64;
        if now.is_multiple_of(VIEW) && !self.placers[daemon].busy {
            self.refresh(daemon);
        }
        if now.is_multiple_of(10) {
            self.place(daemon);
        }
    }

    /// Serves a transaction at the store; `then` gets the answer.
    fn commit(&mut self, transaction: Transaction, then: impl FnOnce(&mut Self, Commit) + 'static) {
        self.after(HOP, move |sim| {
            let commit = sim.tables.commit(&transaction);
            let done = matches!(commit, Commit::Done { .. });
            let rows = if done { transaction.writes.len() as u64 } else { 0 };
            sim.busy = sim.busy.max(sim.now) + if done { rows * ROW_WRITE } else { REFUSAL };
            let wait = sim.busy - sim.now;
            sim.delay = sim.delay.max(wait);
            sim.conflicts += u64::from(!done);
            *sim.by_second.entry(sim.busy / 1_000).or_default() += rows;
            sim.after(wait + HOP, move |sim| then(sim, commit));
        });
    }
}

fn load(design: Design, workers: usize, seed: u64) {
    let mut sim = Sim::new(design, workers, seed);
    let burst = (0..BURST_JOBS).map(|index| (BURST + (index * 4_000 / BURST_JOBS) as u64, false));
    let stream = (10_000..50_000).step_by(50).map(|at| (at, false));
    let gangs = (12_000..50_000).step_by(2_000).map(|at| (at, true));
    for (at, gang) in burst.chain(stream).chain(gangs) {
        let job = sim.jobs.len();
        sim.jobs.push(Job {
            at,
            gang,
            ..Job::default()
        });
        sim.after(at, move |sim| sim.arrive(job));
    }
    sim.run(4_000);
    let before = sim.lease_reads;
    sim.run(10_000);
    let idle = (
        sim.by_second.range(4..10).map(|(_, rows)| rows).sum::<u64>() / 6,
        (sim.lease_reads - before) / 6,
    );
    sim.run(90_000);
    let waits = |jobs: &[Job]| {
        let mut waits: Vec<u64> = jobs.iter().filter_map(|job| Some(job.placed? - job.at)).collect();
        waits.sort_unstable();
        (
            waits.len(),
            waits.get(waits.len() / 2).copied(),
            waits.get(waits.len() * 99 / 100).copied(),
            waits.last().copied(),
        )
    };
    let (gangs, short): (Vec<Job>, Vec<Job>) = sim.jobs.iter().cloned().partition(|job| job.gang);
    let last = short[..BURST_JOBS]
        .iter()
        .filter_map(|job| job.placed)
        .max()
        .unwrap_or(0)
        .saturating_sub(BURST);
    let rows = sim.by_second.values().sum::<u64>() - sim.lease_rows;
    println!(
        "{design:?}, {workers} workers, seed {seed}: {:.2} rows per job; idle {} rows/s, {} lease reads/s; at most {} rows in a second, \
         longest store time {} ms; {} conflicts, {} retried, {} deposed; burst placed after {last} ms; \
         (count, median, p99, longest) of the burst {:?}, of the stream {:?}, of gangs {:?}",
        rows as f64 / sim.jobs.len() as f64,
        idle.0,
        idle.1,
        sim.by_second.values().max().unwrap_or(&0),
        sim.delay,
        sim.conflicts,
        sim.retried,
        sim.deposed,
        waits(&short[..BURST_JOBS]),
        waits(&short[BURST_JOBS..]),
        waits(&gangs),
    );
}

/// Time from a daemon's death until each worker has an owner that may place, without the read of the journal.
fn failover(design: Design, workers: usize) {
    let mut spans = Vec::new();
    let mut owned = 0;
    for offset in 0..40 {
        let mut sim = Sim::new(design, workers, offset);
        let at = 10_000 + offset * 37;
        sim.run(at);
        let dead = sim.owners[offset as usize % sim.owners.len()].holder;
        sim.dead = dead;
        for owner in sim.owners.iter_mut().filter(|owner| owner.holder == dead) {
            owned += 1;
            owner.holder = None;
        }
        while sim.owners.iter().any(|owner| owner.holder.is_none()) {
            sim.run(sim.now + 1);
        }
        spans.push(sim.now - at);
    }
    spans.sort_unstable();
    println!(
        "{design:?}, {workers} workers, failover: {} to {} ms, median {}; {:.1} leases of a daemon",
        spans[0],
        spans[39],
        spans[20],
        owned as f64 / 40.0
    );
}

fn main() {
    for workers in [50, 1_000] {
        for design in [Design::Region, Design::Racks] {
            (1..=SEEDS).for_each(|seed| load(design, workers, seed));
            failover(design, workers);
        }
        for (fullest, reports, quotas) in OPTIMISTIC {
            (1..=SEEDS).for_each(|seed| {
                load(
                    Design::Optimistic {
                        fullest,
                        reports,
                        quotas,
                    },
                    workers,
                    seed,
                )
            });
        }
    }
}
