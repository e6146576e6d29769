//! Workers and schedulers that fail while jobs run.

use pistachiostair::{StepAnswer, StepJobPhase};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Guards against runs that are lost or doubled when another daemon takes over, at every moment of a job's life.
#[rstest]
fn take_over_any_time(#[values(0, 10, 20, 30, 50, 100, 500, 1_000, 1_990, 2_010, 2_030, 2_060)] at: u64) {
    let mut world = World::new(4);
    world.submit(job(1, "normal", 12, 1, 2_000));
    world.submit(gang(2, "urgent", 2, 4, 2_000));
    world.run(at);
    world.take_over();
    world.run(6_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against ends that stay unacknowledged after a takeover, and against holds without a pause because of them.
#[test]
fn take_over_acknowledges() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 8, 1, 500));
    world.run(3_000);
    world.take_over();
    world.submit(job(2, "normal", 8, 1, 500));
    world.run(500);
    let holds = world.holds;
    world.run(2_500);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.unacknowledged(), 0);
    assert!(world.holds - holds < 20, "{} holds in 2.5 s", world.holds - holds);
}

/// Guards against a scheduler that takes the progress of runs that it took over for their speed: it then waits for
/// room that never becomes free.
#[test]
fn take_over_reclaims() {
    let mut world = World::with_guarantee(4, 24);
    world.submit(job(1, "normal", 32, 1, 20_000));
    world.run(10_000);
    world.take_over();
    world.submit(gang(2, "urgent", 3, ACCELERATORS, 500));
    world.run(1_500);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that takes runs which it took over for new ones, so that stopping them seems to lose
/// nothing: urgent work without a guarantee may cost others some work, but not 20 s of it.
#[test]
fn take_over_spares() {
    let mut world = World::new(2);
    world.submit(gang(1, "normal", 2, ACCELERATORS, 30_000));
    world.run(20_000);
    world.take_over();
    world.run(1_000);
    world.submit(gang(2, "urgent", 1, ACCELERATORS, 1_000));
    world.run(2_000);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Queued);
    world.run(10_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that spins before it knows the list of workers.
#[test]
fn take_over_rests() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 1, 1, 500));
    world.elect();
    assert!(!world.spins());
}

/// Guards against a worker that does not answer and whose lease the scheduler believes renewed by each call: its
/// tasks must run elsewhere once the lease has ended, and not before.
#[rstest]
#[case::before_crash(true)]
#[case::alive(false)]
fn cut_worker(#[case] crash: bool) {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 2, ACCELERATORS, 30_000));
    world.run(3_000);
    world.cut.insert(worker(0));
    if crash {
        world.workers.crash(&worker(0));
    }
    world.run(5_000);
    assert_eq!(world.workers.starts, 2);
    world.add_worker(2, 1);
    world.tell_list();
    world.run(6_000);
    assert_eq!(world.workers.starts, 3);
    world.cut.clear();
    world.run(30_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a worker that is restarted under its name and of which the scheduler still expects the old runs.
#[test]
fn restarted_worker() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 4, 4, 4_000));
    world.run(1_000);
    world.add_worker(0, 2);
    world.tell_list();
    world.run(10_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, 6);
    world.check();
}

/// Guards against orders whose answers are lost: the run goes on, once.
#[test]
fn mute_worker() {
    let mut world = World::new(2);
    world.mute.insert(worker(0));
    world.mute.insert(worker(1));
    world.submit(job(1, "normal", 2, 1, 3_000));
    world.run(700);
    world.mute.clear();
    world.run(12_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against work that stops, and against answers that are not true, while the store is away.
#[test]
fn store_outage() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 2, 1, 3_000));
    world.run(500);
    world.store_down = true;
    world.run(5_000);
    assert_eq!(world.workers.starts, 2);
    assert_ne!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.store_down = false;
    world.run(1_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert!(matches!(
        world.submit(job(2, "normal", 1, 1, 100)),
        StepAnswer::Accepted { .. }
    ));
    world.check();
}
