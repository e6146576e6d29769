//! A worker as the scheduler of steps sees it: its place, its clock, the lease of what runs there, and its ends.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{DomainName, Incarnation, RackName, WorkerName};
use crate::record;
use crate::steps::ejection::Ejection;
use crate::steps::spec::{Demand, ServiceName, TaskKey};

/// A run: the task and the number of the run.
pub(crate) type RunKey = (TaskKey, u32);

/// Lease of all that runs on a worker, from each renewal on. Outlasts the election of a new scheduler after a crash
/// (ttl of its lease, takeover, one poll of 2 s) and stays below the longest that workers grant.
pub(crate) const LEASE: Millis = Millis(8_000);

/// By how much a lease may last longer than its length, in thousandths: workers' clocks may be 2% slow.
const SLOW_CLOCK: u64 = 1_025;

/// Added to the end of a lease for rounding and for the time of an answer.
const LEASE_SLACK: Millis = Millis(100);

/// Part of a new observation in the pace of a worker, in percent: five tasks tell it well enough.
const PACE_GAIN: u64 = 25;

/// Longest time that counts for the pace, in percent of the usual: a worker that was slow for some seconds is not
/// taken for one that is always.
const MAX_PACE: u64 = 200;

/// Unanswered calls in a row after which a worker takes no new work until it answers.
const SUSPECT_FAILURES: u32 = 2;

record! {
    /// A worker of the platform's list.
    pub struct HostInfo {
        /// Its id.
        pub name: WorkerName,
        /// Address of its service, `ip:port`.
        pub address: String,
        /// The service that it belongs to.
        pub service: ServiceName,
        /// Failure domain.
        pub domain: DomainName,
        /// Rack.
        pub rack: RackName,
        /// All its labels.
        pub labels: BTreeSet<String>,
        /// What it has.
        pub capacity: Demand,
        /// Whether it is going away and takes nothing new.
        pub draining: bool,
        /// The least time that is left while it drains.
        pub remaining: Option<Millis>,
        /// Its incarnation.
        pub incarnation: Incarnation,
    }
}

record! {
    /// News of the platform's list of workers.
    #[derive(Default)]
    pub struct HostUpdate {
        /// Whether `changed` is the whole list.
        pub full: bool,
        /// New and changed entries.
        pub changed: Vec<HostInfo>,
        /// Ids of removed entries.
        pub removed: Vec<WorkerName>,
    }
}

/// A reading of a worker's own clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    theirs: Millis,
    ours: Millis,
}

/// An end that the worker lists until it is acknowledged.
#[derive(Clone, Copy, Debug)]
struct ListedEnd {
    run: RunKey,
    durable: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// The list's entry; none for a worker that is known from the journal only.
    pub(crate) info: Option<HostInfo>,
    /// Whether the list has an entry at present.
    pub(crate) listed: bool,
    pub(crate) incarnation: Incarnation,
    /// Whether its lists were read under this term, in this incarnation.
    pub(crate) claimed: bool,
    clock: Option<Reading>,
    /// After this no run there can be alive, nor can an order on its way start one.
    pub(crate) expiry: Millis,
    /// A hold that waits for an end is on its way.
    pub(crate) holding: bool,
    /// A hold that is answered at once is on its way.
    pub(crate) looking: bool,
    /// When a hold was sent last.
    pub(crate) held: Millis,
    /// No hold before this.
    pub(crate) hold_after: Millis,
    /// Calls in a row without an answer.
    pub(crate) failures: u32,
    pub(crate) used: Demand,
    pub(crate) runs: BTreeSet<RunKey>,
    ends: BTreeMap<u64, ListedEnd>,
    /// Ends up to this one are acknowledged.
    pub(crate) acked: u64,
    /// When a worker that drains may be gone.
    pub(crate) leaves: Option<Millis>,
    pub(crate) guard: Ejection,
    /// How long tasks take there, in percent of the usual.
    pub(crate) pace: u64,
}

impl Host {
    /// A worker whose runs, if any, may live until `expiry`.
    pub(crate) fn new(incarnation: Incarnation, expiry: Millis) -> Self {
        Self {
            info: None,
            listed: false,
            incarnation,
            claimed: false,
            clock: None,
            expiry,
            holding: false,
            looking: false,
            held: Millis::ZERO,
            hold_after: Millis::ZERO,
            failures: 0,
            used: Demand::default(),
            runs: BTreeSet::new(),
            ends: BTreeMap::new(),
            acked: 0,
            leaves: None,
            guard: Ejection::default(),
            pace: 100,
        }
    }

    /// Takes note of how long a task took, in percent of the usual.
    pub(crate) fn note_pace(&mut self, percent: u64) {
        self.pace = (self.pace * (100 - PACE_GAIN) + percent.min(MAX_PACE) * PACE_GAIN) / 100;
    }

    /// Forgets everything about the incarnation before.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.claimed = false;
        self.clock = None;
        self.expiry = Millis::ZERO;
        self.ends.clear();
        self.acked = 0;
        self.failures = 0;
        self.leaves = None;
        self.guard = Ejection::default();
    }

    /// Whether new work may be placed there.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        let draining = self.info.as_ref().is_none_or(|info| info.draining);
        self.listed && self.claimed && !draining && self.failures < SUSPECT_FAILURES && !self.guard.is_ejected(now)
    }

    /// Takes a reading of the worker's clock from an answer that arrived at `now`.
    pub(crate) fn read_clock(&mut self, theirs: Millis, now: Millis) {
        if self.clock.is_none_or(|reading| reading.theirs <= theirs) {
            self.clock = Some(Reading { theirs, ours: now });
        }
    }

    /// The deadline, on the worker's clock, of a lease that starts now; none before its clock was read.
    /// From then on the worker counts as leased until that deadline has passed for certain.
    pub(crate) fn lease(&mut self, now: Millis) -> Option<Millis> {
        let reading = self.clock?;
        let deadline = reading.theirs + now.since(reading.ours) + LEASE;
        let span = Millis(deadline.since(reading.theirs).0 * SLOW_CLOCK / 1_000);
        self.expiry = self.expiry.max(reading.ours + span + LEASE_SLACK);
        Some(deadline)
    }

    /// The longest time that a lease which starts now may last.
    pub(crate) fn longest_lease() -> Millis {
        Millis(LEASE.0 * SLOW_CLOCK / 1_000) + LEASE_SLACK
    }

    /// Notes a listed end; false if it was listed before.
    pub(crate) fn list_end(&mut self, number: u64, run: RunKey) -> bool {
        let new = number > self.acked && !self.ends.contains_key(&number);
        if new {
            self.ends.insert(number, ListedEnd { run, durable: false });
        }
        new
    }

    /// Notes that nothing further has to be stored about the end of a run.
    pub(crate) fn settle_end(&mut self, run: RunKey) {
        for end in self.ends.values_mut().filter(|end| end.run == run) {
            end.durable = true;
        }
    }

    /// The number up to which all ends may be acknowledged. A worker lists all ends that are not, lowest first; those
    /// before were acknowledged by an earlier scheduler.
    pub(crate) fn cursor(&self) -> u64 {
        let durable = self.ends.iter().take_while(|(_, end)| end.durable);
        durable.last().map_or(self.acked, |(number, _)| *number)
    }

    /// Whether listed ends are not stored yet.
    pub(crate) fn owes_end(&self) -> bool {
        self.ends.values().any(|end| !end.durable)
    }

    /// Whether ends wait to be acknowledged.
    pub(crate) fn owes_ack(&self) -> bool {
        self.cursor() > self.acked
    }

    /// The worker has taken the acknowledgement.
    pub(crate) fn acknowledge(&mut self, cursor: u64) {
        self.acked = self.acked.max(cursor);
        self.ends.retain(|number, _| *number > cursor);
    }
}
