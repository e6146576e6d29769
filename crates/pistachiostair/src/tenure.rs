//! Tenure of a region's scheduler by a conditional row of the table service.

use crate::clock::Millis;
use crate::edge::{Row, Transaction};
use crate::ids::Term;

/// Something that happened to the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenureEvent {
    /// Time passed; comes at least every 100 ms.
    Tick,
    /// Answer to [`TenureAction::Read`].
    Read {
        /// When the read was sent.
        sent: Millis,
        /// The lease row.
        lease: Option<Row>,
        /// The term row.
        term: Option<Row>,
    },
    /// The read was not answered.
    Unread,
    /// A transaction took effect.
    Committed {
        /// When it was sent.
        sent: Millis,
        /// Version of the rows written.
        version: u64,
    },
    /// A transaction did not take effect: a row had changed.
    Conflict,
    /// A transaction was not answered: it may have taken effect.
    Unknown,
    /// This daemon is going away: give the lease back.
    Resign,
}

/// What the service must do for the tenure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenureAction {
    /// Read the lease row and the term row.
    Read {
        /// Key of the lease row.
        lease: String,
        /// Key of the term row.
        term: String,
    },
    /// Commit a transaction.
    Commit(Transaction),
    /// This daemon is the scheduler from now on.
    Elected {
        /// Its term.
        term: Term,
        /// Version of the term row, the precondition of every journal write.
        fence: u64,
    },
    /// Whether the holder may accept, place and start at present.
    Held(bool),
    /// This daemon is no longer the scheduler.
    Deposed,
    /// The lease is given back.
    Resigned,
}
