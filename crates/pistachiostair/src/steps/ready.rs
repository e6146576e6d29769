//! Readiness: which tasks of a job can be placed. A task is ready if its occurrence is due, the steps that it depends
//! on are done, it is not done itself or is long-running, none of its runs may be alive or be started by a late order, and it
//! neither waits for a verdict on crashes by which it would be given up nor pauses after failures.

use std::collections::BTreeSet;

use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::{JobEntry, TaskEntry};
use crate::steps::queue::{StepKey, WaitingStep};
use crate::steps::record::StepRecord;
use crate::steps::spec::{JobKey, Step, TaskKey};

impl StepScheduler {
    /// Updates the waiting steps of a job after a change to it. Fails the job if a task or a gang has used up its
    /// attempts. An occurrence that is not due yet is entered in `due`.
    pub(crate) fn refresh_job(&mut self, cx: &Context<'_>, job: JobKey) {
        let open = cx.book.job(job).filter(|entry| !entry.phase.is_final());
        let Some(entry) = open.filter(|_| !self.closed.contains(&job)) else {
            self.retain_waiting(job, &BTreeSet::new());
            return;
        };
        let given_up = self.given_up(entry);
        if let Some(reason) = &given_up {
            self.log_job("given up", job, reason.clone());
        }
        if given_up.is_some() || self.is_exhausted(entry) {
            self.closed.insert(job);
            self.retain_waiting(job, &BTreeSet::new());
            self.records.push(StepRecord::Exhausted { job });
            return;
        }
        let mut ready = BTreeSet::new();
        for occurrence in 0..entry.spec.occurrences() {
            let due = entry.spec.due(occurrence);
            if due > cx.wall {
                self.due.insert((due, job));
                break;
            }
            for (number, step) in (0..).zip(&entry.spec.steps) {
                let key = (job, occurrence, number);
                let indices = self.ready_tasks(entry, key, step);
                if !indices.is_empty() {
                    ready.insert(key);
                    let on_trial = |index: &u32| entry.trial_span(&task_key(key, *index)).is_some();
                    let (suspects, indices) = indices.into_iter().partition(on_trial);
                    let since = self.waiting.get(&key).map_or(cx.now, |waiting| waiting.since);
                    let waiting = WaitingStep {
                        indices,
                        suspects,
                        since,
                    };
                    self.waiting.insert(key, waiting);
                    self.replan = true;
                }
            }
        }
        self.retain_waiting(job, &ready);
    }

    /// Indices of the tasks of a step that can be placed; for a gang all or none.
    fn ready_tasks(&self, entry: &JobEntry, key: StepKey, step: &Step) -> BTreeSet<u32> {
        let (_, occurrence, number) = key;
        let unblocked = step.after.iter().all(|before| entry.is_step_done(occurrence, *before));
        let lasting = step.long_running;
        if !unblocked || !lasting && entry.is_step_done(occurrence, number) {
            return BTreeSet::new();
        }
        let running: BTreeSet<u32> = self.runs_of_step(key).map(|(task, _)| task.index).collect();
        let known = entry.step(occurrence, number);
        let waits = |index: &u32, task: &TaskEntry| {
            let task_key = task_key(key, *index);
            self.awaits_verdict(task) || self.open_orders.hold_back(&task_key) || self.backoffs.pauses(&task_key)
        };
        if step.gang {
            let waits = known.is_some_and(|step| step.tasks.iter().any(|(index, task)| waits(index, task)));
            return match running.is_empty() && !waits {
                true => (0..step.count).collect(),
                false => BTreeSet::new(),
            };
        }
        // An earlier release stored long-running tasks as done.
        let closed = |index: &u32| {
            let task = known.and_then(|step| step.tasks.get(index));
            task.is_some_and(|task| !lasting && task.done || waits(index, task))
        };
        let count = entry.spec.steps[number as usize].count;
        (0..count)
            .filter(|index| !running.contains(index) && !closed(index))
            .collect()
    }

    /// Whether a task or a gang has failed as often as the queue of its job allows. Long-running steps are exempt.
    fn is_exhausted(&self, entry: &JobEntry) -> bool {
        let max = self.terms(entry).attempts.max(1) as usize;
        entry.steps.iter().any(|((_, number), step)| {
            let Some(spec) = entry.spec.steps.get(*number as usize).filter(|spec| !spec.long_running) else {
                return false;
            };
            match spec.gang {
                true => step.failed_runs.len() >= max,
                false => step
                    .tasks
                    .values()
                    .any(|task| !task.done && task.failures as usize >= max),
            }
        })
    }

    /// Removes all waiting steps of a job that are not in `ready`, with their reservations.
    fn retain_waiting(&mut self, job: JobKey, ready: &BTreeSet<StepKey>) {
        let stale: Vec<StepKey> = self
            .waiting
            .range((job, 0, 0)..)
            .map(|(key, _)| *key)
            .take_while(|key| key.0 == job)
            .filter(|key| !ready.contains(key))
            .collect();
        for key in stale {
            self.waiting.remove(&key);
            self.reservations.remove(&key);
        }
    }
}

/// The task of a step with this index.
fn task_key((job, occurrence, step): StepKey, index: u32) -> TaskKey {
    TaskKey {
        job,
        occurrence,
        step,
        index,
    }
}
