//! Workers that crash, and the tasks that may have caused it.
//!
//! Any of the tasks on a worker may have crashed it. A task is a suspect if its run had just begun, or once
//! [`SUSPECT_CRASHES`] workers have crashed under it. It is then started on trial, on a worker that runs nothing else,
//! until it has outlived its earlier runs. A worker that crashes during a trial is evidence against that task alone, so
//! that its neighbours are not given up with it.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::record;
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::host::{Host, RunKey};
use crate::steps::job_table::{JobEntry, TaskEntry};
use crate::steps::spec::TaskKey;

/// Number of workers that have crashed under a task from which on it is started on trial, however long it had run.
const SUSPECT_CRASHES: u32 = 2;

/// Number of workers that have crashed under a task on trial at which it is given up.
const MAX_TRIAL_CRASHES: u32 = 2;

/// Number of workers that may have crashed under a task from which on its runs are late ones, and the number of late runs
/// at which it is given up whatever the cause: the platform allows no more than two starts after three crashes.
const LATE_CRASHES: u32 = 3;
const MAX_LATE_RUNS: u32 = 2;

/// Time that a run on trial must outlast the longest earlier run under which a worker crashed. Runs are listed at least
/// this often, so that the time of a crash is known no better.
const TRIAL_MARGIN: Millis = Millis(3_000);

/// Longest trial: a worker is kept from other work for no longer.
const MAX_TRIAL: Millis = Millis(10_000);

/// Time that a run from before a takeover counts as having been at work, as far as that is not known.
pub(crate) const RECOVERED_AGE: Millis = TRIAL_MARGIN;

/// Time at work after which a crash is not attributed to a long-running task and earlier ones are forgotten: such tasks
/// meet every failure of their workers over weeks.
const CLEAR_AGE: Millis = Millis(60_000);

/// Time within which crashes of other workers show that a crash has a common cause, such as a rack without power.
const OUTAGE_SPAN: Millis = Millis(5_000);

/// Number of workers that must crash within that time.
const OUTAGE_WORKERS: usize = 3;

/// Time after a crash of a worker in which it is avoided for trials, since it may be what is at fault.
const UNSTEADY_SPAN: Millis = Millis(30_000);

/// Least number of workers that may be used for trials at first, and again after one of them has crashed.
pub(crate) const MIN_TRIAL_WORKERS: usize = 2;

record! {
    /// What is known of a crash of the worker under a run.
    #[derive(Copy)]
    pub struct Crash {
        /// How long the run was known to be at work before.
        pub age: Millis,
        /// Whether the run was on trial and nothing else can have caused the crash.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub alone: bool,
    }
}

impl TaskEntry {
    /// Counts a crash of the worker under a run of the task.
    pub(crate) fn record_crash(&mut self, crash: &Crash) {
        self.crashes += 1;
        self.trial_crashes += u32::from(crash.alone);
        self.crash_age = self.crash_age.max(crash.age);
    }

    /// Forgets all crashes.
    pub(crate) fn clear_crashes(&mut self) {
        (self.crashes, self.trial_crashes) = (0, 0);
        (self.losses, self.late_runs) = (0, 0);
        self.crash_age = Millis::ZERO;
    }

    /// Whether enough workers may have crashed under the task for its runs to be counted.
    pub(crate) fn is_late(&self) -> bool {
        self.crashes + self.losses >= LATE_CRASHES
    }

    /// Whether the task is started on trial only.
    pub(crate) fn is_suspect(&self) -> bool {
        let at_start = self.crashes > 0 && self.crash_age == Millis::ZERO;
        !self.done && (at_start || self.crashes >= SUSPECT_CRASHES)
    }

    /// Whether the task is given up, as it crashes the workers that start it.
    pub(crate) fn is_given_up(&self) -> bool {
        let late = self.late_runs >= MAX_LATE_RUNS && self.crashes >= SUSPECT_CRASHES;
        !self.done && (self.trial_crashes >= MAX_TRIAL_CRASHES || late)
    }
}

impl JobEntry {
    /// How long a run of a task must be at work to pass its trial; none if it may be started beside others. The members
    /// of a gang are on trial together.
    pub(crate) fn trial_span(&self, task: &TaskKey) -> Option<Millis> {
        let step = self.step(task.occurrence, task.step)?;
        let span = |task: &TaskEntry| {
            let suspect = task.is_suspect();
            suspect.then(|| (task.crash_age + TRIAL_MARGIN).min(MAX_TRIAL))
        };
        match self.spec.steps.get(task.step as usize)?.gang {
            true => step.tasks.values().filter_map(span).max(),
            false => step.tasks.get(&task.index).and_then(span),
        }
    }
}

impl TaskRun {
    /// How long the run is known to have been at work.
    fn age(&self) -> Millis {
        match self.origin {
            RunOrigin::Recovered => self.listed_at.since(self.since).max(RECOVERED_AGE),
            RunOrigin::Fresh | RunOrigin::Checkpoint => self.listed_at.since(self.since),
        }
    }

    /// Whether a run of a long-running task has been at work for long enough to forget earlier crashes.
    pub(crate) fn clears_crashes(&self) -> bool {
        self.age() >= CLEAR_AGE
    }

    /// Whether the run was ordered and has not been at work for longer than runs under which workers crashed.
    pub(crate) fn has_not_outlived(&self, task: &TaskEntry) -> bool {
        let listed = self.listed_at.since(self.since);
        self.sends > 0 && listed < task.crash_age + TRIAL_MARGIN
    }

    /// Ends the run's trial if it has been at work for long enough; returns whether it has just passed.
    pub(crate) fn passes_trial(&mut self) -> bool {
        let passed = self.trial.is_some_and(|span| self.age() >= span);
        if passed {
            self.trial = None;
        }
        passed
    }
}

impl Host {
    /// Whether the worker crashed a short time ago.
    pub(crate) fn is_unsteady(&self, now: Millis) -> bool {
        self.crashed_at.is_some_and(|at| now.since(at) < UNSTEADY_SPAN)
    }
}

impl StepScheduler {
    /// Notes that a worker has crashed, before its runs are ended. One that has drained was expected to end.
    pub(crate) fn note_crash(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get_mut(worker).filter(|host| !host.drained) else {
            return;
        };
        host.crashed_at = Some(cx.now);
        let incarnation = host.incarnation;
        let runs: Vec<RunKey> = host.runs.iter().copied().collect();
        let trial = runs.iter().any(|key| self.trials.contains(key));
        self.crashes.retain(|_, at| cx.now.since(*at) < OUTAGE_SPAN);
        let outage = self.crashes.len() + 1 >= OUTAGE_WORKERS;
        // A crash that a trial explains does not speak for an outage.
        if !trial {
            self.crashes.insert(worker.clone(), cx.now);
        }
        let groups: BTreeSet<_> = runs.iter().map(|(task, run)| (task.step_key(), *run)).collect();
        for key in runs {
            let lasting = step_of(cx.book, &key.0).is_some_and(|step| step.long_running);
            let Some(run) = self.runs.get_mut(&key) else { continue };
            let ordered = matches!(run.phase, RunPhase::Ordered | RunPhase::Live);
            let cleared = lasting && run.clears_crashes();
            if !ordered || cleared || run.incarnation != incarnation || run.crash.is_some() {
                continue;
            }
            let crash = Crash {
                age: run.age(),
                alone: run.trial.is_some() && groups.len() == 1 && !outage,
            };
            run.crash = Some(crash);
            if trial {
                self.trial_workers = MIN_TRIAL_WORKERS;
            }
            let reason = format!("its worker crashed after {} ms at work; {crash:?}", crash.age);
            self.log_run("crashed", key, reason);
        }
    }

    /// Why a job is given up because of crashes of workers; none if it is not.
    pub(crate) fn given_up(&self, entry: &JobEntry) -> Option<String> {
        let mut tasks = entry.steps.values().flat_map(|step| &step.tasks);
        let (index, task) = tasks.find(|(_, task)| task.is_given_up())?;
        Some(format!(
            "{} workers crashed under a task with index {index}, {} of them while it ran alone",
            task.crashes, task.trial_crashes
        ))
    }
}
