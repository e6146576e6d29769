//! Runs that may give way to others, and what is lost with them.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::Candidate;
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::host::RunKey;
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, JobKey, Step, TaskKey};

/// Cores that an accelerator counts as when work is compared, as in the platform's prices.
const ACCELERATOR_CORES: u64 = 8;

/// Work of a task with checkpoints that a stop loses: up to a second since the last one, and the time to resume.
const CHECKPOINT_LOSS: Millis = Millis(1_200);

/// Work of one task for a time, in core-milliseconds.
pub(crate) fn work(demand: &Demand, span: Millis) -> u64 {
    let cores = demand.millicores / 1_000 + ACCELERATOR_CORES * demand.accelerators;
    cores * span.0
}

/// Runs that give way together: one run, or all members of a gang.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<RunKey>,
    /// The lower the queue's priority, the lower the rank.
    rank: u32,
    /// Work that is lost, in core-milliseconds.
    lost: u64,
}

/// Workers for tasks, and the runs that must end there first.
pub(crate) struct Preemption {
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) runs: Vec<RunKey>,
    /// Work that is lost, in core-milliseconds.
    pub(crate) lost: u64,
}

/// What could be made free on a set of workers.
pub(crate) struct PreemptionSearch<'a> {
    steps: &'a StepScheduler,
    spots: Vec<Candidate<'a>>,
    victims: BTreeMap<&'a WorkerName, Vec<usize>>,
    all: Vec<Victim>,
    stopped: BTreeSet<usize>,
}

/// Which runs may give way.
pub(crate) struct PreemptionLimits<'a> {
    /// Jobs whose runs stay.
    pub(crate) spared: &'a BTreeSet<JobKey>,
    /// Runs of queues with this priority or a more urgent one stay; none if priority does not protect.
    pub(crate) priority: Option<u32>,
    /// Runs that give way already in this pass.
    pub(crate) taken: &'a BTreeSet<RunKey>,
}

impl<'a> PreemptionSearch<'a> {
    /// Everything that may give way on these workers. Room of runs that are being stopped counts as free.
    pub(crate) fn of(
        steps: &'a StepScheduler,
        cx: &Context<'_>,
        spots: Vec<Candidate<'a>>,
        mercy: &PreemptionLimits<'_>,
    ) -> Self {
        let mut ground = Self {
            steps,
            spots,
            victims: BTreeMap::new(),
            all: Vec::new(),
            stopped: BTreeSet::new(),
        };
        let mut gangs: BTreeMap<(StepKey, u32), usize> = BTreeMap::new();
        // How many more tasks of a lasting step may be away.
        let mut spare: BTreeMap<StepKey, u32> = BTreeMap::new();
        for (key, run) in steps.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended) {
            if run.stop.is_some() || mercy.taken.contains(key) {
                ground.release(&run.worker, &run.demand);
                continue;
            }
            let (task, number) = *key;
            let (Some(entry), Some(step)) = (cx.book.job(task.job), step_of(cx.book, &task)) else {
                continue;
            };
            let priority = steps.terms(entry).priority;
            let protected = mercy.priority.is_some_and(|limit| priority <= limit);
            if protected || mercy.spared.contains(&task.job) {
                continue;
            }
            if let Some(most) = step.max_unavailable {
                let count = || most.saturating_sub(steps.away(&task, step, mercy.taken));
                let spare = spare.entry(task.step_key()).or_insert_with(count);
                if *spare == 0 {
                    continue;
                }
                *spare -= 1;
            }
            let rank = u32::MAX - priority;
            let victim = if step.gang {
                let gang = (task.step_key(), number);
                *gangs.entry(gang).or_insert_with(|| ground.add(rank))
            } else {
                ground.add(rank)
            };
            ground.all[victim].runs.push(*key);
            ground.all[victim].lost += lost(cx, run, step);
            ground.victims.entry(&run.worker).or_default().push(victim);
        }
        ground
    }

    fn add(&mut self, rank: u32) -> usize {
        self.all.push(Victim {
            runs: Vec::new(),
            rank,
            lost: 0,
        });
        self.all.len() - 1
    }

    fn release(&mut self, worker: &WorkerName, demand: &Demand) {
        if let Some(spot) = self.spots.iter_mut().find(|spot| spot.worker == worker) {
            spot.release(demand);
        }
    }

    /// Finds workers for all tasks, one after the other where the least is lost.
    pub(crate) fn clear(mut self, demand: &Demand, count: usize) -> Option<Preemption> {
        let mut workers = Vec::new();
        for _ in 0..count {
            let options = (0..self.spots.len()).filter(|place| self.spots[*place].spread > 0);
            let options = options.filter_map(|place| Some((self.cheapest(place, demand)?, place)));
            let ((_, victims), place) = options.min_by_key(|((cost, _), place)| {
                let left = self.spots[*place].free.minus(demand);
                (*cost, left.accelerators, left.memory, *place)
            })?;
            for victim in victims {
                self.stop(victim);
            }
            let spot = &mut self.spots[place];
            spot.take(demand);
            workers.push(spot.worker.clone());
        }
        let stopped = self.stopped.iter().map(|victim| &self.all[*victim]);
        Some(Preemption {
            workers,
            lost: stopped.clone().map(|victim| victim.lost).sum(),
            runs: stopped.flat_map(|victim| victim.runs.clone()).collect(),
        })
    }

    /// The cheapest runs whose end makes room on one worker, with what is lost.
    fn cheapest(&self, place: usize, demand: &Demand) -> Option<((u32, u64), Vec<usize>)> {
        let spot = &self.spots[place];
        let mut left = spot.clone();
        let mut chosen = Vec::new();
        let mut cost = (0, 0);
        let here = self.victims.get(spot.worker).map_or(&[][..], Vec::as_slice);
        let mut here: Vec<usize> = here
            .iter()
            .copied()
            .filter(|victim| !self.stopped.contains(victim))
            .collect();
        here.sort_unstable_by_key(|victim| (self.all[*victim].rank, self.all[*victim].lost, *victim));
        here.dedup();
        for victim in here {
            if demand.fits(&left.free) {
                break;
            }
            let runs = self.all[victim].runs.iter().filter_map(|run| self.steps.runs.get(run));
            for run in runs.filter(|run| run.worker == *spot.worker) {
                left.release(&run.demand);
            }
            cost = (cost.0.max(self.all[victim].rank), cost.1 + self.all[victim].lost);
            chosen.push(victim);
        }
        demand.fits(&left.free).then_some((cost, chosen))
    }

    fn stop(&mut self, victim: usize) {
        if !self.stopped.insert(victim) {
            return;
        }
        for key in self.all[victim].runs.clone() {
            if let Some(run) = self.steps.runs.get(&key) {
                self.release(&run.worker, &run.demand);
            }
        }
    }
}

impl StepScheduler {
    /// Tasks of a lasting step that are not at work, or won't be once the runs in `taken` are stopped.
    fn away(&self, task: &TaskKey, step: &Step, taken: &BTreeSet<RunKey>) -> u32 {
        let at_work = |key: &RunKey| {
            let run = self
                .runs
                .get(key)
                .filter(|run| run.phase == RunPhase::Live && run.stop.is_none());
            let started = run
                .and_then(|run| run.progress)
                .is_some_and(|progress| progress.percent() >= 100);
            started && !taken.contains(key)
        };
        let present = self.runs_of_step(task.step_key()).filter(at_work).count();
        step.count.saturating_sub(present as u32)
    }
}

/// Work that the end of a run loses, in core-milliseconds. A run that was taken over has worked for longer than this
/// term knows; its progress tells.
fn lost(cx: &Context<'_>, run: &TaskRun, step: &Step) -> u64 {
    let reported = run.progress.map_or(0, |progress| progress.percent());
    let worked = Millis(step.estimate.0 * u64::from(reported) / 100);
    let span = cx.now.since(run.since).max(worked).max(Millis(1));
    let span = match step.checkpointing {
        true => span.min(CHECKPOINT_LOSS),
        false => span,
    };
    work(&run.demand, span)
}
