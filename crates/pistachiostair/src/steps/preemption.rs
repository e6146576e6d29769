//! Preemption: finds running tasks whose end makes capacity for a waiting step with the least loss of work.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::Candidate;
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::host::RunKey;
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, JobKey, Step, TaskKey};

/// Number of cores that an accelerator counts as when amounts of work are compared, as in the platform's prices.
const ACCELERATOR_CORES: u64 = 8;

/// Time that a checkpointing task loses by a stop: up to a second since the last checkpoint, and the time to resume.
const MAX_CHECKPOINT_LOSS: Millis = Millis(1_200);

/// Work of one task over a span of time, in core-milliseconds.
pub(crate) fn core_millis(demand: &Demand, span: Millis) -> u64 {
    let cores = demand.millicores / 1_000 + ACCELERATOR_CORES * demand.accelerators;
    cores * span.0
}

/// Runs that can only be preempted together: one run, or all members of a gang.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<RunKey>,
    /// Order of preemption, lowest first: lower for runs of less urgent queues.
    rank: u32,
    /// Work that their end loses, in core-milliseconds.
    lost: u64,
}

/// Workers for the tasks of a step, and the runs that must end there first.
pub(crate) struct Preemption {
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) runs: Vec<RunKey>,
    /// Work that their end loses, in core-milliseconds.
    pub(crate) lost: u64,
}

/// Search for a preemption on a set of workers. Victims are identified by their index in `victims`.
pub(crate) struct PreemptionSearch<'a> {
    scheduler: &'a StepScheduler,
    candidates: Vec<Candidate<'a>>,
    /// Victims with a run on each worker.
    by_worker: BTreeMap<&'a WorkerName, Vec<usize>>,
    victims: Vec<Victim>,
    /// Victims chosen so far; their capacity counts as free.
    chosen: BTreeSet<usize>,
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

impl<'a> PreemptionSearch<'a> {
    /// Collects the runs on the candidate workers that `limits` allows to preempt. The capacity of runs that are
    /// already being stopped counts as free.
    pub(crate) fn new(
        scheduler: &'a StepScheduler,
        cx: &Context<'_>,
        candidates: Vec<Candidate<'a>>,
        limits: &PreemptionLimits<'_>,
    ) -> Self {
        let mut search = Self {
            scheduler,
            candidates,
            by_worker: BTreeMap::new(),
            victims: Vec::new(),
            chosen: BTreeSet::new(),
        };
        let mut gangs: BTreeMap<(StepKey, u32), usize> = BTreeMap::new();
        // Number of tasks of each long-running step that may still be preempted.
        let mut allowances: BTreeMap<StepKey, u32> = BTreeMap::new();
        for (key, run) in scheduler.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended) {
            if run.stop.is_some() || limits.preempted.contains(key) {
                search.release(&run.worker, &run.demand);
                continue;
            }
            let (task, number) = *key;
            let (Some(entry), Some(step)) = (cx.book.job(task.job), step_of(cx.book, &task)) else {
                continue;
            };
            let priority = scheduler.terms(entry).priority;
            let protected = limits.priority.is_some_and(|limit| priority <= limit);
            if protected || limits.protected.contains(&task.job) {
                continue;
            }
            if let Some(max) = step.max_unavailable {
                let count = || max.saturating_sub(scheduler.unavailable(&task, step, limits.preempted));
                let allowance = allowances.entry(task.step_key()).or_insert_with(count);
                if *allowance == 0 {
                    continue;
                }
                *allowance -= 1;
            }
            let rank = u32::MAX - priority;
            let victim = if step.gang {
                let gang = (task.step_key(), number);
                *gangs.entry(gang).or_insert_with(|| search.add(rank))
            } else {
                search.add(rank)
            };
            search.victims[victim].runs.push(*key);
            search.victims[victim].lost += lost_work(cx, run, step);
            search.by_worker.entry(&run.worker).or_default().push(victim);
        }
        search
    }

    fn add(&mut self, rank: u32) -> usize {
        self.victims.push(Victim {
            runs: Vec::new(),
            rank,
            lost: 0,
        });
        self.victims.len() - 1
    }

    fn release(&mut self, worker: &WorkerName, demand: &Demand) {
        if let Some(candidate) = self.candidates.iter_mut().find(|candidate| candidate.worker == worker) {
            candidate.release(demand);
        }
    }

    /// Finds workers for all `count` tasks, one after the other, each where the least urgent and least work is lost.
    /// None if they don't all fit.
    pub(crate) fn find(mut self, demand: &Demand, count: usize) -> Option<Preemption> {
        let mut workers = Vec::new();
        for _ in 0..count {
            let options = (0..self.candidates.len()).filter(|index| self.candidates[*index].task_limit > 0);
            let options = options.filter_map(|index| Some((self.cheapest(index, demand)?, index)));
            let ((_, victims), index) = options.min_by_key(|((cost, _), index)| {
                let left = self.candidates[*index].free.minus(demand);
                (*cost, left.accelerators, left.memory, *index)
            })?;
            for victim in victims {
                self.choose(victim);
            }
            let candidate = &mut self.candidates[index];
            candidate.take(demand);
            workers.push(candidate.worker.clone());
        }
        let chosen = self.chosen.iter().map(|victim| &self.victims[*victim]);
        Some(Preemption {
            workers,
            lost: chosen.clone().map(|victim| victim.lost).sum(),
            runs: chosen.flat_map(|victim| victim.runs.clone()).collect(),
        })
    }

    /// Victims whose end makes a task fit on the candidate at `index`, with their cost: the highest rank among them,
    /// then the work lost. None if the task does not fit even then.
    fn cheapest(&self, index: usize, demand: &Demand) -> Option<((u32, u64), Vec<usize>)> {
        let candidate = &self.candidates[index];
        let mut trial = candidate.clone();
        let mut chosen = Vec::new();
        let mut cost = (0, 0);
        let local = self.by_worker.get(candidate.worker).map_or(&[][..], Vec::as_slice);
        let mut local: Vec<usize> = local
            .iter()
            .copied()
            .filter(|victim| !self.chosen.contains(victim))
            .collect();
        local.sort_unstable_by_key(|victim| (self.victims[*victim].rank, self.victims[*victim].lost, *victim));
        local.dedup();
        for victim in local {
            if demand.fits(&trial.free) {
                break;
            }
            let runs = self.victims[victim]
                .runs
                .iter()
                .filter_map(|run| self.scheduler.runs.get(run));
            for run in runs.filter(|run| run.worker == *candidate.worker) {
                trial.release(&run.demand);
            }
            cost = (
                cost.0.max(self.victims[victim].rank),
                cost.1 + self.victims[victim].lost,
            );
            chosen.push(victim);
        }
        demand.fits(&trial.free).then_some((cost, chosen))
    }

    /// Counts the capacity of a victim as free on all its workers.
    fn choose(&mut self, victim: usize) {
        if !self.chosen.insert(victim) {
            return;
        }
        for key in self.victims[victim].runs.clone() {
            if let Some(run) = self.scheduler.runs.get(&key) {
                self.release(&run.worker, &run.demand);
            }
        }
    }
}

impl StepScheduler {
    /// Number of tasks of a long-running step that are not at work, or won't be once the runs in `preempted` are
    /// stopped. A task is at work once its run has reported 100 percent.
    fn unavailable(&self, task: &TaskKey, step: &Step, preempted: &BTreeSet<RunKey>) -> u32 {
        let at_work = |key: &RunKey| {
            let run = self
                .runs
                .get(key)
                .filter(|run| run.phase == RunPhase::Live && run.stop.is_none());
            let started = run
                .and_then(|run| run.progress)
                .is_some_and(|progress| progress.percent() >= 100);
            started && !preempted.contains(key)
        };
        let available = self.runs_of_step(task.step_key()).filter(at_work).count();
        step.count.saturating_sub(available as u32)
    }
}

/// Work that the end of a run loses, in core-milliseconds. A run that was started under an earlier term has worked for
/// longer than this scheduler has observed, so that its reported progress counts if it shows more work.
fn lost_work(cx: &Context<'_>, run: &TaskRun, step: &Step) -> u64 {
    let percent = run.progress.map_or(0, |progress| progress.percent());
    let worked = Millis(step.estimate.0 * u64::from(percent) / 100);
    let span = cx.now.since(run.since).max(worked).max(Millis(1));
    let span = match step.checkpointing {
        true => span.min(MAX_CHECKPOINT_LOSS),
        false => span,
    };
    core_millis(&run.demand, span)
}
