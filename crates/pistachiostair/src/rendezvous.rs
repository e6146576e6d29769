//! Assignment of workers to live daemons by rendezvous hashing, so that the loss of a daemon moves only the
//! workers that it had.

use crate::edge::{Vm, VmRole};
use crate::ids::{DaemonName, RegionName, WorkerName};
use crate::resource::{Member, MemberState};

/// Name of the daemon that supervises `worker`: one of the live daemons, and one in the worker's region
/// if there is any. All daemons with the same view get the same answer.
pub fn worker_owner<'a>(
    worker: &str,
    region: Option<&RegionName>,
    daemons: impl IntoIterator<Item = &'a Member>,
) -> Option<&'a DaemonName> {
    let live = daemons.into_iter().filter(|daemon| daemon.state == MemberState::Live);
    let best = live.max_by_key(|daemon| {
        let local = Some(&daemon.region) == region;
        (local, weight(worker, daemon.name.as_str()), &daemon.name)
    });
    best.map(|daemon| &daemon.name)
}

/// The workers of the platform's list that `me` supervises; dead ones are nobody's.
pub fn owned_workers(me: &DaemonName, daemons: &[Member], workers: &[Vm]) -> Vec<WorkerName> {
    let present = |vm: &&Vm| vm.role == VmRole::Worker && vm.state != MemberState::Dead;
    workers
        .iter()
        .filter(present)
        .filter(|vm| worker_owner(&vm.name, vm.region.as_ref(), daemons) == Some(me))
        .map(|vm| WorkerName::from(vm.name.as_str()))
        .collect()
}

/// Weight of a pair. The hash is written out here, since the standard library's may differ between
/// builds, and daemons of two releases must agree.
fn weight(worker: &str, daemon: &str) -> u64 {
    // FNV-1a over both names, with a byte between them that no name contains.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = worker.bytes().chain([0]).chain(daemon.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // FNV-1a alone hardly changes the high bits for names that differ in the last byte.
    mix(hash)
}

/// Finalizer of SplitMix64.
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
