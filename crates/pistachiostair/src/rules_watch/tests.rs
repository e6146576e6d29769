//! What a daemon accepts of the configuration of another one. Pattern: the store turns a third of the daemons away while
//! keys are withdrawn.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use futures_lite::future::block_on;
use rstest::rstest;

use super::{Known, MAX_WAIT, RulesWatch};
use crate::clock::Millis;
use crate::edge::{BoxFuture, RulesSource, RulesUpdate};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{DomainName, Revision};
use crate::kernel::Kernel;
use crate::message::RulesAge;
use crate::steps::{EvacuationSource, EvacuationUpdate, Rules, StartBan};

fn rules(version: u64) -> Rules {
    Rules {
        version: Revision(version),
        ..Rules::default()
    }
}

fn update(version: u64) -> RulesUpdate {
    RulesUpdate {
        rules: Some(rules(version)),
        ..RulesUpdate::default()
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
    known.confirm(Millis(1_000), Millis::ZERO);
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

/// Guards against a daemon that has just restarted and takes an old confirmation for one of its start, since its clock
/// has no earlier time: it would accept keys that were withdrawn meanwhile.
#[test]
fn compare_confirmed_before_start() {
    let mut known = Known::default();
    known.apply(rules(5));
    assert!(!known.compare(Millis(300), aged(5, 20_000)));
    assert_eq!(known.confirmed, None);
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

/// A source that fails the second read, and keeps the waits that it was asked for. After the fourth read it is silent.
#[derive(Default)]
struct Source(Mutex<Vec<Millis>>);

impl RulesSource for Source {
    fn rules(&self, _: Option<u64>, wait: Millis) -> BoxFuture<'_, Result<(u64, RulesUpdate)>> {
        let mut waits = self.0.lock().unwrap();
        waits.push(wait);
        let number = waits.len();
        Box::pin(async move {
            match number {
                2 => Err(Error::msg(ErrorKind::Timeout, "read rules", "no answer")),
                1 | 3 => Ok((number as u64, update(number as u64))),
                _ => futures_lite::future::pending().await,
            }
        })
    }
}

/// Guards against a configuration that is learnt late after an outage of the store, because a read that was lost in it
/// waits for a change.
#[test]
fn follow_after_outage() {
    let executor = Arc::new(Executor::new());
    let kernel = Kernel::new(executor.clone());
    let source = Arc::new(Source::default());
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let watch = RulesWatch::start(&kernel, source.clone(), EvacuationSource::None, log).unwrap();
    while source.0.lock().unwrap().len() < 4 {
        block_on(executor.tick());
    }
    assert_eq!(*source.0.lock().unwrap(), [MAX_WAIT, MAX_WAIT, Millis::ZERO, MAX_WAIT]);
    assert_eq!(watch.rules().map(|rules| rules.version), Some(Revision(3)));
}

/// A source whose feed of changes has expired at the third read. It keeps the positions that it was asked for. A domain is
/// evacuated before each of the first reads, and only the last one stays so.
#[derive(Default)]
struct Expiring(Mutex<Vec<Option<u64>>>);

impl RulesSource for Expiring {
    fn rules(&self, after: Option<u64>, _: Millis) -> BoxFuture<'_, Result<(u64, RulesUpdate)>> {
        let mut reads = self.0.lock().unwrap();
        reads.push(after);
        let number = reads.len() as u64;
        let evacuations = EvacuationUpdate {
            full: after.is_none(),
            requested: BTreeSet::from([format!("z{number}").into()]),
            withdrawn: BTreeSet::new(),
        };
        Box::pin(async move {
            match number {
                3 => Err(Error::msg(ErrorKind::Expired, "read rules", "no history")),
                1..=4 => Ok((
                    number,
                    RulesUpdate {
                        rules: None,
                        evacuations,
                    },
                )),
                _ => futures_lite::future::pending().await,
            }
        })
    }
}

/// Guards against requests that stay in force although they were withdrawn while the feed of changes was lost, and against
/// starts in all domains until they are read.
#[test]
fn follow_expired_feed() {
    let executor = Arc::new(Executor::new());
    let kernel = Kernel::new(executor.clone());
    let source = Arc::new(Expiring::default());
    let followed = EvacuationSource::Followed { max_age: None };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let watch = RulesWatch::start(&kernel, source.clone(), followed, log).unwrap();
    let z1 = DomainName::from("z1");
    assert_eq!(watch.start_ban(&z1), Some(StartBan::NotRead));
    while source.0.lock().unwrap().len() < 5 {
        block_on(executor.tick());
    }
    assert_eq!(*source.0.lock().unwrap(), [None, Some(1), Some(2), None, Some(4)]);
    assert_eq!(watch.start_ban(&z1), None);
    assert_eq!(watch.start_ban(&DomainName::from("z4")), Some(StartBan::Evacuated));
}
