//! Stand-ins for the platform and the workers, and a harness that runs them with real daemons.
//!
//! Used by tests, demos and measurements only; never shipped.

mod inventory;
mod keys;
mod platform;
mod relay;
mod server;
mod worker;

pub use inventory::{Inventory, LogEntry, LogKind};
pub use keys::write_keys;
pub use platform::{Counts, Platform, Tables};
pub use relay::Relay;
pub use server::{Client, Fault, Mode, ask, run, serve};
pub use worker::StandinWorker;
