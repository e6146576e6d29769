//! The task that drives the election and the scheduler of this daemon's region. It feeds both with ticks, inputs from
//! its inbox and outcomes of storage requests, and carries out the actions that they return.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use crate::appender::AppendAction;
use crate::capacity::Capacity;
use crate::clock::Millis;
use crate::commands::{self, CommandQueues};
use crate::config::{CATALOG_KEY, Config, GUARANTEE_PREFIX};
use crate::edge::{Commit, Connections, Transaction, Write};
use crate::election::{Election, ElectionAction, ElectionEvent};
use crate::error::{Error, ErrorKind, Ran};
use crate::ids::{DaemonName, GuaranteeName, RegionName, Revision, Term, WorkerName};
use crate::kernel::Kernel;
use crate::leader_probe::LeaderProbe;
use crate::lease::Lease;
use crate::members::Members;
use crate::message::{Leader, Response};
use crate::metrics::{Metrics, process_usage};
use crate::order_slots::OrderSlots;
use crate::resource::Guarantee;
use crate::scheduler::{Action, Event, Scheduler, Token};
use crate::scheduler_service::{Input, Shared, failed, wall_time};
use crate::scheduler_updates::Forwarded;
use crate::starvation::{SAMPLE_INTERVAL, StarvationWatch};
use crate::steps::{StepAnswer, StepsEvent};
use crate::steps_io::{HostClients, Listing, outcome_of};
use crate::storage::Storage;
use crate::takeover::Loader;
use crate::worker::{Changes, CommandBatch};
use crate::{logging, takeover};

/// Time between two ticks of the election and the scheduler.
const TICK: Millis = Millis(100);

/// Time between two checks for changes of the configuration and the platform's list of VMs.
const REFRESH: Millis = Millis(500);

/// Pause before the journal is read again, after it could not be read or folded.
const LOAD_PAUSE: Millis = Millis(200);

/// Reads of the journal in a row that failed without bringing anything new, after which the lease is given up so that a
/// daemon that can read takes over.
const MAX_FRUITLESS_READS: u32 = 5;

/// Time between two log lines about the load of the scheduler.
const LOAD_INTERVAL: Millis = Millis(2_000);

/// Time from its election on for which a daemon whose machine is slow keeps the lease: the others may be slow as well, and
/// each takeover takes up to a second.
const MIN_TENURE: Millis = Millis(5_000);

/// A step of the scheduler that takes at least this long is logged as slow: a tenth of its lease.
const SLOW_STEP: Millis = Millis(50);

/// State of the task. There is one on each daemon, whether or not it is the scheduler.
pub(crate) struct SchedulerActor {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) storage: Arc<Storage>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) region: RegionName,
    pub(crate) me: DaemonName,
    pub(crate) log: slog::Logger,
    pub(crate) inbox: Sender<Input>,
    pub(crate) shared: Arc<Mutex<Shared>>,
    pub(crate) election: Election,
    pub(crate) scheduler: Scheduler,
    /// Where the answers of pending calls go.
    pub(crate) calls: BTreeMap<Token, Sender<Response>>,
    pub(crate) step_calls: BTreeMap<Token, Sender<StepAnswer>>,
    pub(crate) orders: CommandQueues,
    /// The last report of each worker, without its tasks. It is reported again when a supervisor says that the worker
    /// answered without changes.
    pub(crate) last_changes: BTreeMap<WorkerName, Changes>,
    pub(crate) forwarded: Forwarded,
    pub(crate) refreshed_at: Millis,
    /// When the load was last logged.
    pub(crate) load_reported: Millis,
    /// Resources of this daemon; `None` if all daemons count as equal.
    pub(crate) capacity: Option<Capacity>,
    /// How this daemon gets processor time while it is the scheduler, and when the last sample was taken.
    pub(crate) starvation: (StarvationWatch, Millis),
    /// Number of orders to workers that have no outcome yet.
    pub(crate) open_orders: Arc<AtomicUsize>,
    /// Bounds the orders to start and stop runs that are in progress.
    pub(crate) order_slots: OrderSlots,
    /// Term and version of the term row since this daemon was elected; `None` while it is not the scheduler.
    pub(crate) elected: Option<(Term, u64)>,
    /// How many times the journal was read under this term and could not be folded.
    pub(crate) failed_folds: u32,
    /// Held while the journal is read for a takeover; dropping it ends the read.
    pub(crate) loading: Option<Sender<()>>,
    /// Brings the platform's list of workers, which is read while the journal is.
    pub(crate) first_list: Option<Receiver<Listing>>,
    /// Signalled once a resignation that the daemon asked for is done.
    pub(crate) resign_reply: Option<Sender<()>>,
}

impl SchedulerActor {
    /// Runs until the inbox is closed.
    pub(crate) async fn run(mut self, inbox: Receiver<Input>) {
        let mut next = self.now();
        let (mut timer, mut set_to) = (Timer::never(), None);
        loop {
            if self.now() >= next {
                next = self.now() + TICK;
                self.tick();
            }
            if self.scheduler.wake_at().is_some_and(|wake| self.now() >= wake) {
                self.handle_event(Event::Wake);
            }
            if let Ok(input) = inbox.try_recv() {
                self.handle_input(input);
                continue;
            }
            let wake = self.scheduler.wake_at().map_or(next, |wake| next.min(wake));
            // Each change of the timer wakes the thread that waits for I/O.
            if set_to != Some(wake) {
                timer.set_after(wake.since(self.now()).duration());
                set_to = Some(wake);
            }
            let due = async {
                (&mut timer).await;
                None
            };
            match future::or(async { inbox.recv().await.ok() }, due).await {
                Some(input) => self.handle_input(input),
                None if inbox.is_closed() => return,
                None => set_to = None,
            }
        }
    }

    fn now(&self) -> Millis {
        self.kernel.clock.now()
    }

    fn tick(&mut self) {
        self.handle_election(ElectionEvent::Tick);
        if self.now() >= self.refreshed_at + REFRESH {
            self.refreshed_at = self.now();
            self.refresh();
        }
        let now = self.now();
        let mut shared = self.shared.lock().expect("leader lock");
        shared.lease = self.election.valid_lease(now);
        shared.penalized = self.election.is_penalized(now);
        drop(shared);
        self.refresh_evacuations();
        self.handle_event(Event::Tick);
        self.send_renewals();
        self.sample_processor();
        self.report_load();
        self.metrics.set_figures(&self.scheduler.stats().unwrap_or_default());
        self.metrics
            .tenure
            .set(self.elected.map_or(0, |(term, _)| term.0 as i64));
        let evacuated = self.scheduler.evacuated_domains().unwrap_or(0);
        self.metrics.evacuated.set(evacuated as i64);
    }

    /// Measures how long a task waits for the processor, at intervals while this daemon is the scheduler.
    fn sample_processor(&mut self) {
        let now = self.now();
        if self.elected.is_none() {
            self.starvation.0.reset();
        } else if self.capacity.is_some() && now >= self.starvation.1 + SAMPLE_INTERVAL {
            self.starvation.1 = now;
            let clock = self.kernel.clock;
            self.spawn_input(async move {
                Input::ProcessorSample {
                    waited: clock.now().since(now),
                }
            });
        }
    }

    /// Gives the lease up if this daemon's machine has become slow, so that another one takes over, unless the release
    /// could not be stored.
    fn handle_sample(&mut self, waited: Millis) {
        let (now, Some(capacity)) = (self.now(), self.capacity) else {
            return;
        };
        let used = Millis((process_usage().cpu * 1_000.0) as u64);
        self.starvation.0.sample(now, used, waited);
        let serving = self.shared.lock().expect("leader lock").term.is_some();
        if serving && self.election.is_settled(now, MIN_TENURE) && self.starvation.0.is_starved(capacity.millicores) {
            slog::warn!(self.log, "this daemon's machine has become slow; the lease is given up"; "waited" => waited.0,
                "capacity" => %capacity);
            self.starvation.0.reset();
            self.handle_election(ElectionEvent::Yield);
        }
    }

    /// Logs the load of this daemon at intervals: while it is the scheduler what waits in it, and its own usage.
    fn report_load(&mut self) {
        let now = self.now();
        if now < self.load_reported + LOAD_INTERVAL {
            return;
        }
        let late = now.since(self.load_reported + LOAD_INTERVAL);
        self.load_reported = now;
        let Some((term, _)) = self.elected else { return };
        let usage = process_usage();
        let journal = self.scheduler.journal_load();
        let steps = self.scheduler.step_load();
        let connections = self
            .kernel
            .find::<HostClients>()
            .map_or_else(|_| Connections::default(), |clients| clients.hosts.connections());
        slog::info!(self.log, "load"; "term" => term.0, "passes" => steps.map(|load| load.passes),
            "waiting" => steps.map(|load| load.waiting), "runs" => steps.map(|load| load.runs),
            "held_suspects" => steps.map(|load| load.held_suspects),
            "longest_held" => steps.and_then(|load| load.held_since).map(|since| now.since(since).0),
            "unstored_ends" => steps.map(|load| load.unstored_ends),
            "orders_waiting" => self.order_slots.waiting(),
            "inbox" => self.inbox.len(), "orders" => self.open_orders.load(Ordering::Relaxed),
            "connections" => connections.open, "idle" => connections.idle,
            "calls" => self.step_calls.len(), "records" => journal.map(|load| load.backlog),
            "snapshot_bytes" => journal.map(|load| load.snapshot_bytes),
            "row_bytes" => journal.map(|load| load.row_bytes), "tick_late" => late.0,
            "cpu_ms" => (usage.cpu * 1_000.0) as u64, "resident" => usage.resident, "anonymous" => usage.anonymous);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Election(event) => self.handle_election(event),
            Input::Event(event) => self.handle_event(*event),
            Input::Call { token, call, reply } => {
                self.calls.insert(token, reply);
                self.handle_event(Event::Call { token, call: *call });
            }
            Input::Loaded { term, loaded } => self.handle_loaded(term, *loaded),
            Input::Alive { workers, outcomes } => {
                self.handle_alive(workers);
                for (worker, outcomes) in outcomes {
                    self.handle_event(Event::Outcomes { worker, outcomes });
                }
            }
            Input::CommandReply { worker, batch, reply } => {
                self.handle_event(Event::Replied {
                    worker: worker.clone(),
                    batch,
                    reply,
                });
                self.orders.mark_idle(&worker);
                self.send_next();
            }
            Input::StepCall { token, call, reply } => {
                self.step_calls.insert(token, reply);
                self.handle_event(Event::Steps(StepsEvent::Call { token, call: *call }));
            }
            Input::Hosts { term, update } => {
                if self.elected.is_some_and(|(elected, _)| elected == term) {
                    self.handle_event(Event::Steps(StepsEvent::Hosts(update)));
                }
            }
            Input::ProcessorSample { waited } => self.handle_sample(waited),
            Input::Resign(done) => {
                self.resign_reply = Some(done);
                self.handle_election(ElectionEvent::Resign);
            }
        }
    }

    fn handle_election(&mut self, event: ElectionEvent) {
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
            shared.set_leader(leader, seen.map(|lease| lease.address));
        }
        for action in self.election.on(self.now(), event) {
            self.perform_election_action(action);
        }
    }

    fn perform_election_action(&mut self, action: ElectionAction) {
        match action {
            ElectionAction::Read { lease, term } => self.read_lease(lease, term),
            ElectionAction::Commit(transaction) => self.commit_lease(transaction),
            ElectionAction::Elected { term, fence } => {
                slog::info!(self.log, "elected"; "region" => %self.region, "term" => term.0);
                self.elected = Some((term, fence));
                self.failed_folds = 0;
                self.read_first_list();
                self.load_journal(term, fence, Millis::ZERO);
            }
            ElectionAction::LeaseValid { until } => {
                let lease = self.election.valid_lease(self.now());
                let before = std::mem::replace(&mut self.shared.lock().expect("leader lock").lease, lease);
                if before.is_some() != lease.is_some() {
                    slog::info!(self.log, "tenure changed"; "region" => %self.region, "held" => lease.is_some());
                }
                self.handle_event(Event::LeaseChanged { until });
            }
            ElectionAction::Deposed => {
                slog::warn!(self.log, "deposed"; "region" => %self.region);
                self.handle_deposed();
            }
            ElectionAction::ClaimDelayed { rank, delay } => {
                slog::info!(self.log, "claim delayed because other daemons come first"; "region" => %self.region,
                    "stronger" => rank, "delay" => delay.0);
            }
            ElectionAction::HandingOver { to } => {
                if let Ok(probe) = self.kernel.find::<LeaderProbe>() {
                    probe.log_handover(&to);
                }
            }
            ElectionAction::Resigned => {
                self.handle_deposed();
                if let Ok(probe) = self.kernel.find::<LeaderProbe>() {
                    probe.announce_release();
                }
                match self.resign_reply.take() {
                    Some(done) => {
                        let _ = done.try_send(());
                    }
                    None => self.election.restart(self.now()),
                }
            }
        }
    }

    fn handle_deposed(&mut self) {
        self.elected = None;
        self.loading = None;
        self.shared.lock().expect("leader lock").term = None;
        self.handle_event(Event::Deposed);
        self.calls.clear();
        self.step_calls.clear();
        self.orders = CommandQueues::default();
        self.last_changes.clear();
    }

    /// Handles a scheduler that stepped down by itself. If it could not fold the journal, the journal is read once more
    /// under the same term, since nothing was written yet, and then left to other daemons. After that, only a new term is safe: a second writer in one
    /// term could take a late transaction of the first for its own, and a worker that saw a newer term refuses this
    /// one.
    fn step_down(&mut self) {
        let serving = self.shared.lock().expect("leader lock").term.is_some();
        match self.elected {
            Some(_) if !serving && self.failed_folds > 0 => {
                slog::warn!(self.log, "takeover: state can't be restored; the lease is given up");
                self.handle_election(ElectionEvent::Yield);
            }
            Some((term, fence)) if !serving => {
                self.failed_folds += 1;
                self.load_journal(term, fence, LOAD_PAUSE);
            }
            Some(_) => self.handle_election(ElectionEvent::Resign),
            None => {}
        }
    }

    fn read_lease(&self, lease: String, term: String) {
        let sent = self.now();
        let storage = self.storage.clone();
        self.spawn_input(async move {
            // Sequential reads: a half-open circuit breaker admits one probe and refuses a second request beside it.
            let rows =
                async { Ok::<_, Error>((storage.table.get(&lease).await?, storage.table.get(&term).await?)) }.await;
            Input::Election(match rows {
                Ok((lease, term)) => ElectionEvent::Read { sent, lease, term },
                Err(_) => ElectionEvent::ReadFailed,
            })
        });
    }

    fn commit_lease(&self, transaction: Transaction) {
        let sent = self.now();
        let storage = self.storage.clone();
        self.spawn_input(async move {
            Input::Election(match storage.table.commit(&transaction).await {
                Ok(Commit::Done { version }) => ElectionEvent::Committed { sent, version },
                Ok(Commit::Conflict { .. }) => ElectionEvent::Conflict,
                Err(_) => ElectionEvent::Unknown,
            })
        });
    }

    /// Reads the snapshot and the journal rows after it, after `pause`. Repeats until it succeeds or this daemon is no
    /// longer the scheduler, and gives the lease up if nothing can be read.
    fn load_journal(&mut self, term: Term, fence: u64, pause: Millis) {
        let (loading, deposed) = async_channel::bounded::<()>(1);
        self.loading = Some(loading);
        let storage = self.storage.clone();
        let (log, clock, inbox) = (self.log.clone(), self.kernel.clock, self.inbox.clone());
        let mut loader = Loader::new(self.region.clone(), log.clone(), clock);
        let shared = self.shared.clone();
        let held = move || {
            let lease = shared.lock().expect("leader lock").lease;
            lease.is_some_and(|(_, until)| clock.now() < until)
        };
        self.kernel.spawn_until_stop(async move {
            let load = async {
                Timer::after(pause.duration()).await;
                let begun = clock.now();
                let mut fruitless = 0;
                loop {
                    let before = loader.bytes();
                    match loader.load(&storage, &held).await {
                        Ok((snapshot, rows)) => {
                            slog::info!(log, "journal read"; "term" => term.0, "rows" => rows.len(),
                                "snapshot" => snapshot.is_some(), "took" => clock.now().since(begun).0);
                            return Some((snapshot, rows));
                        }
                        Err(error) => slog::warn!(log, "journal not read for the takeover; trying again";
                            "error" => %error, "bytes" => loader.bytes()),
                    }
                    fruitless = match (loader.bytes() > before, held()) {
                        (true, _) => 0,
                        (false, true) => fruitless + 1,
                        // The store may be out of reach for every daemon.
                        (false, false) => fruitless,
                    };
                    if fruitless >= MAX_FRUITLESS_READS && held() {
                        slog::warn!(log, "takeover: journal can't be read; the lease is given up"; "term" => term.0);
                        let _ = inbox.send(Input::Election(ElectionEvent::Yield)).await;
                        return None;
                    }
                    Timer::after(LOAD_PAUSE.duration()).await;
                }
            };
            let deposed = async {
                // Fails once the sender is dropped.
                let _ = deposed.recv().await;
                None
            };
            let Some((snapshot, rows)) = future::or(load, deposed).await else {
                return slog::info!(log, "takeover: read ended without a state"; "term" => term.0);
            };
            let loaded = Box::new(Event::Elected {
                term,
                fence,
                snapshot,
                rows,
                wall: wall_time(),
            });
            let _ = inbox.send(Input::Loaded { term, loaded }).await;
        });
    }

    fn handle_loaded(&mut self, term: Term, event: Event) {
        if self.elected.map(|(elected, _)| elected) != Some(term) {
            return;
        }
        self.forwarded = Forwarded::default();
        self.handle_event(event);
        if self.scheduler.stats().is_none() {
            return;
        }
        self.handle_event(Event::LeaseChanged {
            until: self.election.lease_end(),
        });
        let mut shared = self.shared.lock().expect("leader lock");
        shared.term = Some(term);
        let leader = Leader {
            region: self.region.clone(),
            daemon: self.me.clone(),
            term,
        };
        let address = shared.address.take();
        shared.set_leader(Some(leader), address);
        drop(shared);
        if let Ok(probe) = self.kernel.find::<LeaderProbe>() {
            probe.announce_term(term);
        }
        self.refresh();
        self.poll_host_list(term);
    }

    fn handle_alive(&mut self, workers: Vec<(WorkerName, Option<Millis>)>) {
        for (worker, clock) in workers {
            if let Some(header) = self.last_changes.get(&worker) {
                let changes = Some(Changes {
                    clock,
                    ..header.clone()
                });
                self.handle_event(Event::Report { worker, changes });
            }
        }
    }

    /// Feeds an event to the scheduler and carries out its actions.
    pub(crate) fn handle_event(&mut self, event: Event) {
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
            self.last_changes.insert(worker.clone(), header);
        }
        let started = self.now();
        for action in self.scheduler.on(started, event) {
            self.perform_action(action);
        }
        let took = self.now().since(started);
        if took >= SLOW_STEP {
            slog::warn!(self.log, "slow step"; "took" => took.0);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Append(action) => self.perform_append(action),
            Action::Reply { token, response } => {
                if let Some(reply) = self.calls.remove(&token) {
                    let _ = reply.try_send(response);
                }
            }
            Action::Send { worker, batch } => self.enqueue_commands(worker, batch),
            Action::WriteGuarantee {
                token,
                transaction,
                guarantee,
            } => self.commit_guarantee(token, transaction, guarantee),
            Action::StepDown => self.step_down(),
            Action::Steps(action) => self.perform_step_action(action),
            Action::Log(line) => {
                self.count_decision(line.what);
                logging::log_decision(&self.log, &line);
            }
        }
    }

    fn count_decision(&self, what: &str) {
        match what {
            "placed" => self.metrics.placements.inc(),
            "reclaiming" => self.metrics.reclaims.inc(),
            "ejected" => self.metrics.ejections.inc(),
            _ => {}
        }
    }

    fn perform_append(&self, action: AppendAction) {
        let (storage, log) = (self.storage.clone(), self.log.clone());
        let (inbox, term) = (self.inbox.clone(), self.elected.map(|(term, _)| term));
        self.kernel.spawn_until_stop(async move {
            if let Some(event) = takeover::perform(&storage, action, &log).await {
                let _ = inbox.send(outcome_of(term, Event::Stored(event))).await;
            }
        });
    }

    fn commit_guarantee(&mut self, token: Token, mut transaction: Transaction, guarantee: Option<Guarantee>) {
        // All daemons reload the catalog when the version of this row changes.
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
        let (inbox, term) = (self.inbox.clone(), self.elected.map(|(term, _)| term));
        let storage = self.storage.clone();
        let kernel = self.kernel.clone();
        self.kernel.spawn(async move {
            let response = match storage.table.commit(&transaction).await {
                Ok(Commit::Done { version }) => {
                    let written = guarantee.map(|mut written| {
                        written.metadata.revision = Revision(version);
                        written
                    });
                    if let Some(name) = name {
                        // The scheduler must apply it from now on, not only after the next reload of the catalog.
                        let event = Event::Guarantee(name, written.clone());
                        let _ = inbox.send(outcome_of(term, event)).await;
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

    fn enqueue_commands(&mut self, worker: WorkerName, batch: CommandBatch) {
        let lost = self.orders.push(worker, batch);
        if let Some((worker, batch)) = lost {
            let reply = None;
            let lost = Event::Replied { worker, batch, reply };
            let _ = self.inbox.try_send(Input::Event(Box::new(lost)));
        }
        self.send_next();
    }

    /// Sends the queued commands of workers that have no request in flight.
    fn send_next(&mut self) {
        for (worker, batch) in self.orders.take_due() {
            let kernel = self.kernel.clone();
            let log = self.log.clone();
            self.spawn_input(async move {
                let reply = commands::send(&kernel, &log, &worker, &batch).await;
                Input::CommandReply { worker, batch, reply }
            });
        }
    }

    /// Sends the task lease renewals queued since the last tick, one request for each supervisor.
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

    /// Spawns a task whose result goes into the inbox.
    pub(crate) fn spawn_input(&self, task: impl Future<Output = Input> + Send + 'static) {
        let inbox = self.inbox.clone();
        self.kernel.spawn_until_stop(async move {
            let _ = inbox.send(task.await).await;
        });
    }
}
