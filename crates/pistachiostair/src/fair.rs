//! Client accounts: their use of the region, their queues, and the expected run times of their jobs.
//!
//! Waiting jobs of an account that are equal for placement form a class. If the first job of a class can't be placed,
//! neither can the others, so a plan call examines the classes and not the whole queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, JobId};
use crate::resource::{AccountSpec, JobSpec, Scheduling, Shape, Urgency};

/// Run time, as a multiple of `Scheduling.short`, above which a waiting job gets the last level. The stragglers of both
/// deployments run about 30 times longer than the rest.
const STRAGGLER_FACTOR: u64 = 30;
/// Number of observations at which the counts of a history are halved, so that it follows changes.
const HISTORY_LIMIT: u32 = 64;
/// Weight of a declared run time in observations; a few ended jobs outweigh it.
const HINT_WEIGHT: u32 = 2;

/// What happens to a job that is stopped while it runs. The order is from the cheapest to the most expensive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopEffect {
    /// It resumes from a checkpoint.
    Checkpoint,
    /// It is idempotent and starts from the beginning.
    Restart,
    /// It is neither, so it must not be stopped.
    Pinned,
}

impl StopEffect {
    pub(crate) fn of(spec: &JobSpec) -> Self {
        match (spec.checkpointable, spec.idempotent) {
            (true, _) => Self::Checkpoint,
            (false, true) => Self::Restart,
            (false, false) => Self::Pinned,
        }
    }
}

/// Whether the declared run time of a job is at most `Scheduling.short`; `None` if no run time is declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RuntimeHint {
    None,
    Short,
    Long,
}

/// Identifies a class of waiting jobs of an account. Jobs with the same key are equal for placement. The queue of the
/// account is ordered by urgency, level and job number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassKey {
    pub(crate) urgency: Reverse<Urgency>,
    /// Run time of earlier attempts in three steps: 0 up to `Scheduling.short`, 1 up to `STRAGGLER_FACTOR` times that,
    /// 2 above. Least attained service comes first.
    pub(crate) level: u8,
    pub(crate) shape: Shape,
    pub(crate) stop: StopEffect,
    pub(crate) hint: RuntimeHint,
}

impl ClassKey {
    pub(crate) fn of(spec: &JobSpec, served: Millis, scheduling: &Scheduling) -> Self {
        let short = scheduling.short.0;
        let level = match served.0 {
            served if served <= short => 0,
            served if served <= short.saturating_mul(STRAGGLER_FACTOR) => 1,
            _ => 2,
        };
        let hint = match spec.runtime {
            None => RuntimeHint::None,
            Some(runtime) if runtime.0 <= short => RuntimeHint::Short,
            Some(_) => RuntimeHint::Long,
        };
        Self {
            urgency: Reverse(spec.urgency),
            level,
            shape: spec.shape,
            stop: StopEffect::of(spec),
            hint,
        }
    }

    /// Position of the class in the queue of the account, if `first` is its first job.
    fn rank(&self, first: JobId) -> (Reverse<Urgency>, u8, JobId) {
        (self.urgency, self.level, first)
    }
}

/// Waiting jobs of an account that are equal for placement. Jobs with held workers are not in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobClass {
    pub(crate) jobs: BTreeSet<JobId>,
    /// The planner's epoch in which the first job did not fit; 0 for never.
    pub(crate) blocked_epoch: u64,
    /// Time of the last search for work to reclaim; `None` if it found some, or before the first search.
    pub(crate) reclaim_searched: Option<Millis>,
    /// Time of the last search for workers to compact or reserve; `None` before the first search.
    pub(crate) reserve_searched: Option<Millis>,
}

/// Counts of jobs that ended or became long.
#[derive(Clone, Copy, Debug, Default)]
struct RunHistory {
    /// All observed jobs.
    observed: u32,
    /// Those that ran longer than `Scheduling.short`.
    long: u32,
}

/// A client account as the planner counts it.
#[derive(Clone, Debug)]
pub(crate) struct AccountState {
    pub(crate) name: AccountName,
    pub(crate) spec: AccountSpec,
    /// Accelerators of placed jobs.
    pub(crate) used: u32,
    /// Tasks of placed jobs; each uses a slot.
    pub(crate) tasks: u32,
    /// Accelerators that are held for waiting jobs.
    pub(crate) held: u32,
    /// Number of the account's last placement among all placements of the planner; 0 for none. Accounts with equal
    /// shares take turns by it.
    pub(crate) last_placement: u64,
    pub(crate) classes: BTreeMap<ClassKey, JobClass>,
    history: BTreeMap<(Shape, StopEffect, RuntimeHint), RunHistory>,
}

impl AccountState {
    /// An account without jobs, with weight 1 and without limits.
    pub(crate) fn new(name: AccountName) -> Self {
        Self {
            name,
            spec: AccountSpec {
                weight: 1,
                quota: None,
                outstanding: None,
                rate: None,
            },
            used: 0,
            tasks: 0,
            held: 0,
            last_placement: 0,
            classes: BTreeMap::new(),
            history: BTreeMap::new(),
        }
    }

    /// Share of the region's accelerators (`total`) or of its slots, whichever is larger, per weight and in millionths,
    /// with `more` accelerators and tasks added to the account's use.
    pub(crate) fn share(&self, total: u32, slots: u32, more: (u32, u32)) -> u64 {
        let millionths = |used: u32, of: u32| u64::from(used) * 1_000_000 / u64::from(of.max(1));
        let accelerators = millionths(self.used + self.held + more.0, total);
        let tasks = millionths(self.tasks + more.1, slots);
        accelerators.max(tasks) / u64::from(self.spec.weight.max(1))
    }

    /// Whether the quota allows `more` accelerators; always true without a quota.
    pub(crate) fn allows(&self, more: u32) -> bool {
        self.spec
            .quota
            .is_none_or(|quota| self.used + self.held + more <= quota)
    }

    /// Adds a waiting job to its class.
    pub(crate) fn push(&mut self, key: ClassKey, job: JobId) {
        self.classes.entry(key).or_default().jobs.insert(job);
    }

    /// Removes a waiting job from its class, and the class if it is empty then.
    pub(crate) fn remove(&mut self, key: &ClassKey, job: JobId) {
        if let Some(class) = self.classes.get_mut(key) {
            class.jobs.remove(&job);
            if class.jobs.is_empty() {
                self.classes.remove(key);
            }
        }
    }

    /// The first job of each class for which `filter` is true, in queue order: by urgency, level and job number.
    pub(crate) fn first_jobs(&self, filter: impl Fn(&JobClass) -> bool) -> Vec<(ClassKey, JobId)> {
        let classes = self.classes.iter().filter(|(_, class)| filter(class));
        let mut first_jobs: Vec<(ClassKey, JobId)> = classes
            .filter_map(|(key, class)| class.jobs.first().map(|job| (*key, *job)))
            .collect();
        first_jobs.sort_by_key(|(key, job)| key.rank(*job));
        first_jobs
    }

    /// Whether jobs of a class are expected to run longer than `Scheduling.short`.
    ///
    /// Jobs whose earlier attempts already did are. For others the history of jobs with the same shape, stop effect and
    /// hint decides, together with the declared run time. Without history and hint, work that can be stopped counts as
    /// short, since it can be reclaimed if it turns out long.
    pub(crate) fn expects_long(&self, key: &ClassKey) -> bool {
        if key.level > 0 {
            return true;
        }
        let history = self
            .history
            .get(&(key.shape, key.stop, key.hint))
            .copied()
            .unwrap_or_default();
        let (weight, long) = match key.hint {
            RuntimeHint::Short => (HINT_WEIGHT, 0),
            RuntimeHint::Long => (HINT_WEIGHT, HINT_WEIGHT),
            RuntimeHint::None if key.stop == StopEffect::Pinned => (1, 1),
            RuntimeHint::None => (1, 0),
        };
        2 * (history.long + long) > history.observed + weight
    }

    /// Adds a job to the history: one that ended, or that has just run longer than `Scheduling.short` (`long`). Returns
    /// whether the expectation for new jobs of its class changed.
    pub(crate) fn observe(&mut self, key: &ClassKey, long: bool) -> bool {
        let unserved = ClassKey { level: 0, ..*key };
        let before = self.expects_long(&unserved);
        let history = self.history.entry((key.shape, key.stop, key.hint)).or_default();
        history.observed += 1;
        history.long += u32::from(long);
        if history.observed >= HISTORY_LIMIT {
            history.observed /= 2;
            history.long /= 2;
        }
        before != self.expects_long(&unserved)
    }
}
