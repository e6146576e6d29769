//! Outcomes of requests to a worker that a supervisor reports to the scheduler.

use pistachiostair::WorkerRequest::{Changes, Commands};
use pistachiostair::{Millis, RequestOutcomes, WorkerRequest};
use rstest::rstest;

/// Guards against an ejection of a healthy worker, or a missed one, since outcomes are reported wrongly.
#[rstest]
// Nothing is reported for a worker without failures: it would only cost bandwidth.
#[case::healthy(&[(0, Changes, true), (100, Commands, true)], &[])]
#[case::some_fail(
    &[(0, Changes, true), (100, Changes, false), (200, Changes, false), (300, Commands, true)],
    &[true, false, false, true]
)]
// A worker that did not answer for 4 s is reported as unresponsive instead, and is not ejected when it answers again.
#[case::silence(&[(0, Changes, true), (500, Changes, false), (3_000, Changes, false), (4_000, Changes, true)], &[])]
#[case::no_answer_yet(&[(0, Changes, false), (300, Changes, false), (600, Commands, false)], &[])]
// Successful polls must not hide that a worker refuses commands.
#[case::commands_refused(
    &[(0, Commands, false), (10, Changes, true), (20, Changes, true), (30, Commands, false), (40, Changes, true)],
    &[false, false]
)]
#[case::commands_taken_again(
    &[(0, Commands, false), (10, Changes, true), (20, Commands, true), (30, Changes, true)],
    &[false, true, true]
)]
fn take_outcomes(#[case] requests: &[(u64, WorkerRequest, bool)], #[case] reported: &[bool]) {
    let mut outcomes = RequestOutcomes::default();
    for (at, request, success) in requests {
        outcomes.record(Millis(*at), *request, *success);
    }
    assert_eq!(outcomes.take(Millis(4_100)), reported);
    assert!(outcomes.take(Millis(4_200)).is_empty(), "reported twice");
}

/// Guards against a worker that stays on probation since its successes after a failure are not reported, and against
/// memory that grows while no scheduler takes the outcomes.
#[test]
fn take_later() {
    let mut outcomes = RequestOutcomes::default();
    for at in 0..1_000 {
        outcomes.record(Millis(at), Changes, at % 2 == 1);
    }
    assert_eq!(outcomes.take(Millis(1_000)).len(), 64);
    outcomes.record(Millis(9_000), Changes, true);
    assert_eq!(outcomes.take(Millis(9_000)), [true]);
    outcomes.record(Millis(11_000), Changes, true);
    assert!(outcomes.take(Millis(11_000)).is_empty());
}
