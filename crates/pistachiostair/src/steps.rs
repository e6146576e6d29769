//! Step jobs: jobs that consist of steps, each with many tasks. Their specification, durable state, placement and runs.
//!
//! [`StepJobTable`] is the durable state, folded from the region's journal. [`StepScheduler`] makes the decisions under one
//! term: the region's scheduler passes it events and commits its records to the same journal as those of gang jobs.
//!
//! - `engine`: the scheduler's state and the dispatch of events and committed records.
//! - `plan`, `queue`, `ready`, `place`, `capacity`, `forecast`: assignment of workers to waiting tasks.
//! - `patience`: how long a step waits for a better place while it could start at once.
//! - `urgency`: which jobs can still end within their objective.
//! - `budget`, `preemption`, `victim`, `reservation`: when and what to preempt for a step that does not fit.
//! - `straggler`, `progress`, `ejection`, `draining`: slow runs, and workers that are slow, fail or leave.
//! - `backoff`: pauses between starts of long-running tasks that keep failing.
//! - `domains`, `withheld`: failure domains that operators evacuate, and starts that are withheld for it.
//! - `release`: workers that are replaced one after another.
//! - `speed`: how fast each machine is relative to the fleet.
//! - `liveness`, `losses`: whether a worker that refuses connections has crashed.
//! - `open_orders`: start orders without an answer, which may reach a later incarnation of their worker.
//! - `crashes`, `trial`: tasks that crash the workers that start them.
//! - `wasted`, `waste_counts`: work lost by runs that ended before their task was done.
//! - `step_limits`: limits of the platform that decisions depend on.

mod backoff;
mod budget;
mod calls;
mod capacity;
mod crashes;
mod domains;
mod draining;
mod ejection;
mod engine;
mod forecast;
mod host;
mod job_table;
mod lists;
mod liveness;
mod losses;
mod open_orders;
mod orders;
mod outcome;
mod patience;
mod place;
mod plan;
mod preemption;
mod progress;
mod queue;
mod ready;
mod record;
mod release;
mod reservation;
mod rules;
mod spec;
mod speed;
mod step_limits;
mod straggler;
#[cfg(test)]
mod tests;
mod timers;
mod trial;
mod urgency;
mod victim;
mod waste_counts;
mod wasted;
mod withheld;

pub use calls::{StepAnswer, StepCall};
pub use crashes::Crash;
pub(crate) use domains::{DomainGate, StartBan};
pub use domains::{EvacuationSource, EvacuationUpdate, Evacuations};
pub(crate) use engine::Context;
pub use engine::{
    HoldOrder, HoldReply, OrderReply, RunEnd, RunReport, StartOrder, StepLoad, StepScheduler, StepsAction, StepsEvent,
    StepsLog, Target,
};
pub use host::{HostInfo, HostUpdate};
pub use job_table::{JobEntry, PlacedRun, StepEntry, StepJobTable, TaskEntry};
pub use losses::{LossVerdict, LostRun};
pub use outcome::RunOutcome;
pub use record::{StartRecord, StepRecord};
pub use rules::{AccountRule, Queue, Rules, ServiceRule};
pub use spec::{
    Demand, JobKey, QueueName, QueueSettings, Recurrence, ServiceName, Step, StepJob, StepJobPhase, TaskKey,
};
pub use step_limits::StepLimits;
pub(crate) use withheld::WITHHELD;
