//! Ejection of workers on which task after task fails.

use crate::clock::Millis;

/// Failures in a row, of any tasks, after which a worker takes no new work for a while. One failure is often the
/// task's own fault.
const FAILURES: u32 = 2;
/// First pause; doubled by each further failure without a success in between.
const PAUSE: Millis = Millis(4_000);
/// Longest pause.
const MAX_PAUSE: Millis = Millis(16_000);

/// Failures of tasks on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Guard {
    failures: u32,
    until: Millis,
}

impl Guard {
    /// Whether the worker takes no new work.
    pub(crate) fn is_closed(&self, now: Millis) -> bool {
        now < self.until
    }

    /// A task failed; whether that closes the worker.
    pub(crate) fn failed(&mut self, now: Millis) -> bool {
        self.failures += 1;
        if self.failures < FAILURES {
            return false;
        }
        let doublings = (self.failures - FAILURES).min(8);
        self.until = now + Millis(PAUSE.0 << doublings).min(MAX_PAUSE);
        true
    }

    /// A task ended well.
    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }
}
