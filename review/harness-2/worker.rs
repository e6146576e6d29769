//! Workers: each runs tasks under a lease, lists ends until they are acknowledged, and refuses orders of older tokens.
//!
//! The text of a job (`spec`) says how its tasks end: `done 5000` after 5 s of work, `fail 1500` as failed after 1.5 s,
//! `run` only when stopped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;
use crate::store::Store;
use crate::wire::{Answer, Json, Request, Server, quote};

/// Longest lease, `max_hold_ms`.
const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
struct Run {
    number: u32,
    started: Instant,
    ends: Option<(Instant, &'static str)>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    highest: BTreeMap<String, u32>,
    finished: Vec<End>,
    ends: u64,
}

/// Tells by worker, task and run whether a start order is delayed, and for how long.
pub type StartHook = Arc<dyn Fn(&str, &str, u32) -> Option<Duration> + Send + Sync>;

struct Shared {
    life: Mutex<Option<Life>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    label: String,
    store: Store,
    record: Record,
    shared: Arc<Shared>,
    server: Arc<Mutex<Option<Server>>>,
    state: Arc<Mutex<(&'static str, u64)>>,
    /// Delays a start order, which is then not answered.
    late_start: Arc<Mutex<Option<StartHook>>>,
    pub specs: Arc<Mutex<BTreeMap<String, String>>>,
}

impl Life {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<Run> {
        let run = self.running.remove(task)?;
        self.ends += 1;
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run.number);
        self.finished.push(End { number: self.ends, task: task.to_owned(), run: run.number, how });
        Some(run)
    }
}

impl Worker {
    pub fn new(id: &str, address: SocketAddr, label: &str, store: Store, record: Record) -> Worker {
        let worker = Worker {
            id: id.to_owned(),
            address,
            label: label.to_owned(),
            store,
            record,
            shared: Arc::new(Shared { life: Mutex::new(None), changed: Condvar::new() }),
            server: Arc::default(),
            state: Arc::new(Mutex::new(("ready", 0))),
            late_start: Arc::default(),
            specs: Arc::default(),
        };
        let (advancing, beating) = (worker.clone(), worker.clone());
        thread::spawn(move || {
            loop {
                advancing.advance();
                thread::sleep(Duration::from_millis(5));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        worker
    }

    pub fn set_late_start(&self, hook: Option<StartHook>) {
        *self.late_start.lock().unwrap() = hook;
    }

    /// Starts a life, with the id that the worker had.
    pub fn start(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        *self.shared.life.lock().unwrap() = Some(Life {
            born,
            started: Instant::now(),
            token: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
        });
        let worker = self.clone();
        let server = Server::start(self.address, Arc::new(move |request| worker.handle(request)));
        *self.server.lock().unwrap() = Some(server.expect("address of a worker"));
        self.record.line(format!("worker {} starts, born {born}", self.id));
        self.beat();
    }

    /// Ends the life without a word.
    pub fn crash(&self) {
        let life = self.shared.life.lock().unwrap().take();
        let lost: Vec<String> = life.map_or_else(Vec::new, |life| {
            life.running.iter().map(|(task, run)| format!("{task} run {}", run.number)).collect()
        });
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.record.line(format!("worker {} crashes; lost there: [{}]", self.id, lost.join(", ")));
    }

    /// Tasks at work here, with the numbers of their runs.
    pub fn running(&self) -> Vec<(String, u32)> {
        let life = self.shared.life.lock().unwrap();
        let running = life.iter().flat_map(|life| &life.running);
        running.map(|(task, run)| (task.clone(), run.number)).collect()
    }

    /// The entry in the platform's list is rewritten with each heartbeat, and removed after three of silence.
    fn beat(&self) {
        let life = self.shared.life.lock().unwrap();
        let mut state = self.state.lock().unwrap();
        let Some(life) = life.as_ref() else {
            state.1 += 1;
            if state.1 == 3 {
                self.store.remove("servers", &self.id);
                self.record.line(format!("entry of worker {} is removed", self.id));
            }
            return;
        };
        state.1 = 0;
        let entry = format!(
            "{{\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"{}\",\
             \"cold_left_ms\":0,\"capacity\":{{\"cpu\":32000,\"mem_mb\":65536,\"gpu\":8}},\"labels\":[\"{}\",\"r1-1\"],\
             \"machine\":\"m-{}\",\"born\":{},\"seq\":{}}}",
            self.address,
            state.0,
            self.label,
            self.id,
            life.born,
            life.clock() / 1_500 + 1
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn advance(&self) {
        let mut guard = self.shared.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let lapsed = !life.running.is_empty() && life.clock() > life.lease_ms;
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| match run.ends {
                _ if lapsed => Some((task.clone(), "lapsed")),
                Some((at, how)) if at <= now => Some((task.clone(), how)),
                _ => None,
            })
            .collect();
        for (task, how) in &due {
            if let Some(run) = life.end(task, how) {
                self.record.line(format!("{task} run {} ends {how} on {}", run.number, self.id));
            }
        }
        if !due.is_empty() {
            self.shared.changed.notify_all();
        }
    }

    fn handle(&self, request: Request) -> Answer {
        if request.path == "/health" {
            return Some((200, b"{}".to_vec()));
        }
        if request.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return Some((421, b"{}".to_vec()));
        }
        let body = request.json();
        match request.path.as_str() {
            "/-/run-start" => {
                let (task, run) = (body.get("task").text().to_owned(), body.get("run").number() as u32);
                let hook = self.late_start.lock().unwrap().clone();
                if let Some(delay) = hook.and_then(|hook| hook(&self.id, &task, run)) {
                    self.record.line(format!("{task} run {run}: start not answered by {}, carried out {delay:?} later", self.id));
                    let worker = self.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let answer = worker.run_start(&body);
                        worker.record.line(format!("{task} run {run}: late start on {}: {answer:?}", worker.id));
                    });
                    return None;
                }
                self.run_start(&body)
            }
            "/-/run-stop" => self.run_stop(&body),
            "/-/hold" => self.hold(&body),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn run_start(&self, body: &Json) -> Answer {
        let mut guard = self.shared.life.lock().unwrap();
        let life = guard.as_mut()?;
        let clock = life.clock();
        let refuse = |reason: &str| Some((409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}").into_bytes()));
        let token = body.get("fencing_token").number();
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let (task, run) = (body.get("task").text(), body.get("run").number() as u32);
        let deadline = body.get("deadline_ms").number().min(clock + MAX_HOLD_MS);
        if deadline <= clock {
            return refuse("late");
        }
        life.lease_ms = life.lease_ms.max(deadline);
        if life.running.get(task).is_some_and(|running| running.number == run) {
            return Some((200, format!("{{\"clock_ms\":{clock}}}").into_bytes()));
        }
        if life.highest.get(task).is_some_and(|highest| run <= *highest) || life.running.contains_key(task) {
            return refuse("old");
        }
        // Each task takes all accelerators of a worker, unless its text begins with "one".
        let spec = body.get("spec").text();
        let weight = |spec: &str| if spec.starts_with("one ") { 1 } else { 8 };
        let mut specs = self.specs.lock().unwrap();
        let used: u32 = life.running.keys().map(|task| specs.get(task).map_or(8, |spec| weight(spec))).sum();
        if used + weight(spec) > 8 {
            return refuse("room");
        }
        specs.insert(task.to_owned(), spec.to_owned());
        let now = Instant::now();
        let mut words = spec.trim_start_matches("one ").split(' ');
        let how = words.next().unwrap_or_default().to_owned();
        let after = words.next().and_then(|text| text.parse().ok()).map_or(Duration::ZERO, Duration::from_millis);
        let ends = match how.as_str() {
            "done" => Some((now + after, "done")),
            "fail" => Some((now + after, "failed")),
            _ => None,
        };
        life.running.insert(task.to_owned(), Run { number: run, started: now, ends });
        self.record.start(&self.id, task, run);
        Some((200, format!("{{\"clock_ms\":{clock}}}").into_bytes()))
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let mut guard = self.shared.life.lock().unwrap();
        let life = guard.as_mut()?;
        let clock = life.clock();
        let token = body.get("fencing_token").number();
        if token < life.token {
            return Some((409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}").into_bytes()));
        }
        life.token = token;
        let (task, run) = (body.get("task").text(), body.get("run").number() as u32);
        if life.running.get(task).is_some_and(|running| running.number == run) {
            life.end(task, "stopped");
            self.record.line(format!("{task} run {run} stopped on {}", self.id));
        }
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
        self.shared.changed.notify_all();
        Some((200, format!("{{\"clock_ms\":{clock}}}").into_bytes()))
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut guard = self.shared.life.lock().unwrap();
        let born = guard.as_ref()?.born;
        let wait = Instant::now() + Duration::from_millis(body.get("wait_ms").number().min(2_000));
        {
            let life = guard.as_mut()?;
            let clock = life.clock();
            let token = body.get("fencing_token").number();
            if token < life.token {
                return Some((409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}").into_bytes()));
            }
            life.token = token;
            let cursor = body.get("ack_cursor").number();
            life.finished.retain(|end| end.number > cursor);
            let deadline = body.get("deadline_ms").number().min(clock + MAX_HOLD_MS);
            life.lease_ms = life.lease_ms.max(deadline);
        }
        loop {
            let life = guard.as_ref().filter(|life| life.born == born)?;
            let now = Instant::now();
            if !life.finished.is_empty() || now >= wait {
                break;
            }
            guard = self.shared.changed.wait_timeout(guard, wait - now).unwrap().0;
        }
        let life = guard.as_ref()?;
        let running = life.running.iter().map(|(task, run)| {
            let percent = match run.ends {
                Some((at, _)) => {
                    let whole = (at - run.started).as_secs_f64();
                    (run.started.elapsed().as_secs_f64() / whole * 100.0).min(99.0) as u32
                }
                None => 100,
            };
            format!("[{},{},\"\",{percent}]", quote(task), run.number)
        });
        let running: Vec<String> = running.collect();
        let finished = life.finished.iter().take(500);
        let finished: Vec<String> = finished
            .map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how))
            .collect();
        let text = format!(
            "{{\"clock_ms\":{},\"born\":{born},\"running\":[{}],\"finished\":[{}]}}",
            life.clock(),
            running.join(","),
            finished.join(",")
        );
        Some((200, text.into_bytes()))
    }
}
