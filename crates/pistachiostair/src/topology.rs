//! Workers, racks and failure domains of a region, as the planner knows them.
//!
//! Workers and racks are kept in vectors and referred to by index. Every change of a worker goes through
//! [`Topology::update`] or another function here, which keeps the counts of its rack and of the region consistent.

use std::collections::BTreeMap;

use crate::ids::WorkerName;
use crate::rack::{Node, Rack, WorkerIndex};
use crate::resource::{MemberState, WorkerInfo};

/// Workers and racks of a region with their counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    /// Workers by index. Entries in `free_indexes` are unused.
    pub(crate) nodes: Vec<Node>,
    /// Racks in the order of failure domain and name, so that neighbours in the vector are neighbouring racks.
    pub(crate) racks: Vec<Rack>,
    /// Number of slots of each worker that long work leaves free; see `Scheduling.reserve`.
    pub(crate) reserve: u32,
    /// Accelerators of live workers.
    pub(crate) total: u32,
    /// Slots of live workers.
    pub(crate) slots: u32,
    /// Number of live workers on which long work uses reserved slots.
    pub(crate) crowded: u32,
    names: BTreeMap<WorkerName, WorkerIndex>,
    free_indexes: Vec<WorkerIndex>,
}

impl Topology {
    /// Index of a worker; `None` if it is not known.
    pub(crate) fn index(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.names.get(name).copied()
    }

    /// Names of workers, in the given order.
    pub(crate) fn names(&self, workers: &[WorkerIndex]) -> Vec<WorkerName> {
        workers.iter().map(|w| self.nodes[*w].info.name.clone()).collect()
    }

    /// Indexes of all known workers, in the order of names.
    pub(crate) fn workers(&self) -> impl Iterator<Item = WorkerIndex> + '_ {
        self.names.values().copied()
    }

    /// Number of known workers.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Index of a worker. An unknown one is added as dead and without capacity.
    pub(crate) fn index_or_insert(&mut self, name: &WorkerName) -> WorkerIndex {
        if let Some(worker) = self.index(name) {
            return worker;
        }
        let info = WorkerInfo {
            name: name.clone(),
            region: Default::default(),
            domain: Default::default(),
            rack: Default::default(),
            slots: 0,
            accelerators: 0,
            millicores: 0,
            memory: 0,
        };
        self.insert(info, MemberState::Dead)
    }

    /// Adds or updates a worker. Returns whether it brings hardware that was not known: the worker is new, larger than
    /// before or in another rack.
    pub(crate) fn set(&mut self, info: WorkerInfo, state: MemberState) -> bool {
        let Some(worker) = self.index(&info.name) else {
            self.insert(info, state);
            return true;
        };
        let old = &self.nodes[worker].info;
        let grown = info.accelerators > old.accelerators || info.slots > old.slots;
        let moved = (&old.domain, &old.rack) != (&info.domain, &info.rack);
        self.update_counts(worker, false);
        let node = &mut self.nodes[worker];
        node.info = info;
        node.state = state;
        node.gone = false;
        if moved {
            self.remove_from_rack(worker);
            self.add_to_rack(worker);
        } else {
            self.update_counts(worker, true);
        }
        grown || moved
    }

    /// Forgets a worker that was removed if no job or hold uses it any more. Its index is reused.
    pub(crate) fn forget_empty(&mut self, worker: WorkerIndex) {
        let node = &self.nodes[worker];
        if !node.gone || node.tasks > 0 || node.claimed_slots > 0 || !node.jobs.is_empty() {
            return;
        }
        let name = node.info.name.clone();
        if self.names.remove(&name).is_some() {
            self.update_counts(worker, false);
            self.remove_from_rack(worker);
            self.free_indexes.push(worker);
        }
    }

    /// Changes a worker and updates the counts.
    pub(crate) fn update(&mut self, worker: WorkerIndex, change: impl FnOnce(&mut Node)) {
        self.update_counts(worker, false);
        change(&mut self.nodes[worker]);
        self.update_counts(worker, true);
    }

    /// Changes the number of reserved slots of every worker.
    pub(crate) fn set_reserve(&mut self, reserve: u32) {
        for worker in self.workers().collect::<Vec<_>>() {
            self.update_counts(worker, false);
        }
        self.reserve = reserve;
        for worker in self.workers().collect::<Vec<_>>() {
            self.update_counts(worker, true);
        }
    }

    /// Adds a worker that is not known.
    fn insert(&mut self, info: WorkerInfo, state: MemberState) -> WorkerIndex {
        let node = Node::new(info, state);
        let name = node.info.name.clone();
        let worker = match self.free_indexes.pop() {
            Some(worker) => {
                self.nodes[worker] = node;
                worker
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        };
        self.names.insert(name, worker);
        self.add_to_rack(worker);
        worker
    }

    /// Adds a worker to the rack that its info names, and to the counts. Creates the rack if needed.
    fn add_to_rack(&mut self, worker: WorkerIndex) {
        let info = &self.nodes[worker].info;
        let key = (&info.domain, &info.rack);
        let index = match self.racks.binary_search_by(|rack| (&rack.domain, &rack.name).cmp(&key)) {
            Ok(index) => index,
            Err(index) => {
                let rack = Rack::new(info.domain.clone(), info.rack.clone());
                self.racks.insert(index, rack);
                self.renumber(index + 1);
                index
            }
        };
        self.nodes[worker].rack = index;
        self.racks[index].members.push(worker);
        self.update_counts(worker, true);
    }

    /// Removes a worker, which must not be counted, from its rack. Removes the rack if it is then empty.
    fn remove_from_rack(&mut self, worker: WorkerIndex) {
        let index = self.nodes[worker].rack;
        self.racks[index].members.retain(|member| *member != worker);
        if self.racks[index].members.is_empty() {
            self.racks.remove(index);
            self.renumber(index);
        }
    }

    /// Updates the rack index of the workers in the racks from index `from` on.
    fn renumber(&mut self, from: usize) {
        for (index, rack) in self.racks.iter().enumerate().skip(from) {
            for worker in &rack.members {
                self.nodes[*worker].rack = index;
            }
        }
    }

    /// Adds a worker to the counts of its rack and the region, or subtracts it. Every change of a worker subtracts it
    /// before and adds it again after.
    fn update_counts(&mut self, worker: WorkerIndex, add: bool) {
        let node = &mut self.nodes[worker];
        self.racks[node.rack].update_counts(node, self.reserve, add);
        if node.state != MemberState::Live || node.gone {
            return;
        }
        let crowded = u32::from(node.over_reserve(self.reserve));
        if add {
            self.crowded += crowded;
            self.total += node.info.accelerators;
            self.slots += node.info.slots;
        } else {
            self.crowded -= crowded;
            self.total -= node.info.accelerators;
            self.slots -= node.info.slots;
        }
    }
}
