//! The service that runs the election and the scheduler of this daemon's region, and the entry points through which the
//! rest of the daemon calls them. The scheduler is active on one daemon of the region.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Sender, TrySendError};

use crate::active::Retention;
use crate::capacity::Capacity;
use crate::clock::{Millis, within};
use crate::commands::CommandQueues;
use crate::edge::BoxFuture;
use crate::election::{Election, ElectionEvent, ElectionTimes};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{DaemonName, Incarnation, RegionName, Term, WorkerName};
use crate::kernel::{Kernel, Service, Stop};
use crate::message::{Call, Failure, Leader, Response};
use crate::metrics::Metrics;
use crate::order_slots::OrderSlots;
use crate::scheduler::{Event, Scheduler, Token};
use crate::scheduler_actor::SchedulerActor;
use crate::scheduler_updates::Forwarded;
use crate::steps::{HostUpdate, StepAnswer, StepCall, StepLimits};
use crate::storage::Storage;
use crate::worker::{BatchReply, Changes, CommandBatch};

/// Capacity of the inbox; a call that finds it full is refused.
const INBOX_CAPACITY: usize = 20_000;

/// Retry-after of a call that did not reach the scheduler.
const NOT_LEADING_RETRY: Millis = Millis(200);

/// Longest time to wait until the lease is released.
const RESIGN_TIMEOUT: Millis = Millis(3_000);

/// Input of the actor that runs the election and the scheduler.
pub(crate) enum Input {
    /// An event for the election.
    Election(ElectionEvent),
    /// An event for the scheduler.
    Event(Box<Event>),
    /// A call of a client or operator, and where its response goes.
    Call {
        token: Token,
        call: Box<Call>,
        reply: Sender<Response>,
    },
    /// Snapshot and journal as read after the election under a term.
    Loaded { term: Term, loaded: Box<Event> },
    /// Workers that answered their supervisor without changes, with the clock that each gave.
    Alive {
        workers: Vec<(WorkerName, Option<Millis>)>,
        /// Outcomes of requests to workers, oldest first; `true` for a success.
        outcomes: Vec<(WorkerName, Vec<bool>)>,
    },
    /// Reply of a worker to a batch of commands; `None` if it did not answer.
    CommandReply {
        worker: WorkerName,
        batch: CommandBatch,
        reply: Option<BatchReply>,
    },
    /// A call about jobs made of steps, and where its answer goes.
    StepCall {
        token: Token,
        call: Box<StepCall>,
        reply: Sender<StepAnswer>,
    },
    /// Changes of the platform's list of workers, read under a term.
    Hosts { term: Term, update: HostUpdate },
    /// How long a task waited for the processor.
    ProcessorSample { waited: Millis },
    /// Release the lease for good, and signal when that is done.
    Resign(Sender<()>),
}

/// Settings of [`SchedulerService::start`].
pub(crate) struct SchedulerSettings {
    pub(crate) region: RegionName,
    pub(crate) me: DaemonName,
    pub(crate) incarnation: Incarnation,
    /// Address (`ip:port`) at which other daemons reach this one.
    pub(crate) address: String,
    pub(crate) times: ElectionTimes,
    /// Resources of the daemon, if daemons differ, so that a rank decides who claims the lease first.
    pub(crate) capacity: Option<Capacity>,
    /// Most bytes that a row of the table service holds.
    pub(crate) row_bytes: usize,
    /// How long ended jobs are kept.
    pub(crate) retention: Retention,
    /// Limits of the platform and of this daemon for the runs of steps.
    pub(crate) step_limits: StepLimits,
}

/// State that the actor shares with the service.
#[derive(Default)]
pub(crate) struct Shared {
    /// Scheduler of the region, as last read from the lease row or announced by the scheduler; `None` if none is known.
    pub(crate) leader: Option<Leader>,
    /// Address in the same lease row or announcement.
    pub(crate) address: Option<String>,
    /// Raised when `leader` changes, and then replaced.
    pub(crate) superseded: Stop,
    /// Term in which this daemon is the scheduler; `None` while it is not, and until it has read the journal.
    pub(crate) term: Option<Term>,
    /// Version of the lease row and end of the lease, while this daemon holds a valid one.
    pub(crate) lease: Option<(u64, Millis)>,
    /// Whether this daemon lets all others claim the lease first.
    pub(crate) penalized: bool,
}

impl Shared {
    /// Records the scheduler of the region and its address, and ends the attempts to reach another one.
    pub(crate) fn set_leader(&mut self, leader: Option<Leader>, address: Option<String>) {
        if self.leader != leader {
            std::mem::take(&mut self.superseded).raise();
        }
        self.leader = leader;
        self.address = address;
    }
}

/// Handle of the scheduler of the region: passes calls, reports and events to the actor.
pub(crate) struct SchedulerService {
    region: RegionName,
    me: DaemonName,
    inbox: Sender<Input>,
    tokens: AtomicU64,
    shared: Arc<Mutex<Shared>>,
}

impl Service for SchedulerService {
    const NAME: &'static str = "scheduler";

    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.resign())
    }
}

impl SchedulerService {
    /// Registers the service and starts its actor.
    pub(crate) fn start(kernel: &Arc<Kernel>, settings: SchedulerSettings, log: slog::Logger) -> Result<Arc<Self>> {
        let (region, me) = (settings.region, settings.me);
        let election = Election::new(region.clone(), me.clone(), settings.incarnation, settings.address);
        let election = election.with_times(settings.times);
        let election = match settings.capacity {
            Some(_) => election.unranked(),
            None => election,
        };
        let max_orders = settings.capacity.map_or(usize::MAX, |capacity| capacity.max_orders());
        let (inbox, receiver) = async_channel::bounded(INBOX_CAPACITY);
        let shared = Arc::new(Mutex::new(Shared::default()));
        let actor = SchedulerActor {
            storage: kernel.find::<Storage>()?,
            metrics: kernel.find::<Metrics>()?,
            kernel: kernel.clone(),
            region: region.clone(),
            me: me.clone(),
            log,
            inbox: inbox.clone(),
            shared: shared.clone(),
            election,
            scheduler: Scheduler::new(region.clone())
                .with_row_bytes(settings.row_bytes)
                .with_retention(settings.retention)
                .with_step_limits(settings.step_limits),
            calls: BTreeMap::new(),
            step_calls: BTreeMap::new(),
            orders: CommandQueues::default(),
            last_changes: BTreeMap::new(),
            forwarded: Forwarded::default(),
            refreshed_at: Millis::ZERO,
            load_reported: Millis::ZERO,
            capacity: settings.capacity,
            starvation: Default::default(),
            open_orders: Arc::default(),
            order_slots: OrderSlots::new(max_orders),
            elected: None,
            failed_folds: 0,
            loading: None,
            first_list: None,
            resign_reply: None,
        };
        kernel.spawn_until_stop(actor.run(receiver));
        let service = Arc::new(Self {
            region,
            me,
            inbox,
            tokens: AtomicU64::new(1),
            shared,
        });
        kernel.register(service.clone())?;
        Ok(service)
    }

    /// Releases the lease and waits until that is done, at most [`RESIGN_TIMEOUT`].
    pub(crate) async fn resign(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        if self.inbox.send(Input::Resign(sender)).await.is_ok() {
            let _ = within(RESIGN_TIMEOUT, receiver.recv()).await;
        }
    }

    /// The scheduler of `region`; `None` if it is not known or `region` is not that of this daemon.
    pub(crate) fn leader(&self, region: &RegionName) -> Option<Leader> {
        if *region != self.region {
            return None;
        }
        self.shared.lock().expect("leader lock").leader.clone()
    }

    /// The term in which this daemon is the scheduler; `None` while it is not, and until it has read the journal.
    pub(crate) fn term(&self) -> Option<Term> {
        self.shared.lock().expect("leader lock").term
    }

    /// Passes a call to the scheduler on this daemon and waits at most `timeout` for its response. Errors come as
    /// [`Response::Failed`].
    pub(crate) async fn call(&self, call: Call, timeout: Millis) -> Response {
        let step = "call scheduler";
        if self.term().is_none() {
            let error = Error::msg(ErrorKind::Unavailable, step, "this daemon is not the scheduler").retry_after(200);
            return failed(&error.at(self.me.as_str()));
        }
        let ran = if mutates(&call) { Ran::Unknown } else { Ran::No };
        let token = Token(self.tokens.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = async_channel::bounded(1);
        if let Err(error) = self.inbox.try_send(Input::Call {
            token,
            call: Box::new(call),
            reply,
        }) {
            return failed(&inbox_error(&error).at(self.me.as_str()));
        }
        let _abandon = AbandonOnDrop {
            inbox: &self.inbox,
            token,
        };
        let error = match within(timeout, response.recv()).await {
            Some(Ok(response)) => return response,
            Some(Err(_)) => Error::msg(ErrorKind::Unavailable, step, "the scheduler changed").retry_after(200),
            None => Error::msg(ErrorKind::Timeout, step, format!("no response within {timeout}")),
        };
        failed(&error.ran(ran))
    }

    /// Passes a call about jobs made of steps to the scheduler on this daemon and waits at most `timeout` for its
    /// answer. Errors come as [`StepAnswer::Failed`].
    pub(crate) async fn call_steps(&self, call: StepCall, timeout: Millis) -> StepAnswer {
        let step = "call scheduler";
        let failed = |error: Error| StepAnswer::Failed(Failure::from(&error.at(self.me.as_str())));
        if self.term().is_none() {
            let reason = "this daemon is not the scheduler, or is still reading the journal";
            let error = Error::msg(ErrorKind::Unavailable, step, reason);
            return failed(error.retry_after(NOT_LEADING_RETRY.0));
        }
        let ran = match &call {
            StepCall::Submit { .. } | StepCall::Cancel { .. } => Ran::Unknown,
            StepCall::State { .. } | StepCall::Pending { .. } => Ran::No,
        };
        let token = Token(self.tokens.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = async_channel::bounded(1);
        let call = Box::new(call);
        if let Err(error) = self.inbox.try_send(Input::StepCall { token, call, reply }) {
            return failed(inbox_error(&error));
        }
        let error = match within(timeout, answer.recv()).await {
            Some(Ok(answer)) => return answer,
            Some(Err(_)) => Error::msg(ErrorKind::Unavailable, step, "the scheduler changed"),
            None => Error::msg(ErrorKind::Timeout, step, format!("no answer within {timeout}")),
        };
        failed(error.ran(ran).retry_after(NOT_LEADING_RETRY.0))
    }

    /// Passes an event to the election; dropped if the inbox is full.
    pub(crate) fn election_event(&self, event: ElectionEvent) {
        // The entries of a full inbox are more urgent. A lost event only costs time, since the election also polls.
        let _ = self.inbox.try_send(Input::Election(event));
    }

    /// Records the scheduler that announced itself, unless one with the same or a later term is known.
    pub(crate) fn learn_leader(&self, daemon: DaemonName, term: Term, address: String) {
        let mut shared = self.shared.lock().expect("leader lock");
        if shared.leader.as_ref().is_some_and(|leader| leader.term >= term) {
            return;
        }
        let region = self.region.clone();
        shared.set_leader(Some(Leader { region, daemon, term }), Some(address));
    }

    /// The scheduler of the region and its address; `None` if it is not known.
    pub(crate) fn holder(&self) -> Option<(DaemonName, String)> {
        self.followed_holder().map(|(daemon, address, _)| (daemon, address))
    }

    /// Like [`Self::holder`], with a signal that is raised once another one is known.
    pub(crate) fn followed_holder(&self) -> Option<(DaemonName, String, Stop)> {
        let shared = self.shared.lock().expect("leader lock");
        let (leader, address) = (shared.leader.as_ref()?, shared.address.clone()?);
        Some((leader.daemon.clone(), address, shared.superseded.clone()))
    }

    /// Version of the lease row and end of the lease; `None` while this daemon is not the scheduler.
    pub(crate) fn lease(&self) -> Option<(u64, Millis)> {
        let shared = self.shared.lock().expect("leader lock");
        shared.term.and(shared.lease)
    }

    /// Whether this daemon lets all others claim the lease first.
    pub(crate) fn is_penalized(&self) -> bool {
        self.shared.lock().expect("leader lock").penalized
    }

    /// Passes a worker's changes to the scheduler; `None` if the worker did not answer its supervisor.
    pub(crate) fn report(&self, worker: WorkerName, changes: Option<Changes>) -> Response {
        self.send_report(Input::Event(Box::new(Event::Report { worker, changes })))
    }

    /// Passes to the scheduler which workers answered without changes, each with the clock that it gave, and the
    /// outcomes of requests to workers, oldest first and `true` for a success.
    pub(crate) fn alive(
        &self,
        workers: Vec<(WorkerName, Option<Millis>)>,
        outcomes: Vec<(WorkerName, Vec<bool>)>,
    ) -> Response {
        self.send_report(Input::Alive { workers, outcomes })
    }

    fn send_report(&self, input: Input) -> Response {
        if self.term().is_none() {
            let error = Error::msg(ErrorKind::Refused, "report worker", "this daemon is not the scheduler");
            return failed(&error.at(self.me.as_str()));
        }
        match self.inbox.try_send(input) {
            Ok(()) => Response::Ack,
            Err(error) => failed(&inbox_error(&error).at(self.me.as_str())),
        }
    }
}

/// Whether a call changes state, so that it may have had an effect if its outcome is unknown.
pub(crate) fn mutates(call: &Call) -> bool {
    match call {
        Call::Submit { .. }
        | Call::Cancel { .. }
        | Call::Drain { .. }
        | Call::PutGuarantee { .. }
        | Call::DeleteGuarantee { .. } => true,
        Call::Get { .. }
        | Call::Wait { .. }
        | Call::List { .. }
        | Call::Explain { .. }
        | Call::Workers
        | Call::Guarantees => false,
    }
}

/// The response to a call that failed.
pub(crate) fn failed(error: &Error) -> Response {
    Response::Failed(Failure::from(error))
}

fn inbox_error(error: &TrySendError<Input>) -> Error {
    match error {
        TrySendError::Full(_) => {
            Error::msg(ErrorKind::Limited, "call scheduler", "too many requests wait").retry_after(500)
        }
        TrySendError::Closed(_) => Error::msg(ErrorKind::Unavailable, "call scheduler", "the daemon is stopping"),
    }
}

/// Tells the scheduler on drop that nobody waits for the call any more.
struct AbandonOnDrop<'a> {
    inbox: &'a Sender<Input>,
    token: Token,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        let _ = self
            .inbox
            .try_send(Input::Event(Box::new(Event::Abandoned { token: self.token })));
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn wall_time() -> Millis {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Millis(since.as_millis() as u64)
}

/// Incarnation for this process, higher than that of an earlier start unless the wall clock was set back.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(wall_time().0)
}
