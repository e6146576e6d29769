//! Applies the platform's list of workers, and the lists of running and ended tasks that each worker returns for a
//! hold order.
//!
//! The platform's list tells which workers exist and in which incarnation; a worker's own lists tell what became of
//! its runs. That a run is in none of a worker's lists tells that it is not there only if the lists are complete.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::steps::ejection::STABLE_AGE;
use crate::steps::engine::{
    Context, HoldReply, OrderReply, RunEnd, RunOrigin, RunPhase, StepScheduler, Target, step_of,
};
use crate::steps::host::{Host, HostInfo, HostUpdate, MAX_LEASE, RunKey};
use crate::steps::outcome::RunOutcome;
use crate::steps::progress::RunProgress;
use crate::steps::queue::StepKey;

/// Longest time that a run takes to resume from a checkpoint; no progress is expected before.
pub(crate) const RESTORE_TIME: Millis = Millis(600);

impl StepScheduler {
    /// Applies an update of the platform's list of workers. Workers that are no longer listed get no new tasks; they
    /// are forgotten once no run is left there.
    pub(crate) fn update_hosts(&mut self, cx: &Context<'_>, update: HostUpdate) {
        if update.full {
            for host in self.hosts.values_mut() {
                host.listed = false;
            }
            self.workers_known = true;
        }
        for worker in &update.removed {
            if let Some(host) = self.hosts.get_mut(worker) {
                host.listed = false;
                self.log_worker(
                    "unlisted",
                    worker,
                    "removed from the platform's list; no new tasks".to_owned(),
                );
            }
        }
        for info in update.changed {
            self.update_host(cx, info);
        }
        self.list_reads.note(update.confirmed);
        self.settle_losses(cx);
        self.hosts.retain(|_, host| host.listed || !host.runs.is_empty());
        let hosts = &self.hosts;
        self.releases.retain(|worker| hosts.contains_key(worker));
        self.log_evacuations();
        self.replan = true;
    }

    /// Applies one entry of the platform's list: a new worker or a change. If it gives a later incarnation, the worker is
    /// asked at once, since runs may be there whose replies are waited for.
    fn update_host(&mut self, cx: &Context<'_>, info: HostInfo) {
        let worker = info.name.clone();
        self.releases
            .note(cx.now, (&info.service, &worker), &info.version, info.draining);
        let host = self.hosts.entry(worker.clone());
        let host = host.or_insert_with(|| {
            self.last_host += 1;
            Host::new(self.last_host, Incarnation::default(), Millis::ZERO, cx.now)
        });
        let next_rack = self.racks.len() as u32;
        host.rack = match self.racks.get(&info.rack) {
            Some(rack) => *rack,
            None => *self.racks.entry(info.rack.clone()).or_insert(next_rack),
        };
        host.listed = true;
        let left = info.remaining.unwrap_or_default();
        let leaves = host.leaves_at.unwrap_or(Millis::MAX).min(cx.now + left);
        host.leaves_at = info.draining.then_some(leaves);
        host.drained |= info.draining && info.incarnation <= host.incarnation;
        let concerned = !host.runs.is_empty() || self.open_orders.concern(&worker);
        let claimed = host.claim(info.incarnation) && concerned;
        let changed = host.info.as_ref() != Some(&info);
        let draining = info.draining;
        let incarnation = info.incarnation;
        host.speed = self.speeds.class(&info.machine, cx.now);
        host.info = Some(info);
        if changed {
            self.log_worker(
                "listed",
                &worker,
                format!("incarnation {incarnation}, draining {draining}, {left} left"),
            );
        }
        if draining && changed {
            self.judge_draining(cx, &worker, incarnation);
        }
        if claimed {
            self.bar_open_orders(cx);
            self.hold_now(cx, &worker);
        }
    }

    /// Switches a worker to a later incarnation: the runs of earlier ones end as `Lost`. Those of which an order may have
    /// reached the later incarnation, or may still reach it, are stopped there first.
    fn restart_host(&mut self, cx: &Context<'_>, worker: &WorkerName, incarnation: Incarnation) {
        self.note_crash(cx, worker);
        let Some(host) = self.hosts.get_mut(worker) else { return };
        let before = host.incarnation;
        host.restart(incarnation, cx.now);
        // An order for the earlier incarnation may start a run here, under any lease that workers accept.
        host.expiry = self.open_orders.last_arrival(worker).max(cx.now) + MAX_LEASE;
        let runs: Vec<RunKey> = host.runs.iter().copied().collect();
        let mut reason = format!("incarnation {incarnation} follows {before}; earlier runs are lost");
        if let Some(wait) = host.cursor_wait(cx.now) {
            reason += &format!("; no new tasks for {wait}, as it may still get a cursor meant for an earlier one");
        }
        self.log_worker("restarted", worker, reason);
        for key in runs {
            let Some(run) = self.runs.get(&key).filter(|run| run.incarnation < incarnation) else {
                continue;
            };
            let ordered = matches!(run.phase, RunPhase::Ordered | RunPhase::Live);
            // If no list of the earlier incarnation had it, any order may have reached this one.
            if ordered && (run.progress.is_none() || self.may_still_start(cx, worker, &key)) {
                self.stop_in_later_incarnation(cx, key);
            } else {
                self.end_run(cx, key, RunOutcome::Lost, "");
            }
        }
    }

    /// Applies the outcome of a hold order: the worker's lists, or the reason why there are none.
    ///
    /// `ack` is the number up to which the order acknowledged ends, `waited` whether the worker was allowed to delay
    /// its reply. Lists of an earlier incarnation than the known one are dropped; those of a later one count as its
    /// restart.
    pub(crate) fn handle_hold_reply(
        &mut self,
        cx: &Context<'_>,
        target: &Target,
        (ack, waited): (u64, bool),
        reply: Result<HoldReply, OrderReply>,
    ) {
        let (worker, incarnation) = (&target.worker, target.incarnation);
        let Some(host) = self.hosts.get_mut(worker) else { return };
        match waited {
            true => host.waiting_hold = false,
            false => host.instant_hold = false,
        }
        if ack > 0 {
            host.note_cursor_outcome(matches!(reply, Err(OrderReply::Unanswered)));
        }
        self.touched.insert(worker.clone());
        let reply = match reply {
            Ok(reply) => reply,
            Err(failure) => {
                self.outdated |= failure == OrderReply::OldTerm;
                if host.failures == 0 && host.expected() == incarnation {
                    self.log_worker("unreachable", worker, format!("the hold order failed: {failure:?}"));
                }
                self.note_reply(cx, target, &failure);
                return;
            }
        };
        self.judge_answer(cx, worker, reply.incarnation);
        let Some(host) = self.hosts.get_mut(worker) else { return };
        if host.is_new() {
            host.incarnation = reply.incarnation;
        } else if reply.incarnation > host.incarnation {
            self.restart_host(cx, worker, reply.incarnation);
        }
        let Some(host) = self.hosts.get_mut(worker) else { return };
        if reply.incarnation < host.incarnation {
            return;
        }
        if host.failures > 0 {
            self.log_worker("reachable", worker, "hold orders are answered again".to_owned());
        }
        let Some(host) = self.hosts.get_mut(worker) else { return };
        host.failures = 0;
        host.alive_at = cx.now;
        host.note_answer(cx.now, true);
        host.replaced = false;
        if !host.synced || !host.is_usable(cx.now) {
            self.replan = true;
        }
        host.sync(incarnation, cx.now);
        host.read_clock(reply.clock, cx.now);
        if incarnation == reply.incarnation {
            host.acknowledge(ack);
        }
        self.note_listed_runs(cx, worker, &reply);
        self.apply_ends(cx, worker, &reply);
        self.apply_running(cx, worker, &reply);
        self.note_completeness(worker, &reply);
        if !reply.more_ends {
            self.end_absent_runs(cx, worker, &reply);
            self.stop_unlisted(cx, worker);
        }
        let groups: BTreeSet<StepKey> = reply.running.iter().map(|line| line.task.step_key()).collect();
        for group in groups {
            self.check_stragglers(cx, group);
        }
    }

    /// Ends the runs that the worker lists as ended. An end of which nothing has to be stored may be acknowledged at
    /// once, such as that of an unknown run.
    fn apply_ends(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        for end in &reply.finished {
            let key = (end.task, end.run);
            let Some(host) = self.hosts.get_mut(worker) else { return };
            let new = host.add_end(end.number, key);
            if host.is_end_durable(end.number) {
                continue;
            }
            let run = self.runs.get(&key);
            if new && run.is_some_and(|run| run.incarnation == reply.incarnation) {
                self.end_run(cx, key, end.outcome, &end.checkpoint);
            }
            if !self.runs.contains_key(&key)
                && !self.may_contradict(cx, worker, end)
                && let Some(host) = self.hosts.get_mut(worker)
            {
                host.mark_end_durable(key);
            }
        }
    }

    /// Whether an unknown run that its worker lists as done may have been ended as `Lost` before the worker's lease was over,
    /// also by an earlier scheduler, so that its task was started elsewhere. Such an end must not be acknowledged until then:
    /// afterwards it no longer counts.
    fn may_contradict(&self, cx: &Context<'_>, worker: &WorkerName, end: &RunEnd) -> bool {
        // Only runs of draining workers end so.
        let drains = |host: &&Host| host.drained || host.leaves_at.is_some();
        let leased = |host: &&Host| cx.now <= host.expiry.max(self.earlier_leases);
        let listed = self.hosts.get(worker).filter(drains).filter(leased);
        // Which run a task was done by is not stored once its job has ended.
        let entry = cx.book.job(end.task.job).and_then(|entry| entry.task(&end.task));
        let may_be_lost = entry.is_none_or(|task| !task.done || end.run < task.last_run);
        end.outcome == RunOutcome::Done && listed.is_some() && may_be_lost
    }

    /// Updates the runs that the worker lists as running: their confirmation, progress and checkpoint. A run that is
    /// not known in this incarnation is stopped.
    fn apply_running(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        for line in &reply.running {
            let key = (line.task, line.run);
            match self
                .runs
                .get_mut(&key)
                .filter(|run| run.incarnation == reply.incarnation)
            {
                Some(run) if run.phase == RunPhase::Ended => {}
                Some(run) => {
                    if run.phase == RunPhase::Ordered {
                        run.phase = RunPhase::Live;
                        run.since = cx.now;
                    }
                    run.seen = Some(run.seen.unwrap_or_default().max(reply.clock));
                    run.listed_at = cx.now;
                    self.begun.insert(key.0.job);
                    let passed = run.passes_trial();
                    let mut stable = false;
                    match &mut run.progress {
                        Some(progress) => progress.advance(line.percent, cx.now),
                        None => {
                            let start = match run.origin {
                                RunOrigin::Fresh => (0, run.since),
                                RunOrigin::Checkpoint => (line.percent, cx.now + RESTORE_TIME),
                                RunOrigin::Recovered => (line.percent, cx.now),
                            };
                            run.progress = Some(RunProgress::first(start, line.percent, cx.now));
                        }
                    }
                    if !line.checkpoint.is_empty() {
                        run.checkpoint.clone_from(&line.checkpoint);
                    }
                    if !run.stable && run.is_at_work() && run.age() >= STABLE_AGE {
                        run.stable = step_of(cx.book, &key.0).is_some_and(|step| step.long_running);
                        stable = run.stable;
                    }
                    if passed {
                        self.end_trial(cx, key);
                    }
                    if stable {
                        self.note_success(worker, key.0.job);
                    }
                }
                None => {
                    let target = self.target(worker, reply.incarnation);
                    self.log_worker(
                        "stray run",
                        worker,
                        format!(
                            "stopping {} run {}, which is not a known run of this worker",
                            line.task, line.run
                        ),
                    );
                    if let Some(target) = target {
                        self.send_stop_to(target, key);
                    }
                }
            }
        }
    }

    /// Takes note of whether the worker's lists have all its ends, and logs when that changes.
    fn note_completeness(&mut self, worker: &WorkerName, reply: &HoldReply) {
        let Some(host) = self.hosts.get_mut(worker) else { return };
        if std::mem::replace(&mut host.more_ends, reply.more_ends) == reply.more_ends {
            return;
        }
        let runs = host.runs.len();
        let reason = match reply.more_ends {
            true => format!(
                "{} ends are listed and more may follow; of {runs} runs, those in no list may have ended",
                reply.finished.len()
            ),
            false => format!("all ends are listed; {runs} runs are open"),
        };
        let what = if reply.more_ends {
            "lists cut off"
        } else {
            "lists complete"
        };
        self.log_worker(what, worker, reason);
    }

    /// Ends as `Refused` the runs that the worker lists neither as running nor as ended: one that it confirmed before
    /// and no longer has, or one that was stopped before it began. The lists must be complete, and later than the
    /// confirmation of the run or of the stop, by the worker's clock.
    fn end_absent_runs(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        let Some(host) = self.hosts.get(worker) else { return };
        let mut absent = Vec::new();
        for key in &host.runs {
            let Some(run) = self.runs.get(key).filter(|run| run.incarnation == reply.incarnation) else {
                continue;
            };
            let listed = reply.running.iter().any(|line| (line.task, line.run) == *key);
            let confirmed = run.phase == RunPhase::Live && run.seen.is_some_and(|seen| seen < reply.clock);
            let acked = run
                .stop
                .and_then(|halt| halt.confirmed_at)
                .is_some_and(|acked| acked < reply.clock);
            let ordered = matches!(run.phase, RunPhase::Live | RunPhase::Ordered);
            if !listed && ordered && (confirmed || acked) {
                absent.push((
                    *key,
                    if confirmed {
                        "it was confirmed"
                    } else {
                        "its stop was confirmed"
                    },
                ));
            }
        }
        for (key, proof) in absent {
            self.log_run(
                "absent",
                key,
                format!(
                    "in neither of the worker's complete lists at {}, after {proof}",
                    reply.clock
                ),
            );
            self.end_run(cx, key, RunOutcome::Refused, "");
        }
    }
}
