//! Election of a region's scheduler by a lease row in the table service.
//!
//! [`Election`] is a state machine without I/O. The service around it (`scheduler_actor`) feeds it with ticks and the
//! answers of the table service, and carries out the actions it returns. Each claim of the lease raises the region's
//! term, and the version of the term row is the fencing precondition of every journal write.

use crate::claim_order::ClaimOrder;
use crate::clock::Millis;
use crate::edge::{Check, Row, Transaction, Write};
use crate::ids::{DaemonName, Incarnation, RegionName, Term};
use crate::journal::term_key;
use crate::lease::{Lease, lease_key};

/// Input of [`Election::on`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// Time passed. Must be fed at least every 100 ms.
    Tick,
    /// Answer to [`ElectionAction::Read`].
    Read {
        /// When the read was sent, on this daemon's clock.
        sent: Millis,
        /// The lease row; `None` if it does not exist yet.
        lease: Option<Row>,
        /// The term row; `None` if it does not exist yet.
        term: Option<Row>,
    },
    /// The read failed or timed out.
    ReadFailed,
    /// The transaction of [`ElectionAction::Commit`] took effect.
    Committed {
        /// When it was sent, on this daemon's clock.
        sent: Millis,
        /// Version that the written rows have now.
        version: u64,
    },
    /// The transaction did not take effect: a row no longer had the expected version.
    Conflict,
    /// The transaction was not answered. It may have taken effect, or may still do so.
    Unknown,
    /// Release the lease, or stop trying to get it. Answered by [`ElectionAction::Resigned`].
    Resign,
    /// Release the lease because this daemon can't serve. Answered by [`ElectionAction::Resigned`], after which
    /// [`Election::restart`] makes this daemon a candidate that lets others claim first for a while.
    Yield,
    /// Release the lease to a stronger candidate, like [`Self::Yield`]. Ignored unless this daemon holds the lease and
    /// the table service answers, and for a while after the last time.
    HandOver {
        /// The candidate.
        to: DaemonName,
    },
    /// The number of stronger daemons by their rows, for a candidate that no holder has told its rank.
    Ranked {
        /// The number.
        rank: u32,
    },
    /// The holder answered a liveness probe of this daemon, so that the lease row need not be read for a while.
    HolderAnswered {
        /// Version of the lease row after the holder's last renewal.
        version: u64,
        /// For how long the lease stays valid without another renewal.
        remaining: Millis,
        /// Number of stronger candidates, if the holder knows it.
        rank: Option<u32>,
    },
    /// The holder announced that it released the lease. It gives each candidate another pause, so that their claims
    /// do not conflict.
    Released {
        /// How long this daemon waits before it reads the lease row to claim it.
        pause: Millis,
    },
}

/// Output of [`Election::on`], carried out by the service around it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Read the lease row and the term row; answered by [`ElectionEvent::Read`] or [`ElectionEvent::ReadFailed`].
    Read {
        /// Key of the lease row.
        lease: String,
        /// Key of the term row.
        term: String,
    },
    /// Commit a transaction; answered by [`ElectionEvent::Committed`], [`ElectionEvent::Conflict`] or
    /// [`ElectionEvent::Unknown`].
    Commit(Transaction),
    /// This daemon is the scheduler from now on and must load the journal.
    Elected {
        /// Its term.
        term: Term,
        /// Version of the term row, the precondition of every journal write.
        fence: u64,
    },
    /// Until when the lease is valid, on this daemon's clock. Sent after [`ElectionAction::Elected`], whenever that time
    /// changes and once it has passed. From then on the scheduler must not accept, place or start anything, but keeps
    /// its term.
    LeaseValid {
        /// The end of the lease, which may have passed.
        until: Millis,
    },
    /// This daemon is no longer the scheduler: another one claimed the lease, or this one began to release it.
    Deposed,
    /// This daemon is out of the election until [`Election::restart`]: the lease was released or not held, or its
    /// release had no certain outcome within a `ttl`.
    Resigned,
    /// The lease may be claimed, but stronger candidates come first. Sent once for each version of the lease row.
    ClaimDelayed {
        /// Number of stronger candidates.
        rank: u32,
        /// How long this daemon waits from the end of the lease on.
        delay: Millis,
    },
    /// This daemon begins to hand the lease over.
    HandingOver {
        /// The stronger candidate.
        to: DaemonName,
    },
}

/// Lease and polling times. All daemons of a region must have the same `ttl` and `margin`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ElectionTimes {
    /// How long each renewal keeps the lease; a slow table service lengthens it.
    pub ttl: Millis,
    /// Time between two renewals.
    pub renew_interval: Millis,
    /// The holder stops acting this long before the `ttl` ends, to allow for drift between two clocks.
    pub margin: Millis,
    /// Time between two reads of the lease row by a candidate.
    pub poll_interval: Millis,
    /// How long a candidate does not read the lease row after the holder answered a probe.
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

/// Pause before a failed read, or a renewal that did not take effect, is tried again.
const RETRY_PAUSE: Millis = Millis(250);
/// The next lease is longer than the `ttl` by this many times the duration of the last renewal, so that the lease
/// does not expire during a renewal while the table service is slow.
const STRETCH_FACTOR: u64 = 3;
/// Upper limit of that extension, as a multiple of the `ttl`.
const MAX_STRETCH_TTLS: u64 = 2;
/// Shortest time between two reads of the lease row by a candidate.
const MIN_POLL_INTERVAL: Millis = Millis(50);
/// A holder that loses the lease sooner than this after its election lets others claim first.
const SHORT_TENURE: Millis = Millis(5_000);
/// Shortest time between two handovers by one daemon, so that the lease does not alternate between it and a stronger
/// daemon that can't keep it.
const HANDOVER_PAUSE: Millis = Millis(30_000);

/// The newest version of the lease row that a candidate knows, from a read or a probe.
#[derive(Clone, Copy, Debug)]
struct Observed {
    version: u64,
    /// When the lease expires if the row still has this version.
    expiry: Millis,
    /// When a read first found the lease free or expired. Claims are delayed from then on rather than from `expiry`,
    /// which may have passed during an outage of the table service.
    vacant_since: Option<Millis>,
}

/// A write of the lease row that may have taken effect.
#[derive(Clone, Debug)]
struct PendingWrite {
    lease: Lease,
    /// Version of the lease row that it replaces. It can't take effect once the row has another version.
    replaces: u64,
    sent_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Candidate,
    Holder,
    /// Releases the lease, and stops trying at the time given.
    Releasing(Millis),
    Resigned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InFlight {
    Nothing,
    Read,
    Commit,
}

/// One daemon's part in the election of its region's scheduler, as holder of the lease or candidate for it.
///
/// The holder counts the lease from before it sent the renewal. A candidate counts it from when it received the
/// first answer with the row's present version. Each uses its own clock, so that the holder always stops first.
#[derive(Clone, Debug)]
pub struct Election {
    region: RegionName,
    me: DaemonName,
    incarnation: Incarnation,
    address: String,
    role: Role,
    in_flight: InFlight,
    next_request: Millis,
    observed: Option<Observed>,
    /// Writes of unknown outcome since the last certain one, the newest last, which may be in flight.
    pending: Vec<PendingWrite>,
    /// Version of the lease row after this daemon's last write.
    version: u64,
    term: Term,
    renewal: u64,
    /// How long the next renewal keeps the lease.
    ttl: Millis,
    valid_until: Millis,
    valid: bool,
    /// The end of the lease in the last [`ElectionAction::LeaseValid`] of this term.
    reported_until: Option<Millis>,
    resigning: bool,
    order: ClaimOrder,
    /// Version of the lease row for which [`ElectionAction::ClaimDelayed`] was sent.
    delay_reported: Option<u64>,
    elected_at: Millis,
    /// When the last renewal was answered.
    renewed_at: Millis,
    handed_over_at: Option<Millis>,
    times: ElectionTimes,
}

impl Election {
    /// Makes a candidate for the region. `incarnation` tells it from an earlier process with the same name, `address`
    /// is where other daemons reach it.
    pub fn new(region: RegionName, me: DaemonName, incarnation: Incarnation, address: impl Into<String>) -> Self {
        Self {
            region,
            me,
            incarnation,
            address: address.into(),
            role: Role::Candidate,
            in_flight: InFlight::Nothing,
            next_request: Millis::ZERO,
            observed: None,
            pending: Vec::new(),
            version: 0,
            term: Term(0),
            renewal: 0,
            ttl: ElectionTimes::default().ttl,
            valid_until: Millis::ZERO,
            valid: false,
            reported_until: None,
            resigning: false,
            order: ClaimOrder::with_rank(Some(0)),
            delay_reported: None,
            elected_at: Millis::ZERO,
            renewed_at: Millis::ZERO,
            handed_over_at: None,
            times: ElectionTimes::default(),
        }
    }

    /// Replaces the default times.
    #[must_use]
    pub fn with_times(mut self, times: ElectionTimes) -> Self {
        self.times = times;
        self.ttl = times.ttl;
        self
    }

    /// Makes this daemon a candidate that does not know its rank yet. It claims like the weakest one until a holder or
    /// [`ElectionEvent::Ranked`] tells. Without this, it counts as one of the strongest.
    #[must_use]
    pub fn unranked(mut self) -> Self {
        self.order = ClaimOrder::with_rank(None);
        self
    }

    /// Makes this daemon a candidate again after [`ElectionAction::Resigned`]. It first waits one poll interval, in
    /// which others may claim the lease, and for the answer of a request in flight, which would otherwise be taken for
    /// the answer of a claim.
    pub fn restart(&mut self, now: Millis) {
        self.role = Role::Candidate;
        self.resigning = false;
        self.pending.clear();
        self.observed = None;
        self.next_request = now + self.times.poll_interval;
    }

    /// Whether this daemon lets all others claim first, because it gave the lease up or lost it soon after its
    /// election.
    pub fn is_penalized(&self, now: Millis) -> bool {
        self.order.is_penalized(now)
    }

    /// Version of the lease row and the time until which this daemon may act as the scheduler; `None` while it may
    /// not.
    pub fn valid_lease(&self, now: Millis) -> Option<(u64, Millis)> {
        self.is_leader(now).then_some((self.version, self.valid_until))
    }

    /// The end of the lease that this daemon holds or held last, on its own clock.
    pub fn lease_end(&self) -> Millis {
        self.valid_until
    }

    /// Whether this daemon holds a valid lease and may act as the scheduler at `now`.
    pub fn is_leader(&self, now: Millis) -> bool {
        self.valid && now < self.valid_until
    }

    /// Whether this daemon has held the lease for at least `span`, and the table service has answered a renewal lately.
    pub(crate) fn is_settled(&self, now: Millis, span: Millis) -> bool {
        now >= self.elected_at + span && now.since(self.renewed_at).0 <= 4 * self.times.renew_interval.0
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn on(&mut self, now: Millis, event: ElectionEvent) -> Vec<ElectionAction> {
        let mut actions = Vec::new();
        match event {
            ElectionEvent::Tick => {}
            ElectionEvent::Resign => self.resigning = true,
            ElectionEvent::Yield => self.yield_lease(now),
            ElectionEvent::HandOver { to } => self.hand_over(now, to, &mut actions),
            ElectionEvent::Ranked { rank } => self.set_rank(now, rank),
            ElectionEvent::HolderAnswered {
                version,
                remaining,
                rank,
            } => self.holder_answered(now, version, remaining, rank),
            ElectionEvent::Released { pause } if self.role == Role::Candidate => {
                self.order.set_announced(true);
                self.next_request = now + pause;
            }
            ElectionEvent::Released { .. } => {}
            ElectionEvent::Read { sent, lease, term } => {
                self.in_flight = InFlight::Nothing;
                self.handle_rows(now, sent, lease, term, &mut actions);
            }
            ElectionEvent::ReadFailed => self.retry_later(now),
            ElectionEvent::Committed { version, .. } => {
                self.in_flight = InFlight::Nothing;
                self.handle_committed(now, version, &mut actions);
            }
            ElectionEvent::Conflict | ElectionEvent::Unknown => {
                self.in_flight = InFlight::Nothing;
                self.next_request = now;
                self.read_rows(&mut actions);
            }
        }
        self.send_due(now, &mut actions);
        self.report_validity(now, &mut actions);
        actions
    }

    /// Takes the expiry from the holder's answer, since the holder stops acting at the end of its lease even if the row
    /// is not read here until then.
    fn holder_answered(&mut self, now: Millis, version: u64, remaining: Millis, rank: Option<u32>) {
        if let Some(rank) = rank {
            self.order.set_rank(rank);
        }
        if self.role != Role::Candidate || self.in_flight == InFlight::Commit {
            return;
        }
        self.observed = Some(Observed {
            version,
            expiry: now + remaining + self.times.margin,
            vacant_since: None,
        });
        self.pending.retain(|write| write.replaces == version);
        self.order.set_announced(false);
        self.next_request = self.next_request.max(now + self.times.poll_holdoff);
    }

    /// Takes the rank by the rows of daemons unless a holder has told it. The rows of daemons that are down count too.
    fn set_rank(&mut self, now: Millis, rank: u32) {
        if self.order.rank().is_some() {
            return;
        }
        self.order.set_rank(rank);
        if self.role == Role::Candidate {
            self.next_request = self.next_request.min(now);
        }
    }

    fn yield_lease(&mut self, now: Millis) {
        match self.role {
            Role::Holder => {
                self.order.penalize(now);
                self.resigning = true;
            }
            Role::Candidate => self.order.penalize(now),
            Role::Releasing(_) | Role::Resigned => {}
        }
    }

    fn hand_over(&mut self, now: Millis, to: DaemonName, actions: &mut Vec<ElectionAction>) {
        let store_answers = now.since(self.renewed_at) <= self.times.renew_interval + self.times.renew_interval;
        let paused = self.handed_over_at.is_some_and(|last| now < last + HANDOVER_PAUSE);
        if self.role != Role::Holder || self.resigning || !self.is_leader(now) || !store_answers || paused {
            return;
        }
        self.handed_over_at = Some(now);
        self.order.penalize(now);
        self.resigning = true;
        actions.push(ElectionAction::HandingOver { to });
    }

    fn retry_later(&mut self, now: Millis) {
        self.in_flight = InFlight::Nothing;
        self.next_request = now + RETRY_PAUSE;
    }

    fn read_rows(&mut self, actions: &mut Vec<ElectionAction>) {
        self.in_flight = InFlight::Read;
        actions.push(ElectionAction::Read {
            lease: lease_key(&self.region),
            term: term_key(&self.region),
        });
    }

    fn handle_rows(
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
            .and_then(|held| self.pending.iter().find(|write| write.lease == *held).cloned());
        match (self.role, own) {
            (Role::Candidate, Some(own)) => {
                let fence = term.as_ref().map_or(0, |row| row.version);
                self.become_holder(now, own, version, fence, actions);
            }
            (Role::Candidate, None) => self.observe(now, sent, version, held, term, actions),
            (Role::Holder | Role::Releasing(_), Some(own)) => self.lease_renewed(now, &own, version, actions),
            (Role::Holder | Role::Releasing(_), None) if version == self.version => self.retry_later(now),
            (Role::Holder | Role::Releasing(_), None) => self.lose_lease(now, actions),
            (Role::Resigned, _) => {}
        }
    }

    fn observe(
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
        // A row with a new version may have been written just before it was read.
        let mut seen = match self.observed {
            Some(seen) if seen.version == version => seen,
            _ => Observed {
                version,
                expiry: if free { sent } else { now + ttl },
                vacant_since: None,
            },
        };
        if sent >= seen.expiry {
            seen.vacant_since.get_or_insert(sent);
        }
        self.observed = Some(seen);
        self.pending.retain(|write| write.replaces == version);
        if !free {
            self.order.set_announced(false);
        }
        let delay = self.order.delay(now, self.view_spread(&seen));
        let claim_at = seen.vacant_since.map(|since| since + delay);
        // The lease of an earlier process of this daemon can be claimed at once, since that process is gone, unless
        // another daemon should be the scheduler.
        let own = held
            .as_ref()
            .is_some_and(|lease| lease.holder.as_ref() == Some(&self.me) && lease.incarnation < self.incarnation);
        let next = claim_at.unwrap_or(seen.expiry).max(now + MIN_POLL_INTERVAL);
        self.next_request = next.min(now + self.times.poll_interval);
        if self.resigning {
            self.pending.clear();
        } else if claim_at.is_some_and(|at| sent >= at) || (own && delay == Millis::ZERO) {
            self.claim(now, version, term, actions);
        } else if claim_at.is_some()
            && self.delay_reported != Some(version)
            && let Some(rank) = self.order.rank()
        {
            self.delay_reported = Some(version);
            actions.push(ElectionAction::ClaimDelayed { rank, delay });
        }
    }

    /// How much later than this daemon another candidate may learn that the lease may be claimed: one that missed the
    /// last renewal reads the row after the holdoff. After an outage of the table service it reads the row once its last
    /// failed read has timed out, and then waits for a lease that starts at its read.
    fn view_spread(&self, seen: &Observed) -> Millis {
        let late = seen.vacant_since.map_or(Millis::ZERO, |since| since.since(seen.expiry));
        match late > self.times.poll_interval {
            true => self.times.ttl + RETRY_PAUSE + RETRY_PAUSE,
            false => self.times.poll_holdoff,
        }
    }

    fn claim(&mut self, now: Millis, version: u64, term: Option<Row>, actions: &mut Vec<ElectionAction>) {
        let old = term.as_ref().and_then(|row| row.value.parse().ok()).unwrap_or(0);
        self.term = Term(old + 1);
        self.renewal += 1;
        let lease = self.new_lease(Some(self.me.clone()));
        let key = term_key(&self.region);
        let mut transaction = self.lease_write(version, &lease);
        transaction.checks.push(Check {
            key: key.clone(),
            version: term.map_or(0, |row| row.version),
        });
        transaction.writes.push(Write {
            key,
            value: Some(self.term.to_string()),
        });
        self.commit(now, (lease, version), transaction, actions);
    }

    fn new_lease(&self, holder: Option<DaemonName>) -> Lease {
        Lease {
            holder,
            incarnation: self.incarnation,
            term: self.term,
            ttl: self.ttl,
            renewal: self.renewal,
            address: self.address.clone(),
        }
    }

    fn lease_write(&self, version: u64, lease: &Lease) -> Transaction {
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

    /// Commits `lease` by a transaction that replaces the row of version `replaces`.
    fn commit(
        &mut self,
        now: Millis,
        (lease, replaces): (Lease, u64),
        transaction: Transaction,
        actions: &mut Vec<ElectionAction>,
    ) {
        // All writes with the same expected version exclude each other; older ones can no longer take effect.
        const MAX_PENDING: usize = 64;
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(PendingWrite {
            lease,
            replaces,
            sent_at: now,
        });
        self.in_flight = InFlight::Commit;
        actions.push(ElectionAction::Commit(transaction));
    }

    fn handle_committed(&mut self, now: Millis, version: u64, actions: &mut Vec<ElectionAction>) {
        let Some(own) = self.pending.last().cloned() else {
            return;
        };
        match self.role {
            Role::Candidate => self.become_holder(now, own, version, version, actions),
            Role::Holder | Role::Releasing(_) => self.lease_renewed(now, &own, version, actions),
            Role::Resigned => {}
        }
    }

    fn become_holder(
        &mut self,
        now: Millis,
        own: PendingWrite,
        version: u64,
        fence: u64,
        actions: &mut Vec<ElectionAction>,
    ) {
        self.role = Role::Holder;
        self.elected_at = now;
        self.term = own.lease.term;
        self.valid = false;
        self.reported_until = None;
        actions.push(ElectionAction::Elected { term: self.term, fence });
        self.lease_renewed(now, &own, version, actions);
    }

    fn lease_renewed(&mut self, now: Millis, own: &PendingWrite, version: u64, actions: &mut Vec<ElectionAction>) {
        self.version = version;
        self.renewed_at = now;
        self.pending.clear();
        self.valid_until = own.sent_at + (own.lease.ttl - self.times.margin);
        let stretch = Millis(now.since(own.sent_at).0 * STRETCH_FACTOR);
        self.ttl = self.times.ttl + stretch.min(Millis(self.times.ttl.0 * MAX_STRETCH_TTLS));
        self.next_request = match self.role {
            Role::Holder => own.sent_at + self.times.renew_interval,
            _ => now,
        };
        if own.lease.holder.is_none() {
            self.finish_resigning(actions);
        }
    }

    fn lose_lease(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.role == Role::Holder {
            actions.push(ElectionAction::Deposed);
            if now < self.elected_at + SHORT_TENURE {
                self.order.penalize(now);
            }
        }
        self.valid = false;
        self.pending.clear();
        self.observed = None;
        self.next_request = now + self.times.poll_interval;
        self.role = match self.role {
            Role::Releasing(_) => Role::Resigned,
            _ => Role::Candidate,
        };
        if self.role == Role::Resigned {
            actions.push(ElectionAction::Resigned);
        }
    }

    /// Reports until when the lease is valid, after the election and on each change.
    fn report_validity(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.role != Role::Holder {
            return;
        }
        let held = now < self.valid_until;
        let until = self.valid_until;
        if held != self.valid || self.reported_until != Some(until) {
            self.valid = held;
            self.reported_until = Some(until);
            actions.push(ElectionAction::LeaseValid { until });
        }
    }

    fn send_due(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        if self.resigning {
            self.release(now, actions);
        }
        if self.in_flight != InFlight::Nothing || now < self.next_request {
            return;
        }
        match self.role {
            // While it resigns, this daemon still has to know the outcome of a claim.
            Role::Candidate => self.read_rows(actions),
            Role::Holder => self.renew(now, Some(self.me.clone()), actions),
            Role::Releasing(_) => self.renew(now, None, actions),
            Role::Resigned => {}
        }
    }

    fn renew(&mut self, now: Millis, holder: Option<DaemonName>, actions: &mut Vec<ElectionAction>) {
        self.renewal += 1;
        let lease = self.new_lease(holder);
        // Once this renewal takes effect, candidates count by its ttl, which may be shorter than that of the last one;
        // this daemon may learn of the effect late.
        self.valid_until = self.valid_until.min(now + (lease.ttl - self.times.margin));
        let transaction = self.lease_write(self.version, &lease);
        self.commit(now, (lease, self.version), transaction, actions);
    }

    fn release(&mut self, now: Millis, actions: &mut Vec<ElectionAction>) {
        match self.role {
            Role::Holder => {
                self.role = Role::Releasing(now + self.times.ttl);
                self.valid = false;
                self.next_request = now;
                actions.push(ElectionAction::Deposed);
            }
            // A pending claim may still make this daemon the holder, so its outcome is awaited.
            Role::Candidate if self.pending.is_empty() => self.finish_resigning(actions),
            Role::Releasing(deadline) if now >= deadline => self.finish_resigning(actions),
            _ => {}
        }
    }

    fn finish_resigning(&mut self, actions: &mut Vec<ElectionAction>) {
        self.role = Role::Resigned;
        actions.push(ElectionAction::Resigned);
    }
}
