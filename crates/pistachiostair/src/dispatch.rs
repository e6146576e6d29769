//! Commands to workers: for each worker, the difference between the parts that are placed on it and its reported
//! inventory.
//!
//! Commands are idempotent and are sent again until the inventory shows their effect. Running tasks need a renewed
//! lease, without which they stop by themselves.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::gang::{HaltReason, Run};
use crate::ids::{TaskId, WorkerName};
use crate::reconcile::{Upstream, starts_lease};
use crate::scheduler::Action;
use crate::worker::{Command, CommandBatch, Start, TaskState, TaskView};

/// Time after which a worker refuses a batch, on its own clock: longer than commands take to arrive even if the clock
/// was read 2.5 s before it was reported, and shorter than any lease.
const BATCH_VALIDITY: Millis = Millis(6_000);
/// Lease of a task: without renewal for this long it stops by itself.
pub(crate) const TASK_LEASE: Millis = Millis(15_000);
/// Time between renewals: two may be lost before a lease ends.
const RENEW_INTERVAL: Millis = Millis(5_000);
/// Time after which a command is sent again if the inventory does not show its effect.
const RESEND_INTERVAL: Millis = Millis(1_000);

/// Time for which [`Run::oldest_report`] is reused. An older value only shortens a lease.
const GANG_CHECK_INTERVAL: Millis = Millis(1_000);

/// Kind of a command for one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandKind {
    Start,
    Release,
    Checkpoint,
    Stop,
    Forget,
}

impl Upstream {
    /// Time on the worker's own clock after which it refuses a batch that is sent now; `None` if it reported no clock.
    fn expiry(&self, now: Millis) -> Option<Millis> {
        self.clock
            .map(|(clock, read_at)| clock + now.since(read_at) + BATCH_VALIDITY)
    }
}

impl ActiveScheduler {
    /// Sends a worker the commands that it needs, unless the same were sent less than a resend interval ago. A worker
    /// that is gone and has no parts left is dropped.
    pub(crate) fn dispatch(&mut self, now: Millis, worker: &WorkerName) {
        let Some(mut upstream) = self.workers.remove(worker) else {
            return;
        };
        if upstream.gone {
            if !upstream.parts.is_empty() {
                self.workers.insert(worker.clone(), upstream);
            }
            return;
        }
        if upstream.synced {
            let needed = self.needed_commands(now, &upstream);
            self.send(now, worker, &mut upstream, needed);
        }
        self.workers.insert(worker.clone(), upstream);
    }

    /// The command that each task needs: those of parts placed here, and stop or forget for tasks that no attempt in
    /// progress contains.
    fn needed_commands(&self, now: Millis, upstream: &Upstream) -> Vec<(TaskId, CommandKind)> {
        let placed = upstream.parts.iter().filter_map(|task| {
            let run = self.runs.get(&task.job)?;
            let kind = self.needed_command(now, run, *task, upstream.tasks.get(task))?;
            Some((*task, kind))
        });
        let stray = upstream.tasks.values().filter_map(|view| {
            let kind = match view.state.is_final() {
                true => CommandKind::Forget,
                false => CommandKind::Stop,
            };
            (!upstream.parts.contains(&view.task)).then_some((view.task, kind))
        });
        // An unresponsive worker only gets stop commands, since it may still receive them.
        placed
            .chain(stray)
            .filter(|(_, kind)| !upstream.unresponsive || *kind == CommandKind::Stop)
            .collect()
    }

    /// The command that a part of a run needs, given its entry in the worker's inventory.
    fn needed_command(&self, now: Millis, run: &Run, task: TaskId, view: Option<&TaskView>) -> Option<CommandKind> {
        let part = run.parts.get(task.part as usize)?;
        if run.completed || part.end.is_some() {
            return None;
        }
        if let Some(halt) = &run.halt {
            let idempotent = self.state.job(task.job).is_some_and(|entry| entry.spec.idempotent);
            let stop = halt.reason != HaltReason::Reclaimed || run.may_stop(now, idempotent);
            return Some(if stop {
                CommandKind::Stop
            } else {
                CommandKind::Checkpoint
            });
        }
        match view.map(|view| view.state) {
            None if self.lease_held => Some(CommandKind::Start),
            Some(TaskState::Held) if run.released && self.lease_held => Some(CommandKind::Release),
            _ => None,
        }
    }

    /// Sends the commands that are due and the renewal of leases in one batch.
    fn send(&mut self, now: Millis, worker: &WorkerName, upstream: &mut Upstream, needed: Vec<(TaskId, CommandKind)>) {
        upstream
            .sent
            .retain(|task, _| needed.iter().any(|(other, _)| other == task));
        let waits = !needed.is_empty();
        let due: Vec<(TaskId, CommandKind)> = needed
            .into_iter()
            .filter(|(task, kind)| {
                let sent = upstream.sent.get(task);
                sent.is_none_or(|(last, at)| last != kind || now.since(*at) >= RESEND_INTERVAL)
            })
            .collect();
        for (task, kind) in &due {
            upstream.sent.insert(*task, (*kind, now));
        }
        let mut commands = self.commands(now, upstream, &due);
        commands.extend(self.renewal(now, upstream));
        if commands.iter().any(starts_lease) {
            upstream.last_contact = now;
            upstream.unreplied += 1;
        }
        if !commands.is_empty() {
            let batch = CommandBatch {
                term: self.term,
                incarnation: upstream.incarnation,
                expires: upstream.expiry(now),
                commands,
            };
            let worker = worker.clone();
            self.actions.push(Action::Send { worker, batch });
        }
        self.set_timer(worker, upstream, waits.then_some(now + RESEND_INTERVAL));
    }

    /// Sends a batch without commands. Its reply shows whether commands reach the worker, and it changes nothing there.
    pub(crate) fn send_probe(&mut self, now: Millis, worker: &WorkerName) {
        let Some(upstream) = self.workers.get(worker) else {
            return;
        };
        let batch = CommandBatch {
            term: self.term,
            incarnation: upstream.incarnation,
            expires: upstream.expiry(now),
            commands: Vec::new(),
        };
        let worker = worker.clone();
        self.actions.push(Action::Send { worker, batch });
    }

    /// Has the worker become dirty when a command is sent again or its leases are renewed, whichever comes first.
    fn set_timer(&mut self, worker: &WorkerName, upstream: &mut Upstream, resend: Option<Millis>) {
        let renew = upstream.renewed.map(|at| at + RENEW_INTERVAL);
        let next = resend.into_iter().chain(renew).min();
        if let Some(old) = upstream.timer.take() {
            self.worker_timers.remove(&(old, worker.clone()));
        }
        if let Some(next) = next {
            self.worker_timers.insert((next, worker.clone()));
        }
        upstream.timer = next;
    }

    /// The commands for the tasks that are due, in the order in which the worker carries them out.
    fn commands(&mut self, now: Millis, upstream: &Upstream, due: &[(TaskId, CommandKind)]) -> Vec<Command> {
        let of = |kind: CommandKind| due.iter().filter(move |(_, k)| *k == kind).map(|(task, _)| *task);
        let mut commands: Vec<Command> = of(CommandKind::Stop).map(|task| Command::Stop { task }).collect();
        commands.extend(of(CommandKind::Checkpoint).map(|task| Command::Checkpoint { task }));
        let forget: Vec<TaskId> = of(CommandKind::Forget).collect();
        if !forget.is_empty() {
            commands.push(Command::Forget { tasks: forget });
        }
        for task in of(CommandKind::Start) {
            commands.extend(self.start(task).map(Command::Start));
        }
        let release: Vec<TaskId> = of(CommandKind::Release).collect();
        if !release.is_empty() {
            self.check_gangs(now, upstream, &release);
            let lease = self.gang_lease(now, &release);
            commands.push(Command::Release { tasks: release, lease });
        }
        commands
    }

    /// The start command for a part, counted as sent; a gang's part starts held.
    fn start(&mut self, task: TaskId) -> Option<Start> {
        let entry = self.state.job(task.job)?;
        let run = self.runs.get_mut(&task.job)?;
        let held = run.parts.len() > 1;
        let part = run.parts.get_mut(task.part as usize)?;
        part.starts_sent += 1;
        Some(Start {
            task,
            held,
            lease: TASK_LEASE,
            accelerators: entry.spec.shape.accelerators,
            size: entry.spec.size,
            payload: entry.spec.payload.clone(),
            runtime: entry.spec.runtime,
            progress: entry.progress.get(task.part as usize).copied().unwrap_or(0),
        })
    }

    /// The renewal of a worker's leases, if it is due. Parts that must end are excluded, so that they stop by
    /// themselves even if no stop command reaches them.
    fn renewal(&mut self, now: Millis, upstream: &mut Upstream) -> Option<Command> {
        let due = upstream.renewed.is_none_or(|at| now.since(at) >= RENEW_INTERVAL);
        if upstream.unresponsive || !due {
            return None;
        }
        let open = upstream.tasks.values().filter(|view| !view.state.is_final());
        let open: Vec<TaskId> = open.map(|view| view.task).collect();
        if open.is_empty() {
            return None;
        }
        self.check_gangs(now, upstream, &open);
        let (kept, except): (Vec<TaskId>, Vec<TaskId>) =
            open.into_iter().partition(|task| self.is_renewed(upstream, *task));
        // A gang is not renewed before all its workers have reported in this term. Check that again soon instead of at
        // the next regular renewal.
        let waits = except.iter().any(|task| !self.is_confirmed(*task));
        let next = if waits { RESEND_INTERVAL } else { RENEW_INTERVAL };
        upstream.renewed = Some(Millis((now + next).0.saturating_sub(RENEW_INTERVAL.0)));
        Some(Command::Renew {
            seen: upstream.last_change,
            except,
            lease: self.gang_lease(now, &kept),
        })
    }

    /// Updates [`Run::oldest_report`] of the tasks' gangs, unless that was done less than a check interval ago: a
    /// gang of 128 parts has 128 renewals in 5 s. `upstream` is the worker being dispatched, which is not in
    /// `self.workers`.
    fn check_gangs(&mut self, now: Millis, upstream: &Upstream, tasks: &[TaskId]) {
        for task in tasks {
            let Some(run) = self.runs.get_mut(&task.job).filter(|run| run.parts.len() > 1) else {
                continue;
            };
            if run.checked_at.is_some_and(|at| now.since(at) < GANG_CHECK_INTERVAL) {
                continue;
            }
            let open = run.parts.iter().filter(|part| part.end.is_none());
            let mut reports = open.map(|part| {
                let worker = self.workers.get(&part.worker).unwrap_or(upstream);
                worker.synced.then_some(worker.last_report)
            });
            run.oldest_report = reports.try_fold(now, |oldest, heard| Some(oldest.min(heard?)));
            run.checked_at = Some(now);
        }
    }

    /// The lease to give to `tasks`, counted from now. It ends one whole lease after the oldest of the last reports of
    /// their gangs' workers, so that no part runs longer than that without the others, although the loss of a worker is
    /// noticed only after some seconds.
    fn gang_lease(&self, now: Millis, tasks: &[TaskId]) -> Millis {
        let runs = tasks.iter().filter_map(|task| self.runs.get(&task.job));
        let gangs = runs.filter(|run| run.parts.len() > 1);
        let age = gangs
            .filter_map(|run| run.oldest_report)
            .map(|heard| now.since(heard))
            .max();
        Millis(TASK_LEASE.0.saturating_sub(age.unwrap_or_default().0))
    }

    /// Whether the task's lease is renewed: its attempt goes on, or may still write a checkpoint before it is stopped.
    fn is_renewed(&self, upstream: &Upstream, task: TaskId) -> bool {
        let Some(run) = self.runs.get(&task.job).filter(|_| upstream.parts.contains(&task)) else {
            return false;
        };
        let goes_on = match &run.halt {
            None => true,
            Some(halt) => halt.reason == HaltReason::Reclaimed && halt.checkpoint_until.is_some(),
        };
        goes_on && self.is_confirmed(task)
    }

    /// Whether all workers of the task's gang have reported in this term. Until then it is not known whether the whole
    /// gang runs, and no lease is renewed.
    fn is_confirmed(&self, task: TaskId) -> bool {
        let run = self.runs.get(&task.job);
        run.is_none_or(|run| run.parts.len() == 1 || run.oldest_report.is_some())
    }
}
