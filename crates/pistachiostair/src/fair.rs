//! Client accounts with their shares and queues.
//!
//! Waiting jobs of an account that look alike to placement form a class. If the first job of a
//! class can't be placed, neither can the others, so that a plan call looks at classes and not at
//! the whole queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, JobId};
use crate::resource::{AccountSpec, JobSpec, Scheduling, Shape, Urgency};

/// Service, as a multiple of `Scheduling.short`, from which a job counts as a straggler. The
/// stragglers of both deployments run about 30 times longer than the rest.
const STRAGGLER_FACTOR: u64 = 30;
/// Observations after which the history of a class is halved, so that it follows changes.
const HISTORY_LIMIT: u32 = 64;
/// Weight of a declared run time in observations: a few ended jobs outweigh it.
const HINT_WEIGHT: u32 = 2;

/// What stopping a job costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopEffect {
    /// It resumes where it was.
    Checkpoint,
    /// It starts from scratch.
    Restart,
    /// It can't be stopped.
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

/// What the declared run time says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RuntimeHint {
    None,
    Short,
    Long,
}

/// What makes two waiting jobs of an account alike. The order is the order of the queue, with the
/// job's number as the last criterion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassKey {
    pub(crate) urgency: Reverse<Urgency>,
    /// Attained service in three steps; least attained service comes first.
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

    /// Rank of the class's first job within the account.
    fn rank(&self, first: JobId) -> (Reverse<Urgency>, u8, JobId) {
        (self.urgency, self.level, first)
    }
}

/// Waiting jobs that are alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobClass {
    pub(crate) jobs: BTreeSet<JobId>,
    /// The planner's epoch in which the first one did not fit.
    pub(crate) blocked_epoch: u64,
    /// When a search for work to reclaim found nothing.
    pub(crate) last_reclaim: Option<Millis>,
    /// When a search for a place to reserve found nothing.
    pub(crate) last_reserve: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunHistory {
    ended: u32,
    long: u32,
}

/// A client account.
#[derive(Clone, Debug)]
pub(crate) struct AccountState {
    pub(crate) name: AccountName,
    pub(crate) spec: AccountSpec,
    /// Accelerators in use.
    pub(crate) used: u32,
    /// Tasks.
    pub(crate) tasks: u32,
    /// Accelerators promised to waiting jobs.
    pub(crate) held: u32,
    /// Number of the latest placement, to take turns between equal shares.
    pub(crate) last_placement: u64,
    pub(crate) classes: BTreeMap<ClassKey, JobClass>,
    history: BTreeMap<(Shape, StopEffect, RuntimeHint), RunHistory>,
}

impl AccountState {
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

    /// Share of the region per weight with `more` accelerators and tasks added: the larger one of
    /// accelerators and slots, in millionths.
    pub(crate) fn share(&self, total: u32, slots: u32, more: (u32, u32)) -> u64 {
        let part = |used: u32, of: u32| u64::from(used) * 1_000_000 / u64::from(of.max(1));
        let accelerators = part(self.used + self.held + more.0, total);
        let tasks = part(self.tasks + more.1, slots);
        accelerators.max(tasks) / u64::from(self.spec.weight.max(1))
    }

    /// Whether the quota allows this many more accelerators.
    pub(crate) fn allows(&self, more: u32) -> bool {
        self.spec
            .quota
            .is_none_or(|quota| self.used + self.held + more <= quota)
    }

    /// Adds a waiting job.
    pub(crate) fn push(&mut self, key: ClassKey, job: JobId) {
        self.classes.entry(key).or_default().jobs.insert(job);
    }

    /// Removes a waiting job.
    pub(crate) fn remove(&mut self, key: &ClassKey, job: JobId) {
        if let Some(class) = self.classes.get_mut(key) {
            class.jobs.remove(&job);
            if class.jobs.is_empty() {
                self.classes.remove(key);
            }
        }
    }

    /// First jobs of the classes that `filter` lets through, in the order of the queue.
    pub(crate) fn first_jobs(&self, filter: impl Fn(&JobClass) -> bool) -> Vec<(ClassKey, JobId)> {
        let classes = self.classes.iter().filter(|(_, class)| filter(class));
        let mut first_jobs: Vec<(ClassKey, JobId)> = classes
            .filter_map(|(key, class)| class.jobs.first().map(|job| (*key, *job)))
            .collect();
        first_jobs.sort_by_key(|(key, job)| key.rank(*job));
        first_jobs
    }

    /// Whether a waiting job is expected to be long: by its own service, then by how long jobs
    /// like it ran. Without any sign, work that can be stopped counts as short, because a wrong
    /// guess is put right by reclaiming it.
    pub(crate) fn expects_long(&self, key: &ClassKey) -> bool {
        if key.level > 0 {
            return true;
        }
        let seen = self
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
        2 * (seen.long + long) > seen.ended + weight
    }

    /// Notes whether a job that ended, or that just became long, was long; true if the
    /// expectation for its class changed.
    pub(crate) fn observe(&mut self, key: &ClassKey, long: bool) -> bool {
        let fresh = ClassKey { level: 0, ..*key };
        let before = self.expects_long(&fresh);
        let seen = self.history.entry((key.shape, key.stop, key.hint)).or_default();
        seen.ended += 1;
        seen.long += u32::from(long);
        if seen.ended >= HISTORY_LIMIT {
            seen.ended /= 2;
            seen.long /= 2;
        }
        before != self.expects_long(&fresh)
    }
}
