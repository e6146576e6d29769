//! Workers whose capacity shrinks and grows while they run. They start what does not fit, unless a test says otherwise.

use pistachiostair::{
    Demand, Event, HoldReply, Incarnation, JobKey, Millis, StepAnswer, StepCall, StepJob, StepJobPhase, StepsEvent,
    Target, Token,
};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Like [`job`], with tasks that also use processor cores.
fn mixed_job(key: u64, queue: &str, count: u32, (millicores, accelerators): (u64, u64), work: u64) -> StepJob {
    let mut job = job(key, queue, count, accelerators, work);
    job.steps[0].demand.millicores = millicores;
    job.payload = format!("{} cpu={millicores}", job.payload);
    job
}

/// Submits a job without waiting for the answer.
fn submit_later(world: &mut World, job: StepJob) -> Token {
    world.call(StepCall::Submit { job: Box::new(job) })
}

/// Guards against orders to start whose capacity has gone while their record was being committed.
#[rstest]
#[case::half(4)]
#[case::zero(0)]
fn shrink_while_committing(#[case] left: u64) {
    let mut world = World::with_unguarded_workers(1);
    world.resize(0, 0);
    world.submit(job(1, "normal", 8, 1, 1_000));
    world.store_down = true;
    world.resize(0, ACCELERATORS);
    world.run(500);
    world.resize(0, left);
    world.run(2_000);
    world.store_down = false;
    world.run(800);
    world.check();
    assert_eq!(u64::from(world.workers.starts), left);
    world.resize(0, ACCELERATORS);
    world.run(4_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against members of a gang that are started although the capacity of another member has gone.
#[test]
fn shrink_while_committing_gang() {
    let mut world = World::with_unguarded_workers(3);
    world.resize(0, 0);
    world.submit(gang(1, "normal", 3, ACCELERATORS, 1_000));
    world.store_down = true;
    world.resize(0, ACCELERATORS);
    world.run(500);
    world.resize(2, 4);
    world.run(2_000);
    world.store_down = false;
    world.run(1_000);
    world.check();
    assert_eq!((world.workers.starts, world.stop_orders), (0, 0));
    world.resize(2, ACCELERATORS);
    world.run(3_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a repeated order to start whose capacity has gone since the first one.
#[test]
fn shrink_before_repetition() {
    let mut world = World::with_unguarded_workers(1);
    world.run(100);
    world.unreachable.insert(worker(0));
    world.submit(job(1, "normal", 8, 1, 1_000));
    assert_eq!(world.start_orders, 8);
    world.resize(0, 4);
    world.unreachable.clear();
    world.run(1_000);
    world.check();
    world.run(8_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Orders that were sent before the worker shrank bring it over its new capacity; nothing more starts until enough has
/// ended.
#[test]
fn shrink_after_start() {
    let mut world = World::with_unguarded_workers(1);
    world.run(100);
    submit_later(&mut world, job(1, "normal", 16, 1, 1_000));
    while world.start_orders < 8 {
        world.run(10);
    }
    assert_eq!(world.workers.starts, 0);
    world.resize(0, 4);
    world.run(900);
    assert_eq!(world.workers.starts, 8);
    world.run(3_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Runs that are being stopped keep their capacity until the worker lists their ends.
#[rstest]
fn shrink_while_stopping(#[values(0, 1)] number: usize, #[values(0, 4)] left: u64) {
    let mut world = World::with_guarantee(2, ACCELERATORS);
    world.workers.unguarded = true;
    world.workers.stop_time = Some(Millis(900));
    world.submit(job(1, "bulk", 16, 1, 20_000));
    world.run(1_000);
    world.submit(gang(2, "urgent", 1, ACCELERATORS, 1_000));
    assert_eq!(world.stop_orders, 8);
    world.resize(number, left);
    world.run(6_000);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
    world.resize(number, ACCELERATORS);
    world.run(24_000);
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    world.check();
}

/// Guards against the preemption of too little on a worker whose runs exceed its capacity: the step then waits until its
/// reservation expires and more is preempted.
#[test]
fn preempt_over_capacity() {
    let mut world = World::with_unguarded_workers(1);
    world.submit(job(1, "bulk", 8, 1, 20_000));
    world.run(1_000);
    world.resize(0, 4);
    world.run(100);
    let submitted = world.now;
    world.submit(gang(2, "urgent", 1, 4, 1_000));
    world.run(2_500);
    let (start, _) = world.span(2);
    assert!(
        start.is_some_and(|start| start - submitted <= 500),
        "{start:?}, submitted {submitted}"
    );
    world.check();
}

/// Guards against the preemption of runs on a worker that has no capacity left, which makes room for nothing.
#[test]
fn preempt_without_capacity() {
    let mut world = World::with_guarantee(2, ACCELERATORS);
    world.workers.unguarded = true;
    world.submit(job(1, "bulk", 8, 1, 20_000));
    world.run(2_000);
    let older = (0..2).find(|number| world.workers.running_on(worker(*number).as_str()) > 0);
    let younger = 1 - older.expect("a worker of the tasks");
    world.submit(job(2, "bulk", 8, 1, 20_000));
    world.run(1_000);
    world.resize(younger, 0);
    world.run(100);
    let submitted = world.now;
    world.submit(gang(3, "urgent", 1, ACCELERATORS, 1_000));
    world.run(2_500);
    let (start, _) = world.span(3);
    assert!(
        start.is_some_and(|start| start - submitted <= 1_000),
        "{start:?}, submitted {submitted}"
    );
    assert_eq!(world.broken_runs(), 8);
    world.check();
}

/// Guards against a step that waits near its data for capacity that does not become free: the worker there has none left
/// beside what still runs.
#[test]
fn forecast_over_capacity() {
    let mut world = World::with_unguarded_workers(5);
    for number in 1..4 {
        world.unlist(number);
    }
    let mut near = job(1, "normal", 1, ACCELERATORS, 3_000);
    near.steps[0].affinity = Some("r0".to_owned());
    world.submit(near.clone());
    world.run(2_000);
    world.resize(0, 0);
    world.run(100);
    let submitted = world.now;
    near.key = JobKey(2);
    world.submit(near);
    world.run(1_500);
    let (start, _) = world.span(2);
    assert!(
        start.is_some_and(|start| start - submitted <= 200),
        "{start:?}, submitted {submitted}"
    );
    world.check();
}

/// Guards against a start on a worker whose runs exceed its capacity in a resource that the task does not use: the worker
/// stays over it.
#[test]
fn over_other_resource() {
    let mut world = World::with_unguarded_workers(1);
    world.submit(job(1, "normal", 8, 1, 3_000));
    world.run(100);
    assert_eq!(world.workers.starts, 8);
    world.resize(0, 4);
    world.run(500);
    world.submit(mixed_job(2, "normal", 1, (1_000, 0), 500));
    world.run(1_000);
    world.check();
    world.run(3_500);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// A guaranteed step begins in time although some workers have lost their capacity.
#[test]
fn guarantee_after_shrink() {
    let mut world = World::with_guarantee(4, 16);
    world.workers.unguarded = true;
    world.submit(job(1, "bulk", 32, 1, 20_000));
    world.run(1_000);
    world.resize(0, 0);
    world.resize(1, 0);
    world.run(100);
    let submitted = world.now;
    world.submit(gang(2, "urgent", 2, ACCELERATORS, 1_000));
    world.run(4_000);
    let (start, _) = world.span(2);
    assert!(
        start.is_some_and(|start| start - submitted <= 2_700),
        "{start:?}, submitted {submitted}"
    );
    world.check();
}

/// Tasks that wait start as soon as a worker grows again, and only as many as fit.
#[rstest]
#[case::from_half(4)]
#[case::from_zero(0)]
fn grow_again(#[case] before: u64) {
    let mut world = World::with_unguarded_workers(1);
    world.resize(0, before);
    world.submit(job(1, "normal", 16, 1, 2_000));
    world.run(500);
    assert_eq!(u64::from(world.workers.starts), before);
    world.resize(0, 6);
    world.run(100);
    assert_eq!(world.workers.starts, 6);
    world.run(9_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Another daemon becomes the scheduler at any moment around the change of a capacity.
#[rstest]
fn take_over_around_shrink(#[values(20, 30, 40, 50, 100, 500, 1_000)] at: u64, #[values(0, 4)] left: u64) {
    let mut world = World::with_unguarded_workers(2);
    world.submit(job(1, "normal", 12, 1, 2_000));
    submit_later(&mut world, job(2, "normal", 12, 1, 2_000));
    world.run(at);
    world.resize(0, left);
    world.take_over();
    world.run(10_000);
    for key in [1, 2] {
        assert_eq!(world.phase(key, "normal"), StepJobPhase::Completed);
    }
    world.check();
}

/// Another daemon becomes the scheduler while a record of starts is being committed; the journal has it, and the worker
/// has shrunk since.
#[test]
fn take_over_while_committing() {
    let mut world = World::with_unguarded_workers(1);
    world.resize(0, 0);
    world.submit(job(1, "normal", 8, 1, 1_000));
    world.resize(0, ACCELERATORS);
    world.run(10);
    world.resize(0, 4);
    world.take_over();
    world.run(12_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against starts by the capacity of a worker's earlier life, before the list shows that of the present one.
#[test]
fn restart_smaller() {
    let mut world = World::with_unguarded_workers(1);
    world.submit(job(1, "normal", 1, 1, 5_000));
    world.run(500);
    let capacity = Demand {
        millicores: 32_000,
        memory: 65_536,
        accelerators: 4,
    };
    let now = Millis(world.now);
    let name = worker(0);
    world.workers.start_worker(&name, Incarnation(2), capacity, now);
    let lists = HoldReply {
        clock: now,
        incarnation: Incarnation(2),
        running: Vec::new(),
        finished: Vec::new(),
        more_ends: false,
    };
    let target = Target {
        worker: name,
        incarnation: Incarnation(1),
        address: "10.0.0.0:80".to_owned(),
    };
    let event = Box::new(Event::Steps(StepsEvent::Held {
        target,
        ack: 0,
        long_poll: true,
        reply: Ok(lists),
    }));
    world.feed(Event::Outcome {
        term: world.term,
        event,
    });
    world.submit(job(2, "normal", 8, 1, 1_000));
    world.run(3_000);
    world.check();
    world.add_worker(0, 3);
    world.send_list();
    world.run(20_000);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against orders that a worker refuses for want of room, time after time, until the list shows that it has
/// shrunk.
#[test]
fn refusals_until_listed() {
    let mut world = World::new(1);
    world.resize_unseen(0, 0);
    world.submit(job(1, "normal", 8, 1, 1_000));
    world.run(1_000);
    assert!(world.workers.refused <= 16, "{} refusals in 1 s", world.workers.refused);
    world.resize(0, ACCELERATORS);
    world.run(3_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Random changes of capacity among jobs, preemption, outages of the store, lost orders and takeovers.
#[test]
fn random_changes() {
    for seed in 0..30 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut world = World::with_unguarded_workers(4);
        let mut jobs = Vec::new();
        for key in 1..40 {
            let queue = *random.choice(&["urgent", "normal", "bulk"]).expect("a queue");
            let (count, accelerators) = (random.u32(1..5), random.u64(1..9));
            let work = random.u64(100..2_500);
            let job = match random.bool() {
                true => gang(key, queue, count, accelerators, work),
                false => job(key, queue, count * 2, accelerators, work),
            };
            jobs.push((key, queue, submit_later(&mut world, job)));
            match random.u32(0..12) {
                0 => world.take_over(),
                1 => world.store_down = true,
                2..=4 => world.store_down = false,
                5 => drop(world.unreachable.insert(worker(random.usize(0..4)))),
                6 => world.unreachable.clear(),
                _ => {}
            }
            world.resize(random.usize(0..4), random.u64(0..=ACCELERATORS));
            world.run(random.u64(0..60) * 10);
        }
        world.store_down = false;
        world.unreachable.clear();
        for number in 0..4 {
            world.resize(number, ACCELERATORS);
        }
        world.run(60_000);
        for (key, queue, token) in jobs {
            if matches!(world.answers.get(&token), Some(StepAnswer::Accepted { .. })) {
                let phase = world.phase(key, queue);
                assert_eq!(phase, StepJobPhase::Completed, "job {key}, seed {seed}");
            }
        }
        assert_eq!(world.workers.violations, Vec::<String>::new(), "seed {seed}");
    }
}
