//! Trials of the checker: each of its rules objects once the mechanism behind it is switched off,
//! and is content with the mechanism in place. Guards against checks that can't fail.

mod life;

use life::world::{long, spec};
use life::{Fault, Step, Switches, World, check};
use pistachiostair::{Millis, Retention, SnapshotLimits};
use rstest::rstest;

fn violations(step: Step, fault: Fault, switches: Switches, apart: bool) -> Vec<String> {
    violations_in(World::new(1), step, &[fault], switches, apart)
}

fn violations_in(mut world: World, step: Step, faults: &[Fault], switches: Switches, apart: bool) -> Vec<String> {
    world.switches = switches;
    world.add_client("order", spec("order", "1x1", 3_000, false, false), false, 6_000);
    world.add_client("gang", spec("gang", "3x2", 30_000, false, false), false, 6_000);
    world.add_client("plain", spec("plain", "1x0", 9_000, false, false), false, 6_000);
    world.armed.push((step, faults.to_vec()));
    if apart {
        world.run(Millis(12_000));
        // One worker of the gang can't be reached, neither for renewals nor for stops.
        world.faults.apart = Millis(60_000);
        world.faults.apart_worker = 2;
    }
    world.settle(Millis(150_000));
    assert!(world.reached.contains(&step), "{step:?} was not reached");
    check::violations(&world)
}

#[rstest]
#[case::once(Step::Run, Fault::WorkerRestarts, Switches { no_once: true, ..Switches::default() }, "times")]
#[case::held(Step::Place, Fault::MessageOvertaken, Switches { no_hold: true, ..Switches::default() }, "was held")]
#[case::told(Step::Run, Fault::SchedulerDies, Switches { no_journal: true, ..Switches::default() }, "has not ended")]
#[case::refusal(Step::Persist, Fault::StoreAnswerLost, Switches { no_doubt: true, ..Switches::default() }, "and ran")]
#[case::answer(Step::Run, Fault::MessageOvertaken, Switches { no_tokens: true, ..Switches::default() }, "got the answer of")]
#[case::fence(Step::Run, Fault::SchedulerPaused, Switches { no_fence: true, ..Switches::default() }, "carried out terms")]
#[case::write(Step::Run, Fault::SchedulerPaused, Switches { no_checks: true, ..Switches::default() }, "of term")]
fn object_to(#[case] step: Step, #[case] fault: Fault, #[case] switches: Switches, #[case] text: &str) {
    let wrong = violations(step, fault, switches, false);
    assert!(
        wrong.iter().any(|line| line.contains(text)),
        "no objection with {text:?}: {wrong:#?}"
    );
    let wrong = violations(step, fault, Switches::default(), false);
    assert!(wrong.is_empty(), "with the mechanism in place: {wrong:#?}");
}

/// A takeover from a snapshot that is damaged or missing.
#[rstest]
#[case::checksum(Fault::SnapshotDamaged, Switches { no_checksum: true, ..Switches::default() }, "damaged snapshot")]
#[case::previous(Fault::SnapshotMissing, Switches { no_previous: true, ..Switches::default() }, "was not told")]
#[case::load(Fault::SnapshotMissing, Switches { no_journal: true, ..Switches::default() }, "another state")]
fn object_to_snapshot(#[case] fault: Fault, #[case] switches: Switches, #[case] text: &str) {
    let faults = [fault, Fault::SchedulerDies];
    let world = || {
        let mut world = World::new(1);
        world.snapshot_often();
        world
    };
    let wrong = violations_in(world(), Step::Record, &faults, switches, false);
    assert!(
        wrong.iter().any(|line| line.contains(text)),
        "no objection with {text:?}: {wrong:#?}"
    );
    let wrong = violations_in(world(), Step::Record, &faults, Switches::default(), false);
    assert!(wrong.is_empty(), "with the mechanism in place: {wrong:#?}");
}

/// Long answers, and jobs that are forgotten while their callers still submit them again.
#[rstest]
#[case::whole(Switches { cut_answers: true, ..Switches::default() }, 40_000, "is not whole")]
#[case::keys(Switches { no_keys: true, ..Switches::default() }, 40_000, "while job 1 was kept")]
#[case::kept(Switches::default(), 1_000, "was forgotten early")]
fn object_to_retention(#[case] switches: Switches, #[case] kept: u64, #[case] text: &str) {
    let run = |switches: Switches, kept: u64| {
        let mut world = World::new(1);
        let retention = Retention {
            span: Millis(kept),
            ..Retention::default()
        };
        world.limit(retention, SnapshotLimits::default());
        world.retention = Some(Millis(40_000));
        world.switches = switches;
        let order = long(spec("order", "1x1", 3_000, false, false));
        world.add_client("order", order, false, 6_000);
        world.armed.push((Step::Answer, vec![Fault::SchedulerDies]));
        world.settle(Millis(100_000));
        check::violations(&world)
    };
    let wrong = run(switches, kept);
    assert!(
        wrong.iter().any(|line| line.contains(text)),
        "no objection with {text:?}: {wrong:#?}"
    );
    let wrong = run(Switches::default(), 40_000);
    assert!(wrong.is_empty(), "with the mechanism in place: {wrong:#?}");
}

/// A part that can't be reached goes on only until its lease ends.
#[test]
fn object_to_lease() {
    let endless = Switches {
        no_lapse: true,
        ..Switches::default()
    };
    let wrong = violations(Step::Run, Fault::EntryDies, endless, true);
    assert!(
        wrong.iter().any(|line| line.contains("without part")),
        "no objection: {wrong:#?}"
    );
    let wrong = violations(Step::Run, Fault::EntryDies, Switches::default(), true);
    assert!(wrong.is_empty(), "with the mechanism in place: {wrong:#?}");
}

/// A lease that lasts longer on a slow clock than the margin allows: the job runs elsewhere by then.
#[test]
fn object_to_slow_clock() {
    let run = |rate: u64| {
        let mut world = World::new(1);
        world.set_clocks(0);
        world.workers.iter_mut().for_each(|worker| worker.rate = rate);
        world.add_client("gang", spec("gang", "3x2", 30_000, true, false), false, 6_000);
        world.run(Millis(12_000));
        world.faults.apart = Millis(60_000);
        world.faults.apart_worker = 2;
        world.settle(Millis(150_000));
        check::violations(&world)
    };
    let wrong = run(60);
    assert!(
        wrong.iter().any(|line| line.contains("two runs at a time")),
        "no objection: {wrong:#?}"
    );
    let wrong = run(95);
    assert!(wrong.is_empty(), "within the margin: {wrong:#?}");
}

/// A job that expires early since the next scheduler's wall clock is further ahead than allowed.
#[test]
fn object_to_deadline() {
    let run = |ahead: u64| {
        let mut world = World::new(1);
        world.set_clocks(ahead.cast_signed());
        let mut dated = spec("dated", "1x0", 20_000, false, false);
        dated.deadline = Some(check::DISAGREE + Millis(180_000));
        // The region has no workers, so that the job waits for the next scheduler.
        world.workers.iter_mut().for_each(|worker| worker.gone = true);
        world.add_client("dated", dated, false, 6_000);
        world.armed.push((Step::Acknowledge, vec![Fault::SchedulerDies]));
        world.run(Millis(60_000));
        let wrong = check::violations(&world);
        wrong
            .into_iter()
            .filter(|line| line.contains("expired after"))
            .collect::<Vec<_>>()
    };
    assert!(!run(2 * check::DISAGREE.0).is_empty(), "no objection");
    let wrong = run(check::DISAGREE.0);
    assert!(wrong.is_empty(), "within what is allowed: {wrong:#?}");
}
