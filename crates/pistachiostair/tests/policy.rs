//! Which configuration a daemon has in force, and which daemons have another one.

use pistachiostair::{
    DaemonName, DomainName, Incarnation, Limits, MAX_DOCUMENT_BYTES, Member, MemberState, Policy, PolicyState,
    RegionName, Revision,
};
use proptest::prelude::*;

fn document(rate: u32) -> String {
    format!("limits:\n  rate: {rate}\n")
}

/// Guards against a document with a higher revision that is accepted but not put in force.
#[test]
fn apply_higher() {
    let mut state = PolicyState::new();
    assert_eq!(state.policy(), &Policy::default());
    assert_eq!(state.apply(Revision(3), &document(7)), Ok(true));
    let limits = Limits {
        rate: 7,
        ..Limits::default()
    };
    assert_eq!(
        state.policy(),
        &Policy {
            limits,
            ..Policy::default()
        }
    );
    assert_eq!((state.revision(), state.document()), (Revision(3), &*document(7)));
}

/// Guards against an invalid document that replaces the one in force, and an error that does not say which field is
/// wrong.
#[test]
fn apply_invalid() {
    let mut state = PolicyState::new();
    state.apply(Revision(3), &document(7)).unwrap();
    let findings = state.apply(Revision(4), "limits:\n  rate: many\n").unwrap_err();
    assert_eq!(findings[0].path, "limits.rate", "{findings:?}");
    assert_eq!((state.revision(), state.policy().limits.rate), (Revision(3), 7));
    assert!(state.is_behind());
    assert_eq!(state.rejected(), Some(&(Revision(4), findings)));
    state.apply(Revision(5), &document(8)).unwrap();
    assert!(!state.is_behind() && state.rejected().is_none());
}

/// Guards against documents whose parsing takes memory or time out of proportion to their length: aliases that expand
/// exponentially, and deep nesting.
#[test]
fn apply_oversize() {
    let mut state = PolicyState::new();
    let long = format!("#{}", "x".repeat(MAX_DOCUMENT_BYTES));
    assert!(state.apply(Revision(1), &long).is_err());
    let levels = (1..40).map(|n| format!("a{n}: &a{n} [{}]\n", vec![format!("*a{}", n - 1); 9].join(",")));
    let aliases = format!("a0: &a0 x\n{}", levels.collect::<String>());
    assert!(state.apply(Revision(1), &aliases).is_err());
    assert!(state.apply(Revision(1), &"[".repeat(100_000)).is_err());
}

/// Guards against daemons that are reported as up to date although they have another revision.
#[test]
fn skew_states() {
    let mut state = PolicyState::new();
    state.apply(Revision(3), &document(7)).unwrap();
    let member = |name: &str, policy, state| Member {
        name: DaemonName::from(name),
        incarnation: Incarnation(1),
        address: String::new(),
        region: RegionName::from("fi"),
        domain: DomainName::from("a"),
        state,
        policy: Revision(policy),
    };
    let members = [
        member("a", 2, MemberState::Live),
        member("b", 3, MemberState::Live),
        member("c", 4, MemberState::Leaving),
        member("d", 1, MemberState::Dead),
    ];
    let skew = state.skew(&members);
    assert_eq!(skew.behind, [DaemonName::from("a")]);
    assert_eq!(skew.ahead, [DaemonName::from("c")]);
    state.note_revision(Revision(4));
    assert!(state.is_behind());
}

proptest! {
    /// Guards against a configuration that reverts to a lower revision when documents arrive out of order, as pushes
    /// and polls may.
    #[test]
    fn apply_any_order(revisions in proptest::collection::vec(1_u64..20, 1..60)) {
        let mut state = PolicyState::new();
        let mut highest = 0;
        for revision in revisions {
            let applied = state.apply(Revision(revision), &document(revision as u32)).unwrap();
            prop_assert_eq!(applied, revision > highest);
            highest = highest.max(revision);
            prop_assert_eq!(state.revision(), Revision(highest));
            prop_assert_eq!(u64::from(state.policy().limits.rate), highest);
        }
    }
}
