//! What follows from each record of the journal if the scheduler that wrote it ends before it acts: the record is durable,
//! and the next scheduler has to derive the rest.

mod scripted;

use pistachiostair::{
    AccountSpec, AppendEvent, Call, Command, ErrorKind, Event, JobPhase, JobSpec, MemberState, Millis, Ran, Response,
    Retention, Scheduler, TaskId, TaskState,
};
use rstest::rstest;
use scripted::{TestScheduler, cancel, get, spec, submit, view};

/// Submits a job `a` and has it run on the only worker `w0`.
fn start(fixture: &mut TestScheduler, spec: &JobSpec) -> TaskId {
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", spec));
    let task = fixture.starts()[0];
    fixture.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    task
}

/// Elects another scheduler, or has the same one learn of its commit without the lease and then get the lease back.
fn go_on(fixture: &mut TestScheduler, same_term: bool) {
    if !same_term {
        return fixture.take_over();
    }
    fixture.on(Event::LeaseChanged { until: Millis::ZERO });
    fixture.mute_commits = false;
    fixture.sent.clear();
    let seq = fixture.rows.last().expect("a row").0;
    fixture.on(Event::Stored(AppendEvent::Committed(seq)));
    fixture.tick(300);
    assert!(fixture.sent.is_empty(), "sent without the lease");
    fixture.on(Event::LeaseChanged { until: Millis::MAX });
}

/// Guards against an accepted job that the next scheduler does not start, or accepts a second time.
#[test]
fn accepted() {
    let mut fixture = TestScheduler::new();
    fixture.mute_commits = true;
    fixture.send(submit("a", "a", &spec(false)));
    fixture.take_over();
    let again = fixture.call(submit("a", "a", &spec(false)));
    assert!(matches!(again, Some(Response::Jobs { created: false, .. })));
    fixture.report(1, 1, Vec::new());
    fixture.tick(200);
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against a placed attempt that the next scheduler does not start, or places again.
#[rstest]
fn placed(#[values(false, true)] same_term: bool) {
    let mut fixture = TestScheduler::new();
    fixture.job(submit("a", "a", &spec(false)));
    fixture.mute_commits = true;
    fixture.report(1, 1, Vec::new());
    fixture.tick(100);
    assert_eq!(fixture.starts(), []);
    go_on(&mut fixture, same_term);
    if !same_term {
        fixture.report(1, 1, Vec::new());
    }
    fixture.tick(200);
    let attempts: Vec<u32> = fixture.starts().iter().map(|task| task.attempt.0).collect();
    assert_eq!(attempts, [1]);
}

/// Guards against a gang that is held for good since its release was recorded and not sent.
#[rstest]
fn released(#[values(false, true)] same_term: bool) {
    let mut fixture = TestScheduler::new();
    let gang = JobSpec {
        shape: "2x0".parse().expect("a valid shape"),
        ..spec(false)
    };
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &gang));
    let parts = fixture.starts();
    let held: Vec<_> = parts.iter().map(|task| view(*task, TaskState::Held, 2, None)).collect();
    fixture.mute_commits = true;
    fixture.report(2, 1, held.clone());
    fixture.tick(100);
    assert_eq!(fixture.orders(), [], "released before the commit");
    go_on(&mut fixture, same_term);
    if !same_term {
        fixture.report(2, 1, held);
    }
    let orders = fixture.orders();
    assert!(
        matches!(&orders[..], [Command::Release { tasks, .. }] if *tasks == parts),
        "{orders:?}"
    );
}

/// Guards against a task that goes on after its cancellation, and against a repeated cancellation that is answered only
/// once the job ended.
#[test]
fn cancelling_placed() {
    let mut fixture = TestScheduler::new();
    let task = start(&mut fixture, &spec(false));
    fixture.mute_commits = true;
    fixture.send(cancel("a", None));
    assert_eq!(fixture.orders(), [], "stopped before the commit");
    fixture.take_over();
    fixture.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    assert_eq!(fixture.orders(), [Command::Stop { task }]);
    let again = fixture.job(cancel("a", None));
    assert_eq!(again.status.phase, JobPhase::Stopping);
    fixture.report(3, 1, vec![view(task, TaskState::Stopped, 3, None)]);
    assert_eq!(fixture.job(get("a")).status.phase, JobPhase::Cancelled);
}

/// Guards against a cancelled job that waits for capacity: its attempt ended just before the cancellation, and the
/// scheduler after the cancellation.
#[test]
fn cancelling_queued() {
    let mut fixture = TestScheduler::new();
    let task = start(&mut fixture, &spec(true));
    // There is no room for the next attempt.
    fixture.list_workers(&[("w0", MemberState::Leaving)]);
    fixture.store_down = true;
    fixture.report(3, 1, vec![view(task, TaskState::Failed, 3, Some("broken"))]);
    fixture.send(cancel("a", None));
    fixture.store_down = false;
    let requeued = fixture.unanswered.remove(0);
    let committed = fixture.store(requeued).expect("an outcome");
    fixture.mute_commits = true;
    fixture.on(Event::Stored(committed));
    fixture.tick(100);
    fixture.take_over();
    fixture.tick(200);
    let status = fixture.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (JobPhase::Cancelled, Ran::Yes));
}

/// Guards against a cancelled job that the next scheduler starts.
#[test]
fn finished_queued() {
    let mut fixture = TestScheduler::new();
    fixture.job(submit("a", "a", &spec(false)));
    fixture.mute_commits = true;
    fixture.send(cancel("a", None));
    fixture.take_over();
    assert_eq!(fixture.job(cancel("a", None)).status.phase, JobPhase::Cancelled);
    fixture.report(1, 1, Vec::new());
    fixture.tick(200);
    assert_eq!(fixture.starts(), []);
}

/// Guards against an ended task that its worker keeps for good.
#[test]
fn finished_placed() {
    let mut fixture = TestScheduler::new();
    let task = start(&mut fixture, &spec(false));
    let ended = vec![view(task, TaskState::Succeeded, 3, Some("done"))];
    fixture.mute_commits = true;
    fixture.report(3, 1, ended.clone());
    fixture.tick(100);
    assert_eq!(fixture.orders(), [], "forgotten before the commit");
    fixture.take_over();
    fixture.report(3, 1, ended);
    assert_eq!(fixture.orders(), [Command::Forget { tasks: vec![task] }]);
    assert_eq!(fixture.job(get("a")).status.answer.as_deref(), Some("done"));
}

/// Guards against a long answer that is lost since the scheduler ended while it was stored, before or after the write of
/// the object.
#[rstest]
#[case::before(true)]
#[case::after(false)]
fn finished_stored(#[case] store_down: bool) {
    let mut fixture = TestScheduler::new();
    let task = start(&mut fixture, &spec(false));
    let answer = "x".repeat(10_000);
    let ended = vec![view(task, TaskState::Succeeded, 3, Some(&answer))];
    (fixture.store_down, fixture.mute_commits) = (store_down, true);
    fixture.report(3, 1, ended.clone());
    fixture.tick(100);
    fixture.take_over();
    fixture.report(3, 1, ended);
    fixture.tick(100);
    assert_eq!(fixture.job(get("a")).status.answer.as_deref(), Some(answer.as_str()));
}

/// Guards against a job that is started again on the worker on which it failed, although another one is free.
#[test]
fn requeued_failed() {
    let mut fixture = TestScheduler::new();
    let task = start(&mut fixture, &spec(true));
    // There is no room for the next attempt.
    fixture.list_workers(&[("w0", MemberState::Leaving)]);
    let ended = vec![view(task, TaskState::Failed, 3, Some("broken"))];
    fixture.mute_commits = true;
    fixture.report(3, 1, ended.clone());
    fixture.tick(100);
    fixture.take_over();
    // Both workers are known once the job can be placed.
    fixture.on(Event::LeaseChanged { until: Millis::ZERO });
    fixture.report_worker("w0", 3, 1, ended);
    fixture.report_worker("w1", 1, 1, Vec::new());
    fixture.on(Event::LeaseChanged { until: Millis::MAX });
    fixture.tick(200);
    assert_eq!(fixture.orders(), [Command::Forget { tasks: vec![task] }]);
    let status = fixture.job(get("a")).status;
    assert_eq!((status.attempt.0, status.workers), (2, vec!["w1".into()]));
}

/// Guards against a stored answer that stays in the object store after its job was forgotten.
#[test]
fn forgotten() {
    let retention = Retention {
        span: Millis(10_000),
        jobs: 100,
    };
    let mut fixture = TestScheduler::with(Scheduler::new("fi".into()).with_retention(retention));
    let task = start(&mut fixture, &spec(false));
    let answer = "x".repeat(10_000);
    fixture.report(3, 1, vec![view(task, TaskState::Succeeded, 3, Some(&answer))]);
    fixture.tick(9_000);
    assert_eq!(fixture.objects.len(), 1);
    fixture.mute_commits = true;
    fixture.tick(2_000);
    fixture.take_over();
    assert!(fixture.objects.is_empty(), "the answer was left behind");
}

/// Guards against new work on a drained worker, and against a worker that stays drained.
#[rstest]
#[case::drained(true, 0)]
#[case::undrained(false, 1)]
fn drained(#[case] drain: bool, #[case] starts: usize) {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    let call = |drain| Call::Drain {
        worker: "w0".into(),
        drain,
    };
    if !drain {
        fixture.call(call(true));
    }
    fixture.mute_commits = true;
    fixture.send(call(drain));
    fixture.take_over();
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &spec(false)));
    fixture.tick(200);
    assert_eq!(fixture.starts().len(), starts);
}

/// Guards against a guarantee or an account that comes back when a daemon is elected again, after another scheduler
/// deleted it.
#[test]
fn catalog_after_deposition() {
    let mut fixture = TestScheduler::new();
    let text = serde_json::json!({"metadata": {"name": "g"}, "spec": {"account": "court", "shape": "1x8"}});
    let guarantee = serde_json::from_value(text).expect("a valid guarantee");
    fixture.on(Event::Guarantee("g".into(), Some(guarantee)));
    let known = fixture.call(Call::Guarantees);
    assert!(matches!(known, Some(Response::Guarantees { guarantees }) if guarantees.len() == 1));
    let limited = AccountSpec {
        weight: 1,
        quota: None,
        outstanding: Some(0),
        rate: None,
    };
    fixture.on(Event::Account("court".into(), Some(limited)));
    assert_eq!(fixture.failure(submit("a", "a", &spec(false))).kind, ErrorKind::Limited);
    fixture.on(Event::Deposed);
    fixture.take_over();
    let known = fixture.call(Call::Guarantees);
    assert!(matches!(known, Some(Response::Guarantees { guarantees }) if guarantees.is_empty()));
    fixture.job(submit("a", "a", &spec(false)));
}

/// Guards against a job that starts after its deadline, since an earlier scheduler placed it and may have started it.
#[test]
fn placed_too_late() {
    let mut fixture = TestScheduler::new();
    let late = JobSpec {
        deadline: Some(Millis(2_000)),
        ..spec(false)
    };
    fixture.job(submit("a", "a", &late));
    fixture.mute_commits = true;
    fixture.report(1, 1, Vec::new());
    fixture.tick(3_000);
    fixture.take_over();
    fixture.report(1, 1, Vec::new());
    fixture.tick(200);
    assert_eq!(fixture.starts(), [], "started after the deadline");
    let orders = fixture.orders();
    let [Command::Stop { task }] = orders[..] else {
        panic!("expected a stop, got {orders:?}");
    };
    fixture.report(2, 1, vec![view(task, TaskState::NeverRan, 2, None)]);
    let status = fixture.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (JobPhase::Expired, Ran::No));
}
