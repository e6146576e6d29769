//! Election of a region's scheduler by a conditional row of the table service.

use crate::clock::Millis;
use crate::edge::{Check, Row, Transaction, Write};
use crate::ids::{DaemonName, Incarnation, RegionName, Term};
use crate::journal::term_key;
use crate::lease::{Lease, lease_key};

/// Something that happened to the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// Time passed; comes at least every 100 ms.
    Tick,
    /// Answer to [`ElectionAction::Read`].
    Read {
        /// When the read was sent.
        sent: Millis,
        /// The lease row.
        lease: Option<Row>,
        /// The term row.
        term: Option<Row>,
    },
    /// The read was not answered.
    ReadFailed,
    /// A transaction took effect.
    Committed {
        /// When it was sent.
        sent: Millis,
        /// Version of the rows written.
        version: u64,
    },
    /// A transaction did not take effect: a row had changed.
    Conflict,
    /// A transaction was not answered: it may have taken effect.
    Unknown,
    /// This daemon is going away: give the lease back.
    Resign,
    /// The holder answered a request of this daemon.
    HolderAnswered {
        /// Version of the lease row.
        version: u64,
        /// For how long the holder may still act without another renewal.
        remaining: Millis,
    },
    /// The holder gave the lease back. Candidates that claim it one after the other don't get in each other's way.
    Released {
        /// Pause before this daemon claims it.
        pause: Millis,
    },
}

/// What the service must do for the tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Read the lease row and the term row.
    Read {
        /// Key of the lease row.
        lease: String,
        /// Key of the term row.
        term: String,
    },
    /// Commit a transaction.
    Commit(Transaction),
    /// This daemon is the scheduler from now on.
    Elected {
        /// Its term.
        term: Term,
        /// Version of the term row, the precondition of every journal write.
        fence: u64,
    },
    /// Whether the holder may accept, place and start at present.
    LeaseValid(bool),
    /// This daemon is no longer the scheduler.
    Deposed,
    /// The lease is given back.
    Resigned,
}

/// Times of a tenure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionTimes {
    /// Span for which a lease row protects its holder after each renewal, while the table service is not slow.
    pub ttl: Millis,
    /// Span between renewals.
    pub renew_interval: Millis,
    /// The holder stops acting this long before the ttl ends, for the drift between two clocks.
    pub margin: Millis,
    /// Span between a candidate's reads.
    pub poll_interval: Millis,
    /// Span after an answer of the holder for which a candidate does not read.
    pub poll_holdoff: Millis,
}

impl Default for ElectionTimes {
    fn default() -> Self {
        Self {
            ttl: Millis(4_000),
            renew_interval: Millis(1_000),
            margin: Millis(500),
            poll_interval: Millis(500),
            poll_holdoff: Millis(1_000),
        }
    }
}

/// Pause before an unanswered renewal or read-back is tried again.
const RETRY: Millis = Millis(250);
/// Added to the ttl of the next renewal while the table service is slow, in times of the last one: a renewal that
/// takes long must not find the lease ended.
const STRETCH: u64 = 3;
/// Most that is added, in times of the ttl.
const MAX_STRETCH: u64 = 2;
/// Shortest span between a candidate's reads.
const LEAST_POLL: Millis = Millis(50);

/// The version of the lease row that a candidate waits to see unchanged.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    /// From then on the holder does not act any more without another renewal.
    end: Millis,
}

/// A transaction that may have taken effect.
#[derive(Clone, Debug)]
struct Sent {
    lease: Lease,
    at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Candidate,
    Holder,
    /// Gives the lease back; ends at the time given at the latest.
    Leaving(Millis),
    Resigned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Nothing,
    Read,
    Commit,
}

/// The lease of one daemon on the scheduling of a region: holder or candidate.
///
/// A holder counts its lease from before it sent the renewal. A candidate counts from when it
/// first saw the row unchanged, and each on its own clock, so that the holder always stops first.
#[derive(Clone, Debug)]
pub struct Election {
    region: RegionName,
    me: DaemonName,
    incarnation: Incarnation,
    address: String,
    mode: Mode,
    wait: Wait,
    next: Millis,
    seen: Option<Seen>,
    /// Transactions whose outcome is not known, and the one in flight.
    sent: Vec<Sent>,
    /// Version of the lease row after the last own write.
    version: u64,
    term: Term,
    renewal: u64,
    /// Ttl of the next renewal.
    ttl: Millis,
    until: Millis,
    held: bool,
    resign: bool,
    times: ElectionTimes,
}

impl Election {
    /// A candidate for the region. `incarnation` tells it from an earlier process of the same name.
    pub fn new(region: RegionName, me: DaemonName, incarnation: Incarnation, address: impl Into<String>) -> Self {
        Self {
            region,
            me,
            incarnation,
            address: address.into(),
            mode: Mode::Candidate,
            wait: Wait::Nothing,
            next: Millis::ZERO,
            seen: None,
            sent: Vec::new(),
            version: 0,
            term: Term(0),
            renewal: 0,
            ttl: ElectionTimes::default().ttl,
            until: Millis::ZERO,
            held: false,
            resign: false,
            times: ElectionTimes::default(),
        }
    }

    /// Changes the times. All daemons of a region must have the same ttl and margin.
    #[must_use]
    pub fn with_times(mut self, times: ElectionTimes) -> Self {
        self.times = times;
        self.ttl = times.ttl;
        self
    }

    /// Makes it a candidate again after [`ElectionAction::Resigned`], after a pause in which others may claim
    /// the lease. A request on its way is awaited first, so that its answer is not taken for that of a claim.
    pub fn restart(&mut self, now: Millis) {
        self.mode = Mode::Candidate;
        self.resign = false;
        self.sent.clear();
        self.seen = None;
        self.next = now + self.times.poll_interval;
    }

    /// Version of the lease row and the time until which this daemon may act as the scheduler, while it may.
    pub fn valid_lease(&self, now: Millis) -> Option<(u64, Millis)> {
        self.is_leader(now).then_some((self.version, self.until))
    }

    /// Whether this daemon may act as the scheduler at `now`.
    pub fn is_leader(&self, now: Millis) -> bool {
        self.held && now < self.until
    }

    /// Takes note of an event.
    pub fn on(&mut self, now: Millis, event: ElectionEvent) -> Vec<ElectionAction> {
        let mut actions = Vec::new();
        match event {
            ElectionEvent::Tick => {}
            ElectionEvent::Resign => self.resign = true,
            ElectionEvent::HolderAnswered {
                version,
                remaining: left,
            } => self.heard(now, version, left),
            ElectionEvent::Released { pause } if self.mode == Mode::Candidate => self.next = now + pause,
            ElectionEvent::Released { .. } => {}
            ElectionEvent::Read { sent, lease, term } => {
                self.wait = Wait::Nothing;
                self.read(now, sent, lease, term, &mut actions);
            }
            ElectionEvent::ReadFailed => self.again(now),
            ElectionEvent::Committed { version, .. } => {
                self.wait = Wait::Nothing;
                self.committed(now, version, &mut actions);
            }
            ElectionEvent::Conflict | ElectionEvent::Unknown => {
                self.wait = Wait::Nothing;
                self.next = now;
                self.ask(&mut actions);
            }
        }
        self.update(now, &mut actions);
        self.act(now, &mut actions);
        actions
    }

    /// The holder stops acting when its lease ends, even if no renewal follows.
    fn heard(&mut self, now: Millis, version: u64, left: Millis) {
        if self.mode != Mode::Candidate || self.wait == Wait::Commit {
            return;
        }
        self.seen = Some(Seen {
            version,
            end: now + left + self.times.margin,
        });
        self.next = self.next.max(now + self.times.poll_holdoff);
    }

    fn again(&mut self, now: Millis) {
        self.wait = Wait::Nothing;
        self.next = now + RETRY;
    }

    fn ask(&mut self, actions: &mut Vec<ElectionAction>) {
        self.wait = Wait::Read;
        actions.push(ElectionAction::Read {
            lease: lease_key(&self.region),
            term: term_key(&self.region),
        });
    }

    fn read(
        &mut self,
        now: Millis,
        sent: Millis,
        lease: Option<Row>,
        term: Option<Row>,
        actions: &mut Vec<ElectionAction>,
    ) {
        let version = lease.as_ref().map_or(0, |row| row.version);
        let held = lease.as_ref().and_then(|row| Lease::parse(&row.value));
        let own = held
            .as_ref()
            .and_then(|held| self.sent.iter().find(|sent| sent.lease == *held).cloned());
        match (self.mode, own) {
            (Mode::Candidate, Some(own)) => {
                let fence = term.as_ref().map_or(0, |row| row.version);
                self.elect(now, own, version, fence, actions);
            }
            (Mode::Candidate, None) => self.watch(now, sent, version, held, term, actions),
            (Mode::Holder | Mode::Leaving(_), Some(own)) => self.renewed(now, &own, version, actions),
            (Mode::Holder | Mode::Leaving(_), None) if version == self.version => self.again(now),
            (Mode::Holder | Mode::Leaving(_), None) => self.depose(now, actions),
            (Mode::Resigned, _) => {}
        }
    }

    fn watch(
        &mut self,
        now: Millis,
        sent: Millis,
        version: u64,
        held: Option<Lease>,
        term: Option<Row>,
        actions: &mut Vec<ElectionAction>,
    ) {
        let ttl = held.as_ref().map_or(self.times.ttl, |lease| lease.ttl);
        let free = version == 0 || held.as_ref().is_some_and(|lease| lease.holder.is_none());
        // A row first seen in this answer may have been written just before.
        let seen = match self.seen {
            Some(seen) if seen.version == version => seen,
            _ => Seen {
                version,
                end: now + ttl,
            },
        };
        self.seen = Some(seen);
        let expired = sent >= seen.end;
        // An earlier process of this daemon that held the lease is gone.
        let own = held
            .as_ref()
            .is_some_and(|lease| lease.holder.as_ref() == Some(&self.me) && lease.incarnation < self.incarnation);
        self.next = (now + self.times.poll_interval).min(seen.end.max(now + LEAST_POLL));
        if self.resign {
            self.sent.clear();
        } else if free || expired || own {
            self.claim(now, version, term, actions);
        }
    }

    fn claim(&mut self, now: Millis, version: u64, term: Option<Row>, actions: &mut Vec<ElectionAction>) {
        let old = term.as_ref().and_then(|row| row.value.parse().ok()).unwrap_or(0);
        self.term = Term(old + 1);
        self.renewal += 1;
        let lease = self.lease(Some(self.me.clone()));
        let key = term_key(&self.region);
        let mut transaction = self.transaction(version, &lease);
        transaction.checks.push(Check {
            key: key.clone(),
            version: term.map_or(0, |row| row.version),
        });
        transaction.writes.push(Write {
            key,
            value: Some(self.term.to_string()),
        });
        self.commit(now, lease, transaction, actions);
    }

    fn lease(&self, holder: Option<DaemonName>) -> Lease {
        Lease {
            holder,
            incarnation: self.incarnation,
            term: self.term,
            ttl: self.ttl,
            renewal: self.renewal,
            address: self.address.clone(),
        }
    }

    fn transaction(&self, version: u64, lease: &Lease) -> Transaction {
        let key = lease_key(&self.region);
        Transaction {
            checks: vec![Check {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key,
                value: serde_json::to_string(lease).ok(),
            }],
        }
    }

    fn commit(&mut self, now: Millis, lease: Lease, transaction: Transaction, actions: &mut Vec<ElectionAction>) {
        // All transactions sent at one version exclude each other; older ones can't take effect.
        const KEPT: usize = 64;
        if self.sent.len() == KEPT {
            self.sent.remove(0);
        }
        self.sent.push(Sent { lease, at: now });
        self.wait = Wait::Commit;
        actions.push(ElectionAction::Commit(transaction));
    }

    fn committed(&mut self, now: Millis, version: u64, actions: &mut Vec<ElectionAction>) {
        let Some(own) = self.sent.last().cloned() else {
            return;
        };
        match self.mode {
            Mode::Candidate => self.elect(now, own, version, version, actions),
            Mode::Holder | Mode::Leaving(_) => self.renewed(now, &own, version, actions),
            Mode::Resigned => {}
        }
    }

    fn elect(&mut self, now: Millis, own: Sent, version: u64, fence: u64, actions: &mut Vec<ElectionAction>) {
        self.mode = Mode::Holder;
        self.term = own.lease.term;
        self.held = false;
        actions.push(ElectionAction::Elected { term: self.term, fence });
        self.renewed(now, &own, version, actions);
    }

    fn renewed(&mut self, now: Millis, own: &Sent, version: u64, actions: &mut Vec<ElectionAction>) {
        self.version = version;
        self.sent.clear();
        self.until = own.at + (own.lease.ttl - self.times.margin);
        let stretch = Millis(now.since(own.at).0 * STRETCH);
        self.ttl = self.times.ttl + stretch.min(Millis(self.times.ttl.0 * MAX_STRETCH));
        self.next = match self.mode {
            Mode::Holder => own.at + self.times.renew_interval,
            _ => now,
        };
        if own.lease.holder.is_none() {
            self.resigned(actions);
        }
    }

    fn depose(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.mode == Mode::Holder {
            actions.push(ElectionAction::Deposed);
        }
        self.held = false;
        self.sent.clear();
        self.seen = None;
        self.next = now + self.times.poll_interval;
        self.mode = match self.mode {
            Mode::Leaving(_) => Mode::Resigned,
            _ => Mode::Candidate,
        };
        if self.mode == Mode::Resigned {
            actions.push(ElectionAction::Resigned);
        }
    }

    /// Reports whether the lease is held, if that changed.
    fn update(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.mode != Mode::Holder {
            return;
        }
        let held = now < self.until;
        let elected = matches!(actions.last(), Some(ElectionAction::Elected { .. }));
        if held != self.held || elected {
            self.held = held;
            actions.push(ElectionAction::LeaseValid(held));
        }
    }

    fn act(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.resign {
            self.leave(now, actions);
        }
        if self.wait != Wait::Nothing || now < self.next {
            return;
        }
        match self.mode {
            Mode::Candidate if !self.resign => self.ask(actions),
            Mode::Holder => self.renew(now, Some(self.me.clone()), actions),
            Mode::Leaving(_) => self.renew(now, None, actions),
            Mode::Candidate | Mode::Resigned => {}
        }
    }

    fn renew(&mut self, now: Millis, holder: Option<DaemonName>, actions: &mut Vec<ElectionAction>) {
        self.renewal += 1;
        let lease = self.lease(holder);
        // Candidates go by this renewal once it takes effect, which this daemon may learn late.
        self.until = self.until.min(now + (lease.ttl - self.times.margin));
        let transaction = self.transaction(self.version, &lease);
        self.commit(now, lease, transaction, actions);
    }

    fn leave(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        match self.mode {
            Mode::Holder => {
                self.mode = Mode::Leaving(now + self.times.ttl);
                self.held = false;
                self.next = now;
                actions.push(ElectionAction::Deposed);
            }
            // A claim in flight may still make this daemon the holder.
            Mode::Candidate if self.sent.is_empty() => self.resigned(actions),
            Mode::Leaving(end) if now >= end => self.resigned(actions),
            _ => {}
        }
    }

    fn resigned(&mut self, actions: &mut Vec<ElectionAction>) {
        self.mode = Mode::Resigned;
        actions.push(ElectionAction::Resigned);
    }
}
