//! Tasks of a worker under leases, without I/O.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{
    BatchReply, Changes, Command, CommandBatch, CommandResult, Incarnation, Millis, Size, Start, TaskId, TaskState,
    Term, WorkerInfo, WorkerName,
};
use serde::{Deserialize, Serialize};

use crate::task::Task;

/// Kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum LogKind {
    /// A start command was carried out.
    Start,
    /// A held task was released.
    Release,
    /// The task began to run.
    Begin,
    /// The task ended.
    End,
}

/// One entry of a worker's log, from which checkers learn what ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The worker.
    pub worker: WorkerName,
    /// Time on the worker's own clock.
    pub at: Millis,
    /// Milliseconds since the Unix epoch, to compare workers of one machine.
    pub wall: u64,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Term of the newest command seen.
    pub term: Term,
    /// Kind.
    pub kind: LogKind,
    /// The task.
    pub task: TaskId,
    /// Its state after the entry.
    pub state: TaskState,
    /// Its payload, in `begin` entries.
    #[serde(default)]
    pub payload: Option<String>,
}

/// The tasks of a worker.
pub struct Inventory {
    /// Place and size.
    pub info: WorkerInfo,
    /// Whether starts are refused.
    pub refuse: bool,
    /// Whether tasks fail as soon as they run.
    pub fail: bool,
    incarnation: Incarnation,
    /// Milliseconds since the Unix epoch at zero of the worker's clock.
    epoch: u64,
    term: Term,
    change: u64,
    leaving: bool,
    tasks: BTreeMap<TaskId, Task>,
    /// Ids that were forgotten; they can't start again in this incarnation.
    forgotten: BTreeSet<TaskId>,
    log: Vec<LogEntry>,
}

impl Inventory {
    /// An empty inventory. `epoch` is the time since the Unix epoch at zero of the worker's clock.
    pub fn new(info: WorkerInfo, incarnation: Incarnation, epoch: u64) -> Self {
        Self {
            info,
            refuse: false,
            fail: false,
            incarnation,
            epoch,
            term: Term(0),
            // The start of the worker is its first change, so that a poll after 0 returns at once.
            change: 1,
            leaving: false,
            tasks: BTreeMap::new(),
            forgotten: BTreeSet::new(),
            log: Vec::new(),
        }
    }

    /// The log.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Number of the newest change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Marks the worker as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.change += 1;
    }

    /// Carries out a batch. Tasks that ended before `now` end first.
    pub fn carry_out(&mut self, now: Millis, batch: &CommandBatch) -> BatchReply {
        self.advance(now);
        if batch.expires.is_some_and(|expires| now > expires) {
            return BatchReply::Expired;
        }
        if batch.term < self.term {
            return BatchReply::OldTerm { term: self.term };
        }
        self.term = batch.term;
        if batch.incarnation != self.incarnation {
            return BatchReply::OtherIncarnation {
                incarnation: self.incarnation,
            };
        }
        let results = batch
            .commands
            .iter()
            .map(|command| self.command(now, command))
            .collect();
        self.advance(now);
        BatchReply::Done { results }
    }

    fn command(&mut self, now: Millis, command: &Command) -> CommandResult {
        match command {
            Command::Start(start) => return self.start(now, start),
            Command::Release { tasks, lease } => return self.release(now, tasks, *lease),
            Command::Renew { seen, except, lease } => {
                for (id, task) in &mut self.tasks {
                    if !task.state.is_final() && task.started <= *seen && !except.contains(id) {
                        task.lease = now + *lease;
                    }
                }
            }
            Command::Checkpoint { task } => return self.checkpoint(now, task),
            Command::Stop { task } => self.stop(now, task),
            Command::Forget { tasks } => {
                for id in tasks {
                    if self.tasks.get(id).is_some_and(|task| task.state.is_final()) {
                        self.tasks.remove(id);
                        self.forgotten.insert(*id);
                    }
                }
            }
        }
        CommandResult::Ok
    }

    fn start(&mut self, now: Millis, start: &Start) -> CommandResult {
        if self.forgotten.contains(&start.task) {
            return CommandResult::Ok;
        }
        if let Some(task) = self.tasks.get(&start.task) {
            return match task.state {
                TaskState::NeverRan => refused(format!("task {} was stopped or refused before", start.task)),
                _ => CommandResult::Ok,
            };
        }
        if let Some(reason) = self.reason_to_refuse(start) {
            // A copy of this command that arrives later must not start the task.
            self.insert(now, start, TaskState::NeverRan, Some(reason.clone()));
            return refused(reason);
        }
        self.insert(now, start, TaskState::Held, None);
        self.note(now, LogKind::Start, start.task);
        if !start.held {
            self.begin(now, start.task);
        }
        CommandResult::Ok
    }

    fn reason_to_refuse(&self, start: &Start) -> Option<String> {
        let live = || self.tasks.values().filter(|task| !task.state.is_final());
        let used: u32 = live().map(|task| task.start.accelerators).sum();
        if self.refuse {
            return Some("starts are refused as a fault".to_owned());
        }
        if live().count() >= self.info.slots as usize {
            return Some(format!("all {} slots are in use", self.info.slots));
        }
        (used + start.accelerators > self.info.accelerators)
            .then(|| format!("{used} of {} accelerators are in use", self.info.accelerators))
    }

    fn insert(&mut self, now: Millis, start: &Start, state: TaskState, answer: Option<String>) {
        self.change += 1;
        let task = Task {
            start: start.clone(),
            state,
            started: self.change,
            change: self.change,
            lease: now + start.lease,
            begun: None,
            due: Millis::MAX,
            progress: start.progress,
            answer,
        };
        self.tasks.insert(start.task, task);
    }

    fn begin(&mut self, now: Millis, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.begun = Some(now);
        task.due = if self.fail { now } else { now + task.runtime() };
        self.change += 1;
        task.state = TaskState::Running;
        task.change = self.change;
        self.note(now, LogKind::Begin, id);
    }

    fn release(&mut self, now: Millis, ids: &[TaskId], lease: Millis) -> CommandResult {
        // Nothing is released if one of the tasks can't run: the command is refused whole.
        for id in ids {
            match self.tasks.get(id).map(|task| task.state) {
                None if !self.forgotten.contains(id) => return refused(format!("task {id} is not known")),
                Some(TaskState::NeverRan) => return refused(format!("task {id} was stopped while held")),
                _ => {}
            }
        }
        for id in ids {
            let Some(task) = self.tasks.get_mut(id) else { continue };
            if task.state == TaskState::Held {
                task.lease = now + lease;
                self.note(now, LogKind::Release, *id);
                self.begin(now, *id);
            }
        }
        CommandResult::Ok
    }

    fn checkpoint(&mut self, now: Millis, id: &TaskId) -> CommandResult {
        match self.tasks.get_mut(id) {
            Some(task) if task.state == TaskState::Running => {
                self.change += 1;
                task.change = self.change;
                task.progress = task.progress_at(now);
                CommandResult::Ok
            }
            Some(_) => CommandResult::Ok,
            None => refused(format!("task {id} is not known")),
        }
    }

    fn stop(&mut self, now: Millis, id: &TaskId) {
        match self.tasks.get(id).map(|task| task.state) {
            Some(TaskState::Held) => self.end(now, *id, TaskState::NeverRan, None),
            Some(TaskState::Running) => self.end(now, *id, TaskState::Stopped, None),
            Some(_) => {}
            None if self.forgotten.contains(id) => {}
            None => {
                let start = Start {
                    task: *id,
                    held: true,
                    lease: Millis::ZERO,
                    accelerators: 0,
                    size: Size::default(),
                    payload: None,
                    runtime: None,
                    progress: 0,
                };
                self.insert(
                    now,
                    &start,
                    TaskState::NeverRan,
                    Some("stopped before its start arrived".to_owned()),
                );
            }
        }
    }

    /// Ends the tasks whose run or lease has ended by `now`, in order of time.
    pub fn advance(&mut self, now: Millis) {
        let mut ended: Vec<(Millis, TaskId)> = self
            .tasks
            .iter()
            .filter(|(_, task)| !task.state.is_final())
            .map(|(id, task)| (task.due.min(task.lease), *id))
            .filter(|(at, _)| *at <= now)
            .collect();
        ended.sort();
        for (at, id) in ended {
            let task = &self.tasks[&id];
            let (state, answer) = match task.state {
                TaskState::Held => (
                    TaskState::NeverRan,
                    Some("its lease ended while it was held".to_owned()),
                ),
                _ if task.due <= task.lease => task.outcome(self.fail),
                _ => (TaskState::Lapsed, Some("its lease ended".to_owned())),
            };
            self.end(at, id, state, answer);
        }
    }

    /// The next time at which a task ends by itself.
    pub fn next_end(&self) -> Option<Millis> {
        let live = self.tasks.values().filter(|task| !task.state.is_final());
        live.map(|task| task.due.min(task.lease)).min()
    }

    fn end(&mut self, at: Millis, id: TaskId, state: TaskState, answer: Option<String>) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        self.change += 1;
        task.change = self.change;
        task.state = state;
        task.answer = answer;
        self.note(at, LogKind::End, id);
    }

    fn note(&mut self, at: Millis, kind: LogKind, id: TaskId) {
        let task = &self.tasks[&id];
        let payload = task.start.payload.clone().filter(|_| kind == LogKind::Begin);
        let entry = LogEntry {
            worker: self.info.name.clone(),
            at,
            wall: self.epoch + at.0,
            incarnation: self.incarnation,
            term: self.term,
            kind,
            task: id,
            state: task.state,
            payload,
        };
        self.log.push(entry);
    }

    /// The changes after number `after`; everything if `after` is 0 or from another incarnation.
    pub fn changes(&mut self, now: Millis, after: u64) -> Changes {
        self.advance(now);
        let full = after == 0 || after > self.change;
        let tasks = self.tasks.iter().filter(|(_, task)| full || task.change > after);
        Changes {
            clock: Some(now),
            info: self.info.clone(),
            incarnation: self.incarnation,
            term: self.term,
            leaving: self.leaving,
            change: self.change,
            full,
            tasks: tasks.map(|(id, task)| task.view(now, *id)).collect(),
        }
    }
}

fn refused(reason: String) -> CommandResult {
    CommandResult::Refused { reason }
}
