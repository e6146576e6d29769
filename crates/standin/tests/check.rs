//! The checkers of the process tests must see the faults that they are there for.

use pistachiostair::{Failure, Job, Millis};
use rstest::rstest;
use serde_json::json;
use standin::{LogEntry, Order, Settled, check_gangs, check_settled};

/// Log entries from `kind state part@wall` for job 1, attempt 1.
fn log(lines: &[&str]) -> Vec<LogEntry> {
    lines
        .iter()
        .map(|line| {
            let [kind, state, part, wall] = line.split(' ').collect::<Vec<_>>()[..] else {
                panic!("{line:?} needs four words")
            };
            let (part, wall): (u32, u64) = (part.parse().expect("part"), wall.parse().expect("wall"));
            let payload = (kind == "begin").then_some(r#"{"echo":"o"}"#);
            let task = json!({"job": 1, "attempt": 1, "part": part});
            let entry = json!({"worker": "w", "at": wall, "wall": wall, "incarnation": 1, "term": 1,
                "kind": kind, "task": task, "state": state, "payload": payload});
            serde_json::from_value(entry).expect("entry")
        })
        .collect()
}

fn settled(shape: &str, told: Option<(&str, &str, &str)>, refusals: &[&str]) -> Settled {
    let job = told.map(|(phase, ran, answer)| -> Job {
        let status = json!({"id": 1, "phase": phase, "attempt": 1, "ran": ran, "answer": answer});
        let spec = json!({"account": "a", "shape": shape});
        serde_json::from_value(json!({"metadata": {"name": "o"}, "spec": spec, "status": status})).expect("job")
    });
    let failure = |ran: &&str| -> Failure {
        serde_json::from_value(json!({"kind": "unavailable", "message": "", "ran": ran})).expect("failure")
    };
    Settled {
        order: Order::new("a", "o", shape, 1),
        job,
        failures: refusals.iter().map(failure).collect(),
        lost: 0,
        took: Millis(1),
    }
}

const RUN: &[&str] = &["start held 0 1", "begin running 0 2", "end succeeded 0 3"];
const TWICE: &[&str] = &[
    "begin running 0 2",
    "end succeeded 0 3",
    "begin running 0 4",
    "end succeeded 0 5",
];
const OK: Option<(&str, &str, &str)> = Some(("succeeded", "yes", "o"));

/// Guards against a checker that passes lost, repeated or falsely reported work.
#[rstest]
#[case::whole(RUN, OK, &[], true)]
#[case::lost_run(&[], OK, &[], false)]
#[case::unfinished(&["begin running 0 2", "end lapsed 0 3"], OK, &[], false)]
#[case::twice(TWICE, OK, &[], false)]
#[case::other_answer(RUN, Some(("succeeded", "yes", "p")), &[], false)]
#[case::no_end(RUN, Some(("running", "yes", "")), &[], false)]
#[case::nothing_told(RUN, None, &["unknown"], false)]
#[case::refused(&[], None, &["no"], true)]
#[case::refused_but_ran(RUN, None, &["no"], false)]
#[case::cancelled_but_ran(RUN, Some(("cancelled", "no", "")), &[], false)]
fn check_settled_told(
    #[case] lines: &[&str],
    #[case] told: Option<(&str, &str, &str)>,
    #[case] refusals: &[&str],
    #[case] holds: bool,
) {
    let result = check_settled(&log(lines), &[settled("1x1", told, refusals)]);
    assert_eq!(result.is_ok(), holds, "{result:?}");
}

/// Guards against a checker that passes a part that ran without its gang.
#[rstest]
#[case::whole(&["start held 0 1", "start held 1 1", "begin running 1 2", "begin running 0 9"], true)]
#[case::never_ran(&["start held 0 1", "end neverRan 0 2"], true)]
#[case::alone(&["start held 0 1", "begin running 0 2"], false)]
#[case::early(&["start held 0 1", "begin running 0 2", "start held 1 3", "begin running 1 4"], false)]
fn check_gangs_logged(#[case] lines: &[&str], #[case] holds: bool) {
    let result = check_gangs(&log(lines), &[settled("2x1", OK, &[])]);
    assert_eq!(result.is_ok(), holds, "{result:?}");
}
