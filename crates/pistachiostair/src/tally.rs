//! Outcomes of a supervisor's requests to one worker, as the scheduler is told of them; pure.

use crate::clock::Millis;

/// Silence after which a worker is reported as not answering. The failures of such a span are dropped: a worker that was dead is not an
/// outlier when it answers again.
pub(crate) const SILENCE: Millis = Millis(4_000);
/// Time after a failure during which outcomes are told. Those of workers without failures would only cost bytes.
const TOLD: Millis = Millis(10_000);
/// Outcomes that are kept until they are told; the oldest are dropped.
const KEPT: usize = 64;

/// Kind of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A poll for changes.
    Changes,
    /// A batch of commands.
    Commands,
}

/// Outcomes of the requests to one worker since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    outcomes: Vec<bool>,
    /// Failures since the last success, which may turn out to belong to a silence.
    failures: usize,
    heard: Option<Millis>,
    failed: Option<Millis>,
    /// Whether the last command failed. Polls that succeed meanwhile do not speak for the worker.
    refusing: bool,
}

impl Tally {
    /// Counts an outcome. Failures count once the worker has answered again.
    pub fn count(&mut self, now: Millis, asked: Asked, success: bool) {
        let heard = *self.heard.get_or_insert(now);
        if asked == Asked::Commands {
            self.refusing = !success;
        }
        if !success {
            self.failures += 1;
            return;
        }
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 && now.since(heard) < SILENCE {
            self.outcomes.extend(std::iter::repeat_n(false, failures.min(KEPT)));
            self.failed = Some(now);
        }
        if asked == Asked::Commands || !self.refusing {
            self.outcomes.push(true);
        }
        self.heard = Some(now);
        let excess = self.outcomes.len().saturating_sub(KEPT);
        self.outcomes.drain(..excess);
    }

    /// Takes the outcomes to tell, oldest first; empty for a worker that had no failure lately.
    pub fn take(&mut self, now: Millis) -> Vec<bool> {
        let outcomes = std::mem::take(&mut self.outcomes);
        match self.failed {
            Some(at) if now.since(at) < TOLD => outcomes,
            _ => Vec::new(),
        }
    }
}
