//! Placement of waiting jobs on free workers, in fair order.
//!
//! These are the steps of `Planner::plan` that start or end waiting jobs: rejection of jobs that can't run, placement
//! of jobs for which workers are held, placement in the order of the accounts' shares, and probes of quarantined
//! workers.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::{ClassKey, StopEffect};
use crate::guarantee::{AccountIndex, pinned_room};
use crate::ids::JobId;
use crate::planner::{Decision, Planner};
use crate::rack::{WorkKind, WorkerIndex};
use crate::resource::Shape;

/// Time without new hardware after which a job that no hardware can hold is ended. After a takeover the workers
/// report one by one; those that don't respond for 4 s count as down.
const HARDWARE_SETTLE_TIME: Millis = Millis(4_000);

/// Age from which a reservation is moved to the workers that are then likely to be free first.
const RESERVATION_RECHECK: Millis = Millis(10_000);

impl Planner {
    /// Moves decisions of the backlog into the result, up to `limit` decisions in all.
    pub(crate) fn drain_backlog(&mut self, decisions: &mut Vec<Decision>, limit: usize) {
        let room = limit.saturating_sub(decisions.len()).min(self.backlog.len());
        decisions.extend(self.backlog.drain(..room));
    }

    /// Ends jobs that failed on too many workers and, once the hardware is known, jobs that no hardware can hold.
    pub(crate) fn reject_unrunnable(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        let settled = now.since(self.last_growth) >= HARDWARE_SETTLE_TIME && self.topology.len() > 0;
        let rejected = self
            .unrunnable
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

    /// Places jobs whose held workers are idle, or that fit on other workers. Reservations that are not free yet are
    /// cleared by reclaiming or moved where possible.
    pub(crate) fn place_held(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        let jobs: Vec<JobId> = self.holds.keys().copied().collect();
        for job in jobs {
            if decisions.len() >= limit {
                return;
            }
            let Some(hold) = self.holds.get(&job) else {
                continue;
            };
            let (workers, hold_reason, reclaim, since) = (hold.workers.clone(), hold.reason, hold.reclaim, hold.since);
            let waiting = &self.waiting[&job];
            let (account, shape, pinned) = (
                waiting.account,
                waiting.spec.shape,
                waiting.key.stop == StopEffect::Pinned,
            );
            let kind = self.kind(account, &waiting.key);
            // No headroom check after a reclaim: it replaces work of about the same size.
            let admitted = reclaim || self.long_admitted(account, shape, kind);
            let (workers, reason) = if admitted && self.all_idle(&workers, shape) {
                if pinned
                    && !self
                        .guarantees
                        .try_pin(&mut self.topology, account, &workers, shape.accelerators)
                {
                    self.requeue_held(job);
                    continue;
                }
                (workers, format!("{hold_reason}, now free"))
            } else if let Some(workers) = self.find_workers(job, true) {
                (
                    workers,
                    "fits on other workers before the held ones are free".to_owned(),
                )
            } else {
                if !reclaim && self.reclaim_reserved(now, job) {
                    continue;
                }
                if !reclaim && now.since(since) >= RESERVATION_RECHECK {
                    self.move_reservation(now, job);
                }
                continue;
            };
            decisions.extend(self.place(now, job, workers, reason));
        }
    }

    /// Places waiting jobs until none fits: from the account with the smallest share that has a fitting job, its first
    /// such job in queue order.
    pub(crate) fn place_waiting(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        while decisions.len() < limit {
            let Some((job, workers)) = self
                .accounts_by_share()
                .into_iter()
                .find_map(|account| self.first_fit(account))
            else {
                return;
            };
            let reason = self.placement_reason(job);
            decisions.extend(self.place(now, job, workers, reason));
        }
    }

    /// Accounts that have waiting jobs without held workers, the one with the smallest share first. Among equal
    /// shares, the account whose last placement is oldest comes first.
    pub(crate) fn accounts_by_share(&self) -> Vec<AccountIndex> {
        let accounts = self
            .accounts
            .iter()
            .enumerate()
            .filter(|(_, account)| !account.classes.is_empty());
        let mut order: Vec<(u64, u64, AccountIndex)> = accounts
            .map(|(index, account)| (self.share(index, (0, 0)), account.last_placement, index))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Share of the region per weight, in millionths, that an account would use with `more` accelerators and tasks.
    pub(crate) fn share(&self, account: AccountIndex, more: (u32, u32)) -> u64 {
        self.accounts[account].share(self.topology.total, self.topology.slots, more)
    }

    /// The first job of the account in queue order that fits, with workers for it. Classes that don't fit are blocked
    /// for the epoch.
    fn first_fit(&mut self, account: AccountIndex) -> Option<(JobId, Vec<WorkerIndex>)> {
        let epoch = self.epoch;
        self.block_unfit(account);
        for (key, job) in self.accounts[account].first_jobs(|class| class.blocked_epoch != epoch) {
            if self.unrunnable.contains(&job) {
                continue;
            }
            if let Some(workers) = self.find_workers(job, false) {
                return Some((job, workers));
            }
            self.block(account, &key);
        }
        None
    }

    /// Blocks the classes whose shape does not fit on free workers for any kind of work or account.
    fn block_unfit(&mut self, account: AccountIndex) {
        let any = WorkKind::new(false, false);
        let epoch = self.epoch;
        for (key, class) in &mut self.accounts[account].classes {
            if class.blocked_epoch == epoch {
                continue;
            }
            if self.tried.insert(key.shape) && self.topology.find(key.shape, any).is_none() {
                self.unfit.insert((key.shape, any));
            }
            if self.unfit.contains(&(key.shape, any)) {
                class.blocked_epoch = epoch;
            }
        }
    }

    fn block(&mut self, account: AccountIndex, key: &ClassKey) {
        if let Some(class) = self.accounts[account].classes.get_mut(key) {
            class.blocked_epoch = self.epoch;
        }
    }

    /// Finds free workers for a waiting job, if possible without workers on which it failed. `held` is true for a job
    /// that has a hold: its accelerators already count against the quota.
    ///
    /// A pinned job is counted with the guarantees at once, so the caller must place it on the workers found.
    fn find_workers(&mut self, job: JobId, held: bool) -> Option<Vec<WorkerIndex>> {
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
        if let Some(failed_workers) = self.failed_workers(job) {
            let avail = |worker: WorkerIndex| {
                if failed_workers.contains(&worker) {
                    -1
                } else {
                    self.topology.avail(worker, kind)
                }
            };
            let found = self.topology.find_with(shape, avail);
            if let Some(workers) = found.filter(|workers| self.pin_if_allowed(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        let has_own_room = kind.pinned && self.has_own_room(account, kind, shape.accelerators);
        if has_own_room {
            let room = |worker| match self.guarantees.is_packed_on(worker, account) {
                true => pinned_room(&self.guarantees, &self.topology, worker, account, kind.long),
                false => -1,
            };
            let found = self.topology.find_with(shape, room);
            if let Some(workers) = found.filter(|workers| self.pin_if_allowed(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        if !self.unfit.contains(&(shape, kind)) {
            let found = self.topology.find(shape, kind);
            if let Some(workers) = found.filter(|workers| self.pin_if_allowed(account, kind, shape, workers)) {
                return Some(workers);
            }
            self.unfit.insert((shape, kind));
        }
        if kind.pinned && !self.guarantees.is_empty() {
            return self.find_beside_guarantees(account, kind, shape, has_own_room);
        }
        None
    }

    /// Finds workers for pinned work where the counts of the racks show no room: on workers that the account's
    /// guarantee shares with others, or on workers whose guarantee instances can be moved.
    fn find_beside_guarantees(
        &mut self,
        account: AccountIndex,
        kind: WorkKind,
        shape: Shape,
        has_own_room: bool,
    ) -> Option<Vec<WorkerIndex>> {
        if has_own_room {
            let room = |worker| pinned_room(&self.guarantees, &self.topology, worker, account, kind.long);
            let found = self.topology.find_with(shape, room);
            if let Some(workers) = found.filter(|workers| self.pin_if_allowed(account, kind, shape, workers)) {
                return Some(workers);
            }
        }
        let stoppable = WorkKind { pinned: false, ..kind };
        if self.unfit.contains(&(shape, stoppable)) {
            return None;
        }
        let Some(workers) = self.topology.find(shape, stoppable) else {
            self.unfit.insert((shape, stoppable));
            return None;
        };
        self.pin_if_allowed(account, kind, shape, &workers).then_some(workers)
    }

    /// Whether a worker on which the account's guarantee is packed has room for a part. Only then is it worth
    /// examining each worker of the region.
    fn has_own_room(&self, account: AccountIndex, kind: WorkKind, accelerators: u32) -> bool {
        let own = self
            .guarantees
            .instances
            .iter()
            .filter(|instance| instance.account == account);
        let mut workers = own.flat_map(|instance| &instance.workers);
        workers.any(|worker| {
            let free = self.topology.avail(*worker, WorkKind { pinned: false, ..kind });
            let room = || pinned_room(&self.guarantees, &self.topology, *worker, account, kind.long);
            free >= accelerators as i32 && room() >= accelerators as i32
        })
    }

    /// Counts pinned work with the guarantees; false if that would break one. Always true for work that can be stopped.
    fn pin_if_allowed(&mut self, account: AccountIndex, kind: WorkKind, shape: Shape, workers: &[WorkerIndex]) -> bool {
        !kind.pinned
            || self
                .guarantees
                .try_pin(&mut self.topology, account, workers, shape.accelerators)
    }

    /// Whether all held workers have idle accelerators and slots for the parts that are to run there.
    fn all_idle(&self, workers: &[WorkerIndex], shape: Shape) -> bool {
        workers.iter().all(|worker| {
            let node = &self.topology.nodes[*worker];
            let parts = workers.iter().filter(|other| *other == worker).count() as u32;
            node.usable() && node.idle() >= shape.accelerators * parts && node.idle_slots() >= parts
        })
    }

    /// Which slots and accelerators a waiting job of the class may use.
    pub(crate) fn kind(&self, account: AccountIndex, key: &ClassKey) -> WorkKind {
        WorkKind {
            long: self.accounts[account].expects_long(key),
            pinned: key.stop == StopEffect::Pinned,
        }
    }

    /// Whether the headroom for short work permits a long job of this shape beside the long work that already has
    /// held workers. Jobs within a guarantee of their account are exempt.
    pub(crate) fn long_allowed(&self, account: AccountIndex, shape: Shape) -> bool {
        let total = self.topology.total;
        shape.accelerators == 0
            || self.headroom.allows(shape.total(), total, self.max_headroom())
            || self.within_guarantee(account, shape)
    }

    /// Like [`Self::long_allowed`] for a job that already has held workers: what is held for long work is not counted,
    /// and the exemption holds for each shape that fits into a guaranteed one. True for short work.
    pub(crate) fn long_admitted(&self, account: AccountIndex, shape: Shape, kind: WorkKind) -> bool {
        let total = self.topology.total;
        !kind.long
            || shape.accelerators == 0
            || self.headroom.admits(shape.total(), total, self.max_headroom())
            || self.fits_guaranteed_shape(account, shape)
    }

    /// Upper bound of the accelerators that are kept for short work: the same fraction as of the slots, at most half
    /// of all.
    pub(crate) fn max_headroom(&self) -> u32 {
        let topology = &self.topology;
        let reserved = u64::from(topology.reserve) * topology.len() as u64;
        let most = u64::from(topology.total) * reserved / u64::from(topology.slots.max(1));
        most.min(u64::from(topology.total / 2)) as u32
    }

    /// Whether the account stays within its guarantees with a job of this shape, and one of them covers the shape.
    pub(crate) fn within_guarantee(&self, account: AccountIndex, shape: Shape) -> bool {
        let owner = &self.accounts[account];
        let enough = if shape.accelerators == 0 {
            owner.tasks + shape.workers <= self.guarantees.slots(account)
        } else {
            owner.used + owner.held + shape.total() <= self.guarantees.total(account)
        };
        enough && self.fits_guaranteed_shape(account, shape)
    }

    /// Whether the shape fits into a shape that is guaranteed to the account.
    fn fits_guaranteed_shape(&self, account: AccountIndex, shape: Shape) -> bool {
        let within = |own: Shape| shape.workers <= own.workers && shape.accelerators <= own.accelerators;
        self.guarantees.of(account).any(|spec| within(spec.shape))
    }

    /// Workers on which the job failed before; `None` if it has not failed.
    fn failed_workers(&self, job: JobId) -> Option<BTreeSet<WorkerIndex>> {
        let names = self.blame.failed_workers(job)?;
        Some(names.iter().filter_map(|name| self.topology.index(name)).collect())
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
        format!(
            "best fit as {long} work; share of {} is {share:.1}% per weight",
            account.name
        )
    }

    /// Starts one idempotent job that has not failed yet on each quarantined worker that is due for a probe.
    pub(crate) fn probe_quarantined(&mut self, now: Millis, decisions: &mut Vec<Decision>, limit: usize) {
        for name in self.blame.due_probes(now) {
            if decisions.len() >= limit {
                return;
            }
            let Some(worker) = self.topology.index(&name) else {
                continue;
            };
            let node = &self.topology.nodes[worker];
            if node.gone || node.state != crate::resource::MemberState::Live || node.idle_slots() == 0 {
                continue;
            }
            let room = node.idle();
            let candidate = self.accounts_by_share().into_iter().find_map(|index| {
                let account = &self.accounts[index];
                account.first_jobs(|_| true).into_iter().find_map(|(key, job)| {
                    let fits = key.shape.workers == 1 && key.shape.accelerators <= room;
                    let clean = self.waiting[&job].spec.idempotent && self.blame.failed_workers(job).is_none();
                    (fits && clean && account.allows(key.shape.total())).then_some(job)
                })
            });
            if let Some(job) = candidate {
                self.blame.start_probe(job, &name);
                decisions.extend(self.place(now, job, vec![worker], format!("probe of quarantined {name}")));
            }
        }
    }
}
