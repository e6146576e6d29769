//! Workers, racks and failure domains of a region.

use std::collections::BTreeMap;

use crate::ids::WorkerName;
use crate::rack::{Node, Rack, WorkerIndex};
use crate::resource::{MemberState, WorkerInfo};

/// Workers and racks of a region.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    pub(crate) nodes: Vec<Node>,
    pub(crate) racks: Vec<Rack>,
    /// Slots of each worker that long work leaves free.
    pub(crate) reserve: u32,
    /// Accelerators of live workers.
    pub(crate) total: u32,
    /// Slots of live workers.
    pub(crate) slots: u32,
    /// Workers on which long work fills reserved slots.
    pub(crate) crowded: u32,
    names: BTreeMap<WorkerName, WorkerIndex>,
    free_indexes: Vec<WorkerIndex>,
}

impl Topology {
    /// Index of a worker.
    pub(crate) fn index(&self, name: &WorkerName) -> Option<WorkerIndex> {
        self.names.get(name).copied()
    }

    /// Names of workers.
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

    /// Index of a worker; one that was never seen is entered as dead and without capacity.
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

    /// Enters or changes a worker; true if it brings hardware that was not known.
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

    /// Drops a worker that is gone and empty.
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

    /// Changes a worker and keeps the counts.
    pub(crate) fn update(&mut self, worker: WorkerIndex, change: impl FnOnce(&mut Node)) {
        self.update_counts(worker, false);
        change(&mut self.nodes[worker]);
        self.update_counts(worker, true);
    }

    /// Changes the reserve of every worker.
    pub(crate) fn set_reserve(&mut self, reserve: u32) {
        for worker in self.workers().collect::<Vec<_>>() {
            self.update_counts(worker, false);
        }
        self.reserve = reserve;
        for worker in self.workers().collect::<Vec<_>>() {
            self.update_counts(worker, true);
        }
    }

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

    /// Puts a worker into the rack that it names.
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

    /// Takes a worker that is not counted out of its rack.
    fn remove_from_rack(&mut self, worker: WorkerIndex) {
        let index = self.nodes[worker].rack;
        self.racks[index].members.retain(|member| *member != worker);
        if self.racks[index].members.is_empty() {
            self.racks.remove(index);
            self.renumber(index);
        }
    }

    fn renumber(&mut self, from: usize) {
        for (index, rack) in self.racks.iter().enumerate().skip(from) {
            for worker in &rack.members {
                self.nodes[*worker].rack = index;
            }
        }
    }

    /// Adds a worker to the counts or takes it out.
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
