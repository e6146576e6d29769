//! Measures how often running daemons are found dead, and how long it takes to find a crashed one.
//!
//! `cargo run --release -p pistachiostair --example membership`

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use pistachiostair::MemberState;
use simulation::Simulation;

const SEED: u64 = 20_261_204;

fn main() {
    println!("daemons loss intervals false-deaths silences-by-seconds");
    for (count, loss, seconds) in [
        (9, 0.0, 1_500),
        (9, 0.05, 140_000),
        (9, 0.1, 14_000),
        (9, 0.2, 14_000),
        (27, 0.05, 1_500),
    ] {
        let mut simulation = Simulation::new(count, loss, SEED);
        simulation.run(seconds * 1_000);
        let counts = &simulation.counts;
        println!(
            "{count} {loss} {} {} {:?}",
            counts.intervals, counts.false_deaths, counts.silences
        );
    }
    for loss in [0.0, 0.05] {
        let joins = (0..500).map(|run| join(loss, run)).max();
        println!(
            "restart at loss {loss}: live at all others after at most {} ms",
            joins.unwrap_or_default()
        );
        let mut detections = detections(loss);
        detections.sort_unstable();
        let at = |share: f64| detections[((detections.len() - 1) as f64 * share) as usize];
        println!(
            "detection at loss {loss}: {} samples, min {} ms, median {} ms, p99 {} ms, max {} ms",
            detections.len(),
            at(0.0),
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}

/// Crashes one of 9 daemons at a different phase each time.
fn detections(loss: f64) -> Vec<u64> {
    let mut all = Vec::new();
    for run in 0..500 {
        let mut simulation = Simulation::new(9, loss, SEED + run);
        simulation.run(5_000 + run * 37 % 1_000);
        simulation.crash(4);
        simulation.run(16_000);
        all.append(&mut simulation.counts.detections);
    }
    all
}

/// Milliseconds until a daemon that restarts within the detection time is live in its new incarnation
/// at all others.
fn join(loss: f64, run: u64) -> u64 {
    let mut simulation = Simulation::new(9, loss, SEED + run);
    simulation.run(5_000);
    simulation.crash(4);
    simulation.run(6_000);
    simulation.restart(4, 2);
    let joined = |simulation: &Simulation| {
        let others = (0..9).filter_map(|number| simulation.daemon(number));
        others
            .flat_map(|daemon| daemon.daemons(MemberState::Live))
            .filter(|member| member.incarnation.0 == 2)
            .count()
    };
    (6_000..20_000)
        .step_by(50)
        .find(|&now| {
            simulation.run(now);
            joined(&simulation) == 9
        })
        .map_or(u64::MAX, |now| now - 6_000)
}
