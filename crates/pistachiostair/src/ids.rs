//! Identifiers and names of objects.

use std::fmt;
use std::str::FromStr;

use crate::{name_id, number_id, record};

number_id! {
    /// Number of a job, unique within a region and never reused.
    JobId(u64)
}
number_id! {
    /// Fencing term of a region's scheduler; each takeover raises it.
    Term(u64)
}
number_id! {
    /// Position of an entry in a region's journal.
    Seq(u64)
}
number_id! {
    /// Number of a job's attempt, counted from 1.
    Attempt(u32)
}
number_id! {
    /// Revision of an object or of the configuration; it only rises.
    Revision(u64)
}
number_id! {
    /// Incarnation of a process, to tell a restarted one at the same address from the one before.
    Incarnation(u64)
}

name_id! {
    /// Name of a client account.
    AccountName
}
name_id! {
    /// Name of a worker, which the brief also calls an upstream.
    WorkerName
}
name_id! {
    /// Name of a daemon.
    DaemonName
}
name_id! {
    /// Name of a region.
    RegionName
}
name_id! {
    /// Name of a failure domain.
    DomainName
}
name_id! {
    /// Name of a rack.
    RackName
}
name_id! {
    /// Name of a guarantee.
    GuaranteeName
}
name_id! {
    /// Name of a job, unique within its client account.
    JobName
}

record! {
    /// One part of one attempt of a job. The scheduler chooses it before the first start command,
    /// so that a repeated start names the same task.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct TaskId {
        /// The job.
        pub job: JobId,
        /// The attempt, counted from 1.
        pub attempt: Attempt,
        /// Index of the part within the gang, counted from 0.
        pub part: u32,
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.attempt, self.part)
    }
}

impl FromStr for TaskId {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split('/');
        let mut field = || {
            fields
                .next()
                .ok_or_else(|| anyhow::anyhow!("task id {text:?} needs job/attempt/part"))
        };
        let job = JobId(field()?.parse()?);
        let attempt = Attempt(field()?.parse()?);
        let part = field()?.parse()?;
        anyhow::ensure!(fields.next().is_none(), "task id {text:?} has more than three fields");
        Ok(Self { job, attempt, part })
    }
}
