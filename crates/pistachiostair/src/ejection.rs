//! Outlier detection: ejects upstreams that fail requests, for a time that doubles with each ejection, and never more
//! than a third of them at once.
//!
//! Supervisors observe the outcomes of requests (`request_outcomes`), and the scheduler ejects workers. A supervisor
//! could not apply the cap: it sees only the few workers assigned to it, a third of which can be less than one, and
//! they may be assigned to another daemon a second later. The scheduler places the work and knows every worker of the
//! region, so that the cap holds for the whole region. A new scheduler starts without ejections and detects outliers
//! from new outcomes.
//!
//! An ejected worker gets no new work; renewals, stops and checkpoints of its running work go on. After the ejection
//! time, empty command batches probe it, and several successes in a row readmit it. An unresponsive worker is not
//! ejected: it gets no new work in any case, and it must not use up the cap.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Failures in a row that eject an upstream.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Failures in a row that eject a returned upstream again, until its first success.
const PROBATION_FAILURES: u32 = 2;
/// Length of the window over which the failure rate is measured.
const WINDOW: Millis = Millis(10_000);
/// Requests in the window below which the failure rate is not considered.
const MIN_REQUESTS: u64 = 20;
/// Failure rate in percent that ejects an upstream.
const FAILURE_PERCENT: u64 = 50;
/// First and longest ejection time; each further ejection lasts twice as long as the one before.
const EJECTION_TIMES: (Millis, Millis) = (Millis(5_000), Millis(300_000));
/// Time in service after which earlier ejections no longer lengthen the next one.
const EJECTIONS_RESET: Millis = Millis(300_000);
/// One in this many upstreams may be ejected at once. If more fail, the upstreams are hardly the cause.
const EJECTION_CAP: usize = 3;
/// Successful probes in a row that readmit an upstream. An upstream that fails most requests passes a single probe too
/// often.
const REQUIRED_PROBES: u32 = 3;

/// Request history of one upstream.
#[derive(Clone, Debug, Default)]
struct Health {
    /// Failures since the last success.
    consecutive: u32,
    /// Start of the window, requests in it, failures in it.
    window: (Millis, u64, u64),
    /// Ejections since the last reset.
    ejections: u32,
    /// End of the current or last ejection time; `None` if it was never ejected.
    until: Option<Millis>,
    /// It was ejected and has not succeeded since.
    probation: bool,
    /// It stays ejected until it passes its probes.
    awaiting_probes: bool,
    /// Probes passed in a row.
    probes_passed: u32,
}

/// Ejects outliers among upstreams, which are identified by keys of type `K`.
#[derive(Clone, Debug)]
pub struct Ejector<K> {
    upstreams: BTreeMap<K, Health>,
    /// Whether ejected upstreams return only after successful probes.
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
    /// An ejector without upstreams, whose upstreams return as soon as the ejection time is over.
    pub fn new() -> Self {
        Self::default()
    }

    /// An ejector without upstreams, whose upstreams return only after successful probes.
    pub fn probing() -> Self {
        Self {
            probing: true,
            ..Self::default()
        }
    }

    /// Replaces the set of upstreams. Those that stay keep their history; the history of the others is dropped.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = K>) {
        let mut old = std::mem::take(&mut self.upstreams);
        let kept = upstreams.into_iter().map(|key| {
            let health = old.remove(&key).unwrap_or_default();
            (key, health)
        });
        self.upstreams = kept.collect();
    }

    /// Records the outcome of a request. Returns the end of the ejection time if this outcome ejects the upstream.
    /// Ignores unknown upstreams and those that are ejected already.
    pub fn record(&mut self, now: Millis, upstream: &K, success: bool) -> Option<Millis> {
        let room = self.ejected(now).len() < self.upstreams.len() / EJECTION_CAP;
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

    /// Whether an upstream stays ejected until it passes its probes, also before its ejection time is over.
    pub(crate) fn awaits_probes(&self, upstream: &K) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|health| health.awaiting_probes)
    }

    /// Ejected upstreams whose ejection time is over and that must be probed.
    pub fn due_probes(&self, now: Millis) -> Vec<&K> {
        let due = |health: &Health| health.awaiting_probes && health.until.is_none_or(|until| now >= until);
        let due = self.upstreams.iter().filter(|(_, health)| due(health));
        due.map(|(key, _)| key).collect()
    }

    /// Records the outcome of a probe. Returns whether it readmits the upstream; a failed probe ejects it again for
    /// longer. Does nothing for an upstream that awaits no probes.
    pub fn record_probe(&mut self, now: Millis, upstream: &K, success: bool) -> bool {
        let Some(health) = self.upstreams.get_mut(upstream).filter(|health| health.awaiting_probes) else {
            return false;
        };
        if !success {
            health.eject(now, true);
            return false;
        }
        health.probes_passed += 1;
        health.awaiting_probes = health.probes_passed < REQUIRED_PROBES;
        !health.awaiting_probes
    }

    /// Whether an upstream is ejected; false for an unknown one.
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
        self.awaiting_probes || self.until.is_some_and(|until| now < until)
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
        let limit = if self.probation {
            PROBATION_FAILURES
        } else {
            CONSECUTIVE_FAILURES
        };
        self.consecutive >= limit || (requests >= MIN_REQUESTS && failures * 100 >= requests * FAILURE_PERCENT)
    }

    /// Ejects the upstream and returns the end of the ejection time.
    fn eject(&mut self, now: Millis, awaiting_probes: bool) -> Millis {
        if self.until.is_some_and(|until| now.since(until) >= EJECTIONS_RESET) {
            self.ejections = 0;
        }
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let span = Millis(EJECTION_TIMES.0.0.saturating_mul(factor)).min(EJECTION_TIMES.1);
        let until = now + span;
        *self = Self {
            consecutive: 0,
            window: (until, 0, 0),
            ejections: (self.ejections + 1).min(32),
            until: Some(until),
            probation: true,
            awaiting_probes,
            probes_passed: 0,
        };
        until
    }
}
