//! Jobs that fail on many workers and workers that fail many jobs.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};

/// Distinct workers on which a job may fail before it is ended.
pub(crate) const JOB_LIMIT: usize = 3;
/// Distinct jobs that may fail in a row on a worker before it is quarantined.
pub(crate) const WORKER_LIMIT: usize = 3;
/// First pause before a quarantined worker is probed.
const FIRST_PAUSE: Millis = Millis(5_000);
/// Longest pause between probes.
const LAST_PAUSE: Millis = Millis(600_000);
/// Jobs with failures that are remembered; the oldest are forgotten first, so that jobs that are
/// never queued again take no memory.
const REMEMBERED: usize = 4_096;

#[derive(Clone, Debug)]
struct Quarantine {
    next: Millis,
    pause: Millis,
    probe: Option<JobId>,
}

/// Failures by job and by worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureHistory {
    jobs: BTreeMap<JobId, BTreeSet<WorkerName>>,
    workers: BTreeMap<WorkerName, BTreeSet<JobId>>,
    quarantined: BTreeMap<WorkerName, Quarantine>,
}

impl FailureHistory {
    /// Notes a failure; true if the worker is quarantined from now on. At most half of `workers`
    /// are: if more of them fail everything, then the jobs are the likelier cause.
    pub(crate) fn record_failure(&mut self, now: Millis, job: JobId, worker: &WorkerName, workers: usize) -> bool {
        self.jobs.entry(job).or_default().insert(worker.clone());
        while self.jobs.len() > REMEMBERED {
            self.jobs.pop_first();
        }
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            if quarantine.probe.take_if(|probe| *probe == job).is_some() {
                quarantine.pause = Millis(quarantine.pause.0 * 2).min(LAST_PAUSE);
                quarantine.next = now + quarantine.pause;
            }
            return false;
        }
        let failed = self.workers.entry(worker.clone()).or_default();
        failed.insert(job);
        if failed.len() < WORKER_LIMIT || self.quarantined.len() >= workers.div_ceil(2) {
            return false;
        }
        self.workers.remove(worker);
        let quarantine = Quarantine {
            next: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
            probe: None,
        };
        self.quarantined.insert(worker.clone(), quarantine);
        true
    }

    /// Notes a success; true if it takes the worker out of quarantine.
    pub(crate) fn record_success(&mut self, job: JobId, worker: &WorkerName) -> bool {
        self.jobs.remove(&job);
        self.workers.remove(worker);
        let probed = self.quarantined.get(worker).is_some_and(|q| q.probe == Some(job));
        if probed {
            self.quarantined.remove(worker);
        }
        probed
    }

    /// Notes that a probe ended without a result.
    pub(crate) fn record_stop(&mut self, now: Millis, job: JobId, worker: &WorkerName) {
        if let Some(quarantine) = self.quarantined.get_mut(worker)
            && quarantine.probe.take_if(|probe| *probe == job).is_some()
        {
            quarantine.next = now + quarantine.pause;
        }
    }

    /// Notes that a job probes a worker.
    pub(crate) fn start_probe(&mut self, job: JobId, worker: &WorkerName) {
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            quarantine.probe = Some(job);
        }
    }

    /// Quarantined workers that are due for a probe.
    pub(crate) fn due_probes(&self, now: Millis) -> Vec<WorkerName> {
        let due = self
            .quarantined
            .iter()
            .filter(|(_, q)| q.probe.is_none() && q.next <= now);
        due.map(|(worker, _)| worker.clone()).collect()
    }

    /// Forgets a worker that is gone.
    pub(crate) fn forget_worker(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
        self.quarantined.remove(worker);
    }

    /// Forgets a job that won't run again.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Workers on which the job failed.
    pub(crate) fn failed_workers(&self, job: JobId) -> Option<&BTreeSet<WorkerName>> {
        self.jobs.get(&job)
    }

    /// Whether the job failed on too many workers to be started again.
    pub(crate) fn job_exhausted(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|workers| workers.len() >= JOB_LIMIT)
    }

    /// Workers in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<WorkerName> {
        self.quarantined.keys().cloned().collect()
    }
}
