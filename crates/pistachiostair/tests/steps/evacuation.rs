//! Evacuation of failure domains: nothing starts there, wherever a start is decided, and what runs goes on. Each domain
//! has four workers.

use pistachiostair::{Millis, StepJobPhase};
use rstest::rstest;

use crate::world::{ACCELERATORS, MAX_AGE_MS, World, gang, job, worker};

impl World {
    /// Whether a log line was written.
    fn has_line(&self, what: &str) -> bool {
        self.lines.iter().any(|(line, _)| *line == what)
    }

    /// Submits a job and runs until its start is decided and not ordered yet.
    fn run_until_placed(&mut self, job: pistachiostair::StepJob) {
        self.lines.clear();
        self.call(pistachiostair::StepCall::Submit { job: Box::new(job) });
        while !self.has_line("placed") {
            self.run(10);
        }
    }
}

/// Load: twice as many tasks as fit. Guards against starts in a domain that was evacuated at the crest, against work that
/// is stopped for it, and against a domain that stays unused after the request was withdrawn.
#[test]
fn evacuate_at_crest() {
    let mut world = World::with_domains(12, 0);
    world.submit(job(1, "bulk", 192, 1, 2_000));
    world.run(1_000);
    let from = world.now;
    world.evacuate(&["z0"]);
    world.run(2_500);
    assert_eq!(world.ordered_in("z0", from), 0);
    assert_eq!(world.ordered_in("z1", from), 4 * ACCELERATORS as usize);
    world.evacuate(&[]);
    let back = world.now;
    world.run(6_000);
    assert!(world.ordered_in("z0", back) > 0);
    assert_eq!((world.broken_runs(), world.stop_orders), (0, 0));
    assert_eq!(world.phase(1, "bulk"), StepJobPhase::Completed);
    world.check();
}

/// Load: a takeover in the middle of an evacuation. Guards against a new scheduler that starts tasks before it has read
/// the requests, or none after that.
#[test]
fn take_over_before_read() {
    let mut world = World::with_domains(8, 0);
    world.evacuate(&["z0"]);
    world.submit(job(1, "normal", 64, 1, 1_000));
    world.requests = None;
    world.take_over();
    let from = world.now;
    world.run(2_000);
    assert_eq!(world.ordered.iter().filter(|(at, _)| *at > from).count(), 0);
    assert!(world.has_line("starts suspended"));
    world.evacuate(&["z0"]);
    world.run(300);
    assert_eq!(world.ordered_in("z1", from), 4 * ACCELERATORS as usize);
    assert_eq!(world.ordered_in("z0", from), 0);
    world.check();
}

/// Load: a domain that is evacuated, taken back and evacuated again within a commit. Guards against an order that follows
/// from the state in between.
#[test]
fn evacuate_again() {
    let mut world = World::with_domains(8, 0);
    world.evacuate(&["z0"]);
    world.submit(job(1, "normal", 96, 1, 600));
    world.evacuate(&[]);
    world.run(10);
    world.evacuate(&["z0"]);
    let from = world.now;
    world.run(2_000);
    assert_eq!(world.ordered_in("z0", from), 0);
    assert!(world.has_line("withheld"));
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Load: more and more domains. Guards against one request that hides another, and against a job that is lost while
/// nothing may start; the log tells why it waits.
#[test]
fn evacuate_several() {
    let mut world = World::with_domains(12, 0);
    world.evacuate(&["z0", "z1"]);
    world.submit(job(1, "normal", 64, 1, 500));
    world.run(200);
    assert_eq!((world.ordered_in("z0", 0), world.ordered_in("z1", 0)), (0, 0));
    world.evacuate(&["z0", "z1", "z2"]);
    let from = world.now;
    world.run(2_000);
    assert_eq!(world.ordered_in("z2", from), 0);
    let waits = world.lines.iter().filter(|(what, _)| *what == "waits");
    let reasons: Vec<&str> = waits.map(|(_, reason)| reason.as_str()).collect();
    assert!(
        reasons.iter().any(|reason| reason.contains("its domain is evacuated")),
        "{reasons:?}"
    );
    world.evacuate(&["z0", "z2"]);
    world.run(1_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Load: a domain is evacuated between the record of a start and its order. Guards against that order, and against the
/// part of a gang that is ordered although the rest is not.
#[rstest]
fn evacuate_before_order(
    #[values(true, false)] is_gang: bool,
    #[values(("z0", "z1"), ("z1", "z0"))] domains: (&str, &str),
) {
    let mut world = World::with_domains(8, 0);
    let make = if is_gang { gang } else { job };
    world.run_until_placed(make(1, "normal", 8, ACCELERATORS, 500));
    world.evacuate(&[domains.0]);
    world.run(1_500);
    assert_eq!(world.ordered_in(domains.0, 0), 0);
    assert_eq!(world.ordered_in(domains.1, 0) > 0, !is_gang);
    assert!(world.has_line("withheld"));
    world.evacuate(&[]);
    world.run(1_500);
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Load: workers that don't answer a start order when their domain is evacuated. Guards against a repeated order, against
/// a run that is stopped although it had begun before, and against a task that is lost with its order.
#[rstest]
#[case::order_lost(true)]
#[case::reply_lost(false)]
fn evacuate_before_repetition(#[case] lost: bool) {
    let mut world = World::with_domains(8, 0);
    let silent = [0, 1, 2, 3, 4, 5, 6, 7].map(worker);
    match lost {
        true => world.unreachable.extend(silent),
        false => world.reply_loss.extend(silent),
    }
    world.call(pistachiostair::StepCall::Submit {
        job: Box::new(job(2, "normal", 1, 1, 2_500)),
    });
    world.run(100);
    let (from, (_, target)) = (world.now, world.ordered.last().cloned().expect("an order"));
    let domain = world.entry_of(&target).domain;
    world.evacuate(&[domain.as_str()]);
    world.run(700);
    world.unreachable.clear();
    world.reply_loss.clear();
    world.run(2_500);
    assert_eq!(world.ordered_in(domain.as_str(), from), 0);
    assert_eq!(world.stop_orders > 0, lost);
    world.run(2_500);
    assert_eq!(world.phase(2, "normal"), StepJobPhase::Completed);
    world.check();
}

/// Load: the store takes writes and refuses reads. Guards against starts while a request may be in force that was not
/// read, and against running work that is stopped meanwhile.
#[test]
fn confirmation_too_old() {
    let mut world = World::with_domains(8, 0);
    world.submit(job(1, "normal", 300, 1, 1_000));
    world.requests = None;
    let last = world.now;
    world.run(MAX_AGE_MS + 3_000);
    assert!(world.ordered.iter().all(|(at, _)| *at < last + MAX_AGE_MS));
    assert_eq!((world.broken_runs(), world.stop_orders), (0, 0));
    world.evacuate(&["z0"]);
    let from = world.now;
    world.run(1_000);
    assert_eq!(world.ordered_in("z0", from), 0);
    assert!(world.ordered_in("z1", from) > 0);
    world.check();
}

/// Load: a job within a guarantee while another domain is evacuated and all workers are full. Guards against preemption
/// in the evacuated domain, where its end makes no room, and against a start that is late for it.
#[test]
fn guarantee_beside_evacuation() {
    let mut world = World::with_domains(8, 16);
    world.submit(job(1, "bulk", 64, 1, 30_000));
    world.evacuate(&["z0"]);
    world.run(500);
    let submitted = world.now;
    world.submit(gang(2, "urgent", 2, ACCELERATORS, 500));
    world.run(2_700);
    let (start, _) = world.span(2);
    assert!(start.is_some_and(|start| start - submitted <= 2_700), "{start:?}");
    assert_eq!(world.ordered_in("z0", submitted), 0);
    assert_eq!(world.broken_runs(), 2 * ACCELERATORS as usize);
    world.check();
}

/// Load: an urgent gang preempts work, and the domain of the capacity reserved for it is evacuated while the stops last.
/// Guards against a start on reserved capacity, and against a gang that waits until its reservation expires.
#[test]
fn evacuate_reserved() {
    let mut world = World::with_domains(8, 0);
    world.workers.stop_time = Some(Millis(400));
    world.submit(job(1, "bulk", 64, 1, 30_000));
    world.run(500);
    world.submit(gang(2, "urgent", 4, ACCELERATORS, 1_000));
    while world.stop_orders == 0 {
        world.run(10);
    }
    world.evacuate(&["z0"]);
    let from = world.now;
    world.run(2_000);
    assert_eq!(world.ordered_in("z0", from), 0);
    let (start, _) = world.span(2);
    assert!(
        start.is_some_and(|start| start - from <= 700),
        "{start:?}, evacuated {from}"
    );
    world.check();
}

/// Load: tasks that start again after each end, and tasks that crash their workers. Guards against a restart or a trial
/// in an evacuated domain.
#[rstest]
#[case::long_running("lasts=1")]
#[case::deadly("deadly=1 crash_after=200")]
fn evacuate_restarts(#[case] kind: &str) {
    let mut world = World::with_domains(8, 0);
    world.workers.downtime = Some(Millis(500));
    let mut restarted = job(1, "normal", 2, 1, 700);
    restarted.steps[0].long_running = kind.starts_with("lasts");
    restarted.payload = format!("{} {kind}", restarted.payload);
    world.submit(restarted);
    let from = world.now;
    world.evacuate(&["z0"]);
    world.run(6_000);
    assert_eq!(world.ordered_in("z0", from), 0);
    assert!(world.ordered_in("z1", from) >= 2, "{}", world.ordered_in("z1", from));
    world.check();
}

/// Guards against evacuations that operators don't see, and against a request for a domain without workers that has an
/// effect.
#[test]
fn evacuation_logged() {
    let mut world = World::with_domains(8, 0);
    world.evacuate(&["z1", "z9"]);
    world.run(1_000);
    world.evacuate(&["z9"]);
    world.submit(job(1, "normal", 64, 1, 500));
    world.run(1_000);
    let lines: Vec<(&str, &str)> = world.lines.iter().map(|(what, why)| (*what, why.as_str())).collect();
    for line in [
        ("evacuated", "domain z1: its 4 workers get no new tasks"),
        ("unknown domain", "request to evacuate z9, where no worker is"),
        ("taken back", "domain z1: its 4 workers get new tasks again"),
    ] {
        assert_eq!(lines.iter().filter(|known| **known == line).count(), 1, "{line:?}");
    }
    assert_eq!(world.phase(1, "normal"), StepJobPhase::Completed);
}
