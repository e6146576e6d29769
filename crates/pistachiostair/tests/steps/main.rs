//! Tests of the scheduler of step jobs against simulated workers that behave as the platform specifies.

mod capacity;
mod crashes;
mod life;
mod load;
mod odd_entries;
mod takeover;
mod world;
