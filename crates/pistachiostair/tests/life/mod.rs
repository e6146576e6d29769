//! A harness that drives the pure state machines against fakes of table, objects, workers and
//! callers, on a virtual clock. Every message can be lost, doubled, late or overtaken.
#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "each test file uses its own part of the harness"
)]

pub mod check;
pub mod daemon;
pub mod faults;
pub mod world;

pub use faults::{Fault, Step};
pub use world::{Client, Switches, World};
