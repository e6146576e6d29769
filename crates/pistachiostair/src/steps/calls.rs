//! Calls of callers about jobs made of steps.

use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::message::Failure;
use crate::record;
use crate::scheduler::Token;
use crate::steps::engine::{Context, StepScheduler, StepsAction};
use crate::steps::record::StepRecord;
use crate::steps::spec::{JobKey, QueueName, StepJob, StepPhase};

/// Time after which a refused call makes sense again: about the time that a new scheduler takes to be elected.
const RETRY: Millis = Millis(500);
/// Jobs that are accepted and have not ended, beyond which further ones are refused: a multiple of the jobs a day of
/// the size to design for.
const MAX_OPEN: usize = 20_000;

record! {
    /// What a caller asks.
    pub enum StepCall {
        /// Hands in a job. The same key again is the same job.
        Submit {
            /// The job.
            job: Box<StepJob>,
        },
        /// Reads where a job stands.
        State {
            /// The job.
            job: JobKey,
            /// The queue that the caller named.
            queue: QueueName,
        },
        /// Cancels a job.
        Cancel {
            /// The job.
            job: JobKey,
            /// The queue that the caller named.
            queue: QueueName,
        },
        /// Counts the jobs of a queue of which no task has started.
        Pending {
            /// The queue.
            queue: QueueName,
        },
    }
}

record! {
    /// The answer to a [`StepCall`].
    pub enum StepAnswer {
        /// The job is accepted and stored.
        Accepted {
            /// Whether this call created it.
            created: bool,
        },
        /// Where the job stands.
        State {
            /// The phase.
            phase: StepPhase,
        },
        /// The job is cancelled, or had ended before.
        Cancelled,
        /// The number of waiting jobs.
        Pending {
            /// The number.
            jobs: u64,
        },
        /// There is no such job.
        Unknown,
        /// The call was not met.
        Failed(Failure),
    }
}

/// A call that did nothing.
pub(crate) fn refusal(kind: ErrorKind, message: &str) -> StepAnswer {
    StepAnswer::Failed(Failure {
        kind,
        message: message.to_owned(),
        ran: Ran::No,
        retry: Some(RETRY.0),
    })
}

impl StepScheduler {
    pub(crate) fn call(&mut self, cx: &Context<'_>, token: Token, call: StepCall) {
        let answer = match call {
            StepCall::Submit { job } => self.submit(cx, token, job),
            StepCall::State { job, queue } => Some(self.state(cx, job, &queue)),
            StepCall::Cancel { job, queue } => self.cancel(cx, token, job, &queue),
            StepCall::Pending { queue } => Some(self.pending(cx, &queue)),
        };
        if let Some(answer) = answer {
            self.reply(token, answer);
        }
    }

    pub(crate) fn reply(&mut self, token: Token, answer: StepAnswer) {
        self.actions.push(StepsAction::Reply { token, answer });
    }

    /// The job of a call. That a job does not exist can be told only while the lease is held, since another scheduler
    /// may have accepted it.
    fn find<'a>(
        &self,
        cx: &Context<'a>,
        job: JobKey,
        queue: &QueueName,
    ) -> Result<&'a crate::steps::JobEntry, StepAnswer> {
        if let Some(entry) = cx.book.job(job) {
            return match entry.spec.queue == *queue {
                true => Ok(entry),
                false => Err(StepAnswer::Unknown),
            };
        }
        if self.accepting.contains_key(&job) {
            return Err(refusal(ErrorKind::Unavailable, "the job is being accepted"));
        }
        if !cx.lease_held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        Err(StepAnswer::Unknown)
    }

    fn submit(&mut self, cx: &Context<'_>, token: Token, job: Box<StepJob>) -> Option<StepAnswer> {
        if cx.book.job(job.key).is_some() {
            return Some(StepAnswer::Accepted { created: false });
        }
        if let Some(tokens) = self.accepting.get_mut(&job.key) {
            tokens.push(token);
            return None;
        }
        if let Err(reason) = job.check() {
            return Some(refusal(ErrorKind::Invalid, &reason));
        }
        if !cx.lease_held || cx.store_stalled {
            return Some(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        if cx.book.jobs().filter(|entry| !entry.phase.is_final()).count() >= MAX_OPEN {
            return Some(refusal(ErrorKind::Limited, "too many jobs have not ended"));
        }
        self.accepting.insert(job.key, vec![token]);
        self.records.push(StepRecord::Accepted { job });
        None
    }

    fn state(&self, cx: &Context<'_>, job: JobKey, queue: &QueueName) -> StepAnswer {
        match self.find(cx, job, queue) {
            Ok(entry) => StepAnswer::State { phase: entry.phase },
            Err(answer) => answer,
        }
    }

    fn cancel(&mut self, cx: &Context<'_>, token: Token, job: JobKey, queue: &QueueName) -> Option<StepAnswer> {
        let entry = match self.find(cx, job, queue) {
            Ok(entry) => entry,
            Err(answer) => return Some(answer),
        };
        if entry.phase.is_final() {
            return Some(StepAnswer::Cancelled);
        }
        if let Some(tokens) = self.cancelling.get_mut(&job) {
            tokens.push(token);
            return None;
        }
        if !cx.lease_held || cx.store_stalled {
            return Some(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        self.cancelling.insert(job, vec![token]);
        self.records.push(StepRecord::Cancelled { job });
        None
    }

    fn pending(&self, cx: &Context<'_>, queue: &QueueName) -> StepAnswer {
        let waiting = |entry: &&crate::steps::JobEntry| entry.phase == StepPhase::Queued && entry.spec.queue == *queue;
        let jobs = cx.book.jobs().filter(waiting).count() as u64;
        StepAnswer::Pending { jobs }
    }

    /// Answers everyone whose call has no certain outcome: this daemon is no longer the scheduler.
    pub(crate) fn abandon(&mut self) {
        let waiting = std::mem::take(&mut self.accepting).into_values();
        let waiting = waiting.chain(std::mem::take(&mut self.cancelling).into_values());
        for token in waiting.flatten().collect::<Vec<_>>() {
            let failure = Failure {
                kind: ErrorKind::Unavailable,
                message: "another daemon became the scheduler".to_owned(),
                ran: Ran::Unknown,
                retry: Some(RETRY.0),
            };
            self.reply(token, StepAnswer::Failed(failure));
        }
    }
}
