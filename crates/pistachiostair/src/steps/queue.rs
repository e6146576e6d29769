//! Steps that wait for workers, and their order.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::steps::engine::{Context, RunPhase, StepScheduler};
use crate::steps::forecast::rest;
use crate::steps::job_table::JobEntry;
use crate::steps::spec::{JobKey, TaskKey};

/// Time after the acceptance of a job that a guarantee covers within which it must have begun: the shortest that
/// the users' deployments set.
const RECLAIM_TIME: Millis = Millis(2_700);

/// Rest of that time in which room can still be made twice: a stop of 200 ms, the ways of the orders, a commit.
const RECLAIM_LEAD: Millis = Millis(1_200);

/// Error of the forecast of a job's end: workers report progress in whole percent, at most 2 s old.
const FORECAST_ERROR: Millis = Millis(500);

/// A step of one occurrence.
pub(crate) type StepKey = (JobKey, u32, u32);

impl TaskKey {
    /// The task's step.
    pub(crate) fn step_key(&self) -> StepKey {
        (self.job, self.occurrence, self.step)
    }
}

/// A step with tasks that can be placed.
#[derive(Clone, Debug)]
pub(crate) struct WaitingStep {
    /// Its tasks; all of them for a gang.
    pub(crate) indices: BTreeSet<u32>,
}

/// Place of a step in the queue; lower goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    /// False if the account's guarantee covers it.
    uncovered: bool,
    priority: u32,
    accepted: Millis,
    group: StepKey,
}

/// The queue of one planning pass: in each priority the account that uses least goes first.
pub(crate) struct PlanningQueue {
    /// Steps by priority class and account, each in order.
    classes: BTreeMap<(bool, u32), BTreeMap<AccountName, Vec<QueueRank>>>,
    /// Accelerators in use by each account.
    usage: BTreeMap<AccountName, u64>,
}

impl PlanningQueue {
    /// The next step, which is then no longer in the queue.
    pub(crate) fn next(&mut self) -> Option<StepKey> {
        let mut class = self.classes.first_entry()?;
        let accounts = class.get_mut();
        let least = accounts
            .keys()
            .min_by_key(|name| self.usage.get(*name).copied().unwrap_or(0))
            .cloned()?;
        let ranks = accounts.get_mut(&least)?;
        let rank = ranks.pop();
        if ranks.is_empty() {
            accounts.remove(&least);
        }
        if accounts.is_empty() {
            class.remove();
        }
        rank.map(|rank| rank.group)
    }

    /// Counts accelerators that an account was given.
    pub(crate) fn charge(&mut self, account: &AccountName, accelerators: u64) {
        *self.usage.entry(account.clone()).or_default() += accelerators;
    }
}

impl StepScheduler {
    /// The queue as it stands now.
    pub(crate) fn planning_queue(&self, cx: &Context<'_>, covered: &BTreeSet<JobKey>) -> PlanningQueue {
        let mut line = PlanningQueue {
            classes: BTreeMap::new(),
            usage: self.usage(cx),
        };
        for group in self.waiting.keys() {
            let Some(entry) = cx.book.job(group.0) else { continue };
            let rank = QueueRank {
                uncovered: !covered.contains(&group.0),
                priority: self.terms(entry).priority,
                accepted: entry.accepted,
                group: *group,
            };
            let class = line.classes.entry((rank.uncovered, rank.priority)).or_default();
            class.entry(entry.spec.account.clone()).or_default().push(rank);
        }
        for ranks in line.classes.values_mut().flat_map(BTreeMap::values_mut) {
            ranks.sort_unstable_by(|a, b| b.cmp(a));
        }
        line
    }

    fn usage(&self, cx: &Context<'_>) -> BTreeMap<AccountName, u64> {
        let mut usage = BTreeMap::new();
        for ((task, _), run) in self.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended) {
            if let Some(entry) = cx.book.job(task.job) {
                *usage.entry(entry.spec.account.clone()).or_default() += run.demand.accelerators;
            }
        }
        usage
    }

    /// Jobs of priority 0 that the guarantees of their accounts cover, oldest first. One that exceeds the guarantee
    /// for now is covered once its time is short and enough of the others will have ended when it is up.
    pub(crate) fn guaranteed_jobs(&self, cx: &Context<'_>) -> BTreeSet<JobKey> {
        let mut urgent: Vec<_> = cx
            .book
            .jobs()
            .filter(|entry| !entry.phase.is_final() && self.terms(entry).priority == 0)
            .collect();
        urgent.sort_unstable_by_key(|entry| (entry.accepted, entry.spec.key));
        let mut accounts: BTreeMap<&AccountName, Vec<(&JobEntry, u64)>> = BTreeMap::new();
        let mut covered = BTreeSet::new();
        for entry in urgent {
            let account = &entry.spec.account;
            let guaranteed = self.rules.accounts.get(account).map_or(0, |account| account.guaranteed);
            let need = need(entry);
            let older = accounts.entry(account).or_default();
            let sum = |counts: &dyn Fn(&JobEntry) -> bool| -> u64 {
                let counted = older.iter().filter(|(entry, _)| counts(entry));
                counted.map(|(_, need)| need).sum()
            };
            let left = RECLAIM_TIME.since(cx.wall.since(entry.accepted));
            let now = sum(&|entry| covered.contains(&entry.spec.key)) + need <= guaranteed;
            let outlasts = |entry: &JobEntry| self.rest_of(cx, entry) > left + FORECAST_ERROR;
            if now || left <= RECLAIM_LEAD && sum(&outlasts) + need <= guaranteed {
                covered.insert(entry.spec.key);
            }
            older.push((entry, need));
        }
        covered
    }

    /// How long a job goes on, if all that it has left to do runs.
    fn rest_of(&self, cx: &Context<'_>, entry: &JobEntry) -> Millis {
        let runs: Vec<_> = self.runs_of(entry.spec.key).collect();
        if (runs.len() as u64) < entry.remaining_tasks {
            return Millis::MAX;
        }
        let rests = runs
            .iter()
            .filter_map(|key| Some(rest(cx, &key.0, self.runs.get(key)?)));
        rests.max().unwrap_or(Millis::MAX)
    }
}

/// Most accelerators that a step of a job needs.
fn need(entry: &JobEntry) -> u64 {
    let steps = entry.spec.steps.iter();
    let needs = steps.map(|step| u64::from(step.count) * step.demand.accelerators);
    needs.max().unwrap_or(0)
}
