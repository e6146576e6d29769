//! Jobs made of steps, each of many tasks: their specification, durable state, placement and runs.
//!
//! [`Book`] is folded from the region's journal. [`Steps`] decides under one term: it is fed by the scheduler with
//! events, and its records go through the same journal as those of gang jobs.

mod board;
mod book;
mod calls;
mod claim;
mod fate;
mod forecast;
mod guard;
mod host;
mod lag;
mod lists;
mod orders;
mod place;
mod plan;
mod queue;
mod ready;
mod record;
mod room;
mod rules;
mod spec;
mod speed;
mod urgency;
mod victims;
mod watch;

pub(crate) use board::Cx;
pub use board::{
    HoldOrder, HoldReply, OrderReply, RunLine, StartOrder, Steps, StepsAction, StepsEvent, StepsLog, Target, TaskEnd,
};
pub use book::{Book, JobEntry, Placed, StepEntry, TaskEntry};
pub use calls::{StepAnswer, StepCall};
pub use fate::Fate;
pub use host::{HostInfo, HostUpdate};
pub use record::{StartRecord, StepRecord};
pub use rules::{Entitlement, Queue, Rules, ServiceRule};
pub use spec::{Demand, JobKey, QueueName, Recurrence, ServiceName, Step, StepJob, StepPhase, TaskKey, Terms};
