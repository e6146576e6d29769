//! Decisions about starts in failure domains, by the requests that were read and their age.

use std::collections::BTreeSet;

use rstest::rstest;

use super::{DomainGate, EvacuationSource, EvacuationUpdate, Evacuations, StartBan};
use crate::clock::Millis;
use crate::ids::DomainName;

const FOLLOWED: EvacuationSource = EvacuationSource::Followed {
    max_age: Some(Millis(3_500)),
};

fn names(domains: &[&str]) -> BTreeSet<DomainName> {
    domains.iter().map(|domain| DomainName::from(*domain)).collect()
}

fn update(full: bool, requested: &[&str], withdrawn: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate {
        full,
        requested: names(requested),
        withdrawn: names(withdrawn),
    }
}

/// Domains of `z0` to `z3` in which nothing may be started at a time.
fn banned(gate: &DomainGate, now: u64) -> Vec<String> {
    let domains = (0..4).map(|number| format!("z{number}"));
    domains
        .filter(|domain| {
            gate.ban_in(FOLLOWED, &DomainName::from(domain.as_str()), Millis(now))
                .is_some()
        })
        .collect()
}

/// Guards against changes that replace what is in force, and against a whole read that leaves what is no longer there.
#[test]
fn apply_changes() {
    let mut gate = DomainGate::default();
    gate.apply(update(true, &["z0"], &[]), Millis(1_000));
    gate.apply(update(false, &["z1", "z2"], &[]), Millis(1_100));
    assert_eq!(banned(&gate, 1_200), ["z0", "z1", "z2"]);
    gate.apply(update(false, &["z3"], &["z0", "z1"]), Millis(1_300));
    assert_eq!(banned(&gate, 1_400), ["z2", "z3"]);
    gate.apply(update(true, &["z1"], &[]), Millis(1_500));
    assert_eq!(banned(&gate, 1_600), ["z1"]);
}

/// Guards against starts before the requests were read whole, as after changes that tell of one domain only.
#[test]
fn ban_before_read() {
    let mut gate = DomainGate::default();
    assert_eq!(gate.ban(FOLLOWED, Millis(9_000)), Some(StartBan::NotRead));
    gate.apply(update(false, &["z0"], &[]), Millis(9_000));
    assert_eq!(gate.ban(FOLLOWED, Millis(9_000)), Some(StartBan::NotRead));
    assert_eq!(gate.ban(EvacuationSource::None, Millis(9_000)), None);
}

/// Guards against an age that is taken for smaller than it is, and against one that counts where no bound is set.
#[rstest]
#[case::fresh(FOLLOWED, 4_499, None)]
#[case::outdated(FOLLOWED, 4_500, Some(StartBan::Outdated))]
#[case::unbounded(EvacuationSource::Followed { max_age: None }, 1_000_000, None)]
fn ban_by_age(#[case] source: EvacuationSource, #[case] now: u64, #[case] ban: Option<StartBan>) {
    let mut gate = DomainGate::default();
    gate.apply(update(true, &[], &[]), Millis(1_000));
    assert_eq!(gate.ban(source, Millis(now)), ban);
    assert_eq!(gate.ban_in(source, &DomainName::from("z0"), Millis(now)), ban);
}

/// Guards against a confirmation from the future, as after a jump of the clock, that stays valid for the whole jump.
#[test]
fn replace_confirmed_later() {
    let mut gate = DomainGate::default();
    let known = Evacuations {
        domains: names(&["z0"]),
        confirmed: Millis(900_000),
    };
    gate.replace(known, Millis(1_000));
    assert_eq!(banned(&gate, 2_000), ["z0"]);
    assert_eq!(gate.ban(FOLLOWED, Millis(4_500)), Some(StartBan::Outdated));
}
