//! Service around the tenure and the scheduler of this daemon's region.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Sender, TrySendError};

use crate::clock::{Millis, within};
use crate::commands::CommandQueues;
use crate::edge::BoxFuture;
use crate::election::{Election, ElectionEvent, ElectionTimes};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{DaemonName, Incarnation, RegionName, Term, WorkerName};
use crate::kernel::{Kernel, Service};
use crate::message::{Call, Failure, Leader, Response};
use crate::metrics::Metrics;
use crate::scheduler::{Event, Scheduler, Token};
use crate::scheduler_actor::SchedulerActor;
use crate::scheduler_updates::Forwarded;
use crate::steps::{HostUpdate, StepAnswer, StepCall};
use crate::storage::Storage;
use crate::worker::{BatchReply, Changes, CommandBatch};

/// Inputs that may wait; a call beyond them is refused.
const INBOX: usize = 20_000;

/// Time after which a call that did not reach the scheduler makes sense again.
const NOT_LEADING_RETRY: Millis = Millis(200);

/// Longest time to give the lease back.
const RESIGN_TIMEOUT: Millis = Millis(3_000);

/// What the actor's inbox takes.
pub(crate) enum Input {
    Election(ElectionEvent),
    Event(Box<Event>),
    Call {
        token: Token,
        call: Box<Call>,
        reply: Sender<Response>,
    },
    Loaded {
        term: Term,
        loaded: Box<Event>,
    },
    Alive {
        workers: Vec<(WorkerName, Option<Millis>)>,
        outcomes: Vec<(WorkerName, Vec<bool>)>,
    },
    Sent {
        worker: WorkerName,
        batch: CommandBatch,
        reply: Option<BatchReply>,
    },
    Steps {
        token: Token,
        call: Box<StepCall>,
        reply: Sender<StepAnswer>,
    },
    /// News of the platform's list of workers under a term.
    Hosts {
        term: Term,
        update: HostUpdate,
    },
    Resign(Sender<()>),
}

/// What a scheduler's service is started with.
pub(crate) struct SchedulerSettings {
    pub(crate) region: RegionName,
    pub(crate) me: DaemonName,
    pub(crate) incarnation: Incarnation,
    /// Address of this daemon's links.
    pub(crate) address: String,
    pub(crate) times: ElectionTimes,
    /// Most bytes in a row of the table service.
    pub(crate) row_bytes: usize,
}

/// What the actor tells the service.
#[derive(Default)]
pub(crate) struct Shared {
    pub(crate) leader: Option<Leader>,
    /// Address of the holder of the lease row.
    pub(crate) address: Option<String>,
    pub(crate) term: Option<Term>,
    /// Version of this daemon's lease and until when it may act, while it holds the lease.
    pub(crate) lease: Option<(u64, Millis)>,
}

/// The scheduler's service, which is active on one daemon of the region.
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
    /// Starts the service.
    pub(crate) fn start(kernel: &Arc<Kernel>, settings: SchedulerSettings, log: slog::Logger) -> Result<Arc<Self>> {
        let (region, me) = (settings.region, settings.me);
        let tenure = Election::new(region.clone(), me.clone(), settings.incarnation, settings.address);
        let (inbox, receiver) = async_channel::bounded(INBOX);
        let shared = Arc::new(Mutex::new(Shared::default()));
        let actor = SchedulerActor {
            store: kernel.find::<Storage>()?,
            metrics: kernel.find::<Metrics>()?,
            kernel: kernel.clone(),
            region: region.clone(),
            me: me.clone(),
            log,
            inbox: inbox.clone(),
            shared: shared.clone(),
            tenure: tenure.with_times(settings.times),
            scheduler: Scheduler::new(region.clone()).with_row_bytes(settings.row_bytes),
            calls: BTreeMap::new(),
            step_calls: BTreeMap::new(),
            orders: CommandQueues::default(),
            headers: BTreeMap::new(),
            known: Forwarded::default(),
            refreshed: Millis::ZERO,
            elected: None,
            resigning: None,
        };
        kernel.spawn_until_stop(actor.run(receiver));
        let govern = Arc::new(Self {
            region,
            me,
            inbox,
            tokens: AtomicU64::new(1),
            shared,
        });
        kernel.register(govern.clone())?;
        Ok(govern)
    }

    /// Gives the lease back and waits until that is done, or no longer than a command may take.
    pub(crate) async fn resign(&self) {
        let (sender, receiver) = async_channel::bounded(1);
        if self.inbox.send(Input::Resign(sender)).await.is_ok() {
            let _ = within(RESIGN_TIMEOUT, receiver.recv()).await;
        }
    }

    /// The scheduler of this region, as seen in the lease row.
    pub(crate) fn leader(&self, region: &RegionName) -> Option<Leader> {
        if *region != self.region {
            return None;
        }
        self.shared.lock().expect("leader lock").leader.clone()
    }

    /// The term in which this daemon is the scheduler.
    pub(crate) fn term(&self) -> Option<Term> {
        self.shared.lock().expect("leader lock").term
    }

    /// Hands a caller's request to the scheduler.
    pub(crate) async fn call(&self, call: Call, timeout: Millis) -> Response {
        let step = "call scheduler";
        if self.term().is_none() {
            let error = Error::msg(ErrorKind::Unavailable, step, "this daemon is not the scheduler").retry_after(200);
            return failed(&error.at(self.me.as_str()));
        }
        let unsure = if mutates(&call) { Ran::Unknown } else { Ran::No };
        let token = Token(self.tokens.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = async_channel::bounded(1);
        if let Err(error) = self.inbox.try_send(Input::Call {
            token,
            call: Box::new(call),
            reply,
        }) {
            return failed(&inbox_error(&error).at(self.me.as_str()));
        }
        let _abandon = Abandon {
            inbox: &self.inbox,
            token,
        };
        let error = match within(timeout, response.recv()).await {
            Some(Ok(response)) => return response,
            Some(Err(_)) => Error::msg(ErrorKind::Unavailable, step, "the scheduler changed").retry_after(200),
            None => Error::msg(ErrorKind::Timeout, step, format!("no response within {timeout}")),
        };
        failed(&error.ran(unsure))
    }

    /// Hands a caller's request about jobs made of steps to the scheduler.
    pub(crate) async fn call_steps(&self, call: StepCall, timeout: Millis) -> StepAnswer {
        let step = "call scheduler";
        let failed = |error: Error| StepAnswer::Failed(Failure::from(&error.at(self.me.as_str())));
        if self.term().is_none() {
            let reason = "this daemon is not the scheduler, or is still reading the journal";
            let error = Error::msg(ErrorKind::Unavailable, step, reason);
            return failed(error.retry_after(NOT_LEADING_RETRY.0));
        }
        let unsure = match &call {
            StepCall::Submit { .. } | StepCall::Cancel { .. } => Ran::Unknown,
            StepCall::State { .. } | StepCall::Pending { .. } => Ran::No,
        };
        let token = Token(self.tokens.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = async_channel::bounded(1);
        let call = Box::new(call);
        if let Err(error) = self.inbox.try_send(Input::Steps { token, call, reply }) {
            return failed(inbox_error(&error));
        }
        let error = match within(timeout, answer.recv()).await {
            Some(Ok(answer)) => return answer,
            Some(Err(_)) => Error::msg(ErrorKind::Unavailable, step, "the scheduler changed"),
            None => Error::msg(ErrorKind::Timeout, step, format!("no answer within {timeout}")),
        };
        failed(error.ran(unsure).retry_after(NOT_LEADING_RETRY.0))
    }

    /// Passes something on to the tenure.
    pub(crate) fn election_event(&self, event: ElectionEvent) {
        // A full inbox means that the scheduler has more urgent things to do; the tenure also polls by itself.
        let _ = self.inbox.try_send(Input::Election(event));
    }

    /// Takes note of a scheduler that announced itself, unless a later one is known.
    pub(crate) fn learn_leader(&self, daemon: DaemonName, term: Term, address: String) {
        let mut shared = self.shared.lock().expect("leader lock");
        if shared.leader.as_ref().is_some_and(|leader| leader.term >= term) {
            return;
        }
        shared.leader = Some(Leader {
            region: self.region.clone(),
            daemon,
            term,
        });
        shared.address = Some(address);
    }

    /// The daemon that holds the lease, with its address, as seen in the lease row.
    pub(crate) fn holder(&self) -> Option<(DaemonName, String)> {
        let shared = self.shared.lock().expect("leader lock");
        Some((shared.leader.as_ref()?.daemon.clone(), shared.address.clone()?))
    }

    /// Version of this daemon's lease row and until when it may act, while it is the scheduler.
    pub(crate) fn lease(&self) -> Option<(u64, Millis)> {
        let shared = self.shared.lock().expect("leader lock");
        shared.term.and(shared.lease)
    }

    /// Takes news of a worker.
    pub(crate) fn report(&self, worker: WorkerName, changes: Option<Changes>) -> Response {
        self.take(Input::Event(Box::new(Event::Report { worker, changes })))
    }

    /// Takes note of workers that answered without changes, and of the outcomes of requests to workers.
    pub(crate) fn alive(
        &self,
        workers: Vec<(WorkerName, Option<Millis>)>,
        outcomes: Vec<(WorkerName, Vec<bool>)>,
    ) -> Response {
        self.take(Input::Alive { workers, outcomes })
    }

    fn take(&self, input: Input) -> Response {
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

/// Whether a call of unknown outcome may have had an effect.
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

/// Tells the scheduler that the caller went away.
struct Abandon<'a> {
    inbox: &'a Sender<Input>,
    token: Token,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        let _ = self
            .inbox
            .try_send(Input::Event(Box::new(Event::Abandoned { token: self.token })));
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_time() -> Millis {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Millis(since.as_millis() as u64)
}

/// Incarnation of this process: a later start gives a higher one, as long as the wall clock does.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(wall_time().0)
}
