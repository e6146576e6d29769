//! Entries of the list of workers that another writer left: each must leave the other workers usable.

use pistachiostair::{Demand, HostInfo, Millis, StepJobPhase, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// An entry with the highest numbers, for a worker that does not exist.
fn huge_entry(world: &World) -> HostInfo {
    HostInfo {
        name: WorkerName::from("odd"),
        address: "10.9.9.9:80".to_owned(),
        capacity: Demand {
            millicores: u64::MAX,
            memory: u64::MAX,
            accelerators: u64::MAX,
        },
        ..world.entry(0)
    }
}

/// Guards against a scheduler that ends, or places nothing any more, because the capacities of the workers overflow.
#[rstest]
#[case::unknown_worker("odd")]
#[case::real_worker("w00")]
fn capacity_huge(#[case] name: &str) {
    let mut world = World::new(3);
    world.send_entry(HostInfo {
        name: WorkerName::from(name),
        ..huge_entry(&world)
    });
    world.submit(job(1, "normal", 3, 1, 500));
    world.submit(gang(2, "urgent", 2, ACCELERATORS, 500));
    world.run(1_000);
    world.send_entry(world.entry(0));
    world.run(5_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    assert_eq!(world.workers.running_on(worker(0).as_str()), 0);
    world.check();
}

/// Guards against a scheduler that ends because the time that a draining worker has left overflows.
#[test]
fn remaining_huge() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 2, 1, 2_000));
    world.run(1_000);
    world.send_entry(HostInfo {
        draining: true,
        remaining: Some(Millis(u64::MAX)),
        ..world.entry(0)
    });
    world.run(3_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}
