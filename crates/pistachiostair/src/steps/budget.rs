//! Limits for a step that does not fit: how long it may wait for capacity, and how much work preemption may lose.

use crate::clock::Millis;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::JobEntry;
use crate::steps::preemption::core_millis;
use crate::steps::queue::StepKey;
use crate::steps::spec::Step;
use crate::steps::urgency::{Timing, paths};
use crate::steps::victim::PROHIBITIVE;

/// Time from the acceptance of a job that a guarantee covers after which it may preempt any work without a guarantee,
/// at any loss, so that several attempts to preempt fit into the time left until it must have started.
const COVERED_WAIT: Millis = Millis(400);

/// Time for which urgent work waits for capacity that becomes free without preemption, in percent of its estimated
/// remaining duration. Such work may take half as long again, and estimates are off by up to half.
const URGENT_SLACK_PERCENT: u64 = 25;

/// Bounds of that time.
const MIN_SLACK: Millis = Millis(100);
const MAX_SLACK: Millis = Millis(500);

/// Work that preemption may lose for a step of priority 0, in percent of the step's own work. It is above 100 since a
/// late job there is worth a fifth of one in time, and work of other queues can still be done in time later.
const URGENT_LOSS_PERCENT: u64 = 250;

/// The same for other priorities, whose jobs have time to wait for capacity, and for jobs of priority 0 that will be
/// late all the same.
const OTHER_LOSS_PERCENT: u64 = 25;

/// Error of estimates, in percent: they are off by up to half.
const ESTIMATE_ERROR_PERCENT: u64 = 50;

/// Limits for a step that does not fit at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionBudget {
    /// How much longer the step may wait for capacity and still be done in time or, if no loss is too much, still preempt
    /// work in time; preemption is considered only for a longer wait.
    pub(crate) slack: Millis,
    /// Most work that preemption may lose for it, in core-milliseconds; unlimited if absent.
    pub(crate) max_loss: Option<u64>,
    /// Time sooner by which preemption must let the step start for that loss; none if any time will do.
    full_gain: Option<Millis>,
}

impl PreemptionBudget {
    /// Most work that preemption may lose, in core-milliseconds, if the step can start after `wait` without it, or never,
    /// and a stop takes effect after `stopped_after`; unlimited if none.
    ///
    /// What the callers lose by the wait is the chance that it makes the job late. Durations are off by up to half, so
    /// that the chance grows evenly with the wait, up to half of the remaining duration.
    pub(crate) fn allowed_loss(&self, wait: Option<Millis>, stopped_after: Millis) -> Option<u64> {
        let max = self.max_loss?;
        let (Some(wait), Some(full)) = (wait, self.full_gain) else {
            return Some(max);
        };
        let gain = wait.since(stopped_after).min(full);
        let share = u128::from(max) * u128::from(gain.0) / u128::from(full.0.max(1));
        Some(u64::try_from(share).unwrap_or(max).min(PROHIBITIVE - 1))
    }
}

impl StepScheduler {
    /// How long a step may take from now on for its job to end within its objective; zero if it is late.
    pub(crate) fn allowed_duration(&self, cx: &Context<'_>, entry: &JobEntry, key: StepKey, step: &Step) -> Millis {
        let timing = self.timing(cx, entry, key, &paths(&entry.spec));
        let later = timing.remaining.since(step.estimate);
        timing.objective.since(later).since(timing.waited)
    }

    /// The limits for a step, given as its key and its specification, of which `count` tasks wait.
    /// `covered` tells whether a guarantee covers the job.
    pub(crate) fn preemption_budget(
        &self,
        cx: &Context<'_>,
        entry: &JobEntry,
        (key, step): (StepKey, &Step),
        count: usize,
        covered: bool,
    ) -> PreemptionBudget {
        let terms = self.terms(entry);
        let timing = self.timing(cx, entry, key, &paths(&entry.spec));
        let Timing { remaining, waited, .. } = timing;
        let slack = timing.slack();
        let own_work = core_millis(&step.demand, step.estimate).saturating_mul(count as u64);
        let urgent = terms.priority == 0;
        let in_time = timing.can_be_in_time(cx.limits.stopped_after());
        let percent = if urgent && (in_time || covered) {
            URGENT_LOSS_PERCENT
        } else {
            OTHER_LOSS_PERCENT
        };
        let unlimited = covered && waited >= COVERED_WAIT;
        let slack = match urgent || covered {
            true if unlimited => cx.limits.reclaim.since(waited + cx.limits.preemption_time()),
            true => Millis(remaining.0.saturating_mul(URGENT_SLACK_PERCENT) / 100).clamp(MIN_SLACK, MAX_SLACK),
            false => slack,
        };
        PreemptionBudget {
            slack,
            max_loss: (!unlimited).then_some((own_work.saturating_mul(percent) / 100).min(PROHIBITIVE - 1)),
            full_gain: (urgent && !covered).then_some(Millis(remaining.0.saturating_mul(ESTIMATE_ERROR_PERCENT) / 100)),
        }
    }
}
