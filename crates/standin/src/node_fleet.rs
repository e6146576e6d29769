//! A fleet for tests: daemons as processes on loopback addresses, with a simulated store and simulated workers in the
//! process of the test.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
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

use crate::node_store::FakeStore;
use crate::process::binary_path;
use crate::step_worker::StepWorkers;

/// Host name in callers' requests.
const HOST: &str = "orders.example";
/// API key of the only account.
pub const API_KEY: &str = "key-of-court";
/// URL prefix of the only queue, for urgent jobs.
pub const URGENT: &str = "/urgent/";
/// Interval at which the simulated workers advance.
const TICK: Duration = Duration::from_millis(10);
/// Time within which the daemons must accept a job, or complete it.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Offset for the second byte of the next fleet's loopback addresses: tests of one process run at the same time and
/// need addresses of their own.
static NEXT_NET: AtomicU8 = AtomicU8::new(10);

/// A running fleet; dropping it kills its processes. Its files are kept if the test fails.
pub struct Fleet {
    /// The simulated store.
    pub store: FakeStore,
    /// The simulated workers and the violations that they saw.
    pub workers: Arc<Mutex<StepWorkers>>,
    /// Running daemons by number, counted from 0.
    daemons: BTreeMap<usize, Child>,
    /// Second byte of the daemons' loopback addresses.
    net: u8,
    store_address: SocketAddr,
    /// Directory of the daemons' settings and logs.
    dir: PathBuf,
    client: HttpClient,
    /// When the fleet was created.
    started: Instant,
    stop: Stop,
}

impl Fleet {
    /// Starts `daemons` daemons and `workers` workers, and waits until daemon 0 accepts a job.
    pub fn start(daemons: usize, workers: usize) -> Self {
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let runner = executor.clone();
        std::thread::spawn(move || block_on(runner.run(std::future::pending::<()>())));
        let stop = Stop::new();
        let store = FakeStore::default();
        let shared = store.clone();
        let store_address = serve(&executor, &stop, move |request| {
            let store = shared.clone();
            async move { store.answer(request).await }
        });
        let net = std::process::id() as u8 / 2 + NEXT_NET.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("pistachiostair-path-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let mut fleet = Self {
            store,
            workers: Arc::default(),
            daemons: BTreeMap::new(),
            net,
            store_address,
            dir,
            client: HttpClient::new(executor.clone(), 64, 1 << 20),
            started: Instant::now(),
            stop: stop.clone(),
        };
        fleet.store.put("op", "config", &node_config(3, &[API_KEY]));
        for number in 0..workers {
            fleet.start_worker(&executor, number);
        }
        fleet.run_workers(&executor);
        for number in 0..daemons {
            fleet.start_daemon(number);
        }
        fleet.wait_until("a job is accepted", SERVE_TIMEOUT, |fleet| {
            let body = json!({"spec": "work=1 gpu=1", "steps": [{"count": 1, "gpu": 1}]});
            fleet.ask(0, Method::POST, &format!("{URGENT}{:016x}", 1), &body).0 == StatusCode::OK
        });
        fleet
    }

    /// Serves a simulated worker and enters it in the platform's list.
    fn start_worker(&self, executor: &Arc<Executor<'static>>, number: usize) {
        let name = WorkerName::from(format!("w{number}"));
        let capacity = Demand {
            millicores: 32_000,
            memory: 65_536,
            accelerators: 8,
        };
        self.workers
            .lock()
            .expect("workers lock")
            .start_worker(&name, Incarnation(1_000), capacity, self.now());
        let (workers, started, own) = (self.workers.clone(), self.started, name.clone());
        let address = serve(executor, &self.stop, move |request| {
            let (workers, name) = (workers.clone(), own.clone());
            async move { answer_worker(&workers, started, &name, &request).await }
        });
        let entry = json!({
            "service": "svc", "address": address.to_string(), "zone": "helsinki", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "capacity": {"cpu": 32_000, "mem_mb": 65_536, "gpu": 8},
            "labels": ["a", "r1"], "clock_ms": 1, "seq": 1, "born": 1_000, "machine": format!("m{number}"),
        });
        self.store.put("servers", name.as_str(), &entry);
    }

    /// Advances the simulated workers in the background until the fleet is dropped.
    fn run_workers(&self, executor: &Arc<Executor<'static>>) {
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
        executor.spawn(ticking).detach();
    }

    /// Time since the fleet was created, by which the simulated workers advance.
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    fn ip(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, number as u8 + 1)
    }

    /// Starts a daemon that does not run, for the first time or again.
    pub fn start_daemon(&mut self, number: usize) {
        let ip = self.ip(number);
        let settings = json!({
            "node_name": format!("front-{number}"), "role": "node", "ip": ip.to_string(), "zone": "helsinki",
            "region": "fi-south", "listen": {"front": format!("{ip}:8000"), "ready_address": format!("{ip}:8001")},
            "port_range": [7000, 7015], "control_mode": "rpc", "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 512, "link_mbps": 200.0},
            "bounds": {"revoke_fail_closed": true, "revoke_ms": 5_000, "grace_s": 6},
            "platform": {"address": self.store_address.to_string(), "row_bytes": 65_536},
        });
        let path = self.dir.join(format!("{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        let log = std::fs::File::create(self.dir.join(format!("{number}.log"))).expect("a log file");
        let child = Command::new(binary_path("pistachiostair-node").expect("the daemon is built"))
            .env("PISTACHIOSTAIR_NODE_FILE", &path)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("a daemon");
        self.daemons.insert(number, child);
    }

    /// Kills a daemon with SIGKILL, if it runs, and waits for its exit.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.daemons.remove(&number) {
            child.kill().expect("the daemon is killed");
            child.wait().expect("the daemon has ended");
        }
    }

    /// Sends SIGTERM to a daemon and waits for its exit, which must be successful.
    pub fn terminate(&mut self, number: usize) {
        let mut child = self.daemons.remove(&number).expect("a running daemon");
        let killed = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        assert!(killed.expect("kill runs").success());
        assert!(child.wait().expect("the daemon ends").success());
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
        let peer = format!("{}:8000", self.ip(daemon));
        let headers = [("api-key", key), ("deadline-ms", "3000"), ("host", HOST)];
        let call = HttpCall {
            method,
            path,
            headers: &headers,
            body: Bytes::from(body),
            timeout: Millis(3_500),
        };
        match block_on(self.client.send(&peer, call)) {
            Ok(answer) => (
                answer.status,
                serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
            ),
            Err(_) => (StatusCode::BAD_GATEWAY, Value::Null),
        }
    }

    /// Submits a job to the daemons in turn until one accepts it.
    pub fn submit(&self, key: u64, body: &Value) {
        self.wait_until("the job is accepted", SERVE_TIMEOUT, |fleet| {
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
        let workers = self.workers.lock().expect("workers lock");
        assert_eq!(workers.violations, Vec::<String>::new());
    }

    /// Text of a daemon's log.
    pub fn log(&self, daemon: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("{daemon}.log"))).expect("a log")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.daemons.values_mut() {
            // Fails if the daemon has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stop.raise();
        if !std::thread::panicking() {
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
            body: 1 << 20,
            ..HttpLimits::default()
        },
        handler,
        refusal: Arc::new(|status, reason| HttpReply::text(status, reason.to_owned())),
        stop: stop.clone(),
        open: Arc::default(),
    };
    executor.spawn(Arc::new(server).serve(listener)).detach();
    address
}

/// Answers an order to the worker `name`: decodes it from the platform's format and passes it to the simulation.
async fn answer_worker(
    workers: &Mutex<StepWorkers>,
    started: Instant,
    name: &WorkerName,
    request: &HttpRequest,
) -> HttpReply {
    let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
        return HttpReply::text(StatusCode::BAD_REQUEST, "");
    };
    let number = |field: &str| body[field].as_u64().unwrap_or(0);
    let now = || Millis(started.elapsed().as_millis() as u64);
    let incarnation = Incarnation(1_000);
    let term = Term(number("fencing_token"));
    let task = parse_task(body["task"].as_str().unwrap_or("0000000000000000.0.0.0")).expect("the name of a task");
    let run = number("run") as u32;
    match request.path.as_str() {
        "/-/run-start" => {
            let order = StartOrder {
                task,
                run,
                payload: body["spec"].as_str().unwrap_or_default().to_owned(),
                deadline: Millis(number("deadline_ms")),
                term,
                checkpoint: body["checkpoint"].as_str().unwrap_or_default().to_owned(),
            };
            let reply = workers
                .lock()
                .expect("workers lock")
                .start(now(), name, incarnation, &order);
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
            hold(workers, now, name, &order).await
        }
        _ => HttpReply::text(StatusCode::NOT_FOUND, ""),
    }
}

/// Answers a hold order once the worker lists an ended run, or after the wait that the order allows.
async fn hold(
    workers: &Mutex<StepWorkers>,
    now: impl Fn() -> Millis,
    name: &WorkerName,
    order: &HoldOrder,
) -> HttpReply {
    let until = now() + order.wait;
    loop {
        let lists = workers
            .lock()
            .expect("workers lock")
            .hold(now(), name, Incarnation(1_000), order);
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
