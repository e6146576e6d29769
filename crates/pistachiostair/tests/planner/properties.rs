//! Property tests of the planner over random sequences of events. A failure prints the seed and the smallest sequence.

use pistachiostair::{AttemptEnd, Change, Decision, JobId, JobSpec, MemberState, Millis};
use proptest::prelude::*;

use crate::world::{World, checkpointable, guarantee, pinned, spec};

/// A random event. Indexes select from what exists when the event is applied, modulo its number.
#[derive(Clone, Debug)]
enum Step {
    Queue { account: usize, shape: usize, stop: usize },
    End { index: usize, end: usize },
    Cancel { index: usize },
    Worker { index: usize, state: usize },
    Guarantee { account: usize, shape: usize, count: u32 },
    Wait { millis: u64 },
}

const SHAPES: [&str; 8] = ["1x0", "1x1", "1x2", "2x2", "1x4", "2x4", "3x4", "5x2"];
const ACCOUNTS: [&str; 3] = ["a", "b", "c"];

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..3usize, 0..8usize, 0..3usize).prop_map(|(account, shape, stop)| Step::Queue { account, shape, stop }),
        4 => (any::<usize>(), 0..4usize).prop_map(|(index, end)| Step::End { index, end }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        1 => (any::<usize>(), 0..3usize).prop_map(|(index, state)| Step::Worker { index, state }),
        1 => (0..3usize, 1..6usize, 1..3u32)
            .prop_map(|(account, shape, count)| Step::Guarantee { account, shape, count }),
        2 => (1..9000u64).prop_map(|millis| Step::Wait { millis }),
    ];
    proptest::collection::vec(step, 1..120)
}

fn job(account: usize, shape: usize, stop: usize) -> JobSpec {
    let make = [spec, pinned, checkpointable][stop];
    make(ACCOUNTS[account], SHAPES[shape])
}

fn pick<T: Copy>(all: impl ExactSizeIterator<Item = T>, index: usize) -> Option<T> {
    let all: Vec<T> = all.collect();
    (!all.is_empty()).then(|| all[index % all.len()])
}

/// Ends the jobs that the planner decided to stop, and queues them again.
fn finish_reclaims(world: &mut World) {
    let victims: Vec<JobId> = world.reclaimed.keys().copied().collect();
    for victim in victims {
        let spec = world.end(victim, AttemptEnd::Stopped).expect("a victim runs");
        world.requeue(victim, spec, Millis(6_000));
    }
}

fn run(world: &mut World, step: Step) {
    match step {
        Step::Queue { account, shape, stop } => {
            world.queue(job(account, shape, stop));
        }
        Step::End { index, end } => {
            let Some(job) = pick(world.placed.keys(), index).copied() else {
                return;
            };
            let end = [
                AttemptEnd::Succeeded,
                AttemptEnd::Succeeded,
                AttemptEnd::Stopped,
                AttemptEnd::Failed(0),
            ][end];
            let spec = world.end(job, end).expect("it runs");
            if end != AttemptEnd::Succeeded {
                world.requeue(job, spec, Millis(100));
            }
        }
        Step::Cancel { index } => {
            if let Some(job) = pick(world.queued.keys(), index).copied() {
                world.end(job, AttemptEnd::Stopped);
            }
        }
        Step::Worker { index, state } => {
            let names: Vec<_> = world.workers.keys().cloned().collect();
            let (info, _) = world.workers[&names[index % names.len()]].clone();
            let state = [MemberState::Live, MemberState::Leaving, MemberState::Dead][state];
            world.set_state(info, state);
        }
        Step::Guarantee { account, shape, count } => {
            let name = format!("g{account}");
            let guarantee = guarantee(&name, ACCOUNTS[account], SHAPES[shape], count);
            if world.planner.check_guarantee(&guarantee).is_ok() {
                world.guarantee(guarantee);
            }
        }
        Step::Wait { millis } => world.now += Millis(millis),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against lost or doubled jobs, accelerators used twice, gangs that are not adjacent,
    /// and guarantees that a placement makes impossible. The checks of each decision are in
    /// `World::plan`.
    #[test]
    fn plan_random_events(steps in steps()) {
        let mut world = World::new(2, 2, 3, 4, 4);
        for step in steps {
            let lossy = matches!(step, Step::Worker { .. });
            let (broken, bad) = (world.planner.broken_guarantees(), world.planner.quarantined());
            run(&mut world, step);
            let after = world.planner.broken_guarantees();
            if !lossy && world.planner.quarantined() == bad {
                prop_assert!(after.len() <= broken.len(), "an event other than lost hardware broke {after:?}");
            }
            world.plan();
            world.check_usage();
            prop_assert_eq!(world.planner.stats().waiting, world.queued.len());
            prop_assert_eq!(world.planner.stats().placed, world.placed.len());
            prop_assert!(world.planner.broken_guarantees().len() <= after.len(), "a placement broke a guarantee");
            if world.planner.broken_guarantees().is_empty() && world.planner.quarantined().is_empty() {
                prop_assert!(world.packable(), "the guarantees can't be packed");
            }
            finish_reclaims(&mut world);
        }
    }

    /// Guards against an account that gets more than its fair share: with jobs of one shape, each placement must go to
    /// the waiting account that uses the least per weight.
    #[test]
    fn plan_fair_order(weights in proptest::collection::vec(1..5u32, 3), ends in proptest::collection::vec(any::<usize>(), 0..60)) {
        let mut world = World::new(1, 2, 3, 8, 8);
        for (name, weight) in ACCOUNTS.iter().zip(&weights) {
            world.account(name, *weight, None);
            (0..200).for_each(|_| { world.queue(spec(name, "1x1")); });
        }
        let mut used = [0u32; 3];
        let position = |spec: &JobSpec| ACCOUNTS.iter().position(|name| *name == spec.account.as_str()).expect("known");
        for end in std::iter::once(None).chain(ends.into_iter().map(Some)) {
            if let Some(job) = end.and_then(|index| pick(world.placed.keys(), index).copied()) {
                let spec = world.end(job, AttemptEnd::Succeeded).expect("it runs");
                used[position(&spec)] -= 1;
            }
            for decision in world.plan() {
                let Decision::Place { job, .. } = decision else { continue };
                let owner = position(&world.placed[&job].0);
                let least = (0..3).map(|i| f64::from(used[i]) / f64::from(weights[i])).fold(f64::MAX, f64::min);
                prop_assert!(f64::from(used[owner]) / f64::from(weights[owner]) <= least + 1e-3, "{used:?} {owner}");
                used[owner] += 1;
            }
        }
        prop_assert!(used.iter().sum::<u32>() >= 47, "free accelerators stay unused: {used:?}");
    }

    /// Guards against decisions that depend on anything but the sequence of events and times.
    #[test]
    fn plan_deterministic(steps in steps()) {
        let mut first = World::new(2, 2, 3, 4, 4);
        let mut second = World::new(2, 2, 3, 4, 4);
        for step in steps {
            run(&mut first, step.clone());
            run(&mut second, step);
            prop_assert_eq!(first.plan(), second.plan());
        }
    }

    /// Guards against counts that drift from what is placed: once all jobs have ended, the whole region is free again.
    #[test]
    fn apply_all_ended(steps in steps()) {
        let mut world = World::new(2, 2, 3, 4, 4);
        for step in steps {
            run(&mut world, step);
            world.plan();
            finish_reclaims(&mut world);
        }
        let jobs: Vec<JobId> = world.placed.keys().chain(world.queued.keys()).copied().collect();
        jobs.into_iter().for_each(|job| { world.end(job, AttemptEnd::Stopped); });
        for info in world.workers.values().map(|(info, _)| info.clone()).collect::<Vec<_>>() {
            world.apply(Change::WorkerRemoved(info.name.clone()));
            world.worker(info);
        }
        let figures = world.planner.stats();
        prop_assert_eq!((figures.waiting, figures.placed, figures.used), (0, 0, 0));
        prop_assert_eq!((figures.accelerators, figures.largest, figures.broken), (48, 24, 0));
    }
}
