//! Room for large gangs: compaction (moving checkpointable work to other workers) and reservations.
//!
//! Called in the last step of `Planner::plan` for a waiting job for which nothing could be reclaimed. Compaction is
//! tried first; a job that has waited longer gets a reservation on the workers that are likely to be free first.

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

/// Number of accelerators from which a shape counts as large. Smaller ones fit as soon as a few short jobs end.
const LARGE_ACCELERATORS: u32 = 4;
/// Compaction for a gang starts when it has waited for `Scheduling.patience` divided by this.
const COMPACT_DIVISOR: u64 = 4;
/// Largest number of jobs that are moved for one gang.
const MAX_MOVES: usize = 16;
/// Largest number of reservations of an account at the same time.
const MAX_RESERVATIONS: usize = 1;
/// Time for a checkpoint before work is stopped for a gang.
const MOVE_GRACE: Millis = Millis(2_000);

impl Planner {
    /// Moves work for a large waiting job or, once it has waited for `Scheduling.patience`, reserves workers for it.
    ///
    /// All reservations together leave free the headroom for short work, unless there is only one.
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
        let reservable = self.topology.total.saturating_sub(self.max_headroom());
        let no_headroom = taken > 0 && taken + shape.total() > reservable;
        if waited < patience || own >= MAX_RESERVATIONS || no_headroom {
            return;
        }
        let request = SearchRequest { waits: true, ..request };
        if let Some(found) = self.first_to_free(now, &request) {
            self.add_hold(now, job, found.workers, "reserved after a long wait", false);
        }
    }

    /// The workers that are likely to become free first. Jobs that have run for long are likely to run on for long, and
    /// declared run times say little. Work that can be stopped for the gang costs only what its stop loses.
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

    /// Whether running work may be stopped for a gang with a reservation: short work that can be stopped, since it may
    /// use what is reserved, and long checkpointable work of the gang's account or of accounts above their share.
    fn may_be_stopped(&self, placed: &PlacedJob, account: AccountIndex, fair: &[u64]) -> bool {
        let above_share = || self.above_share(placed, fair[placed.account]);
        match placed.key.stop {
            StopEffect::Checkpoint => !placed.long || placed.account == account || above_share(),
            StopEffect::Restart => !placed.long,
            StopEffect::Pinned => false,
        }
    }

    /// Stops the work on the workers of a reservation once all of it may be stopped; returns whether it did.
    /// An earlier stop would gain nothing, since the stopped capacity would stay idle until the other work has ended.
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
        self.reclaim_workers(
            now,
            job,
            found,
            MOVE_GRACE,
            "reserved; the work left there can be stopped",
        );
        true
    }

    /// Moves a reservation to the workers that are now likely to be free first, since the work that it waits for may be
    /// a straggler. The old hold is released and the new one added in one step; in between, other work would fill the
    /// workers that have become free.
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

    /// Stops checkpointable work if the gang then fits and all of that work fits elsewhere; returns whether it did.
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

    /// Whether all jobs to stop fit on other workers while the gang has its own. Each must be smaller than the gang, or
    /// moving it would gain nothing.
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

/// Adds claims of a placement (workers, accelerators of each part) to the topology, or removes them.
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
