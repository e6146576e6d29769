//! Ejection of upstreams that fail more than the others, for a time that grows, and never of more than a third.

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

#[derive(Debug, Default)]
struct Health {
    consecutive: u32,
    /// Start of the window, requests and failures in it.
    window: (Millis, u64, u64),
    ejections: u32,
    /// End of the current or last ejection.
    until: Option<Millis>,
    probation: bool,
}

/// Ejects outliers among upstreams with keys of type `K`.
#[derive(Debug)]
pub struct Ejector<K> {
    upstreams: BTreeMap<K, Health>,
}

impl<K> Default for Ejector<K> {
    fn default() -> Self {
        Self {
            upstreams: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Ejector<K> {
    /// An ejector without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the upstreams. Those that stay keep their history.
    pub fn set(&mut self, upstreams: impl IntoIterator<Item = K>) {
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
        Some(health.eject(now))
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
        self.until.is_some_and(|until| now < until)
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

    fn eject(&mut self, now: Millis) -> Millis {
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
        };
        until
    }
}
