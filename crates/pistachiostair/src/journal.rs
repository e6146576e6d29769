//! Records of a region's journal and the table rows that hold them.
//!
//! A scheduler writes a record before it acts on it. Its state is what folding all records in order gives, so that the
//! next scheduler of the region can rebuild it.

use std::io;

use serde::Serialize;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{Attempt, Incarnation, JobId, JobName, RegionName, Revision, Seq, Term, WorkerName};
use crate::record;
use crate::resource::{JobPhase, JobSpec};
use crate::steps::StepRecord;

/// Most records in one batch: a revision holds the index of a record in `INDEX_BITS` bits.
pub(crate) const MAX_BATCH_RECORDS: usize = 1 << INDEX_BITS;
const INDEX_BITS: u32 = 12;

record! {
    /// One part of a placed attempt: the worker that runs it.
    pub struct Part {
        /// The worker.
        pub worker: WorkerName,
        /// Incarnation that the worker had when the part was placed.
        pub incarnation: Incarnation,
    }
}

record! {
    /// One change of a region's state, as stored in the journal.
    pub enum Record {
        /// A job was accepted.
        Accepted {
            /// The job.
            job: JobId,
            /// Name of the job, unique within its account.
            name: JobName,
            /// Idempotency key of the call that submitted it.
            key: String,
            /// Specification of the job.
            spec: Box<JobSpec>,
        },
        /// An attempt was placed on its workers. Commands for it may be sent from now on.
        Placed {
            /// The job.
            job: JobId,
            /// The attempt.
            attempt: Attempt,
            /// The parts, by their index in the gang.
            parts: Vec<Part>,
        },
        /// Workers hold all parts of the attempt, which may run from now on.
        Released {
            /// The job.
            job: JobId,
            /// The attempt.
            attempt: Attempt,
        },
        /// The attempt ended and the job is queued again.
        Requeued {
            /// The job.
            job: JobId,
            /// The attempt that is over.
            attempt: Attempt,
            /// Progress of each part to resume from, in thousandths; empty if the job starts from the beginning.
            progress: Vec<u32>,
            /// Total time for which the attempts so far ran.
            served: Millis,
            /// Whether any attempt so far ran.
            ran: Ran,
            /// Whether the attempt counts against the limit of attempts.
            counted: bool,
            /// The worker on which the attempt failed; `None` if the end is not put down to a worker.
            failed: Option<WorkerName>,
            /// Why.
            reason: String,
        },
        /// The job ended.
        Finished {
            /// The job.
            job: JobId,
            /// Final phase of the job.
            phase: JobPhase,
            /// Whether the job ran.
            ran: Ran,
            /// Answer of the job; `None` if it has none or it is stored as an object.
            answer: Option<String>,
            /// Whether the answer is stored in the object store.
            #[serde(default)]
            stored: bool,
            /// Why.
            reason: String,
        },
        /// A caller cancelled the job. It ends once no worker runs it any more.
        Cancelling {
            /// The job.
            job: JobId,
        },
        /// Ended jobs were removed after their retention time.
        Forgotten {
            /// The jobs.
            jobs: Vec<JobId>,
        },
        /// An operator drained a worker or put it back.
        Drained {
            /// The worker.
            worker: WorkerName,
            /// Whether the worker is drained from now on.
            drain: bool,
        },
        /// A change of a job made of steps.
        Steps(StepRecord),
    }
}

record! {
    /// Value of a journal row, as JSON: records that were committed together.
    pub struct Batch {
        /// Id of the write within a term, by which its writer recognises the row when it reads it back.
        pub write: String,
        /// Term of the writer.
        pub term: Term,
        /// Milliseconds since the Unix epoch on the writer's clock, never lower than in an earlier row.
        pub wall: Millis,
        /// The records, in order.
        pub records: Vec<Record>,
    }
}

impl Batch {
    /// Parses the value of a journal row.
    ///
    /// # Errors
    ///
    /// `Internal` if the text is not a batch in JSON.
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::new(ErrorKind::Internal, "parse journal row", e))
    }

    /// The value of the journal row as JSON text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Bytes of a value as JSON; 0 if it can't be written as JSON, which no record is.
pub(crate) fn encoded_size<T: Serialize>(value: &T) -> usize {
    let mut count = ByteCount(0);
    match serde_json::to_writer(&mut count, value) {
        Ok(()) => count.0,
        Err(_) => 0,
    }
}

/// Most bytes of a journal row besides its records and the commas between them.
pub(crate) fn batch_overhead() -> usize {
    encoded_size(&Batch {
        write: format!("{}-{}", u64::MAX, u64::MAX),
        term: Term(u64::MAX),
        wall: Millis(u64::MAX),
        records: Vec::new(),
    })
}

/// Bytes of a record of step jobs as a [`Record`], besides those of the [`StepRecord`].
pub(crate) fn step_overhead() -> usize {
    let record = StepRecord::Forgotten { jobs: Vec::new() };
    let inner = encoded_size(&record);
    encoded_size(&Record::Steps(record)) - inner
}

/// Counts the bytes that are written to it.
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Key of a journal row, `journal/REGION/SEQ`. Keys sort in the order of their positions.
pub fn journal_key(region: &RegionName, seq: Seq) -> String {
    format!("journal/{region}/{:016}", seq.0)
}

/// Key of a region's term row, `term/REGION`, whose version fences the writes of a scheduler.
pub fn term_key(region: &RegionName) -> String {
    format!("term/{region}")
}

/// Revision of the record at `index` of row `seq`. Revisions are distinct and have the order of the journal.
pub fn revision(seq: Seq, index: usize) -> Revision {
    Revision((seq.0 << INDEX_BITS) | index as u64)
}

/// Checksum of a job specification, to tell a repeated submission from a different one with the same key.
pub(crate) fn digest(spec: &JobSpec) -> u64 {
    checksum(&serde_json::to_vec(spec).unwrap_or_default())
}

/// 64-bit FNV-1a. It only needs to detect accidental damage of a snapshot, not deliberate changes.
pub(crate) fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
