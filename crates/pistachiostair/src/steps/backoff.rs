//! Pauses between the starts of long-running tasks that fail at once.
//!
//! Nothing limits the attempts of such a task. Without a pause it would be started without end.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::steps::engine::{Context, StepScheduler, step_of};
use crate::steps::host::RunKey;
use crate::steps::spec::{JobKey, TaskKey};

/// Pause after the second failure in a row; each further one doubles it. The first has none.
const MIN_PAUSE: Millis = Millis(250);

/// Longest pause. The platform wants a task at work again within 9 s of its last run.
const MAX_PAUSE: Millis = Millis(4_000);

/// Time after its start within which a run that fails counts as failing at once.
const EARLY: Millis = Millis(1_000);

/// Failures in a row of a task or of a gang.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    /// The last run that failed.
    run: u32,
    /// End of the pause; none once it was over.
    until: Option<Millis>,
}

/// Long-running tasks that fail at once, and gangs, by their first task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs {
    failures: BTreeMap<TaskKey, Failures>,
}

impl Backoffs {
    /// Takes note of a run that failed at once.
    fn note_failure(&mut self, now: Millis, (task, run): RunKey) {
        let failures = self.failures.entry(task).or_insert(Failures {
            count: 0,
            run: 0,
            until: None,
        });
        // Each member of a gang may report the failure of the gang's run.
        if failures.run == run {
            return;
        }
        failures.run = run;
        failures.count = failures.count.saturating_add(1);
        let pause = |doublings: u32| Millis(MIN_PAUSE.0 << doublings.min(8)).min(MAX_PAUSE);
        failures.until = failures.count.checked_sub(2).map(|doublings| now + pause(doublings));
    }

    /// Whether a task pauses; that of a gang by its first task.
    pub(crate) fn pauses(&self, task: &TaskKey) -> bool {
        self.failures.get(task).is_some_and(|failures| failures.until.is_some())
    }

    /// Forgets the failures of a task.
    fn clear(&mut self, task: &TaskKey) {
        self.failures.remove(task);
    }

    /// Forgets the failures of a job.
    pub(crate) fn forget_job(&mut self, job: JobKey) {
        self.failures.retain(|task, _| task.job != job);
    }

    /// Ends the pauses that are over. Returns their jobs.
    fn end_pauses(&mut self, now: Millis) -> Vec<JobKey> {
        let mut jobs = Vec::new();
        for (task, failures) in &mut self.failures {
            if failures.until.take_if(|until| *until <= now).is_some() {
                jobs.push(task.job);
            }
        }
        jobs
    }
}

impl StepScheduler {
    /// Takes note of the failure of a run of a long-running task, which pauses if it fails at once again and again.
    pub(crate) fn note_lasting_failure(&mut self, cx: &Context<'_>, (task, run): RunKey) {
        let gang = step_of(cx.book, &task).is_some_and(|step| step.gang);
        let unit = if gang { TaskKey { index: 0, ..task } } else { task };
        let begun = self.runs.get(&(task, run)).map(|run| run.since);
        match begun.is_some_and(|since| cx.now.since(since) >= EARLY) {
            true => self.backoffs.clear(&unit),
            false => self.backoffs.note_failure(cx.now, (unit, run)),
        }
    }

    /// Makes tasks ready again whose pause is over.
    pub(crate) fn end_pauses(&mut self, cx: &Context<'_>) {
        for job in self.backoffs.end_pauses(cx.now) {
            self.refresh_job(cx, job);
        }
    }
}
