//! The task that drives the tenure and the scheduler and carries out what they decide.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use futures_lite::future;

use crate::appender::AppendAction;
use crate::clock::Millis;
use crate::commands::{self, CommandQueues};
use crate::config::{CATALOG_KEY, Config, GUARANTEE_PREFIX};
use crate::edge::{Commit, Transaction, Write};
use crate::election::{Election, ElectionAction, ElectionEvent};
use crate::error::{Error, ErrorKind, Ran};
use crate::ids::{DaemonName, GuaranteeName, RegionName, Revision, Term, WorkerName};
use crate::kernel::Kernel;
use crate::leader_probe::LeaderProbe;
use crate::lease::Lease;
use crate::members::Members;
use crate::message::{Leader, Response};
use crate::metrics::Metrics;
use crate::resource::Guarantee;
use crate::scheduler::{Action, Event, Scheduler, Token};
use crate::scheduler_service::{Input, Shared, failed, wall_time};
use crate::scheduler_updates::Forwarded;
use crate::steps::{StepAnswer, StepsEvent};
use crate::storage::Storage;
use crate::worker::{Changes, CommandBatch};
use crate::{logging, takeover};

/// Time between two ticks.
const TICK: Millis = Millis(100);

/// Time between two looks at the catalog and the platform's list.
const REFRESH: Millis = Millis(500);

/// Pause before the journal is read again after a failed takeover.
const LOAD_PAUSE: Millis = Millis(200);

/// Time for one step of the scheduler beyond which the log says so: a tenth of its lease.
const SLOW_STEP: Millis = Millis(50);

/// State of the task.
pub(crate) struct SchedulerActor {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) store: Arc<Storage>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) region: RegionName,
    pub(crate) me: DaemonName,
    pub(crate) log: slog::Logger,
    pub(crate) inbox: Sender<Input>,
    pub(crate) shared: Arc<Mutex<Shared>>,
    pub(crate) tenure: Election,
    pub(crate) scheduler: Scheduler,
    pub(crate) calls: BTreeMap<Token, Sender<Response>>,
    pub(crate) step_calls: BTreeMap<Token, Sender<StepAnswer>>,
    pub(crate) orders: CommandQueues,
    /// Last changes of each worker without tasks, to stand for a report of an unchanged worker.
    pub(crate) headers: BTreeMap<WorkerName, Changes>,
    pub(crate) known: Forwarded,
    pub(crate) refreshed: Millis,
    /// Term and fence while the lease is held.
    pub(crate) elected: Option<(Term, u64)>,
    pub(crate) resigning: Option<Sender<()>>,
}

impl SchedulerActor {
    pub(crate) async fn run(mut self, inbox: Receiver<Input>) {
        let mut next = self.now();
        loop {
            if self.now() >= next {
                next = self.now() + TICK;
                self.tick();
            }
            if self.scheduler.wake_at().is_some_and(|wake| self.now() >= wake) {
                self.event(Event::Tick);
            }
            let wait = self
                .scheduler
                .wake_at()
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
        self.tenure(ElectionEvent::Tick);
        if self.now() >= self.refreshed + REFRESH {
            self.refreshed = self.now();
            self.refresh();
        }
        self.shared.lock().expect("leader lock").lease = self.tenure.valid_lease(self.now());
        self.event(Event::Tick);
        self.send_renewals();
        self.metrics.set_figures(&self.scheduler.stats().unwrap_or_default());
        self.metrics
            .tenure
            .set(self.elected.map_or(0, |(term, _)| term.0 as i64));
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Election(event) => self.tenure(event),
            Input::Event(event) => self.event(*event),
            Input::Call { token, call, reply } => {
                self.calls.insert(token, reply);
                self.event(Event::Call { token, call: *call });
            }
            Input::Loaded { term, loaded } => self.loaded(term, *loaded),
            Input::Alive { workers, outcomes } => {
                self.alive(workers);
                for (worker, outcomes) in outcomes {
                    self.event(Event::Outcomes { worker, outcomes });
                }
            }
            Input::Sent { worker, batch, reply } => {
                self.event(Event::Replied {
                    worker: worker.clone(),
                    batch,
                    reply,
                });
                self.orders.mark_idle(&worker);
                self.send_next();
            }
            Input::Steps { token, call, reply } => {
                self.step_calls.insert(token, reply);
                self.event(Event::Steps(StepsEvent::Call { token, call: *call }));
            }
            Input::Hosts { term, update } => {
                if self.elected.is_some_and(|(elected, _)| elected == term) {
                    self.event(Event::Steps(StepsEvent::Hosts(update)));
                }
            }
            Input::Resign(done) => {
                self.resigning = Some(done);
                self.tenure(ElectionEvent::Resign);
            }
        }
    }

    fn tenure(&mut self, event: ElectionEvent) {
        if let ElectionEvent::Read { lease: Some(row), .. } = &event {
            let seen = Lease::parse(&row.value);
            let leader = seen.as_ref().and_then(|lease| {
                Some(Leader {
                    region: self.region.clone(),
                    daemon: lease.holder.clone()?,
                    term: lease.term,
                })
            });
            let mut shared = self.shared.lock().expect("leader lock");
            shared.leader = leader;
            shared.address = seen.map(|lease| lease.address);
        }
        for action in self.tenure.on(self.now(), event) {
            self.tenure_action(action);
        }
    }

    fn tenure_action(&mut self, action: ElectionAction) {
        match action {
            ElectionAction::Read { lease, term } => self.read_lease(lease, term),
            ElectionAction::Commit(transaction) => self.commit_lease(transaction),
            ElectionAction::Elected { term, fence } => {
                slog::info!(self.log, "elected"; "region" => %self.region, "term" => term.0);
                self.elected = Some((term, fence));
                self.load(term, fence, Millis::ZERO);
            }
            ElectionAction::LeaseValid(held) => {
                slog::info!(self.log, "tenure changed"; "region" => %self.region, "held" => held);
                self.event(Event::LeaseChanged { held });
            }
            ElectionAction::Deposed => {
                slog::warn!(self.log, "deposed"; "region" => %self.region);
                self.depose();
            }
            ElectionAction::Resigned => {
                self.depose();
                if let Ok(beats) = self.kernel.find::<LeaderProbe>() {
                    beats.announce_release();
                }
                match self.resigning.take() {
                    Some(done) => {
                        let _ = done.try_send(());
                    }
                    None => self.tenure.restart(self.now()),
                }
            }
        }
    }

    fn depose(&mut self) {
        self.elected = None;
        self.shared.lock().expect("leader lock").term = None;
        self.event(Event::Deposed);
        self.calls.clear();
        self.step_calls.clear();
        self.orders = CommandQueues::default();
        self.headers.clear();
    }

    /// The scheduler gave up. A journal that could not be folded is read again under the same term, since
    /// nothing was written yet. After that, only a new term is safe: a second writer in one term can take a
    /// late transaction of the first for its own, and a worker that saw a newer term refuses this one.
    fn step_down(&mut self) {
        let serving = self.shared.lock().expect("leader lock").term.is_some();
        match self.elected {
            Some((term, fence)) if !serving => self.load(term, fence, LOAD_PAUSE),
            Some(_) => self.tenure(ElectionEvent::Resign),
            None => {}
        }
    }

    fn read_lease(&self, lease: String, term: String) {
        let sent = self.now();
        let store = self.store.clone();
        self.spawn_input(async move {
            // One after the other: of two requests at once, a breaker that probes refuses one.
            let rows = async { Ok::<_, Error>((store.table.get(&lease).await?, store.table.get(&term).await?)) }.await;
            Input::Election(match rows {
                Ok((lease, term)) => ElectionEvent::Read { sent, lease, term },
                Err(_) => ElectionEvent::ReadFailed,
            })
        });
    }

    fn commit_lease(&self, transaction: Transaction) {
        let sent = self.now();
        let store = self.store.clone();
        self.spawn_input(async move {
            Input::Election(match store.table.commit(&transaction).await {
                Ok(Commit::Done { version }) => ElectionEvent::Committed { sent, version },
                Ok(Commit::Conflict { .. }) => ElectionEvent::Conflict,
                Err(_) => ElectionEvent::Unknown,
            })
        });
    }

    /// Reads the snapshot and the journal behind it after a pause, again until that succeeds.
    fn load(&self, term: Term, fence: u64, mut pause: Millis) {
        let store = self.store.clone();
        let region = self.region.clone();
        let (log, clock) = (self.log.clone(), self.kernel.clock);
        self.spawn_input(async move {
            loop {
                async_io::Timer::after(pause.duration()).await;
                pause = LOAD_PAUSE;
                let asked = clock.now();
                match takeover::load(&store, &region).await {
                    Ok((snapshot, rows)) => {
                        let took = clock.now().since(asked);
                        slog::info!(log, "journal read"; "term" => term.0, "rows" => rows.len(),
                            "snapshot" => snapshot.is_some(), "took" => took.0);
                        let loaded = Box::new(Event::Elected {
                            term,
                            fence,
                            snapshot,
                            rows,
                            wall: wall_time(),
                        });
                        return Input::Loaded { term, loaded };
                    }
                    Err(error) => slog::warn!(log, "takeover can't read"; "error" => %error),
                }
            }
        });
    }

    fn loaded(&mut self, term: Term, event: Event) {
        if self.elected.map(|(elected, _)| elected) != Some(term) {
            return;
        }
        self.known = Forwarded::default();
        self.event(event);
        if self.scheduler.stats().is_none() {
            return;
        }
        self.event(Event::LeaseChanged {
            held: self.tenure.is_leader(self.now()),
        });
        let mut shared = self.shared.lock().expect("leader lock");
        shared.term = Some(term);
        shared.leader = Some(Leader {
            region: self.region.clone(),
            daemon: self.me.clone(),
            term,
        });
        drop(shared);
        if let Ok(beats) = self.kernel.find::<LeaderProbe>() {
            beats.announce_term(term);
        }
        self.refresh();
        self.poll_host_list(term);
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

    pub(crate) fn event(&mut self, event: Event) {
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
        let started = self.now();
        for action in self.scheduler.on(started, event) {
            self.action(action);
        }
        let took = self.now().since(started);
        if took >= SLOW_STEP {
            slog::warn!(self.log, "slow step"; "took" => took.0);
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
            Action::WriteGuarantee {
                token,
                transaction,
                guarantee,
            } => self.write(token, transaction, guarantee),
            Action::StepDown => self.step_down(),
            Action::Steps(action) => self.perform_step_action(action),
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
            "ejected" => self.metrics.ejections.inc(),
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
            let response = match store.table.commit(&transaction).await {
                Ok(Commit::Done { version }) => {
                    let written = guarantee.map(|mut written| {
                        written.metadata.revision = Revision(version);
                        written
                    });
                    if let Some(name) = name {
                        // The scheduler must count it from now on, not from the next look at the catalog.
                        let _ = inbox
                            .send(Input::Event(Box::new(Event::Guarantee(name, written.clone()))))
                            .await;
                    }
                    if let Ok(config) = kernel.find::<Config>() {
                        config.reload_soon();
                    }
                    Response::Guarantees {
                        guarantees: written.into_iter().collect(),
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
            self.spawn_input(async move {
                let reply = commands::send(&kernel, &log, &worker, &batch).await;
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
                for (worker, batch, reply) in commands::renew(&kernel, &log, supervisor.as_ref(), renewals).await {
                    let replied = Event::Replied { worker, batch, reply };
                    let _ = inbox.send(Input::Event(Box::new(replied))).await;
                }
            });
        }
    }

    pub(crate) fn spawn_input(&self, task: impl Future<Output = Input> + Send + 'static) {
        let inbox = self.inbox.clone();
        self.kernel.spawn_until_stop(async move {
            let _ = inbox.send(task.await).await;
        });
    }
}
