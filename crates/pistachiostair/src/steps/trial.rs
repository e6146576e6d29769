//! Placement of suspects: tasks that may have crashed the workers that started them, each started apart from other work.
//!
//! A trial takes a whole worker, which may crash: its run counts as using all of it, so that others may preempt it. The
//! number of workers used for trials at the same time is small at first, grows with each trial that is passed, and falls
//! back with each worker that crashes. A suspect for which no worker becomes empty soon starts beside other work. One that
//! has waited for some time shares a worker with other suspects, or takes a further one as long as half of the workers stay
//! free of trials, or three quarters while a worker with a trial does not answer; after some more time it starts anywhere.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::steps::capacity::{Eligible, FreeCapacity};
use crate::steps::engine::{Context, StepScheduler, step_of};
use crate::steps::forecast::Forecast;
use crate::steps::host::{Host, RunKey};
use crate::steps::job_table::JobEntry;
use crate::steps::place::{SpeedPreference, place_tasks, preferred_sets};
use crate::steps::plan::{PlanningPass, StepPlacement};
use crate::steps::queue::StepKey;
use crate::steps::spec::{JobKey, Step};

/// Part of the usable workers that trials may always take, as a divisor, and the largest such part.
const MIN_TRIAL_PART: usize = 8;
const MAX_TRIAL_PART: usize = 2;

/// Part of the usable workers that may have trials, as a divisor, for suspects to start on further workers that they share
/// while one with a trial does not answer. At other times it is [`MAX_TRIAL_PART`].
const SHARED_PART: usize = 4;

/// Longest time for which a suspect waits to be alone on a worker. Then it starts on a worker with other trials or on a
/// further one that trials may use.
const MAX_HELD: Millis = Millis(2_000);

/// Longest time for which it waits for such a worker: as long as a trial takes at most. Then it starts on any worker.
const MAX_HELD_SHARED: Millis = Millis(10_000);

/// Longest time for which a suspect waits for workers to become empty.
const MAX_EMPTY_WAIT: Millis = Millis(2_000);

/// What one planning pass does about trials.
pub(crate) struct TrialPass {
    /// Number of workers that may still be used for trials.
    slots: usize,
    /// Number of further workers on which suspects may start beside other work.
    shared_slots: usize,
    /// Positions of the workers with a trial.
    positions: BTreeSet<u32>,
    /// Whether no trial is in progress.
    idle: bool,
    /// Whether a gang waits for trials to end, so that no other one begins.
    blocked: bool,
    /// Jobs with a trial in progress.
    jobs: BTreeSet<JobKey>,
    /// Suspects that start beside other work.
    ordinary: BTreeMap<StepKey, BTreeSet<u32>>,
    /// Suspects that the pass leaves unplaced, and why.
    held: BTreeMap<Suspect, HoldReason>,
}

/// How a suspect is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialKind {
    /// Its worker is kept for it, so that a crash tells against it alone.
    Alone,
    /// Beside other work, on one of the few workers that suspects may use at a time.
    Shared,
}

/// A waiting suspect: its step and its index.
pub(crate) type Suspect = (StepKey, u32);

/// Why a planning pass leaves a suspect unplaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldReason {
    /// Another task of its job is on trial, after one of them has crashed a worker alone.
    JobOnTrial,
    /// Trials use as many workers as they may.
    NoSlot,
    /// A gang waits for the trials in progress to end.
    GangFirst,
    /// A worker is forecast to become empty soon.
    EmptySoon,
    /// It may start anywhere, but there is no room.
    NoRoom,
    /// It may share a worker, but those that trials may use have no room.
    NoSharedRoom,
}

impl HoldReason {
    fn text(self) -> &'static str {
        match self {
            Self::JobOnTrial => "another task of its job is on trial",
            Self::NoSlot => "trials use as many workers as they may",
            Self::GangFirst => "a gang waits for trials to end",
            Self::EmptySoon => "a worker becomes empty soon",
            Self::NoRoom => "no room beside other work",
            Self::NoSharedRoom => "no room on the workers that trials may use",
        }
    }
}

/// Positions of workers for a trial.
enum TrialPlace {
    /// A worker for each task, all of them empty.
    Empty(Vec<u32>),
    /// Workers that are forecast to be empty soon.
    Soon(Vec<u32>),
    /// No workers become empty soon.
    Busy,
}

impl TrialPass {
    /// Lets suspects start beside other work. They count as held until they are placed.
    fn start_beside(&mut self, step: StepKey, indices: Vec<u32>) {
        self.ordinary.entry(step).or_default().extend(indices.iter().copied());
        self.hold(step, indices, HoldReason::NoRoom);
    }

    fn hold(&mut self, step: StepKey, indices: Vec<u32>, why: HoldReason) {
        self.held.extend(indices.into_iter().map(|index| ((step, index), why)));
    }
}

impl StepScheduler {
    /// The trials that a planning pass may begin.
    pub(crate) fn trial_pass(&self, cx: &Context<'_>, free: &FreeCapacity<'_>) -> TrialPass {
        let synced = self.hosts.values().filter(|host| host.listed && host.synced);
        let usable = synced.filter(|host| self.host_ban(cx, host).is_none()).count();
        let (least, most) = (usable / MIN_TRIAL_PART, (usable / MAX_TRIAL_PART).max(1));
        let runs = self.trials.iter().filter_map(|key| self.runs.get(key));
        let hosts: BTreeSet<u32> = runs.map(|run| run.host).collect();
        // One is left for suspects that share it.
        let slots = self.trial_workers.max(least).min(most.max(3) - 1).min(most);
        let on_trial = |host: &Host| hosts.contains(&host.number);
        let failing = self.hosts.values().any(|host| host.is_failing() && on_trial(host));
        let shared = if failing { usable / SHARED_PART } else { most };
        TrialPass {
            slots: slots.saturating_sub(hosts.len()),
            shared_slots: shared.saturating_sub(hosts.len()),
            positions: hosts.iter().filter_map(|host| free.position(*host)).collect(),
            idle: hosts.is_empty(),
            blocked: false,
            jobs: self.trials.iter().map(|(task, _)| task.job).collect(),
            ordinary: BTreeMap::new(),
            held: BTreeMap::new(),
        }
    }

    /// Takes note of the suspects that a planning pass has left unplaced, once its placements are made.
    pub(crate) fn note_held(&mut self, cx: &Context<'_>, mut pass: TrialPass) {
        let (slots, shared, trials) = (pass.slots, pass.shared_slots, self.trials.len());
        let waits = |(step, index): &Suspect| {
            let waiting = self.waiting.get(step);
            waiting.is_some_and(|waiting| waiting.suspects.contains(index))
        };
        pass.held.retain(|suspect, _| waits(suspect));
        self.held.retain(|suspect, _| pass.held.contains_key(suspect));
        for ((step, index), why) in pass.held {
            if self.held.contains_key(&(step, index)) {
                continue;
            }
            self.held.insert((step, index), cx.now);
            let reason = format!(
                "task {index} of step {}: {}; {trials} runs on trial, {slots} workers left for one alone of {} at present, \
                 {shared} to be shared",
                step.2,
                why.text(),
                self.trial_workers
            );
            self.log_job("suspect waits", step.0, reason);
        }
    }

    /// Indices of the tasks of a waiting step that are placed beside other work.
    pub(crate) fn ordinary_tasks(&self, pass: &PlanningPass<'_>, key: StepKey) -> BTreeSet<u32> {
        let waiting = self.waiting.get(&key).map(|waiting| &waiting.indices);
        let suspects = pass.trials.ordinary.get(&key);
        waiting.into_iter().chain(suspects).flatten().copied().collect()
    }

    /// Places the suspects of a waiting step on workers that run nothing else, or keeps workers that are empty soon.
    pub(crate) fn place_suspects<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        (key, entry, step): (StepKey, &JobEntry, &Step),
    ) {
        let Some(waiting) = self.waiting.get(&key).filter(|waiting| !waiting.suspects.is_empty()) else {
            return;
        };
        let tasks = entry.step(key.1, key.2).map(|step| &step.tasks);
        let crashes = |index: &u32| tasks.and_then(|tasks| Some(tasks.get(index)?.trial_crashes));
        // The task with the most crashes goes first, so that it is given up before others take more workers down.
        let mut suspects: Vec<u32> = waiting.suspects.iter().copied().collect();
        suspects.sort_by_key(|index| Reverse(crashes(index)));
        let known = entry.steps.values().flat_map(|step| step.tasks.values());
        let crashed = known.map(|task| task.trial_crashes).max() > Some(0);
        let groups: Vec<Vec<u32>> = match step.gang {
            true => vec![waiting.suspects.iter().copied().collect()],
            false => suspects.into_iter().map(|index| vec![index]).collect(),
        };
        for indices in groups {
            // A job of which a task crashed a worker on trial fails with the first one that is given up.
            let waits = crashed && pass.trials.jobs.contains(&key.0);
            let held = match (waits, pass.trials.blocked) {
                (true, _) => Some(HoldReason::JobOnTrial),
                (_, true) => Some(HoldReason::GangFirst),
                _ => (pass.trials.slots == 0).then_some(HoldReason::NoSlot),
            };
            let since = indices.iter().filter_map(|index| self.held.get(&(key, *index)));
            let waited = since.map(|since| cx.now.since(*since)).max().unwrap_or_default();
            if waited >= MAX_HELD_SHARED {
                pass.trials.start_beside(key, indices);
                continue;
            }
            let shares = waited >= MAX_HELD && !waits;
            if let Some(why) = held {
                match step.long_running && !crashed {
                    true => pass.trials.start_beside(key, indices),
                    false if shares => self.share_trial(pass, (key, entry, step), indices),
                    false => pass.trials.hold(key, indices, why),
                }
                continue;
            }
            let (positions, placed) = match self.find_trial(cx, pass, (key, entry, step), indices.len() as u32) {
                TrialPlace::Empty(positions) => (positions, true),
                TrialPlace::Soon(positions) if !step.long_running && !shares => (positions, false),
                TrialPlace::Soon(_) if shares && !step.long_running => {
                    self.share_trial(pass, (key, entry, step), indices);
                    continue;
                }
                TrialPlace::Soon(_) | TrialPlace::Busy => {
                    pass.trials.start_beside(key, indices);
                    continue;
                }
            };
            let workers: BTreeSet<u32> = positions.iter().copied().collect();
            if workers.len() > pass.trials.slots && !pass.trials.idle {
                if shares {
                    self.share_trial(pass, (key, entry, step), indices);
                    continue;
                }
                pass.trials.blocked = true;
                pass.trials.hold(key, indices, HoldReason::GangFirst);
                continue;
            }
            for position in &workers {
                pass.free.withdraw(*position);
            }
            pass.trials.slots = pass.trials.slots.saturating_sub(workers.len());
            pass.trials.shared_slots = pass.trials.shared_slots.saturating_sub(workers.len());
            pass.trials.idle = false;
            if placed {
                pass.trials.jobs.insert(key.0);
                let names = positions.iter().map(|position| pass.free.worker(*position).clone());
                pass.placements.push(StepPlacement {
                    step: key,
                    workers: indices.iter().copied().zip(names).collect(),
                    trial: Some(TrialKind::Alone),
                    reason: "on trial, apart from other work: workers crashed under it",
                });
            } else {
                pass.trials.hold(key, indices, HoldReason::EmptySoon);
            }
        }
    }

    /// Places suspects on workers with a trial or, as long as there are few of these, on others. Workers that run nothing
    /// else are preferred to those with other work, which would be lost in a crash.
    fn share_trial<'a>(
        &'a self,
        pass: &mut PlanningPass<'a>,
        (key, entry, step): (StepKey, &JobEntry, &Step),
        indices: Vec<u32>,
    ) {
        let terms = self.terms(entry);
        let eligible = self.eligible((&pass.free, &pass.placements), &terms.service, key, step);
        let wanted = (indices.len() as u32, SpeedPreference::of_queue(terms.priority));
        let place = |free: &FreeCapacity<'_>, set: Vec<Eligible>| {
            let preferred = preferred_sets(step, &set, free, &self.racks).unwrap_or_default();
            let placed = [preferred, vec![set]].map(|sets| place_tasks(step, wanted, &sets, free));
            placed.into_iter().find(|workers| workers.len() == indices.len())
        };
        let on_trial = |worker: &Eligible| pass.trials.positions.contains(&worker.position);
        let new = |workers: &[u32]| {
            let workers: BTreeSet<u32> = workers.iter().copied().collect();
            workers.difference(&pass.trials.positions).count()
        };
        let used: Vec<Eligible> = eligible.iter().copied().filter(on_trial).collect();
        let is_empty = |worker: &Eligible| on_trial(worker) || pass.free.is_empty(worker.position);
        let empty: Vec<Eligible> = eligible.iter().copied().filter(is_empty).collect();
        let found = [used, empty, eligible]
            .into_iter()
            .find_map(|set| place(&pass.free, set));
        let Some(workers) = found.filter(|workers| new(workers) <= pass.trials.shared_slots) else {
            return pass.trials.hold(key, indices, HoldReason::NoSharedRoom);
        };
        pass.trials.shared_slots -= new(&workers);
        pass.trials.positions.extend(workers.iter().copied());
        for worker in &workers {
            pass.free.take(*worker, &step.demand);
        }
        let names = workers.iter().map(|position| pass.free.worker(*position).clone());
        pass.placements.push(StepPlacement {
            step: key,
            workers: indices.iter().copied().zip(names).collect(),
            trial: Some(TrialKind::Shared),
            reason: "on trial beside other work: workers crashed under it, and none was kept for it in time",
        });
    }

    /// Gives the capacity that a run on trial does not need to others, once it has passed.
    pub(crate) fn end_trial(&mut self, cx: &Context<'_>, key: RunKey) {
        self.trials.remove(&key);
        self.trial_workers += 1;
        self.replan = true;
        let (Some(entry), Some(step)) = (cx.book.job(key.0.job), step_of(cx.book, &key.0)) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&key) else { return };
        let before = std::mem::replace(&mut run.demand, step.demand);
        if let Some(host) = self.hosts.get_mut(&run.worker) {
            host.used = host.used.minus(&before).plus(&step.demand);
        }
        self.discharge(&entry.spec.account, before.accelerators);
        self.charge(&entry.spec.account, step.demand.accelerators);
    }

    /// Finds workers for a trial of `count` tasks. Those that crashed lately are the last choice.
    fn find_trial(
        &self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'_>,
        (key, entry, step): (StepKey, &JobEntry, &Step),
        count: u32,
    ) -> TrialPlace {
        let terms = self.terms(entry);
        let eligible = self.eligible((&pass.free, &pass.placements), &terms.service, key, step);
        let wanted = (count, SpeedPreference::of_queue(terms.priority));
        let is_empty = |worker: &Eligible| pass.free.is_empty(worker.position);
        let empty: Vec<Eligible> = eligible.iter().copied().filter(is_empty).collect();
        let is_steady = |worker: &Eligible| pass.free.is_steady(worker.position);
        let steady = empty.iter().copied().filter(is_steady).collect();
        for set in [steady, empty] {
            let preferred = preferred_sets(step, &set, &pass.free, &self.racks).unwrap_or_default();
            for sets in [preferred, vec![set]] {
                let workers = place_tasks(step, wanted, &sets, &pass.free);
                if workers.len() == count as usize {
                    return TrialPlace::Empty(workers);
                }
            }
        }
        let free = &pass.free;
        let forecast = pass.forecast.get_or_insert_with(|| Forecast::new(self, cx, free));
        let open = eligible
            .into_iter()
            .filter(|worker| !free.is_withdrawn(worker.position));
        let timed = open.map(|worker| (forecast.empty_at(worker.position), worker));
        let mut soon: Vec<(Millis, Eligible)> = timed.filter(|(at, _)| *at <= MAX_EMPTY_WAIT).collect();
        soon.sort_by_key(|(at, worker)| (*at, worker.position));
        let mut missing = count;
        let mut workers = Vec::new();
        for (_, worker) in soon {
            if missing == 0 {
                break;
            }
            let fitting = free
                .capacity(worker.position)
                .fitting(&step.demand, worker.limit.min(missing));
            missing -= fitting;
            workers.extend((fitting > 0).then_some(worker.position));
        }
        match missing {
            0 => TrialPlace::Soon(workers),
            _ => TrialPlace::Busy,
        }
    }
}
