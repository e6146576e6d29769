//! Messages between a supervisor and a worker: JSON over HTTP.
//!
//! `POST /v1/commands` takes a [`CommandBatch`] and returns a [`BatchReply`].
//! `GET /v1/changes?after=N&wait=MS` returns [`Changes`] and holds the request until there is a
//! change after `N` or `wait` milliseconds passed. With `incarnation=I` as well, a worker of that incarnation whose
//! newest change is `N`, other than 0, answers with status 204 and its clock in the header [`CLOCK_HEADER`]. A worker
//! that does not know the parameter answers with `Changes`.

use crate::clock::Millis;
use crate::ids::{Incarnation, TaskId, Term};
use crate::resource::{Size, WorkerInfo};
use crate::{closed_set, record};

/// Header of an answer without changes: the worker's own clock in milliseconds.
pub const CLOCK_HEADER: &str = "worker-clock";

record! {
    /// Commands to a worker under one term. A worker refuses a batch of an older term whole.
    pub struct CommandBatch {
        /// Term of the region's scheduler.
        pub term: Term,
        /// Incarnation of the worker that the commands are meant for.
        pub incarnation: Incarnation,
        /// Point on the worker's own clock after which it refuses the batch: what waited in the socket
        /// of a frozen worker must not start or renew anything when it wakes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub expires: Option<Millis>,
        /// The commands, carried out in order.
        pub commands: Vec<Command>,
    }
}

record! {
    /// One command. Each is idempotent.
    pub enum Command {
        /// Starts a task throttled to nothing, or running if `held` is false.
        Start(Start),
        /// Lets held tasks run and starts their lease anew.
        Release {
            /// The tasks.
            tasks: Vec<TaskId>,
            /// New lease in milliseconds.
            lease: Millis,
        },
        /// Renews the lease of every task that was started at or before change `seen`, but for `except`.
        Renew {
            /// Newest change of the worker that the scheduler has seen.
            seen: u64,
            /// Tasks that are not renewed.
            except: Vec<TaskId>,
            /// New lease in milliseconds.
            lease: Millis,
        },
        /// Asks a task to write a checkpoint.
        Checkpoint {
            /// The task.
            task: TaskId,
        },
        /// Stops a task; a task that is not known yet can no longer start.
        Stop {
            /// The task.
            task: TaskId,
        },
        /// Drops ended tasks from the inventory, after their outcome is recorded.
        Forget {
            /// The tasks.
            tasks: Vec<TaskId>,
        },
    }
}

record! {
    /// A start command.
    pub struct Start {
        /// The task.
        pub task: TaskId,
        /// Whether it stays throttled to nothing until it is released.
        pub held: bool,
        /// Span in milliseconds without renewal after which the task stops by itself.
        pub lease: Millis,
        /// Accelerators that it takes.
        pub accelerators: u32,
        /// Declared size.
        pub size: Size,
        /// Bytes for the task.
        pub payload: Option<String>,
        /// Declared run time in milliseconds.
        pub runtime: Option<Millis>,
        /// Progress saved by an earlier attempt's checkpoint, from 0 to 1000.
        pub progress: u32,
    }
}

record! {
    /// Reply to a batch.
    pub enum BatchReply {
        /// Nothing was carried out: the batch arrived after it expired.
        Expired,
        /// All commands were considered, each with its own result.
        Done {
            /// One result for each command, in order.
            results: Vec<CommandResult>,
        },
        /// Nothing was carried out: the worker has seen a newer term.
        OldTerm {
            /// The newer term.
            term: Term,
        },
        /// Nothing was carried out: no byte of the batch was sent to the worker. Comes from the daemons on
        /// the path, never from a worker.
        Undelivered,
        /// Nothing was carried out: the worker was restarted.
        OtherIncarnation {
            /// The worker's incarnation.
            incarnation: Incarnation,
        },
    }
}

record! {
    /// Result of one command.
    pub enum CommandResult {
        /// Carried out, now or earlier.
        Ok,
        /// Not carried out, and the task did not start.
        Refused {
            /// The reason.
            reason: String,
        },
    }
}

closed_set! {
    /// Where a task stands on its worker.
    pub enum TaskState {
        /// Started and throttled to nothing.
        Held,
        /// Running.
        Running,
        /// Ended with success.
        Succeeded,
        /// Ended with failure.
        Failed,
        /// Stopped by command after it ran.
        Stopped,
        /// Stopped before it was released: nothing of it ran.
        NeverRan,
        /// Stopped by itself, since its lease was not renewed.
        Lapsed,
    }
}

impl TaskState {
    /// Whether the task has ended.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Held | Self::Running)
    }

    /// Whether the task may have done any work.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Held | Self::NeverRan)
    }
}

record! {
    /// A task in a worker's inventory.
    pub struct TaskView {
        /// The task.
        pub task: TaskId,
        /// Its state.
        pub state: TaskState,
        /// Number of the change that brought it into this state.
        pub change: u64,
        /// Progress from 0 to 1000 at the last checkpoint.
        #[serde(default)]
        pub progress: u32,
        /// Usage, which lags.
        #[serde(default)]
        pub usage: Size,
        /// The answer, once it succeeded, or the reason of its failure.
        #[serde(default)]
        pub answer: Option<String>,
    }
}

record! {
    /// Changes of a worker's inventory.
    pub struct Changes {
        /// The worker's own clock when it answered.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub clock: Option<Millis>,
        /// Place and size.
        pub info: WorkerInfo,
        /// Incarnation, new at each start.
        pub incarnation: Incarnation,
        /// Newest term that it has seen.
        pub term: Term,
        /// Whether it is leaving. That counts as a change.
        pub leaving: bool,
        /// Number of the newest change contained here.
        pub change: u64,
        /// Whether `tasks` is the whole inventory and not only what changed.
        pub full: bool,
        /// The tasks.
        pub tasks: Vec<TaskView>,
    }
}
