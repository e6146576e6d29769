//! Forwards callers' requests about step jobs to the region's scheduler.
//!
//! The scheduler runs in this daemon or in another one, which is reached over the peer link. Failed attempts are
//! repeated, so that callers see no error while the scheduler is re-elected or restarted.

use std::sync::Arc;

use async_io::Timer;
use futures_lite::future;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran};
use crate::kernel::{Kernel, Service};
use crate::message::{Failure, Request, Response};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::scheduler_service::SchedulerService;
use crate::steps::{StepAnswer, StepCall};

/// Pause between two attempts. A new scheduler needs about 100 ms once it has acquired the lease.
const RETRY_PAUSE: Millis = Millis(60);

/// Timeout of one attempt. A commit takes about 10 ms, and some 300 ms while the store is slow.
const ATTEMPT_TIMEOUT: Millis = Millis(800);

/// Longest time for which a call is retried while no attempt can have run. A crash of the scheduler is followed by an
/// election within 2.5 s, a restart by one within 0.2 s.
const SCHEDULER_WAIT: Millis = Millis(1_500);

/// Time from which on the answer to a read is logged: most take one round trip.
const SLOW_READ: Millis = Millis(1_000);

/// Retry time reported to the caller if the failure gives none.
const RETRY_AFTER: Millis = Millis(400);

/// Service that sends step calls of callers to the scheduler and records their outcome.
pub(crate) struct Gateway {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) log: slog::Logger,
}

impl Service for Gateway {
    const NAME: &'static str = "gateway";
}

impl Gateway {
    /// Sends a call to the scheduler and returns its answer. Transient failures are retried until `deadline`, or for
    /// [`SCHEDULER_WAIT`] if no attempt can have run. Every call may be repeated: a repeated submission is recognised
    /// by the key of its job.
    ///
    /// Failures are returned as [`StepAnswer::Failed`] with a retry time. Its `ran` is [`Ran::Unknown`] if any attempt
    /// may have run, even if the last one did not.
    pub(crate) async fn call(&self, call: &StepCall, deadline: Millis) -> StepAnswer {
        let started = self.kernel.clock.now();
        let (answer, attempts) = self.call_until(call, started, deadline).await;
        self.record_call(call, &answer, attempts, self.kernel.clock.now().since(started));
        answer
    }

    /// The answer and the number of attempts made.
    async fn call_until(&self, call: &StepCall, started: Millis, deadline: Millis) -> (StepAnswer, u32) {
        let mut ran = Ran::No;
        let mut attempts = 0;
        loop {
            let now = self.kernel.clock.now();
            attempts += 1;
            let failure = match self.attempt(call, deadline.since(now).min(ATTEMPT_TIMEOUT)).await {
                StepAnswer::Failed(failure) => failure,
                answer => return (answer, attempts),
            };
            if failure.ran != Ran::No {
                ran = Ran::Unknown;
            }
            let transient = matches!(failure.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
            // If an attempt may have run, only the answer of a later one tells the outcome, so retry for longer.
            let retry_until = match ran {
                Ran::No => deadline.min(started + SCHEDULER_WAIT),
                _ => deadline,
            };
            if !transient || self.kernel.clock.now() + RETRY_PAUSE >= retry_until {
                let retry = failure.retry.or(Some(RETRY_AFTER.0));
                return (StepAnswer::Failed(Failure { ran, retry, ..failure }), attempts);
            }
            Timer::after(RETRY_PAUSE.duration()).await;
        }
    }

    /// Counts every call in the metrics, and logs those that failed, may have changed a job or took long.
    fn record_call(&self, call: &StepCall, answer: &StepAnswer, attempts: u32, took: Millis) {
        let (kind, id) = describe(call);
        let outcome = match answer {
            StepAnswer::Accepted { created: true } => "accepted",
            StepAnswer::Accepted { created: false } => "known",
            StepAnswer::State { .. } => "state",
            StepAnswer::Cancelled => "cancelled",
            StepAnswer::Pending { .. } => "pending",
            StepAnswer::Unknown => "no such job",
            StepAnswer::Denied => "denied",
            StepAnswer::Failed(_) => "failed",
        };
        if let Ok(metrics) = self.kernel.find::<Metrics>() {
            metrics.step_calls.with_label_values(&[kind, outcome]).inc();
            metrics
                .step_latency
                .with_label_values(&[kind])
                .observe(took.0 as f64 / 1_000.0);
        }
        let holder = self
            .kernel
            .find::<SchedulerService>()
            .ok()
            .and_then(|service| service.holder());
        let scheduler = holder.map(|(daemon, _)| daemon.to_string());
        match answer {
            StepAnswer::Failed(failure) => slog::info!(self.log, "not served"; "call" => kind, "job" => id,
                "error" => &failure.message, "ran" => ?failure.ran, "retry" => failure.retry, "attempts" => attempts,
                "took" => took.0, "scheduler" => scheduler),
            StepAnswer::State { .. } | StepAnswer::Pending { .. } if took < SLOW_READ => {}
            _ => slog::info!(self.log, "served"; "call" => kind, "job" => id, "outcome" => outcome,
                "attempts" => attempts, "took" => took.0, "scheduler" => scheduler),
        }
    }

    /// Like [`Self::send`], with an error as [`StepAnswer::Failed`].
    async fn attempt(&self, call: &StepCall, timeout: Millis) -> StepAnswer {
        match self.send(call, timeout).await {
            Ok(answer) => answer,
            Err(error) => StepAnswer::Failed(Failure::from(&error)),
        }
    }

    /// Sends a call once, to the scheduler of this daemon if that holds a term, otherwise to the known lease holder.
    ///
    /// # Errors
    ///
    /// `Unavailable` if this daemon is still starting or knows no lease holder; errors of the peer link.
    async fn send(&self, call: &StepCall, timeout: Millis) -> Result<StepAnswer, Error> {
        let step = "call scheduler";
        let service = self
            .kernel
            .find::<SchedulerService>()
            .map_err(|_| daemon_starting(step))?;
        if service.term().is_some() {
            return Ok(service.call_steps(call.clone(), timeout).await);
        }
        let unknown_holder = || Error::msg(ErrorKind::Unavailable, step, "no scheduler is known at present");
        let (_, address, superseded) = service.followed_holder().ok_or_else(unknown_holder)?;
        let request = Request::Steps { call: call.clone() };
        let peers = self.kernel.find::<Peers>()?;
        let replaced = async {
            superseded.wait().await;
            let error = Error::msg(ErrorKind::Unavailable, step, "another daemon has become the scheduler");
            Err(error.at(&address).ran(Ran::Unknown))
        };
        match future::or(peers.call(&address, request, timeout), replaced).await? {
            Response::Steps(answer) => Ok(answer),
            Response::Failed(failure) => Err(failure.into_error(step, &address)),
            _ => Err(Error::msg(ErrorKind::Internal, step, "unexpected response").at(address)),
        }
    }
}

fn daemon_starting(step: &'static str) -> Error {
    Error::msg(ErrorKind::Unavailable, step, "the daemon is starting")
}

/// The label of a call in metrics and logs, and the key of its job or the name of its queue.
fn describe(call: &StepCall) -> (&'static str, String) {
    match call {
        StepCall::Submit { job } => ("submit", job.key.to_string()),
        StepCall::State { job, .. } => ("state", job.to_string()),
        StepCall::Cancel { job, .. } => ("cancel", job.to_string()),
        StepCall::Pending { queue } => ("pending", queue.to_string()),
    }
}
