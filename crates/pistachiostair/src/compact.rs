//! Room for large gangs: moving checkpointable work away, and reservations.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::{ClassKey, Stop};
use crate::guarantee::Aid;
use crate::ids::JobId;
use crate::node::{Kind, Wid};
use crate::planner::{Placed, Planner};
use crate::resource::Shape;
use crate::search::{Found, Seeker, loss};
use crate::topology::Topology;

/// Accelerators from which a shape counts as large. Smaller ones find room by themselves whenever
/// a few short jobs end.
const LARGE: u32 = 4;
/// Fraction of `Scheduling.patience` after which work is moved for a gang.
const COMPACT_AFTER: u64 = 4;
/// The most jobs that are moved for one gang.
const MOVES: usize = 16;
/// Reservations of an account at the same time.
const RESERVATIONS: usize = 1;
/// Grace for work that is moved.
const GRACE: Millis = Millis(2_000);

impl Planner {
    /// Makes or keeps room for a large job that waits.
    pub(crate) fn reserve_for(&mut self, now: Millis, account: Aid, key: &ClassKey, job: JobId) {
        let shape = key.shape;
        let waited = now.since(self.waiting[&job].since);
        let large = shape.total() >= LARGE || (shape.workers > 1 && shape.accelerators > 0) || key.level > 0;
        let patience = self.scheduling.patience;
        if !large
            || self.searches == 0
            || waited.0 < patience.0 / COMPACT_AFTER
            || !self.may_search(now, account, key, true)
        {
            return;
        }
        self.searches -= 1;
        let seeker = Seeker {
            account,
            shape,
            kind: self.kind(account, key),
            waits: false,
        };
        if self.long_admitted(account, shape, seeker.kind) && self.compact(now, &seeker, job) {
            return;
        }
        let reserved = self.holds.iter().filter(|(_, hold)| !hold.reclaim);
        let holders: Vec<&JobId> = reserved.map(|(holder, _)| holder).collect();
        let own = holders
            .iter()
            .filter(|holder| self.waiting[holder].account == account)
            .count();
        let taken: u32 = holders
            .iter()
            .map(|holder| self.waiting[holder].spec.shape.total())
            .sum();
        let room = self.topology.total.saturating_sub(self.most_headroom());
        let crowded = taken > 0 && taken + shape.total() > room;
        if waited < patience || own >= RESERVATIONS || crowded {
            return;
        }
        let seeker = Seeker { waits: true, ..seeker };
        if let Some(found) = self.least_remaining(now, &seeker) {
            self.hold(now, job, found.workers, "reserved after a long wait", false);
        }
    }

    /// The workers that are likely to become free first. The longer a job has run, the longer it is
    /// likely to run on; declared run times are of no use here. Work that gives way is no obstacle.
    fn least_remaining(&self, now: Millis, seeker: &Seeker) -> Option<Found> {
        let fair = self.fair_shares();
        self.search(
            seeker,
            |_| true,
            |_, placed| {
                Some(match self.yields(placed, seeker.account, &fair) {
                    true => loss(placed, now).unwrap_or(0),
                    false => placed.run(now).0 + 1,
                })
            },
        )
    }

    /// Whether running work gives way to a gang with a reservation: short work that can be stopped,
    /// since it may use what is reserved, and work that resumes where it was if it belongs to the
    /// gang's account or to one above its share.
    fn yields(&self, placed: &Placed, account: Aid, fair: &[u64]) -> bool {
        let greedy = || self.above_share(placed, fair[placed.account]);
        match placed.key.stop {
            Stop::Checkpoint => !placed.long || placed.account == account || greedy(),
            Stop::Restart => !placed.long,
            Stop::Pinned => false,
        }
    }

    /// Stops what is left on the workers of a reservation once all of it gives way. Earlier, the
    /// workers would only wait for the rest.
    pub(crate) fn clear_reservation(&mut self, now: Millis, job: JobId) -> bool {
        let (Some(hold), Some(waiting)) = (self.holds.get(&job), self.waiting.get(&job)) else {
            return false;
        };
        let (account, shape, workers) = (waiting.account, waiting.spec.shape, hold.workers.clone());
        let fair = self.fair_shares();
        let mut victims = BTreeSet::new();
        for wid in &workers {
            let node = &self.topology.nodes[*wid];
            if node.idle() >= shape.accelerators && node.idle_slots() > 0 {
                continue;
            }
            for victim in &node.jobs {
                let placed = &self.placed[victim];
                if !placed.parts().any(|(_, on)| on == *wid)
                    || placed.spec.shape.accelerators == 0 && node.idle_slots() > 0
                {
                    continue;
                }
                if placed.stopping || placed.spec.shape.total() > shape.total() || !self.yields(placed, account, &fair)
                {
                    return false;
                }
                victims.insert(*victim);
            }
        }
        let freed: u32 = victims
            .iter()
            .map(|victim| &self.placed[victim])
            .map(|p| p.spec.shape.total())
            .sum();
        let more = shape.total().saturating_sub(freed);
        let kind = Kind {
            long: hold.long,
            pinned: false,
        };
        if victims.is_empty() || kind.long && !self.headroom.admits(more, self.topology.total, self.most_headroom()) {
            return false;
        }
        self.drop_hold(job);
        let found = Found {
            workers,
            victims,
            cost: 0,
        };
        self.stop_for(now, job, found, GRACE, "reserved, the rest gives way");
        true
    }

    /// Chooses the place of a reservation anew, for what is in its way may be a straggler. What is
    /// kept goes over to the new place at once: in between, other work would fill the workers that
    /// have become free.
    pub(crate) fn move_reservation(&mut self, now: Millis, job: JobId) {
        self.drop_hold(job);
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let (account, key, shape) = (waiting.account, waiting.key, waiting.spec.shape);
        let kind = self.kind(account, &key);
        let seeker = Seeker {
            account,
            shape,
            kind,
            waits: true,
        };
        if let Some(found) = self.least_remaining(now, &seeker) {
            self.hold(now, job, found.workers, "reserved after a long wait", false);
        }
    }

    /// Moves checkpointable work if the gang fits then and all of the work fits elsewhere.
    fn compact(&mut self, now: Millis, seeker: &Seeker, job: JobId) -> bool {
        let movable = |_: Wid, placed: &Placed| match placed.key.stop {
            Stop::Checkpoint => loss(placed, now),
            Stop::Restart | Stop::Pinned => None,
        };
        let Some(found) = self.search(seeker, |_| true, movable) else {
            return false;
        };
        if found.victims.is_empty() || found.victims.len() > MOVES || !self.relocatable(&found, seeker.shape) {
            return false;
        }
        self.stop_for(now, job, found, GRACE, "moved to make room for a gang");
        true
    }

    /// Whether all jobs to be stopped fit elsewhere while the gang has its workers. They must be
    /// smaller than the gang, or moving them would not be a gain.
    fn relocatable(&mut self, found: &Found, gang: Shape) -> bool {
        let shapes: Vec<(Shape, Kind)> = found
            .victims
            .iter()
            .map(|victim| &self.placed[victim])
            .map(|placed| {
                let kind = Kind {
                    long: placed.long,
                    pinned: false,
                };
                (placed.spec.shape, kind)
            })
            .collect();
        if shapes.iter().any(|(shape, _)| shape.total() >= gang.total()) {
            return false;
        }
        let mut taken = vec![(found.workers.clone(), gang.accelerators)];
        take(&mut self.topology, &taken[0], true);
        let mut fits = true;
        for (shape, kind) in shapes {
            let Some(workers) = self.topology.find(shape, kind) else {
                fits = false;
                break;
            };
            taken.push((workers, shape.accelerators));
            take(&mut self.topology, &taken[taken.len() - 1], true);
        }
        for entry in &taken {
            take(&mut self.topology, entry, false);
        }
        fits
    }
}

fn take(topology: &mut Topology, (workers, accelerators): &(Vec<Wid>, u32), add: bool) {
    for wid in workers {
        topology.update(*wid, |node| {
            if add {
                node.claimed += accelerators;
                node.claimed_slots += 1;
            } else {
                node.claimed -= accelerators;
                node.claimed_slots -= 1;
            }
        });
    }
}
