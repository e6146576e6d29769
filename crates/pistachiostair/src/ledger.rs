//! Book-keeping of what waits, what is placed and what is kept for whom.

use crate::clock::Millis;
use crate::fair::{ClassKey, Stop};
use crate::guarantee::Aid;
use crate::ids::{JobId, WorkerName};
use crate::node::Wid;
use crate::planner::{Decision, End, Hold, Placed, Planner, Waiting};
use crate::resource::{JobSpec, MemberState, Shape, Size, WorkerInfo};

impl Planner {
    pub(crate) fn set_worker(&mut self, now: Millis, info: WorkerInfo, state: MemberState) {
        let name = info.name.clone();
        if let Some(wid) = self.topology.id(&name) {
            let node = &self.topology.nodes[wid];
            if node.info == info && node.state == state && !node.gone {
                return;
            }
        }
        if self.topology.set(info, state) {
            self.grown = now;
            let (topology, waiting, blame) = (&self.topology, &self.waiting, &self.blame);
            self.doomed
                .retain(|job| blame.job_exhausted(*job) || !topology.holds(waiting[job].spec.shape));
        }
        let wid = self.topology.ensure(&name);
        self.hardware_changed(wid);
    }

    pub(crate) fn remove_worker(&mut self, name: &WorkerName) {
        let Some(wid) = self.topology.id(name) else {
            return;
        };
        self.blame.forget_worker(name);
        self.topology.update(wid, |node| {
            node.gone = true;
            node.quarantined = false;
        });
        self.hardware_changed(wid);
        self.guarantees.evict(&mut self.topology, wid);
        self.topology.forget_empty(wid);
    }

    /// Drops what was kept on a worker that takes no new work, and lets everything be tried anew.
    fn hardware_changed(&mut self, wid: Wid) {
        if !self.topology.nodes[wid].usable() {
            let lost: Vec<JobId> = self
                .holds
                .iter()
                .filter(|(_, h)| h.workers.contains(&wid))
                .map(|(j, _)| *j)
                .collect();
            for job in lost {
                self.drop_hold(job);
            }
        }
        self.guarantees.touch();
        self.next_epoch();
    }

    pub(crate) fn queue(&mut self, now: Millis, job: JobId, spec: JobSpec, served: Millis) {
        if self.waiting.contains_key(&job) || self.placed.contains_key(&job) {
            return;
        }
        let account = self.account(&spec.account);
        let key = ClassKey::of(&spec, served, &self.scheduling);
        if self.blame.job_exhausted(job) || !self.topology.holds(spec.shape) {
            self.doomed.insert(job);
        }
        self.accounts[account].push(key, job);
        let waiting = Waiting {
            spec,
            account,
            key,
            since: now,
            served,
        };
        self.waiting.insert(job, waiting);
    }

    pub(crate) fn adopt(&mut self, now: Millis, job: JobId, spec: JobSpec, workers: &[WorkerName]) {
        if self.placed.contains_key(&job) {
            return;
        }
        self.unqueue(job);
        let account = self.account(&spec.account);
        let workers: Vec<Wid> = workers.iter().map(|name| self.topology.ensure(name)).collect();
        let key = ClassKey::of(&spec, Millis::ZERO, &self.scheduling);
        if key.stop == Stop::Pinned {
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
        account: Aid,
        key: ClassKey,
        workers: Vec<Wid>,
        long: bool,
        served: Millis,
    ) -> Placed {
        Placed {
            spec,
            account,
            key,
            workers,
            ended: Default::default(),
            since: now,
            running: false,
            served,
            long,
            proven: false,
            stopping: false,
            memory: 0,
        }
    }

    /// Places a waiting job on workers that were found free; pinned work is already counted.
    pub(crate) fn place(&mut self, now: Millis, job: JobId, workers: Vec<Wid>, reason: String) -> Option<Decision> {
        self.release_hold(job);
        let waiting = self.unqueue(job)?;
        let account = waiting.account;
        let long = self.accounts[account].expects_long(&waiting.key);
        self.turn += 1;
        self.accounts[account].turn = self.turn;
        let names = self.topology.names(&workers);
        let placed = Self::placed(now, waiting.spec, account, waiting.key, workers, long, waiting.served);
        self.occupy(job, placed);
        Some(Decision::Place {
            job,
            workers: names,
            reason,
        })
    }

    fn occupy(&mut self, job: JobId, placed: Placed) {
        let accelerators = placed.spec.shape.accelerators;
        for wid in &placed.workers {
            self.topology.update(*wid, |node| {
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

    /// Counts jobs as long that have run longer than short work does.
    pub(crate) fn age(&mut self, now: Millis) {
        self.headroom.turn(now);
        while let Some((due, job)) = self.aging.first().copied() {
            if due > now {
                return;
            }
            self.aging.pop_first();
            let Some(placed) = self.placed.get_mut(&job) else {
                continue;
            };
            placed.proven = true;
            let parts: Vec<(u32, Wid)> = placed.parts().collect();
            let (account, key) = (placed.account, placed.key);
            if !std::mem::replace(&mut placed.long, true) {
                self.headroom
                    .outgrow(parts.len() as u32 * placed.spec.shape.accelerators);
                for (_, wid) in parts {
                    self.topology.update(wid, |node| node.long += 1);
                }
            }
            if self.accounts[account].observe(&key, true) {
                self.next_epoch();
            }
        }
    }

    pub(crate) fn end(&mut self, now: Millis, job: JobId, end: End) {
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
        let parts: Vec<(u32, Wid)> = placed.parts().collect();
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
        if end == End::Succeeded && !placed.proven {
            self.accounts[placed.account].observe(&placed.key, false);
        }
        self.settle_blame(now, job, &placed, end);
        for wid in placed.workers {
            self.topology.update(wid, |node| {
                node.jobs.remove(&job);
            });
            self.topology.forget_empty(wid);
        }
        self.next_epoch();
    }

    fn settle_blame(&mut self, now: Millis, job: JobId, placed: &Placed, end: End) {
        let mut workers = placed.workers.clone();
        workers.sort_unstable();
        workers.dedup();
        let live = self.topology.len();
        for wid in &workers {
            let name = self.topology.nodes[*wid].info.name.clone();
            let blamed = matches!(end, End::Failed(part) if placed.workers.get(part as usize) == Some(wid));
            let quarantined = match end {
                End::Succeeded if self.blame.record_success(job, &name) => false,
                End::Failed(_) if blamed && self.blame.record_failure(now, job, &name, live) => true,
                End::Failed(_) if blamed => continue,
                End::Succeeded => continue,
                End::Failed(_) | End::Stopped => {
                    self.blame.record_stop(now, job, &name);
                    continue;
                }
            };
            self.topology.update(*wid, |node| node.quarantined = quarantined);
            self.hardware_changed(*wid);
        }
    }

    pub(crate) fn end_part(&mut self, job: JobId, part: u32) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        let Some(wid) = placed.workers.get(part as usize).copied() else {
            return;
        };
        if !placed.ended.insert(part) {
            return;
        }
        let accelerators = placed.spec.shape.accelerators;
        let (long, stopping, memory) = (placed.long, placed.stopping, placed.memory);
        self.topology.update(wid, |node| {
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
                .unpin(&mut self.topology, placed.account, wid, accelerators);
        }
        self.next_epoch();
    }

    pub(crate) fn observe_usage(&mut self, job: JobId, size: Size) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        let before = std::mem::replace(&mut placed.memory, size.memory);
        let parts: Vec<(u32, Wid)> = placed.parts().collect();
        for (_, wid) in parts {
            self.topology.update(wid, |node| {
                node.memory = (node.memory + size.memory).saturating_sub(before)
            });
        }
        if size.memory < before {
            self.next_epoch();
        }
    }

    /// Marks a running job as being stopped.
    pub(crate) fn mark_stopping(&mut self, job: JobId) {
        let Some(placed) = self.placed.get_mut(&job) else {
            return;
        };
        placed.stopping = true;
        let accelerators = placed.spec.shape.accelerators;
        let parts: Vec<(u32, Wid)> = placed.parts().collect();
        for (_, wid) in parts {
            self.topology.update(wid, |node| {
                node.stopping += accelerators;
                node.stopping_slots += 1;
            });
        }
    }

    /// Takes a job out of the queue for good.
    pub(crate) fn remove_waiting(&mut self, job: JobId) {
        self.release_hold(job);
        self.unqueue(job);
        self.blame.forget_job(job);
    }

    fn unqueue(&mut self, job: JobId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&job)?;
        self.doomed.remove(&job);
        self.accounts[waiting.account].remove(&waiting.key, job);
        Some(waiting)
    }

    /// Keeps workers for a waiting job: nothing else is placed on what it needs there.
    pub(crate) fn hold(&mut self, now: Millis, job: JobId, workers: Vec<Wid>, reason: &'static str, reclaim: bool) {
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
        self.claim(&workers, shape, !reclaim, true);
        let hold = Hold {
            workers,
            reason,
            since: now,
            reclaim,
            long,
        };
        self.holds.insert(job, hold);
    }

    /// Gives back what was kept for a job; true if there was something.
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
            self.claim(&hold.workers, shape, !hold.reclaim, false);
        }
        self.next_epoch();
        true
    }

    /// Gives back what was kept for a job and puts it into the queue again.
    pub(crate) fn drop_hold(&mut self, job: JobId) {
        if !self.release_hold(job) {
            return;
        }
        if let Some(waiting) = self.waiting.get(&job) {
            let (account, key) = (waiting.account, waiting.key);
            self.accounts[account].push(key, job);
        }
    }

    fn claim(&mut self, workers: &[Wid], shape: Shape, reserve: bool, add: bool) {
        let step = |count: &mut u32, by: u32| *count = if add { *count + by } else { *count - by };
        for wid in workers {
            self.topology.update(*wid, |node| {
                step(&mut node.claimed, shape.accelerators);
                step(&mut node.claimed_slots, 1);
                if reserve {
                    step(&mut node.reserved, shape.accelerators);
                    step(&mut node.reserved_slots, 1);
                }
            });
        }
    }
}
