//! Headroom: accelerators that long work has to leave free for short work.
//!
//! Short work gets as many as it used at its recent peak, up to a bound that the caller passes. The planner counts
//! started, ended and held jobs here and asks before it starts long work.

use crate::clock::Millis;

/// Length of a period of demand. The peaks of the current and the previous period count, which outlasts the gap between
/// two bursts of short work on a court day or at a fixing.
const DEMAND_PERIOD: Millis = Millis(600_000);

/// Accelerators used by long and by short work, and the recent peaks of short work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    long: u32,
    short: u32,
    /// Held for long jobs that wait.
    held: u32,
    /// Largest `short` in the current period.
    peak: u32,
    /// Largest `short` in the previous period.
    previous_peak: u32,
    period_start: Millis,
}

impl Headroom {
    /// Starts a new period if the current one has ended, which forgets the peak of the period before.
    pub(crate) fn advance(&mut self, now: Millis) {
        if now.since(self.period_start) >= DEMAND_PERIOD {
            self.previous_peak = std::mem::replace(&mut self.peak, self.short);
            self.period_start = now;
        }
    }

    /// Counts accelerators of a job that is placed.
    pub(crate) fn add(&mut self, long: bool, accelerators: u32) {
        if long {
            self.long += accelerators;
        } else {
            self.short += accelerators;
            self.peak = self.peak.max(self.short);
        }
    }

    /// Stops counting accelerators of work that ended.
    pub(crate) fn sub(&mut self, long: bool, accelerators: u32) {
        let used = if long { &mut self.long } else { &mut self.short };
        *used = used.saturating_sub(accelerators);
    }

    /// Counts accelerators of short work as used by long work from now on.
    pub(crate) fn reclassify_long(&mut self, accelerators: u32) {
        self.sub(false, accelerators);
        self.add(true, accelerators);
    }

    /// Adds accelerators to those held for long jobs that wait, or removes them.
    pub(crate) fn hold(&mut self, accelerators: u32, add: bool) {
        if add {
            self.held += accelerators;
        } else {
            self.held = self.held.saturating_sub(accelerators);
        }
    }

    /// Like [`Self::admits`] for a job without held workers: what is held for other long jobs counts as used.
    pub(crate) fn allows(&self, more: u32, total: u32, max_headroom: u32) -> bool {
        self.admits(self.held + more, total, max_headroom) || more > total.saturating_sub(max_headroom)
    }

    /// Whether long work may take `more` of `total` accelerators: it must leave free what short work used at its recent
    /// peak, up to `max_headroom`. A job that could never start under this rule is admitted.
    pub(crate) fn admits(&self, more: u32, total: u32, max_headroom: u32) -> bool {
        self.long + more <= self.cap(total, max_headroom) || more > total.saturating_sub(max_headroom)
    }

    /// Accelerators that long work uses beyond what it may take.
    pub(crate) fn excess(&self, total: u32, max_headroom: u32) -> u32 {
        self.long.saturating_sub(self.cap(total, max_headroom))
    }

    /// The most accelerators that long work may use.
    fn cap(&self, total: u32, max_headroom: u32) -> u32 {
        total.saturating_sub(max_headroom.min(self.peak.max(self.previous_peak)))
    }
}
