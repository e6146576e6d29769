//! Lists of workers that don't have all ends: workers list a limited number of ends at a time.

use pistachiostair::StepJobPhase;
use rstest::rstest;

use crate::world::{World, job, worker};

/// Number of tasks on one worker, more than the ends that it lists at a time.
const TASKS: u32 = 700;

/// Guards against runs that are started again since their ends were beyond those that the worker lists at a time, after
/// an outage of the store during which no end could be acknowledged.
#[rstest]
#[case::same_scheduler(0)]
#[case::taken_over(1)]
#[case::taken_over_between_pages(2)]
fn ends_beyond_page(#[case] takeovers: u32) {
    let mut world = World::new(1);
    world.submit(job(1, "normal", TASKS, 0, 2_000));
    world.run(1_000);
    assert_eq!(world.workers.running(), TASKS as usize);
    world.store_down = true;
    world.run(4_200);
    assert_eq!(world.workers.unacknowledged(), TASKS as usize);
    if takeovers > 0 {
        world.take_over();
    }
    world.store_down = false;
    if takeovers > 1 {
        while world.workers.unacknowledged() == TASKS as usize {
            world.run(10);
        }
        world.take_over();
    }
    let back = world.now;
    while world.phase(1, "normal") != StepJobPhase::Completed && world.now < back + 20_000 {
        world.run(10);
    }
    println!("completed {} ms after the store was back", world.now - back);
    world.run(2_000);
    assert_eq!(world.workers.starts, TASKS);
    assert_eq!(world.workers.unacknowledged(), 0);
    assert!(world.now - back <= 2_000 + 5_000, "{} ms", world.now - back);
    world.check();
}

/// Guards against a simulated list that keeps the entry of a crashed worker for longer than the platform's, or drops that of
/// one which is only cut off: the scheduler relies on both.
#[rstest]
#[case::as_specified(0)]
#[case::late(3_000)]
fn silent_worker_dropped(#[case] lag: u64) {
    let mut world = World::new(9);
    world.drop_lag = lag;
    world.run(7_770);
    for number in 0..8 {
        world.workers.crash(&worker(number));
    }
    world.refusing.insert(worker(8));
    let listed = |world: &World| (0..8).filter(|number| world.is_listed(&worker(*number))).count();
    // The last report of a worker was at most one interval before.
    world.run(2_980 + lag);
    assert_eq!(listed(&world), 8);
    world.run(1_540);
    assert_eq!(listed(&world), 0);
    world.run(20_000);
    assert!(world.is_listed(&worker(8)));
}
