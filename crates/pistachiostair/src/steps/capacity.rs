//! Free capacity of the workers during one planning pass.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{RackName, WorkerName};
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::host::HostInfo;
use crate::steps::plan::StepPlacement;
use crate::steps::queue::StepKey;
use crate::steps::release::ReleaseView;
use crate::steps::spec::{Demand, ServiceName, Step};
use crate::steps::speed::SpeedClass;

/// Share of a service that is in use from which on it counts as busy, as a divisor.
const BUSY_PART: u64 = 2;

/// Which of the free capacity that is kept for steps which don't fit yet may be used by other tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Loan {
    /// Nothing of it.
    #[default]
    None,
    /// What the steps that it is kept for won't use for this time, counted for a worker of the usual speed.
    For(Millis),
    /// All of it.
    Any,
}

/// An amount of free capacity, and the part of the capacity in use that is reserved.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Room {
    pub(crate) free: Demand,
    /// Free capacity that is kept for steps which are forecast to start later.
    kept: Demand,
    /// Time from now at which the first of them is.
    kept_until: Millis,
    /// Reserved capacity that is still in use by runs.
    reserved_in_use: Demand,
    /// What runs use beyond the capacity, which may have shrunk since they started.
    excess: Demand,
}

impl Room {
    /// Room of a worker whose runs use `used`.
    fn new(capacity: &Demand, used: &Demand) -> Self {
        Self {
            free: capacity.minus(used),
            kept: Demand::default(),
            kept_until: Millis::MAX,
            reserved_in_use: Demand::default(),
            excess: used.minus(capacity),
        }
    }

    /// Whether a task with this demand fits. None does while runs exceed the capacity in any resource.
    pub(crate) fn fits(&self, demand: &Demand) -> bool {
        self.excess == Demand::default() && demand.fits(&self.free)
    }

    /// Number of tasks with this demand that fit, at most `limit`.
    pub(crate) fn fitting(&self, demand: &Demand, limit: u32) -> u32 {
        if limit <= 1 || !self.fits(demand) {
            return u32::from(limit == 1 && self.fits(demand));
        }
        let quotient = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
        let fitting = quotient(self.free.millicores, demand.millicores)
            .min(quotient(self.free.memory, demand.memory))
            .min(quotient(self.free.accelerators, demand.accelerators));
        fitting.min(limit.into()) as u32
    }

    /// Withholds capacity for a task, whether it is free or still in use.
    fn reserve(&mut self, demand: &Demand) {
        self.reserved_in_use = self.reserved_in_use.plus(&demand.minus(&self.free));
        self.free = self.free.minus(demand);
    }

    /// Withholds capacity for a task that starts after `wait`. What of it is free may be lent until then.
    fn keep(&mut self, demand: &Demand, wait: Millis) {
        let free = self.free;
        self.reserve(demand);
        self.kept = self.kept.plus(&free.minus(&self.free));
        self.kept_until = self.kept_until.min(wait);
    }

    /// The room with the capacity that is lent to a task on a worker of this speed.
    fn with_loan(mut self, loan: Loan, speed: SpeedClass) -> Self {
        let lent = match loan {
            Loan::None => false,
            Loan::For(span) => speed.duration(span) <= self.kept_until,
            Loan::Any => true,
        };
        if lent {
            self.free = self.free.plus(&std::mem::take(&mut self.kept));
        }
        self
    }

    /// Takes capacity for a task that fits, first what is kept for no other.
    fn take(&mut self, demand: &Demand) {
        self.kept = self.kept.minus(&demand.minus(&self.free));
        self.free = self.free.minus(demand);
    }

    /// Returns the capacity of a run: first what exceeds the worker's, then to reservations that wait for it, the rest as
    /// free.
    pub(crate) fn release(&mut self, demand: &Demand) {
        let within = demand.minus(&self.excess);
        self.excess = self.excess.minus(demand);
        self.free = self.free.plus(&within.minus(&self.reserved_in_use));
        self.reserved_in_use = self.reserved_in_use.minus(&within);
    }
}

/// A worker that accepts new tasks.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    worker: &'a WorkerName,
    service: &'a ServiceName,
    labels: &'a BTreeSet<String>,
    rack: &'a RackName,
    /// Number of the rack, see [`StepScheduler::racks`].
    rack_number: u32,
    capacity: Demand,
    room: Room,
    /// Whether it has not crashed lately.
    steady: bool,
    /// Whether it is kept for a task on trial.
    withdrawn: bool,
    /// Whether it is ejected, so that it takes tasks only if they fit nowhere else and must not wait.
    ejected: bool,
    speed: SpeedClass,
    /// The release of its service, if one goes on.
    release: Option<ReleaseView>,
}

/// A worker on which a step may run: its position in [`FreeCapacity`], and the number of tasks of the step that it may
/// still take, [`u32::MAX`] if unlimited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Eligible {
    pub(crate) position: u32,
    pub(crate) limit: u32,
}

/// Free capacity of all workers that accept new tasks. A worker's position is its rank among them by name.
#[derive(Clone, Debug)]
pub(crate) struct FreeCapacity<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Position of each worker by its number.
    positions: Vec<Option<u32>>,
    /// Workers that would accept new tasks if their failure domains were not evacuated.
    withheld: Vec<&'a HostInfo>,
    /// Capacity of the listed workers of each service, and what of it is in use.
    in_use: BTreeMap<&'a ServiceName, (Demand, Demand)>,
    /// Accelerators of all known workers outside of evacuated domains, whether they accept tasks or not.
    pub(crate) accelerators: u64,
    /// The lowest and the highest speed of the candidates.
    speeds: (SpeedClass, SpeedClass),
    /// Kept capacity that counts as free at present.
    loan: Loan,
    /// Whether any capacity is kept.
    keeps: bool,
    /// Raised with each change.
    pub(crate) version: u64,
}

impl<'a> FreeCapacity<'a> {
    /// Capacity that no current run uses.
    pub(crate) fn new(scheduler: &'a StepScheduler, cx: &Context<'_>) -> Self {
        let mut free = Self {
            candidates: Vec::with_capacity(scheduler.hosts.len()),
            positions: vec![None; scheduler.last_host as usize + 1],
            withheld: Vec::new(),
            in_use: BTreeMap::new(),
            accelerators: 0,
            speeds: (SpeedClass::default(), SpeedClass::default()),
            loan: Loan::None,
            keeps: false,
            version: 0,
        };
        for (worker, host) in &scheduler.hosts {
            let Some(info) = host.info.as_ref() else { continue };
            if host.listed {
                let (all, used) = free.in_use.entry(&info.service).or_default();
                *all = all.plus(&info.capacity);
                *used = used.plus(&host.used);
            }
            if scheduler.host_ban(cx, host).is_some() {
                if host.is_usable(cx.now) {
                    free.withheld.push(info);
                }
                continue;
            }
            free.accelerators = free.accelerators.saturating_add(info.capacity.accelerators);
            if !host.is_open(cx.now) || host.is_full(cx.now) {
                continue;
            }
            free.positions[host.number as usize] = Some(free.candidates.len() as u32);
            free.candidates.push(Candidate {
                worker,
                service: &info.service,
                labels: &info.labels,
                rack: &info.rack,
                rack_number: host.rack,
                capacity: info.capacity,
                steady: !host.is_unsteady(cx.now),
                withdrawn: false,
                ejected: host.ejection.is_ejected(cx.now),
                room: Room::new(&info.capacity, &host.used),
                speed: host.speed,
                release: scheduler.releases.view(cx.now, &info.service, &info.version),
            });
        }
        let usable = free.candidates.iter().filter(|candidate| !candidate.ejected);
        let speeds = usable.map(|candidate| candidate.speed);
        let lowest = speeds.clone().min().unwrap_or_default();
        free.speeds = (lowest, speeds.max().unwrap_or_default());
        free
    }

    /// Number of workers that might run tasks of a step if their failure domains were not evacuated.
    pub(crate) fn withheld(&self, service: &ServiceName, step: &Step) -> usize {
        let label = step.requires.as_ref();
        let matching = self.withheld.iter().filter(|info| {
            info.service == *service
                && label.is_none_or(|label| info.labels.contains(label))
                && step.demand.fits(&info.capacity)
        });
        matching.count()
    }

    /// Whether a large part of a service's accelerators is in use or, if it has none, of its cores.
    pub(crate) fn is_busy(&self, service: &ServiceName) -> bool {
        let (all, used) = self.in_use.get(service).copied().unwrap_or_default();
        match all.accelerators {
            0 => used.millicores.saturating_mul(BUSY_PART) >= all.millicores,
            accelerators => used.accelerators.saturating_mul(BUSY_PART) >= accelerators,
        }
    }

    /// Number of workers that accept new tasks.
    pub(crate) fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Position of the worker with this number; none if it accepts no new tasks.
    pub(crate) fn position(&self, number: u32) -> Option<u32> {
        self.positions.get(number as usize).copied().flatten()
    }

    /// Name of the worker at this position.
    pub(crate) fn worker(&self, position: u32) -> &'a WorkerName {
        self.candidates[position as usize].worker
    }

    /// Capacity of the worker at this position.
    pub(crate) fn room(&self, position: u32) -> Room {
        let candidate = &self.candidates[position as usize];
        candidate.room.with_loan(self.loan, candidate.speed)
    }

    /// Whether free capacity is kept for steps that don't fit yet.
    pub(crate) fn keeps_any(&self) -> bool {
        self.keeps
    }

    /// Sets which kept capacity counts as free from now on.
    pub(crate) fn lend(&mut self, loan: Loan) {
        self.loan = loan;
    }

    /// Speed of the worker at this position.
    pub(crate) fn speed(&self, position: u32) -> SpeedClass {
        self.candidates[position as usize].speed
    }

    /// The lowest speed among the workers at these positions; the usual one if there are none.
    pub(crate) fn lowest_speed(&self, positions: &[u32]) -> SpeedClass {
        let speeds = positions.iter().map(|position| self.speed(*position));
        speeds.min().unwrap_or_default()
    }

    /// The lowest and the highest speed of all workers.
    pub(crate) fn speeds(&self) -> (SpeedClass, SpeedClass) {
        self.speeds
    }

    /// Whether all workers count as equally fast.
    pub(crate) fn is_uniform(&self) -> bool {
        self.speeds.0 == self.speeds.1
    }

    /// The release of the service of the worker at this position, if one goes on.
    pub(crate) fn release(&self, position: u32) -> Option<ReleaseView> {
        self.candidates[position as usize].release
    }

    /// Number of the rack of the worker at this position.
    pub(crate) fn rack_number(&self, position: u32) -> u32 {
        self.candidates[position as usize].rack_number
    }

    /// Whether the worker at this position is in the rack with this name.
    pub(crate) fn is_in_rack(&self, position: u32, rack: &str) -> bool {
        self.candidates[position as usize].rack.as_str() == rack
    }

    /// Takes capacity for a task that fits on the worker at this position.
    pub(crate) fn take(&mut self, position: u32, demand: &Demand) {
        self.candidates[position as usize].room.take(demand);
        self.version += 1;
    }

    /// Takes capacity for one task on each of `workers`, or none at all if not all of them fit.
    pub(crate) fn take_all<'b>(
        &mut self,
        workers: impl Iterator<Item = &'b WorkerName> + Clone,
        demand: &Demand,
    ) -> bool {
        let mut taken = Vec::new();
        for worker in workers {
            let fitting = self.find(worker).filter(|position| self.room(*position).fits(demand));
            let Some(position) = fitting else {
                for position in taken {
                    let room = &mut self.candidates[position as usize].room;
                    room.free = room.free.plus(demand);
                }
                return false;
            };
            self.take(position, demand);
            taken.push(position);
        }
        true
    }

    /// Withholds capacity for one task on each of `workers`, whether it is free or still in use.
    pub(crate) fn reserve_named<'b>(&mut self, workers: impl IntoIterator<Item = &'b WorkerName>, demand: &Demand) {
        for worker in workers {
            if let Some(position) = self.find(worker) {
                self.reserve(position, demand);
            }
        }
    }

    /// Withholds capacity for a task on the worker at this position, whether it is free or still in use.
    pub(crate) fn reserve(&mut self, position: u32, demand: &Demand) {
        self.candidates[position as usize].room.reserve(demand);
        self.version += 1;
    }

    /// Withholds capacity for a task on the worker at this position that starts after `wait`.
    pub(crate) fn keep(&mut self, position: u32, demand: &Demand, wait: Millis) {
        self.candidates[position as usize].room.keep(demand, wait);
        self.keeps = true;
        self.version += 1;
    }

    /// Keeps the whole worker at this position for a task on trial.
    pub(crate) fn withdraw(&mut self, position: u32) {
        let candidate = &mut self.candidates[position as usize];
        candidate.withdrawn = true;
        candidate.room.reserve(&candidate.capacity);
        self.version += 1;
    }

    /// Whether the worker at this position is kept for a task on trial.
    pub(crate) fn is_withdrawn(&self, position: u32) -> bool {
        self.candidates[position as usize].withdrawn
    }

    /// Whether the worker at this position runs nothing and nothing was placed on it.
    pub(crate) fn is_empty(&self, position: u32) -> bool {
        let candidate = &self.candidates[position as usize];
        candidate.room.free == candidate.capacity && !candidate.withdrawn
    }

    /// Whether the worker at this position has not crashed lately.
    pub(crate) fn is_steady(&self, position: u32) -> bool {
        self.candidates[position as usize].steady
    }

    /// Capacity of the worker at this position, as if nothing ran there.
    pub(crate) fn capacity(&self, position: u32) -> Room {
        Room::new(&self.candidates[position as usize].capacity, &Demand::default())
    }

    fn find(&self, worker: &WorkerName) -> Option<u32> {
        let found = self
            .candidates
            .binary_search_by(|candidate| candidate.worker.cmp(worker));
        found.ok().map(|position| position as u32)
    }
}

impl StepScheduler {
    /// The workers that may run tasks of a step, in order of their positions: those of the service, with the required
    /// label, and not yet at the step's limit of tasks for one worker, with the placements of the pass.
    pub(crate) fn eligible(
        &self,
        (free, placements): (&FreeCapacity<'_>, &[StepPlacement]),
        service: &ServiceName,
        key: StepKey,
        step: &Step,
    ) -> Vec<Eligible> {
        let all = self.with_ejected((free, placements), service, key, step);
        let ejected = |worker: &Eligible| free.candidates[worker.position as usize].ejected;
        all.into_iter().filter(|worker| !ejected(worker)).collect()
    }

    /// Like [`Self::eligible`], with the workers that are ejected.
    pub(crate) fn with_ejected(
        &self,
        (free, placements): (&FreeCapacity<'_>, &[StepPlacement]),
        service: &ServiceName,
        key: StepKey,
        step: &Step,
    ) -> Vec<Eligible> {
        let mut placed: BTreeMap<u32, u32> = BTreeMap::new();
        if step.spread.is_some() {
            for run in self.runs_of_step(key).filter_map(|run| self.runs.get(&run)) {
                *placed.entry(run.host).or_default() += 1;
            }
            let same_step = placements.iter().filter(|placement| placement.step == key);
            for (_, worker) in same_step.flat_map(|placement| &placement.workers) {
                if let Some(host) = self.hosts.get(worker) {
                    *placed.entry(host.number).or_default() += 1;
                }
            }
        }
        let placed: BTreeMap<u32, u32> = placed
            .into_iter()
            .filter_map(|(host, count)| Some((free.position(host)?, count)))
            .collect();
        let max = step.spread.unwrap_or(u32::MAX);
        let label = step.requires.as_ref();
        let candidates = (0..).zip(&free.candidates);
        candidates
            .filter(|(_, candidate)| {
                candidate.service == service && label.is_none_or(|label| candidate.labels.contains(label))
            })
            .map(|(position, _)| Eligible {
                position,
                limit: max.saturating_sub(placed.get(&position).copied().unwrap_or(0)),
            })
            .filter(|eligible| eligible.limit > 0)
            .collect()
    }
}
