//! The table service's rules, which fencing and group commit rest on.

use pistachiostair::{Check, Commit, Transaction, Write};
use rstest::rstest;
use standin::Tables;

fn transaction(checks: &[(&str, u64)], writes: &[(&str, Option<&str>)]) -> Transaction {
    Transaction {
        checks: checks
            .iter()
            .map(|(key, version)| Check {
                key: (*key).to_owned(),
                version: *version,
            })
            .collect(),
        writes: writes
            .iter()
            .map(|(key, value)| Write {
                key: (*key).to_owned(),
                value: value.map(str::to_owned),
            })
            .collect(),
    }
}

/// Guards against transactions that take effect in part or against their preconditions.
#[rstest]
#[case::current(&[("a", 1), ("b", 0)], true)]
#[case::stale(&[("b", 0), ("a", 2)], false)]
#[case::present(&[("a", 0)], false)]
#[case::absent(&[("a", 1), ("b", 1)], false)]
fn commit_checked(#[case] checks: &[(&str, u64)], #[case] done: bool) {
    let mut tables = Tables::default();
    tables.commit(&transaction(&[], &[("a", Some("1"))]));
    let commit = tables.commit(&transaction(checks, &[("a", None), ("b", Some("2"))]));
    assert_eq!(matches!(commit, Commit::Done { version: 2 }), done, "{commit:?}");
    assert_eq!(tables.get("a").is_none(), done);
    assert_eq!(tables.get("b").is_some(), done);
}

/// Guards against scans that leave the prefix or repeat the row they continue after.
#[test]
fn scan_pages() {
    let mut tables = Tables::default();
    tables.commit(&transaction(
        &[],
        &["j/1", "j/2", "j/3", "k/1"].map(|key| (key, Some("v"))),
    ));
    let keys =
        |after, limit| -> Vec<String> { tables.scan("j/", after, limit).into_iter().map(|row| row.key).collect() };
    assert_eq!(keys("", 2), ["j/1", "j/2"]);
    assert_eq!(keys("j/2", 2), ["j/3"]);
}
