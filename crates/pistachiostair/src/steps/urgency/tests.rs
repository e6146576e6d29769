//! Times that decide whether a job can be in time, with estimates that are off by up to half.

use rstest::rstest;

use super::{Timing, objective, paths};
use crate::clock::Millis;
use crate::steps::spec::{QueueSettings, Step, StepJob};

/// Guards against a job that is given up as late although it may be shorter than estimated, and against arithmetic that
/// overflows for estimates of zero or without bound.
#[rstest]
#[case::new(4_000, 2_500, 0, true)]
#[case::shorter_than_estimated(4_000, 2_500, 2_300, true)]
#[case::late(4_000, 2_500, 2_400, false)]
#[case::estimate_zero(250, 0, 0, true)]
#[case::all_zero(0, 0, 1, false)]
#[case::objective_without_bound(u64::MAX, u64::MAX, u64::MAX, true)]
fn can_be_in_time_after(#[case] objective: u64, #[case] remaining: u64, #[case] waited: u64, #[case] expected: bool) {
    let timing = Timing {
        objective: Millis(objective),
        remaining: Millis(remaining),
        waited: Millis(waited),
    };
    assert_eq!(timing.can_be_in_time(Millis::ZERO), expected);
}

/// Guards against an objective that counts parallel steps one after the other.
#[test]
fn objective_of_graph() {
    let step = |estimate: u64, after: &[u32]| Step {
        count: 1,
        estimate: Millis(estimate),
        after: after.to_vec(),
        ..Step::default()
    };
    let job = StepJob {
        key: crate::steps::JobKey(1),
        account: "court".into(),
        queue: "urgent".into(),
        base_url: String::new(),
        settings: QueueSettings::default(),
        payload: String::new(),
        steps: vec![step(100, &[]), step(300, &[0]), step(50, &[0]), step(20, &[1, 2])],
        recurrence: None,
    };
    let paths = paths(&job);
    assert_eq!(paths, [420, 320, 70, 20].map(Millis));
    let terms = QueueSettings {
        stretch: 1_500,
        allowance: Millis(250),
        ..QueueSettings::default()
    };
    assert_eq!(objective(&terms, paths[0]), Millis(880));
}
