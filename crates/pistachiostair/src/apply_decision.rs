//! Carrying out the planner's decisions: placements and ends become journal records, reclaims become stops of runs.
//!
//! The active scheduler calls [`Active::decide`] for each decision that a plan call returned.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::error::Ran;
use crate::gang::{Halt, HaltReason};
use crate::ids::{Attempt, JobId, WorkerName};
use crate::journal::{Part, Record};
use crate::planner::{AttemptEnd, Change, Decision};
use crate::resource::JobPhase;

impl ActiveScheduler {
    /// Carries out one decision of the planner.
    pub(crate) fn decide(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Place { job, workers, reason } => self.place(now, job, &workers, reason),
            Decision::Reclaim {
                job,
                beneficiary,
                grace,
                reason,
            } => self.reclaim(now, job, beneficiary, grace, &reason),
            Decision::Unrunnable { job, reason } => {
                let ran = self.state.job(job).map_or(Ran::No, |entry| entry.ran);
                self.planner.apply(
                    now,
                    Change::Ended {
                        job,
                        end: AttemptEnd::Stopped,
                    },
                );
                self.finish_job(job, JobPhase::Unrunnable, ran, None, reason);
            }
        }
    }

    /// Records a placement as the next attempt of the job. The start commands follow once the record is written.
    fn place(&mut self, now: Millis, job: JobId, workers: &[WorkerName], reason: String) {
        let parts: Option<Vec<Part>> = workers
            .iter()
            .map(|name| {
                let upstream = self.workers.get(name)?;
                Some(Part {
                    worker: name.clone(),
                    incarnation: upstream.incarnation,
                })
            })
            .collect();
        let attempt = self.state.job(job).map_or(Attempt(0), |entry| entry.attempt).next();
        match parts.filter(|_| !self.finishing.contains(&job)) {
            Some(parts) => {
                self.placing.insert(job, reason);
                self.push(Record::Placed { job, attempt, parts });
            }
            // Not expected, since the planner is told only of workers that reported and of jobs that have not ended.
            // The placement is dropped.
            None => self.planner.apply(
                now,
                Change::Ended {
                    job,
                    end: AttemptEnd::Stopped,
                },
            ),
        }
    }

    /// Stops the run of a job, after time for a checkpoint if it makes use of that. Ignored if the run is being stopped
    /// already or must not be stopped.
    fn reclaim(&mut self, now: Millis, job: JobId, beneficiary: JobId, grace: Millis, reason: &str) {
        let Some(entry) = self.state.job(job).cloned() else {
            return;
        };
        let Some(mut run) = self.runs.remove(&job) else {
            return;
        };
        let spec = &entry.spec;
        let stoppable = spec.idempotent || spec.checkpointable || !run.released;
        if !run.completed && run.halt.is_none() && stoppable {
            let saves = spec.checkpointable && run.released;
            let halt = Halt {
                reason: HaltReason::Reclaimed,
                checkpoint_until: saves.then_some(now + grace),
            };
            for part in &mut run.parts {
                part.start_progress = part.progress;
            }
            let workers = run.parts.iter().map(|part| part.worker.clone()).collect();
            self.log("reclaiming", job, workers, format!("for job {beneficiary}: {reason}"));
            self.halt(&mut run, halt);
            self.dirty_jobs.insert(job);
        }
        self.runs.insert(job, run);
    }
}
