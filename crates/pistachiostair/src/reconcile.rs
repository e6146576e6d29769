//! Workers as their supervisors report them.

use std::collections::{BTreeMap, BTreeSet};

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::dispatch::{CommandKind, TASK_LEASE};
use crate::gang::PartRun;
use crate::ids::{Incarnation, JobId, TaskId, WorkerName};
use crate::planner::Change;
use crate::resource::{MemberState, WorkerInfo};
use crate::worker::{BatchReply, Changes, Command, CommandBatch, CommandResult, TaskView};

/// A worker that does not respond for this long gets no new work.
const SILENT: Millis = Millis(4_000);
/// A worker of which no supervisor reports anything is taken for silent after this span, which
/// leaves time for another daemon to become its supervisor.
const UNHEARD: Millis = Millis(10_000);
/// Span after the last possible renewal after which a task has stopped by itself: its lease and
/// 1 s for a worker's clock that runs up to 5% slower.
pub(crate) const LEASE_LAPSE: Millis = Millis(TASK_LEASE.0 + 1_000);
/// A batch without a reply counts as waiting to be sent for at most this long.
const MAX_OPEN: Millis = Millis(60_000);
/// Earlier incarnations remembered for each worker, whose late reports are ignored.
const MAX_PAST: usize = 16;
/// Reports of a lower incarnation that are held back for each worker.
const MAX_LATE: usize = 64;

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) info: Option<WorkerInfo>,
    pub(crate) incarnation: Incarnation,
    past_incarnations: Vec<Incarnation>,
    /// Reports that were taken for late ones of a lower incarnation, until that is certain.
    deferred: Vec<Changes>,
    /// Newest change seen.
    pub(crate) last_change: u64,
    /// Whether its whole inventory was reported in this term.
    pub(crate) synced: bool,
    pub(crate) leaving: bool,
    pub(crate) gone: bool,
    pub(crate) unresponsive: bool,
    pub(crate) last_report: Millis,
    /// Its own clock, and when that was reported.
    pub(crate) clock: Option<(Millis, Millis)>,
    unanswered: bool,
    /// Its inventory.
    pub(crate) tasks: BTreeMap<TaskId, TaskView>,
    /// Parts of attempts in progress that are placed on it.
    pub(crate) parts: BTreeSet<TaskId>,
    /// The last command sent for each task, until the inventory agrees.
    pub(crate) sent: BTreeMap<TaskId, (CommandKind, Millis)>,
    pub(crate) renewed: Option<Millis>,
    /// When a command that starts a lease or renews it can have reached it last.
    pub(crate) last_contact: Millis,
    /// Batches with such commands that have no reply yet: they may still wait to be sent.
    pub(crate) unreplied: u32,
    pub(crate) timer: Option<Millis>,
    pub(crate) planner_view: Option<(WorkerInfo, MemberState)>,
}

impl Upstream {
    fn new(heard: Millis) -> Self {
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
            last_report: heard,
            clock: None,
            unanswered: false,
            tasks: BTreeMap::new(),
            parts: BTreeSet::new(),
            sent: BTreeMap::new(),
            renewed: None,
            last_contact: heard,
            unreplied: 0,
            timer: None,
            planner_view: None,
        }
    }

    /// When no task can still run without a further renewal; later if a batch waits to be sent.
    pub(crate) fn lapses_at(&self) -> Millis {
        let span = if self.unreplied > 0 { MAX_OPEN } else { LEASE_LAPSE };
        self.last_contact + span
    }

    /// Merges a report; false if it is older than what is known.
    fn merge(&mut self, now: Millis, changes: &Changes) -> bool {
        // A lower incarnation is a late report while the worker still reports a higher one, even if this
        // term never saw the lower one. After that the worker's clock, from which incarnations are
        // usually made, may have been set back.
        let late = changes.incarnation < self.incarnation && now.since(self.last_report) < LEASE_LAPSE;
        if self.past_incarnations.contains(&changes.incarnation) {
            return false;
        }
        if late {
            self.hold_back(changes);
            return false;
        }
        if self.incarnation != changes.incarnation {
            if self.synced {
                self.past_incarnations.push(self.incarnation);
                let excess = self.past_incarnations.len().saturating_sub(MAX_PAST);
                self.past_incarnations.drain(..excess);
            }
            self.incarnation = changes.incarnation;
            self.last_change = 0;
            self.synced = false;
            self.leaving = false;
            self.tasks.clear();
            self.sent.clear();
            self.renewed = None;
            for held in std::mem::take(&mut self.deferred) {
                if held.incarnation == self.incarnation {
                    self.take_tasks(&held);
                }
            }
        }
        self.take_tasks(changes);
        true
    }

    /// Keeps a report, since its supervisor does not send its content again.
    fn hold_back(&mut self, changes: &Changes) {
        if changes.full || self.deferred.len() == MAX_LATE {
            self.deferred.clear();
        }
        if changes.full || !changes.tasks.is_empty() {
            self.deferred.push(changes.clone());
        }
    }

    fn take_tasks(&mut self, changes: &Changes) {
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
    pub(crate) fn upstream(&mut self, worker: &WorkerName, heard: Millis) -> &mut Upstream {
        self.workers
            .entry(worker.clone())
            .or_insert_with(|| Upstream::new(heard))
    }

    /// Takes in a supervisor's report.
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
        // Only what changed is looked at: most reports of a busy worker contain nothing new.
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
            self.register_adopted(now, job);
            self.dirty_jobs.insert(job);
        }
        self.dirty_workers.insert(worker);
    }

    fn set_unresponsive(&mut self, now: Millis, worker: &WorkerName, silent: bool) {
        let Some(upstream) = self.workers.get_mut(worker) else {
            return;
        };
        if upstream.unresponsive == silent {
            return;
        }
        upstream.unresponsive = silent;
        let jobs: Vec<JobId> = upstream.parts.iter().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.dirty_workers.insert(worker.clone());
        self.sync_worker(now, worker);
    }

    /// Finds workers that stopped responding, and wakes those with commands due.
    pub(crate) fn watch_workers(&mut self, now: Millis) {
        let silent: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, upstream)| {
                let span = now.since(upstream.last_report);
                !upstream.unresponsive && (span >= UNHEARD || (upstream.unanswered && span >= SILENT))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for worker in silent {
            self.set_unresponsive(now, &worker, true);
        }
        for worker in self.find_unlisted(now) {
            self.gone(now, &worker);
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

    /// Tells the planner about a worker, if that changed. A worker with parts of attempts that the
    /// planner does not count yet takes nothing new.
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
        let told = Some((info.clone(), state));
        if upstream.planner_view == told {
            return;
        }
        if let Some(upstream) = self.workers.get_mut(worker) {
            upstream.planner_view = told;
        }
        self.planner.apply(now, Change::Worker { info, state });
        self.replan = true;
    }

    /// Has the planner count an adopted attempt once it knows all its workers.
    pub(crate) fn register_adopted(&mut self, now: Millis, job: JobId) {
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
        let adopted = Change::Adopted {
            job,
            spec: entry.spec.clone(),
            workers: workers.clone(),
        };
        self.planner.apply(now, adopted);
        for part in ended {
            self.planner.apply(now, Change::PartEnded(job, part));
        }
        for worker in workers {
            self.sync_worker(now, &worker);
        }
    }

    /// Takes in the reply to commands.
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
            // Without a reply the commands may still arrive up to now.
            if reply.is_none() {
                upstream.last_contact = upstream.last_contact.max(now);
            }
        }
        match reply {
            // The commands are sent again; what expired had no effect.
            None | Some(BatchReply::Expired) => {}
            Some(BatchReply::OldTerm { term }) => self.superseded |= term > self.term,
            Some(BatchReply::OtherIncarnation { .. } | BatchReply::Undelivered) => self.deny(batch),
            Some(BatchReply::Done { results }) => {
                for (command, result) in batch.commands.iter().zip(results) {
                    self.result(worker, command, result);
                }
            }
        }
        self.dirty_workers.insert(worker.clone());
    }

    /// The part that a task is, if its attempt is in progress.
    fn part_mut(&mut self, task: TaskId) -> Option<&mut PartRun> {
        let run = self.runs.get_mut(&task.job)?;
        let parts = (run.attempt == task.attempt).then_some(&mut run.parts)?;
        parts.get_mut(task.part as usize)
    }

    /// Nothing of the batch was carried out.
    fn deny(&mut self, batch: &CommandBatch) {
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

    fn result(&mut self, worker: &WorkerName, command: &Command, result: CommandResult) {
        match (command, result) {
            (Command::Start(start), CommandResult::Refused { reason }) => {
                // A copy of the command may still arrive: a stop follows, which rules that out.
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

/// Whether the command starts a lease or renews it.
pub(crate) fn starts_lease(command: &Command) -> bool {
    matches!(
        command,
        Command::Start(_) | Command::Release { .. } | Command::Renew { .. }
    )
}
