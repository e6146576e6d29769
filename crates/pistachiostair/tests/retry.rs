//! Retry budget, backoff and circuit breaker.

use pistachiostair::{Backoff, Breaker, BreakerState, Millis, RetryBudget};
use proptest::prelude::*;

/// Guards against retries that multiply the load of a failing peer.
#[test]
fn budget_over_share() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for number in 0..1_000 {
        budget.record_request(Millis(number));
        retries += u32::from(budget.try_retry(Millis(number)));
    }
    assert_eq!(retries, 100);
}

/// Guards against rare requests that are never retried, and against a floor that isn't one per span.
#[test]
fn budget_floor() {
    let mut budget = RetryBudget::new();
    budget.record_request(Millis(0));
    let granted = (0..10).filter(|_| budget.try_retry(Millis(5))).count();
    assert_eq!(granted, 3);
    assert!(!budget.try_retry(Millis(9_999)));
    assert!(budget.try_retry(Millis(10_000)));
}

/// Guards against load of long ago that still allows retries now, after any gap.
#[test]
fn budget_forgets() {
    for gap in [10_000, 10_001, 95_000, 1_000_000_000] {
        let mut budget = RetryBudget::new();
        (0..1_000).for_each(|_| budget.record_request(Millis(500)));
        let granted = (0..200).filter(|_| budget.try_retry(Millis(gap))).count();
        assert_eq!(granted, 3, "after {gap} ms");
    }
}

proptest! {
    /// Guards against pauses of zero, beyond the cap, or that overflow after many attempts.
    #[test]
    fn backoff_bounds(base in 2_u64..5_000, cap in 1_u64..60_000, seed: u64) {
        let mut backoff = Backoff::new(Millis(base), Millis(cap), seed);
        for attempt in 0..100_u32 {
            let pause = backoff.pause().0;
            let longest = base.saturating_mul(1 << attempt.min(40)).min(cap);
            prop_assert!(pause >= 1 && pause <= longest, "attempt {}: {} ms", attempt, pause);
        }
        backoff.reset();
        prop_assert!(backoff.pause().0 <= base);
    }
}

/// Guards against daemons whose retries arrive together.
#[test]
fn backoff_seeds_differ() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(Millis(100), Millis(10_000), seed);
        (0..6).map(|_| backoff.pause()).collect::<Vec<_>>()
    };
    assert_eq!(pauses(1), pauses(1));
    assert_ne!(pauses(1), pauses(2));
}

/// Fails requests until the breaker opens, and returns the time of the last one.
fn open(breaker: &mut Breaker) -> Millis {
    for number in 0..5 {
        let pass = breaker.admit(Millis(number)).unwrap();
        breaker.record_failure(Millis(number), pass);
    }
    assert_eq!(breaker.state(), BreakerState::Open { until: Millis(504) });
    Millis(504)
}

/// Guards against a breaker that opens because of failures that successes interrupt.
#[test]
fn breaker_failures_in_row() {
    let mut breaker = Breaker::new();
    for number in 0..100 {
        let pass = breaker.admit(Millis(number)).unwrap();
        if number % 5 == 4 {
            breaker.record_success(pass);
        } else {
            breaker.record_failure(Millis(number), pass);
        }
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against a peer that gets all requests again at once, before a single one has succeeded.
#[test]
fn breaker_one_probe() {
    let mut breaker = Breaker::new();
    let until = open(&mut breaker);
    assert_eq!(breaker.admit(Millis(404)), Err(Millis(100)));
    let probe = breaker.admit(until).unwrap();
    assert!((0..10).all(|_| breaker.admit(until).is_err()));
    breaker.record_success(probe);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against a peer that stays down for long and is probed at the same pace, or never again.
#[test]
fn breaker_open_grows() {
    let mut breaker = Breaker::new();
    let mut now = open(&mut breaker);
    let mut spans = Vec::new();
    for _ in 0..6 {
        let probe = breaker.admit(now).unwrap();
        breaker.record_failure(now, probe);
        let wait = breaker.admit(now).unwrap_err();
        spans.push(wait.0);
        now += wait;
    }
    assert_eq!(spans, [1_000, 2_000, 2_000, 2_000, 2_000, 2_000]);
}

/// Guards against a breaker that stays half-open because the probe was dropped: after an outage of
/// 17 s the scheduler did not renew its lease for another 48 s.
#[test]
fn breaker_abandoned_probe() {
    let mut breaker = Breaker::new();
    let until = open(&mut breaker);
    let probe = breaker.admit(until).unwrap();
    breaker.record_abandoned(until, probe);
    let next = breaker.admit(until).unwrap();
    breaker.record_success(next);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against late outcomes of requests from before the breaker opened, taken for the probe's.
#[test]
fn breaker_late_outcome() {
    let mut breaker = Breaker::new();
    let early = breaker.admit(Millis(0)).unwrap();
    let until = open(&mut breaker);
    breaker.record_success(early);
    assert!(breaker.admit(Millis(10)).is_err());
    let _probe = breaker.admit(until).unwrap();
    breaker.record_success(early);
    breaker.record_failure(until, early);
    assert_eq!(breaker.state(), BreakerState::HalfOpen { since: until });
}

/// Guards against a breaker that stays half-open for ever after its probe was cancelled.
#[test]
fn breaker_lost_probe() {
    let mut breaker = Breaker::new();
    let until = open(&mut breaker);
    let _lost = breaker.admit(until).unwrap();
    assert!(breaker.admit(until + Millis(2_999)).is_err());
    assert!(breaker.admit(until + Millis(3_000)).is_ok());
}
