//! Workers that crash, and the tasks that may have caused it.
//!
//! Any of the tasks on a worker may have crashed it. A task is a suspect if its run had just begun, or once
//! [`SUSPECT_CRASHES`] workers have crashed under it. It is then started on trial, on a worker that runs nothing else,
//! until it has outlived its earlier runs. A worker that crashes during a trial is evidence against that task alone, so
//! that its neighbours are not given up with it. A worker that was lost in a wave, with a large part of the fleet or of its
//! rack, makes no suspects.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::record;
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::host::{Host, RunKey};
use crate::steps::job_table::{JobEntry, TaskEntry};
use crate::steps::spec::{JobKey, TaskKey};

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

/// Time between the last answers of two workers within which both count as lost at the same time: hold orders are
/// answered at least every 2 s.
const OUTAGE_SPAN: Millis = Millis(5_000);

/// Number of other workers that must be lost at the same time for a crash to possibly have another cause than the task.
const OUTAGE_WORKERS: usize = 2;

/// Number of other workers that must be lost at the same time for a crash to make no suspects, and the least part that they
/// must be of the workers in the fleet or in the rack whose fate is known, as a divisor.
const WAVE_WORKERS: usize = 6;
const WAVE_PART: usize = 4;

/// A job explains the loss of the workers that ran it unless at least one in this many of them outlasted its runs.
const OWN_PART: usize = 5;

/// Time for which a lost worker is remembered: workers of one outage are found lost at any time until their leases have
/// ended.
const LOST_SPAN: Millis = Millis(20_000);

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
        /// Whether it was in a wave of lost workers, so that it does not make the task a suspect.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub shared: bool,
        /// Whether no later incarnation of the worker was seen, so that it may still answer if it was only cut off.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub unseen: bool,
    }
}

/// What the crash of a worker tells about the runs there.
#[derive(Clone, Debug)]
pub(crate) struct CrashReport {
    pub(crate) lost: LostHost,
    /// The runs that it may have been caused by, or that it ended.
    pub(crate) crashes: Vec<(RunKey, Crash)>,
    /// Other workers that were lost at the same time, by job.
    others: BTreeMap<JobKey, LossCount>,
    /// Whether a run there was on trial.
    trial: bool,
}

/// A worker that was lost a short time ago.
#[derive(Clone, Debug)]
pub(crate) struct LostHost {
    /// When it last answered.
    alive_at: Millis,
    /// When it was found to be lost.
    noted_at: Millis,
    rack: u32,
    /// Jobs with a run there.
    jobs: BTreeSet<JobKey>,
    /// Whether a task may have crashed it: a run had just begun there, or a suspect ran there.
    suspected: bool,
}

/// Workers that were lost at the same time as another one, and workers that outlasted that.
#[derive(Clone, Copy, Debug, Default)]
struct LossCount {
    lost: usize,
    alive: usize,
}

/// What the workers that were lost at the same time say about the crash of one of them.
#[derive(Clone, Copy, Debug, Default)]
struct Losses {
    fleet: LossCount,
    rack: LossCount,
}

impl LossCount {
    fn plus(self, other: Self) -> Self {
        Self {
            lost: self.lost + other.lost,
            alive: self.alive + other.alive,
        }
    }

    fn is_wave(self) -> bool {
        self.lost >= WAVE_WORKERS && self.lost * WAVE_PART >= self.lost + self.alive
    }
}

impl Losses {
    fn add(&mut self, lost: bool, in_rack: bool) {
        for count in [Some(&mut self.fleet), in_rack.then_some(&mut self.rack)] {
            match (count, lost) {
                (Some(count), true) => count.lost += 1,
                (Some(count), false) => count.alive += 1,
                (None, _) => {}
            }
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            fleet: self.fleet.plus(other.fleet),
            rack: self.rack.plus(other.rack),
        }
    }

    /// Whether the crash may have another cause than a task that ran alone on the worker.
    fn is_outage(self) -> bool {
        self.fleet.lost >= OUTAGE_WORKERS
    }

    /// Whether the crash is not attributed to any task.
    fn is_wave(self) -> bool {
        self.fleet.is_wave() || self.rack.is_wave()
    }
}

impl TaskEntry {
    /// Counts a crash of the worker under a run of the task.
    pub(crate) fn record_crash(&mut self, crash: &Crash) {
        match crash.shared {
            true => self.wave_crashes += 1,
            false => self.crashes += 1,
        }
        self.trial_crashes += u32::from(crash.alone);
        self.crash_age = self.crash_age.max(crash.age);
    }

    /// Forgets all crashes.
    pub(crate) fn clear_crashes(&mut self) {
        (self.crashes, self.trial_crashes, self.wave_crashes) = (0, 0, 0);
        (self.losses, self.late_runs) = (0, 0);
        self.crash_age = Millis::ZERO;
        self.lost.clear();
    }

    /// Whether enough workers may have crashed under the task for its runs to be counted.
    pub(crate) fn is_late(&self) -> bool {
        self.crashes + self.wave_crashes + self.losses >= LATE_CRASHES
    }

    /// Whether the task is started on trial only.
    pub(crate) fn is_suspect(&self) -> bool {
        let at_start = self.crashes > 0 && self.crash_age == Millis::ZERO;
        !self.done && (at_start || self.crashes >= SUSPECT_CRASHES)
    }

    /// Whether the task is given up, as it crashes the workers that start it.
    pub(crate) fn is_given_up(&self) -> bool {
        self.would_be_given_up(0, 0)
    }

    /// Whether the task is given up after that many further crashes, and that many further ones on trial.
    pub(crate) fn would_be_given_up(&self, crashes: u32, trial_crashes: u32) -> bool {
        let crashes = self.crashes + self.wave_crashes + crashes;
        let late = self.late_runs >= MAX_LATE_RUNS && crashes >= SUSPECT_CRASHES;
        !self.done && (self.trial_crashes + trial_crashes >= MAX_TRIAL_CRASHES || late)
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
    pub(crate) fn age(&self) -> Millis {
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
    /// Notes that a worker has crashed, before its runs are ended.
    pub(crate) fn note_crash(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        if let Some(report) = self.assess_crash(cx, worker) {
            self.record_crash(cx, worker, report);
        }
    }

    /// What a crash of a worker tells about its runs, before they are ended. None if it has drained: its end was expected.
    pub(crate) fn assess_crash(&mut self, cx: &Context<'_>, worker: &WorkerName) -> Option<CrashReport> {
        self.lost_hosts
            .retain(|_, lost| cx.now.since(lost.noted_at) < LOST_SPAN);
        let host = self.hosts.get(worker).filter(|host| !host.drained)?;
        let jobs: BTreeSet<JobKey> = host.runs.iter().map(|(task, _)| task.job).collect();
        let losses = self.losses_beside((host.number, host.rack, host.alive_at), &jobs);
        let groups: BTreeSet<_> = host.runs.iter().map(|(task, run)| (task.step_key(), *run)).collect();
        let crash = |key: &RunKey| {
            let (losses, run) = (losses.get(&key.0.job)?, self.runs.get(key)?);
            let (shared, outage) = (losses.is_wave(), losses.is_outage());
            let lasting = step_of(cx.book, &key.0).is_some_and(|step| step.long_running);
            let ordered = matches!(run.phase, RunPhase::Ordered | RunPhase::Live);
            let cleared = lasting && run.clears_crashes();
            if !ordered || cleared || run.incarnation != host.incarnation || run.crash.is_some() {
                return None;
            }
            let crash = Crash {
                age: run.age(),
                alone: run.trial.is_some() && groups.len() == 1 && !outage && !shared,
                shared,
                unseen: false,
            };
            Some((*key, crash))
        };
        Some(CrashReport {
            lost: LostHost {
                alive_at: host.alive_at,
                noted_at: cx.now,
                rack: host.rack,
                suspected: self.may_crash(&host.runs),
                jobs,
            },
            crashes: host.runs.iter().filter_map(crash).collect(),
            others: losses.iter().map(|(job, losses)| (*job, losses.fleet)).collect(),
            trial: host.runs.iter().any(|key| self.trials.contains(key)),
        })
    }

    /// Notes that a worker has crashed, and what that tells about its runs.
    pub(crate) fn record_crash(&mut self, cx: &Context<'_>, worker: &WorkerName, report: CrashReport) {
        let Some(host) = self.hosts.get_mut(worker) else { return };
        host.crashed_at = Some(cx.now);
        self.lost_hosts.insert(host.number, report.lost);
        for (key, crash) in report.crashes {
            if let Some(run) = self.runs.get_mut(&key) {
                run.crash = Some(crash);
            }
            if report.trial && !crash.shared {
                self.trial_workers = MIN_TRIAL_WORKERS;
            }
            let verdict = match (crash.shared, crash.alone) {
                (true, _) => "in a wave of lost workers",
                (_, true) => "the task ran there alone",
                _ => "other tasks or causes are possible",
            };
            let LossCount { lost, alive } = report.others.get(&key.0.job).copied().unwrap_or_default();
            let reason = format!(
                "its worker crashed after {} at work: {verdict}; {lost} others were lost and {alive} answered since",
                crash.age
            );
            self.log_run("crashed", key, reason);
        }
    }

    /// For each of `jobs`, other workers that were lost at the same time as the one with this number, rack and time of the last
    /// answer, and those that have answered since. Workers that a task may have crashed don't count: what is left tells how
    /// many are lost whatever is started on them. Workers on which the job ran count if part of them outlasted its runs.
    fn losses_beside(
        &self,
        (number, rack, alive_at): (u32, u32, Millis),
        jobs: &BTreeSet<JobKey>,
    ) -> BTreeMap<JobKey, Losses> {
        let together = |other: Millis| other.since(alive_at).max(alive_at.since(other)) <= OUTAGE_SPAN;
        let lost_hosts = self.lost_hosts.values();
        let lost_hosts: Vec<&LostHost> = lost_hosts
            .filter(|lost| !lost.suspected && together(lost.alive_at))
            .collect();
        // Whether each worker that is known is lost, and whether it is in the same rack.
        let mut fates: BTreeMap<u32, (bool, bool)> = BTreeMap::new();
        for host in self.hosts.values() {
            let outlasted = !host.is_failing() && host.known_since <= alive_at && host.alive_at > alive_at;
            let lost = host.is_failing() && together(host.alive_at);
            let noted = self.lost_hosts.get(&host.number);
            let noted = host.number == number || noted.is_some_and(|lost| lost.alive_at >= host.known_since);
            if (outlasted || lost) && !noted && !self.may_crash(&host.runs) {
                fates.insert(host.number, (lost, host.rack == rack));
            }
        }
        let losses = |job: &JobKey| {
            let (mut others, mut own) = (Losses::default(), Losses::default());
            for lost in &lost_hosts {
                let losses = if lost.jobs.contains(job) { &mut own } else { &mut others };
                losses.add(true, lost.rack == rack);
            }
            let mut ages: BTreeMap<u32, Millis> = BTreeMap::new();
            for run in self.runs_of(*job).filter_map(|key| self.runs.get(&key)) {
                let age = ages.entry(run.host).or_default();
                *age = run.age().max(*age);
            }
            for (host, (lost, in_rack)) in &fates {
                match ages.get(host) {
                    None => others.add(*lost, *in_rack),
                    Some(age) if *lost || *age >= TRIAL_MARGIN => own.add(*lost, *in_rack),
                    Some(_) => {}
                }
            }
            let outlasted = own.fleet.alive > 0 && own.fleet.alive * OWN_PART >= own.fleet.lost + own.fleet.alive;
            (*job, if outlasted { others.plus(own) } else { others })
        };
        jobs.iter().map(losses).collect()
    }

    /// Whether one of a worker's runs may crash it: one that has just begun, or one on trial.
    fn may_crash<'a>(&self, runs: impl IntoIterator<Item = &'a RunKey>) -> bool {
        let mut runs = runs.into_iter().filter_map(|key| self.runs.get(key));
        runs.any(|run| run.sends > 0 && (run.trial.is_some() || run.age() == Millis::ZERO))
    }

    /// Why a job is given up because of crashes of workers; none if it is not.
    pub(crate) fn given_up(&self, entry: &JobEntry) -> Option<String> {
        let mut tasks = entry.steps.values().flat_map(|step| &step.tasks);
        let (index, task) = tasks.find(|(_, task)| task.is_given_up())?;
        Some(format!(
            "{} workers crashed under a task with index {index}, {} of them while it ran alone, and {} in waves",
            task.crashes + task.wave_crashes,
            task.trial_crashes,
            task.wave_crashes
        ))
    }
}
