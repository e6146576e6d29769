//! Tasks that crash the workers that start them, and crashes that no task has caused.

use pistachiostair::{JobKey, Millis, StepJob, StepJobPhase, TaskKey, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Crashes of workers under a task after which it is started [`MORE_STARTS`] times at most.
const CRASHES: usize = 3;
const MORE_STARTS: usize = 2;

/// What a deadly job consists of.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Single,
    WholeWorker,
    GangMember,
    WholeGang,
}

/// A region whose crashed workers are back after 3 s. On the platform orders name a worker, but not its incarnation.
fn region(count: usize, renames: bool) -> World {
    let mut world = World::new(count);
    world.workers.downtime = Some(Millis(3_000));
    world.workers.renames = renames;
    world.by_name = true;
    world
}

/// A job that crashes its workers, and its deadly tasks. The work is too long to be done from checkpoint to checkpoint.
fn deadly(key: u64, shape: Shape, crash_after: u64) -> (StepJob, Vec<TaskKey>) {
    let (mut job, mark, tasks) = match shape {
        Shape::Single => (job(key, "normal", 1, 1, 60_000), "1", 0..1),
        Shape::WholeWorker => (job(key, "normal", 1, ACCELERATORS, 60_000), "1", 0..1),
        Shape::GangMember => (gang(key, "normal", 3, 4, 60_000), "2", 1..2),
        Shape::WholeGang => (gang(key, "normal", 3, 4, 60_000), "all", 0..3),
    };
    job.payload = format!("{} deadly={mark} crash_after={crash_after}", job.payload);
    let task = |index| TaskKey {
        job: JobKey(key),
        occurrence: 0,
        step: 0,
        index,
    };
    (job, tasks.map(task).collect())
}

/// Fails if a task was started too often, or its job has not failed.
fn assert_given_up(world: &mut World, key: u64, tasks: &[TaskKey]) {
    for task in tasks {
        let (starts, crashes) = (world.workers.starts_of(*task), world.workers.crashes_by(*task));
        let more = world.workers.starts_after(*task, CRASHES);
        let bounded = starts <= CRASHES + MORE_STARTS && more <= MORE_STARTS;
        assert!(
            bounded,
            "{task}: {starts} starts, {more} of them late, {crashes} crashes"
        );
    }
    assert_eq!(world.phase(key, "normal"), StepJobPhase::Failed);
}

/// Runs until all jobs are completed, for at most `limit` milliseconds; fails if one of them fails.
fn run_until_completed(world: &mut World, keys: &[u64], limit: u64) {
    let end = world.now + limit;
    loop {
        let phases: Vec<StepJobPhase> = keys.iter().map(|key| world.phase(*key, "normal")).collect();
        assert!(!phases.contains(&StepJobPhase::Failed), "{phases:?}");
        if phases.iter().all(|phase| *phase == StepJobPhase::Completed) {
            return;
        }
        assert!(world.now < end, "{phases:?}");
        world.run(500);
    }
}

/// Guards against a task that crashes one worker after the other for as long as its job lives.
#[rstest]
fn crash_bounded(
    #[values(Shape::Single, Shape::WholeWorker, Shape::GangMember, Shape::WholeGang)] shape: Shape,
    #[values(0, 1_500)] crash_after: u64,
    #[values(false, true)] renames: bool,
) {
    let mut world = region(6, renames);
    let (job_deadly, tasks) = deadly(1, shape, crash_after);
    world.submit(job(2, "normal", 12, 1, 3_000));
    world.submit(job_deadly);
    world.run(60_000);
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}

/// Guards against giving up the jobs whose tasks ran on the same workers as deadly ones.
#[rstest]
fn crash_spares_neighbours(
    #[values(2, 3)] count: u64,
    #[values(0, 1_500)] crash_after: u64,
    #[values(false, true)] renames: bool,
) {
    let mut world = region(6, renames);
    let innocent = [11, 12, 13, 14];
    for key in innocent {
        world.submit(job(key, "normal", 8, 1, 4_000));
    }
    let jobs = (1..=count).map(|key| (key, deadly(key, Shape::Single, crash_after)));
    let jobs: Vec<(u64, Vec<TaskKey>)> = jobs
        .map(|(key, (job, tasks))| {
            world.submit(job);
            (key, tasks)
        })
        .collect();
    run_until_completed(&mut world, &innocent, 120_000);
    world.run(60_000);
    for (key, tasks) in jobs {
        assert_given_up(&mut world, key, &tasks);
    }
    world.check();
}

/// Guards against giving up tasks under which workers crash for another cause.
#[rstest]
#[case::rack(false, 4, 4_000)]
#[case::storm(true, 16, 1_000)]
fn crash_outage_spares(
    #[case] all: bool,
    #[case] count: usize,
    #[case] downtime: u64,
    #[values(false, true)] renames: bool,
) {
    let mut world = region(16, renames);
    world.workers.downtime = Some(Millis(downtime));
    let innocent = [1, 2, 3];
    world.submit(job(1, "normal", 60, 1, 20_000));
    world.submit(job(2, "normal", 4, ACCELERATORS, 20_000));
    world.submit(gang(3, "normal", 3, 4, 20_000));
    for round in 0..if all { 4 } else { 2 } {
        world.run(3_000);
        if round == 0 {
            assert!(world.workers.running() >= 60);
        }
        let mut names: Vec<WorkerName> = world.workers.names();
        names.truncate(count);
        // Restarts within one round are not quite simultaneous.
        for name in names {
            world.crash(&[name]);
            world.run(10);
        }
    }
    run_until_completed(&mut world, &innocent, 180_000);
    world.check();
}

/// Guards against a new scheduler that forgets how many workers a task has crashed.
#[rstest]
fn crash_survives_takeover(
    #[values(200, 1_010, 2_500, 4_200, 8_000, 13_000)] at: u64,
    #[values(0, 1_500)] crash_after: u64,
    #[values(Shape::Single, Shape::WholeGang)] shape: Shape,
) {
    let mut world = region(6, false);
    let (job_deadly, tasks) = deadly(1, shape, crash_after);
    world.submit(job_deadly);
    world.run(at);
    for _ in 0..3 {
        world.take_over();
        world.run(4_000);
    }
    world.run(50_000);
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}

/// Guards against giving up a long-running task whose workers crash now and then.
#[test]
fn crash_long_running() {
    let mut world = region(3, false);
    let mut lasting = job(1, "normal", 1, 1, 10_000_000);
    lasting.steps[0].long_running = true;
    world.submit(lasting);
    for _ in 0..8 {
        world.run(70_000);
        let (names, running) = (world.workers.names(), world.workers.running());
        assert_eq!(running, 1);
        let host = names.iter().find(|name| world.workers.running_on(name.as_str()) > 0);
        world.crash(&[host.expect("a worker that runs the task").clone()]);
    }
    world.run(20_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Running);
    assert_eq!(world.workers.running(), 1);
    world.check();
}

/// Guards against deadly tasks that crash a large part of the region at the same time. The first crash of each is not
/// counted, since nothing tells it apart before.
#[rstest]
#[case::at_once(0)]
#[case::later(1_500)]
fn crash_bounds_risk(#[case] crash_after: u64, #[values(4, 8)] count: u64) {
    let mut world = region(16, false);
    world.submit(job(20, "normal", 30, 1, 3_000));
    let tasks: Vec<TaskKey> = (1..=count)
        .flat_map(|key| {
            let (job, tasks) = deadly(key, Shape::Single, crash_after);
            world.submit(job);
            tasks
        })
        .collect();
    world.run(120_000);
    let downtime = Millis(3_000);
    let crashes = &world.workers.crashes;
    let repeated: Vec<Millis> = (crashes.iter().enumerate())
        .filter(|(index, crash)| {
            let earlier = &crashes[..*index];
            crash.culprit.is_some() && earlier.iter().any(|other| other.culprit == crash.culprit)
        })
        .map(|(_, crash)| crash.at)
        .collect();
    let down_at = |at: Millis| {
        let down = repeated.iter().filter(|other| **other <= at && at < **other + downtime);
        down.count()
    };
    let most = repeated.iter().map(|at| down_at(*at)).max().unwrap_or(0);
    println!(
        "{count} deadly jobs: {} crashes, {most} workers down at once",
        crashes.len()
    );
    assert!(most <= 16 / 4, "{most} of 16 workers down at once");
    for (key, task) in (1..=count).zip(tasks) {
        assert_given_up(&mut world, key, &[task]);
    }
    world.check();
}

/// Guards against orders to a worker that is down being taken for answered, and against a worker that stays away.
#[rstest]
#[case::same_name(false, "w00")]
#[case::new_name(true, "w00.2")]
fn crash_returns(#[case] renames: bool, #[case] name: &str) {
    let mut world = region(1, renames);
    world.run(100);
    world.crash(&[worker(0)]);
    world.submit(job(1, "normal", 1, 1, 500));
    world.run(2_000);
    assert_eq!((world.workers.starts, world.workers.names().len()), (0, 0));
    run_until_completed(&mut world, &[1], 5_000);
    assert_eq!(world.workers.names(), [WorkerName::from(name)]);
    world.check();
}

/// Guards against a scheduler that counts a crash twice or not at all if another one takes over just after it.
#[rstest]
fn crash_takeover_each(
    #[values(0, 40, 600, 3_100)] delay: u64,
    #[values(0, 1_500)] crash_after: u64,
    #[values(Shape::Single, Shape::WholeGang)] shape: Shape,
    #[values(false, true)] renames: bool,
) {
    let mut world = region(6, renames);
    let (job_deadly, tasks) = deadly(1, shape, crash_after);
    world.submit(job_deadly);
    let end = world.now + 120_000;
    let mut seen = 0;
    while world.now < end {
        world.run(10);
        if world.workers.crashes.len() > seen {
            world.run(delay);
            seen = world.workers.crashes.len();
            world.take_over();
        }
    }
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}

/// Guards against a bound that depends on how long crashed workers are away, or on when the list shows it.
#[rstest]
fn crash_any_downtime(
    #[values(1_000, 12_000)] downtime: u64,
    #[values(50, 900)] list_lag: u64,
    #[values(0, 700, 6_000)] crash_after: u64,
    #[values(Shape::Single, Shape::GangMember)] shape: Shape,
) {
    let mut world = region(6, false);
    world.workers.downtime = Some(Millis(downtime));
    world.list_lag = list_lag;
    let (job_deadly, tasks) = deadly(1, shape, crash_after);
    world.submit(job(2, "normal", 12, 1, 8_000));
    world.submit(job_deadly);
    world.run(180_000);
    assert_given_up(&mut world, 1, &tasks);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// A long-running job with a task on each of `count` workers.
fn services(key: u64, count: u32) -> StepJob {
    let mut services = job(key, "normal", count, 2, 10_000_000);
    services.steps[0].long_running = true;
    services.steps[0].spread = Some(1);
    services
}

/// Guards against deadly tasks that are not given up, and innocent ones that never end, since no worker is ever empty.
#[rstest]
#[case::lasting(true)]
#[case::stream(false)]
fn crash_busy_region(#[case] lasting: bool) {
    let mut world = region(6, false);
    match lasting {
        true => drop(world.submit(services(10, 6))),
        false => (10..16).for_each(|key| drop(world.submit(job(key, "normal", 40, 1, 15_000)))),
    }
    world.run(1_000);
    let (job_deadly, tasks) = deadly(1, Shape::Single, 0);
    world.submit(job_deadly);
    world.submit(job(2, "normal", 6, 1, 12_000));
    for _ in 0..2 {
        world.run(4_000);
        let names = world.workers.names();
        world.crash(&names[..2]);
    }
    run_until_completed(&mut world, &[2], 180_000);
    world.run(60_000);
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}

/// Guards against an innocent task that waits for good after its worker crashed at its start, since each worker has a
/// task that lasts and none is ever empty.
#[test]
fn crash_beside_services() {
    let mut world = region(6, false);
    world.submit(services(1, 6));
    world.run(1_000);
    world.submit(job(2, "normal", 1, 1, 4_000));
    let names = world.workers.names();
    let host = names.iter().find(|name| world.workers.running_on(name.as_str()) > 1);
    world.crash(&[host.expect("a worker that runs the task").clone()]);
    run_until_completed(&mut world, &[2], 120_000);
    world.check();
}

/// Guards against a deadly step that lasts being started for ever.
#[rstest]
fn crash_lasting_deadly(#[values(0, 1_500, 20_000)] crash_after: u64) {
    let mut world = region(6, false);
    let (mut lasting, tasks) = deadly(1, Shape::Single, crash_after);
    lasting.steps[0].long_running = true;
    // The first value of a name counts.
    lasting.payload = format!("work=10000000 {}", lasting.payload);
    world.submit(lasting);
    world.run(300_000);
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}

/// Guards against giving up long-running tasks after storms of restarts that are minutes apart.
#[rstest]
fn crash_lasting_storm(#[values(1, 2)] storms: u32) {
    let mut world = region(16, false);
    world.workers.downtime = Some(Millis(1_000));
    let mut lasting = job(1, "normal", 8, 1, 10_000_000);
    lasting.steps[0].long_running = true;
    world.submit(lasting);
    for _ in 0..storms {
        world.run(300_000);
        for _ in 0..4 {
            world.run(3_000);
            let names = world.workers.names();
            world.crash(&names);
        }
    }
    world.run(60_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Running);
    assert_eq!(world.workers.running(), 8);
    world.check();
}

/// Guards against tasks of a wide deadly job that are started too often, and against giving up their neighbours.
#[rstest]
fn crash_wide(#[values(0, 1_500)] crash_after: u64, #[values(10, 40)] count: u32) {
    let mut world = region(16, false);
    let mut wide = job(1, "normal", count, 1, 60_000);
    wide.payload = format!("{} deadly=all crash_after={crash_after}", wide.payload);
    world.submit(job(2, "normal", 30, 1, 8_000));
    world.submit(wide);
    let tasks: Vec<TaskKey> = (0..count)
        .map(|index| TaskKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
            index,
        })
        .collect();
    world.run(240_000);
    assert_given_up(&mut world, 1, &tasks);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a deadly task that is tried for ever, or starves others, on the only worker that has its label.
#[rstest]
fn crash_one_eligible(#[values(0, 1_500)] crash_after: u64, #[values(false, true)] renames: bool) {
    let mut world = region(5, renames);
    let (mut only, tasks) = deadly(1, Shape::Single, crash_after);
    only.steps[0].requires = Some("r1".to_owned());
    world.submit(only);
    let mut innocent = job(2, "normal", 6, 1, 8_000);
    innocent.steps[0].requires = Some("r1".to_owned());
    world.submit(innocent);
    world.run(120_000);
    assert_given_up(&mut world, 1, &tasks);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against counting it as a crash that a worker leaves after it has drained and starts again under its name.
#[test]
fn crash_not_by_draining() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 1, ACCELERATORS, 4_000));
    for incarnation in 2..8 {
        world.run(1_000);
        world.leaving.insert(worker(0), world.now + 500);
        world.send_list();
        world.unreachable.insert(worker(0));
        world.run(600);
        world.leaving.clear();
        world.add_worker(0, incarnation);
        world.unreachable.clear();
        world.send_list();
    }
    run_until_completed(&mut world, &[1], 10_000);
    assert!(world.workers.starts >= 6);
    world.check();
}

/// Guards against counting it as a crash that a worker is cut off and disappears from the list until its leases have ended.
#[test]
fn crash_not_by_cut() {
    let mut world = World::new(2);
    world.submit(gang(1, "normal", 2, ACCELERATORS, 9_000));
    for _ in 0..6 {
        world.run(1_000);
        let entry = world.entry(0);
        world.unreachable.insert(worker(0));
        world.unlist(0);
        world.run(12_000);
        world.unreachable.clear();
        world.relist_entry(entry);
    }
    run_until_completed(&mut world, &[1], 12_000);
    world.check();
}

/// Guards against a suspected gang that needs more workers than trials may take and waits for ever behind other suspects.
#[test]
fn crash_gang_not_starved() {
    let mut world = region(16, false);
    world.submit(gang(1, "normal", 8, ACCELERATORS, 20_000));
    world.run(500);
    for round in 0..2 {
        let names = world.workers.names();
        let host = names.iter().find(|name| world.workers.running_on(name.as_str()) > 0);
        world.crash(&[host.expect("a worker that runs a member").clone()]);
        world.run(if round == 0 { 9_000 } else { 100 });
    }
    for key in 2..30 {
        let (other, _) = deadly(key, Shape::Single, 0);
        world.submit(other);
        world.run(500);
    }
    run_until_completed(&mut world, &[1], 60_000);
    world.check();
}

/// Guards against ends of a worker's new life that are dropped by a cursor that was meant for an earlier life under the
/// same name, so that their tasks start again.
#[rstest]
fn cursor_of_earlier_life(
    #[values(50, 400)] downtime: u64,
    #[values(50, 900)] list_lag: u64,
    #[values(30, 200)] work: u64,
) {
    let mut world = region(2, false);
    world.workers.downtime = Some(Millis(downtime));
    world.list_lag = list_lag;
    for key in 1..=12 {
        world.submit(job(key, "normal", 100, 1, work));
    }
    for _ in 0..12 {
        world.run(770);
        let names = world.workers.names();
        world.crash(&names[..1]);
    }
    world.run(60_000);
    world.check();
}

/// Guards against a deadly task that is started for ever, or too often, since its crashed workers stay listed for longer than
/// usual, or the store is down when the list would have shown their crashes.
#[rstest]
fn crash_listed_late(
    #[values(0, 1_500, 3_000)] drop_lag: u64,
    #[values(false, true)] outages: bool,
    #[values(false, true)] takeovers: bool,
    #[values(0, 700, 6_000)] crash_after: u64,
) {
    let mut world = region(12, false);
    world.workers.downtime = Some(Millis(60_000));
    world.drop_lag = drop_lag;
    let (job_deadly, tasks) = deadly(1, Shape::Single, crash_after);
    world.submit(job_deadly);
    let mut seen = 0;
    let end = world.now + 240_000;
    while world.now < end {
        world.run(100);
        if world.workers.crashes.len() == seen {
            continue;
        }
        seen = world.workers.crashes.len();
        if outages {
            world.run(2_000);
            world.store_down = true;
            world.run(7_000);
            world.store_down = false;
        }
        if takeovers {
            world.run(8_600);
            world.take_over();
        }
    }
    assert_given_up(&mut world, 1, &tasks);
    world.check();
}
