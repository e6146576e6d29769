//! Jobs from their acceptance to their end.

use pistachiostair::{JobKey, Millis, Recurrence, Step, StepAnswer, StepCall, StepJob, StepJobPhase};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Guards against tasks that are lost, run twice or never acknowledged on a calm day.
#[rstest]
#[case::one(1, 1)]
#[case::many(40, 1)]
#[case::whole_workers(6, ACCELERATORS)]
fn submit_completes(#[case] count: u32, #[case] accelerators: u64) {
    let mut world = World::new(4);
    let created = world.submit(job(1, "normal", count, accelerators, 2_000));
    assert_eq!(created, StepAnswer::Accepted { created: true });
    world.run(9_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, count);
    assert_eq!(world.workers.unacknowledged(), 0);
    world.check();
}

/// Guards against a second job for a submission that comes again, also after its end.
#[test]
fn submit_again() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 1, 1, 500));
    assert_eq!(
        world.submit(job(1, "normal", 1, 1, 500)),
        StepAnswer::Accepted { created: false }
    );
    world.run(2_000);
    assert_eq!(
        world.submit(job(1, "normal", 1, 1, 500)),
        StepAnswer::Accepted { created: false }
    );
    world.run(2_000);
    assert_eq!(world.workers.starts, 1);
    world.check();
}

/// Guards against a step that starts before the one it waits for is done.
#[test]
fn steps_in_order() {
    let mut world = World::new(2);
    let mut chain = job(1, "normal", 2, 1, 1_000);
    let after = Step {
        after: vec![0],
        ..chain.steps[0].clone()
    };
    chain.steps.push(after);
    world.submit(chain);
    world.run(800);
    assert_eq!(world.workers.starts, 2);
    world.run(400);
    assert_eq!(world.workers.running(), 2);
    world.run(1_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against gangs of which only some members start, and against members that wait in vain.
#[test]
fn gang_starts_whole() {
    let mut world = World::new(4);
    world.submit(job(1, "normal", 2, ACCELERATORS, 2_000));
    world.submit(gang(2, "normal", 3, ACCELERATORS, 1_000));
    world.run(1_500);
    assert_eq!(world.workers.starts, 2);
    world.run(3_000);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, 5);
    world.check();
}

/// Guards against more runs than a queue allows, and against a job without an end.
#[rstest]
#[case::recovers(1, StepJobPhase::Completed, 2)]
#[case::never(9, StepJobPhase::Failed, 2)]
fn failures_counted(#[case] fails: u32, #[case] phase: StepJobPhase, #[case] starts: u32) {
    let mut world = World::new(4);
    let mut poor = job(1, "normal", 1, 1, 500);
    poor.payload = format!("{} fails={fails}", poor.payload);
    world.submit(poor);
    world.run(5_000);
    assert_eq!(world.phase(1, "normal"), phase);
    assert_eq!(world.workers.starts, starts);
    world.check();
}

/// Guards against work that goes on after its job was cancelled.
#[test]
fn cancel_stops() {
    let mut world = World::new(2);
    world.submit(job(1, "bulk", 30, 1, 5_000));
    world.run(500);
    let cancel = world.call(StepCall::Cancel {
        job: JobKey(1),
        queue: "bulk".into(),
    });
    world.run(600);
    assert_eq!(world.answers[&cancel], StepAnswer::Cancelled);
    assert_eq!(world.workers.running(), 0);
    let starts = world.workers.starts;
    world.run(5_000);
    assert_eq!(world.workers.starts, starts);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Cancelled);
}

/// Guards against occurrences that start before they are due.
#[test]
fn occurrences_due() {
    let mut world = World::new(2);
    let mut timed = job(1, "normal", 1, 1, 200);
    timed.recurrence = Some(Recurrence {
        first: Millis(1_000_000 + world.now + 1_000),
        interval: Millis(2_000),
        times: 3,
    });
    world.submit(timed);
    let mut starts = Vec::new();
    for _ in 0..6 {
        world.run(1_000);
        starts.push(world.workers.starts);
    }
    assert_eq!(starts, [1, 1, 2, 2, 3, 3]);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
}

/// Guards against a guarantee that waits for work without one, and against room that is counted twice: then the
/// gang is ordered before the others have left.
#[test]
fn guarantee_reclaims() {
    let mut world = World::with_guarantee(4, 24);
    world.submit(job(1, "bulk", 32, 1, 20_000));
    world.run(500);
    assert_eq!(world.workers.running(), 32);
    world.submit(gang(2, "urgent", 3, ACCELERATORS, 1_000));
    world.run(1_000);
    assert_eq!(world.workers.refused, 0);
    world.run(1_000);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.run(30_000);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    world.check();
}

/// Guards against claims that count room which others still use, after the first one was made.
#[test]
fn guarantee_many() {
    let mut world = World::with_guarantee(4, 32);
    world.submit(gang(1, "normal", 4, 7, 20_000));
    world.submit(job(2, "bulk", 4, 1, 20_000));
    world.run(500);
    for key in 3..7 {
        world.submit(gang(key, "urgent", 1, ACCELERATORS, 1_000));
    }
    world.run(2_000);
    assert_eq!(world.workers.refused, 0);
    for key in 3..7 {
        assert_eq!(world.phase(key, "urgent"), StepJobPhase::Completed);
    }
    world.check();
}

/// Guards against a job that its account's guarantee covers only shortly before its time is up, since an older job
/// ends then: it had no time left to make room.
#[test]
fn guarantee_in_time() {
    let mut world = World::with_guarantee(5, 20);
    let in_rack = |mut job: StepJob| {
        job.steps[0].requires = Some("r1".to_owned());
        job
    };
    world.submit(in_rack(job(1, "bulk", 8, 1, 60_000)));
    world.run(10_000);
    world.submit(gang(2, "urgent", 2, ACCELERATORS, 3_600));
    world.run(900);
    world.submit(in_rack(gang(3, "urgent", 1, ACCELERATORS, 1_000)));
    world.run(2_400);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Running);
    assert_ne!(world.phase(3, "urgent"), StepJobPhase::Queued);
    world.run(60_000);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    world.check();
}

/// Guards against lasting tasks that are stopped for others although as many as may be are away.
#[rstest]
#[case::starting(Some(1), 4)]
#[case::unbound(None, 2)]
fn lasting_tasks_stay(#[case] may_miss: Option<u32>, #[case] running: usize) {
    let mut world = World::with_guarantee(2, 16);
    let mut lasting = job(1, "bulk", 4, 4, 60_000);
    lasting.steps[0].long_running = true;
    lasting.steps[0].max_unavailable = may_miss;
    world.submit(lasting);
    world.run(500);
    world.submit(job(2, "urgent", 1, ACCELERATORS, 30_000));
    world.run(3_000);
    assert_eq!(world.workers.running() - usize::from(may_miss.is_none()), running);
    world.check();
}

/// Guards against a claim that places the same tasks again when others of the step come to wait.
#[rstest]
fn claim_used_once(#[values(10, 20, 40, 60, 80, 100)] work: u64) {
    let mut world = World::new(2);
    let mut bulk = job(1, "bulk", 14, 1, 4_000);
    bulk.steps[0].spread = Some(7);
    world.submit(bulk);
    let mut urgent = job(2, "urgent", 3, 1, 5_000);
    urgent.payload = format!("work={work} gpu=1 fails=1");
    world.submit(urgent);
    world.run(10_000);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    world.check();
}

/// Guards against starts on a worker that leaves, and against runs that end unseen with it.
#[test]
fn leaving_worker() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 16, 1, 6_000));
    world.run(500);
    world.leaving.insert(worker(0), world.now + 2_000);
    world.tell_list();
    world.run(1_500);
    assert_eq!(world.workers.running(), 8);
    world.workers.crash(&worker(0));
    world.unlist(0);
    world.run(12_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that asks to be woken at once while it can't place anything.
#[rstest]
#[case::idle(0)]
#[case::full(64)]
fn wake_rests(#[case] count: u32) {
    let mut world = World::new(2);
    if count > 0 {
        world.submit(job(1, "normal", count, 1, 5_000));
    }
    world.run(500);
    assert!(!world.spins());
}

/// Guards against a gang that is as slow as the slowest of its workers, and against work that is placed there again.
#[rstest]
#[case::slow(15)]
#[case::still(0)]
fn slow_worker_left(#[case] pace: u64) {
    let mut world = World::new(8);
    world.workers.paces.insert(worker(1), pace);
    world.submit(gang(1, "normal", 4, ACCELERATORS, 2_000));
    world.run(1_000);
    world.submit(job(2, "normal", 3, ACCELERATORS, 2_000));
    world.run(3_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against tasks that are moved again and again because they are long by themselves.
#[test]
fn long_task_moved_once() {
    let mut world = World::new(4);
    for number in 0..4 {
        world
            .workers
            .paces
            .insert(worker(number), if number == 0 { 100 } else { 10 });
    }
    world.submit(job(1, "normal", 4, ACCELERATORS, 2_000));
    world.run(10_000);
    assert!(world.workers.starts <= 8, "{} starts", world.workers.starts);
    world.run(30_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}
