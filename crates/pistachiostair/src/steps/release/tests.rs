use std::cmp::Ordering;

use rstest::rstest;

use super::{DEFAULT_INTERVAL, ReleaseView, Releases, STANDSTILL, compare, is_avoided};
use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::spec::{ServiceName, Step};

fn note(releases: &mut Releases, now: u64, worker: &str, version: &str) {
    let (service, worker) = (ServiceName::from("s"), WorkerName::from(worker));
    releases.note(Millis(now), (&service, &worker), version, false);
}

fn view(releases: &Releases, now: u64, version: &str) -> Option<ReleaseView> {
    releases.view(Millis(now), &ServiceName::from("s"), version)
}

/// Guards against versions that are ordered as text, and against a panic on odd ones.
#[rstest]
#[case("1.9", "1.10", Ordering::Less)]
#[case("2", "10", Ordering::Less)]
#[case("v3", "v3", Ordering::Equal)]
#[case("1.0", "1.00", Ordering::Equal)]
#[case("", "1", Ordering::Less)]
#[case("1.0-rc", "1.0", Ordering::Greater)]
#[case("99999999999999999999999", "100000000000000000000000", Ordering::Less)]
fn compare_versions(#[case] one: &str, #[case] other: &str, #[case] expected: Ordering) {
    assert_eq!(compare(one, other), expected);
    assert_eq!(compare(other, one), expected.reverse());
}

/// Guards against a release that is seen where all workers have the same version or none, and against one that never
/// ends.
#[rstest]
fn view_of_release() {
    let mut releases = Releases::default();
    note(&mut releases, 0, "w1", "");
    (1..4).for_each(|number| note(&mut releases, 0, &format!("w{number}"), "1"));
    assert_eq!(view(&releases, 0, "1"), None);
    note(&mut releases, 1_000, "w1", "2");
    let (leaving, interval) = (true, DEFAULT_INTERVAL);
    assert_eq!(view(&releases, 1_000, "1"), Some(ReleaseView { leaving, interval }));
    note(&mut releases, 3_000, "w2", "2");
    note(&mut releases, 3_500, "w2", "2");
    let (leaving, interval) = (false, Millis(2_000));
    assert_eq!(view(&releases, 3_500, "2"), Some(ReleaseView { leaving, interval }));
    assert_eq!(view(&releases, 3_000 + STANDSTILL.0, "1"), None);
    releases.retain(|_| false);
    assert!(releases.services.is_empty());
}

/// Guards against a scheduler that takes over during a release and does not see it.
#[rstest]
fn view_after_takeover() {
    let mut releases = Releases::default();
    note(&mut releases, 0, "w1", "2");
    note(&mut releases, 0, "w2", "1");
    assert!(view(&releases, 0, "1").is_some_and(|view| view.leaving));
}

/// Guards against short tasks that take the workers with the new version, and long ones or gangs on those that leave.
#[rstest]
#[case(false, 1_000, false)]
#[case(false, 9_000, true)]
#[case(true, 1_000, true)]
fn is_avoided_by_kind(#[case] gang: bool, #[case] estimate: u64, #[case] avoids_leaving: bool) {
    let estimate = Millis(estimate);
    let step = Step {
        gang,
        estimate,
        ..Step::default()
    };
    let interval = Millis(3_000);
    let release = |leaving| Some(ReleaseView { leaving, interval });
    assert_eq!(is_avoided(release(true), &step), avoids_leaving);
    assert_eq!(is_avoided(release(false), &step), !avoids_leaving);
    assert!(!is_avoided(None, &step));
}
