//! Durable state of step jobs: the result of applying the journal's step records in order.
//!
//! It changes only through [`StepJobTable::apply`], so that every scheduler that reads the same journal has the same
//! table.

use std::collections::BTreeSet;
use std::collections::btree_map::{BTreeMap, Entry};

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::record;
use crate::steps::crashes::Crash;
use crate::steps::losses::LostRun;
use crate::steps::outcome::RunOutcome;
use crate::steps::record::{StartRecord, StepRecord};
use crate::steps::spec::{JobKey, StepJob, StepJobPhase, TaskKey};

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero_time(time: &Millis) -> bool {
    *time == Millis::ZERO
}

record! {
    /// A run on a worker whose end is not stored, so that it may be alive.
    pub struct PlacedRun {
        /// Number of the run.
        pub run: u32,
        /// The worker that the run was placed on.
        pub worker: WorkerName,
        /// Incarnation of that worker.
        pub incarnation: Incarnation,
    }
}

record! {
    /// A task that was started at least once.
    #[derive(Default)]
    pub struct TaskEntry {
        /// Highest run number used so far; 0 if the task was not started.
        #[serde(rename = "run")]
        pub last_run: u32,
        /// Number of runs that ended as [`RunOutcome::Failed`].
        pub failures: u32,
        /// Whether the task is done; it never runs again then. A long-running task is marked so only by rows of an
        /// earlier release, until its next start.
        pub done: bool,
        /// The newest stored checkpoint, from which the next run resumes; empty if there is none or the task is done.
        #[serde(rename = "saved")]
        pub checkpoint: String,
        /// Number of workers that crashed under runs of the task.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub crashes: u32,
        /// Number of them that crashed while the task ran on trial, apart from other work.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub trial_crashes: u32,
        /// Number of workers that were lost under runs of the task in a wave of lost workers.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub wave_crashes: u32,
        /// Number of runs that were lost for a reason that is not known.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub losses: u32,
        /// Number of runs that were ordered after three workers had crashed, and have not outlived them.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub late_runs: u32,
        /// Longest time that a run was at work before its worker crashed.
        #[serde(default, skip_serializing_if = "is_zero_time")]
        pub crash_age: Millis,
        /// Runs that were lost with workers which refused connections, and may still have crashed or answer.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub lost: Vec<LostRun>,
        /// Runs that may be alive; empty once the task is done.
        pub placed: Vec<PlacedRun>,
    }
}

record! {
    /// A step of one occurrence of a job, of which at least one task was started.
    #[derive(Default)]
    pub struct StepEntry {
        /// Started tasks by index.
        pub tasks: BTreeMap<u32, TaskEntry>,
        /// Number of tasks that are done.
        pub done: u32,
        /// Numbers of the failed runs of a gang; empty if the step is not a gang.
        #[serde(rename = "failed")]
        pub failed_runs: BTreeSet<u32>,
    }
}

record! {
    /// A step job: its specification and how far it has come.
    pub struct JobEntry {
        /// Specification as accepted; the payload is dropped when the job ends.
        pub spec: StepJob,
        /// When it was accepted, in milliseconds since the Unix epoch.
        pub accepted: Millis,
        /// Where the job stands.
        pub phase: StepJobPhase,
        /// When it ended, in milliseconds since the Unix epoch; absent until then.
        pub ended: Option<Millis>,
        /// Steps by occurrence and number, both counted from 0. Steps without a started task are absent and, once the job
        /// has ended, tasks and steps without a run that may be alive.
        #[serde(with = "pairs")]
        pub steps: BTreeMap<(u32, u32), StepEntry>,
        /// Whether the end of a run has shown that a worker had begun it.
        #[serde(default, skip_serializing_if = "is_false")]
        pub begun: bool,
        /// Number of tasks of all occurrences that are not done.
        #[serde(rename = "open")]
        pub remaining_tasks: u64,
    }
}

impl JobEntry {
    /// The step of one occurrence; none if no task of it was started.
    pub fn step(&self, occurrence: u32, step: u32) -> Option<&StepEntry> {
        self.steps.get(&(occurrence, step))
    }

    /// The task; none if it was not started.
    pub fn task(&self, task: &TaskKey) -> Option<&TaskEntry> {
        self.step(task.occurrence, task.step)?.tasks.get(&task.index)
    }

    /// Whether all tasks of a step of one occurrence are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let count = self.spec.steps.get(step as usize).map_or(0, |step| step.count);
        self.step(occurrence, step).is_some_and(|entry| entry.done >= count)
    }

    /// All started tasks of the job.
    fn tasks(&self) -> impl Iterator<Item = (TaskKey, &TaskEntry)> {
        self.steps.iter().flat_map(move |((occurrence, step), entry)| {
            entry.tasks.iter().map(move |(index, task)| {
                let key = TaskKey {
                    job: self.spec.key,
                    occurrence: *occurrence,
                    step: *step,
                    index: *index,
                };
                (key, task)
            })
        })
    }

    /// All runs of the job that may be alive, with their tasks.
    pub fn placed_runs(&self) -> impl Iterator<Item = (TaskKey, &PlacedRun)> {
        let tasks = self.tasks();
        tasks.flat_map(|(key, task)| task.placed.iter().map(move |placed| (key, placed)))
    }

    /// The runs of the job that were lost with workers which refused connections, with their tasks.
    pub(crate) fn lost_runs(&self) -> impl Iterator<Item = (TaskKey, &LostRun)> {
        let tasks = self.tasks();
        tasks.flat_map(|(key, task)| task.lost.iter().map(move |lost| (key, lost)))
    }

    fn task_mut(&mut self, task: &TaskKey) -> &mut TaskEntry {
        let step = self.steps.entry((task.occurrence, task.step)).or_default();
        step.tasks.entry(task.index).or_default()
    }

    fn record_start(&mut self, start: &StartRecord) {
        if !self.phase.is_final() {
            self.phase = StepJobPhase::Running;
        }
        self.reopen(&start.task);
        let task = self.task_mut(&start.task);
        task.last_run = task.last_run.max(start.run);
        task.placed.push(PlacedRun {
            run: start.run,
            worker: start.worker.clone(),
            incarnation: start.incarnation,
        });
    }

    fn record_end(
        &mut self,
        (task, run): (&TaskKey, u32),
        outcome: RunOutcome,
        checkpoint: &str,
        (crash, doubt): (Option<&Crash>, Option<&Crash>),
        (late, cleared): (bool, bool),
    ) {
        let gang = self.spec.steps.get(task.step as usize).is_some_and(|step| step.gang);
        self.begun |= outcome.shows_begin();
        let entry = self.task_mut(task);
        let placed = entry.placed.iter().position(|placed| placed.run == run);
        let placed = placed.map(|position| entry.placed.remove(position));
        if !checkpoint.is_empty() && !entry.done {
            entry.checkpoint = checkpoint.to_owned();
        }
        entry.failures += u32::from(outcome.counts_as_attempt());
        if cleared {
            entry.clear_crashes();
        }
        entry.late_runs += u32::from(late);
        let lost = placed.zip(crash.or(doubt).filter(|crash| crash.unseen));
        match (lost, crash) {
            (Some((placed, unseen)), _) => entry.record_loss(LostRun {
                run,
                worker: placed.worker,
                incarnation: placed.incarnation,
                crash: *unseen,
                counted: crash.is_some(),
            }),
            (None, Some(crash)) => entry.record_crash(crash),
            (None, None) => entry.losses += u32::from(outcome == RunOutcome::Lost),
        }
        let step = self.steps.entry((task.occurrence, task.step)).or_default();
        if outcome.counts_as_attempt() && gang {
            step.failed_runs.insert(run);
        }
        if !checkpoint.is_empty() && gang {
            // The checkpoint of any member is valid for the whole gang.
            for member in step.tasks.values_mut().filter(|member| !member.done) {
                member.checkpoint = checkpoint.to_owned();
            }
        }
        if outcome == RunOutcome::Done {
            self.mark_done(task, gang);
        }
    }

    /// Marks a task as not done: its start shows that it is a long-running one that an earlier release stored as done.
    fn reopen(&mut self, task: &TaskKey) {
        let lasting = self.spec.steps.get(task.step as usize);
        if self.phase.is_final() || !lasting.is_some_and(|step| step.long_running) {
            return;
        }
        let Some(step) = self.steps.get_mut(&(task.occurrence, task.step)) else {
            return;
        };
        if let Some(entry) = step.tasks.get_mut(&task.index).filter(|entry| entry.done) {
            entry.done = false;
            step.done -= 1;
            self.remaining_tasks += 1;
        }
    }

    /// Drops what nothing needs of a job that has ended: its payload, and tasks without a run that may be alive.
    fn drop_ended(&mut self) {
        self.spec.payload = String::new();
        for step in self.steps.values_mut() {
            step.tasks.retain(|_, task| !task.placed.is_empty());
        }
        self.steps.retain(|_, step| !step.tasks.is_empty());
    }

    /// Marks a task as done, or all tasks of the step if it is a gang. The job completes with its last task.
    fn mark_done(&mut self, task: &TaskKey, gang: bool) {
        let count = self.spec.steps.get(task.step as usize).map_or(0, |step| step.count);
        let step = self.steps.entry((task.occurrence, task.step)).or_default();
        let indices = if gang { 0..count } else { task.index..task.index + 1 };
        for index in indices {
            let entry = step.tasks.entry(index).or_default();
            if !std::mem::replace(&mut entry.done, true) {
                entry.placed.clear();
                entry.lost.clear();
                entry.checkpoint.clear();
                step.done += 1;
                self.remaining_tasks = self.remaining_tasks.saturating_sub(1);
            }
        }
        if self.remaining_tasks == 0 && !self.phase.is_final() {
            self.phase = StepJobPhase::Completed;
        }
    }
}

/// All step jobs of a region that are accepted and not forgotten, running or ended, as the journal has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepJobTable {
    jobs: BTreeMap<JobKey, JobEntry>,
    /// Jobs that have not ended.
    open: BTreeSet<JobKey>,
    ended: BTreeSet<(Millis, JobKey)>,
    /// Keys that were cancelled while no job had them, with the time of that: a job that is accepted with such a key is
    /// cancelled at once.
    barred: BTreeMap<JobKey, Millis>,
}

impl StepJobTable {
    /// The table with the jobs and the barred keys of a snapshot.
    pub(crate) fn restore(jobs: Vec<JobEntry>, barred: BTreeMap<JobKey, Millis>) -> Self {
        let open = jobs.iter().filter(|entry| !entry.phase.is_final());
        let ended = jobs.iter().filter_map(|entry| Some((entry.ended?, entry.spec.key)));
        Self {
            open: open.map(|entry| entry.spec.key).collect(),
            ended: ended.collect(),
            barred,
            jobs: jobs.into_iter().map(|entry| (entry.spec.key, entry)).collect(),
        }
    }

    /// The job with this key; none if it was never accepted or is forgotten.
    pub fn job(&self, key: JobKey) -> Option<&JobEntry> {
        self.jobs.get(&key)
    }

    /// All jobs in order of their keys.
    pub fn jobs(&self) -> impl Iterator<Item = &JobEntry> {
        self.jobs.values()
    }

    /// The jobs that have not ended, in order of their keys.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobEntry> {
        self.open.iter().filter_map(|key| self.jobs.get(key))
    }

    /// Keys that were cancelled while no job had them, with the time of that in milliseconds since the Unix epoch.
    pub fn barred(&self) -> &BTreeMap<JobKey, Millis> {
        &self.barred
    }

    /// Number of jobs that have not ended.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Applies one record. `wall` is the wall clock of its journal row, in milliseconds since the Unix epoch. A record
    /// of an unknown job changes nothing, but for a cancel, which bars its key.
    pub fn apply(&mut self, wall: Millis, record: &StepRecord) {
        match record {
            StepRecord::Accepted { job } => self.accept(wall, job),
            StepRecord::Started { starts } => {
                for start in starts {
                    self.update(wall, start.task.job, |entry| entry.record_start(start));
                }
            }
            StepRecord::Ended {
                task,
                run,
                outcome,
                checkpoint,
                crash,
                late,
                cleared,
                refuted,
                doubt,
                verdict,
            } => {
                let crash = (crash.as_ref(), doubt.as_ref());
                self.update(wall, task.job, |entry| match (refuted, verdict) {
                    (Some(crash), _) => entry.task_mut(task).refute_crash(*run, crash),
                    (None, Some(verdict)) => entry.task_mut(task).record_verdict(*run, *verdict),
                    (None, None) => entry.record_end((task, *run), *outcome, checkpoint, crash, (*late, *cleared)),
                });
            }
            StepRecord::Cancelled { job } if !self.jobs.contains_key(job) => {
                self.barred.entry(*job).or_insert(wall);
            }
            StepRecord::Cancelled { job } => self.end_job(wall, *job, StepJobPhase::Cancelled),
            StepRecord::Exhausted { job } => self.end_job(wall, *job, StepJobPhase::Failed),
            StepRecord::Forgotten { jobs } => {
                for job in jobs {
                    self.open.remove(job);
                    self.barred.remove(job);
                    if let Some(ended) = self.jobs.remove(job).and_then(|entry| entry.ended) {
                        self.ended.remove(&(ended, *job));
                    }
                }
            }
        }
    }

    fn accept(&mut self, wall: Millis, job: &StepJob) {
        let entry = JobEntry {
            remaining_tasks: job.task_count(),
            spec: job.clone(),
            accepted: wall,
            phase: StepJobPhase::Queued,
            ended: None,
            steps: BTreeMap::new(),
            begun: false,
        };
        if let Entry::Vacant(vacant) = self.jobs.entry(job.key) {
            vacant.insert(entry);
            self.open.insert(job.key);
            if self.barred.remove(&job.key).is_some() {
                self.end_job(wall, job.key, StepJobPhase::Cancelled);
            }
        }
    }

    /// Ends a job with this phase unless it has ended already.
    fn end_job(&mut self, wall: Millis, job: JobKey, phase: StepJobPhase) {
        self.update(wall, job, |entry| {
            if !entry.phase.is_final() {
                entry.phase = phase;
            }
        });
    }

    /// Changes a job and, if it has ended, sets its end time and drops what is no longer needed of it.
    fn update(&mut self, wall: Millis, job: JobKey, edit: impl FnOnce(&mut JobEntry)) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        edit(entry);
        if entry.phase.is_final() {
            entry.drop_ended();
            if entry.ended.is_none() {
                entry.ended = Some(wall);
                self.open.remove(&job);
                self.ended.insert((wall, job));
            }
        }
    }

    /// Ended jobs that are older than the newest `keep` or ended before `before`, oldest first, and keys that were barred
    /// before `before`, at most `limit` in all.
    pub fn past_retention(&self, before: Millis, keep: usize, limit: usize) -> Vec<JobKey> {
        let excess = self.ended.len().saturating_sub(keep);
        let old = self.ended.iter().enumerate();
        let old = old.take_while(|(index, (wall, _))| *index < excess || *wall < before);
        let barred = self.barred.iter().filter(|(_, wall)| **wall < before);
        old.map(|(_, (_, job))| *job)
            .chain(barred.map(|(job, _)| *job))
            .take(limit)
            .collect()
    }
}

/// Serialises a map as a list of pairs, for keys that are not text.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<K: serde::Serialize, V: serde::Serialize, S: Serializer>(
        map: &BTreeMap<K, V>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(map)
    }

    pub(super) fn deserialize<'de, K, V, D>(deserializer: D) -> Result<BTreeMap<K, V>, D::Error>
    where
        K: Deserialize<'de> + Ord,
        V: Deserialize<'de>,
        D: Deserializer<'de>,
    {
        let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
        Ok(pairs.into_iter().collect())
    }
}
