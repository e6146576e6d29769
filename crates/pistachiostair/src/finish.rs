//! Ends of attempts and of jobs.

use std::collections::BTreeSet;

use crate::active::Active;
use crate::appender::AppendAction;
use crate::clock::Millis;
use crate::error::Ran;
use crate::gang::{PartEnd, Run, Why, worst};
use crate::ids::{JobId, RegionName, WorkerName};
use crate::journal::Record;
use crate::planner::{Change, End};
use crate::resource::JobPhase;
use crate::state::Entry;
use crate::worker::TaskState;

/// Longest answer in bytes that is kept in the journal; longer ones become objects.
const MAX_INLINE: usize = 4 * 1024;
/// Distinct workers on which a job may fail before it is taken to be at fault itself.
const MAX_FAILED: usize = 3;

/// Key of the object with a job's answer.
pub(crate) fn answer_key(region: &RegionName, job: JobId) -> String {
    format!("answer/{region}/{job}")
}

impl Active {
    /// All parts of the attempt ended: the job ends or waits again.
    pub(crate) fn close(&mut self, now: Millis, entry: &Entry, run: &Run) {
        let failed = run
            .parts
            .iter()
            .position(|part| part.end == Some(PartEnd::Reported(TaskState::Failed)));
        let succeeded = run
            .parts
            .iter()
            .all(|part| part.end == Some(PartEnd::Reported(TaskState::Succeeded)));
        let end = match failed {
            Some(part) => End::Failed(part as u32),
            None if succeeded => End::Succeeded,
            None => End::Stopped,
        };
        if run.counted {
            self.planner.apply(now, Change::Ended { job: entry.id, end });
        }
        self.replan = true;
        let ran = worst(entry.ran, run.ran());
        if succeeded {
            let answer = run.parts.first().and_then(|part| part.answer.clone());
            self.finish_job(entry.id, JobPhase::Succeeded, Ran::Yes, answer, String::new());
            return;
        }
        let why = run.halt.as_ref().map(|halt| halt.why.clone());
        match why {
            _ if entry.cancelling => self.end_with(entry, JobPhase::Cancelled, ran, "cancelled by a caller"),
            Some(Why::Expired) => self.end_with(entry, JobPhase::Expired, ran, "the deadline passed before it started"),
            why => self.retry(now, entry, run, ran, why),
        }
    }

    fn end_with(&mut self, entry: &Entry, phase: JobPhase, ran: Ran, reason: impl Into<String>) {
        self.finish_job(entry.id, phase, ran, None, reason.into());
    }

    /// Queues the job again if that is allowed, and ends it otherwise.
    fn retry(&mut self, now: Millis, entry: &Entry, run: &Run, ran: Ran, why: Option<Why>) {
        let failed = run
            .parts
            .iter()
            .find(|part| part.end == Some(PartEnd::Reported(TaskState::Failed)));
        let reason = match (failed, &why) {
            (Some(part), _) => {
                let answer = part.answer.as_deref().unwrap_or("no reason given");
                format!("failed on {}: {answer}", part.worker)
            }
            (None, Some(Why::Lost(reason))) => reason.clone(),
            (None, Some(Why::Reclaimed)) => "reclaimed".to_owned(),
            (None, _) => "its worker is leaving or ejected".to_owned(),
        };
        if !entry.spec.idempotent && run.ran() != Ran::No && !resumable(entry, run) {
            let vanished = run.parts.iter().any(|part| part.end == Some(PartEnd::Vanished));
            let phase = if vanished { JobPhase::Unknown } else { JobPhase::Failed };
            let ran = if vanished { Ran::Unknown } else { ran };
            self.end_with(entry, phase, ran, reason);
            return;
        }
        let counted = !matches!(why, Some(Why::Reclaimed | Why::Withdrawn));
        let mut blamed: BTreeSet<WorkerName> = entry.failed.clone();
        blamed.extend(failed.map(|part| part.worker.clone()));
        let exhausted = entry.strikes + 1 >= self.known.policy.scheduling.attempts;
        if counted && (exhausted || blamed.len() >= MAX_FAILED) {
            let reason = format!("not started again after {} attempts: {reason}", entry.attempt);
            self.end_with(entry, JobPhase::Failed, ran, reason);
        } else if self.overdue(entry) {
            self.end_with(entry, JobPhase::Expired, ran, format!("the deadline passed: {reason}"));
        } else {
            let failed = failed.map(|part| part.worker.clone());
            self.requeue(now, entry, run, (ran, counted, failed), reason);
        }
    }

    fn requeue(
        &mut self,
        now: Millis,
        entry: &Entry,
        run: &Run,
        (ran, counted, failed): (Ran, bool, Option<WorkerName>),
        reason: String,
    ) {
        let progress = match entry.spec.checkpointable {
            true => run.parts.iter().map(|part| part.progress).collect(),
            false => Vec::new(),
        };
        let served = entry.served + run.running.map_or(Millis::ZERO, |since| now.since(since));
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
        let again = Entry {
            served,
            ..entry.clone()
        };
        self.queue(now, &again);
    }

    /// Writes the end of a job; a long answer is stored first.
    pub(crate) fn finish_job(&mut self, job: JobId, phase: JobPhase, ran: Ran, answer: Option<String>, reason: String) {
        self.closing.insert(job);
        match answer {
            Some(answer) if answer.len() > MAX_INLINE => {
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

    /// Takes note of whether an answer was stored.
    pub(crate) fn answer_stored(&mut self, now: Millis, job: JobId, done: bool) {
        const RETRY: Millis = Millis(1_000);
        if !done {
            if let Some((_, sent)) = self.storing.get_mut(&job) {
                *sent = false;
            }
            self.timers.insert((now + RETRY, job));
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

/// Whether the job can go on from checkpoints: every part that ran was stopped by command after
/// it had saved its progress, so that nothing is done twice.
fn resumable(entry: &Entry, run: &Run) -> bool {
    entry.spec.checkpointable
        && run.parts.iter().all(|part| match part.end {
            Some(PartEnd::Reported(TaskState::Stopped)) => part.progress > part.base,
            Some(PartEnd::Reported(TaskState::NeverRan) | PartEnd::Unsent) => true,
            _ => false,
        })
}
