//! One test for each rule of waiting, reclaiming, reservations, failed jobs and quarantine.

use pistachiostair::{AttemptEnd, Change, Decision, JobId, JobSpec, Millis, Urgency};

use crate::world::{World, checkpointable, pinned, spec};

/// Queues a job that must be placed at once.
fn start(world: &mut World, job: JobSpec) -> JobId {
    let job = world.queue(job);
    world.plan();
    assert!(world.placed.contains_key(&job), "{job} starts at once");
    job
}

/// Ends the jobs that the planner decided to stop, queues them again and plans.
fn stop_victims(world: &mut World) {
    for victim in world.reclaimed.keys().copied().collect::<Vec<_>>() {
        let spec = world.end(victim, AttemptEnd::Stopped).expect("it ran");
        world.requeue(victim, spec, Millis(6_000));
    }
    world.plan();
}

/// Guards against long work on the slots reserved for short work: jobs that declare a short run time but run long are
/// expected to be long after the first ones have.
#[test]
fn plan_reserved_slots() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let misdeclared = JobSpec {
        runtime: Some(Millis(1_000)),
        ..pinned("a", "1x0")
    };
    (0..5).for_each(|_| {
        world.queue(misdeclared.clone());
    });
    world.plan();
    assert_eq!(world.placed.len(), 5, "nothing is known yet");
    world.later(5_002);
    (0..5).for_each(|_| {
        world.queue(misdeclared.clone());
    });
    world.plan();
    assert_eq!(world.placed.len(), 7, "one of 8 slots is left");
    let waiting = *world.queued.keys().next().expect("some wait");
    let lines = world.planner.explain(waiting);
    assert!(
        lines.iter().any(|line| line.starts_with("reserved slots:")),
        "{lines:?}"
    );
    start(&mut world, spec("a", "1x0"));
}

/// Guards against short work that waits because stragglers, which were expected to be short, use the reserved slots.
#[test]
fn plan_behind_stragglers() {
    let mut world = World::new(1, 1, 1, 4, 8);
    (0..4).for_each(|_| {
        start(&mut world, spec("a", "1x0"));
    });
    world.later(5_002);
    let short = JobSpec {
        runtime: Some(Millis(100)),
        ..spec("b", "1x0")
    };
    let short = world.queue(short);
    world.plan();
    assert_eq!(world.reclaimed.len(), 1, "one straggler gives back the reserved slot");
    stop_victims(&mut world);
    assert!(world.placed.contains_key(&short));
}

/// Guards against a large gang that never starts because smaller jobs are placed on all workers that become free.
#[test]
fn plan_reservation() {
    let mut world = World::new(1, 1, 4, 8, 8);
    let small: Vec<JobId> = (0..4).map(|_| start(&mut world, pinned("a", "1x8"))).collect();
    let gang = world.queue(pinned("b", "2x8"));
    world.later(10_000);
    world.end(small[0], AttemptEnd::Succeeded);
    let backfill = world.queue(pinned("c", "1x1"));
    world.later(100);
    let lines = world.planner.explain(gang);
    assert!(lines[0].starts_with("reserved after a long wait"), "{lines:?}");
    assert!(world.queued.contains_key(&backfill), "it would delay the gang");
    let kept = world.planner.explain(backfill);
    assert!(
        kept.iter()
            .any(|line| line.contains(&format!("reserved for jobs {gang}"))),
        "{kept:?}"
    );
    world.end(small[3], AttemptEnd::Succeeded);
    world.end(small[2], AttemptEnd::Succeeded);
    world.end(small[1], AttemptEnd::Succeeded);
    world.plan();
    assert!(world.placed.contains_key(&gang));
}

/// Guards against an account with many waiting jobs that keeps other accounts from their share.
#[test]
fn plan_burst() {
    let mut world = World::new(1, 2, 4, 8, 8);
    (0..10_000).for_each(|_| {
        world.queue(spec("a", "1x1"));
    });
    world.plan();
    let other: Vec<JobId> = (0..32).map(|_| world.queue(spec("b", "1x1"))).collect();
    for _ in 0..32 {
        let next = *world
            .placed
            .iter()
            .find(|(_, (spec, _))| spec.account.as_str() == "a")
            .expect("it runs")
            .0;
        world.end(next, AttemptEnd::Succeeded);
        world.plan();
    }
    assert!(
        other.iter().all(|job| world.placed.contains_key(job)),
        "b gets its half with the next 32 ends"
    );
}

/// Guards against urgent work that waits while less urgent work of its account could be stopped.
#[test]
fn plan_urgent_reclaims() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let fixed = start(&mut world, pinned("a", "1x4"));
    let batch = start(&mut world, spec("a", "1x4"));
    let urgent = JobSpec {
        urgency: Urgency::Urgent,
        ..spec("a", "1x4")
    };
    let urgent = world.queue(urgent);
    world.plan();
    assert_eq!(
        world.reclaimed.keys().copied().collect::<Vec<_>>(),
        [batch],
        "not {fixed}"
    );
    stop_victims(&mut world);
    assert!(world.placed.contains_key(&urgent) && world.queued.contains_key(&batch));
}

/// Guards against an account that keeps the whole region after another account, below its share, has queued work.
#[test]
fn plan_share_reclaims() {
    let mut world = World::new(1, 1, 2, 8, 8);
    (0..4).for_each(|_| {
        start(&mut world, checkpointable("a", "1x4"));
    });
    let job = JobSpec {
        runtime: Some(Millis(3_600_000)),
        ..pinned("b", "1x4")
    };
    let job = world.queue(job);
    world.plan();
    assert!(world.reclaimed.is_empty(), "it has not waited yet");
    world.later(10_000);
    assert_eq!(world.reclaimed.len(), 1);
    stop_victims(&mut world);
    assert!(world.placed.contains_key(&job));
}

/// Guards against gangs that wait although moving a small job would make room, and against moves when no gang has
/// waited long enough.
#[test]
fn plan_compaction() {
    let mut world = World::new(1, 2, 2, 8, 8);
    let jobs: Vec<JobId> = (0..6).map(|_| start(&mut world, checkpointable("a", "1x4"))).collect();
    world.end(jobs[0], AttemptEnd::Succeeded);
    world.end(jobs[2], AttemptEnd::Succeeded);
    world.end(jobs[4], AttemptEnd::Succeeded);
    start(&mut world, pinned("a", "1x8"));
    world.later(100);
    assert!(world.reclaimed.is_empty(), "nobody waits");
    let gang = world.queue(pinned("b", "1x8"));
    world.plan();
    assert!(world.reclaimed.is_empty(), "the gang has not waited");
    world.later(2_500);
    assert_eq!(world.reclaimed.len(), 1);
    stop_victims(&mut world);
    assert!(world.placed.contains_key(&gang));
    assert_eq!(world.placed.len(), 5, "the moved job runs elsewhere");
}

/// Guards against a job that is started again and again although it fails on every worker.
#[test]
fn plan_failed_on_three() {
    let mut world = World::new(1, 1, 4, 8, 8);
    let job = world.queue(spec("a", "1x1"));
    for attempt in 0..3 {
        world.plan();
        assert!(world.placed.contains_key(&job), "attempt {attempt}");
        let spec = world.end(job, AttemptEnd::Failed(0)).expect("it ran");
        world.requeue(job, spec, Millis::ZERO);
    }
    world.plan();
    assert!(
        world.unrunnable[&job].starts_with("it failed on 3 workers"),
        "{:?}",
        world.unrunnable
    );
}

/// Guards against a broken worker that gets every job because the failures leave it free, and against one that stays in
/// quarantine after it works again.
#[test]
fn plan_quarantine() {
    let mut world = World::new(1, 1, 2, 8, 8);
    let bad = world.workers.keys().next().expect("a worker").clone();
    let fail = |world: &mut World, job: JobSpec| {
        let job = world.queue(job);
        world.plan();
        let workers = world.placed.get(&job).map(|(_, workers)| workers.clone());
        let end = if workers == Some(vec![bad.clone()]) {
            AttemptEnd::Failed(0)
        } else {
            AttemptEnd::Succeeded
        };
        world.end(job, end);
        end
    };
    for _ in 0..8 {
        fail(&mut world, spec("a", "1x1"));
    }
    assert_eq!(world.planner.quarantined(), std::slice::from_ref(&bad));
    assert_eq!(
        fail(&mut world, spec("a", "1x1")),
        AttemptEnd::Succeeded,
        "it goes elsewhere"
    );
    start(&mut world, pinned("a", "1x8"));
    world.now += Millis(5_000);
    let fixed = world.queue(pinned("a", "1x1"));
    world.plan();
    assert!(world.queued.contains_key(&fixed), "a probe must be idempotent");
    assert_eq!(fail(&mut world, spec("a", "1x1")), AttemptEnd::Failed(0), "the probe");
    world.now += Millis(5_000);
    let probe = world.queue(spec("a", "1x1"));
    assert_eq!(world.plan(), [], "the pause grows");
    world.later(5_000);
    assert!(world.placed.contains_key(&probe));
    world.end(probe, AttemptEnd::Succeeded);
    world.plan();
    assert!(world.planner.quarantined().is_empty() && world.placed.contains_key(&fixed));
}

/// Guards against a job that is ended as unrunnable right after a takeover because some workers have not reported yet.
#[test]
fn plan_unrunnable_settled() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let extra = World::new(1, 1, 2, 8, 8)
        .workers
        .into_values()
        .nth(1)
        .expect("a second worker")
        .0;
    world.now = Millis(1_000);
    let job = world.queue(spec("a", "2x8"));
    assert_eq!(world.plan(), []);
    world.worker(extra);
    world.plan();
    assert!(world.placed.contains_key(&job));
}

/// Guards against adopted work that is not counted because its worker has not reported yet, as happens at a takeover.
#[test]
fn apply_adopted_first() {
    let mut world = World::new(1, 1, 1, 8, 8);
    let known = world.workers.values().next().expect("a worker").0.clone();
    world.planner = pistachiostair::Planner::new();
    world.apply(Change::Adopted {
        job: JobId(100),
        spec: pinned("a", "1x8"),
        workers: vec![known.name.clone()],
    });
    world.worker(known);
    let job = world.queue(spec("a", "1x1"));
    world.later(10_000);
    assert!(world.queued.contains_key(&job), "the worker is full");
    world.apply(Change::PartEnded(JobId(100), 0));
    let decisions = world.plan();
    assert!(matches!(&decisions[..], [Decision::Place { job: placed, .. }] if *placed == job));
}

/// A rack of four workers, full with `first` and three times `rest`, and a gang of account b that has a reservation for
/// two of them. Returns the running jobs and the gang.
fn reserved(first: JobSpec, rest: JobSpec) -> (World, Vec<JobId>, JobId) {
    let mut world = World::new(1, 1, 4, 8, 8);
    let mut running = vec![start(&mut world, first)];
    running.extend((0..3).map(|_| start(&mut world, rest.clone())));
    let gang = world.queue(pinned("b", "2x8"));
    world.later(10_000);
    let lines = world.planner.explain(gang);
    assert!(lines[0].starts_with("reserved after a long wait"), "{lines:?}");
    (world, running, gang)
}

/// Guards against workers that became free for a gang and get other work when the reservation is moved.
#[test]
fn plan_reservation_moved() {
    let (mut world, running, gang) = reserved(pinned("a", "1x8"), pinned("a", "1x8"));
    let other = world.queue(pinned("c", "1x8"));
    world.later(5_000);
    world.end(running[0], AttemptEnd::Succeeded);
    world.later(5_000);
    world.later(10_000);
    assert!(world.queued.contains_key(&other), "the drained worker stays reserved");
    world.end(running[1], AttemptEnd::Succeeded);
    world.plan();
    world.later(10_000);
    assert!(world.placed.contains_key(&gang), "two workers are free");
}

/// Guards against a gang that waits for the end of work although all that is left could be stopped for it.
#[test]
fn plan_reservation_cleared() {
    let long = JobSpec {
        runtime: Some(Millis(60_000)),
        ..checkpointable("b", "1x8")
    };
    let (mut world, running, gang) = reserved(long, pinned("a", "1x8"));
    assert!(world.reclaimed.is_empty(), "a worker beside it is not free yet");
    world.end(running[1], AttemptEnd::Succeeded);
    world.plan();
    assert_eq!(world.reclaimed.keys().collect::<Vec<_>>(), [&running[0]]);
    world.end(running[0], AttemptEnd::Stopped);
    world.plan();
    assert!(world.placed.contains_key(&gang));
}

/// Guards against reserved workers that stay idle while short work waits, and against short work on them that delays
/// the gang.
#[test]
fn plan_reservation_lent() {
    let (mut world, running, gang) = reserved(pinned("a", "1x8"), pinned("a", "1x8"));
    world.end(running[0], AttemptEnd::Succeeded);
    let short = |job: JobSpec| JobSpec {
        runtime: Some(Millis(100)),
        ..job
    };
    let fixed = world.queue(short(pinned("c", "1x1")));
    let lent = start(&mut world, short(spec("c", "1x1")));
    assert!(
        world.queued.contains_key(&fixed),
        "work that can't be stopped would delay the gang"
    );
    world.end(running[1], AttemptEnd::Succeeded);
    world.plan();
    assert!(
        world.reclaimed.contains_key(&lent),
        "only work that can be stopped is left"
    );
    world.end(lent, AttemptEnd::Stopped);
    world.plan();
    assert!(world.placed.contains_key(&gang));
}
