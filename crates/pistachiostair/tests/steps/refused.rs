//! Workers that are cut off by refused connections and work on.

use pistachiostair::{Millis, StepJobPhase, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, job, worker};

/// The worker that runs something.
fn busy_worker(world: &World, count: usize) -> WorkerName {
    let busy = (0..count).find(|number| world.workers.running_on(worker(*number).as_str()) > 0);
    worker(busy.expect("a worker that runs something"))
}

/// Guards against a task that runs twice since refused connections to a draining worker count as its end: its remaining
/// time is the least, and it works on.
#[rstest]
fn refused_while_draining(
    #[values(500, 2_000, 4_500)] remaining: u64,
    #[values(false, true)] before_notice: bool,
    #[values(false, true)] taken_over: bool,
) {
    let mut world = World::new(3);
    world.submit(job(1, "normal", 1, ACCELERATORS, 9_000));
    world.run(1_000);
    let member = busy_worker(&world, 3);
    if before_notice {
        world.refusing.insert(member.clone());
        world.run(200);
    }
    world.leaving.insert(member.clone(), world.now + remaining);
    world.send_list();
    world.refusing.insert(member.clone());
    if taken_over {
        world.run(100);
        world.take_over();
    }
    world.run(remaining + 4_000);
    world.check();
    world.refusing.clear();
    world.run(30_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against tasks that wait for the lease of a worker that has left, although it has confirmed to stop them.
#[rstest]
fn left_after_stop(#[values(false, true)] refuses: bool) {
    let mut world = World::with_slow_stops(2);
    world.submit(job(1, "normal", 1, ACCELERATORS, 20_000));
    world.run(1_000);
    let member = busy_worker(&world, 2);
    world.leaving.insert(member.clone(), world.now + 1_000);
    world.send_list();
    world.run(300);
    world.workers.crash(&member);
    if !refuses {
        world.unreachable.insert(member.clone());
    }
    let starts = world.workers.starts;
    // The stop, the rest of the remaining time, and a call that times out.
    world.run(900 + 700 + 600);
    assert_eq!(world.workers.starts, starts + 1);
    world.run(25_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a task that runs again after its run has ended as done, if the worker that confirmed to stop it could not
/// be reached when it ended: its end must not be acknowledged while it counts.
#[rstest]
fn done_while_stopping(#[values(false, true)] taken_over: bool, #[values(0, 2_000)] longer: u64) {
    let mut world = World::with_slow_stops(2);
    world.submit(job(1, "normal", 1, ACCELERATORS, 1_300));
    world.run(500);
    let member = busy_worker(&world, 2);
    world.leaving.insert(member.clone(), world.now + 600);
    world.send_list();
    world.run(110);
    assert_eq!(world.stop_orders, 1);
    world.refusing.insert(member);
    world.run(1_300);
    assert_eq!(world.workers.starts, 2, "the task does not run elsewhere");
    // With the longer cut, the second run has ended before the worker is back.
    world.run(longer);
    if taken_over {
        world.take_over();
    }
    world.refusing.clear();
    world.run(15_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
    assert_eq!(world.workers.unacknowledged(), 0);
}

/// Guards against jobs that are given up since workers under their tasks were cut off again and again: connections were
/// refused for longer than a lease, which was taken for crashes.
#[rstest]
fn cut_off_again(#[values(9_000, 12_000, 16_000)] cut: u64, #[values(0, 500)] pause: u64) {
    let mut world = World::new(4);
    world.submit(job(1, "normal", 1, ACCELERATORS, 120_000));
    world.run(1_000);
    for _ in 0..7 {
        let member = busy_worker(&world, 4);
        world.refusing.insert(member.clone());
        world.run(cut);
        world.refusing.remove(&member);
        world.run(1_500 + pause);
        assert_ne!(world.phase(1, "normal"), StepJobPhase::Failed);
    }
    world.run(150_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against jobs that are given up since one worker after the other was cut off for good: each refused connections until
/// its lease was over, and stayed listed.
#[rstest]
fn cut_off_for_good(#[values(9_000, 14_000)] pause: u64, #[values(false, true)] taken_over: bool) {
    let mut world = World::new(9);
    world.submit(job(1, "normal", 1, ACCELERATORS, 200_000));
    world.run(1_000);
    for _ in 0..7 {
        let member = busy_worker(&world, 9);
        world.refusing.insert(member);
        world.run(pause);
        if taken_over {
            world.take_over();
            world.run(100);
        }
        let since = world.now;
        while world.workers.running() == 0 {
            world.run(100);
            assert!(world.now < since + 15_000, "not started");
        }
        assert_ne!(world.phase(1, "normal"), StepJobPhase::Failed);
    }
    world.run(220_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against crashes that stay on the counts since another scheduler takes over before the worker, which was cut off from
/// the store too and so dropped from the list, answers again.
#[rstest]
fn cut_off_from_store(#[values(9_000, 12_000, 16_000)] cut: u64, #[values(0, 1, 2)] takeovers: u32) {
    let mut world = World::new(4);
    world.submit(job(1, "normal", 1, ACCELERATORS, 120_000));
    world.run(1_000);
    for _ in 0..7 {
        let member = busy_worker(&world, 4);
        let number: usize = member.as_str()[1..].parse().expect("a number");
        let entry = world.entry(number);
        world.refusing.insert(member.clone());
        world.run(4_500);
        world.unlist(number);
        world.run(cut - 4_500);
        for _ in 0..takeovers {
            world.take_over();
            world.run(100);
        }
        world.refusing.remove(&member);
        world.relist_entry(entry);
        world.run(2_000);
        assert_ne!(world.phase(1, "normal"), StepJobPhase::Failed);
    }
    world.run(150_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against jobs that are given up since workers were cut off while the store was down, so that the list as the
/// scheduler knows it was old, or lacked workers that could not report.
#[rstest]
fn cut_off_beside_outage(
    #[values(false, true)] lapses: bool,
    #[values(6_000, 11_000)] outage: u64,
    #[values(false, true)] taken_over: bool,
) {
    let mut world = World::new(9);
    world.lapses = lapses;
    world.submit(job(1, "normal", 1, ACCELERATORS, 200_000));
    world.run(1_000);
    for _ in 0..7 {
        let member = busy_worker(&world, 9);
        world.refusing.insert(member);
        world.run(500);
        world.store_down = true;
        world.run(outage);
        world.store_down = false;
        if taken_over {
            world.run(100);
            world.take_over();
        }
        let back = world.now;
        while world.workers.running() == 0 || world.now < back + 3_000 {
            world.run(100);
            assert!(world.now < back + 15_000, "not started");
        }
        assert_ne!(world.phase(1, "normal"), StepJobPhase::Failed);
    }
    world.run(220_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against jobs that are given up after two crashes of workers, since runs that were cut off count as if their workers
/// might have crashed, after it is known that they did not.
#[rstest]
fn cut_off_beside_crashes(#[values(false, true)] answers: bool, #[values(false, true)] taken_over: bool) {
    let mut world = World::new(12);
    world.workers.downtime = Some(Millis(3_000));
    world.submit(job(1, "normal", 1, ACCELERATORS, 200_000));
    world.run(1_000);
    for round in 0..8 {
        let member = busy_worker(&world, 12);
        if round == 1 || round == 3 {
            world.crash(&[member]);
            world.run(10_000);
        } else {
            world.refusing.insert(member.clone());
            world.run(9_500);
            if answers {
                world.refusing.remove(&member);
            }
        }
        if taken_over {
            world.take_over();
        }
        let since = world.now;
        while world.workers.running() == 0 || world.now < since + 7_000 {
            world.run(100);
            assert_ne!(world.phase(1, "normal"), StepJobPhase::Failed, "round {round}");
            assert!(world.now < since + 20_000, "not started in round {round}");
        }
    }
    world.run(220_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}
