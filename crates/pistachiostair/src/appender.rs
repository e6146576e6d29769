//! Group commit of journal records, with write ids and read-back after a lost answer.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::edge::{Check, Row, Transaction, Write};
use crate::ids::{RegionName, Seq, Term};
use crate::journal::{Batch, MAX_BATCH_RECORDS, Record, journal_key, term_key};
use crate::snapshot::{SnapshotLimits, SnapshotWriter};
use crate::state::State;
use crate::steps::StepRecord;

/// What the store must do for the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendAction {
    /// Commit this transaction, which writes the journal row `seq`.
    Commit {
        /// Position of the row.
        seq: Seq,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read the journal row `seq` back.
    ReadBack {
        /// Position of the row.
        seq: Seq,
        /// Its key.
        key: String,
    },
    /// Write an object.
    WriteObject {
        /// Key of the object.
        key: String,
        /// Its content.
        body: Vec<u8>,
    },
    /// Read an object.
    ReadObject {
        /// Key of the object.
        key: String,
    },
    /// Read the row that names the newest snapshot.
    ReadSnapshotRow {
        /// Key of the row.
        key: String,
    },
    /// Delete an object that nothing refers to any more; its outcome is not reported.
    DeleteObject {
        /// Key of the object.
        key: String,
    },
    /// Commit a transaction that has no journal row: the snapshot's row, or the removal of old rows.
    Maintain {
        /// The transaction.
        transaction: Transaction,
    },
}

/// Outcome of an [`AppendAction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// The row is committed.
    Committed(Seq),
    /// The row is not committed: a precondition did not hold.
    Conflict(Seq),
    /// The commit was not answered: it may have taken effect.
    Unknown(Seq),
    /// The row as read back; its value, or nothing if it does not exist.
    ReadBack(Seq, Option<String>),
    /// The read-back was not answered.
    ReadBackFailed(Seq),
    /// The object is written, or not.
    ObjectWritten {
        /// Key of the object.
        key: String,
        /// Whether it was written.
        done: bool,
    },
    /// The object as read; nothing if it can't be read.
    ObjectRead {
        /// Key of the object.
        key: String,
        /// Its content.
        body: Option<Vec<u8>>,
    },
    /// The row that names the newest snapshot.
    SnapshotRow {
        /// Whether the read was answered.
        answered: bool,
        /// The row, if it exists.
        row: Option<Row>,
    },
    /// Outcome of a maintenance transaction: committed or not.
    Maintained(bool),
}

/// Shortest span between two transactions: bounds the writes per second of a region to 100, a
/// fraction of the several hundred that the table service handles.
const GAP: Millis = Millis(10);
/// Pause before a read-back or a write is tried again during an outage of the store.
const RETRY: Millis = Millis(250);
/// Most bytes of records in one batch, unless rows of the table service hold less.
const MAX_BYTES: usize = 256 * 1024;
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Committing,
    Reading,
    CommitAt(Millis),
    ReadAt(Millis),
}

#[derive(Clone, Debug)]
struct Flight {
    seq: Seq,
    batch: Batch,
    since: Millis,
    step: Step,
    /// Whether an answer was ever lost: then an absent row may still appear.
    doubtful: bool,
}

/// The writer of a region's journal under one term.
///
/// A record that was pushed is committed in the end, or this daemon is no longer the scheduler:
/// a transaction of unknown outcome is read back and sent again until one of both is certain.
#[derive(Clone, Debug)]
pub struct Appender {
    region: RegionName,
    term: Term,
    fence: u64,
    next: Seq,
    writes: u64,
    queue: VecDeque<Record>,
    flight: Option<Flight>,
    last: Option<Millis>,
    done: VecDeque<(Seq, Batch)>,
    lost: bool,
    max_bytes: usize,
    snapshots: SnapshotWriter,
}

impl Appender {
    /// A writer behind row `seq`, for the term whose row has version `fence`; `covered` is the
    /// newest row in the snapshot that the state was read from.
    pub fn new(region: RegionName, term: Term, fence: u64, seq: Seq, covered: Seq) -> Self {
        Self {
            snapshots: SnapshotWriter::new(region.clone(), term, fence, covered),
            region,
            term,
            fence,
            next: seq.next(),
            writes: 0,
            queue: VecDeque::new(),
            flight: None,
            last: None,
            done: VecDeque::new(),
            lost: false,
            max_bytes: MAX_BYTES,
        }
    }

    /// Lowers the bytes of records in one batch to what a row of the table service holds.
    #[must_use]
    pub(crate) fn with_row_bytes(mut self, bytes: usize) -> Self {
        self.max_bytes = self.max_bytes.min(bytes);
        self
    }

    /// Changes when a snapshot is due.
    #[must_use]
    pub fn with_snapshots(mut self, limits: SnapshotLimits) -> Self {
        self.snapshots.limits = limits;
        self
    }

    /// Queues records for the next batch.
    pub fn push(&mut self, records: impl IntoIterator<Item = Record>) {
        self.queue.extend(records);
    }

    /// Whether a batch could be sent now.
    pub fn ready(&self, now: Millis) -> bool {
        self.flight.is_none() && !self.lost && self.last.is_none_or(|last| now.since(last) >= GAP)
    }

    /// When the next batch may be sent, if records wait and nothing is in flight.
    pub fn next_send(&self) -> Option<Millis> {
        let waits = self.flight.is_none() && !self.queue.is_empty();
        waits.then(|| self.last.map_or(Millis::ZERO, |last| last + GAP))
    }

    /// When [`Self::ready`] will hold if nothing is sent before; none while a transaction is in flight.
    pub(crate) fn ready_at(&self) -> Option<Millis> {
        let free = self.flight.is_none() && !self.lost;
        free.then(|| self.last.map_or(Millis::ZERO, |last| last + GAP))
    }

    /// Records that are not committed yet.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |flight| flight.batch.records.len())
    }

    /// For how long the transaction in flight has had no certain outcome.
    pub fn stalled(&self, now: Millis) -> Millis {
        self.flight
            .as_ref()
            .map_or(Millis::ZERO, |flight| now.since(flight.since))
    }

    /// Whether another scheduler wrote or took the term over.
    pub fn superseded(&self) -> bool {
        self.lost
    }

    /// The next committed batch, in order.
    pub fn next_committed(&mut self) -> Option<(Seq, Batch)> {
        self.done.pop_front()
    }

    /// Sends what is due; `wall` goes into the batch.
    pub fn poll(&mut self, now: Millis, wall: Millis) -> Vec<AppendAction> {
        if self.lost {
            return Vec::new();
        }
        if let Some(flight) = &mut self.flight {
            return match flight.step {
                Step::CommitAt(at) if at <= now => self.commit(now),
                Step::ReadAt(at) if at <= now => self.read_back(),
                _ => Vec::new(),
            };
        }
        if self.queue.is_empty() || !self.ready(now) {
            return Vec::new();
        }
        self.writes += 1;
        let batch = Batch {
            write: format!("{}-{}", self.term, self.writes),
            term: self.term,
            wall,
            records: self.take(),
        };
        self.flight = Some(Flight {
            seq: self.next,
            batch,
            since: now,
            step: Step::Committing,
            doubtful: false,
        });
        self.commit(now)
    }

    /// Takes note of an outcome.
    pub fn on(&mut self, now: Millis, event: AppendEvent) -> Vec<AppendAction> {
        match event {
            AppendEvent::Committed(seq) if self.flying(seq) => self.settle(),
            AppendEvent::Conflict(seq) if self.flying(seq) => return self.doubt(false),
            AppendEvent::Unknown(seq) if self.flying(seq) => return self.doubt(true),
            AppendEvent::ReadBack(seq, value) if self.flying(seq) => return self.compare(now, value),
            AppendEvent::ReadBackFailed(seq) if self.flying(seq) => self.step(Step::ReadAt(now + RETRY)),
            other => return self.snapshots.on(now, other),
        }
        Vec::new()
    }

    fn take(&mut self) -> Vec<Record> {
        let mut bytes = 0;
        let mut records = Vec::new();
        while let Some(record) = self.queue.front() {
            bytes += weight(record);
            if !records.is_empty() && (bytes > self.max_bytes || records.len() == MAX_BATCH_RECORDS) {
                break;
            }
            records.extend(self.queue.pop_front());
        }
        records
    }

    fn flying(&self, seq: Seq) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.seq == seq)
    }

    fn step(&mut self, step: Step) {
        if let Some(flight) = &mut self.flight {
            flight.step = step;
        }
    }

    fn commit(&mut self, now: Millis) -> Vec<AppendAction> {
        self.step(Step::Committing);
        self.last = Some(now);
        let Some(flight) = &self.flight else {
            return Vec::new();
        };
        let key = journal_key(&self.region, flight.seq);
        let mut transaction = fenced(&self.region, self.fence);
        transaction.checks.push(Check {
            key: key.clone(),
            version: 0,
        });
        transaction.writes.push(Write {
            key,
            value: Some(flight.batch.text()),
        });
        vec![AppendAction::Commit {
            seq: flight.seq,
            transaction,
        }]
    }

    fn doubt(&mut self, doubtful: bool) -> Vec<AppendAction> {
        if let Some(flight) = &mut self.flight {
            flight.doubtful = doubtful;
        }
        self.read_back()
    }

    fn read_back(&mut self) -> Vec<AppendAction> {
        self.step(Step::Reading);
        self.flight
            .iter()
            .map(|flight| AppendAction::ReadBack {
                seq: flight.seq,
                key: journal_key(&self.region, flight.seq),
            })
            .collect()
    }

    /// An absent row after a conflict means that the term is over. After a lost answer the
    /// transaction may still arrive, so that only sending it again makes its outcome certain.
    fn compare(&mut self, now: Millis, value: Option<String>) -> Vec<AppendAction> {
        let Some(flight) = &self.flight else {
            return Vec::new();
        };
        match value {
            Some(text) if Batch::parse(&text).is_ok_and(|batch| batch == flight.batch) => self.settle(),
            None if flight.doubtful => self.step(Step::CommitAt(now + RETRY)),
            _ => self.lost = true,
        }
        Vec::new()
    }

    fn settle(&mut self) {
        if let Some(flight) = self.flight.take() {
            let bytes = flight.batch.records.iter().map(weight).sum();
            self.snapshots.grew(bytes);
            self.next = flight.seq.next();
            self.done.push_back((flight.seq, flight.batch));
        }
    }

    /// Goes on with the snapshot of `state` if one is due.
    pub fn maintain(&mut self, now: Millis, state: &State) -> Vec<AppendAction> {
        if self.lost {
            return Vec::new();
        }
        self.snapshots.poll(now, state)
    }
}

/// A transaction that takes effect only under the term whose row has version `fence`.
pub(crate) fn fenced(region: &RegionName, fence: u64) -> Transaction {
    Transaction {
        checks: vec![Check {
            key: term_key(region),
            version: fence,
        }],
        writes: Vec::new(),
    }
}

/// Rough number of bytes that a record takes.
fn weight(record: &Record) -> usize {
    const FIXED: usize = 200;
    FIXED
        + match record {
            Record::Accepted { spec, .. } => spec.payload.as_ref().map_or(0, String::len),
            Record::Finished { answer, .. } => answer.as_ref().map_or(0, String::len),
            Record::Placed { parts, .. } => parts.len() * 50,
            Record::Forgotten { jobs } => jobs.len() * 8,
            Record::Steps(StepRecord::Accepted { job }) => 2 * job.payload.len() + job.steps.len() * 400,
            Record::Steps(StepRecord::Started { starts }) => starts.len() * 150,
            Record::Steps(StepRecord::Forgotten { jobs }) => jobs.len() * 20,
            _ => 0,
        }
}
