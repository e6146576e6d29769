//! Life cycle of jobs in a region, without I/O.

use crate::appender::{AppendAction, AppendEvent};
use crate::edge::Transaction;
use crate::ids::{AccountName, GuaranteeName, JobId, JobName, Seq, Term, WorkerName};
use crate::message::{Call, Response};
use crate::number_id;
use crate::resource::{AccountSpec, Guarantee, Policy};
use crate::worker::{BatchReply, Changes, CommandBatch};

number_id! {
    /// A call that waits for its response, numbered by the service.
    Token(u64)
}

/// Something that happened and that the scheduler reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This daemon became the region's scheduler.
    Elected {
        /// Its term.
        term: Term,
        /// Version of the term row.
        fence: u64,
        /// The newest snapshot.
        snapshot: Option<Vec<u8>>,
        /// Journal rows behind the snapshot, in order.
        rows: Vec<(Seq, String)>,
    },
    /// Whether it may accept, place and start; renewing, stopping and reclaiming go on without.
    Tenure {
        /// Whether the lease is held.
        held: bool,
    },
    /// This daemon is no longer the scheduler.
    Deposed,
    /// A caller's request.
    Call {
        /// Number for the response.
        token: Token,
        /// The request.
        call: Call,
    },
    /// The caller no longer waits for the response.
    Abandoned {
        /// Number of the call.
        token: Token,
    },
    /// News of a worker.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The changes, or nothing if it does not answer.
        changes: Option<Changes>,
    },
    /// Answer to commands.
    Replied {
        /// The worker.
        worker: WorkerName,
        /// The commands.
        batch: CommandBatch,
        /// The reply, or nothing if it was lost.
        reply: Option<BatchReply>,
    },
    /// The platform's list no longer has the worker.
    WorkerGone(WorkerName),
    /// The platform's list says that the worker is leaving.
    Leaving(WorkerName),
    /// A client account was created, changed or deleted.
    Account(AccountName, Option<AccountSpec>),
    /// A guarantee was created, changed or deleted.
    Guarantee(GuaranteeName, Option<Guarantee>),
    /// The configuration in force changed.
    Policy(Policy),
    /// Outcome of [`Action::Append`].
    Stored(AppendEvent),
    /// Time passed; comes every 100 ms.
    Tick,
}

/// What the scheduler's service must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Work for the journal.
    Append(AppendAction),
    /// Answer a call.
    Reply {
        /// Number of the call.
        token: Token,
        /// The response.
        response: Response,
    },
    /// Send commands to a worker through its supervisor.
    Send {
        /// The worker.
        worker: WorkerName,
        /// The commands.
        batch: CommandBatch,
    },
    /// Commit a guarantee's row, then answer the call from the outcome.
    Write {
        /// Number of the call.
        token: Token,
        /// The transaction.
        transaction: Transaction,
        /// The guarantee as written, or nothing if it was deleted.
        guarantee: Option<Guarantee>,
    },
    /// A newer term was seen: stop being the scheduler.
    StepDown,
    /// A line for the log.
    Log(LogLine),
}

/// One decision, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What was decided, such as `placed`.
    pub what: &'static str,
    /// The job.
    pub job: JobId,
    /// Its name.
    pub name: JobName,
    /// Its client account.
    pub account: AccountName,
    /// Chosen workers.
    pub workers: Vec<WorkerName>,
    /// Term.
    pub term: Term,
    /// Reason.
    pub reason: String,
}
