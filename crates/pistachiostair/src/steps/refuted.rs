//! Crashes that were presumed of workers that could only not be reached.
//!
//! A worker that refuses connections until its lease is over is presumed to have crashed, and the tasks of its runs may
//! become suspects. If it then answers in the same incarnation, it was cut off and has worked on: what the journal says of
//! its crash is taken back.

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::steps::crashes::Crash;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::host::RunKey;
use crate::steps::job_table::TaskEntry;
use crate::steps::outcome::RunOutcome;
use crate::steps::record::StepRecord;

/// Time for which a presumed crash is remembered, to be taken back.
const REFUTABLE_SPAN: Millis = Millis(120_000);

/// A worker that is presumed to have crashed.
#[derive(Clone, Debug)]
pub(crate) struct PresumedCrash {
    incarnation: Incarnation,
    /// [`Host::number`](crate::steps::host::Host::number) of the worker.
    number: u32,
    noted_at: Millis,
    /// Its runs, with what was recorded of them.
    runs: Vec<(RunKey, Crash)>,
}

impl TaskEntry {
    /// Takes a crash back that was counted before. The run was lost all the same.
    pub(crate) fn refute_crash(&mut self, crash: &Crash) {
        let count = match crash.shared {
            true => &mut self.wave_crashes,
            false => &mut self.crashes,
        };
        *count = count.saturating_sub(1);
        self.trial_crashes = self.trial_crashes.saturating_sub(u32::from(crash.alone));
        self.losses += 1;
        if self.crashes + self.wave_crashes == 0 {
            self.crash_age = Millis::ZERO;
        }
    }
}

impl StepScheduler {
    /// Notes that a worker seems to have crashed, before its runs are ended, and remembers what will be recorded of them.
    pub(crate) fn presume_crash(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        self.note_crash(cx, worker);
        self.presumed
            .retain(|_, crash| cx.now.since(crash.noted_at) < REFUTABLE_SPAN);
        let Some(host) = self.hosts.get(worker) else { return };
        let crash = |key: &RunKey| Some((*key, self.runs.get(key)?.crash?));
        let presumed = PresumedCrash {
            incarnation: host.incarnation,
            number: host.number,
            noted_at: cx.now,
            runs: host.runs.iter().filter_map(crash).collect(),
        };
        self.presumed.insert(worker.clone(), presumed);
    }

    /// Takes the presumed crash of a worker back if the incarnation that answers is the one that seemed to have crashed.
    pub(crate) fn refute_crash(&mut self, cx: &Context<'_>, worker: &WorkerName, incarnation: Incarnation) {
        let presumed = self.presumed.remove(worker);
        let Some(presumed) = presumed.filter(|crash| crash.incarnation == incarnation) else {
            return;
        };
        self.lost_hosts.remove(&presumed.number);
        if let Some(host) = self.hosts.get_mut(worker) {
            host.crashed_at = None;
        }
        for (key, crash) in presumed.runs {
            let entry = cx.book.job(key.0.job).filter(|entry| !entry.phase.is_final());
            if entry.and_then(|entry| entry.task(&key.0)).is_none_or(|task| task.done) {
                continue;
            }
            let reason = "its worker answers again in the same incarnation, so that it had not crashed".to_owned();
            self.log_run("crash refuted", key, reason);
            self.records.push(StepRecord::Ended {
                task: key.0,
                run: key.1,
                outcome: RunOutcome::Refused,
                checkpoint: String::new(),
                crash: None,
                late: false,
                cleared: false,
                refuted: Some(crash),
            });
        }
    }
}
