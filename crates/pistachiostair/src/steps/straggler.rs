//! Stragglers: runs that are much slower than others of their step, because their worker is slow or stalled. The worker
//! is ejected for a while, and the run is restarted elsewhere if it is forecast to end much sooner there.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::FreeCapacity;
use crate::steps::engine::{Context, RunPhase, RunStopReason, StepScheduler, StepsAction, StepsLog, step_of};
use crate::steps::host::RunKey;
use crate::steps::lists::RESTORE_TIME;
use crate::steps::place::{SpeedPreference, place_tasks};
use crate::steps::plan::REMOTE_SLOWDOWN;
use crate::steps::queue::StepKey;
use crate::steps::spec::Step;
use crate::steps::speed::{Sample, SpeedClass, is_common_pace};

/// Factor by which a run must be slower than others of its step to count as a straggler, in tenths. On healthy workers
/// the durations of a step's tasks differ by a factor of up to 1.7 (98% of 1,953 tasks of two calm deployments).
const LIMIT_TENTHS: u64 = 25;

/// The same where the duration of only one other task is known: of two, either may be the unusual one.
const LIMIT_OF_TWO_TENTHS: u64 = 35;

/// Factor by which the remaining time must shrink for a run to be moved, since the work done so far is lost and
/// forecasts are rough.
const MIN_SPEEDUP: u64 = 2;

/// Time for which a stalled worker is assumed to remain stalled.
const STALL_TIME: Millis = Millis(5_000);

/// A worker is ejected for being slow only while more than this share of the listed workers, in percent, is usable.
const MIN_USABLE_PERCENT: usize = 75;

/// Durations observed in one step of a job that has not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepDurations {
    durations: Vec<TaskDuration>,
    /// Whether its tasks are a gang.
    gang: bool,
    /// Indices of tasks that were moved once; index 0 for a gang. A task that is a straggler again is slow by itself
    /// and is not moved any more.
    moved: BTreeSet<u32>,
}

/// Duration of a finished task.
#[derive(Clone, Debug)]
struct TaskDuration {
    duration: Millis,
    worker: WorkerName,
    /// Speed of the worker as it was known when the task was placed.
    speed: SpeedClass,
}

/// Observed durations by step.
pub(crate) type DurationsByStep = BTreeMap<StepKey, StepDurations>;

impl StepScheduler {
    /// Records the duration of a run that is done, if its reports suffice to tell it.
    pub(crate) fn record_duration(&mut self, cx: &Context<'_>, key: &RunKey) {
        let run = self.runs.get(key).map(|run| (run.worker.clone(), run.speed));
        if let (Some(duration), Some((worker, speed))) = (self.duration(cx, key), run) {
            let gang = step_of(cx.book, &key.0).is_some_and(|step| step.gang);
            let step = self.durations.entry(key.0.step_key()).or_default();
            step.gang = gang;
            step.durations.push(TaskDuration {
                duration,
                worker,
                speed,
            });
        }
    }

    /// Learns the speeds of machines from the steps of jobs that have ended, and drops what was observed in those steps.
    pub(crate) fn learn_speeds(&mut self, cx: &Context<'_>) {
        let open = |key: &StepKey| cx.book.job(key.0).is_some_and(|entry| !entry.phase.is_final());
        let ended: Vec<StepKey> = self.durations.keys().filter(|key| !open(key)).copied().collect();
        let mut changed = false;
        for (key, step) in ended.iter().filter_map(|key| Some((key, self.durations.remove(key)?))) {
            let machine = |worker: &WorkerName| Some(self.hosts.get(worker)?.info.as_ref()?.machine.as_str());
            let samples = step.durations.iter().filter_map(|done| {
                let machine = machine(&done.worker)?;
                let duration = done.duration;
                Some(Sample { machine, duration })
            });
            let samples: Vec<Sample<'_>> = samples.collect();
            let learned = self.speeds.learn(cx.now, &samples, step.gang);
            changed |= learned.changed;
            if learned.dropped > 0 {
                self.actions.push(StepsAction::Log(StepsLog {
                    what: "durations dropped",
                    job: Some(key.0),
                    task: None,
                    worker: None,
                    reason: format!("{} durations are zero or longer than a day", learned.dropped),
                }));
            }
        }
        if changed {
            self.speeds.expire(cx.now);
            for host in self.hosts.values_mut() {
                if let Some(info) = &host.info {
                    host.speed = self.speeds.class(&info.machine, cx.now);
                }
            }
        }
    }

    /// Compares the runs of a step with the step's usual duration and acts on stragglers. Called when a worker has
    /// reported progress of the step.
    pub(crate) fn check_stragglers(&mut self, cx: &Context<'_>, step_key: StepKey) {
        let Some(entry) = cx.book.job(step_key.0) else { return };
        let Some(step) = entry
            .spec
            .steps
            .get(step_key.2 as usize)
            .filter(|step| !step.long_running)
        else {
            return;
        };
        let Some(usual) = self.usual(cx, step_key, step) else {
            return;
        };
        let runs: Vec<RunKey> = self.runs_of_step(step_key).collect();
        for key in runs {
            if let Some(straggler) = self.straggler(cx, &key, step, usual) {
                self.handle_straggler(cx, key, step, &straggler);
            }
        }
    }

    /// Duration of the whole task as observed in a run, converted to that in the rack of its data; none while the run's
    /// reports don't tell it.
    fn duration(&self, cx: &Context<'_>, key: &RunKey) -> Option<Millis> {
        let run = self.runs.get(key)?;
        let duration = run.progress?.duration()?;
        Some(Millis(duration.0 / self.slowdown(cx, key)))
    }

    /// Factor by which a run takes longer because its worker is not in the rack of its data.
    fn slowdown(&self, cx: &Context<'_>, key: &RunKey) -> u64 {
        let in_rack = || {
            let entry = cx.book.job(key.0.job)?;
            let rack = entry.spec.steps.get(key.0.step as usize)?.affinity.as_deref()?;
            let host = self.hosts.get(&self.runs.get(key)?.worker)?;
            Some(host.info.as_ref()?.rack.as_str() == rack)
        };
        if in_rack() == Some(false) { REMOTE_SLOWDOWN } else { 1 }
    }

    /// The usual duration of a step's tasks; none while no duration is known.
    fn usual(&self, cx: &Context<'_>, key: StepKey, step: &Step) -> Option<Usual> {
        let done = self.durations.get(&key).map_or(&[][..], |step| &step.durations);
        let done = done.iter().map(|done| (done.duration, done.speed));
        let running = self.runs_of_step(key).filter_map(|run| {
            let speed = self.runs.get(&run)?.speed;
            Some((self.duration(cx, &run)?, speed))
        });
        let durations: Vec<(Millis, SpeedClass)> = done.chain(running).collect();
        let common = step.gang && is_common_pace(durations.iter().map(|(duration, _)| *duration));
        let members = self.runs_of_step(key).filter_map(|run| self.runs.get(&run));
        let slowest = members.map(|run| run.speed).min().unwrap_or_default();
        let pace = common.then_some(slowest);
        let usual = |(duration, speed): &(Millis, SpeedClass)| pace.unwrap_or(*speed).usual(*duration);
        let duration = median(durations.iter().map(usual))?;
        let limit = if durations.len() > 2 {
            LIMIT_TENTHS
        } else {
            LIMIT_OF_TWO_TENTHS
        };
        Some(Usual { duration, limit, pace })
    }

    /// Forecasts for a run that is a straggler; none if it is not one, or is not worth moving since it ends soon.
    fn straggler(&self, cx: &Context<'_>, key: &RunKey, step: &Step, usual: Usual) -> Option<Straggler> {
        let run = self.runs.get(key)?;
        if run.phase != RunPhase::Live || run.stop.is_some() {
            return None;
        }
        let limit = usual.limit;
        let speed = usual.pace.unwrap_or(run.speed);
        let work = Millis(usual.duration.0.saturating_mul(self.slowdown(cx, key)));
        let usual = speed.duration(work);
        let progress = run.progress?;
        let left = 100u64.saturating_sub(progress.percent().into());
        let expected = Millis(usual.0.saturating_mul(left) / 100);
        let remaining = progress.remaining(cx.now, usual)?;
        if remaining.0.saturating_mul(10) <= expected.0.saturating_mul(limit) || remaining <= cx.limits.move_time() {
            return None;
        }
        let other = self.speed_elsewhere(cx, key, step);
        let elsewhere = match step.checkpointing && !run.checkpoint.is_empty() {
            true => other.duration(Millis(work.0.saturating_mul(left) / 100)) + RESTORE_TIME,
            false => other.duration(work),
        };
        Some(Straggler {
            usual,
            remaining: remaining.min(STALL_TIME + expected),
            elsewhere: elsewhere + cx.limits.move_time(),
        })
    }

    /// The speed at which a run, with the rest of its gang, would go on after a move: that of the fastest other workers that
    /// have room, or the usual one if there is no room now.
    fn speed_elsewhere(&self, cx: &Context<'_>, key: &RunKey, step: &Step) -> SpeedClass {
        let free = FreeCapacity::new(self, cx);
        let (Some(run), Some(entry)) = (self.runs.get(key), cx.book.job(key.0.job)) else {
            return SpeedClass::default();
        };
        if free.is_uniform() {
            return SpeedClass::default();
        }
        let service = &self.terms(entry).service;
        let mut set = self.eligible((&free, &[]), service, key.0.step_key(), step);
        set.retain(|worker| free.position(run.host) != Some(worker.position));
        let count = if step.gang { step.count } else { 1 };
        let workers = place_tasks(step, (count, SpeedPreference::Fastest), &[set], &free);
        free.lowest_speed(&workers)
    }

    /// Ejects the worker of a straggler and stops the run if it is forecast to end much sooner elsewhere. The worker is
    /// not ejected if that would leave too few usable ones.
    fn handle_straggler(&mut self, cx: &Context<'_>, key: RunKey, step: &Step, straggler: &Straggler) {
        let Some(worker) = self.runs.get(&key).map(|run| run.worker.clone()) else {
            return;
        };
        let listed = self.hosts.values().filter(|host| host.listed).count();
        let usable = self.hosts.values().filter(|host| self.may_start(cx, host)).count();
        if let Some(host) = self.hosts.get_mut(&worker) {
            let in_use = !host.ejection.is_ejected(cx.now);
            if !in_use || usable * 100 > listed * MIN_USABLE_PERCENT {
                host.ejection.record_straggler(cx.now);
            }
            if in_use {
                let Straggler { usual, remaining, .. } = straggler;
                let reason = format!(
                    "{} run {} needs {remaining} more; such tasks usually take {usual} in all",
                    key.0, key.1
                );
                self.log_worker("slow", &worker, reason);
            }
        }
        let index = if step.gang { 0 } else { key.0.index };
        // A run that is stopped while nothing starts would wait for longer than the forecast says.
        let open = self.gate.ban(cx.limits.evacuations, cx.now).is_none();
        let sooner = open && straggler.elsewhere.0 * MIN_SPEEDUP < straggler.remaining.0;
        if sooner && self.durations.entry(key.0.step_key()).or_default().moved.insert(index) {
            self.stop_run(cx, key, RunStopReason::Straggler);
        }
    }
}

/// The median; of two middle durations the lower one. None if there are none.
fn median(durations: impl Iterator<Item = Millis>) -> Option<Millis> {
    let mut durations: Vec<Millis> = durations.collect();
    durations.sort_unstable();
    durations.get(durations.len().checked_sub(1)? / 2).copied()
}

/// How long a step's tasks take.
#[derive(Clone, Copy, Debug)]
struct Usual {
    /// The usual duration, in the rack of the data and at the usual speed.
    duration: Millis,
    /// Factor above which a run is a straggler, in tenths.
    limit: u64,
    /// The speed of the slowest member, if all members of a gang report its progress.
    pace: Option<SpeedClass>,
}

/// Forecasts for a straggler.
struct Straggler {
    /// Usual duration of such a task on its worker.
    usual: Millis,
    /// Time until it ends where it is.
    remaining: Millis,
    /// Time until it ends if it is moved to another worker.
    elsewhere: Millis,
}
