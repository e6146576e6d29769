//! Capacity reserved for a waiting step until the runs that it preempts have ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::FreeCapacity;
use crate::steps::engine::{Context, RunStopReason, StepScheduler, step_of};
use crate::steps::host::RunKey;
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, TaskKey};
use crate::steps::victim::counted_task;

/// Capacity reserved for all waiting tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Worker of each task, by the task's index.
    pub(crate) workers: BTreeMap<u32, WorkerName>,
    /// Demand of each task.
    pub(crate) demand: Demand,
    /// When the reservation was made.
    pub(crate) since: Millis,
}

impl Reservation {
    /// Takes the capacity for all tasks if all of it is free; otherwise takes nothing and returns false.
    pub(crate) fn take(&self, free: &mut FreeCapacity<'_>) -> bool {
        free.take_all(self.workers.values(), &self.demand)
    }

    /// Withholds the capacity from other steps, whether it is free or still in use.
    pub(crate) fn reserve(&self, free: &mut FreeCapacity<'_>) {
        free.reserve_named(self.workers.values(), &self.demand);
    }
}

/// A reservation made in the current planning pass.
pub(crate) struct NewReservation {
    pub(crate) step: StepKey,
    pub(crate) reservation: Reservation,
    /// Runs to preempt.
    pub(crate) runs: Vec<RunKey>,
    /// Why they are preempted, for the log.
    pub(crate) reason: String,
}

impl StepScheduler {
    /// Adds the reservations of a planning pass and stops the runs that they preempt.
    pub(crate) fn apply_reservations(&mut self, cx: &Context<'_>, reservations: Vec<NewReservation>) {
        for new in reservations {
            self.log_job("reclaims", new.step.0, new.reason);
            self.reservations.insert(new.step, new.reservation);
            let gang = |task: &TaskKey| step_of(cx.book, task).is_some_and(|step| step.gang);
            let counted = new.runs.iter().map(|(task, _)| counted_task(task, gang(task)));
            for task in counted.collect::<BTreeSet<TaskKey>>() {
                self.preempted.note(cx.now, task);
            }
            for run in new.runs {
                self.stop_run(cx, run, RunStopReason::Reclaimed);
            }
        }
    }

    /// Drops reservations whose capacity has not become free in time, or of which a worker takes no new tasks any more;
    /// the next planning pass may make new ones.
    pub(crate) fn expire_reservations(&mut self, cx: &Context<'_>) {
        self.preempted.sweep(cx.now);
        let usable = |worker: &WorkerName| self.hosts.get(worker).is_some_and(|host| self.may_start(cx, host));
        let max_age = cx.limits.reservation_age();
        let expired = self.reservations.iter().filter(|(_, reservation)| {
            cx.now.since(reservation.since) >= max_age || !reservation.workers.values().all(usable)
        });
        let expired: Vec<StepKey> = expired.map(|(step, _)| *step).collect();
        self.replan |= !expired.is_empty();
        for step in expired {
            self.reservations.remove(&step);
        }
    }
}

/// Runs that the new reservations of a pass preempt.
pub(crate) fn preempted_runs(reservations: &[NewReservation]) -> BTreeSet<RunKey> {
    reservations.iter().flat_map(|new| new.runs.iter().copied()).collect()
}
