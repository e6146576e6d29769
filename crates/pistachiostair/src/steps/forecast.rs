//! Forecast of when capacity becomes free, from the progress that workers report of each run.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::Candidate;
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, TaskKey};

/// Time until the capacity of a run that is being stopped is free, with the transit of the order and of the report.
const STOP_TIME: Millis = Millis(250);

/// Least remaining time that is assumed for a run whose speed is not known.
const MIN_UNKNOWN_REMAINING: Millis = Millis(300);

/// Forecast ends of the runs on each worker.
pub(crate) struct Forecast {
    /// Time from now until each end and the capacity that it frees, earliest first.
    ends: BTreeMap<WorkerName, Vec<(Millis, Demand)>>,
}

impl Forecast {
    /// Forecasts the ends of all runs. Members of a gang end together, when the slowest of them does.
    pub(crate) fn new(scheduler: &StepScheduler, cx: &Context<'_>) -> Self {
        let live = || scheduler.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended);
        let mut gangs: BTreeMap<(StepKey, u32), Millis> = BTreeMap::new();
        for ((task, number), run) in live() {
            if step_of(cx.book, task).is_some_and(|step| step.gang) {
                let last = gangs.entry((task.step_key(), *number)).or_default();
                *last = (*last).max(remaining(cx, task, run));
            }
        }
        let mut ends: BTreeMap<WorkerName, Vec<(Millis, Demand)>> = BTreeMap::new();
        for ((task, number), run) in live() {
            let gang_end = gangs.get(&(task.step_key(), *number)).copied();
            let end = gang_end.unwrap_or_else(|| remaining(cx, task, run));
            ends.entry(run.worker.clone()).or_default().push((end, run.demand));
        }
        for ends in ends.values_mut() {
            ends.sort_unstable_by_key(|(end, _)| *end);
        }
        Self { ends }
    }

    /// The shortest time from now after which `count` tasks fit on the candidates, and a worker for each of them. None
    /// if they don't fit even once all current runs have ended.
    pub(crate) fn earliest_start(
        &self,
        candidates: &[Candidate<'_>],
        demand: &Demand,
        count: usize,
    ) -> Option<(Millis, Vec<WorkerName>)> {
        let mut slots: Vec<(Millis, &WorkerName)> = Vec::new();
        for candidate in candidates {
            let mut candidate = candidate.clone();
            let ends = self.ends.get(candidate.worker).map_or(&[][..], Vec::as_slice);
            let now = std::iter::once(&(
                Millis::ZERO,
                Demand {
                    millicores: 0,
                    memory: 0,
                    accelerators: 0,
                },
            ));
            for (at, freed) in now.chain(ends) {
                candidate.release(freed);
                while candidate.take(demand) {
                    slots.push((*at, candidate.worker));
                }
            }
        }
        slots.sort_unstable();
        slots.truncate(count);
        let last = slots.last().filter(|_| slots.len() == count)?.0;
        Some((last, slots.into_iter().map(|(_, worker)| worker.clone()).collect()))
    }
}

/// Forecast of the time from now until a run ends.
pub(crate) fn remaining(cx: &Context<'_>, task: &TaskKey, run: &TaskRun) -> Millis {
    if run.stop.is_some() {
        return STOP_TIME;
    }
    let estimate = step_of(cx.book, task).map_or(Millis::ZERO, |step| step.estimate);
    let known = run.progress.and_then(|progress| progress.remaining(cx.now, estimate));
    known.unwrap_or_else(|| estimate.since(cx.now.since(run.since)).max(MIN_UNKNOWN_REMAINING))
}
