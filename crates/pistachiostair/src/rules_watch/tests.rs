//! What a daemon accepts of the configuration of another one. Pattern: the store turns a third of the daemons away while
//! keys are withdrawn.

use rstest::rstest;

use super::Known;
use crate::clock::Millis;
use crate::ids::Revision;
use crate::message::RulesAge;
use crate::steps::Rules;

fn rules(version: u64) -> Rules {
    Rules {
        version: Revision(version),
        ..Rules::default()
    }
}

fn aged(version: u64, age: u64) -> RulesAge {
    RulesAge {
        version: Revision(version),
        age: Millis(age),
    }
}

/// A daemon that read version 5 from the store at 1,000.
fn known() -> Known {
    let mut known = Known::default();
    known.apply(rules(5));
    known.confirm(Millis(1_000));
    known
}

/// Guards against a daemon that refuses calls although the scheduler has lately confirmed the keys that it knows.
#[test]
fn compare_same_version() {
    let mut known = known();
    assert!(!known.compare(Millis(9_000), aged(5, 700)));
    assert_eq!(known.confirmed, Some(Millis(8_300)));
}

/// Guards against a withdrawn key that stays in use because another daemon with old keys counts as a confirmation, or
/// because the time of a confirmation is taken for later than it was.
#[rstest]
#[case::older_version(aged(4, 0))]
#[case::older_confirmation(aged(5, 8_500))]
fn compare_no_confirmation(#[case] theirs: RulesAge) {
    let mut known = known();
    assert!(!known.compare(Millis(9_000), theirs));
    assert_eq!(known.confirmed, Some(Millis(1_000)));
}

/// Guards against the present version being confirmed by one that replaces it.
#[test]
fn compare_newer_version() {
    let mut known = known();
    assert!(known.compare(Millis(9_000), aged(6, 100)));
    assert_eq!(known.confirmed, Some(Millis(1_000)));
}

/// Guards against a daemon that was started while the store turns it away, and does not ask for the configuration.
#[test]
fn compare_nothing_known() {
    let mut known = Known::default();
    assert!(known.compare(Millis(9_000), aged(1, 100)));
    assert_eq!(known.confirmed, None);
}

/// Guards against a configuration that goes back to a lower version.
#[test]
fn apply_lower_version() {
    let mut known = known();
    assert_eq!(known.apply(rules(4)), None);
    assert_eq!(known.apply(rules(5)), None);
    assert_eq!(known.apply(rules(7)), Some(Some(5)));
}
