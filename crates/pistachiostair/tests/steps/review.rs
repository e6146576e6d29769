//! Suspicions of a review: crashes that are none, trials that stand in the way, and stops that come late.

use pistachiostair::{JobKey, Millis, StepJob, StepJobPhase, TaskKey, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

fn region(count: usize, renames: bool) -> World {
    let mut world = World::new(count);
    world.workers.downtime = Some(Millis(3_000));
    world.workers.renames = renames;
    world
}

fn busy(world: &World) -> Option<WorkerName> {
    let names = world.workers.names();
    names
        .into_iter()
        .find(|name| world.workers.running_on(name.as_str()) > 0)
}

fn crash_records(world: &World) -> usize {
    world.rows.iter().filter(|(_, row)| row.contains("\"crash\":")).count()
}

fn lasting(key: u64) -> StepJob {
    let mut job = job(key, "normal", 1, 1, 10_000_000);
    job.steps[0].long_running = true;
    job
}

