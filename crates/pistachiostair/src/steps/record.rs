//! Durable changes of jobs made of steps.

use crate::ids::{Incarnation, WorkerName};
use crate::record;
use crate::steps::outcome::RunOutcome;
use crate::steps::spec::{JobKey, StepJob, TaskKey};

record! {
    /// A run that may be ordered from now on.
    pub struct StartRecord {
        /// The task.
        #[serde(rename = "t")]
        pub task: TaskKey,
        /// Number of the run; members of a gang share it.
        #[serde(rename = "r")]
        pub run: u32,
        /// The worker.
        #[serde(rename = "w")]
        pub worker: WorkerName,
        /// Incarnation of the worker.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
    }
}

record! {
    /// One durable change.
    pub enum StepRecord {
        /// A job was accepted.
        Accepted {
            /// The job.
            job: Box<StepJob>,
        },
        /// Runs got their workers; the orders to start them may be sent from now on.
        Started {
            /// The runs.
            starts: Vec<StartRecord>,
        },
        /// A run ended. The end of one member of a gang as `Done` stands for all members.
        Ended {
            /// The task.
            task: TaskKey,
            /// Number of the run.
            run: u32,
            /// How it ended.
            #[serde(rename = "fate")]
            outcome: RunOutcome,
            /// The newest checkpoint; empty if there is none.
            #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
            checkpoint: String,
        },
        /// A caller cancelled a job.
        Cancelled {
            /// The job.
            job: JobKey,
        },
        /// A task or a gang of the job used up its attempts.
        Exhausted {
            /// The job.
            job: JobKey,
        },
        /// Ended jobs passed their retention.
        Forgotten {
            /// The jobs.
            jobs: Vec<JobKey>,
        },
    }
}
