//! Tests of the scheduler's responses to calls, with events and actions in place of network and store.

mod scripted;

use pistachiostair::{
    Action, Batch, BatchReply, Call, ErrorKind, Event, Guarantee, JobPhase, JobSpec, MemberState, Millis, Ran, Record,
    RegionState, Response, Retention, Revision, Scheduler, TaskState, Term,
};
use rstest::rstest;
use scripted::{TestScheduler, cancel, get, spec, submit, view};

/// Guards against a repeated submission that creates a second job, which would be billed twice, and against a reused
/// key that returns another job instead of a conflict.
#[test]
fn submit_duplicate() {
    let mut fixture = TestScheduler::new();
    let first = fixture.job(submit("a", "k", &spec(false)));
    let again = fixture.job(submit("a", "k", &spec(false)));
    assert_eq!(first.status.id, again.status.id);
    assert_eq!(fixture.failure(submit("a", "k", &spec(true))).kind, ErrorKind::Conflict);
    assert_eq!(
        fixture.failure(submit("a", "other", &spec(false))).kind,
        ErrorKind::Conflict
    );
}

/// Guards against two jobs, or a caller without response, when a submission is repeated before its commit.
#[test]
fn submit_concurrent() {
    let mut fixture = TestScheduler::new();
    fixture.store_down = true;
    let tokens = [
        fixture.send(submit("a", "k", &spec(false))),
        fixture.send(submit("a", "k", &spec(false))),
    ];
    assert!(
        tokens.iter().all(|token| fixture.reply(*token).is_none()),
        "answered before the commit"
    );
    fixture.store_down = false;
    for action in std::mem::take(&mut fixture.unanswered) {
        let event = fixture.store(action).expect("an outcome");
        fixture.on(Event::Stored(event));
    }
    let ids: Vec<Option<bool>> = tokens
        .iter()
        .map(|token| match fixture.reply(*token) {
            Some(Response::Jobs { jobs, created, .. }) if jobs.len() == 1 => Some(created),
            _ => None,
        })
        .collect();
    assert_eq!(ids, [Some(true), Some(false)]);
}

/// Guards against a wrong statement during a store outage: a new submission is refused as not run, and one whose
/// commit is in flight is answered as unknown.
#[test]
fn submit_during_outage() {
    let mut fixture = TestScheduler::new();
    fixture.store_down = true;
    let caught = fixture.send(submit("a", "a", &spec(false)));
    fixture.tick(1_200);
    let failure = fixture.failure(submit("b", "b", &spec(false)));
    assert_eq!((failure.kind, failure.ran), (ErrorKind::Unavailable, Ran::No));
    assert!(failure.retry.is_some(), "no time for a retry was told");
    fixture.tick(2_000);
    let Some(Response::Failed(failure)) = fixture.reply(caught) else {
        panic!("the caller was left without an answer");
    };
    assert_eq!(failure.ran, Ran::Unknown);
}

/// Guards against a job that is accepted or started without the lease, and against reads that fail without it. A job
/// that is not found may exist at another scheduler.
#[test]
fn submit_without_lease() {
    let mut fixture = TestScheduler::new();
    fixture.job(submit("a", "a", &spec(false)));
    fixture.on(Event::LeaseChanged { until: Millis::ZERO });
    fixture.report(1, 1, Vec::new());
    assert_eq!(fixture.failure(submit("b", "b", &spec(false))).ran, Ran::No);
    assert_eq!(
        fixture.failure(get("b")).kind,
        ErrorKind::Unavailable,
        "another scheduler may have it"
    );
    assert_eq!(fixture.job(get("a")).status.phase, JobPhase::Queued);
    assert!(fixture.starts().is_empty(), "started without the lease");
}

/// Guards against a queued job that starts after its cancellation, and a cancellation with a stale revision.
#[test]
fn cancel_queued() {
    let mut fixture = TestScheduler::new();
    let job = fixture.job(submit("a", "a", &spec(false)));
    let stale = Revision(job.metadata.revision.0 + 1);
    assert_eq!(fixture.failure(cancel("a", Some(stale))).kind, ErrorKind::Conflict);
    let job = fixture.job(cancel("a", Some(job.metadata.revision)));
    assert_eq!((job.status.phase, job.status.ran), (JobPhase::Cancelled, Ran::No));
    fixture.report(1, 1, Vec::new());
    fixture.tick(500);
    assert!(fixture.starts().is_empty(), "started after the cancellation");
}

/// Guards against a job that starts after its deadline.
#[test]
fn expire_queued() {
    let mut fixture = TestScheduler::new();
    let late = JobSpec {
        deadline: Some(Millis(2_000)),
        ..spec(false)
    };
    fixture.job(submit("a", "a", &late));
    fixture.tick(2_500);
    let job = fixture.job(get("a"));
    assert_eq!((job.status.phase, job.status.ran), (JobPhase::Expired, Ran::No));
    fixture.report(1, 1, Vec::new());
    fixture.tick(500);
    assert!(fixture.starts().is_empty(), "started after the deadline");
}

/// Guards against a deadline that starts anew with a takeover.
#[test]
fn expire_after_takeover() {
    let mut fixture = TestScheduler::new();
    let late = JobSpec {
        deadline: Some(Millis(5_000)),
        ..spec(false)
    };
    fixture.job(submit("a", "a", &late));
    fixture.tick(3_000);
    fixture.on(Event::Deposed);
    fixture.tick(4_000);
    fixture.elect(2);
    fixture.tick(200);
    assert_eq!(fixture.job(get("a")).status.phase, JobPhase::Expired);
}

/// Guards against a second start of a job that is not idempotent while its worker is unresponsive. Whether it ran is
/// unknown until the worker responds or is gone; then it ends.
#[rstest]
#[case::responds(false, JobPhase::Succeeded, Ran::Yes)]
#[case::gone(true, JobPhase::Unknown, Ran::Unknown)]
fn wait_for_silent(#[case] gone: bool, #[case] phase: JobPhase, #[case] ran: Ran) {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &spec(false)));
    let task = fixture.starts()[0];
    fixture.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    fixture.list_workers(&[("w0", MemberState::Live)]);
    assert_eq!(fixture.job(get("a")).status.ran, Ran::Yes);
    fixture.on(Event::Report {
        worker: "w0".into(),
        changes: None,
    });
    fixture.tick(60_000);
    assert_eq!(fixture.job(get("a")).status.ran, Ran::Unknown);
    assert!(
        fixture.starts().iter().all(|start| start.attempt == task.attempt),
        "started again"
    );
    match gone {
        true => fixture.list_workers(&[]),
        false => fixture.report(3, 1, vec![view(task, TaskState::Succeeded, 3, Some("done"))]),
    }
    let status = fixture.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (phase, ran));
}

/// Guards against a job that never ends because the platform's list dropped its worker while there was no scheduler:
/// the new scheduler never sees the worker disappear.
#[test]
fn take_over_unlisted() {
    const LEASE: u64 = 16_000;
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    fixture.list_workers(&[("w0", MemberState::Live)]);
    fixture.job(submit("a", "a", &spec(false)));
    let task = fixture.starts()[0];
    fixture.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    fixture.elect(2);
    fixture.list_workers(&[]);
    fixture.tick(LEASE - 1_000);
    assert_eq!(
        fixture.job(get("a")).status.phase,
        JobPhase::Running,
        "ended within its lease"
    );
    fixture.tick(2_000);
    let status = fixture.job(get("a")).status;
    assert_eq!((status.phase, status.ran), (JobPhase::Unknown, Ran::Unknown));
}

/// Guards against new work on a worker that the list showed as leaving before its first report in this term, or
/// before a restart.
#[rstest]
#[case::first_report(1)]
#[case::restarted(2)]
fn take_over_leaving(#[case] incarnation: u64) {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    fixture.elect(2);
    fixture.list_workers(&[("w0", MemberState::Leaving)]);
    if incarnation > 1 {
        fixture.report(1, 1, Vec::new());
    }
    fixture.report(1, incarnation, Vec::new());
    fixture.job(submit("a", "a", &spec(true)));
    fixture.tick(5_000);
    assert_eq!(fixture.starts(), [], "started on a leaving worker");
}

/// Guards against an unknown outcome although no start command was ever sent to the worker, and against a second start
/// although one may have arrived.
#[rstest]
#[case::undelivered(Some(BatchReply::Undelivered), JobPhase::Queued)]
#[case::lost(None, JobPhase::Unknown)]
fn requeue_undelivered(#[case] reply: Option<BatchReply>, #[case] phase: JobPhase) {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    fixture.list_workers(&[("w0", MemberState::Live)]);
    let lost = reply.is_none();
    fixture.reply = reply;
    fixture.job(submit("a", "a", &spec(false)));
    assert_eq!(fixture.starts().len(), 1);
    let (worker, changes) = ("w0".into(), None);
    fixture.on(Event::Report { worker, changes });
    fixture.tick(5_000);
    if lost {
        assert_eq!(fixture.job(get("a")).status.ran, Ran::Unknown);
        fixture.list_workers(&[]);
    }
    assert_eq!(fixture.job(get("a")).status.phase, phase);
}

/// Guards against an idempotent job on an unresponsive worker that is queued again while its lease may last, or while a
/// command that renews the lease may still wait to be sent.
#[rstest]
#[case::replied(false, 9_000)]
#[case::unsent(true, 50_000)]
fn requeue_after_lease(#[case] hold_replies: bool, #[case] later: u64) {
    let mut fixture = TestScheduler::new();
    fixture.hold_replies = hold_replies;
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &spec(true)));
    let task = fixture.starts()[0];
    fixture.report(2, 1, vec![view(task, TaskState::Running, 2, None)]);
    fixture.tick(1_000);
    fixture.on(Event::Report {
        worker: "w0".into(),
        changes: None,
    });
    fixture.tick(14_000);
    assert_eq!(fixture.job(get("a")).status.attempt, task.attempt);
    assert_ne!(
        fixture.job(get("a")).status.phase,
        JobPhase::Queued,
        "requeued within the lease"
    );
    if hold_replies {
        fixture.tick(15_000);
        assert_ne!(
            fixture.job(get("a")).status.phase,
            JobPhase::Queued,
            "requeued before the reply"
        );
    }
    fixture.tick(later);
    assert_eq!(fixture.job(get("a")).status.phase, JobPhase::Queued);
}

/// Guards against a late report of an earlier incarnation that overwrites the newer incarnation's inventory.
#[test]
fn ignore_old_incarnation() {
    let mut fixture = TestScheduler::new();
    fixture.report(9, 1, Vec::new());
    fixture.report(1, 2, Vec::new());
    fixture.job(submit("a", "a", &spec(false)));
    let task = fixture.starts()[0];
    fixture.report(2, 2, vec![view(task, TaskState::Running, 2, None)]);
    fixture.report(9, 1, Vec::new());
    fixture.tick(500);
    assert_eq!(fixture.job(get("a")).status.phase, JobPhase::Running);
}

/// Guards against a job that fails on every attempt and is started again without end.
#[test]
fn fail_after_attempts() {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &spec(true)));
    for round in 0..20 {
        let Some(task) = fixture.starts().last().copied() else {
            break;
        };
        fixture.report(
            10 + round,
            1,
            vec![view(task, TaskState::Failed, 10 + round, Some("broken"))],
        );
        fixture.tick(2_000);
    }
    let status = fixture.job(get("a")).status;
    assert_eq!(status.phase, JobPhase::Failed);
    assert!(status.attempt.0 <= 5, "{} attempts", status.attempt);
}

/// Guards against a long answer that is cut, stored in the journal, or left in the store after its job is forgotten.
#[test]
fn store_answer() {
    let retention = Retention {
        span: Millis(10_000),
        jobs: 100,
    };
    let mut fixture = TestScheduler::with(Scheduler::new("fi".into()).with_retention(retention));
    fixture.report(1, 1, Vec::new());
    let job = fixture.job(submit("a", "a", &spec(false)));
    let answer = "x".repeat(10_000);
    let task = fixture.starts()[0];
    fixture.report(2, 1, vec![view(task, TaskState::Succeeded, 2, Some(&answer))]);
    fixture.tick(200);
    assert_eq!(fixture.job(get("a")).status.answer.as_deref(), Some(answer.as_str()));
    assert!(
        fixture.rows.iter().all(|(_, row)| row.len() < 5_000),
        "the answer is in the journal"
    );
    fixture.tick(12_000);
    assert_eq!(fixture.failure(get("a")).kind, ErrorKind::NotFound);
    assert!(fixture.objects.is_empty(), "the answer was left behind");
    let list = Call::List {
        account: None,
        after: job.metadata.revision,
        limit: 10,
        wait: Millis(0),
    };
    assert_eq!(fixture.failure(list).kind, ErrorKind::Expired);
}

/// Guards against a watch that misses, repeats or reorders changes, also of jobs in one batch.
#[test]
fn list_changes() {
    let mut fixture = TestScheduler::new();
    fixture.tick(100);
    let watch = Call::List {
        account: None,
        after: Revision(0),
        limit: 100,
        wait: Millis(5_000),
    };
    let waiting = fixture.send(watch);
    assert!(fixture.reply(waiting).is_none());
    for name in ["a", "b", "c"] {
        fixture.send(submit(name, name, &spec(false)));
    }
    fixture.tick(200);
    let Some(Response::Jobs { jobs, mut revision, .. }) = fixture.reply(waiting) else {
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
        }) = fixture.call(next)
        else {
            panic!("no list");
        };
        assert!(next > revision);
        revision = next;
        names.extend(jobs.iter().map(|job| job.metadata.name.clone()));
    }
    assert_eq!(names, ["a", "b", "c"]);
}

/// Guards against two guarantees that are written at the same time, each admitted without regard to the other.
#[test]
fn put_guarantee_twice() {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    let put = |name: &str| {
        let text = serde_json::json!({"metadata": {"name": name}, "spec": {"account": "court", "shape": "1x8"}});
        Call::PutGuarantee {
            guarantee: Box::new(serde_json::from_value(text).expect("a valid guarantee")),
            revision: None,
        }
    };
    fixture.send(put("g"));
    let failure = fixture.failure(put("h"));
    assert_eq!(
        (failure.kind, failure.ran, fixture.writes),
        (ErrorKind::Unavailable, Ran::No, 1)
    );
}

/// Guards against a create that overwrites a guarantee which another operator created first.
#[test]
fn put_guarantee_exists() {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    let text =
        serde_json::json!({"metadata": {"name": "g", "revision": 7}, "spec": {"account": "court", "shape": "1x2"}});
    let guarantee: Guarantee = serde_json::from_value(text).expect("a valid guarantee");
    fixture.on(Event::Guarantee("g".into(), Some(guarantee.clone())));
    let failure = fixture.failure(Call::PutGuarantee {
        guarantee: Box::new(guarantee),
        revision: Some(Revision(0)),
    });
    assert_eq!(
        (failure.kind, failure.ran, fixture.writes),
        (ErrorKind::Conflict, Ran::No, 0)
    );
}

/// Guards against new work on a drained worker, also under the next scheduler.
#[test]
fn drain_through_takeover() {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    let drained = fixture.call(Call::Drain {
        worker: "w0".into(),
        drain: true,
    });
    assert!(matches!(&drained, Some(Response::Workers { workers }) if workers[0].state == MemberState::Leaving));
    fixture.on(Event::Deposed);
    fixture.elect(2);
    fixture.report(1, 1, Vec::new());
    fixture.job(submit("a", "a", &spec(false)));
    fixture.tick(1_000);
    assert!(fixture.starts().is_empty(), "started on a drained worker");
}

/// Guards against a takeover from journal rows with a gap, which would lose jobs without an error.
#[test]
fn elect_with_gap() {
    let mut fixture = TestScheduler::new();
    fixture.job(submit("a", "a", &spec(false)));
    fixture.job(submit("b", "b", &spec(false)));
    fixture.job(submit("c", "c", &spec(false)));
    fixture.rows.remove(1);
    let rows = fixture.rows.clone();
    let event = Event::Elected {
        term: Term(2),
        fence: 2,
        snapshot: None,
        rows,
        wall: Millis(0),
    };
    assert!(fixture.scheduler.on(fixture.now, event).contains(&Action::StepDown));
}

/// Guards against a snapshot that, with the rows after it, gives another state than all rows, and against a damaged
/// snapshot that is accepted.
#[test]
fn decode_snapshot() {
    let mut fixture = TestScheduler::new();
    fixture.report(1, 1, Vec::new());
    for name in ["a", "b", "c"] {
        fixture.job(submit(name, name, &spec(false)));
    }
    fixture.job(cancel("c", None));
    let mut whole = RegionState::default();
    let mut resumed = RegionState::default();
    for (index, (seq, text)) in fixture.rows.iter().enumerate() {
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
        fixture
            .rows
            .iter()
            .any(|(_, text)| Batch::parse(text).is_ok_and(|b| b.records.iter().any(accepted)))
    );
    let mut bytes = whole.encode();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    assert!(RegionState::decode(&bytes).is_err(), "a changed byte went unnoticed");
    assert!(RegionState::decode(&bytes[..middle]).is_err(), "a cut was not noticed");
}
