//! Cases of a review of suspects and waves.

use pistachiostair::{JobKey, Millis, StepJobPhase, TaskKey, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, job};

fn region(count: usize) -> World {
    let mut world = World::new(count);
    world.workers.downtime = Some(Millis(500));
    world.by_name = true;
    world
}

fn busy(world: &World) -> Vec<WorkerName> {
    let names = world.workers.names().into_iter();
    names
        .filter(|name| world.workers.running_on(name.as_str()) > 0)
        .collect()
}

/// Guards against deadly tasks of several jobs that are never given up, since their crashes coincide.
#[rstest]
fn deadly_jobs_at_once_given_up(
    #[values(24, 64, 200)] workers: usize,
    #[values(8, 14)] jobs: u64,
    #[values(1_500, 5_000)] crash_after: u64,
) {
    let mut world = region(workers);
    for key in 1..=jobs {
        let mut deadly = job(key, "normal", 1, ACCELERATORS, 60_000);
        deadly.payload = format!("{} deadly=1 crash_after={crash_after}", deadly.payload);
        world.submit(deadly);
    }
    world.run(80_000);
    let mut most = 0;
    let mut late = 0;
    let mut open = 0;
    for key in 1..=jobs {
        let task = TaskKey {
            job: JobKey(key),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        most = most.max(world.workers.starts_of(task));
        late = late.max(world.workers.starts_after(task, 3));
        open += usize::from(world.phase(key, "normal") != StepJobPhase::Failed);
    }
    let shared: usize = world
        .rows
        .iter()
        .map(|(_, row)| row.matches("\"shared\":true").count())
        .sum();
    println!("{most} starts, {late} after three crashes, {open} jobs open, {shared} shared");
    assert!(
        late <= 2 && open == 0,
        "{most} starts of a task, {late} after three crashes, {open} of {jobs} jobs open, {shared} crashes shared"
    );
}

/// Guards against tasks of a job with spread that share a worker, since several are placed beside other work in one pass.
#[rstest]
fn suspects_keep_spread(#[values(1_000, 300)] age: u64) {
    let mut world = region(24);
    let mut spread = job(1, "normal", 6, 1, 20_000);
    spread.steps[0].spread = Some(1);
    world.submit(spread);
    world.run(age);
    let names = busy(&world);
    assert_eq!(names.len(), 6);
    world.crash(&names);
    for _ in 0..200 {
        world.run(100);
        let most = world
            .workers
            .names()
            .iter()
            .map(|name| world.workers.running_on(name.as_str()))
            .max();
        assert!(most <= Some(1), "{most:?} tasks on one worker at {}", world.now);
    }
}

/// Guards against suspects that wait beside empty workers for longer than the platform's bound of 3 s.
#[rstest]
fn few_workers_leave_nobody_waiting(
    #[values(3, 4, 7, 24)] workers: usize,
    #[values(1, ACCELERATORS)] accelerators: u64,
    #[values(1, 2)] crashes: u32,
) {
    let age = if crashes == 1 { 300 } else { 4_000 };
    let mut world = region(workers);
    let jobs = workers as u64 / 2 - u64::from(workers > 7) * 4;
    for key in 1..=jobs {
        world.submit(job(key, "normal", 1, accelerators, 20_000));
    }
    for _ in 0..crashes {
        world.run(age);
        for name in busy(&world) {
            world.crash(&[name]);
            world.run(if jobs > 5 { 100 } else { 10 });
        }
        world.run(1_000);
    }
    let mut waited = vec![0; jobs as usize + 1];
    let mut longest = 0;
    for _ in 0..300 {
        world.run(100);
        let idle = 2 * world.workers.accelerators_in_use() < workers as u64 * ACCELERATORS;
        for key in 1..=jobs {
            let waits =
                world.phase(key, "normal") == StepJobPhase::Running && world.workers.running_of(JobKey(key)) == 0;
            let entry = &mut waited[key as usize];
            *entry = if idle && waits { *entry + 100 } else { 0 };
            longest = longest.max(*entry);
        }
    }
    assert!(longest <= 3_000, "a job waits for {longest} ms beside free room");
}

/// Guards against suspects that all start at once after a while.
#[rstest]
fn deadly_jobs_bound_risk(#[values(12, 24)] jobs: u64) {
    let mut world = region(24);
    world.workers.downtime = Some(Millis(3_000));
    for key in 1..=jobs {
        let mut deadly = job(key, "normal", 1, 1, 60_000);
        deadly.payload = format!("{} deadly=1 crash_after=1500", deadly.payload);
        world.submit(deadly);
    }
    world.run(180_000);
    let crashes = &world.workers.crashes;
    let repeated: Vec<Millis> = (crashes.iter().enumerate())
        .filter(|(index, crash)| {
            crash.culprit.is_some() && crashes[..*index].iter().any(|other| other.culprit == crash.culprit)
        })
        .map(|(_, crash)| crash.at)
        .collect();
    let down_at = |at: Millis| {
        repeated
            .iter()
            .filter(|other| **other <= at && at < **other + Millis(3_000))
            .count()
    };
    let most = repeated.iter().map(|at| down_at(*at)).max().unwrap_or(0);
    println!("{} crashes, {most} down at once", crashes.len());
    assert!(
        most <= 6,
        "{most} of 24 workers down at once, {} crashes",
        crashes.len()
    );
}

fn counts(world: &World, from: usize) -> (usize, usize) {
    let rows = || world.rows[from..].iter().map(|(_, row)| row.as_str());
    let crashes: usize = rows().map(|row| row.matches("\"crash\":").count()).sum();
    let shared: usize = rows().map(|row| row.matches("\"shared\":true").count()).sum();
    (crashes, shared)
}

/// Guards against the second of two waves being counted against tasks, since its workers were lost in the first one too.
#[rstest]
fn second_wave_is_evidence(#[values(5_000, 9_000, 30_000)] gap: u64, #[values(true, false)] same: bool) {
    let mut world = region(48);
    (1..=48).for_each(|key| drop(world.submit(job(key, "normal", 1, ACCELERATORS / 2 + 1, 120_000))));
    world.run(5_000);
    let names: Vec<WorkerName> = world.workers.names();
    world.crash(&names[..24]);
    world.run(gap);
    let from = world.rows.len();
    println!("{} running", world.workers.running());
    world.crash(if same { &names[..24] } else { &names[24..] });
    world.run(12_000);
    let (crashes, shared) = counts(&world, from);
    assert!(
        crashes > 0 && shared == crashes,
        "{shared} of {crashes} crashes are shared"
    );
}

/// Guards against a wave that is counted against tasks, since another scheduler takes over during it.
#[rstest]
fn wave_beside_takeover(#[values(0, 100, 600, 2_000)] delay: u64, #[values(false, true)] before: bool) {
    let mut world = region(48);
    (1..=48).for_each(|key| drop(world.submit(job(key, "normal", 1, ACCELERATORS / 2 + 1, 120_000))));
    world.run(5_000);
    let names: Vec<WorkerName> = world.workers.names();
    let from = world.rows.len();
    if before {
        world.take_over();
        world.run(delay);
        world.crash(&names[..24]);
    } else {
        world.crash(&names[..24]);
        world.run(delay);
        world.take_over();
    }
    world.run(14_000);
    let (crashes, shared) = counts(&world, from);
    assert!(
        crashes > 0 && shared == crashes,
        "{shared} of {crashes} crashes are shared"
    );
}

/// Guards against crashes of a small part of the workers that count as a wave, since idle workers are left out.
#[rstest]
fn idle_workers_are_part_of_the_fleet(#[values(false, true)] takeover: bool) {
    let mut world = region(200);
    world.submit(job(1, "normal", 10, ACCELERATORS, 120_000));
    world.run(5_000);
    let names = busy(&world);
    if takeover {
        world.take_over();
        world.run(100);
    }
    let from = world.rows.len();
    world.submit(job(2, "normal", 10, ACCELERATORS, 120_000));
    world.run(5_000);
    world.crash(&names[..8]);
    world.run(14_000);
    let (crashes, shared) = counts(&world, from);
    assert!(
        crashes > 0 && shared == 0,
        "8 of 200 workers are lost, {shared} of {crashes} crashes are shared"
    );
}

/// Guards against crashes of a small part of the workers that count as a wave, since the others have not answered since.
#[rstest]
fn busy_workers_are_part_of_the_fleet(#[values(1, 3)] tasks: u32, #[values(5_000, 5_700, 6_300, 7_100)] at: u64) {
    let mut world = region(96);
    (1..=96 / u64::from(tasks))
        .for_each(|key| drop(world.submit(job(key, "normal", tasks, ACCELERATORS / 2 + 1, 120_000))));
    world.run(at);
    let names = busy(&world);
    assert_eq!(names.len(), 96);
    world.crash(&names[..9]);
    world.run(14_000);
    let (crashes, shared) = counts(&world, 0);
    assert!(
        crashes > 0 && shared == 0,
        "9 of 96 workers are lost, {shared} of {crashes} crashes are shared"
    );
}

/// Guards against a wave that is counted against the tasks of a job that runs on all workers, since those that outlast
/// it have not answered again when it is noted.
#[test]
fn wave_beside_one_job() {
    let mut world = region(48);
    world.submit(job(1, "normal", 48, ACCELERATORS / 2 + 1, 120_000));
    world.run(5_000);
    let names: Vec<WorkerName> = world.workers.names();
    world.crash(&names[..24]);
    world.run(12_000);
    let (crashes, shared) = counts(&world, 0);
    assert!(
        crashes > 0 && shared == crashes,
        "{shared} of {crashes} crashes are shared"
    );
}
