//! Tests of the scheduler of step jobs against simulated workers that behave as the platform specifies.

mod crashes;
mod life;
mod load;
mod review;
mod takeover;
mod world;
