//! Room for large gangs: moving checkpointable work away, and reservations.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::{ClassKey, StopEffect};
use crate::guarantee::AccountIndex;
use crate::ids::JobId;
use crate::planner::{PlacedJob, Planner};
use crate::rack::{WorkKind, WorkerIndex};
use crate::resource::Shape;
use crate::search::{SearchRequest, SearchResult, lost_work};
use crate::topology::Topology;

/// Accelerators from which a shape counts as large. Smaller ones find room by themselves whenever
/// a few short jobs end.
const LARGE_ACCELERATORS: u32 = 4;
/// Fraction of `Scheduling.patience` after which work is moved for a gang.
const COMPACT_DIVISOR: u64 = 4;
/// The most jobs that are moved for one gang.
const MAX_MOVES: usize = 16;
/// Reservations of an account at the same time.
const MAX_RESERVATIONS: usize = 1;
/// Grace for work that is moved.
const MOVE_GRACE: Millis = Millis(2_000);

impl Planner {
    /// Makes or keeps room for a large job that waits.
    pub(crate) fn reserve_for(&mut self, now: Millis, account: AccountIndex, key: &ClassKey, job: JobId) {
        let shape = key.shape;
        let waited = now.since(self.waiting[&job].since);
        let large =
            shape.total() >= LARGE_ACCELERATORS || (shape.workers > 1 && shape.accelerators > 0) || key.level > 0;
        let patience = self.scheduling.patience;
        if !large
            || self.search_tokens == 0
            || waited.0 < patience.0 / COMPACT_DIVISOR
            || !self.may_search(now, account, key, true)
        {
            return;
        }
        self.search_tokens -= 1;
        let request = SearchRequest {
            account,
            shape,
            kind: self.kind(account, key),
            waits: false,
        };
        if self.long_admitted(account, shape, request.kind) && self.compact(now, &request, job) {
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
        let room = self.topology.total.saturating_sub(self.max_headroom());
        let crowded = taken > 0 && taken + shape.total() > room;
        if waited < patience || own >= MAX_RESERVATIONS || crowded {
            return;
        }
        let request = SearchRequest { waits: true, ..request };
        if let Some(found) = self.first_to_free(now, &request) {
            self.add_hold(now, job, found.workers, "reserved after a long wait", false);
        }
    }

    /// The workers that are likely to become free first. The longer a job has run, the longer it is
    /// likely to run on; declared run times are of no use here. Work that gives way is no obstacle.
    fn first_to_free(&self, now: Millis, request: &SearchRequest) -> Option<SearchResult> {
        let fair = self.fair_shares();
        self.search(
            request,
            |_| true,
            |_, placed| {
                Some(match self.may_be_stopped(placed, request.account, &fair) {
                    true => lost_work(placed, now).unwrap_or(0),
                    false => placed.run_time(now).0 + 1,
                })
            },
        )
    }

    /// Whether running work gives way to a gang with a reservation: short work that can be stopped,
    /// since it may use what is reserved, and work that resumes where it was if it belongs to the
    /// gang's account or to one above its share.
    fn may_be_stopped(&self, placed: &PlacedJob, account: AccountIndex, fair: &[u64]) -> bool {
        let greedy = || self.above_share(placed, fair[placed.account]);
        match placed.key.stop {
            StopEffect::Checkpoint => !placed.long || placed.account == account || greedy(),
            StopEffect::Restart => !placed.long,
            StopEffect::Pinned => false,
        }
    }

    /// Stops what is left on the workers of a reservation once all of it gives way. Earlier, the
    /// workers would only wait for the rest.
    pub(crate) fn reclaim_reserved(&mut self, now: Millis, job: JobId) -> bool {
        let (Some(hold), Some(waiting)) = (self.holds.get(&job), self.waiting.get(&job)) else {
            return false;
        };
        let (account, shape, workers) = (waiting.account, waiting.spec.shape, hold.workers.clone());
        let fair = self.fair_shares();
        let mut victims = BTreeSet::new();
        for worker in &workers {
            let node = &self.topology.nodes[*worker];
            if node.idle() >= shape.accelerators && node.idle_slots() > 0 {
                continue;
            }
            for victim in &node.jobs {
                let placed = &self.placed[victim];
                if !placed.active_parts().any(|(_, on)| on == *worker)
                    || placed.spec.shape.accelerators == 0 && node.idle_slots() > 0
                {
                    continue;
                }
                if placed.stopping
                    || placed.spec.shape.total() > shape.total()
                    || !self.may_be_stopped(placed, account, &fair)
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
        let kind = WorkKind {
            long: hold.long,
            pinned: false,
        };
        if victims.is_empty() || kind.long && !self.headroom.admits(more, self.topology.total, self.max_headroom()) {
            return false;
        }
        self.requeue_held(job);
        let found = SearchResult {
            workers,
            victims,
            cost: 0,
        };
        self.reclaim_workers(now, job, found, MOVE_GRACE, "reserved, the rest gives way");
        true
    }

    /// Chooses the place of a reservation anew, for what is in its way may be a straggler. What is
    /// kept goes over to the new place at once: in between, other work would fill the workers that
    /// have become free.
    pub(crate) fn move_reservation(&mut self, now: Millis, job: JobId) {
        self.requeue_held(job);
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let (account, key, shape) = (waiting.account, waiting.key, waiting.spec.shape);
        let kind = self.kind(account, &key);
        let request = SearchRequest {
            account,
            shape,
            kind,
            waits: true,
        };
        if let Some(found) = self.first_to_free(now, &request) {
            self.add_hold(now, job, found.workers, "reserved after a long wait", false);
        }
    }

    /// Moves checkpointable work if the gang fits then and all of the work fits elsewhere.
    fn compact(&mut self, now: Millis, request: &SearchRequest, job: JobId) -> bool {
        let movable = |_: WorkerIndex, placed: &PlacedJob| match placed.key.stop {
            StopEffect::Checkpoint => lost_work(placed, now),
            StopEffect::Restart | StopEffect::Pinned => None,
        };
        let Some(found) = self.search(request, |_| true, movable) else {
            return false;
        };
        if found.victims.is_empty() || found.victims.len() > MAX_MOVES || !self.relocatable(&found, request.shape) {
            return false;
        }
        self.reclaim_workers(now, job, found, MOVE_GRACE, "moved to make room for a gang");
        true
    }

    /// Whether all jobs to be stopped fit elsewhere while the gang has its workers. They must be
    /// smaller than the gang, or moving them would not be a gain.
    fn relocatable(&mut self, found: &SearchResult, gang: Shape) -> bool {
        let shapes: Vec<(Shape, WorkKind)> = found
            .victims
            .iter()
            .map(|victim| &self.placed[victim])
            .map(|placed| {
                let kind = WorkKind {
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
        adjust_claims(&mut self.topology, &taken[0], true);
        let mut fits = true;
        for (shape, kind) in shapes {
            let Some(workers) = self.topology.find(shape, kind) else {
                fits = false;
                break;
            };
            taken.push((workers, shape.accelerators));
            adjust_claims(&mut self.topology, &taken[taken.len() - 1], true);
        }
        for entry in &taken {
            adjust_claims(&mut self.topology, entry, false);
        }
        fits
    }
}

fn adjust_claims(topology: &mut Topology, (workers, accelerators): &(Vec<WorkerIndex>, u32), add: bool) {
    for worker in workers {
        topology.update(*worker, |node| {
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
