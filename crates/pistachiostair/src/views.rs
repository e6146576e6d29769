//! Jobs and workers as the API returns them, built from the committed state and the attempts in progress.

use crate::active::ActiveScheduler;
use crate::error::Ran;
use crate::gang::{Run, combine_ran};
use crate::ids::{Attempt, Revision};
use crate::state::{JobOutcome, JobState};

use crate::resource::{Condition, Job, JobPhase, JobStatus, Metadata, Worker};

impl ActiveScheduler {
    /// A job as the API returns it. A stored answer is not included.
    pub(crate) fn job_view(&self, entry: &JobState) -> Job {
        let status = match (&entry.ended, self.runs.get(&entry.id)) {
            (Some(ended), _) => ended_status(entry, ended),
            (None, Some(run)) => self.run_status(entry, run),
            (None, None) => status(entry, JobPhase::Queued, entry.attempt, entry.ran, &entry.reason),
        };
        Job {
            metadata: Metadata {
                name: entry.name.to_string(),
                revision: entry.revision,
                ..Metadata::default()
            },
            spec: entry.spec.clone(),
            status,
        }
    }

    /// Status of a job with an attempt in progress. Whether it ran is unknown while a worker of a released part is
    /// unresponsive.
    fn run_status(&self, entry: &JobState, run: &Run) -> JobStatus {
        let phase = if run.halt.is_some() || entry.cancelling {
            JobPhase::Stopping
        } else if run.released && run.running_since.is_some() {
            JobPhase::Running
        } else {
            JobPhase::Starting
        };
        let mut ran = combine_ran(entry.ran, run.ran());
        let mut conditions = Vec::new();
        for part in run.parts.iter().filter(|part| part.end.is_none()) {
            let unresponsive = self
                .workers
                .get(&part.worker)
                .is_some_and(|upstream| upstream.unresponsive);
            if unresponsive {
                conditions.push(Condition {
                    kind: "Responding".to_owned(),
                    status: false,
                    reason: format!("{} does not respond", part.worker),
                });
                if run.released && !part.not_started() {
                    ran = Ran::Unknown;
                }
            }
        }
        let reason = conditions.first().map_or("", |condition| condition.reason.as_str());
        let mut status = status(entry, phase, run.attempt, ran, reason);
        status.conditions = conditions;
        status
    }

    /// All workers that reported in this term.
    pub(crate) fn worker_views(&self) -> Vec<Worker> {
        let quarantined = self.planner.quarantined();
        self.workers
            .iter()
            .filter_map(|(name, upstream)| {
                let info = upstream.info.clone()?;
                let drained = self.state.drained.contains(name);
                let used = upstream
                    .parts
                    .iter()
                    .filter_map(|task| self.state.job(task.job))
                    .map(|entry| entry.spec.shape.accelerators)
                    .sum();
                Some(Worker {
                    metadata: Metadata {
                        name: name.to_string(),
                        revision: Revision(0),
                        ..Metadata::default()
                    },
                    info,
                    state: upstream.member_state(drained, true),
                    quarantined: quarantined.contains(name),
                    ejected: self.ejector.awaits_probes(name),
                    tasks: upstream.parts.len() as u32,
                    used,
                })
            })
            .collect()
    }
}

fn ended_status(entry: &JobState, ended: &JobOutcome) -> JobStatus {
    let mut status = status(entry, ended.phase, entry.attempt, ended.ran, &ended.reason);
    status.answer.clone_from(&ended.answer);
    status
}

fn status(entry: &JobState, phase: JobPhase, attempt: Attempt, ran: Ran, reason: &str) -> JobStatus {
    JobStatus {
        id: entry.id,
        phase,
        attempt,
        workers: entry.workers.clone(),
        ran,
        answer: None,
        reason: reason.to_owned(),
        conditions: Vec::new(),
    }
}
