//! Longer sequences of faults at random times. Guards against faults that only hurt in combination,
//! long after the step at which they struck. proptest prints the sequence that fails.

mod life;

use life::world::{Delivery, spec};
use life::{Fault, World, check};
use pistachiostair::{Incarnation, Millis};
use proptest::prelude::*;
use standin::Inventory;

fn run(world: World, faults: &[(u64, usize)]) -> Vec<String> {
    let known = |(at, fault): &(u64, usize)| (*at, Fault::ALL[*fault]);
    run_in(world, &faults.iter().map(known).collect::<Vec<_>>())
}

fn with_snapshots(seed: u64) -> World {
    let mut world = World::new(seed);
    world.snapshot_often();
    world
}

fn run_in(mut world: World, faults: &[(u64, Fault)]) -> Vec<String> {
    world.add_client("order", spec("order", "1x1", 3_000, false, false), false, 6_000);
    world.add_client("gang", spec("gang", "3x2", 18_000, false, false), false, 6_000);
    world.add_client("batch", spec("batch", "2x2", 6_000, true, true), false, 6_000);
    world.add_client("plain", spec("plain", "1x0", 12_000, true, false), false, 6_000);
    for (index, (at, fault)) in faults.iter().enumerate() {
        world.after(*at, Delivery::Inject(*fault));
        let key = format!("late-{index}");
        let late = spec(&key, "1x1", 1_000, index % 2 == 0, false);
        world.add_client(&key, late, false, at + 200);
    }
    world.settle(Millis(300_000));
    check::violations(&world)
}

/// Guards against an old start that waits in the socket of a frozen worker and is carried out when the
/// worker wakes, while the next attempt of the idempotent job runs elsewhere.
#[test]
fn strike_sequence_stuck_start() {
    let faults = [
        (37_798, Fault::SupervisorDies),
        (7_822, Fault::SchedulerDies),
        (0, Fault::WorkerFails),
        (38_192, Fault::WorkerFreezes),
    ];
    let wrong = run_in(World::new(0), &faults);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a damaged snapshot that is kept as the older one: the next damage would leave none
/// that is whole, with journal rows already deleted.
#[test]
fn strike_sequence_damaged_again() {
    let mut faults: Vec<(u64, Fault)> = (0..20).map(|i| (8_000 + i * 700, Fault::SnapshotDamaged)).collect();
    faults.push((22_000, Fault::SchedulerDies));
    let wrong = run_in(with_snapshots(0), &faults);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a part that goes on without its gang after two cuts; found by `strike_sequence`.
#[test]
fn strike_sequence_cut_twice() {
    let faults = [
        (8_104, Fault::DomainCut),
        (15_407, Fault::DomainCut),
        (7_801, Fault::WorkerRestarts),
    ];
    let wrong = run_in(World::new(0), &faults);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a part that runs on alone for longer than its lease: one worker of the gang dies, and another
/// can't be reached any more just before that is noticed, so that no stop arrives.
#[test]
fn strike_sequence_unstopped_part() {
    for span in (0..5_000).step_by(500) {
        let mut world = World::new(0);
        world.add_client("gang", spec("gang", "4x1", 60_000, false, false), false, 8_000);
        world.run(Millis(14_000 + span));
        let now = world.now;
        world.workers[0].kill(now);
        world.run(now + Millis(3_800));
        world.faults.apart = now + Millis(60_000);
        world.faults.apart_worker = 2;
        let lost = world.workers[0].info.name.clone();
        world.listed.remove(&lost);
        world.settle(Millis(120_000));
        let wrong = check::violations(&world);
        assert!(wrong.is_empty(), "killed after {now}: {wrong:#?}");
    }
}

/// Guards against an idempotent job that runs on a worker that froze and on another one at the same time.
#[test]
fn strike_sequence_frozen_twice() {
    let faults = [
        (39_001, Fault::WorkerFreezes),
        (23_493, Fault::WorkerFreezes),
        (9_201, Fault::WorkerRestarts),
        (20_101, Fault::SchedulerDies),
    ];
    let wrong = run_in(World::new(0), &faults);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a worker that is ignored for good since its clock was set back, so that its new
/// incarnation is lower than the one before.
#[test]
fn strike_sequence_clock_back() {
    let mut world = World::new(0);
    world.run(Millis(12_000));
    let now = world.now;
    let worker = &mut world.workers[0];
    worker.kill(now);
    worker.incarnation = 0;
    worker.inventory = Inventory::new(worker.info.clone(), Incarnation(0), 0);
    worker.alive = true;
    world.add_client("gang", spec("gang", "4x1", 3_000, false, false), false, 1_000);
    world.settle(Millis(60_000));
    let wrong = check::violations(&world);
    assert!(wrong.is_empty(), "{wrong:#?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn strike_sequence(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..45_000, 0..Fault::ALL.len()), 1..9),
    ) {
        let wrong = run(World::new(seed), &faults);
        let named: Vec<(u64, Fault)> = faults.iter().map(|(at, fault)| (*at, Fault::ALL[*fault])).collect();
        prop_assert!(wrong.is_empty(), "seed {seed}, {named:?}: {wrong:#?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, max_shrink_iters: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same while snapshots are written after every few rows, and some of them spoil.
    #[test]
    fn strike_sequence_snapshot(
        seed in any::<u64>(),
        faults in prop::collection::vec((0_u64..45_000, 0..Fault::ALL.len() + Fault::SNAPSHOT.len()), 1..9),
    ) {
        let known = |index: usize| Fault::ALL.into_iter().chain(Fault::SNAPSHOT).nth(index).expect("a listed fault");
        let faults: Vec<(u64, Fault)> = faults.into_iter().map(|(at, fault)| (at, known(fault))).collect();
        let wrong = run_in(with_snapshots(seed), &faults);
        prop_assert!(wrong.is_empty(), "seed {seed}, {faults:?}: {wrong:#?}");
    }
}

/// Guards against an idempotent job that runs twice at a time, since a scheduler that is cut off from the store renews the
/// leases of the workers on its side for ever, and its successor starts the job elsewhere.
#[test]
fn strike_sequence_long_cut() {
    let mut world = World::new(0);
    world.add_client("plain", spec("plain", "1x1", 90_000, true, false), false, 8_000);
    world.run(Millis(14_000));
    world.split = true;
    world.faults.cut = world.now + Millis(60_000);
    world.faults.cut_daemon = world.leader().expect("a scheduler");
    world.settle(Millis(300_000));
    let wrong = check::violations(&world);
    assert!(wrong.is_empty(), "{wrong:#?}");
}
