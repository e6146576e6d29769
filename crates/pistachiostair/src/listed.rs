//! Effect of the platform's list of VMs on the scheduler's workers: those that leave or that the list no longer
//! contains.

use std::collections::BTreeMap;

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};
use crate::planner::Change;
use crate::reconcile::LEASE_LAPSE;
use crate::resource::MemberState;

impl ActiveScheduler {
    /// Replaces the list of workers by the platform's present one. A worker that it no longer contains is marked as
    /// gone, one that it marks as leaving gets no new work.
    pub(crate) fn update_listed(&mut self, now: Millis, workers: BTreeMap<WorkerName, MemberState>) {
        let old = self.listed.replace(workers).unwrap_or_default();
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for worker in &names {
            let was_listed = old.contains_key(worker);
            match self.listed_state(worker) {
                None if was_listed => self.mark_gone(now, worker),
                Some(MemberState::Leaving) => self.mark_leaving(now, worker),
                _ => {}
            }
        }
    }

    /// State of a worker in the platform's list; `None` if it is not listed or the list was not read yet.
    pub(crate) fn listed_state(&self, worker: &WorkerName) -> Option<MemberState> {
        self.listed.as_ref()?.get(worker).copied()
    }

    /// Finds workers that are neither listed nor answering for [`LEASE_LAPSE`], so that none of their tasks has a lease
    /// any more. The list may have dropped them before this term began, or have never contained them. Empty while the
    /// list was not read yet.
    pub(crate) fn find_unlisted(&self, now: Millis) -> Vec<WorkerName> {
        let Some(listed) = &self.listed else {
            return Vec::new();
        };
        self.workers
            .iter()
            .filter(|(name, upstream)| upstream.unresponsive && !upstream.gone && !listed.contains_key(*name))
            .filter(|(_, upstream)| now.since(upstream.last_report) >= LEASE_LAPSE)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Marks a worker as gone, since the platform's list no longer contains it, or it is unlisted and unresponsive. The
    /// planner drops it, and the jobs that have tasks there are checked next.
    pub(crate) fn mark_gone(&mut self, now: Millis, worker: &WorkerName) {
        let Some(upstream) = self.workers.get_mut(worker) else {
            return;
        };
        upstream.gone = true;
        upstream.unresponsive = true;
        upstream.planner_view = None;
        let jobs: Vec<JobId> = upstream.parts.iter().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.dirty_workers.insert(worker.clone());
        self.planner.apply(now, Change::WorkerRemoved(worker.clone()));
        self.replan = true;
    }

    /// Marks a worker as leaving, since the platform's list does. The jobs that have tasks there are checked next.
    fn mark_leaving(&mut self, now: Millis, worker: &WorkerName) {
        let Some(upstream) = self.workers.get_mut(worker) else {
            return;
        };
        if upstream.leaving {
            return;
        }
        upstream.leaving = true;
        let jobs: Vec<JobId> = upstream.parts.iter().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.sync_worker(now, worker);
    }
}
