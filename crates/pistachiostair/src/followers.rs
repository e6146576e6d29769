//! Daemons that probe this one as the scheduler, and their order as its successors.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::capacity::Capacity;
use crate::clock::Millis;
use crate::ids::DaemonName;

/// Daemons whose last probe is older than this are forgotten.
const MAX_PROBE_AGE: Millis = Millis(2_000);

/// Longest time between two probes of a daemon that counts as steady: two lost probes.
const MAX_STEADY_GAP: Millis = Millis(1_000);

/// How long a daemon must probe steadily before the lease is handed over to it.
const HANDOVER_AFTER: Millis = Millis(5_000);

/// A daemon that probes this one.
#[derive(Clone, Debug)]
struct Follower {
    address: String,
    /// What it can serve with; `None` if it is not known, or the daemon can't become the scheduler at present.
    capacity: Option<Capacity>,
    /// Start of the steady probes with this capacity.
    steady_since: Millis,
    probed_at: Millis,
}

/// The daemons that probed this one lately.
#[derive(Clone, Debug, Default)]
pub struct Followers(BTreeMap<DaemonName, Follower>);

impl Followers {
    /// Records a probe and forgets daemons that no longer probe.
    pub fn record(&mut self, now: Millis, name: &DaemonName, address: String, capacity: Option<Capacity>) {
        let steady_since = match self.0.get(name) {
            Some(last) if last.capacity == capacity && now.since(last.probed_at) <= MAX_STEADY_GAP => last.steady_since,
            _ => now,
        };
        self.0
            .retain(|_, follower| now.since(follower.probed_at) <= MAX_PROBE_AGE);
        let follower = Follower {
            address,
            capacity,
            steady_since,
            probed_at: now,
        };
        self.0.insert(name.clone(), follower);
    }

    /// What a daemon offered to serve with in its last probe.
    pub fn capacity(&self, name: &DaemonName) -> Option<Capacity> {
        self.0.get(name).and_then(|follower| follower.capacity)
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = (&DaemonName, &Follower)> {
        let recent = move |follower: &Follower| now.since(follower.probed_at) <= MAX_PROBE_AGE;
        self.0.iter().filter(move |(_, follower)| recent(follower))
    }

    /// Number of daemons that are stronger than `name`; `None` if its capacity is not known.
    pub fn rank(&self, now: Millis, name: &DaemonName) -> Option<u32> {
        let own = self.capacity(name)?;
        let stronger = self.recent(now).filter(|(_, follower)| {
            let capacity = follower.capacity.as_ref();
            capacity.is_some_and(|capacity| capacity.is_stronger(&own))
        });
        Some(stronger.count() as u32)
    }

    /// Addresses of the daemons, the strongest first, and those of unknown capacity last.
    pub fn succession(&self, now: Millis) -> Vec<&str> {
        let mut order: Vec<&Follower> = self.recent(now).map(|(_, follower)| follower).collect();
        order.sort_by_key(|follower| Reverse(follower.capacity.map(|capacity| capacity.score())));
        order.into_iter().map(|follower| follower.address.as_str()).collect()
    }

    /// The strongest daemon that probes steadily and should replace a scheduler with the capacity `own`.
    pub fn replacement(&self, now: Millis, own: &Capacity) -> Option<&DaemonName> {
        let steady = |follower: &Follower| {
            now.since(follower.probed_at) <= MAX_STEADY_GAP && now.since(follower.steady_since) >= HANDOVER_AFTER
        };
        let stronger = self.recent(now).filter_map(|(name, follower)| {
            let capacity = follower.capacity.filter(|capacity| capacity.is_much_stronger(own))?;
            steady(follower).then_some((name, capacity.score()))
        });
        let (name, _) = stronger.min_by_key(|(_, score)| Reverse(*score))?;
        Some(name)
    }
}
