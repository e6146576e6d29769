//! The way of a caller's request about jobs made of steps to the region's scheduler, wherever that runs.

use std::sync::Arc;

use async_io::Timer;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran};
use crate::kernel::{Kernel, Service};
use crate::message::{Failure, Request, Response};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::scheduler_service::SchedulerService;
use crate::steps::{StepAnswer, StepCall};

/// Pause between two attempts: a new scheduler needs about 100 ms once its lease is won.
const RETRY_PAUSE: Millis = Millis(60);

/// Longest time of one attempt. A commit takes about 10 ms, and some 300 ms while the store is slow.
const ATTEMPT_TIMEOUT: Millis = Millis(800);

/// Longest time for which a request waits for a scheduler to be found. A crash is followed by an election within 2.5 s,
/// a restart by one within 0.2 s.
const PATIENCE: Millis = Millis(1_500);

/// Time after which a refused caller may come again.
const RETRY_AFTER: Millis = Millis(400);

/// The service.
pub(crate) struct Gateway {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) log: slog::Logger,
}

impl Service for Gateway {
    const NAME: &'static str = "gateway";
}

impl Gateway {
    /// Sends a request to the scheduler, again as long as that makes sense. Every request may be repeated: the key
    /// of a job tells a repeated submission.
    pub(crate) async fn call(&self, call: &StepCall, deadline: Millis) -> StepAnswer {
        let started = self.kernel.clock.now();
        let (answer, attempts) = self.call_until(call, started, deadline).await;
        self.report(call, &answer, attempts, self.kernel.clock.now().since(started));
        answer
    }

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
            let passing = matches!(failure.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
            // An attempt of unknown outcome is worth more patience: only another answer makes it known.
            let end = match ran {
                Ran::No => deadline.min(started + PATIENCE),
                _ => deadline,
            };
            if !passing || self.kernel.clock.now() + RETRY_PAUSE >= end {
                let retry = failure.retry.or(Some(RETRY_AFTER.0));
                return (StepAnswer::Failed(Failure { ran, retry, ..failure }), attempts);
            }
            Timer::after(RETRY_PAUSE.duration()).await;
        }
    }

    /// Writes a line for each call that changes something or was not met, and counts all.
    fn report(&self, call: &StepCall, answer: &StepAnswer, attempts: u32, took: Millis) {
        let (kind, id) = name(call);
        let outcome = match answer {
            StepAnswer::Accepted { created: true } => "accepted",
            StepAnswer::Accepted { created: false } => "known",
            StepAnswer::State { .. } => "state",
            StepAnswer::Cancelled => "cancelled",
            StepAnswer::Pending { .. } => "pending",
            StepAnswer::Unknown => "no such job",
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
            .and_then(|govern| govern.holder());
        let scheduler = holder.map(|(daemon, _)| daemon.to_string());
        match answer {
            StepAnswer::Failed(failure) => slog::info!(self.log, "not served"; "call" => kind, "job" => id,
                "error" => &failure.message, "ran" => ?failure.ran, "retry" => failure.retry, "attempts" => attempts,
                "took" => took.0, "scheduler" => scheduler),
            StepAnswer::State { .. } | StepAnswer::Pending { .. } => {}
            _ => slog::info!(self.log, "served"; "call" => kind, "job" => id, "outcome" => outcome,
                "attempts" => attempts, "took" => took.0, "scheduler" => scheduler),
        }
    }

    async fn attempt(&self, call: &StepCall, limit: Millis) -> StepAnswer {
        match self.send(call, limit).await {
            Ok(answer) => answer,
            Err(error) => StepAnswer::Failed(Failure::from(&error)),
        }
    }

    async fn send(&self, call: &StepCall, limit: Millis) -> Result<StepAnswer, Error> {
        let step = "call scheduler";
        let govern = self.kernel.find::<SchedulerService>().map_err(|_| starting(step))?;
        if govern.term().is_some() {
            return Ok(govern.call_steps(call.clone(), limit).await);
        }
        let no_holder = || Error::msg(ErrorKind::Unavailable, step, "no scheduler is known at present");
        let (_, address) = govern.holder().ok_or_else(no_holder)?;
        let request = Request::Steps { call: call.clone() };
        match self.kernel.find::<Peers>()?.call(&address, request, limit).await? {
            Response::Steps(answer) => Ok(answer),
            Response::Failed(failure) => Err(failure.into_error(step, &address)),
            _ => Err(Error::msg(ErrorKind::Internal, step, "unexpected response").at(address)),
        }
    }
}

fn starting(step: &'static str) -> Error {
    Error::msg(ErrorKind::Unavailable, step, "the daemon is starting")
}

/// Kind of a call, and the job or queue that it names.
fn name(call: &StepCall) -> (&'static str, String) {
    match call {
        StepCall::Submit { job } => ("submit", job.key.to_string()),
        StepCall::State { job, .. } => ("state", job.to_string()),
        StepCall::Cancel { job, .. } => ("cancel", job.to_string()),
        StepCall::Pending { queue } => ("pending", queue.to_string()),
    }
}
