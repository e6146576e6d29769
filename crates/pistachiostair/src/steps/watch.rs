//! What time brings: leases to renew, orders to repeat, leases that have ended, occurrences that are due.

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::engine::{
    Context, HoldOrder, RENEWAL_GRACE, RunPhase, RunStopReason, StepScheduler, StepsAction, Target, TaskRun, step_of,
};
use crate::steps::fate::Fate;
use crate::steps::host::RunKey;
use crate::steps::record::StepRecord;
use crate::steps::spec::JobKey;

/// Longest wait of a hold for an end, the most that workers allow.
const MAX_HOLD_WAIT: Millis = Millis(2_000);

/// Shortest wait: each look at a worker has its price.
const MIN_HOLD_WAIT: Millis = Millis(400);

/// Reports of a run's progress during the time that it is estimated to take.
const REPORTS: u64 = 4;

/// Pause between holds of a worker whose ends can't be stored: a fraction of the lease that they renew.
const RENEW: Millis = Millis(1_000);

/// Shortest pause between two holds of a worker.
const HOLD_GAP: Millis = Millis(20);

/// Time after which an order to stop is repeated: workers stop a task within 200 ms.
const STOP_AGAIN: Millis = Millis(400);

/// How long a worker without runs keeps its last ends unacknowledged, so that a new start may carry the same look.
const ACK_DELAY: Millis = Millis(300);

/// Time before the end of a worker that drains at which its runs are stopped, so that their ends and checkpoints are
/// listed before it is gone: a stop of 200 ms, two round trips, and the age of the list.
const LEAVE_MARGIN: Millis = Millis(900);

/// Ended jobs that are forgotten at once.
const FORGET_LIMIT: usize = 100;

impl StepScheduler {
    /// Does what has become due.
    pub(crate) fn tick(&mut self, cx: &Context<'_>) {
        self.release_due(cx);
        self.expire_reservations(cx);
        self.update_relative_durations(cx);
        let workers: Vec<WorkerName> = self.hosts.keys().cloned().collect();
        for worker in workers {
            self.watch_host(cx, &worker);
        }
        self.repeat_stops(cx);
        // Placement also depends on time: patience for racks, ejections.
        self.replan |= !self.waiting.is_empty();
    }

    fn release_due(&mut self, cx: &Context<'_>) {
        while let Some((at, job)) = self.due.first().copied()
            && at <= cx.wall
        {
            self.due.pop_first();
            self.refresh_job(cx, job);
        }
    }

    fn watch_host(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        if cx.now > host.expiry && !host.runs.is_empty() {
            self.lapse(cx, worker);
        }
        let Some(host) = self.hosts.get(worker) else { return };
        if host.leaves.is_some_and(|leaves| cx.now + LEAVE_MARGIN >= leaves) {
            let runs: Vec<RunKey> = host.runs.iter().copied().collect();
            for run in runs {
                self.halt(cx, run, RunStopReason::WorkerLeaves);
            }
        }
        self.hold(cx, worker);
    }

    /// Every lease on the worker has ended, and an order that still arrives there is refused as late.
    fn lapse(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        let runs: Vec<RunKey> = host.runs.iter().copied().collect();
        for run in runs {
            let ordered = self.runs.get(&run).is_some_and(|run| run.phase != RunPhase::Planned);
            if ordered {
                self.end(cx, run, Fate::Lost, "");
            }
        }
    }

    /// Sends the holds that became due through the event in progress.
    pub(crate) fn renew_touched(&mut self, cx: &Context<'_>) {
        while let Some(worker) = self.touched.pop_first() {
            if let Some(host) = self.hosts.get_mut(&worker).filter(|host| host.runs.is_empty()) {
                host.hold_after = host.hold_after.max(cx.now + ACK_DELAY);
            }
            self.hold(cx, &worker);
        }
    }

    /// Renews the lease of a worker and reads its lists, if something there is of interest. A worker that lists ends
    /// answers at once, so that these are stored first.
    pub(crate) fn hold(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        let busy = !host.runs.is_empty();
        let wanted = busy || host.owes_ack() || (!host.claimed && host.listed);
        let pause = if host.owes_end() { RENEW } else { HOLD_GAP };
        let paced = cx.now < host.held + pause;
        if !wanted || paced || host.holding || host.looking || cx.now < host.hold_after {
            return;
        }
        let estimates = host.runs.iter().filter_map(|(task, _)| step_of(cx.book, task));
        let shortest = estimates.map(|step| step.estimate.0 / REPORTS).min().unwrap_or(0);
        let wait = match busy && host.claimed {
            true => Millis(shortest).clamp(MIN_HOLD_WAIT, MAX_HOLD_WAIT),
            false => Millis::ZERO,
        };
        self.send_hold(cx, worker, wait);
    }

    /// Reads a worker's lists at once, also while a hold waits for an end there.
    pub(crate) fn look(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        if self
            .hosts
            .get(worker)
            .is_some_and(|host| !host.looking && cx.now >= host.hold_after)
        {
            self.send_hold(cx, worker, Millis::ZERO);
        }
    }

    fn send_hold(&mut self, cx: &Context<'_>, worker: &WorkerName, wait: Millis) {
        // Once another scheduler may have been at work for long, its word counts on the leases.
        let orphaned = !cx.lease_held && cx.now.since(cx.last_held) >= RENEWAL_GRACE;
        let term = self.term;
        let Some(host) = self.hosts.get_mut(worker) else { return };
        let Some(info) = &host.info else { return };
        let target = Target {
            worker: worker.clone(),
            incarnation: host.incarnation,
            address: info.address.clone(),
        };
        // A call to a worker that does not answer could renew its lease without anyone knowing.
        let leased = !host.runs.is_empty() && host.claimed && !orphaned && host.failures == 0;
        let deadline = if leased { host.lease(cx.now) } else { None };
        match wait {
            Millis::ZERO => host.looking = true,
            _ => host.holding = true,
        }
        host.held = cx.now;
        let order = HoldOrder {
            term,
            ack: host.cursor(),
            deadline,
            wait,
        };
        self.actions.push(StepsAction::Hold { target, order });
    }

    fn repeat_stops(&mut self, cx: &Context<'_>) {
        let hosts = &self.hosts;
        let due = |run: &TaskRun| {
            let answers = hosts.get(&run.worker).is_some_and(|host| host.failures == 0);
            let ordered = answers && matches!(run.phase, RunPhase::Live | RunPhase::Ordered);
            ordered
                && run
                    .stop
                    .is_some_and(|halt| halt.sent_at.is_none_or(|sent| cx.now.since(sent) >= STOP_AGAIN))
        };
        let runs: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(key, _)| *key)
            .collect();
        for run in runs {
            self.order_stop(cx, run);
        }
    }

    /// Forgets ended jobs past their retention.
    pub(crate) fn retire(&mut self, cx: &Context<'_>, span: Millis, keep: usize) {
        if !cx.lease_held || !self.forgetting.is_empty() {
            return;
        }
        let jobs: Vec<JobKey> = cx.book.outdated(cx.wall.since(span), keep, FORGET_LIMIT);
        let jobs: Vec<JobKey> = jobs
            .into_iter()
            .filter(|job| self.runs_of(*job).next().is_none())
            .collect();
        if !jobs.is_empty() {
            self.forgetting.extend(&jobs);
            self.records.push(StepRecord::Forgotten { jobs });
        }
    }
}
