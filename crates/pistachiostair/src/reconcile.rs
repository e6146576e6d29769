//! Workers: merges the supervisors' reports into what is known of each worker, and detects unresponsive workers.
//!
//! A supervisor polls its workers and forwards their changes; `dispatch` compares the result with the parts placed on
//! the worker. A worker is unresponsive if its polls fail or no supervisor reports it; its tasks count as stopped
//! once their leases must have lapsed.

use std::collections::{BTreeMap, BTreeSet};

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::dispatch::{CommandKind, TASK_LEASE};
use crate::gang::PartRun;
use crate::ids::{Incarnation, JobId, TaskId, WorkerName};
use crate::planner::Change;
use crate::resource::{MemberState, WorkerInfo};
use crate::worker::{BatchReply, Changes, Command, CommandBatch, CommandResult, TaskView};

/// A worker whose polls fail is unresponsive after this time since its last report, and gets no new work.
const UNANSWERED_TIMEOUT: Millis = Millis(4_000);
/// A worker that no supervisor reports on is unresponsive after this time, which leaves time for another daemon to
/// become its supervisor.
const UNREPORTED_TIMEOUT: Millis = Millis(10_000);
/// Time after the last possible renewal after which a task has stopped by itself: its lease and 1 s for a worker's
/// clock that is up to 5% slow.
pub(crate) const LEASE_LAPSE: Millis = Millis(TASK_LEASE.0 + 1_000);
/// Replaces [`LEASE_LAPSE`] while a batch has no reply: such a batch counts as waiting to be sent for at most this
/// long.
const UNREPLIED_LAPSE: Millis = Millis(60_000);
/// Earlier incarnations of a worker that are remembered, in order to ignore their late reports.
const MAX_PAST_INCARNATIONS: usize = 16;
/// Most deferred reports of a worker.
const MAX_DEFERRED: usize = 64;

/// What the scheduler knows about a worker in this term.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Location and size; `None` before the first report.
    pub(crate) info: Option<WorkerInfo>,
    pub(crate) incarnation: Incarnation,
    past_incarnations: Vec<Incarnation>,
    /// Reports of a lower incarnation that seem to be late. They are merged if that incarnation proves to be newer.
    deferred: Vec<Changes>,
    /// Number of the newest change reported.
    pub(crate) last_change: u64,
    /// Whether its whole inventory was reported in this term and incarnation.
    pub(crate) synced: bool,
    /// The worker or the platform's list says that it is leaving.
    pub(crate) leaving: bool,
    /// It is no longer on the platform's list; its tasks are taken as ended.
    pub(crate) gone: bool,
    /// It gets no new work, and only stop commands.
    pub(crate) unresponsive: bool,
    pub(crate) last_report: Millis,
    /// The worker's own clock, and the scheduler's time when that was reported.
    pub(crate) clock: Option<(Millis, Millis)>,
    /// The supervisor's last poll failed.
    unanswered: bool,
    /// Its inventory.
    pub(crate) tasks: BTreeMap<TaskId, TaskView>,
    /// Parts of attempts in progress that are placed on it.
    pub(crate) parts: BTreeSet<TaskId>,
    /// The last command sent for each task and when, until the inventory shows its effect.
    pub(crate) sent: BTreeMap<TaskId, (CommandKind, Millis)>,
    /// When leases were last renewed; earlier than that if the next renewal is due before a whole interval.
    pub(crate) renewed: Option<Millis>,
    /// Latest time at which a command that starts or renews a lease can have reached it.
    pub(crate) last_contact: Millis,
    /// Number of batches with such commands that have no reply yet: they may still wait to be sent.
    pub(crate) unreplied: u32,
    /// When it becomes dirty; also in [`ActiveScheduler::worker_timers`].
    pub(crate) timer: Option<Millis>,
    /// What the planner was last told of it.
    pub(crate) planner_view: Option<(WorkerInfo, MemberState)>,
}

impl Upstream {
    fn new(last_report: Millis) -> Self {
        Self {
            info: None,
            incarnation: Incarnation(0),
            past_incarnations: Vec::new(),
            deferred: Vec::new(),
            last_change: 0,
            synced: false,
            leaving: false,
            gone: false,
            unresponsive: false,
            last_report,
            clock: None,
            unanswered: false,
            tasks: BTreeMap::new(),
            parts: BTreeSet::new(),
            sent: BTreeMap::new(),
            renewed: None,
            last_contact: last_report,
            unreplied: 0,
            timer: None,
            planner_view: None,
        }
    }

    /// Time from which no task can still run if no lease is renewed any more; later while a batch may wait to be sent.
    pub(crate) fn lapses_at(&self) -> Millis {
        let span = if self.unreplied > 0 {
            UNREPLIED_LAPSE
        } else {
            LEASE_LAPSE
        };
        self.last_contact + span
    }

    /// Merges a report. Returns false if it belongs to an earlier incarnation or is deferred.
    fn merge(&mut self, now: Millis, changes: &Changes) -> bool {
        // A report of a lower incarnation is late while the worker still reports a higher one, even if the lower one
        // was never seen in this term. Without such reports for a lease's time, the worker may have restarted after
        // its clock, from which incarnations are usually made, was set back.
        let late = changes.incarnation < self.incarnation && now.since(self.last_report) < LEASE_LAPSE;
        if self.past_incarnations.contains(&changes.incarnation) {
            return false;
        }
        if late {
            self.defer(changes);
            return false;
        }
        if self.incarnation != changes.incarnation {
            if self.synced {
                self.past_incarnations.push(self.incarnation);
                let excess = self.past_incarnations.len().saturating_sub(MAX_PAST_INCARNATIONS);
                self.past_incarnations.drain(..excess);
            }
            self.incarnation = changes.incarnation;
            self.last_change = 0;
            self.synced = false;
            self.leaving = false;
            self.tasks.clear();
            self.sent.clear();
            self.renewed = None;
            for changes in std::mem::take(&mut self.deferred) {
                if changes.incarnation == self.incarnation {
                    self.merge_tasks(&changes);
                }
            }
        }
        self.merge_tasks(changes);
        true
    }

    /// Keeps a report that seems to be late, since its supervisor does not send its content again.
    fn defer(&mut self, changes: &Changes) {
        if changes.full || self.deferred.len() == MAX_DEFERRED {
            self.deferred.clear();
        }
        if changes.full || !changes.tasks.is_empty() {
            self.deferred.push(changes.clone());
        }
    }

    /// Merges the tasks and properties of a report of the present incarnation.
    fn merge_tasks(&mut self, changes: &Changes) {
        if changes.full && (changes.change >= self.last_change || !self.synced) {
            self.tasks = changes.tasks.iter().map(|view| (view.task, view.clone())).collect();
            self.synced = true;
        } else if self.synced {
            for view in &changes.tasks {
                let known = self.tasks.get(&view.task);
                if known.is_none_or(|known| known.change <= view.change) {
                    self.tasks.insert(view.task, view.clone());
                }
            }
        }
        self.last_change = self.last_change.max(changes.change);
        self.info = Some(changes.info.clone());
        self.leaving |= changes.leaving;
    }

    /// State for callers and the planner: `drained` and not `settled` both mean that it gets no new work.
    pub(crate) fn member_state(&self, drained: bool, settled: bool) -> MemberState {
        if self.unresponsive {
            MemberState::Dead
        } else if self.leaving || drained || !settled {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }
}

impl ActiveScheduler {
    /// The worker's state, created as if it had last reported at `last_report` if it is not known.
    pub(crate) fn upstream(&mut self, worker: &WorkerName, last_report: Millis) -> &mut Upstream {
        self.workers
            .entry(worker.clone())
            .or_insert_with(|| Upstream::new(last_report))
    }

    /// Handles a supervisor's report on a worker; `None` if the worker did not answer.
    pub(crate) fn report(&mut self, now: Millis, worker: WorkerName, changes: Option<Changes>) {
        let Some(changes) = changes else {
            if let Some(upstream) = self.workers.get_mut(&worker) {
                upstream.unanswered = true;
            }
            return;
        };
        if changes.term > self.term {
            self.superseded = true;
            return;
        }
        let leaving = self.listed_state(&worker) == Some(MemberState::Leaving);
        let upstream = self.upstream(&worker, now);
        if !upstream.merge(now, &changes) {
            return;
        }
        upstream.leaving |= leaving;
        upstream.last_report = now;
        if let Some(clock) = changes.clock {
            upstream.clock = Some((clock, now));
        }
        upstream.unanswered = false;
        upstream.gone = false;
        // Only the jobs of reported tasks become dirty: most reports of a busy worker contain nothing new.
        let parts: Vec<TaskId> = match changes.full || upstream.leaving {
            true => upstream.parts.iter().copied().collect(),
            false => changes.tasks.iter().map(|view| view.task).collect(),
        };
        self.set_unresponsive(now, &worker, false);
        for view in &changes.tasks {
            if !view.state.is_final() && self.runs.contains_key(&view.task.job) {
                self.planner.apply(now, Change::Usage(view.task.job, view.usage));
            }
        }
        self.sync_worker(now, &worker);
        for job in parts.iter().map(|task| task.job) {
            self.register_recovered(now, job);
            self.dirty_jobs.insert(job);
        }
        self.dirty_workers.insert(worker);
    }

    fn set_unresponsive(&mut self, now: Millis, worker: &WorkerName, unresponsive: bool) {
        let Some(upstream) = self.workers.get_mut(worker) else {
            return;
        };
        if upstream.unresponsive == unresponsive {
            return;
        }
        upstream.unresponsive = unresponsive;
        let jobs: Vec<JobId> = upstream.parts.iter().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.dirty_workers.insert(worker.clone());
        self.sync_worker(now, worker);
    }

    /// Marks workers that became unresponsive or gone, and those whose timer is due.
    pub(crate) fn check_workers(&mut self, now: Millis) {
        let unresponsive: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, upstream)| {
                let span = now.since(upstream.last_report);
                !upstream.unresponsive
                    && (span >= UNREPORTED_TIMEOUT || (upstream.unanswered && span >= UNANSWERED_TIMEOUT))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for worker in unresponsive {
            self.set_unresponsive(now, &worker, true);
        }
        for worker in self.find_unlisted(now) {
            self.mark_gone(now, &worker);
        }
        while let Some((at, worker)) = self.worker_timers.first().cloned()
            && at <= now
        {
            self.worker_timers.pop_first();
            if let Some(upstream) = self.workers.get_mut(&worker) {
                upstream.timer = None;
            }
            self.dirty_workers.insert(worker);
        }
    }

    /// Tells the planner about a worker whose size or state changed. A worker with parts of attempts that the planner
    /// does not know yet gets nothing new.
    pub(crate) fn sync_worker(&mut self, now: Millis, worker: &WorkerName) {
        let drained = self.state.drained.contains(worker) || self.ejector.is_ejected(now, worker);
        let Some(upstream) = self.workers.get(worker) else {
            return;
        };
        let Some(info) = upstream.info.clone().filter(|_| upstream.synced && !upstream.gone) else {
            return;
        };
        let settled = upstream
            .parts
            .iter()
            .all(|task| self.runs.get(&task.job).is_none_or(|run| run.in_planner));
        let state = upstream.member_state(drained, settled);
        let view = Some((info.clone(), state));
        if upstream.planner_view == view {
            return;
        }
        if let Some(upstream) = self.workers.get_mut(worker) {
            upstream.planner_view = view;
        }
        self.planner.apply(now, Change::Worker { info, state });
        self.replan = true;
    }

    /// Tells the planner about an attempt from before the takeover, once it knows all its workers.
    pub(crate) fn register_recovered(&mut self, now: Millis, job: JobId) {
        let Some(run) = self.runs.get_mut(&job).filter(|run| !run.in_planner && !run.completed) else {
            return;
        };
        let known = |part: &PartRun| self.workers.get(&part.worker).is_some_and(|w| w.planner_view.is_some());
        if !run.parts.iter().all(known) {
            return;
        }
        run.in_planner = true;
        let workers: Vec<WorkerName> = run.parts.iter().map(|part| part.worker.clone()).collect();
        let ended: Vec<u32> = (0..)
            .zip(&run.parts)
            .filter(|(_, part)| part.end.is_some())
            .map(|(index, _)| index)
            .collect();
        let Some(entry) = self.state.job(job) else {
            return;
        };
        let recovered = Change::Adopted {
            job,
            spec: entry.spec.clone(),
            workers: workers.clone(),
        };
        self.planner.apply(now, recovered);
        for part in ended {
            self.planner.apply(now, Change::PartEnded(job, part));
        }
        for worker in workers {
            self.sync_worker(now, &worker);
        }
    }

    /// Handles the reply to a batch; `None` if it was lost.
    pub(crate) fn replied(
        &mut self,
        now: Millis,
        worker: &WorkerName,
        batch: &CommandBatch,
        reply: Option<BatchReply>,
    ) {
        if batch.term != self.term {
            return;
        }
        let leases = batch.commands.iter().any(starts_lease);
        if let Some(upstream) = self.workers.get_mut(worker).filter(|_| leases) {
            upstream.unreplied = upstream.unreplied.saturating_sub(1);
            // A batch without a reply may have arrived at any time up to now.
            if reply.is_none() {
                upstream.last_contact = upstream.last_contact.max(now);
            }
        }
        match reply {
            // The commands are sent again. An expired batch had no effect.
            None | Some(BatchReply::Expired) => {}
            Some(BatchReply::OldTerm { term }) => self.superseded |= term > self.term,
            Some(BatchReply::OtherIncarnation { .. } | BatchReply::Undelivered) => self.void_starts(batch),
            Some(BatchReply::Done { results }) => {
                for (command, result) in batch.commands.iter().zip(results) {
                    self.result(worker, command, result);
                }
            }
        }
        self.dirty_workers.insert(worker.clone());
    }

    /// The part that belongs to a task, if its attempt is in progress.
    fn part_mut(&mut self, task: TaskId) -> Option<&mut PartRun> {
        let run = self.runs.get_mut(&task.job)?;
        let parts = (run.attempt == task.attempt).then_some(&mut run.parts)?;
        parts.get_mut(task.part as usize)
    }

    /// Counts the start commands of a batch of which nothing was carried out.
    fn void_starts(&mut self, batch: &CommandBatch) {
        for command in &batch.commands {
            let Command::Start(start) = command else {
                continue;
            };
            if let Some(part) = self.part_mut(start.task) {
                part.starts_void += 1;
            }
            self.dirty_jobs.insert(start.task.job);
        }
    }

    /// Handles the result of one command.
    fn result(&mut self, worker: &WorkerName, command: &Command, result: CommandResult) {
        match (command, result) {
            (Command::Start(start), CommandResult::Refused { reason }) => {
                // A copy of the start command may still arrive; the stop command that follows prevents its effect.
                if let Some(part) = self.part_mut(start.task) {
                    part.refused = Some(reason);
                    self.dirty_jobs.insert(start.task.job);
                }
            }
            (Command::Forget { tasks }, CommandResult::Ok) => {
                if let Some(upstream) = self.workers.get_mut(worker) {
                    for task in tasks {
                        upstream.tasks.remove(task);
                        upstream.sent.remove(task);
                    }
                }
            }
            _ => {}
        }
    }
}

/// Whether the command starts or renews a lease.
pub(crate) fn starts_lease(command: &Command) -> bool {
    matches!(
        command,
        Command::Start(_) | Command::Release { .. } | Command::Renew { .. }
    )
}
