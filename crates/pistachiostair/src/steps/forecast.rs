//! When room becomes free: from the progress that workers report of each run.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::board::{Cx, Run, RunPhase, Steps, step_of};
use crate::steps::room::Spot;
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
    /// Of all runs.
    pub(crate) fn of(steps: &Steps, cx: &Cx<'_>) -> Self {
        let mut ends: BTreeMap<WorkerName, Vec<(Millis, Demand)>> = BTreeMap::new();
        for ((task, _), run) in steps.runs.iter().filter(|(_, run)| run.phase != RunPhase::Ended) {
            let rest = rest(cx, task, run);
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
        spots: &[Spot<'_>],
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
pub(crate) fn rest(cx: &Cx<'_>, task: &TaskKey, run: &Run) -> Millis {
    if run.halt.is_some() {
        return STOP_TIME;
    }
    let elapsed = cx.now.since(run.since);
    let Some(progress) = run.progress.filter(|progress| progress.percent > progress.base) else {
        let estimate = step_of(cx.book, task).map_or(Millis::ZERO, |step| step.estimate);
        return estimate.since(elapsed).max(UNKNOWN_REST);
    };
    let spent = progress.at.since(progress.from).0;
    let rate = u64::from(progress.percent - progress.base);
    let left = spent * u64::from(100 - progress.percent.min(100)) / rate;
    Millis(left).since(cx.now.since(progress.at))
}
