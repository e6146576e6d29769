//! Placement and queueing decisions, without I/O.
//!
//! The planner holds the topology, the waiting jobs and what runs where. It is fed with
//! [`Change`]s and asked for [`Decision`]s; it reads no clock and no random source.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, GuaranteeName, JobId, WorkerName};
use crate::resource::{AccountSpec, Guarantee, JobSpec, MemberState, Scheduling, Size, WorkerInfo};

/// Something that happened and that placement depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker appeared, or its size, place or state changed. A leaving worker takes nothing new.
    Worker {
        /// Place and size.
        info: WorkerInfo,
        /// State; a dead worker is kept only while jobs are on it.
        state: MemberState,
    },
    /// A worker is gone for good.
    WorkerGone(WorkerName),
    /// A client account appeared or changed.
    Account(AccountName, AccountSpec),
    /// A guarantee appeared or changed.
    Guarantee(Guarantee),
    /// A guarantee was deleted.
    GuaranteeGone(GuaranteeName),
    /// Parameters changed.
    Scheduling(Scheduling),
    /// A job waits for a start; `served` is the service that its earlier attempts got.
    Queued {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// Service of earlier attempts.
        served: Millis,
    },
    /// A job was found running during take-over: it occupies these workers.
    Adopted {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// One worker for each part.
        workers: Vec<WorkerName>,
    },
    /// The whole gang runs since now.
    Running(JobId),
    /// The job left the queue and its workers: finished, cancelled, or about to be queued anew.
    Ended {
        /// The job.
        job: JobId,
        /// How it ended, for blame.
        end: End,
    },
    /// One part of a job ended and released its accelerators while others still hold theirs.
    PartEnded(JobId, u32),
    /// Observed usage of a running job's part, which lags.
    Usage(JobId, Size),
}

/// How a job left its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It succeeded.
    Succeeded,
    /// One part failed on this worker: index into the placement.
    Failed(u32),
    /// It was cancelled, reclaimed, or not started.
    Stopped,
}

/// What the planner decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start the job on these workers, one for each part. The planner counts them as taken from now on.
    Place {
        /// The job.
        job: JobId,
        /// One worker for each part.
        workers: Vec<WorkerName>,
        /// Why now and why here, for the log.
        reason: String,
    },
    /// Stop a running job, to give capacity back. It is counted as taken until `Change::Ended`.
    Reclaim {
        /// The job to stop.
        job: JobId,
        /// The waiting job that gains.
        winner: JobId,
        /// Time to checkpoint before the stop.
        grace: Millis,
        /// Why this one, for the log.
        reason: String,
    },
    /// The job can never run as it is.
    Unrunnable {
        /// The job.
        job: JobId,
        /// The reason, for the caller.
        reason: String,
    },
}

/// Figures for metrics and `describe`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Jobs that wait.
    pub waiting: usize,
    /// Jobs that are placed.
    pub placed: usize,
    /// Accelerators of live workers.
    pub accelerators: u32,
    /// Accelerators in use.
    pub used: u32,
    /// Largest number of adjacent free accelerators that one gang can get.
    pub largest: u32,
    /// Share of free accelerators outside the largest placeable shape, from 0 to 1.
    pub fragmentation: f64,
    /// Guarantees that can't be honoured at present.
    pub broken: usize,
}

#[derive(Clone, Debug)]
struct WorkerState {
    info: WorkerInfo,
    state: MemberState,
    slots: u32,
    used: u32,
}

impl WorkerState {
    fn fits(&self, accelerators: u32) -> bool {
        self.state == MemberState::Live
            && self.slots < self.info.slots
            && self.used + accelerators <= self.info.accelerators
    }
}

/// The decision core of a region's scheduler.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    workers: BTreeMap<WorkerName, WorkerState>,
    waiting: BTreeMap<JobId, JobSpec>,
    placed: BTreeMap<JobId, (JobSpec, Vec<WorkerName>)>,
    ended: BTreeSet<(JobId, u32)>,
    guarantees: BTreeMap<GuaranteeName, Guarantee>,
}

impl Planner {
    /// An empty planner.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of a change.
    pub fn apply(&mut self, _now: Millis, change: Change) {
        match change {
            Change::Worker { info, state } => {
                let old = self.workers.remove(&info.name);
                let (slots, used) = old.map_or((0, 0), |old| (old.slots, old.used));
                self.workers.insert(
                    info.name.clone(),
                    WorkerState {
                        info,
                        state,
                        slots,
                        used,
                    },
                );
            }
            Change::WorkerGone(name) => {
                self.workers.remove(&name);
            }
            Change::Queued { job, spec, .. } => {
                self.waiting.insert(job, spec);
            }
            Change::Adopted { job, spec, workers } => {
                self.take(&workers, spec.shape.accelerators);
                self.placed.insert(job, (spec, workers));
            }
            Change::Ended { job, .. } => {
                self.waiting.remove(&job);
                if let Some((spec, workers)) = self.placed.remove(&job) {
                    for (part, worker) in workers.iter().enumerate() {
                        if !self.ended.remove(&(job, part as u32)) {
                            self.give(worker, spec.shape.accelerators);
                        }
                    }
                }
            }
            Change::PartEnded(job, part) => {
                let Some((spec, workers)) = self.placed.get(&job) else {
                    return;
                };
                let Some(worker) = workers.get(part as usize).cloned() else {
                    return;
                };
                let accelerators = spec.shape.accelerators;
                if self.ended.insert((job, part)) {
                    self.give(&worker, accelerators);
                }
            }
            Change::Guarantee(guarantee) => {
                self.guarantees.insert(guarantee.name(), guarantee);
            }
            Change::GuaranteeGone(name) => {
                self.guarantees.remove(&name);
            }
            Change::Account(..) | Change::Scheduling(_) | Change::Running(_) | Change::Usage(..) => {}
        }
    }

    /// Returns at most `limit` decisions.
    pub fn plan(&mut self, _now: Millis, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let jobs: Vec<JobId> = self.waiting.keys().copied().collect();
        for job in jobs {
            if decisions.len() >= limit {
                break;
            }
            let Some(workers) = self.find(&self.waiting[&job]) else {
                continue;
            };
            let Some(spec) = self.waiting.remove(&job) else {
                continue;
            };
            self.take(&workers, spec.shape.accelerators);
            self.placed.insert(job, (spec, workers.clone()));
            decisions.push(Decision::Place {
                job,
                workers,
                reason: "first fit".to_owned(),
            });
        }
        decisions
    }

    /// Checks whether a guarantee can be honoured together with all others; the reason if not.
    pub fn check_guarantee(&self, guarantee: &Guarantee) -> Result<(), String> {
        let needed = guarantee.spec.shape.total() * guarantee.spec.count;
        let present: u32 = self.workers.values().map(|w| w.info.accelerators).sum();
        if needed > present {
            return Err(format!("it needs {needed} accelerators and there are {present}"));
        }
        Ok(())
    }

    /// Explains why a job waits, in lines for people; nothing if it does not wait.
    pub fn explain(&self, job: JobId) -> Vec<String> {
        match self.waiting.get(&job) {
            Some(spec) => vec![format!("no {} is free", spec.shape)],
            None => Vec::new(),
        }
    }

    /// Guarantees with the reason why they can't be honoured at present.
    pub fn broken_guarantees(&self) -> Vec<(GuaranteeName, String)> {
        Vec::new()
    }

    /// Workers that are quarantined after failures of several jobs.
    pub fn quarantined(&self) -> Vec<WorkerName> {
        Vec::new()
    }

    /// Figures for metrics.
    pub fn figures(&self) -> Figures {
        Figures {
            waiting: self.waiting.len(),
            placed: self.placed.len(),
            ..Figures::default()
        }
    }

    fn find(&self, spec: &JobSpec) -> Option<Vec<WorkerName>> {
        let count = spec.shape.workers as usize;
        let found: Vec<WorkerName> = self
            .workers
            .values()
            .filter(|worker| worker.fits(spec.shape.accelerators))
            .map(|worker| worker.info.name.clone())
            .take(count)
            .collect();
        (found.len() == count).then_some(found)
    }

    fn take(&mut self, workers: &[WorkerName], accelerators: u32) {
        for name in workers {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.slots += 1;
                worker.used += accelerators;
            }
        }
    }

    fn give(&mut self, name: &WorkerName, accelerators: u32) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.slots = worker.slots.saturating_sub(1);
            worker.used = worker.used.saturating_sub(accelerators);
        }
    }
}
