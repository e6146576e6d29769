//! Leases under lost answers, delays, pauses and outages. Guards against two schedulers that both
//! believe to hold the region.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{Commit, Election, ElectionAction, ElectionEvent, ElectionTimes, Incarnation, Millis, Term};
use proptest::prelude::*;
use rstest::rstest;
use standin::Tables;

#[derive(Clone, Debug)]
enum Delivery {
    /// An action arrives at the store.
    Act(usize, Millis, ElectionAction),
    /// Its answer arrives at the daemon.
    Answer(usize, ElectionEvent),
}

struct Region {
    now: u64,
    tables: Tables,
    tenures: Vec<Election>,
    /// Offset of each daemon's clock.
    offsets: Vec<u64>,
    paused: Vec<u64>,
    down: u64,
    /// Answers of transactions that are lost.
    lost: u32,
    held: Vec<bool>,
    terms: Vec<Term>,
    queue: BTreeMap<(u64, u64), Delivery>,
    next: u64,
    delays: Vec<u64>,
    resigned: Vec<bool>,
    /// Becomes a candidate again after it resigned.
    again: bool,
}

impl Region {
    fn new(count: usize, delays: Vec<u64>) -> Self {
        let tenure = |index: usize| {
            let name = format!("d{index}");
            Election::new(
                "fi".into(),
                name.as_str().into(),
                Incarnation(index as u64),
                "10.0.0.1:1",
            )
        };
        Self {
            now: 0,
            tables: Tables::default(),
            tenures: (0..count).map(tenure).collect(),
            offsets: (0..count as u64).map(|index| index * 1_000_000).collect(),
            paused: vec![0; count],
            down: 0,
            lost: 0,
            held: vec![false; count],
            terms: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            delays,
            resigned: vec![false; count],
            again: false,
        }
    }

    fn after(&mut self, span: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + span, self.next), delivery);
    }

    fn delay(&mut self) -> u64 {
        self.next += 1;
        self.delays[self.next as usize % self.delays.len()]
    }

    fn feed(&mut self, index: usize, event: ElectionEvent) {
        let clock = Millis(self.now + self.offsets[index]);
        for action in self.tenures[index].on(clock, event) {
            match action {
                ElectionAction::Elected { term, .. } => self.terms.push(term),
                ElectionAction::LeaseValid(held) => self.held[index] = held,
                ElectionAction::Deposed => self.held[index] = false,
                ElectionAction::Resigned if self.again => self.tenures[index].restart(clock),
                ElectionAction::Resigned => self.resigned[index] = true,
                action => {
                    let delay = self.delay();
                    self.after(delay, Delivery::Act(index, clock, action));
                }
            }
        }
    }

    fn act(&mut self, index: usize, sent: Millis, action: ElectionAction) {
        let down = self.down > self.now;
        let (event, delay) = match action {
            ElectionAction::Read { .. } if down => (ElectionEvent::ReadFailed, 1_000),
            ElectionAction::Commit(_) if down => (ElectionEvent::Unknown, 1_000),
            ElectionAction::Read { lease, term } => {
                let (lease, term) = (self.tables.get(&lease), self.tables.get(&term));
                (ElectionEvent::Read { sent, lease, term }, self.delay())
            }
            ElectionAction::Commit(transaction) => {
                let event = match self.tables.commit(&transaction) {
                    Commit::Done { version } => ElectionEvent::Committed { sent, version },
                    Commit::Conflict { .. } => ElectionEvent::Conflict,
                };
                if self.lost > 0 {
                    self.lost -= 1;
                    (ElectionEvent::Unknown, 1_000)
                } else {
                    (event, self.delay())
                }
            }
            _ => return,
        };
        self.after(delay, Delivery::Answer(index, event));
    }

    /// Runs on; two daemons that may act at the same time are a fault.
    fn run(&mut self, until: u64) -> Result<(), String> {
        while self.now < until {
            self.now += 10;
            while let Some((&key, _)) = self.queue.first_key_value()
                && key.0 <= self.now
            {
                match self.queue.remove(&key) {
                    Some(Delivery::Act(index, sent, action)) => self.act(index, sent, action),
                    Some(Delivery::Answer(index, event)) if self.paused[index] > self.now => {
                        let span = self.paused[index] - self.now;
                        self.after(span, Delivery::Answer(index, event));
                    }
                    Some(Delivery::Answer(index, event)) => self.feed(index, event),
                    None => {}
                }
            }
            for index in 0..self.tenures.len() {
                if self.now.is_multiple_of(100) && self.paused[index] <= self.now {
                    self.feed(index, ElectionEvent::Tick);
                }
            }
            let holders = (0..self.tenures.len())
                .filter(|index| self.tenures[*index].is_leader(Millis(self.now + self.offsets[*index])))
                .count();
            if holders > 1 {
                return Err(format!("{holders} holders at {}", self.now));
            }
        }
        // A daemon may learn late that it was elected, after the next one; no term has two daemons.
        let distinct: BTreeSet<Term> = self.terms.iter().copied().collect();
        match distinct.len() == self.terms.len() {
            true => Ok(()),
            false => Err(format!("terms {:?}", self.terms)),
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..self.tenures.len()).find(|index| self.tenures[*index].is_leader(Millis(self.now + self.offsets[*index])))
    }
}

/// The next daemon takes over within a ttl, a poll and a few round trips; after a resignation at its next poll.
#[rstest]
#[case::crash(false, 5_200)]
#[case::resign(true, 800)]
fn take_over(#[case] resign: bool, #[case] limit: u64) {
    let mut region = Region::new(2, vec![3]);
    region.run(3_000).expect("one holder");
    let first = region.holder().expect("a holder");
    match resign {
        true => region.feed(first, ElectionEvent::Resign),
        false => region.paused[first] = u64::MAX,
    }
    let since = region.now;
    while region.holder().is_none_or(|holder| holder == first) && region.now < since + 20_000 {
        region.run(region.now + 10).expect("one holder");
        assert!(!resign || !region.held[first], "it acts after it resigned");
    }
    assert!(region.now - since <= limit, "it took {} ms", region.now - since);
    assert_eq!(region.resigned[first], resign);
}

/// An outage of any length ends with the same holder and term: nobody else could write either.
#[test]
fn outlast_outage() {
    let mut region = Region::new(2, vec![3]);
    region.run(3_000).expect("one holder");
    let first = region.holder();
    region.down = region.now + 60_000;
    region.run(region.now + 30_000).expect("one holder");
    assert_eq!(region.holder(), None, "it acts without a lease");
    region.run(region.now + 32_000).expect("one holder");
    assert_eq!((region.holder(), region.terms.len()), (first, 1));
}

/// A lost answer of the claim or of a renewal must not cost the term.
#[test]
fn lose_answers() {
    let mut region = Region::new(1, vec![3]);
    region.lost = 1;
    region.run(3_000).expect("one holder");
    assert_eq!(region.holder(), Some(0));
    for _ in 0..5 {
        region.lost = 1;
        region.run(region.now + 3_000).expect("one holder");
        assert_eq!(region.holder(), Some(0));
    }
    assert_eq!(region.terms, [Term(1)]);
}

/// The answer of a release that comes after a restart must not be taken for that of the next claim.
#[test]
fn restart_late_answer() {
    let mut tenure = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1");
    let sent = Millis(0);
    let committed = |version| ElectionEvent::Committed { sent, version };
    let free = ElectionEvent::Read {
        sent,
        lease: None,
        term: None,
    };
    tenure.on(Millis(0), ElectionEvent::Tick);
    tenure.on(Millis(10), free.clone());
    assert!(
        tenure
            .on(Millis(20), committed(1))
            .contains(&ElectionAction::LeaseValid(true))
    );
    tenure.on(Millis(100), ElectionEvent::Resign);
    assert_eq!(
        tenure.on(Millis(9_000), ElectionEvent::Tick),
        [ElectionAction::Resigned]
    );
    tenure.restart(Millis(9_000));
    assert_eq!(
        tenure.on(Millis(9_600), ElectionEvent::Tick),
        [],
        "a request beside another one"
    );
    let late = tenure.on(Millis(9_700), committed(2));
    assert!(matches!(late[..], [ElectionAction::Read { .. }]), "{late:?}");
    let claim = tenure.on(Millis(9_710), free);
    assert!(matches!(claim[..], [ElectionAction::Commit(_)]), "{claim:?}");
    assert!(
        tenure
            .on(Millis(9_720), committed(3))
            .contains(&ElectionAction::LeaseValid(true))
    );
}

/// After a long lease a shorter one may take effect without the holder's knowledge: candidates then go by the shorter
/// one, and so must the holder.
#[test]
fn shorten_unheard() {
    let mut tenure = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1");
    let committed = |sent, version| ElectionEvent::Committed {
        sent: Millis(sent),
        version,
    };
    let free = ElectionEvent::Read {
        sent: Millis(0),
        lease: None,
        term: None,
    };
    tenure.on(Millis(0), ElectionEvent::Tick);
    tenure.on(Millis(10), free);
    // The slow answer makes the next lease long.
    tenure.on(Millis(2_010), committed(10, 1));
    tenure.on(Millis(2_020), committed(2_010, 2));
    let renewal = tenure.on(Millis(3_010), ElectionEvent::Tick);
    assert!(matches!(renewal[..], [ElectionAction::Commit(_)]), "{renewal:?}");
    let end = Millis(3_010) + ElectionTimes::default().ttl;
    assert!(!tenure.is_leader(end), "it acts longer than candidates wait");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn hold_alone(
        delays in prop::collection::vec(prop_oneof![4 => 1_u64..20, 1 => 20_u64..3_000], 1..40),
        faults in prop::collection::vec((0_u8..4, 0_usize..3, 100_u64..8_000, 100_u64..9_000), 0..12),
        again: bool,
    ) {
        let mut region = Region::new(3, delays);
        region.again = again;
        for (kind, index, span, pause) in faults {
            match kind {
                0 => region.paused[index] = region.now + span,
                1 => region.down = region.now + span,
                2 => region.lost += 2,
                _ => region.feed(index, ElectionEvent::Resign),
            }
            let outcome = region.run(region.now + pause);
            prop_assert!(outcome.is_ok(), "{outcome:?}");
        }
    }
}

/// A table service that answers late must not make a holder with a short ttl lose its lease between two renewals.
#[test]
fn outlast_slow_answers() {
    const ANSWER: u64 = 700;
    let times = ElectionTimes {
        ttl: Millis(1_200),
        renew_interval: Millis(300),
        margin: Millis(150),
        ..ElectionTimes::default()
    };
    let mut tenure = Election::new("fi".into(), "d0".into(), Incarnation(1), "10.0.0.1:1").with_times(times);
    let mut answers: BTreeMap<u64, ElectionEvent> = BTreeMap::new();
    let mut gaps = 0;
    for now in (0..20_000u64).step_by(10) {
        let event = answers.remove(&now).unwrap_or(ElectionEvent::Tick);
        for action in tenure.on(Millis(now), event) {
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
            answers.insert(now + ANSWER, answer);
        }
        gaps += u64::from(now > 5_000 && !tenure.is_leader(Millis(now)));
    }
    assert_eq!(gaps, 0, "moments without the lease");
}
