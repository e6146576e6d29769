//! Free room of the workers during one planning pass.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RackName, WorkerName};
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, ServiceName, Step};

/// Pace from which on a worker counts as slow, in percent of the usual: between the kinds of workers of the users'
/// deployments, which take 93 and 117 percent of the median.
const SLOW_PACE: u64 = 107;

/// A worker that takes new work.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) worker: &'a WorkerName,
    pub(crate) rack: &'a RackName,
    pub(crate) service: &'a ServiceName,
    pub(crate) labels: &'a BTreeSet<String>,
    pub(crate) free: Demand,
    /// Whether tasks take longer there than on most workers.
    pub(crate) slow: bool,
    /// Room that is reserved and still in use.
    owed: Demand,
    /// Tasks of the step in question that it may still take.
    pub(crate) spread: u32,
}

impl Candidate<'_> {
    /// Takes room for a task if it fits.
    pub(crate) fn take(&mut self, demand: &Demand) -> bool {
        let fits = self.spread > 0 && demand.fits(&self.free);
        if fits {
            self.free = self.free.minus(demand);
            self.spread -= 1;
        }
        fits
    }

    /// Keeps room for a task, whether it is free or not.
    pub(crate) fn reserve(&mut self, demand: &Demand) {
        self.owed = self.owed.plus(&demand.minus(&self.free));
        self.free = self.free.minus(demand);
    }

    /// Gives back the room of a run, first to what it is reserved for.
    pub(crate) fn release(&mut self, demand: &Demand) {
        self.free = self.free.plus(&demand.minus(&self.owed));
        self.owed = self.owed.minus(demand);
    }
}

/// Free room of all workers that take new work, in order of their names.
#[derive(Clone, Debug)]
pub(crate) struct FreeCapacity<'a> {
    spots: Vec<Candidate<'a>>,
}

impl<'a> FreeCapacity<'a> {
    /// The room that runs leave.
    pub(crate) fn of(steps: &'a StepScheduler, cx: &Context<'_>) -> Self {
        let usable = steps.hosts.iter().filter(|(_, host)| host.is_usable(cx.now));
        let spots = usable.filter_map(|(worker, host)| {
            let info = host.info.as_ref()?;
            Some(Candidate {
                worker,
                rack: &info.rack,
                service: &info.service,
                labels: &info.labels,
                free: info.capacity.minus(&host.used),
                slow: host.relative_duration > SLOW_PACE,
                owed: Demand::default(),
                spread: u32::MAX,
            })
        });
        Self { spots: spots.collect() }
    }

    /// The worker's spot; none if it takes no new work.
    pub(crate) fn spot_mut(&mut self, worker: &WorkerName) -> Option<&mut Candidate<'a>> {
        let index = self.spots.binary_search_by(|spot| spot.worker.cmp(worker)).ok()?;
        self.spots.get_mut(index)
    }

    /// Takes room of a worker for a task; false if it does not fit.
    pub(crate) fn take(&mut self, worker: &WorkerName, demand: &Demand) -> bool {
        self.spot_mut(worker).is_some_and(|spot| spot.take(demand))
    }

    /// Keeps room of workers for tasks, whether it is free or not.
    pub(crate) fn reserve<'b>(&mut self, workers: impl IntoIterator<Item = &'b WorkerName>, demand: &Demand) {
        for worker in workers {
            if let Some(spot) = self.spot_mut(worker) {
                spot.reserve(demand);
            }
        }
    }
}

impl StepScheduler {
    /// The workers that may run a step, each with the number of further tasks that the step's spread allows.
    pub(crate) fn candidates<'a>(
        &self,
        room: &FreeCapacity<'a>,
        service: &ServiceName,
        group: StepKey,
        step: &Step,
    ) -> Vec<Candidate<'a>> {
        let mut taken: BTreeMap<&WorkerName, u32> = BTreeMap::new();
        if step.spread.is_some() {
            for run in self.runs_of_step(group).filter_map(|run| self.runs.get(&run)) {
                *taken.entry(&run.worker).or_default() += 1;
            }
        }
        let most = step.spread.unwrap_or(u32::MAX);
        let fitting = room.spots.iter().filter(|spot| {
            spot.service == service && step.requires.as_ref().is_none_or(|label| spot.labels.contains(label))
        });
        fitting
            .map(|spot| Candidate {
                spread: most.saturating_sub(taken.get(spot.worker).copied().unwrap_or(0)),
                ..spot.clone()
            })
            .filter(|spot| spot.spread > 0)
            .collect()
    }
}
