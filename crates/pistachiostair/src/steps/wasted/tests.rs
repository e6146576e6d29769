use rstest::rstest;

use super::{GangRun, MAX_ACCOUNTS, RunStopReason, WastedWork};
use crate::clock::Millis;
use crate::ids::AccountName;
use crate::steps::outcome::RunOutcome;
use crate::steps::spec::JobKey;

const GANG: GangRun = ((JobKey(1), 0, 0), 1);

fn causes(wasted: &mut WastedWork) -> Vec<(RunStopReason, u64)> {
    let counted = wasted.take_counted();
    counted.iter().map(|waste| (waste.cause, waste.core_millis)).collect()
}

/// Guards against work of broken gangs whose root cause is lost when a worker lists the broken member first.
#[rstest]
#[case::cause_first(true)]
#[case::cause_last(false)]
fn add_broken_member(#[case] cause_first: bool) {
    let (mut wasted, account) = (WastedWork::default(), AccountName::from("a"));
    let note = |wasted: &mut WastedWork| wasted.note_gang(Millis(10), GANG, RunStopReason::MemberFailed);
    if cause_first {
        note(&mut wasted);
    }
    wasted.add(Millis(10), Some(GANG), (RunStopReason::GangBroken, &account), 500);
    note(&mut wasted);
    wasted.note_gang(Millis(20), GANG, RunStopReason::WorkerLost);
    assert_eq!(causes(&mut wasted), [(RunStopReason::MemberFailed, 500)]);
}

/// Guards against state that is kept for gangs for ever, and against work that is never counted.
#[rstest]
fn tick_cause_never_known() {
    let (mut wasted, account) = (WastedWork::default(), AccountName::from("a"));
    wasted.add(Millis(0), Some(GANG), (RunStopReason::GangBroken, &account), 500);
    assert_eq!(wasted.tick(Millis(1_000)), None);
    assert_eq!(causes(&mut wasted), []);
    wasted.tick(Millis(13_000));
    assert_eq!(causes(&mut wasted), [(RunStopReason::GangBroken, 500)]);
    assert!(wasted.gangs.is_empty());
}

/// Guards against a series of the metric for each of many accounts, and against totals that wrap around.
#[rstest]
fn add_many_accounts() {
    let mut wasted = WastedWork::default();
    for number in 0..1_000 {
        let account = AccountName::from(format!("a{number}"));
        wasted.add(Millis(0), None, (RunStopReason::Reclaimed, &account), u64::MAX / 2);
    }
    assert_eq!(wasted.term.accounts.len(), MAX_ACCOUNTS + 1);
    assert_eq!(wasted.term.sum(), u64::MAX);
}

/// Guards against reports without news, and against figures of a minute that include those of earlier ones.
#[rstest]
fn tick_reports() {
    let (mut wasted, account) = (WastedWork::default(), AccountName::from("a"));
    wasted.tick(Millis(0));
    wasted.add(Millis(1), None, (RunStopReason::Straggler, &account), 3_000);
    let report = wasted.tick(Millis(60_000)).expect("a report");
    assert_eq!(
        report,
        "in 60000 ms: 3 core-s, straggler_moved 3; accounts: a 3; \
         in this term: 3 core-s, straggler_moved 3; accounts: a 3"
    );
    assert_eq!(wasted.tick(Millis(120_000)), None);
    assert!(
        wasted
            .finish()
            .is_some_and(|report| report.contains("straggler_moved 3"))
    );
}

/// Guards against an expected end of a drained worker that is taken for a loss.
#[rstest]
#[case(RunOutcome::Lost, true, RunStopReason::WorkerLeaves)]
#[case(RunOutcome::Lost, false, RunStopReason::WorkerLost)]
#[case(RunOutcome::Failed, true, RunStopReason::MemberFailed)]
#[case(RunOutcome::Alone, false, RunStopReason::RanAlone)]
fn of_outcome_drained(#[case] outcome: RunOutcome, #[case] leaves: bool, #[case] expected: RunStopReason) {
    assert_eq!(RunStopReason::of_outcome(outcome, true, leaves), expected);
}
