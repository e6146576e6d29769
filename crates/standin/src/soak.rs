//! A randomized soak: real daemons as processes, with faults injected from outside them and callers that check the
//! promises. The schedule of faults and jobs is drawn from a seed.

mod calls;
mod judge;
mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use pistachiostair::{Millis, Stop};
use serde_json::{Value, json};

use self::calls::{JobCaller, PATIENCE, Record, pause};
use self::judge::{Disturbance, Evacuation, judge, judge_evacuations};
use self::plan::{Fault, LinkFault, PeerFault, Plan, PlannedFault, Victim};
use crate::node_fleet::{
    API_KEY, Fleet, FleetSetup, NodeCaller, URGENT, WORKER_ZONES, WorkerMode, node_config, worker_zone,
};
use crate::node_store::StoreMode;
use crate::relay::{Link, Relay};
use crate::udp_relay::Impairment;

pub use self::plan::SoakSetup;

/// Pause between two turns of the loop that injects faults.
const TURN: Duration = Duration::from_millis(5);
/// Interval at which the memory of the daemons is read.
const MEMORY_INTERVAL: Millis = Millis(250);
/// Time after the last fault within which all daemons accept and complete jobs.
const RECOVERY_TIME: Millis = Millis(15_000);
/// Time after the recovery within which all accepted jobs end.
const FINISH_TIME: Millis = Millis(30_000);
/// Time after the end of all jobs within which nothing runs: what a lease leaves behind.
const IDLE_TIME: Millis = Millis(12_000);
/// Time between SIGTERM and the exit, as in the daemons' settings, with slack for the notice.
const GRACE_TIME: Millis = Millis(6_500);
/// Time from the removal of a key until it is refused, as in the daemons' settings.
const REVOKE_TIME: Millis = Millis(5_000);
/// Time after the start of a daemon, or the end of a fault of its connections, before it has to answer.
const SETTLE_TIME: Millis = Millis(1_000);
/// Bandwidth of a slow link, in bytes a second: 10 Mbit/s.
const SLOW_RATE: u64 = 1_250_000;
/// Time from the notice that a worker drains to its end.
const DRAIN_TIME: Millis = Millis(2_500);

/// What a soak did and found.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Seed of its schedule.
    pub seed: u64,
    /// Jobs by what became of them.
    pub jobs: BTreeMap<String, usize>,
    /// Faults that were injected.
    pub faults: usize,
    /// Requests of callers.
    pub requests: usize,
    /// Time from the last fault until all daemons had accepted and completed a job; none if they did not.
    pub recovery: Option<Millis>,
    /// Largest memory of a daemon, in kilobytes.
    pub memory: u64,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Directory of the logs, if they were kept: when a promise was broken, or always if the setup says so.
    pub dir: Option<PathBuf>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let recovery = self.recovery.map_or("none".to_owned(), |time| time.to_string());
        write!(
            f,
            "seed {}: {} faults, {} requests, jobs {:?}, recovery {recovery}, memory {} MB, {} broken",
            self.seed,
            self.faults,
            self.requests,
            self.jobs,
            self.memory / 1_024,
            self.broken.len()
        )?;
        for fault in &self.broken {
            write!(f, "\n  {fault}")?;
        }
        match &self.dir {
            Some(dir) => write!(f, "\n  logs: {}", dir.display()),
            None => Ok(()),
        }
    }
}

/// The faults of a seed's schedule, a line each.
pub fn soak_schedule(seed: u64, setup: &SoakSetup) -> String {
    let mut text = String::new();
    for planned in Plan::draw(seed, setup).faults {
        let _ = writeln!(text, "{:6} {:5} {:?}", planned.at.0, planned.lasts.0, planned.fault);
    }
    text
}

/// Runs the schedule of a seed.
pub fn run_soak(seed: u64, setup: &SoakSetup) -> SoakReport {
    let plan = Plan::draw(seed, setup);
    let fleet = Fleet::start_with(FleetSetup {
        daemons: setup.daemons,
        workers: setup.workers,
        relays: true,
        // Announcements work in every second run only.
        peer_relays: seed % 2 == 1,
    });
    let mut soak = Soak::new(fleet, seed, *setup);
    soak.run(&plan)
}

/// What is to be done at a time.
#[derive(Clone, Copy, Debug)]
enum Action {
    Begin(PlannedFault),
    Resume(usize),
    StartDaemon(usize),
    /// Ends a fault of connections.
    Restore(Connection, LinkFault),
    RestoreStore,
    RestorePeer(usize),
    RestoreWorker(usize),
    EndWorker(usize, Millis),
    StartWorker(usize),
    TakeBack(usize),
}

/// Connections that pass through one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Store(usize),
    Front(usize),
    Worker(usize),
}

struct Soak {
    fleet: Fleet,
    setup: SoakSetup,
    /// When the schedule began.
    origin: Millis,
    /// Actions by time, and by order of their entry.
    due: BTreeMap<(Millis, usize), Action>,
    entered: usize,
    /// When daemons were told to end.
    terminated: BTreeMap<usize, Millis>,
    /// Since when daemons are disturbed and why, until they are not any more.
    paused: BTreeSet<usize>,
    disturbances: Vec<Disturbance>,
    incarnations: BTreeMap<usize, u64>,
    /// Failure domains that are evacuated, by number, and since when.
    evacuated: BTreeMap<usize, Millis>,
    evacuations: Vec<Evacuation>,
    /// Version of the configuration.
    version: u64,
    /// The key besides the one of all callers, and when it was removed.
    extra_key: Option<(String, Removed)>,
    /// Answers to requests with removed keys that were accepted too late.
    revoked: Arc<Mutex<Vec<String>>>,
    stop: Stop,
    report: SoakReport,
    /// What was done, for the log.
    journal: String,
}

impl Soak {
    fn new(fleet: Fleet, seed: u64, setup: SoakSetup) -> Self {
        for daemon in 0..setup.slow_links.min(setup.daemons) {
            fleet.link(daemon).limit(Some(SLOW_RATE));
        }
        Self {
            origin: fleet.now(),
            fleet,
            setup,
            due: BTreeMap::new(),
            entered: 0,
            terminated: BTreeMap::new(),
            paused: BTreeSet::new(),
            disturbances: Vec::new(),
            incarnations: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            evacuations: Vec::new(),
            version: 3,
            extra_key: None,
            revoked: Arc::default(),
            stop: Stop::new(),
            report: SoakReport {
                seed,
                ..SoakReport::default()
            },
            journal: String::new(),
        }
    }

    fn run(&mut self, plan: &Plan) -> SoakReport {
        for planned in &plan.faults {
            self.enter(planned.at, Action::Begin(*planned));
        }
        let started = Instant::now() - self.fleet.now().duration() + self.origin.duration();
        let records: Vec<Arc<Mutex<Record>>> = plan
            .jobs
            .iter()
            .map(|job| Arc::new(Mutex::new(Record::new(*job))))
            .collect();
        let mut calls = Vec::new();
        for record in &records {
            let caller = JobCaller {
                caller: self.fleet.caller(),
                daemons: self.setup.daemons,
                started,
                record: record.clone(),
                stop: self.stop.clone(),
            };
            calls.push(self.fleet.executor.spawn(caller.run()));
        }
        let span = self.setup.span;
        self.turn_until(span, |soak| soak.now() >= span && soak.due.is_empty());
        self.heal();
        self.recover();
        let finish = self.now() + FINISH_TIME;
        self.turn_until(finish, |_| calls.iter().all(|call| call.is_finished()));
        self.stop.raise();
        let idle = self.now() + IDLE_TIME;
        let running = |soak: &Self| soak.fleet.workers.lock().expect("workers lock").running();
        self.turn_until(idle, |soak| running(soak) == 0);
        let left = running(self);
        if left > 0 {
            self.report
                .broken
                .push(format!("{left} tasks run on after all jobs have ended"));
        }
        let records: Vec<Record> = records
            .iter()
            .map(|record| record.lock().expect("record lock").clone())
            .collect();
        self.finish(&records)
    }

    /// Time since the schedule began.
    fn now(&self) -> Millis {
        self.fleet.now() - self.origin
    }

    fn enter(&mut self, at: Millis, action: Action) {
        self.entered += 1;
        self.due.insert((at, self.entered), action);
    }

    fn note(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.journal, "{:8} {text}", now.0);
    }

    /// Carries out what is due and watches the processes, until `done` or `limit`, and until nothing is due any more.
    fn turn_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) {
        let mut memory_read = Millis::ZERO;
        while !done(self) && (self.now() < limit || !self.due.is_empty()) {
            let now = self.now();
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                let action = entry.remove();
                self.act(action);
            }
            self.watch();
            if now.since(memory_read) >= MEMORY_INTERVAL {
                memory_read = now;
                let peaks = (0..self.setup.daemons).filter_map(|daemon| self.fleet.peak_memory(daemon));
                self.report.memory = peaks.max().unwrap_or(0).max(self.report.memory);
            }
            std::thread::sleep(TURN);
        }
    }

    /// Notices processes that have ended, and those that should have.
    fn watch(&mut self) {
        let now = self.now();
        for (daemon, status) in self.fleet.exited() {
            let told = self.terminated.remove(&daemon);
            self.note(&format!("daemon {daemon} has ended: {status}"));
            if told.is_none() || !status.success() {
                let told = if told.is_some() { "after SIGTERM" } else { "by itself" };
                self.report
                    .broken
                    .push(format!("daemon {daemon} ended {told} at {now}: {status}"));
            }
            self.enter(now + SETTLE_TIME, Action::StartDaemon(daemon));
        }
        let late: Vec<usize> = self
            .terminated
            .iter()
            .filter(|(_, told)| now.since(**told) > GRACE_TIME)
            .map(|(daemon, _)| *daemon)
            .collect();
        for daemon in late {
            self.terminated.remove(&daemon);
            self.report
                .broken
                .push(format!("daemon {daemon} still runs at {now}, after its grace time"));
            self.kill(daemon, Millis::ZERO);
        }
    }

    fn act(&mut self, action: Action) {
        self.note(&format!("{action:?}"));
        let now = self.now();
        match action {
            Action::Begin(planned) => self.begin(planned),
            Action::Resume(daemon) => {
                self.fleet.signal(daemon, "CONT");
                self.paused.remove(&daemon);
            }
            Action::StartDaemon(daemon) if !self.fleet.is_running(daemon) => {
                self.fleet.start_daemon(daemon);
                self.disturb(daemon, now, now + SETTLE_TIME);
            }
            Action::StartDaemon(_) => {}
            Action::Restore(connection, fault) => {
                let relay = self.relay(connection);
                match fault {
                    LinkFault::Delayed(_) => relay.change_link(|link| link.delay = Millis::ZERO),
                    LinkFault::Held(_) => relay.change_link(|link| link.held = [false; 2]),
                    LinkFault::Cut => relay.open(),
                    LinkFault::Silent | LinkFault::Reset => {}
                }
            }
            Action::RestoreStore => self.fleet.store.set_mode(StoreMode::Healthy),
            Action::RestorePeer(daemon) => {
                let link = &self.fleet.peer_links[&daemon];
                link.set_cut(false);
                link.impair(Impairment::default());
            }
            Action::RestoreWorker(worker) => {
                self.fleet.set_worker(worker, WorkerMode::Healthy);
                self.pace(worker, 100);
            }
            Action::EndWorker(worker, lasts) => {
                self.fleet.crash_worker(worker);
                self.fleet.unlist_worker(worker);
                self.enter(now + lasts, Action::StartWorker(worker));
            }
            Action::StartWorker(worker) => {
                let incarnation = self.incarnations.entry(worker).or_insert(1_000);
                *incarnation += 1;
                self.fleet.start_worker(worker, *incarnation);
            }
            Action::TakeBack(domain) => self.take_back(domain),
        }
    }

    fn begin(&mut self, planned: PlannedFault) {
        self.report.faults += 1;
        let (now, lasts) = (self.now(), planned.lasts);
        let end = now + lasts;
        match planned.fault {
            Fault::Pause(victim) => {
                let daemon = self.resolve(victim);
                self.fleet.signal(daemon, "STOP");
                self.paused.insert(daemon);
                // The time to end does not count while a process stands still.
                if let Some(told) = self.terminated.get_mut(&daemon) {
                    *told += lasts;
                }
                self.disturb(daemon, now, end + SETTLE_TIME);
                self.enter(end, Action::Resume(daemon));
            }
            Fault::Kill(victim) => {
                let daemon = self.resolve(victim);
                self.kill(daemon, lasts);
            }
            Fault::KillAll => (0..self.setup.daemons).for_each(|daemon| self.kill(daemon, lasts)),
            Fault::Terminate(victim) => {
                let daemon = self.resolve(victim);
                if self.fleet.is_running(daemon) && !self.paused.contains(&daemon) {
                    self.fleet.signal(daemon, "TERM");
                    self.terminated.entry(daemon).or_insert(now);
                    self.disturb(daemon, now + DRAIN_TIME, now + GRACE_TIME + SETTLE_TIME);
                }
            }
            Fault::Reload(daemon) => self.fleet.signal(daemon, "HUP"),
            Fault::StoreLink(victim, fault) => {
                let daemon = self.resolve(victim);
                self.strike(Connection::Store(daemon), fault, end);
            }
            Fault::PeerLink(victim, fault) => {
                let daemon = self.resolve(victim);
                let Some(link) = self.fleet.peer_links.get(&daemon) else {
                    return;
                };
                match fault {
                    PeerFault::Cut => link.set_cut(true),
                    PeerFault::Lossy(percent) => link.impair(Impairment {
                        loss: f64::from(percent) / 100.0,
                        ..Impairment::default()
                    }),
                    PeerFault::Delayed(longest) => link.impair(Impairment {
                        delay: (0, longest.0),
                        ..Impairment::default()
                    }),
                }
                self.enter(end, Action::RestorePeer(daemon));
            }
            Fault::FrontLink(daemon, fault) => {
                self.disturb(daemon, now, end + SETTLE_TIME);
                self.strike(Connection::Front(daemon), fault, end);
            }
            Fault::WorkerLink(worker, fault) => self.strike(Connection::Worker(worker), fault, end),
            Fault::Store(mode) => {
                self.fleet.store.set_mode(mode);
                self.enter(end, Action::RestoreStore);
            }
            Fault::DropHistory => self.fleet.store.drop_history(),
            Fault::Config => self.configure(),
            Fault::Worker(worker, mode) => {
                self.fleet.set_worker(worker, mode);
                self.enter(end, Action::RestoreWorker(worker));
            }
            Fault::WorkerSlow(worker, percent) => {
                self.pace(worker, percent);
                self.enter(end, Action::RestoreWorker(worker));
            }
            Fault::WorkerCrash(worker) => self.act(Action::EndWorker(worker, lasts)),
            Fault::WorkerRestart(worker) => self.act(Action::StartWorker(worker)),
            Fault::Evacuate(domain) if self.evacuated.contains_key(&domain) => {}
            Fault::Evacuate(domain) => {
                self.fleet.store.put("op", &evacuation_key(domain), &json!({}));
                let now = self.now();
                self.evacuated.insert(domain, now);
                self.enter(end, Action::TakeBack(domain));
            }
            Fault::WorkerDrain(worker) => {
                let incarnation = self.incarnations.get(&worker).copied().unwrap_or(1_000);
                self.fleet.list_worker(worker, incarnation, "draining");
                self.enter(now + DRAIN_TIME, Action::EndWorker(worker, lasts));
            }
        }
    }

    /// Withdraws the request to evacuate a failure domain, if it is in force.
    fn take_back(&mut self, domain: usize) {
        let Some(from) = self.evacuated.remove(&domain) else {
            return;
        };
        let to = self.now();
        self.fleet.store.remove("op", &evacuation_key(domain));
        self.evacuations.push(Evacuation { domain, from, to });
    }

    /// The daemon that a fault strikes now.
    fn resolve(&self, victim: Victim) -> usize {
        match victim {
            Victim::Scheduler(other) => self.fleet.leader().unwrap_or(other),
            Victim::Daemon(daemon) => daemon,
        }
    }

    fn disturb(&mut self, daemon: usize, from: Millis, to: Millis) {
        self.disturbances.push(Disturbance { daemon, from, to });
    }

    fn kill(&mut self, daemon: usize, lasts: Millis) {
        let now = self.now();
        self.fleet.kill(daemon);
        self.terminated.remove(&daemon);
        self.paused.remove(&daemon);
        self.disturb(daemon, now, now + lasts + SETTLE_TIME);
        self.enter(now + lasts, Action::StartDaemon(daemon));
    }

    fn relay(&self, connection: Connection) -> &Relay {
        match connection {
            Connection::Store(daemon) => self.fleet.link(daemon),
            Connection::Front(daemon) => &self.fleet.front_links[&daemon],
            Connection::Worker(worker) => &self.fleet.worker_links[worker],
        }
    }

    fn strike(&mut self, connection: Connection, fault: LinkFault, end: Millis) {
        let relay = self.relay(connection);
        match fault {
            LinkFault::Delayed(delay) => relay.change_link(|link| link.delay = delay),
            LinkFault::Held(held) => relay.change_link(|link| link.held = held),
            LinkFault::Silent => relay.silence(),
            LinkFault::Reset => relay.reset(),
            LinkFault::Cut => relay.cut(),
        }
        self.enter(end, Action::Restore(connection, fault));
    }

    fn pace(&self, worker: usize, percent: u64) {
        let mut workers = self.fleet.workers.lock().expect("workers lock");
        workers.paces.insert(format!("w{worker}").as_str().into(), percent);
    }

    /// Writes a configuration with a new key in place of the last one, which is watched from then on.
    fn configure(&mut self) {
        self.version += 1 + self.report.seed % 3;
        let key = format!("key-{}", self.version);
        let mut config = node_config(self.version, &[API_KEY, &key]);
        config["routes"][0]["target_latency_ms"] = json!(250 + self.version);
        self.fleet.store.put("op", "config", &config);
        if let Some((_, last)) = &self.extra_key {
            *last.lock().expect("keys lock") = Some(Instant::now());
        }
        let (key, removed) = self.extra_key.insert((key, Removed::default()));
        for daemon in 0..self.setup.daemons {
            let (caller, stop) = (self.fleet.caller(), self.stop.clone());
            let (key, removed, found) = (key.clone(), removed.clone(), self.revoked.clone());
            let watch = async move { watch_key(&caller, daemon, (&key, &removed), &stop, &found).await };
            self.fleet.executor.spawn(watch).detach();
        }
    }

    /// Ends all faults that are left.
    fn heal(&mut self) {
        self.note("all faults end");
        self.fleet.store.set_mode(StoreMode::Healthy);
        (0..WORKER_ZONES).for_each(|domain| self.take_back(domain));
        let stores = (0..self.setup.daemons).map(Connection::Store);
        let fronts = (0..self.setup.daemons).map(Connection::Front);
        let workers = (0..self.setup.workers).map(Connection::Worker);
        for connection in stores.chain(fronts).chain(workers) {
            let relay = self.relay(connection);
            relay.open();
            relay.change_link(|link| *link = Link::default());
        }
        for daemon in 0..self.setup.daemons {
            self.fleet.signal(daemon, "CONT");
        }
        self.configure();
    }

    /// Waits until every daemon accepts and completes a job with the newest key.
    fn recover(&mut self) {
        let from = self.now();
        let (key, _) = self.extra_key.clone().unwrap_or_default();
        let probes: Vec<_> = (0..self.setup.daemons)
            .map(|daemon| {
                let (caller, key) = (self.fleet.caller(), key.clone());
                let probe = async move { probe_daemon(&caller, daemon, &key).await };
                self.fleet.executor.spawn(probe)
            })
            .collect();
        self.turn_until(from + RECOVERY_TIME, |_| probes.iter().all(|probe| probe.is_finished()));
        self.report.recovery = probes
            .iter()
            .all(|probe| probe.is_finished())
            .then(|| self.now().since(from));
        let missing: Vec<usize> = (0..probes.len())
            .filter(|probe| !probes[*probe].is_finished())
            .collect();
        if !missing.is_empty() {
            self.report.broken.push(format!(
                "daemons {missing:?} do not serve {RECOVERY_TIME} after the last fault"
            ));
        }
    }

    fn finish(&mut self, records: &[Record]) -> SoakReport {
        let mut report = std::mem::take(&mut self.report);
        let mut workers = self.fleet.workers.lock().expect("workers lock").clone();
        for entry in &mut workers.log {
            entry.0 = entry.0 - self.origin;
        }
        for (sent, arrived, _) in &mut workers.orders {
            (*sent, *arrived) = (sent.since(self.origin), *arrived - self.origin);
        }
        report.broken.extend(judge(records, &workers, &self.disturbances));
        report.broken.extend(judge_evacuations(&self.evacuations, &workers));
        report.broken.extend(self.revoked.lock().expect("keys lock").drain(..));
        let limit = self.setup.memory_mb * 1_024;
        if report.memory > limit {
            report
                .broken
                .push(format!("memory of {} kB, of at most {limit}", report.memory));
        }
        for record in records {
            let fate = match (&record.ended, record.accepted) {
                (Some((_, state)), _) => state.as_str(),
                (None, Some(_)) => "lost",
                (None, None) if record.is_refused() => "refused",
                (None, None) => "unknown",
            };
            *report.jobs.entry(fate.to_owned()).or_default() += 1;
            report.requests += record.attempts.len();
            let _ = writeln!(self.journal, "{record:?}");
        }
        for entry in &workers.log {
            let _ = writeln!(self.journal, "{entry:?}");
        }
        if !report.broken.is_empty() || self.setup.logs_kept {
            let dir = self.fleet.dir().to_owned();
            // The report itself tells what was broken.
            let _ = std::fs::write(dir.join("soak.log"), &self.journal);
            self.fleet.keep_files();
            report.dir = Some(dir);
        }
        report
    }
}

/// Key of the request to evacuate a failure domain.
fn evacuation_key(domain: usize) -> String {
    format!("evacuate/{}", worker_zone(domain))
}

/// When a key was removed from the configuration; `None` before.
type Removed = Arc<Mutex<Option<Instant>>>;

/// Sends requests with a key from its addition until `stop` is raised, and records those that are accepted too late
/// after its removal, or after the daemon has learnt of the key and refused it again. A daemon that has not learnt of
/// the key yet refuses it, too.
async fn watch_key(
    caller: &NodeCaller,
    daemon: usize,
    (key, removed): (&str, &Mutex<Option<Instant>>),
    stop: &Stop,
    found: &Mutex<Vec<String>>,
) {
    let (mut learnt, mut refused) = (false, false);
    while !stop.is_raised() {
        let removed = *removed.lock().expect("keys lock");
        let since = removed.map(|at| Millis(at.elapsed().as_millis() as u64));
        let answer = caller
            .send(daemon, (Method::GET, URGENT), Vec::new(), key, PATIENCE)
            .await;
        match answer.map(|(status, _)| status) {
            Some(StatusCode::UNAUTHORIZED) => refused = learnt,
            Some(StatusCode::OK) if since > Some(REVOKE_TIME) || refused => {
                let text = format!("daemon {daemon}: {key} accepted {since:?} after its removal; refused: {refused}");
                found.lock().expect("keys lock").push(text);
                return;
            }
            Some(StatusCode::OK) => learnt = true,
            _ => {}
        }
        pause(Millis(300)).await;
    }
}

/// Returns once a daemon has accepted a job and shows it as completed.
async fn probe_daemon(caller: &NodeCaller, daemon: usize, key: &str) {
    let path = format!("{URGENT}{:016x}", 0x50AC_0000 + daemon);
    let body = json!({"spec": "work=50 gpu=1", "steps": [{"count": 1, "gpu": 1, "estimated_ms": 50}]});
    let order = |method| (method, path.as_str());
    loop {
        let body = body.to_string().into_bytes();
        let accepted = caller.send(daemon, order(Method::POST), body, key, PATIENCE).await;
        if accepted.is_some_and(|(status, _)| status == StatusCode::OK) {
            break;
        }
        pause(Millis(100)).await;
    }
    loop {
        let answer = caller.send(daemon, order(Method::GET), Vec::new(), key, PATIENCE).await;
        if answer.unwrap_or((StatusCode::GONE, Value::Null)).1["state"] == "completed" {
            return;
        }
        pause(Millis(50)).await;
    }
}
