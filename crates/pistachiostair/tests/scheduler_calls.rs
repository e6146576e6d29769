//! Calls about jobs, straight at the scheduler. Each test names the wrong answer that it guards against.

use pistachiostair::{
    Action, AppendAction, AppendEvent, Batch, BatchReply, Call, Changes, Command, CommandBatch, ErrorKind, Event,
    Failure, Guarantee, Incarnation, Job, JobPhase, JobSpec, MemberState, Millis, Ran, Record, RegionState, Response,
    Retention, Revision, Scheduler, Seq, TaskId, TaskState, TaskView, Term, Token, WorkerInfo,
};
use rstest::rstest;

/// A scheduler under term 1 with a store that answers at once, unless it is down.
struct Desk {
    scheduler: Scheduler,
    now: Millis,
    token: u64,
    down: bool,
    stuck: Vec<AppendAction>,
    rows: Vec<(Seq, String)>,
    objects: Vec<(String, Vec<u8>)>,
    replies: Vec<(Token, Response)>,
    sent: Vec<CommandBatch>,
    writes: u32,
    /// Batches wait to be sent: no reply comes.
    hold_replies: bool,
    /// Reply to all batches; none if it is lost.
    reply: Option<BatchReply>,
}

impl Desk {
    fn new() -> Self {
        Self::with(Scheduler::new("fi".into()))
    }

    fn with(scheduler: Scheduler) -> Self {
        let mut desk = Self {
            scheduler,
            now: Millis(0),
            token: 0,
            down: false,
            stuck: Vec::new(),
            rows: Vec::new(),
            objects: Vec::new(),
            replies: Vec::new(),
            sent: Vec::new(),
            writes: 0,
            hold_replies: false,
            reply: None,
        };
        desk.elect(1);
        desk
    }

    fn elect(&mut self, term: u64) {
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
        self.on(Event::LeaseChanged { held: true });
    }

    fn on(&mut self, event: Event) {
        let mut actions = self.scheduler.on(self.now, event);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Append(append) if self.down => self.stuck.push(append),
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

    fn store(&mut self, action: AppendAction) -> Option<AppendEvent> {
        match action {
            AppendAction::Commit { seq, transaction } => {
                let value = transaction.writes.into_iter().find_map(|write| write.value)?;
                self.rows.push((seq, value));
                Some(AppendEvent::Committed(seq))
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

    fn tick(&mut self, span: u64) {
        for _ in 0..span.div_ceil(100) {
            self.now += Millis(100);
            self.on(Event::Tick);
        }
    }

    fn ask(&mut self, call: Call) -> Token {
        self.token += 1;
        let token = Token(self.token);
        self.on(Event::Call { token, call });
        token
    }

    fn call(&mut self, call: Call) -> Option<Response> {
        let token = self.ask(call);
        self.tick(100);
        self.reply(token)
    }

    fn reply(&self, token: Token) -> Option<Response> {
        self.replies
            .iter()
            .find(|(other, _)| *other == token)
            .map(|(_, response)| response.clone())
    }

    fn job(&mut self, call: Call) -> Job {
        match self.call(call) {
            Some(Response::Jobs { mut jobs, .. }) => jobs.remove(0),
            other => panic!("expected a job, got {other:?}"),
        }
    }

    fn failure(&mut self, call: Call) -> Failure {
        match self.call(call) {
            Some(Response::Failed(failure)) => failure,
            other => panic!("expected a failure, got {other:?}"),
        }
    }

    fn report(&mut self, change: u64, incarnation: u64, tasks: Vec<TaskView>) {
        let info: WorkerInfo = serde_json::from_value(serde_json::json!({
            "name": "w0", "region": "fi", "domain": "helsinki", "rack": "r1", "slots": 4, "accelerators": 8,
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
        let worker = "w0".into();
        self.on(Event::Report {
            worker,
            changes: Some(changes),
        });
    }

    /// Hands over the platform's list of workers.
    fn list(&mut self, workers: &[(&str, MemberState)]) {
        let listed = workers.iter().map(|(name, state)| ((*name).into(), *state));
        self.on(Event::WorkerList(listed.collect()));
    }

    fn starts(&self) -> Vec<TaskId> {
        let commands = self.sent.iter().flat_map(|batch| &batch.commands);
        commands
            .filter_map(|command| match command {
                Command::Start(start) => Some(start.task),
                _ => None,
            })
            .collect()
    }
}

fn spec(idempotent: bool) -> JobSpec {
    let text = serde_json::json!({"account": "court", "shape": "1x1", "idempotent": idempotent});
    serde_json::from_value(text).expect("a valid specification")
}

fn submit(name: &str, key: &str, spec: &JobSpec) -> Call {
    Call::Submit {
        name: name.to_owned(),
        key: Some(key.to_owned()),
        spec: Box::new(spec.clone()),
    }
}

fn get(name: &str) -> Call {
    Call::Get {
        account: "court".to_owned(),
        name: name.to_owned(),
    }
}

fn cancel(name: &str, revision: Option<Revision>) -> Call {
    Call::Cancel {
        account: "court".to_owned(),
        name: name.to_owned(),
        revision,
    }
}

fn view(task: TaskId, state: TaskState, change: u64, answer: Option<&str>) -> TaskView {
    TaskView {
        task,
        state,
        change,
        progress: 0,
        usage: pistachiostair::Size::default(),
        answer: answer.map(str::to_owned),
    }
}

/// A duplicate submission must not bill twice, and a key used for something else must not be hidden.
#[test]
fn submit_duplicate() {
    let mut desk = Desk::new();
    let first = desk.job(submit("a", "k", &spec(false)));
    let again = desk.job(submit("a", "k", &spec(false)));
    assert_eq!(first.status.id, again.status.id);
    assert_eq!(desk.failure(submit("a", "k", &spec(true))).kind, ErrorKind::Conflict);
    assert_eq!(
        desk.failure(submit("a", "other", &spec(false))).kind,
        ErrorKind::Conflict
    );
}

/// Two submissions of one key before the commit are one job, and both callers are answered.
#[test]
fn submit_concurrent() {
    let mut desk = Desk::new();
    desk.down = true;
    let tokens = [
        desk.ask(submit("a", "k", &spec(false))),
        desk.ask(submit("a", "k", &spec(false))),
    ];
    assert!(
        tokens.iter().all(|token| desk.reply(*token).is_none()),
        "answered before the commit"
    );
    desk.down = false;
    for action in std::mem::take(&mut desk.stuck) {
        let event = desk.store(action).expect("an outcome");
        desk.on(Event::Stored(event));
    }
    let ids: Vec<Option<bool>> = tokens
        .iter()
        .map(|token| match desk.reply(*token) {
            Some(Response::Jobs { jobs, created, .. }) if jobs.len() == 1 => Some(created),
            _ => None,
        })
        .collect();
    assert_eq!(ids, [Some(true), Some(false)]);
}

/// During an outage new work is refused early and truly, and what is caught in a commit is unknown.
#[test]
fn submit_during_outage() {
    let mut desk = Desk::new();
    desk.down = true;
    let caught = desk.ask(submit("a", "a", &spec(false)));
    desk.tick(1_200);
    let failure = desk.failure(submit("b", "b", &spec(false)));
    assert_eq!((failure.kind, failure.ran), (ErrorKind::Unavailable, Ran::No));
    assert!(failure.retry.is_some(), "no time for a retry was told");
    desk.tick(2_000);
    let Some(Response::Failed(failure)) = desk.reply(caught) else {
        panic!("the caller was left without an answer");
    };
    assert_eq!(failure.ran, Ran::Unknown);
}

/// Without the lease nothing is accepted or started, but callers may read.
#[test]
fn submit_without_lease() {
    let mut desk = Desk::new();
    desk.job(submit("a", "a", &spec(false)));
    desk.on(Event::LeaseChanged { held: false });
    desk.report(1, 1, Vec::new());
    assert_eq!(desk.failure(submit("b", "b", &spec(false))).ran, Ran::No);
    assert_eq!(
        desk.failure(get("b")).kind,
        ErrorKind::Unavailable,
        "another scheduler may have it"
    );
    assert_eq!(desk.job(get("a")).status.phase, JobPhase::Queued);
    assert!(desk.starts().is_empty(), "started without the lease");
}

/// A cancellation of a queued job ends it at once; a stale revision must not cancel.
#[test]
fn cancel_queued() {
    let mut desk = Desk::new();
    let job = desk.job(submit("a", "a", &spec(false)));
    let stale = Revision(job.metadata.revision.0 + 1);
    assert_eq!(desk.failure(cancel("a", Some(stale))).kind, ErrorKind::Conflict);
    let job = desk.job(cancel("a", Some(job.metadata.revision)));
    assert_eq!((job.status.phase, job.status.ran), (JobPhase::Cancelled, Ran::No));
    desk.report(1, 1, Vec::new());
    desk.tick(500);
    assert!(desk.starts().is_empty(), "started after the cancellation");
}

/// A job whose deadline passed is not started.
#[test]
fn expire_queued() {
    let mut desk = Desk::new();
    let late = JobSpec {
        deadline: Some(Millis(2_000)),
        ..spec(false)
    };
    desk.job(submit("a", "a", &late));
    desk.tick(2_500);
    let job = desk.job(get("a"));
    assert_eq!((job.status.phase, job.status.ran), (JobPhase::Expired, Ran::No));
    desk.report(1, 1, Vec::new());
    desk.tick(500);
    assert!(desk.starts().is_empty(), "started after the deadline");
}

/// The deadline of a job counts through a takeover.
#[test]
fn expire_after_takeover() {
    let mut desk = Desk::new();
    let late = JobSpec {
        deadline: Some(Millis(5_000)),
        ..spec(false)
    };
    desk.job(submit("a", "a", &late));
    desk.tick(3_000);
    desk.on(Event::Deposed);
    desk.tick(4_000);
    desk.elect(2);
    desk.tick(200);
    assert_eq!(desk.job(get("a")).status.phase, JobPhase::Expired);
}

/// A job that may run once and whose worker is silent is told as unknown, and never started again;
/// it ends once the worker responds or is gone.
#[rstest]
#[case::responds(false, JobPhase::Succeeded, Ran::Yes)]
#[case::gone(true, JobPhase::Unknown, Ran::Unknown)]
fn wait_for_silent(#[case] gone: bool, #[case] phase: JobPhase, #[case] ran: Ran) {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    desk.job(submit("a", "a", &spec(false)));
    let task = desk.starts()[0];
    desk.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    desk.list(&[("w0", MemberState::Live)]);
    assert_eq!(desk.job(get("a")).status.ran, Ran::Yes);
    desk.on(Event::Report {
        worker: "w0".into(),
        changes: None,
    });
    desk.tick(60_000);
    assert_eq!(desk.job(get("a")).status.ran, Ran::Unknown);
    assert!(
        desk.starts().iter().all(|start| start.attempt == task.attempt),
        "started again"
    );
    match gone {
        true => desk.list(&[]),
        false => desk.report(3, 1, vec![view(task, TaskState::Succeeded, 3, Some("done"))]),
    }
    let status = desk.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (phase, ran));
}

/// Guards against a job that never ends because the list dropped its worker while there was no scheduler:
/// the new one never sees it disappear.
#[test]
fn take_over_unlisted() {
    const LEASE: u64 = 16_000;
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    desk.list(&[("w0", MemberState::Live)]);
    desk.job(submit("a", "a", &spec(false)));
    let task = desk.starts()[0];
    desk.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    desk.elect(2);
    desk.list(&[]);
    desk.tick(LEASE - 1_000);
    assert_eq!(
        desk.job(get("a")).status.phase,
        JobPhase::Running,
        "ended within its lease"
    );
    desk.tick(2_000);
    let status = desk.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (JobPhase::Unknown, Ran::Unknown));
}

/// Guards against new work on a worker that the list showed as leaving before it reported in this
/// term, or that restarted since.
#[rstest]
#[case::first_report(1)]
#[case::restarted(2)]
fn take_over_leaving(#[case] incarnation: u64) {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    desk.elect(2);
    desk.list(&[("w0", MemberState::Leaving)]);
    if incarnation > 1 {
        desk.report(1, 1, Vec::new());
    }
    desk.report(1, incarnation, Vec::new());
    desk.job(submit("a", "a", &spec(true)));
    desk.tick(5_000);
    assert_eq!(desk.starts(), [], "started on a leaving worker");
}

/// Guards against a job of unknown outcome where no start ever left for its worker, and against a
/// second start where one may have.
#[rstest]
#[case::undelivered(Some(BatchReply::Undelivered), JobPhase::Queued)]
#[case::lost(None, JobPhase::Unknown)]
fn requeue_undelivered(#[case] reply: Option<BatchReply>, #[case] phase: JobPhase) {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    desk.list(&[("w0", MemberState::Live)]);
    let lost = reply.is_none();
    desk.reply = reply;
    desk.job(submit("a", "a", &spec(false)));
    assert_eq!(desk.starts().len(), 1);
    let (worker, changes) = ("w0".into(), None);
    desk.on(Event::Report { worker, changes });
    desk.tick(5_000);
    if lost {
        assert_eq!(desk.job(get("a")).status.ran, Ran::Unknown);
        desk.list(&[]);
    }
    assert_eq!(desk.job(get("a")).status.phase, phase);
}

/// An idempotent job on a silent worker is not started again while the old run may go on, or while
/// a command that renews its lease may still wait to be sent.
#[rstest]
#[case::replied(false, 9_000)]
#[case::unsent(true, 50_000)]
fn requeue_after_lease(#[case] hold_replies: bool, #[case] later: u64) {
    let mut desk = Desk::new();
    desk.hold_replies = hold_replies;
    desk.report(1, 1, Vec::new());
    desk.job(submit("a", "a", &spec(true)));
    let task = desk.starts()[0];
    desk.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    desk.tick(1_000);
    desk.on(Event::Report {
        worker: "w0".into(),
        changes: None,
    });
    desk.tick(14_000);
    assert_eq!(desk.job(get("a")).status.attempt, task.attempt);
    assert_ne!(
        desk.job(get("a")).status.phase,
        JobPhase::Queued,
        "requeued within the lease"
    );
    if hold_replies {
        desk.tick(15_000);
        assert_ne!(
            desk.job(get("a")).status.phase,
            JobPhase::Queued,
            "requeued before the reply"
        );
    }
    desk.tick(later);
    assert_eq!(desk.job(get("a")).status.phase, JobPhase::Queued);
}

/// A late report of an earlier incarnation must not undo what the newer one reported.
#[test]
fn ignore_old_incarnation() {
    let mut desk = Desk::new();
    desk.report(9, 1, Vec::new());
    desk.report(1, 2, Vec::new());
    desk.job(submit("a", "a", &spec(false)));
    let task = desk.starts()[0];
    desk.report(2, 2, vec![view(task, TaskState::Running, 2, None)]);
    desk.report(9, 1, Vec::new());
    desk.tick(500);
    assert_eq!(desk.job(get("a")).status.phase, JobPhase::Running);
}

/// Jobs that fail everywhere are not started for ever.
#[test]
fn fail_after_attempts() {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    desk.job(submit("a", "a", &spec(true)));
    for round in 0..20 {
        let Some(task) = desk.starts().last().copied() else {
            break;
        };
        desk.report(
            10 + round,
            1,
            vec![view(task, TaskState::Failed, 10 + round, Some("broken"))],
        );
        desk.tick(2_000);
    }
    let status = desk.job(get("a")).status;
    assert_eq!(status.phase, JobPhase::Failed);
    assert!(status.attempt.0 <= 5, "{} attempts", status.attempt);
}

/// A long answer reaches its caller whole, and is deleted with its job.
#[test]
fn store_answer() {
    let retention = Retention {
        span: Millis(10_000),
        jobs: 100,
    };
    let mut desk = Desk::with(Scheduler::new("fi".into()).with_retention(retention));
    desk.report(1, 1, Vec::new());
    let job = desk.job(submit("a", "a", &spec(false)));
    let answer = "x".repeat(10_000);
    let task = desk.starts()[0];
    desk.report(2, 1, vec![view(task, TaskState::Succeeded, 2, Some(&answer))]);
    desk.tick(200);
    assert_eq!(desk.job(get("a")).status.answer.as_deref(), Some(answer.as_str()));
    assert!(
        desk.rows.iter().all(|(_, row)| row.len() < 5_000),
        "the answer is in the journal"
    );
    desk.tick(12_000);
    assert_eq!(desk.failure(get("a")).kind, ErrorKind::NotFound);
    assert!(desk.objects.is_empty(), "the answer was left behind");
    let list = Call::List {
        account: None,
        after: job.metadata.revision,
        limit: 10,
        wait: Millis(0),
    };
    assert_eq!(desk.failure(list).kind, ErrorKind::Expired);
}

/// Watches see every change once and in order, also of jobs in one batch.
#[test]
fn list_changes() {
    let mut desk = Desk::new();
    desk.tick(100);
    let watch = Call::List {
        account: None,
        after: Revision(0),
        limit: 100,
        wait: Millis(5_000),
    };
    let waiting = desk.ask(watch);
    assert!(desk.reply(waiting).is_none());
    for name in ["a", "b", "c"] {
        desk.ask(submit(name, name, &spec(false)));
    }
    desk.tick(200);
    let Some(Response::Jobs { jobs, mut revision, .. }) = desk.reply(waiting) else {
        panic!("the watch was not answered");
    };
    let mut names: Vec<String> = jobs.iter().map(|job| job.metadata.name.clone()).collect();
    while names.len() < 3 {
        let next = Call::List {
            account: None,
            after: revision,
            limit: 1,
            wait: Millis(0),
        };
        let Some(Response::Jobs {
            jobs, revision: next, ..
        }) = desk.call(next)
        else {
            panic!("no list");
        };
        assert!(next > revision);
        revision = next;
        names.extend(jobs.iter().map(|job| job.metadata.name.clone()));
    }
    assert_eq!(names, ["a", "b", "c"]);
}

/// Two guarantees are never admitted side by side, each without the other.
#[test]
fn put_guarantee_twice() {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    let put = |name: &str| {
        let text = serde_json::json!({"metadata": {"name": name}, "spec": {"account": "court", "shape": "1x8"}});
        Call::PutGuarantee {
            guarantee: Box::new(serde_json::from_value(text).expect("a valid guarantee")),
            revision: None,
        }
    };
    desk.ask(put("g"));
    let failure = desk.failure(put("h"));
    assert_eq!(
        (failure.kind, failure.ran, desk.writes),
        (ErrorKind::Unavailable, Ran::No, 1)
    );
}

/// Guards against a create that overwrites what another operator created first.
#[test]
fn put_guarantee_exists() {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    let text =
        serde_json::json!({"metadata": {"name": "g", "revision": 7}, "spec": {"account": "court", "shape": "1x2"}});
    let guarantee: Guarantee = serde_json::from_value(text).expect("a valid guarantee");
    desk.on(Event::Guarantee("g".into(), Some(guarantee.clone())));
    let failure = desk.failure(Call::PutGuarantee {
        guarantee: Box::new(guarantee),
        revision: Some(Revision(0)),
    });
    assert_eq!(
        (failure.kind, failure.ran, desk.writes),
        (ErrorKind::Conflict, Ran::No, 0)
    );
}

/// A drained worker gets nothing new, also under the next scheduler.
#[test]
fn drain_through_takeover() {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    let drained = desk.call(Call::Drain {
        worker: "w0".into(),
        drain: true,
    });
    assert!(matches!(&drained, Some(Response::Workers { workers }) if workers[0].state == MemberState::Leaving));
    desk.on(Event::Deposed);
    desk.elect(2);
    desk.report(1, 1, Vec::new());
    desk.job(submit("a", "a", &spec(false)));
    desk.tick(1_000);
    assert!(desk.starts().is_empty(), "started on a drained worker");
}

/// A takeover from rows with a gap would lose jobs in silence.
#[test]
fn elect_with_gap() {
    let mut desk = Desk::new();
    desk.job(submit("a", "a", &spec(false)));
    desk.job(submit("b", "b", &spec(false)));
    desk.job(submit("c", "c", &spec(false)));
    desk.rows.remove(1);
    let rows = desk.rows.clone();
    let event = Event::Elected {
        term: Term(2),
        fence: 2,
        snapshot: None,
        rows,
        wall: Millis(0),
    };
    assert!(desk.scheduler.on(desk.now, event).contains(&Action::StepDown));
}

/// A snapshot with the rows behind it gives the state that all rows give; a damaged one is refused.
#[test]
fn decode_snapshot() {
    let mut desk = Desk::new();
    desk.report(1, 1, Vec::new());
    for name in ["a", "b", "c"] {
        desk.job(submit(name, name, &spec(false)));
    }
    desk.job(cancel("c", None));
    let mut whole = RegionState::default();
    let mut resumed = RegionState::default();
    for (index, (seq, text)) in desk.rows.iter().enumerate() {
        let batch = Batch::parse(text).expect("a valid row");
        whole.fold_batch(*seq, &batch);
        resumed.fold_batch(*seq, &batch);
        if index == 1 {
            resumed = RegionState::decode(&resumed.encode()).expect("a valid snapshot");
        }
    }
    assert_eq!(whole, resumed);
    let accepted = |record: &Record| matches!(record, Record::Accepted { .. });
    assert!(
        desk.rows
            .iter()
            .any(|(_, text)| Batch::parse(text).is_ok_and(|b| b.records.iter().any(accepted)))
    );
    let mut bytes = whole.encode();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    assert!(RegionState::decode(&bytes).is_err(), "a changed byte went unnoticed");
    assert!(RegionState::decode(&bytes[..middle]).is_err(), "a cut was not noticed");
}
