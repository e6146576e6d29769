//! A job's life without faults, and the calls.

mod life;

use life::world::spec;
use life::{World, check};
use pistachiostair::{JobPhase, Millis, Ran};

/// Guards against a life cycle that stalls although nothing fails.
#[test]
fn run_undisturbed() {
    let mut world = World::new(1);
    world.add_client("order", spec("order", "1x1", 3_000, false, false), false, 6_000);
    world.add_client("gang", spec("gang", "3x1", 18_000, false, false), false, 6_000);
    world.add_client("batch", spec("batch", "2x2", 6_000, true, true), false, 6_000);
    world.add_client("plain", spec("plain", "1x0", 2_000, true, false), false, 6_000);
    world.settle(Millis(60_000));
    assert_eq!(check::violations(&world), Vec::<String>::new());
    for client in &world.clients {
        let job = client.told.as_ref().map(|job| (job.status.phase, job.status.ran));
        assert_eq!(job, Some((JobPhase::Succeeded, Ran::Yes)), "{}", client.key);
    }
    assert!(world.now < Millis(40_000), "it took until {}", world.now);
}
