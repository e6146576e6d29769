//! A worker that reports over HTTP and pretends to run tasks.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use hyper::{Method, StatusCode};
use pistachiostair::{
    CLOCK_HEADER, Clock, CommandBatch, HttpReply, HttpRequest, Incarnation, MemberState, Millis, Stop, Vm, VmRole,
    WorkerInfo,
};

use crate::inventory::{Inventory, LogEntry};
use crate::server::{Client, Fault, Mode, ask, reply_invalid, reply_json, reply_lost, reply_status, segments, serve};

/// Connections that a worker takes at once, as real ones do.
const CONNECTIONS: usize = 60;
/// Pause between attempts to enter the platform's list.
const REGISTER_PAUSE: Millis = Millis(500);
/// Longest wait of a poll for changes.
const MAX_WAIT: u64 = 60_000;

/// How a worker enters the platform's list.
#[derive(Clone)]
pub struct Listed {
    /// Client that all identities of the process share.
    pub client: Arc<Client>,
    /// Address of the platform.
    pub platform: String,
}

/// One worker identity.
pub struct StandinWorker {
    clock: Clock,
    platform: Option<Listed>,
    inventory: Mutex<Inventory>,
    fault: Mutex<Fault>,
    /// Raised and replaced at each change.
    changed: Mutex<Stop>,
    address: OnceLock<SocketAddr>,
    log: Option<File>,
}

impl StandinWorker {
    /// A worker with a new incarnation. Its log is appended to `log`, so that it outlives the process.
    pub fn new(info: WorkerInfo, platform: Option<Listed>, log: Option<File>) -> Arc<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = Incarnation(since.as_micros() as u64);
        Arc::new(Self {
            clock: Clock::start(),
            platform,
            inventory: Mutex::new(Inventory::new(info, incarnation, since.as_millis() as u64)),
            fault: Mutex::default(),
            changed: Mutex::new(Stop::new()),
            address: OnceLock::new(),
            log,
        })
    }

    /// Serves and runs tasks in the background, and returns the address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        let worker = self.clone();
        let handler = Arc::new(move |request| {
            let worker = worker.clone();
            Box::pin(async move { worker.answer(request).await }) as _
        });
        let address = serve(executor, listen, CONNECTIONS, handler).await?;
        let _ = self.address.set(address);
        let worker = self.clone();
        executor.spawn(async move { worker.run_tasks().await }).detach();
        Ok(address)
    }

    async fn run_tasks(&self) {
        loop {
            let changed = self.change_signal();
            let next = self.update(|inventory, _| inventory.next_end());
            let due = async {
                match next {
                    Some(at) => {
                        Timer::after(at.since(self.clock.now()).duration()).await;
                    }
                    None => std::future::pending().await,
                }
            };
            future::or(due, changed.wait()).await;
        }
    }

    /// Enters the platform's list, or changes the entry, and tries until that succeeds.
    pub async fn enter_list(&self, state: MemberState) {
        let (Some(listed), Some(address)) = (&self.platform, self.address.get()) else {
            return;
        };
        let info = self.inventory.lock().expect("inventory lock").info.clone();
        let vm = Vm {
            name: info.name.to_string(),
            role: VmRole::Worker,
            address: address.to_string(),
            state,
            region: Some(info.region),
        };
        while let Err(error) = ask::<()>(&listed.client, &listed.platform, Method::POST, "/v1/vms", &vm).await {
            eprintln!("worker {}: enter the platform's list: {error:#}", vm.name);
            Timer::after(REGISTER_PAUSE.duration()).await;
        }
    }

    /// Changes the inventory after its tasks were brought up to now, and wakes who waits for changes.
    fn update<T>(&self, change: impl FnOnce(&mut Inventory, Millis) -> T) -> T {
        let mut inventory = self.inventory.lock().expect("inventory lock");
        let before = inventory.change();
        let logged = inventory.log().len();
        let now = self.clock.now();
        inventory.advance(now);
        let result = change(&mut inventory, now);
        self.append_log(&inventory.log()[logged..]);
        if inventory.change() != before {
            std::mem::take(&mut *self.changed.lock().expect("signal lock")).raise();
        }
        result
    }

    fn append_log(&self, entries: &[LogEntry]) {
        let Some(mut file) = self.log.as_ref() else { return };
        for entry in entries {
            let line = serde_json::to_string(entry).expect("a log entry is plain data") + "\n";
            file.write_all(line.as_bytes()).expect("write the log file");
        }
    }

    fn change_signal(&self) -> Stop {
        self.changed.lock().expect("signal lock").clone()
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        let path = segments(&request.path);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        let fault = *self.fault.lock().expect("fault lock");
        let mode = if path[0] == "control" { Mode::None } else { fault.draw() };
        match mode {
            Mode::Freeze => return std::future::pending().await,
            Mode::Down => return reply_status(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Slow => {
                Timer::after(Millis(fault.millis).duration()).await;
            }
            _ => {}
        }
        match (&request.method, &path[..]) {
            (&Method::POST, ["v1", "commands"]) => match serde_json::from_slice::<CommandBatch>(&request.body) {
                Ok(batch) => {
                    let reply = self.update(|inventory, now| inventory.carry_out(now, &batch));
                    if mode == Mode::LoseReply {
                        reply_lost()
                    } else {
                        reply_json(&reply)
                    }
                }
                Err(error) => reply_invalid(error),
            },
            (&Method::GET, ["v1", "changes"]) => self.poll(&request).await,
            (&Method::GET, ["control", "log"]) => self.update(|inventory, _| reply_json(&inventory.log())),
            (&Method::POST, ["control", "fault"]) => match serde_json::from_slice(&request.body) {
                Ok(fault) => self.set_fault(fault).await,
                Err(error) => reply_invalid(error),
            },
            _ => reply_status(StatusCode::NOT_FOUND),
        }
    }

    async fn poll(&self, request: &HttpRequest) -> HttpReply {
        let number = |name: &str| match request.query.get(name) {
            Some(digits) => digits.parse::<u64>().map_err(|e| format!("{name} {digits:?}: {e}")),
            None => Ok(0),
        };
        let (after, wait, known) = match (number("after"), number("wait"), number("incarnation")) {
            (Ok(after), Ok(wait), Ok(known)) => (after, Millis(wait.min(MAX_WAIT)), Incarnation(known)),
            (Err(reason), _, _) | (_, Err(reason), _) | (_, _, Err(reason)) => return reply_invalid(reason),
        };
        let until = self.clock.now() + wait;
        loop {
            let changed = self.change_signal();
            let (newest, now) = self.update(|inventory, now| (inventory.change(), now));
            if newest != after || now >= until {
                return self.update(|inventory, now| {
                    let changes = inventory.changes(now, after);
                    if changes.incarnation == known && changes.change == after && !changes.full {
                        return reply_unchanged(now);
                    }
                    reply_json(&changes)
                });
            }
            let lapsed = async {
                Timer::after(until.since(now).duration()).await;
            };
            future::or(changed.wait(), lapsed).await;
        }
    }

    async fn set_fault(&self, fault: Fault) -> HttpReply {
        *self.fault.lock().expect("fault lock") = fault;
        self.update(|inventory, _| {
            inventory.refuse = fault.mode == Mode::Refuse;
            inventory.fail = fault.mode == Mode::FailAll;
            if fault.mode == Mode::Leave {
                inventory.leave();
            }
        });
        if fault.mode == Mode::Leave {
            self.enter_list(MemberState::Leaving).await;
        }
        reply_status(StatusCode::OK)
    }
}

/// The answer to a poll that knows all.
fn reply_unchanged(now: Millis) -> HttpReply {
    HttpReply {
        headers: vec![(CLOCK_HEADER, now.0.to_string())],
        ..HttpReply::text(StatusCode::NO_CONTENT, "")
    }
}
