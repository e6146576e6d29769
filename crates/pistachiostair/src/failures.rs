//! Failure history: attributes failures to the job if it fails on many workers, and to the worker if many jobs fail
//! on it.
//!
//! The planner ends a job that failed on too many workers, and quarantines a worker on which too many jobs failed. A
//! quarantined worker gets a single job at a time as a probe, at growing intervals, and returns once one succeeds.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};

/// Distinct workers on which a job may fail before it is ended.
pub(crate) const MAX_FAILED_WORKERS: usize = 3;
/// Distinct jobs that may fail in a row on a worker before it is quarantined.
pub(crate) const MAX_FAILED_JOBS: usize = 3;
/// Time before the first probe of a quarantined worker; doubles with each failed probe.
const FIRST_PROBE_INTERVAL: Millis = Millis(5_000);
/// Longest time between probes.
const MAX_PROBE_INTERVAL: Millis = Millis(600_000);
/// Most jobs with failures that are remembered. The oldest are dropped first, so that jobs that are never queued
/// again do not accumulate.
const MAX_JOBS: usize = 4_096;

/// A worker in quarantine.
#[derive(Clone, Debug)]
struct Quarantine {
    next_probe: Millis,
    interval: Millis,
    /// The job that probes the worker now.
    probe: Option<JobId>,
}

/// Failures by job and by worker, and the workers in quarantine.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureHistory {
    /// Workers on which each job failed.
    jobs: BTreeMap<JobId, BTreeSet<WorkerName>>,
    /// Jobs that failed on each worker since its last success.
    workers: BTreeMap<WorkerName, BTreeSet<JobId>>,
    quarantined: BTreeMap<WorkerName, Quarantine>,
}

impl FailureHistory {
    /// Records that a job failed on a worker. Returns whether this puts the worker into quarantine. At most half of the
    /// region's workers, whose number is `workers`, are quarantined: if more fail every job, the jobs are the likelier
    /// cause.
    pub(crate) fn record_failure(&mut self, now: Millis, job: JobId, worker: &WorkerName, workers: usize) -> bool {
        self.jobs.entry(job).or_default().insert(worker.clone());
        self.drop_excess();
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            if quarantine.probe.take_if(|probe| *probe == job).is_some() {
                quarantine.interval = Millis(quarantine.interval.0 * 2).min(MAX_PROBE_INTERVAL);
                quarantine.next_probe = now + quarantine.interval;
            }
            return false;
        }
        let failed = self.workers.entry(worker.clone()).or_default();
        failed.insert(job);
        if failed.len() < MAX_FAILED_JOBS || self.quarantined.len() >= workers.div_ceil(2) {
            return false;
        }
        self.workers.remove(worker);
        let quarantine = Quarantine {
            next_probe: now + FIRST_PROBE_INTERVAL,
            interval: FIRST_PROBE_INTERVAL,
            probe: None,
        };
        self.quarantined.insert(worker.clone(), quarantine);
        true
    }

    /// Restores the workers on which a job failed before a takeover. Nothing is counted against the workers, since they
    /// may have succeeded since.
    pub(crate) fn restore_job(&mut self, job: JobId, workers: BTreeSet<WorkerName>) {
        self.jobs.insert(job, workers);
        self.drop_excess();
    }

    fn drop_excess(&mut self) {
        while self.jobs.len() > MAX_JOBS {
            self.jobs.pop_first();
        }
    }

    /// Records that a job succeeded on a worker. Returns whether this ends the worker's quarantine.
    pub(crate) fn record_success(&mut self, job: JobId, worker: &WorkerName) -> bool {
        self.jobs.remove(&job);
        self.workers.remove(worker);
        let probed = self.quarantined.get(worker).is_some_and(|q| q.probe == Some(job));
        if probed {
            self.quarantined.remove(worker);
        }
        probed
    }

    /// Records that a job was stopped on a worker. If it was the worker's probe, the next one follows after the same
    /// interval.
    pub(crate) fn record_stop(&mut self, now: Millis, job: JobId, worker: &WorkerName) {
        if let Some(quarantine) = self.quarantined.get_mut(worker)
            && quarantine.probe.take_if(|probe| *probe == job).is_some()
        {
            quarantine.next_probe = now + quarantine.interval;
        }
    }

    /// Records that a job probes a quarantined worker.
    pub(crate) fn start_probe(&mut self, job: JobId, worker: &WorkerName) {
        if let Some(quarantine) = self.quarantined.get_mut(worker) {
            quarantine.probe = Some(job);
        }
    }

    /// Quarantined workers that are due for a probe and have none in progress.
    pub(crate) fn due_probes(&self, now: Millis) -> Vec<WorkerName> {
        let due = self
            .quarantined
            .iter()
            .filter(|(_, q)| q.probe.is_none() && q.next_probe <= now);
        due.map(|(worker, _)| worker.clone()).collect()
    }

    /// Drops the history of a worker that is gone.
    pub(crate) fn forget_worker(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
        self.quarantined.remove(worker);
    }

    /// Drops the history of a job that won't run again.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Workers on which the job failed; `None` if it did not fail.
    pub(crate) fn failed_workers(&self, job: JobId) -> Option<&BTreeSet<WorkerName>> {
        self.jobs.get(&job)
    }

    /// Whether the job failed on too many workers to be started again.
    pub(crate) fn job_exhausted(&self, job: JobId) -> bool {
        self.jobs
            .get(&job)
            .is_some_and(|workers| workers.len() >= MAX_FAILED_WORKERS)
    }

    /// Workers in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<WorkerName> {
        self.quarantined.keys().cloned().collect()
    }
}
