//! Guarantees of accounts, as an explicit packing of their shapes onto workers.
//!
//! A guarantee consists of `count` instances of its shape. Each instance is packed on a set of workers from which the
//! account can get it: on every worker the sum over accounts of max(accelerators of pinned work, accelerators of
//! instances) stays within the hardware, and likewise for slots. Pinned work can't be stopped; everything else on the
//! workers can be reclaimed. An account's own pinned work counts towards its own instances.
//!
//! The planner counts pinned work here when it places it and updates the packing when hardware or guarantees change.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::GuaranteeName;
use crate::rack::{WorkKind, WorkerIndex};
use crate::resource::{GuaranteeSpec, Shape};
use crate::topology::Topology;

/// Index of a client account in `Planner::accounts`.
pub(crate) type AccountIndex = usize;

/// Accelerators and slots of one worker that pinned work of one account uses, and that instances packed there need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AccountLoad {
    pinned: u32,
    pinned_slots: u32,
    packed: u32,
    packed_slots: u32,
}

impl AccountLoad {
    /// Accelerators and slots that other accounts can't count on.
    fn committed(self) -> (u32, u32) {
        (self.pinned.max(self.packed), self.pinned_slots.max(self.packed_slots))
    }
}

/// One of the `count` shapes of a guarantee. `workers` is empty if it can't be honoured at present.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) name: GuaranteeName,
    pub(crate) account: AccountIndex,
    pub(crate) shape: Shape,
    pub(crate) workers: Vec<WorkerIndex>,
}

/// All guarantees, their packing, and the pinned work that runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Guarantees {
    specs: BTreeMap<GuaranteeName, (AccountIndex, GuaranteeSpec)>,
    /// Instances of all guarantees, the largest shapes first.
    pub(crate) instances: Vec<Instance>,
    loads: BTreeMap<(WorkerIndex, AccountIndex), AccountLoad>,
    /// Set by a change that may displace an instance or let a broken one be packed; see [`Self::update_packing`].
    dirty: bool,
}

impl Guarantees {
    /// Adds or replaces a guarantee; [`Self::update_packing`] packs it.
    pub(crate) fn set(
        &mut self,
        topology: &mut Topology,
        name: GuaranteeName,
        account: AccountIndex,
        spec: GuaranteeSpec,
    ) {
        self.remove(topology, &name);
        for _ in 0..spec.count {
            self.instances.push(Instance {
                name: name.clone(),
                account,
                shape: spec.shape,
                workers: Vec::new(),
            });
        }
        self.instances.sort_by_key(|i| {
            (
                std::cmp::Reverse((i.shape.total(), i.shape.accelerators)),
                i.name.clone(),
            )
        });
        self.specs.insert(name, (account, spec));
        self.dirty = true;
    }

    /// Deletes a guarantee and frees what its instances need.
    pub(crate) fn remove(&mut self, topology: &mut Topology, name: &GuaranteeName) {
        if self.specs.remove(name).is_none() {
            return;
        }
        for index in 0..self.instances.len() {
            if self.instances[index].name == *name {
                self.unpack(topology, index);
            }
        }
        self.instances.retain(|instance| instance.name != *name);
        self.dirty = true;
    }

    /// Notes that hardware changed, so that [`Self::update_packing`] checks all instances.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Unpacks all instances that use a worker which was removed.
    pub(crate) fn remove_worker(&mut self, topology: &mut Topology, worker: WorkerIndex) {
        for index in 0..self.instances.len() {
            if self.instances[index].workers.contains(&worker) {
                self.unpack(topology, index);
            }
        }
        self.dirty = true;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.specs.is_empty()
    }

    /// Guarantees of an account.
    pub(crate) fn of(&self, account: AccountIndex) -> impl Iterator<Item = &GuaranteeSpec> {
        self.specs
            .values()
            .filter(move |(owner, _)| *owner == account)
            .map(|(_, spec)| spec)
    }

    /// Number of accelerators guaranteed to an account.
    pub(crate) fn total(&self, account: AccountIndex) -> u32 {
        self.of(account).map(|spec| spec.shape.total() * spec.count).sum()
    }

    /// Number of slots guaranteed to an account.
    pub(crate) fn slots(&self, account: AccountIndex) -> u32 {
        self.of(account).map(|spec| spec.shape.workers * spec.count).sum()
    }

    /// Guarantees that can't be honoured, with their shape and the number of instances that are not packed.
    pub(crate) fn broken(&self) -> BTreeMap<GuaranteeName, (Shape, u32)> {
        let mut broken = BTreeMap::new();
        for instance in self.instances.iter().filter(|instance| instance.workers.is_empty()) {
            broken.entry(instance.name.clone()).or_insert((instance.shape, 0)).1 += 1;
        }
        broken
    }

    /// Whether [`Self::update_packing`] has something to do.
    pub(crate) fn is_dirty(&self) -> bool {
        self.dirty
    }

    /// Packs instances that are not packed and moves those whose workers are no longer obtainable. No honoured instance
    /// is given up for another: a packing from scratch replaces the present one only if all honoured ones stay packed.
    pub(crate) fn update_packing(&mut self, topology: &mut Topology) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let indexes = 0..self.instances.len();
        let displaced: Vec<usize> = indexes.filter(|index| !self.is_obtainable(topology, *index)).collect();
        for index in &displaced {
            self.unpack(topology, *index);
        }
        let missing = displaced
            .into_iter()
            .filter(|index| !self.pack(topology, *index))
            .count();
        if missing > 0 {
            self.repack_all(topology);
        }
    }

    /// Counts one part of pinned work on each of `workers`, whether or not guarantees can still be packed. For work
    /// that runs already.
    pub(crate) fn pin(
        &mut self,
        topology: &mut Topology,
        account: AccountIndex,
        workers: &[WorkerIndex],
        accelerators: u32,
    ) {
        for worker in workers {
            self.change(topology, *worker, account, |load| {
                load.pinned += accelerators;
                load.pinned_slots += 1;
            });
        }
        self.dirty |= workers.iter().any(|worker| overcommitted(topology, *worker));
    }

    /// Stops counting one part of pinned work.
    pub(crate) fn unpin(
        &mut self,
        topology: &mut Topology,
        account: AccountIndex,
        worker: WorkerIndex,
        accelerators: u32,
    ) {
        self.change(topology, worker, account, |load| {
            load.pinned -= accelerators.min(load.pinned);
            load.pinned_slots = load.pinned_slots.saturating_sub(1);
        });
        self.dirty |= self.instances.iter().any(|instance| instance.workers.is_empty());
    }

    /// Counts pinned work like [`Self::pin`] if all honoured instances stay so, some of them possibly on other workers.
    /// Otherwise changes nothing and returns false.
    pub(crate) fn try_pin(
        &mut self,
        topology: &mut Topology,
        account: AccountIndex,
        workers: &[WorkerIndex],
        accelerators: u32,
    ) -> bool {
        let dirty = self.dirty;
        self.pin(topology, account, workers, accelerators);
        let overfull: BTreeSet<WorkerIndex> = workers
            .iter()
            .copied()
            .filter(|worker| overcommitted(topology, *worker))
            .collect();
        if overfull.is_empty() {
            return true;
        }
        let affected = |instance: &Instance| instance.workers.iter().any(|worker| overfull.contains(worker));
        let moved: Vec<usize> = (0..self.instances.len())
            .filter(|i| affected(&self.instances[*i]))
            .collect();
        let saved: Vec<Vec<WorkerIndex>> = moved
            .iter()
            .map(|index| self.instances[*index].workers.clone())
            .collect();
        for index in &moved {
            self.unpack(topology, *index);
        }
        let fits = !overfull.iter().any(|worker| overcommitted(topology, *worker));
        self.dirty = dirty;
        if fits && moved.iter().all(|index| self.pack(topology, *index)) {
            return true;
        }
        for index in &moved {
            self.unpack(topology, *index);
        }
        for worker in workers {
            self.unpin(topology, account, *worker, accelerators);
        }
        for (index, workers) in moved.into_iter().zip(saved) {
            self.assign(topology, index, workers);
        }
        self.dirty = dirty;
        false
    }

    /// Accelerators of a worker that more pinned work of an account may use without a conflict with other accounts'
    /// pinned work and instances; -1 if no slot is left for it.
    pub(crate) fn pinnable(&self, topology: &Topology, worker: WorkerIndex, account: AccountIndex) -> i32 {
        let node = &topology.nodes[worker];
        let load = self.load_of(worker, account);
        let (accelerators, slots) = load.committed();
        if node.committed_slots + load.pinned_slots >= node.info.slots + slots {
            return -1;
        }
        (node.info.accelerators + accelerators) as i32 - (node.committed + load.pinned) as i32
    }

    /// Accelerators of a worker that instances of other accounts leave to an account, regardless of what runs there.
    pub(crate) fn left_by_others(&self, topology: &Topology, worker: WorkerIndex, account: AccountIndex) -> i32 {
        let loads = self.loads.range((worker, 0)..(worker + 1, 0));
        let others = loads.filter(|((_, owner), _)| *owner != account);
        let packed: u32 = others.map(|(_, load)| load.packed).sum();
        topology.nodes[worker].info.accelerators as i32 - packed as i32
    }

    /// Whether an instance of the account is packed on the worker.
    pub(crate) fn is_packed_on(&self, worker: WorkerIndex, account: AccountIndex) -> bool {
        self.load_of(worker, account).packed_slots > 0
    }

    /// Workers on which instances of an account are packed.
    pub(crate) fn packed_workers(&self, account: AccountIndex) -> BTreeSet<WorkerIndex> {
        let own = self.instances.iter().filter(|instance| instance.account == account);
        own.flat_map(|instance| instance.workers.iter().copied()).collect()
    }

    fn load_of(&self, worker: WorkerIndex, account: AccountIndex) -> AccountLoad {
        self.loads.get(&(worker, account)).copied().unwrap_or_default()
    }

    /// Changes the load of an account on a worker, and the worker's committed amounts with it.
    fn change(
        &mut self,
        topology: &mut Topology,
        worker: WorkerIndex,
        account: AccountIndex,
        change: impl FnOnce(&mut AccountLoad),
    ) {
        let load = self.loads.entry((worker, account)).or_default();
        let before = load.committed();
        change(load);
        let after = load.committed();
        if *load == AccountLoad::default() {
            self.loads.remove(&(worker, account));
        }
        if before != after {
            topology.update(worker, |node| {
                node.committed = node.committed + after.0 - before.0;
                node.committed_slots = node.committed_slots + after.1 - before.1;
            });
        }
    }

    /// Whether the account can still get the instance: it is packed, its workers take new work and none of them is
    /// overcommitted.
    fn is_obtainable(&self, topology: &Topology, index: usize) -> bool {
        let workers = &self.instances[index].workers;
        let usable = |worker: &WorkerIndex| topology.nodes[*worker].usable() && !overcommitted(topology, *worker);
        !workers.is_empty() && workers.iter().all(usable)
    }

    /// Packs an instance on the given workers without a check.
    fn assign(&mut self, topology: &mut Topology, index: usize, workers: Vec<WorkerIndex>) {
        let Instance { account, shape, .. } = self.instances[index];
        for worker in &workers {
            self.change(topology, *worker, account, |load| {
                load.packed += shape.accelerators;
                load.packed_slots += 1;
            });
        }
        self.instances[index].workers = workers;
    }

    /// Frees what an instance needs and marks it as not packed.
    fn unpack(&mut self, topology: &mut Topology, index: usize) {
        let Instance { account, shape, .. } = self.instances[index];
        for worker in std::mem::take(&mut self.instances[index].workers) {
            self.change(topology, worker, account, |load| {
                load.packed -= shape.accelerators;
                load.packed_slots -= 1;
            });
        }
    }

    /// Packs an instance on the best fitting workers; false if there are none.
    fn pack(&mut self, topology: &mut Topology, index: usize) -> bool {
        let Instance { account, shape, .. } = self.instances[index];
        let room = |worker: WorkerIndex| {
            let node = &topology.nodes[worker];
            if !node.usable() {
                return -1;
            }
            let load = self.load_of(worker, account);
            let (accelerators, slots) = load.committed();
            if node.committed_slots + load.packed_slots >= node.info.slots + slots {
                return -1;
            }
            (node.info.accelerators + accelerators) as i32 - (node.committed + load.packed) as i32
        };
        let Some(workers) = topology.find_with(shape, room) else {
            return false;
        };
        self.assign(topology, index, workers);
        true
    }

    /// Packs all instances from scratch, the largest first or, if that does not help, the honoured ones first. The old
    /// packing is restored unless all honoured instances stay packed and at least one more is.
    fn repack_all(&mut self, topology: &mut Topology) {
        let saved: Vec<Vec<WorkerIndex>> = self.instances.iter().map(|instance| instance.workers.clone()).collect();
        let honoured: Vec<usize> = (0..saved.len()).filter(|index| !saved[*index].is_empty()).collect();
        let missing: Vec<usize> = (0..saved.len()).filter(|index| saved[*index].is_empty()).collect();
        let largest: Vec<usize> = (0..saved.len()).collect();
        for order in [largest, [&honoured[..], &missing[..]].concat()] {
            for index in 0..saved.len() {
                self.unpack(topology, index);
            }
            let packed = order.iter().filter(|index| self.pack(topology, **index)).count();
            let kept = honoured.iter().all(|index| !self.instances[*index].workers.is_empty());
            if kept && packed > honoured.len() {
                return;
            }
        }
        for (index, workers) in saved.into_iter().enumerate() {
            self.unpack(topology, index);
            self.assign(topology, index, workers);
        }
    }
}

/// Whether pinned work and instances need more than the worker has.
fn overcommitted(topology: &Topology, worker: WorkerIndex) -> bool {
    let node = &topology.nodes[worker];
    node.committed > node.info.accelerators || node.committed_slots > node.info.slots
}

/// Accelerators of a worker that are free and that pinned work of the account may use beside the guarantees; -1 for no
/// slot.
pub(crate) fn pinned_room(
    guarantees: &Guarantees,
    topology: &Topology,
    worker: WorkerIndex,
    account: AccountIndex,
    long: bool,
) -> i32 {
    let kind = WorkKind { long, pinned: false };
    topology
        .avail(worker, kind)
        .min(guarantees.pinnable(topology, worker, account))
}
