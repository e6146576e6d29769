//! Limits on retries: retry budget, backoff and circuit breaker.

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

/// Guards against infrequent requests that are never retried, and against a minimum of retries that is granted more
/// than once in ten seconds.
#[test]
fn budget_floor() {
    let mut budget = RetryBudget::new();
    budget.record_request(Millis(0));
    let granted = (0..10).filter(|_| budget.try_retry(Millis(5))).count();
    assert_eq!(granted, 3);
    assert!(!budget.try_retry(Millis(9_999)));
    assert!(budget.try_retry(Millis(10_000)));
}

/// Guards against requests of more than ten seconds ago that still allow retries, after gaps of any length.
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
    /// Guards against pauses that are zero, exceed the cap, or overflow after many attempts.
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

/// Guards against daemons that retry at the same times: different seeds must give different pauses.
#[test]
fn backoff_seeds_differ() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(Millis(100), Millis(10_000), seed);
        (0..6).map(|_| backoff.pause()).collect::<Vec<_>>()
    };
    assert_eq!(pauses(1), pauses(1));
    assert_ne!(pauses(1), pauses(2));
}

/// Fails requests until the breaker opens, and returns the time until which it stays open.
fn open_breaker(breaker: &mut Breaker) -> Millis {
    for number in 0..5 {
        let permit = breaker.admit(Millis(number)).unwrap();
        breaker.record_failure(Millis(number), permit);
    }
    assert_eq!(breaker.state(), BreakerState::Open { until: Millis(504) });
    Millis(504)
}

/// Guards against a breaker that opens on failures that are not consecutive.
#[test]
fn breaker_failures_in_row() {
    let mut breaker = Breaker::new();
    for number in 0..100 {
        let permit = breaker.admit(Millis(number)).unwrap();
        if number % 5 == 4 {
            breaker.record_success(permit);
        } else {
            breaker.record_failure(Millis(number), permit);
        }
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against all requests being admitted again once the breaker's time has passed, before the probe has succeeded.
#[test]
fn breaker_one_probe() {
    let mut breaker = Breaker::new();
    let until = open_breaker(&mut breaker);
    assert_eq!(breaker.admit(Millis(404)), Err(Millis(100)));
    let probe = breaker.admit(until).unwrap();
    assert!((0..10).all(|_| breaker.admit(until).is_err()));
    breaker.record_success(probe);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against a peer that stays down being probed at a constant interval, or at one that grows without bound.
#[test]
fn breaker_open_grows() {
    let mut breaker = Breaker::new();
    let mut now = open_breaker(&mut breaker);
    let mut open_times = Vec::new();
    for _ in 0..6 {
        let probe = breaker.admit(now).unwrap();
        breaker.record_failure(now, probe);
        let wait = breaker.admit(now).unwrap_err();
        open_times.push(wait.0);
        now += wait;
    }
    assert_eq!(open_times, [1_000, 2_000, 2_000, 2_000, 2_000, 2_000]);
}

/// Guards against a breaker that stays half-open because its probe was dropped without an outcome. After an outage of
/// 17 s, the scheduler then did not renew its lease for another 48 s.
#[test]
fn breaker_abandoned_probe() {
    let mut breaker = Breaker::new();
    let until = open_breaker(&mut breaker);
    let probe = breaker.admit(until).unwrap();
    breaker.record_abandoned(until, probe);
    let next = breaker.admit(until).unwrap();
    breaker.record_success(next);
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against the late outcome of a request admitted before the breaker opened being taken for the probe's.
#[test]
fn breaker_late_outcome() {
    let mut breaker = Breaker::new();
    let old_permit = breaker.admit(Millis(0)).unwrap();
    let until = open_breaker(&mut breaker);
    breaker.record_success(old_permit);
    assert!(breaker.admit(Millis(10)).is_err());
    let _probe = breaker.admit(until).unwrap();
    breaker.record_success(old_permit);
    breaker.record_failure(until, old_permit);
    assert_eq!(breaker.state(), BreakerState::HalfOpen { since: until });
}

/// Guards against a breaker that stays half-open forever because its probe never reports an outcome.
#[test]
fn breaker_lost_probe() {
    let mut breaker = Breaker::new();
    let until = open_breaker(&mut breaker);
    let _probe = breaker.admit(until).unwrap();
    assert!(breaker.admit(until + Millis(2_999)).is_err());
    assert!(breaker.admit(until + Millis(3_000)).is_ok());
}
