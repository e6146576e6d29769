//! Stand-ins for the platform and the workers, and a harness that runs them with real daemons.
//!
//! Used by tests, demos and measurements only; never shipped.

mod bench;
mod build;
mod caller;
mod capacity;
mod check;
mod demo;
mod draw;
mod inventory;
mod keys;
mod kinds;
mod launch;
mod load;
mod node_fleet;
mod node_store;
mod path;
mod platform;
mod process;
mod relay;
mod server;
mod soak;
mod step_worker;
mod task;
mod udp_relay;
mod worker;

pub use bench::Bench;
pub use build::Build;
pub use caller::{Caller, Order, Settled, Told};
pub use capacity::{CAPACITY_HEADER, measure_capacity};
pub use check::{Gang, check_gangs, check_settled, gang_parts, read_log, runs_of};
pub use demo::run_demo;
pub use draw::draw_days;
pub use inventory::{Inventory, LogEntry, LogKind};
pub use keys::write_keys;
pub use kinds::{Kind, Kinds};
pub use launch::{FAR_REGION, Setup};
pub use load::{Load, run_load};
pub use node_fleet::{API_KEY, Fleet, FleetSetup, NodeCaller, URGENT, WorkerMode, node_config};
pub use node_store::{FakeStore, StoreMode};
pub use path::measure_path;
pub use platform::{Counts, Platform, Tables};
pub use process::Process;
pub use relay::{Link, Relay};
pub use server::{Client, Fault, Mode, ask, new_client, run, serve};
pub use soak::{SoakReport, SoakSetup, run_soak, soak_schedule};
pub use step_worker::{Crash, Deadly, StepWorker, StepWorkers, TaskPlan, WorkerReturn};
pub use udp_relay::{Impairment, UdpRelay};
pub use worker::{Listed, StandinWorker};
