//! API calls about step jobs, answered by the elected scheduler.
//!
//! A call that changes something is answered once its record is durable; calls for the same change in the meantime
//! share that record. Calls that read are answered at once from the journal's state.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::ids::AccountName;
use crate::journal::encoded_size;
use crate::message::Failure;
use crate::record;
use crate::scheduler::Token;
use crate::steps::engine::{Context, RunOrigin, StepScheduler, StepsAction};
use crate::steps::host::RunKey;
use crate::steps::job_table::JobEntry;
use crate::steps::record::StepRecord;
use crate::steps::spec::{JobKey, QueueName, StepJob, StepJobPhase};

/// Time after which a refused call should be repeated: about as long as the election of a new scheduler takes.
const RETRY_AFTER: Millis = Millis(500);
/// Largest number of jobs that are accepted and have not ended; further ones are refused. It is a multiple of the jobs
/// per day of the largest deployment that the design is meant for.
const MAX_UNFINISHED_JOBS: usize = 20_000;
/// Largest number of cancelled keys that no job had and that are not forgotten; further such cancels are refused.
const MAX_BARRED_KEYS: usize = 10_000;

record! {
    /// A caller's request about step jobs.
    pub enum StepCall {
        /// Submits a job. If a job with its key exists already, that one stands and the new specification is ignored.
        Submit {
            /// The job.
            job: Box<StepJob>,
        },
        /// Reads a job's phase.
        State {
            /// The job.
            job: JobKey,
            /// The queue that the caller's URL selects. Another one may have accepted the job, since configurations
            /// rename and move queues.
            queue: QueueName,
        },
        /// Cancels a job and stops its runs; a job that has ended stays as it is. If there is no such job, one that is
        /// submitted later is cancelled at once.
        Cancel {
            /// The job.
            job: JobKey,
            /// The queue that the caller's URL selects, as for [`Self::State`].
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
        /// The job is accepted, and stored durably.
        Accepted {
            /// Whether this call created it; false if a job with this key existed or another call created it.
            created: bool,
        },
        /// Answer to [`StepCall::State`].
        State {
            /// Where the job stands.
            phase: StepJobPhase,
        },
        /// The job is cancelled, which is stored durably, or it had ended before.
        Cancelled,
        /// Answer to [`StepCall::Pending`].
        Pending {
            /// Number of the queue's jobs of which no task has started.
            jobs: u64,
        },
        /// There is no such job. As the answer to a cancel, it also promises that none with this key will run.
        Unknown,
        /// The call came without an API key through a public queue, and the job was accepted with one under another
        /// URL.
        Denied,
        /// The call failed; the failure says whether it may have had an effect and when to repeat it.
        Failed(Failure),
    }
}

/// The answer to a call that had no effect.
pub(crate) fn refusal(kind: ErrorKind, message: &str) -> StepAnswer {
    StepAnswer::Failed(Failure {
        kind,
        message: message.to_owned(),
        ran: Ran::No,
        retry: Some(RETRY_AFTER.0),
    })
}

impl StepScheduler {
    /// Handles a call; `token` is what its answer is sent with. The answer to a change follows once the record is
    /// durable.
    pub(crate) fn handle_call(&mut self, cx: &Context<'_>, token: Token, call: StepCall) {
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

    /// Sends the answer to the call with this token.
    pub(crate) fn reply(&mut self, token: Token, answer: StepAnswer) {
        self.actions.push(StepsAction::Reply { token, answer });
    }

    /// The job of a call, or the answer if there is none. A job is found by its key alone: `queue` is the one that the
    /// caller's URL selects now, which need not be the one that accepted the job. That a job does not exist is certain
    /// only while this scheduler's lease is held: otherwise another scheduler may have accepted it.
    fn find_job<'a>(&self, cx: &Context<'a>, job: JobKey, queue: &QueueName) -> Result<&'a JobEntry, StepAnswer> {
        if let Some(entry) = cx.book.job(job) {
            return match self.is_denied(entry, queue) {
                true => Err(StepAnswer::Denied),
                false => Ok(entry),
            };
        }
        if self.accepting.contains_key(&job) {
            return Err(refusal(ErrorKind::Unavailable, "the job is being accepted"));
        }
        if !cx.holds_lease() {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        Err(StepAnswer::Unknown)
    }

    /// Whether a call through `queue` may not reach a job: it needed no API key, but the job was accepted with one, in
    /// another queue and under another URL.
    fn is_denied(&self, entry: &JobEntry, queue: &QueueName) -> bool {
        let other = self.rules.queues.get(queue).filter(|_| entry.spec.queue != *queue);
        let has_account = entry.spec.account != AccountName::default();
        has_account && other.is_some_and(|queue| queue.public && queue.base_url() != entry.spec.base_url)
    }

    /// Accepts a job by queuing its record. Returns the answer if it is certain at once; otherwise it follows when the
    /// record is durable.
    fn submit(&mut self, cx: &Context<'_>, token: Token, job: Box<StepJob>) -> Option<StepAnswer> {
        if cx.book.job(job.key).is_some() {
            return Some(StepAnswer::Accepted { created: false });
        }
        if let Some(tokens) = self.accepting.get_mut(&job.key) {
            tokens.push(token);
            return None;
        }
        if let Err(reason) = job.validate() {
            return Some(refusal(ErrorKind::Invalid, &reason));
        }
        if !cx.holds_lease() || cx.store_stalled {
            return Some(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        if cx.book.open_count() >= MAX_UNFINISHED_JOBS {
            return Some(refusal(ErrorKind::Limited, "too many jobs have not ended"));
        }
        let key = job.key;
        let record = StepRecord::Accepted { job };
        let bytes = encoded_size(&record);
        if bytes > cx.record_bytes {
            let reason = format!(
                "the job is too long to be stored: {bytes} bytes of at most {}",
                cx.record_bytes
            );
            self.log_job("refused", key, reason.clone());
            return Some(refusal(ErrorKind::Invalid, &reason));
        }
        self.accepting.insert(key, vec![token]);
        self.records.push(record);
        None
    }

    fn state(&self, cx: &Context<'_>, job: JobKey, queue: &QueueName) -> StepAnswer {
        match self.find_job(cx, job, queue) {
            Ok(entry) => StepAnswer::State {
                phase: self.reported_phase(entry),
            },
            Err(answer) => answer,
        }
    }

    /// Phase of a job as callers see it: a job whose start records are stored counts as queued until a worker has begun one
    /// of its tasks. After a takeover it stays running while that is not known, since it may have been shown so before.
    fn reported_phase(&self, entry: &JobEntry) -> StepJobPhase {
        let recovered = |key: RunKey| {
            self.runs
                .get(&key)
                .is_some_and(|run| run.origin == RunOrigin::Recovered)
        };
        let unbegun = || !self.has_begun(entry) && !self.runs_of(entry.spec.key).any(recovered);
        match entry.phase {
            StepJobPhase::Running if unbegun() => StepJobPhase::Queued,
            phase => phase,
        }
    }

    /// Whether a worker is known to have begun a task of a job. After a takeover a run that only the journal knows doesn't
    /// show that, since its order may never have been carried out.
    fn has_begun(&self, entry: &JobEntry) -> bool {
        entry.begun || self.begun.contains(&entry.spec.key)
    }

    /// Cancels a job, or bars the key of one that does not exist, by queuing a record. Returns the answer if it is certain at once; otherwise it follows when the
    /// record is durable.
    fn cancel(&mut self, cx: &Context<'_>, token: Token, job: JobKey, queue: &QueueName) -> Option<StepAnswer> {
        let entry = match self.find_job(cx, job, queue) {
            Ok(entry) if entry.phase.is_final() => {
                let left = self.runs_of(job).count();
                let reason = format!("answered from its stored phase {:?}; {left} runs left", entry.phase);
                self.log_job("cancel repeated", job, reason);
                return Some(StepAnswer::Cancelled);
            }
            Ok(entry) => Some(entry),
            Err(StepAnswer::Unknown) if !cx.book.barred().contains_key(&job) => None,
            Err(answer) => return Some(answer),
        };
        if let Some(tokens) = self.cancelling.get_mut(&job) {
            tokens.push(token);
            return None;
        }
        if !cx.holds_lease() || cx.store_stalled {
            return Some(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        if entry.is_none() && cx.book.barred().len() >= MAX_BARRED_KEYS {
            return Some(refusal(ErrorKind::Limited, "too many cancels of unknown jobs"));
        }
        if let Some(entry) = entry.filter(|entry| entry.spec.queue != *queue) {
            let reason = format!("accepted in queue {}, cancelled through {queue}", entry.spec.queue);
            self.log_job("other queue", job, reason);
        }
        self.cancelling.insert(job, vec![token]);
        self.records.push(StepRecord::Cancelled { job });
        None
    }

    fn pending(&self, cx: &Context<'_>, queue: &QueueName) -> StepAnswer {
        let belongs = |job: &StepJob| job.queue == *queue || self.successor(job) == Some(queue);
        let waiting = |entry: &&JobEntry| !self.has_begun(entry) && belongs(&entry.spec);
        let jobs = cx.book.open_jobs().filter(waiting).count() as u64;
        StepAnswer::Pending { jobs }
    }

    /// The queue that has taken the place of a job's own, which the configuration no longer has: the one whose URLs begin
    /// as those under which the job was submitted.
    fn successor(&self, job: &StepJob) -> Option<&QueueName> {
        let queues = &self.rules.queues;
        let removed = !queues.contains_key(&job.queue);
        let mut successors = queues
            .values()
            .filter(|queue| removed && queue.base_url() == job.base_url);
        successors.next().map(|queue| &queue.name)
    }

    /// Fails all calls that wait for a record. Called when this daemon is no longer the scheduler. `unsent` are the records
    /// that were never sent to the store: they will never be stored, so that their calls certainly had no effect. The others
    /// may or may not become durable.
    pub(crate) fn fail_pending_calls<'a>(&mut self, unsent: impl Iterator<Item = &'a StepRecord>) {
        let own = std::mem::take(&mut self.records);
        let (mut accepts, mut cancels) = (BTreeSet::new(), BTreeSet::new());
        let mut note = |record: &StepRecord| {
            match record {
                StepRecord::Accepted { job } => accepts.insert(job.key),
                StepRecord::Cancelled { job } => cancels.insert(*job),
                _ => false,
            };
        };
        unsent.for_each(&mut note);
        own.iter().for_each(note);
        let certainty = |unsent: bool| if unsent { Ran::No } else { Ran::Unknown };
        let accepting = std::mem::take(&mut self.accepting).into_iter();
        let accepting = accepting.map(|(job, tokens)| (certainty(accepts.contains(&job)), tokens));
        let cancelling = std::mem::take(&mut self.cancelling).into_iter();
        let cancelling = cancelling.map(|(job, tokens)| (certainty(cancels.contains(&job)), tokens));
        for (ran, tokens) in accepting.chain(cancelling).collect::<Vec<_>>() {
            for token in tokens {
                let failure = Failure {
                    kind: ErrorKind::Unavailable,
                    message: "another daemon became the scheduler".to_owned(),
                    ran,
                    retry: Some(RETRY_AFTER.0),
                };
                self.reply(token, StepAnswer::Failed(failure));
            }
        }
    }
}
