//! Assignment of workers to daemons by rendezvous hashing.

use std::collections::BTreeMap;

use pistachiostair::{
    DaemonName, DomainName, Incarnation, Member, MemberState, RegionName, Revision, Vm, VmRole, owned_workers,
    worker_owner,
};

fn daemon(number: usize, region: &str, state: MemberState) -> Member {
    Member {
        name: DaemonName::from(format!("d{number}")),
        incarnation: Incarnation(1),
        address: format!("10.0.0.{number}:7000"),
        region: RegionName::from(region),
        domain: DomainName::from("a"),
        state,
        policy: Revision(0),
    }
}

fn daemons(count: usize) -> Vec<Member> {
    (0..count)
        .map(|number| daemon(number, "fi", MemberState::Live))
        .collect()
}

/// The owners of 1,000 workers of unknown region.
fn owners(daemons: &[Member]) -> Vec<DaemonName> {
    let owner = |number| worker_owner(&format!("w{number}"), None, daemons).unwrap().clone();
    (0..1_000).map(owner).collect()
}

/// Guards against an assignment so uneven that one daemon exceeds its limits, with 1,000 workers and 9 daemons.
#[test]
fn owner_even_shares() {
    let mut shares: BTreeMap<DaemonName, usize> = BTreeMap::new();
    for owner in owners(&daemons(9)) {
        *shares.entry(owner).or_default() += 1;
    }
    // The mean is 111 with a standard deviation of 10.
    assert!(
        shares.len() == 9 && shares.values().all(|&share| (70..=150).contains(&share)),
        "{shares:?}"
    );
}

/// Guards against workers that change their daemon although it still lives, when another one is lost.
#[test]
fn owner_daemon_lost() {
    let all = daemons(9);
    let fewer: Vec<_> = all
        .iter()
        .filter(|daemon| daemon.name.as_str() != "d4")
        .cloned()
        .collect();
    for (before, after) in owners(&all).into_iter().zip(owners(&fewer)) {
        assert!(before == after || before.as_str() == "d4");
    }
}

/// Guards against a hash that differs between builds or releases, so that daemons disagree on owners.
#[test]
fn owner_fixed_values() {
    let all = daemons(9);
    let owners = ["w1", "w2", "rack-7/worker-3"].map(|worker| worker_owner(worker, None, &all).unwrap().to_string());
    // Computed with a separate implementation in Python.
    assert_eq!(owners, ["d7", "d5", "d7"]);
}

/// Guards against workers assigned to leaving or dead daemons, or to another region while their own has a live daemon.
#[test]
fn owner_state_and_region() {
    let mut all = vec![
        daemon(0, "fi", MemberState::Leaving),
        daemon(1, "fi", MemberState::Dead),
        daemon(2, "fi", MemberState::Live),
        daemon(3, "sn", MemberState::Live),
        daemon(4, "sn", MemberState::Live),
    ];
    let fi = RegionName::from("fi");
    for number in 0..50 {
        assert_eq!(
            worker_owner(&format!("w{number}"), Some(&fi), &all).unwrap().as_str(),
            "d2"
        );
    }
    all[2].state = MemberState::Dead;
    let other = worker_owner("w1", Some(&fi), &all).unwrap();
    assert!(["d3", "d4"].contains(&other.as_str()));
    assert_eq!(worker_owner("w1", Some(&fi), &all[..3]), None);
}

/// Guards against workers with two daemons or none, when each daemon has the list in another order. Dead workers have
/// none.
#[test]
fn share_partition() {
    let mut all = daemons(5);
    let vm = |number: usize| Vm {
        name: format!("w{number}"),
        role: VmRole::Worker,
        address: String::new(),
        state: if number < 20 {
            MemberState::Dead
        } else {
            MemberState::Leaving
        },
        region: None,
    };
    let workers: Vec<Vm> = (0..200).map(vm).collect();
    let mut seen = Vec::new();
    for number in 0..5 {
        all.rotate_left(1);
        seen.extend(owned_workers(&DaemonName::from(format!("d{number}")), &all, &workers));
    }
    let found = seen.len();
    seen.sort();
    seen.dedup();
    assert_eq!((found, seen.len()), (180, 180));
}
