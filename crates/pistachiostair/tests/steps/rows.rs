//! Journal rows beside the most bytes that the store takes for one.

use pistachiostair::{
    ErrorKind, Event, HoldReply, JobKey, Millis, Ran, RunEnd, RunOutcome, StepAnswer, StepCall, StepJob, StepJobPhase,
    StepsEvent, Target, TaskKey, Token,
};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job};

/// Most bytes of a row's text if the store takes 65,536 in base64.
const ROW_BYTES: usize = 49_152;

fn region(workers: usize) -> World {
    let mut world = World::new(workers);
    world.row_bytes = ROW_BYTES;
    world.take_over();
    world
}

/// A job whose payload is as long as the platform allows, of characters that JSON writes with `written` bytes.
fn large(key: u64, written: usize) -> StepJob {
    let mut large = job(key, "normal", 1, 1, 500);
    let text = match written {
        6 => "\u{1e}",
        2 => "\"",
        _ => "x",
    };
    large.payload = format!("{} {}", large.payload, text.repeat(3_900));
    large
}

/// Submits jobs within one commit.
fn submit_at_once(world: &mut World, jobs: impl IntoIterator<Item = StepJob>) -> Vec<Token> {
    let calls = jobs.into_iter().map(|job| StepCall::Submit { job: Box::new(job) });
    calls.map(|call| world.call(call)).collect()
}

/// Guards against a row that the store can't take, since its records are longer than was estimated: it was sent again for
/// ever, and nothing more was stored.
#[rstest]
fn batch_within_row(#[values(1, 2, 6)] written: usize) {
    let mut world = region(4);
    let tokens = submit_at_once(&mut world, (1..=8).map(|key| large(key, written)));
    world.run(5_000);
    for token in tokens {
        assert_eq!(world.answers.get(&token), Some(&StepAnswer::Accepted { created: true }));
    }
    for key in 1..=8 {
        assert_eq!(world.phase(key, "normal"), StepJobPhase::Completed);
    }
    assert_eq!(world.refused_rows, Vec::<usize>::new());
    world.check();
}

/// Guards against the starts of a large step or gang in one record that no row can hold.
#[rstest]
fn starts_within_row(#[values(false, true)] together: bool) {
    let mut world = region(100);
    let count = 100 * ACCELERATORS as u32;
    world.submit(match together {
        true => gang(1, "normal", count, 1, 500),
        false => job(1, "normal", count, 1, 500),
    });
    world.run(5_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.refused_rows, Vec::<usize>::new());
    world.check();
}

/// Guards against a gang that never runs, or runs in part, if the scheduler changes between two rows of its starts.
#[test]
fn starts_taken_over_between_rows() {
    let mut world = region(100);
    let count = 100 * ACCELERATORS as u32;
    world.submit(job(2, "normal", 1, 1, 10));
    world.run(1_000);
    let rows = world.rows.len();
    world.call(StepCall::Submit {
        job: Box::new(gang(1, "normal", count, 1, 500)),
    });
    for _ in 0..100 {
        if world.rows.len() < rows + 2 {
            world.run(10);
        }
    }
    let started = world.rows.last().map_or(0, |(_, row)| row.matches("\"w\":").count());
    assert!((1..count as usize).contains(&started), "{started} starts in the row");
    world.take_over();
    world.run(15_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a job that is accepted into a queue of records although no row can hold its own: it is refused, and
/// whatever else is submitted is stored.
#[rstest]
#[case::requires(|job: &mut StepJob| job.steps[0].requires = Some("x".repeat(60_000)))]
#[case::affinity(|job: &mut StepJob| job.steps[0].affinity = Some("\u{1}".repeat(9_000)))]
#[case::payload(|job: &mut StepJob| job.payload = "x".repeat(ROW_BYTES))]
fn submit_longer_than_row(#[case] grow: fn(&mut StepJob)) {
    let mut world = region(4);
    let mut long = job(1, "normal", 1, 1, 500);
    grow(&mut long);
    let tokens = submit_at_once(&mut world, [long, job(2, "normal", 1, 1, 500)]);
    world.run(3_000);
    let refused = world.answers.get(&tokens[0]);
    let Some(StepAnswer::Failed(failure)) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((failure.kind, failure.ran), (ErrorKind::Invalid, Ran::No));
    assert!(failure.message.contains("too long to be stored"), "{}", failure.message);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    assert_eq!(world.refused_rows, Vec::<usize>::new());
    world.check();
}

/// Guards against a job refused for its length although a row can hold its record.
#[test]
fn submit_as_long_as_row() {
    const LIMIT: usize = 2_000;
    let mut world = World::new(4);
    world.row_bytes = LIMIT;
    world.take_over();
    let (mut least, mut most) = (0, LIMIT);
    // The longest payload that is accepted, by halving.
    for key in 10.. {
        if most - least < 2 {
            break;
        }
        let mut long = job(key, "normal", 1, 1, 10);
        long.payload = "x".repeat((least + most) / 2);
        match world.submit(long) {
            StepAnswer::Accepted { .. } => least = (least + most) / 2,
            _ => most = (least + most) / 2,
        }
    }
    let longest = world.rows.iter().map(|(_, row)| row.len()).max().unwrap_or(0);
    assert_eq!(world.refused_rows, Vec::<usize>::new());
    assert!(longest > LIMIT - 100, "{longest} bytes of {LIMIT}");
}

/// Guards against an end whose checkpoint no row can hold: the task goes on without it, and the journal too.
#[test]
fn checkpoint_longer_than_row() {
    let mut world = region(1);
    world.submit(job(1, "normal", 1, 1, 60_000));
    world.run(500);
    let (task, run) = (
        TaskKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        1,
    );
    let entry = world.entry(0);
    world.feed(Event::Steps(StepsEvent::Held {
        target: Target {
            worker: entry.name,
            incarnation: entry.incarnation,
            address: entry.address,
        },
        ack: 0,
        long_poll: false,
        reply: Ok(HoldReply {
            clock: Millis(world.now),
            incarnation: entry.incarnation,
            running: Vec::new(),
            finished: vec![RunEnd {
                number: 1,
                task,
                run,
                outcome: RunOutcome::Stopped,
                checkpoint: "c".repeat(ROW_BYTES),
            }],
            more_ends: false,
        }),
    }));
    world.run(2_000);
    assert_eq!(world.refused_rows, Vec::<usize>::new());
    let ended = |row: &String| row.contains("\"ended\"") && row.contains("\"run\":1,");
    assert_eq!(world.rows.iter().filter(|(_, row)| ended(row)).count(), 1);
}

/// Guards against a row that is sent again for ever although the store refuses it: all records that it can take are
/// stored, and the term ends rather than keep what it can't.
#[test]
fn refused_row_is_split() {
    let mut world = World::new(4);
    // The store takes less than the scheduler was told.
    world.row_bytes = 20_000;
    let tokens = submit_at_once(&mut world, (1..=4).map(|key| large(key, 2)));
    world.run(3_000);
    for token in tokens {
        assert_eq!(world.answers.get(&token), Some(&StepAnswer::Accepted { created: true }));
    }
    assert!(!world.refused_rows.is_empty());
    let token = submit_at_once(&mut world, [large(5, 6)])[0];
    world.run(1_000);
    let answer = world.answers.get(&token);
    assert!(
        matches!(answer, Some(StepAnswer::Failed(failure)) if failure.ran == Ran::Unknown),
        "{answer:?}"
    );
    assert_eq!(world.step_downs, 1);
    world.take_over();
    world.run(3_000);
    assert_eq!(
        world.submit(job(6, "normal", 1, 1, 10)),
        StepAnswer::Accepted { created: true }
    );
    world.check();
}
