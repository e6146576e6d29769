//! Explains to users why a job waits: quota, order, fair share, reservations or lack of room.

use crate::fair::StopEffect;
use crate::ids::JobId;
use crate::planner::{Planner, WaitingJob};
use crate::rack::WorkKind;

impl Planner {
    /// One line for each reason why the job is not placed; empty if it does not wait for a placement.
    pub(crate) fn reasons(&self, job: JobId) -> Vec<String> {
        let Some(waiting) = self.waiting.get(&job) else {
            return Vec::new();
        };
        let mut lines = Vec::new();
        if self.unrunnable.contains(&job) {
            lines.push(match self.blame.failed_workers(job) {
                Some(workers) if self.blame.job_exhausted(job) => format!("it failed on {} workers", workers.len()),
                _ => format!("no hardware of this region can hold {}", waiting.spec.shape),
            });
            return lines;
        }
        if let Some(hold) = self.holds.get(&job) {
            let names: Vec<String> = self
                .topology
                .names(&hold.workers)
                .iter()
                .map(|name| name.to_string())
                .collect();
            lines.push(format!("{}: waits until {} are free", hold.reason, names.join(", ")));
            return lines;
        }
        self.explain_quota(waiting, &mut lines);
        self.explain_order(job, waiting, &mut lines);
        self.explain_room(waiting, &mut lines);
        if lines.is_empty() {
            lines.push("it is placed with the next decision".to_owned());
        }
        lines
    }

    /// Adds a line if the job would exceed its account's quota.
    fn explain_quota(&self, waiting: &WaitingJob, lines: &mut Vec<String>) {
        let account = &self.accounts[waiting.account];
        let needed = waiting.spec.shape.total();
        if let Some(quota) = account.spec.quota
            && !account.allows(needed)
        {
            let used = account.used + account.held;
            lines.push(format!(
                "quota: {} uses {used} of {quota} accelerators and the job needs {needed}",
                account.name
            ));
        }
    }

    /// Adds lines on the jobs of its account and the other accounts that come first.
    fn explain_order(&self, job: JobId, waiting: &WaitingJob, lines: &mut Vec<String>) {
        let account = &self.accounts[waiting.account];
        let rank = (waiting.key.urgency, waiting.key.level);
        let ahead: usize = account
            .classes
            .iter()
            .map(|(key, class)| match (key.urgency, key.level).cmp(&rank) {
                std::cmp::Ordering::Less => class.jobs.len(),
                std::cmp::Ordering::Equal => class.jobs.range(..job).count(),
                std::cmp::Ordering::Greater => 0,
            })
            .sum();
        if ahead > 0 {
            lines.push(format!("order: {ahead} jobs of {} come first", account.name));
        }
        let own = self.share(waiting.account, (0, 0));
        let before = self
            .accounts_by_share()
            .into_iter()
            .filter(|aid| self.share(*aid, (0, 0)) < own);
        let names: Vec<&str> = before.map(|aid| self.accounts[aid].name.as_str()).collect();
        if !names.is_empty() {
            let share = own as f64 / 10_000.0;
            lines.push(format!(
                "fair share: {} uses {share:.1}% per weight; {} use less and come first",
                account.name,
                names.join(", ")
            ));
        }
    }

    /// Adds lines on why no free accelerators can be used.
    fn explain_room(&self, waiting: &WaitingJob, lines: &mut Vec<String>) {
        let shape = waiting.spec.shape;
        let kind = self.kind(waiting.account, &waiting.key);
        if kind.long && !self.long_allowed(waiting.account, shape) {
            lines.push("headroom: the free accelerators are kept for short work".to_owned());
        }
        if self.topology.find(shape, kind).is_some() {
            return;
        }
        let short = WorkKind { long: false, ..kind };
        let loose = WorkKind { pinned: false, ..kind };
        if kind.long && self.topology.find(shape, short).is_some() {
            lines.push("reserved slots: the free slots are kept for short work".to_owned());
        } else if waiting.key.stop == StopEffect::Pinned && self.topology.find(shape, loose).is_some() {
            lines.push("guarantee: what is free is guaranteed to others, and the job can't be stopped".to_owned());
        } else {
            let largest = self.topology.largest_gang();
            lines.push(format!(
                "no adjacent room for {shape}; the largest gang could get {largest} accelerators"
            ));
        }
        let holders: Vec<String> = self.holds.keys().map(|job| job.to_string()).collect();
        if !holders.is_empty() {
            lines.push(format!("workers are reserved for jobs {}", holders.join(", ")));
        }
    }
}
