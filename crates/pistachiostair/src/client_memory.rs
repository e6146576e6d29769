//! One budget of a process for what clients make it hold: the accounts of [`MemoryBudget`] with a lock, counters, a log
//! line, and the means to tell a connection that it is evicted.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_net::TcpListener;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};

use crate::clock::{Clock, Millis};
use crate::kernel::Stop;
use crate::memory_budget::{BudgetLimits, HolderId, MemoryBudget, Stage, Verdict};
use crate::metrics::ClientCounts;

/// Receive buffer of a connection, in bytes, as it is set; the kernel doubles it for its own records. It takes a body of
/// 256 KiB in a third of a second if an answer takes 20 ms on the way.
const RECEIVE_BYTES: usize = 16 * 1024;

/// Send buffer of a connection, in bytes, as it is set.
const SEND_BYTES: usize = 32 * 1024;

/// What a connection costs without a request: its state, hyper's first read buffer of 8 KiB, and what the kernel may have
/// received and nobody has read.
const CONNECTION_BYTES: usize = 16 * 1024 + RECEIVE_BYTES;

/// Bytes that connections to the addresses of operators, readiness and metrics may hold besides the budget.
const RESERVED_BYTES: usize = 4 * 1024 * 1024;

/// Connections to these addresses at once.
const RESERVED_CONNECTIONS: usize = 64;

/// Shortest time between two lines in the log.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Least number of connections of clients, so that a wrong limit does not keep all callers out.
const MIN_CONNECTIONS: usize = 64;

/// Descriptors that a process may have if the kernel doesn't tell.
const DEFAULT_FILES: usize = 1_024;

/// Why a connection or a request was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shed {
    /// A connection was closed at accept.
    Closed,
    /// A request was refused, or its connection closed.
    Refused,
    /// A holder was evicted for others.
    Evicted,
    /// A body did not arrive in time.
    Stalled,
    /// A connection could not be accepted.
    Unaccepted,
}

impl Shed {
    fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Refused => "refused",
            Self::Evicted => "evicted",
            Self::Stalled => "stalled",
            Self::Unaccepted => "unaccepted",
        }
    }
}

struct State {
    budget: MemoryBudget,
    /// Raised to tell a connection that it is evicted.
    evictions: BTreeMap<HolderId, Stop>,
    /// Connections and requests shed since the last line in the log, and when that was written.
    unlogged: (u64, Option<Millis>),
}

/// The budget of a process for what clients make it hold, shared by all its HTTP servers.
pub struct ClientMemory {
    clock: Clock,
    state: Mutex<State>,
    /// Whether sockets get small buffers: not for servers without a budget.
    bounded: bool,
    counts: Option<ClientCounts>,
    log: Option<slog::Logger>,
}

/// A server without a budget, for tests and stand-ins.
impl Default for ClientMemory {
    fn default() -> Self {
        let limits = BudgetLimits {
            bytes: usize::MAX / 2,
            connections: usize::MAX / 2,
            reserved_bytes: usize::MAX / 2,
            reserved_connections: usize::MAX / 2,
        };
        Self::with(limits, false)
    }
}

impl ClientMemory {
    /// A budget of `bytes` and `connections` with its counters and its log.
    pub fn new(bytes: usize, connections: usize, counts: ClientCounts, log: slog::Logger) -> Self {
        let limits = BudgetLimits {
            bytes,
            connections,
            reserved_bytes: RESERVED_BYTES,
            reserved_connections: RESERVED_CONNECTIONS,
        };
        Self {
            counts: Some(counts),
            log: Some(log),
            ..Self::with(limits, true)
        }
    }

    fn with(limits: BudgetLimits, bounded: bool) -> Self {
        Self {
            clock: Clock::start(),
            state: Mutex::new(State {
                budget: MemoryBudget::new(limits),
                evictions: BTreeMap::new(),
                unlogged: (0, None),
            }),
            bounded,
            counts: None,
            log: None,
        }
    }

    /// Bytes charged now.
    pub fn held(&self) -> usize {
        self.lock().budget.held()
    }

    /// Bounds what the kernel receives for connections that `listener` accepts and nobody reads, and what it holds of
    /// answers.
    pub(crate) fn bound_buffers(&self, listener: &TcpListener) {
        if !self.bounded {
            return;
        }
        let set = set_socket_recv_buffer_size(listener, RECEIVE_BYTES)
            .and_then(|()| set_socket_send_buffer_size(listener, SEND_BYTES));
        if let (Err(error), Some(log)) = (set, &self.log) {
            slog::warn!(log, "clients: socket buffers not bounded"; "error" => %error);
        }
    }

    /// An account of a new connection; none if it has to be closed.
    pub(crate) fn open(self: &Arc<Self>, reserved: bool) -> Option<Arc<Account>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let (id, verdict) = state.budget.open(reserved, CONNECTION_BYTES, now);
        let evicted = Stop::new();
        if let Some(id) = id {
            state.evictions.insert(id, evicted.clone());
        }
        self.carry_out(state, verdict, Shed::Closed, now);
        Some(Arc::new(Account {
            memory: self.clone(),
            id: id?,
            evicted,
            answer: AtomicUsize::new(0),
        }))
    }

    /// Counts a connection that could not be accepted, for example for lack of descriptors.
    pub(crate) fn note_accept_error(&self) {
        let now = self.clock.now();
        self.count(&mut self.lock(), Shed::Unaccepted, 1, now);
    }

    /// Counts a connection that is closed at accept because of a server's own limit.
    pub(crate) fn note_closed(&self) {
        let now = self.clock.now();
        self.count(&mut self.lock(), Shed::Closed, 1, now);
    }

    /// Counts a request whose body stood still.
    pub(crate) fn note_stalled(&self) {
        let now = self.clock.now();
        self.count(&mut self.lock(), Shed::Stalled, 1, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("budget lock")
    }

    /// Tells the evicted holders; whether the charge was admitted.
    fn carry_out(&self, mut state: MutexGuard<'_, State>, verdict: Verdict, refused: Shed, now: Millis) -> bool {
        let (admitted, evicted) = match verdict {
            Verdict::Admit(evicted) => (true, evicted),
            Verdict::Refuse(evicted) => (false, evicted),
        };
        if !admitted {
            self.count(&mut state, refused, 1, now);
        }
        if !evicted.is_empty() {
            self.count(&mut state, Shed::Evicted, evicted.len() as u64, now);
        }
        let told: Vec<Stop> = evicted
            .iter()
            .filter_map(|id| state.evictions.get(id).cloned())
            .collect();
        if let Some(counts) = &self.counts {
            counts.held.set(state.budget.held() as i64);
        }
        // Raised without the lock: it wakes the connections' tasks.
        drop(state);
        told.iter().for_each(Stop::raise);
        admitted
    }

    fn count(&self, state: &mut State, shed: Shed, number: u64, now: Millis) {
        if let Some(counts) = &self.counts {
            counts.shed.with_label_values(&[shed.label()]).inc_by(number);
        }
        state.unlogged.0 += number;
        let due = state.unlogged.1.is_none_or(|last| now - last >= LOG_INTERVAL);
        if let (true, Some(log)) = (due, &self.log) {
            slog::warn!(log, "clients: shed"; "number" => state.unlogged.0, "last" => shed.label(),
                "held" => state.budget.held(), "connections" => state.budget.holders());
            state.unlogged = (0, Some(now));
        }
    }
}

/// The account of one connection; dropping it closes it.
pub(crate) struct Account {
    memory: Arc<ClientMemory>,
    id: HolderId,
    evicted: Stop,
    /// Bytes charged for the longest answer so far: hyper keeps a write buffer of that size.
    answer: AtomicUsize,
}

impl Account {
    pub(crate) fn memory(&self) -> &ClientMemory {
        &self.memory
    }

    /// Charges `bytes` more, before they are read; whether they may be held.
    pub(crate) fn charge(&self, bytes: usize) -> bool {
        let now = self.memory.clock.now();
        let mut state = self.memory.lock();
        let verdict = state.budget.charge(self.id, bytes, now);
        self.memory.carry_out(state, verdict, Shed::Refused, now)
    }

    /// Charges an answer of `bytes`, as far as no earlier one of the connection was as long; whether it may be held.
    pub(crate) fn charge_answer(&self, bytes: usize) -> bool {
        let before = self.answer.load(Ordering::Relaxed);
        let admitted = bytes <= before || self.charge(bytes - before);
        if admitted {
            self.answer.fetch_max(bytes, Ordering::Relaxed);
        }
        admitted
    }

    pub(crate) fn set_blocked(&self, blocked: bool) {
        self.memory.lock().budget.set_blocked(self.id, blocked);
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.memory.lock().budget.release(self.id, bytes);
    }

    pub(crate) fn enter(&self, stage: Stage) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.note(self.id, Some(stage), false, now);
    }

    /// Notes that bytes of the connection were received; whether they belong to the head of a request.
    pub(crate) fn received(&self) -> bool {
        let now = self.memory.clock.now();
        let budget = &mut self.memory.lock().budget;
        let stage = budget.stage(self.id).map(|stage| match stage {
            Stage::Silent | Stage::Idle => Stage::Head,
            Stage::Head | Stage::Body | Stage::Answering | Stage::Reading => stage,
        });
        budget.note(self.id, stage, true, now);
        stage == Some(Stage::Head)
    }

    /// Notes that bytes of an answer were taken.
    pub(crate) fn sent(&self) {
        let now = self.memory.clock.now();
        self.memory.lock().budget.note(self.id, None, true, now);
    }

    pub(crate) fn stage(&self) -> Option<Stage> {
        self.memory.lock().budget.stage(self.id)
    }

    /// Waits until the connection has to let go of what it holds.
    pub(crate) async fn evicted(&self) {
        self.evicted.wait().await;
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.close(self.id);
        state.evictions.remove(&self.id);
        if let Some(counts) = &self.memory.counts {
            counts.held.set(state.budget.held() as i64);
        }
    }
}

/// Connections of clients that a process may have with `files` descriptors or, if that is not set, with those that the kernel
/// allows it: half of those that aren't `kept` for files, at least [`MIN_CONNECTIONS`]; the rest is for workers, other daemons
/// and the store. What is set goes before the kernel's limit, which on the users' platform counts files only.
pub fn client_connections(files: Option<usize>, kept: usize) -> usize {
    let files = files.unwrap_or_else(allowed_files);
    (files.saturating_sub(kept) / 2).max(MIN_CONNECTIONS)
}

/// Descriptors that the kernel allows this process.
fn allowed_files() -> usize {
    let allowed = std::fs::read_to_string("/proc/self/limits").ok().and_then(|text| {
        let line = text.lines().find_map(|line| line.strip_prefix("Max open files"))?;
        line.split_whitespace().next()?.parse().ok()
    });
    allowed.unwrap_or(DEFAULT_FILES)
}
