//! Numbers that are far too large, in entries of the list of workers that another writer left, in the configuration and
//! in jobs: the scheduler must go on with the other workers and jobs.

use pistachiostair::{Demand, Event, HostInfo, Incarnation, JobKey, Millis, StepJobPhase, StepsEvent, WorkerName};
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

/// Guards against a worker that is unusable until it restarts, and whose runs count as lost although they go on, because
/// another writer's entry under its name gave a later start than its own.
#[rstest]
#[case::next(2)]
#[case::highest(u64::MAX)]
fn born_later(#[case] born: u64) {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 2, ACCELERATORS, 4_000));
    world.run(1_000);
    world.send_entry(HostInfo {
        incarnation: Incarnation(born),
        ..world.entry(0)
    });
    world.run(500);
    world.send_entry(world.entry(0));
    world.run(3_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, 2);
    world.submit(job(2, "normal", 2, ACCELERATORS, 1_000));
    world.run(500);
    assert_eq!(world.workers.running(), 2);
    world.check();
}

/// Guards against a worker that is unusable under a new scheduler whose first list had such an entry.
#[test]
fn born_later_take_over() {
    let mut world = World::new(2);
    world.elect();
    world.send_entry(HostInfo {
        incarnation: Incarnation(u64::MAX),
        ..world.entry(0)
    });
    world.run(500);
    world.send_list();
    world.run(500);
    world.submit(job(1, "normal", 2, ACCELERATORS, 1_000));
    world.run(500);
    assert_eq!(world.workers.running(), 2);
    world.check();
}

/// Guards against runs of a restarted worker that are placed anew only once their lease has ended.
#[test]
fn born_later_restart() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 1, ACCELERATORS, 3_000));
    world.run(1_000);
    world.add_worker(0, 2);
    world.send_list();
    world.run(300);
    assert_eq!(world.workers.running(), 1);
    world.check();
}

/// Guards against a scheduler that ends because the latency objective of a queue overflows.
#[test]
fn objective_huge() {
    let mut world = World::new(1);
    let mut rules = world.rules();
    for queue in rules.queues.values_mut() {
        queue.settings.stretch = u64::MAX;
        queue.settings.allowance = Millis::MAX;
    }
    world.feed(Event::Steps(StepsEvent::Rules(rules)));
    for key in 1..4 {
        world.submit(job(key, "urgent", 1, ACCELERATORS, 1_000));
    }
    world.run(5_000);
    assert_eq!(world.phase(3, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that ends because the demand or the estimated duration of a job overflows.
#[rstest]
#[case::demand(u64::MAX, 1_000, false)]
#[case::estimate(1, u64::MAX, false)]
#[case::both(u64::MAX, u64::MAX, false)]
#[case::gang(u64::MAX, u64::MAX, true)]
fn job_huge(#[case] accelerators: u64, #[case] estimate: u64, #[case] is_gang: bool) {
    let mut world = World::with_guarantee(2, u64::MAX);
    world.workers.paces.insert(worker(1), 20);
    world.submit(job(1, "bulk", 2, ACCELERATORS, 1_000));
    let mut huge = job(2, "urgent", 3, accelerators, 1_500);
    huge.steps[0].demand.millicores = accelerators;
    huge.steps[0].estimate = Millis(estimate);
    huge.steps[0].gang = is_gang;
    world.submit(huge.clone());
    huge.key = JobKey(4);
    world.submit(huge);
    world.submit(job(3, "urgent", 2, ACCELERATORS, 500));
    world.run(30_000);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    assert_eq!(world.phase(3, "urgent"), StepJobPhase::Completed);
    world.check();
}
