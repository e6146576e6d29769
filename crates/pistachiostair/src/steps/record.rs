//! Journal records of step jobs: each is one durable change, applied to [`StepJobTable`](super::StepJobTable).

use crate::ids::{Incarnation, WorkerName};
use crate::journal::encoded_size;
use crate::record;
use crate::steps::crashes::Crash;
use crate::steps::losses::LossVerdict;
use crate::steps::outcome::RunOutcome;
use crate::steps::spec::{JobKey, StepJob, TaskKey};

record! {
    /// The placement of a run on a worker.
    pub struct StartRecord {
        /// The task.
        #[serde(rename = "t")]
        pub task: TaskKey,
        /// Number of the run, counted from 1 per task; members of a gang share it.
        #[serde(rename = "r")]
        pub run: u32,
        /// The worker.
        #[serde(rename = "w")]
        pub worker: WorkerName,
        /// Incarnation of the worker for which the run was decided; no other one may start it.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
    }
}

record! {
    /// One durable change of step jobs.
    pub enum StepRecord {
        /// A job was accepted.
        Accepted {
            /// The job.
            job: Box<StepJob>,
        },
        /// Runs were placed on workers. Their start orders may be sent once this record is durable.
        Started {
            /// The runs.
            starts: Vec<StartRecord>,
        },
        /// A run ended. For a gang, one member's end as `Done` completes the tasks of all members.
        Ended {
            /// The task.
            task: TaskKey,
            /// Number of the run.
            run: u32,
            /// How it ended.
            #[serde(rename = "fate")]
            outcome: RunOutcome,
            /// The newest checkpoint of the run; empty if it has none, which keeps the one stored before.
            #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
            checkpoint: String,
            /// What is known of the crash of its worker; absent if that did not crash.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            crash: Option<Crash>,
            /// Whether the run was ordered after three workers had crashed under the task, and has not outlived them.
            #[serde(default, skip_serializing_if = "std::ops::Not::not")]
            late: bool,
            /// Whether the run was at work for so long that earlier crashes no longer count against the task.
            #[serde(default, skip_serializing_if = "std::ops::Not::not")]
            cleared: bool,
            /// A crash that an earlier record of the end of this run gave and that is taken back, since its worker has
            /// not crashed. A record with this field says nothing else; its outcome, `Refused`, has no effect by itself.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            refuted: Option<Crash>,
            /// What is known of the crash of its worker, if that turns out to have crashed: it refused connections until the
            /// lease of the run was over. A later record gives the verdict.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            doubt: Option<Crash>,
            /// What became of the worker of a run that an earlier record gave a doubt about. A record with this field says
            /// nothing else, like one with `refuted`.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            verdict: Option<LossVerdict>,
        },
        /// A caller cancelled a job that had not ended, or a key that no job had: a job that is accepted with it later is
        /// cancelled at once.
        Cancelled {
            /// The job.
            job: JobKey,
        },
        /// A task or a gang of the job used up its attempts; the job has failed.
        Exhausted {
            /// The job.
            job: JobKey,
        },
        /// Ended jobs are past their retention and removed.
        Forgotten {
            /// The jobs.
            jobs: Vec<JobKey>,
        },
    }
}

impl StepRecord {
    /// Splits the starts of a step that don't fit into `limit` bytes over several records, so that a row can hold each.
    /// Every other kind of record stays whole.
    ///
    /// A takeover between two rows of a gang's starts finds the gang incomplete and stops it, as after a lost member.
    pub(crate) fn split(self, limit: usize) -> Vec<Self> {
        if encoded_size(&self) <= limit {
            return vec![self];
        }
        match self {
            Self::Started { mut starts } if starts.len() > 1 => {
                let second = starts.split_off(starts.len() / 2);
                let mut records = Self::Started { starts }.split(limit);
                records.extend(Self::Started { starts: second }.split(limit));
                records
            }
            other => vec![other],
        }
    }
}
