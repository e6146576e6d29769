//! Workers of different speeds.

use pistachiostair::{Millis, StepCall, StepJob};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

const WORKERS: usize = 24;

/// A fleet in which a third of the workers has each of these speeds, in percent.
fn fleet(seed: u64, speeds: [u64; 3]) -> World {
    let mut world = World::new(WORKERS);
    let mut paces: Vec<u64> = (0..WORKERS).map(|number| speeds[number % 3]).collect();
    fastrand::Rng::with_seed(seed).shuffle(&mut paces);
    world.objectives = [(1_500, 300), (3_000, 300), (3_000, 300)];
    world.take_over();
    for (number, pace) in paces.into_iter().enumerate() {
        world.workers.paces.insert(worker(number), pace);
    }
    world
}

/// An urgent gang in one rack whose tasks take `work` on average.
fn urgent(key: u64, work: u64, estimate: u64) -> StepJob {
    let mut job = gang(key, "urgent", 5, 2, work);
    job.steps[0].same_rack = true;
    job.steps[0].estimate = Millis(estimate);
    job.payload += " vary=25";
    job
}

fn patient(key: u64, count: u32, work: u64) -> StepJob {
    let mut job = job(key, "bulk", count, 1, work);
    job.payload += " vary=25";
    job
}

/// Lets steps of single tasks run until every worker has had several.
fn warm_up(world: &mut World) {
    for key in 1..=3 {
        world.submit(patient(key, WORKERS as u32 * ACCELERATORS as u32, 1_000));
        world.run(2_500);
    }
}

/// Load: workers of speeds 0.6, 1.0 and 1.6, half of them busy with patient work, and a crest of urgent gangs whose
/// estimates are off by up to a quarter. Half of such gangs were late although they started at once. Guards against urgent
/// gangs on slow workers: 9 of 10 end in time, and the patient work does as well.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
fn urgent_crest_in_time(#[case] seed: u64) {
    let mut world = fleet(seed, [60, 100, 160]);
    let mut random = fastrand::Rng::with_seed(seed);
    warm_up(&mut world);
    let mut jobs = Vec::new();
    for key in 100..140 {
        if key % 10 == 0 {
            let job = patient(key + 100, 80, 4_000);
            jobs.push((key + 100, world.now, 12_300));
            world.call(StepCall::Submit { job: Box::new(job) });
        }
        let estimate = 2_000;
        let work = estimate * random.u64(75..=125) / 100;
        jobs.push((key, world.now, estimate * 3 / 2 + 300));
        world.call(StepCall::Submit {
            job: Box::new(urgent(key, work, estimate)),
        });
        world.run(350);
    }
    world.run(25_000);
    let in_time = |(key, at, objective): &&(u64, u64, u64)| {
        let (_, done) = world.span(*key);
        done.is_some_and(|done| done - at <= *objective)
    };
    let (urgent, patient): (Vec<_>, Vec<_>) = jobs.iter().partition(|(key, ..)| *key < 200);
    let urgent_in_time = urgent.into_iter().filter(in_time).count();
    let patient_in_time = patient.into_iter().filter(in_time).count();
    println!(
        "seed {seed}: in time {urgent_in_time} of 40 urgent, {patient_in_time} of 4 patient; stopped {}",
        world.broken_runs()
    );
    assert!(urgent_in_time >= 36, "{urgent_in_time} of 40 urgent jobs");
    assert_eq!(patient_in_time, 4);
    world.check();
}

/// Guards against a worker whose speed has to be learnt anew after a restart under another name on the same machine.
#[test]
fn speed_kept_with_machine() {
    let mut world = World::new(3);
    for (number, pace) in [60, 100, 160].into_iter().enumerate() {
        world.workers.paces.insert(worker(number), pace);
    }
    for key in 1..=12 {
        world.submit(job(key, "bulk", 24, 1, 1_000));
        world.run(2_500);
    }
    world.workers.downtime = Some(Millis(100));
    world.workers.renames = true;
    world.crash(&[worker(2)]);
    world.run(1_500);
    world.submit(job(20, "urgent", 1, 1, 1_000));
    assert_eq!(world.workers.running_on("w02.2"), 1);
    world.check();
}
