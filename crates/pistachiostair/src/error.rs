//! Errors with the step and the peer at which they arose.

use std::fmt;

use crate::closed_set;

/// Result of an operation of this library.
pub type Result<T, E = Error> = std::result::Result<T, E>;

closed_set! {
    /// What is known about whether refused or failed work ran.
    pub enum Ran {
        /// Nothing was dispatched, or the attempt was fenced before it started.
        No,
        /// The work ran.
        Yes,
        /// The work may have run.
        Unknown,
    }
}

closed_set! {
    /// Kind of an error, which decides the HTTP status and the exit code.
    pub enum ErrorKind {
        /// The request is malformed or fails validation.
        Invalid,
        /// The object does not exist.
        NotFound,
        /// The object changed, or exists already.
        Conflict,
        /// A limit or quota is reached; try again later.
        Limited,
        /// A needed part is not available; try again later.
        Unavailable,
        /// The deadline passed.
        Timeout,
        /// The revision to resume from is too old; list again.
        Expired,
        /// The term or the peer is not accepted.
        Refused,
        /// A request can never be met.
        Impossible,
        /// A fault within this process.
        Internal,
    }
}

/// An error with the step and the peer at which it arose.
#[derive(Debug)]
pub struct Error {
    /// Kind of error.
    pub kind: ErrorKind,
    /// The step that failed, such as `commit journal`.
    pub step: &'static str,
    /// The peer that the step talked to, if any.
    pub peer: Option<String>,
    /// Whether the refused work ran.
    pub ran: Ran,
    /// Milliseconds after which a new try makes sense.
    pub retry: Option<u64>,
    /// The cause.
    pub source: anyhow::Error,
}

impl Error {
    /// An error of `kind` at `step`; nothing ran.
    pub fn new(kind: ErrorKind, step: &'static str, source: impl Into<anyhow::Error>) -> Self {
        Self {
            kind,
            step,
            peer: None,
            ran: Ran::No,
            retry: None,
            source: source.into(),
        }
    }

    /// An error of `kind` at `step` with a message; nothing ran.
    pub fn msg(kind: ErrorKind, step: &'static str, message: impl fmt::Display) -> Self {
        Self::new(kind, step, anyhow::anyhow!("{message}"))
    }

    /// Names the peer.
    #[must_use]
    pub fn at(mut self, peer: impl Into<String>) -> Self {
        self.peer = Some(peer.into());
        self
    }

    /// Says whether the work ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Says after how many milliseconds a new try makes sense.
    #[must_use]
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry = Some(millis);
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " at {peer}")?;
        }
        write!(f, ": {:#}", self.source)
    }
}

impl std::error::Error for Error {}
