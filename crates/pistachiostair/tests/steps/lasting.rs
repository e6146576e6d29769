//! Long-running tasks whose runs end as done: they start again until their job is cancelled.

use pistachiostair::{
    HoldOrder, Incarnation, JobKey, Millis, RunOutcome, StartOrder, StepJob, StepJobPhase, TaskKey, Term,
};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// A job with two long-running tasks whose runs end as done after `work` milliseconds.
fn lasting(key: u64, work: u64) -> StepJob {
    let mut job = job(key, "normal", 2, 1, work);
    job.steps[0].long_running = true;
    job.payload += " lasts=1";
    job
}

/// The task with this index of job 1.
fn task(index: u32) -> TaskKey {
    TaskKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Runs until the ends of both tasks' first runs are stored, and then rewrites the ends of the first `count` in the journal
/// as an earlier release stored them.
fn store_as_done(world: &mut World, count: usize) {
    const NOW: &str = "\"fate\":\"failed\"";
    let stored = |world: &World| -> usize { world.rows.iter().map(|(_, row)| row.matches(NOW).count()).sum() };
    while stored(world) < 2 {
        assert!(world.now < 10_000, "the ends are not stored");
        world.run(10);
    }
    let mut left = count;
    for (_, row) in &mut world.rows {
        let found = row.matches(NOW).count().min(left);
        *row = row.replacen(NOW, "\"fate\":\"done\"", found);
        left -= found;
    }
}

/// Fails if a task is away for half a second in the next 10 s.
fn check_at_work(world: &mut World) {
    for _ in 0..4 {
        world.run(2_000);
        let away = 2 - world.workers.running();
        world.run(500);
        assert!(away == 0 || world.workers.running() == 2, "{away} of 2 tasks are away");
    }
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Running);
}

/// Guards against a long-running task that stays away once its run has ended as done, and against a job of such tasks that
/// completes.
#[rstest]
fn done_starts_again(#[values(false, true)] is_gang: bool) {
    let mut world = World::new(8);
    let mut submitted = lasting(1, 2_000);
    if is_gang {
        submitted = gang(1, "normal", 2, 1, 2_000);
        submitted.steps[0].long_running = true;
        submitted.payload += " lasts=1";
    }
    world.submit(submitted);
    for _ in 0..3 {
        world.run(1_000);
        assert_eq!(world.workers.running(), 2);
        world.run(1_200);
    }
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Running);
    world.cancel(1, "normal");
    world.run(1_000);
    let starts = world.workers.starts;
    world.run(5_000);
    assert_eq!((world.workers.running(), world.workers.starts), (0, starts));
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Cancelled);
    assert_eq!(world.workers.unacknowledged(), 0);
    world.check();
}

/// Guards against a long-running task that stays away, or runs twice, when another daemon becomes the scheduler at any
/// moment around the end of its run as done.
#[rstest]
fn done_take_over(
    #[values(0, 1_900, 1_920, 1_930, 1_940, 1_950, 1_960, 1_970, 1_980, 2_000, 2_050)] at: u64,
    #[values(1, 2)] times: u64,
) {
    let mut world = World::new(8);
    world.submit(lasting(1, 2_000));
    world.run(at);
    for _ in 0..times {
        world.take_over();
        world.run(20);
    }
    check_at_work(&mut world);
    assert!(world.workers.starts >= 8, "{} starts", world.workers.starts);
    world.check();
}

/// Guards against a loop of starts and journal rows for a long-running task that ends as done at once: it is held back as
/// one that fails at once.
#[rstest]
fn done_at_once(#[values(0, 100)] work: u64) {
    let starts = |fails: &str| {
        let mut world = World::new(4);
        let mut submitted = lasting(1, work);
        submitted.payload += fails;
        world.submit(submitted);
        world.run(20_000);
        assert!(!world.spins());
        assert_eq!(world.phase(1, "normal"), StepJobPhase::Running);
        world.check();
        (world.workers.starts, world.rows.len())
    };
    let (done, failed) = (starts(""), starts(" fails=1000000"));
    assert_eq!(done, failed);
    assert!((8..=40).contains(&done.0), "{done:?} starts and rows in 20 s");
}

/// Guards against a checkpoint that is lost, so that the next run works from the beginning, when a run ends as done.
#[test]
fn done_keeps_checkpoint() {
    let mut world = World::new(2);
    let mut submitted = lasting(1, 2_500);
    submitted.steps[0].checkpointing = true;
    world.submit(submitted);
    world.run(5_000);
    let second = |end: Option<RunOutcome>| {
        let log = &world.workers.log;
        let entry = log
            .iter()
            .find(|entry| (entry.1, entry.2, entry.3) == (task(0), 2, end));
        entry.expect("an entry").0
    };
    let work = second(Some(RunOutcome::Done)).since(second(None));
    assert!(work < Millis(2_000), "the second run worked for {work}");
    world.check();
}

/// Guards against a task that stays away since an earlier release stored the end of its run as done while its job went on.
#[rstest]
fn done_of_earlier_release(#[values(1, 2)] takeovers: u32, #[values(0, 20, 1_000)] pause: u64) {
    let mut world = World::new(8);
    world.submit(lasting(1, 2_000));
    store_as_done(&mut world, 1);
    for _ in 0..takeovers {
        world.take_over();
        world.run(pause);
    }
    check_at_work(&mut world);
    world.take_over();
    check_at_work(&mut world);
    world.cancel(1, "normal");
    world.run(1_000);
    assert_eq!(world.workers.running(), 0);
    world.check();
}

/// Guards against starts of a job that an earlier release has shown as completed, since all its long-running tasks had
/// ended as done.
#[test]
fn completed_by_earlier_release() {
    let mut world = World::new(8);
    world.submit(lasting(1, 2_000));
    store_as_done(&mut world, 2);
    world.take_over();
    world.run(5_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, 2);
    world.check();
}

/// Guards against stand-ins that accept any start after a long-running task has ended as done: only later runs may start.
#[rstest]
#[case::same_run(1, true, 1)]
#[case::later_run(2, true, 0)]
#[case::not_lasting(2, false, 1)]
fn stand_in_reports(#[case] run: u32, #[case] lasts: bool, #[case] violations: usize) {
    let mut world = World::new(2);
    let order = |run: u32| StartOrder {
        task: task(0),
        run,
        payload: format!("work=100 gpu={ACCELERATORS} lasts={}", u32::from(lasts)),
        deadline: Millis(20_000),
        term: Term(9),
        checkpoint: String::new(),
    };
    let hold = HoldOrder {
        term: Term(9),
        ack: 1,
        deadline: None,
        wait: Millis::ZERO,
    };
    let first = Incarnation(1);
    let workers = &mut world.workers;
    workers.start(Millis(1_000), &worker(0), first, &order(1));
    workers.advance(Millis(1_200), Millis(200));
    workers.hold(Millis(1_200), &worker(0), first, &hold).expect("lists");
    workers.start(Millis(1_300), &worker(1), first, &order(run));
    assert_eq!(workers.violations.len(), violations, "{:?}", workers.violations);
}
