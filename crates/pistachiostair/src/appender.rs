//! Group commit of journal records, with write ids and read-back after a lost answer.

use crate::edge::Transaction;
use crate::ids::Seq;

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
    PutSnapshot {
        /// Key of the object.
        key: String,
        /// Its content.
        body: Vec<u8>,
    },
    /// Read an object.
    ReadSnapshot {
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
    Row(Seq, Option<String>),
    /// The read-back was not answered.
    Unread(Seq),
    /// The object is written, or not.
    SnapshotPut {
        /// Key of the object.
        key: String,
        /// Whether it was written.
        done: bool,
    },
    /// The object as read; nothing if it can't be read.
    SnapshotRead {
        /// Key of the object.
        key: String,
        /// Its content.
        body: Option<Vec<u8>>,
    },
    /// Outcome of a maintenance transaction: committed or not.
    Maintained(bool),
}
