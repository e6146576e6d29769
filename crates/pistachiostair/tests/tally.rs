//! Outcomes of requests to a worker, as the scheduler is told of them.

use pistachiostair::WorkerRequest::{Changes, Commands};
use pistachiostair::{Millis, RequestOutcomes, WorkerRequest};
use rstest::rstest;

/// Guards against outcomes that are told wrongly.
#[rstest]
// Nothing is told of a worker without failures: it would only cost bytes.
#[case::healthy(&[(0, Changes, true), (100, Commands, true)], &[])]
#[case::some_fail(
    &[(0, Changes, true), (100, Changes, false), (200, Changes, false), (300, Commands, true)],
    &[true, false, false, true]
)]
// A dead worker is covered by the rule of silence, and is not ejected when it answers again.
#[case::silence(&[(0, Changes, true), (500, Changes, false), (3_000, Changes, false), (4_000, Changes, true)], &[])]
#[case::no_answer_yet(&[(0, Changes, false), (300, Changes, false), (600, Commands, false)], &[])]
// A worker that refuses commands but reports changes must not pass for a healthy one.
#[case::commands_refused(
    &[(0, Commands, false), (10, Changes, true), (20, Changes, true), (30, Commands, false), (40, Changes, true)],
    &[false, false]
)]
#[case::commands_taken_again(
    &[(0, Commands, false), (10, Changes, true), (20, Commands, true), (30, Changes, true)],
    &[false, true, true]
)]
fn take_outcomes(#[case] requests: &[(u64, WorkerRequest, bool)], #[case] told: &[bool]) {
    let mut tally = RequestOutcomes::default();
    for (at, asked, success) in requests {
        tally.count(Millis(*at), *asked, *success);
    }
    assert_eq!(tally.take(Millis(4_100)), told);
    assert!(tally.take(Millis(4_200)).is_empty(), "told twice");
}

/// Guards against a worker whose successes are not told after its failures, so that it stays on probation, and
/// against memory that grows while no scheduler asks.
#[test]
fn take_later() {
    let mut tally = RequestOutcomes::default();
    for at in 0..1_000 {
        tally.count(Millis(at), Changes, at % 2 == 1);
    }
    assert_eq!(tally.take(Millis(1_000)).len(), 64);
    tally.count(Millis(9_000), Changes, true);
    assert_eq!(tally.take(Millis(9_000)), [true]);
    tally.count(Millis(11_000), Changes, true);
    assert!(tally.take(Millis(11_000)).is_empty());
}
