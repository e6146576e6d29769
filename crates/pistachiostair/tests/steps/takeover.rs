//! Failures of workers, schedulers and the store while jobs run.

use pistachiostair::{
    Batch, Event, Incarnation, JobKey, Millis, OrderReply, Record, RunOutcome, Seq, StartRecord, StepAnswer,
    StepJobPhase, StepRecord, StepsEvent, Target, TaskKey,
};
use rstest::rstest;

use crate::world::{ACCELERATORS, World, gang, job, worker};

/// Guards against tasks that are lost or run twice when another daemon becomes the scheduler, at any moment from
/// submission to completion.
#[rstest]
fn take_over_any_time(#[values(0, 10, 20, 30, 50, 100, 500, 1_000, 1_990, 2_010, 2_030, 2_060)] at: u64) {
    let mut world = World::new(4);
    world.submit(job(1, "normal", 12, 1, 2_000));
    world.submit(gang(2, "urgent", 2, 4, 2_000));
    world.run(at);
    world.take_over();
    world.run(6_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against ends that stay unacknowledged after a takeover, and against hold orders without a pause: workers reply
/// at once while they list such ends.
#[test]
fn take_over_acknowledges() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 8, 1, 500));
    world.run(3_000);
    world.take_over();
    world.submit(job(2, "normal", 8, 1, 500));
    world.run(500);
    let holds = world.holds;
    world.run(2_500);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.unacknowledged(), 0);
    assert!(world.holds - holds < 20, "{} holds in 2.5 s", world.holds - holds);
}

/// Guards against a scheduler that computes the speed of runs from before its term as if they had made all their
/// progress since the takeover: it expects them to end soon and waits for capacity instead of preempting.
#[test]
fn take_over_reclaims() {
    let mut world = World::with_guarantee(4, 24);
    world.submit(job(1, "normal", 32, 1, 20_000));
    world.run(10_000);
    world.take_over();
    world.submit(gang(2, "urgent", 3, ACCELERATORS, 500));
    world.run(1_500);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a scheduler that treats runs from before its term as if they had just started, so that preempting
/// them seems to lose no work: urgent work without a guarantee may cost others some work, but not 20 s of it.
#[test]
fn take_over_spares() {
    let mut world = World::new(2);
    world.submit(gang(1, "normal", 2, ACCELERATORS, 30_000));
    world.run(20_000);
    world.take_over();
    world.run(1_000);
    world.submit(gang(2, "urgent", 1, ACCELERATORS, 1_000));
    world.run(2_000);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Queued);
    world.run(10_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.phase(2, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a new scheduler that asks to be woken at once, again and again, before it has the list of workers.
#[test]
fn take_over_rests() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 1, 1, 500));
    world.elect();
    assert!(!world.spins());
}

/// Guards against counting the lease of a worker that does not answer as renewed with each call: its tasks must start
/// elsewhere once the lease has ended, and not before.
#[rstest]
#[case::before_crash(true)]
#[case::alive(false)]
fn cut_worker(#[case] crash: bool) {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 2, ACCELERATORS, 30_000));
    world.run(3_000);
    world.unreachable.insert(worker(0));
    if crash {
        world.workers.crash(&worker(0));
    }
    world.run(5_000);
    assert_eq!(world.workers.starts, 2);
    world.add_worker(2, 1);
    world.send_list();
    world.run(6_000);
    assert_eq!(world.workers.starts, 3);
    world.unreachable.clear();
    world.run(30_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against waiting for the runs of a worker's earlier incarnation after its restart.
#[test]
fn restarted_worker() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 4, 4, 4_000));
    world.run(1_000);
    world.add_worker(0, 2);
    world.send_list();
    world.run(10_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert_eq!(world.workers.starts, 6);
    world.check();
}

/// Guards against tasks that run twice or never complete when the replies of their workers are lost for a while.
#[test]
fn mute_worker() {
    let mut world = World::new(2);
    world.reply_loss.insert(worker(0));
    world.reply_loss.insert(worker(1));
    world.submit(job(1, "normal", 2, 1, 3_000));
    world.run(700);
    world.reply_loss.clear();
    world.run(12_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against runs that are stopped, and against phases reported that are not stored yet, during an outage of the
/// store.
#[test]
fn store_outage() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 2, 1, 3_000));
    world.run(500);
    world.store_down = true;
    world.run(5_000);
    assert_eq!(world.workers.starts, 2);
    assert_ne!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.store_down = false;
    world.run(1_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    assert!(matches!(
        world.submit(job(2, "normal", 1, 1, 100)),
        StepAnswer::Accepted { .. }
    ));
    world.check();
}

/// Guards against a reply from an earlier term that reaches the next one on the same daemon: workers that refuse the
/// earlier term would make the present scheduler step down.
#[test]
fn earlier_reply_dropped() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 4, 1, 2_000));
    world.run(100);
    let earlier = world.term;
    world.take_over();
    for number in 0..2 {
        let target = Target {
            worker: worker(number),
            incarnation: Incarnation(1),
            address: format!("10.0.0.{number}:80"),
        };
        let held = StepsEvent::Held {
            target,
            ack: 0,
            long_poll: true,
            reply: Err(OrderReply::OldTerm),
        };
        let event = Box::new(Event::Steps(held));
        world.feed(Event::Outcome { term: earlier, event });
    }
    world.run(4_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against members of a broken gang that run on, so that the job never ends, when another daemon becomes the
/// scheduler after the end of one member was stored and before the others were stopped.
#[test]
fn take_over_broken_gang() {
    let mut world = World::new(4);
    world.submit(gang(1, "urgent", 3, ACCELERATORS, 4_000));
    world.run(1_500);
    world.unreachable.extend((1..4).map(worker));
    world.add_worker(0, 2);
    world.send_list();
    world.run(100);
    world.take_over();
    world.unreachable.clear();
    world.run(20_000);
    assert_eq!(world.phase(1, "urgent"), StepJobPhase::Completed);
    world.check();
}

/// Guards against a run that never ends, and with it its job, after a takeover while a worker has runs that were ordered
/// in different incarnations, and against tasks that run twice then.
#[test]
fn take_over_after_restart() {
    for at in (20..200).step_by(10) {
        for gap in (0..120).step_by(10) {
            let mut world = World::new(1);
            world.submit(job(1, "normal", 4, 1, 1_000));
            world.run(at);
            world.add_worker(0, 2);
            world.send_list();
            world.submit(job(2, "normal", 4, 1, 1_000));
            world.run(gap);
            world.take_over();
            world.run(20_000);
            for key in [1, 2] {
                let phase = world.phase(key, "normal");
                assert_eq!(
                    phase,
                    StepJobPhase::Completed,
                    "job {key}, restart {at}, takeover {gap}"
                );
            }
            world.check();
        }
    }
}

/// Guards against a run that never ends, and with it its job, because the journal has runs of a later incarnation of its
/// worker.
#[test]
fn recover_two_incarnations() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 2, 1, 1_000));
    world.run(100);
    world.add_worker(0, 2);
    let task = TaskKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let lost = StepRecord::Ended {
        task,
        run: 1,
        outcome: RunOutcome::Lost,
        checkpoint: String::new(),
        crash: None,
        late: false,
        cleared: false,
        refuted: None,
        doubt: None,
        verdict: None,
    };
    let start = StartRecord {
        task,
        run: 2,
        worker: worker(0),
        incarnation: Incarnation(2),
    };
    let batch = Batch {
        write: "9-9".to_owned(),
        term: world.term,
        wall: Millis(1_000_000),
        records: vec![
            Record::Steps(lost),
            Record::Steps(StepRecord::Started { starts: vec![start] }),
        ],
    };
    let last = world.rows.last().map_or(Seq(0), |(seq, _)| *seq);
    world.rows.push((last.next(), batch.text()));
    world.take_over();
    world.run(20_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Guards against runs that go on after the cancel of their job was answered, when another daemon becomes the scheduler
/// between the commit of the cancel and the first stop that takes effect.
#[rstest]
fn take_over_cancelled(#[values(false, true)] is_gang: bool, #[values(false, true)] stops_lost: bool) {
    let mut world = World::new(4);
    let (submitted, count) = match is_gang {
        true => (gang(1, "normal", 3, ACCELERATORS, 20_000), 3),
        false => (job(1, "normal", 6, 1, 20_000), 6),
    };
    world.submit(submitted);
    world.run(1_500);
    assert_eq!(world.workers.running(), count);
    if stops_lost {
        world.unreachable.extend((0..4).map(worker));
    }
    world.cancel(1, "normal");
    world.run(if stops_lost { 300 } else { 10 });
    world.unreachable.clear();
    world.take_over();
    let repeated = world.cancel(1, "normal");
    assert_eq!(world.answers[&repeated], StepAnswer::Cancelled);
    world.run(1_000);
    assert_eq!(world.workers.running(), 0);
    world.check();
}

/// Guards against runs of a failed job that go on until they are done, when another daemon becomes the scheduler between
/// the commit of the failure and the stops.
#[test]
fn take_over_failed() {
    let mut world = World::new(2);
    world.workers.paces.insert(worker(1), 1);
    let mut failing = job(1, "normal", 1, ACCELERATORS, 400);
    failing.payload += " fails=9";
    failing.steps.push(failing.steps[0].clone());
    world.submit(failing);
    let failed = |world: &World| world.rows.iter().any(|(_, row)| row.contains("exhausted"));
    while !failed(&world) {
        world.run(10);
    }
    world.take_over();
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Failed);
    assert_eq!(world.workers.running(), 1);
    world.run(1_000);
    assert_eq!(world.workers.running(), 0);
    world.check();
}

/// Guards against a stop order for each run that a cancelled job ever had, at each takeover: the ends of such runs are not
/// stored.
#[test]
fn take_over_long_cancelled() {
    let mut world = World::new(2);
    world.submit(job(1, "normal", 8, 1, 20_000));
    world.run(500);
    world.cancel(1, "normal");
    world.run(1_000);
    assert_eq!(world.workers.running(), 0);
    let stops = world.stop_orders;
    world.take_over();
    world.run(2_000);
    assert_eq!(world.stop_orders, stops);
    world.check();
}

/// Guards against a worker that is never used again after it did not answer for a while and its runs were given up.
#[test]
fn cut_worker_used_again() {
    let mut world = World::new(1);
    world.submit(job(1, "normal", 1, ACCELERATORS, 3_000));
    world.run(500);
    world.unreachable.insert(worker(0));
    world.run(12_000);
    world.unreachable.clear();
    world.run(6_000);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}
