//! The platform: table service, object store and list of VMs, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use async_io::Timer;
use hyper::{Method, StatusCode};
use pistachiostair::{Clock, Commit, HttpBody, HttpReply, HttpRequest, Millis, Row, Transaction, Vm};
use serde::{Deserialize, Serialize};

use crate::server::{Fault, Mode, reply_invalid, reply_json, reply_lost, reply_status, segments, serve};

/// Connections that the platform takes at once.
const CONNECTIONS: usize = 4_000;

/// Tables with one version counter and conditional transactions over several rows.
#[derive(Debug, Default)]
pub struct Tables {
    version: u64,
    rows: BTreeMap<String, (u64, String)>,
}

impl Tables {
    /// Reads a row.
    pub fn get(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Reads at most `limit` rows whose key starts with `prefix` and sorts after `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .filter_map(|(key, _)| self.get(key))
            .collect()
    }

    /// Commits a transaction, or nothing of it.
    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        for check in &transaction.checks {
            let version = self.rows.get(&check.key).map_or(0, |(version, _)| *version);
            if version != check.version {
                return Commit::Conflict {
                    key: check.key.clone(),
                    version,
                };
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Commit::Done { version: self.version }
    }
}

/// What the platform was asked since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Counts {
    /// Rows and ranges read, objects read, lists of VMs read.
    pub reads: u64,
    /// Rows written or deleted.
    pub row_writes: u64,
    /// Objects written or deleted.
    pub object_writes: u64,
    /// Transactions that took effect.
    pub transactions: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Requests that showed a fault.
    pub faults: u64,
}

#[derive(Default)]
struct State {
    tables: Tables,
    objects: BTreeMap<String, Vec<u8>>,
    /// The list as it is shown.
    vms: BTreeMap<String, Vm>,
    /// Changes that are not shown yet, with their time; no VM if one was removed.
    changes: VecDeque<(Millis, String, Option<Vm>)>,
    fault: Fault,
    counts: Counts,
}

/// The platform.
pub struct Platform {
    clock: Clock,
    lag: Millis,
    state: Mutex<State>,
}

impl Platform {
    /// A platform whose list of VMs lags by `lag`.
    pub fn new(lag: Millis) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            lag,
            state: Mutex::default(),
        })
    }

    /// Serves in the background and returns the address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn serve(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        let platform = self.clone();
        let handler = Arc::new(move |request| {
            let platform = platform.clone();
            Box::pin(async move { platform.answer(request).await }) as _
        });
        serve(executor, listen, CONNECTIONS, handler).await
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        let path = segments(&request.path);
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        // The list is changed by the harness, on behalf of the platform: this shows no faults.
        let harness = path[0] == "control" || (path.get(1) == Some(&"vms") && request.method != Method::GET);
        let fault = if harness { Fault::default() } else { self.state().fault };
        let mode = fault.draw();
        if mode != Mode::None {
            self.state().counts.faults += 1;
        }
        match mode {
            Mode::Down => return reply_status(StatusCode::SERVICE_UNAVAILABLE),
            Mode::Freeze => return std::future::pending().await,
            Mode::Slow => {
                Timer::after(Millis(fault.millis).duration()).await;
            }
            _ => {}
        }
        let reply = self.carry_out(&request, &path);
        if mode == Mode::Lose && request.method != Method::GET {
            return if fastrand::bool() {
                reply_lost()
            } else {
                reply_status(StatusCode::INTERNAL_SERVER_ERROR)
            };
        }
        reply
    }

    fn carry_out(&self, request: &HttpRequest, path: &[&str]) -> HttpReply {
        match (&request.method, path) {
            (&Method::GET, ["v1", "rows", key]) => {
                let mut state = self.state();
                state.counts.reads += 1;
                state.tables.get(key).map_or_else(not_found, |row| reply_json(&row))
            }
            (&Method::GET, ["v1", "scan"]) => self.scan(request),
            (&Method::POST, ["v1", "transactions"]) => match serde_json::from_slice(&request.body) {
                Ok(transaction) => self.commit(&transaction),
                Err(error) => reply_invalid(error),
            },
            (_, ["v1", "objects", key]) => self.object(request, key),
            (&Method::GET, ["v1", "vms"]) => self.reply_list(request),
            (&Method::POST, ["v1", "vms"]) => match serde_json::from_slice::<Vm>(&request.body) {
                Ok(vm) => self.change_list(vm.name.clone(), Some(vm)),
                Err(error) => reply_invalid(error),
            },
            (&Method::DELETE, ["v1", "vms", name]) => self.change_list((*name).to_owned(), None),
            (&Method::GET, ["control", "counts"]) => reply_json(&self.state().counts),
            (&Method::POST, ["control", "fault"]) => match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.state().fault = fault;
                    reply_status(StatusCode::OK)
                }
                Err(error) => reply_invalid(error),
            },
            _ => not_found(),
        }
    }

    fn scan(&self, request: &HttpRequest) -> HttpReply {
        let text = |name: &str| request.query.get(name).map(String::as_str).unwrap_or_default();
        let limit = match text("limit") {
            "" => 1_000,
            digits => match digits.parse() {
                Ok(limit) => limit,
                Err(error) => return reply_invalid(format!("limit {digits:?}: {error}")),
            },
        };
        let mut state = self.state();
        state.counts.reads += 1;
        reply_json(&state.tables.scan(text("prefix"), text("after"), limit))
    }

    fn commit(&self, transaction: &Transaction) -> HttpReply {
        let mut state = self.state();
        let commit = state.tables.commit(transaction);
        match commit {
            Commit::Done { .. } => {
                state.counts.transactions += 1;
                state.counts.row_writes += transaction.writes.len() as u64;
            }
            Commit::Conflict { .. } => state.counts.conflicts += 1,
        }
        reply_json(&commit)
    }

    fn object(&self, request: &HttpRequest, key: &str) -> HttpReply {
        let mut state = self.state();
        match request.method {
            Method::GET => {
                state.counts.reads += 1;
                state.objects.get(key).map_or_else(not_found, |body| HttpReply {
                    status: StatusCode::OK,
                    headers: Vec::new(),
                    body: HttpBody::Full(body.clone().into()),
                })
            }
            Method::PUT => {
                state.counts.object_writes += 1;
                state.objects.insert(key.to_owned(), request.body.to_vec());
                reply_status(StatusCode::OK)
            }
            Method::DELETE => {
                state.counts.object_writes += 1;
                state
                    .objects
                    .remove(key)
                    .map_or_else(not_found, |_| reply_status(StatusCode::OK))
            }
            _ => reply_status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn change_list(&self, name: String, vm: Option<Vm>) -> HttpReply {
        let now = self.clock.now();
        self.state().changes.push_back((now, name, vm));
        reply_status(StatusCode::OK)
    }

    /// The list with an entity tag, or status 304 if the request names this tag.
    fn reply_list(&self, request: &HttpRequest) -> HttpReply {
        let body = serde_json::to_vec(&self.list()).expect("the list is plain data");
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let mut reply = match request.headers.get("if-none-match") == Some(&tag) {
            true => reply_status(StatusCode::NOT_MODIFIED),
            false => HttpReply::json(StatusCode::OK, body),
        };
        reply.headers.push(("etag", tag));
        reply
    }

    /// The list as it was before the lag.
    fn list(&self) -> Vec<Vm> {
        let now = self.clock.now();
        let mut state = self.state();
        state.counts.reads += 1;
        while let Some((_, name, vm)) = state.changes.pop_front_if(|(at, ..)| *at + self.lag <= now) {
            match vm {
                Some(vm) => state.vms.insert(name, vm),
                None => state.vms.remove(&name),
            };
        }
        state.vms.values().cloned().collect()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("platform lock")
    }
}

fn not_found() -> HttpReply {
    reply_status(StatusCode::NOT_FOUND)
}
