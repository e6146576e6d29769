//! What daemons know of the scheduler of their region.

use super::Shared;
use crate::ids::{DaemonName, RegionName, Term};
use crate::message::Leader;

fn leader(daemon: &str, term: u64) -> Option<Leader> {
    Some(Leader {
        region: RegionName::from("r"),
        daemon: DaemonName::from(daemon),
        term: Term(term),
    })
}

/// Guards against calls that wait for a scheduler that is gone although its successor is known.
#[test]
fn set_leader_successor() {
    let mut shared = Shared::default();
    shared.set_leader(leader("a", 1), Some("a:1".to_owned()));
    let superseded = shared.superseded.clone();
    shared.set_leader(leader("b", 2), Some("b:1".to_owned()));
    assert!(superseded.is_raised());
    assert!(!shared.superseded.is_raised());
}

/// Guards against calls that are repeated at each read of the lease row.
#[test]
fn set_leader_same() {
    let mut shared = Shared::default();
    shared.set_leader(leader("a", 1), Some("a:1".to_owned()));
    let superseded = shared.superseded.clone();
    shared.set_leader(leader("a", 1), Some("a:1".to_owned()));
    assert!(!superseded.is_raised());
}

/// Guards against calls that stay with a scheduler that was restarted and serves under another term.
#[test]
fn set_leader_next_term() {
    let mut shared = Shared::default();
    shared.set_leader(leader("a", 1), Some("a:1".to_owned()));
    let superseded = shared.superseded.clone();
    shared.set_leader(leader("a", 2), Some("a:1".to_owned()));
    assert!(superseded.is_raised());
}
