//! Whether a job can still end within its latency objective, from its specification and the time that it has waited.
//!
//! The objective is the estimated duration of the critical path times the queue's stretch, plus the queue's allowance.

#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::steps::spec::{QueueSettings, StepJob};

/// Least duration of a task, in percent of its estimate: an estimate may be half as long again as the task takes.
const SHORTEST_PERCENT: u64 = 67;

/// Multiple of the objective up to which a late job is worth something to its caller.
const LATE_OBJECTIVES: u64 = 3;

/// Multiple of the objective after which a job that still waits is brought forward. It is far above [`LATE_OBJECTIVES`],
/// so that such jobs are few during a burst.
const OVERDUE_OBJECTIVES: u64 = 6;

/// How far a waiting step's job is from its objective, in the order in which steps are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It is brought forward, since it has waited for a multiple of its objective.
    Overdue,
    /// It can still end within its objective.
    InTime,
    /// It can still end within three times its objective.
    Late,
    /// It can't end within three times its objective any more.
    Expired,
}

/// What the outlook of a waiting step depends on. As long as the step waits, only `waited` changes, so that its outlook
/// never improves, except that it becomes overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Timing {
    /// Time from the job's acceptance, or from the due time of its occurrence, within which it should end.
    pub(crate) objective: Millis,
    /// Estimated duration of the critical path that is left.
    pub(crate) remaining: Millis,
    /// Time since the acceptance or the due time.
    pub(crate) waited: Millis,
    /// Whether the step runs until its job is cancelled.
    pub(crate) long_running: bool,
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

    /// The outlook at present. A long-running step has no end that could be late: it waits in line with the jobs that can
    /// be in time, and is brought forward once it has waited for its objective.
    pub(crate) fn outlook(&self) -> Outlook {
        let times = |factor: u64| Millis(self.objective.0.saturating_mul(factor));
        if self.long_running {
            return match self.waited > self.objective {
                true => Outlook::Overdue,
                false => Outlook::InTime,
            };
        }
        if self.can_be_in_time(Millis::ZERO) {
            Outlook::InTime
        } else if self.waited + self.shortest() <= times(LATE_OBJECTIVES) {
            Outlook::Late
        } else if self.waited <= times(OVERDUE_OBJECTIVES) {
            Outlook::Expired
        } else {
            Outlook::Overdue
        }
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
