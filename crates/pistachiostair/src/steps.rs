//! Jobs made of steps, each of many tasks: their specification, durable state, placement and runs.
//!
//! [`StepJobTable`] is folded from the region's journal. [`Steps`] decides under one term: it is fed by the scheduler with
//! events, and its records go through the same journal as those of gang jobs.

mod board;
mod calls;
mod claim;
mod forecast;
mod guard;
mod host;
mod job_table;
mod lag;
mod lists;
mod orders;
mod outcome;
mod place;
mod plan;
mod queue;
mod ready;
mod record;
mod room;
mod rules;
mod spec;
mod speed;
mod timers;
mod urgency;
mod victims;

pub(crate) use board::Cx;
pub use board::{
    HoldOrder, HoldReply, OrderReply, RunLine, StartOrder, Steps, StepsAction, StepsEvent, StepsLog, Target, TaskEnd,
};
pub use calls::{StepAnswer, StepCall};
pub use host::{HostInfo, HostUpdate};
pub use job_table::{JobEntry, PlacedRun, StepEntry, StepJobTable, TaskEntry};
pub use outcome::RunOutcome;
pub use record::{StartRecord, StepRecord};
pub use rules::{AccountRule, Queue, Rules, ServiceRule};
pub use spec::{
    Demand, JobKey, QueueName, QueueSettings, Recurrence, ServiceName, Step, StepJob, StepJobPhase, TaskKey,
};
