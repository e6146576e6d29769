//! Free room of the workers during one planning pass.

use std::collections::BTreeMap;

use crate::ids::{RackName, WorkerName};
use crate::steps::board::{Cx, Steps};
use crate::steps::queue::GroupKey;
use crate::steps::spec::{Demand, ServiceName, Step};

/// A worker that takes new work.
#[derive(Clone, Debug)]
pub(crate) struct Spot<'a> {
    pub(crate) worker: &'a WorkerName,
    pub(crate) rack: &'a RackName,
    pub(crate) service: &'a ServiceName,
    pub(crate) labels: &'a std::collections::BTreeSet<String>,
    pub(crate) free: Demand,
    /// Tasks of the step in question that it may still take.
    pub(crate) spread: u32,
}

/// Free room of all workers that take new work, in order of their names.
#[derive(Clone, Debug)]
pub(crate) struct Room<'a> {
    pub(crate) spots: Vec<Spot<'a>>,
}

impl<'a> Room<'a> {
    /// The room that runs leave.
    pub(crate) fn of(steps: &'a Steps, cx: &Cx<'_>) -> Self {
        let mut room = Self { spots: Vec::new() };
        for (worker, host) in &steps.hosts {
            let Some(info) = host.info.as_ref().filter(|_| host.is_usable(cx.now)) else {
                continue;
            };
            room.spots.push(Spot {
                worker,
                rack: &info.rack,
                service: &info.service,
                labels: &info.labels,
                free: info.capacity.minus(&host.used),
                spread: u32::MAX,
            });
        }
        room
    }

    fn spot_mut(&mut self, worker: &WorkerName) -> Option<&mut Spot<'a>> {
        let index = self.spots.binary_search_by(|spot| spot.worker.cmp(worker)).ok()?;
        self.spots.get_mut(index)
    }

    /// Room of one worker; none if it takes no new work.
    pub(crate) fn free(&self, worker: &WorkerName) -> Option<Demand> {
        let index = self.spots.binary_search_by(|spot| spot.worker.cmp(worker)).ok()?;
        Some(self.spots[index].free)
    }

    /// Takes room away.
    pub(crate) fn take(&mut self, worker: &WorkerName, demand: &Demand) {
        if let Some(spot) = self.spot_mut(worker) {
            spot.free = spot.free.minus(demand);
        }
    }
}

impl Steps {
    /// The workers that may run a step, each with the number of further tasks that the step's spread allows.
    pub(crate) fn spots<'a>(
        &self,
        room: &Room<'a>,
        service: &ServiceName,
        group: GroupKey,
        step: &Step,
    ) -> Vec<Spot<'a>> {
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
            .map(|spot| Spot {
                spread: most.saturating_sub(taken.get(spot.worker).copied().unwrap_or(0)),
                ..spot.clone()
            })
            .filter(|spot| spot.spread > 0)
            .collect()
    }
}
