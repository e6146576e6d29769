//! Which tasks of a job can be placed: those whose time has come, whose earlier steps are done, and of which no run
//! may be alive.

use std::collections::BTreeSet;

use crate::steps::engine::{Context, StepScheduler};
use crate::steps::job_table::JobEntry;
use crate::steps::queue::{StepKey, WaitingStep};
use crate::steps::record::StepRecord;
use crate::steps::spec::{JobKey, Step};

impl StepScheduler {
    /// Finds the tasks of a job that can be placed, and ends a job that used up its attempts.
    pub(crate) fn refresh_job(&mut self, cx: &Context<'_>, job: JobKey) {
        let open = cx.book.job(job).filter(|entry| !entry.phase.is_final());
        let Some(entry) = open.filter(|_| !self.closed.contains(&job)) else {
            self.retain_waiting(job, &BTreeSet::new());
            return;
        };
        if self.is_exhausted(entry) {
            self.closed.insert(job);
            self.retain_waiting(job, &BTreeSet::new());
            self.records.push(StepRecord::Exhausted { job });
            return;
        }
        let mut kept = BTreeSet::new();
        for occurrence in 0..entry.spec.occurrences() {
            let due = entry.spec.due(occurrence);
            if due > cx.wall {
                self.due.insert((due, job));
                break;
            }
            for (number, step) in (0..).zip(&entry.spec.steps) {
                let group = (job, occurrence, number);
                let indices = self.placeable(entry, group, step);
                if !indices.is_empty() {
                    kept.insert(group);
                    let waiting = self.waiting.entry(group).or_insert_with(|| WaitingStep {
                        indices: BTreeSet::new(),
                    });
                    waiting.indices = indices;
                    self.replan = true;
                }
            }
        }
        self.retain_waiting(job, &kept);
    }

    fn placeable(&self, entry: &JobEntry, group: StepKey, step: &Step) -> BTreeSet<u32> {
        let (_, occurrence, number) = group;
        let ready = step.after.iter().all(|before| entry.is_step_done(occurrence, *before));
        if !ready || entry.is_step_done(occurrence, number) {
            return BTreeSet::new();
        }
        let running: BTreeSet<u32> = self.runs_of_step(group).map(|(task, _)| task.index).collect();
        if step.gang {
            return match running.is_empty() {
                true => (0..step.count).collect(),
                false => BTreeSet::new(),
            };
        }
        let step = entry.step(occurrence, number);
        let done = |index: &u32| {
            step.and_then(|step| step.tasks.get(index))
                .is_some_and(|task| task.done)
        };
        let count = entry.spec.steps[number as usize].count;
        (0..count)
            .filter(|index| !running.contains(index) && !done(index))
            .collect()
    }

    /// Whether a task or a gang that does not last has failed as often as its queue allows.
    fn is_exhausted(&self, entry: &JobEntry) -> bool {
        let most = self.terms(entry).attempts.max(1) as usize;
        entry.steps.iter().any(|((_, number), step)| {
            let Some(spec) = entry.spec.steps.get(*number as usize).filter(|spec| !spec.long_running) else {
                return false;
            };
            match spec.gang {
                true => step.failed_runs.len() >= most,
                false => step
                    .tasks
                    .values()
                    .any(|task| !task.done && task.failures as usize >= most),
            }
        })
    }

    fn retain_waiting(&mut self, job: JobKey, kept: &BTreeSet<StepKey>) {
        let groups: Vec<StepKey> = self
            .waiting
            .range((job, 0, 0)..)
            .map(|(group, _)| *group)
            .take_while(|group| group.0 == job)
            .filter(|group| !kept.contains(group))
            .collect();
        for group in groups {
            self.waiting.remove(&group);
            self.reservations.remove(&group);
        }
    }
}
