//! Leader election under lost answers, delays, pauses and outages. Guards against two daemons that act as the
//! scheduler of one region at the same time, or under the same term.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{Commit, Election, ElectionAction, ElectionEvent, ElectionTimes, Incarnation, Millis, Row, Term};
use proptest::prelude::*;
use rstest::rstest;
use standin::Tables;

#[derive(Clone, Debug)]
enum Delivery {
    /// A request of a daemon, sent at this time on its clock, reaches the table service.
    Request(usize, Millis, ElectionAction),
    /// An answer reaches the daemon.
    Answer(usize, ElectionEvent),
}

/// A simulated region. All times are in milliseconds.
struct Region {
    now: u64,
    tables: Tables,
    elections: Vec<Election>,
    /// How far each daemon's clock is ahead of `now`.
    offsets: Vec<u64>,
    /// Until when each daemon is paused.
    paused_until: Vec<u64>,
    /// Until when the table service does not answer.
    down_until: u64,
    /// How many of the next transactions take effect, but lose their answers.
    lost_answers: u32,
    /// Whether each daemon was last told that its lease is valid.
    lease_valid: Vec<bool>,
    /// Terms of all elections so far.
    terms: Vec<Term>,
    /// Messages in flight, by the time of their arrival and a running number.
    queue: BTreeMap<(u64, u64), Delivery>,
    next: u64,
    /// Delays of messages, used in turn.
    delays: Vec<u64>,
    resigned: Vec<bool>,
    /// Whether daemons become candidates again after they resigned.
    restart: bool,
}

impl Region {
    fn new(count: usize, delays: Vec<u64>) -> Self {
        let election = |index: usize| {
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
            elections: (0..count).map(election).collect(),
            offsets: (0..count as u64).map(|index| index * 1_000_000).collect(),
            paused_until: vec![0; count],
            down_until: 0,
            lost_answers: 0,
            lease_valid: vec![false; count],
            terms: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            delays,
            resigned: vec![false; count],
            restart: false,
        }
    }

    fn deliver_after(&mut self, delay: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }

    fn delay(&mut self) -> u64 {
        self.next += 1;
        self.delays[self.next as usize % self.delays.len()]
    }

    fn feed(&mut self, index: usize, event: ElectionEvent) {
        let clock = Millis(self.now + self.offsets[index]);
        for action in self.elections[index].on(clock, event) {
            match action {
                ElectionAction::Elected { term, .. } => self.terms.push(term),
                ElectionAction::LeaseValid(valid) => self.lease_valid[index] = valid,
                ElectionAction::Deposed => self.lease_valid[index] = false,
                ElectionAction::Resigned if self.restart => self.elections[index].restart(clock),
                ElectionAction::Resigned => self.resigned[index] = true,
                action => {
                    let delay = self.delay();
                    self.deliver_after(delay, Delivery::Request(index, clock, action));
                }
            }
        }
    }

    /// Carries out a request at the table service and sends the answer.
    fn serve(&mut self, index: usize, sent: Millis, action: ElectionAction) {
        let down = self.down_until > self.now;
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
                if self.lost_answers > 0 {
                    self.lost_answers -= 1;
                    (ElectionEvent::Unknown, 1_000)
                } else {
                    (event, self.delay())
                }
            }
            _ => return,
        };
        self.deliver_after(delay, Delivery::Answer(index, event));
    }

    /// Runs the simulation until `until`. Fails if two daemons hold a valid lease at the same time, or were elected
    /// under the same term.
    fn run(&mut self, until: u64) -> Result<(), String> {
        while self.now < until {
            self.now += 10;
            while let Some((&key, _)) = self.queue.first_key_value()
                && key.0 <= self.now
            {
                match self.queue.remove(&key) {
                    Some(Delivery::Request(index, sent, action)) => self.serve(index, sent, action),
                    Some(Delivery::Answer(index, event)) if self.paused_until[index] > self.now => {
                        let span = self.paused_until[index] - self.now;
                        self.deliver_after(span, Delivery::Answer(index, event));
                    }
                    Some(Delivery::Answer(index, event)) => self.feed(index, event),
                    None => {}
                }
            }
            for index in 0..self.elections.len() {
                if self.now.is_multiple_of(100) && self.paused_until[index] <= self.now {
                    self.feed(index, ElectionEvent::Tick);
                }
            }
            let holders = (0..self.elections.len())
                .filter(|index| self.elections[*index].is_leader(Millis(self.now + self.offsets[*index])))
                .count();
            if holders > 1 {
                return Err(format!("{holders} holders at {}", self.now));
            }
        }
        // A daemon may learn of its election only after the next one was elected, so terms may be out of order; but no
        // two elections may have the same term.
        let distinct: BTreeSet<Term> = self.terms.iter().copied().collect();
        match distinct.len() == self.terms.len() {
            true => Ok(()),
            false => Err(format!("terms {:?}", self.terms)),
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..self.elections.len())
            .find(|index| self.elections[*index].is_leader(Millis(self.now + self.offsets[*index])))
    }
}

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
            .contains(&ElectionAction::LeaseValid(true))
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
            .contains(&ElectionAction::LeaseValid(true))
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
    assert!(matches!(renewal[..], [ElectionAction::Commit(_)]), "{renewal:?}");
    let end = Millis(3_010) + ElectionTimes::default().ttl;
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
