//! Choice of workers for the tasks of a step.

use std::collections::BTreeMap;

use crate::ids::{RackName, WorkerName};
use crate::steps::capacity::Candidate;
use crate::steps::spec::{Demand, Step};

/// Sets of workers that suit a step: those on which its tasks run at full speed, or none if it has no such wish.
pub(crate) fn near_sets<'a>(step: &Step, spots: &[Candidate<'a>]) -> Option<Vec<Vec<Candidate<'a>>>> {
    let mut racks: BTreeMap<&RackName, Vec<Candidate<'a>>> = BTreeMap::new();
    for spot in spots {
        racks.entry(spot.rack).or_default().push(spot.clone());
    }
    match &step.affinity {
        Some(rack) => {
            let near = racks.into_iter().filter(|(name, _)| name.as_str() == rack);
            Some(near.map(|(_, spots)| spots).collect())
        }
        None if step.gang && step.same_rack => Some(racks.into_values().collect()),
        None => None,
    }
}

/// Workers for `count` tasks of a step in the best of several sets, or for as many as fit unless it is a gang.
pub(crate) fn place(step: &Step, (count, urgent): (u32, bool), sets: Vec<Vec<Candidate<'_>>>) -> Vec<WorkerName> {
    let found = sets.into_iter().map(|spots| {
        let free: u64 = spots.iter().map(|spot| spot.free.accelerators).sum();
        (free, fit(step, (count, urgent), spots))
    });
    // The set with the fewest accelerators to spare leaves the others whole.
    let best = found
        .filter(|(_, found)| !found.is_empty())
        .min_by_key(|(free, _)| *free);
    best.map_or_else(Vec::new, |(_, found)| found)
}

/// Packs tasks tightly, so that workers stay whole for tasks that need all of one. Urgent tasks go to fast workers
/// first, others to slow ones.
fn fit(step: &Step, (count, urgent): (u32, bool), mut spots: Vec<Candidate<'_>>) -> Vec<WorkerName> {
    let mut found = Vec::new();
    for _ in 0..count {
        let fitting = spots
            .iter_mut()
            .filter(|spot| spot.spread > 0 && step.demand.fits(&spot.free));
        let Some(spot) = fitting.min_by_key(|spot| (spot.slow == urgent, leftover(&spot.free, &step.demand))) else {
            break;
        };
        spot.take(&step.demand);
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
