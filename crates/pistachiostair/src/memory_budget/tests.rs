use rstest::rstest;

use super::{BudgetLimits, HolderId, MemoryBudget, Stage, Verdict};
use crate::clock::Millis;

fn budget(bytes: usize, connections: usize) -> MemoryBudget {
    MemoryBudget::new(BudgetLimits {
        bytes,
        connections,
        reserved_bytes: 1_000,
        reserved_connections: 2,
    })
}

fn open(budget: &mut MemoryBudget, stage: Stage, bytes: usize, now: u64) -> HolderId {
    let (id, _) = budget.open(false, bytes, Millis(now));
    let id = id.expect("room for a holder");
    budget.note(id, Some(stage), true, Millis(now));
    id
}

/// Guards against ordinary callers that pay for the one that stands still.
#[rstest]
#[case::body(Stage::Body, false)]
#[case::head(Stage::Head, false)]
#[case::silent(Stage::Silent, false)]
#[case::unread(Stage::Answering, true)]
#[case::idle(Stage::Idle, false)]
#[case::waiting_read(Stage::Reading, false)]
fn charge_evicts_stalled(#[case] stage: Stage, #[case] blocked: bool) {
    let mut budget = budget(1_000, 100);
    let stalled = open(&mut budget, stage, 100, 0);
    budget.set_blocked(stalled, blocked);
    let active = open(&mut budget, Stage::Body, 400, 5_000);
    let own = open(&mut budget, Stage::Body, 100, 5_000);
    budget.note(active, None, true, Millis(5_000));
    let verdict = budget.charge(own, 260, Millis(5_000));
    let Verdict::Admit(evicted) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(evicted.first(), Some(&stalled));
}

/// Guards against a holder that stays because all move: the largest goes, the small ones stay.
#[test]
fn charge_evicts_largest() {
    let mut budget = budget(1_000, 100);
    let large = open(&mut budget, Stage::Body, 500, 0);
    let small: Vec<_> = (0..5).map(|_| open(&mut budget, Stage::Body, 50, 0)).collect();
    assert_eq!(budget.charge(small[0], 150, Millis(10)), Verdict::Admit(vec![large]));
    assert_eq!(budget.charge(large, 1, Millis(10)), Verdict::Refuse(vec![]));
}

/// Guards against the end of a request that may have taken effect, and against more than the budget.
#[test]
fn charge_keeps_answering() {
    let mut budget = budget(1_000, 100);
    let answering: Vec<_> = (0..9).map(|_| open(&mut budget, Stage::Answering, 100, 0)).collect();
    assert_eq!(budget.charge(answering[0], 101, Millis(9_000)), Verdict::Refuse(vec![]));
    assert_eq!(budget.held(), 900);
    budget.close(answering[1]);
    assert_eq!(budget.charge(answering[0], 101, Millis(9_000)), Verdict::Admit(vec![]));
}

/// Guards against a budget that counts holders twice, or never again, once they have left.
#[test]
fn close_evicted() {
    let mut budget = budget(1_000, 100);
    let holders: Vec<_> = (0..8).map(|_| open(&mut budget, Stage::Body, 100, 0)).collect();
    let (_, verdict) = budget.open(false, 150, Millis(3_000));
    let Verdict::Admit(evicted) = verdict else {
        panic!("{verdict:?}");
    };
    evicted.iter().for_each(|id| budget.close(*id));
    holders.iter().for_each(|id| budget.close(*id));
    assert_eq!((budget.held(), budget.holders()), (150, 1));
}

/// Guards against operators who are shut out by a crowd, and a crowd that takes all descriptors.
#[test]
fn open_reserved() {
    let mut budget = budget(100_000, 10);
    for _ in 0..9 {
        open(&mut budget, Stage::Answering, 10, 0);
    }
    open(&mut budget, Stage::Answering, 10, 0);
    assert_eq!(budget.open(false, 10, Millis(0)).0, None);
    assert!(budget.open(true, 10, Millis(0)).0.is_some());
}
