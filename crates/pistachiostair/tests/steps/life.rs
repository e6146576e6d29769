//! Jobs from their submission to their end, while nothing but workers' speed and lists changes.

use pistachiostair::{JobKey, Millis, Recurrence, Step, StepAnswer, StepCall, StepJob, StepJobPhase};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Guards against tasks that are lost, run twice or whose ends are never acknowledged, without any failure.
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

/// Guards against a second job when a submission is repeated, also after the job has ended.
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

/// Guards against a step that starts before the step it depends on is done.
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

/// Guards against gangs of which only some members start, and against members that give up waiting for the others.
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

/// Guards against more runs of a failing task than the queue's attempts allow, and against a job that never ends.
#[rstest]
#[case::recovers(1, StepJobPhase::Completed, 2)]
#[case::never(9, StepJobPhase::Failed, 2)]
fn failures_counted(#[case] fails: u32, #[case] phase: StepJobPhase, #[case] starts: u32) {
    let mut world = World::new(4);
    let mut failing = job(1, "normal", 1, 1, 500);
    failing.payload = format!("{} fails={fails}", failing.payload);
    world.submit(failing);
    world.run(5_000);
    assert_eq!(world.phase(1, "normal"), phase);
    assert_eq!(world.workers.starts, starts);
    world.check();
}

/// Guards against tasks that run on or start after their job was cancelled.
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

/// Guards against a job with a guarantee that waits for work without one, and against capacity that is counted twice:
/// the gang is then started before the preempted runs have ended, and workers refuse it.
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

/// Guards against several reservations at once of which a later one counts capacity that runs still use.
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

/// Guards against a job that starts too late because an older job of its account uses the guarantee until shortly
/// before its time is up: too little time is left then to preempt others.
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

/// Guards against long-running tasks that are preempted although as many as allowed are unavailable already.
#[rstest]
#[case::starting(Some(1), 4)]
#[case::unbound(None, 2)]
fn long_running_tasks_stay(#[case] max_unavailable: Option<u32>, #[case] running: usize) {
    let mut world = World::with_guarantee(2, 16);
    let mut long_running = job(1, "bulk", 4, 4, 60_000);
    long_running.steps[0].long_running = true;
    long_running.steps[0].max_unavailable = max_unavailable;
    world.submit(long_running);
    world.run(500);
    world.submit(job(2, "urgent", 1, ACCELERATORS, 30_000));
    world.run(3_000);
    assert_eq!(
        world.workers.running() - usize::from(max_unavailable.is_none()),
        running
    );
    world.check();
}

/// Guards against a reservation that places the same tasks a second time when other tasks of the step become ready.
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

/// Guards against starts on a draining worker, and against runs that are lost when it is gone.
#[test]
fn leaving_worker() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 16, 1, 6_000));
    world.run(500);
    world.leaving.insert(worker(0), world.now + 2_000);
    world.send_list();
    world.run(1_500);
    assert_eq!(world.workers.running(), 8);
    world.workers.crash(&worker(0));
    world.unlist(0);
    world.run(12_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that asks to be woken at once, again and again, while it can't place anything.
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

/// Guards against a gang that stays on a slow worker, which slows all its members, and against tasks that are placed
/// there afterwards.
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

/// Guards against tasks that are moved from worker to worker because they take longer than others by themselves.
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
