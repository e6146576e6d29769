//! Effects of committed journal records: folds them into the state, then updates runs and timers, answers callers and
//! writes the log. Nothing takes effect before its record is committed.

use crate::active::ActiveScheduler;
use crate::appender::{AppendAction, AppendEvent};
use crate::clock::Millis;
use crate::finish::answer_key;
use crate::gang::Run;
use crate::ids::{JobId, RegionName, Seq};
use crate::journal::{Batch, Record, revision};
use crate::planner::{AttemptEnd, Change};
use crate::resource::JobPhase;
use crate::scheduler::{Action, LogLine};
use crate::state::RegionState;

impl ActiveScheduler {
    /// Handles the outcome of a storage action: of a job's answer object here, of all others in the journal's writer.
    pub(crate) fn handle_append_event(&mut self, now: Millis, event: AppendEvent) {
        let answer_job = |key: &str| -> Option<JobId> {
            let prefix = format!("answer/{}/", self.region);
            key.strip_prefix(&prefix)?.parse().ok().map(JobId)
        };
        match &event {
            AppendEvent::ObjectWritten { key, done } => {
                if let Some(job) = answer_job(key) {
                    return self.answer_stored(now, job, *done);
                }
            }
            AppendEvent::ObjectRead { key, body } => {
                if let Some(job) = answer_job(key) {
                    return self.finish_answer_read(job, body.as_deref());
                }
            }
            _ => {}
        }
        let actions = self.appender.on(now, event);
        self.append(actions);
        if let Some(bytes) = self.appender.refused() {
            let reason = format!("the store refuses a row of one record, {bytes} bytes");
            let line = LogLine::of("term given up", self.term, reason);
            self.actions.push(Action::Log(line));
        }
    }

    /// Folds a committed batch into the state and applies the effects of each record. Called in journal order.
    pub(crate) fn apply_batch(&mut self, now: Millis, seq: Seq, batch: &Batch) {
        self.state.seq = seq;
        self.state.wall = self.state.wall.max(batch.wall);
        for (index, record) in batch.records.iter().enumerate() {
            self.append(answer_deletes(&self.region, &self.state, record));
            self.state.fold(revision(seq, index), record);
            self.apply_effect(now, record);
        }
        self.answer_list_waits();
    }

    fn apply_effect(&mut self, now: Millis, record: &Record) {
        match record {
            Record::Accepted { job, .. } => {
                if let Some(entry) = self.state.job(*job).cloned() {
                    self.track_deadline(&entry);
                }
                self.answer_submit(*job);
            }
            Record::Placed { job, attempt, parts } => {
                let reason = self.placing.remove(job).unwrap_or_default();
                let progress = self.state.job(*job).map(|entry| entry.progress.clone());
                let run = Run::placed(*attempt, parts, &progress.unwrap_or_default());
                let workers = parts.iter().map(|part| part.worker.clone()).collect();
                self.log("placed", *job, workers, reason);
                self.begin_run(now, *job, run);
            }
            Record::Released { job, .. } => {
                if let Some(run) = self.runs.get_mut(job) {
                    run.released = true;
                    self.dirty_workers
                        .extend(run.parts.iter().map(|part| part.worker.clone()));
                }
                self.dirty_jobs.insert(*job);
            }
            Record::Requeued { job, .. } => self.end_run(now, *job),
            Record::Finished { job, phase, reason, .. } => self.job_finished(now, *job, *phase, reason),
            Record::Cancelling { job } => {
                let queued = !self.runs.contains_key(job) && !self.placing.contains_key(job);
                if queued && !self.finishing.contains(job) {
                    self.finish_queued(now, *job, JobPhase::Cancelled, "cancelled by a caller");
                }
                self.dirty_jobs.insert(*job);
                self.answer_cancels(*job);
            }
            Record::Forgotten { .. } => self.forgetting.clear(),
            Record::Drained { worker, .. } => {
                self.sync_worker(now, worker);
                self.answer_drains(worker);
            }
            Record::Steps(record) => self.steps_committed(now, record),
        }
    }

    fn job_finished(&mut self, now: Millis, job: JobId, phase: JobPhase, reason: &str) {
        let workers = self.state.job(job).map_or_else(Vec::new, |entry| entry.workers.clone());
        let what = match phase {
            JobPhase::Succeeded => "succeeded",
            JobPhase::Cancelled => "cancelled",
            JobPhase::Expired => "expired",
            JobPhase::Unrunnable => "unrunnable",
            JobPhase::Unknown => "outcome unknown",
            _ => "failed",
        };
        self.log(what, job, workers, reason);
        let deadline = self
            .state
            .job(job)
            .and_then(|entry| Some(entry.wall + entry.spec.deadline?));
        if let Some(at) = deadline {
            self.deadlines.remove(&(at, job));
        }
        self.finishing.remove(&job);
        self.end_run(now, job);
        self.answer_cancels(job);
        self.answer_job_waits(job);
    }

    /// Ends a queued job with a final phase, without a run to stop first.
    pub(crate) fn finish_queued(&mut self, now: Millis, job: JobId, phase: JobPhase, reason: &str) {
        let Some(ran) = self.state.job(job).map(|entry| entry.ran) else {
            return;
        };
        self.planner.apply(
            now,
            Change::Ended {
                job,
                end: AttemptEnd::Stopped,
            },
        );
        self.finish_job(job, phase, ran, None, reason.to_owned());
    }

    /// Handles a passed deadline: a queued job ends as expired, a placed one is reviewed so that its run is stopped.
    /// While the job is being placed or ended, nothing is done.
    pub(crate) fn expire_job(&mut self, now: Millis, job: JobId) {
        let open = self.state.job(job).is_some_and(|entry| entry.ended.is_none());
        if !open || self.finishing.contains(&job) || self.placing.contains_key(&job) {
            return;
        }
        if self.runs.contains_key(&job) {
            self.dirty_jobs.insert(job);
        } else {
            self.finish_queued(now, job, JobPhase::Expired, "the deadline passed before it started");
        }
    }
}

/// The removals of stored answers that follow from a record that is not folded yet.
pub(crate) fn answer_deletes(region: &RegionName, state: &RegionState, record: &Record) -> Vec<AppendAction> {
    let Record::Forgotten { jobs } = record else {
        return Vec::new();
    };
    let stored = |job: &&JobId| {
        let entry = state.job(**job);
        entry
            .and_then(|entry| entry.ended.as_ref())
            .is_some_and(|ended| ended.stored)
    };
    let delete = |job: &JobId| AppendAction::DeleteObject {
        key: answer_key(region, *job),
    };
    jobs.iter().filter(stored).map(delete).collect()
}
