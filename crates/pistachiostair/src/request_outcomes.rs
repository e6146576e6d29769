//! Recent outcomes of a supervisor's requests to one worker, which it reports to the scheduler's ejector. Contains no
//! I/O and reads no clock.

use crate::clock::Millis;

/// Time without an answer after which a worker is reported as unresponsive. Failures of such a span are not reported as
/// outcomes: a worker that was unresponsive is not an outlier when it answers again.
pub(crate) const UNRESPONSIVE_AFTER: Millis = Millis(4_000);
/// Time after a failure during which outcomes are reported. For a worker without failures they would only cost
/// bandwidth.
const REPORT_WINDOW: Millis = Millis(10_000);
/// Maximum number of outcomes that are kept until they are taken; the oldest are dropped.
const MAX_OUTCOMES: usize = 64;

/// Kind of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRequest {
    /// A poll for changes.
    Changes,
    /// A batch of commands.
    Commands,
}

/// Outcomes of the requests to one worker since they were last taken, at most 64.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    /// Outcomes that were not taken yet, oldest first; `true` is a success.
    outcomes: Vec<bool>,
    /// Failures since the last success. They are dropped if the worker turns out to have been unresponsive.
    pending_failures: usize,
    /// Time of the last success, or of the first outcome before any success.
    last_success: Option<Millis>,
    /// Time when failures were last added to `outcomes`.
    last_failure: Option<Millis>,
    /// Whether the last batch of commands failed. Polls that succeed meanwhile do not show that the worker is healthy.
    commands_failing: bool,
}

impl RequestOutcomes {
    /// Records the outcome of a request at time `now`. Failures are added once a request succeeds again, and dropped if
    /// the last success was 4 s or longer ago. A successful poll is left out while the last
    /// commands failed.
    pub fn record(&mut self, now: Millis, request: WorkerRequest, success: bool) {
        let last_success = *self.last_success.get_or_insert(now);
        if request == WorkerRequest::Commands {
            self.commands_failing = !success;
        }
        if !success {
            self.pending_failures += 1;
            return;
        }
        let failures = std::mem::take(&mut self.pending_failures);
        if failures > 0 && now.since(last_success) < UNRESPONSIVE_AFTER {
            self.outcomes
                .extend(std::iter::repeat_n(false, failures.min(MAX_OUTCOMES)));
            self.last_failure = Some(now);
        }
        if request == WorkerRequest::Commands || !self.commands_failing {
            self.outcomes.push(true);
        }
        self.last_success = Some(now);
        let excess = self.outcomes.len().saturating_sub(MAX_OUTCOMES);
        self.outcomes.drain(..excess);
    }

    /// Takes the outcomes since the last call, oldest first; `true` is a success. Empty if the worker had no failure
    /// within the last 10 s.
    pub fn take(&mut self, now: Millis) -> Vec<bool> {
        let outcomes = std::mem::take(&mut self.outcomes);
        match self.last_failure {
            Some(at) if now.since(at) < REPORT_WINDOW => outcomes,
            _ => Vec::new(),
        }
    }
}
