//! Tests of outlier detection.

use pistachiostair::{Ejector, Millis};
use proptest::prelude::*;

fn ejector(count: u32) -> Ejector<u32> {
    let mut ejector = Ejector::new();
    ejector.set_upstreams(0..count);
    ejector
}

/// Records failures of an upstream until it is ejected, at most 100. Returns their number and the end of the ejection
/// time, or `None` if it was not ejected.
fn fail(ejector: &mut Ejector<u32>, now: Millis, upstream: u32) -> Option<(u32, Millis)> {
    (1..=100).find_map(|number| Some((number, ejector.record(now, &upstream, false)?)))
}

/// Guards against an upstream that fails every request and is not ejected.
#[test]
fn record_consecutive() {
    let mut ejector = ejector(9);
    assert_eq!(fail(&mut ejector, Millis(100), 3), Some((5, Millis(5_100))));
    assert!(ejector.is_ejected(Millis(5_099), &3));
    assert!(!ejector.is_ejected(Millis(5_100), &3));
}

/// Guards against an upstream that fails half of its requests, but never five in a row, and is not ejected.
#[test]
fn record_failure_rate() {
    let mut ejector = ejector(9);
    let outcome = |number: u64, ejector: &mut Ejector<u32>| ejector.record(Millis(number), &3, number % 2 == 1);
    let ejected = (0..100).find(|&number| outcome(number, &mut ejector).is_some());
    assert_eq!(ejected, Some(20));
}

/// Guards against a healthy upstream that is ejected because of few or old failures.
#[test]
fn record_few_failures() {
    let mut ejector = ejector(9);
    for number in 0..2_000 {
        // One failure in three, then a single one every 11 s.
        assert_eq!(ejector.record(Millis(number * 10), &3, number % 3 > 0), None);
        assert_eq!(ejector.record(Millis(number * 11_000), &4, number % 3 > 0), None);
    }
}

/// Guards against the loss of most capacity when the upstreams are not the cause: at most a third is ejected.
#[test]
fn record_all_fail() {
    for count in 0..20 {
        let mut ejector = ejector(count);
        let ejected = (0..count)
            .filter_map(|upstream| fail(&mut ejector, Millis(0), upstream))
            .count();
        assert_eq!(
            (ejected, ejector.ejected(Millis(1)).len()),
            (count as usize / 3, count as usize / 3)
        );
    }
}

/// Guards against ejection times that do not grow for a broken upstream, that grow without limit, or that never reset.
#[test]
fn record_growing_time() {
    let mut ejector = ejector(9);
    let mut now = Millis(0);
    let mut spans = Vec::new();
    for _ in 0..8 {
        let (_, until) = fail(&mut ejector, now, 3).unwrap();
        spans.push(until.since(now).0 / 1_000);
        now = until;
    }
    assert_eq!(spans, [5, 10, 20, 40, 80, 160, 300, 300]);
    now += Millis(300_000);
    ejector.record(now, &3, true);
    assert_eq!(fail(&mut ejector, now, 3), Some((5, now + Millis(5_000))));
}

/// Guards against a returned upstream that may fail as many requests as before, and against a success that does not end
/// its probation.
#[test]
fn record_after_return() {
    let mut ejector = ejector(9);
    let (_, until) = fail(&mut ejector, Millis(0), 3).unwrap();
    assert_eq!(fail(&mut ejector, until, 3).unwrap().0, 2);
    let (_, until) = fail(&mut ejector, Millis(0), 4).unwrap();
    ejector.record(until, &4, true);
    assert_eq!(fail(&mut ejector, until, 4).unwrap().0, 5);
}

/// Guards against late outcomes of requests from before the ejection that prolong it or end it.
#[test]
fn record_late_outcome() {
    let mut ejector = ejector(9);
    let (_, until) = fail(&mut ejector, Millis(0), 3).unwrap();
    assert_eq!(fail(&mut ejector, Millis(10), 3), None);
    ejector.record(Millis(20), &3, true);
    assert!(ejector.is_ejected(Millis(21), &3));
    assert_eq!(fail(&mut ejector, until, 3).unwrap().0, 2);
}

proptest! {
    /// Guards against more than a third ejected, after any sequence of outcomes.
    #[test]
    fn record_any_order(steps in proptest::collection::vec((0_u64..3_000, 0_u32..12, any::<bool>()), 0..500)) {
        let mut ejector = ejector(12);
        let mut now = Millis(0);
        for (span, upstream, success) in steps {
            now += Millis(span);
            ejector.record(now, &upstream, success);
            prop_assert!(ejector.ejected(now).len() <= 4);
        }
    }
}

/// Guards against an upstream that fails most requests and is readmitted after a single success, one that returns after
/// the ejection time without probes, and a cap that does not count upstreams that await probes.
#[test]
fn probe_readmits() {
    let mut ejector = Ejector::probing();
    ejector.set_upstreams(0..6);
    let (_, until) = fail(&mut ejector, Millis(0), 3).unwrap();
    assert!(ejector.due_probes(Millis(until.0 - 1)).is_empty());
    assert_eq!(ejector.due_probes(until), [&3]);
    fail(&mut ejector, until, 1).unwrap();
    assert_eq!(fail(&mut ejector, until, 2), None, "a third of 6 are ejected already");
    assert!(!ejector.record_probe(until, &3, true) && !ejector.record_probe(until, &3, true));
    assert!(
        !ejector.record_probe(until, &3, false),
        "the failure counts as a success"
    );
    let again = until + Millis(10_000);
    assert!(
        ejector
            .due_probes(Millis(again.0 - 1))
            .iter()
            .all(|upstream| **upstream != 3)
    );
    let passed: Vec<bool> = (0..3).map(|_| ejector.record_probe(again, &3, true)).collect();
    assert_eq!(passed, [false, false, true]);
    assert!(!ejector.is_ejected(again, &3));
    assert!(!ejector.record_probe(again, &3, false), "a late probe ejects it");
    assert!(!ejector.is_ejected(again, &3));
    assert_eq!(fail(&mut ejector, again, 3).unwrap().0, 2);
}
