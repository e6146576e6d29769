//! Ejection of workers on which several tasks in a row fail, or which are slow: they take no new tasks for a while.

use crate::clock::Millis;

/// Number of failures in a row, of any tasks, after which a worker is ejected. A single failure is often caused by the
/// task itself.
const FAILURE_LIMIT: u32 = 2;
/// Duration of the first ejection for failures; each further failure without a success in between doubles it.
const FAILURE_EJECTION: Millis = Millis(4_000);
/// Duration of an ejection for a straggler; it starts again with each report that shows one.
const STRAGGLER_EJECTION: Millis = Millis(3_000);
/// Longest ejection for failures.
const MAX_EJECTION: Millis = Millis(16_000);

/// Ejection state of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ejection {
    /// Failures since the last success.
    failures: u32,
    /// End of the ejection for failures.
    until: Millis,
    /// End of the ejection for a straggler.
    slow_until: Millis,
}

impl Ejection {
    /// Whether the worker may not be given new tasks at present.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.until || now < self.slow_until
    }

    /// Records the failure of a task; returns whether it ejects the worker.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        if self.failures < FAILURE_LIMIT {
            return false;
        }
        let doublings = (self.failures - FAILURE_LIMIT).min(8);
        self.until = now + Millis(FAILURE_EJECTION.0 << doublings).min(MAX_EJECTION);
        true
    }

    /// Ejects the worker because a run there is much slower than others of its step elsewhere.
    pub(crate) fn record_straggler(&mut self, now: Millis) {
        self.slow_until = now + STRAGGLER_EJECTION;
    }

    /// Records a task's success, which ends an ejection for failures.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.until = Millis::ZERO;
    }
}
