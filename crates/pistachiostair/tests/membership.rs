//! Membership: detection without flapping, incarnations, the platform's list, gossip.

mod simulation;

use pistachiostair::{
    DETECTION_TIME, DaemonName, Heartbeat, Incarnation, Leader, Member, MemberAction, MemberEvent, MemberState,
    Membership, Millis, RegionName, Term, Vm, VmRole,
};
use rstest::rstest;
use simulation::{Simulation, member, vm};

fn heartbeat(member: Member) -> Box<Heartbeat> {
    Box::new(Heartbeat {
        member,
        leaders: Vec::new(),
        known: Vec::new(),
    })
}

fn hear(membership: &mut Membership, now: u64, member: Member) -> Vec<MemberAction> {
    membership.on(Millis(now), MemberEvent::Answered(heartbeat(member)))
}

fn state(membership: &Membership, name: &str) -> Option<MemberState> {
    let daemons = membership.view().daemons;
    daemons
        .iter()
        .find(|daemon| daemon.name.as_str() == name)
        .map(|daemon| daemon.state)
}

/// Ticks from one time to another as the service does.
fn ticks(membership: &mut Membership, from: u64, to: u64) -> Vec<MemberAction> {
    (from..to)
        .step_by(100)
        .flat_map(|now| membership.on(Millis(now), MemberEvent::Tick))
        .collect()
}

fn me() -> Membership {
    Membership::new(member(0, 1))
}

/// Guards against running daemons found dead when 5% of the messages are lost and delays vary.
#[test]
fn simulated_no_flapping() {
    let mut simulation = Simulation::new(9, 0.05, 7);
    simulation.run(400_000);
    assert_eq!(
        (simulation.counts.intervals, simulation.counts.false_deaths),
        (28_800, 0)
    );
}

/// Guards against a crashed daemon that stays live because the platform's list still shows it, and against
/// a restarted one that is taken for its predecessor.
#[test]
fn simulated_crash_restart() {
    let mut simulation = Simulation::new(9, 0.05, 8);
    simulation.run(10_350);
    simulation.crash(4);
    simulation.run(15_000);
    let detections = &simulation.counts.detections;
    assert_eq!(detections.len(), 8);
    assert!(
        detections.iter().all(|&at| at <= DETECTION_TIME.0 + 200),
        "{detections:?}"
    );
    simulation.restart(4, 2);
    simulation.run(20_000);
    for number in 0..9 {
        let daemons = simulation.daemon(number).unwrap().daemons(MemberState::Live);
        assert_eq!(daemons.len(), 9, "seen from {number}");
        assert_eq!(daemons[4].incarnation, Incarnation(2));
    }
}

/// Guards against a daemon that stays unused until a lagging list shows it.
#[test]
fn hear_unlisted() {
    let mut membership = me();
    membership.on(Millis(0), MemberEvent::Listed(vec![vm(0, MemberState::Live)]));
    let actions = hear(&mut membership, 10, member(1, 5));
    assert_eq!(actions, [MemberAction::Daemon(member(1, 5))]);
    assert_eq!(state(&membership, "d1"), Some(MemberState::Live));
}

/// Guards against a listed daemon counted as live before it was heard once.
#[test]
fn list_unheard() {
    let mut membership = me();
    membership.on(Millis(0), MemberEvent::Listed(vec![vm(1, MemberState::Live)]));
    let actions = ticks(&mut membership, 0, 100);
    assert!(matches!(&actions[..], [MemberAction::Send { address, .. }] if address == "1"));
    assert_eq!(state(&membership, "d1"), None);
}

/// Guards against a late heartbeat of a former incarnation that revives it or overwrites its successor.
#[test]
fn hear_former_incarnation() {
    let mut membership = me();
    hear(&mut membership, 10, member(1, 5));
    let successor = Member {
        address: "other".to_owned(),
        ..member(1, 6)
    };
    assert_eq!(
        hear(&mut membership, 20, successor.clone()),
        [MemberAction::Daemon(successor.clone())]
    );
    let mut late = heartbeat(member(1, 5));
    late.leaders.push(Leader {
        region: RegionName::from("fi"),
        daemon: DaemonName::from("d1"),
        term: Term(9),
    });
    assert_eq!(membership.on(Millis(30), MemberEvent::Answered(late)), []);
    assert_eq!(membership.daemons(MemberState::Live)[1], &successor);
    assert_eq!(membership.leader(&RegionName::from("fi")), None);
}

/// Guards against a daemon ignored for ever because its clock was behind when it chose its incarnation.
#[test]
fn hear_own_former_incarnation() {
    let mut membership = me();
    let mut other = heartbeat(member(1, 5));
    other.known.push(member(0, 40));
    membership.on(Millis(10), MemberEvent::Answered(other));
    assert_eq!(membership.me().incarnation, Incarnation(41));
}

/// Guards against new work for a daemon that leaves, whoever says so first, and against a late heartbeat
/// that takes it back.
#[rstest]
#[case::heartbeat(true, false, false)]
#[case::list(false, true, false)]
#[case::gossip(false, false, true)]
fn leave_either(#[case] heard: bool, #[case] listed: bool, #[case] told: bool) {
    let mut membership = me();
    hear(&mut membership, 10, member(1, 5));
    let leaving = Member {
        state: MemberState::Leaving,
        ..member(1, 5)
    };
    if heard {
        hear(&mut membership, 20, leaving.clone());
    }
    if listed {
        membership.on(Millis(20), MemberEvent::Listed(vec![vm(1, MemberState::Leaving)]));
    }
    if told {
        let mut other = heartbeat(member(2, 1));
        other.known.push(leaving.clone());
        membership.on(Millis(20), MemberEvent::Answered(other));
    }
    assert_eq!(state(&membership, "d1"), Some(MemberState::Leaving));
    hear(&mut membership, 30, member(1, 5));
    assert_eq!(state(&membership, "d1"), Some(MemberState::Leaving));
    let dead = ticks(&mut membership, 100, 5_000);
    assert!(dead.contains(&MemberAction::Daemon(Member {
        state: MemberState::Dead,
        ..leaving
    })));
}

/// Guards against a leaving daemon that others hear of only at the next interval.
#[test]
fn leave_at_once() {
    let mut membership = me();
    hear(&mut membership, 10, member(1, 5));
    ticks(&mut membership, 100, 1_100);
    let actions = membership.on(Millis(1_150), MemberEvent::Leave);
    let sent = |action: &MemberAction| match action {
        MemberAction::Send { address, heartbeat } => address == "1" && heartbeat.member.state == MemberState::Leaving,
        _ => false,
    };
    assert!(actions.iter().any(sent), "{actions:?}");
}

/// Guards against all other daemons found dead because this process itself was paused.
#[test]
fn tick_after_pause() {
    let mut membership = me();
    hear(&mut membership, 10, member(1, 5));
    ticks(&mut membership, 100, 1_000);
    membership.on(Millis(60_000), MemberEvent::Tick);
    assert_eq!(state(&membership, "d1"), Some(MemberState::Live));
    ticks(&mut membership, 60_100, 64_500);
    assert_eq!(state(&membership, "d1"), Some(MemberState::Dead));
}

/// Guards against requests routed to a deposed scheduler because of old gossip.
#[test]
fn leader_highest_term() {
    let mut membership = me();
    let region = RegionName::from("fi");
    for (term, expected) in [(3, 3), (2, 3), (4, 4), (4, 4)] {
        let mut other = heartbeat(member(1, 5));
        let daemon = DaemonName::from(format!("d{term}"));
        other.leaders.push(Leader {
            region: region.clone(),
            daemon,
            term: Term(term),
        });
        membership.on(Millis(10), MemberEvent::Answered(other));
        assert_eq!(membership.leader(&region).unwrap().term, Term(expected));
    }
}

/// Guards against work given up because one list was incomplete, and against a gone worker that is kept.
#[test]
fn list_worker_gone() {
    let worker = |state| Vm {
        name: "w1".to_owned(),
        role: VmRole::Worker,
        address: "a".to_owned(),
        state,
        region: None,
    };
    let mut membership = me();
    let mut list = |vms: Vec<Vm>| membership.on(Millis(0), MemberEvent::Listed(vms));
    let (live, dead) = (worker(MemberState::Live), worker(MemberState::Dead));
    assert_eq!(list(vec![live.clone()]), [MemberAction::Worker(live.clone())]);
    assert_eq!(list(vec![]), []);
    assert_eq!(list(vec![live.clone()]), []);
    assert_eq!(list(vec![]), []);
    assert_eq!(list(vec![]), [MemberAction::Worker(dead)]);
    assert!(membership.view().workers.is_empty());
}

/// Guards against memory that grows with each replaced VM, and with names that a faulty peer invents.
#[test]
fn hear_many_names() {
    let mut membership = me();
    for number in 1..2_000 {
        hear(&mut membership, 10, member(number, 1));
    }
    assert_eq!(membership.view().daemons.len(), 257);
    ticks(&mut membership, 100, 66_000);
    assert_eq!(membership.view().daemons.len(), 1);
}
