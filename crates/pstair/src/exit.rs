//! Exit codes.

use pistachiostair::{Error, ErrorKind, JobPhase, Ran};

#[cfg(test)]
mod tests;

/// Exit code of the process; `--help` lists the meanings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// Other failure.
    Failure = 1,
    /// Wrong usage or invalid document; clap ends with the same code.
    Invalid = 2,
    /// Not found.
    NotFound = 3,
    /// The object changed or exists already.
    Conflict = 4,
    /// Limited or unavailable, and nothing was done.
    Unavailable = 5,
    /// The request may have taken effect.
    Unknown = 6,
    /// The job that was waited for ended without success.
    NoSuccess = 7,
    /// The job that was waited for has not ended yet.
    NotEnded = 8,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<&Error> for Exit {
    fn from(error: &Error) -> Self {
        match (error.ran, error.kind) {
            (Ran::Unknown, _) => Self::Unknown,
            (_, ErrorKind::Invalid) => Self::Invalid,
            (_, ErrorKind::NotFound) => Self::NotFound,
            (_, ErrorKind::Conflict) => Self::Conflict,
            (Ran::No, ErrorKind::Limited | ErrorKind::Unavailable | ErrorKind::Timeout) => Self::Unavailable,
            _ => Self::Failure,
        }
    }
}

impl From<JobPhase> for Exit {
    fn from(phase: JobPhase) -> Self {
        match phase {
            JobPhase::Succeeded => Self::Done,
            JobPhase::Unknown => Self::Unknown,
            JobPhase::Failed | JobPhase::Cancelled | JobPhase::Expired | JobPhase::Unrunnable => Self::NoSuccess,
            JobPhase::Queued | JobPhase::Starting | JobPhase::Running | JobPhase::Stopping => Self::NotEnded,
        }
    }
}
