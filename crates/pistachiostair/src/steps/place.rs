//! Choice of workers for the tasks of a step.

use std::collections::BTreeMap;

use crate::ids::{RackName, WorkerName};
use crate::steps::room::Spot;
use crate::steps::spec::{Demand, Step};

/// How far a placement may stray from the rack that suits a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Only the rack of the data, or one rack for a step that wants one.
    Near,
    /// Any rack.
    Anywhere,
}

/// Workers for `count` tasks of a step, or for as many as fit unless it is a gang; nothing if none fit.
pub(crate) fn place(step: &Step, count: u32, spots: &[Spot<'_>], reach: Reach) -> Vec<WorkerName> {
    if let Some(rack) = &step.affinity {
        let near: Vec<Spot<'_>> = spots
            .iter()
            .filter(|spot| spot.rack.as_str() == rack)
            .cloned()
            .collect();
        let found = fit(step, count, near);
        if !found.is_empty() || reach == Reach::Near {
            return found;
        }
    }
    if step.gang && step.same_rack {
        let found = place_in_rack(step, count, spots);
        if !found.is_empty() || reach == Reach::Near {
            return found;
        }
    }
    fit(step, count, spots.to_vec())
}

/// The rack that holds the whole gang and has the fewest accelerators to spare.
fn place_in_rack(step: &Step, count: u32, spots: &[Spot<'_>]) -> Vec<WorkerName> {
    let mut racks: BTreeMap<&RackName, Vec<Spot<'_>>> = BTreeMap::new();
    for spot in spots {
        racks.entry(spot.rack).or_default().push(spot.clone());
    }
    let fitting = racks.into_values().filter_map(|spots| {
        let free: u64 = spots.iter().map(|spot| spot.free.accelerators).sum();
        let found = fit(step, count, spots);
        (!found.is_empty()).then_some((free, found))
    });
    fitting
        .min_by_key(|(free, _)| *free)
        .map_or_else(Vec::new, |(_, found)| found)
}

/// Packs tasks tightly, so that workers stay whole for tasks that need all of one.
fn fit(step: &Step, count: u32, mut spots: Vec<Spot<'_>>) -> Vec<WorkerName> {
    let mut found = Vec::new();
    for _ in 0..count {
        let fitting = spots
            .iter_mut()
            .filter(|spot| spot.spread > 0 && step.demand.fits(&spot.free));
        let Some(spot) = fitting.min_by_key(|spot| leftover(&spot.free, &step.demand)) else {
            break;
        };
        spot.free = spot.free.minus(&step.demand);
        spot.spread -= 1;
        found.push(spot.worker.clone());
    }
    if step.gang && found.len() < count as usize {
        found.clear();
    }
    found
}

/// What a worker has left beside a task: accelerators count first, then memory.
fn leftover(free: &Demand, demand: &Demand) -> (u64, u64) {
    let left = free.minus(demand);
    (left.accelerators, left.memory)
}
