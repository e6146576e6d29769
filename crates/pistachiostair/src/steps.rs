//! Jobs made of steps, each of many tasks: their specification, durable state, placement and runs.
//!
//! [`StepJobTable`] is folded from the region's journal. [`StepScheduler`] decides under one term: it is fed by the scheduler with
//! events, and its records go through the same journal as those of gang jobs.

mod budget;
mod calls;
mod capacity;
mod ejection;
mod engine;
mod forecast;
mod host;
mod job_table;
mod lists;
mod orders;
mod outcome;
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
mod timers;

pub use calls::{StepAnswer, StepCall};
pub(crate) use engine::Context;
pub use engine::{
    HoldOrder, HoldReply, OrderReply, RunEnd, RunReport, StartOrder, StepScheduler, StepsAction, StepsEvent, StepsLog,
    Target,
};
pub use host::{HostInfo, HostUpdate};
pub use job_table::{JobEntry, PlacedRun, StepEntry, StepJobTable, TaskEntry};
pub use outcome::RunOutcome;
pub use record::{StartRecord, StepRecord};
pub use rules::{AccountRule, Queue, Rules, ServiceRule};
pub use spec::{
    Demand, JobKey, QueueName, QueueSettings, Recurrence, ServiceName, Step, StepJob, StepJobPhase, TaskKey,
};
