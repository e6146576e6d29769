//! Limits for a step that does not fit: how long it may wait for capacity, and how much work preemption may lose.

use crate::clock::Millis;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::JobEntry;
use crate::steps::preemption::core_millis;
use crate::steps::spec::{Step, StepJob};

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

/// Time after which a job will be late even if its work takes as much less than estimated as estimates are off, in
/// percent of its slack.
const LATE_PERCENT: u64 = 150;

/// Limits for a step that does not fit at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionBudget {
    /// How much longer the step may wait for capacity and still be done in time or, if no loss is too much, still preempt
    /// work in time; preemption is considered only for a longer wait.
    pub(crate) slack: Millis,
    /// Most work that preemption may lose for it, in core-milliseconds; unlimited if absent.
    pub(crate) max_loss: Option<u64>,
}

impl StepScheduler {
    /// How long a step may take from now on for its job to end within its objective; zero if it is late.
    pub(crate) fn allowed_duration(&self, cx: &Context<'_>, entry: &JobEntry, (number, step): (u32, &Step)) -> Millis {
        let (total, remaining) = critical_path(&entry.spec, number);
        let later = remaining.since(step.estimate);
        let waited = cx.wall.since(entry.accepted);
        self.objective(entry, total).since(later).since(waited)
    }

    /// Time within which a job must end, given the estimated duration of its critical path.
    fn objective(&self, entry: &JobEntry, total: Millis) -> Millis {
        let terms = self.terms(entry);
        terms.allowance + Millis(total.0.saturating_mul(terms.stretch) / 1_000)
    }

    /// The limits for a step, given as its number in the job and its specification, of which `count` tasks wait.
    /// `covered` tells whether a guarantee covers the job.
    pub(crate) fn preemption_budget(
        &self,
        cx: &Context<'_>,
        entry: &JobEntry,
        step: (u32, &Step),
        count: usize,
        covered: bool,
    ) -> PreemptionBudget {
        let terms = self.terms(entry);
        let (number, step) = step;
        let (total, remaining) = critical_path(&entry.spec, number);
        let waited = cx.wall.since(entry.accepted);
        let objective = self.objective(entry, total);
        let slack = objective.since(remaining).since(waited);
        let own_work = core_millis(&step.demand, step.estimate).saturating_mul(count as u64);
        let urgent = terms.priority == 0;
        let in_time = waited + cx.limits.stopped_after()
            <= Millis(objective.since(remaining).0.saturating_mul(LATE_PERCENT) / 100);
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
            max_loss: (!unlimited).then_some(own_work.saturating_mul(percent) / 100),
        }
    }
}

/// Estimated durations of the critical path of a job's whole step graph, and of the one that begins with step `from`.
fn critical_path(spec: &StepJob, from: u32) -> (Millis, Millis) {
    let mut paths = vec![Millis::ZERO; spec.steps.len()];
    for (number, step) in spec.steps.iter().enumerate().rev() {
        let later = spec.steps.iter().enumerate().skip(number + 1);
        let later = later.filter(|(_, later)| later.after.contains(&(number as u32)));
        let longest = later.map(|(later, _)| paths[later]).max().unwrap_or_default();
        paths[number] = step.estimate + longest;
    }
    let total = paths.iter().copied().max().unwrap_or_default();
    (total, paths.get(from as usize).copied().unwrap_or_default())
}
