//! Attempts of jobs: what each part of a gang does, and what follows from it.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::error::Ran;
use crate::ids::{Attempt, Incarnation, JobId, TaskId, WorkerName};
use crate::journal::{Part, Record};
use crate::planner::Change;
use crate::state::{JobState, Placement};
use crate::worker::TaskState;

/// Span after which a part on a silent worker is looked at again.
const RECHECK: Millis = Millis(1_000);

/// How a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartEnd {
    /// The worker reported it.
    Reported(TaskState),
    /// It was not sent, or refused without a doubt.
    NotStarted,
    /// Its worker is gone, was restarted, or has been silent beyond the lease.
    WorkerLost,
}

/// Why an attempt is being stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HaltReason {
    Cancelled,
    Expired,
    Reclaimed,
    /// A worker that is leaving or ejected takes no new part.
    Withdrawn,
    PartFailed(String),
}

/// An attempt that is being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Halt {
    pub(crate) reason: HaltReason,
    /// Until when parts may write a checkpoint first.
    pub(crate) checkpoint_until: Option<Millis>,
}

#[derive(Clone, Debug)]
pub(crate) struct PartRun {
    pub(crate) worker: WorkerName,
    pub(crate) incarnation: Incarnation,
    /// Start commands sent, and those that certainly did nothing.
    pub(crate) starts_sent: u32,
    pub(crate) starts_void: u32,
    pub(crate) refused: Option<String>,
    pub(crate) last_state: Option<TaskState>,
    pub(crate) progress: u32,
    /// Progress that a reclaim wants to see exceeded.
    pub(crate) start_progress: u32,
    pub(crate) answer: Option<String>,
    pub(crate) end: Option<PartEnd>,
}

impl PartRun {
    /// Whether no start command can have reached the worker.
    pub(crate) fn not_started(&self) -> bool {
        self.starts_sent == self.starts_void
    }
}

/// The attempt of a job that is placed.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: Attempt,
    pub(crate) parts: Vec<PartRun>,
    /// `Released` is committed; always true for a gang of one, which starts running.
    pub(crate) released: bool,
    /// `Released` is being committed.
    pub(crate) releasing: bool,
    pub(crate) halt: Option<Halt>,
    /// The record of its end is being committed.
    pub(crate) completed: bool,
    /// Whether the planner counts it.
    pub(crate) in_planner: bool,
    pub(crate) running_since: Option<Millis>,
    /// When the workers of its open parts were looked at last, and the oldest of their last reports; none if one has
    /// not reported in this term.
    pub(crate) checked_at: Option<Millis>,
    pub(crate) oldest_report: Option<Millis>,
}

impl Run {
    /// An attempt that this scheduler placed.
    pub(crate) fn placed(attempt: Attempt, parts: &[Part], progress: &[u32]) -> Self {
        let parts: Vec<PartRun> = parts
            .iter()
            .zip(progress.iter().copied().chain(std::iter::repeat(0)))
            .map(|(part, progress)| PartRun {
                worker: part.worker.clone(),
                incarnation: part.incarnation,
                starts_sent: 0,
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

    /// An attempt found in the journal: the scheduler before may have sent every start.
    pub(crate) fn recovered(entry: &JobState, placement: &Placement, now: Millis) -> Self {
        let mut run = Self::placed(entry.attempt, &placement.parts, &entry.progress);
        run.released |= placement.released;
        run.in_planner = false;
        run.running_since = run.released.then_some(now);
        for part in &mut run.parts {
            part.starts_sent = 1;
        }
        run
    }

    pub(crate) fn task(&self, job: JobId, part: usize) -> TaskId {
        TaskId {
            job,
            attempt: self.attempt,
            part: part as u32,
        }
    }

    /// Whether any part may have done work.
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

    /// Whether a stop may follow now, rather than a checkpoint first.
    pub(crate) fn may_stop(&self, now: Millis, idempotent: bool) -> bool {
        let Some(until) = self.halt.as_ref().and_then(|halt| halt.checkpoint_until) else {
            return true;
        };
        let saved = self
            .parts
            .iter()
            .all(|part| part.end.is_some() || part.progress > part.start_progress);
        // Without a checkpoint, work that is not idempotent could not be resumed.
        saved || (idempotent && now >= until)
    }
}

/// The stronger of two statements on whether work ran.
pub(crate) fn combine_ran(a: Ran, b: Ran) -> Ran {
    match (a, b) {
        (Ran::Yes, _) | (_, Ran::Yes) => Ran::Yes,
        (Ran::Unknown, _) | (_, Ran::Unknown) => Ran::Unknown,
        (Ran::No, Ran::No) => Ran::No,
    }
}

impl ActiveScheduler {
    /// Makes `run` the attempt in progress of a job.
    pub(crate) fn begin_run(&mut self, now: Millis, job: JobId, run: Run) {
        for (index, part) in run.parts.iter().enumerate() {
            let elected = self.elected_at;
            let upstream = self.upstream(&part.worker, elected);
            upstream.parts.insert(run.task(job, index));
            self.dirty_workers.insert(part.worker.clone());
        }
        self.runs.insert(job, run);
        self.dirty_jobs.insert(job);
        self.register_adopted(now, job);
    }

    /// Ends the attempt in progress of a job once its record is committed.
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

    /// Compares the attempt of a job with what its workers report, and acts on the difference.
    pub(crate) fn review_job(&mut self, now: Millis, job: JobId) {
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
        self.observe(now, entry, run);
        if run.halt.is_none()
            && let Some(why) = self.must_halt(now, entry, run)
        {
            self.halt(
                run,
                Halt {
                    reason: why,
                    checkpoint_until: None,
                },
            );
        }
        if run.halt.is_some() {
            self.settle_unsent(run);
        }
        if run.parts.iter().all(|part| part.end.is_some()) {
            run.completed = true;
            self.complete_run(now, entry, run);
            return;
        }
        if run.halt.is_none() {
            self.go_on(now, entry, run);
        } else if let Some(until) = run.halt.as_ref().and_then(|halt| halt.checkpoint_until) {
            self.mark_workers_dirty(run);
            if until > now {
                self.job_timers.insert((until, entry.id));
            }
        }
    }

    /// Brings the parts up to date with the inventories.
    fn observe(&mut self, now: Millis, entry: &JobState, run: &mut Run) {
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
                let lapsed = upstream.lapses_at();
                // Nothing proves that a part which is not idempotent did not run on.
                let provable = entry.spec.idempotent || (!single && never_released);
                if provable && now >= lapsed {
                    part.end = Some(PartEnd::WorkerLost);
                } else if provable {
                    // A reply may bring the time forward.
                    self.job_timers.insert((lapsed.min(now + RECHECK), entry.id));
                }
            }
            if part.end.is_some() && run.in_planner {
                self.planner.apply(now, Change::PartEnded(entry.id, index as u32));
                self.replan = true;
            }
        }
    }

    fn must_halt(&self, now: Millis, entry: &JobState, run: &Run) -> Option<HaltReason> {
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
            let closed = upstream.leaving || self.ejector.is_ejected(now, &part.worker);
            if closed && upstream.synced && part.last_state.is_none() && startable {
                return Some(HaltReason::Withdrawn);
            }
        }
        let begun = if run.parts.len() == 1 {
            run.parts.iter().any(|part| !part.not_started())
        } else {
            run.released || run.releasing
        };
        (!begun && self.past_deadline(entry)).then_some(HaltReason::Expired)
    }

    pub(crate) fn past_deadline(&self, entry: &JobState) -> bool {
        entry.spec.deadline.is_some_and(|span| self.wall >= entry.wall + span)
    }

    pub(crate) fn halt(&mut self, run: &mut Run, halt: Halt) {
        run.halt = Some(halt);
        self.mark_workers_dirty(run);
    }

    fn mark_workers_dirty(&mut self, run: &Run) {
        self.dirty_workers
            .extend(run.parts.iter().map(|part| part.worker.clone()));
    }

    fn settle_unsent(&mut self, run: &mut Run) {
        for part in &mut run.parts {
            if part.end.is_none() && part.not_started() && part.refused.is_none() {
                part.end = Some(PartEnd::NotStarted);
            }
        }
    }

    /// Releases a gang whose parts are all held, and notes when the whole gang runs.
    fn go_on(&mut self, now: Millis, entry: &JobState, run: &mut Run) {
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
