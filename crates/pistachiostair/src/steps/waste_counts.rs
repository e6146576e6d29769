//! Counts the work that the end of a run loses, and reports the totals in the log and for the metrics.

use crate::clock::Millis;
use crate::steps::engine::{Context, RunOrigin, RunStopReason, StepScheduler, StepsAction, StepsLog, TaskRun, step_of};
use crate::steps::host::RunKey;
use crate::steps::outcome::RunOutcome;
use crate::steps::preemption::{core_millis, unsaved};
use crate::steps::spec::Step;

impl StepScheduler {
    /// Counts the work that a run lost, which has ended otherwise than as done; returns the root cause. Its own failure
    /// wastes nothing, since a task that fails does so wherever it runs.
    pub(crate) fn count_waste(&mut self, cx: &Context<'_>, key: RunKey, outcome: RunOutcome) -> RunStopReason {
        let Some(run) = self.runs.get(&key) else {
            return RunStopReason::Unknown;
        };
        let host = self.hosts.get(&run.worker);
        let leaves = host.is_some_and(|host| host.drained || host.leaves_at.is_some());
        let found = RunStopReason::of_outcome(outcome, run.seen.is_some(), leaves);
        // A gang that broke for a cause not known at first gets it from the end that caused that.
        let ordered = run.stop.map(|stop| stop.why);
        let why = ordered.filter(|why| *why != RunStopReason::GangBroken).unwrap_or(found);
        let (Some(entry), Some(step)) = (cx.book.job(key.0.job), step_of(cx.book, &key.0)) else {
            return why;
        };
        if outcome != RunOutcome::Failed && !step.long_running {
            let gang = step.gang.then_some((key.0.step_key(), key.1));
            let lost = wasted_work(cx, run, step, outcome);
            self.wasted.add(cx.now, gang, (why, &entry.spec.account), lost);
        }
        why
    }

    /// Queues the work that was counted since the last call for the metrics.
    pub(crate) fn count_wasted(&mut self) {
        for waste in self.wasted.take_counted() {
            self.actions.push(StepsAction::Wasted {
                cause: waste.cause.label(),
                account: waste.account,
                core_millis: waste.core_millis,
            });
        }
    }

    /// Logs the wasted work once a minute.
    pub(crate) fn report_waste(&mut self, cx: &Context<'_>) {
        let report = self.wasted.tick(cx.now);
        self.log_waste(report);
    }

    /// Logs the wasted work of the term that ends.
    pub(crate) fn report_term_waste(&mut self) {
        let report = self.wasted.finish();
        self.log_waste(report);
    }

    fn log_waste(&mut self, report: Option<String>) {
        self.actions.extend(report.map(|reason| {
            StepsAction::Log(StepsLog {
                what: "wasted",
                job: None,
                task: None,
                worker: None,
                reason,
            })
        }));
    }
}

/// Work that a run has lost, in core-milliseconds. A run that is lost with its worker was at work until the worker last
/// listed it, as far as is known.
fn wasted_work(cx: &Context<'_>, run: &TaskRun, step: &Step, outcome: RunOutcome) -> u64 {
    let until = match outcome {
        RunOutcome::Lost => run.listed_at,
        _ => cx.now,
    };
    let from = match run.seen {
        Some(_) => run.since,
        None if outcome.shows_begin() => run.sent,
        None => until,
    };
    let saved = step.checkpointing && !run.checkpoint.is_empty();
    core_millis(
        &run.demand,
        unsaved(until.since(from).max(earlier_work(run, step)), saved),
    )
}

/// Least time that a run has been at work that was started under an earlier term, as its progress shows.
pub(crate) fn earlier_work(run: &TaskRun, step: &Step) -> Millis {
    match run.origin {
        RunOrigin::Recovered => {
            let percent = run.progress.map_or(0, |progress| progress.percent());
            Millis(step.estimate.0.saturating_mul(u64::from(percent)) / 100)
        }
        _ => Millis::ZERO,
    }
}
