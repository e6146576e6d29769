//! Crashes that the fleet's own rate explains, drawn at random, beside tasks that crash their workers.
//!
//! `CRASH_SEEDS` sets the number of seeds of a cell; the sums of each cell are printed.

use std::collections::BTreeSet;

use pistachiostair::{JobKey, Millis, StepJob, StepJobPhase, TaskKey, WorkerName};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job};

const SEEDS: u64 = 3;

/// Number of workers that may have crashed under a deadly task, in waves or not, before its last two starts.
const CRASHES: usize = 3;
const MORE_STARTS: usize = 2;

/// Key of the first deadly job.
const FIRST_DEADLY: u64 = 1_000;

/// How workers crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crashes {
    /// One worker each 2.6 s.
    Steady,
    /// A part of the workers, as a divisor, each 9 s.
    Waves(usize),
    /// Both.
    Mixed,
    None,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    workers: usize,
    crashes: Crashes,
    gangs: bool,
    takeovers: bool,
    /// Times after their start at which deadly tasks crash their workers.
    deadly: &'static [u64],
}

/// What became of the jobs of one seed or of all seeds of a cell.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    wrongly_given_up: usize,
    wrongly_kept: usize,
    most_starts: usize,
    late_starts: usize,
    longest_wait: u64,
}

fn task(key: u64) -> TaskKey {
    TaskKey {
        job: JobKey(key),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn lasting(key: u64) -> StepJob {
    let mut lasting = job(key, "normal", 2, 1, 10_000_000);
    lasting.steps[0].long_running = true;
    lasting
}

fn play(seed: u64, cell: Cell) -> Outcome {
    const CRASHES_END_MS: u64 = 80_000;
    const END_MS: u64 = 150_000;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::new(cell.workers);
    world.workers.downtime = Some(Millis(1_000));
    world.by_name = true;
    for (key, crash_after) in (FIRST_DEADLY..).zip(cell.deadly) {
        let mut deadly = job(key, "normal", 1, 1, 60_000);
        deadly.payload = format!("{} deadly=1 crash_after={crash_after}", deadly.payload);
        world.submit(deadly);
    }
    let mut waits: Vec<(u64, u64)> = Vec::new();
    let (mut steady, mut wave, mut takeover) = (world.now + 2_000, world.now + 5_000, world.now + 20_000);
    let (begin, mut key, mut result) = (world.now, 1, Outcome::default());
    let crash_some = |world: &mut World, count: usize, random: &mut fastrand::Rng| {
        let mut names: Vec<WorkerName> = world.workers.names();
        random.shuffle(&mut names);
        names.truncate(count);
        world.crash(&names);
    };
    while world.now < begin + END_MS {
        if key <= 80 && world.now > begin + key * 500 {
            let submitted = match key % 8 {
                0 if cell.gangs => gang(key, "normal", 3, 2, 9_400),
                1 if cell.gangs => lasting(key),
                _ => job(key, "normal", 1, 2, 9_400),
            };
            world.submit(submitted);
            waits.push((key, 0));
            key += 1;
        }
        if world.now < begin + CRASHES_END_MS {
            if matches!(cell.crashes, Crashes::Steady | Crashes::Mixed) && world.now >= steady {
                steady += 2_600;
                crash_some(&mut world, 1, &mut random);
            }
            let part = match cell.crashes {
                Crashes::Waves(part) => Some(part),
                Crashes::Mixed => Some(2),
                Crashes::Steady | Crashes::None => None,
            };
            if let Some(part) = part.filter(|_| world.now >= wave) {
                wave += 9_000;
                let count = cell.workers / part;
                crash_some(&mut world, count, &mut random);
            }
        }
        if cell.takeovers && world.now >= takeover {
            takeover += 20_000;
            world.take_over();
        }
        world.run(100);
        let idle = 2 * world.workers.accelerators_in_use() < cell.workers as u64 * ACCELERATORS;
        waits.retain_mut(|(key, waited)| {
            let phase = world.phase(*key, "normal");
            let waits = idle && world.workers.running_of(JobKey(*key)) == 0;
            *waited = if waits { *waited + 100 } else { 0 };
            result.longest_wait = result.longest_wait.max(*waited);
            result.wrongly_given_up += usize::from(phase == StepJobPhase::Failed);
            !matches!(phase, StepJobPhase::Completed | StepJobPhase::Failed)
        });
    }
    for (key, _) in (FIRST_DEADLY..).zip(cell.deadly) {
        let kept = world.phase(key, "normal") != StepJobPhase::Failed;
        result.wrongly_kept += usize::from(kept);
        result.most_starts = result.most_starts.max(world.workers.starts_of(task(key)));
        let late = world.workers.starts_after(task(key), CRASHES);
        result.late_starts = result.late_starts.max(late);
    }
    world.check();
    result
}

fn play_all(cell: Cell) -> Outcome {
    let seeds = std::env::var("CRASH_SEEDS").map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"));
    let (mut sum, mut broken) = (Outcome::default(), BTreeSet::new());
    for seed in 1..=seeds {
        let result = play(seed, cell);
        sum.wrongly_given_up += result.wrongly_given_up;
        sum.wrongly_kept += result.wrongly_kept;
        sum.most_starts = sum.most_starts.max(result.most_starts);
        sum.late_starts = sum.late_starts.max(result.late_starts);
        sum.longest_wait = sum.longest_wait.max(result.longest_wait);
        if result.wrongly_given_up + result.wrongly_kept > 0 {
            broken.insert(seed);
        }
    }
    println!("{cell:?}, {seeds} seeds: {sum:?}, seeds {broken:?}");
    sum
}

/// Guards against giving up jobs whose workers crash as often as others do.
#[rstest]
fn innocent_kept(
    #[values(6, 24)] workers: usize,
    #[values(Crashes::Steady, Crashes::Waves(2), Crashes::Waves(4))] crashes: Crashes,
    #[values(false, true)] gangs: bool,
) {
    let cell = Cell {
        workers,
        crashes,
        gangs,
        takeovers: false,
        deadly: &[],
    };
    assert_eq!(play_all(cell).wrongly_given_up, 0);
}

/// Guards against a new scheduler that gives up jobs because it knows crashes under them, but not those of other workers.
#[test]
fn innocent_kept_over_takeovers() {
    let cell = Cell {
        workers: 24,
        crashes: Crashes::Waves(2),
        gangs: false,
        takeovers: true,
        deadly: &[],
    };
    assert_eq!(play_all(cell).wrongly_given_up, 0);
}

/// Guards against keeping deadly tasks, and giving up their neighbours, because other workers crash as well.
#[rstest]
fn deadly_set_apart(
    #[values(6, 24)] workers: usize,
    #[values(Crashes::None, Crashes::Steady, Crashes::Waves(4), Crashes::Mixed)] crashes: Crashes,
) {
    let cell = Cell {
        workers,
        crashes,
        gangs: false,
        takeovers: false,
        deadly: &[0, 0, 300],
    };
    let result = play_all(cell);
    assert_eq!((result.wrongly_given_up, result.wrongly_kept), (0, 0));
    assert!(result.late_starts <= MORE_STARTS, "{result:?}");
}
