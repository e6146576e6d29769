//! Group commit of journal records: batches them into rows, one transaction at a time, and finds out whether a
//! transaction took effect when its answer is lost.
//!
//! [`Appender`] does no I/O: it returns [`AppendAction`]s, and their outcomes are fed back as [`AppendEvent`]s.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::edge::{Check, Row, Transaction, Write};
use crate::ids::{RegionName, Seq, Term};
use crate::journal::{Batch, MAX_BATCH_RECORDS, Record, batch_overhead, encoded_size, journal_key, term_key};
use crate::snapshot::{SnapshotLimits, SnapshotWriter};
use crate::state::RegionState;

/// Request of the journal's writer to the table service or object store, answered by an [`AppendEvent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendAction {
    /// Commit this transaction, which writes the journal row `seq`. Answered by [`AppendEvent::Committed`],
    /// [`AppendEvent::Conflict`], [`AppendEvent::Refused`] or [`AppendEvent::Unknown`].
    Commit {
        /// Position of the row.
        seq: Seq,
        /// The transaction.
        transaction: Transaction,
    },
    /// Read the journal row `seq` back to learn whether its transaction took effect.
    ReadBack {
        /// Position of the row.
        seq: Seq,
        /// Key of the row.
        key: String,
    },
    /// Write an object: a snapshot, or the answer of a job.
    WriteObject {
        /// Key of the object.
        key: String,
        /// Its content.
        body: Vec<u8>,
    },
    /// Read an object: a snapshot, or the answer of a job.
    ReadObject {
        /// Key of the object.
        key: String,
    },
    /// Read the row that names the region's snapshots.
    ReadSnapshotRow {
        /// Key of the row.
        key: String,
    },
    /// Delete an object that nothing refers to any more; its outcome is not reported.
    DeleteObject {
        /// Key of the object.
        key: String,
    },
    /// Commit a transaction that writes no journal row: it names a new snapshot, or deletes journal rows that snapshots
    /// cover. Answered by [`AppendEvent::Maintained`].
    Maintain {
        /// The transaction.
        transaction: Transaction,
    },
}

/// Outcome of an [`AppendAction`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendEvent {
    /// The journal row is committed.
    Committed(Seq),
    /// The transaction did not take effect: a row no longer had the expected version.
    Conflict(Seq),
    /// The store refuses this row and did nothing; it would refuse the same one again.
    Refused(Seq),
    /// The commit was not answered. It may have taken effect, or may still do so.
    Unknown(Seq),
    /// Value of the journal row as read back; `None` if the row does not exist.
    ReadBack(Seq, Option<String>),
    /// The read-back failed or timed out.
    ReadBackFailed(Seq),
    /// Outcome of [`AppendAction::WriteObject`].
    ObjectWritten {
        /// Key of the object.
        key: String,
        /// Whether it was certainly written.
        done: bool,
    },
    /// Outcome of [`AppendAction::ReadObject`].
    ObjectRead {
        /// Key of the object.
        key: String,
        /// Its content; `None` if it does not exist or the read failed.
        body: Option<Vec<u8>>,
    },
    /// Outcome of [`AppendAction::ReadSnapshotRow`].
    SnapshotRow {
        /// Whether the read was answered.
        answered: bool,
        /// The row; `None` if it does not exist or the read was not answered.
        row: Option<Row>,
    },
    /// Outcome of [`AppendAction::Maintain`]: whether it was certainly committed.
    Maintained(bool),
}

/// Shortest time between two transactions. Bounds the writes per second of a region to 100, a fraction of the several
/// hundred that the table service handles.
const MIN_COMMIT_INTERVAL: Millis = Millis(10);
/// Pause before a read-back or a commit is tried again during an outage of the table service.
const RETRY_PAUSE: Millis = Millis(250);
/// Most bytes of a row, unless rows of the table service hold less.
const MAX_BATCH_BYTES: usize = 256 * 1024;

/// What the batch in flight waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The outcome of its transaction.
    Committing,
    /// The read-back.
    Reading,
    /// The time of the next try.
    CommitAt(Millis),
    ReadAt(Millis),
}

/// The batch whose transaction has no certain outcome yet.
#[derive(Clone, Debug)]
struct InFlight {
    seq: Seq,
    batch: Batch,
    /// Bytes of the row.
    bytes: usize,
    /// When it was first sent.
    since: Millis,
    step: Step,
    /// Whether the answer of the last commit was lost. An absent row may then still appear.
    unanswered: bool,
}

/// Load of the journal's writer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JournalLoad {
    /// Number of pushed records that are not committed yet.
    pub(crate) backlog: usize,
    /// Bytes of the last snapshot; 0 before the first one.
    pub(crate) snapshot_bytes: usize,
    /// Bytes of the rows written since then.
    pub(crate) row_bytes: usize,
}

/// Writer of a region's journal in one term.
///
/// Every pushed record is committed eventually, unless another scheduler took over: a transaction of unknown outcome
/// is read back and sent again until one of the two is certain. A row that the store refuses is split; if it refuses one
/// record alone, the writer gives its term up, and so no later record is stored without that one.
#[derive(Clone, Debug)]
pub struct Appender {
    region: RegionName,
    term: Term,
    /// Version of the term row.
    fence: u64,
    next_seq: Seq,
    /// Number of batches so far, for their write ids.
    writes: u64,
    /// Records that are not sent yet, with their bytes as JSON.
    queue: VecDeque<(Record, usize)>,
    /// Number of records at the front of the queue that were part of a row which was sent and refused; an earlier try of
    /// that row may still arrive.
    returned: usize,
    in_flight: Option<InFlight>,
    /// When a transaction was last sent.
    last_sent: Option<Millis>,
    /// Committed batches not yet taken by [`Appender::next_committed`].
    committed: VecDeque<(Seq, Batch)>,
    superseded: bool,
    /// Bytes of the record that the store refused alone.
    refused: Option<usize>,
    /// Most bytes of a row that holds more than one record.
    max_bytes: usize,
    snapshots: SnapshotWriter,
}

impl Appender {
    /// Makes a writer that appends after row `seq`, for the term whose row has version `fence`. `covered` is the newest
    /// row that the snapshot covers from which the state was loaded; 0 without a snapshot.
    pub fn new(region: RegionName, term: Term, fence: u64, seq: Seq, covered: Seq) -> Self {
        Self {
            snapshots: SnapshotWriter::new(region.clone(), term, fence, covered),
            region,
            term,
            fence,
            next_seq: seq.next(),
            writes: 0,
            queue: VecDeque::new(),
            returned: 0,
            in_flight: None,
            last_sent: None,
            committed: VecDeque::new(),
            superseded: false,
            refused: None,
            max_bytes: MAX_BATCH_BYTES,
        }
    }

    /// Limits the text of a row to `bytes`, the most that a row of the table service holds.
    #[must_use]
    pub(crate) fn with_row_bytes(mut self, bytes: usize) -> Self {
        self.max_bytes = self.max_bytes.min(bytes);
        self
    }

    /// Most bytes of a record, as JSON, that a row can hold.
    pub(crate) fn record_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(batch_overhead())
    }

    /// Sets what was read from the store: the bytes of the snapshot and of the rows after it.
    #[must_use]
    pub fn with_read(mut self, snapshot: usize, rows: usize) -> Self {
        self.snapshots.set_read(snapshot, rows);
        self
    }

    /// Replaces the default limits that say when a snapshot is due.
    #[must_use]
    pub fn with_snapshots(mut self, limits: SnapshotLimits) -> Self {
        self.snapshots.limits = limits;
        self
    }

    /// Queues records for the next batch.
    pub fn push(&mut self, records: impl IntoIterator<Item = Record>) {
        let sized = records.into_iter().map(|record| {
            let bytes = encoded_size(&record);
            (record, bytes)
        });
        self.queue.extend(sized);
    }

    /// Whether a batch can be sent at `now`: none is in flight and the last one is long enough ago.
    pub fn ready(&self, now: Millis) -> bool {
        self.in_flight.is_none()
            && !self.superseded
            && self.last_sent.is_none_or(|last| now.since(last) >= MIN_COMMIT_INTERVAL)
    }

    /// When [`Self::poll`] sends the next batch; `None` if no records are queued or a transaction is in flight.
    pub fn next_send(&self) -> Option<Millis> {
        let waits = self.in_flight.is_none() && !self.queue.is_empty();
        waits.then(|| self.last_sent.map_or(Millis::ZERO, |last| last + MIN_COMMIT_INTERVAL))
    }

    /// When [`Self::ready`] becomes true if nothing is sent before; `None` while a transaction is in flight, and after
    /// another scheduler took over.
    pub(crate) fn ready_at(&self) -> Option<Millis> {
        let free = self.in_flight.is_none() && !self.superseded;
        free.then(|| self.last_sent.map_or(Millis::ZERO, |last| last + MIN_COMMIT_INTERVAL))
    }

    /// Pushed records that were in no row that was sent. Once the writer is dropped they are never stored.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = &Record> {
        self.queue.iter().skip(self.returned).map(|(record, _)| record)
    }

    /// Number of pushed records that are not committed yet.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |flight| flight.batch.records.len())
    }

    /// What the writer holds and what a takeover would read at present.
    pub(crate) fn load(&self) -> JournalLoad {
        JournalLoad {
            backlog: self.backlog(),
            snapshot_bytes: self.snapshots.last_size(),
            row_bytes: self.snapshots.new_bytes(),
        }
    }

    /// For how long the batch in flight has had no certain outcome; zero if none is in flight.
    pub fn stalled(&self, now: Millis) -> Millis {
        self.in_flight
            .as_ref()
            .map_or(Millis::ZERO, |flight| now.since(flight.since))
    }

    /// Whether the term is over: another scheduler wrote to the journal or took over the region, or the store refused a
    /// record. The writer then sends nothing more.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Bytes of the row of one record that the store refused, for which the writer gave its term up.
    pub fn refused(&self) -> Option<usize> {
        self.refused
    }

    /// Removes and returns the next committed batch, in journal order; `None` if there is none at present.
    pub fn next_committed(&mut self) -> Option<(Seq, Batch)> {
        self.committed.pop_front()
    }

    /// Sends the next batch, or the next try for the batch in flight, if it is due. `wall` is the wall-clock time in
    /// milliseconds since the Unix epoch, written into the batch.
    pub fn poll(&mut self, now: Millis, wall: Millis) -> Vec<AppendAction> {
        if self.superseded {
            return Vec::new();
        }
        if let Some(flight) = &mut self.in_flight {
            return match flight.step {
                Step::CommitAt(at) if at <= now => self.commit(now),
                Step::ReadAt(at) if at <= now => self.read_back(),
                _ => Vec::new(),
            };
        }
        if self.queue.is_empty() || !self.ready(now) {
            return Vec::new();
        }
        let batch = Batch {
            write: self.next_write(),
            term: self.term,
            wall,
            records: self.next_records(),
        };
        self.in_flight = Some(InFlight {
            seq: self.next_seq,
            batch,
            bytes: 0,
            since: now,
            step: Step::Committing,
            unanswered: false,
        });
        self.commit(now)
    }

    /// Handles the outcome of an action and returns follow-up actions.
    pub fn on(&mut self, now: Millis, event: AppendEvent) -> Vec<AppendAction> {
        match event {
            AppendEvent::Committed(seq) if self.is_in_flight(seq) => self.finish_commit(),
            AppendEvent::Conflict(seq) if self.is_in_flight(seq) => return self.resolve(false),
            AppendEvent::Unknown(seq) if self.is_in_flight(seq) => return self.resolve(true),
            AppendEvent::Refused(seq) if self.is_in_flight(seq) => self.split_refused(now),
            AppendEvent::ReadBack(seq, value) if self.is_in_flight(seq) => return self.compare_read_back(now, value),
            AppendEvent::ReadBackFailed(seq) if self.is_in_flight(seq) => {
                self.set_step(Step::ReadAt(now + RETRY_PAUSE))
            }
            other => return self.snapshots.on(now, other),
        }
        Vec::new()
    }

    fn next_write(&mut self) -> String {
        self.writes += 1;
        format!("{}-{}", self.term, self.writes)
    }

    /// Takes the records of the next row from the queue: as many as it holds, and at least one.
    fn next_records(&mut self) -> Vec<Record> {
        let mut left = self.record_bytes();
        let mut records = Vec::new();
        while let Some((_, bytes)) = self.queue.front() {
            let comma = usize::from(!records.is_empty());
            let fits = bytes + comma <= left && records.len() < MAX_BATCH_RECORDS;
            if !records.is_empty() && !fits {
                break;
            }
            left = left.saturating_sub(bytes + comma);
            records.extend(self.queue.pop_front().map(|(record, _)| record));
        }
        self.returned = self.returned.saturating_sub(records.len());
        records
    }

    fn is_in_flight(&self, seq: Seq) -> bool {
        self.in_flight.as_ref().is_some_and(|flight| flight.seq == seq)
    }

    fn set_step(&mut self, step: Step) {
        if let Some(flight) = &mut self.in_flight {
            flight.step = step;
        }
    }

    fn commit(&mut self, now: Millis) -> Vec<AppendAction> {
        self.set_step(Step::Committing);
        self.last_sent = Some(now);
        let Some(flight) = &mut self.in_flight else {
            return Vec::new();
        };
        let key = journal_key(&self.region, flight.seq);
        let text = flight.batch.text();
        flight.bytes = text.len();
        let mut transaction = fenced(&self.region, self.fence);
        transaction.checks.push(Check {
            key: key.clone(),
            version: 0,
        });
        transaction.writes.push(Write { key, value: Some(text) });
        vec![AppendAction::Commit {
            seq: flight.seq,
            transaction,
        }]
    }

    fn resolve(&mut self, unanswered: bool) -> Vec<AppendAction> {
        if let Some(flight) = &mut self.in_flight {
            flight.unanswered = unanswered;
        }
        self.read_back()
    }

    fn read_back(&mut self) -> Vec<AppendAction> {
        self.set_step(Step::Reading);
        self.in_flight
            .iter()
            .map(|flight| AppendAction::ReadBack {
                seq: flight.seq,
                key: journal_key(&self.region, flight.seq),
            })
            .collect()
    }

    /// Decides by the row read back. An absent row after a conflict means that the term is over. After a lost answer
    /// the transaction may still arrive, so that only sending it again makes its outcome certain.
    fn compare_read_back(&mut self, now: Millis, value: Option<String>) -> Vec<AppendAction> {
        let Some(flight) = &self.in_flight else {
            return Vec::new();
        };
        match value {
            Some(text) if Batch::parse(&text).is_ok_and(|batch| batch == flight.batch) => self.finish_commit(),
            None if flight.unanswered => self.set_step(Step::CommitAt(now + RETRY_PAUSE)),
            _ => self.superseded = true,
        }
        Vec::new()
    }

    /// Sends the first half of a refused row as a row of its own, and puts the other half back. Gives the term up if the
    /// row holds one record.
    ///
    /// An earlier try of the whole row may still arrive. It then takes the place of the half, which meets a conflict.
    fn split_refused(&mut self, now: Millis) {
        let write = self.next_write();
        let Some(flight) = &mut self.in_flight else { return };
        let count = flight.batch.records.len();
        if count < 2 {
            self.refused = Some(flight.bytes);
            self.superseded = true;
            return;
        }
        let rest = flight.batch.records.split_off(count / 2);
        flight.batch.write = write;
        flight.unanswered = false;
        flight.step = Step::CommitAt(now + MIN_COMMIT_INTERVAL);
        self.returned += rest.len();
        for record in rest.into_iter().rev() {
            let bytes = encoded_size(&record);
            self.queue.push_front((record, bytes));
        }
    }

    fn finish_commit(&mut self) {
        if let Some(flight) = self.in_flight.take() {
            self.snapshots.add_bytes(flight.bytes);
            self.next_seq = flight.seq.next();
            self.committed.push_back((flight.seq, flight.batch));
        }
    }

    /// Starts a snapshot of `state` if one is due, or takes its next step.
    pub fn maintain(&mut self, now: Millis, state: &RegionState) -> Vec<AppendAction> {
        if self.superseded {
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
