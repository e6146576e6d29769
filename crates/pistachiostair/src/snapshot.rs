//! SnapshotWriter of a region's state and the removal of journal rows that they cover.

use crate::appender::{AppendAction, AppendEvent, fenced};
use crate::clock::Millis;
use crate::edge::{Check, Row, Write};
use crate::ids::{RegionName, Seq, Term};
use crate::journal::{checksum, journal_key};
use crate::record;
use crate::state::State;

/// Rows deleted in one transaction: with its preconditions below the 100 entries that table services take.
const DELETE_ROWS: u64 = 90;
/// Pause after a failure.
const PAUSE: Millis = Millis(1_000);

/// When a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Journal rows after which it is due, unless they are small in comparison with the last one.
    pub min_rows: u64,
    /// Journal rows after which it is due in any case: bounds the scan of a takeover.
    pub max_rows: u64,
}

impl Default for SnapshotLimits {
    fn default() -> Self {
        Self {
            min_rows: 500,
            max_rows: 5_000,
        }
    }
}

record! {
    /// A snapshot in the object store.
    pub struct SnapshotRef {
        /// Key of the object.
        pub key: String,
        /// The newest journal row that it covers.
        pub seq: Seq,
        /// Checksum of the whole object.
        pub checksum: u64,
    }
}

impl SnapshotRef {
    /// Whether `body` is the object that was written.
    pub fn matches(&self, body: &[u8]) -> bool {
        checksum(body) == self.checksum
    }
}

record! {
    /// Value of the row `snapshot/R`, as JSON. Journal rows are kept from behind `previous` on, so
    /// that a takeover can start from it if `current` can't be read.
    pub struct SnapshotRow {
        /// The newest snapshot.
        pub current: SnapshotRef,
        /// The one before.
        pub previous: Option<SnapshotRef>,
        /// The oldest journal row that may exist.
        pub first: Seq,
    }
}

impl SnapshotRow {
    /// Parses the row's value.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The snapshots that a takeover may start from, in order of preference.
    pub fn refs(&self) -> impl Iterator<Item = &SnapshotRef> {
        std::iter::once(&self.current).chain(&self.previous)
    }

    /// Whether the journal still has all its rows, so that a takeover needs no snapshot: rows are
    /// deleted only once an older snapshot covers them.
    pub fn has_full_journal(&self) -> bool {
        self.previous.is_none()
    }
}

/// Key of the row that names a region's snapshots.
pub fn snapshot_key(region: &RegionName) -> String {
    format!("snapshot/{region}")
}

#[derive(Clone, Debug)]
enum Step {
    Idle,
    Asking,
    Asked,
    Putting(SnapshotRef),
    Reading(SnapshotRef),
    /// The new snapshot is whole; the one before is read.
    Checking(SnapshotRef, SnapshotRow),
    Naming(SnapshotRow),
    Deleting {
        upto: u64,
    },
}

/// The writer of snapshots, used by the appender.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotWriter {
    region: RegionName,
    term: Term,
    fence: u64,
    pub(crate) limits: SnapshotLimits,
    step: Step,
    pause: Millis,
    version: u64,
    named: Option<SnapshotRow>,
    covered: Seq,
    bytes: usize,
    size: usize,
}

impl SnapshotWriter {
    /// `covered` is the newest row in the snapshot that the state was read from.
    pub(crate) fn new(region: RegionName, term: Term, fence: u64, covered: Seq) -> Self {
        Self {
            region,
            term,
            fence,
            limits: SnapshotLimits::default(),
            step: Step::Idle,
            pause: Millis::ZERO,
            version: 0,
            named: None,
            covered,
            bytes: 0,
            size: 0,
        }
    }

    /// Counts bytes added to the journal.
    pub(crate) fn grew(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// Goes on with the snapshot of `state` if one is due.
    ///
    /// The row that names the snapshots is read first and written only at that version: a write of
    /// it that arrives late can't bring back a snapshot whose journal rows are gone.
    pub(crate) fn poll(&mut self, now: Millis, state: &State) -> Vec<AppendAction> {
        match self.step {
            Step::Idle if now >= self.pause && self.due(state) => {
                self.step = Step::Asking;
                vec![AppendAction::ReadSnapshotRow {
                    key: snapshot_key(&self.region),
                }]
            }
            Step::Asked => self.write(state),
            _ => Vec::new(),
        }
    }

    fn due(&self, state: &State) -> bool {
        let rows = state.seq.0.saturating_sub(self.covered.0);
        rows >= self.limits.max_rows || (rows >= self.limits.min_rows && self.bytes >= self.size / 2)
    }

    fn write(&mut self, state: &State) -> Vec<AppendAction> {
        let body = state.encode();
        let key = format!("snapshot/{}/{:016}-{}", self.region, state.seq.0, self.term);
        let named = SnapshotRef {
            key: key.clone(),
            seq: state.seq,
            checksum: checksum(&body),
        };
        self.size = body.len();
        self.step = Step::Putting(named);
        vec![AppendAction::WriteObject { key, body }]
    }

    /// Takes note of an outcome.
    pub(crate) fn on(&mut self, now: Millis, event: AppendEvent) -> Vec<AppendAction> {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        match (step, event) {
            (Step::Asking, AppendEvent::SnapshotRow { answered, row }) => self.asked(now, answered, row),
            (Step::Putting(made), AppendEvent::ObjectWritten { key, done }) if made.key == key => {
                self.put(now, made, done)
            }
            (Step::Reading(made), AppendEvent::ObjectRead { key, body }) if made.key == key => {
                self.compare(now, made, body)
            }
            (Step::Checking(made, old), AppendEvent::ObjectRead { key, body }) if old.current.key == key => {
                let whole = body.is_some_and(|body| old.current.matches(&body));
                let previous = if whole { Some(old.current) } else { old.previous };
                self.name(made, previous, old.first)
            }
            (Step::Naming(row), AppendEvent::Maintained(true)) => self.adopt(row),
            (Step::Deleting { upto }, AppendEvent::Maintained(true)) => self.delete(upto + 1),
            (Step::Naming(_) | Step::Deleting { .. }, AppendEvent::Maintained(false)) => self.fail(now),
            (step, _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    /// Every failure starts over with the next snapshot; a deletion can be repeated.
    fn fail(&mut self, now: Millis) -> Vec<AppendAction> {
        self.pause = now + PAUSE;
        Vec::new()
    }

    fn asked(&mut self, now: Millis, answered: bool, row: Option<Row>) -> Vec<AppendAction> {
        if !answered {
            return self.fail(now);
        }
        self.version = row.as_ref().map_or(0, |row| row.version);
        self.named = row.and_then(|row| SnapshotRow::parse(&row.value));
        self.step = Step::Asked;
        Vec::new()
    }

    fn put(&mut self, now: Millis, made: SnapshotRef, done: bool) -> Vec<AppendAction> {
        if !done {
            return self.fail(now);
        }
        let key = made.key.clone();
        self.step = Step::Reading(made);
        vec![AppendAction::ReadObject { key }]
    }

    fn compare(&mut self, now: Millis, made: SnapshotRef, body: Option<Vec<u8>>) -> Vec<AppendAction> {
        if !body.is_some_and(|body| made.matches(&body)) {
            return self.fail(now);
        }
        match self.named.clone() {
            Some(old) => {
                let key = old.current.key.clone();
                self.step = Step::Checking(made, old);
                vec![AppendAction::ReadObject { key }]
            }
            None => self.name(made, None, Seq(1)),
        }
    }

    /// Names the new snapshot. A damaged one never becomes the previous one: the journal rows that
    /// it covers would be deleted, and damage to the new one would then lose them.
    fn name(&mut self, current: SnapshotRef, previous: Option<SnapshotRef>, first: Seq) -> Vec<AppendAction> {
        let row = SnapshotRow {
            current,
            previous,
            first,
        };
        let key = snapshot_key(&self.region);
        let mut transaction = fenced(&self.region, self.fence);
        transaction.checks.push(Check {
            key: key.clone(),
            version: self.version,
        });
        transaction.writes.push(Write {
            key,
            value: serde_json::to_string(&row).ok(),
        });
        self.step = Step::Naming(row);
        vec![AppendAction::Maintain { transaction }]
    }

    fn adopt(&mut self, row: SnapshotRow) -> Vec<AppendAction> {
        self.covered = row.current.seq;
        self.bytes = 0;
        let first = row.first.0;
        let old = self.named.replace(row.clone());
        let mut actions: Vec<AppendAction> = old
            .iter()
            .flat_map(SnapshotRow::refs)
            .filter(|old| row.refs().all(|named| named.key != old.key))
            .map(|old| AppendAction::DeleteObject { key: old.key.clone() })
            .collect();
        actions.extend(self.delete(first));
        actions
    }

    /// Deletes rows from `first` on that both snapshots cover. The named row learns of it with the
    /// next snapshot.
    fn delete(&mut self, first: u64) -> Vec<AppendAction> {
        let Some(named) = &mut self.named else {
            return Vec::new();
        };
        named.first = Seq(first);
        let covered = named.previous.as_ref().map_or(0, |previous| previous.seq.0);
        if first > covered {
            return Vec::new();
        }
        let upto = covered.min(first + DELETE_ROWS - 1);
        let mut transaction = fenced(&self.region, self.fence);
        transaction.writes = (first..=upto)
            .map(|seq| Write {
                key: journal_key(&self.region, Seq(seq)),
                value: None,
            })
            .collect();
        self.step = Step::Deleting { upto };
        vec![AppendAction::Maintain { transaction }]
    }
}
