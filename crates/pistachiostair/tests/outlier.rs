//! Tests of the ejection of workers by the scheduler, with events and actions in place of network and store.

use pistachiostair::{
    Action, AppendAction, AppendEvent, BatchReply, Call, Changes, Command, CommandBatch, Event, Incarnation, Millis,
    Scheduler, Seq, TaskId, TaskState, TaskView, Term, Token, WorkerName,
};
use serde_json::{from_value, json};

/// A scheduler with the workers `w0` to `w2` and a store that answers at once. Commands get no reply, except probes by
/// `reply_probes`.
struct Region {
    scheduler: Scheduler,
    now: Millis,
    jobs: u64,
    sent: Vec<(WorkerName, CommandBatch)>,
    /// Kind of each logged decision, with its workers.
    logged: Vec<(&'static str, Vec<WorkerName>)>,
}

impl Region {
    fn new() -> Self {
        let scheduler = Scheduler::new("fi".into());
        let (sent, logged) = (Vec::new(), Vec::new());
        let mut region = Self {
            scheduler,
            now: Millis(0),
            jobs: 0,
            sent,
            logged,
        };
        let (term, fence, wall) = (Term(1), 1, Millis(1_000));
        region.on(Event::Elected {
            term,
            fence,
            snapshot: None,
            rows: Vec::new(),
            wall,
        });
        region.on(Event::LeaseChanged { until: Millis::MAX });
        (0..3).for_each(|index| region.report(index, Vec::new()));
        region
    }

    /// Feeds an event and commits the records that follow from it.
    fn on(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.scheduler.on(self.now, event) {
                match action {
                    Action::Append(AppendAction::Commit { seq, .. }) => events.push(stored(seq)),
                    Action::Send { worker, batch } => self.sent.push((worker, batch)),
                    Action::Log(line) => self.logged.push((line.what, line.workers)),
                    _ => {}
                }
            }
        }
    }

    /// Reports the whole inventory of a worker.
    fn report(&mut self, index: u64, tasks: Vec<TaskView>) {
        let info = from_value(json!({
            "name": format!("w{index}"), "region": "fi", "domain": "espoo", "rack": "r1", "slots": 4,
            "accelerators": 8, "millicores": 30_000, "memory": 65_536,
        }));
        let changes = Changes {
            clock: Some(self.now),
            info: info.expect("a valid worker"),
            incarnation: Incarnation(1),
            term: Term(1),
            leaving: false,
            change: 1 + tasks.len() as u64,
            full: true,
            tasks,
        };
        let worker = changes.info.name.clone();
        self.on(Event::Report {
            worker,
            changes: Some(changes),
        });
    }

    /// Reports all workers: `w0` runs the first of `tasks` and did not start the others.
    fn report_all(&mut self, tasks: &[TaskId]) {
        let mut views: Vec<TaskView> = tasks.iter().map(|task| view(*task, TaskState::NeverRan)).collect();
        views[0].state = TaskState::Running;
        self.report(0, views);
        self.report(1, Vec::new());
        self.report(2, Vec::new());
    }

    fn outcomes(&mut self, index: u64, outcomes: &[bool]) {
        let worker = format!("w{index}").as_str().into();
        self.on(Event::Outcomes {
            worker,
            outcomes: outcomes.to_vec(),
        });
    }

    /// Submits idempotent jobs of one accelerator and lets 500 ms pass.
    fn submit(&mut self, count: u64) {
        for _ in 0..count {
            self.jobs += 1;
            let spec = from_value(json!({"account": "court", "shape": "1x1", "idempotent": true}));
            let spec = Box::new(spec.expect("a valid specification"));
            let name = format!("job-{}", self.jobs);
            let call = Call::Submit { name, key: None, spec };
            self.on(Event::Call {
                token: Token(self.jobs),
                call,
            });
        }
        self.tick(500);
    }

    /// Lets `millis` pass without reports, with a tick every 100 ms.
    fn tick(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += Millis(100);
            self.on(Event::Tick);
        }
    }

    /// Number of logged decisions of a kind.
    fn count(&self, what: &str) -> usize {
        self.logged.iter().filter(|(logged, _)| *logged == what).count()
    }

    /// Tasks of all start commands sent to a worker.
    fn starts(&self, worker: &str) -> Vec<TaskId> {
        let batches = self.sent.iter().filter(|(name, _)| name.as_str() == worker);
        let commands = batches.flat_map(|(_, batch)| &batch.commands);
        let starts = commands.filter_map(|command| match command {
            Command::Start(start) => Some(start.task),
            _ => None,
        });
        starts.collect()
    }

    /// Replies to the probes sent so far, and returns their number.
    fn reply_probes(&mut self, reply: Option<BatchReply>) -> usize {
        let sent = std::mem::take(&mut self.sent).into_iter();
        let (probes, others): (Vec<_>, Vec<_>) = sent.partition(|(_, batch)| batch.commands.is_empty());
        self.sent = others;
        for (worker, batch) in probes.clone() {
            self.on(Event::Replied {
                worker,
                batch,
                reply: reply.clone(),
            });
        }
        probes.len()
    }
}

fn stored(seq: Seq) -> Event {
    Event::Stored(AppendEvent::Committed(seq))
}

fn view(task: TaskId, state: TaskState) -> TaskView {
    TaskView {
        task,
        state,
        change: 1,
        progress: 0,
        usage: Default::default(),
        answer: None,
    }
}

/// Guards against new work for an ejected worker, more ejections than the cap allows, running work whose leases are
/// not renewed, parts that stay assigned to an ejected worker that did not take them, and a worker that is never
/// readmitted.
#[test]
fn outcomes_eject() {
    let mut region = Region::new();
    region.submit(12);
    let tasks = region.starts("w0");
    assert_eq!(tasks.len(), 4, "the load leaves w0 out");
    region.report(0, vec![view(tasks[0], TaskState::Running)]);
    region.sent.clear();
    region.outcomes(0, &[false; 5]);
    region.outcomes(1, &[false; 5]);
    assert_eq!(region.count("ejected"), 1);
    region.submit(4);
    assert_eq!(region.starts("w0"), [], "an ejected worker gets work");
    let stops = |command: &Command| matches!(command, Command::Stop { task } if *task != tasks[0]);
    let commands = || region.sent.iter().filter(|(name, _)| name.as_str() == "w0");
    let stopped = commands()
        .flat_map(|(_, batch)| &batch.commands)
        .filter(|command| stops(command));
    assert!(stopped.count() >= 3, "what it did not take is not withdrawn");
    for _ in 0..6 {
        region.tick(900);
        region.report_all(&tasks);
    }
    // The parts that it did not take are withdrawn by now, so that it has free slots.
    assert_eq!(region.starts("w0"), [], "an ejected worker gets work");
    let placed = region.logged.iter().rev().take_while(|(what, _)| *what != "ejected");
    let placed: Vec<_> = placed
        .filter(|(what, workers)| *what == "placed" && workers.contains(&"w0".into()))
        .collect();
    assert!(placed.is_empty(), "work is placed on an ejected worker: {placed:?}");
    let renews = |command: &Command| matches!(command, Command::Renew { except, .. } if !except.contains(&tasks[0]));
    let renewed = region.sent.iter().flat_map(|(_, batch)| &batch.commands).any(renews);
    assert!(renewed, "running work is not renewed");
    assert_eq!(region.reply_probes(None), 1, "one probe at a time");
    let done = || Some(BatchReply::Done { results: Vec::new() });
    let mut probes = 0;
    for _ in 0..14 {
        region.tick(1_000);
        region.report_all(&tasks);
        probes += region.reply_probes(done());
    }
    assert_eq!(probes, 3);
    assert_eq!(region.count("readmitted"), 1);
    region.submit(4);
    assert!(!region.starts("w0").is_empty(), "no work after the return");
}

/// Guards against an unresponsive worker that uses up the cap, so that a failing one is not ejected.
#[test]
fn outcomes_of_silent() {
    let mut region = Region::new();
    region.outcomes(0, &[false; 5]);
    for _ in 0..5 {
        region.tick(1_000);
        (1..3).for_each(|index| region.report(index, Vec::new()));
        region.on(Event::Report {
            worker: "w0".into(),
            changes: None,
        });
    }
    assert_eq!(region.count("ejected"), 1);
    region.report(2, Vec::new());
    region.on(Event::Report {
        worker: "w3".into(),
        changes: None,
    });
    region.report(3, Vec::new());
    region.outcomes(1, &[false; 5]);
    assert_eq!(region.count("ejected"), 2);
}
