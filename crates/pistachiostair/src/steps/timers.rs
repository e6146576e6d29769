//! Work that becomes due with time, done on each tick: hold orders that renew leases and read the workers' lists,
//! repeated stop orders, runs whose lease has ended, occurrences that are due, and ended jobs past their retention.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::engine::{Context, HoldOrder, RunPhase, StepScheduler, StepsAction, Target, TaskRun, step_of};
use crate::steps::host::{Host, RunKey};
use crate::steps::outcome::RunOutcome;
use crate::steps::record::StepRecord;
use crate::steps::spec::JobKey;

/// Longest time that a hold order lets a worker wait for an end before it replies: the most that workers allow.
const MAX_HOLD_WAIT: Millis = Millis(2_000);

/// Shortest such time, which bounds the number of hold orders to a worker with short tasks.
const MIN_HOLD_WAIT: Millis = Millis(400);

/// Least number of progress reports of a run during its estimated duration.
const PROGRESS_REPORTS: u64 = 4;

/// Time for which the last ends of a worker without runs stay unacknowledged, so that the hold order of a new run there
/// may acknowledge them too.
const ACK_DELAY: Millis = Millis(300);

/// Most ended jobs that one record forgets.
const FORGET_LIMIT: usize = 100;

impl StepScheduler {
    /// Does what has become due at `cx.now`. Called on each tick of the region's scheduler.
    pub(crate) fn tick(&mut self, cx: &Context<'_>) {
        self.release_due(cx);
        self.end_pauses(cx);
        self.expire_reservations(cx);
        self.learn_speeds(cx);
        let busy = self.hosts.values().filter(|host| !host.runs.is_empty()).count();
        self.hold_wait = cx.limits.hold_wait(busy);
        let due = self.hosts.iter().filter(|(_, host)| host.has_due_work(cx.now));
        let due: Vec<WorkerName> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            self.check_host(cx, &worker);
        }
        self.settle_losses(cx);
        self.bar_open_orders(cx);
        self.repeat_stops(cx);
        self.report_waste(cx);
        // Placement also depends on time: a step waits for a rack for a while, and ejections end.
        self.replan |= !self.waiting.is_empty();
    }

    /// Makes the tasks of occurrences ready that have become due by the wall clock.
    fn release_due(&mut self, cx: &Context<'_>) {
        while let Some((at, job)) = self.due.first().copied()
            && at <= cx.wall
        {
            self.due.pop_first();
            self.refresh_job(cx, job);
        }
    }

    /// Ends the runs of a worker whose lease has ended, stops those that won't end before it leaves, and sends the hold
    /// order that is due.
    fn check_host(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        if cx.now > host.expiry && !host.runs.is_empty() {
            self.end_expired_runs(cx, worker);
        } else if host.may_have_left(cx.now) {
            self.end_stopped_runs(cx, worker);
        }
        let Some(host) = self.hosts.get(worker) else { return };
        if let Some(leaves_at) = host.leaves_at {
            self.stop_before_leaving(cx, worker, leaves_at);
        }
        self.hold_if_due(cx, worker);
    }

    /// Ends as `Lost` the ordered runs of a worker whose lease has ended for certain. An order that still arrives there is
    /// refused as late, but not by a later incarnation, whose clock starts anew: a run of which an order may still arrive
    /// goes on counting as alive. Planned runs have had no order.
    fn end_expired_runs(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        let (replaced, refused) = (host.replaced, host.refused);
        let open = |key: &&RunKey| {
            let run = self.runs.get(*key);
            let ordered = run.is_some_and(|run| matches!(run.phase, RunPhase::Ordered | RunPhase::Live));
            ordered && !self.open_orders.may_arrive(worker, key, cx.now)
        };
        // The ends of earlier runs may not be stored yet.
        let runs: Vec<RunKey> = host.runs.iter().filter(open).copied().collect();
        if runs.is_empty() {
            return;
        }
        match (replaced, refused) {
            (true, _) => self.note_crash(cx, worker),
            (false, true) => self.note_refusing(cx, worker),
            (false, false) => {}
        }
        for run in runs {
            self.end_run(cx, run, RunOutcome::Lost, "");
        }
    }

    /// Ends as `Lost` the runs that a worker has confirmed to stop so long ago that they have ended for certain. If it has
    /// left, their ends will never be listed.
    fn end_stopped_runs(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        let over = |run: &TaskRun| run.stop.and_then(|stop| stop.over_at).is_some_and(|at| cx.now > at);
        let runs = host.runs.iter().copied();
        let closed = |key: &RunKey| !self.open_orders.may_arrive(worker, key, cx.now);
        let runs = runs.filter(|key| self.runs.get(key).is_some_and(over) && closed(key));
        let runs: Vec<RunKey> = runs.collect();
        for run in runs {
            self.end_run(cx, run, RunOutcome::Lost, "");
        }
    }

    /// Sends the hold orders that the event in progress made due, to the workers noted in `touched`.
    pub(crate) fn hold_touched(&mut self, cx: &Context<'_>) {
        while let Some(worker) = self.touched.pop_first() {
            let idle = |host: &&mut Host| host.runs.is_empty() && !host.confirming;
            if let Some(host) = self.hosts.get_mut(&worker).filter(idle) {
                host.hold_after = host.hold_after.max(cx.now + ACK_DELAY);
            }
            self.hold_if_due(cx, &worker);
        }
    }

    /// Sends a hold order, which renews a worker's lease and reads its lists, if one is due.
    pub(crate) fn hold_if_due(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker).filter(|host| host.is_hold_due(cx.now)) else {
            return;
        };
        let busy = !host.runs.is_empty();
        let estimates = host.runs.iter().filter_map(|(task, _)| step_of(cx.book, task));
        let shortest = estimates
            .map(|step| step.estimate.0 / PROGRESS_REPORTS)
            .min()
            .unwrap_or(0);
        let wait = match busy && host.synced && !host.has_ack_due() {
            true => Millis(shortest).max(self.hold_wait).clamp(MIN_HOLD_WAIT, MAX_HOLD_WAIT),
            false => Millis::ZERO,
        };
        self.send_hold(cx, worker, wait);
    }

    /// Sends a hold order that the worker answers at once, also while another one waits for an end there. Does nothing
    /// while such an order is unanswered or during the pause after a failed one.
    pub(crate) fn hold_now(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        if self
            .hosts
            .get(worker)
            .is_some_and(|host| !host.instant_hold && cx.now >= host.hold_after)
        {
            self.send_hold(cx, worker, Millis::ZERO);
        }
    }

    /// Sends a hold order that lets the worker wait for `wait`, zero for an immediate reply. It renews the lease only
    /// if the worker has runs, its lists were read, its last call did not fail, and [`Host::lease`] may renew it.
    fn send_hold(&mut self, cx: &Context<'_>, worker: &WorkerName, wait: Millis) {
        let term = self.term;
        let Some(host) = self.hosts.get_mut(worker) else { return };
        let Some(info) = &host.info else { return };
        let target = Target {
            worker: worker.clone(),
            incarnation: host.expected(),
            address: info.address.clone(),
        };
        // A call to a worker that does not answer might renew its lease without the scheduler learning of it.
        let leased = !host.runs.is_empty() && host.synced && host.failures == 0;
        let deadline = if leased { host.lease(cx) } else { None };
        match wait {
            Millis::ZERO => host.instant_hold = true,
            _ => host.waiting_hold = true,
        }
        host.last_hold = cx.now;
        let order = HoldOrder {
            term,
            ack: host.send_cursor(cx.now, wait),
            deadline,
            wait,
        };
        self.actions.push(StepsAction::Hold { target, order });
    }

    /// Sends the stop orders that are due. A worker that answers, if only by a refusal, and whose lists were read gets all
    /// of them; any other one gets one at a time, so that orders don't pile up for a worker that is gone.
    ///
    /// After a takeover the orders wait for the worker's lists for a short time: these lack most runs of jobs that ended
    /// long ago, as the end of such a run is not stored.
    fn repeat_stops(&mut self, cx: &Context<'_>) {
        let mut due = Vec::new();
        // The next run to be stopped on each worker that gets one order at a time; none while such an order is open.
        let mut single: BTreeMap<&WorkerName, Option<(Option<Millis>, RunKey)>> = BTreeMap::new();
        for key in &self.stopping {
            let Some(run) = self.runs.get(key) else { continue };
            let (Some(stop), Some(host)) = (run.stop, self.hosts.get(&run.worker)) else {
                continue;
            };
            if !matches!(run.phase, RunPhase::Live | RunPhase::Ordered) {
                continue;
            }
            let is_due = run.is_stop_due(cx.now, cx.limits);
            if host.synced && !host.is_silent(cx.now) {
                due.extend(is_due.then_some(*key));
            } else if !is_due && stop.confirmed_at.is_none() {
                single.insert(&run.worker, None);
            } else if is_due && (host.synced || cx.now.since(stop.asked_at) >= cx.limits.stop_repeat()) {
                let next = single.entry(&run.worker).or_insert(Some((stop.sent_at, *key)));
                if let Some(next) = next {
                    *next = (*next).min((stop.sent_at, *key));
                }
            }
        }
        due.extend(single.into_values().flatten().map(|(_, key)| key));
        for run in due {
            self.send_stop(cx, run);
        }
    }

    /// Records that ended jobs are forgotten: those that ended longer than `span` ago, and the oldest beyond the newest
    /// `keep`. Jobs of which runs are left stay. Does nothing without the scheduler's lease or while the record before
    /// is not durable.
    pub(crate) fn forget_expired(&mut self, cx: &Context<'_>, span: Millis, keep: usize) {
        if !cx.holds_lease() || !self.forgetting.is_empty() {
            return;
        }
        let jobs: Vec<JobKey> = cx.book.past_retention(cx.wall.since(span), keep, FORGET_LIMIT);
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
