//! Accelerators that long work leaves to short work.

use crate::clock::Millis;

/// Span over which the demand of short work is remembered: it outlasts the gap between two bursts
/// of a court day or of a fixing.
const DEMAND_PERIOD: Millis = Millis(600_000);

/// Accelerators in use by long and by short work, and the recent demand of short work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    long: u32,
    short: u32,
    /// Promised to long work that waits.
    held: u32,
    peak: u32,
    previous_peak: u32,
    period_start: Millis,
}

impl Headroom {
    /// Notes the time, so that old demand is forgotten.
    pub(crate) fn advance(&mut self, now: Millis) {
        if now.since(self.period_start) >= DEMAND_PERIOD {
            self.previous_peak = std::mem::replace(&mut self.peak, self.short);
            self.period_start = now;
        }
    }

    /// Counts accelerators of a job that starts.
    pub(crate) fn add(&mut self, long: bool, accelerators: u32) {
        if long {
            self.long += accelerators;
        } else {
            self.short += accelerators;
            self.peak = self.peak.max(self.short);
        }
    }

    /// Stops counting accelerators.
    pub(crate) fn sub(&mut self, long: bool, accelerators: u32) {
        let used = if long { &mut self.long } else { &mut self.short };
        *used = used.saturating_sub(accelerators);
    }

    /// Counts short work as long from now on.
    pub(crate) fn reclassify_long(&mut self, accelerators: u32) {
        self.sub(false, accelerators);
        self.add(true, accelerators);
    }

    /// Counts accelerators that are kept for long work, or stops counting them.
    pub(crate) fn hold(&mut self, accelerators: u32, add: bool) {
        if add {
            self.held += accelerators;
        } else {
            self.held = self.held.saturating_sub(accelerators);
        }
    }

    /// Whether long work may take `more` accelerators beside what is kept for other long work.
    pub(crate) fn allows(&self, more: u32, total: u32, most: u32) -> bool {
        self.admits(self.held + more, total, most) || more > total.saturating_sub(most)
    }

    /// Whether long work may take `more` accelerators: it leaves free what short work used at its
    /// recent peak, up to `most`. A job that could never start under this rule is let through.
    pub(crate) fn admits(&self, more: u32, total: u32, most: u32) -> bool {
        self.long + more <= self.cap(total, most) || more > total.saturating_sub(most)
    }

    /// Accelerators that long work holds beyond what it may take.
    pub(crate) fn excess(&self, total: u32, most: u32) -> u32 {
        self.long.saturating_sub(self.cap(total, most))
    }

    fn cap(&self, total: u32, most: u32) -> u32 {
        total.saturating_sub(most.min(self.peak.max(self.previous_peak)))
    }
}
