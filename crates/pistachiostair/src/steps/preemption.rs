//! Preemption: finds running tasks whose end makes capacity for a waiting step with the least loss of work.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::clock::Millis;
use crate::steps::capacity::{Eligible, FreeCapacity, Room};
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::host::RunKey;
use crate::steps::place::leftover;
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, JobKey, Step, TaskKey};
use crate::steps::victim::{Candidate, PROHIBITIVE, VictimCost, counted_task};
use crate::steps::waste_counts::earlier_work;

/// Number of cores that an accelerator counts as when amounts of work are compared, as in the platform's prices.
const ACCELERATOR_CORES: u64 = 8;

/// Age of the last lists of a worker from which on its tasks don't count as at work: lists come at least every 2 s.
const MAX_LIST_AGE: Millis = Millis(3_000);

/// Time that a checkpointing task loses by a stop: up to a second since the last checkpoint, and the time to resume.
const MAX_CHECKPOINT_LOSS: Millis = Millis(1_200);

/// Work of one task over a span of time, in core-milliseconds; at most the highest number.
pub(crate) fn core_millis(demand: &Demand, span: Millis) -> u64 {
    let accelerators = demand.accelerators.saturating_mul(ACCELERATOR_CORES);
    let cores = accelerators.saturating_add(demand.millicores / 1_000);
    cores.saturating_mul(span.0)
}

/// Runs that can only be preempted together: one run, or all members of a gang.
#[derive(Clone, Debug)]
struct Victim {
    /// Each run with its demand and, if its worker accepts new tasks, the worker's position.
    runs: Vec<(RunKey, Option<u32>, Demand)>,
    /// Order of preemption, lowest first: lower for runs of less urgent queues, highest if they should be kept.
    rank: u32,
    candidate: Candidate,
    /// Cost of their end, in core-milliseconds.
    cost: u64,
}

/// Workers for the tasks of a step, by position, and the runs that must end there first.
pub(crate) struct Preemption {
    pub(crate) workers: Vec<u32>,
    pub(crate) runs: Vec<RunKey>,
    /// Work that their end loses, in core-milliseconds.
    pub(crate) lost: u64,
    /// The same with the weight of repeated preemption.
    pub(crate) cost: u64,
}

/// Result of a search on a set of workers.
pub(crate) enum Search {
    /// The tasks don't all fit, whatever is preempted.
    Impossible,
    /// They fit only if more work is lost than allowed.
    TooCostly,
    Found(Preemption),
}

/// Which runs may not be preempted.
pub(crate) struct PreemptionLimits<'a> {
    /// Jobs whose runs may not be preempted.
    pub(crate) protected: &'a BTreeSet<JobKey>,
    /// Runs of queues with this priority or a more urgent one may not be preempted; none if priority does not protect.
    pub(crate) priority: Option<u32>,
    /// Runs already preempted in this planning pass; their capacity counts as free.
    pub(crate) preempted: &'a BTreeSet<RunKey>,
}

/// A victim's runs on one worker.
#[derive(Clone, Copy, Debug)]
struct LocalVictim {
    /// Index in [`Victims::all`].
    victim: usize,
    /// Demand of its runs on the worker.
    demand: Demand,
}

/// All runs that may be preempted under certain limits, on the workers that accept new tasks.
pub(crate) struct Victims {
    all: Vec<Victim>,
    /// By the worker's position, in the order in which they are preempted.
    by_worker: Vec<Vec<LocalVictim>>,
    /// Capacity of the runs on each worker that are already being stopped, by its position.
    stopping: Vec<Demand>,
}

impl Victims {
    /// Collects the runs that `limits` allows to preempt.
    pub(crate) fn new(
        scheduler: &StepScheduler,
        cx: &Context<'_>,
        free: &FreeCapacity<'_>,
        limits: &PreemptionLimits<'_>,
    ) -> Self {
        let mut victims = Self {
            all: Vec::new(),
            by_worker: vec![Vec::new(); free.len()],
            stopping: vec![Demand::default(); free.len()],
        };
        // Runs of one step are next to each other.
        let mut current: Option<(StepKey, Option<Preemptible<'_>>)> = None;
        for (key, run) in scheduler.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended) {
            let position = free.position(run.host);
            if run.stop.is_some() || limits.preempted.contains(key) {
                if let Some(position) = position {
                    let stopping = &mut victims.stopping[position as usize];
                    *stopping = stopping.plus(&run.demand);
                }
                continue;
            }
            let (task, number) = *key;
            let step_key = task.step_key();
            if current.as_ref().is_none_or(|(key, _)| *key != step_key) {
                current = Some((step_key, Preemptible::new(scheduler, cx, &task, limits)));
            }
            let Some(step) = current.as_mut().and_then(|(_, step)| step.as_mut()) else {
                continue;
            };
            if let Some(allowance) = &mut step.allowance {
                if *allowance == 0 {
                    continue;
                }
                *allowance -= 1;
            }
            let known = step.gangs.iter().find(|(run, _)| *run == number);
            let victim = known.map_or(victims.all.len(), |(_, victim)| *victim);
            if victim == victims.all.len() {
                victims.all.push(Victim {
                    runs: Vec::new(),
                    rank: step.rank,
                    candidate: Candidate {
                        remaining: Some(Millis::ZERO),
                        repeats: scheduler
                            .preempted
                            .repeats(cx.now, &counted_task(&task, step.spec.gang)),
                        ..Candidate::default()
                    },
                    cost: 0,
                });
                if step.spec.gang {
                    step.gangs.push((number, victim));
                }
            }
            victims.all[victim].runs.push((*key, position, run.demand));
            let candidate = &mut victims.all[victim].candidate;
            let (lost, worked) = (lost_work(cx, run, step.spec), lost_span(cx, run, step.spec));
            *candidate = candidate.join(lost, worked, known_remaining(cx, run, step.spec));
        }
        victims.weigh(cx, limits.priority.is_some());
        victims.sort();
        victims
    }

    /// Sets the costs. If the loss is `limited`, runs that end as soon as a stop would take effect are not victims: their
    /// capacity counts like that of runs that are being stopped.
    fn weigh(&mut self, cx: &Context<'_>, limited: bool) {
        let stopped_after = cx.limits.stopped_after();
        for victim in &mut self.all {
            victim.cost = victim.candidate.lost;
            if !limited {
                continue;
            }
            match victim.candidate.cost(stopped_after) {
                VictimCost::EndsSoon => {
                    for (_, position, demand) in victim.runs.drain(..) {
                        let Some(position) = position else { continue };
                        let stopping = &mut self.stopping[position as usize];
                        *stopping = stopping.plus(&demand);
                    }
                }
                VictimCost::Cost(cost) => {
                    victim.cost = cost;
                    if cost >= PROHIBITIVE {
                        victim.rank = u32::MAX;
                    }
                }
            }
        }
    }

    /// Fills [`Self::by_worker`].
    fn sort(&mut self) {
        for (index, victim) in self.all.iter().enumerate() {
            for (_, position, demand) in &victim.runs {
                let Some(position) = position else { continue };
                let local = &mut self.by_worker[*position as usize];
                match local.last_mut().filter(|last| last.victim == index) {
                    Some(last) => last.demand = last.demand.plus(demand),
                    None => local.push(LocalVictim {
                        victim: index,
                        demand: *demand,
                    }),
                }
            }
        }
        for local in &mut self.by_worker {
            local.sort_unstable_by_key(|local| {
                let victim = &self.all[local.victim];
                (victim.rank, victim.cost, local.victim)
            });
        }
    }

    /// Finds workers in a set for `count` tasks, one after the other, each where the least urgent and least work is lost.
    /// Gives up once the cost exceeds `max_loss`.
    pub(crate) fn find(
        &self,
        set: &[Eligible],
        free: &FreeCapacity<'_>,
        (demand, count): (&Demand, u32),
        max_loss: Option<u64>,
    ) -> Search {
        let mut search = PreemptionSearch::new(self, set, free, demand);
        if !search.can_fit(count) {
            return Search::Impossible;
        }
        for index in 0..search.slots.len() {
            search.push(index);
        }
        let mut workers = Vec::new();
        while workers.len() < count as usize {
            let Some(position) = search.place() else {
                return Search::Impossible;
            };
            if max_loss.is_some_and(|max| search.cost > max) {
                return Search::TooCostly;
            }
            workers.push(position);
        }
        let chosen = search.chosen.iter().map(|victim| &self.all[*victim]);
        Search::Found(Preemption {
            workers,
            lost: chosen.clone().map(|victim| victim.candidate.lost).sum(),
            cost: search.cost,
            runs: chosen
                .flat_map(|victim| victim.runs.iter().map(|(key, ..)| *key))
                .collect(),
        })
    }
}

/// What the limits say about the runs of one step, and the victims found in it.
struct Preemptible<'a> {
    spec: &'a Step,
    rank: u32,
    /// Number of tasks of a long-running step that may still be preempted.
    allowance: Option<u32>,
    /// The victim of each run of a gang, of which all members are one; empty if the step is not a gang.
    gangs: Vec<(u32, usize)>,
}

impl<'a> Preemptible<'a> {
    /// The step of a task; none if its runs may not be preempted.
    fn new(scheduler: &StepScheduler, cx: &Context<'a>, task: &TaskKey, limits: &PreemptionLimits<'_>) -> Option<Self> {
        let (entry, spec) = (cx.book.job(task.job)?, step_of(cx.book, task)?);
        let priority = scheduler.terms(entry).priority;
        let protected = limits.priority.is_some_and(|limit| priority <= limit);
        if protected || limits.protected.contains(&task.job) {
            return None;
        }
        let left = |max: u32| max.saturating_sub(scheduler.unavailable(cx, task, spec, limits.preempted));
        Some(Self {
            spec,
            rank: u32::MAX - priority,
            allowance: spec.max_unavailable.map(left),
            gangs: Vec::new(),
        })
    }
}

/// State of a search on a set of workers. Victims are given by their index in [`Victims::all`].
struct PreemptionSearch<'a> {
    victims: &'a Victims,
    demand: &'a Demand,
    slots: Vec<Slot>,
    /// The best choice on each worker, best first; entries of an earlier version of a slot no longer count.
    heap: BinaryHeap<Reverse<(Choice, u32)>>,
    /// Victims chosen so far; their capacity counts as free.
    chosen: BTreeSet<usize>,
    cost: u64,
}

/// Order of the workers for the next task: rank and cost of the victims, what the task leaves over, index of the slot.
type Choice = ((u32, u64), (u64, u64), usize);

/// A worker of the set.
#[derive(Clone, Copy, Debug)]
struct Slot {
    position: u32,
    limit: u32,
    room: Room,
    version: u32,
}

impl<'a> PreemptionSearch<'a> {
    fn new(victims: &'a Victims, set: &[Eligible], free: &FreeCapacity<'_>, demand: &'a Demand) -> Self {
        let slots = set.iter().map(|worker| {
            let mut room = free.room(worker.position);
            room.release(&victims.stopping[worker.position as usize]);
            Slot {
                position: worker.position,
                limit: worker.limit,
                room,
                version: 0,
            }
        });
        Self {
            victims,
            demand,
            slots: slots.collect(),
            heap: BinaryHeap::new(),
            chosen: BTreeSet::new(),
            cost: 0,
        }
    }

    fn local(&self, slot: &Slot) -> &'a [LocalVictim] {
        &self.victims.by_worker[slot.position as usize]
    }

    /// Whether `count` tasks fit once all victims are preempted.
    fn can_fit(&self, count: u32) -> bool {
        let mut missing = count;
        self.slots.iter().any(|slot| {
            let mut room = slot.room;
            for local in self.local(slot) {
                room.release(&local.demand);
            }
            missing -= room.fitting(self.demand, slot.limit.min(missing));
            missing == 0
        })
    }

    /// Chooses the best worker for one more task, takes the capacity there, and returns its position.
    fn place(&mut self) -> Option<u32> {
        let index = loop {
            let Reverse(((.., index), version)) = self.heap.pop()?;
            if self.slots[index].version == version {
                break index;
            }
        };
        let mut room = self.slots[index].room;
        let mut needed = Vec::new();
        for local in self.local(&self.slots[index]) {
            if room.fits(self.demand) {
                break;
            }
            if !self.chosen.contains(&local.victim) {
                room.release(&local.demand);
                needed.push(local.victim);
            }
        }
        let mut changed = BTreeSet::from([index]);
        for victim in needed {
            self.choose(victim, &mut changed);
        }
        let slot = &mut self.slots[index];
        slot.room.free = slot.room.free.minus(self.demand);
        slot.limit -= 1;
        let position = slot.position;
        for index in changed {
            self.slots[index].version += 1;
            self.push(index);
        }
        Some(position)
    }

    /// Enters the worker in the heap if a task can be placed there: its cost is the highest rank among the victims that
    /// must end, then the sum of their costs.
    fn push(&mut self, index: usize) {
        let slot = self.slots[index];
        if slot.limit == 0 {
            return;
        }
        let mut room = slot.room;
        let mut cost = (0, 0);
        for local in self.local(&slot) {
            if room.fits(self.demand) {
                break;
            }
            if !self.chosen.contains(&local.victim) {
                let victim = &self.victims.all[local.victim];
                room.release(&local.demand);
                cost = (cost.0.max(victim.rank), cost.1 + victim.cost);
            }
        }
        if room.fits(self.demand) {
            let choice = (cost, leftover(&slot.room.free, self.demand), index);
            self.heap.push(Reverse((choice, slot.version)));
        }
    }

    /// Counts the capacity of a victim as free on all its workers; notes their slots in `changed`.
    fn choose(&mut self, victim: usize, changed: &mut BTreeSet<usize>) {
        if !self.chosen.insert(victim) {
            return;
        }
        let victim = &self.victims.all[victim];
        self.cost += victim.cost;
        for (_, position, demand) in &victim.runs {
            let Some(position) = position else { continue };
            let slot = self.slots.binary_search_by_key(position, |slot| slot.position);
            if let Ok(index) = slot {
                self.slots[index].room.release(demand);
                changed.insert(index);
            }
        }
    }
}

impl StepScheduler {
    /// Number of tasks of a long-running step that are not at work, or won't be once the runs in `preempted` are
    /// stopped. A task is at work once its run has reported 100 percent, as long as its worker goes on listing it: the lease
    /// of a worker that does not answer says only that the run may be alive.
    fn unavailable(&self, cx: &Context<'_>, task: &TaskKey, step: &Step, preempted: &BTreeSet<RunKey>) -> u32 {
        let at_work = |key: &RunKey| {
            let run = self.runs.get(key).filter(|run| {
                let host = self.hosts.get(&run.worker);
                let answers = host.is_some_and(|host| host.synced && !host.is_failing());
                let listed = answers && cx.now.since(run.listed_at) <= MAX_LIST_AGE;
                run.phase == RunPhase::Live && run.stop.is_none() && listed
            });
            run.is_some_and(TaskRun::is_at_work) && !preempted.contains(key)
        };
        let available = self.runs_of_step(task.step_key()).filter(at_work).count();
        step.count.saturating_sub(available as u32)
    }
}

/// Work that the end of a run loses, in core-milliseconds. A run that was started under an earlier term has worked for
/// longer than this scheduler has observed, so that its reported progress counts if it shows more work.
pub(crate) fn lost_work(cx: &Context<'_>, run: &TaskRun, step: &Step) -> u64 {
    core_millis(&run.demand, lost_span(cx, run, step))
}

/// Time at work that the end of a run loses.
pub(crate) fn lost_span(cx: &Context<'_>, run: &TaskRun, step: &Step) -> Millis {
    let span = cx.now.since(run.since).max(earlier_work(run, step)).max(Millis(1));
    unsaved(span, step.checkpointing)
}

/// Time until a run ends by itself, as its progress shows; none if that is not known, or if it is long-running.
pub(crate) fn known_remaining(cx: &Context<'_>, run: &TaskRun, step: &Step) -> Option<Millis> {
    let progress = run.progress.filter(|_| !step.long_running)?;
    progress.forecast(cx.now, step.estimate)
}

/// Part of a run's time at work that a stop loses. `saved` tells whether it saves checkpoints.
pub(crate) fn unsaved(span: Millis, saved: bool) -> Millis {
    match saved {
        true => span.min(MAX_CHECKPOINT_LOSS),
        false => span,
    }
}
