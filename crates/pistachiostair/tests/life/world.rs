//! The world: virtual clock, deliveries, store, workers and callers.

use std::collections::BTreeMap;

use pistachiostair::{
    BatchReply, Call, Changes, CommandBatch, Commit, Decision, ElectionEvent, Failure, Incarnation, Job, JobId,
    JobPhase, JobSpec, MemberState, Millis, Policy, Ran, Response, Retention, Row, Seq, SnapshotLimits, Term, Token,
    Transaction, WorkerInfo, WorkerName,
};
use standin::{Inventory, LogEntry, Tables};

use super::daemon::{Daemon, Listed, StoreEvent, StoreOp};
use super::faults::{Fault, Faults, Step};

pub const REGION: &str = "fi";
/// Callers; the last number stands for an operator.
pub const MAX_CLIENTS: u64 = 10_000;
/// One-way delay of a message.
const DELAY: u64 = 3;
/// A request without a response is given up after this span.
const TIMEOUT: u64 = 2_000;

/// Mechanisms that a test switches off to see the checker object.
#[derive(Clone, Copy, Debug, Default)]
pub struct Switches {
    /// Workers carry out commands of any term.
    pub no_fence: bool,
    /// The table ignores preconditions of journal rows.
    pub no_checks: bool,
    /// A takeover reads no journal.
    pub no_journal: bool,
    /// Leases of tasks never end.
    pub no_lapse: bool,
    /// Answers go to callers in order of arrival.
    pub no_tokens: bool,
    /// Unknown outcomes are told as "did not run".
    pub no_doubt: bool,
    /// Jobs that must not run twice are submitted as idempotent.
    pub no_once: bool,
    /// Releases are sent with the start.
    pub no_hold: bool,
    /// A takeover does not fall back to the older snapshot.
    pub no_previous: bool,
    /// A takeover does not compare a snapshot with its checksum.
    pub no_checksum: bool,
    /// A submission that is repeated is not recognised.
    pub no_keys: bool,
    /// Stored answers lose their end.
    pub cut_answers: bool,
}

#[derive(Clone, Debug)]
pub enum Delivery {
    Tick,
    Poll,
    Step(usize),
    Store(usize, u64, StoreOp),
    /// A write that was given up takes effect.
    Late(StoreOp),
    Stored(usize, u64, StoreEvent),
    Batch(usize, u64, WorkerName, CommandBatch),
    Replied(usize, u64, WorkerName, CommandBatch, Option<BatchReply>),
    Report(usize, u64, WorkerName, Option<Changes>),
    /// A late report for the scheduler at that time.
    Stale(WorkerName, Changes),
    Call(usize, u64, Token, Call),
    Answer(Token, Response),
    Timeout(usize, Token),
    Inject(Fault),
    Heal(Fault, usize),
}

/// A worker with its supervisors' cursors.
pub struct FakeWorker {
    pub info: WorkerInfo,
    pub inventory: Inventory,
    pub incarnation: u64,
    pub alive: bool,
    pub gone: bool,
    pub frozen: Option<Millis>,
    /// Whether it was ever frozen.
    pub froze: bool,
    pub cursors: BTreeMap<(usize, u64), u64>,
    /// Log entries of earlier incarnations, and when each of these ended.
    pub old: Vec<(Vec<LogEntry>, Millis)>,
    /// Terms of the batches that were carried out, in order.
    pub terms: Vec<Term>,
    /// Rate of its monotonic clock in percent, and what that clock showed at time 0.
    pub rate: u64,
    pub origin: u64,
}

impl FakeWorker {
    fn new(info: WorkerInfo) -> Self {
        Self {
            inventory: Inventory::new(info.clone(), Incarnation(1), 0),
            info,
            incarnation: 1,
            alive: false,
            gone: false,
            frozen: None,
            froze: false,
            cursors: BTreeMap::new(),
            old: Vec::new(),
            terms: Vec::new(),
            rate: 100,
            origin: 0,
        }
    }

    /// Its own clock.
    pub fn clock(&self, now: Millis) -> Millis {
        Millis(self.origin + now.0 * self.rate / 100)
    }

    /// Its log with the times of the virtual clock.
    pub fn log(&self) -> Vec<LogEntry> {
        let at = |at: Millis| Millis(((at.0 - self.origin) * 100).div_ceil(self.rate));
        let entries = self.inventory.log().iter().cloned();
        entries
            .map(|entry| LogEntry {
                at: at(entry.at),
                ..entry
            })
            .collect()
    }

    /// Ends the process and all its tasks; the next one has another incarnation.
    pub fn kill(&mut self, now: Millis) {
        self.inventory.advance(self.clock(now));
        self.old.push((self.log(), now));
        self.alive = false;
        self.incarnation += 1;
        self.inventory = Inventory::new(self.info.clone(), Incarnation(self.incarnation), 0);
        self.cursors.clear();
        self.frozen = None;
    }
}

/// A caller with one job.
#[derive(Clone, Debug)]
pub struct Client {
    pub key: String,
    pub spec: JobSpec,
    /// Whether the job may run only once, whatever was submitted.
    pub once: bool,
    /// Whether it sends one submission only.
    pub single: bool,
    pub accepted: Option<JobId>,
    pub told: Option<Job>,
    pub told_at: Millis,
    /// When it first submitted.
    pub since: Millis,
    /// What the last submission was told, if it failed.
    pub refused: Option<Failure>,
    /// Whether any submission had an outcome that is not known.
    pub doubt: bool,
    pub wrong: Vec<String>,
    /// Daemon that it calls next.
    pub target: usize,
    calls: u64,
    open: Option<Token>,
}

pub struct World {
    pub now: Millis,
    queue: BTreeMap<(Millis, u64), Delivery>,
    next: u64,
    pub seed: u64,
    pub tables: Tables,
    pub objects: BTreeMap<String, Vec<u8>>,
    pub daemons: Vec<Daemon>,
    pub workers: Vec<FakeWorker>,
    /// The platform's list, which shows lost workers for a while.
    pub listed: Listed,
    pub clients: Vec<Client>,
    pub faults: Faults,
    pub switches: Switches,
    pub policy: Policy,
    pub armed: Vec<(Step, Vec<Fault>)>,
    pub reached: Vec<Step>,
    /// Rule violations seen while running.
    pub wrong: Vec<String>,
    /// Guarantee writes that succeeded from revision 0.
    pub guarantees: u32,
    pub writes: u64,
    pub lease_writes: u64,
    /// Row writes of each second.
    pub by_second: BTreeMap<u64, u64>,
    /// A failure domain was cut off: two schedulers may have renewed leases at the same time.
    pub split: bool,
    /// Whether the workers are there.
    pub booted: bool,
    /// Terms in the order in which they were written.
    pub terms: Vec<Term>,
    pub reclaimed: bool,
    pub acked_at: Option<Millis>,
    /// All journal rows that were committed, and when, also those deleted since.
    pub history: BTreeMap<Seq, (Millis, String)>,
    /// Snapshots that were named, journal rows that were deleted, and takeovers from a snapshot.
    pub snapshots: u64,
    pub deleted: u64,
    pub resumed: u64,
    /// How long ended jobs must be kept, as far as callers ask again for theirs.
    pub retention: Option<Millis>,
    next_token: u64,
    order: Vec<Token>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::with_workers(seed, 4)
    }

    pub fn with_workers(seed: u64, workers: usize) -> Self {
        let mut world = Self {
            now: Millis(0),
            queue: BTreeMap::new(),
            next: 0,
            seed,
            tables: Tables::default(),
            objects: BTreeMap::new(),
            daemons: (0..2).map(Daemon::new).collect(),
            workers: (0..workers).map(|index| FakeWorker::new(info(index))).collect(),
            listed: (0..workers)
                .map(|index| (info(index).name, MemberState::Live))
                .collect(),
            clients: Vec::new(),
            faults: Faults::default(),
            switches: Switches::default(),
            policy: Policy::default(),
            armed: Vec::new(),
            reached: Vec::new(),
            wrong: Vec::new(),
            guarantees: 0,
            writes: 0,
            lease_writes: 0,
            by_second: BTreeMap::new(),
            split: false,
            booted: false,
            terms: Vec::new(),
            reclaimed: false,
            acked_at: None,
            history: BTreeMap::new(),
            snapshots: 0,
            deleted: 0,
            resumed: 0,
            retention: None,
            next_token: 0,
            order: Vec::new(),
        };
        world.after(0, Delivery::Tick);
        world.after(0, Delivery::Poll);
        world
    }

    /// Has every daemon start with other limits.
    pub fn limit(&mut self, retention: Retention, snapshots: SnapshotLimits) {
        for daemon in &mut self.daemons {
            daemon.limit(retention, snapshots);
        }
    }

    /// Has schedulers write snapshots after every few rows.
    pub fn snapshot_often(&mut self) {
        self.limit(
            Retention::default(),
            SnapshotLimits {
                min_rows: 2,
                max_rows: 3,
                ..SnapshotLimits::default()
            },
        );
    }

    /// Has schedulers forget ended jobs after a short while, and callers submit theirs again until then.
    pub fn keep_briefly(&mut self, span: Millis) {
        let retention = Retention {
            span,
            ..Retention::default()
        };
        self.retention = Some(span);
        self.limit(
            retention,
            SnapshotLimits {
                min_rows: 2,
                max_rows: 3,
                ..SnapshotLimits::default()
            },
        );
    }

    /// Has the clocks of the workers run at different rates, and the wall clock of the second daemon
    /// differ from that of the first by `wall` milliseconds.
    pub fn set_clocks(&mut self, wall: i64) {
        const RATES: [u64; 4] = [95, 100, 97, 105];
        for (worker, rate) in self.workers.iter_mut().zip(RATES) {
            worker.rate = rate;
            worker.origin = 10_000 * rate;
        }
        self.daemons[1].wall = self.daemons[1].wall.saturating_add_signed(wall);
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below.max(1)
    }

    pub fn after(&mut self, span: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + Millis(span), self.next), delivery);
    }

    /// Sends a message over a network that may lose, double, delay or reorder it.
    pub fn message(&mut self, delivery: Delivery) -> bool {
        let now = self.now;
        if self.faults.lost > now {
            return false;
        }
        let mut delay = DELAY;
        if self.faults.late > now {
            delay += 3_000;
        }
        if self.faults.overtaken > now {
            delay += self.random(1_500);
        }
        if self.faults.doubled > now && !matches!(delivery, Delivery::Replied(..)) {
            self.after(delay + 400, delivery.clone());
        }
        self.after(delay, delivery);
        true
    }

    pub fn add_client(&mut self, key: &str, spec: JobSpec, single: bool, span: u64) {
        let once = !spec.idempotent;
        let mut spec = spec;
        spec.idempotent |= self.switches.no_once;
        self.clients.push(Client {
            key: key.to_owned(),
            spec,
            once,
            single,
            accepted: None,
            told: None,
            told_at: Millis(0),
            since: self.now + Millis(span),
            refused: None,
            doubt: false,
            wrong: Vec::new(),
            target: 0,
            calls: 0,
            open: None,
        });
        self.after(span, Delivery::Step(self.clients.len() - 1));
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: Millis) {
        while let Some((&(at, id), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            self.now = at;
            if let Some(delivery) = self.queue.remove(&(at, id)) {
                self.deliver(delivery);
            }
        }
        self.now = until;
    }

    /// Runs until every caller knows the end of its job, but not beyond `until`.
    pub fn settle(&mut self, until: Millis) {
        const QUIET: u64 = 3_000;
        while self.now < until && !self.settled() {
            self.run(self.now + Millis(500));
        }
        // Ended jobs are forgotten, and what was submitted again too late for the first job ends.
        let rest = self.retention.map_or(Millis(0), |span| span + Millis(30_000));
        self.run(self.now + Millis(QUIET) + rest);
    }

    fn settled(&self) -> bool {
        self.clients.iter().all(|client| {
            let spent = client.single && client.accepted.is_none() && client.open.is_none() && client.calls > 0;
            client.told.is_some() || spent
        })
    }

    fn deliver(&mut self, delivery: Delivery) {
        // What arrives at a paused process waits in its sockets.
        if let Delivery::Stored(daemon, ..)
        | Delivery::Replied(daemon, ..)
        | Delivery::Report(daemon, ..)
        | Delivery::Call(daemon, ..) = &delivery
            && let Some(until) = self.daemons[*daemon].paused.filter(|until| self.now < *until)
        {
            return self.after(until.since(self.now).0, delivery);
        }
        match delivery {
            Delivery::Tick => {
                self.after(100, Delivery::Tick);
                self.watch_steps();
                let listed = std::mem::take(&mut self.listed);
                for daemon in 0..self.daemons.len() {
                    self.feed(daemon, |d, now, out| d.tick(now, &listed, out));
                }
                self.listed = listed;
            }
            Delivery::Poll => {
                self.after(200, Delivery::Poll);
                self.poll_workers();
            }
            Delivery::Step(client) => self.step_client(client),
            Delivery::Store(daemon, life, op) => self.store(daemon, life, op),
            Delivery::Late(op) => {
                self.carry_out(0, op);
            }
            Delivery::Stored(daemon, life, event) => {
                self.feed_life(daemon, life, |d, now, out| d.stored(now, event, out))
            }
            Delivery::Batch(daemon, life, worker, batch) => self.batch(daemon, life, worker, batch),
            Delivery::Replied(daemon, life, worker, batch, reply) => {
                self.feed_life(daemon, life, |d, now, out| d.replied(now, worker, batch, reply, out));
            }
            Delivery::Report(daemon, life, worker, changes) => self.reported(daemon, life, worker, changes),
            Delivery::Stale(worker, changes) => {
                let leader = self.leader().unwrap_or(0);
                self.feed(leader, |d, now, out| d.report(now, worker, Some(changes), out));
            }
            Delivery::Call(daemon, life, token, call) => {
                if matches!(call, Call::Submit { .. }) {
                    self.reach(Step::Admit);
                }
                self.feed_life(daemon, life, |d, now, out| d.call(now, token, call, out));
            }
            Delivery::Answer(token, response) => self.answer(token, response),
            Delivery::Timeout(client, token) => self.time_out(client, token),
            Delivery::Inject(fault) => self.inject(fault),
            Delivery::Heal(fault, target) => self.heal(fault, target),
        }
    }

    // Daemons.

    pub fn feed(&mut self, daemon: usize, f: impl FnOnce(&mut Daemon, Millis, &mut Vec<super::daemon::Out>)) {
        let now = self.now;
        let target = &mut self.daemons[daemon];
        if !target.alive || target.paused.is_some_and(|until| now < until) {
            return;
        }
        let mut out = Vec::new();
        f(target, now, &mut out);
        self.route(daemon, out);
    }

    /// Feeds an event that is meant for one process; a paused one gets it when it wakes.
    fn feed_life(
        &mut self,
        daemon: usize,
        life: u64,
        f: impl FnOnce(&mut Daemon, Millis, &mut Vec<super::daemon::Out>),
    ) {
        if self.daemons[daemon].life == life {
            self.feed(daemon, f);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.daemons.len())
            .filter(|index| self.daemons[*index].alive && self.daemons[*index].leads.is_some())
            .max_by_key(|index| self.daemons[*index].leads)
    }

    // Store.

    pub fn store_later(&mut self, daemon: usize, op: StoreOp) {
        let life = self.daemons[daemon].life;
        let slow = if self.faults.slow > self.now { 1_500 } else { 0 };
        self.after(DELAY + slow, Delivery::Store(daemon, life, op));
    }

    fn store(&mut self, daemon: usize, life: u64, op: StoreOp) {
        let down = self.faults.down > self.now || self.faults.is_cut(self.now, daemon);
        let slow = if self.faults.slow > self.now { 1_500 } else { 0 };
        if down {
            return self.after(TIMEOUT, Delivery::Stored(daemon, life, op.unknown()));
        }
        if self.faults.behind > self.now && op.writes() {
            self.after(TIMEOUT * 2, Delivery::Late(op.clone()));
            return self.after(TIMEOUT, Delivery::Stored(daemon, life, op.unknown()));
        }
        let event = self.carry_out(daemon, op.clone());
        if self.faults.answers > 0 && op.writes() {
            self.faults.answers -= 1;
            return self.after(TIMEOUT, Delivery::Stored(daemon, life, op.unknown()));
        }
        self.after(DELAY + slow, Delivery::Stored(daemon, life, event));
    }

    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        let mut transaction = transaction.clone();
        let journal = transaction.writes.iter().any(|write| write.key.starts_with("journal/"));
        if self.switches.no_checks && journal {
            transaction.checks.clear();
        }
        let commit = self.tables.commit(&transaction);
        if let Commit::Done { .. } = commit {
            self.writes += transaction.writes.len() as u64;
            self.lease_writes += transaction
                .writes
                .iter()
                .filter(|write| write.key.starts_with("lease/"))
                .count() as u64;
            *self.by_second.entry(self.now.0 / 1_000).or_default() += transaction.writes.len() as u64;
            super::check::check_write(self, &transaction);
        }
        commit
    }

    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.tables.scan(prefix, "", usize::MAX)
    }

    // Workers.

    pub fn worker(&mut self, name: &WorkerName) -> &mut FakeWorker {
        let index = self.workers.iter().position(|worker| worker.info.name == *name);
        &mut self.workers[index.expect("a known worker")]
    }

    pub fn reachable(&self, daemon: usize, worker: usize) -> bool {
        let now = self.now;
        let cut = self.faults.cut > now && (self.faults.cut_daemon == daemon) != (worker < 2);
        let target = &self.workers[worker];
        target.alive && target.frozen.is_none_or(|until| until <= now) && !cut && !self.faults.is_apart(now, worker)
    }

    fn batch(&mut self, daemon: usize, life: u64, name: WorkerName, mut batch: CommandBatch) {
        let index = self
            .workers
            .iter()
            .position(|worker| worker.info.name == name)
            .unwrap_or(0);
        let now = self.now;
        let sent = batch.clone();
        if self.faults.supervisor > now || !self.reachable(daemon, index) {
            let frozen = self.workers[index].frozen.filter(|until| *until > now);
            if let Some(until) = frozen.filter(|_| self.workers[index].alive) {
                // The bytes wait in the worker's socket and are read when it thaws.
                let delivery = Delivery::Batch(daemon, life, name.clone(), batch);
                self.after(until.since(now).0 + 1, delivery);
            }
            return self.after(TIMEOUT, Delivery::Replied(daemon, life, name, sent, None));
        }
        if self.switches.no_lapse {
            stretch_leases(&mut batch);
        }
        if self.switches.no_hold {
            super::check::let_go(&mut batch);
        }
        let worker = &mut self.workers[index];
        if self.switches.no_fence {
            let newest = worker.terms.iter().copied().max().unwrap_or_default();
            batch.term = batch.term.max(newest);
        }
        let reply = worker.inventory.carry_out(worker.clock(now), &batch);
        if matches!(reply, BatchReply::Done { .. }) {
            worker.terms.push(sent.term);
        }
        if !self.message(Delivery::Replied(daemon, life, name.clone(), sent.clone(), Some(reply))) {
            self.after(TIMEOUT, Delivery::Replied(daemon, life, name, sent, None));
        }
    }

    fn poll_workers(&mut self) {
        let now = self.now;
        if now < Millis(7_500) {
            return;
        }
        if !self.booted {
            self.booted = true;
            self.workers.iter_mut().for_each(|worker| worker.alive = !worker.gone);
        }
        if self.faults.supervisor > now {
            return;
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].leads.is_none() {
                continue;
            }
            let life = self.daemons[daemon].life;
            for worker in 0..self.workers.len() {
                let name = self.workers[worker].info.name.clone();
                let reachable = self.reachable(daemon, worker);
                let target = &mut self.workers[worker];
                let term = self.daemons[daemon].leads.unwrap_or_default();
                let changes = reachable.then(|| {
                    let after = target.cursors.get(&(daemon, term.0)).copied().unwrap_or(0);
                    target.inventory.changes(target.clock(now), after)
                });
                self.message(Delivery::Report(daemon, life, name, changes));
            }
        }
    }

    fn reported(&mut self, daemon: usize, life: u64, name: WorkerName, changes: Option<Changes>) {
        let leads = self.daemons[daemon].leads;
        let paused = self.daemons[daemon].paused.is_some_and(|until| self.now < until);
        if let (Some(changes), Some(term), false) = (&changes, leads, paused) {
            let worker = self.worker(&name);
            if worker.incarnation == changes.incarnation.0 && self.daemons[daemon].life == life {
                let cursor = self.worker(&name).cursors.entry((daemon, term.0)).or_insert(0);
                *cursor = (*cursor).max(changes.change);
            }
        }
        self.feed_life(daemon, life, |d, now, out| d.report(now, name, changes, out));
    }

    // Callers.

    fn step_client(&mut self, index: usize) {
        let client = self.clients[index].clone();
        let spent = client.single && client.calls > 0 && client.accepted.is_none() && client.open.is_none();
        let asks = self.retention.is_some_and(|span| self.now < client.told_at + span);
        if (client.told.is_some() && !asks) || spent {
            return;
        }
        let pause = if client.told.is_some() { 2_500 } else { 500 };
        self.after(pause, Delivery::Step(index));
        if client.open.is_some() {
            return;
        }
        let call = match client.accepted.filter(|_| client.told.is_none()) {
            None => {
                let again = self.switches.no_keys && client.told.is_some();
                let suffix = if again { client.calls.to_string() } else { String::new() };
                let key = format!("{}{suffix}", client.key);
                Call::Submit {
                    name: key.clone(),
                    key: Some(key),
                    spec: Box::new(client.spec.clone()),
                }
            }
            Some(_) => Call::Wait {
                account: client.spec.account.to_string(),
                name: client.key.clone(),
                wait: Millis(1_000),
            },
        };
        self.call(index, call);
    }

    /// Sends a call of a caller to the daemon that it last found to be the scheduler.
    pub fn call(&mut self, index: usize, call: Call) {
        let token = Token(self.next_token * MAX_CLIENTS + index as u64);
        self.next_token += 1;
        let client = &mut self.clients[index];
        client.calls += 1;
        client.open = Some(token);
        let target = client.target;
        let life = self.daemons[target].life;
        self.order.push(token);
        self.after(TIMEOUT * 2, Delivery::Timeout(index, token));
        if !self.faults.is_cut(self.now, target) {
            self.message(Delivery::Call(target, life, token, call));
        }
    }

    /// The caller's own deadline: the outcome is not known to it.
    fn time_out(&mut self, index: usize, token: Token) {
        let client = &mut self.clients[index];
        if client.open == Some(token) {
            client.open = None;
            client.doubt |= client.accepted.is_none();
            client.target = 1 - client.target;
        }
    }

    fn answer(&mut self, mut token: Token, response: Response) {
        if self.switches.no_tokens {
            token = self.order.first().copied().unwrap_or(token);
        }
        self.order.retain(|other| *other != token);
        let index = (token.0 % MAX_CLIENTS) as usize;
        let Some(client) = self.clients.get_mut(index) else {
            return;
        };
        if client.open != Some(token) {
            return;
        }
        client.open = None;
        match response {
            Response::Jobs { jobs, .. } => match jobs.as_slice() {
                [job] => self.told(index, job.clone()),
                _ => client.wrong.push(format!("{} jobs in an answer", jobs.len())),
            },
            Response::Failed(mut failure) => {
                if self.switches.no_doubt {
                    failure.ran = Ran::No;
                }
                client.doubt |= failure.ran != Ran::No && client.accepted.is_none();
                client.target = 1 - client.target;
                client.refused = Some(failure);
            }
            other => client.wrong.push(format!("unexpected answer {other:?}")),
        }
    }

    fn told(&mut self, index: usize, job: Job) {
        let client = &mut self.clients[index];
        if job.metadata.name != client.key {
            client.wrong.push(format!("got the answer of {}", job.metadata.name));
            return;
        }
        client.refused = None;
        client.accepted = Some(job.status.id);
        self.acked_at.get_or_insert(self.now);
        let client = &mut self.clients[index];
        if job.status.phase.is_final() {
            let whole = job.status.answer == expected_answer(&client.spec);
            if job.status.phase == JobPhase::Succeeded && !whole {
                client
                    .wrong
                    .push(format!("answer {:?} is not whole", job.status.answer));
            }
            if client.told.is_none() {
                client.told = Some(job);
                client.told_at = self.now;
            }
        }
    }

    /// Injects a reclaim of job `key` if it runs now.
    pub fn reclaim(&mut self, key: &str) {
        if self.reclaimed {
            return;
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let job = self
            .clients
            .iter()
            .find(|client| client.key == key)
            .and_then(|client| client.accepted);
        let Some(job) = job else {
            return;
        };
        let running = self.workers.iter().flat_map(FakeWorker::log).any(|entry| {
            entry.task.job == job && entry.kind == standin::LogKind::Begin && self.now.since(entry.at) >= Millis(1_500)
        });
        if running {
            self.reclaimed = true;
            let decision = Decision::Reclaim {
                job,
                beneficiary: job,
                grace: Millis(1_000),
                reason: "test".to_owned(),
            };
            self.feed(leader, |d, now, out| d.decide(now, decision, out));
        }
    }

    pub fn open_tokens(&self) -> Vec<Token> {
        self.clients.iter().filter_map(|client| client.open).collect()
    }

    pub fn resign(&mut self, daemon: usize) {
        self.daemons[daemon].stopping = true;
        self.feed(daemon, |d, now, out| d.tenure_event(now, ElectionEvent::Resign, out));
    }
}

fn info(index: usize) -> WorkerInfo {
    // A gang of three parts needs three workers of one failure domain, and a fourth one when one of
    // them is gone for good. A cut separates two of them.
    let domain = if index < 4 { "helsinki" } else { "espoo" };
    WorkerInfo {
        name: format!("w{index}").as_str().into(),
        region: REGION.into(),
        domain: domain.into(),
        rack: format!("{domain}-1").as_str().into(),
        slots: 8,
        accelerators: 8,
        millicores: 30_000,
        memory: 65_536,
    }
}

fn stretch_leases(batch: &mut CommandBatch) {
    use pistachiostair::Command;
    for command in &mut batch.commands {
        match command {
            Command::Start(start) => start.lease = Millis::from_secs(3_600),
            Command::Release { lease, .. } | Command::Renew { lease, .. } => *lease = Millis::from_secs(3_600),
            _ => {}
        }
    }
}

/// The answer that a job of this specification must have.
fn expected_answer(spec: &JobSpec) -> Option<String> {
    let payload: serde_json::Value = serde_json::from_str(spec.payload.as_deref()?).ok()?;
    let bytes = payload["answerBytes"].as_u64().unwrap_or(0) as usize;
    payload["echo"].as_str().map(|echo| format!("{echo:.<bytes$}"))
}

/// The same specification with an answer of 6 KiB, which is stored as an object.
pub fn long(mut spec: JobSpec) -> JobSpec {
    spec.payload = spec
        .payload
        .map(|payload| payload.replacen('{', "{\"answerBytes\":6144,", 1));
    spec
}

/// A specification whose answer names its key.
pub fn spec(key: &str, shape: &str, run: u64, idempotent: bool, checkpointable: bool) -> JobSpec {
    let payload = serde_json::json!({"sleepMs": run, "echo": format!("answer of {key}")});
    let text = serde_json::json!({
        "account": "court", "shape": shape, "idempotent": idempotent, "checkpointable": checkpointable,
        "payload": payload.to_string(),
    });
    serde_json::from_value(text).expect("a valid specification")
}
