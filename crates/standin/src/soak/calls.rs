//! Callers of a soak: each submits one job, may cancel it, and asks for its state until it has ended.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_io::Timer;
use hyper::{Method, StatusCode};
use pistachiostair::{Millis, Stop};
use serde_json::Value;

use super::plan::PlannedJob;
use crate::node_fleet::{API_KEY, NodeCaller, URGENT};

/// Time for which a caller waits for an answer: its deadline and the slack that the daemons have.
pub(crate) const PATIENCE: Millis = Millis(4_500);
/// Pause after an attempt without effect, and between two questions for a job's state.
const PAUSE: Millis = Millis(400);

/// One request and what its caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) daemon: usize,
    pub(crate) method: Method,
    pub(crate) sent: Millis,
    pub(crate) ended: Millis,
    /// How long the caller waited at most.
    pub(crate) patience: Millis,
    /// None if there was no answer.
    pub(crate) status: Option<StatusCode>,
    /// State in the answer.
    pub(crate) state: Option<String>,
}

impl Attempt {
    /// Whether the connection stayed open without an answer until the caller gave up.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.status.is_none() && self.ended.since(self.sent) >= self.patience
    }
}

/// A job and what its caller saw of it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) job: PlannedJob,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) accepted: Option<Millis>,
    /// When the first cancellation was sent, and when one was acknowledged.
    pub(crate) cancel_sent: Option<Millis>,
    pub(crate) cancelled: Option<Millis>,
    /// When the job was first shown as ended, and how.
    pub(crate) ended: Option<(Millis, String)>,
}

impl Record {
    pub(crate) fn new(job: PlannedJob) -> Self {
        Self {
            job,
            attempts: Vec::new(),
            accepted: None,
            cancel_sent: None,
            cancelled: None,
            ended: None,
        }
    }

    /// Whether all attempts to submit it were refused as not accepted.
    pub(crate) fn is_refused(&self) -> bool {
        let refused = |status| matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
        let mut submissions = self.attempts.iter().filter(|attempt| attempt.method == Method::POST);
        submissions.all(|attempt| attempt.status.is_some_and(refused))
    }
}

/// Sends the requests for one job.
pub(crate) struct JobCaller {
    pub(crate) caller: NodeCaller,
    pub(crate) daemons: usize,
    pub(crate) started: Instant,
    pub(crate) record: Arc<Mutex<Record>>,
    /// Raised when the callers are no longer awaited.
    pub(crate) stop: Stop,
}

impl JobCaller {
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Submits the job at its time, and follows it until it has ended.
    pub(crate) async fn run(self) {
        let job = self.record.lock().expect("record lock").job;
        pause(job.at).await;
        if !self.submit(&job).await {
            return;
        }
        let accepted = self.now();
        self.record.lock().expect("record lock").accepted = Some(accepted);
        let mut cancel = job.cancel;
        let mut repeated = !job.repeated;
        for turn in 1.. {
            let daemon = (job.daemon + turn) % self.daemons;
            if cancel.is_some_and(|delay| self.now().since(accepted) >= delay) {
                if matches!(self.cancel(daemon, &job).await, Some(StatusCode::OK | StatusCode::GONE)) {
                    cancel = None;
                }
            } else if !repeated {
                repeated = true;
                self.send(daemon, Method::POST, &job, PATIENCE).await;
            } else if self.look(daemon, &job).await && cancel.is_none() {
                // One more look, since the state of an ended job must not change.
                pause(PAUSE).await;
                self.look(daemon + 1, &job).await;
                return;
            } else if self.record.lock().expect("record lock").ended.is_some() {
                cancel = None;
            }
            if self.stop.is_raised() {
                return;
            }
            pause(PAUSE).await;
        }
    }

    /// Whether the job was accepted.
    async fn submit(&self, job: &PlannedJob) -> bool {
        for turn in 0..job.tries {
            let patience = job.patience.filter(|_| turn == 0).unwrap_or(PATIENCE);
            let daemon = (job.daemon + turn) % self.daemons;
            if self.send(daemon, Method::POST, job, patience).await == Some(StatusCode::OK) {
                return true;
            }
            pause(PAUSE).await;
        }
        false
    }

    async fn cancel(&self, daemon: usize, job: &PlannedJob) -> Option<StatusCode> {
        let now = self.now();
        self.record.lock().expect("record lock").cancel_sent.get_or_insert(now);
        let status = self.send(daemon, Method::DELETE, job, PATIENCE).await;
        if status == Some(StatusCode::OK) {
            self.record.lock().expect("record lock").cancelled = Some(self.now());
        }
        status
    }

    /// Asks for the job's state. Returns whether it has ended.
    async fn look(&self, daemon: usize, job: &PlannedJob) -> bool {
        self.send(daemon % self.daemons, Method::GET, job, PATIENCE).await;
        let mut record = self.record.lock().expect("record lock");
        let last = record.attempts.last().cloned();
        let ended = last.and_then(|attempt| Some((attempt.ended, attempt.state?)));
        let Some((at, state)) = ended.filter(|(_, state)| !matches!(state.as_str(), "queued" | "running")) else {
            return false;
        };
        record.ended.get_or_insert((at, state));
        true
    }

    async fn send(&self, daemon: usize, method: Method, job: &PlannedJob, patience: Millis) -> Option<StatusCode> {
        let sent = self.now();
        let body = match method {
            Method::POST => job.body().to_string(),
            _ => Value::Null.to_string(),
        };
        let path = format!("{URGENT}{}", job.key);
        let order = (method.clone(), path.as_str());
        let answer = self
            .caller
            .send(daemon, order, body.into_bytes(), API_KEY, patience)
            .await;
        let status = answer.as_ref().map(|(status, _)| *status);
        let attempt = Attempt {
            daemon,
            method,
            sent,
            ended: self.now(),
            patience,
            status,
            state: answer.and_then(|(_, body)| Some(body["state"].as_str()?.to_owned())),
        };
        self.record.lock().expect("record lock").attempts.push(attempt);
        status
    }
}

pub(crate) async fn pause(span: Millis) {
    Timer::after(span.duration()).await;
}
