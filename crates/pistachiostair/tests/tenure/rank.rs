//! Election among daemons of different capacity. Guards against a scheduler on a machine that can't run it while
//! stronger ones are candidates, and against a region without a scheduler because stronger ones are down.

use pistachiostair::{Capacity, ElectionEvent, Followers, Millis};
use proptest::prelude::*;
use rstest::rstest;

use crate::region::{Region, STRONG, WEAK};

/// Longest time from a crash to the election of a successor that is as strong as the others: the lease, the time by
/// which the last renewal may be learnt late, and three ticks for two reads and a claim.
const STRONG_LIMIT: u64 = 1_200 + 500 + 300;

/// Longest time until a weak daemon is elected if all stronger ones are down.
const WEAK_LIMIT: u64 = STRONG_LIMIT + 1_000;

/// Six weak daemons and two strong ones.
fn mixed() -> Region {
    let mut capacities = vec![WEAK; 6];
    capacities.extend([STRONG; 2]);
    Region::ranked(capacities, vec![3])
}

fn settled() -> Region {
    let mut region = mixed();
    region.run(10_000).expect("one holder");
    let holder = region.holder().expect("a holder");
    assert!(region.is_strong(holder), "daemon {holder} is weak");
    region
}

/// Runs until another daemon than `first` holds the lease, and returns it with the time that this took.
fn successor(region: &mut Region, first: usize, limit: u64) -> (usize, u64) {
    let since = region.now;
    loop {
        region.run(region.now + 10).expect("one holder");
        let span = region.now - since;
        match region.holder().filter(|holder| *holder != first) {
            Some(holder) => return (holder, span),
            None => assert!(span < limit, "no successor within {limit} ms"),
        }
    }
}

/// Guards against a weak successor after a crash, at any time between two renewals and probes, and against a delay of
/// the strong one.
#[test]
fn crash_strongest() {
    for offset in (0..600).step_by(30) {
        let mut region = settled();
        region.run(region.now + offset).expect("one holder");
        let first = region.holder().expect("a holder");
        region.paused_until[first] = u64::MAX;
        let (next, _) = successor(&mut region, first, STRONG_LIMIT);
        assert!(region.is_strong(next), "daemon {next} after {offset} ms");
    }
}

/// Guards against a weak successor after an outage of the table service in which the lease of a dead holder expired:
/// the first daemon to reach the service again would claim it.
#[test]
fn outage_strongest() {
    for offset in (0..600).step_by(30) {
        let mut region = settled();
        region.run(region.now + offset).expect("one holder");
        let first = region.holder().expect("a holder");
        region.paused_until[first] = u64::MAX;
        region.down_until = region.now + 6_000 + offset;
        let (next, _) = successor(&mut region, first, 10_000);
        assert!(region.is_strong(next), "daemon {next} after {offset} ms");
    }
}

/// Guards against a weak successor after a release.
#[test]
fn release_strongest() {
    let mut region = settled();
    region.restart = false;
    let first = region.holder().expect("a holder");
    region.feed(first, ElectionEvent::Resign);
    let (next, _) = successor(&mut region, first, 300);
    assert!(region.is_strong(next), "daemon {next}");
}

/// Guards against a weak scheduler after all daemons restarted, whether or not it held the lease before, and against a
/// late claim of the strong one that held it.
#[rstest]
#[case::strong_held(false, 200)]
#[case::weak_held(true, STRONG_LIMIT)]
fn restart_strongest(#[case] weak_held: bool, #[case] limit: u64) {
    let mut region = settled();
    if weak_held {
        region.paused_until[6] = u64::MAX;
        region.paused_until[7] = u64::MAX;
        region.run(region.now + 5_000).expect("one holder");
        assert!(!region.is_strong(region.holder().expect("a holder")));
    }
    for index in 0..8 {
        region.start(index);
    }
    let before = region.elected.len();
    region.run(region.now + limit).expect("one holder");
    let holder = region.holder().expect("a holder");
    assert!(region.is_strong(holder), "daemon {holder}");
    assert_eq!(region.elected.len(), before + 1);
}

/// Guards against a region without a scheduler while all strong daemons are down or don't reach the table service.
#[rstest]
#[case::down(false)]
#[case::cut(true)]
fn strong_gone(#[case] cut: bool) {
    for offset in (0..600).step_by(30) {
        let mut region = settled();
        region.run(region.now + offset).expect("one holder");
        let first = region.holder().expect("a holder");
        for index in [6, 7] {
            match cut {
                true => region.cut_until[index] = u64::MAX,
                false => region.paused_until[index] = u64::MAX,
            }
        }
        let (next, _) = successor(&mut region, first, WEAK_LIMIT);
        assert!(!region.is_strong(next));
    }
}

/// Guards against a lease that stays with a weak daemon although a strong one came, and against several handovers.
#[test]
fn hand_over() {
    let mut region = mixed();
    region.paused_until[6] = 8_000;
    region.paused_until[7] = 8_000;
    region.run(8_000).expect("one holder");
    let first = region.holder().expect("a holder");
    assert!(!region.is_strong(first));
    let before = region.elected.len();
    let (next, _) = successor(&mut region, first, 7_000);
    assert!(region.is_strong(next));
    region.run(region.now + 60_000).expect("one holder");
    assert_eq!((region.holder(), region.elected.len()), (Some(next), before + 1));
}

/// Guards against handovers to daemons that can't take the lease: they lose probes, don't reach the table service, or
/// give the lease up again.
#[rstest]
#[case::lost_probes(0)]
#[case::cut(1)]
#[case::unable(2)]
fn no_flapping(#[case] fault: u8) {
    let mut region = mixed();
    region.paused_until[6] = 5_000;
    region.paused_until[7] = 5_000;
    match fault {
        0 => region.lost_probes = vec![true, true, false, true, true, true, false],
        1 => region.cut_until[6..].fill(u64::MAX),
        _ => region.unable = [6, 7].into(),
    }
    region.run(5_000).expect("one holder");
    let before = region.elected.len();
    region.run(65_000).expect("one holder");
    let elections = region.elected.len() - before;
    let most = match fault {
        0 | 1 => 1,
        // A handover each 20 s at most: to one strong daemon, to the other, and back to a weak one.
        _ => 9,
    };
    assert!(
        elections <= most,
        "{elections} elections in a minute: {:?}",
        region.elected
    );
}

/// Guards against a handover while the table service does not answer, which would leave nobody with a lease.
#[test]
fn hand_over_in_outage() {
    let mut region = mixed();
    region.paused_until[6] = 6_000;
    region.paused_until[7] = 6_000;
    region.run(8_000).expect("one holder");
    let first = region.holder().expect("a holder");
    region.down_until = region.now + 900;
    region.run(region.now + 800).expect("one holder");
    assert_eq!(region.holder(), Some(first), "the lease is still valid");
    region.feed(first, ElectionEvent::HandOver { to: "d7".into() });
    assert!(region.lease_valid[first], "the lease is released");
}

/// Guards against a daemon that keeps the lease although it can't serve: another one of the same strength comes first,
/// and the weak ones come before the one that gave it up.
#[test]
fn yield_strongest() {
    let mut region = settled();
    let first = region.holder().expect("a holder");
    region.feed(first, ElectionEvent::Yield);
    assert!(!region.lease_valid[first]);
    let (second, took) = successor(&mut region, first, 400);
    assert!(region.is_strong(second), "daemon {second} after {took} ms");
    region.run(region.now + 500).expect("one holder");
    region.feed(second, ElectionEvent::Yield);
    let (third, took) = successor(&mut region, second, 600);
    assert!(!region.is_strong(third), "daemon {third} after {took} ms");
}

/// Guards against a region without a scheduler because the only candidate gave the lease up once.
#[test]
fn yield_alone() {
    let mut region = Region::ranked(vec![WEAK], vec![3]);
    region.run(3_000).expect("one holder");
    region.feed(0, ElectionEvent::Yield);
    region.run(region.now + 1_000).expect("one holder");
    assert_eq!(region.holder(), None, "claimed at once");
    region.run(region.now + 1_500).expect("one holder");
    assert_eq!(region.holder(), Some(0));
}

/// Guards against a claim without a known rank that comes before those of strong daemons, or never.
#[test]
fn unranked() {
    let election = pistachiostair::Election::new("fi".into(), "d0".into(), pistachiostair::Incarnation(1), "a:1");
    let mut election = election.with_times(crate::region::TIMES).unranked();
    let free = |sent| ElectionEvent::Read {
        sent: Millis(sent),
        lease: None,
        term: None,
    };
    let commits = |actions: &[pistachiostair::ElectionAction]| {
        actions
            .iter()
            .any(|action| matches!(action, pistachiostair::ElectionAction::Commit(_)))
    };
    election.on(Millis(0), ElectionEvent::Tick);
    assert!(!commits(&election.on(Millis(10), free(0))));
    let mut claimed = None;
    for now in (100..3_000).step_by(100) {
        let actions = election.on(Millis(now), ElectionEvent::Tick);
        if !actions.is_empty() && commits(&election.on(Millis(now + 10), free(now))) {
            claimed = Some(now);
            break;
        }
    }
    assert!(claimed.is_some_and(|at| (500..=1_300).contains(&at)), "{claimed:?}");
}

/// Guards against a comparison by one resource only: the scarcest one decides.
#[rstest]
#[case::processor(Capacity { millicores: 100, ..STRONG })]
#[case::link(Capacity { link_kbps: 10_000, ..STRONG })]
#[case::memory(Capacity { memory_mb: 60, ..STRONG })]
fn scarcest_decides(#[case] capacity: Capacity) {
    assert!(STRONG.is_much_stronger(&capacity));
    assert!(!capacity.is_stronger(&STRONG));
    assert!(!STRONG.is_stronger(&STRONG) && !STRONG.is_much_stronger(&STRONG));
    let zero = Capacity {
        millicores: 0,
        ..STRONG
    };
    assert!(!zero.is_much_stronger(&zero));
}

/// Guards against daemons of unknown capacity (of an earlier release, or unable to take the lease) that are preferred,
/// ranked or taken for weak.
#[test]
fn unknown_capacity() {
    let mut followers = Followers::default();
    for now in (0..=6_000).step_by(300) {
        for (name, capacity) in [("a", None), ("b", Some(WEAK)), ("c", Some(STRONG)), ("d", None)] {
            followers.record(Millis(now), &name.into(), name.to_owned(), capacity);
        }
    }
    let now = Millis(6_000);
    assert_eq!(followers.succession(now), ["c", "b", "a", "d"]);
    let ranks = ["a", "b", "c"].map(|name| followers.rank(now, &name.into()));
    assert_eq!(ranks, [None, Some(1), Some(0)]);
    assert_eq!(followers.replacement(now, &WEAK), Some(&"c".into()));
    assert_eq!(followers.replacement(now, &STRONG), None);
    assert_eq!(followers.succession(Millis(9_000)), [""; 0]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two daemons that act at the same time, under random delays, pauses, cuts, outages, lost answers
    /// and probes, restarts, releases and handovers; and against a weak scheduler once all faults have ended.
    #[test]
    fn hold_alone(
        delays in prop::collection::vec(prop_oneof![4 => 1_u64..20, 1 => 20_u64..2_000], 1..30),
        lost_probes in prop::collection::vec(prop::bool::weighted(0.3), 1..20),
        faults in prop::collection::vec((0_u8..8, 0_usize..5, 100_u64..8_000, 100_u64..6_000), 0..12),
    ) {
        let mut region = Region::ranked(vec![WEAK, WEAK, WEAK, STRONG, STRONG], delays);
        region.lost_probes = lost_probes;
        for (kind, index, span, pause) in faults {
            match kind {
                0 => region.paused_until[index] = region.now + span,
                1 => region.down_until = region.now + span,
                2 => region.lost_answers += 2,
                3 => region.cut_until[index] = region.now + span,
                4 => region.feed(index, ElectionEvent::Yield),
                5 => region.start(index),
                6 => region.feed(index, ElectionEvent::HandOver { to: "d4".into() }),
                _ => region.feed(index, ElectionEvent::Resign),
            }
            let outcome = region.run(region.now + pause);
            prop_assert!(outcome.is_ok(), "{outcome:?}");
        }
        region.settle();
        let outcome = region.run(region.now + 90_000);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
        let holder = region.holder();
        prop_assert!(
            holder.is_some_and(|holder| region.is_strong(holder)),
            "{holder:?} at {}, elected: {:?}",
            region.now,
            region.elected
        );
    }
}

/// Guards against a weak daemon that fills its link with hold orders or start orders, and a strong one that is slowed.
#[test]
fn capacity_orders() {
    let small = Capacity {
        millicores: 120,
        link_kbps: 2_000,
        memory_mb: 160,
    };
    assert!((50..=150).contains(&small.hold_rate()), "{}", small.hold_rate());
    assert!((16..=64).contains(&small.max_orders()), "{}", small.max_orders());
    assert!(STRONG.hold_rate() >= 600, "{}", STRONG.hold_rate());
    assert_eq!(STRONG.max_orders(), 512);
    let none = Capacity {
        millicores: 0,
        link_kbps: 0,
        memory_mb: 0,
    };
    assert!(none.hold_rate() >= 1 && none.max_orders() >= 1);
}
