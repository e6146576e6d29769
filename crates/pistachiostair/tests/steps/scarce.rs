//! Demand above the capacity: which jobs are served, and in which order.

use pistachiostair::{AccountName, StepCall};

use crate::world::{World, job};

/// Stretch and allowance of the queues of the deployments that the load is taken from.
const OBJECTIVES: [(u64, u64); 3] = [(1_500, 250), (3_000, 1_000), (3_000, 3_000)];

/// Load: a steady flow of new jobs, half as much again as fits. Guards against jobs that wait for ever behind later ones.
#[test]
fn overload_starves_none() {
    let mut world = World::with_objectives(2, OBJECTIVES);
    let submitted = 30;
    for key in 0..120 {
        let call = StepCall::Submit {
            job: Box::new(job(key, "urgent", 8, 1, 1_000)),
        };
        world.call(call);
        world.run(350);
    }
    let unserved: Vec<u64> = (0..submitted).filter(|key| world.span(*key).1.is_none()).collect();
    assert_eq!(unserved, Vec::<u64>::new());
    world.check();
}

/// Guards against an order among accounts with equal use that follows their names.
#[test]
fn equal_accounts_by_age() {
    let mut world = World::with_objectives(1, OBJECTIVES);
    world.submit(job(1, "normal", 8, 1, 1_000));
    for (key, account) in [(2, "z"), (3, "a")] {
        let mut job = job(key, "normal", 8, 1, 1_000);
        job.account = AccountName::from(account);
        world.submit(job);
    }
    world.run(4_000);
    assert!(world.span(2).0.is_some() && world.span(2).0 < world.span(3).0);
}
