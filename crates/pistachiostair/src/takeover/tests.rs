//! Reading of snapshot and journal while requests to the store fail.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use futures_lite::future::block_on;
use rstest::rstest;

use super::{Loader, PAGE_ROWS};
use crate::clock::Clock;
use crate::edge::{BoxFuture, Commit, Objects, Row, Table, Transaction};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{RegionName, Seq};
use crate::journal::{checksum, journal_key};
use crate::snapshot::{SnapshotRef, SnapshotRow, snapshot_key};
use crate::storage::Storage;

/// A store in memory, of which a share of the requests fails.
struct Content {
    rows: BTreeMap<String, String>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Share of the requests that fail, in percent.
    failing: u32,
    random: fastrand::Rng,
    /// Number of times that each row was returned by a scan, by its key.
    scanned: BTreeMap<String, usize>,
    /// Number of times that each object was returned.
    read: BTreeMap<String, usize>,
}

#[derive(Clone)]
struct Fake(Arc<Mutex<Content>>);

impl Fake {
    /// Returns the content if the request is answered.
    fn admit(&self) -> Result<std::sync::MutexGuard<'_, Content>> {
        let mut content = self.0.lock().expect("store lock");
        let drawn = content.random.u32(..100);
        match drawn < content.failing {
            true => Err(Error::msg(ErrorKind::Timeout, "read", "no answer")),
            false => Ok(content),
        }
    }
}

impl Table for Fake {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            let content = self.admit()?;
            Ok(content.rows.get(key).map(|value| row(key, value)))
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let mut content = self.admit()?;
            let found = content.rows.range(after.to_owned()..);
            let found = found.filter(|(key, _)| key.as_str() > after && key.starts_with(prefix));
            let page: Vec<Row> = found.take(limit).map(|(key, value)| row(key, value)).collect();
            for row in &page {
                *content.scanned.entry(row.key.clone()).or_default() += 1;
            }
            Ok(page)
        })
    }

    fn commit<'a>(&'a self, _: &'a Transaction) -> BoxFuture<'a, Result<Commit>> {
        unreachable!("a takeover only reads")
    }
}

impl Objects for Fake {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>>> {
        Box::pin(async move {
            let mut content = self.admit()?;
            *content.read.entry(key.to_owned()).or_default() += 1;
            Ok(content.objects.get(key).cloned())
        })
    }

    fn write<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Result<()>> {
        unreachable!("a takeover only reads")
    }

    fn delete<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<()>> {
        unreachable!("a takeover only reads")
    }
}

fn row(key: &str, value: &str) -> Row {
    Row {
        key: key.to_owned(),
        version: 1,
        value: value.to_owned(),
    }
}

fn region() -> RegionName {
    RegionName::from("fi")
}

/// A store with journal rows `first` to `last`, and snapshots that cover the rows up to each of `snapshots`, the newest
/// first.
fn store(first: u64, last: u64, snapshots: &[u64]) -> Fake {
    let mut content = Content {
        rows: BTreeMap::new(),
        objects: BTreeMap::new(),
        failing: 0,
        random: fastrand::Rng::with_seed(1),
        scanned: BTreeMap::new(),
        read: BTreeMap::new(),
    };
    for seq in first..=last {
        content
            .rows
            .insert(journal_key(&region(), Seq(seq)), format!("row {seq}"));
    }
    let mut named = snapshots.iter().map(|seq| {
        let (key, body) = (format!("snapshot/{seq}"), format!("state {seq}").into_bytes());
        let checksum = checksum(&body);
        content.objects.insert(key.clone(), body);
        let seq = Seq(*seq);
        SnapshotRef { key, seq, checksum }
    });
    let current = named.next();
    let previous = named.next();
    if let Some(current) = current {
        let first = Seq(first);
        let row = SnapshotRow {
            current,
            previous,
            first,
        };
        let value = serde_json::to_string(&row).expect("JSON");
        content.rows.insert(snapshot_key(&region()), value);
    }
    Fake(Arc::new(Mutex::new(content)))
}

/// Repeats the load until it succeeds, at most `tries` times.
fn load(fake: &Fake, tries: usize) -> Result<(Option<Vec<u8>>, Vec<u64>)> {
    let storage = Storage {
        table: Arc::new(fake.clone()),
        objects: Arc::new(fake.clone()),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut loader = Loader::new(region(), log, Clock::start());
    let mut result = block_on(loader.load(&storage, &|| true));
    for _ in 1..tries {
        if result.is_err() {
            result = block_on(loader.load(&storage, &|| true));
        }
    }
    let (snapshot, rows) = result?;
    let rows = rows.iter().map(|(seq, value)| {
        assert_eq!(*value, format!("row {seq}"));
        seq.0
    });
    Ok((snapshot, rows.collect()))
}

/// Guards against a takeover that reads from the beginning after each failed request, and so never ends while requests
/// keep failing, or that loses rows of a page whose neighbour failed.
#[rstest]
#[case::all_answered(0)]
#[case::some_fail(20)]
#[case::half_fail(50)]
#[case::most_fail(80)]
fn load_resumes(#[case] failing: u32) {
    let last = 40 + 9 * PAGE_ROWS.1 as u64 + 7;
    let fake = store(10, last, &[40, 20]);
    fake.0.lock().expect("store lock").failing = failing;
    let (snapshot, rows) = load(&fake, 200).expect("loaded");
    assert_eq!(snapshot, Some(b"state 40".to_vec()));
    assert_eq!(rows, (41..=last).collect::<Vec<u64>>());
    let content = fake.0.lock().expect("store lock");
    assert_eq!(content.read.get("snapshot/40"), Some(&1), "the snapshot was read once");
    // A page is read once more for each failure of the page before it, which is read at the same time.
    let again = content.scanned.values().filter(|count| **count > 1).count();
    assert!(failing > 0 || again == 0, "{again} rows were read again");
}

/// Guards against a takeover from a damaged snapshot, or without the rows between that and the one before it.
#[test]
fn load_damaged_snapshot() {
    let fake = store(10, 100, &[40, 20]);
    fake.0
        .lock()
        .expect("store lock")
        .objects
        .insert("snapshot/40".to_owned(), b"other".to_vec());
    let (snapshot, rows) = load(&fake, 1).expect("loaded");
    assert_eq!(snapshot, Some(b"state 20".to_vec()));
    assert_eq!(rows, (21..=100).collect::<Vec<u64>>());
}

/// Guards against a state without the rows that were deleted, when no snapshot covers them.
#[rstest]
#[case::truncated(10, &[40, 20], false)]
#[case::whole(1, &[40], true)]
#[case::no_snapshot(1, &[], true)]
fn load_without_snapshot(#[case] first: u64, #[case] snapshots: &[u64], #[case] loads: bool) {
    let fake = store(first, 100, snapshots);
    fake.0.lock().expect("store lock").objects.clear();
    match load(&fake, 1) {
        Ok((snapshot, rows)) => {
            assert!(loads, "loaded without the rows before {first}");
            assert_eq!((snapshot, rows), (None, (1..=100).collect()));
        }
        Err(error) => assert!(!loads && error.kind == ErrorKind::Internal, "{error}"),
    }
    let keys: BTreeSet<String> = fake.0.lock().expect("store lock").read.keys().cloned().collect();
    assert_eq!(keys.len(), snapshots.len(), "each snapshot was tried: {keys:?}");
}
