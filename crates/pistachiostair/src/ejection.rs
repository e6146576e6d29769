//! Ejection of upstreams that fail more than the others, for a time that grows, and never of more than a third.
//!
//! The supervisors observe, the scheduler decides. A supervisor sees the outcome of each request to its share of the
//! workers (`tally`), but its share is a handful of workers, of which a third can be none, and it may belong to
//! another daemon a second later. The scheduler places the work and knows every worker of the region, so that the cap
//! holds for the whole region. A new scheduler starts without ejections and learns of outliers from new outcomes.
//!
//! An ejected worker gets no new work; renewals, stops and checkpoints of its running work go on. After the span, empty
//! command batches probe it; it is readmitted after several successes in a row. A silent worker is not ejected: the
//! rule of silence covers it, and it must not use up the cap.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Failures in a row that eject an upstream.
const CONSECUTIVE: u32 = 5;
/// Failures in a row that eject it again after it came back, until it succeeded once.
const CONSECUTIVE_AGAIN: u32 = 2;
/// Span over which the failure rate counts.
const WINDOW: Millis = Millis(10_000);
/// Requests within the span below which a rate says nothing.
const MIN_REQUESTS: u64 = 20;
/// Failures in a hundred requests that eject an upstream.
const FAILURE_PERCENT: u64 = 50;
/// First and longest ejection; each further one is twice as long.
const EJECTION: (Millis, Millis) = (Millis(5_000), Millis(300_000));
/// Time in service after which a former ejection is forgotten.
const FORGIVENESS: Millis = Millis(300_000);
/// One of this many upstreams may be ejected at once. If more fail, the cause is hardly the upstreams.
const EJECTED_PART: usize = 3;
/// Successful probes in a row that readmit an upstream. One that fails most requests passes a single probe too often.
const PROBES: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Health {
    consecutive: u32,
    /// Start of the window, requests and failures in it.
    window: (Millis, u64, u64),
    ejections: u32,
    /// End of the current or last ejection.
    until: Option<Millis>,
    probation: bool,
    /// Whether it stays ejected until it passes its probes, and how many it passed.
    held: bool,
    passed: u32,
}

/// Ejects outliers among upstreams with keys of type `K`.
#[derive(Clone, Debug)]
pub struct Ejector<K> {
    upstreams: BTreeMap<K, Health>,
    probing: bool,
}

impl<K> Default for Ejector<K> {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
            probing: false,
        }
    }
}

impl<K: Ord + Clone> Ejector<K> {
    /// An ejector without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// An ejector whose upstreams return only after successful probes.
    pub fn probing() -> Self {
        Self {
            probing: true,
            ..Self::default()
        }
    }

    /// Sets the upstreams. Those that stay keep their history.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = K>) {
        let mut old = std::mem::take(&mut self.upstreams);
        let kept = upstreams.into_iter().map(|key| {
            let health = old.remove(&key).unwrap_or_default();
            (key, health)
        });
        self.upstreams = kept.collect();
    }

    /// Counts the outcome of a request. Returns the end of the ejection if this one ejects the upstream.
    pub fn record(&mut self, now: Millis, upstream: &K, success: bool) -> Option<Millis> {
        let room = self.ejected(now).len() < self.upstreams.len() / EJECTED_PART;
        let health = self.upstreams.get_mut(upstream)?;
        if health.is_ejected(now) {
            // The outcome of a request from before the ejection.
            return None;
        }
        health.count(now, success);
        if success || !room || !health.is_outlier() {
            return None;
        }
        Some(health.eject(now, self.probing))
    }

    /// Whether an upstream is ejected until it passes its probes.
    pub(crate) fn awaits_probes(&self, upstream: &K) -> bool {
        self.upstreams.get(upstream).is_some_and(|health| health.held)
    }

    /// Ejected upstreams whose span is over and that wait for a probe.
    pub fn due_probes(&self, now: Millis) -> Vec<&K> {
        let due = |health: &Health| health.held && health.until.is_none_or(|until| now >= until);
        let due = self.upstreams.iter().filter(|(_, health)| due(health));
        due.map(|(key, _)| key).collect()
    }

    /// Counts the outcome of a probe. Returns whether it readmits the upstream; a failed one ejects it for longer.
    pub fn record_probe(&mut self, now: Millis, upstream: &K, success: bool) -> bool {
        let Some(health) = self.upstreams.get_mut(upstream).filter(|health| health.held) else {
            return false;
        };
        if !success {
            health.eject(now, true);
            return false;
        }
        health.passed += 1;
        health.held = health.passed < PROBES;
        !health.held
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, now: Millis, upstream: &K) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|health| health.is_ejected(now))
    }

    /// The ejected upstreams.
    pub fn ejected(&self, now: Millis) -> Vec<&K> {
        let ejected = self.upstreams.iter().filter(|(_, health)| health.is_ejected(now));
        ejected.map(|(key, _)| key).collect()
    }
}

impl Health {
    fn is_ejected(&self, now: Millis) -> bool {
        self.held || self.until.is_some_and(|until| now < until)
    }

    fn count(&mut self, now: Millis, success: bool) {
        if now.since(self.window.0) >= WINDOW {
            self.window = (now, 0, 0);
        }
        self.window.1 += 1;
        if success {
            self.consecutive = 0;
            self.probation = false;
        } else {
            self.window.2 += 1;
            self.consecutive += 1;
        }
    }

    fn is_outlier(&self) -> bool {
        let (_, requests, failures) = self.window;
        let limit = if self.probation { CONSECUTIVE_AGAIN } else { CONSECUTIVE };
        self.consecutive >= limit || (requests >= MIN_REQUESTS && failures * 100 >= requests * FAILURE_PERCENT)
    }

    fn eject(&mut self, now: Millis, held: bool) -> Millis {
        if self.until.is_some_and(|until| now.since(until) >= FORGIVENESS) {
            self.ejections = 0;
        }
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let span = Millis(EJECTION.0.0.saturating_mul(factor)).min(EJECTION.1);
        let until = now + span;
        *self = Self {
            consecutive: 0,
            window: (until, 0, 0),
            ejections: (self.ejections + 1).min(32),
            until: Some(until),
            probation: true,
            held,
            passed: 0,
        };
        until
    }
}
