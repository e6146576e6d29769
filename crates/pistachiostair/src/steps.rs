//! Step jobs: jobs that consist of steps, each with many tasks. Their specification, durable state, placement and runs.
//!
//! [`Book`] is the durable state, folded from the region's journal. [`StepScheduler`] makes the decisions under one
//! term: the region's scheduler passes it events and commits its records to the same journal as those of gang jobs.
//!
//! - `engine`: the scheduler's state and the dispatch of events and committed records.
//! - `plan`, `queue`, `ready`, `place`, `capacity`, `forecast`: assignment of workers to waiting tasks.
//! - `budget`, `preemption`, `reservation`: when and what to preempt for a step that does not fit.
//! - `straggler`, `progress`, `ejection`: slow runs, and workers that are slow or fail.

mod book;
mod budget;
mod calls;
mod capacity;
mod ejection;
mod engine;
mod fate;
mod forecast;
mod host;
mod lists;
mod orders;
mod place;
mod plan;
mod preemption;
mod progress;
mod queue;
mod ready;
mod record;
mod reservation;
mod rules;
mod spec;
mod straggler;
mod watch;

pub use book::{Book, JobEntry, Placed, StepEntry, TaskEntry};
pub use calls::{StepAnswer, StepCall};
pub(crate) use engine::Context;
pub use engine::{
    HoldOrder, HoldReply, OrderReply, RunEnd, RunReport, StartOrder, StepScheduler, StepsAction, StepsEvent, StepsLog,
    Target,
};
pub use fate::Fate;
pub use host::{HostInfo, HostUpdate};
pub use record::{StartRecord, StepRecord};
pub use rules::{Entitlement, Queue, Rules, ServiceRule};
pub use spec::{Demand, JobKey, QueueName, Recurrence, ServiceName, Step, StepJob, StepPhase, TaskKey, Terms};
