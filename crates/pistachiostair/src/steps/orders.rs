//! Start and stop orders to workers: sends them, applies the replies, and ends runs.
//!
//! A run is ordered only after its start record is durable. Since an order or its reply may be lost or late, a run
//! that may have been started is freed only when the worker reports its end, no longer lists it, or its lease ended.

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::journal::encoded_size;
use crate::steps::engine::{
    Context, OrderReply, RunPhase, RunStop, RunStopReason, StartOrder, StepScheduler, StepsAction, Target, TaskRun,
    step_of,
};
use crate::steps::host::{Host, RunKey, longest};
use crate::steps::outcome::RunOutcome;
use crate::steps::record::StepRecord;
use crate::steps::withheld::WITHHELD;

/// Number of start orders of one run after which an unanswered one is not repeated: the run is stopped instead. The
/// members of a gang give up if it is not complete within 3 s, so a further order would come too late.
const MAX_START_ORDERS: u32 = 2;

/// Time until the next hold order to a worker that is unhealthy, was not reached or did not answer.
const HOLD_RETRY_DELAY: Millis = Millis(300);

impl StepScheduler {
    /// Ends as `Refused` a run that was not ordered yet if its worker's capacity has shrunk below what is in use there, or
    /// if nothing may be started in its worker's failure domain any more.
    pub(crate) fn drop_outdated_start(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key).filter(|run| run.phase == RunPhase::Planned) else {
            return;
        };
        if let Some(ban) = self.start_ban(cx, &run.worker) {
            self.log_run(WITHHELD, key, ban.text().to_owned());
            self.end_run(cx, key, RunOutcome::Refused, "");
        } else if self.hosts.get(&run.worker).is_some_and(Host::is_over_capacity) {
            self.log_run("not started", key, "the worker's capacity has shrunk".to_owned());
            self.end_run(cx, key, RunOutcome::Refused, "");
        }
    }

    /// Sends the start order of a run whose start record is durable, also as a repetition.
    ///
    /// Nothing is sent if the run is being stopped, its job has ended, its worker was restarted or exceeds its capacity,
    /// the worker's clock or address is not known, or this scheduler's own lease ended so long ago that the order would
    /// grant a lease on which a successor does not count. The run then ends as `Refused`, or is stopped if an earlier order
    /// may have started it. See [`Self::withhold_start`] for a worker in whose domain nothing may be started.
    pub(crate) fn send_start(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        if run.phase == RunPhase::Ended {
            return;
        }
        if run.stop.is_none()
            && let Some(ban) = self.start_ban(cx, &run.worker)
        {
            let unsent = run.sends == 0;
            self.withhold_start(cx, key, unsent, ban.text());
            return;
        }
        let host = self
            .hosts
            .get_mut(&run.worker)
            .filter(|host| host.incarnation == run.incarnation && !host.is_over_capacity());
        let deadline = host.and_then(|host| host.lease(cx));
        let target = self.target(&run.worker, run.incarnation);
        let wanted = run.stop.is_none() && cx.book.job(key.0.job).is_some_and(|entry| !entry.phase.is_final());
        let (Some(deadline), Some(target), true) = (deadline, target, wanted) else {
            let unsent = run.sends == 0;
            if !cx.may_grant() {
                let over = cx.now.since(cx.lease_until);
                self.log_run("not started", key, format!("the scheduler's lease ended {over} ago"));
            }
            self.reject_start(cx, key, unsent);
            return;
        };
        let entry = cx.book.job(key.0.job);
        let payload = entry.map_or_else(String::new, |entry| entry.spec.payload.clone());
        let saved = entry
            .and_then(|entry| entry.task(&key.0))
            .map_or_else(String::new, |task| task.checkpoint.clone());
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.phase = RunPhase::Ordered;
        run.sends += 1;
        run.sent = cx.now;
        self.open_orders.note_sent(&run.worker, key, run.incarnation, cx.now);
        let order = StartOrder {
            task: key.0,
            run: key.1,
            payload,
            deadline,
            term: self.term,
            checkpoint: saved,
        };
        self.actions.push(StepsAction::Start { target, order });
    }

    /// The destination of orders to a worker; none while its address is not known.
    pub(crate) fn target(&self, worker: &WorkerName, incarnation: Incarnation) -> Option<Target> {
        let info = self.hosts.get(worker)?.info.as_ref()?;
        Some(Target {
            worker: worker.clone(),
            incarnation,
            address: info.address.clone(),
        })
    }

    /// Applies the reply to a start order. The worker's clock and failure count are updated in any case, the run only
    /// if it is ordered and not confirmed yet, in the incarnation that the order was meant for.
    pub(crate) fn handle_start_reply(&mut self, cx: &Context<'_>, target: &Target, key: RunKey, reply: OrderReply) {
        self.note_reply(cx, target, &reply);
        let worker = &target.worker;
        let unanswered = reply == OrderReply::Unanswered;
        self.open_orders.note_outcome(worker, key, unanswered);
        let same_incarnation = |run: &&mut TaskRun| run.incarnation == target.incarnation;
        let Some(run) = self.runs.get_mut(&key).filter(same_incarnation) else {
            return;
        };
        if !matches!(run.phase, RunPhase::Ordered) {
            return;
        }
        match reply {
            OrderReply::Done { clock } => {
                run.phase = RunPhase::Live;
                run.since = cx.now;
                run.listed_at = cx.now;
                run.seen = Some(run.seen.unwrap_or_default().max(clock));
                self.begun.insert(key.0.job);
                self.log_run("started", key, "the worker confirmed it".to_owned());
            }
            OrderReply::OldTerm => self.outdated = true,
            OrderReply::Late if run.stop.is_none() => {
                let only_order = run.sends == 1;
                match self.start_ban(cx, worker) {
                    Some(ban) => self.withhold_start(cx, key, only_order, ban.text()),
                    None => self.send_start(cx, key),
                }
            }
            OrderReply::Late => self.stop_run(cx, key, RunStopReason::Unanswered),
            OrderReply::OldRun | OrderReply::NoRoom | OrderReply::Invalid { .. } => {
                // An earlier order that was not answered may still arrive.
                let only_order = run.sends == 1;
                self.log_run(
                    "not started",
                    key,
                    format!("the worker refused the start order: {reply:?}"),
                );
                self.reject_start(cx, key, only_order);
                self.hold_now(cx, worker);
            }
            OrderReply::Unhealthy | OrderReply::Undelivered | OrderReply::NoListener => {
                let only_order = run.sends == 1;
                self.log_run("not started", key, format!("the start order failed: {reply:?}"));
                self.reject_start(cx, key, only_order);
            }
            OrderReply::Withheld => {
                let only_order = run.sends == 1;
                match run.stop {
                    Some(_) => self.reject_start(cx, key, only_order),
                    None => self.withhold_start(
                        cx,
                        key,
                        only_order,
                        "its domain was evacuated before the order was sent",
                    ),
                }
            }
            OrderReply::OtherIncarnation if run.sends == 1 => self.end_run(cx, key, RunOutcome::Refused, ""),
            OrderReply::OtherIncarnation => {}
            OrderReply::Unanswered => {
                let fits = self.hosts.get(worker).is_some_and(|host| !host.is_over_capacity());
                let resend = run.sends < MAX_START_ORDERS && run.stop.is_none() && fits;
                self.log_run(
                    "unanswered",
                    key,
                    format!("no answer to the start order; to be sent again: {resend}"),
                );
                match resend {
                    true => self.send_start(cx, key),
                    false => self.stop_run(cx, key, RunStopReason::Unanswered),
                }
            }
        }
    }

    /// Gives up a run whose start order was not sent or carried out. `only_order` says that no other order was sent: the
    /// run ends as `Refused`. Otherwise an earlier one may still arrive, and only a stop keeps it from starting the run.
    fn reject_start(&mut self, cx: &Context<'_>, key: RunKey, only_order: bool) {
        if only_order {
            self.end_run(cx, key, RunOutcome::Refused, "");
        } else {
            self.stop_run(cx, key, RunStopReason::Unanswered);
        }
    }

    /// Begins to stop a run and the other members of its gang; does nothing if the run is being stopped or has ended.
    /// A planned run needs no order: [`Self::send_start`] ends it once its start record is durable.
    pub(crate) fn stop_run(&mut self, cx: &Context<'_>, key: RunKey, why: RunStopReason) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if run.stop.is_some() || run.phase == RunPhase::Ended {
            return;
        }
        run.stop = Some(RunStop {
            why,
            asked_at: cx.now,
            sent_at: None,
            failed: false,
            failures: 0,
            confirmed_at: None,
            over_at: None,
        });
        let planned = run.phase == RunPhase::Planned;
        self.stopping.insert(key);
        self.log_run("stopping", key, why.text().to_owned());
        if !planned {
            self.send_stop(cx, key);
        }
        self.stop_gang(cx, key, why);
    }

    /// Stops the other members of a gang after `task` in run `number` was stopped or ended without being done, for the
    /// root cause `why`. Does nothing if the task's step is not a gang.
    pub(crate) fn stop_gang(&mut self, cx: &Context<'_>, (task, number): RunKey, why: RunStopReason) {
        if !step_of(cx.book, &task).is_some_and(|step| step.gang) {
            return;
        }
        self.wasted.note_gang(cx.now, (task.step_key(), number), why);
        let members = self.runs_of_step(task.step_key());
        let members: Vec<RunKey> = members
            .filter(|(other, run)| *run == number && *other != task)
            .collect();
        for member in members {
            self.stop_run(cx, member, why.for_members());
        }
    }

    /// Sends or repeats the order to stop a run that is being stopped. Does nothing while the worker's address is not known.
    pub(crate) fn send_stop(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let Some(target) = self.target(&run.worker, run.incarnation) else {
            return;
        };
        if let Some(halt) = self.runs.get_mut(&key).and_then(|run| run.stop.as_mut()) {
            halt.sent_at = Some(cx.now);
            halt.failed = false;
        }
        self.send_stop_to(target, key);
    }

    /// Sends the order to stop a run, which need not be known here.
    pub(crate) fn send_stop_to(&mut self, target: Target, key: RunKey) {
        self.actions.push(StepsAction::Stop {
            target,
            task: key.0,
            run: key.1,
            term: self.term,
        });
    }

    /// Applies the reply to a stop order: the run has ended if lists of the worker from after the earliest confirmation
    /// don't have it, so the worker's lists are read at once.
    pub(crate) fn handle_stop_reply(&mut self, cx: &Context<'_>, target: &Target, key: RunKey, reply: &OrderReply) {
        self.note_reply(cx, target, reply);
        let run = self
            .runs
            .get_mut(&key)
            .filter(|run| run.incarnation == target.incarnation);
        let halt = run.and_then(|run| run.stop.as_mut());
        match reply {
            OrderReply::Done { clock } => {
                if let Some(halt) = halt {
                    halt.failures = 0;
                    halt.confirmed_at = Some(halt.confirmed_at.map_or(*clock, |acked| acked.min(*clock)));
                    halt.over_at.get_or_insert(cx.now + longest(cx.limits.stop));
                }
                self.open_orders.note_stopped(target, key, *clock);
                self.hold_now(cx, &target.worker);
            }
            OrderReply::OldTerm => self.outdated = true,
            _ => {
                let failures = halt.map_or(1, |halt| {
                    halt.failed = true;
                    halt.failures += 1;
                    halt.failures
                });
                if failures.is_power_of_two() {
                    let reason = format!("the stop order failed, {failures} in a row: {reply:?}");
                    self.log_run("not stopped", key, reason);
                }
            }
        }
    }

    /// Updates a worker's clock and count of failed calls by a reply to any order. Replies of another incarnation than
    /// the present one are ignored.
    pub(crate) fn note_reply(&mut self, cx: &Context<'_>, target: &Target, reply: &OrderReply) {
        let Some(host) = self
            .hosts
            .get_mut(&target.worker)
            .filter(|host| [host.incarnation, host.expected()].contains(&target.incarnation))
        else {
            return;
        };
        if *reply == OrderReply::Withheld {
            // Nothing was sent, so that it tells nothing about the worker.
            return;
        }
        let unanswered = matches!(
            reply,
            OrderReply::Undelivered | OrderReply::NoListener | OrderReply::Unanswered
        );
        host.note_answer(cx.now, !unanswered);
        host.refused = *reply == OrderReply::NoListener;
        match reply {
            OrderReply::Done { clock } => {
                host.read_clock(*clock, cx.now);
                host.alive_at = cx.now;
                host.failures = 0;
                host.replaced = false;
            }
            OrderReply::Undelivered | OrderReply::NoListener | OrderReply::Unanswered | OrderReply::Unhealthy => {
                host.failures += 1;
                host.hold_after = cx.now + HOLD_RETRY_DELAY;
                self.replan = true;
            }
            // The next hold order brings the new incarnation with its runs and ends.
            OrderReply::OtherIncarnation => {
                host.synced = false;
                // For an order to a claimed incarnation it may be the known one that answered.
                host.replaced |= target.incarnation == host.incarnation;
            }
            OrderReply::NoRoom => host.note_full(cx.now),
            _ => {}
        }
    }

    /// Ends a run: frees its resources, stops the rest of its gang unless the outcome is `Done`, and stores the end. A run
    /// of a long-running task that ends as `Done` counts as failed, as the task must start again.
    /// An empty `checkpoint` leaves the newest one that is known. If the task is done or the job has ended, nothing
    /// depends on the end: it is not stored, and the run is forgotten at once. Does nothing if the run ended before.
    pub(crate) fn end_run(&mut self, cx: &Context<'_>, key: RunKey, outcome: RunOutcome, checkpoint: &str) {
        let Some(run) = self.runs.get_mut(&key).filter(|run| run.phase != RunPhase::Ended) else {
            return;
        };
        run.phase = RunPhase::Ended;
        let lasting = step_of(cx.book, &key.0).is_some_and(|step| step.long_running);
        let listed = outcome;
        let outcome = listed.for_task(lasting);
        if !checkpoint.is_empty() {
            checkpoint.clone_into(&mut run.checkpoint);
        }
        let (worker, demand, checkpoint) = (run.worker.clone(), run.demand, run.checkpoint.clone());
        let (crash, doubt) = (run.crash, run.doubt);
        self.trials.remove(&key);
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.used = host.used.minus(&demand);
        }
        self.replan = true;
        match outcome {
            RunOutcome::Done => {
                self.note_success(&worker, key.0.job);
                self.record_duration(cx, &key);
            }
            RunOutcome::Failed => {
                self.note_failure(cx, &worker, key);
                if lasting {
                    self.note_lasting_failure(cx, key);
                }
            }
            _ => {}
        }
        self.stopping.remove(&key);
        let entry = cx.book.job(key.0.job);
        if let Some(entry) = entry {
            self.discharge(&entry.spec.account, demand.accelerators);
        }
        let done = entry.and_then(|entry| entry.task(&key.0)).is_some_and(|task| task.done);
        let reason = match listed == outcome {
            true => format!("{outcome:?}"),
            false => format!("{listed:?}, counted as {outcome:?} since the task is long-running"),
        };
        self.log_run("ended", key, reason);
        if outcome != RunOutcome::Done {
            let why = self.count_waste(cx, key, outcome);
            self.stop_gang(cx, key, why);
        }
        if done || entry.is_none_or(|entry| entry.phase.is_final()) {
            self.remove_run(key);
            return;
        }
        let task = entry.and_then(|entry| entry.task(&key.0)).filter(|task| task.is_late());
        let ordered = !matches!(outcome, RunOutcome::Done | RunOutcome::Refused) || crash.is_some();
        let run = self.runs.get(&key);
        let cleared = lasting && run.is_some_and(TaskRun::clears_crashes);
        let late = ordered && task.is_some_and(|task| run.is_some_and(|run| run.has_not_outlived(task)));
        let ended = |checkpoint| StepRecord::Ended {
            task: key.0,
            run: key.1,
            outcome,
            checkpoint,
            crash,
            late,
            cleared,
            refuted: None,
            doubt,
            verdict: None,
        };
        let bytes = checkpoint.len();
        let mut record = ended(checkpoint);
        // Nothing bounds a checkpoint but its worker. Without it the task resumes from an earlier one.
        if encoded_size(&record) > cx.record_bytes {
            record = ended(String::new());
            self.log_run(
                "checkpoint dropped",
                key,
                format!("its {bytes} bytes are too long to be stored"),
            );
        }
        self.records.push(record);
    }

    /// Forgets a run whose end is stored or need not be, and lets its worker's hold order acknowledge that end.
    pub(crate) fn remove_run(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(&key)
            && let Some(host) = self.hosts.get_mut(&run.worker)
        {
            host.runs.remove(&key);
            self.touched.insert(run.worker.clone());
            if host.incarnation == run.incarnation {
                host.mark_end_durable(key);
            }
        }
    }
}
