//! Tests of the planner through its public interface.

mod focused;
mod properties;
mod queueing;
mod world;
