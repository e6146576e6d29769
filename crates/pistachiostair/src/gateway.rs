//! The way of a caller's request about jobs made of steps to the region's scheduler, wherever that runs.

use std::sync::Arc;

use async_io::Timer;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran};
use crate::govern::Govern;
use crate::kernel::{Kernel, Service};
use crate::message::{Failure, Request, Response};
use crate::peers::Peers;
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
        let mut ran = Ran::No;
        loop {
            let now = self.kernel.clock.now();
            let failure = match self.attempt(call, deadline.since(now).min(ATTEMPT_TIMEOUT)).await {
                StepAnswer::Failed(failure) => failure,
                answer => return answer,
            };
            if failure.ran != Ran::No {
                ran = Ran::Unknown;
            }
            let passing = matches!(failure.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
            let now = self.kernel.clock.now();
            // An attempt of unknown outcome is worth more patience: only another answer makes it known.
            let end = match ran {
                Ran::No => deadline.min(started + PATIENCE),
                _ => deadline,
            };
            if !passing || now + RETRY_PAUSE >= end {
                slog::info!(self.log, "not served"; "call" => name(call), "error" => &failure.message,
                    "ran" => ?ran, "waited" => now.since(started).0);
                return StepAnswer::Failed(Failure {
                    ran,
                    retry: failure.retry.or(Some(RETRY_AFTER.0)),
                    ..failure
                });
            }
            Timer::after(RETRY_PAUSE.duration()).await;
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
        let govern = self.kernel.find::<Govern>().map_err(|_| starting(step))?;
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

fn name(call: &StepCall) -> String {
    match call {
        StepCall::Submit { job } => format!("submit {}", job.key),
        StepCall::State { job, .. } => format!("state {job}"),
        StepCall::Cancel { job, .. } => format!("cancel {job}"),
        StepCall::Pending { queue } => format!("pending {queue}"),
    }
}
