//! Supervisor: connections to this daemon's share of the workers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::http_client::{HttpCall, HttpClient};
use crate::ids::{Incarnation, RegionName, WorkerName};
use crate::kernel::{Kernel, Service, Stop};
use crate::links::Links;
use crate::message::{Leader, Request, Response};
use crate::request_outcomes::{RequestOutcomes, UNRESPONSIVE_AFTER, WorkerRequest};
use crate::worker::{BatchReply, CLOCK_HEADER, Changes, CommandBatch};

#[cfg(test)]
mod tests;

/// How long a worker may hold a request for changes. Each poll takes about 100 bytes in each direction even without
/// changes, so that a shorter wait costs more of the control plane's bytes.
const POLL_WAIT: Millis = Millis(2_000);

/// Time beyond the wait within which the answer must be there. After a failure the worker is asked
/// without a wait, so that silence shows after about 4 s.
const POLL_MARGIN: Millis = Millis(1_000);

/// Longest time for an answer to commands.
const COMMAND_TIMEOUT: Millis = Millis(2_000);

/// Longest time for the scheduler to take a report.
const REPORT_TIMEOUT: Millis = Millis(1_500);

/// Pause after a failed poll, and between reports of silence.
const RETRY_PAUSE: Millis = Millis(250);

/// Time between two reports of the workers without changes.
pub(crate) const ALIVE_INTERVAL: Millis = Millis(2_000);

struct Watched {
    address: String,
    stop: Stop,
}

/// The supervisor of a share of the workers.
pub(crate) struct Supervisor {
    kernel: Arc<Kernel>,
    client: Arc<HttpClient>,
    region: RegionName,
    log: slog::Logger,
    watched: Mutex<BTreeMap<WorkerName, Watched>>,
    /// Workers that answered without changes since the last report, each with its clock.
    alive: Mutex<BTreeMap<WorkerName, Option<Millis>>>,
    tallies: Mutex<BTreeMap<WorkerName, RequestOutcomes>>,
}

impl Service for Supervisor {
    const NAME: &'static str = "supervisor";

    fn stop(&self) -> crate::edge::BoxFuture<'_, ()> {
        Box::pin(async {
            self.set_share(&[]);
        })
    }
}

impl Supervisor {
    pub(crate) fn new(
        kernel: Arc<Kernel>,
        client: Arc<HttpClient>,
        region: RegionName,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            kernel,
            client,
            region,
            log,
            watched: Mutex::default(),
            alive: Mutex::default(),
            tallies: Mutex::default(),
        })
    }

    /// Starts and ends watches so that exactly these workers, with their addresses, are watched.
    pub(crate) fn set_share(&self, share: &[(WorkerName, String)]) {
        let wanted: BTreeMap<&WorkerName, &String> = share.iter().map(|(name, address)| (name, address)).collect();
        let mut tallies = self.tallies.lock().expect("tallies lock");
        tallies.retain(|name, _| wanted.contains_key(name));
        drop(tallies);
        let mut watched = self.watched.lock().expect("watched lock");
        watched.retain(|name, entry| {
            let keep = wanted.get(name).is_some_and(|address| **address == entry.address);
            if !keep {
                slog::info!(self.log, "stop watching worker"; "worker" => %name);
                entry.stop.raise();
            }
            keep
        });
        for (name, address) in wanted {
            if !watched.contains_key(name) {
                slog::info!(self.log, "watch worker"; "worker" => %name, "address" => address);
                let stop = Stop::new();
                watched.insert(
                    name.clone(),
                    Watched {
                        address: address.clone(),
                        stop: stop.clone(),
                    },
                );
                self.spawn_watch(name.clone(), address.clone(), stop);
            }
        }
    }

    /// Passes commands on to a worker at `address`.
    ///
    /// # Errors
    ///
    /// With `ran: unknown` if the commands may have arrived.
    pub(crate) async fn command(&self, worker: &WorkerName, address: &str, batch: &CommandBatch) -> Result<BatchReply> {
        let reply = self.send_commands(address, batch).await;
        self.count(worker, WorkerRequest::Commands, &reply);
        reply
    }

    async fn send_commands(&self, address: &str, batch: &CommandBatch) -> Result<BatchReply> {
        let body = serde_json::to_vec(batch).map_err(|e| Error::new(ErrorKind::Internal, "encode commands", e))?;
        let call = HttpCall {
            method: Method::POST,
            path: "/v1/commands",
            headers: &[("content-type", "application/json")],
            body: body.into(),
            timeout: COMMAND_TIMEOUT,
        };
        let answer = self.client.send(address, call).await?;
        if !answer.status.is_success() {
            let message = format!("the worker answered {}", answer.status);
            return Err(Error::msg(ErrorKind::Unavailable, "send commands", message)
                .at(address)
                .ran(Ran::Unknown));
        }
        serde_json::from_slice(&answer.body).map_err(|e| {
            Error::new(ErrorKind::Unavailable, "read command reply", e)
                .at(address)
                .ran(Ran::Unknown)
        })
    }

    /// Counts the outcome of a request. Errors of this daemon itself say nothing about the worker.
    fn count<T>(&self, worker: &WorkerName, asked: WorkerRequest, result: &Result<T>) {
        let success = match result {
            Ok(_) => true,
            Err(error) if matches!(error.kind, ErrorKind::Unavailable | ErrorKind::Timeout) => false,
            Err(_) => return,
        };
        let mut tallies = self.tallies.lock().expect("tallies lock");
        let tally = tallies.entry(worker.clone()).or_default();
        tally.count(self.kernel.clock.now(), asked, success);
    }

    /// Takes the outcomes of the requests to workers that had failures lately.
    fn take_outcomes(&self) -> Vec<(WorkerName, Vec<bool>)> {
        let now = self.kernel.clock.now();
        let mut tallies = self.tallies.lock().expect("tallies lock");
        let taken = tallies.iter_mut().map(|(worker, tally)| (worker, tally.take(now)));
        let told = taken.filter(|(_, outcomes)| !outcomes.is_empty());
        told.map(|(worker, outcomes)| (worker.clone(), outcomes)).collect()
    }

    /// Tells the scheduler, once each interval, which workers answered without changes, and which failed requests.
    pub(crate) async fn report_alive(self: Arc<Self>) {
        loop {
            async_io::Timer::after(ALIVE_INTERVAL.duration()).await;
            let workers: Vec<(WorkerName, Option<Millis>)> =
                std::mem::take(&mut *self.alive.lock().expect("alive lock"))
                    .into_iter()
                    .collect();
            let outcomes = self.take_outcomes();
            if workers.is_empty() && outcomes.is_empty() {
                continue;
            }
            let Ok(links) = self.kernel.find::<Links>() else { return };
            let request = Request::Alive {
                region: self.region.clone(),
                workers,
                outcomes,
            };
            if let Err(error) = links.to_leader(&self.region, request, REPORT_TIMEOUT).await {
                slog::debug!(self.log, "report failed"; "error" => %error);
            }
        }
    }

    fn spawn_watch(&self, worker: WorkerName, address: String, stop: Stop) {
        let Ok(me) = self.kernel.find::<Self>() else { return };
        self.kernel.spawn_until_stop(async move {
            let watch = Watch {
                supervisor: me,
                worker,
                address,
                after: 0,
                incarnation: None,
                leader: None,
                leaving: false,
                failing: false,
                heard: Millis::ZERO,
            };
            futures_lite::future::or(watch.run(), async move { stop.wait().await }).await;
        });
    }

    async fn poll(&self, address: &str, known: Option<Incarnation>, after: u64, wait: Millis) -> Result<Polled> {
        let mut path = format!("/v1/changes?after={after}&wait={wait}", wait = wait.0);
        if let Some(incarnation) = known.filter(|_| after != 0) {
            path += &format!("&incarnation={incarnation}");
        }
        let call = HttpCall {
            method: Method::GET,
            path: &path,
            headers: &[],
            body: Bytes::new(),
            timeout: wait + POLL_MARGIN,
        };
        let answer = self.client.send(address, call).await?;
        if answer.status == StatusCode::NO_CONTENT && after != 0 {
            return Ok(Polled::Unchanged(read_clock(&answer.headers)));
        }
        if answer.status != StatusCode::OK {
            let message = format!("the worker answered {}", answer.status);
            return Err(Error::msg(ErrorKind::Unavailable, "poll worker", message).at(address));
        }
        serde_json::from_slice(&answer.body)
            .map(Polled::Changes)
            .map_err(|e| Error::new(ErrorKind::Unavailable, "poll worker", e).at(address))
    }
}

/// A worker's answer to a poll.
enum Polled {
    /// It has the incarnation and the newest change that the poll named.
    Unchanged(Option<Millis>),
    /// Anything else.
    Changes(Changes),
}

/// The worker's clock in the header of an answer without a body.
fn read_clock(headers: &HeaderMap) -> Option<Millis> {
    headers.get(CLOCK_HEADER)?.to_str().ok()?.parse().ok().map(Millis)
}

/// The watch over one worker.
struct Watch {
    supervisor: Arc<Supervisor>,
    worker: WorkerName,
    address: String,
    after: u64,
    incarnation: Option<Incarnation>,
    leader: Option<Leader>,
    leaving: bool,
    /// Whether the last poll failed.
    failing: bool,
    heard: Millis,
}

impl Watch {
    async fn run(mut self) {
        self.heard = self.supervisor.kernel.clock.now();
        loop {
            self.follow_leader();
            let wait = if self.failing { Millis::ZERO } else { POLL_WAIT };
            let polled = self
                .supervisor
                .poll(&self.address, self.incarnation, self.after, wait)
                .await;
            self.supervisor.count(&self.worker, WorkerRequest::Changes, &polled);
            match polled {
                Ok(Polled::Unchanged(clock)) => self.unchanged(clock),
                Ok(Polled::Changes(changes)) => self.take(changes).await,
                Err(error) => self.silent(&error).await,
            }
        }
    }

    /// A new scheduler gets the whole inventory first.
    fn follow_leader(&mut self) {
        let links = self.supervisor.kernel.find::<Links>().ok();
        let leader = links.and_then(|links| links.leader(&self.supervisor.region));
        if leader != self.leader {
            self.leader = leader;
            self.after = 0;
        }
    }

    /// The answer came, and the scheduler knows all that it could contain.
    fn unchanged(&mut self, clock: Option<Millis>) {
        self.answered();
        let mut alive = self.supervisor.alive.lock().expect("alive lock");
        alive.insert(self.worker.clone(), clock);
    }

    fn answered(&mut self) {
        self.heard = self.supervisor.kernel.clock.now();
        self.failing = false;
    }

    async fn take(&mut self, changes: Changes) {
        self.answered();
        let restarted = self
            .incarnation
            .is_some_and(|incarnation| incarnation != changes.incarnation);
        self.incarnation = Some(changes.incarnation);
        if restarted {
            let mut tallies = self.supervisor.tallies.lock().expect("tallies lock");
            tallies.remove(&self.worker);
        }
        if restarted && !changes.full {
            self.after = 0;
            return;
        }
        let news = changes.full
            || changes.leaving != self.leaving
            || !changes.tasks.is_empty()
            || changes.change != self.after;
        if !news {
            self.unchanged(changes.clock);
            return;
        }
        let change = changes.change;
        let leaving = changes.leaving;
        if self.report(Some(changes)).await {
            self.after = change;
            self.leaving = leaving;
        } else {
            self.after = 0;
            async_io::Timer::after(RETRY_PAUSE.duration()).await;
        }
    }

    async fn silent(&mut self, error: &Error) {
        self.failing = true;
        let silence = self.supervisor.kernel.clock.now().since(self.heard);
        slog::debug!(self.supervisor.log, "poll failed"; "worker" => %self.worker, "error" => %error);
        if silence >= UNRESPONSIVE_AFTER {
            self.after = 0;
            self.report(None).await;
        }
        async_io::Timer::after(RETRY_PAUSE.duration()).await;
    }

    async fn report(&self, changes: Option<Changes>) -> bool {
        let Ok(links) = self.supervisor.kernel.find::<Links>() else {
            return false;
        };
        let Some(leader) = &self.leader else { return false };
        let request = Request::Report {
            region: self.supervisor.region.clone(),
            worker: self.worker.clone(),
            changes: changes.map(Box::new),
        };
        matches!(
            links.to_daemon(&leader.daemon, request, REPORT_TIMEOUT).await,
            Ok(Response::Ack)
        )
    }
}
