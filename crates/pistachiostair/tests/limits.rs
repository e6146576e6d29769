//! Admission of requests: rate, work in progress, fair shares of the total, bounded number of accounts.

use pistachiostair::{
    AccountLimits, AccountName, Admission, ErrorKind, Failure, MAX_ACCOUNTS, Millis, Permit, Ran, Refusal,
    RefusalReason,
};
use proptest::prelude::*;

/// Limits that no test reaches.
const UNLIMITED: AccountLimits = AccountLimits {
    rate: 1_000_000,
    outstanding: 1_000_000,
    weight: 1,
};

fn account(name: impl Into<String>) -> AccountName {
    AccountName::from(name.into())
}

/// Admits requests of cost 1 until one is refused. Returns the permits and the refusal.
fn fill(admission: &mut Admission, now: u64, name: &str) -> (Vec<Permit>, Refusal) {
    let mut permits = Vec::new();
    loop {
        match admission.admit(Millis(now), &account(name), 1) {
            Ok(permit) => permits.push(permit),
            Err(refusal) => return (permits, refusal),
        }
    }
}

/// Creates an admission in which the accounts have their own weights and are otherwise unlimited.
fn with_weights(total: u32, accounts: &[(&str, u32)]) -> Admission {
    let mut admission = Admission::new(total, UNLIMITED);
    for (name, weight) in accounts {
        let limits = AccountLimits {
            weight: *weight,
            ..UNLIMITED
        };
        admission.set_limits(Millis(0), &account(*name), Some(limits));
    }
    admission
}

/// Guards against admitting more requests per second than the rate, and against a retry time that is too early or too
/// late.
#[test]
fn admit_over_rate() {
    let limits = AccountLimits { rate: 50, ..UNLIMITED };
    let mut admission = Admission::new(1_000, limits);
    let (permits, refusal) = fill(&mut admission, 0, "a");
    assert_eq!(permits.len(), 50);
    assert_eq!((refusal.reason, refusal.retry), (RefusalReason::Rate, Millis(20)));
    assert!(admission.admit(Millis(19), &account("a"), 1).is_err());
    let _permit = admission.admit(Millis(20), &account("a"), 1).unwrap();
    let mut admitted = 0;
    for now in 21..10_020 {
        admitted += u32::from(admission.admit(Millis(now), &account("a"), 1).is_ok());
    }
    assert_eq!(admitted, 499);
}

/// Guards against a cost above the bucket's capacity being refused forever, and against being admitted again before
/// time has passed.
#[test]
fn admit_cost_above_burst() {
    let limits = AccountLimits { rate: 5, ..UNLIMITED };
    let mut admission = Admission::new(1_000, limits);
    let _permit = admission.admit(Millis(0), &account("a"), 100).unwrap();
    let refusal = admission.admit(Millis(0), &account("a"), 100).unwrap_err();
    assert_eq!(refusal.retry, Millis(1_000));
    assert!(admission.admit(refusal.retry, &account("a"), 100).is_ok());
}

/// Guards against an account's work in progress growing without bound, and against released cost that stays counted.
#[test]
fn admit_over_outstanding() {
    let limits = AccountLimits {
        outstanding: 10,
        ..UNLIMITED
    };
    let mut admission = Admission::new(1_000, limits);
    let (mut permits, refusal) = fill(&mut admission, 0, "a");
    assert_eq!((permits.len(), refusal.reason), (10, RefusalReason::Outstanding));
    admission.release(permits.pop().unwrap());
    assert!(admission.admit(Millis(0), &account("a"), 2).is_err());
    assert!(admission.admit(Millis(0), &account("a"), 1).is_ok());
}

/// Guards against a refusal that callers can't act on: one with the wrong kind, that does not say that nothing ran, or
/// without a retry time.
#[test]
fn refusal_failure() {
    let mut admission = Admission::new(1, UNLIMITED);
    let (_permits, refusal) = fill(&mut admission, 0, "a");
    let failure = Failure::from(&refusal);
    assert_eq!((failure.kind, failure.ran), (ErrorKind::Limited, Ran::No));
    assert!(failure.retry.is_some_and(|retry| retry > 0));
}

/// Guards against one account using up the total, so that others get nothing of their shares.
#[test]
fn admit_fair_part() {
    let mut admission = with_weights(100, &[("a", 1), ("b", 1), ("c", 3)]);
    let (greedy, refusal) = fill(&mut admission, 0, "a");
    assert_eq!((greedy.len(), refusal.reason), (60, RefusalReason::Total));
    assert_eq!(fill(&mut admission, 0, "b").0.len(), 10);
    assert_eq!(fill(&mut admission, 0, "c").0.len(), 30);
    assert_eq!(admission.used(), 100);
    assert!(admission.admit(Millis(0), &account("d"), 1).is_err());
}

/// Guards against the account with the most requests taking the whole pool: cost released while the pool is nearly used
/// up goes first to accounts that have less of it.
#[test]
fn admit_common_half() {
    let mut admission = with_weights(100, &[("a", 1), ("b", 1)]);
    let (mut greedy, _) = fill(&mut admission, 0, "a");
    assert_eq!(greedy.len(), 75);
    let mut other = 0;
    for _ in 0..75 {
        if let Some(permit) = greedy.pop() {
            admission.release(permit);
        }
        // The greedy account sends its request first each time.
        greedy.extend(admission.admit(Millis(0), &account("a"), 1));
        other += usize::from(admission.admit(Millis(0), &account("b"), 1).is_ok());
    }
    assert_eq!((greedy.len(), other), (50, 50));
}

/// Guards against memory that grows with each new account name, and against dropping accounts in use.
#[test]
fn admit_many_accounts() {
    let mut admission = with_weights(10_000, &[("named", 1)]);
    let permit = admission.admit(Millis(0), &account("busy"), 1).unwrap();
    for number in 0..5 * MAX_ACCOUNTS {
        if let Ok(permit) = admission.admit(Millis(number as u64), &account(number.to_string()), 1) {
            admission.release(permit);
        }
        assert!(admission.tracked_accounts() <= MAX_ACCOUNTS);
    }
    admission.release(permit);
    assert_eq!(admission.used(), 0);
    let refused =
        (0..MAX_ACCOUNTS + 9).filter(|n| admission.admit(Millis(9_000), &account(format!("x{n}")), 1).is_err());
    assert!(refused.count() >= 9);
}

proptest! {
    /// Guards against a sequence of requests and releases that exceeds the total, leaves released cost counted, or
    /// refuses an account with limits of its own within its share of the reserved half.
    #[test]
    fn admit_any_order(steps in proptest::collection::vec((0_usize..4, 1_u32..4, any::<bool>()), 0..400)) {
        let weights = [1_u32, 2, 3, 4];
        let names = ["a", "b", "c", "d"];
        let accounts: Vec<_> = names.into_iter().zip(weights).collect();
        let mut admission = with_weights(80, &accounts);
        let mut held: Vec<Vec<(Permit, u32)>> = (0..4).map(|_| Vec::new()).collect();
        for (index, cost, release) in steps {
            let used: u32 = held[index].iter().map(|(_, cost)| cost).sum();
            if release {
                if let Some((permit, _)) = held[index].pop() {
                    admission.release(permit);
                }
                continue;
            }
            let share = 40 * weights[index] / 10;
            match admission.admit(Millis(0), &account(names[index]), cost) {
                Ok(permit) => held[index].push((permit, cost)),
                Err(refusal) => prop_assert!(used + cost > share, "{:?} with {} of {}", refusal, used, share),
            }
            let total: u32 = held.iter().flatten().map(|(_, cost)| cost).sum();
            prop_assert!(total <= 80);
            prop_assert_eq!(admission.used(), u64::from(total));
        }
    }
}
