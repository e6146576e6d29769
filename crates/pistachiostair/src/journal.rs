//! Records of a region's journal and the rows that hold them.

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{Attempt, Incarnation, JobId, JobName, RegionName, Revision, Seq, Term, WorkerName};
use crate::record;
use crate::resource::{JobPhase, JobSpec};
use crate::steps::StepRecord;

/// Most records in one batch; a revision keeps the index of a record in these bits.
pub(crate) const MAX_BATCH_RECORDS: usize = 1 << INDEX_BITS;
const INDEX_BITS: u32 = 12;

record! {
    /// One part of a placement.
    pub struct Part {
        /// The worker.
        pub worker: WorkerName,
        /// Incarnation of the worker that the part was placed on.
        pub incarnation: Incarnation,
    }
}

record! {
    /// One durable change of a region's state.
    pub enum Record {
        /// A job was accepted.
        Accepted {
            /// The job.
            job: JobId,
            /// Its name.
            name: JobName,
            /// Its idempotency key.
            key: String,
            /// Its specification.
            spec: Box<JobSpec>,
        },
        /// An attempt got its workers; commands may be sent from now on.
        Placed {
            /// The job.
            job: JobId,
            /// The attempt.
            attempt: Attempt,
            /// One entry for each part.
            parts: Vec<Part>,
        },
        /// All parts of the attempt were held; they may run from now on.
        Released {
            /// The job.
            job: JobId,
            /// The attempt.
            attempt: Attempt,
        },
        /// The attempt is over and the job waits again.
        Requeued {
            /// The job.
            job: JobId,
            /// The attempt that is over.
            attempt: Attempt,
            /// Progress of each part to resume from, from 0 to 1000; nothing if it starts anew.
            progress: Vec<u32>,
            /// Service of all attempts so far.
            served: Millis,
            /// Whether any attempt ran.
            ran: Ran,
            /// Whether the attempt counts against the limit of attempts.
            counted: bool,
            /// The worker on which it failed.
            failed: Option<WorkerName>,
            /// Why.
            reason: String,
        },
        /// The job ended.
        Finished {
            /// The job.
            job: JobId,
            /// A final phase.
            phase: JobPhase,
            /// Whether it ran.
            ran: Ran,
            /// Its answer, unless that is stored as an object.
            answer: Option<String>,
            /// Whether the answer is stored as an object.
            #[serde(default)]
            stored: bool,
            /// Why.
            reason: String,
        },
        /// A caller cancelled a job that is placed.
        Cancelling {
            /// The job.
            job: JobId,
        },
        /// Ended jobs passed their retention.
        Forgotten {
            /// The jobs.
            jobs: Vec<JobId>,
        },
        /// An operator drained a worker or put it back.
        Drained {
            /// The worker.
            worker: WorkerName,
            /// Whether it is drained.
            drain: bool,
        },
        /// A change of a job made of steps.
        Steps(StepRecord),
    }
}

record! {
    /// Value of a journal row, as JSON.
    pub struct Batch {
        /// Unique for each transaction that was ever sent, to recognise it when it is read back.
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
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|e| Error::new(ErrorKind::Internal, "parse journal row", e))
    }

    /// The value of the journal row.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Key of a journal row.
pub fn journal_key(region: &RegionName, seq: Seq) -> String {
    format!("journal/{region}/{:016}", seq.0)
}

/// Key of a region's term row.
pub fn term_key(region: &RegionName) -> String {
    format!("term/{region}")
}

/// Revision of the record at `index` of row `seq`: ordered as the journal is, distinct for each record.
pub fn revision(seq: Seq, index: usize) -> Revision {
    Revision((seq.0 << INDEX_BITS) | index as u64)
}

/// Checksum of a specification.
pub(crate) fn digest(spec: &JobSpec) -> u64 {
    checksum(&serde_json::to_vec(spec).unwrap_or_default())
}

/// FNV-1a in 64 bits: finds accidental changes of a snapshot, which is all that is asked of it.
pub(crate) fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
