//! Assignment of workers to live daemons by rendezvous hashing, so that the loss of a daemon moves only the workers
//! that it supervised.

use crate::edge::{Vm, VmRole};
use crate::ids::{DaemonName, RegionName, WorkerName};
use crate::resource::{Member, MemberState};

/// Returns the daemon that supervises `worker`: a live one, in `region` if any of that region lives. `region` is the
/// worker's, `None` if unknown. The result is `None` if no daemon lives. All daemons with the same view of the members
/// get the same result.
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

/// Returns the workers among `workers`, the platform's list of VMs, that the daemon `me` supervises according to
/// [`worker_owner`]. Dead workers and VMs of other roles are left out.
pub fn owned_workers(me: &DaemonName, daemons: &[Member], workers: &[Vm]) -> Vec<WorkerName> {
    let is_present = |vm: &&Vm| vm.role == VmRole::Worker && vm.state != MemberState::Dead;
    workers
        .iter()
        .filter(is_present)
        .filter(|vm| worker_owner(&vm.name, vm.region.as_ref(), daemons) == Some(me))
        .map(|vm| WorkerName::from(vm.name.as_str()))
        .collect()
}

/// Rendezvous weight of a worker on a daemon; the daemon with the largest weight wins. The hash is implemented here,
/// since the standard library's may differ between builds, and daemons of two releases must agree.
fn weight(worker: &str, daemon: &str) -> u64 {
    // FNV-1a over both names, separated by a byte that no name contains.
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
