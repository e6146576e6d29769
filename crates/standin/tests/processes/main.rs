//! Faults of real processes: daemons against stand-ins for the platform and the workers.
//!
//! Verdicts come from what callers were told and from the workers' logs.

mod crash;
mod ejection;
mod links;
mod mixed;
mod network;
mod operation;
mod pressure;
mod regions;
mod store;
mod support;
