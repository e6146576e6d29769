//! Orders to workers, and what their answers mean.

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::steps::engine::{
    Context, OrderReply, RunPhase, RunStop, RunStopReason, StartOrder, StepScheduler, StepsAction, Target, TaskRun,
    step_of,
};
use crate::steps::fate::Fate;
use crate::steps::host::RunKey;
use crate::steps::record::StepRecord;

/// Orders to start a run that may go unanswered; one more and the run is stopped instead. A gang must be complete
/// within the 3 s after which its members give up.
const MAX_SENDS: u32 = 2;

/// Pause after a worker that is not healthy or could not be reached before the next call.
const PAUSE: Millis = Millis(300);

impl StepScheduler {
    /// Sends the order to start a run whose record is durable, or ends the run if it is no longer wanted.
    pub(crate) fn order_start(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        if run.phase == RunPhase::Ended {
            return;
        }
        let host = self
            .hosts
            .get_mut(&run.worker)
            .filter(|host| host.incarnation == run.incarnation);
        let deadline = host.and_then(|host| host.lease(cx.now));
        let target = self.target(&run.worker, run.incarnation);
        let wanted = run.stop.is_none() && cx.book.job(key.0.job).is_some_and(|entry| !entry.phase.is_final());
        let (Some(deadline), Some(target), true) = (deadline, target, wanted) else {
            if run.sends == 0 {
                self.end(cx, key, Fate::Refused, "");
            }
            return;
        };
        let entry = cx.book.job(key.0.job);
        let payload = entry.map_or_else(String::new, |entry| entry.spec.payload.clone());
        let saved = entry
            .and_then(|entry| entry.task(&key.0))
            .map_or_else(String::new, |task| task.saved.clone());
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.phase = RunPhase::Ordered;
        run.sends += 1;
        run.sent = cx.now;
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

    /// Where an order to a worker goes; none while its address is not known.
    pub(crate) fn target(&self, worker: &WorkerName, incarnation: Incarnation) -> Option<Target> {
        let info = self.hosts.get(worker)?.info.as_ref()?;
        Some(Target {
            worker: worker.clone(),
            incarnation,
            address: info.address.clone(),
        })
    }

    /// Takes in the answer to an order to start a run.
    pub(crate) fn started(&mut self, cx: &Context<'_>, target: &Target, key: RunKey, reply: OrderReply) {
        self.answered(cx, target, &reply);
        let worker = &target.worker;
        let meant = |run: &&mut TaskRun| run.incarnation == target.incarnation;
        let Some(run) = self.runs.get_mut(&key).filter(meant) else {
            return;
        };
        if !matches!(run.phase, RunPhase::Ordered) {
            return;
        }
        match reply {
            OrderReply::Done { clock } => {
                run.phase = RunPhase::Live;
                run.since = cx.now;
                run.seen = Some(run.seen.unwrap_or_default().max(clock));
                self.log_run("started", key, "the worker confirmed it".to_owned());
            }
            OrderReply::OldTerm => self.outdated = true,
            OrderReply::Late if run.stop.is_none() => self.order_start(cx, key),
            OrderReply::Late => self.halt(cx, key, RunStopReason::Unanswered),
            OrderReply::OldRun | OrderReply::NoRoom | OrderReply::Invalid { .. } => {
                // A copy of the order may still arrive when an earlier one was not answered.
                let sole = run.sends == 1;
                self.log_run("not started", key, format!("the worker said {reply:?}"));
                self.deny(cx, key, sole);
                self.look(cx, worker);
            }
            OrderReply::Unhealthy | OrderReply::Undelivered => {
                let sole = run.sends == 1;
                self.log_run("not started", key, format!("the order met {reply:?}"));
                self.deny(cx, key, sole);
            }
            OrderReply::OtherIncarnation => {}
            OrderReply::Unanswered => {
                let again = run.sends < MAX_SENDS && run.stop.is_none();
                self.log_run("unanswered", key, format!("the order to start; sent again: {again}"));
                match again {
                    true => self.order_start(cx, key),
                    false => self.halt(cx, key, RunStopReason::Unanswered),
                }
            }
        }
    }

    /// The worker did not carry out an order to start; with an earlier order on its way only a stop makes certain
    /// that none will.
    fn deny(&mut self, cx: &Context<'_>, key: RunKey, sole: bool) {
        if sole {
            self.end(cx, key, Fate::Refused, "");
        } else {
            self.halt(cx, key, RunStopReason::Unanswered);
        }
    }

    /// Stops a run.
    pub(crate) fn halt(&mut self, cx: &Context<'_>, key: RunKey, why: RunStopReason) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if run.stop.is_some() || run.phase == RunPhase::Ended {
            return;
        }
        run.stop = Some(RunStop {
            sent_at: None,
            confirmed_at: None,
        });
        let planned = run.phase == RunPhase::Planned;
        self.log_run("stopping", key, why.text().to_owned());
        if !planned {
            self.order_stop(cx, key);
        }
        self.halt_gang(cx, key);
    }

    /// Stops the other members of a gang of which one ended otherwise than by being done, or is being stopped.
    pub(crate) fn halt_gang(&mut self, cx: &Context<'_>, (task, number): RunKey) {
        if !step_of(cx.book, &task).is_some_and(|step| step.gang) {
            return;
        }
        let members = self.runs_of_step(task.step_key());
        let members: Vec<RunKey> = members
            .filter(|(other, run)| *run == number && *other != task)
            .collect();
        for member in members {
            self.halt(cx, member, RunStopReason::GangBroken);
        }
    }

    /// Sends the order to stop a run.
    pub(crate) fn order_stop(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let target = self.target(&run.worker, run.incarnation);
        if let Some(halt) = self.runs.get_mut(&key).and_then(|run| run.stop.as_mut()) {
            halt.sent_at = Some(cx.now);
        }
        if let Some(target) = target {
            self.stop_at(target, key);
        }
    }

    pub(crate) fn stop_at(&mut self, target: Target, key: RunKey) {
        self.actions.push(StepsAction::Stop {
            target,
            task: key.0,
            run: key.1,
            term: self.term,
        });
    }

    /// Takes in the answer to an order to stop a run.
    pub(crate) fn stopped(&mut self, cx: &Context<'_>, target: &Target, key: RunKey, reply: &OrderReply) {
        self.answered(cx, target, reply);
        match reply {
            OrderReply::Done { clock } => {
                let run = self
                    .runs
                    .get_mut(&key)
                    .filter(|run| run.incarnation == target.incarnation);
                if let Some(halt) = run.and_then(|run| run.stop.as_mut()) {
                    halt.confirmed_at = Some(halt.confirmed_at.map_or(*clock, |acked| acked.min(*clock)));
                }
                self.look(cx, &target.worker);
            }
            OrderReply::OldTerm => self.outdated = true,
            _ => {}
        }
    }

    /// Takes note of whether a worker answers, and of its clock.
    pub(crate) fn answered(&mut self, cx: &Context<'_>, target: &Target, reply: &OrderReply) {
        let Some(host) = self
            .hosts
            .get_mut(&target.worker)
            .filter(|host| host.incarnation == target.incarnation)
        else {
            return;
        };
        match reply {
            OrderReply::Done { clock } => {
                host.read_clock(*clock, cx.now);
                host.failures = 0;
            }
            OrderReply::Undelivered | OrderReply::Unanswered | OrderReply::Unhealthy => {
                host.failures += 1;
                host.hold_after = cx.now + PAUSE;
                self.replan = true;
            }
            // The list tells the new incarnation, and the next hold its lists.
            OrderReply::OtherIncarnation => host.claimed = false,
            _ => {}
        }
    }

    /// A run has ended: its room is free, and the end is stored unless nothing depends on it.
    pub(crate) fn end(&mut self, cx: &Context<'_>, key: RunKey, fate: Fate, saved: &str) {
        let Some(run) = self.runs.get_mut(&key).filter(|run| run.phase != RunPhase::Ended) else {
            return;
        };
        run.phase = RunPhase::Ended;
        if !saved.is_empty() {
            saved.clone_into(&mut run.checkpoint);
        }
        let (worker, demand, saved) = (run.worker.clone(), run.demand, run.checkpoint.clone());
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.used = host.used.minus(&demand);
            match fate {
                Fate::Done => host.guard.record_success(),
                Fate::Failed if host.guard.record_failure(cx.now) => {
                    self.log_worker("ejected", &worker, "tasks failed there one after the other".to_owned());
                }
                _ => {}
            }
        }
        self.replan = true;
        if fate == Fate::Done {
            self.record_duration(cx, &key);
        }
        let entry = cx.book.job(key.0.job);
        let done = entry.and_then(|entry| entry.task(&key.0)).is_some_and(|task| task.done);
        self.log_run("ended", key, format!("{fate:?}"));
        if fate != Fate::Done {
            self.halt_gang(cx, key);
        }
        if done || entry.is_none_or(|entry| entry.phase.is_final()) {
            self.drop_run(key);
            return;
        }
        self.records.push(StepRecord::Ended {
            task: key.0,
            run: key.1,
            fate,
            saved,
        });
    }

    /// Forgets a run whose end is stored.
    pub(crate) fn drop_run(&mut self, key: RunKey) {
        if let Some(run) = self.runs.remove(&key)
            && let Some(host) = self.hosts.get_mut(&run.worker)
        {
            host.runs.remove(&key);
            self.touched.insert(run.worker.clone());
            if host.incarnation == run.incarnation {
                host.settle_end(key);
            }
        }
    }
}
