//! Choice of workers for the tasks of a step: packs tasks tightly within the sets of workers that the step prefers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::ids::RackName;
use crate::steps::capacity::{Eligible, FreeCapacity, Room};
use crate::steps::release::is_avoided;
use crate::steps::spec::{Demand, Step};

/// The sets of workers within which a step's tasks run at full speed: the rack of its data, or each single rack, in
/// order of their names, for a gang that should stay within one. None if the step has no such preference; an empty list
/// if no eligible worker is in the rack of its data. `racks` has the number of each rack.
pub(crate) fn preferred_sets(
    step: &Step,
    eligible: &[Eligible],
    free: &FreeCapacity<'_>,
    racks: &BTreeMap<RackName, u32>,
) -> Option<Vec<Vec<Eligible>>> {
    if let Some(rack) = &step.affinity {
        let near = eligible.iter().copied();
        let near: Vec<Eligible> = near.filter(|worker| free.is_in_rack(worker.position, rack)).collect();
        return Some(if near.is_empty() { Vec::new() } else { vec![near] });
    }
    if !step.gang || !step.same_rack {
        return None;
    }
    let mut by_number = vec![Vec::new(); racks.len()];
    for worker in eligible {
        by_number[free.rack_number(worker.position) as usize].push(*worker);
    }
    let sets = racks
        .values()
        .map(|number| std::mem::take(&mut by_number[*number as usize]));
    Some(sets.filter(|set| !set.is_empty()).collect())
}

/// Chooses workers, given by their positions, for `count` tasks of a step within one of several sets. Returns fewer
/// workers if not all tasks fit, and none at all if they are members of a gang. Of the sets in which anything fits, takes
/// the one with the fewest free accelerators.
pub(crate) fn place_tasks(
    step: &Step,
    (count, urgent): (u32, bool),
    sets: &[Vec<Eligible>],
    free: &FreeCapacity<'_>,
) -> Vec<u32> {
    // Filling the set with the fewest free accelerators keeps the other sets free for larger gangs.
    let mut order: Vec<(u64, &Vec<Eligible>)> = sets
        .iter()
        .map(|set| {
            let accelerators = set.iter().map(|worker| free.room(worker.position).free.accelerators);
            (accelerators.fold(0, u64::saturating_add), set)
        })
        .collect();
    order.sort_by_key(|(accelerators, _)| *accelerators);
    let mut results = order.into_iter().map(|(_, set)| pack(step, (count, urgent), set, free));
    results.find(|workers| !workers.is_empty()).unwrap_or_default()
}

/// Whether `count` tasks fit on the workers together.
fn fits(step: &Step, count: u32, set: &[Eligible], free: &FreeCapacity<'_>) -> bool {
    let mut missing = count;
    set.iter().any(|worker| {
        let room = free.room(worker.position);
        missing -= room.fitting(&step.demand, worker.limit.min(missing));
        missing == 0
    })
}

/// Puts each task on the worker with the least capacity left over, so that whole workers stay free for tasks that need
/// all of one. Urgent tasks prefer fast workers, others slow ones.
fn pack(step: &Step, (count, urgent): (u32, bool), set: &[Eligible], free: &FreeCapacity<'_>) -> Vec<u32> {
    if step.gang && !fits(step, count, set, free) {
        return Vec::new();
    }
    let demand = &step.demand;
    // The preference of a worker, its position, and what it has left for tasks of the step.
    let entry = |worker: Eligible, room: Room| {
        let avoided = free.is_slow(worker.position) == urgent;
        let fits = worker.limit > 0 && room.fits(demand);
        let leaves = is_avoided(free.release(worker.position), step);
        let rank = (avoided, leaves, leftover(&room.free, demand), worker.position);
        fits.then_some(Reverse(Ranked { rank, worker, room }))
    };
    let fitting = set
        .iter()
        .filter_map(|worker| entry(*worker, free.room(worker.position)));
    let mut heap: BinaryHeap<Reverse<Ranked>> = fitting.collect();
    let mut workers = Vec::new();
    while workers.len() < count as usize
        && let Some(Reverse(Ranked {
            mut worker, mut room, ..
        })) = heap.pop()
    {
        workers.push(worker.position);
        worker.limit -= 1;
        room.free = room.free.minus(demand);
        heap.extend(entry(worker, room));
    }
    workers
}

/// A worker on which a task fits, ordered by preference.
struct Ranked {
    /// Whether it is better left to others for its speed, and for a release, what a task leaves over, and its position.
    rank: (bool, bool, (u64, u64), u32),
    worker: Eligible,
    room: Room,
}

impl PartialEq for Ranked {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Ranked {}

impl PartialOrd for Ranked {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Ranked {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

/// Capacity of a worker that is left beside a task, for comparison: accelerators first, then memory.
pub(crate) fn leftover(free: &Demand, demand: &Demand) -> (u64, u64) {
    let left = free.minus(demand);
    (left.accelerators, left.memory)
}
