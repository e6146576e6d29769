//! When room becomes free: from the progress that workers report of each run.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::Candidate;
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, TaskKey};

/// Time after which a run that is being stopped has left, with the way of the order and of the end.
const STOP_TIME: Millis = Millis(250);

/// Least time that a run without a report of its progress is expected to take on.
const UNKNOWN_REST: Millis = Millis(300);

/// When the runs of each worker end, from now on, in order of time.
pub(crate) struct Forecast {
    ends: BTreeMap<WorkerName, Vec<(Millis, Demand)>>,
}

impl Forecast {
    /// Of all runs. The members of a gang end together.
    pub(crate) fn of(steps: &StepScheduler, cx: &Context<'_>) -> Self {
        let live = || steps.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended);
        let mut gangs: BTreeMap<(StepKey, u32), Millis> = BTreeMap::new();
        for ((task, number), run) in live() {
            if step_of(cx.book, task).is_some_and(|step| step.gang) {
                let last = gangs.entry((task.step_key(), *number)).or_default();
                *last = (*last).max(rest(cx, task, run));
            }
        }
        let mut ends: BTreeMap<WorkerName, Vec<(Millis, Demand)>> = BTreeMap::new();
        for ((task, number), run) in live() {
            let together = gangs.get(&(task.step_key(), *number)).copied();
            let rest = together.unwrap_or_else(|| rest(cx, task, run));
            ends.entry(run.worker.clone()).or_default().push((rest, run.demand));
        }
        for ends in ends.values_mut() {
            ends.sort_unstable_by_key(|(rest, _)| *rest);
        }
        Self { ends }
    }

    /// The earliest time at which `count` tasks have room, from now on, and their workers; none if they never have.
    pub(crate) fn earliest(
        &self,
        spots: &[Candidate<'_>],
        demand: &Demand,
        count: usize,
    ) -> Option<(Millis, Vec<WorkerName>)> {
        let mut places: Vec<(Millis, &WorkerName)> = Vec::new();
        for spot in spots {
            let mut spot = spot.clone();
            let ends = self.ends.get(spot.worker).map_or(&[][..], Vec::as_slice);
            let now = std::iter::once(&(
                Millis::ZERO,
                Demand {
                    millicores: 0,
                    memory: 0,
                    accelerators: 0,
                },
            ));
            for (at, freed) in now.chain(ends) {
                spot.release(freed);
                while spot.take(demand) {
                    places.push((*at, spot.worker));
                }
            }
        }
        places.sort_unstable();
        places.truncate(count);
        let last = places.last().filter(|_| places.len() == count)?.0;
        Some((last, places.into_iter().map(|(_, worker)| worker.clone()).collect()))
    }
}

/// How long a run goes on.
pub(crate) fn rest(cx: &Context<'_>, task: &TaskKey, run: &TaskRun) -> Millis {
    if run.stop.is_some() {
        return STOP_TIME;
    }
    let estimate = step_of(cx.book, task).map_or(Millis::ZERO, |step| step.estimate);
    let known = run.progress.and_then(|progress| progress.rest(cx.now, estimate));
    known.unwrap_or_else(|| estimate.since(cx.now.since(run.since)).max(UNKNOWN_REST))
}
