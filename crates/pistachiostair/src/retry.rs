//! Limits on retries towards a failing peer: a retry budget, exponential backoff, and a circuit breaker.
//!
//! All three are plain state machines: callers pass the time and do the waiting.

use crate::clock::Millis;

/// Number of time slots over which a budget counts.
const BUDGET_SLOTS: usize = 10;
/// Length of each of these slots.
const BUDGET_SLOT: Millis = Millis(1_000);
/// Retries allowed per hundred first attempts.
const RETRY_PERCENT: u64 = 10;
/// Retries always allowed within the slots' whole span, so that infrequent requests can be retried at all.
const MIN_RETRIES: u64 = 3;

/// Limits retries to a share of the first attempts of the last ten seconds, so that they can't multiply the load on
/// a peer that is already failing.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// First attempts and retries in each slot, by the slot's number modulo the length.
    slots: [(u64, u64); BUDGET_SLOTS],
    /// Number of the latest slot used: time divided by the slots' length.
    newest: u64,
}

impl RetryBudget {
    /// Creates a budget that has counted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).0 += 1;
    }

    /// Returns whether a retry is allowed now, and counts it if so.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slot(now);
        let requests: u64 = self.slots.iter().map(|slot| slot.0).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.1).sum();
        let allowed = retries < MIN_RETRIES.max(requests * RETRY_PERCENT / 100);
        if allowed {
            self.slot(now).1 += 1;
        }
        allowed
    }

    /// Clears the slots that have expired at `now` and returns the current one. If the clock went back, that is the
    /// latest slot used.
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

/// Generator of the pauses between attempts: exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Millis,
    cap: Millis,
    /// Pauses returned since the start or the last reset; stays at 63.
    attempt: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff whose first pause is at most `base`. This bound doubles with each pause, up to `cap`. Daemons
    /// pass different seeds, so that their retries don't arrive together.
    pub fn new(base: Millis, cap: Millis, seed: u64) -> Self {
        Self {
            base,
            cap,
            attempt: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the next pause. It is at least half of `base`, or `cap` if that is less, so that an attempt never
    /// follows at once.
    pub fn pause(&mut self) -> Millis {
        let factor = 1_u64.checked_shl(self.attempt).unwrap_or(u64::MAX);
        let longest = self.base.0.saturating_mul(factor).min(self.cap.0);
        self.attempt = (self.attempt + 1).min(63);
        let least = (self.base.0 / 2).min(longest);
        Millis(self.rng.u64(least..=longest))
    }

    /// Starts again with the shortest pause. Called after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Consecutive failures that open a circuit breaker.
const BREAKER_FAILURES: u32 = 5;
/// Shortest and longest time for which a breaker stays open. A longer one would delay urgent work, which starts
/// within 9.4 s, once the peer works again.
const BREAKER_OPEN: (Millis, Millis) = (Millis(500), Millis(2_000));
/// Time after which a probe without an outcome no longer blocks the next one. Longer than a request to the platform
/// takes.
const PROBE_TIMEOUT: Millis = Millis(3_000);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// All requests are admitted.
    Closed,
    /// All requests are refused until a given time; the first one after it is the probe.
    Open {
        /// Time from which a probe is admitted.
        until: Millis,
    },
    /// One request, the probe, is in progress to find out whether the peer works again; others are refused.
    HalfOpen {
        /// Time at which the probe was admitted.
        since: Millis,
    },
}

/// A request that a breaker admitted. Its outcome is reported with the permit, which tells it from requests admitted
/// before the last change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct BreakerPermit(u64);

/// A circuit breaker: refuses requests to a failing peer, but admits one from time to time to probe it.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: BreakerState,
    /// Consecutive failures while closed.
    failures: u32,
    /// How long the breaker stays open next time. Doubles with each failed probe.
    open_time: Millis,
    /// Number of changes of `state`. Outcomes of requests admitted before the last change are ignored, since they say
    /// nothing about the peer's present state.
    epoch: u64,
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self {
            state: BreakerState::Closed,
            failures: 0,
            open_time: BREAKER_OPEN.0,
            epoch: 0,
        }
    }

    /// Admits a request. Once the breaker has been open for its time, the request is the probe.
    ///
    /// # Errors
    ///
    /// The time after which to try again, if the breaker is open or a probe is in progress.
    pub fn admit(&mut self, now: Millis) -> Result<BreakerPermit, Millis> {
        match self.state {
            BreakerState::Closed => return Ok(BreakerPermit(self.epoch)),
            BreakerState::Open { until } if now < until => return Err(until.since(now)),
            // A probe whose caller was cancelled must not keep the breaker half-open forever.
            BreakerState::HalfOpen { since } if now.since(since) < PROBE_TIMEOUT => return Err(self.open_time),
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => {}
        }
        self.change(BreakerState::HalfOpen { since: now });
        Ok(BreakerPermit(self.epoch))
    }

    /// Records that the peer responded, whatever the response says. A response to the probe closes the breaker.
    pub fn record_success(&mut self, pass: BreakerPermit) {
        if pass.0 != self.epoch {
            return;
        }
        self.failures = 0;
        if matches!(self.state, BreakerState::HalfOpen { .. }) {
            self.open_time = BREAKER_OPEN.0;
            self.change(BreakerState::Closed);
        }
    }

    /// Records a failure or timeout. Too many consecutive ones open the breaker; a failed probe opens it again, for
    /// twice the time up to a limit.
    pub fn record_failure(&mut self, now: Millis, pass: BreakerPermit) {
        if pass.0 != self.epoch {
            return;
        }
        match self.state {
            BreakerState::Closed => {
                self.failures += 1;
                if self.failures >= BREAKER_FAILURES {
                    self.change(BreakerState::Open {
                        until: now + self.open_time,
                    });
                }
            }
            BreakerState::HalfOpen { .. } => {
                self.open_time = Millis(self.open_time.0 * 2).min(BREAKER_OPEN.1);
                self.change(BreakerState::Open {
                    until: now + self.open_time,
                });
            }
            BreakerState::Open { .. } => {}
        }
    }

    /// Records a request that was dropped without an outcome. If it was the probe, the next request takes its place.
    pub fn record_abandoned(&mut self, now: Millis, pass: BreakerPermit) {
        if pass.0 == self.epoch && matches!(self.state, BreakerState::HalfOpen { .. }) {
            self.change(BreakerState::Open { until: now });
        }
    }

    /// The current state. It stays open after its time has passed, until the next request is admitted.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    fn change(&mut self, state: BreakerState) {
        self.state = state;
        self.failures = 0;
        self.epoch += 1;
    }
}
