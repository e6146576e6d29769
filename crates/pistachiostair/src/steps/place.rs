//! Choice of workers for the tasks of a step: packs tasks tightly within the sets of workers that the step prefers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::ids::RackName;
use crate::steps::capacity::{Eligible, FreeCapacity, Room};
use crate::steps::release::is_avoided;
use crate::steps::spec::{Demand, Step};
use crate::steps::speed::{CLASSES, SpeedClass};

/// Which of the workers that fit a step prefers by their speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// The fastest.
    Fastest,
    /// The slowest that are at least this fast, so that faster ones stay free for others; then the fastest below.
    SlowestFrom(SpeedClass),
}

impl SpeedPreference {
    /// That of a step of a queue with this priority of which no more is known.
    pub(crate) fn of_queue(priority: u32) -> Self {
        match priority {
            0 => Self::Fastest,
            _ => Self::SlowestFrom(SpeedClass::MIN),
        }
    }

    /// Order of preference of a speed, lowest first.
    pub(crate) fn rank(self, speed: SpeedClass) -> usize {
        match self {
            Self::Fastest => CLASSES - speed.index(),
            Self::SlowestFrom(least) if speed >= least => speed.index() - least.index(),
            Self::SlowestFrom(least) => CLASSES + least.index() - speed.index(),
        }
    }
}

/// The part of each set with the workers of at least a certain speed; parts without workers are left out.
pub(crate) fn fast_parts(sets: &[Vec<Eligible>], least: SpeedClass, free: &FreeCapacity<'_>) -> Vec<Vec<Eligible>> {
    let fast = |worker: &Eligible| free.speed(worker.position) >= least;
    let parts = sets.iter().map(|set| set.iter().copied().filter(fast).collect());
    parts.filter(|part: &Vec<Eligible>| !part.is_empty()).collect()
}

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
/// the one in which a gang has the preferred pace, then the one with the fewest free accelerators.
pub(crate) fn place_tasks(
    step: &Step,
    (count, preference): (u32, SpeedPreference),
    sets: &[Vec<Eligible>],
    free: &FreeCapacity<'_>,
) -> Vec<u32> {
    // Filling the set with the fewest free accelerators keeps the other sets free for larger gangs.
    let compares_pace = step.gang && !free.is_uniform() && sets.len() > 1;
    let pace = |set: &[Eligible]| {
        let pace = compares_pace.then(|| gang_pace(step, (count, preference), set, free));
        pace.flatten().map_or(0, |pace| preference.rank(pace))
    };
    let mut order: Vec<((usize, u64), &Vec<Eligible>)> = sets
        .iter()
        .map(|set| {
            let accelerators = set.iter().map(|worker| free.room(worker.position).free.accelerators);
            ((pace(set), accelerators.fold(0, u64::saturating_add)), set)
        })
        .collect();
    order.sort_by_key(|(rank, _)| *rank);
    let mut results = order
        .into_iter()
        .map(|(_, set)| pack(step, (count, preference), set, free));
    results.find(|workers| !workers.is_empty()).unwrap_or_default()
}

/// The speed of the slowest member of a gang of `count` tasks on a set of workers: the highest that its members can have
/// there or, if the preference asks for less, that. None if they don't all fit.
fn gang_pace(
    step: &Step,
    (count, preference): (u32, SpeedPreference),
    set: &[Eligible],
    free: &FreeCapacity<'_>,
) -> Option<SpeedClass> {
    // Number of tasks that fit on the workers of each speed, fastest first, at most `count`.
    let mut fitting = [0; CLASSES];
    for worker in set {
        let speed = free.speed(worker.position);
        let fitting = &mut fitting[CLASSES - 1 - speed.index()];
        let limit = worker.limit.min(count - *fitting);
        *fitting += free.room(worker.position).fitting(&step.demand, limit);
        if *fitting == count && free.is_uniform() {
            return Some(speed);
        }
    }
    let mut total = 0u32;
    let slowest = fitting.iter().position(|fitting| {
        total = total.saturating_add(*fitting);
        total >= count
    })?;
    let pace = SpeedClass::from_index(CLASSES - 1 - slowest);
    Some(match preference {
        SpeedPreference::Fastest => pace,
        SpeedPreference::SlowestFrom(least) => pace.min(least),
    })
}

/// Puts each task on the worker with the least capacity left over, so that whole workers stay free for tasks that need
/// all of one. The speed of the workers goes first. A gang is as slow as its slowest member, so that its members don't
/// take faster workers than they need for the same pace.
fn pack(
    step: &Step,
    (count, preference): (u32, SpeedPreference),
    set: &[Eligible],
    free: &FreeCapacity<'_>,
) -> Vec<u32> {
    let preference = match step.gang {
        false => preference,
        true => match gang_pace(step, (count, preference), set, free) {
            Some(pace) => SpeedPreference::SlowestFrom(pace),
            None => return Vec::new(),
        },
    };
    let demand = &step.demand;
    // The preference of a worker, its position, and what it has left for tasks of the step.
    let entry = |worker: Eligible, room: Room| {
        let fits = worker.limit > 0 && room.fits(demand);
        let leaves = is_avoided(free.release(worker.position), step);
        let rank = (
            preference.rank(free.speed(worker.position)),
            leaves,
            leftover(&room.free, demand),
            worker.position,
        );
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
    /// Rank of its speed, whether it is better left to others for a release, what a task leaves over, and its position.
    rank: (usize, bool, (u64, u64), u32),
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
