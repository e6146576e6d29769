//! Runs on workers that drain: which of them go on until they end, and which are stopped and placed elsewhere.

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::engine::{Context, RunPhase, RunStopReason, StepScheduler, TaskRun, step_of};
use crate::steps::forecast::remaining;
use crate::steps::host::RunKey;

/// Factor by which the forecast remaining time of a run must exceed the time that its worker has left for the run to be
/// stopped early, in percent, and the time by which it must exceed it besides.
const EARLY_STOP_PERCENT: u64 = 125;
const FORECAST_ERROR: Millis = Millis(300);

impl StepScheduler {
    /// Stops the runs of a draining worker that won't end before it leaves at `leaves_at`. Work that is not
    /// checkpointed would be lost when the worker leaves, so that such a run is stopped as soon as that is foreseeable.
    /// Others make progress until the last moment at which their checkpoint can still be read.
    pub(crate) fn stop_before_leaving(&mut self, cx: &Context<'_>, worker: &WorkerName, leaves_at: Millis) {
        let Some(host) = self.hosts.get(worker) else { return };
        let left = leaves_at.since(cx.now);
        let leaving = |key: &RunKey| {
            let run = self.runs.get(key);
            run.is_some_and(|run| self.is_cut_short(cx, key, run, left))
        };
        let runs: Vec<RunKey> = host.runs.iter().copied().filter(leaving).collect();
        for run in runs {
            self.stop_run(cx, run, RunStopReason::WorkerLeaves);
        }
    }

    /// Whether a run must be stopped now, as its worker has only `left` until it leaves.
    fn is_cut_short(&self, cx: &Context<'_>, key: &RunKey, run: &TaskRun, left: Millis) -> bool {
        if run.stop.is_some() || run.phase == RunPhase::Ended {
            return false;
        }
        let last_chance = left <= cx.limits.leave_margin();
        let Some(step) = step_of(cx.book, &key.0) else {
            return last_chance;
        };
        if step.long_running {
            return last_chance;
        }
        let needed = self.remaining_of_gang(cx, key);
        if last_chance {
            return needed + FORECAST_ERROR > left;
        }
        let observed = run
            .progress
            .and_then(|progress| progress.remaining(cx.now, step.estimate));
        let too_long = needed > Millis(left.0.saturating_mul(EARLY_STOP_PERCENT) / 100) + FORECAST_ERROR;
        too_long && observed.is_some() && !step.checkpointing
    }

    /// Forecast of the time until a run ends; the members of a gang end together.
    fn remaining_of_gang(&self, cx: &Context<'_>, key: &RunKey) -> Millis {
        let gang = step_of(cx.book, &key.0).is_some_and(|step| step.gang);
        let members = self.runs_of_step(key.0.step_key());
        let members = members.filter(|member| member == key || gang && member.1 == key.1);
        let times = members.filter_map(|member| Some(remaining(cx, &member.0, self.runs.get(&member)?)));
        times.max().unwrap_or_default()
    }
}
