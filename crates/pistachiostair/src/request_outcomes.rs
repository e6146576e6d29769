//! Outcomes of a supervisor's requests to one worker, as the scheduler is told of them; pure.

use crate::clock::Millis;

/// Silence after which a worker is reported as not answering. The failures of such a span are dropped: a worker that was dead is not an
/// outlier when it answers again.
pub(crate) const UNRESPONSIVE_AFTER: Millis = Millis(4_000);
/// Time after a failure during which outcomes are told. Those of workers without failures would only cost bytes.
const REPORT_WINDOW: Millis = Millis(10_000);
/// Outcomes that are kept until they are told; the oldest are dropped.
const MAX_OUTCOMES: usize = 64;

/// Kind of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// A poll for changes.
    Changes,
    /// A batch of commands.
    Commands,
}

/// Outcomes of the requests to one worker since they were last taken.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    outcomes: Vec<bool>,
    /// Failures since the last success, which may turn out to belong to a silence.
    failures: usize,
    heard: Option<Millis>,
    failed: Option<Millis>,
    /// Whether the last command failed. Polls that succeed meanwhile do not speak for the worker.
    refusing: bool,
}

impl RequestOutcomes {
    /// Counts an outcome. Failures count once the worker has answered again.
    pub fn count(&mut self, now: Millis, asked: WorkerRequest, success: bool) {
        let heard = *self.heard.get_or_insert(now);
        if asked == WorkerRequest::Commands {
            self.refusing = !success;
        }
        if !success {
            self.failures += 1;
            return;
        }
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 && now.since(heard) < UNRESPONSIVE_AFTER {
            self.outcomes
                .extend(std::iter::repeat_n(false, failures.min(MAX_OUTCOMES)));
            self.failed = Some(now);
        }
        if asked == WorkerRequest::Commands || !self.refusing {
            self.outcomes.push(true);
        }
        self.heard = Some(now);
        let excess = self.outcomes.len().saturating_sub(MAX_OUTCOMES);
        self.outcomes.drain(..excess);
    }

    /// Takes the outcomes to tell, oldest first; empty for a worker that had no failure lately.
    pub fn take(&mut self, now: Millis) -> Vec<bool> {
        let outcomes = std::mem::take(&mut self.outcomes);
        match self.failed {
            Some(at) if now.since(at) < REPORT_WINDOW => outcomes,
            _ => Vec::new(),
        }
    }
}
