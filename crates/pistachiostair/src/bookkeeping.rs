//! Bookkeeping of the planner: applies changes and decisions to the topology, queues, accounts, headroom and
//! guarantees.
//!
//! Each amount is counted in several places (worker, rack, account, headroom, guarantees). The functions here change
//! all of them together.

use crate::clock::Millis;
use crate::fair::{ClassKey, StopEffect};
use crate::guarantee::AccountIndex;
use crate::ids::{JobId, WorkerName};
use crate::planner::{AttemptEnd, Decision, Hold, PlacedJob, Planner, WaitingJob};
use crate::rack::WorkerIndex;
use crate::resource::{JobSpec, MemberState, Shape, Size, WorkerInfo};

impl Planner {
    /// Adds or updates a worker. Unrunnable jobs that the hardware can now hold become runnable.
    pub(crate) fn set_worker(&mut self, now: Millis, info: WorkerInfo, state: MemberState) {
        let name = info.name.clone();
        if let Some(worker) = self.topology.index(&name) {
            let node = &self.topology.nodes[worker];
            if node.info == info && node.state == state && !node.gone {
                return;
            }
        }
        if self.topology.set(info, state) {
            self.last_growth = now;
            let (topology, waiting, blame) = (&self.topology, &self.waiting, &self.blame);
            self.unrunnable
                .retain(|job| blame.job_exhausted(*job) || !topology.can_hold(waiting[job].spec.shape));
        }
        let worker = self.topology.index_or_insert(&name);
        self.hardware_changed(worker);
    }

    /// Marks a worker as gone. Its index is reused once no job is counted on it.
    pub(crate) fn remove_worker(&mut self, name: &WorkerName) {
        let Some(worker) = self.topology.index(name) else {
            return;
        };
        self.blame.forget_worker(name);
        self.topology.update(worker, |node| {
            node.gone = true;
            node.quarantined = false;
        });
        self.hardware_changed(worker);
        self.guarantees.remove_worker(&mut self.topology, worker);
        self.topology.forget_empty(worker);
    }

    /// Cancels holds on the worker if it takes no new work, has the guarantees checked and starts a new epoch.
    fn hardware_changed(&mut self, worker: WorkerIndex) {
        if !self.topology.nodes[worker].usable() {
            let affected: Vec<JobId> = self
                .holds
                .iter()
                .filter(|(_, h)| h.workers.contains(&worker))
                .map(|(j, _)| *j)
                .collect();
            for job in affected {
                self.requeue_held(job);
            }
        }
        self.guarantees.mark_dirty();
        self.next_epoch();
    }

    /// Adds a job to the queue of its account.
    pub(crate) fn queue(&mut self, now: Millis, job: JobId, spec: JobSpec, served: Millis) {
        if self.waiting.contains_key(&job) || self.placed.contains_key(&job) {
            return;
        }
        let account = self.account(&spec.account);
        let key = ClassKey::of(&spec, served, &self.scheduling);
        if self.blame.job_exhausted(job) || !self.topology.can_hold(spec.shape) {
            self.unrunnable.insert(job);
        }
        self.accounts[account].push(key, job);
        let waiting = WaitingJob {
            spec,
            account,
            key,
            since: now,
            served,
        };
        self.waiting.insert(job, waiting);
    }

    /// Counts a job that was found running at takeover. Pinned work is counted even if it breaks a guarantee.
    pub(crate) fn adopt(&mut self, now: Millis, job: JobId, spec: JobSpec, workers: &[WorkerName]) {
        if self.placed.contains_key(&job) {
            return;
        }
        self.unqueue(job);
        let account = self.account(&spec.account);
        let workers: Vec<WorkerIndex> = workers.iter().map(|name| self.topology.index_or_insert(name)).collect();
        let key = ClassKey::of(&spec, Millis::ZERO, &self.scheduling);
        if key.stop == StopEffect::Pinned {
            self.guarantees
                .pin(&mut self.topology, account, &workers, spec.shape.accelerators);
        }
        let long = self.accounts[account].expects_long(&key);
        self.occupy(job, Self::placed(now, spec, account, key, workers, long, Millis::ZERO));
        self.start(now, job);
    }

    fn placed(
        now: Millis,
        spec: JobSpec,
        account: AccountIndex,
        key: ClassKey,
        workers: Vec<WorkerIndex>,
        long: bool,
        served: Millis,
    ) -> PlacedJob {
        PlacedJob {
            spec,
            account,
            key,
            workers,
            ended: Default::default(),
            since: now,
            running: false,
            served,
            long,
            ran_long: false,
            stopping: false,
            memory: 0,
        }
    }

    /// Places a waiting job on workers that were found free and returns the decision; `None` if the job does not wait.
    /// Pinned work has been counted with the guarantees before.
    pub(crate) fn place(
        &mut self,
        now: Millis,
        job: JobId,
        workers: Vec<WorkerIndex>,
        reason: String,
    ) -> Option<Decision> {
        self.release_hold(job);
        let waiting = self.unqueue(job)?;
        let account = waiting.account;
        let long = self.accounts[account].expects_long(&waiting.key);
        self.placements += 1;
        self.accounts[account].last_placement = self.placements;
        let names = self.topology.names(&workers);
        let placed = Self::placed(now, waiting.spec, account, waiting.key, workers, long, waiting.served);
        self.occupy(job, placed);
        Some(Decision::Place {
            job,
            workers: names,
            reason,
        })
    }

    /// Counts the accelerators and tasks of a job on its workers, its account and the headroom.
    fn occupy(&mut self, job: JobId, placed: PlacedJob) {
        let accelerators = placed.spec.shape.accelerators;
        for worker in &placed.workers {
            self.topology.update(*worker, |node| {
                node.tasks += 1;
                node.used += accelerators;
                node.long += u32::from(placed.long);
                node.jobs.insert(job);
            });
        }
        let account = &mut self.accounts[placed.account];
        account.used += placed.spec.shape.total();
        account.tasks += placed.spec.shape.workers;
        self.headroom.add(placed.long, placed.spec.shape.total());
        self.placed.insert(job, placed);
    }

    /// Notes that all parts of a job run and when its run time will exceed `Scheduling.short`.
    pub(crate) fn start(&mut self, now: Millis, job: JobId) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        if placed.running {
            return;
        }
        placed.running = true;
        placed.since = now;
        let left = self.scheduling.short.since(placed.served);
        self.aging.insert((now + left + Millis(1), job));
    }

    /// Counts jobs as long whose run time has exceeded `Scheduling.short`, and advances the headroom's period.
    pub(crate) fn age(&mut self, now: Millis) {
        self.headroom.advance(now);
        while let Some((due, job)) = self.aging.first().copied() {
            if due > now {
                return;
            }
            self.aging.pop_first();
            let Some(placed) = self.placed.get_mut(&job) else {
                continue;
            };
            placed.ran_long = true;
            let parts: Vec<(u32, WorkerIndex)> = placed.active_parts().collect();
            let (account, key) = (placed.account, placed.key);
            if !std::mem::replace(&mut placed.long, true) {
                self.headroom
                    .reclassify_long(parts.len() as u32 * placed.spec.shape.accelerators);
                for (_, worker) in parts {
                    self.topology.update(worker, |node| node.long += 1);
                }
            }
            if self.accounts[account].observe(&key, true) {
                self.next_epoch();
            }
        }
    }

    /// Removes a job from the queue or from its workers. Reclaim decisions for it that were not yet returned are
    /// dropped.
    pub(crate) fn end(&mut self, now: Millis, job: JobId, end: AttemptEnd) {
        self.backlog
            .retain(|decision| !matches!(decision, Decision::Reclaim { job: victim, .. } if *victim == job));
        self.release_hold(job);
        if self.unqueue(job).is_some() {
            self.blame.forget_job(job);
            return;
        }
        let Some(placed) = self.placed.get(&job) else {
            return;
        };
        let parts: Vec<(u32, WorkerIndex)> = placed.active_parts().collect();
        for (part, _) in parts {
            self.end_part(job, part);
        }
        let Some(placed) = self.placed.remove(&job) else {
            return;
        };
        if placed.running {
            let due = placed.since + self.scheduling.short.since(placed.served) + Millis(1);
            self.aging.remove(&(due, job));
        }
        if end == AttemptEnd::Succeeded && !placed.ran_long {
            self.accounts[placed.account].observe(&placed.key, false);
        }
        self.record_outcome(now, job, &placed, end);
        for worker in placed.workers {
            self.topology.update(worker, |node| {
                node.jobs.remove(&job);
            });
            self.topology.forget_empty(worker);
        }
        self.next_epoch();
    }

    /// Records the end of an attempt for each of its workers, and updates the quarantine of a worker where it changes.
    fn record_outcome(&mut self, now: Millis, job: JobId, placed: &PlacedJob, end: AttemptEnd) {
        let mut workers = placed.workers.clone();
        workers.sort_unstable();
        workers.dedup();
        let live = self.topology.len();
        for worker in &workers {
            let name = self.topology.nodes[*worker].info.name.clone();
            let blamed = matches!(end, AttemptEnd::Failed(part) if placed.workers.get(part as usize) == Some(worker));
            let quarantined = match end {
                AttemptEnd::Succeeded if self.blame.record_success(job, &name) => false,
                AttemptEnd::Failed(_) if blamed && self.blame.record_failure(now, job, &name, live) => true,
                AttemptEnd::Failed(_) if blamed => continue,
                AttemptEnd::Succeeded => continue,
                AttemptEnd::Failed(_) | AttemptEnd::Stopped => {
                    self.blame.record_stop(now, job, &name);
                    continue;
                }
            };
            self.topology.update(*worker, |node| node.quarantined = quarantined);
            self.hardware_changed(*worker);
        }
    }

    /// Releases what a part holds. Ignored if the part has ended already.
    pub(crate) fn end_part(&mut self, job: JobId, part: u32) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        let Some(worker) = placed.workers.get(part as usize).copied() else {
            return;
        };
        if !placed.ended.insert(part) {
            return;
        }
        let accelerators = placed.spec.shape.accelerators;
        let (long, stopping, memory) = (placed.long, placed.stopping, placed.memory);
        self.topology.update(worker, |node| {
            node.tasks -= 1;
            node.used -= accelerators;
            node.long -= u32::from(long);
            node.memory = node.memory.saturating_sub(memory);
            if stopping {
                node.stopping -= accelerators;
                node.stopping_slots -= 1;
            }
        });
        let account = &mut self.accounts[placed.account];
        account.used -= accelerators;
        account.tasks -= 1;
        self.headroom.sub(long, accelerators);
        if placed.pinned() {
            self.guarantees
                .unpin(&mut self.topology, placed.account, worker, accelerators);
        }
        self.next_epoch();
    }

    /// Replaces the observed memory of a job's parts on their workers.
    pub(crate) fn observe_usage(&mut self, job: JobId, size: Size) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut placed.memory, size.memory);
        let parts: Vec<(u32, WorkerIndex)> = placed.active_parts().collect();
        for (_, worker) in parts {
            self.topology.update(worker, |node| {
                node.memory = (node.memory + size.memory).saturating_sub(before)
            });
        }
        if size.memory < before {
            self.next_epoch();
        }
    }

    /// Marks a placed job as being stopped, so that searches count its capacity as soon to be free.
    pub(crate) fn mark_stopping(&mut self, job: JobId) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        placed.stopping = true;
        let accelerators = placed.spec.shape.accelerators;
        let parts: Vec<(u32, WorkerIndex)> = placed.active_parts().collect();
        for (_, worker) in parts {
            self.topology.update(worker, |node| {
                node.stopping += accelerators;
                node.stopping_slots += 1;
            });
        }
    }

    /// Removes a waiting job that won't be queued again, with its hold and its recorded failures.
    pub(crate) fn remove_waiting(&mut self, job: JobId) {
        self.release_hold(job);
        self.unqueue(job);
        self.blame.forget_job(job);
    }

    fn unqueue(&mut self, job: JobId) -> Option<WaitingJob> {
        let waiting = self.waiting.remove(&job)?;
        self.unrunnable.remove(&job);
        self.accounts[waiting.account].remove(&waiting.key, job);
        Some(waiting)
    }

    /// Holds workers for a waiting job and takes it out of the queue. Other work is not placed on the capacity that it
    /// needs there, except that short work which can be stopped may use a reservation (`reclaim` is false).
    pub(crate) fn add_hold(
        &mut self,
        now: Millis,
        job: JobId,
        workers: Vec<WorkerIndex>,
        reason: &'static str,
        reclaim: bool,
    ) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let (account, key, shape) = (waiting.account, waiting.key, waiting.spec.shape);
        self.accounts[account].remove(&key, job);
        self.accounts[account].held += shape.total();
        let long = self.accounts[account].expects_long(&key);
        if long {
            self.headroom.hold(shape.total(), true);
        }
        self.adjust_claims(&workers, shape, !reclaim, true);
        let hold = Hold {
            workers,
            reason,
            since: now,
            reclaim,
            long,
        };
        self.holds.insert(job, hold);
    }

    /// Releases the hold of a job without queueing the job again; false if there was none.
    pub(crate) fn release_hold(&mut self, job: JobId) -> bool {
        let Some(hold) = self.holds.remove(&job) else {
            return false;
        };
        if let Some(waiting) = self.waiting.get(&job) {
            let (account, shape) = (waiting.account, waiting.spec.shape);
            self.accounts[account].held -= shape.total();
            if hold.long {
                self.headroom.hold(shape.total(), false);
            }
            self.adjust_claims(&hold.workers, shape, !hold.reclaim, false);
        }
        self.next_epoch();
        true
    }

    /// Releases the hold of a waiting job and puts the job back into the queue of its account.
    pub(crate) fn requeue_held(&mut self, job: JobId) {
        if !self.release_hold(job) {
            return;
        }
        if let Some(waiting) = self.waiting.get(&job) {
            let (account, key) = (waiting.account, waiting.key);
            self.accounts[account].push(key, job);
        }
    }

    /// Adds one part of the shape to the claims of each worker, or removes it; with `reserve` also to the part of the
    /// claims that short work may use.
    fn adjust_claims(&mut self, workers: &[WorkerIndex], shape: Shape, reserve: bool, add: bool) {
        let adjust = |count: &mut u32, by: u32| *count = if add { *count + by } else { *count - by };
        for worker in workers {
            self.topology.update(*worker, |node| {
                adjust(&mut node.claimed, shape.accelerators);
                adjust(&mut node.claimed_slots, 1);
                if reserve {
                    adjust(&mut node.reserved, shape.accelerators);
                    adjust(&mut node.reserved_slots, 1);
                }
            });
        }
    }
}
