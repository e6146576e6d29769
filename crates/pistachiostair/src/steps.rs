//! Jobs made of steps, each of many tasks: their specification, durable state, placement and runs.
//!
//! [`Book`] is folded from the region's journal. [`StepScheduler`] decides under one term: it is fed by the scheduler with
//! events, and its records go through the same journal as those of gang jobs.

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
