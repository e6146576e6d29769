//! Decisions of the planner, turned into records and stops.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::error::Ran;
use crate::gang::{Halt, HaltReason};
use crate::ids::{Attempt, JobId, WorkerName};
use crate::journal::{Part, Record};
use crate::planner::{Change, Decision, End};
use crate::resource::JobPhase;

impl ActiveScheduler {
    /// Acts on one decision of the planner.
    pub(crate) fn decide(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Place { job, workers, reason } => self.place(now, job, &workers, reason),
            Decision::Reclaim {
                job,
                winner,
                grace,
                reason,
            } => self.reclaim(now, job, winner, grace, &reason),
            Decision::Unrunnable { job, reason } => {
                let ran = self.state.job(job).map_or(Ran::No, |entry| entry.ran);
                self.planner.apply(now, Change::Ended { job, end: End::Stopped });
                self.finish_job(job, JobPhase::Unrunnable, ran, None, reason);
            }
        }
    }

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
            // The planner is told only of workers that reported, and of jobs that have not ended.
            None => self.planner.apply(now, Change::Ended { job, end: End::Stopped }),
        }
    }

    fn reclaim(&mut self, now: Millis, job: JobId, winner: JobId, grace: Millis, reason: &str) {
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
            self.log("reclaiming", job, workers, format!("for job {winner}: {reason}"));
            self.halt(&mut run, halt);
            self.dirty_jobs.insert(job);
        }
        self.runs.insert(job, run);
    }
}
