//! How long a step may wait, and what may be stopped for it.

use crate::clock::Millis;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::JobEntry;
use crate::steps::preemption::work;
use crate::steps::spec::{Step, StepJob};

/// Time after the acceptance of a job with a guarantee from which on any work without one gives way, at any loss. Such
/// a job must have begun within 2.7 s, so that several attempts to make room fit into the rest.
const COVERED_WAIT: Millis = Millis(400);

/// Time for which urgent work waits for room that becomes free by itself, in percent of its estimated time. Such work
/// may take half as long again, and estimates are off by up to half.
const URGENT_SLACK: u64 = 25;

/// Bounds of that time. Jobs with a guarantee must have begun within 2.7 s.
const MIN_SLACK: Millis = Millis(100);
const MAX_SLACK: Millis = Millis(500);

/// Work that may be lost for a step of the most urgent queues, in percent of its own work. Above 100, since a late job
/// there is worth a fifth of one in time, and work of other queues can still be done in time later.
const URGENT_LOSS: u64 = 250;

/// The same for other queues, whose jobs have time to wait for room.
const OTHER_LOSS: u64 = 25;

/// What may be done for a step that does not fit at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionBudget {
    /// Time that the step may still wait and be done in time.
    pub(crate) slack: Millis,
    /// Most work that may be lost for it, in core-milliseconds; any amount if absent.
    pub(crate) loss: Option<u64>,
}

impl StepScheduler {
    /// The urgency of a step of `count` tasks.
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
        let (whole, rest) = chain(&entry.spec, number);
        let waited = cx.wall.since(entry.accepted);
        let objective = terms.allowance + Millis(whole.0 * terms.stretch / 1_000);
        let slack = objective.since(rest).since(waited);
        let own = work(&step.demand, step.estimate) * count as u64;
        let urgent = terms.priority == 0;
        let percent = if urgent { URGENT_LOSS } else { OTHER_LOSS };
        let unlimited = covered && waited >= COVERED_WAIT;
        let slack = match urgent || covered {
            true if unlimited => Millis::ZERO,
            true => Millis(rest.0 * URGENT_SLACK / 100).clamp(MIN_SLACK, MAX_SLACK),
            false => slack,
        };
        PreemptionBudget {
            slack,
            loss: (!unlimited).then_some(own * percent / 100),
        }
    }
}

/// Estimated time of the longest chain of steps of a job, and of the longest one from a step on.
fn chain(spec: &StepJob, from: u32) -> (Millis, Millis) {
    let mut rests = vec![Millis::ZERO; spec.steps.len()];
    for (number, step) in spec.steps.iter().enumerate().rev() {
        let later = spec.steps.iter().enumerate().skip(number + 1);
        let later = later.filter(|(_, later)| later.after.contains(&(number as u32)));
        let longest = later.map(|(later, _)| rests[later]).max().unwrap_or_default();
        rests[number] = step.estimate + longest;
    }
    let whole = rests.iter().copied().max().unwrap_or_default();
    (whole, rests.get(from as usize).copied().unwrap_or_default())
}
