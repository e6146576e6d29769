//! Free capacity of the workers during one planning pass.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RackName, WorkerName};
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, ServiceName, Step};

/// Relative duration of tasks above which a worker counts as slow, in percent of the usual. It lies between the two
/// kinds of workers in the users' deployments, which take 93 and 117 percent of the median.
const SLOW_PERCENT: u64 = 107;

/// A worker that accepts new tasks, with its free capacity.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) worker: &'a WorkerName,
    pub(crate) rack: &'a RackName,
    pub(crate) service: &'a ServiceName,
    pub(crate) labels: &'a BTreeSet<String>,
    pub(crate) free: Demand,
    /// Whether tasks take longer on it than on most workers.
    pub(crate) slow: bool,
    /// Reserved capacity that is still in use by other runs.
    reserved_in_use: Demand,
    /// Number of tasks of the step in question that it may still take; `u32::MAX` if unlimited.
    pub(crate) task_limit: u32,
}

impl Candidate<'_> {
    /// Takes capacity for a task; returns false and takes nothing if it does not fit.
    pub(crate) fn take(&mut self, demand: &Demand) -> bool {
        let fits = self.task_limit > 0 && demand.fits(&self.free);
        if fits {
            self.free = self.free.minus(demand);
            self.task_limit -= 1;
        }
        fits
    }

    /// Withholds capacity for a task, whether it is free or still in use.
    pub(crate) fn reserve(&mut self, demand: &Demand) {
        self.reserved_in_use = self.reserved_in_use.plus(&demand.minus(&self.free));
        self.free = self.free.minus(demand);
    }

    /// Returns the capacity of a run, first to reservations that wait for it, the rest as free.
    pub(crate) fn release(&mut self, demand: &Demand) {
        self.free = self.free.plus(&demand.minus(&self.reserved_in_use));
        self.reserved_in_use = self.reserved_in_use.minus(demand);
    }
}

/// Free capacity of all workers that accept new tasks, ordered by their names.
#[derive(Clone, Debug)]
pub(crate) struct FreeCapacity<'a> {
    candidates: Vec<Candidate<'a>>,
}

impl<'a> FreeCapacity<'a> {
    /// Capacity that no current run uses.
    pub(crate) fn new(scheduler: &'a StepScheduler, cx: &Context<'_>) -> Self {
        let usable = scheduler.hosts.iter().filter(|(_, host)| host.is_usable(cx.now));
        let candidates = usable.filter_map(|(worker, host)| {
            let info = host.info.as_ref()?;
            Some(Candidate {
                worker,
                rack: &info.rack,
                service: &info.service,
                labels: &info.labels,
                free: info.capacity.minus(&host.used),
                slow: host.relative_duration > SLOW_PERCENT,
                reserved_in_use: Demand::default(),
                task_limit: u32::MAX,
            })
        });
        Self {
            candidates: candidates.collect(),
        }
    }

    /// The worker's free capacity; none if it accepts no new tasks.
    pub(crate) fn candidate_mut(&mut self, worker: &WorkerName) -> Option<&mut Candidate<'a>> {
        let index = self
            .candidates
            .binary_search_by(|candidate| candidate.worker.cmp(worker))
            .ok()?;
        self.candidates.get_mut(index)
    }

    /// Takes capacity of a worker for a task; returns false if the task does not fit or the worker accepts none.
    pub(crate) fn take(&mut self, worker: &WorkerName, demand: &Demand) -> bool {
        self.candidate_mut(worker)
            .is_some_and(|candidate| candidate.take(demand))
    }

    /// Withholds capacity for one task on each of `workers`, whether it is free or still in use.
    pub(crate) fn reserve<'b>(&mut self, workers: impl IntoIterator<Item = &'b WorkerName>, demand: &Demand) {
        for worker in workers {
            if let Some(candidate) = self.candidate_mut(worker) {
                candidate.reserve(demand);
            }
        }
    }
}

impl StepScheduler {
    /// The workers that may run tasks of a step: those of the service, with the required label, and not yet at the
    /// step's limit of tasks for one worker.
    pub(crate) fn candidates<'a>(
        &self,
        free: &FreeCapacity<'a>,
        service: &ServiceName,
        key: StepKey,
        step: &Step,
    ) -> Vec<Candidate<'a>> {
        let mut placed: BTreeMap<&WorkerName, u32> = BTreeMap::new();
        if step.spread.is_some() {
            for run in self.runs_of_step(key).filter_map(|run| self.runs.get(&run)) {
                *placed.entry(&run.worker).or_default() += 1;
            }
        }
        let max = step.spread.unwrap_or(u32::MAX);
        let eligible = free.candidates.iter().filter(|candidate| {
            candidate.service == service
                && step
                    .requires
                    .as_ref()
                    .is_none_or(|label| candidate.labels.contains(label))
        });
        eligible
            .map(|candidate| Candidate {
                task_limit: max.saturating_sub(placed.get(candidate.worker).copied().unwrap_or(0)),
                ..candidate.clone()
            })
            .filter(|candidate| candidate.task_limit > 0)
            .collect()
    }
}
