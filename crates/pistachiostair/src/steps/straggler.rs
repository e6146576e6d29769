//! Runs that lag behind others of their step, because their worker is slow or stands still. The worker takes nothing
//! new for a while, and the run starts anew elsewhere if it ends much sooner there.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::engine::{Context, RunPhase, RunStopReason, StepScheduler};
use crate::steps::host::RunKey;
use crate::steps::lists::RESTORE_TIME;
use crate::steps::plan::REMOTE_SLOWDOWN;
use crate::steps::queue::StepKey;
use crate::steps::spec::Step;

/// Times as long as others of its step that a run takes before it lags, in tenths. On healthy workers the tasks of a
/// step differ by up to 1.7 (98% of 1,953 tasks of two calm deployments).
const LAG: u64 = 25;

/// The same where only one other is known: which of two tells the usual duration is not certain.
const LAG_OF_TWO: u64 = 35;

/// Time that a move takes: a stop, the report of its end, a commit and a start.
const MOVE_TIME: Millis = Millis(400);

/// Times as soon as where it is that a run must end elsewhere to be moved: the work done so far is lost, and forecasts
/// are rough.
const GAIN: u64 = 2;

/// Time for which a worker is taken to stand still, once it does.
const STANDING: Millis = Millis(5_000);

/// Least part of the workers that take new work, in percent of those listed, when another is left because it is slow.
const LEAST_USABLE: usize = 75;

/// Least tasks of a step whose durations tell the paces of their workers.
const LEAST_TASKS: usize = 3;

/// What the runs of a step have shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepDurations {
    /// Durations of tasks that are done, and their workers.
    durations: Vec<(Millis, WorkerName)>,
    /// Tasks that were moved once; index 0 for a gang. A task that lags again is slow by itself.
    moved: BTreeSet<u32>,
}

/// Paces by step.
pub(crate) type DurationsByStep = BTreeMap<StepKey, StepDurations>;

impl StepScheduler {
    /// Takes note of the duration of a task that is done.
    pub(crate) fn record_duration(&mut self, cx: &Context<'_>, key: &RunKey) {
        let worker = self.runs.get(key).map(|run| run.worker.clone());
        if let (Some(duration), Some(worker)) = (self.duration(cx, key), worker) {
            let pace = self.durations.entry(key.0.step_key()).or_default();
            pace.durations.push((duration, worker));
        }
    }

    /// Takes from the steps of jobs that have ended how long the workers took, against one another.
    pub(crate) fn update_paces(&mut self, cx: &Context<'_>) {
        let open = |group: &StepKey| cx.book.job(group.0).is_some_and(|entry| !entry.phase.is_final());
        let ended: Vec<StepKey> = self.durations.keys().filter(|group| !open(group)).copied().collect();
        for pace in ended.iter().filter_map(|group| self.durations.remove(group)) {
            let Some(usual) = median(pace.durations.iter().map(|(duration, _)| *duration)) else {
                continue;
            };
            if pace.durations.len() < LEAST_TASKS {
                continue;
            }
            for (duration, worker) in &pace.durations {
                if let Some(host) = self.hosts.get_mut(worker) {
                    host.record_duration(duration.0 * 100 / usual.0.max(1));
                }
            }
        }
    }

    /// Compares the runs of a step with one another.
    pub(crate) fn check_stragglers(&mut self, cx: &Context<'_>, group: StepKey) {
        let Some(entry) = cx.book.job(group.0) else { return };
        let Some(step) = entry.spec.steps.get(group.2 as usize).filter(|step| !step.long_running) else {
            return;
        };
        let Some((usual, limit)) = self.usual(cx, group) else {
            return;
        };
        let runs: Vec<RunKey> = self.runs_of_step(group).collect();
        for key in runs {
            if let Some(lag) = self.lag(cx, &key, step, (usual, limit)) {
                self.leave_worker(cx, key, step, &lag);
            }
        }
    }

    /// Duration of a run at full speed, near its data.
    fn duration(&self, cx: &Context<'_>, key: &RunKey) -> Option<Millis> {
        let run = self.runs.get(key)?;
        let duration = run.progress?.duration()?;
        Some(Millis(duration.0 / self.slowdown(cx, key)))
    }

    /// Times as long that a run takes because it is away from its data.
    fn slowdown(&self, cx: &Context<'_>, key: &RunKey) -> u64 {
        let near = || {
            let entry = cx.book.job(key.0.job)?;
            let rack = entry.spec.steps.get(key.0.step as usize)?.affinity.as_deref()?;
            let host = self.hosts.get(&self.runs.get(key)?.worker)?;
            Some(host.info.as_ref()?.rack.as_str() == rack)
        };
        if near() == Some(false) { REMOTE_SLOWDOWN } else { 1 }
    }

    /// The usual duration of a step's tasks, and how many tenths of it make a run lag; none while too little is known.
    fn usual(&self, cx: &Context<'_>, group: StepKey) -> Option<(Millis, u64)> {
        let done = self.durations.get(&group).map_or(&[][..], |pace| &pace.durations);
        let done = done.iter().map(|(duration, _)| *duration);
        let running = self.runs_of_step(group).filter_map(|key| self.duration(cx, &key));
        let durations: Vec<Millis> = done.chain(running).collect();
        let usual = median(durations.iter().copied())?;
        let limit = if durations.len() > 2 { LAG } else { LAG_OF_TWO };
        Some((usual, limit))
    }

    /// How a run lags behind; none if it does not.
    fn lag(&self, cx: &Context<'_>, key: &RunKey, step: &Step, (usual, limit): (Millis, u64)) -> Option<Lag> {
        let run = self.runs.get(key)?;
        if run.phase != RunPhase::Live || run.stop.is_some() {
            return None;
        }
        let usual = Millis(usual.0 * self.slowdown(cx, key));
        let progress = run.progress?;
        let left = 100u64.saturating_sub(progress.percent().into());
        let share = Millis(usual.0 * left / 100);
        let rest = progress.rest(cx.now, usual)?;
        if rest.0.saturating_mul(10) <= share.0 * limit || rest <= MOVE_TIME {
            return None;
        }
        let again = match step.checkpointing && !run.checkpoint.is_empty() {
            true => share + RESTORE_TIME,
            false => usual,
        };
        Some(Lag {
            usual,
            rest: rest.min(STANDING + share),
            again: again + MOVE_TIME,
        })
    }

    /// Keeps new work from the worker of a run that lags, and moves the run if that is worth it.
    fn leave_worker(&mut self, cx: &Context<'_>, key: RunKey, step: &Step, lag: &Lag) {
        let Some(worker) = self.runs.get(&key).map(|run| run.worker.clone()) else {
            return;
        };
        let listed = self.hosts.values().filter(|host| host.listed).count();
        let usable = self.hosts.values().filter(|host| host.is_usable(cx.now)).count();
        if let Some(host) = self.hosts.get_mut(&worker) {
            let open = !host.ejection.is_ejected(cx.now);
            if !open || usable * 100 > listed * LEAST_USABLE {
                host.ejection.record_straggler(cx.now);
            }
            if open {
                let Lag { usual, rest, .. } = lag;
                let reason = format!("{} run {} takes {rest} more, usually {usual} in all", key.0, key.1);
                self.log_worker("slow", &worker, reason);
            }
        }
        let index = if step.gang { 0 } else { key.0.index };
        let sooner = lag.again.0 * GAIN < lag.rest.0;
        if sooner && self.durations.entry(key.0.step_key()).or_default().moved.insert(index) {
            self.stop_run(cx, key, RunStopReason::Straggler);
        }
    }
}

/// The middle one of several durations, the lower one of two.
fn median(durations: impl Iterator<Item = Millis>) -> Option<Millis> {
    let mut durations: Vec<Millis> = durations.collect();
    durations.sort_unstable();
    durations.get(durations.len().checked_sub(1)? / 2).copied()
}

/// A run that lags behind.
struct Lag {
    /// Usual duration of such a run.
    usual: Millis,
    /// How long it goes on where it is.
    rest: Millis,
    /// How long it takes if it is moved.
    again: Millis,
}
