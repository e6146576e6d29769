//! Ejection of workers on which task after task fails, or which are slow.

use crate::clock::Millis;

/// Failures in a row, of any tasks, after which a worker takes no new work for a while. One failure is often the
/// task's own fault.
const FAILURES: u32 = 2;
/// First pause; doubled by each further failure without a success in between.
const PAUSE: Millis = Millis(4_000);
/// Pause after a run lagged behind; renewed while one does.
const LAG_PAUSE: Millis = Millis(3_000);
/// Longest pause.
const MAX_PAUSE: Millis = Millis(16_000);

/// Failures of tasks on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ejection {
    failures: u32,
    until: Millis,
    slow_until: Millis,
}

impl Ejection {
    /// Whether the worker takes no new work.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.until || now < self.slow_until
    }

    /// A task failed; whether that closes the worker.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.failures += 1;
        if self.failures < FAILURES {
            return false;
        }
        let doublings = (self.failures - FAILURES).min(8);
        self.until = now + Millis(PAUSE.0 << doublings).min(MAX_PAUSE);
        true
    }

    /// A run lags behind others elsewhere.
    pub(crate) fn record_straggler(&mut self, now: Millis) {
        self.slow_until = now + LAG_PAUSE;
    }

    /// A task ended well.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.until = Millis::ZERO;
    }
}
