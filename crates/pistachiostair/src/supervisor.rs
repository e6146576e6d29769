//! Supervisor of this daemon's share of the workers.
//!
//! It polls each worker for changes and reports them to the region's scheduler, delivers the scheduler's commands, and
//! reports the outcomes of its requests to workers that fail some. A worker that does not answer is reported as
//! unresponsive.

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

/// Longest time for which a worker may delay the answer to a poll while it has no changes. Each poll takes about 100
/// bytes in each direction even without changes, so a shorter wait causes more control traffic.
const POLL_WAIT: Millis = Millis(2_000);

/// Time limit for the answer to a poll, beyond the wait. After a failure the worker is polled without a wait, so that
/// an unresponsive worker is detected after about 4 s.
const POLL_MARGIN: Millis = Millis(1_000);

/// Time limit for a worker's answer to commands.
const COMMAND_TIMEOUT: Millis = Millis(2_000);

/// Time limit for the scheduler's answer to a report.
const REPORT_TIMEOUT: Millis = Millis(1_500);

/// Pause after a failed poll or report, and so between two reports that a worker is unresponsive.
const RETRY_PAUSE: Millis = Millis(250);

/// Time between two reports of the workers that answered without changes.
pub(crate) const ALIVE_INTERVAL: Millis = Millis(2_000);

/// A supervised worker and the signal that ends its polls.
struct SupervisedWorker {
    address: String,
    stop: Stop,
}

/// Service that polls this daemon's share of the workers and delivers commands to them.
pub(crate) struct Supervisor {
    kernel: Arc<Kernel>,
    client: Arc<HttpClient>,
    region: RegionName,
    log: slog::Logger,
    watched: Mutex<BTreeMap<WorkerName, SupervisedWorker>>,
    /// Workers that answered without changes since the last report, each with its clock; `None` if the answer did not
    /// contain a valid clock.
    alive: Mutex<BTreeMap<WorkerName, Option<Millis>>>,
    request_outcomes: Mutex<BTreeMap<WorkerName, RequestOutcomes>>,
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
            request_outcomes: Mutex::default(),
        })
    }

    /// Replaces the set of supervised workers, each with its address. Polls of new workers start, those of removed ones
    /// end, and a worker whose address changed is polled anew.
    pub(crate) fn set_share(&self, share: &[(WorkerName, String)]) {
        let wanted: BTreeMap<&WorkerName, &String> = share.iter().map(|(name, address)| (name, address)).collect();
        let mut request_outcomes = self.request_outcomes.lock().expect("outcomes lock");
        request_outcomes.retain(|name, _| wanted.contains_key(name));
        drop(request_outcomes);
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
                    SupervisedWorker {
                        address: address.clone(),
                        stop: stop.clone(),
                    },
                );
                self.spawn_watch(name.clone(), address.clone(), stop);
            }
        }
    }

    /// Sends commands to the worker at `address`, and records the outcome of the request.
    ///
    /// # Errors
    ///
    /// With [`Ran::Unknown`] if the commands may have arrived.
    pub(crate) async fn command(&self, worker: &WorkerName, address: &str, batch: &CommandBatch) -> Result<BatchReply> {
        let reply = self.send_commands(address, batch).await;
        self.record_outcome(worker, WorkerRequest::Commands, &reply);
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

    /// Records the outcome of a request to a worker. Errors of this daemon itself are left out, since they say nothing
    /// about the worker.
    fn record_outcome<T>(&self, worker: &WorkerName, request: WorkerRequest, result: &Result<T>) {
        let success = match result {
            Ok(_) => true,
            Err(error) if matches!(error.kind, ErrorKind::Unavailable | ErrorKind::Timeout) => false,
            Err(_) => return,
        };
        let mut request_outcomes = self.request_outcomes.lock().expect("outcomes lock");
        let recorded = request_outcomes.entry(worker.clone()).or_default();
        recorded.record(self.kernel.clock.now(), request, success);
    }

    /// Takes the outcomes that the scheduler gets, of workers with recent failures. Those of other workers are dropped.
    fn take_outcomes(&self) -> Vec<(WorkerName, Vec<bool>)> {
        let now = self.kernel.clock.now();
        let mut request_outcomes = self.request_outcomes.lock().expect("outcomes lock");
        let taken = request_outcomes
            .iter_mut()
            .map(|(worker, recorded)| (worker, recorded.take(now)));
        let reported = taken.filter(|(_, outcomes)| !outcomes.is_empty());
        reported.map(|(worker, outcomes)| (worker.clone(), outcomes)).collect()
    }

    /// Reports to the scheduler, once each [`ALIVE_INTERVAL`], which workers answered without changes, and the outcomes
    /// of requests to workers with recent failures. Runs until it is dropped. A lost report is not repeated.
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
                slog::debug!(self.log, "report of workers without changes failed"; "error" => %error);
            }
        }
    }

    fn spawn_watch(&self, worker: WorkerName, address: String, stop: Stop) {
        let Ok(me) = self.kernel.find::<Self>() else { return };
        self.kernel.spawn_until_stop(async move {
            let watch = WorkerWatch {
                supervisor: me,
                worker,
                address,
                after: 0,
                incarnation: None,
                leader: None,
                leaving: false,
                failing: false,
                last_answer: Millis::ZERO,
            };
            futures_lite::future::or(watch.run(), async move { stop.wait().await }).await;
        });
    }

    /// Asks a worker for the changes after number `after`, or for all its tasks if that is 0. The worker may delay the
    /// answer by `wait` while it has none.
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
    /// Nothing changed since the incarnation and change number that the poll named. Contains the worker's clock, if the
    /// answer had a valid one.
    Unchanged(Option<Millis>),
    /// The changes since, or all tasks of the worker.
    Changes(Changes),
}

/// Reads the worker's clock from the header of an answer without a body; `None` if it is missing or malformed.
fn read_clock(headers: &HeaderMap) -> Option<Millis> {
    headers.get(CLOCK_HEADER)?.to_str().ok()?.parse().ok().map(Millis)
}

/// Loop that polls one worker and reports its changes to the scheduler.
struct WorkerWatch {
    supervisor: Arc<Supervisor>,
    worker: WorkerName,
    address: String,
    /// Number of the newest change that the scheduler has acknowledged; 0 if the next poll asks for all tasks.
    after: u64,
    /// Incarnation in the worker's last answer.
    incarnation: Option<Incarnation>,
    /// Scheduler that gets the reports; `None` while no leader is known.
    leader: Option<Leader>,
    /// Whether the worker was last reported as leaving.
    leaving: bool,
    /// Whether the last poll failed.
    failing: bool,
    /// Time of the last answer, or of the start.
    last_answer: Millis,
}

impl WorkerWatch {
    async fn run(mut self) {
        self.last_answer = self.supervisor.kernel.clock.now();
        loop {
            self.follow_leader();
            let wait = if self.failing { Millis::ZERO } else { POLL_WAIT };
            let polled = self
                .supervisor
                .poll(&self.address, self.incarnation, self.after, wait)
                .await;
            self.supervisor
                .record_outcome(&self.worker, WorkerRequest::Changes, &polled);
            match polled {
                Ok(Polled::Unchanged(clock)) => self.unchanged(clock),
                Ok(Polled::Changes(changes)) => self.handle_changes(changes).await,
                Err(error) => self.handle_poll_failure(&error).await,
            }
        }
    }

    /// Notes the region's leader. After a change, the next poll asks for all tasks, since a new scheduler knows none.
    fn follow_leader(&mut self) {
        let links = self.supervisor.kernel.find::<Links>().ok();
        let leader = links.and_then(|links| links.leader(&self.supervisor.region));
        if leader != self.leader {
            self.leader = leader;
            self.after = 0;
        }
    }

    /// Handles an answer without changes: the next periodic report names the worker as alive.
    fn unchanged(&mut self, clock: Option<Millis>) {
        self.record_answer();
        let mut alive = self.supervisor.alive.lock().expect("alive lock");
        alive.insert(self.worker.clone(), clock);
    }

    fn record_answer(&mut self) {
        self.last_answer = self.supervisor.kernel.clock.now();
        self.failing = false;
    }

    /// Handles an answer with changes: reports them to the scheduler. After a restart of the worker or a failed report,
    /// the next poll asks for all tasks.
    async fn handle_changes(&mut self, changes: Changes) {
        self.record_answer();
        let restarted = self
            .incarnation
            .is_some_and(|incarnation| incarnation != changes.incarnation);
        self.incarnation = Some(changes.incarnation);
        if restarted {
            let mut request_outcomes = self.supervisor.request_outcomes.lock().expect("outcomes lock");
            request_outcomes.remove(&self.worker);
        }
        if restarted && !changes.full {
            self.after = 0;
            return;
        }
        let changed = changes.full
            || changes.leaving != self.leaving
            || !changes.tasks.is_empty()
            || changes.change != self.after;
        if !changed {
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

    /// Handles a failed poll: reports the worker as unresponsive if it has not answered for [`UNRESPONSIVE_AFTER`].
    async fn handle_poll_failure(&mut self, error: &Error) {
        self.failing = true;
        let silence = self.supervisor.kernel.clock.now().since(self.last_answer);
        slog::debug!(self.supervisor.log, "poll failed"; "worker" => %self.worker, "error" => %error);
        if silence >= UNRESPONSIVE_AFTER {
            self.after = 0;
            self.report(None).await;
        }
        async_io::Timer::after(RETRY_PAUSE.duration()).await;
    }

    /// Reports changes to the scheduler, or with `None` that the worker is unresponsive. Returns whether the scheduler
    /// acknowledged the report.
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
