//! The end of an attempt: whether its job ended or is queued again, and the record of that. Long answers are stored as
//! objects before the record is written.

use std::collections::BTreeSet;

use crate::active::ActiveScheduler;
use crate::appender::AppendAction;
use crate::clock::Millis;
use crate::error::Ran;
use crate::gang::{HaltReason, PartEnd, Run, combine_ran};
use crate::ids::{JobId, RegionName, WorkerName};
use crate::journal::Record;
use crate::planner::{AttemptEnd, Change};
use crate::resource::JobPhase;
use crate::state::JobState;
use crate::worker::TaskState;

/// Longest answer that is kept in the journal; longer ones are stored as objects.
const MAX_INLINE_BYTES: usize = 4 * 1024;
/// Distinct workers on which a job may fail before the job itself is taken as the cause.
const MAX_FAILED_WORKERS: usize = 3;

/// Store key of the object with a job's answer.
pub(crate) fn answer_key(region: &RegionName, job: JobId) -> String {
    format!("answer/{region}/{job}")
}

impl ActiveScheduler {
    /// Handles an attempt whose parts all ended: ends the job or queues it again.
    pub(crate) fn complete_run(&mut self, now: Millis, entry: &JobState, run: &Run) {
        let failed = run
            .parts
            .iter()
            .position(|part| part.end == Some(PartEnd::Reported(TaskState::Failed)));
        let succeeded = run
            .parts
            .iter()
            .all(|part| part.end == Some(PartEnd::Reported(TaskState::Succeeded)));
        let end = match failed {
            Some(part) => AttemptEnd::Failed(part as u32),
            None if succeeded => AttemptEnd::Succeeded,
            None => AttemptEnd::Stopped,
        };
        if run.in_planner {
            self.planner.apply(now, Change::Ended { job: entry.id, end });
        }
        self.replan = true;
        let ran = combine_ran(entry.ran, run.ran());
        if succeeded {
            let answer = run.parts.first().and_then(|part| part.answer.clone());
            self.finish_job(entry.id, JobPhase::Succeeded, Ran::Yes, answer, String::new());
            return;
        }
        let halt = run.halt.as_ref().map(|halt| halt.reason.clone());
        match halt {
            _ if entry.cancelling => self.end_with(entry, JobPhase::Cancelled, ran, "cancelled by a caller"),
            Some(HaltReason::Expired) => {
                self.end_with(entry, JobPhase::Expired, ran, "the deadline passed before it started")
            }
            halt => self.retry(now, entry, run, ran, halt),
        }
    }

    fn end_with(&mut self, entry: &JobState, phase: JobPhase, ran: Ran, reason: impl Into<String>) {
        self.finish_job(entry.id, phase, ran, None, reason.into());
    }

    /// Queues the job again, unless it can't be resumed safely, failed too often, or is past its deadline; then it
    /// ends.
    fn retry(&mut self, now: Millis, entry: &JobState, run: &Run, ran: Ran, halt: Option<HaltReason>) {
        let failed = run
            .parts
            .iter()
            .find(|part| part.end == Some(PartEnd::Reported(TaskState::Failed)));
        let reason = match (failed, &halt) {
            (Some(part), _) => {
                let answer = part.answer.as_deref().unwrap_or("no reason given");
                format!("failed on {}: {answer}", part.worker)
            }
            (None, Some(HaltReason::PartFailed(reason))) => reason.clone(),
            (None, Some(HaltReason::Reclaimed)) => "reclaimed".to_owned(),
            (None, _) => "its worker is leaving or ejected".to_owned(),
        };
        if !entry.spec.idempotent && run.ran() != Ran::No && !resumable(entry, run) {
            let lost = run.parts.iter().any(|part| part.end == Some(PartEnd::WorkerLost));
            let phase = if lost { JobPhase::Unknown } else { JobPhase::Failed };
            let ran = if lost { Ran::Unknown } else { ran };
            self.end_with(entry, phase, ran, reason);
            return;
        }
        let counted = !matches!(halt, Some(HaltReason::Reclaimed | HaltReason::Withdrawn));
        let mut failed_workers: BTreeSet<WorkerName> = entry.failed.clone();
        failed_workers.extend(failed.map(|part| part.worker.clone()));
        let exhausted = entry.counted_attempts + 1 >= self.config.policy.scheduling.attempts;
        if counted && (exhausted || failed_workers.len() >= MAX_FAILED_WORKERS) {
            let reason = format!("not started again after {} attempts: {reason}", entry.attempt);
            self.end_with(entry, JobPhase::Failed, ran, reason);
        } else if self.past_deadline(entry) {
            self.end_with(entry, JobPhase::Expired, ran, format!("the deadline passed: {reason}"));
        } else {
            let failed = failed.map(|part| part.worker.clone());
            self.requeue(now, entry, run, (ran, counted, failed), reason);
        }
    }

    /// Records that the job is queued again, and hands it to the planner.
    fn requeue(
        &mut self,
        now: Millis,
        entry: &JobState,
        run: &Run,
        (ran, counted, failed): (Ran, bool, Option<WorkerName>),
        reason: String,
    ) {
        let progress = match entry.spec.checkpointable {
            true => run.parts.iter().map(|part| part.progress).collect(),
            false => Vec::new(),
        };
        let served = entry.served + run.running_since.map_or(Millis::ZERO, |since| now.since(since));
        self.log("requeued", entry.id, entry.workers.clone(), reason.clone());
        self.push(Record::Requeued {
            job: entry.id,
            attempt: run.attempt,
            progress,
            served,
            ran,
            counted,
            failed,
            reason,
        });
        let requeued = JobState {
            served,
            ..entry.clone()
        };
        self.queue(now, &requeued);
    }

    /// Records the end of a job; a long answer is stored as an object first.
    pub(crate) fn finish_job(&mut self, job: JobId, phase: JobPhase, ran: Ran, answer: Option<String>, reason: String) {
        self.finishing.insert(job);
        match answer {
            Some(answer) if answer.len() > MAX_INLINE_BYTES => {
                self.storing.insert(job, (answer, false));
                self.store_answer(job);
            }
            answer => self.push(Record::Finished {
                job,
                phase,
                ran,
                answer,
                stored: false,
                reason,
            }),
        }
    }

    /// Writes a job's long answer as an object, unless that is in flight.
    pub(crate) fn store_answer(&mut self, job: JobId) {
        let Some((answer, sent)) = self.storing.get_mut(&job).filter(|(_, sent)| !sent) else {
            return;
        };
        *sent = true;
        let action = AppendAction::WriteObject {
            key: answer_key(&self.region, job),
            body: answer.clone().into_bytes(),
        };
        self.append(vec![action]);
    }

    /// Handles the outcome of [`Self::store_answer`]: records the job's end, or tries again later.
    pub(crate) fn answer_stored(&mut self, now: Millis, job: JobId, done: bool) {
        const RETRY_INTERVAL: Millis = Millis(1_000);
        if !done {
            if let Some((_, sent)) = self.storing.get_mut(&job) {
                *sent = false;
            }
            self.job_timers.insert((now + RETRY_INTERVAL, job));
        } else if self.storing.remove(&job).is_some() {
            self.push(Record::Finished {
                job,
                phase: JobPhase::Succeeded,
                ran: Ran::Yes,
                answer: None,
                stored: true,
                reason: String::new(),
            });
        }
    }
}

/// Whether the job can resume from checkpoints without repeating work: every part that ran was stopped by command after
/// it wrote a checkpoint.
fn resumable(entry: &JobState, run: &Run) -> bool {
    entry.spec.checkpointable
        && run.parts.iter().all(|part| match part.end {
            Some(PartEnd::Reported(TaskState::Stopped)) => part.progress > part.start_progress,
            Some(PartEnd::Reported(TaskState::NeverRan) | PartEnd::NotStarted) => true,
            _ => false,
        })
}
