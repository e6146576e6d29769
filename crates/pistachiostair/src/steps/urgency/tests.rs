//! Load: more demand than capacity, with estimates that are off by up to half.

use rstest::rstest;

use super::{Outlook, Timing, objective, paths};
use crate::clock::Millis;
use crate::steps::spec::{QueueSettings, Step, StepJob};

fn timing(objective: u64, remaining: u64, waited: u64, long_running: bool) -> Timing {
    Timing {
        objective: Millis(objective),
        remaining: Millis(remaining),
        waited: Millis(waited),
        long_running,
    }
}

/// Guards against a job that is given up as late although it may be shorter than estimated, and against arithmetic that
/// overflows for estimates of zero or without bound.
#[rstest]
#[case::new(timing(4_000, 2_500, 0, false), Outlook::InTime)]
#[case::shorter_than_estimated(timing(4_000, 2_500, 2_300, false), Outlook::InTime)]
#[case::late(timing(4_000, 2_500, 2_400, false), Outlook::Late)]
#[case::still_late(timing(4_000, 2_500, 10_300, false), Outlook::Late)]
#[case::expired(timing(4_000, 2_500, 10_400, false), Outlook::Expired)]
#[case::brought_forward(timing(4_000, 2_500, 24_001, false), Outlook::Overdue)]
#[case::long_running_new(timing(4_000, 2_500, 4_000, true), Outlook::InTime)]
#[case::long_running_waits(timing(4_000, 2_500, 4_001, true), Outlook::Overdue)]
#[case::estimate_zero(timing(250, 0, 0, false), Outlook::InTime)]
#[case::all_zero(timing(0, 0, 1, false), Outlook::Overdue)]
#[case::objective_without_bound(timing(u64::MAX, u64::MAX, u64::MAX, false), Outlook::InTime)]
fn outlook_of(#[case] timing: Timing, #[case] expected: Outlook) {
    assert_eq!(timing.outlook(), expected);
}

/// Guards against an order that changes back and forth between passes.
#[test]
fn outlook_only_worsens() {
    let outlooks = (0..30_000).map(|waited| timing(4_000, 2_500, waited, false).outlook());
    let before_overdue: Vec<_> = outlooks.take_while(|outlook| *outlook != Outlook::Overdue).collect();
    assert!(before_overdue.is_sorted());
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
