//! Workers as the platform's list shows them.

use std::collections::BTreeMap;

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};
use crate::planner::Change;
use crate::reconcile::LEASE_LAPSE;
use crate::resource::MemberState;

impl ActiveScheduler {
    /// Takes in the platform's list.
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

    pub(crate) fn listed_state(&self, worker: &WorkerName) -> Option<MemberState> {
        self.listed.as_ref()?.get(worker).copied()
    }

    /// Finds workers that are neither listed nor heard. The list may have dropped them before this
    /// term began, or have never shown them; none of their tasks has a lease by now.
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

    /// The platform's list no longer contains the worker.
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

    /// The platform's list marks the worker as leaving.
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
