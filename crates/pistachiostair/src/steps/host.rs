//! A worker of step jobs, called a host, as the scheduler of steps knows it: its entry in the platform's list, its
//! clock, the lease of its runs, and the ends that it lists until they are acknowledged.
//!
//! All runs on a host share one lease, which the host keeps by its own clock. [`Host`] computes a time, by the
//! scheduler's clock, after which that lease has ended for certain.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{DomainName, Incarnation, RackName, WorkerName};
use crate::record;
use crate::steps::ejection::Ejection;
use crate::steps::engine::Context;
use crate::steps::open_orders::MAX_ORDER_DELAY;
use crate::steps::spec::{Demand, ServiceName, TaskKey};
use crate::steps::speed::SpeedClass;

/// Identifies a run: its task and its run number, counted from 1 per task. Members of a gang share the number.
pub(crate) type RunKey = (TaskKey, u32);

/// Length of the lease of a host's runs, from each renewal on. It outlasts the election of a new scheduler after a
/// crash (ttl of the scheduler's lease, takeover, one poll of 2 s) and is shorter than the longest that workers accept.
pub(crate) const LEASE: Millis = Millis(8_000);

/// Longest time that a lease lasts on a slow clock, in thousandths of its length: workers' clocks may be 2% slow.
const SLOW_CLOCK_PERMILLE: u64 = 1_025;

/// Margin on the computed end of a lease, for rounding and for the time that a reply takes.
const LEASE_SLACK: Millis = Millis(100);

/// Age of the last reading of a worker's clock from which on it is read again. A lease computed from it is up to 2.5% of
/// the age shorter than it should be.
const MAX_READING_AGE: Millis = Millis(60_000);

/// Failed calls in a row from which on a host gets no new tasks until it answers.
const SUSPECT_FAILURES: u32 = 2;

/// Shortest time between two hold orders to a worker that lists ends which may not be acknowledged yet, or that has no
/// runs and does not answer: a fraction of the lease that they renew.
const RETRY_GAP: Millis = Millis(1_000);

/// Longest lease that workers accept, with a margin for slow clocks.
pub(crate) const MAX_LEASE: Millis = Millis(10_500);

/// A worker takes longer than this to crash, start again and end a run.
const MIN_RESTART: Millis = Millis(50);

/// Time for which a worker gets no new tasks after it refused one for want of room: the platform's list may show a
/// smaller capacity only then.
const NO_ROOM_PAUSE: Millis = Millis(500);

/// Time without an answer after which a worker whose last call failed counts as silent.
const SILENCE: Millis = Millis(1_000);

/// Shortest time between two hold orders to a worker otherwise.
const HOLD_GAP: Millis = Millis(20);

record! {
    /// An entry of the platform's list of workers.
    pub struct HostInfo {
        /// Name of the worker.
        pub name: WorkerName,
        /// Address of its service, `ip:port`.
        pub address: String,
        /// The service whose tasks the worker runs.
        pub service: ServiceName,
        /// Failure domain that the worker is in.
        pub domain: DomainName,
        /// Rack that the worker is in.
        pub rack: RackName,
        /// All its labels, which [`Step::requires`](crate::steps::Step::requires) refers to.
        pub labels: BTreeSet<String>,
        /// Its total resources, whether in use or not.
        pub capacity: Demand,
        /// Whether the worker is shutting down and must get no new tasks.
        pub draining: bool,
        /// The least time until a draining worker is gone; if absent, it may be gone at any time.
        pub remaining: Option<Millis>,
        /// Its incarnation, which grows with each restart.
        pub incarnation: Incarnation,
        /// Version of its software; empty if its entry has none.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub version: String,
        /// The machine that it runs on, whose speed stays the same when the worker returns under another name; the
        /// worker's name if the entry does not give it.
        #[serde(default)]
        pub machine: String,
    }
}

record! {
    /// A change of the platform's list of workers, or the whole list.
    #[derive(Default)]
    pub struct HostUpdate {
        /// Time at which the list was current for certain, by the scheduler's clock: when it was requested.
        #[serde(default)]
        pub confirmed: Millis,
        /// Whether `changed` is the whole list; workers that it lacks are then no longer listed.
        pub full: bool,
        /// New and changed entries.
        pub changed: Vec<HostInfo>,
        /// Names of workers that the list no longer has.
        pub removed: Vec<WorkerName>,
    }
}

/// A reading of a host's clock, with the scheduler's clock when the reply that brought it arrived.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    remote: Millis,
    local: Millis,
}

/// An end that the host lists until it is acknowledged; `durable` once nothing further has to be stored about it.
#[derive(Clone, Copy, Debug)]
struct ListedEnd {
    run: RunKey,
    durable: bool,
}

/// A worker that runs tasks of step jobs. Times are by the scheduler's clock unless stated otherwise.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// Number by which runs refer to it, never used again under this term.
    pub(crate) number: u32,
    /// Number of its rack in [`StepScheduler::racks`](crate::steps::StepScheduler); 0 before it is listed.
    pub(crate) rack: u32,
    /// Its entry in the platform's list; none for a worker that is known from the journal only.
    pub(crate) info: Option<HostInfo>,
    /// Whether the platform's list has the worker at present.
    pub(crate) listed: bool,
    /// The last incarnation that its own lists or the journal gave.
    pub(crate) incarnation: Incarnation,
    /// A later incarnation that only the platform's list gives.
    pub(crate) claimed: Option<Incarnation>,
    /// Whether its lists of runs and ends were read under this term, in this incarnation.
    pub(crate) synced: bool,
    /// When its lists were read last in this incarnation.
    listed_at: Option<Millis>,
    clock: Option<ClockReading>,
    /// Time after which no run there can be alive, and no order still on its way can start one.
    pub(crate) expiry: Millis,
    /// Whether a hold order that may wait for an end is unanswered.
    pub(crate) waiting_hold: bool,
    /// Whether a hold order that asks for an immediate reply is unanswered.
    pub(crate) instant_hold: bool,
    /// When a hold order was sent last.
    pub(crate) last_hold: Millis,
    /// Time before which no hold order is sent.
    pub(crate) hold_after: Millis,
    /// Failed calls in a row: the host was not reached, did not answer or was unhealthy.
    pub(crate) failures: u32,
    /// Whether the last call was not answered at all, not even by a refusal.
    last_unanswered: bool,
    /// When a call was last answered, if only by a refusal.
    answered_at: Millis,
    /// Since when this scheduler has known its present incarnation.
    pub(crate) known_since: Millis,
    /// When that incarnation last answered a call, or [`Self::known_since`] if it has not.
    pub(crate) alive_at: Millis,
    /// Time before which it gets no new tasks, since it refused one for want of room.
    full_until: Millis,
    /// Whether the connection for the last order was refused.
    pub(crate) refused: bool,
    /// Resources of the runs there that have not ended.
    pub(crate) used: Demand,
    /// Runs there whose end is not stored yet.
    pub(crate) runs: BTreeSet<RunKey>,
    /// Ends that the host lists, by number.
    ends: BTreeMap<u64, ListedEnd>,
    /// Whether its last lists may lack ends, which it lists once others are acknowledged.
    pub(crate) more_ends: bool,
    /// Number of the last end that the host knows to be acknowledged.
    pub(crate) acked: u64,
    /// Whether the last hold order was sent without a cursor, for the reply to confirm the incarnation.
    pub(crate) confirming: bool,
    /// When the order that carries a cursor was sent whose outcome is not known yet.
    cursor_sent: Option<Millis>,
    /// When the last order with a cursor was sent that was not answered.
    cursor_lost: Option<Millis>,
    /// Time before which a cursor that was meant for an earlier incarnation may still arrive.
    cursor_until: Millis,
    /// When the worker was last found to have crashed.
    pub(crate) crashed_at: Option<Millis>,
    /// Whether another incarnation answered at its address since it last answered itself.
    pub(crate) replaced: bool,
    /// Whether its present incarnation has drained, so that its end is expected.
    pub(crate) drained: bool,
    /// When a draining worker may be gone; none if it does not drain.
    pub(crate) leaves_at: Option<Millis>,
    /// Whether the host is ejected after failures or for being slow, and until when.
    pub(crate) ejection: Ejection,
    /// Speed of its machine, from [`StepScheduler::speeds`](crate::steps::StepScheduler).
    pub(crate) speed: SpeedClass,
}

/// Time by the scheduler's clock after which `span` has passed on the clock of a worker for certain, counted from its
/// reply.
pub(crate) fn longest(span: Millis) -> Millis {
    Millis(span.0 * SLOW_CLOCK_PERMILLE / 1_000) + LEASE_SLACK
}

impl Host {
    /// A worker whose lists are not read yet and whose runs, if any, may be alive until `expiry`.
    pub(crate) fn new(number: u32, incarnation: Incarnation, expiry: Millis, now: Millis) -> Self {
        Self {
            number,
            rack: 0,
            info: None,
            listed: false,
            incarnation,
            claimed: None,
            synced: false,
            listed_at: None,
            clock: None,
            expiry,
            waiting_hold: false,
            instant_hold: false,
            last_hold: Millis::ZERO,
            hold_after: Millis::ZERO,
            failures: 0,
            last_unanswered: false,
            answered_at: Millis::ZERO,
            known_since: now,
            alive_at: now,
            full_until: Millis::ZERO,
            refused: false,
            used: Demand::default(),
            runs: BTreeSet::new(),
            ends: BTreeMap::new(),
            more_ends: false,
            acked: 0,
            confirming: false,
            cursor_sent: None,
            cursor_lost: None,
            cursor_until: Millis::ZERO,
            crashed_at: None,
            replaced: false,
            drained: false,
            leaves_at: None,
            ejection: Ejection::default(),
            speed: SpeedClass::default(),
        }
    }

    /// Replaces the earlier incarnation and forgets its clock, lease, ends and failures. Its runs stay for the caller
    /// to end.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, now: Millis) {
        self.incarnation = incarnation;
        let open = self.cursor_sent.take().max(self.cursor_lost.take());
        self.cursor_until = open
            .map_or(Millis::ZERO, |sent| sent + MAX_ORDER_DELAY)
            .max(self.cursor_until);
        self.known_since = now;
        self.alive_at = now;
        self.synced = false;
        self.listed_at = None;
        self.clock = None;
        self.expiry = Millis::ZERO;
        self.ends.clear();
        self.more_ends = false;
        self.acked = 0;
        self.failures = 0;
        self.last_unanswered = false;
        self.full_until = Millis::ZERO;
        self.refused = false;
        self.replaced = false;
        self.drained = false;
        self.leaves_at = None;
        self.ejection = Ejection::default();
    }

    /// Takes note of the incarnation in its entry of the platform's list. A later one than the known counts once the
    /// worker's own lists give it, since the entry may come from another writer; until then it takes no new tasks.
    /// Returns whether the worker must be asked.
    pub(crate) fn claim(&mut self, incarnation: Incarnation) -> bool {
        let listed = self.info.as_ref().map(|info| info.incarnation);
        if incarnation <= self.incarnation {
            self.claimed = None;
            return false;
        }
        let new = listed != Some(incarnation);
        if new {
            self.claimed = Some(incarnation);
            self.synced = false;
            self.hold_after = Millis::ZERO;
        }
        new
    }

    /// Takes note of lists of the known incarnation, in reply to an order for `target`. They refute a claimed
    /// incarnation if the order was sent after the claim; a reply to an earlier order may come from an earlier life.
    pub(crate) fn sync(&mut self, target: Incarnation, now: Millis) {
        self.listed_at = Some(now);
        let open = |claimed: &Incarnation| *claimed > self.incarnation && *claimed != target;
        self.claimed = self.claimed.filter(open);
        self.synced = self.claimed.is_none();
    }

    /// The incarnation that hold orders are meant for.
    pub(crate) fn expected(&self) -> Incarnation {
        self.claimed.unwrap_or(self.incarnation)
    }

    /// Whether its incarnation is not known yet: no lists were read, and the journal has no run there.
    pub(crate) fn is_new(&self) -> bool {
        self.incarnation == Incarnation::default() && self.runs.is_empty()
    }

    /// Whether new tasks may be placed there, and it is not ejected.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.is_open(now) && !self.ejection.is_ejected(now)
    }

    /// Whether new tasks may be placed there at need: listed in the present incarnation, not draining, its lists read and
    /// safe from cursors of an earlier one, and answering.
    pub(crate) fn is_open(&self, now: Millis) -> bool {
        // The capacity of an earlier incarnation may be another one. An entry without an incarnation has 0.
        let current = |info: &HostInfo| info.incarnation >= self.incarnation || info.incarnation == Incarnation(0);
        let open = self.info.as_ref().is_some_and(|info| !info.draining && current(info));
        let reachable = self.synced && self.failures < SUSPECT_FAILURES && self.cursor_wait(now).is_none();
        self.listed && reachable && open
    }

    /// Takes note of a task that was refused for want of room.
    pub(crate) fn note_full(&mut self, now: Millis) {
        self.full_until = now + NO_ROOM_PAUSE;
    }

    /// Whether it refused a task for want of room a short time ago. What is reserved there stays reserved.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }

    /// Whether the runs there, including those that are being stopped, exceed its capacity, which may have shrunk.
    pub(crate) fn is_over_capacity(&self) -> bool {
        self.info.as_ref().is_some_and(|info| !self.used.fits(&info.capacity))
    }

    /// Whether a hold order is due: the host has runs or lists ends, or its lists were not read yet or its clock not for
    /// long; no other hold order is unanswered, and the last one is long enough ago. A host that lists ends replies at
    /// once, so while some may not be acknowledged yet it is asked less often, and so is one without runs that did not
    /// answer: only an answer makes it usable again.
    pub(crate) fn is_hold_due(&self, now: Millis) -> bool {
        if self.waiting_hold || self.instant_hold || now < self.hold_after {
            return false;
        }
        let suspect = self.listed && self.failures >= SUSPECT_FAILURES;
        let unread = self.listed && (!self.synced || self.is_reading_old(now));
        let needed = !self.runs.is_empty() || !self.ends.is_empty() || unread || suspect;
        let ack = self.has_ack_due() && self.is_certain(now);
        let gap = match ack && self.confirming {
            // The cursor goes out before the reply is too old.
            true => Millis::ZERO,
            false if !ack && self.has_unstored_end() || suspect && self.runs.is_empty() => RETRY_GAP,
            false => HOLD_GAP,
        };
        needed && now >= self.last_hold + gap
    }

    /// Whether its clock was read so long ago that a lease computed from it would be much too short.
    fn is_reading_old(&self, now: Millis) -> bool {
        self.clock
            .is_some_and(|reading| now.since(reading.local) >= MAX_READING_AGE)
    }

    /// Takes note of whether a call was answered, if only by a refusal.
    pub(crate) fn note_answer(&mut self, now: Millis, answered: bool) {
        self.last_unanswered = !answered;
        if answered {
            self.answered_at = now;
            self.refused = false;
        }
    }

    /// Whether its last call was not answered, or only by another incarnation.
    pub(crate) fn is_failing(&self) -> bool {
        self.last_unanswered || self.replaced
    }

    /// Whether it has answered nothing for a while. One that answers some of its calls is not silent.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        self.last_unanswered && now.since(self.answered_at) >= SILENCE
    }

    /// Whether it drains, its least remaining time is over and its last call failed, so that it may have left. That is no
    /// proof: connections to a worker that is cut off are refused or unanswered too, while it works on.
    pub(crate) fn may_have_left(&self, now: Millis) -> bool {
        self.failures > 0 && self.leaves_at.is_some_and(|leaves| now >= leaves)
    }

    /// Whether a tick has something to do: the lease of its runs has ended, it drains with runs on it, or a hold order
    /// is due.
    pub(crate) fn has_due_work(&self, now: Millis) -> bool {
        let busy = !self.runs.is_empty();
        (busy && (now > self.expiry || self.leaves_at.is_some())) || self.is_hold_due(now)
    }

    /// Keeps a reading of the host's clock from a reply that arrived at `now`; one lower than the last is ignored.
    pub(crate) fn read_clock(&mut self, remote: Millis, now: Millis) {
        if self.clock.is_none_or(|reading| reading.remote <= remote) {
            self.clock = Some(ClockReading { remote, local: now });
        }
    }

    /// Starts or renews the lease: returns its deadline on the host's clock, or none if that clock was not read yet or
    /// this scheduler may grant no leases any more. Every order that carries a deadline takes it from here.
    /// Moves [`Self::expiry`] to a time by which the deadline has passed on the host's clock even if that is slow.
    pub(crate) fn lease(&mut self, cx: &Context<'_>) -> Option<Millis> {
        let reading = self.clock.filter(|_| cx.may_grant())?;
        // The clock may have been slow since the reading. A lease beyond LEASE would outlast what a successor counts on.
        let elapsed = Millis(cx.now.since(reading.local).0 * 1_000 / SLOW_CLOCK_PERMILLE);
        self.expiry = self.expiry.max(cx.now + Self::max_lease());
        Some(reading.remote + elapsed + LEASE)
    }

    /// Longest duration of a lease that starts now, by the scheduler's clock.
    pub(crate) fn max_lease() -> Millis {
        longest(LEASE)
    }

    /// Adds an end that the host lists; false if it is known or acknowledged already.
    pub(crate) fn add_end(&mut self, number: u64, run: RunKey) -> bool {
        let new = number > self.acked && !self.ends.contains_key(&number);
        if new {
            self.ends.insert(number, ListedEnd { run, durable: false });
        }
        new
    }

    /// Allows the end of a run to be acknowledged: it is stored, or need not be.
    pub(crate) fn mark_end_durable(&mut self, run: RunKey) {
        for end in self.ends.values_mut().filter(|end| end.run == run) {
            end.durable = true;
        }
    }

    /// Whether a listed end may be acknowledged, or was.
    pub(crate) fn is_end_durable(&self, number: u64) -> bool {
        self.ends.get(&number).is_none_or(|end| end.durable)
    }

    /// The number up to which all ends may be acknowledged. A host lists its unacknowledged ends lowest number first;
    /// ends below the listed ones were acknowledged by an earlier scheduler.
    pub(crate) fn ack_cursor(&self) -> u64 {
        let durable = self.ends.iter().take_while(|(_, end)| end.durable);
        durable.last().map_or(self.acked, |(number, _)| *number)
    }

    /// Whether a listed end is not stored yet.
    pub(crate) fn has_unstored_end(&self) -> bool {
        self.ends.values().any(|end| !end.durable)
    }

    /// Number of listed ends that are not stored yet.
    pub(crate) fn unstored_ends(&self) -> usize {
        self.ends.values().filter(|end| !end.durable).count()
    }

    /// Whether ends may be acknowledged that the host does not know to be.
    pub(crate) fn has_ack_due(&self) -> bool {
        self.ack_cursor() > self.acked
    }

    /// The cursor for a hold order that is sent now and waits at the host for up to `wait`; 0 to acknowledge nothing.
    ///
    /// A later incarnation under the same name would drop ends by it that nobody has seen. So only orders that the host
    /// answers at once carry one, a short time after its lists have told its incarnation.
    pub(crate) fn send_cursor(&mut self, now: Millis, wait: Millis) -> u64 {
        let certain = self.is_certain(now);
        self.confirming = self.has_ack_due() && !certain;
        if wait > Millis::ZERO || !certain || !self.has_ack_due() {
            return 0;
        }
        self.cursor_sent = Some(now);
        self.ack_cursor()
    }

    /// Whether it can't have restarted and ended a run since its last lists.
    fn is_certain(&self, now: Millis) -> bool {
        let answering = self.failures == 0 && !self.replaced;
        self.synced && answering && self.listed_at.is_some_and(|at| now.since(at) <= MIN_RESTART)
    }

    /// Takes note of the outcome of a hold order that carried a cursor. One without an answer may still be carried out.
    pub(crate) fn note_cursor_outcome(&mut self, unanswered: bool) {
        let sent = self.cursor_sent.take();
        if let Some(sent) = sent.filter(|_| unanswered) {
            self.cursor_lost = Some(sent);
        }
    }

    /// For how long an order to an earlier incarnation may still make this one drop ends; none if none can.
    pub(crate) fn cursor_wait(&self, now: Millis) -> Option<Millis> {
        (now < self.cursor_until).then(|| self.cursor_until.since(now))
    }

    /// Drops the ends up to `cursor`, whose acknowledgement has reached the host.
    pub(crate) fn acknowledge(&mut self, cursor: u64) {
        self.acked = self.acked.max(cursor);
        self.ends.retain(|number, _| *number > cursor);
    }
}
