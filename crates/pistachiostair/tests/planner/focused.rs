//! One test for each rule of placement and queueing.

use pistachiostair::{AttemptEnd, Decision, JobSpec, Millis, Urgency};
use rstest::rstest;

use crate::world::{World, checkpointable, guarantee, info, pinned, shape, spec};

/// Guards against gangs that are spread over more racks than needed, or rejected although the hardware can hold them.
#[rstest]
#[case::one("1x1", 1)]
#[case::no_accelerator("3x0", 1)]
#[case::half_worker("2x4", 1)]
#[case::rack("8x8", 1)]
#[case::two_racks("16x8", 2)]
#[case::domain("24x8", 3)]
fn plan_adjacent(#[case] text: &str, #[case] racks: usize) {
    let mut world = World::new(3, 3, 8, 8, 8);
    let job = world.queue(spec("a", text));
    world.plan();
    let (_, workers) = &world.placed[&job];
    let used: std::collections::BTreeSet<_> = workers.iter().map(|name| &world.workers[name].0.rack).collect();
    assert_eq!(used.len(), racks);
}

/// Guards against a gang of the largest size that is not placed because the workers differ in size.
#[test]
fn plan_uneven_workers() {
    let mut world = World::default();
    for index in 0..1_000u32 {
        let (domain, rack) = (format!("d{}", index / 143), format!("r{:03}", index / 8));
        let accelerators = if index % 10 == 0 { 3 } else { 2 };
        world.worker(info(&format!("w{index:04}"), &domain, &rack, 12, accelerators));
    }
    world.now = Millis(10_000);
    assert_eq!(world.planner.stats().accelerators, 2_100);
    let job = world.queue(spec("a", "128x2"));
    world.plan();
    assert_eq!(world.placed[&job].1.len(), 128);
}

/// Guards against small jobs that are spread over several racks, so that no rack stays free for a large gang.
#[test]
fn plan_best_fit() {
    let mut world = World::new(1, 3, 4, 8, 8);
    (0..8).for_each(|_| {
        world.queue(spec("a", "1x4"));
    });
    world.plan();
    assert_eq!(world.planner.stats().largest, 64);
    assert_eq!(world.planner.stats().fragmentation, 0.0);
}

/// Guards against work that can't be stopped being placed on what is guaranteed to another account, and against a
/// guarantee that keeps work that can be stopped from using it.
#[rstest]
#[case::pinned(pinned("b", "1x4"), 1)]
#[case::idempotent(spec("b", "1x4"), 2)]
fn plan_beside_guarantee(#[case] work: JobSpec, #[case] placed: usize) {
    let mut world = World::new(1, 1, 1, 8, 8);
    world.guarantee(guarantee("g", "a", "1x4", 1));
    (0..2).for_each(|_| {
        world.queue(work.clone());
    });
    world.plan();
    assert_eq!(world.placed.len(), placed);
    if placed == 1 {
        let waiting = *world.queued.keys().next().expect("one waits");
        let lines = world.planner.explain(waiting);
        assert!(lines.iter().any(|line| line.starts_with("guarantee:")), "{lines:?}");
    }
}

/// Guards against an account that does not get its guaranteed shape, and against stopping more work than needed or work
/// that is more expensive to stop.
#[test]
fn plan_reclaim_cheapest() {
    let mut world = World::new(1, 1, 2, 8, 8);
    world.guarantee(guarantee("g", "a", "1x4", 1));
    let old = world.queue(spec("b", "1x8"));
    world.plan();
    world.now += Millis(60_000);
    let cheap = world.queue(checkpointable("b", "1x4"));
    let other = world.queue(checkpointable("c", "1x4"));
    world.plan();
    let job = world.queue(pinned("a", "1x4"));
    world.plan();
    let victims: Vec<_> = world.reclaimed.keys().copied().collect();
    assert_eq!(victims, [cheap.min(other)], "not {old}");
    assert_eq!(world.reclaimed[&victims[0]], (job, Millis(500)));
    let spec = world.end(victims[0], AttemptEnd::Stopped).expect("it ran");
    world.requeue(victims[0], spec, Millis(10));
    world.plan();
    assert!(world.placed.contains_key(&job), "the beneficiary gets the freed worker");
}

/// Guards against guarantees that are accepted although they can't be honoured together.
#[test]
fn check_guarantee_refused() {
    let mut world = World::new(1, 1, 2, 8, 8);
    world.guarantee(guarantee("g", "a", "2x4", 1));
    assert!(world.planner.check_guarantee(&guarantee("h", "b", "2x4", 1)).is_ok());
    let refusal = world
        .planner
        .check_guarantee(&guarantee("h", "b", "1x8", 1))
        .expect_err("no worker is left whole");
    assert!(refusal.contains("1 of 1 x 1x8 can't be packed"), "{refusal}");
    assert!(world.planner.check_guarantee(&guarantee("h", "b", "3x1", 1)).is_err());
    assert!(
        world.planner.check_guarantee(&guarantee("g", "a", "2x8", 1)).is_ok(),
        "it replaces itself"
    );
}

/// Guards against a dead worker that leaves no guarantee broken, or breaks more than the one packed on it, and against
/// a guarantee that stays broken after the worker is back.
#[test]
fn broken_guarantees_lost_worker() {
    let mut world = World::new(1, 1, 2, 8, 8);
    world.guarantee(guarantee("g", "a", "1x8", 1));
    world.guarantee(guarantee("h", "b", "1x8", 1));
    world.plan();
    let lost = world.workers.values().next().expect("a worker").0.clone();
    world.set_state(lost.clone(), pistachiostair::MemberState::Dead);
    assert_eq!(world.planner.broken_guarantees().len(), 1);
    world.worker(lost);
    assert_eq!(world.planner.broken_guarantees(), []);
}

/// Guards against an account that exceeds its quota, and against a quota that keeps other accounts waiting.
#[test]
fn plan_quota() {
    let mut world = World::new(1, 1, 2, 8, 8);
    world.account("a", 1, Some(4));
    let jobs = [
        world.queue(spec("a", "1x3")),
        world.queue(spec("a", "1x3")),
        world.queue(spec("b", "1x8")),
    ];
    world.plan();
    assert!(world.placed.contains_key(&jobs[0]) && world.placed.contains_key(&jobs[2]));
    assert_eq!(
        world.planner.explain(jobs[1])[0],
        "quota: a uses 3 of 4 accelerators and the job needs 3"
    );
}

/// Guards against urgent work that starts after other work of its account.
#[test]
fn plan_urgent_first() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let batch = JobSpec {
        urgency: Urgency::Batch,
        ..spec("a", "1x8")
    };
    let urgent = JobSpec {
        urgency: Urgency::Urgent,
        ..spec("a", "1x8")
    };
    world.queue(batch);
    world.queue(spec("a", "1x8"));
    let first = world.queue(urgent);
    world.plan();
    assert_eq!(world.placed.keys().copied().collect::<Vec<_>>(), [first]);
}

/// Guards against a cancelled job that is placed later.
#[test]
fn apply_cancel_waiting() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let job = world.queue(spec("a", "1x8"));
    world.end(job, AttemptEnd::Stopped);
    assert_eq!(world.plan(), []);
    assert_eq!(world.planner.stats().waiting, 0);
}

/// Guards against jobs that wait forever for a shape that no hardware of the region can hold.
#[rstest]
#[case::part("1x9")]
#[case::gang("17x8")]
#[case::across_domains("9x8")]
fn plan_unrunnable_shape(#[case] text: &str) {
    let mut world = World::new(2, 1, 8, 8, 8);
    let job = world.queue(spec("a", text));
    assert!(matches!(&world.plan()[..], [Decision::Unrunnable { job: ended, .. }] if *ended == job));
    assert!(world.unrunnable[&job].contains(&shape(text).to_string()));
}
