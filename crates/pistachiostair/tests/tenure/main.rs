//! Leader election under lost answers, delays, pauses and outages. Guards against two daemons that act as the
//! scheduler of one region at the same time, or under the same term.

mod rank;
mod region;

use std::collections::BTreeMap;

use pistachiostair::{Election, ElectionAction, ElectionEvent, ElectionTimes, Incarnation, Millis, Row, Term};
use proptest::prelude::*;
use rstest::rstest;

use crate::region::Region;

/// Guards against a slow takeover: another daemon must be the scheduler within a ttl, a poll and a few round trips
/// after a crash, and at its next poll after a resignation. A daemon that resigned must not act any more.
#[rstest]
#[case::crash(false, 5_200)]
#[case::resign(true, 800)]
fn take_over(#[case] resign: bool, #[case] limit: u64) {
    let mut region = Region::new(2, vec![3]);
    region.run(3_000).expect("one holder");
    let first = region.holder().expect("a holder");
    match resign {
        true => region.feed(first, ElectionEvent::Resign),
        false => region.paused_until[first] = u64::MAX,
    }
    let since = region.now;
    while region.holder().is_none_or(|holder| holder == first) && region.now < since + 20_000 {
        region.run(region.now + 10).expect("one holder");
        assert!(!resign || !region.lease_valid[first], "a daemon acts after it resigned");
    }
    assert!(
        region.now - since <= limit,
        "the takeover took {} ms",
        region.now - since
    );
    assert_eq!(region.resigned[first], resign);
}

/// Guards against a needless election after an outage of the table service, however long: the holder stops acting when
/// its lease expires, and goes on in the same term afterwards, since nobody else could claim the lease either.
#[test]
fn outlast_outage() {
    let mut region = Region::new(2, vec![3]);
    region.run(3_000).expect("one holder");
    let first = region.holder();
    region.down_until = region.now + 60_000;
    region.run(region.now + 30_000).expect("one holder");
    assert_eq!(region.holder(), None, "a daemon acts after its lease expired");
    region.run(region.now + 32_000).expect("one holder");
    assert_eq!((region.holder(), region.terms.len()), (first, 1));
}

/// Guards against the loss of the term because the answer of a claim or renewal was lost.
#[test]
fn lose_answers() {
    let mut region = Region::new(1, vec![3]);
    region.lost_answers = 1;
    region.run(3_000).expect("one holder");
    assert_eq!(region.holder(), Some(0));
    for _ in 0..5 {
        region.lost_answers = 1;
        region.run(region.now + 3_000).expect("one holder");
        assert_eq!(region.holder(), Some(0));
    }
    assert_eq!(region.terms, [Term(1)]);
}

/// Guards against an election without a claim: the answer of a release that arrives after a restart must not be taken
/// for the answer of the next claim.
#[test]
fn restart_late_answer() {
    let mut election = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1");
    let sent = Millis(0);
    let committed = |version| ElectionEvent::Committed { sent, version };
    let free = ElectionEvent::Read {
        sent,
        lease: None,
        term: None,
    };
    election.on(Millis(0), ElectionEvent::Tick);
    election.on(Millis(10), free.clone());
    assert!(
        election
            .on(Millis(20), committed(1))
            .contains(&ElectionAction::LeaseValid { until: Millis(3_510) })
    );
    election.on(Millis(100), ElectionEvent::Resign);
    assert_eq!(
        election.on(Millis(9_000), ElectionEvent::Tick),
        [ElectionAction::Resigned]
    );
    election.restart(Millis(9_000));
    assert_eq!(
        election.on(Millis(9_600), ElectionEvent::Tick),
        [],
        "a second request is in flight"
    );
    let late = election.on(Millis(9_700), committed(2));
    assert!(matches!(late[..], [ElectionAction::Read { .. }]), "{late:?}");
    let claim = election.on(Millis(9_710), free);
    assert!(matches!(claim[..], [ElectionAction::Commit(_)]), "{claim:?}");
    assert!(
        election
            .on(Millis(9_720), committed(3))
            .contains(&ElectionAction::LeaseValid { until: Millis(13_240) })
    );
}

/// Guards against a candidate that never ends its resignation because another daemon took the lease before its claim.
/// The holder's answers to its probes keep it from reading the lease row meanwhile.
#[test]
fn resign_after_conflict() {
    let mut election = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1");
    let free = ElectionEvent::Read {
        sent: Millis(0),
        lease: None,
        term: None,
    };
    election.on(Millis(0), ElectionEvent::Tick);
    let claim = election.on(Millis(10), free);
    assert!(matches!(claim[..], [ElectionAction::Commit(_)]), "{claim:?}");
    election.on(Millis(20), ElectionEvent::Conflict);
    let held = r#"{"holder":"d1","incarnation":1,"term":1,"ttl":4000,"renewal":1,"address":"10.0.0.2:1"}"#;
    let row = |value: &str| {
        Some(Row {
            key: String::new(),
            value: value.to_owned(),
            version: 1,
        })
    };
    let read = ElectionEvent::Read {
        sent: Millis(20),
        lease: row(held),
        term: row("1"),
    };
    election.on(Millis(30), read);
    let answer = ElectionEvent::HolderAnswered {
        version: 1,
        remaining: Millis(3_000),
        rank: None,
    };
    election.on(Millis(40), answer);
    let actions = election.on(Millis(50), ElectionEvent::Resign);
    assert_eq!(actions, [ElectionAction::Resigned]);
}

/// Guards against a holder that acts after its lease expired: after a long lease, a renewal with a shorter one may take
/// effect while its answer is still under way. Candidates then wait for the shorter lease only.
#[test]
fn shorten_unheard() {
    let mut election = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1");
    let committed = |sent, version| ElectionEvent::Committed {
        sent: Millis(sent),
        version,
    };
    let free = ElectionEvent::Read {
        sent: Millis(0),
        lease: None,
        term: None,
    };
    election.on(Millis(0), ElectionEvent::Tick);
    election.on(Millis(10), free);
    // The slow answer lengthens the next lease.
    election.on(Millis(2_010), committed(10, 1));
    election.on(Millis(2_020), committed(2_010, 2));
    let renewal = election.on(Millis(3_010), ElectionEvent::Tick);
    let end = Millis(3_010) + ElectionTimes::default().ttl;
    let reported = match renewal[..] {
        [ElectionAction::Commit(_), ElectionAction::LeaseValid { until }] => until,
        _ => panic!("{renewal:?}"),
    };
    assert!(
        reported <= end,
        "the scheduler is told that it may act longer than candidates wait"
    );
    assert!(!election.is_leader(end), "the holder acts longer than candidates wait");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two daemons that act at the same time, under random delays, pauses, outages, lost answers and
    /// resignations.
    #[test]
    fn hold_alone(
        delays in prop::collection::vec(prop_oneof![4 => 1_u64..20, 1 => 20_u64..3_000], 1..40),
        faults in prop::collection::vec((0_u8..4, 0_usize..3, 100_u64..8_000, 100_u64..9_000), 0..12),
        restart: bool,
    ) {
        let mut region = Region::new(3, delays);
        region.restart = restart;
        for (kind, index, span, pause) in faults {
            match kind {
                0 => region.paused_until[index] = region.now + span,
                1 => region.down_until = region.now + span,
                2 => region.lost_answers += 2,
                _ => region.feed(index, ElectionEvent::Resign),
            }
            let outcome = region.run(region.now + pause);
            prop_assert!(outcome.is_ok(), "{outcome:?}");
        }
    }
}

/// Guards against a lease that expires between two renewals because its `ttl` is short and the table service is slow.
#[test]
fn outlast_slow_answers() {
    const ANSWER_DELAY: u64 = 700;
    let times = ElectionTimes {
        ttl: Millis(1_200),
        renew_interval: Millis(300),
        margin: Millis(150),
        ..ElectionTimes::default()
    };
    let mut election = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1").with_times(times);
    let mut answers: BTreeMap<u64, ElectionEvent> = BTreeMap::new();
    let mut gaps = 0;
    for now in (0..20_000u64).step_by(10) {
        let event = answers.remove(&now).unwrap_or(ElectionEvent::Tick);
        for action in election.on(Millis(now), event) {
            let sent = Millis(now);
            let answer = match action {
                ElectionAction::Read { .. } => ElectionEvent::Read {
                    sent,
                    lease: None,
                    term: None,
                },
                ElectionAction::Commit(_) => ElectionEvent::Committed { sent, version: now },
                _ => continue,
            };
            answers.insert(now + ANSWER_DELAY, answer);
        }
        gaps += u64::from(now > 5_000 && !election.is_leader(Millis(now)));
    }
    assert_eq!(gaps, 0, "steps of 10 ms without a valid lease");
}
