//! Workers, racks and failure domains of a region.

use std::collections::BTreeMap;

use crate::ids::WorkerName;
use crate::node::{Node, Rack, Wid};
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
    names: BTreeMap<WorkerName, Wid>,
    vacant: Vec<Wid>,
}

impl Topology {
    /// Index of a worker.
    pub(crate) fn id(&self, name: &WorkerName) -> Option<Wid> {
        self.names.get(name).copied()
    }

    /// Names of workers.
    pub(crate) fn names(&self, workers: &[Wid]) -> Vec<WorkerName> {
        workers.iter().map(|w| self.nodes[*w].info.name.clone()).collect()
    }

    /// Indexes of all known workers, in the order of names.
    pub(crate) fn workers(&self) -> impl Iterator<Item = Wid> + '_ {
        self.names.values().copied()
    }

    /// Number of known workers.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Index of a worker; one that was never seen is entered as dead and without capacity.
    pub(crate) fn ensure(&mut self, name: &WorkerName) -> Wid {
        if let Some(wid) = self.id(name) {
            return wid;
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
        let Some(wid) = self.id(&info.name) else {
            self.insert(info, state);
            return true;
        };
        let old = &self.nodes[wid].info;
        let grown = info.accelerators > old.accelerators || info.slots > old.slots;
        let moved = (&old.domain, &old.rack) != (&info.domain, &info.rack);
        self.count(wid, false);
        let node = &mut self.nodes[wid];
        node.info = info;
        node.state = state;
        node.gone = false;
        if moved {
            self.leave(wid);
            self.join(wid);
        } else {
            self.count(wid, true);
        }
        grown || moved
    }

    /// Drops a worker that is gone and empty.
    pub(crate) fn forget_empty(&mut self, wid: Wid) {
        let node = &self.nodes[wid];
        if !node.gone || node.tasks > 0 || node.claimed_slots > 0 || !node.jobs.is_empty() {
            return;
        }
        let name = node.info.name.clone();
        if self.names.remove(&name).is_some() {
            self.count(wid, false);
            self.leave(wid);
            self.vacant.push(wid);
        }
    }

    /// Changes a worker and keeps the counts.
    pub(crate) fn update(&mut self, wid: Wid, change: impl FnOnce(&mut Node)) {
        self.count(wid, false);
        change(&mut self.nodes[wid]);
        self.count(wid, true);
    }

    /// Changes the reserve of every worker.
    pub(crate) fn set_reserve(&mut self, reserve: u32) {
        for wid in self.workers().collect::<Vec<_>>() {
            self.count(wid, false);
        }
        self.reserve = reserve;
        for wid in self.workers().collect::<Vec<_>>() {
            self.count(wid, true);
        }
    }

    fn insert(&mut self, info: WorkerInfo, state: MemberState) -> Wid {
        let node = Node::new(info, state);
        let name = node.info.name.clone();
        let wid = match self.vacant.pop() {
            Some(wid) => {
                self.nodes[wid] = node;
                wid
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        };
        self.names.insert(name, wid);
        self.join(wid);
        wid
    }

    /// Puts a worker into the rack that it names.
    fn join(&mut self, wid: Wid) {
        let info = &self.nodes[wid].info;
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
        self.nodes[wid].rack = index;
        self.racks[index].members.push(wid);
        self.count(wid, true);
    }

    /// Takes a worker that is not counted out of its rack.
    fn leave(&mut self, wid: Wid) {
        let index = self.nodes[wid].rack;
        self.racks[index].members.retain(|member| *member != wid);
        if self.racks[index].members.is_empty() {
            self.racks.remove(index);
            self.renumber(index);
        }
    }

    fn renumber(&mut self, from: usize) {
        for (index, rack) in self.racks.iter().enumerate().skip(from) {
            for wid in &rack.members {
                self.nodes[*wid].rack = index;
            }
        }
    }

    /// Adds a worker to the counts or takes it out.
    fn count(&mut self, wid: Wid, add: bool) {
        let node = &mut self.nodes[wid];
        self.racks[node.rack].tally(node, self.reserve, add);
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
