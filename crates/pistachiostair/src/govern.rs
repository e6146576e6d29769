//! Service around the tenure and the scheduler of this daemon's region.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender, TrySendError};
use futures_lite::future;

use crate::appender::AppendAction;
use crate::clock::Millis;
use crate::config::{CATALOG_KEY, Catalog, Config, GUARANTEE_PREFIX};
use crate::edge::{BoxFuture, Commit, Table, Transaction, Write};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{DaemonName, GuaranteeName, Incarnation, RegionName, Revision, Term, WorkerName};
use crate::kernel::{Kernel, Service};
use crate::lease::Lease;
use crate::logging;
use crate::members::Members;
use crate::message::{Call, Failure, Leader, Response};
use crate::metrics::Metrics;
use crate::orders::{self, Orders};
use crate::resource::{Guarantee, MemberState};
use crate::scheduler::{Action, Event, Scheduler, Token};
use crate::store::Store;
use crate::takeover;
use crate::tenure::{Tenure, TenureAction, TenureEvent};
use crate::worker::{BatchReply, Changes, CommandBatch};

/// Time between two ticks.
const TICK: Millis = Millis(100);

/// Inputs that may wait; a call beyond them is refused.
const INBOX: usize = 20_000;

/// Longest time to give the lease back.
const RESIGN_TIMEOUT: Millis = Millis(3_000);

/// Time between two looks at the catalog and the platform's list.
const REFRESH: Millis = Millis(500);

/// Pause before the journal is read again after a failed take-over.
const LOAD_PAUSE: Millis = Millis(200);

enum Input {
    Tenure(TenureEvent),
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
    Alive(Vec<(WorkerName, Option<Millis>)>),
    Sent {
        worker: WorkerName,
        batch: CommandBatch,
        reply: Option<BatchReply>,
    },
    Resign(Sender<()>),
}

#[derive(Default)]
struct Shared {
    leader: Option<Leader>,
    term: Option<Term>,
}

/// The scheduler's service, which is active on one daemon of the region.
pub(crate) struct Govern {
    region: RegionName,
    me: DaemonName,
    inbox: Sender<Input>,
    tokens: AtomicU64,
    shared: Arc<Mutex<Shared>>,
}

impl Service for Govern {
    const NAME: &'static str = "scheduler";

    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.resign())
    }
}

impl Govern {
    /// Starts the service.
    pub(crate) fn start(
        kernel: &Arc<Kernel>,
        region: RegionName,
        me: DaemonName,
        incarnation: Incarnation,
        address: String,
        log: slog::Logger,
    ) -> Result<Arc<Self>> {
        let (inbox, receiver) = async_channel::bounded(INBOX);
        let shared = Arc::new(Mutex::new(Shared::default()));
        let actor = Actor {
            store: kernel.find::<Store>()?,
            metrics: kernel.find::<Metrics>()?,
            kernel: kernel.clone(),
            region: region.clone(),
            me: me.clone(),
            log,
            inbox: inbox.clone(),
            shared: shared.clone(),
            tenure: Tenure::new(region.clone(), me.clone(), incarnation, address),
            scheduler: Scheduler::new(region.clone()),
            calls: BTreeMap::new(),
            orders: Orders::default(),
            headers: BTreeMap::new(),
            known: Known::default(),
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
            let lapsed = async {
                async_io::Timer::after(RESIGN_TIMEOUT.duration()).await;
            };
            let resigned = async {
                let _ = receiver.recv().await;
            };
            future::or(resigned, lapsed).await;
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
        let unsure = if changes(&call) { Ran::Unknown } else { Ran::No };
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
        let lapsed = async {
            async_io::Timer::after(timeout.duration()).await;
            failed(&Error::msg(ErrorKind::Timeout, step, format!("no response within {timeout}")).ran(unsure))
        };
        let answered = async {
            response.recv().await.unwrap_or_else(|_| {
                failed(
                    &Error::msg(ErrorKind::Unavailable, step, "the scheduler changed")
                        .ran(unsure)
                        .retry_after(200),
                )
            })
        };
        future::or(answered, lapsed).await
    }

    /// Takes news of a worker.
    pub(crate) fn report(&self, worker: WorkerName, changes: Option<Changes>) -> Response {
        self.take(Input::Event(Box::new(Event::Report { worker, changes })))
    }

    /// Takes note of workers that answered without changes.
    pub(crate) fn alive(&self, workers: Vec<(WorkerName, Option<Millis>)>) -> Response {
        self.take(Input::Alive(workers))
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
pub(crate) fn changes(call: &Call) -> bool {
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

fn failed(error: &Error) -> Response {
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

/// What the scheduler was last told about accounts, guarantees, policy and the platform's list.
#[derive(Default)]
struct Known {
    catalog: Catalog,
    policy: Option<Revision>,
    listed: BTreeSet<WorkerName>,
    leaving: BTreeSet<WorkerName>,
}

struct Actor {
    kernel: Arc<Kernel>,
    store: Arc<Store>,
    metrics: Arc<Metrics>,
    region: RegionName,
    me: DaemonName,
    log: slog::Logger,
    inbox: Sender<Input>,
    shared: Arc<Mutex<Shared>>,
    tenure: Tenure,
    scheduler: Scheduler,
    calls: BTreeMap<Token, Sender<Response>>,
    orders: Orders,
    /// Last changes of each worker without tasks, to stand for a report of an unchanged worker.
    headers: BTreeMap<WorkerName, Changes>,
    known: Known,
    refreshed: Millis,
    /// Term and fence while the lease is held.
    elected: Option<(Term, u64)>,
    resigning: Option<Sender<()>>,
}

impl Actor {
    async fn run(mut self, inbox: Receiver<Input>) {
        let mut next = self.now();
        loop {
            if self.now() >= next {
                next = self.now() + TICK;
                self.tick();
            }
            if self.scheduler.wake().is_some_and(|wake| self.now() >= wake) {
                self.event(Event::Tick);
            }
            let wait = self
                .scheduler
                .wake()
                .map_or(next, |wake| next.min(wake))
                .since(self.now());
            let timer = async {
                async_io::Timer::after(wait.duration()).await;
                None
            };
            match future::or(async { inbox.recv().await.ok() }, timer).await {
                Some(input) => self.handle(input),
                None if inbox.is_closed() => return,
                None => {}
            }
        }
    }

    fn now(&self) -> Millis {
        self.kernel.clock.now()
    }

    fn tick(&mut self) {
        self.tenure(TenureEvent::Tick);
        if self.now() >= self.refreshed + REFRESH {
            self.refreshed = self.now();
            self.refresh();
        }
        self.event(Event::Tick);
        self.send_renewals();
        self.metrics.set_figures(&self.scheduler.figures().unwrap_or_default());
        self.metrics
            .tenure
            .set(self.elected.map_or(0, |(term, _)| term.0 as i64));
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Tenure(event) => self.tenure(event),
            Input::Event(event) => self.event(*event),
            Input::Call { token, call, reply } => {
                self.calls.insert(token, reply);
                self.event(Event::Call { token, call: *call });
            }
            Input::Loaded { term, loaded } => self.loaded(term, *loaded),
            Input::Alive(workers) => self.alive(workers),
            Input::Sent { worker, batch, reply } => {
                self.event(Event::Replied {
                    worker: worker.clone(),
                    batch,
                    reply,
                });
                self.orders.free(&worker);
                self.send_next();
            }
            Input::Resign(done) => {
                self.resigning = Some(done);
                self.tenure(TenureEvent::Resign);
            }
        }
    }

    fn tenure(&mut self, event: TenureEvent) {
        if let TenureEvent::Read { lease: Some(row), .. } = &event {
            let seen = Lease::parse(&row.value);
            let leader = seen.and_then(|lease| {
                Some(Leader {
                    region: self.region.clone(),
                    daemon: lease.holder?,
                    term: lease.term,
                })
            });
            self.shared.lock().expect("leader lock").leader = leader;
        }
        for action in self.tenure.on(self.now(), event) {
            self.tenure_action(action);
        }
    }

    fn tenure_action(&mut self, action: TenureAction) {
        match action {
            TenureAction::Read { lease, term } => self.read_lease(lease, term),
            TenureAction::Commit(transaction) => self.commit_lease(transaction),
            TenureAction::Elected { term, fence } => {
                slog::info!(self.log, "elected"; "region" => %self.region, "term" => term.0);
                self.elected = Some((term, fence));
                self.load(term, fence);
            }
            TenureAction::Held(held) => {
                slog::info!(self.log, "tenure changed"; "region" => %self.region, "held" => held);
                self.event(Event::Tenure { held });
            }
            TenureAction::Deposed => {
                slog::warn!(self.log, "deposed"; "region" => %self.region);
                self.depose();
            }
            TenureAction::Resigned => {
                self.depose();
                if let Some(done) = self.resigning.take() {
                    let _ = done.try_send(());
                }
            }
        }
    }

    fn depose(&mut self) {
        self.elected = None;
        self.shared.lock().expect("leader lock").term = None;
        self.event(Event::Deposed);
        self.calls.clear();
        self.orders = Orders::default();
        self.headers.clear();
    }

    /// The scheduler gave up: its journal was written by someone else, or could not be folded. If
    /// the lease turns out to be held still, the journal is read again.
    fn step_down(&mut self) {
        self.shared.lock().expect("leader lock").term = None;
        self.orders = Orders::default();
        self.headers.clear();
        self.tenure(TenureEvent::Conflict);
        if let Some((term, fence)) = self.elected {
            self.load(term, fence);
        }
    }

    fn read_lease(&self, lease: String, term: String) {
        let sent = self.now();
        let store = self.store.clone();
        self.reply_later(async move {
            // One after the other: of two requests at once, a breaker that probes refuses one.
            let rows = async { Ok::<_, Error>((store.get(&lease).await?, store.get(&term).await?)) }.await;
            Input::Tenure(match rows {
                Ok((lease, term)) => TenureEvent::Read { sent, lease, term },
                Err(_) => TenureEvent::Unread,
            })
        });
    }

    fn commit_lease(&self, transaction: Transaction) {
        let sent = self.now();
        let store = self.store.clone();
        self.reply_later(async move {
            Input::Tenure(match store.commit(&transaction).await {
                Ok(Commit::Done { version }) => TenureEvent::Committed { sent, version },
                Ok(Commit::Conflict { .. }) => TenureEvent::Conflict,
                Err(_) => TenureEvent::Unknown,
            })
        });
    }

    /// Reads the snapshot and the journal behind it, again until that succeeds.
    fn load(&self, term: Term, fence: u64) {
        let store = self.store.clone();
        let region = self.region.clone();
        let log = self.log.clone();
        let mut pause = if self.scheduler.figures().is_some() {
            LOAD_PAUSE
        } else {
            Millis::ZERO
        };
        self.reply_later(async move {
            loop {
                async_io::Timer::after(pause.duration()).await;
                pause = LOAD_PAUSE;
                match takeover::load(&store, &region).await {
                    Ok((snapshot, rows)) => {
                        let loaded = Box::new(Event::Elected {
                            term,
                            fence,
                            snapshot,
                            rows,
                            wall: wall_time(),
                        });
                        return Input::Loaded { term, loaded };
                    }
                    Err(error) => slog::warn!(log, "take-over can't read"; "error" => %error),
                }
            }
        });
    }

    fn loaded(&mut self, term: Term, event: Event) {
        if self.elected.map(|(elected, _)| elected) != Some(term) {
            return;
        }
        self.known = Known::default();
        self.event(event);
        if self.scheduler.figures().is_none() {
            return;
        }
        self.event(Event::Tenure {
            held: self.tenure.held(self.now()),
        });
        let mut shared = self.shared.lock().expect("leader lock");
        shared.term = Some(term);
        shared.leader = Some(Leader {
            region: self.region.clone(),
            daemon: self.me.clone(),
            term,
        });
        drop(shared);
        self.refresh();
    }

    /// Tells the scheduler what changed in the catalog, the policy and the platform's list.
    fn refresh(&mut self) {
        if self.shared.lock().expect("leader lock").term.is_none() {
            return;
        }
        if let Ok(config) = self.kernel.find::<Config>() {
            self.refresh_catalog(&config);
        }
        if let Ok(members) = self.kernel.find::<Members>() {
            self.refresh_list(&members);
        }
    }

    fn refresh_catalog(&mut self, config: &Config) {
        if self.known.policy != Some(config.revision()) {
            let (revision, policy) = config.policy();
            self.known.policy = Some(revision);
            self.event(Event::Policy(policy));
        }
        let Some(catalog) = config.catalog_newer(self.known.catalog.revision) else {
            return;
        };
        let old = std::mem::replace(&mut self.known.catalog, catalog.clone());
        for (name, account) in &catalog.accounts {
            if old.accounts.get(name) != Some(account) {
                self.event(Event::Account(name.clone(), Some(account.spec.clone())));
            }
        }
        for name in old.accounts.keys().filter(|name| !catalog.accounts.contains_key(name)) {
            self.event(Event::Account(name.clone(), None));
        }
        for (name, guarantee) in &catalog.guarantees {
            if old.guarantees.get(name) != Some(guarantee) {
                self.event(Event::Guarantee(name.clone(), Some(guarantee.clone())));
            }
        }
        for name in old
            .guarantees
            .keys()
            .filter(|name| !catalog.guarantees.contains_key(name))
        {
            self.event(Event::Guarantee(name.clone(), None));
        }
    }

    fn refresh_list(&mut self, members: &Members) {
        let Some(workers) = members.listed_workers() else {
            return;
        };
        let listed: BTreeSet<WorkerName> = workers.keys().cloned().collect();
        let leaving: BTreeSet<WorkerName> = workers
            .iter()
            .filter(|(_, vm)| vm.state == MemberState::Leaving)
            .map(|(name, _)| name.clone())
            .collect();
        let gone: Vec<WorkerName> = self.known.listed.difference(&listed).cloned().collect();
        let left: Vec<WorkerName> = leaving.difference(&self.known.leaving).cloned().collect();
        self.known.listed = listed;
        self.known.leaving = leaving;
        for worker in gone {
            self.event(Event::WorkerGone(worker));
        }
        for worker in left {
            self.event(Event::Leaving(worker));
        }
    }

    fn alive(&mut self, workers: Vec<(WorkerName, Option<Millis>)>) {
        for (worker, clock) in workers {
            if let Some(header) = self.headers.get(&worker) {
                let changes = Some(Changes {
                    clock,
                    ..header.clone()
                });
                self.event(Event::Report { worker, changes });
            }
        }
    }

    fn event(&mut self, event: Event) {
        if let Event::Report {
            worker,
            changes: Some(changes),
        } = &event
        {
            let header = Changes {
                full: false,
                tasks: Vec::new(),
                ..changes.clone()
            };
            self.headers.insert(worker.clone(), header);
        }
        for action in self.scheduler.on(self.now(), event) {
            self.action(action);
        }
    }

    fn action(&mut self, action: Action) {
        match action {
            Action::Append(action) => self.append(action),
            Action::Reply { token, response } => {
                if let Some(reply) = self.calls.remove(&token) {
                    let _ = reply.try_send(response);
                }
            }
            Action::Send { worker, batch } => self.enqueue(worker, batch),
            Action::Write {
                token,
                transaction,
                guarantee,
            } => self.write(token, transaction, guarantee),
            Action::StepDown => self.step_down(),
            Action::Log(line) => {
                self.count(line.what);
                logging::log_decision(&self.log, &line);
            }
        }
    }

    fn count(&self, what: &str) {
        match what {
            "placed" => self.metrics.placements.inc(),
            "reclaiming" => self.metrics.reclaims.inc(),
            _ => {}
        }
    }

    fn append(&self, action: AppendAction) {
        let store = self.store.clone();
        let inbox = self.inbox.clone();
        self.kernel.spawn_until_stop(async move {
            if let Some(event) = takeover::perform(&store, action).await {
                let _ = inbox.send(Input::Event(Box::new(Event::Stored(event)))).await;
            }
        });
    }

    fn write(&mut self, token: Token, mut transaction: Transaction, guarantee: Option<Guarantee>) {
        // Every daemon reads the catalog again when this row changes.
        transaction.writes.push(Write {
            key: CATALOG_KEY.to_owned(),
            value: Some(String::new()),
        });
        let Some(reply) = self.calls.remove(&token) else { return };
        let name = transaction
            .writes
            .first()
            .and_then(|write| write.key.strip_prefix(GUARANTEE_PREFIX));
        let name = name.map(GuaranteeName::from);
        let inbox = self.inbox.clone();
        let store = self.store.clone();
        let kernel = self.kernel.clone();
        self.kernel.spawn(async move {
            let response = match store.commit(&transaction).await {
                Ok(Commit::Done { version }) => {
                    let written = guarantee.clone().map(|mut written| {
                        written.metadata.revision = Revision(version);
                        written
                    });
                    if let Some(name) = name {
                        // The scheduler must count it from now on, not from the next look at the catalog.
                        let _ = inbox
                            .send(Input::Event(Box::new(Event::Guarantee(name, written))))
                            .await;
                    }
                    if let Ok(config) = kernel.find::<Config>() {
                        config.reload_soon();
                    }
                    let guarantees = guarantee.into_iter().map(|mut written| {
                        written.metadata.revision = Revision(version);
                        written
                    });
                    Response::Guarantees {
                        guarantees: guarantees.collect(),
                    }
                }
                Ok(Commit::Conflict { key, version }) => {
                    let message = format!("{key} is at revision {version}");
                    failed(&Error::msg(ErrorKind::Conflict, "write guarantee", message))
                }
                Err(error) => failed(&error.ran(Ran::Unknown)),
            };
            let _ = reply.try_send(response);
        });
    }

    fn enqueue(&mut self, worker: WorkerName, batch: CommandBatch) {
        let lost = self.orders.push(worker, batch);
        if let Some((worker, batch)) = lost {
            let reply = None;
            let lost = Event::Replied { worker, batch, reply };
            let _ = self.inbox.try_send(Input::Event(Box::new(lost)));
        }
        self.send_next();
    }

    /// Sends what waits for workers that have no commands on their way.
    fn send_next(&mut self) {
        for (worker, batch) in self.orders.take_due() {
            let kernel = self.kernel.clone();
            let log = self.log.clone();
            self.reply_later(async move {
                let reply = orders::send(&kernel, &log, &worker, &batch).await;
                Input::Sent { worker, batch, reply }
            });
        }
    }

    /// Sends the renewals since the last tick, one request for each supervisor.
    fn send_renewals(&mut self) {
        let Ok(members) = self.kernel.find::<Members>() else {
            return;
        };
        let due = self.orders.take_renewals(|worker| members.supervisor(worker));
        for (supervisor, renewals) in due {
            let kernel = self.kernel.clone();
            let inbox = self.inbox.clone();
            let log = self.log.clone();
            self.kernel.spawn_until_stop(async move {
                for (worker, batch, reply) in orders::renew(&kernel, &log, supervisor.as_ref(), renewals).await {
                    let replied = Event::Replied { worker, batch, reply };
                    let _ = inbox.send(Input::Event(Box::new(replied))).await;
                }
            });
        }
    }

    fn reply_later(&self, task: impl Future<Output = Input> + Send + 'static) {
        let inbox = self.inbox.clone();
        self.kernel.spawn_until_stop(async move {
            let _ = inbox.send(task.await).await;
        });
    }
}

/// Milliseconds since the Unix epoch.
fn wall_time() -> Millis {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    Millis(since.as_millis() as u64)
}

/// Incarnation of this process: a later start gives a higher one, as long as the wall clock does.
pub(crate) fn new_incarnation() -> Incarnation {
    Incarnation(wall_time().0)
}
