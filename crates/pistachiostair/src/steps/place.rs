//! Choice of workers for the tasks of a step: packs tasks tightly within the sets of workers that the step prefers.

use std::collections::BTreeMap;

use crate::ids::{RackName, WorkerName};
use crate::steps::capacity::Candidate;
use crate::steps::spec::{Demand, Step};

/// The sets of workers within which a step's tasks run at full speed: the rack of its data, or each single rack for a
/// gang that should stay within one. None if the step has no such preference; an empty list if no candidate is in the
/// rack of its data.
pub(crate) fn preferred_sets<'a>(step: &Step, candidates: &[Candidate<'a>]) -> Option<Vec<Vec<Candidate<'a>>>> {
    let mut racks: BTreeMap<&RackName, Vec<Candidate<'a>>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(candidate.rack).or_default().push(candidate.clone());
    }
    match &step.affinity {
        Some(rack) => {
            let near = racks.into_iter().filter(|(name, _)| name.as_str() == rack);
            Some(near.map(|(_, candidates)| candidates).collect())
        }
        None if step.gang && step.same_rack => Some(racks.into_values().collect()),
        None => None,
    }
}

/// Chooses workers for `count` tasks of a step within one of several sets. Returns fewer workers if not all tasks fit,
/// and none at all if they are members of a gang. Of the sets in which anything fits, takes the one with the fewest
/// free accelerators.
pub(crate) fn place_tasks(step: &Step, (count, urgent): (u32, bool), sets: Vec<Vec<Candidate<'_>>>) -> Vec<WorkerName> {
    let results = sets.into_iter().map(|candidates| {
        let free: u64 = candidates.iter().map(|candidate| candidate.free.accelerators).sum();
        (free, pack(step, (count, urgent), candidates))
    });
    // Filling the set with the fewest free accelerators keeps the other sets free for larger gangs.
    let best = results
        .filter(|(_, workers)| !workers.is_empty())
        .min_by_key(|(free, _)| *free);
    best.map_or_else(Vec::new, |(_, workers)| workers)
}

/// Puts each task on the worker with the least capacity left over, so that whole workers stay free for tasks that need
/// all of one. Urgent tasks prefer fast workers, others slow ones.
fn pack(step: &Step, (count, urgent): (u32, bool), mut candidates: Vec<Candidate<'_>>) -> Vec<WorkerName> {
    let mut workers = Vec::new();
    for _ in 0..count {
        let fitting = candidates
            .iter_mut()
            .filter(|candidate| candidate.task_limit > 0 && step.demand.fits(&candidate.free));
        let Some(best) =
            fitting.min_by_key(|candidate| (candidate.slow == urgent, leftover(&candidate.free, &step.demand)))
        else {
            break;
        };
        best.take(&step.demand);
        workers.push(best.worker.clone());
    }
    if step.gang && workers.len() < count as usize {
        workers.clear();
    }
    workers
}

/// Capacity of a worker that is left beside a task, for comparison: accelerators first, then memory.
fn leftover(free: &Demand, demand: &Demand) -> (u64, u64) {
    let left = free.minus(demand);
    (left.accelerators, left.memory)
}
