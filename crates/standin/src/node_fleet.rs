//! A fleet for tests: daemons as processes on loopback addresses, with a simulated store and simulated workers in the
//! process of the test.

use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::future::block_on;
use hyper::{Method, StatusCode};
use pistachiostair::{
    Demand, HoldOrder, HttpCall, HttpClient, HttpHandler, HttpLimits, HttpReply, HttpRequest, HttpServer, Incarnation,
    Millis, OrderReply, StartOrder, Stop, Term, WorkerName,
};
use platform::parse_task;
use serde_json::{Value, json};

use crate::build::Build;
use crate::node_store::FakeStore;
use crate::process::{register, send_signal, unregister};
use crate::relay::Relay;
use crate::step_worker::StepWorkers;
use crate::udp_relay::{Impairment, UdpRelay};

/// Host name in callers' requests.
const HOST: &str = "orders.example";
/// API key of the only account.
pub const API_KEY: &str = "key-of-court";
/// URL prefix of the only queue, for urgent jobs.
pub const URGENT: &str = "/urgent/";
/// Time in which the daemons must answer a request, in milliseconds, as text.
const DEADLINE: &str = "3000";
/// Address that nothing listens on.
const NOWHERE: &str = "127.0.0.1:9";
/// Interval at which the simulated workers advance.
const TICK: Duration = Duration::from_millis(10);
/// Time from the start of a crashed worker to its entry in the platform's list.
const LIST_LAG: Duration = Duration::from_millis(200);
/// Time within which the daemons must accept a job, or complete it.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Incarnation of a worker that was not restarted.
const FIRST_INCARNATION: u64 = 1_000;
/// Total resources of each worker.
const WORKER_CAPACITY: Demand = Demand {
    millicores: 32_000,
    memory: 65_536,
    accelerators: 8,
};

/// Lowest second byte of the fleets' loopback addresses, and their number.
const FIRST_NET: u8 = 170;
const NETS: u8 = 80;

/// Counts the fleets of this process: they run at the same time and need addresses of their own.
static NEXT_NET: AtomicU8 = AtomicU8::new(0);

/// Largest body of a request: an object of the store.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Time from a request to evacuate a failure domain until no start is ordered there, as in the daemons' settings.
pub(crate) const EVACUATE_TIME: Millis = Millis(5_000);

/// Number of failure domains of the workers.
pub(crate) const WORKER_ZONES: usize = 3;

/// Size of a fleet, and what its connections pass through.
#[derive(Clone, Copy, Debug)]
pub struct FleetSetup {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of workers.
    pub workers: usize,
    /// Whether connections to workers and from callers pass through relays, as those to the store always do.
    pub relays: bool,
    /// Whether requests between daemons pass through relays. New schedulers then are found by the lease row only,
    /// since announcements, which tell the address itself, get lost.
    pub peer_relays: bool,
}

/// How a simulated worker carries out orders, until the mode is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerMode {
    /// It carries them out and answers.
    #[default]
    Healthy,
    /// All tasks that it starts fail after 50 ms.
    FailsAll,
    /// It answers status 503, and orders have no effect.
    Refuses,
    /// It carries them out after this many milliseconds, and does not answer.
    Late(u64),
}

/// A running fleet; dropping it kills its processes. Its files are kept if the test fails.
pub struct Fleet {
    /// The simulated store.
    pub store: FakeStore,
    /// The simulated workers and the violations that they saw.
    pub workers: Arc<Mutex<StepWorkers>>,
    /// Running daemons by number, counted from 0.
    daemons: BTreeMap<usize, Child>,
    /// Builds of daemons whose number does not decide it, see [`Build::of`].
    pub builds: BTreeMap<usize, Build>,
    /// Second byte of the daemons' loopback addresses.
    net: u8,
    /// Keeps the processes of other tests from using the same addresses.
    _reserved: std::net::TcpListener,
    setup: FleetSetup,
    /// Links between daemons and the store, with the addresses at which they accept connections.
    links: BTreeMap<usize, (Arc<Relay>, SocketAddr)>,
    /// Addresses at which callers reach the daemons.
    fronts: BTreeMap<usize, String>,
    /// Addresses at which the daemons reach the workers.
    worker_addresses: Vec<SocketAddr>,
    worker_modes: Arc<Mutex<BTreeMap<WorkerName, WorkerMode>>>,
    /// Relays between the callers and the daemons; none without [`FleetSetup::relays`].
    pub front_links: BTreeMap<usize, Arc<Relay>>,
    /// Relays between the daemons and the workers, by worker.
    pub worker_links: Vec<Arc<Relay>>,
    /// Relays from the other daemons to a daemon; none without [`FleetSetup::peer_relays`].
    pub peer_links: BTreeMap<usize, Arc<UdpRelay>>,
    /// Directory of the daemons' settings and logs.
    dir: PathBuf,
    files_kept: bool,
    client: Arc<HttpClient>,
    /// Runs the simulations, the relays and the client.
    pub executor: Arc<Executor<'static>>,
    /// When the fleet was created.
    started: Instant,
    stop: Stop,
}

impl Fleet {
    /// Starts `daemons` daemons and `workers` workers, and waits until daemon 0 accepts a job.
    pub fn start(daemons: usize, workers: usize) -> Self {
        Self::start_with(FleetSetup {
            daemons,
            workers,
            relays: false,
            peer_relays: false,
        })
    }

    /// As [`Self::start`], with [`Self::builds`].
    pub fn start_builds(daemons: usize, workers: usize, builds: BTreeMap<usize, Build>) -> Self {
        let mut fleet = Self::create(FakeStore::default(), workers);
        fleet.builds = builds;
        for number in 0..daemons {
            fleet.start_daemon(number);
        }
        fleet.wait_serving(0, SERVE_TIMEOUT);
        fleet
    }

    /// Starts a fleet, and waits until daemon 0 accepts a job.
    pub fn start_with(setup: FleetSetup) -> Self {
        let mut fleet = Self::create_with(FakeStore::default(), setup);
        for number in 0..setup.daemons {
            fleet.start_daemon(number);
        }
        fleet.wait_serving(0, SERVE_TIMEOUT);
        fleet
    }

    /// A fleet without daemons, with `workers` workers, on a store that may have the rows of a fleet that has ended.
    pub fn create(store: FakeStore, workers: usize) -> Self {
        let setup = FleetSetup {
            daemons: 0,
            workers,
            relays: false,
            peer_relays: false,
        };
        Self::create_with(store, setup)
    }

    /// A fleet without daemons, see [`Self::create`].
    fn create_with(store: FakeStore, setup: FleetSetup) -> Self {
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        for _ in 0..if setup.relays { 3 } else { 1 } {
            let runner = executor.clone();
            std::thread::spawn(move || block_on(runner.run(std::future::pending::<()>())));
        }
        let (net, reserved) = reserve_net();
        let dir = std::env::temp_dir().join(format!("pistachiostair-path-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let mut fleet = Self {
            store,
            workers: Arc::default(),
            daemons: BTreeMap::new(),
            builds: BTreeMap::new(),
            net,
            _reserved: reserved,
            setup,
            links: BTreeMap::new(),
            fronts: BTreeMap::new(),
            worker_addresses: Vec::new(),
            worker_modes: Arc::default(),
            front_links: BTreeMap::new(),
            worker_links: Vec::new(),
            peer_links: BTreeMap::new(),
            dir,
            files_kept: false,
            client: Arc::new(HttpClient::new(executor.clone(), 256, 1 << 20)),
            executor,
            started: Instant::now(),
            stop: Stop::new(),
        };
        fleet.store.put("op", "config", &node_config(3, &[API_KEY]));
        for number in 0..setup.workers {
            fleet.serve_worker(number);
            fleet.start_worker(number, FIRST_INCARNATION);
        }
        fleet.run_workers();
        fleet
    }

    /// Waits until a daemon accepts a job, and fails the test if it does not within `limit`.
    pub fn wait_serving(&self, daemon: usize, limit: Duration) {
        self.wait_until("a job is accepted", limit, |fleet| {
            let body = json!({"spec": "work=1 gpu=1", "steps": [{"count": 1, "gpu": 1}]});
            fleet.ask(daemon, Method::POST, &format!("{URGENT}{:016x}", 1), &body).0 == StatusCode::OK
        });
    }

    /// Serves the orders to a simulated worker, whether or not it runs.
    fn serve_worker(&mut self, number: usize) {
        let name = worker_name(number);
        let (workers, modes, started) = (self.workers.clone(), self.worker_modes.clone(), self.started);
        let executor = self.executor.clone();
        let mut address = serve(&self.executor, &self.stop, move |request| {
            let (workers, name, executor) = (workers.clone(), name.clone(), executor.clone());
            let mode = modes
                .lock()
                .expect("modes lock")
                .get(&name)
                .copied()
                .unwrap_or_default();
            async move {
                match mode {
                    WorkerMode::Refuses => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
                    WorkerMode::Late(delay) => {
                        // Carried out in the background, since the caller closes the connection before.
                        let order = async move {
                            Timer::after(Duration::from_millis(delay)).await;
                            answer_worker(&workers, started, &name, &request, mode).await;
                        };
                        executor.spawn(order).detach();
                        std::future::pending().await
                    }
                    WorkerMode::Healthy | WorkerMode::FailsAll => {
                        answer_worker(&workers, started, &name, &request, mode).await
                    }
                }
            }
        });
        if self.setup.relays {
            let (link, relayed) = relay(&self.executor, &address.to_string());
            self.worker_links.push(link);
            address = relayed;
        }
        self.worker_addresses.push(address);
    }

    /// Starts a simulated worker, for the first time or again, and enters it in the platform's list.
    pub fn start_worker(&self, number: usize, incarnation: u64) {
        self.restart_worker(number, incarnation);
        self.list_worker(number, incarnation, "ready");
    }

    /// Starts a simulated worker again. The platform's list still has its last incarnation.
    pub fn restart_worker(&self, number: usize, incarnation: u64) {
        self.workers.lock().expect("workers lock").start_worker(
            &worker_name(number),
            Incarnation(incarnation),
            WORKER_CAPACITY,
            self.now(),
        );
    }

    /// Ends a simulated worker with all that runs there. The platform's list still has it, see [`Self::unlist_worker`].
    pub fn crash_worker(&self, number: usize) {
        self.workers.lock().expect("workers lock").crash(&worker_name(number));
    }

    /// Writes the entry of a worker in the platform's list.
    pub fn list_worker(&self, number: usize, incarnation: u64, state: &str) {
        let entry = worker_entry(number, self.worker_addresses[number], incarnation, state);
        self.store.put("servers", worker_name(number).as_str(), &entry);
    }

    /// Removes a worker from the platform's list.
    pub fn unlist_worker(&self, number: usize) {
        self.store.remove("servers", worker_name(number).as_str());
    }

    /// Sets how a worker carries out the orders that follow.
    pub fn set_worker(&self, number: usize, mode: WorkerMode) {
        self.worker_modes
            .lock()
            .expect("modes lock")
            .insert(worker_name(number), mode);
    }

    /// Advances the simulated workers in the background until the fleet is dropped.
    fn run_workers(&self) {
        let (workers, started, stop) = (self.workers.clone(), self.started, self.stop.clone());
        let ticking = async move {
            let mut last = Millis(started.elapsed().as_millis() as u64);
            while !stop.is_raised() {
                Timer::after(TICK).await;
                let now = Millis(started.elapsed().as_millis() as u64);
                workers.lock().expect("workers lock").advance(now, now - last);
                last = now;
            }
        };
        self.executor.spawn(ticking).detach();
        if self.setup.relays {
            self.executor.spawn(self.follow_crashes()).detach();
        }
    }

    /// Closes the connections of workers that crash by themselves, and lists them once they are back.
    fn follow_crashes(&self) -> impl Future<Output = ()> + Send + use<> {
        let (workers, store, stop) = (self.workers.clone(), self.store.clone(), self.stop.clone());
        let (links, addresses) = (self.worker_links.clone(), self.worker_addresses.clone());
        let executor = self.executor.clone();
        async move {
            let number = |name: &WorkerName| (0..links.len()).find(|number| worker_name(*number) == *name);
            let mut seen = 0;
            while !stop.is_raised() {
                Timer::after(TICK).await;
                let (crashed, returned) = {
                    let mut workers = workers.lock().expect("workers lock");
                    let crashed: Vec<WorkerName> = workers.crashes[seen..]
                        .iter()
                        .map(|crash| crash.worker.clone())
                        .collect();
                    (crashed, workers.take_returns())
                };
                seen += crashed.len();
                for link in crashed.iter().filter_map(number) {
                    links[link].shut();
                }
                for back in returned {
                    let Some(link) = number(&back.name) else {
                        continue;
                    };
                    links[link].open();
                    let entry = worker_entry(link, addresses[link], back.incarnation.0, "ready");
                    let store = store.clone();
                    let list = async move {
                        Timer::after(LIST_LAG).await;
                        store.put("servers", back.name.as_str(), &entry);
                    };
                    executor.spawn(list).detach();
                }
            }
        }
    }

    /// Time since the fleet was created, by which the simulated workers advance.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Link between a daemon that was started once and the store.
    pub fn link(&self, number: usize) -> &Relay {
        &self.links[&number].0
    }

    /// Connects the links of a daemon that starts for the first time.
    fn connect_links(&mut self, number: usize) {
        let store = self.store.clone();
        let address = serve(&self.executor, &self.stop, move |request| {
            let store = store.clone();
            async move { store.answer(number, request).await }
        });
        self.links.insert(number, relay(&self.executor, &address.to_string()));
        let mut front = format!("{}:8000", daemon_ip(self.net, number));
        if self.setup.relays {
            let (link, address) = relay(&self.executor, &front);
            self.front_links.insert(number, link);
            front = address.to_string();
        }
        self.fronts.insert(number, front);
        if self.setup.peer_relays {
            let real = SocketAddr::from((daemon_ip(self.net, number), 7000));
            let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let relay = UdpRelay::listen(Impairment::default(), &self.executor, free);
            let (link, address) = block_on(relay).expect("a free port");
            link.set_target(real);
            self.peer_links.insert(number, link);
            self.store.replace("lease", &real.to_string(), &address.to_string());
            self.store.replace("daemon", &real.to_string(), NOWHERE);
        }
    }

    /// Starts a daemon that does not run, for the first time or again.
    pub fn start_daemon(&mut self, number: usize) {
        let limits = json!({"cpu_share": 0.5, "cores": 1, "memory_mb": 512, "link_mbps": 200.0});
        self.start_daemon_with(number, &limits);
    }

    /// Starts a daemon on a VM with these `limits`, see [`Self::start_daemon`].
    pub fn start_daemon_with(&mut self, number: usize, limits: &Value) {
        if !self.links.contains_key(&number) {
            self.connect_links(number);
        }
        let ip = daemon_ip(self.net, number);
        let settings = json!({
            "node_name": format!("front-{number}"), "role": "node", "ip": ip.to_string(), "zone": "helsinki",
            "region": "fi-south", "listen": {"front": format!("{ip}:8000"), "ready_address": format!("{ip}:8001")},
            "port_range": [7000, 7015], "control_mode": "rpc", "limits": limits,
            "bounds": {"revoke_fail_closed": true, "revoke_ms": 5_000, "grace_s": 6, "status_s": 120,
                "evacuate_ms": EVACUATE_TIME.0},
            "platform": {"address": self.links[&number].1.to_string(), "row_bytes": 65_536},
        });
        let path = self.dir.join(format!("{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{number}.log")));
        let build = self.builds.get(&number).copied().unwrap_or_else(|| Build::of(number));
        let child = Command::new(build.program("pistachiostair-node").expect("a program"))
            .env("PISTACHIOSTAIR_NODE_FILE", &path)
            .stdout(Stdio::from(log.expect("a log file")))
            .spawn()
            .expect("a daemon");
        register(child.id());
        self.daemons.insert(number, child);
    }

    /// Kills a daemon with SIGKILL, if it runs, and waits for its exit.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.daemons.remove(&number) {
            child.kill().expect("the daemon is killed");
            child.wait().expect("the daemon has ended");
            unregister(child.id());
        }
    }

    /// Sends SIGTERM to a daemon and waits for its exit, which must be successful.
    pub fn terminate(&mut self, number: usize) {
        let mut child = self.daemons.remove(&number).expect("a running daemon");
        send_signal(child.id(), "TERM").expect("the daemon is told to end");
        assert!(child.wait().expect("the daemon ends").success());
        unregister(child.id());
    }

    /// Whether a daemon was started and its exit has not been noticed.
    pub fn is_running(&self, number: usize) -> bool {
        self.daemons.contains_key(&number)
    }

    /// Sends a signal, such as `STOP`, to a daemon, if it runs.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(child) = self.daemons.get(&number) {
            // Fails if the daemon has exited already.
            let _ = send_signal(child.id(), signal);
        }
    }

    /// Daemons that have exited since the last call, with their exit statuses.
    pub fn exited(&mut self) -> Vec<(usize, ExitStatus)> {
        let ended = |(number, child): (&usize, &mut Child)| Some((*number, child.try_wait().ok()??));
        let ended: Vec<_> = self.daemons.iter_mut().filter_map(ended).collect();
        for (number, _) in &ended {
            self.daemons
                .remove(number)
                .iter()
                .for_each(|child| unregister(child.id()));
        }
        ended
    }

    /// Largest memory that a daemon has had resident, in kilobytes; none if it does not run.
    pub fn peak_memory(&self, number: usize) -> Option<u64> {
        let id = self.daemons.get(&number)?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().strip_suffix(" kB")?.parse().ok()
    }

    /// Process id of a running daemon.
    pub fn daemon_id(&self, number: usize) -> u32 {
        self.daemons[&number].id()
    }

    /// Address at which callers reach a daemon that was started.
    pub fn front(&self, number: usize) -> &str {
        &self.fronts[&number]
    }

    /// Directory of the daemons' settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Keeps the files when the fleet is dropped.
    pub fn keep_files(&mut self) {
        self.files_kept = true;
    }

    /// Number of the daemon that holds the scheduler's lease, by the store; none if there is no lease.
    pub fn leader(&self) -> Option<usize> {
        let lease = self.store.value("lease", "fi-south", "current")?;
        lease["holder"].as_str()?.strip_prefix("front-")?.parse().ok()
    }

    /// Sends a request to a daemon. Returns status and body: 502 if there was no answer, null if the body is not JSON.
    pub fn ask(&self, daemon: usize, method: Method, path: &str, body: &Value) -> (StatusCode, Value) {
        self.ask_with(daemon, method, path, body.to_string().into_bytes(), API_KEY)
    }

    /// Sends a request with an arbitrary body and API key, see [`Self::ask`].
    pub fn ask_with(&self, daemon: usize, method: Method, path: &str, body: Vec<u8>, key: &str) -> (StatusCode, Value) {
        let caller = self.caller();
        block_on(caller.send(daemon, (method, path), body, key, Millis(3_500)))
            .unwrap_or((StatusCode::BAD_GATEWAY, Value::Null))
    }

    /// A caller of this fleet's daemons. All share their connections, which stay open.
    pub fn caller(&self) -> NodeCaller {
        NodeCaller {
            client: self.client.clone(),
            fronts: self.fronts.clone(),
        }
    }

    /// Submits a job to the daemons in turn until one accepts it.
    pub fn submit(&self, key: u64, body: &Value) {
        self.submit_within(key, body, SERVE_TIMEOUT);
    }

    /// As [`Self::submit`], and fails the test if no daemon accepts the job within `limit`.
    pub fn submit_within(&self, key: u64, body: &Value, limit: Duration) {
        self.wait_until("the job is accepted", limit, |fleet| {
            let daemons: Vec<usize> = fleet.daemons.keys().copied().collect();
            let path = format!("{URGENT}{key:016x}");
            daemons
                .iter()
                .any(|daemon| fleet.ask(*daemon, Method::POST, &path, body).0 == StatusCode::OK)
        });
    }

    /// State of a job from the first daemon that knows it; none if none does.
    pub fn state(&self, key: u64) -> Option<String> {
        let path = format!("{URGENT}{key:016x}");
        self.daemons.keys().find_map(|daemon| {
            let (status, body) = self.ask(*daemon, Method::GET, &path, &Value::Null);
            (status == StatusCode::OK).then(|| body["state"].as_str().map(str::to_owned))?
        })
    }

    /// Waits until a job is completed, and fails the test if it is not in time.
    pub fn wait_completed(&self, key: u64) {
        self.wait_until("the job is completed", SERVE_TIMEOUT, |fleet| {
            fleet.state(key).as_deref() == Some("completed")
        });
    }

    /// Waits until `check` holds, and fails the test with `what` if it does not within `limit`.
    pub fn wait_until(&self, what: &str, limit: Duration, check: impl Fn(&Self) -> bool) {
        let end = Instant::now() + limit;
        while !check(self) {
            assert!(
                Instant::now() < end,
                "{what}: not within {limit:?}; logs in {}",
                self.dir.display()
            );
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    /// Fails the test if a worker saw a violation, such as a task that runs twice.
    pub fn check(&self) {
        let violations = self.workers.lock().expect("workers lock").violations.clone();
        assert_eq!(violations, Vec::<String>::new());
    }

    /// Text of a daemon's log.
    pub fn log(&self, daemon: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("{daemon}.log"))).expect("a log")
    }
}

/// Sends requests to the daemons of a fleet.
#[derive(Clone)]
pub struct NodeCaller {
    client: Arc<HttpClient>,
    fronts: BTreeMap<usize, String>,
}

impl NodeCaller {
    /// Sends a request to a daemon. Returns status and body, null if that is not JSON, or none if there was no answer
    /// within `timeout`.
    pub async fn send(
        &self,
        daemon: usize,
        (method, path): (Method, &str),
        body: Vec<u8>,
        key: &str,
        timeout: Millis,
    ) -> Option<(StatusCode, Value)> {
        let headers = [("api-key", key), ("deadline-ms", DEADLINE), ("host", HOST)];
        let call = HttpCall {
            method,
            path,
            headers: &headers,
            body: Bytes::from(body),
            timeout,
        };
        let answer = self.client.send(&self.fronts[&daemon], call).await.ok()?;
        Some((
            answer.status,
            serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        ))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.daemons.values_mut() {
            // Fails if the daemon has exited already.
            let _ = child.kill();
            let _ = child.wait();
            unregister(child.id());
        }
        self.stop.raise();
        if !std::thread::panicking() && !self.files_kept {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A configuration with one queue, and one account that has these API keys.
pub fn node_config(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-urgent", "host": HOST, "path_prefix": URGENT, "kind": "unsafe", "timeout_ms": 3_000,
            "target_latency_ms": 250, "priority": 0, "service": "svc", "max_attempts": 2, "stretch": 1.5, "public": false,
        }],
        "services": [{"name": "svc", "health_path": "/health", "admission_control": true}],
        "limits": {"max_body_bytes": 262_144},
        "tenants": [{"name": "court", "api_keys": keys, "guaranteed": {"gpu": 16}}],
    })
}

/// Serves requests on a free port of 127.0.0.1 until `stop` is raised. Returns the address.
fn serve<F>(
    executor: &Arc<Executor<'static>>,
    stop: &Stop,
    answer: impl Fn(HttpRequest) -> F + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = HttpReply> + Send + 'static,
{
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: HttpHandler = Arc::new(move |request| Box::pin(answer(request)));
    let server = HttpServer {
        executor: executor.clone(),
        limits: HttpLimits {
            body: MAX_BODY_BYTES,
            ..HttpLimits::default()
        },
        handler,
        refusal: Arc::new(|status, reason| HttpReply::text(status, reason.to_owned())),
        stop: stop.clone(),
        open: Arc::default(),
        memory: Arc::default(),
    };
    executor.spawn(Arc::new(server).serve(listener)).detach();
    address
}

/// Second byte of loopback addresses that no other fleet uses, and the listener that reserves it.
fn reserve_net() -> (u8, std::net::TcpListener) {
    loop {
        let number = std::process::id() as u8 % NETS + NEXT_NET.fetch_add(1, Ordering::Relaxed) % NETS;
        let net = FIRST_NET + number % NETS;
        if let Ok(listener) = std::net::TcpListener::bind((Ipv4Addr::new(127, net, 1, 1), 8000)) {
            return (net, listener);
        }
    }
}

fn daemon_ip(net: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, 0, number as u8 + 1)
}

/// Entry of a worker in the platform's list.
fn worker_entry(number: usize, address: SocketAddr, incarnation: u64, state: &str) -> Value {
    let capacity = WORKER_CAPACITY;
    let remaining = (state == "draining").then_some(0);
    json!({
        "service": "svc", "address": address.to_string(), "zone": worker_zone(number),
        "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "labels": ["a", "r1"],
        "capacity": {"cpu": capacity.millicores, "mem_mb": capacity.memory, "gpu": capacity.accelerators},
        "clock_ms": 1, "seq": 1, "remaining_ms": remaining, "born": incarnation, "machine": format!("m{number}"),
    })
}

/// The failure domain of a worker.
pub(crate) fn worker_zone(number: usize) -> String {
    format!("z{}", number % WORKER_ZONES)
}

fn worker_name(number: usize) -> WorkerName {
    WorkerName::from(format!("w{number}"))
}

/// Relays to `target` from a free port of 127.0.0.1, which is returned.
fn relay(executor: &Arc<Executor<'static>>, target: &str) -> (Arc<Relay>, SocketAddr) {
    let relay = Relay::new(target);
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = block_on(relay.listen(executor, free)).expect("a free port");
    (relay, address)
}

/// Answers an order to the worker `name`: decodes it from the platform's format and passes it to the simulation.
async fn answer_worker(
    workers: &Mutex<StepWorkers>,
    started: Instant,
    name: &WorkerName,
    request: &HttpRequest,
    mode: WorkerMode,
) -> HttpReply {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
        return HttpReply::text(StatusCode::BAD_REQUEST, "");
    };
    let number = |field: &str| body[field].as_u64().unwrap_or(0);
    let now = || Millis(started.elapsed().as_millis() as u64);
    let incarnation = workers.lock().expect("workers lock").incarnation(name);
    let Some(incarnation) = incarnation else {
        return HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let term = Term(number("fencing_token"));
    let task = parse_task(body["task"].as_str().unwrap_or("0000000000000000.0.0.0")).expect("the name of a task");
    let run = number("run") as u32;
    let payload = body["spec"].as_str().unwrap_or_default();
    match request.path.as_str() {
        "/-/run-start" => {
            let order = StartOrder {
                task,
                run,
                payload: match mode {
                    // The first value of a name counts.
                    WorkerMode::FailsAll => format!("work=50 fails={} {payload}", u32::MAX),
                    _ => payload.to_owned(),
                },
                deadline: Millis(number("deadline_ms")),
                term,
                checkpoint: body["checkpoint"].as_str().unwrap_or_default().to_owned(),
            };
            let reply = workers
                .lock()
                .expect("workers lock")
                .start(now(), name, incarnation, &order);
            if reply == OrderReply::Unanswered {
                // The worker has crashed.
                return std::future::pending().await;
            }
            encode(&reply)
        }
        "/-/run-stop" => {
            let reply = workers
                .lock()
                .expect("workers lock")
                .stop(now(), name, incarnation, (task, run), term);
            encode(&reply)
        }
        "/-/hold" => {
            let order = HoldOrder {
                term,
                ack: number("ack_cursor"),
                deadline: body["deadline_ms"].as_u64().map(Millis),
                wait: Millis(number("wait_ms")),
            };
            hold(workers, now, (name, incarnation), &order).await
        }
        _ => HttpReply::text(StatusCode::NOT_FOUND, ""),
    }
}

/// Answers a hold order once the worker lists an ended run, or after the wait that the order allows.
async fn hold(
    workers: &Mutex<StepWorkers>,
    now: impl Fn() -> Millis,
    (name, incarnation): (&WorkerName, Incarnation),
    order: &HoldOrder,
) -> HttpReply {
    let until = now() + order.wait;
    loop {
        let lists = workers
            .lock()
            .expect("workers lock")
            .hold(now(), name, incarnation, order);
        let lists = match lists {
            Ok(lists) if lists.finished.is_empty() && now() < until => {
                Timer::after(TICK).await;
                continue;
            }
            Ok(lists) => lists,
            Err(reply) => return encode(&reply),
        };
        let running: Vec<Value> = lists
            .running
            .iter()
            .map(|run| json!([run.task.to_string(), run.run, run.checkpoint, run.percent, 0]))
            .collect();
        let finished: Vec<Value> = lists
            .finished
            .iter()
            .map(|end| {
                let outcome = format!("{:?}", end.outcome).to_lowercase();
                json!([end.number, end.task.to_string(), end.run, outcome, end.checkpoint])
            })
            .collect();
        let body = json!({
            "clock_ms": lists.clock.0, "born": lists.incarnation.0, "running": running, "finished": finished,
        });
        return HttpReply::json(StatusCode::OK, body.to_string());
    }
}

/// Encodes the reply to an order.
fn encode(reply: &OrderReply) -> HttpReply {
    let conflict = |reason: &str| {
        let body = json!({"clock_ms": 1, "reason": reason});
        HttpReply::json(StatusCode::CONFLICT, body.to_string())
    };
    match reply {
        OrderReply::Done { clock } => HttpReply::json(StatusCode::OK, json!({"clock_ms": clock.0}).to_string()),
        OrderReply::OldTerm => conflict("fence"),
        OrderReply::OldRun => conflict("old"),
        OrderReply::Late => conflict("late"),
        OrderReply::NoRoom => conflict("room"),
        OrderReply::OtherIncarnation => HttpReply::text(StatusCode::MISDIRECTED_REQUEST, ""),
        _ => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}
