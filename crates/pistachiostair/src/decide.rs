//! Placement of waiting jobs in fair order.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::{ClassKey, Stop};
use crate::guarantee::{Aid, pinned_room};
use crate::ids::JobId;
use crate::node::{Kind, Wid};
use crate::planner::{Decision, Planner};
use crate::resource::Shape;

/// Span without new hardware after which a shape that nothing can hold is refused. After a
/// takeover the workers report one by one; those that don't respond for 4 s count as down.
const SETTLED: Millis = Millis(4_000);

/// Span after which the place of a reservation is chosen anew.
const RECONSIDER: Millis = Millis(10_000);

impl Planner {
    /// Moves decisions that were taken earlier to the caller.
    pub(crate) fn drain_backlog(&mut self, decisions: &mut Vec<Decision>, limit: usize) {
        let room = limit.saturating_sub(decisions.len()).min(self.backlog.len());
        decisions.extend(self.backlog.drain(..room));
    }

    /// Ends jobs that can never run.
    pub(crate) fn reject(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        let settled = now.since(self.grown) >= SETTLED && self.topology.len() > 0;
        let rejected = self
            .doomed
            .iter()
            .copied()
            .filter(|job| settled || self.blame.job_exhausted(*job));
        let rejected: Vec<JobId> = rejected.take(limit.saturating_sub(decisions.len())).collect();
        for job in rejected {
            let Some(waiting) = self.waiting.get(&job) else {
                continue;
            };
            let reason = match self.blame.failed_workers(job) {
                Some(workers) if self.blame.job_exhausted(job) => {
                    let names: Vec<&str> = workers.iter().map(|name| name.as_str()).collect();
                    format!("it failed on {} workers: {}", names.len(), names.join(", "))
                }
                _ => format!("no hardware of this region can hold {}", waiting.spec.shape),
            };
            self.remove_waiting(job);
            decisions.push(Decision::Unrunnable { job, reason });
        }
    }

    /// Places jobs whose kept workers are free by now, or that fit elsewhere.
    pub(crate) fn fulfil(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        let jobs: Vec<JobId> = self.holds.keys().copied().collect();
        for job in jobs {
            if decisions.len() >= limit {
                return;
            }
            let Some(hold) = self.holds.get(&job) else {
                continue;
            };
            let (workers, kept, reclaim, since) = (hold.workers.clone(), hold.reason, hold.reclaim, hold.since);
            let waiting = &self.waiting[&job];
            let (account, shape, pinned) = (waiting.account, waiting.spec.shape, waiting.key.stop == Stop::Pinned);
            let kind = self.kind(account, &waiting.key);
            // Reclaiming replaces work of about the same size.
            let admitted = reclaim || self.long_admitted(account, shape, kind);
            let (workers, reason) = if admitted && self.vacant(&workers, shape) {
                if pinned
                    && !self
                        .guarantees
                        .try_pin(&mut self.topology, account, &workers, shape.accelerators)
                {
                    self.drop_hold(job);
                    continue;
                }
                (workers, format!("{kept}, now free"))
            } else if let Some(workers) = self.seek(job, true) {
                (workers, "free before the workers that were kept for it".to_owned())
            } else {
                if !reclaim && self.clear_reservation(now, job) {
                    continue;
                }
                if !reclaim && now.since(since) >= RECONSIDER {
                    self.move_reservation(now, job);
                }
                continue;
            };
            decisions.extend(self.place(now, job, workers, reason));
        }
    }

    /// Places waiting jobs: the account with the smallest share first, in it the first job in the
    /// order of the queue that fits.
    pub(crate) fn fill(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        while decisions.len() < limit {
            let Some((job, workers)) = self.by_share().into_iter().find_map(|account| self.first_fit(account)) else {
                return;
            };
            let reason = self.placement_reason(job);
            decisions.extend(self.place(now, job, workers, reason));
        }
    }

    /// Accounts that have waiting jobs, the one with the smallest share first.
    pub(crate) fn by_share(&self) -> Vec<Aid> {
        let accounts = self
            .accounts
            .iter()
            .enumerate()
            .filter(|(_, account)| !account.classes.is_empty());
        let mut order: Vec<(u64, u64, Aid)> = accounts
            .map(|(aid, account)| (self.share(aid, (0, 0)), account.turn, aid))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, aid)| aid).collect()
    }

    /// Share of an account with `more` accelerators and tasks.
    pub(crate) fn share(&self, account: Aid, more: (u32, u32)) -> u64 {
        self.accounts[account].share(self.topology.total, self.topology.slots, more)
    }

    fn first_fit(&mut self, account: Aid) -> Option<(JobId, Vec<Wid>)> {
        let epoch = self.epoch;
        self.block_unfit(account);
        for (key, job) in self.accounts[account].heads(|class| class.blocked != epoch) {
            if self.doomed.contains(&job) {
                continue;
            }
            if let Some(workers) = self.seek(job, false) {
                return Some((job, workers));
            }
            self.block(account, &key);
        }
        None
    }

    /// Blocks the classes whose shape has no free room at all, whoever asks for it.
    fn block_unfit(&mut self, account: Aid) {
        let any = Kind::new(false, false);
        let epoch = self.epoch;
        for (key, class) in &mut self.accounts[account].classes {
            if class.blocked == epoch {
                continue;
            }
            if self.tried.insert(key.shape) && self.topology.find(key.shape, any).is_none() {
                self.unfit.insert((key.shape, any));
            }
            if self.unfit.contains(&(key.shape, any)) {
                class.blocked = epoch;
            }
        }
    }

    fn block(&mut self, account: Aid, key: &ClassKey) {
        if let Some(class) = self.accounts[account].classes.get_mut(key) {
            class.blocked = self.epoch;
        }
    }

    /// Free workers for a waiting job. Pinned work is counted with the guarantees at once, so the
    /// caller must place it.
    fn seek(&mut self, job: JobId, held: bool) -> Option<Vec<Wid>> {
        let waiting = self.waiting.get(&job)?;
        let (account, key, shape) = (waiting.account, waiting.key, waiting.spec.shape);
        let kind = self.kind(account, &key);
        if !held && !self.accounts[account].allows(shape.total()) {
            return None;
        }
        let allowed = if held {
            self.long_admitted(account, shape, kind)
        } else {
            self.long_allowed(account, shape)
        };
        if kind.long && !allowed {
            return None;
        }
        if let Some(avoided) = self.avoided(job) {
            let avail = |wid: Wid| {
                if avoided.contains(&wid) {
                    -1
                } else {
                    self.topology.avail(wid, kind)
                }
            };
            let found = self.topology.find_by(shape, avail);
            if let Some(workers) = found.filter(|workers| self.confirm(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        let own_room = kind.pinned && self.own_room(account, kind, shape.accelerators);
        if own_room {
            let room = |wid| match self.guarantees.owns(wid, account) {
                true => pinned_room(&self.guarantees, &self.topology, wid, account, kind.long),
                false => -1,
            };
            let found = self.topology.find_by(shape, room);
            if let Some(workers) = found.filter(|workers| self.confirm(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        if !self.unfit.contains(&(shape, kind)) {
            let found = self.topology.find(shape, kind);
            if let Some(workers) = found.filter(|workers| self.confirm(account, kind, shape, workers)) {
                return Some(workers);
            }
            self.unfit.insert((shape, kind));
        }
        if kind.pinned && !self.guarantees.is_empty() {
            return self.seek_beside_guarantees(account, kind, shape, own_room);
        }
        None
    }

    /// Room for pinned work that the common counts don't show: on workers that its own guarantee
    /// shares with others, or after guarantees are packed elsewhere.
    fn seek_beside_guarantees(&mut self, account: Aid, kind: Kind, shape: Shape, own: bool) -> Option<Vec<Wid>> {
        if own {
            let room = |wid| pinned_room(&self.guarantees, &self.topology, wid, account, kind.long);
            let found = self.topology.find_by(shape, room);
            if let Some(workers) = found.filter(|workers| self.confirm(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        let loose = Kind { pinned: false, ..kind };
        if self.unfit.contains(&(shape, loose)) {
            return None;
        }
        let Some(workers) = self.topology.find(shape, loose) else {
            self.unfit.insert((shape, loose));
            return None;
        };
        self.confirm(account, kind, shape, &workers).then_some(workers)
    }

    /// Whether a worker on which the account's guarantee is packed has room for a part. Only then
    /// are single workers looked at.
    fn own_room(&self, account: Aid, kind: Kind, accelerators: u32) -> bool {
        let own = self
            .guarantees
            .instances
            .iter()
            .filter(|instance| instance.account == account);
        let mut workers = own.flat_map(|instance| &instance.workers);
        workers.any(|wid| {
            let free = self.topology.avail(*wid, Kind { pinned: false, ..kind });
            let room = || pinned_room(&self.guarantees, &self.topology, *wid, account, kind.long);
            free >= accelerators as i32 && room() >= accelerators as i32
        })
    }

    /// Counts pinned work with the guarantees; false if they don't allow it.
    fn confirm(&mut self, account: Aid, kind: Kind, shape: Shape, workers: &[Wid]) -> bool {
        !kind.pinned
            || self
                .guarantees
                .try_pin(&mut self.topology, account, workers, shape.accelerators)
    }

    /// Whether kept workers are free for the whole gang.
    fn vacant(&self, workers: &[Wid], shape: Shape) -> bool {
        workers.iter().all(|wid| {
            let node = &self.topology.nodes[*wid];
            let parts = workers.iter().filter(|other| *other == wid).count() as u32;
            node.usable() && node.idle() >= shape.accelerators * parts && node.idle_slots() >= parts
        })
    }

    /// How a waiting job may use slots and accelerators.
    pub(crate) fn kind(&self, account: Aid, key: &ClassKey) -> Kind {
        Kind {
            long: self.accounts[account].expects_long(key),
            pinned: key.stop == Stop::Pinned,
        }
    }

    /// Whether long work of this shape leaves short work its accelerators. What an account is
    /// guaranteed is exempt.
    pub(crate) fn long_allowed(&self, account: Aid, shape: Shape) -> bool {
        let total = self.topology.total;
        shape.accelerators == 0
            || self.headroom.allows(shape.total(), total, self.most_headroom())
            || self.covered(account, shape)
    }

    /// Like [`Self::long_allowed`] for work of any kind that has workers kept for it already.
    pub(crate) fn long_admitted(&self, account: Aid, shape: Shape, kind: Kind) -> bool {
        let total = self.topology.total;
        !kind.long
            || shape.accelerators == 0
            || self.headroom.admits(shape.total(), total, self.most_headroom())
            || self.guaranteed(account, shape)
    }

    /// The most accelerators that are kept for short work: the same fraction as of the slots.
    pub(crate) fn most_headroom(&self) -> u32 {
        let topology = &self.topology;
        let reserved = u64::from(topology.reserve) * topology.len() as u64;
        let most = u64::from(topology.total) * reserved / u64::from(topology.slots.max(1));
        most.min(u64::from(topology.total / 2)) as u32
    }

    /// Whether a job of this shape is within what the account is guaranteed.
    pub(crate) fn covered(&self, account: Aid, shape: Shape) -> bool {
        let owner = &self.accounts[account];
        let enough = if shape.accelerators == 0 {
            owner.tasks + shape.workers <= self.guarantees.slots(account)
        } else {
            owner.used + owner.held + shape.total() <= self.guarantees.total(account)
        };
        enough && self.guaranteed(account, shape)
    }

    /// Whether the shape fits into one that is guaranteed to the account.
    fn guaranteed(&self, account: Aid, shape: Shape) -> bool {
        let within = |own: Shape| shape.workers <= own.workers && shape.accelerators <= own.accelerators;
        self.guarantees.of(account).any(|spec| within(spec.shape))
    }

    /// Workers on which the job failed before.
    fn avoided(&self, job: JobId) -> Option<BTreeSet<Wid>> {
        let names = self.blame.failed_workers(job)?;
        Some(names.iter().filter_map(|name| self.topology.id(name)).collect())
    }

    fn placement_reason(&self, job: JobId) -> String {
        let Some(waiting) = self.waiting.get(&job) else {
            return String::new();
        };
        let account = &self.accounts[waiting.account];
        let long = if account.expects_long(&waiting.key) {
            "long"
        } else {
            "short"
        };
        let share = self.share(waiting.account, (0, 0)) as f64 / 10_000.0;
        format!("best fit as {long} work; {} has {share:.1}% per weight", account.name)
    }

    /// Starts one idempotent job on each quarantined worker that is due for a probe.
    pub(crate) fn probe(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        for name in self.blame.due_probes(now) {
            if decisions.len() >= limit {
                return;
            }
            let Some(wid) = self.topology.id(&name) else {
                continue;
            };
            let node = &self.topology.nodes[wid];
            if node.gone || node.state != crate::resource::MemberState::Live || node.idle_slots() == 0 {
                continue;
            }
            let room = node.idle();
            let candidate = self.by_share().into_iter().find_map(|aid| {
                let account = &self.accounts[aid];
                account.heads(|_| true).into_iter().find_map(|(key, job)| {
                    let fits = key.shape.workers == 1 && key.shape.accelerators <= room;
                    let clean = self.waiting[&job].spec.idempotent && self.blame.failed_workers(job).is_none();
                    (fits && clean && account.allows(key.shape.total())).then_some(job)
                })
            });
            if let Some(job) = candidate {
                self.blame.start_probe(job, &name);
                decisions.extend(self.place(now, job, vec![wid], format!("probe of quarantined {name}")));
            }
        }
    }
}
