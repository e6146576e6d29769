//! Jobs made of steps, each of many tasks: their specification, durable state, placement and runs.
//!
//! [`Book`] is folded from the region's journal. [`StepScheduler`] decides under one term: it is fed by the scheduler with
//! events, and its records go through the same journal as those of gang jobs.

mod engine;
mod book;
mod calls;
mod reservation;
mod fate;
mod forecast;
mod ejection;
mod host;
mod straggler;
mod lists;
mod orders;
mod place;
mod plan;
mod queue;
mod ready;
mod record;
mod capacity;
mod rules;
mod spec;
mod progress;
mod budget;
mod preemption;
mod watch;

pub(crate) use engine::Context;
pub use engine::{
    HoldOrder, HoldReply, OrderReply, RunReport, StartOrder, StepScheduler, StepsAction, StepsEvent, StepsLog, Target, RunEnd,
};
pub use book::{Book, JobEntry, Placed, StepEntry, TaskEntry};
pub use calls::{StepAnswer, StepCall};
pub use fate::Fate;
pub use host::{HostInfo, HostUpdate};
pub use record::{StartRecord, StepRecord};
pub use rules::{Entitlement, Queue, Rules, ServiceRule};
pub use spec::{Demand, JobKey, QueueName, Recurrence, ServiceName, Step, StepJob, StepPhase, TaskKey, Terms};
