//! Workers: leases, fencing, guarded capacity, ends listed until they are acknowledged, 500 at a time.
//!
//! The spec of a job tells what its tasks do. `work=2000 spread=4000` works 2 s and, evenly spread over the indices of
//! `of=1200` tasks, up to 4 s more. `lasts` tasks report 100 percent and run until they are stopped.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Gate, Reply, Request};
use crate::record::Record;
use crate::store::Store;

/// Ends in one answer, as the page on running tasks says.
const MAX_ENDS: usize = 500;
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 100;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What the workers saw of one task's run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, `noted` once `ack_cursor` has reached an end as done, or how the run ended.
    pub what: String,
}

struct Running {
    run: u64,
    cpu: u64,
    work_ms: u64,
    lasts: bool,
    since: u64,
    stops_at: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Worker {
    cpu: u64,
    gate: Arc<Gate>,
    born: u64,
    /// When it started, by the clock of all workers; its own clock counts from then.
    started: u64,
    /// Time after its start at which it writes its entry for the first time.
    unlisted_ms: u64,
    token: u64,
    deadline: u64,
    running: BTreeMap<String, Running>,
    barred: BTreeMap<String, u64>,
    ends: Vec<End>,
    next: u64,
    most_ends: usize,
}

impl Worker {
    fn new(cpu: u64, gate: Arc<Gate>, started: u64) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        Self {
            cpu,
            gate,
            born: unix.as_millis() as u64,
            started,
            unlisted_ms: 0,
            token: 0,
            deadline: 0,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next: 1,
            most_ends: 0,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        now - self.started + 1_000
    }

    /// Forgets the ends up to `ack`. Returns those that were forgotten.
    fn forget(&mut self, ack: u64) -> Vec<End> {
        let ends = std::mem::take(&mut self.ends).into_iter();
        let (forgotten, left) = ends.partition(|end| end.number <= ack);
        self.ends = left;
        forgotten
    }
}

struct Shared {
    workers: BTreeMap<String, Worker>,
    events: Vec<Event>,
}

/// All workers of the deployment.
#[derive(Clone)]
pub struct Workers {
    shared: Arc<(Mutex<Shared>, Condvar)>,
    record: Record,
    started: Instant,
}

/// Service of all workers.
pub const SERVICE: &str = "confirm-svc";

impl Workers {
    /// Starts `count` workers of `cpu` millicores and `mem_mb` with 8 GPUs, and enters them in the store.
    pub fn start(ip: &str, store: &Store, record: &Record, count: usize, (cpu, mem_mb): (u64, u64)) -> Self {
        let shared = Shared {
            workers: BTreeMap::new(),
            events: Vec::new(),
        };
        let workers = Self {
            shared: Arc::new((Mutex::new(shared), Condvar::new())),
            record: record.clone(),
            started: Instant::now(),
        };
        for number in 0..count {
            let name = format!("i-{number:010x}");
            let gate: Arc<Gate> = Arc::default();
            let worker = Worker::new(cpu, gate.clone(), 0);
            workers.shared.0.lock().unwrap().workers.insert(name.clone(), worker);
            let (serving, id) = (workers.clone(), name.clone());
            let address = http::serve_gated(ip, gate.clone(), move |request| serving.answer(&id, &request));
            let (store, entries) = (store.clone(), workers.clone());
            std::thread::spawn(move || {
                let (mut seq, mut listed, mut written) = (0_u64, 0, Instant::now());
                loop {
                    std::thread::sleep(Duration::from_millis(20));
                    let (born, listable) = {
                        let worker = &entries.shared.0.lock().unwrap().workers[&name];
                        (worker.born, entries.now() >= worker.started + worker.unlisted_ms)
                    };
                    if gate.is_down() || !listable || born == listed && written.elapsed() < HEARTBEAT {
                        continue;
                    }
                    seq = if born == listed { seq + 1 } else { 1 };
                    (listed, written) = (born, Instant::now());
                    store.put("servers", &name, &json!({
                        "service": SERVICE, "address": address.to_string(), "zone": "dakar-a", "version": "v1",
                        "slots": 640, "state": "ready", "cold_left_ms": 0,
                        "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": 8}, "labels": ["a", format!("r1-{}", number / 8)],
                        "clock_ms": 1, "seq": seq, "born": born, "machine": format!("m-{number:05x}"),
                    }));
                }
            });
        }
        let ticking = workers.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.advance();
            }
        });
        workers
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn events(&self) -> Vec<Event> {
        self.shared.0.lock().unwrap().events.clone()
    }

    /// Most ends that a worker had listed and not acknowledged at one time.
    pub fn most_ends(&self) -> usize {
        self.shared
            .0
            .lock()
            .unwrap()
            .workers
            .values()
            .map(|worker| worker.most_ends)
            .max()
            .unwrap_or(0)
    }

    /// Workers and numbers of the runs of a task that are there now.
    pub fn running(&self, task: &str) -> Vec<(String, u64)> {
        let shared = self.shared.0.lock().unwrap();
        let runs = shared
            .workers
            .iter()
            .filter_map(|(name, worker)| Some((name.clone(), worker.running.get(task)?.run)));
        runs.collect()
    }

    /// Millicores of all tasks that run, and of all workers.
    pub fn in_use(&self) -> (u64, u64) {
        let shared = self.shared.0.lock().unwrap();
        let used = shared
            .workers
            .values()
            .flat_map(|worker| worker.running.values())
            .map(|running| running.cpu)
            .sum();
        (used, shared.workers.values().map(|worker| worker.cpu).sum())
    }

    /// Lets all runs of a task end this way.
    pub fn end_task(&self, task: &str, how: &'static str) {
        let now = self.now();
        let mut shared = self.shared.0.lock().unwrap();
        let names: Vec<String> = shared.workers.keys().cloned().collect();
        for name in names {
            self.end(&mut shared, now, &name, task, how);
        }
        self.shared.1.notify_all();
    }

    /// Names of all workers.
    pub fn names(&self) -> Vec<String> {
        self.shared.0.lock().unwrap().workers.keys().cloned().collect()
    }

    /// Crashes a worker; it starts again under its id, without anything of before, after `down`, and writes its entry
    /// after `unlisted` more.
    pub fn crash(&self, name: &str, down: Duration, unlisted: Duration) {
        let mut shared = self.shared.0.lock().unwrap();
        let gate = shared.workers[name].gate.clone();
        gate.crash();
        let running = std::mem::take(&mut shared.workers.get_mut(name).expect("a worker").running);
        for (task, running) in running {
            let event = Event {
                at_ms: self.now(),
                worker: name.to_owned(),
                task,
                run: running.run,
                what: "gone".to_owned(),
            };
            self.note(&mut shared, event);
        }
        drop(shared);
        let (workers, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let mut shared = workers.shared.0.lock().unwrap();
            let now = workers.now();
            if let Some(worker) = shared.workers.get_mut(&name) {
                *worker = Worker::new(worker.cpu, gate.clone(), now);
                worker.unlisted_ms = unlisted.as_millis() as u64;
            }
            workers.record.line(&format!("worker {name} is back"));
            gate.start();
        });
    }

    fn note(&self, shared: &mut Shared, event: Event) {
        self.record.line(&format!(
            "worker {} task {} run {}: {}",
            event.worker, event.task, event.run, event.what
        ));
        shared.events.push(event);
    }

    fn end(&self, shared: &mut Shared, now: u64, name: &str, task: &str, how: &'static str) {
        let Some(worker) = shared.workers.get_mut(name) else {
            return;
        };
        let Some(running) = worker.running.remove(task) else {
            return;
        };
        worker.barred.insert(task.to_owned(), running.run);
        worker.ends.push(End {
            number: worker.next,
            task: task.to_owned(),
            run: running.run,
            how,
        });
        worker.next += 1;
        worker.most_ends = worker.most_ends.max(worker.ends.len());
        let (worker, task, run) = (name.to_owned(), task.to_owned(), running.run);
        self.note(
            shared,
            Event {
                at_ms: now,
                worker,
                task,
                run,
                what: how.to_owned(),
            },
        );
    }

    fn advance(&self) {
        let now = self.now();
        let mut shared = self.shared.0.lock().unwrap();
        let mut ends = Vec::new();
        for (name, worker) in &shared.workers {
            let lapsed = worker.clock(now) >= worker.deadline;
            for (task, running) in &worker.running {
                let how = if lapsed {
                    "lapsed"
                } else if running.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if !running.lasts && now >= running.since + running.work_ms {
                    "done"
                } else {
                    continue;
                };
                ends.push((name.clone(), task.clone(), how));
            }
        }
        for (name, task, how) in &ends {
            self.end(&mut shared, now, name, task, how);
        }
        if !ends.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, name: &str, request: &Request) -> Reply {
        if request.headers.get("expect-instance").is_some_and(|id| id != name) {
            return http::json(421, &json!({}));
        }
        let body = request.json();
        let number = |field: &str| body[field].as_u64().unwrap_or(0);
        let now = self.now();
        let mut shared = self.shared.0.lock().unwrap();
        let worker = shared.workers.get_mut(name).filter(|worker| !worker.gate.is_down())?;
        let (clock, born) = (worker.clock(now), worker.born);
        let refuse = |reason: &str| http::json(409, &json!({"clock_ms": clock, "reason": reason, "born": born}));
        if number("fencing_token") < worker.token {
            return refuse("fence");
        }
        worker.token = number("fencing_token");
        let (task, run) = (body["task"].as_str().unwrap_or_default().to_owned(), number("run"));
        match request.path.as_str() {
            "/-/run-start" => {
                if number("deadline_ms") <= clock {
                    return refuse("late");
                }
                worker.deadline = worker.deadline.max(number("deadline_ms").min(clock + MAX_HOLD_MS));
                if worker.running.get(&task).is_some_and(|running| running.run == run) {
                    return http::json(200, &json!({"clock_ms": clock, "born": born}));
                }
                if worker.barred.get(&task).is_some_and(|barred| *barred >= run) || worker.running.contains_key(&task) {
                    return refuse("old");
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let field = |name: &str| {
                    let value = spec
                        .split_whitespace()
                        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
                    value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0)
                };
                let used: u64 = worker.running.values().map(|running| running.cpu).sum();
                if used + field("cpu") > worker.cpu {
                    return refuse("room");
                }
                let index: u64 = task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                let running = Running {
                    run,
                    cpu: field("cpu"),
                    work_ms: field("work") + field("spread") * index / field("of").max(1),
                    lasts: spec.contains("lasts"),
                    since: now,
                    stops_at: None,
                };
                worker.running.insert(task.clone(), running);
                self.note(
                    &mut shared,
                    Event {
                        at_ms: now,
                        worker: name.to_owned(),
                        task,
                        run,
                        what: "start".to_owned(),
                    },
                );
                http::json(200, &json!({"clock_ms": clock, "born": born}))
            }
            "/-/run-stop" => {
                match worker.running.get_mut(&task).filter(|running| running.run == run) {
                    Some(running) => {
                        running.stops_at.get_or_insert(now + STOP_MS);
                    }
                    None => {
                        let barred = worker.barred.entry(task).or_default();
                        *barred = (*barred).max(run);
                    }
                }
                http::json(200, &json!({"clock_ms": clock, "born": born}))
            }
            "/-/hold" => {
                if let Some(deadline) = body["deadline_ms"].as_u64() {
                    worker.deadline = worker.deadline.max(deadline.min(clock + MAX_HOLD_MS));
                }
                let (ack, wait) = (number("ack_cursor"), number("wait_ms").min(2_000));
                if ack >= worker.next {
                    self.record.line(&format!(
                        "worker {name}, born {born}, has had {} ends and gets a hold with ack_cursor {ack}, wait_ms {wait}",
                        worker.next - 1
                    ));
                }
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    // The answer has the ends that are not up to `ack`, as the page says.
                    let now = self.now();
                    let worker = shared.workers.get_mut(name).filter(|worker| worker.born == born)?;
                    for end in worker.forget(ack).into_iter().filter(|end| end.how == "done") {
                        let (worker, what) = (name.to_owned(), "noted".to_owned());
                        self.note(
                            &mut shared,
                            Event {
                                at_ms: now,
                                worker,
                                task: end.task,
                                run: end.run,
                                what,
                            },
                        );
                    }
                    let worker = &shared.workers[name];
                    let left = until.saturating_duration_since(Instant::now());
                    if !worker.ends.is_empty() || left.is_zero() {
                        return self.lists(worker);
                    }
                    shared = self.shared.1.wait_timeout(shared, left).unwrap().0;
                }
            }
            _ => http::json(404, &json!({})),
        }
    }

    fn lists(&self, worker: &Worker) -> Reply {
        let now = self.now();
        let running: Vec<Value> = worker
            .running
            .iter()
            .map(|(task, running)| {
                let percent = match running.lasts {
                    true => 100,
                    false => ((now - running.since) * 100 / running.work_ms.max(1)).min(100),
                };
                json!([task, running.run, "", percent, running.cpu])
            })
            .collect();
        let ends = worker.ends.iter().take(MAX_ENDS);
        let finished: Vec<Value> = ends
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        let (clock, born) = (worker.clock(now), worker.born);
        http::json(
            200,
            &json!({"clock_ms": clock, "born": born, "running": running, "finished": finished}),
        )
    }
}
