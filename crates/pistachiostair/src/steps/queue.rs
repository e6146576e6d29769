//! Steps that wait for workers, the order in which a planning pass takes them, and which jobs the guarantees of their
//! accounts cover.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler};
use crate::steps::forecast::remaining;
use crate::steps::job_table::JobEntry;
use crate::steps::spec::{JobKey, TaskKey};
use crate::steps::urgency::{Timing, objective};

/// Error of the forecast of a job's end: workers report progress in whole percent, and a report may be 2 s old.
const FORECAST_ERROR: Millis = Millis(500);

/// A step of one occurrence of a job: the job, the occurrence, and the number of the step.
pub(crate) type StepKey = (JobKey, u32, u32);

impl TaskKey {
    /// The step that the task belongs to.
    pub(crate) fn step_key(&self) -> StepKey {
        (self.job, self.occurrence, self.step)
    }
}

/// A step with tasks that can be placed.
#[derive(Clone, Debug)]
pub(crate) struct WaitingStep {
    /// Indices of the tasks to place; all tasks of the step for a gang.
    pub(crate) indices: BTreeSet<u32>,
    /// Indices of the tasks to place on trial.
    pub(crate) suspects: BTreeSet<u32>,
    /// Since when the step has had tasks to place.
    pub(crate) since: Millis,
}

/// Position of a step among those of its account and class; the lowest goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    /// When the job was accepted or its occurrence was due, by the wall clock.
    since: Millis,
    step: StepKey,
}

/// The queue of one planning pass. Covered jobs come first, then lower priority numbers; within one priority, the next
/// step is the oldest one of the account that uses the fewest accelerators.
pub(crate) struct PlanningQueue<'a> {
    /// Steps by (uncovered, priority) and account. Each list is in reverse order, so that the next step is its last.
    classes: BTreeMap<(bool, u32), BTreeMap<&'a AccountName, Vec<QueueRank>>>,
    /// Number of accelerators in use by each account.
    usage: BTreeMap<&'a AccountName, u64>,
}

impl<'a> PlanningQueue<'a> {
    /// Removes and returns the next step; none if the queue is empty.
    pub(crate) fn next(&mut self) -> Option<StepKey> {
        let mut class = self.classes.first_entry()?;
        let accounts = class.get_mut();
        let used = |name: &AccountName| self.usage.get(name).copied().unwrap_or(0);
        let least = accounts.iter().min_by_key(|(name, ranks)| (used(name), ranks.last()));
        let least = least.map(|(name, _)| *name)?;
        let ranks = accounts.get_mut(least)?;
        let rank = ranks.pop();
        if ranks.is_empty() {
            accounts.remove(least);
        }
        if accounts.is_empty() {
            class.remove();
        }
        rank.map(|rank| rank.step)
    }

    /// Adds accelerators that were assigned to an account in this pass to its usage.
    pub(crate) fn charge(&mut self, account: &'a AccountName, accelerators: u64) {
        *self.usage.entry(account).or_default() += accelerators;
    }
}

impl StepScheduler {
    /// Builds the queue of a planning pass from all waiting steps; `covered` is from [`Self::guaranteed_jobs`].
    pub(crate) fn planning_queue<'a>(&'a self, cx: &Context<'a>, covered: &BTreeSet<JobKey>) -> PlanningQueue<'a> {
        let mut queue = PlanningQueue {
            classes: BTreeMap::new(),
            usage: self.usage.iter().map(|(account, used)| (account, *used)).collect(),
        };
        for step in self.waiting.keys() {
            let Some(entry) = cx.book.job(step.0) else { continue };
            let rank = QueueRank {
                since: waits_since(entry, step.1),
                step: *step,
            };
            let class = (!covered.contains(&step.0), self.terms(entry).priority);
            let accounts = queue.classes.entry(class).or_default();
            accounts.entry(&entry.spec.account).or_default().push(rank);
        }
        for ranks in queue.classes.values_mut().flat_map(BTreeMap::values_mut) {
            ranks.sort_unstable_by(|a, b| b.cmp(a));
        }
        queue
    }

    /// The timing of a waiting step; `paths` is from [`paths`] of its job. Steps of the same occurrence that run count with
    /// the time that they still need. A recovered run without a report counts as about to end, so that a takeover doesn't
    /// make the outlook worse.
    pub(crate) fn timing(&self, cx: &Context<'_>, entry: &JobEntry, key: StepKey, paths: &[Millis]) -> Timing {
        let (job, occurrence, number) = key;
        let path = |number: u32| paths.get(number as usize).copied().unwrap_or_default();
        let estimate = |number: u32| {
            entry
                .spec
                .steps
                .get(number as usize)
                .map_or(Millis::ZERO, |step| step.estimate)
        };
        let total = paths.iter().copied().max().unwrap_or_default();
        let others = self.runs_of(job).filter(|(task, _)| {
            let parallel = task.occurrence == occurrence && task.step != number;
            parallel && path(task.step) > path(number)
        });
        let others = others.filter_map(|key| {
            let run = self.runs.get(&key).filter(|run| run.phase != RunPhase::Ended)?;
            let unknown = run.origin == RunOrigin::Recovered && run.progress.is_none();
            let left = match unknown {
                true => Millis::ZERO,
                false => remaining(cx, &key.0, run).min(estimate(key.0.step)),
            };
            Some(left + path(key.0.step).since(estimate(key.0.step)))
        });
        Timing {
            objective: objective(self.terms(entry), total),
            remaining: others.max().unwrap_or_default().max(path(number)),
            waited: cx.wall.since(waits_since(entry, occurrence)),
        }
    }

    /// Jobs of priority 0 that the guarantees of their accounts cover. Each account's jobs are counted against its
    /// guarantee from the oldest on. A job that exceeds it at present is covered all the same once no more time than
    /// two preemptions take is left until it must have started, if the older jobs that are forecast to outlast that
    /// limit leave enough of the guarantee.
    pub(crate) fn guaranteed_jobs(&self, cx: &Context<'_>) -> BTreeSet<JobKey> {
        let open = cx.book.open_jobs();
        let mut urgent: Vec<_> = open.filter(|entry| self.terms(entry).priority == 0).collect();
        urgent.sort_unstable_by_key(|entry| (entry.accepted, entry.spec.key));
        let mut accounts: BTreeMap<&AccountName, Coverage<'_>> = BTreeMap::new();
        let mut covered = BTreeSet::new();
        for entry in urgent {
            let account = &entry.spec.account;
            let guaranteed = self.rules.accounts.get(account).map_or(0, |account| account.guaranteed);
            let needed = peak_accelerators(entry);
            let coverage = accounts.entry(account).or_default();
            let left = cx.limits.reclaim.since(cx.wall.since(entry.accepted));
            let fits_now = coverage.used.saturating_add(needed) <= guaranteed;
            let mut fits_later = || {
                let mut used = 0_u64;
                for (entry, needed, remaining) in &mut coverage.older {
                    let remaining = *remaining.get_or_insert_with(|| self.remaining_time(cx, entry));
                    used = used.saturating_add(if remaining > left + FORECAST_ERROR { *needed } else { 0 });
                }
                used.saturating_add(needed) <= guaranteed
            };
            if fits_now || left <= cx.limits.preemption_lead() && fits_later() {
                covered.insert(entry.spec.key);
                coverage.used = coverage.used.saturating_add(needed);
            }
            coverage.older.push((entry, needed, None));
        }
        covered
    }

    /// Forecast of the time until a job ends; `Millis::MAX` unless all tasks that it has left are running.
    fn remaining_time(&self, cx: &Context<'_>, entry: &JobEntry) -> Millis {
        let runs: Vec<_> = self.runs_of(entry.spec.key).collect();
        if (runs.len() as u64) < entry.remaining_tasks {
            return Millis::MAX;
        }
        let times = runs
            .iter()
            .filter_map(|key| Some(remaining(cx, &key.0, self.runs.get(key)?)));
        times.max().unwrap_or(Millis::MAX)
    }
}

/// When an occurrence of a job began to wait: when the job was accepted, or when the occurrence was due if that is later.
fn waits_since(entry: &JobEntry, occurrence: u32) -> Millis {
    entry.accepted.max(entry.spec.due(occurrence))
}

/// Jobs of one account that are counted against its guarantee.
#[derive(Default)]
struct Coverage<'a> {
    /// Number of accelerators that the covered jobs need.
    used: u64,
    /// Jobs looked at so far, the accelerators that each needs, and its remaining time once that was asked for.
    older: Vec<(&'a JobEntry, u64, Option<Millis>)>,
}

/// Number of accelerators that the largest step of a job needs.
fn peak_accelerators(entry: &JobEntry) -> u64 {
    let steps = entry.spec.steps.iter();
    let totals = steps.map(|step| u64::from(step.count).saturating_mul(step.demand.accelerators));
    totals.max().unwrap_or(0)
}
