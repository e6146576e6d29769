//! Work that is lost by runs that end before their task is done.

use pistachiostair::Millis;
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Reasons given for the stops of a job's runs.
fn reasons(world: &World, key: u64) -> Vec<&str> {
    let stops = world.stops.iter().filter(|(task, ..)| task.job.0 == key);
    stops.map(|(.., reason)| reason.as_str()).collect()
}

/// Guards against members of a gang that are stopped without the root cause in the log, under a preemption, a drain,
/// an end of the job and a lost worker.
#[rstest]
#[case::preempted("preempted", "a member of its gang was preempted", "member_preempted")]
#[case::drained("drained", "the worker of a member of its gang drains", "member_drained")]
#[case::job_ended("cancelled", "the job has ended", "job_ended")]
#[case::worker_lost("lost", "a worker was lost", "worker_lost")]
fn root_cause_passed_on(#[case] what: &str, #[case] reason: &str, #[case] label: &str) {
    let mut world = World::new(2);
    world.submit(gang(1, "bulk", 2, ACCELERATORS, 60_000));
    world.run(1_000);
    match what {
        "preempted" => {
            world.submit(job(2, "urgent", 1, ACCELERATORS, 8_000));
        }
        "drained" => {
            world.leaving.insert(worker(0), world.now + 2_000);
            world.send_list();
        }
        "cancelled" => {
            world.cancel(1, "bulk");
        }
        _ => world.crash(&[worker(0)]),
    }
    world.run(14_000);
    let found = reasons(&world, 1);
    assert!(found.iter().any(|found| found.starts_with(reason)), "{found:?}");
    assert!(
        !found.iter().any(|found| found.starts_with("another member")),
        "{found:?}"
    );
    assert!(world.wasted.contains_key(label), "{:?}", world.wasted);
    assert!(!world.wasted.contains_key("gang_broken"), "{:?}", world.wasted);
}

/// Guards against a wrong amount: two members of eight accelerators lose about a second each, at 8 cores for each
/// accelerator.
#[rstest]
fn amount_of_cancelled_gang() {
    let mut world = World::new(2);
    world.submit(gang(1, "bulk", 2, ACCELERATORS, 60_000));
    world.run(1_000);
    world.cancel(1, "bulk");
    world.run(2_000);
    let expected = Millis(2 * 8 * ACCELERATORS * 1_300);
    let lost: u64 = world.wasted.values().sum();
    assert!(lost.abs_diff(expected.0) < expected.0 / 4, "{lost} of {expected}");
}
