//! Protocol between a supervisor and a worker: JSON over HTTP, served by the worker.
//!
//! `POST /v1/commands` takes a [`CommandBatch`] and returns a [`BatchReply`].
//!
//! `GET /v1/changes?after=N&wait=MS` is a long poll: it returns [`Changes`] once there is a change after `N`, or
//! after `wait` milliseconds. If the request also has `incarnation=I`, the worker's incarnation is `I` and its newest
//! change is still `N`, other than 0, it answers with status 204 and its clock in the header [`CLOCK_HEADER`]. A
//! worker that does not know this parameter answers with `Changes`.

use crate::clock::Millis;
use crate::ids::{Incarnation, TaskId, Term};
use crate::resource::{Size, WorkerInfo};
use crate::{closed_set, record};

/// Header of a response without changes (status 204): the worker's own clock in milliseconds.
pub const CLOCK_HEADER: &str = "worker-clock";

record! {
    /// Commands to a worker under one term. A worker refuses the whole batch if it has seen a newer term.
    pub struct CommandBatch {
        /// Term of the region's scheduler.
        pub term: Term,
        /// Incarnation of the worker that the commands are meant for.
        pub incarnation: Incarnation,
        /// Time on the worker's own clock, in milliseconds, after which it refuses the batch; `None` for no limit. A
        /// batch that waited in the socket buffer of a suspended worker must not start or renew anything when it
        /// resumes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub expires: Option<Millis>,
        /// The commands, carried out in order; none if the batch only probes the worker.
        pub commands: Vec<Command>,
    }
}

record! {
    /// One command. Each is idempotent, since a batch whose reply was lost is sent again.
    pub enum Command {
        /// Starts a task: held if [`Start::held`] is set, and running otherwise.
        Start(Start),
        /// Lets held tasks run and renews their lease.
        Release {
            /// The tasks.
            tasks: Vec<TaskId>,
            /// New lease in milliseconds.
            lease: Millis,
        },
        /// Renews the lease of every task that was started at or before change `seen`, except those in `except`.
        Renew {
            /// Number of the worker's newest change that the scheduler has seen.
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
        /// Stops a task. A task that the worker does not know yet can no longer start.
        Stop {
            /// The task.
            task: TaskId,
        },
        /// Drops ended tasks from the inventory. Sent once their outcome is recorded.
        Forget {
            /// The tasks.
            tasks: Vec<TaskId>,
        },
    }
}

record! {
    /// Parameters of [`Command::Start`].
    pub struct Start {
        /// The task.
        pub task: TaskId,
        /// Whether it is throttled so that it does no work until [`Command::Release`]. Parts of a gang wait for each
        /// other this way.
        pub held: bool,
        /// Time in milliseconds without renewal after which the task stops by itself.
        pub lease: Millis,
        /// Number of accelerators that it occupies.
        pub accelerators: u32,
        /// Declared size.
        pub size: Size,
        /// Input for the task; `None` if the job has none.
        pub payload: Option<String>,
        /// Declared run time in milliseconds; `None` if none was declared.
        pub runtime: Option<Millis>,
        /// Progress at the last checkpoint of an earlier attempt, from 0 to 1000; 0 to start from the beginning.
        pub progress: u32,
    }
}

record! {
    /// Reply to a batch. Each variant but `Done` means that the batch had no effect.
    pub enum BatchReply {
        /// Nothing was carried out: the batch arrived after it expired.
        Expired,
        /// Every command was carried out or refused.
        Done {
            /// One result for each command, in order.
            results: Vec<CommandResult>,
        },
        /// Nothing was carried out: the worker has seen a newer term.
        OldTerm {
            /// The newer term.
            term: Term,
        },
        /// Nothing was carried out: no byte of the batch was sent to the worker. Comes from the daemons between
        /// scheduler and worker, never from a worker.
        Undelivered,
        /// Nothing was carried out: the worker was restarted, so that the batch was meant for another incarnation.
        OtherIncarnation {
            /// The worker's present incarnation.
            incarnation: Incarnation,
        },
    }
}

record! {
    /// Result of one command.
    pub enum CommandResult {
        /// Carried out, now or when the command arrived earlier.
        Ok,
        /// Not carried out, and the task did not start.
        Refused {
            /// The reason.
            reason: String,
        },
    }
}

closed_set! {
    /// State of a task on its worker.
    pub enum TaskState {
        /// Started, but throttled so that it does no work until it is released.
        Held,
        /// Running.
        Running,
        /// Ended with success.
        Succeeded,
        /// Ended with failure.
        Failed,
        /// Stopped by command after it ran.
        Stopped,
        /// Stopped before it was released, so that it did no work.
        NeverRan,
        /// Stopped by itself, since its lease was not renewed.
        Lapsed,
    }
}

impl TaskState {
    /// Whether the task has ended. A final state does not change any more.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Held | Self::Running)
    }

    /// Whether the task may have done work: always false while it is held.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Held | Self::NeverRan)
    }
}

record! {
    /// A task in a worker's inventory.
    pub struct TaskView {
        /// The task.
        pub task: TaskId,
        /// State of the task.
        pub state: TaskState,
        /// Number of the worker's change that brought it into this state.
        pub change: u64,
        /// Progress at its last checkpoint, from 0 to 1000.
        #[serde(default)]
        pub progress: u32,
        /// Measured usage, with a delay.
        #[serde(default)]
        pub usage: Size,
        /// The answer if it succeeded, or the reason if it failed; `None` in other states or if it gave none.
        #[serde(default)]
        pub answer: Option<String>,
    }
}

record! {
    /// A worker's response to a poll: its inventory, or the part of it that changed.
    pub struct Changes {
        /// The worker's own clock in milliseconds when it answered; `None` if the worker does not tell it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub clock: Option<Millis>,
        /// Location and size of the worker.
        pub info: WorkerInfo,
        /// Incarnation of the worker, different after each restart.
        pub incarnation: Incarnation,
        /// Newest term that the worker has seen.
        pub term: Term,
        /// Whether the worker is leaving and must get no new work. Leaving counts as a change.
        pub leaving: bool,
        /// Number of the newest change contained here; the next poll asks for changes after it.
        pub change: u64,
        /// Whether `tasks` is the whole inventory, rather than only the tasks that changed.
        pub full: bool,
        /// The tasks.
        pub tasks: Vec<TaskView>,
    }
}
