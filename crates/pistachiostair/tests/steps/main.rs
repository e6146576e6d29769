//! Jobs made of steps against workers that keep the platform's contract.

mod life;
mod takeover;
mod world;
