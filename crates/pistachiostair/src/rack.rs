//! Workers and racks with their used, held and free slots and accelerators.
//!
//! Each rack counts its workers by available accelerators, so that a search first compares racks and then examines
//! single workers only in the racks that it chose.

use std::collections::BTreeSet;

use crate::ids::{DomainName, JobId, RackName};
use crate::resource::{MemberState, Shape, WorkerInfo};

/// Index of a worker in `Topology::nodes`.
pub(crate) type WorkerIndex = usize;

/// Number of entries in a rack's counts: 0 to `Shape::MAX_ACCELERATORS` accelerators.
const LEVELS: usize = Shape::MAX_ACCELERATORS as usize + 1;

/// Which slots and accelerators work may use. Long work must leave the reserved slots free. Pinned work can't be
/// stopped, so it must leave free what guarantees need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkKind {
    pub(crate) long: bool,
    pub(crate) pinned: bool,
}

impl WorkKind {
    const COUNT: usize = 4;
    const ALL: [Self; Self::COUNT] = [
        Self::new(false, false),
        Self::new(true, false),
        Self::new(false, true),
        Self::new(true, true),
    ];

    pub(crate) const fn new(long: bool, pinned: bool) -> Self {
        Self { long, pinned }
    }

    /// Whether the work may use what is reserved for a gang: only short work that can be stopped for the gang.
    const fn may_borrow(self) -> bool {
        !self.long && !self.pinned
    }

    fn index(self) -> usize {
        usize::from(self.long) + 2 * usize::from(self.pinned)
    }
}

/// A worker and what is used or held on it. Amounts are accelerators unless the name says slots or tasks.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) info: WorkerInfo,
    pub(crate) state: MemberState,
    /// Takes no work but probes, after failures of several jobs.
    pub(crate) quarantined: bool,
    /// Was removed from the region; kept while jobs or holds are counted on it.
    pub(crate) gone: bool,
    /// Tasks of placed jobs; each uses a slot.
    pub(crate) tasks: u32,
    /// Accelerators of placed jobs.
    pub(crate) used: u32,
    /// Tasks of long work.
    pub(crate) long: u32,
    /// Held for waiting jobs, to be used once the worker is free.
    pub(crate) claimed: u32,
    pub(crate) claimed_slots: u32,
    /// The part of `claimed` that belongs to reservations and that short work may use meanwhile.
    pub(crate) reserved: u32,
    pub(crate) reserved_slots: u32,
    /// Used by jobs that are being stopped.
    pub(crate) stopping: u32,
    pub(crate) stopping_slots: u32,
    /// Needed by guarantees or used by pinned work.
    pub(crate) committed: u32,
    pub(crate) committed_slots: u32,
    /// Observed memory use of its tasks, in mebibytes.
    pub(crate) memory: u64,
    /// Jobs with a part that is or was on the worker, until the whole job has ended.
    pub(crate) jobs: BTreeSet<JobId>,
    /// Index of its rack in `Topology::racks`.
    pub(crate) rack: usize,
    /// Accelerators available to each kind of work as counted in the rack; -1 if it takes no part.
    avail: [i32; WorkKind::COUNT],
    /// Accelerators of the hardware as counted in the rack; -1 if the worker is gone or has no slots.
    hardware: i32,
}

impl Node {
    /// A worker without work that is not counted in a rack yet.
    pub(crate) fn new(info: WorkerInfo, state: MemberState) -> Self {
        Self {
            info,
            state,
            quarantined: false,
            gone: false,
            tasks: 0,
            used: 0,
            long: 0,
            claimed: 0,
            claimed_slots: 0,
            reserved: 0,
            reserved_slots: 0,
            stopping: 0,
            stopping_slots: 0,
            committed: 0,
            committed_slots: 0,
            memory: 0,
            jobs: BTreeSet::new(),
            rack: 0,
            avail: [-1; WorkKind::COUNT],
            hardware: -1,
        }
    }

    /// Accelerators that the worker offers to a kind of work; -1 if it takes no part.
    pub(crate) fn avail(&self, kind: WorkKind) -> i32 {
        self.avail[kind.index()]
    }

    /// Computes what the worker offers, before it is added to the counts of its rack.
    fn update_available(&mut self, reserve: u32) {
        for kind in WorkKind::ALL {
            self.avail[kind.index()] = self.available(kind, reserve);
        }
        let present = !self.gone && self.info.slots > 0;
        self.hardware = if present {
            self.info.accelerators.min(LEVELS as u32 - 1) as i32
        } else {
            -1
        };
    }

    /// Whether the worker takes new work other than probes.
    pub(crate) fn usable(&self) -> bool {
        self.state == MemberState::Live && !self.quarantined && !self.gone
    }

    /// Accelerators that no task uses, whether or not they are held for a waiting job.
    pub(crate) fn idle(&self) -> u32 {
        self.info.accelerators.saturating_sub(self.used)
    }

    /// Slots that no task uses, whether or not they are held for a waiting job.
    pub(crate) fn idle_slots(&self) -> u32 {
        self.info.slots.saturating_sub(self.tasks)
    }

    /// Number of slots that long work may use. At least one, or long work could not run on any worker.
    pub(crate) fn long_limit(&self, reserve: u32) -> u32 {
        self.info.slots.saturating_sub(reserve).max(1)
    }

    /// Whether long work uses slots that are reserved for short work.
    pub(crate) fn over_reserve(&self, reserve: u32) -> bool {
        self.long > self.long_limit(reserve)
    }

    /// Accelerators that are neither used nor held.
    fn free(&self) -> u32 {
        self.info.accelerators.saturating_sub(self.used + self.claimed)
    }

    /// Slots that are neither used nor held.
    fn free_slots(&self) -> u32 {
        self.info.slots.saturating_sub(self.tasks + self.claimed_slots)
    }

    /// Like [`Self::free`], but 0 if the worker takes no new work, has no free slot or is out of memory.
    pub(crate) fn unclaimed(&self) -> u32 {
        match self.usable() && !self.out_of_memory() && self.free_slots() > 0 {
            true => self.free(),
            false => 0,
        }
    }

    /// Whether the observed memory use has reached the worker's memory; false if its memory is not known (0).
    fn out_of_memory(&self) -> bool {
        self.info.memory > 0 && self.memory >= self.info.memory
    }

    /// Number of slots that the worker offers to parts of a kind of work.
    pub(crate) fn room(&self, kind: WorkKind, reserve: u32) -> u32 {
        if !self.usable() || self.out_of_memory() {
            return 0;
        }
        let mut slots = if kind.may_borrow() {
            self.idle_slots()
                .saturating_sub(self.claimed_slots - self.reserved_slots)
        } else {
            self.free_slots()
        };
        if kind.long {
            slots = slots.min(self.long_limit(reserve).saturating_sub(self.long));
        }
        if kind.pinned {
            slots = slots.min(self.info.slots.saturating_sub(self.committed_slots));
        }
        slots
    }

    /// Computes the accelerators that the worker offers to a kind of work; -1 if there is no slot.
    fn available(&self, kind: WorkKind, reserve: u32) -> i32 {
        if self.room(kind, reserve) == 0 {
            return -1;
        }
        let open = self.info.accelerators.saturating_sub(self.committed);
        let free = if kind.pinned {
            self.free().min(open)
        } else if kind.may_borrow() {
            self.idle().saturating_sub(self.claimed - self.reserved)
        } else {
            self.free()
        };
        free.min(LEVELS as u32 - 1) as i32
    }
}

/// A rack with its workers and their counts.
#[derive(Clone, Debug)]
pub(crate) struct Rack {
    pub(crate) domain: DomainName,
    pub(crate) name: RackName,
    /// Workers in the rack, usable or not.
    pub(crate) members: Vec<WorkerIndex>,
    /// Free accelerators of usable workers.
    pub(crate) free: u32,
    /// For each kind of work and number, how many workers have at least that many accelerators available.
    counts: [[u16; LEVELS]; WorkKind::COUNT],
    /// For each number, how many workers have at least that many accelerators in hardware.
    hardware: [u16; LEVELS],
}

impl Rack {
    pub(crate) fn new(domain: DomainName, name: RackName) -> Self {
        Self {
            domain,
            name,
            members: Vec::new(),
            free: 0,
            counts: [[0; LEVELS]; WorkKind::COUNT],
            hardware: [0; LEVELS],
        }
    }

    /// Adds a worker to the counts, or subtracts it with the values with which it was added.
    pub(crate) fn update_counts(&mut self, node: &mut Node, reserve: u32, add: bool) {
        if add {
            node.update_available(reserve);
        }
        let step = |count: &mut u16| if add { *count += 1 } else { *count -= 1 };
        for (avail, counts) in node.avail.iter().zip(&mut self.counts) {
            counts.iter_mut().take((avail + 1) as usize).for_each(step);
        }
        self.hardware
            .iter_mut()
            .take((node.hardware + 1) as usize)
            .for_each(step);
        let free = if node.usable() { node.free() } else { 0 };
        if add {
            self.free += free;
        } else {
            self.free -= free;
        }
    }

    /// Number of workers with at least this many accelerators available to a kind of work.
    pub(crate) fn count(&self, kind: WorkKind, accelerators: u32) -> u32 {
        let level = self.counts[kind.index()].get(accelerators as usize);
        level.copied().unwrap_or(0).into()
    }

    /// Number of workers whose hardware has at least this many accelerators.
    pub(crate) fn capacity(&self, accelerators: u32) -> u32 {
        self.hardware.get(accelerators as usize).copied().unwrap_or(0).into()
    }

    /// The smallest number of available accelerators, not below `accelerators`, that some worker has; `None` if all
    /// workers have fewer.
    pub(crate) fn smallest_fit(&self, kind: WorkKind, accelerators: u32) -> Option<u32> {
        let counts = &self.counts[kind.index()];
        if counts.get(accelerators as usize).is_none_or(|count| *count == 0) {
            return None;
        }
        let above = |level: usize| counts.get(level + 1).copied().unwrap_or(0);
        (accelerators as usize..LEVELS)
            .find(|level| counts[*level] > above(*level))
            .map(|level| level as u32)
    }
}
