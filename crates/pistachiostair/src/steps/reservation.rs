//! Room that is kept for a step until those that give way have left it.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::{Candidate, FreeCapacity};
use crate::steps::engine::{Context, RunStopReason, StepScheduler};
use crate::steps::host::RunKey;
use crate::steps::job_table::JobEntry;
use crate::steps::place::near_sets;
use crate::steps::preemption::{Preemption, PreemptionLimits, PreemptionSearch};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, Step};

/// Time after which a claim whose room does not become free is given up and made anew.
const GIVE_UP: Millis = Millis(1_000);

/// Workers that are kept for the tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) workers: BTreeMap<u32, WorkerName>,
    pub(crate) demand: Demand,
    pub(crate) since: Millis,
}

impl Reservation {
    /// Takes the room for all tasks if it is free.
    pub(crate) fn take(&self, room: &mut FreeCapacity<'_>) -> bool {
        let mut trial = room.clone();
        let free = self.workers.values().all(|worker| trial.take(worker, &self.demand));
        if free {
            *room = trial;
        }
        free
    }

    /// Keeps the room from others.
    pub(crate) fn reserve(&self, room: &mut FreeCapacity<'_>) {
        room.reserve(self.workers.values(), &self.demand);
    }
}

/// A claim that was decided in the pass in progress.
pub(crate) struct NewReservation {
    pub(crate) group: StepKey,
    pub(crate) claim: Reservation,
    pub(crate) runs: Vec<RunKey>,
    pub(crate) reason: String,
}

impl StepScheduler {
    /// Workers on which a step could start once others have left, at the least loss: near its data or in one rack if
    /// that can be, otherwise anywhere.
    pub(crate) fn find_preemption<'a>(
        &'a self,
        cx: &Context<'_>,
        entry: &JobEntry,
        (group, step): (StepKey, &Step),
        room: &FreeCapacity<'a>,
        mercy: &PreemptionLimits<'_>,
    ) -> Option<Preemption> {
        let count = self.waiting.get(&group)?.indices.len();
        let spots = self.candidates(room, &self.terms(entry).service, group, step);
        let clear = |spots: Vec<Candidate<'a>>| PreemptionSearch::of(self, cx, spots, mercy).clear(&step.demand, count);
        let near = near_sets(step, &spots).into_iter().flatten().filter_map(clear);
        near.min_by_key(|clearance| clearance.lost).or_else(|| clear(spots))
    }

    /// Keeps the room of claims that were decided, and stops what is in their way.
    pub(crate) fn apply_reservations(&mut self, cx: &Context<'_>, claims: Vec<NewReservation>) {
        for new in claims {
            self.log_job("reclaims", new.group.0, new.reason);
            self.reservations.insert(new.group, new.claim);
            for run in new.runs {
                self.stop_run(cx, run, RunStopReason::Reclaimed);
            }
        }
    }

    /// Gives up claims whose room does not become free, or whose workers take no new work any more.
    pub(crate) fn expire_reservations(&mut self, cx: &Context<'_>) {
        let hosts = &self.hosts;
        let usable = |worker: &WorkerName| hosts.get(worker).is_some_and(|host| host.is_usable(cx.now));
        let before = self.reservations.len();
        self.reservations
            .retain(|_, claim| cx.now.since(claim.since) < GIVE_UP && claim.workers.values().all(usable));
        self.replan |= self.reservations.len() < before;
    }
}

/// Runs that give way to the claims of a pass.
pub(crate) fn runs_of_claims(claims: &[NewReservation]) -> BTreeSet<RunKey> {
    claims.iter().flat_map(|new| new.runs.iter().copied()).collect()
}
