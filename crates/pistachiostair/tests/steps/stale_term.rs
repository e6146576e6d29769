//! A scheduler that does not know that its term is over, beside its successor.

use pistachiostair::{Millis, StepCall, StepJobPhase, Term};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, job, worker};

/// Time after the end of a scheduler's lease for which it may grant leases to workers.
const GRACE_MS: u64 = 2_000;

/// Whether orders of the first term granted leases for which its successor does not wait.
fn granted_late(world: &World, lease_end: u64) -> bool {
    let late = |(at, term): &(u64, Term)| *term == Term(1) && *at >= lease_end + GRACE_MS;
    world.grants.iter().any(late)
}

/// Guards against a task that runs twice since a scheduler without its lease orders a start: the answer to the row that
/// stores the start arrives late, in a partition or while the process is paused, and the successor, which can't reach
/// the worker, has started the task elsewhere or is about to.
#[rstest]
fn start_after_late_answer(
    #[values(3_000, 5_000, 8_500, 10_000, 11_500, 14_000)] late: u64,
    #[values(false, true)] paused: bool,
) {
    let mut world = World::new(0);
    world.submit(job(1, "normal", 1, ACCELERATORS, 9_000));
    let lease_end = world.set_lease(1_000);
    world.store_mute = true;
    world.add_worker(0, 1);
    world.send_list();
    world.run(200);
    assert_eq!(world.start_orders, 0, "ordered before its row is stored");
    world.run(1_100);
    world.store_mute = false;
    world.unreachable.insert(worker(0));
    world.add_worker(1, 1);
    world.supersede(paused);
    world.run(late);
    world.unmute_store();
    world.resume_former();
    world.run(12_000);
    world.unreachable.clear();
    world.run(20_000);
    world.check();
    assert!(!granted_late(&world, lease_end));
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
}

/// Guards against leases that a scheduler renews after a pause, although its own lease has ended meanwhile: a run goes on
/// beside the one that its successor has started.
#[rstest]
fn renewal_after_pause(#[values(1_000, 4_000, 7_000)] pause: u64) {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 1, ACCELERATORS, 20_000));
    let lease_end = world.set_lease(1_010);
    world.run(1_000);
    world.unreachable.insert(worker(0));
    world.add_worker(1, 1);
    world.supersede(true);
    world.run(pause);
    world.resume_former();
    world.run(15_000);
    world.unreachable.clear();
    world.run(40_000);
    world.check();
    assert!(!granted_late(&world, lease_end));
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
}

/// Guards against a lease that outlasts the time for which a successor waits, since its deadline was computed from an old
/// reading of a slow clock: a worker without tasks is seldom asked for its clock.
#[rstest]
fn start_after_old_reading(#[values(1_000, 30_000, 100_000, 400_000)] idle: u64) {
    let mut world = World::new(1);
    world.workers.slow_clock(&worker(0), Millis(world.now));
    world.run(idle);
    world.set_lease(200);
    world.call(StepCall::Submit {
        job: Box::new(job(1, "normal", 1, ACCELERATORS, 20_000)),
    });
    world.run(20);
    world.store_mute = true;
    world.run(180);
    assert_eq!(world.start_orders, 0, "ordered before its row is stored");
    world.store_mute = false;
    world.unreachable.insert(worker(0));
    world.add_worker(1, 1);
    world.supersede(false);
    world.run(1_700);
    world.unmute_store();
    assert_eq!(world.start_orders, 1);
    world.run(15_000);
    world.unreachable.clear();
    world.run(40_000);
    world.check();
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
}

/// Guards against starts that are refused as late on a worker whose clock was not read for long, and against workers
/// without tasks that are asked for it all the time.
#[test]
fn start_after_idling() {
    let mut world = World::new(2);
    world.run(1_000);
    let holds = world.holds;
    world.run(600_000);
    let holds = world.holds - holds;
    assert!((10..=20).contains(&holds), "{holds} hold orders in 10 minutes");
    world.submit(job(1, "normal", 1, ACCELERATORS, 2_000));
    world.run(3_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.start_orders, 1);
}
