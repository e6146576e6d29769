//! Cost of ending a run, or a gang as a whole, for a step that waits: what its end loses, more if it was preempted lately, and whether it ends soon enough without.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::steps::spec::TaskKey;

/// A run is kept to its end if a stop would free its capacity sooner by less than the time of work that it loses, divided
/// by this number: a run of 10 s from its last second on, as a stop takes effect in about half of that.
const NEAR_END_PART: u64 = 8;

/// Number of preemptions of a task or gang, each within [`REPEAT_SPAN`] of the one before, after which it is kept.
const MAX_REPEATS: u32 = 3;

/// Time after which a preemption no longer counts: about three times the longest tasks of the users' deployments,
/// so that what was preempted can start again and end.
const REPEAT_SPAN: Millis = Millis(30_000);

/// Cost of a candidate that is only preempted where any loss is allowed: above all others, and small enough for the sum
/// of as many as there can be.
pub(crate) const PROHIBITIVE: u64 = u64::MAX >> 16;

/// A run that may be preempted, or a gang as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Work that its end loses, in core-milliseconds.
    pub(crate) lost: u64,
    /// Longest time of work that one of its runs loses.
    pub(crate) worked: Millis,
    /// Time until its last run ends by itself; none if that is not known of each run.
    pub(crate) remaining: Option<Millis>,
    /// Number of recent preemptions of the task or gang.
    pub(crate) repeats: u32,
}

/// What preempting a candidate means for a waiting step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VictimCost {
    /// It ends by itself by the time that a stop would take.
    EndsSoon,
    /// In core-milliseconds, with the weight of repeated preemption.
    Cost(u64),
}

impl Candidate {
    /// The candidate with a further run, which loses `lost` core-milliseconds in `worked` and ends after `remaining`.
    pub(crate) fn join(self, lost: u64, worked: Millis, remaining: Option<Millis>) -> Self {
        Self {
            lost: self.lost.saturating_add(lost),
            worked: self.worked.max(worked),
            remaining: self.remaining.zip(remaining).map(|(one, other)| one.max(other)),
            repeats: self.repeats,
        }
    }

    /// The cost, if a stop takes effect after `stopped_after`.
    pub(crate) fn cost(&self, stopped_after: Millis) -> VictimCost {
        let sooner = self.remaining.map(|remaining| remaining.since(stopped_after));
        if sooner == Some(Millis::ZERO) {
            return VictimCost::EndsSoon;
        }
        let near_end = sooner.is_some_and(|sooner| sooner.0.saturating_mul(NEAR_END_PART) < self.worked.0);
        if near_end || self.repeats >= MAX_REPEATS {
            return VictimCost::Cost(PROHIBITIVE);
        }
        let cost = self.lost.saturating_mul(u64::from(self.repeats) + 1);
        VictimCost::Cost(cost.min(PROHIBITIVE))
    }
}

/// Recent preemptions of each task; a gang counts as its first one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreemptionHistory {
    tasks: BTreeMap<TaskKey, (Millis, u32)>,
}

impl PreemptionHistory {
    /// Takes note that a run of a task is preempted.
    pub(crate) fn note(&mut self, now: Millis, task: TaskKey) {
        let repeats = self.repeats(now, &task);
        self.tasks.insert(task, (now, repeats + 1));
    }

    /// Number of recent preemptions of a task.
    pub(crate) fn repeats(&self, now: Millis, task: &TaskKey) -> u32 {
        let recent = self.tasks.get(task).filter(|(at, _)| now.since(*at) < REPEAT_SPAN);
        recent.map_or(0, |(_, repeats)| *repeats)
    }

    /// Forgets preemptions that no longer count.
    pub(crate) fn sweep(&mut self, now: Millis) {
        self.tasks.retain(|_, (at, _)| now.since(*at) < REPEAT_SPAN);
    }
}

/// The task under which the preemptions of a task are counted: the first one of its gang, or itself.
pub(crate) fn counted_task(task: &TaskKey, gang: bool) -> TaskKey {
    let index = if gang { 0 } else { task.index };
    TaskKey { index, ..*task }
}
