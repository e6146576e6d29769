//! Pattern: the machine of the scheduler becomes slow and keeps the lease, while others of its strength are idle.

use rstest::rstest;

use super::StarvationWatch;
use crate::clock::Millis;

/// Samples every 250 ms: used processor time for each interval, and the wait.
fn watch(samples: &[(u64, u64)]) -> StarvationWatch {
    let mut watch = StarvationWatch::default();
    let mut total = 0;
    for (number, (used, waited)) in (1..).zip(samples) {
        total += used;
        watch.sample(Millis(250 * number), Millis(total), Millis(*waited));
    }
    watch
}

/// Guards against a slowed scheduler that is not recognised, and against one that gives its lease up because it is busy,
/// idle, or stood still for a moment. The share is half a core, 125 ms in each interval.
#[rstest]
#[case::slowed(&[(18, 110); 8], true)]
#[case::busy(&[(124, 110); 8], false)]
#[case::idle(&[(5, 1); 8], false)]
#[case::few_samples(&[(18, 110); 5], false)]
#[case::recovered(&[(18, 110), (18, 110), (18, 110), (18, 110), (18, 110), (18, 110), (60, 2)], false)]
#[case::paused_once(&[(20, 1), (20, 1), (20, 1), (0, 4_000), (20, 1), (20, 1), (20, 1), (20, 1)], false)]
fn is_starved_cases(#[case] samples: &[(u64, u64)], #[case] starved: bool) {
    assert_eq!(watch(samples).is_starved(500), starved);
}

/// Guards against a daemon of a small quota that stands still for most of each tenth of a second and uses all it has.
#[test]
fn is_starved_quota() {
    assert!(!watch(&[(30, 88); 8]).is_starved(120));
}

/// Guards against samples of an earlier term that count in the next one.
#[test]
fn reset_forgets() {
    let mut watch = watch(&[(18, 110); 8]);
    watch.reset();
    assert!(!watch.is_starved(500));
}
