//! Snapshots of a region's state, and deletion of the journal rows that they cover.
//!
//! A snapshot is an object named by the row `snapshot/REGION`. It is written, read back, compared by its checksum and
//! only then named. The snapshot before it is kept as a fallback, and rows are deleted only if both cover them.

use crate::appender::{AppendAction, AppendEvent, fenced};
use crate::clock::Millis;
use crate::edge::{Check, Row, Write};
use crate::ids::{RegionName, Seq, Term};
use crate::journal::{checksum, journal_key};
use crate::record;
use crate::state::RegionState;

/// Journal rows deleted in one transaction. With its preconditions it stays below the 100 entries that table services
/// accept.
const MAX_DELETED_ROWS: u64 = 90;
/// Pause after a failed snapshot before the next one is started.
const RETRY_PAUSE: Millis = Millis(1_000);

/// Journal rows and bytes since the last snapshot at which the next one is due. They bound what a takeover reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Rows at which a snapshot is due if they take at least half as many bytes as the last snapshot.
    pub min_rows: u64,
    /// Rows at which a snapshot is due in any case, to bound the journal scan of a takeover.
    pub max_rows: u64,
    /// Bytes of rows at which a snapshot is due if they are at least as many as those of the last snapshot.
    pub min_bytes: usize,
}

impl Default for SnapshotLimits {
    fn default() -> Self {
        Self {
            min_rows: 500,
            max_rows: 5_000,
            min_bytes: 256 * 1024,
        }
    }
}

record! {
    /// Reference to a snapshot in the object store.
    pub struct SnapshotRef {
        /// Key of the object.
        pub key: String,
        /// Newest journal row that it covers.
        pub seq: Seq,
        /// Checksum (64-bit FNV-1a) of the object.
        pub checksum: u64,
    }
}

impl SnapshotRef {
    /// Whether `body` matches the checksum.
    pub fn matches(&self, body: &[u8]) -> bool {
        checksum(body) == self.checksum
    }
}

record! {
    /// Value of the row `snapshot/REGION`, as JSON. All journal rows after `previous` are kept, so that a takeover can
    /// start from it if `current` can't be read.
    pub struct SnapshotRow {
        /// The newest snapshot.
        pub current: SnapshotRef,
        /// The newest intact snapshot before it; `None` if there is none.
        pub previous: Option<SnapshotRef>,
        /// The oldest journal row that may still exist.
        pub first: Seq,
    }
}

impl SnapshotRow {
    /// Parses the value of a snapshot row; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The snapshots that a takeover may start from, newest first.
    pub fn refs(&self) -> impl Iterator<Item = &SnapshotRef> {
        std::iter::once(&self.current).chain(&self.previous)
    }

    /// Whether the journal still has all its rows, so that a takeover needs no snapshot. No row is deleted before there
    /// is a previous snapshot that covers it.
    pub fn has_full_journal(&self) -> bool {
        self.previous.is_none()
    }
}

/// Key of the row that names a region's snapshots, `snapshot/REGION`.
pub fn snapshot_key(region: &RegionName) -> String {
    format!("snapshot/{region}")
}

/// What the writer does or waits for.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    ReadingRow,
    RowRead,
    Writing(SnapshotRef),
    ReadingBack(SnapshotRef),
    /// The new snapshot is intact; reads the one before.
    Checking(SnapshotRef, SnapshotRow),
    Naming(SnapshotRow),
    Deleting {
        last: u64,
    },
}

/// Writes the snapshots of a region under one term. Part of the journal's writer, which passes its actions on.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotWriter {
    region: RegionName,
    term: Term,
    /// Version of the term row.
    fence: u64,
    pub(crate) limits: SnapshotLimits,
    step: Step,
    paused_until: Millis,
    /// Version of the snapshot row as last read; 0 if it does not exist.
    row_version: u64,
    /// The snapshot row as last read or written.
    row: Option<SnapshotRow>,
    /// Newest journal row that the newest snapshot covers; 0 without a snapshot.
    covered: Seq,
    /// Bytes added to the journal since the last snapshot.
    new_bytes: usize,
    /// Bytes of the last snapshot; 0 before the first one.
    last_size: usize,
}

impl SnapshotWriter {
    /// Makes a writer for the term whose row has version `fence`. `covered` is the newest row that the snapshot covers
    /// from which the state was loaded; 0 without a snapshot.
    pub(crate) fn new(region: RegionName, term: Term, fence: u64, covered: Seq) -> Self {
        Self {
            region,
            term,
            fence,
            limits: SnapshotLimits::default(),
            step: Step::Idle,
            paused_until: Millis::ZERO,
            row_version: 0,
            row: None,
            covered,
            new_bytes: 0,
            last_size: 0,
        }
    }

    /// Sets what a takeover has read: the bytes of the snapshot and of the rows after it.
    pub(crate) fn set_read(&mut self, snapshot: usize, rows: usize) {
        self.last_size = snapshot;
        self.new_bytes = rows;
    }

    /// Counts bytes added to the journal since the last snapshot.
    pub(crate) fn add_bytes(&mut self, bytes: usize) {
        self.new_bytes += bytes;
    }

    /// Bytes added to the journal since the last snapshot.
    pub(crate) fn new_bytes(&self) -> usize {
        self.new_bytes
    }

    /// Bytes of the last snapshot; 0 before the first one.
    pub(crate) fn last_size(&self) -> usize {
        self.last_size
    }

    /// Starts a snapshot of `state` if one is due, or takes its next step.
    ///
    /// The row that names the snapshots is read first and written only if it still has that version. Otherwise a write
    /// that arrives late could name an old snapshot again whose following journal rows are deleted.
    pub(crate) fn poll(&mut self, now: Millis, state: &RegionState) -> Vec<AppendAction> {
        match self.step {
            Step::Idle if now >= self.paused_until && self.is_due(state) => {
                self.step = Step::ReadingRow;
                vec![AppendAction::ReadSnapshotRow {
                    key: snapshot_key(&self.region),
                }]
            }
            Step::RowRead => self.write_snapshot(state),
            _ => Vec::new(),
        }
    }

    fn is_due(&self, state: &RegionState) -> bool {
        let rows = state.seq.0.saturating_sub(self.covered.0);
        rows >= self.limits.max_rows
            || (rows >= self.limits.min_rows && self.new_bytes >= self.last_size / 2)
            || (rows > 0 && self.new_bytes >= self.limits.min_bytes.max(self.last_size))
    }

    fn write_snapshot(&mut self, state: &RegionState) -> Vec<AppendAction> {
        let body = state.encode();
        let key = format!("snapshot/{}/{:016}-{}", self.region, state.seq.0, self.term);
        let named = SnapshotRef {
            key: key.clone(),
            seq: state.seq,
            checksum: checksum(&body),
        };
        self.last_size = body.len();
        self.step = Step::Writing(named);
        vec![AppendAction::WriteObject { key, body }]
    }

    /// Handles the outcome of an action and returns follow-up actions.
    pub(crate) fn on(&mut self, now: Millis, event: AppendEvent) -> Vec<AppendAction> {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        match (step, event) {
            (Step::ReadingRow, AppendEvent::SnapshotRow { answered, row }) => self.row_read(now, answered, row),
            (Step::Writing(new), AppendEvent::ObjectWritten { key, done }) if new.key == key => {
                self.snapshot_written(now, new, done)
            }
            (Step::ReadingBack(new), AppendEvent::ObjectRead { key, body }) if new.key == key => {
                self.compare_read_back(now, new, body)
            }
            (Step::Checking(new, old), AppendEvent::ObjectRead { key, body }) if old.current.key == key => {
                let intact = body.is_some_and(|body| old.current.matches(&body));
                let previous = if intact { Some(old.current) } else { old.previous };
                self.commit_row(new, previous, old.first)
            }
            (Step::Naming(row), AppendEvent::Maintained(true)) => self.row_committed(row),
            (Step::Deleting { last }, AppendEvent::Maintained(true)) => self.delete_rows(last + 1),
            (Step::Naming(_) | Step::Deleting { .. }, AppendEvent::Maintained(false)) => self.fail(now),
            (step, _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    /// Gives up the snapshot and starts over after a pause. Deletion of rows can be repeated.
    fn fail(&mut self, now: Millis) -> Vec<AppendAction> {
        self.paused_until = now + RETRY_PAUSE;
        Vec::new()
    }

    fn row_read(&mut self, now: Millis, answered: bool, row: Option<Row>) -> Vec<AppendAction> {
        if !answered {
            return self.fail(now);
        }
        self.row_version = row.as_ref().map_or(0, |row| row.version);
        self.row = row.and_then(|row| SnapshotRow::parse(&row.value));
        self.step = Step::RowRead;
        Vec::new()
    }

    fn snapshot_written(&mut self, now: Millis, new: SnapshotRef, done: bool) -> Vec<AppendAction> {
        if !done {
            return self.fail(now);
        }
        let key = new.key.clone();
        self.step = Step::ReadingBack(new);
        vec![AppendAction::ReadObject { key }]
    }

    fn compare_read_back(&mut self, now: Millis, new: SnapshotRef, body: Option<Vec<u8>>) -> Vec<AppendAction> {
        if !body.is_some_and(|body| new.matches(&body)) {
            return self.fail(now);
        }
        match self.row.clone() {
            Some(old) => {
                let key = old.current.key.clone();
                self.step = Step::Checking(new, old);
                vec![AppendAction::ReadObject { key }]
            }
            None => self.commit_row(new, None, Seq(1)),
        }
    }

    /// Names the new snapshot. A damaged one never becomes the previous one: the journal rows that it covers would be
    /// deleted, and the state would be lost if the new one were damaged too.
    fn commit_row(&mut self, current: SnapshotRef, previous: Option<SnapshotRef>, first: Seq) -> Vec<AppendAction> {
        let row = SnapshotRow {
            current,
            previous,
            first,
        };
        let key = snapshot_key(&self.region);
        let mut transaction = fenced(&self.region, self.fence);
        transaction.checks.push(Check {
            key: key.clone(),
            version: self.row_version,
        });
        transaction.writes.push(Write {
            key,
            value: serde_json::to_string(&row).ok(),
        });
        self.step = Step::Naming(row);
        vec![AppendAction::Maintain { transaction }]
    }

    fn row_committed(&mut self, row: SnapshotRow) -> Vec<AppendAction> {
        self.covered = row.current.seq;
        self.new_bytes = 0;
        let first = row.first.0;
        let old = self.row.replace(row.clone());
        let mut actions: Vec<AppendAction> = old
            .iter()
            .flat_map(SnapshotRow::refs)
            .filter(|old| row.refs().all(|named| named.key != old.key))
            .map(|old| AppendAction::DeleteObject { key: old.key.clone() })
            .collect();
        actions.extend(self.delete_rows(first));
        actions
    }

    /// Deletes the next journal rows, from `first` on, that both snapshots cover. The snapshot row is updated with the
    /// next snapshot only.
    fn delete_rows(&mut self, first: u64) -> Vec<AppendAction> {
        let Some(named) = &mut self.row else {
            return Vec::new();
        };
        named.first = Seq(first);
        let covered = named.previous.as_ref().map_or(0, |previous| previous.seq.0);
        if first > covered {
            return Vec::new();
        }
        let last = covered.min(first + MAX_DELETED_ROWS - 1);
        let mut transaction = fenced(&self.region, self.fence);
        transaction.writes = (first..=last)
            .map(|seq| Write {
                key: journal_key(&self.region, Seq(seq)),
                value: None,
            })
            .collect();
        self.step = Step::Deleting { last };
        vec![AppendAction::Maintain { transaction }]
    }
}
