//! Whether a job can still end within its latency objective, from its specification and the time that it has waited.
//!
//! The objective is the estimated duration of the critical path times the queue's stretch, plus the queue's allowance.

#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::steps::spec::{QueueSettings, StepJob};

/// Least duration of a task, in percent of its estimate: an estimate may be half as long again as the task takes.
const SHORTEST_PERCENT: u64 = 67;

/// What decides whether the job of a waiting step can still be in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timing {
    /// Time from the job's acceptance, or from the due time of its occurrence, within which it should end.
    pub(crate) objective: Millis,
    /// Estimated duration of the critical path that is left.
    pub(crate) remaining: Millis,
    /// Time since the acceptance or the due time.
    pub(crate) waited: Millis,
}

impl Timing {
    /// Whether the job can end within its objective if its step starts after `delay`.
    pub(crate) fn can_be_in_time(&self, delay: Millis) -> bool {
        self.waited + delay + self.shortest() <= self.objective
    }

    /// How much longer the step can wait if the estimates hold.
    pub(crate) fn slack(&self) -> Millis {
        self.objective.since(self.remaining).since(self.waited)
    }

    fn shortest(&self) -> Millis {
        Millis(self.remaining.0.saturating_mul(SHORTEST_PERCENT) / 100)
    }
}

/// Time within which a job should end.
pub(crate) fn objective(terms: &QueueSettings, critical_path: Millis) -> Millis {
    terms.allowance + Millis(critical_path.0.saturating_mul(terms.stretch) / 1_000)
}

/// Estimated duration of the longest chain of steps that begins with each step.
pub(crate) fn paths(spec: &StepJob) -> Vec<Millis> {
    let mut paths = vec![Millis::ZERO; spec.steps.len()];
    for (number, step) in spec.steps.iter().enumerate().rev() {
        paths[number] += step.estimate;
        for before in &step.after {
            if let Some(path) = (*before < number as u32).then(|| paths[number]) {
                let before = &mut paths[*before as usize];
                *before = path.max(*before);
            }
        }
    }
    paths
}
