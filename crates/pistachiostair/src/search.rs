//! Search for workers on which a waiting job would fit once running jobs are stopped or have ended, at the least cost.
//!
//! `reclaim` and `compact` call it with a cost for each running job; jobs without a cost stay where they are.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::StopEffect;
use crate::guarantee::AccountIndex;
use crate::ids::JobId;
use crate::planner::{PlacedJob, Planner};
use crate::rack::{Node, Rack, WorkKind, WorkerIndex};
use crate::resource::Shape;

/// Cost of stopping and starting a job again, as lost work of each of its accelerators.
const RESUME_COST_MILLIS: u64 = 1_000;
/// A worker for one part: the cost of making room there, the worker, and the jobs to remove with the cost of each.
type Candidate = (u64, WorkerIndex, Vec<(u64, JobId)>);

/// Workers for all parts of a request, and the jobs that have to be removed from them.
pub(crate) struct SearchResult {
    pub(crate) workers: Vec<WorkerIndex>,
    pub(crate) victims: BTreeSet<JobId>,
    /// Sum of the costs of `victims`.
    pub(crate) cost: u64,
}

/// What a waiting job needs from a search.
#[derive(Clone, Copy)]
pub(crate) struct SearchRequest {
    pub(crate) account: AccountIndex,
    pub(crate) shape: Shape,
    pub(crate) kind: WorkKind,
    /// True for a reservation: the work in its way may end by itself, so pinned work of other accounts is no obstacle,
    /// only their guarantees are.
    pub(crate) waits: bool,
}

impl Planner {
    /// Finds the cheapest adjacent workers for a request, among those that `within` admits.
    ///
    /// `cost` is the cost of removing a running job from a worker; `None` for a job that must stay. `None` is returned
    /// if the request does not fit even without all jobs that have a cost.
    pub(crate) fn search(
        &self,
        request: &SearchRequest,
        within: impl Fn(WorkerIndex) -> bool,
        cost: impl Fn(WorkerIndex, &PlacedJob) -> Option<u64>,
    ) -> Option<SearchResult> {
        let candidates = |rack: &Rack| {
            let members = rack.members.iter().copied().filter(|worker| within(*worker));
            let mut candidates: Vec<Candidate> = members
                .filter_map(|worker| self.candidate(worker, request, &cost))
                .collect();
            candidates.sort_unstable();
            candidates
        };
        let shape = request.shape;
        let width = |rack: &&Rack| rack.capacity(shape.accelerators) >= shape.workers;
        if shape.accelerators > 0 && !self.topology.spans_racks(shape) {
            let racks = self.topology.racks.iter().filter(width);
            return racks
                .filter_map(|rack| self.combine(candidates(rack), shape.workers as usize))
                .min_by_key(|found| (found.cost, found.workers.clone()));
        }
        if shape.accelerators == 0 {
            let all = self.topology.racks.iter().flat_map(candidates);
            let mut all: Vec<Candidate> = all.collect();
            all.sort_unstable();
            return self.combine(all, shape.workers as usize);
        }
        let counts: Vec<Vec<Candidate>> = self.topology.racks.iter().map(candidates).collect();
        let widths: Vec<u32> = counts.iter().map(|candidates| candidates.len() as u32).collect();
        let window = self.topology.rack_window(shape.workers, &widths)?;
        let mut chosen = Vec::new();
        let mut left = shape.workers as usize;
        for position in window.clone() {
            let take = counts[position].len().min(left - (window.end - 1 - position));
            chosen.extend(counts[position][..take].iter().cloned());
            left -= take;
        }
        self.combine(chosen, shape.workers as usize)
    }

    /// Joins the first `count` candidates into a result; `None` if there are fewer.
    fn combine(&self, mut candidates: Vec<Candidate>, count: usize) -> Option<SearchResult> {
        if candidates.len() < count {
            return None;
        }
        candidates.truncate(count);
        let workers = candidates.iter().map(|(_, worker, _)| *worker).collect();
        // A gang that runs on several of the workers is counted once.
        let stopped: BTreeSet<(u64, JobId)> = candidates.into_iter().flat_map(|(_, _, stopped)| stopped).collect();
        let cost = stopped.iter().map(|(cost, _)| cost).sum();
        let victims = stopped.into_iter().map(|(_, victim)| victim).collect();
        Some(SearchResult { workers, victims, cost })
    }

    /// Chooses jobs to remove from a worker so that one part fits there, the cheapest first; `None` if it can't fit.
    fn candidate(
        &self,
        worker: WorkerIndex,
        request: &SearchRequest,
        cost: &impl Fn(WorkerIndex, &PlacedJob) -> Option<u64>,
    ) -> Option<Candidate> {
        let node = &self.topology.nodes[worker];
        let SearchRequest {
            account,
            shape,
            kind,
            waits,
        } = *request;
        if !node.usable() || shape.accelerators > node.info.accelerators {
            return None;
        }
        let allowed = match waits {
            true => self.guarantees.left_by_others(&self.topology, worker, account),
            false => self.guarantees.pinnable(&self.topology, worker, account),
        };
        if kind.pinned && allowed < shape.accelerators as i32 {
            return None;
        }
        let mut missing = shape.accelerators as i64 - future_free(node);
        let mut slots = 1 - future_free_slots(node);
        let mut long = if kind.long {
            i64::from(node.long) + 1 - i64::from(node.long_limit(self.topology.reserve))
        } else {
            0
        };
        if missing <= 0 && slots <= 0 && long <= 0 {
            return Some((0, worker, Vec::new()));
        }
        let mut victims: Vec<(u64, JobId, i64, bool)> = Vec::new();
        for job in &node.jobs {
            let victim = &self.placed[job];
            if victim.stopping || !victim.active_parts().any(|(_, on)| on == worker) {
                continue;
            }
            if let Some(price) = cost(worker, victim) {
                victims.push((price, *job, victim.spec.shape.accelerators.into(), victim.long));
            }
        }
        victims.sort_unstable();
        let mut chosen: Vec<(u64, JobId, i64, bool)> = Vec::new();
        for victim in victims {
            if missing <= 0 && slots <= 0 && long <= 0 {
                break;
            }
            if slots <= 0 && long <= 0 && victim.2 == 0 {
                continue;
            }
            missing -= victim.2;
            slots -= 1;
            long -= i64::from(victim.3);
            chosen.push(victim);
        }
        if missing > 0 || slots > 0 || long > 0 {
            return None;
        }
        // The last chosen job may have made earlier ones unnecessary.
        for index in (0..chosen.len()).rev() {
            let (_, _, accelerators, is_long) = chosen[index];
            if missing + accelerators <= 0 && slots < 0 && long + i64::from(is_long) <= 0 {
                missing += accelerators;
                slots += 1;
                long += i64::from(is_long);
                chosen.remove(index);
            }
        }
        let total = chosen.iter().map(|(price, ..)| price).sum();
        Some((
            total,
            worker,
            chosen.into_iter().map(|(price, job, ..)| (price, job)).collect(),
        ))
    }
}

/// Accelerators of a worker that are left once work that is being stopped has ended and held capacity is used; negative
/// if more is held than will be free.
fn future_free(node: &Node) -> i64 {
    i64::from(node.info.accelerators) + i64::from(node.stopping) - i64::from(node.used) - i64::from(node.claimed)
}

/// Like [`future_free`], in slots.
fn future_free_slots(node: &Node) -> i64 {
    i64::from(node.info.slots) + i64::from(node.stopping_slots) - i64::from(node.tasks) - i64::from(node.claimed_slots)
}

/// Work lost by stopping a job, in milliseconds times accelerators (or times tasks, if it has more of them); `None` if
/// it can't be stopped.
pub(crate) fn lost_work(placed: &PlacedJob, now: Millis) -> Option<u64> {
    let width = u64::from(placed.spec.shape.total().max(placed.spec.shape.workers));
    match placed.key.stop {
        StopEffect::Checkpoint => Some(RESUME_COST_MILLIS * width),
        StopEffect::Restart => Some((RESUME_COST_MILLIS + placed.run_time(now).0) * width),
        StopEffect::Pinned => None,
    }
}
