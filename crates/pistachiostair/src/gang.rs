//! Attempts of jobs: tracks each part of a gang, releases the gang, and stops it when it can't go on.
//!
//! The parts of a gang start held. Once every worker reports its part as held, a `Released` record is committed, and
//! only then may the parts run. If one part fails, all parts are stopped. A run is complete when all its parts ended;
//! its outcome is decided in `finish`.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::error::Ran;
use crate::ids::{Attempt, Incarnation, JobId, TaskId, WorkerName};
use crate::journal::{Part, Record};
use crate::planner::Change;
use crate::state::{JobState, Placement};
use crate::worker::TaskState;

/// Time after which a part on an unresponsive worker is checked again.
const RECHECK_INTERVAL: Millis = Millis(1_000);

/// How a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartEnd {
    /// The worker reported it.
    Reported(TaskState),
    /// No start command had an effect.
    NotStarted,
    /// Its worker is gone, was restarted, or has been unresponsive until the lease lapsed.
    WorkerLost,
}

/// Why an attempt is being stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HaltReason {
    Cancelled,
    Expired,
    Reclaimed,
    /// A worker is leaving or ejected and did not take its part yet.
    Withdrawn,
    /// A part ended early, was refused, or its worker is unresponsive; with the text for users.
    PartFailed(String),
}

/// An attempt that is being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Halt {
    pub(crate) reason: HaltReason,
    /// Time until which parts may write a checkpoint before they are stopped; `None` if they are stopped at once.
    pub(crate) checkpoint_until: Option<Millis>,
}

/// A part of an attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct PartRun {
    pub(crate) worker: WorkerName,
    pub(crate) incarnation: Incarnation,
    /// Start commands sent.
    pub(crate) starts_sent: u32,
    /// Of these, start commands that an earlier scheduler may have sent.
    pub(crate) starts_inherited: u32,
    /// Start commands that certainly had no effect.
    pub(crate) starts_void: u32,
    /// The worker's reason for refusing a start command.
    pub(crate) refused: Option<String>,
    /// State in the worker's inventory; `None` if it was never there.
    pub(crate) last_state: Option<TaskState>,
    /// Highest progress reported, from 0 to 1000.
    pub(crate) progress: u32,
    /// Progress at the start of the attempt, or of its reclaim. Progress above it shows a new checkpoint.
    pub(crate) start_progress: u32,
    pub(crate) answer: Option<String>,
    pub(crate) end: Option<PartEnd>,
}

impl PartRun {
    /// Whether no start command can have had an effect.
    pub(crate) fn not_started(&self) -> bool {
        self.starts_sent == self.starts_void
    }
}

/// An attempt in progress: its placement is committed.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: Attempt,
    pub(crate) parts: Vec<PartRun>,
    /// The `Released` record is committed. Always true for a gang of one, which starts running.
    pub(crate) released: bool,
    /// The `Released` record is queued or committed.
    pub(crate) releasing: bool,
    /// Set while the attempt is being stopped.
    pub(crate) halt: Option<Halt>,
    /// All parts ended, and the record about that is not committed yet.
    pub(crate) completed: bool,
    /// Whether the planner knows that the attempt uses its workers.
    pub(crate) in_planner: bool,
    /// When all parts were first seen running.
    pub(crate) running_since: Option<Millis>,
    /// When `oldest_report` was computed.
    pub(crate) checked_at: Option<Millis>,
    /// Oldest of the last reports of the workers whose parts have not ended; `None` if one of them has not reported in
    /// this term.
    pub(crate) oldest_report: Option<Millis>,
}

impl Run {
    /// An attempt that this scheduler placed, with the progress of each part to resume from.
    pub(crate) fn placed(attempt: Attempt, parts: &[Part], progress: &[u32]) -> Self {
        let parts: Vec<PartRun> = parts
            .iter()
            .zip(progress.iter().copied().chain(std::iter::repeat(0)))
            .map(|(part, progress)| PartRun {
                worker: part.worker.clone(),
                incarnation: part.incarnation,
                starts_sent: 0,
                starts_inherited: 0,
                starts_void: 0,
                refused: None,
                last_state: None,
                progress,
                start_progress: progress,
                answer: None,
                end: None,
            })
            .collect();
        Self {
            attempt,
            released: parts.len() == 1,
            parts,
            releasing: false,
            halt: None,
            completed: false,
            in_planner: true,
            running_since: None,
            checked_at: None,
            oldest_report: None,
        }
    }

    /// An attempt found in the journal after a takeover: the scheduler before may have sent every start command.
    pub(crate) fn recovered(entry: &JobState, placement: &Placement, now: Millis) -> Self {
        let mut run = Self::placed(entry.attempt, &placement.parts, &entry.progress);
        run.released |= placement.released;
        run.in_planner = false;
        run.running_since = run.released.then_some(now);
        for part in &mut run.parts {
            part.starts_sent = 1;
            part.starts_inherited = 1;
        }
        run
    }

    /// Id of a part's task.
    pub(crate) fn task(&self, job: JobId, part: usize) -> TaskId {
        TaskId {
            job,
            attempt: self.attempt,
            part: part as u32,
        }
    }

    /// Whether any part did work, as far as is known.
    pub(crate) fn ran(&self) -> Ran {
        if !self.released {
            return Ran::No;
        }
        let state = |part: &PartRun| match part.end {
            Some(PartEnd::NotStarted) => Ran::No,
            Some(PartEnd::Reported(state)) if state.may_have_run() => Ran::Yes,
            Some(PartEnd::Reported(_)) => Ran::No,
            Some(PartEnd::WorkerLost) if part.last_state == Some(TaskState::Running) => Ran::Yes,
            Some(PartEnd::WorkerLost) => Ran::Unknown,
            None if part.last_state.is_some_and(TaskState::may_have_run) => Ran::Yes,
            None if part.not_started() => Ran::No,
            None => Ran::Unknown,
        };
        self.parts.iter().map(state).fold(Ran::No, combine_ran)
    }

    /// Whether the parts may be stopped now: no checkpoint is awaited, all parts wrote one, or the time for it is over
    /// and the job is idempotent.
    pub(crate) fn may_stop(&self, now: Millis, idempotent: bool) -> bool {
        let Some(until) = self.halt.as_ref().and_then(|halt| halt.checkpoint_until) else {
            return true;
        };
        let saved = self
            .parts
            .iter()
            .all(|part| part.end.is_some() || part.progress > part.start_progress);
        // Without a checkpoint, a job that is not idempotent could not be resumed.
        saved || (idempotent && now >= until)
    }
}

/// Combines two statements on whether work ran: `Yes` wins over `Unknown`, and `Unknown` over `No`.
pub(crate) fn combine_ran(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

impl ActiveScheduler {
    /// Makes `run` the attempt in progress of a job and has its parts started.
    pub(crate) fn begin_run(&mut self, now: Millis, job: JobId, run: Run) {
        for (index, part) in run.parts.iter().enumerate() {
            let elected_at = self.elected_at;
            let upstream = self.upstream(&part.worker, elected_at);
            upstream.parts.insert(run.task(job, index));
            self.dirty_workers.insert(part.worker.clone());
        }
        self.runs.insert(job, run);
        self.dirty_jobs.insert(job);
        self.register_recovered(now, job);
    }

    /// Drops the attempt in progress of a job, once the record of its end is committed.
    pub(crate) fn end_run(&mut self, now: Millis, job: JobId) {
        let Some(run) = self.runs.remove(&job) else {
            return;
        };
        for (index, part) in run.parts.iter().enumerate() {
            let task = run.task(job, index);
            if let Some(upstream) = self.workers.get_mut(&part.worker) {
                upstream.parts.remove(&task);
                upstream.sent.remove(&task);
            }
            self.dirty_workers.insert(part.worker.clone());
            self.sync_worker(now, &part.worker);
        }
    }

    /// Advances the attempt of a dirty job from what its workers report.
    pub(crate) fn advance_job(&mut self, now: Millis, job: JobId) {
        self.store_answer(job);
        let Some(mut run) = self.runs.remove(&job) else {
            return;
        };
        if let Some(entry) = self.state.job(job).filter(|_| !run.completed).cloned() {
            self.advance(now, &entry, &mut run);
        }
        self.runs.insert(job, run);
    }

    fn advance(&mut self, now: Millis, entry: &JobState, run: &mut Run) {
        self.update_parts(now, entry, run);
        if run.halt.is_none()
            && let Some(reason) = self.halt_reason(now, entry, run)
        {
            self.halt(
                run,
                Halt {
                    reason,
                    checkpoint_until: None,
                },
            );
        }
        if run.halt.is_some() {
            self.end_not_started(run);
        }
        if run.parts.iter().all(|part| part.end.is_some()) {
            run.completed = true;
            self.complete_run(now, entry, run);
            return;
        }
        if run.halt.is_none() {
            self.continue_run(now, entry, run);
        } else if let Some(until) = run.halt.as_ref().and_then(|halt| halt.checkpoint_until) {
            self.mark_workers_dirty(run);
            if until > now {
                self.job_timers.insert((until, entry.id));
            }
        }
    }

    /// Updates the parts from their workers' inventories, and ends those whose end is known or proven.
    fn update_parts(&mut self, now: Millis, entry: &JobState, run: &mut Run) {
        let single = run.parts.len() == 1;
        let never_released = !run.released && !run.releasing;
        for index in 0..run.parts.len() {
            let task = run.task(entry.id, index);
            let part = &mut run.parts[index];
            if part.end.is_some() {
                continue;
            }
            let Some(upstream) = self.workers.get(&part.worker) else {
                continue;
            };
            let restarted = upstream.synced && upstream.incarnation != part.incarnation;
            if upstream.gone || restarted {
                part.end = Some(if part.not_started() {
                    PartEnd::NotStarted
                } else {
                    PartEnd::WorkerLost
                });
            } else if let Some(view) = upstream.tasks.get(&task).filter(|_| upstream.synced) {
                part.last_state = Some(view.state);
                part.progress = part.progress.max(view.progress);
                if view.state.is_final() {
                    part.end = Some(PartEnd::Reported(view.state));
                    part.answer.clone_from(&view.answer);
                }
            }
            if part.end.is_none() && upstream.unresponsive && part.not_started() {
                part.end = Some(PartEnd::NotStarted);
            }
            if part.end.is_none() && upstream.unresponsive {
                let lapses_at = upstream.lapses_at();
                // An idempotent part may run again, and parts of a gang that was never released did no work. Nothing
                // proves that any other part did not run on; it waits until its worker responds or is gone.
                let may_give_up = entry.spec.idempotent || (!single && never_released);
                if may_give_up && now >= lapses_at {
                    part.end = Some(PartEnd::WorkerLost);
                } else if may_give_up {
                    // A reply to an outstanding batch may bring the lapse forward.
                    self.job_timers
                        .insert((lapses_at.min(now + RECHECK_INTERVAL), entry.id));
                }
            }
            if part.end.is_some() && run.in_planner {
                self.planner.apply(now, Change::PartEnded(entry.id, index as u32));
                self.replan = true;
            }
        }
    }

    /// Why the attempt must be stopped; `None` if it goes on.
    fn halt_reason(&self, now: Millis, entry: &JobState, run: &Run) -> Option<HaltReason> {
        if entry.cancelling {
            return Some(HaltReason::Cancelled);
        }
        for part in &run.parts {
            let succeeded = Some(PartEnd::Reported(TaskState::Succeeded));
            if part.end.is_some() && part.end != succeeded {
                return Some(HaltReason::PartFailed(format!("a part ended early on {}", part.worker)));
            }
            if let Some(reason) = &part.refused {
                return Some(HaltReason::PartFailed(format!("{} refused: {reason}", part.worker)));
            }
            let Some(upstream) = self.workers.get(&part.worker) else {
                continue;
            };
            if part.end.is_none() && upstream.unresponsive && run.parts.len() > 1 {
                return Some(HaltReason::PartFailed(format!("{} does not respond", part.worker)));
            }
            let startable = part.not_started() || entry.spec.idempotent || !run.released;
            let withdrawn = upstream.leaving || self.ejector.is_ejected(now, &part.worker);
            if withdrawn && upstream.synced && part.last_state.is_none() && startable {
                return Some(HaltReason::Withdrawn);
            }
        }
        // A start command of an earlier scheduler that is still on its way is made void by the stop command.
        let absent = |part: &PartRun| {
            let synced = self.workers.get(&part.worker).is_some_and(|upstream| upstream.synced);
            synced && part.last_state.is_none() && part.starts_sent == part.starts_inherited
        };
        let begun = if run.parts.len() == 1 {
            run.parts.iter().any(|part| !part.not_started() && !absent(part))
        } else {
            run.released || run.releasing
        };
        (!begun && self.past_deadline(entry)).then_some(HaltReason::Expired)
    }

    /// Whether the job's deadline passed.
    pub(crate) fn past_deadline(&self, entry: &JobState) -> bool {
        entry.spec.deadline.is_some_and(|span| self.wall >= entry.wall + span)
    }

    /// Starts to stop an attempt.
    pub(crate) fn halt(&mut self, run: &mut Run, halt: Halt) {
        run.halt = Some(halt);
        self.mark_workers_dirty(run);
    }

    fn mark_workers_dirty(&mut self, run: &Run) {
        self.dirty_workers
            .extend(run.parts.iter().map(|part| part.worker.clone()));
    }

    /// Ends the parts of a halted run that were not started. A refused part needs a stop command first, since a copy of
    /// its start command may still arrive.
    fn end_not_started(&mut self, run: &mut Run) {
        for part in &mut run.parts {
            if part.end.is_none() && part.not_started() && part.refused.is_none() {
                part.end = Some(PartEnd::NotStarted);
            }
        }
    }

    /// Releases a gang whose parts are all held, and tells the planner once the whole gang runs.
    fn continue_run(&mut self, now: Millis, entry: &JobState, run: &mut Run) {
        let started = run.parts.iter().all(|part| part.last_state.is_some());
        if started && !run.released && !run.releasing && self.lease_held {
            run.releasing = true;
            self.push(Record::Released {
                job: entry.id,
                attempt: run.attempt,
            });
        }
        let running = run
            .parts
            .iter()
            .all(|part| part.end.is_some() || part.last_state == Some(TaskState::Running));
        if running && run.running_since.is_none() {
            run.running_since = Some(now);
            self.planner.apply(now, Change::Running(entry.id));
        }
    }
}
