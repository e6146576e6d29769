//! Workers that refused connections until the lease of their runs was over: whether they crashed or were only cut off.
//!
//! A refused connection tells nothing about that. The worker has crashed if another incarnation answers at its address, or
//! if the platform's list has dropped it; it has not if it answers in the same incarnation, or is still listed when a crash
//! under its runs would have made the list drop it. Until one of these is known, its runs count as lost for an unknown
//! reason and the loss is open. Both the open loss and what became of it are stored, for the next scheduler.
//!
//! A worker that was dropped from the list may still answer, if it was cut off from the store as well. Its crash is then
//! taken back.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::closed_set;
use crate::ids::{Incarnation, WorkerName};
use crate::record;
use crate::steps::crashes::{Crash, LostHost, MIN_TRIAL_WORKERS};
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::host::RunKey;
use crate::steps::job_table::{JobEntry, TaskEntry};
use crate::steps::liveness::Liveness;
use crate::steps::outcome::RunOutcome;
use crate::steps::record::StepRecord;

/// Longest time for which a task waits for open losses to be decided. It covers outages of the store.
const MAX_VERDICT_WAIT: Millis = Millis(30_000);

/// Time for which a loss is remembered, to be decided by an answer of the worker.
const LOSS_SPAN: Millis = Millis(120_000);

closed_set! {
    /// What became of a worker that refused connections until the lease of its runs was over.
    pub enum LossVerdict {
        /// It crashed.
        Crashed,
        /// It did not crash.
        NotCrashed,
        /// That will not be known.
        Unknown,
    }
}

record! {
    /// A run that was lost with a worker which refused connections.
    pub struct LostRun {
        /// Number of the run.
        pub run: u32,
        /// The worker.
        pub worker: WorkerName,
        /// Incarnation of that worker.
        pub incarnation: Incarnation,
        /// What is known of the crash, if it was one.
        pub crash: Crash,
        /// Whether it counts as a crash; otherwise the loss is open.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub counted: bool,
    }
}

/// One life of a worker.
pub(crate) type HostLife = (WorkerName, Incarnation);

/// The runs that were lost with a worker which refused connections.
#[derive(Clone, Debug)]
pub(crate) struct HostLoss {
    /// When the lease of the runs was over, or found to be over.
    at: Millis,
    /// The worker as one that was lost, and its number; none after a takeover.
    host: Option<(u32, LostHost)>,
    /// Whether tasks no longer wait for it to be decided.
    expired: bool,
    /// The runs, with what is known of the crash of their worker if it was one.
    runs: BTreeMap<RunKey, Crash>,
}

impl TaskEntry {
    /// Stores that a run was lost with a worker that refused connections.
    pub(crate) fn record_loss(&mut self, lost: LostRun) {
        self.losses += u32::from(!lost.counted);
        if lost.counted {
            self.record_crash(&lost.crash);
        }
        self.lost.push(lost);
    }

    /// Stores what became of the worker of a lost run whose loss is open.
    pub(crate) fn record_verdict(&mut self, run: u32, verdict: LossVerdict) {
        let open = |lost: &&mut LostRun| lost.run == run && !lost.counted;
        let Some(lost) = self.lost.iter_mut().find(open) else {
            return;
        };
        match verdict {
            LossVerdict::Crashed => {
                lost.counted = true;
                let crash = lost.crash;
                self.losses = self.losses.saturating_sub(1);
                self.record_crash(&crash);
            }
            LossVerdict::NotCrashed => {
                self.losses = self.losses.saturating_sub(1);
                self.drop_loss(run);
            }
            LossVerdict::Unknown => self.drop_loss(run),
        }
    }

    /// Forgets a lost run. Runs no longer count as late if less than enough workers may have crashed before them.
    fn drop_loss(&mut self, run: u32) {
        self.lost.retain(|lost| lost.run != run);
        if !self.is_late() {
            self.late_runs = 0;
        }
    }

    /// Takes a crash back that was counted before.
    pub(crate) fn refute_crash(&mut self, run: u32, crash: &Crash) {
        let count = match crash.shared {
            true => &mut self.wave_crashes,
            false => &mut self.crashes,
        };
        *count = count.saturating_sub(1);
        self.trial_crashes = self.trial_crashes.saturating_sub(u32::from(crash.alone));
        if self.crashes + self.wave_crashes == 0 {
            self.crash_age = Millis::ZERO;
        }
        self.drop_loss(run);
    }
}

impl StepScheduler {
    /// Whether a task is given up if its open losses turn out to be crashes, and not otherwise. It is not started until that
    /// is known, or the losses are old.
    pub(crate) fn awaits_verdict(&self, task: &TaskEntry) -> bool {
        // A loss that is no longer open here is decided, and the record of that is being committed.
        let recent = |lost: &&LostRun| {
            let loss = self.open_losses.get(&(lost.worker.clone(), lost.incarnation));
            loss.is_none_or(|loss| !loss.expired)
        };
        let open = || task.lost.iter().filter(|lost| !lost.counted).filter(recent);
        let alone = open().filter(|lost| lost.crash.alone).count() as u32;
        !task.is_given_up() && task.would_be_given_up(open().count() as u32, alone)
    }

    /// Takes note of a worker that refused connections until the lease of its runs was over, before they are ended.
    pub(crate) fn note_refusing(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(mut report) = self.assess_crash(cx, worker) else {
            return;
        };
        let Some(host) = self.hosts.get(worker) else { return };
        let (number, life) = (host.number, (worker.clone(), host.incarnation));
        for (_, crash) in &mut report.crashes {
            crash.unseen = true;
        }
        let loss = HostLoss {
            at: cx.now,
            host: Some((number, report.lost.clone())),
            expired: false,
            runs: report.crashes.iter().copied().collect(),
        };
        if self.list_shows(cx, &life, cx.now) == Liveness::Gone {
            self.record_crash(cx, worker, report);
            self.add_refutable(cx, life, loss);
            return;
        }
        for (key, crash) in report.crashes {
            if let Some(run) = self.runs.get_mut(&key) {
                run.doubt = Some(crash);
            }
            let reason = "its worker refuses connections; whether it crashed is not known yet".to_owned();
            self.log_run("loss open", key, reason);
        }
        self.open_losses.insert(life, loss);
    }

    /// Restores the losses that the journal has as open, and the crashes that may be taken back.
    pub(crate) fn recover_losses(&mut self, cx: &Context<'_>, entry: &JobEntry) {
        for (task, lost) in entry.lost_runs() {
            let losses = match lost.counted {
                true => &mut self.refutable,
                false => &mut self.open_losses,
            };
            let loss = losses.entry((lost.worker.clone(), lost.incarnation));
            let loss = loss.or_insert_with(|| HostLoss {
                at: cx.now,
                host: None,
                expired: false,
                runs: BTreeMap::new(),
            });
            loss.runs.insert((task, lost.run), lost.crash);
        }
    }

    /// Decides the open losses of which the list or the time tells enough, and ends waits for those that stay open for long.
    pub(crate) fn settle_losses(&mut self, cx: &Context<'_>) {
        let decided = self.open_losses.iter().filter_map(|(life, loss)| {
            let verdict = match self.list_shows(cx, life, loss.at) {
                Liveness::Gone => LossVerdict::Crashed,
                Liveness::Alive => LossVerdict::NotCrashed,
                Liveness::Unknown if cx.now.since(loss.at) >= LOSS_SPAN => LossVerdict::Unknown,
                Liveness::Unknown => return None,
            };
            Some((life.clone(), verdict))
        });
        let decided: Vec<(HostLife, LossVerdict)> = decided.collect();
        for (life, verdict) in decided {
            let reason = match verdict {
                LossVerdict::Crashed => "its worker is no longer listed",
                LossVerdict::NotCrashed => "its worker is still listed",
                LossVerdict::Unknown => "nothing was heard of its worker",
            };
            self.settle_loss(cx, &life, verdict, reason);
        }
        let mut jobs = BTreeSet::new();
        for loss in self.open_losses.values_mut() {
            if !loss.expired && cx.now.since(loss.at) >= MAX_VERDICT_WAIT {
                loss.expired = true;
                jobs.extend(loss.runs.keys().map(|(task, _)| task.job));
            }
        }
        for job in jobs {
            self.refresh_job(cx, job);
        }
    }

    /// Decides what the answer of an incarnation of a worker tells about that one and earlier ones.
    pub(crate) fn judge_answer(&mut self, cx: &Context<'_>, worker: &WorkerName, incarnation: Incarnation) {
        let lives = (worker.clone(), Incarnation::default())..=(worker.clone(), incarnation);
        let open: Vec<HostLife> = self.open_losses.range(lives).map(|(life, _)| life.clone()).collect();
        for life in open {
            let (verdict, reason) = match life.1 == incarnation {
                true => (
                    LossVerdict::NotCrashed,
                    "its worker answers again in the same incarnation",
                ),
                false => (LossVerdict::Crashed, "its worker answers in a later incarnation"),
            };
            self.settle_loss(cx, &life, verdict, reason);
        }
        if let Some(loss) = self.refutable.remove(&(worker.clone(), incarnation)) {
            self.refute(cx, worker, loss);
        }
    }

    /// Decides the open loss of a worker that reports to the list as draining, since a crashed one reports nothing.
    pub(crate) fn judge_draining(&mut self, cx: &Context<'_>, worker: &WorkerName, incarnation: Incarnation) {
        let life = (worker.clone(), incarnation);
        self.settle_loss(cx, &life, LossVerdict::NotCrashed, "its worker reports that it drains");
    }

    fn settle_loss(&mut self, cx: &Context<'_>, life: &HostLife, verdict: LossVerdict, reason: &str) {
        let Some(loss) = self.open_losses.remove(life) else {
            return;
        };
        let what = match verdict {
            LossVerdict::Crashed => "crashed",
            LossVerdict::NotCrashed => "not crashed",
            LossVerdict::Unknown => "loss unexplained",
        };
        for key in loss.runs.keys().filter(|key| is_counted(cx, key)) {
            self.log_run(what, *key, reason.to_owned());
            self.records.push(amendment(*key, None, Some(verdict)));
        }
        if verdict == LossVerdict::Crashed {
            if let Some((number, lost)) = loss.host.clone() {
                self.lost_hosts.insert(number, lost);
            }
            if let Some(host) = self.hosts.get_mut(&life.0) {
                host.crashed_at = Some(cx.now);
            }
            if loss.runs.values().any(|crash| crash.alone) {
                self.trial_workers = MIN_TRIAL_WORKERS;
            }
            self.add_refutable(cx, life.clone(), loss);
        }
    }

    /// Takes the crash of a worker back that has answered again.
    fn refute(&mut self, cx: &Context<'_>, worker: &WorkerName, loss: HostLoss) {
        if let Some((number, _)) = loss.host {
            self.lost_hosts.remove(&number);
        }
        if let Some(host) = self.hosts.get_mut(worker) {
            host.crashed_at = None;
        }
        for (key, crash) in loss.runs.into_iter().filter(|(key, _)| is_counted(cx, key)) {
            let reason = "its worker answers again in the same incarnation, so that it had not crashed".to_owned();
            self.log_run("crash refuted", key, reason);
            self.records.push(amendment(key, Some(crash), None));
        }
    }

    fn add_refutable(&mut self, cx: &Context<'_>, life: HostLife, loss: HostLoss) {
        self.refutable.retain(|_, loss| cx.now.since(loss.at) < LOSS_SPAN);
        self.refutable.insert(life, loss);
    }

    /// What the list tells of a life of a worker: whether it has ended, or has gone on after `at`.
    fn list_shows(&self, cx: &Context<'_>, (worker, incarnation): &HostLife, at: Millis) -> Liveness {
        let host = self.hosts.get(worker).filter(|host| host.listed);
        let listed = host.and_then(|host| host.info.as_ref());
        // An entry without an incarnation has 0.
        let listed = listed.is_some_and(|info| info.incarnation <= *incarnation);
        self.list_reads.liveness(listed, at, cx.limits.list_silence)
    }
}

/// Whether a run's task may still be started, so that crashes of its workers count.
fn is_counted(cx: &Context<'_>, key: &RunKey) -> bool {
    let entry = cx.book.job(key.0.job).filter(|entry| !entry.phase.is_final());
    entry
        .and_then(|entry| entry.task(&key.0))
        .is_some_and(|task| !task.done)
}

/// A record that changes what is stored of the end of a run.
fn amendment((task, run): RunKey, refuted: Option<Crash>, verdict: Option<LossVerdict>) -> StepRecord {
    StepRecord::Ended {
        task,
        run,
        outcome: RunOutcome::Refused,
        checkpoint: String::new(),
        crash: None,
        late: false,
        cleared: false,
        refuted,
        doubt: None,
        verdict,
    }
}
