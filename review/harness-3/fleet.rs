//! Stand-ins of workers, and the judge of what they see.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Figures of a small deployment, as its settings give them.
const MAX_HOLD_MS: u64 = 10_000;
const STOP_MS: u64 = 100;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const SERVICE: &str = "confirm-svc";

struct Run {
    task: String,
    run: u32,
    work: u64,
    gpu: u64,
    since: u64,
    stops: Option<u64>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    /// Whether the lease has lapsed since it was listed.
    lapsed: bool,
}

/// One life of a worker.
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    deadline: u64,
    runs: Vec<Run>,
    barred: BTreeMap<String, u32>,
    ends: Vec<End>,
    next: u64,
    /// When it leaves, on its clock; none if it does not drain.
    leaves: Option<u64>,
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline: u64) {
        self.deadline = self.deadline.max(deadline.min(self.clock() + MAX_HOLD_MS));
    }

    fn end(&mut self, index: usize, how: &'static str) -> (String, u32) {
        let run = self.runs.remove(index);
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = (*barred).max(run.run);
        self.ends.push(End {
            number: self.next,
            task: run.task.clone(),
            run: run.run,
            how,
            lapsed: false,
        });
        self.next += 1;
        (run.task, run.run)
    }
}

pub struct WorkerSpec {
    pub id: &'static str,
    pub rack: &'static str,
    pub zone: &'static str,
}

struct Worker {
    spec: WorkerSpec,
    life: Option<Life>,
    seq: u64,
    listed: bool,
    down_since: Option<Instant>,
    /// Whether its reports don't reach the store.
    apart: bool,
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    /// Orders to start that get no answer from now on, with the milliseconds after which each is carried out.
    late_starts: Vec<u64>,
    /// Tasks whose end as done was taken note of.
    noted: BTreeMap<String, u32>,
    violations: Vec<String>,
}

pub struct Fleet {
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    /// Addresses of each worker, one for each daemon: the paths to it.
    servers: OnceLock<Vec<Vec<Arc<Server>>>>,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Fleet {
    /// Workers that are not up yet, at addresses below `net`.
    pub fn create(net: u8, daemons: u8, store: Arc<Store>, record: Arc<Record>, specs: Vec<WorkerSpec>) -> Arc<Fleet> {
        let count = specs.len();
        let workers = specs.into_iter().map(|spec| Worker {
            spec,
            life: None,
            seq: 0,
            listed: false,
            down_since: None,
            apart: false,
        });
        let fleet = Arc::new(Fleet {
            state: Mutex::new(State {
                workers: workers.collect(),
                ..State::default()
            }),
            changed: Condvar::new(),
            store,
            record,
            servers: OnceLock::new(),
        });
        let servers = (0..count).map(|index| {
            let fleet = fleet.clone();
            let ip = Ipv4Addr::new(127, net, 2, index as u8 + 1);
            let paths = (0..daemons).map(|_| {
                let fleet = fleet.clone();
                let handler = Arc::new(move |request: Request| Fleet::serve(&fleet, index, request));
                let server = Server::start(SocketAddr::from((ip, 0)), handler).expect("a worker's address");
                server.close();
                server
            });
            paths.collect::<Vec<_>>()
        });
        let _ = fleet.servers.set(servers.collect());
        for paths in fleet.servers.get().unwrap() {
            for (daemon, path) in paths.iter().enumerate() {
                fleet.store.replace(daemon, &paths[0].address.to_string(), &path.address.to_string());
            }
        }
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.advance();
            }
        });
        let beating = fleet.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        fleet
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn paths(&self, index: usize) -> &[Arc<Server>] {
        &self.servers.get().unwrap()[index]
    }

    fn open_paths(&self, index: usize) {
        self.paths(index).iter().for_each(|path| path.reopen());
    }

    fn close_paths(&self, index: usize) {
        self.paths(index).iter().for_each(|path| path.close());
    }

    /// Cuts a worker off from the store and from all daemons but one, or ends that. What is sent gets lost.
    pub fn set_apart(&self, index: usize, daemon: usize, cut: bool) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.apart = cut;
        worker.down_since = cut.then(Instant::now);
        let id = worker.spec.id;
        drop(state);
        let what = if cut { "are cut silently" } else { "are open again" };
        self.record.line(format!("the paths of worker {id}, but that from daemon {daemon}, {what}"));
        for (number, path) in self.paths(index).iter().enumerate() {
            if number != daemon {
                path.set_silent(cut);
            }
        }
    }

    /// Starts a worker that is down. `ahead` is how far its time of day is ahead of the true time.
    pub fn start(&self, index: usize, ahead: u64) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        let life = Life {
            born: wall_ms() + ahead,
            started: Instant::now(),
            token: 0,
            deadline: 0,
            runs: Vec::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next: 1,
            leaves: None,
        };
        self.record.line(format!("worker {} starts, born {}", worker.spec.id, life.born));
        worker.life = Some(life);
        worker.down_since = None;
        drop(state);
        self.open_paths(index);
    }

    /// Writes the worker's entry in the platform's list.
    pub fn report(&self, index: usize) {
        let address = self.paths(index)[0].address;
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        let Some(life) = &worker.life else { return };
        worker.seq += 1;
        worker.listed = true;
        let clock = life.clock();
        let state_text = match life.leaves {
            None => "\"state\":\"ready\"".to_owned(),
            Some(at) => format!("\"state\":\"draining\",\"remaining_ms\":{}", at.saturating_sub(clock)),
        };
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,{state_text},\
             \"cold_left_ms\":0,\"capacity\":{{\"cpu\":128000,\"mem_mb\":262144,\"gpu\":8}},\"labels\":[\"a\",\"{}\"],\
             \"machine\":\"m-{}\",\"clock_ms\":{clock},\"born\":{},\"seq\":{}}}",
            worker.spec.zone, worker.spec.rack, worker.spec.id, life.born, worker.seq
        );
        let id = worker.spec.id;
        drop(state);
        self.store.put("servers", id, &entry);
    }

    fn beat(&self) {
        let count = self.lock().workers.len();
        for index in 0..count {
            let mut state = self.lock();
            let worker = &mut state.workers[index];
            let up = worker.life.is_some() && !worker.apart;
            let lapsed = worker.listed && worker.down_since.is_some_and(|since| since.elapsed() >= 3 * HEARTBEAT);
            worker.listed &= !lapsed;
            let id = worker.spec.id;
            drop(state);
            if up {
                self.report(index);
            } else if lapsed {
                self.store.remove("servers", id);
            }
        }
    }

    /// Ends a worker at once, with all that runs there.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.life = None;
        worker.down_since = Some(Instant::now());
        self.record.line(format!("worker {} crashes", worker.spec.id));
        drop(state);
        self.close_paths(index);
        self.changed.notify_all();
    }

    /// The worker reports `draining`, with `remaining` milliseconds left.
    pub fn drain(&self, index: usize, remaining: u64) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        let Some(life) = &mut worker.life else { return };
        life.leaves = Some(life.clock() + remaining);
        self.record.line(format!("worker {} reports draining, remaining_ms {remaining}", worker.spec.id));
        drop(state);
        self.report(index);
    }

    /// The worker exits and removes its entry.
    pub fn leave(&self, index: usize) {
        let mut state = self.lock();
        let worker = &mut state.workers[index];
        worker.listed = false;
        worker.life = None;
        let id = worker.spec.id;
        self.record.line(format!("worker {id} exits"));
        drop(state);
        self.close_paths(index);
        self.store.remove("servers", id);
    }

    /// Cuts the path to a worker: connections are reset and new ones refused. The worker runs on.
    pub fn cut(&self, index: usize) {
        self.record.line(format!("path to worker {} is cut, connections are refused", self.lock().workers[index].spec.id));
        self.close_paths(index);
    }

    /// Lets the next order to start get no answer and be carried out `delay` milliseconds later.
    pub fn delay_start(&self, delay: u64) {
        self.lock().late_starts.push(delay);
    }

    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    pub fn is_running(&self, index: usize, task: &str) -> bool {
        let state = self.lock();
        let life = state.workers[index].life.as_ref();
        life.is_some_and(|life| life.runs.iter().any(|run| run.task == task))
    }

    /// The worker on which a task runs.
    pub fn place_of(&self, task: &str) -> Option<usize> {
        let count = self.lock().workers.len();
        (0..count).find(|index| self.is_running(*index, task))
    }

    /// Number of accelerators that are free on each worker that is up.
    pub fn free(&self) -> Vec<u64> {
        let state = self.lock();
        let lives = state.workers.iter().filter_map(|worker| worker.life.as_ref());
        lives.map(|life| 8 - life.runs.iter().map(|run| run.gpu).sum::<u64>().min(8)).collect()
    }

    fn serve(fleet: &Arc<Fleet>, index: usize, request: Request) -> Answer {
        let path = request.path.clone();
        let Some(body) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
            return Answer::Reply(400, b"{}".to_vec());
        };
        let expected = request.header("expect-instance").to_owned();
        if path == "/-/run-start" {
            let late = {
                let mut state = fleet.lock();
                (!state.late_starts.is_empty()).then(|| state.late_starts.remove(0))
            };
            if let Some(delay) = late {
                let (task, run) = (body.field("task").text().to_owned(), body.field("run").number());
                let id = fleet.lock().workers[index].spec.id;
                fleet.record.line(format!("start of {task} run {run} to {id}: no answer, carried out {delay} ms later"));
                let fleet = fleet.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(delay));
                    let (status, answer) = fleet.order(index, "/-/run-start", &expected, &body);
                    fleet.record.line(format!("start of {task} run {run} at {id} is carried out late: {status} {answer}"));
                });
                return Answer::Silence;
            }
        }
        let (status, answer) = match path.as_str() {
            "/-/hold" => fleet.hold(index, &expected, &body),
            "/-/run-start" | "/-/run-stop" => fleet.order(index, &path, &expected, &body),
            _ => (404, "{}".to_owned()),
        };
        match status {
            0 => Answer::Silence,
            _ => Answer::Reply(status, answer.into_bytes()),
        }
    }

    /// Carries out an order to start or to stop. Status 0 if the worker is down.
    fn order(&self, index: usize, path: &str, expected: &str, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        let (task, run) = (body.field("task").text().to_owned(), body.field("run").number() as u32);
        let elsewhere: Vec<&'static str> = state
            .workers
            .iter()
            .enumerate()
            .filter(|(other, worker)| {
                *other != index && worker.life.as_ref().is_some_and(|life| life.runs.iter().any(|run| run.task == task))
            })
            .map(|(_, worker)| worker.spec.id)
            .collect();
        let noted = state.noted.get(&task).copied();
        let id = state.workers[index].spec.id;
        let Some(life) = &mut state.workers[index].life else {
            return (0, String::new());
        };
        let clock = life.clock();
        let refuse = |reason: &str| (409, format!("{{\"clock_ms\":{clock},\"reason\":{}}}", quote(reason)));
        if !expected.is_empty() && expected != id {
            return (421, format!("{{\"clock_ms\":{clock}}}"));
        }
        let token = body.field("fencing_token").number();
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let done = (200, format!("{{\"clock_ms\":{clock}}}"));
        if path == "/-/run-stop" {
            match life.runs.iter_mut().find(|known| known.task == task && known.run == run) {
                Some(known) => _ = known.stops.get_or_insert(clock + STOP_MS),
                None => {
                    let barred = life.barred.entry(task.clone()).or_default();
                    *barred = (*barred).max(run);
                }
            }
            self.record.line(format!("{id}: stop {task} run {run}"));
            return done;
        }
        let deadline = body.field("deadline_ms").number();
        if deadline <= clock {
            return refuse("late");
        }
        life.extend(deadline);
        if life.runs.iter().any(|known| known.task == task && known.run == run) {
            return done;
        }
        let barred = life.barred.get(&task).is_some_and(|barred| *barred >= run);
        if barred || life.runs.iter().any(|known| known.task == task) {
            return refuse("old");
        }
        let payload = body.field("spec").text();
        let figure = |name: &str| {
            let found = payload.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
        };
        let used: u64 = life.runs.iter().map(|run| run.gpu).sum();
        if used + figure("gpu") > 8 {
            return refuse("room");
        }
        let born = life.born;
        life.runs.push(Run {
            task: task.clone(),
            run,
            work: figure("work"),
            gpu: figure("gpu"),
            since: clock,
            stops: None,
        });
        self.record.line(format!("{id} (born {born}): start {task} run {run}, token {token}"));
        if !elsewhere.is_empty() {
            let violation = format!("TWICE: {task} run {run} starts at {id} while it runs at {}", elsewhere.join(","));
            self.record.line(violation.clone());
            state.violations.push(violation);
        }
        if let Some(noted) = noted {
            let violation = format!("TWICE: {task} run {run} starts at {id} after run {noted} ended done, taken note of");
            self.record.line(violation.clone());
            state.violations.push(violation);
        }
        done
    }

    fn hold(&self, index: usize, expected: &str, body: &Json) -> (u16, String) {
        let wait = body.field("wait_ms").number().min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let id = state.workers[index].spec.id;
        let mut first = true;
        let mut born = 0;
        loop {
            let Some(life) = &mut state.workers[index].life else {
                return (0, String::new());
            };
            let clock = life.clock();
            if first {
                first = false;
                born = life.born;
                if !expected.is_empty() && expected != id {
                    return (421, format!("{{\"clock_ms\":{clock}}}"));
                }
                let token = body.field("fencing_token").number();
                if token < life.token {
                    return (409, format!("{{\"clock_ms\":{clock},\"reason\":\"fence\"}}"));
                }
                life.token = token;
                if !body.field("deadline_ms").is_null() {
                    life.extend(body.field("deadline_ms").number());
                }
                let cursor = body.field("ack_cursor").number();
                let noted: Vec<(String, u32)> = life
                    .ends
                    .iter()
                    .filter(|end| end.number <= cursor && end.how == "done" && !end.lapsed)
                    .map(|end| (end.task.clone(), end.run))
                    .collect();
                life.ends.retain(|end| end.number > cursor);
                for (task, run) in noted {
                    let again = state.workers.iter().any(|worker| {
                        let life = worker.life.as_ref();
                        life.is_some_and(|life| life.runs.iter().any(|other| other.task == task && other.run > run))
                    });
                    if again {
                        let violation = format!("TWICE: {task} runs again while the end of run {run} as done is taken note of");
                        self.record.line(violation.clone());
                        state.violations.push(violation);
                    }
                    state.noted.insert(task, run);
                }
                continue;
            }
            // The life that took the order is over.
            if life.born != born {
                return (0, String::new());
            }
            if life.ends.is_empty() && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                state = self.changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let running: Vec<String> = life
                .runs
                .iter()
                .map(|run| {
                    let percent = ((clock - run.since) * 100 / run.work.max(1)).min(100);
                    format!("[{},{},\"\",{percent},0]", quote(&run.task), run.run)
                })
                .collect();
            let finished: Vec<String> = life
                .ends
                .iter()
                .take(500)
                .map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how))
                .collect();
            let (running, finished) = (running.join(","), finished.join(","));
            return (
                200,
                format!("{{\"clock_ms\":{clock},\"born\":{},\"running\":[{running}],\"finished\":[{finished}]}}", life.born),
            );
        }
    }

    /// Ends the runs that are done, stopped or lapsed.
    fn advance(&self) {
        let mut state = self.lock();
        let mut ended = false;
        for worker in &mut state.workers {
            let Some(life) = &mut worker.life else { continue };
            let clock = life.clock();
            let lapsed = clock >= life.deadline;
            let mut index = 0;
            while index < life.runs.len() {
                let run = &life.runs[index];
                let how = if run.stops.is_some_and(|at| clock >= at) {
                    "stopped"
                } else if lapsed {
                    "lapsed"
                } else if clock - run.since >= run.work {
                    "done"
                } else {
                    index += 1;
                    continue;
                };
                let (task, run) = life.end(index, how);
                self.record.line(format!("{}: end of {task} run {run}, {how}", worker.spec.id));
                ended = true;
            }
            if lapsed {
                life.ends.iter_mut().for_each(|end| end.lapsed = true);
            }
        }
        if ended {
            self.changed.notify_all();
        }
    }
}
