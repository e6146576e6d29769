//! A scheduler with events and actions in place of network and store, for tests of what it sends and answers.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the harness"
)]

use pistachiostair::{
    Action, AppendAction, AppendEvent, BatchReply, Call, Changes, Command, CommandBatch, Event, Failure, Incarnation,
    Job, JobSpec, MemberState, Millis, Response, Revision, Scheduler, Seq, TaskId, TaskState, TaskView, Term, Token,
    WorkerInfo,
};

/// A scheduler under term 1 in region `fi` with one worker `w0`. The store answers at once, unless it is down.
pub struct TestScheduler {
    pub scheduler: Scheduler,
    pub now: Millis,
    pub token: u64,
    /// Whether the store is down: its requests are kept in `unanswered`.
    pub store_down: bool,
    pub unanswered: Vec<AppendAction>,
    /// Whether commits take effect without an answer.
    pub mute_commits: bool,
    pub rows: Vec<(Seq, String)>,
    pub objects: Vec<(String, Vec<u8>)>,
    pub replies: Vec<(Token, Response)>,
    pub sent: Vec<CommandBatch>,
    /// Number of guarantee writes.
    pub writes: u32,
    /// Whether batches get no reply, as if they waited to be sent.
    pub hold_replies: bool,
    /// Reply to all batches; `None` if it is lost.
    pub reply: Option<BatchReply>,
}

impl TestScheduler {
    pub fn new() -> Self {
        Self::with(Scheduler::new("fi".into()))
    }

    pub fn with(scheduler: Scheduler) -> Self {
        let mut fixture = Self {
            scheduler,
            now: Millis(0),
            token: 0,
            store_down: false,
            unanswered: Vec::new(),
            mute_commits: false,
            rows: Vec::new(),
            objects: Vec::new(),
            replies: Vec::new(),
            sent: Vec::new(),
            writes: 0,
            hold_replies: false,
            reply: None,
        };
        fixture.elect(1);
        fixture
    }

    pub fn elect(&mut self, term: u64) {
        let rows = self.rows.clone();
        let wall = Millis(5_000_000 + self.now.0);
        let event = Event::Elected {
            term: Term(term),
            fence: term,
            snapshot: None,
            rows,
            wall,
        };
        self.on(event);
        self.on(Event::LeaseChanged { until: Millis::MAX });
    }

    /// Elects a scheduler under term 2, which reads all rows, in place of the present one.
    pub fn take_over(&mut self) {
        self.mute_commits = false;
        self.store_down = false;
        self.unanswered.clear();
        self.sent.clear();
        self.elect(2);
        self.tick(100);
    }

    /// Feeds an event and carries out all actions that follow from it.
    pub fn on(&mut self, event: Event) {
        let mut actions = self.scheduler.on(self.now, event);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Append(append) if self.store_down => self.unanswered.push(append),
                    Action::Append(append) => {
                        if let Some(event) = self.store(append) {
                            actions.extend(self.scheduler.on(self.now, Event::Stored(event)));
                        }
                    }
                    Action::Reply { token, response } => self.replies.push((token, response)),
                    Action::Send { worker, batch } => {
                        self.sent.push(batch.clone());
                        if !self.hold_replies {
                            let reply = self.reply.clone();
                            let replied = Event::Replied { worker, batch, reply };
                            actions.extend(self.scheduler.on(self.now, replied));
                        }
                    }
                    Action::WriteGuarantee { .. } => self.writes += 1,
                    Action::StepDown | Action::Log(_) | Action::Steps(_) => {}
                }
            }
        }
    }

    pub fn store(&mut self, action: AppendAction) -> Option<AppendEvent> {
        match action {
            AppendAction::Commit { seq, transaction } => {
                let value = transaction.writes.into_iter().find_map(|write| write.value)?;
                self.rows.push((seq, value));
                (!self.mute_commits).then_some(AppendEvent::Committed(seq))
            }
            AppendAction::WriteObject { key, body } => {
                self.objects.push((key.clone(), body));
                Some(AppendEvent::ObjectWritten { key, done: true })
            }
            AppendAction::ReadObject { key } => {
                let body = self
                    .objects
                    .iter()
                    .find(|(other, _)| *other == key)
                    .map(|(_, body)| body.clone());
                Some(AppendEvent::ObjectRead { key, body })
            }
            AppendAction::DeleteObject { key } => {
                self.objects.retain(|(other, _)| *other != key);
                None
            }
            _ => None,
        }
    }

    /// Lets `millis` pass, with a tick every 100 ms.
    pub fn tick(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(100) {
            self.now += Millis(100);
            self.on(Event::Tick);
        }
    }

    /// Makes a call without waiting for its response.
    pub fn send(&mut self, call: Call) -> Token {
        self.token += 1;
        let token = Token(self.token);
        self.on(Event::Call { token, call });
        token
    }

    /// Makes a call and returns its response, if it comes within 100 ms.
    pub fn call(&mut self, call: Call) -> Option<Response> {
        let token = self.send(call);
        self.tick(100);
        self.reply(token)
    }

    pub fn reply(&self, token: Token) -> Option<Response> {
        self.replies
            .iter()
            .find(|(other, _)| *other == token)
            .map(|(_, response)| response.clone())
    }

    pub fn job(&mut self, call: Call) -> Job {
        match self.call(call) {
            Some(Response::Jobs { mut jobs, .. }) => jobs.remove(0),
            other => panic!("expected a job, got {other:?}"),
        }
    }

    pub fn failure(&mut self, call: Call) -> Failure {
        match self.call(call) {
            Some(Response::Failed(failure)) => failure,
            other => panic!("expected a failure, got {other:?}"),
        }
    }

    /// Reports the whole inventory of the worker `w0`.
    pub fn report(&mut self, change: u64, incarnation: u64, tasks: Vec<TaskView>) {
        self.report_worker("w0", change, incarnation, tasks);
    }

    /// Reports the whole inventory of a worker.
    pub fn report_worker(&mut self, worker: &str, change: u64, incarnation: u64, tasks: Vec<TaskView>) {
        let info: WorkerInfo = serde_json::from_value(serde_json::json!({
            "name": worker, "region": "fi", "domain": "helsinki", "rack": "r1", "slots": 4, "accelerators": 8,
            "millicores": 30_000, "memory": 65_536,
        }))
        .expect("a valid worker");
        let changes = Changes {
            clock: None,
            info,
            incarnation: Incarnation(incarnation),
            term: Term(1),
            leaving: false,
            change,
            full: true,
            tasks,
        };
        self.on(Event::Report {
            worker: worker.into(),
            changes: Some(changes),
        });
    }

    /// Sets the platform's list of workers.
    pub fn list_workers(&mut self, workers: &[(&str, MemberState)]) {
        let listed = workers.iter().map(|(name, state)| ((*name).into(), *state));
        self.on(Event::WorkerList(listed.collect()));
    }

    /// All commands sent that are neither starts nor renewals.
    pub fn orders(&self) -> Vec<Command> {
        let commands = self.sent.iter().flat_map(|batch| batch.commands.clone());
        commands
            .filter(|command| !matches!(command, Command::Start(_) | Command::Renew { .. }))
            .collect()
    }

    /// Tasks of all start commands sent.
    pub fn starts(&self) -> Vec<TaskId> {
        let commands = self.sent.iter().flat_map(|batch| &batch.commands);
        commands
            .filter_map(|command| match command {
                Command::Start(start) => Some(start.task),
                _ => None,
            })
            .collect()
    }
}

pub fn spec(idempotent: bool) -> JobSpec {
    let text = serde_json::json!({"account": "court", "shape": "1x1", "idempotent": idempotent});
    serde_json::from_value(text).expect("a valid specification")
}

pub fn submit(name: &str, key: &str, spec: &JobSpec) -> Call {
    Call::Submit {
        name: name.to_owned(),
        key: Some(key.to_owned()),
        spec: Box::new(spec.clone()),
    }
}

pub fn get(name: &str) -> Call {
    Call::Get {
        account: "court".to_owned(),
        name: name.to_owned(),
    }
}

pub fn cancel(name: &str, revision: Option<Revision>) -> Call {
    Call::Cancel {
        account: "court".to_owned(),
        name: name.to_owned(),
        revision,
    }
}

pub fn view(task: TaskId, state: TaskState, change: u64, answer: Option<&str>) -> TaskView {
    TaskView {
        task,
        state,
        change,
        progress: 0,
        usage: pistachiostair::Size::default(),
        answer: answer.map(str::to_owned),
    }
}
