//! Retries: a budget that keeps them a small share of all requests, a pause that grows, and a circuit breaker.

use crate::clock::Millis;

/// Slots of recent requests that a budget remembers.
const BUDGET_SLOTS: usize = 10;
/// Span of each of these slots.
const BUDGET_SLOT: Millis = Millis(1_000);
/// Retries allowed for each hundred requests.
const RETRY_PERCENT: u64 = 10;
/// Retries allowed within the span without any request, so that rare requests can be retried at all.
const RETRY_FLOOR: u64 = 3;

/// Limits retries to a share of the requests of the last ten seconds, so that they can't multiply the load
/// on a peer that is already failing.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Requests and retries in each slot, by the slot's number modulo the length.
    slots: [(u64, u64); BUDGET_SLOTS],
    newest: u64,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).0 += 1;
    }

    /// Whether a retry is allowed; if so it is counted.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slot(now);
        let requests: u64 = self.slots.iter().map(|slot| slot.0).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.1).sum();
        let allowed = retries < RETRY_FLOOR.max(requests * RETRY_PERCENT / 100);
        if allowed {
            self.slot(now).1 += 1;
        }
        allowed
    }

    /// The slot of `now`, after older ones are cleared.
    fn slot(&mut self, now: Millis) -> &mut (u64, u64) {
        let number = now.0 / BUDGET_SLOT.0;
        let passed = number.saturating_sub(self.newest).min(BUDGET_SLOTS as u64);
        for step in 0..passed {
            self.slots[((number - step) % BUDGET_SLOTS as u64) as usize] = (0, 0);
        }
        self.newest = self.newest.max(number);
        &mut self.slots[(self.newest % BUDGET_SLOTS as u64) as usize]
    }
}

/// Pauses between attempts: exponential with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Millis,
    cap: Millis,
    attempt: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Pauses of up to `base`, doubled with each attempt, at most `cap`. Daemons pass different seeds, so
    /// that their retries don't arrive together.
    pub fn new(base: Millis, cap: Millis, seed: u64) -> Self {
        Self {
            base,
            cap,
            attempt: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The next pause: at least half of `base`, so that there is always one.
    pub fn pause(&mut self) -> Millis {
        let factor = 1_u64.checked_shl(self.attempt).unwrap_or(u64::MAX);
        let longest = self.base.0.saturating_mul(factor).min(self.cap.0);
        self.attempt = (self.attempt + 1).min(63);
        let least = (self.base.0 / 2).min(longest);
        Millis(self.rng.u64(least..=longest))
    }

    /// Starts anew after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Failures in a row that open a circuit breaker.
const BREAKER_FAILURES: u32 = 5;
/// Shortest and longest time for which it stays open. A longer one would delay urgent work, which starts
/// within 9.4 s, after the peer works again.
const BREAKER_OPEN: (Millis, Millis) = (Millis(500), Millis(2_000));
/// Time after which a probe without an outcome counts as failed: longer than a request to the platform takes.
const PROBE_TIMEOUT: Millis = Millis(3_000);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests pass.
    Closed,
    /// Requests are refused until the time given.
    Open {
        /// The end.
        until: Millis,
    },
    /// One request is on its way to find out whether the peer works again.
    HalfOpen {
        /// When it was let through.
        since: Millis,
    },
}

/// A request that a breaker let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct BreakerPermit(u64);

/// Refuses requests to a peer that fails, and lets one through from time to time.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: BreakerState,
    failures: u32,
    open: Millis,
    /// Counts changes of the state; outcomes of requests from before the last one say nothing about now.
    epoch: u64,
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// A closed breaker.
    pub fn new() -> Self {
        Self {
            state: BreakerState::Closed,
            failures: 0,
            open: BREAKER_OPEN.0,
            epoch: 0,
        }
    }

    /// Lets a request pass, or says after which time to try again.
    ///
    /// # Errors
    ///
    /// The time to wait, if the breaker is open or a probe is on its way.
    pub fn admit(&mut self, now: Millis) -> Result<BreakerPermit, Millis> {
        match self.state {
            BreakerState::Closed => return Ok(BreakerPermit(self.epoch)),
            BreakerState::Open { until } if now < until => return Err(until.since(now)),
            // A probe whose caller was cancelled must not keep the breaker half-open for ever.
            BreakerState::HalfOpen { since } if now.since(since) < PROBE_TIMEOUT => return Err(self.open),
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {}
        }
        self.change(BreakerState::HalfOpen { since: now });
        Ok(BreakerPermit(self.epoch))
    }

    /// Counts a response, of whatever content.
    pub fn record_success(&mut self, pass: BreakerPermit) {
        if pass.0 != self.epoch {
            return;
        }
        self.failures = 0;
        if matches!(self.state, BreakerState::HalfOpen { .. }) {
            self.open = BREAKER_OPEN.0;
            self.change(BreakerState::Closed);
        }
    }

    /// Counts a failure or timeout.
    pub fn record_failure(&mut self, now: Millis, pass: BreakerPermit) {
        if pass.0 != self.epoch {
            return;
        }
        match self.state {
            BreakerState::Closed => {
                self.failures += 1;
                if self.failures >= BREAKER_FAILURES {
                    self.change(BreakerState::Open { until: now + self.open });
                }
            }
            BreakerState::HalfOpen { .. } => {
                self.open = Millis(self.open.0 * 2).min(BREAKER_OPEN.1);
                self.change(BreakerState::Open { until: now + self.open });
            }
            BreakerState::Open { .. } => {}
        }
    }

    /// Takes note of a request that was given up without an outcome: the next one is the probe.
    pub fn record_abandoned(&mut self, now: Millis, pass: BreakerPermit) {
        if pass.0 == self.epoch && matches!(self.state, BreakerState::HalfOpen { .. }) {
            self.change(BreakerState::Open { until: now });
        }
    }

    /// The state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    fn change(&mut self, state: BreakerState) {
        self.state = state;
        self.failures = 0;
        self.epoch += 1;
    }
}
