//! Size of the state that a takeover reads.

use std::collections::BTreeSet;

use pistachiostair::{
    AccountName, Batch, Incarnation, JobKey, Millis, QueueName, QueueSettings, Record, RegionState, RunOutcome, Seq,
    StartRecord, Step, StepJob, StepJobPhase, StepRecord, TaskKey, Term, WorkerName,
};
use rstest::rstest;

/// Tasks of each job.
const TASKS: u32 = 30;
/// Number of jobs.
const JOBS: u64 = 200;
/// Wall clock of the journal rows.
const WALL: Millis = Millis(1_000);
/// Most bytes of a snapshot for a job that has ended: its specification without the payload.
const ENDED_BYTES: usize = 1_000;

fn job(key: u64) -> StepJob {
    StepJob {
        key: JobKey(key),
        account: AccountName::from("court"),
        queue: QueueName::from("bulk"),
        base_url: String::new(),
        settings: QueueSettings::default(),
        payload: "x".repeat(2_000),
        steps: vec![Step {
            count: TASKS,
            estimate: Millis(1_000),
            ..Step::default()
        }],
        recurrence: None,
    }
}

fn task(job: u64, index: u32) -> TaskKey {
    TaskKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn start(job: u64, index: u32) -> StartRecord {
    StartRecord {
        task: task(job, index),
        run: 1,
        worker: WorkerName::from("w1"),
        incarnation: Incarnation(1),
    }
}

/// A state with jobs of which all tasks were started, and `ended` of them have ended as done.
fn state(ended: u32, cancelled: bool) -> RegionState {
    let mut records = Vec::new();
    for key in 0..JOBS {
        records.push(StepRecord::Accepted {
            job: Box::new(job(key)),
        });
        let starts = (0..TASKS).map(|index| start(key, index)).collect();
        records.push(StepRecord::Started { starts });
        for index in 0..ended {
            records.push(StepRecord::Ended {
                task: task(key, index),
                run: 1,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
                crash: None,
                late: false,
                cleared: false,
                refuted: None,
                doubt: None,
                verdict: None,
            });
        }
        if cancelled {
            records.push(StepRecord::Cancelled { job: JobKey(key) });
        }
    }
    let mut state = RegionState::default();
    state.fold_batch(Seq(1), &batch(records));
    state
}

fn batch(records: Vec<StepRecord>) -> Batch {
    Batch {
        write: "1-1".to_owned(),
        term: Term(1),
        wall: WALL,
        records: records.into_iter().map(Record::Steps).collect(),
    }
}

/// Guards against a state that keeps every task of jobs that have ended, so that a takeover reads and decodes more with
/// each job of the retention time.
#[rstest]
#[case::done(TASKS, false, StepJobPhase::Completed)]
#[case::cancelled(TASKS - 1, true, StepJobPhase::Cancelled)]
fn ended_jobs_small(#[case] ended: u32, #[case] cancelled: bool, #[case] phase: StepJobPhase) {
    let state = state(ended, cancelled);
    assert!(state.step_jobs.jobs().all(|entry| entry.phase == phase));
    let bytes = state.encode().len() / JOBS as usize;
    assert!(bytes < ENDED_BYTES, "{bytes} bytes for each job");
}

/// Guards against forgetting runs that may be alive: the next scheduler must stop those of a cancelled job.
#[test]
fn cancelled_runs_kept() {
    let state = state(TASKS - 4, true);
    let restored = RegionState::decode(&state.encode()).expect("a snapshot");
    for entry in restored.step_jobs.jobs() {
        let placed: BTreeSet<u32> = entry.placed_runs().map(|(task, _)| task.index).collect();
        assert_eq!(placed, (TASKS - 4..TASKS).collect());
    }
}

/// Guards against a snapshot without the keys that were cancelled before a job had them, and against such keys that are
/// kept for ever.
#[test]
fn snapshot_barred_key() {
    let mut state = RegionState::default();
    state.fold_batch(Seq(1), &batch(vec![StepRecord::Cancelled { job: JobKey(1) }]));
    let mut state = RegionState::decode(&state.encode()).expect("a valid snapshot");
    let old = |state: &RegionState, before: u64| state.step_jobs.past_retention(Millis(before), 100, 100);
    assert_eq!(old(&state, WALL.0), []);
    assert_eq!(old(&state, WALL.0 + 1), [JobKey(1)]);
    let mut forgotten = state.clone();
    forgotten.fold_batch(Seq(2), &batch(vec![StepRecord::Forgotten { jobs: vec![JobKey(1)] }]));
    assert!(forgotten.step_jobs.barred().is_empty());
    let accepted = StepRecord::Accepted { job: Box::new(job(1)) };
    state.fold_batch(Seq(2), &batch(vec![accepted]));
    let entry = state.step_jobs.job(JobKey(1)).expect("a job");
    assert_eq!((entry.phase, entry.ended), (StepJobPhase::Cancelled, Some(WALL)));
    assert_eq!(state.step_jobs.open_count(), 0);
    assert!(state.step_jobs.barred().is_empty());
}
