//! Reclaiming: stopping running work for waiting jobs that have precedence over it.
//!
//! This is the last step of `Planner::plan`, for the waiting jobs that could not be placed. If a [`ReclaimReason`]
//! applies to a job, the cheapest set of running jobs that may be stopped for it is searched. Their workers are then
//! held for the waiting job until the stopped jobs have ended.

use crate::clock::Millis;
use crate::fair::{ClassKey, StopEffect};
use crate::guarantee::AccountIndex;
use crate::ids::JobId;
use crate::planner::{Decision, PlacedJob, Planner};
use crate::rack::WorkerIndex;
use crate::resource::Urgency;
use crate::search::{SearchRequest, SearchResult, lost_work};

/// Time for a checkpoint before the stop where no guarantee states one.
const DEFAULT_GRACE: Millis = Millis(2_000);
/// Size of the token bucket for searches. A search examines every task; without a limit, every plan call of a full
/// region searched.
const MAX_SEARCH_TOKENS: u32 = 8;
/// Time in which one search token is added.
const SEARCH_TOKEN_INTERVAL: Millis = Millis(20);
/// Time after a search that found nothing in which the class does not search again. Short compared with the grace.
const SEARCH_PAUSE: Millis = Millis(200);
/// Largest number of jobs that have held workers at the same time.
const MAX_HOLDS: usize = 64;

/// Why running work may be stopped for a waiting job, and so which work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReclaimReason {
    /// The job is within a guarantee of its account. Work of other accounts beyond their guarantees is stopped; on the
    /// workers of the account's own guarantees, any work of others.
    Guarantee,
    /// The job is urgent. Less urgent work of its account is stopped, and work of accounts above their share if its own
    /// account is not.
    Urgent,
    /// The job is short, and long work uses slots or accelerators that are reserved for short work. Work there
    /// that has run longer than `Scheduling.short` is stopped.
    Short,
    /// The job has waited for `Scheduling.patience` and its account stays within its share. Checkpointable work of
    /// accounts above their share is stopped.
    Share,
}

impl ReclaimReason {
    /// Text for the log and for `explain`.
    fn as_str(self) -> &'static str {
        match self {
            Self::Guarantee => "reclaimed under a guarantee",
            Self::Urgent => "reclaimed for urgent work",
            Self::Short => "reclaimed from stragglers in reserved slots",
            Self::Share => "reclaimed from accounts above their share",
        }
    }
}

impl Planner {
    /// For the first job of each class that could not be placed: reclaims capacity if a reason applies, or else makes
    /// room for it if it is a large gang that has waited long. Stops when the backlog holds `limit` decisions.
    pub(crate) fn reclaim_and_reserve(&mut self, now: Millis, limit: usize) {
        let refill = now.since(self.last_refill).0 / SEARCH_TOKEN_INTERVAL.0;
        if refill > 0 {
            self.search_tokens = (u64::from(self.search_tokens) + refill).min(MAX_SEARCH_TOKENS.into()) as u32;
            self.last_refill = now;
        }
        for account in self.accounts_by_share() {
            let epoch = self.epoch;
            let first_jobs = self.accounts[account].first_jobs(|class| class.blocked_epoch == epoch);
            for (key, job) in first_jobs {
                if self.backlog.len() >= limit || self.search_tokens == 0 || self.holds.len() >= MAX_HOLDS {
                    return;
                }
                if self.unrunnable.contains(&job) || !self.accounts[account].allows(key.shape.total()) {
                    continue;
                }
                if self.reclaim_for(now, account, &key, job) {
                    continue;
                }
                self.reserve_for(now, account, &key, job);
            }
        }
    }

    /// Has work stopped for a waiting job if a reason applies and a search finds some; returns whether it did.
    fn reclaim_for(&mut self, now: Millis, account: AccountIndex, key: &ClassKey, job: JobId) -> bool {
        let Some(reason) = self.reclaim_reason(now, account, key, job) else {
            return false;
        };
        if !self.may_search(now, account, key, false) {
            return false;
        }
        let request = SearchRequest {
            account,
            shape: key.shape,
            kind: self.kind(account, key),
            waits: false,
        };
        let found = self.search_reclaimable(now, &request, reason, key.urgency.0);
        let Some(found) = found.filter(|found| !found.victims.is_empty()) else {
            self.search_tokens = self.search_tokens.saturating_sub(1);
            return false;
        };
        let grace = match reason {
            ReclaimReason::Guarantee => self
                .guarantees
                .of(account)
                .map(|spec| spec.grace)
                .min()
                .unwrap_or(DEFAULT_GRACE),
            ReclaimReason::Urgent | ReclaimReason::Short | ReclaimReason::Share => DEFAULT_GRACE,
        };
        if let Some(class) = self.accounts[account].classes.get_mut(key) {
            class.reclaim_searched = None;
        }
        self.reclaim_workers(now, job, found, grace, reason.as_str());
        true
    }

    /// Whether a class may search now, for a reservation (`reserve`) or for work to reclaim; records the search. A
    /// search that found nothing is repeated only after `SEARCH_PAUSE`.
    pub(crate) fn may_search(&mut self, now: Millis, account: AccountIndex, key: &ClassKey, reserve: bool) -> bool {
        let Some(class) = self.accounts[account].classes.get_mut(key) else {
            return false;
        };
        let last = if reserve {
            &mut class.reserve_searched
        } else {
            &mut class.reclaim_searched
        };
        if last.is_some_and(|last| now.since(last) < SEARCH_PAUSE) {
            return false;
        }
        *last = Some(now);
        true
    }

    /// Holds the workers found for the job and queues a reclaim decision for each job to stop.
    pub(crate) fn reclaim_workers(
        &mut self,
        now: Millis,
        job: JobId,
        found: SearchResult,
        grace: Millis,
        reason: &'static str,
    ) {
        self.add_hold(now, job, found.workers, reason, true);
        for victim in found.victims {
            self.mark_stopping(victim);
            self.backlog.push_back(Decision::Reclaim {
                job: victim,
                beneficiary: job,
                grace,
                reason: reason.to_owned(),
            });
        }
    }

    /// Why running work may be stopped for a waiting job; `None` if it has to wait.
    fn reclaim_reason(&self, now: Millis, account: AccountIndex, key: &ClassKey, job: JobId) -> Option<ReclaimReason> {
        if self.within_guarantee(account, key.shape) {
            return Some(ReclaimReason::Guarantee);
        }
        if key.urgency.0 == Urgency::Urgent {
            return Some(ReclaimReason::Urgent);
        }
        if !self.kind(account, key).long {
            let excess = self.headroom.excess(self.topology.total, self.max_headroom());
            return (self.topology.crowded > 0 || excess > 0).then_some(ReclaimReason::Short);
        }
        let waited = now.since(self.waiting[&job].since);
        let below = self.share(account, (key.shape.total(), key.shape.workers)) <= self.fair_share(account);
        (waited >= self.scheduling.patience && below).then_some(ReclaimReason::Share)
    }

    /// The cheapest workers for a request, among work that may be stopped for the reason.
    fn search_reclaimable(
        &self,
        now: Millis,
        request: &SearchRequest,
        reason: ReclaimReason,
        urgency: Urgency,
    ) -> Option<SearchResult> {
        let own = request.account;
        let fair = self.fair_shares();
        match reason {
            ReclaimReason::Guarantee => {
                let beyond = self.search(
                    request,
                    |_| true,
                    |_, victim| {
                        let guaranteed = self.guarantees.total(victim.account);
                        let rest = self.accounts[victim.account]
                            .used
                            .saturating_sub(victim.spec.shape.total());
                        (victim.account != own && rest >= guaranteed)
                            .then(|| lost_work(victim, now))
                            .flatten()
                    },
                );
                // On the workers where it is packed, a guarantee has precedence over all other work. Packed instances
                // don't overlap, so two accounts can't reclaim from each other in turns.
                beyond.or_else(|| {
                    let packed = self.guarantees.packed_workers(own);
                    let other = |_: WorkerIndex, victim: &PlacedJob| {
                        (victim.account != own).then(|| lost_work(victim, now)).flatten()
                    };
                    self.search(request, |worker| packed.contains(&worker), other)
                })
            }
            ReclaimReason::Urgent => {
                let below_share =
                    self.share(own, (request.shape.total(), request.shape.workers)) <= self.fair_share(own);
                self.search(
                    request,
                    |_| true,
                    |_, victim| {
                        let stoppable = if victim.account == own {
                            victim.spec.urgency < urgency
                        } else {
                            below_share && self.above_share(victim, fair[victim.account])
                        };
                        stoppable.then(|| lost_work(victim, now)).flatten()
                    },
                )
            }
            ReclaimReason::Short => {
                let reserve = self.topology.reserve;
                let excess = self.headroom.excess(self.topology.total, self.max_headroom());
                self.search(
                    request,
                    |worker| excess > 0 || self.topology.nodes[worker].over_reserve(reserve),
                    |worker, victim| {
                        let crowded = self.topology.nodes[worker].over_reserve(reserve);
                        let above_cap = request.shape.accelerators > 0 && excess >= victim.spec.shape.total().max(1);
                        (victim.ran_long && (crowded || above_cap))
                            .then(|| lost_work(victim, now))
                            .flatten()
                    },
                )
            }
            ReclaimReason::Share => self.search(
                request,
                |_| true,
                |_, victim| {
                    let checkpointable = victim.key.stop == StopEffect::Checkpoint;
                    (victim.account != own && checkpointable && self.above_share(victim, fair[victim.account]))
                        .then(|| lost_work(victim, now))
                        .flatten()
                },
            ),
        }
    }

    /// Share per weight, in millionths, if the region were divided among this account and all accounts that use
    /// capacity or have waiting jobs, in proportion to their weights.
    pub(crate) fn fair_share(&self, account: AccountIndex) -> u64 {
        let competes = |(index, other): &(AccountIndex, &crate::fair::AccountState)| {
            *index == account || other.used + other.tasks + other.held > 0 || !other.classes.is_empty()
        };
        let weights = self.accounts.iter().enumerate().filter(competes);
        let weights: u64 = weights.map(|(_, other)| u64::from(other.spec.weight.max(1))).sum();
        1_000_000 / weights.max(1)
    }

    /// [`Self::fair_share`] of every account, by index.
    pub(crate) fn fair_shares(&self) -> Vec<u64> {
        (0..self.accounts.len())
            .map(|account| self.fair_share(account))
            .collect()
    }

    /// Whether the account of a running job would have at least its fair share and its guarantees without the job.
    pub(crate) fn above_share(&self, victim: &PlacedJob, fair: u64) -> bool {
        let owner = &self.accounts[victim.account];
        let (total, slots) = (self.topology.total, self.topology.slots);
        let weight = u64::from(owner.spec.weight.max(1));
        let part = |used: u32, of: u32| u64::from(used) * 1_000_000 / u64::from(of.max(1)) / weight;
        let used = owner.used.saturating_sub(victim.spec.shape.total());
        let tasks = owner.tasks.saturating_sub(victim.spec.shape.workers);
        let share = part(used, total).max(part(tasks, slots));
        share >= fair && used >= self.guarantees.total(victim.account)
    }
}
