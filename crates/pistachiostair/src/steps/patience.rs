//! How long a step goes on waiting although capacity for it is idle: for a better place, or since the capacity is kept for
//! another step.
//!
//! Such a wait trades time now for time later. A long-running task has no later, and a job of which nothing runs must not
//! wait for long beside a service that is mostly idle.

use crate::clock::Millis;
use crate::steps::capacity::FreeCapacity;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::JobEntry;
use crate::steps::queue::StepKey;
use crate::steps::spec::Step;

/// Longest such wait of a long-running task before its first start, and of a job of which nothing runs beside a service
/// that is mostly idle. The platform allows 3 s.
const MAX_IDLE_WAIT: Millis = Millis(2_000);

/// Time that a step may go on waiting although capacity for it is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Patience {
    /// At most for this time.
    Until(Millis),
    /// As long as that lets it end sooner, or lets a step end that goes first.
    Unlimited,
}

impl Patience {
    /// Whether the step may wait for something that comes after `wait`.
    pub(crate) fn allows(self, wait: Millis) -> bool {
        match self {
            Self::Until(left) => wait <= left,
            Self::Unlimited => true,
        }
    }

    /// Whether the step must not wait any more.
    pub(crate) fn is_over(self) -> bool {
        self == Self::Until(Millis::ZERO)
    }
}

impl StepScheduler {
    /// How long a waiting step may go on waiting although capacity for it is idle.
    pub(crate) fn patience(
        &self,
        cx: &Context<'_>,
        free: &FreeCapacity<'_>,
        entry: &JobEntry,
        (key, step): (StepKey, &Step),
    ) -> Patience {
        let Some(waiting) = self.waiting.get(&key) else {
            return Patience::Unlimited;
        };
        let left = MAX_IDLE_WAIT.since(cx.now.since(waiting.since));
        if step.long_running {
            let started = entry.step(key.1, key.2);
            let started = |index: &u32| started.is_some_and(|step| step.tasks.contains_key(index));
            // What was at work before is due at once.
            return match waiting.indices.iter().any(started) {
                true => Patience::Until(Millis::ZERO),
                false => Patience::Until(left),
            };
        }
        let runs = self.runs_of(key.0).next().is_some();
        match runs || free.is_busy(&self.terms(entry).service) {
            true => Patience::Unlimited,
            false => Patience::Until(left),
        }
    }
}
