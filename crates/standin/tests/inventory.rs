//! The worker's task rules, which the scheduler's guarantees rest on.

use pistachiostair::{
    BatchReply, Command, CommandBatch, CommandResult, Incarnation, Millis, Size, Start, TaskId, TaskState, Term,
};
use rstest::rstest;
use standin::{Inventory, LogKind};

const LEASE: Millis = Millis(15_000);

fn inventory() -> Inventory {
    let info = serde_json::from_str(
        r#"{"name":"w","region":"fi","domain":"espoo","rack":"r","slots":2,"accelerators":4,
            "millicores":1000,"memory":1024}"#,
    )
    .expect("worker info");
    Inventory::new(info, Incarnation(7), 0)
}

fn task(job: u64) -> TaskId {
    format!("{job}/1/0").parse().expect("task id")
}

fn start(job: u64, held: bool, payload: &str) -> Command {
    Command::Start(Start {
        task: task(job),
        held,
        lease: LEASE,
        accelerators: 2,
        size: Size::default(),
        payload: Some(payload.to_owned()),
        runtime: Some(Millis(1_000)),
        progress: 0,
    })
}

fn release(jobs: &[u64]) -> Command {
    Command::Release {
        tasks: jobs.iter().copied().map(task).collect(),
        lease: LEASE,
    }
}

fn send(inventory: &mut Inventory, now: u64, commands: Vec<Command>) -> Vec<CommandResult> {
    let batch = CommandBatch {
        term: Term(3),
        incarnation: Incarnation(7),
        expires: None,
        commands,
    };
    match inventory.carry_out(Millis(now), &batch) {
        BatchReply::Done { results } => results,
        other => panic!("not carried out: {other:?}"),
    }
}

fn state(inventory: &mut Inventory, now: u64, job: u64) -> Option<TaskState> {
    let changes = inventory.changes(Millis(now), 0);
    changes
        .tasks
        .iter()
        .find(|view| view.task == task(job))
        .map(|view| view.state)
}

fn runs(inventory: &Inventory) -> usize {
    inventory
        .log()
        .iter()
        .filter(|entry| entry.kind == LogKind::Begin)
        .count()
}

/// Guards against a fenced scheduler starting work.
#[test]
fn carry_out_old_term() {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![]);
    let batch = CommandBatch {
        term: Term(2),
        incarnation: Incarnation(7),
        expires: None,
        commands: vec![start(1, false, "")],
    };
    assert_eq!(
        inventory.carry_out(Millis(1), &batch),
        BatchReply::OldTerm { term: Term(3) }
    );
    assert_eq!(runs(&inventory), 0);
}

/// Guards against commands for the worker before its restart.
#[test]
fn carry_out_other_incarnation() {
    let mut inventory = inventory();
    let batch = CommandBatch {
        term: Term(2),
        incarnation: Incarnation(6),
        expires: None,
        commands: vec![start(1, false, "")],
    };
    let incarnation = Incarnation(7);
    assert_eq!(
        inventory.carry_out(Millis(1), &batch),
        BatchReply::OtherIncarnation { incarnation }
    );
    assert_eq!(inventory.changes(Millis(1), 0).term, Term(2));
}

/// Guards against a second run by a resent start, also after the task was forgotten.
#[test]
fn start_resent() {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![start(1, false, ""), start(1, false, "")]);
    assert_eq!(state(&mut inventory, 1_000, 1), Some(TaskState::Succeeded));
    send(&mut inventory, 1_001, vec![Command::Forget { tasks: vec![task(1)] }]);
    assert_eq!(
        send(&mut inventory, 1_002, vec![start(1, false, "")]),
        [CommandResult::Ok]
    );
    assert_eq!(state(&mut inventory, 1_003, 1), None);
    assert_eq!(runs(&inventory), 1);
}

/// Guards against a start that arrives after its stop or after its refusal.
#[rstest]
#[case::stopped(vec![Command::Stop { task: task(1) }])]
#[case::refused(vec![start(8, true, ""), start(9, true, ""), start(1, false, "")])]
fn start_late(#[case] before: Vec<Command>) {
    let mut inventory = inventory();
    send(&mut inventory, 0, before);
    send(&mut inventory, 1, vec![Command::Stop { task: task(8) }]);
    let results = send(&mut inventory, 2, vec![start(1, false, "")]);
    assert!(matches!(&results[..], [CommandResult::Refused { .. }]), "{results:?}");
    assert_eq!(state(&mut inventory, 3, 1), Some(TaskState::NeverRan));
    assert_eq!(runs(&inventory), 0);
}

/// Guards against held tasks that work, or that run after their lease ended.
#[test]
fn release_held() {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![start(1, true, ""), start(2, true, "")]);
    send(&mut inventory, 10_000, vec![release(&[1])]);
    assert_eq!(state(&mut inventory, 10_000, 1), Some(TaskState::Running));
    assert_eq!(state(&mut inventory, 15_000, 1), Some(TaskState::Succeeded));
    assert_eq!(state(&mut inventory, 15_000, 2), Some(TaskState::NeverRan));
    let results = send(&mut inventory, 15_001, vec![release(&[1, 2])]);
    assert!(matches!(&results[..], [CommandResult::Refused { .. }]), "{results:?}");
    assert_eq!(send(&mut inventory, 15_002, vec![release(&[1])]), [CommandResult::Ok]);
    assert_eq!(runs(&inventory), 1);
}

/// Guards against renewing a task that the scheduler has not seen or has excepted.
#[rstest]
#[case::seen(true, false, TaskState::Running)]
#[case::unseen(false, false, TaskState::Lapsed)]
#[case::excepted(true, true, TaskState::Lapsed)]
fn renew(#[case] seen: bool, #[case] excepted: bool, #[case] expected: TaskState) {
    let mut inventory = inventory();
    let before = inventory.changes(Millis(0), 0).change;
    send(&mut inventory, 0, vec![start(1, false, r#"{"sleepMs":40000}"#)]);
    let after = inventory.changes(Millis(0), 0).change;
    let renew = Command::Renew {
        seen: if seen { after } else { before },
        except: if excepted { vec![task(1)] } else { vec![] },
        lease: LEASE,
    };
    send(&mut inventory, 5_000, vec![renew]);
    assert_eq!(state(&mut inventory, 19_999, 1), Some(expected));
    assert_eq!(state(&mut inventory, 20_000, 1), Some(TaskState::Lapsed));
}

/// Guards against answers that are not those of the payload.
#[rstest]
#[case::echo(r#"{"echo":"e"}"#, TaskState::Succeeded, "e")]
#[case::text("plain", TaskState::Succeeded, "plain")]
#[case::fail(r#"{"fail":true}"#, TaskState::Failed, "the payload asks to fail")]
fn outcome(#[case] payload: &str, #[case] state: TaskState, #[case] answer: &str) {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![start(1, false, payload)]);
    let changes = inventory.changes(Millis(1_000), 0);
    assert_eq!(
        (changes.tasks[0].state, changes.tasks[0].answer.as_deref()),
        (state, Some(answer))
    );
}

/// Guards against a resumed attempt that does its work again from the beginning.
#[test]
fn checkpoint_resumed() {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![start(1, false, "")]);
    send(&mut inventory, 600, vec![Command::Checkpoint { task: task(1) }]);
    let progress = inventory.changes(Millis(600), 0).tasks[0].progress;
    assert_eq!(progress, 600);
    let Command::Start(again) = start(2, false, "") else {
        unreachable!()
    };
    send(&mut inventory, 600, vec![Command::Start(Start { progress, ..again })]);
    assert_eq!(state(&mut inventory, 999, 2), Some(TaskState::Running));
    assert_eq!(state(&mut inventory, 1_000, 2), Some(TaskState::Succeeded));
}

/// Guards against deltas that leave out a change, or that never return after a restart.
#[test]
fn changes_after() {
    let mut inventory = inventory();
    send(&mut inventory, 0, vec![start(1, true, "")]);
    let first = inventory.changes(Millis(0), 0);
    send(&mut inventory, 1, vec![start(2, true, "")]);
    let delta = inventory.changes(Millis(1), first.change);
    assert!(first.full && !delta.full);
    assert_eq!(delta.tasks.iter().map(|view| view.task).collect::<Vec<_>>(), [task(2)]);
    assert!(inventory.changes(Millis(1), 1_000).full);
}

/// Guards against commands that waited in the socket of a frozen worker and start work when it wakes.
#[test]
fn carry_out_expired() {
    let mut inventory = inventory();
    let mut batch = CommandBatch {
        term: Term(3),
        incarnation: Incarnation(7),
        expires: Some(Millis(10)),
        commands: vec![start(1, false, "")],
    };
    assert_eq!(inventory.carry_out(Millis(11), &batch), BatchReply::Expired);
    assert!(inventory.changes(Millis(11), 0).tasks.is_empty());
    batch.expires = Some(Millis(12));
    assert!(matches!(
        inventory.carry_out(Millis(12), &batch),
        BatchReply::Done { .. }
    ));
}
