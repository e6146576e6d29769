use super::*;
use crate::ids::{Attempt, Incarnation, JobId, TaskId};

fn batch(commands: Vec<Command>) -> CommandBatch {
    CommandBatch {
        term: Term(1),
        incarnation: Incarnation(1),
        expires: None,
        commands,
    }
}

fn stop(job: u64) -> CommandBatch {
    let task = TaskId {
        job: JobId(job),
        attempt: Attempt(1),
        part: 0,
    };
    batch(vec![Command::Stop { task }])
}

fn renew(seen: u64) -> CommandBatch {
    batch(vec![Command::Renew {
        seen,
        except: Vec::new(),
        lease: Millis(15_000),
    }])
}

/// Guards against two batches in flight to one worker, which could overtake each other.
#[test]
fn take_due_one_at_a_time() {
    let mut queues = CommandQueues::default();
    let worker = WorkerName::from("w1");
    assert!(queues.push(worker.clone(), stop(1)).is_none());
    assert!(queues.push(worker.clone(), stop(2)).is_none());
    assert_eq!(queues.take_due(), [(worker.clone(), stop(1))]);
    assert!(queues.take_due().is_empty());
    queues.mark_idle(&worker);
    assert_eq!(queues.take_due(), [(worker.clone(), stop(2))]);
    queues.mark_idle(&worker);
    assert!(queues.take_due().is_empty());
}

/// Guards against an unbounded queue of commands for a worker that does not answer.
#[test]
fn push_full() {
    let mut queues = CommandQueues::default();
    let worker = WorkerName::from("w1");
    for job in 0..MAX_QUEUED_BATCHES as u64 {
        assert!(queues.push(worker.clone(), stop(job)).is_none());
    }
    assert_eq!(queues.push(worker.clone(), stop(99)), Some((worker, stop(0))));
}

/// Guards against a renewal that is queued behind commands to a busy worker until its lease ends, and against renewal
/// requests of unbounded size.
#[test]
fn take_renewals_by_supervisor() {
    let mut queues = CommandQueues::default();
    for index in 0..MAX_RENEWALS + 10 {
        queues.push(WorkerName::from(format!("w{index:04}")), renew(index as u64));
    }
    assert!(queues.take_due().is_empty());
    let groups = queues.take_renewals(|worker| (worker.as_str() < "w0005").then(|| "d1".into()));
    let sizes: Vec<(Option<DaemonName>, usize)> = groups.iter().map(|(name, due)| (name.clone(), due.len())).collect();
    assert_eq!(sizes, [(None, MAX_RENEWALS), (None, 5), (Some("d1".into()), 5)]);
    assert!(queues.take_renewals(|_| None).is_empty());
}

/// Guards against a lost or refused renewal that the scheduler regards as carried out.
#[test]
fn all_replies_lost_and_refused() {
    let refused = Some(BatchReply::OldTerm { term: Term(7) });
    let replies = vec![renewed(), None, renewed(), refused.clone(), Some(BatchReply::Expired)];
    let others = other_replies(replies.clone());
    assert_eq!(others.len(), 3);
    assert_eq!(all_replies(others, replies.len()), replies);
    assert_eq!(all_replies(vec![(9, None), (0, refused.clone())], 1), [refused]);
}

/// Guards against a worker of an incomplete gang that gets the longer lease of the others in its request.
#[test]
fn to_renewals_shorter_lease() {
    let short = batch(vec![Command::Renew {
        seen: 1,
        except: Vec::new(),
        lease: Millis(11_000),
    }]);
    let due = [(WorkerName::from("w1"), renew(1)), (WorkerName::from("w2"), short)];
    let (term, lease, renewals) = to_renewals(&due);
    assert_eq!((term, lease), (Term(1), Millis(15_000)));
    let leases: Vec<Option<Millis>> = renewals.iter().map(|renewal| renewal.lease).collect();
    assert_eq!(leases, [None, Some(Millis(11_000))]);
}
