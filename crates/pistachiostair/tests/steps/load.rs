//! Patterns of load at which urgent work was late or work was thrown away, on a platform where a stop takes up to 900 ms.

use pistachiostair::StepJobPhase;
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Pattern: an urgent gang arrives at a full fleet shortly before work there ends. Guards against the preemption of work
/// whose stop takes longer than the wait for capacity that becomes free by itself.
#[test]
fn urgent_before_ends() {
    let mut world = World::with_slow_stops(4);
    world.submit(job(1, "bulk", 32, 1, 3_000));
    world.run(2_150);
    let submitted = world.now;
    world.submit(gang(2, "urgent", 2, ACCELERATORS, 1_000));
    world.run(4_000);
    assert_eq!(world.stop_orders, 0);
    let (start, _) = world.span(2);
    assert!(
        start.is_some_and(|start| start - submitted <= 1_000),
        "{start:?}, submitted {submitted}"
    );
    world.check();
}

/// Pattern: a crest of urgent gangs over a full fleet. Guards against more work that is thrown away than the gangs need,
/// as when work is preempted again for the same gang while the first stops last.
#[test]
fn crest_over_full_fleet() {
    let mut world = World::with_slow_stops(8);
    world.submit(job(1, "bulk", 64, 1, 40_000));
    world.run(1_000);
    let submitted = world.now;
    for key in 2..6 {
        world.submit(gang(key, "urgent", 1, ACCELERATORS, 2_000));
    }
    world.run(6_000);
    assert_eq!(world.broken_runs(), 4 * ACCELERATORS as usize);
    for key in 2..6 {
        let (start, _) = world.span(key);
        assert!(
            start.is_some_and(|start| start - submitted <= 2_000),
            "{start:?}, submitted {submitted}"
        );
    }
    world.check();
}

/// Pattern: a worker leaves at short notice. Guards against checkpoints that are lost because the stops take until after
/// the worker has left, and against tasks that then wait for the end of its lease.
#[test]
fn leave_at_short_notice() {
    let mut world = World::with_slow_stops(2);
    let mut saved = job(1, "normal", 8, 1, 8_000);
    saved.steps[0].checkpointing = true;
    world.submit(saved);
    world.run(4_500);
    let left = world.now + 2_000;
    world.leaving.insert(worker(0), left);
    world.leaving.insert(worker(1), left);
    world.send_list();
    world.add_worker(2, 1);
    world.send_list();
    world.run(2_000);
    world.workers.crash(&worker(0));
    world.workers.crash(&worker(1));
    world.unlist(0);
    world.unlist(1);
    world.run(6_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Pattern: a gang whose work is not checkpointed runs on a worker that leaves before it would end. Guards against work
/// that goes on until the worker leaves and is then lost.
#[rstest]
#[case::cut_short(12_000, true)]
#[case::in_time(6_000, false)]
fn leave_before_end(#[case] work: u64, #[case] moved: bool) {
    let mut world = World::with_slow_stops(4);
    world.submit(gang(1, "normal", 2, ACCELERATORS, work));
    world.run(2_500);
    let members: Vec<usize> = (0..4)
        .filter(|number| world.workers.running_on(worker(*number).as_str()) > 0)
        .collect();
    world.leaving.insert(worker(members[0]), world.now + 6_500);
    world.send_list();
    world.run(2_000);
    assert_eq!(world.broken_runs() > 0, moved);
    world.run(4_500);
    world.workers.crash(&worker(members[0]));
    world.unlist(members[0]);
    world.run(work + 4_000 - 4_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a task that is stopped although it ends before its worker leaves, which loses its work.
#[test]
fn leave_after_end() {
    let mut world = World::with_slow_stops(2);
    world.submit(job(1, "normal", 16, 1, 4_000));
    world.run(2_900);
    world.leaving.insert(worker(0), world.now + 2_000);
    world.send_list();
    world.run(2_000);
    assert_eq!(world.broken_runs(), 0);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Pattern: a scheduler on a weak machine, with short urgent tasks on all workers. Guards against hold orders that take
/// the whole link, so that others are not answered in time, and against ends that are read late.
#[rstest]
#[case::weak(20, 60)]
#[case::strong(u64::MAX, 200)]
fn hold_orders_bounded(#[case] rate: u64, #[case] most: u32) {
    let mut world = World::with_hold_rate(24, rate);
    world.submit(job(1, "urgent", 192, 1, 2_000));
    world.run(500);
    let before = world.holds;
    world.run(1_400);
    assert!(world.holds - before <= most, "{} hold orders", world.holds - before);
    world.run(500);
    assert_eq!(world.phase(1, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Pattern: a worker leaves at short notice while another daemon takes over. Guards against tasks that wait for the end
/// of a lease on a worker that has ended, and is still listed.
#[test]
fn leave_during_takeover() {
    let mut world = World::with_slow_stops(3);
    world.submit(gang(1, "urgent", 2, ACCELERATORS, 3_000));
    world.run(500);
    let member = (0..3).find(|number| world.workers.running_on(worker(*number).as_str()) > 0);
    let member = member.expect("a member of the gang");
    world.leaving.insert(worker(member), world.now + 1_200);
    world.run(1_000);
    world.take_over();
    world.run(300);
    world.workers.crash(&worker(member));
    world.run(1_000 + 300 + 900 + 3_500);
    assert_eq!(world.phase(1, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against tasks that run twice because a draining worker that can't be reached counts as gone: it may be cut off
/// and work on.
#[test]
fn leave_silently() {
    let mut world = World::with_slow_stops(2);
    world.submit(job(1, "urgent", 1, ACCELERATORS, 6_000));
    world.run(500);
    let member = (0..2).find(|number| world.workers.running_on(worker(*number).as_str()) > 0);
    let member = worker(member.expect("a worker of the task"));
    world.leaving.insert(member.clone(), world.now + 1_000);
    world.send_list();
    world.unreachable.insert(member);
    world.run(5_000);
    assert_eq!(world.workers.starts, 1);
    world.run(20_000);
    assert_eq!(world.phase(1, "urgent"), StepJobPhase::Completed);
    world.check();
}
