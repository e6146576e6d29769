//! Search for the cheapest running work to stop.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::fair::Stop;
use crate::guarantee::Aid;
use crate::ids::JobId;
use crate::node::{Kind, Node, Rack, Wid};
use crate::planner::{Placed, Planner};
use crate::resource::Shape;

/// Cost of resuming a checkpointed job, as milliseconds of lost work of each accelerator.
const RESUME: u64 = 1_000;
/// Cost of making room for one part, the worker, and the jobs to stop with the cost of each.
type Offer = (u64, Wid, Vec<(u64, JobId)>);

/// What a search found: workers, and the jobs to stop there.
pub(crate) struct Found {
    pub(crate) workers: Vec<Wid>,
    pub(crate) victims: BTreeSet<JobId>,
    pub(crate) cost: u64,
}

/// A waiting job that looks for workers.
#[derive(Clone, Copy)]
pub(crate) struct Seeker {
    pub(crate) account: Aid,
    pub(crate) shape: Shape,
    pub(crate) kind: Kind,
    /// Whether it waits until the work that is in its way ends by itself.
    pub(crate) waits: bool,
}

impl Planner {
    /// The cheapest adjacent workers for a seeker once running work that `cost` gives a price is
    /// stopped.
    pub(crate) fn search(
        &self,
        seeker: &Seeker,
        within: impl Fn(Wid) -> bool,
        cost: impl Fn(Wid, &Placed) -> Option<u64>,
    ) -> Option<Found> {
        let offers = |rack: &Rack| {
            let members = rack.members.iter().copied().filter(|wid| within(*wid));
            let mut offers: Vec<Offer> = members.filter_map(|wid| self.offer(wid, seeker, &cost)).collect();
            offers.sort_unstable();
            offers
        };
        let shape = seeker.shape;
        let width = |rack: &&Rack| rack.capacity(shape.accelerators) >= shape.workers;
        if shape.accelerators > 0 && !self.topology.spans(shape) {
            let racks = self.topology.racks.iter().filter(width);
            return racks
                .filter_map(|rack| self.bundle(offers(rack), shape.workers as usize))
                .min_by_key(|found| (found.cost, found.workers.clone()));
        }
        if shape.accelerators == 0 {
            let all = self.topology.racks.iter().flat_map(offers);
            let mut all: Vec<Offer> = all.collect();
            all.sort_unstable();
            return self.bundle(all, shape.workers as usize);
        }
        let counts: Vec<Vec<Offer>> = self.topology.racks.iter().map(offers).collect();
        let widths: Vec<u32> = counts.iter().map(|offers| offers.len() as u32).collect();
        let window = self.topology.window(shape.workers, &widths)?;
        let mut chosen = Vec::new();
        let mut left = shape.workers as usize;
        for position in window.clone() {
            let take = counts[position].len().min(left - (window.end - 1 - position));
            chosen.extend(counts[position][..take].iter().cloned());
            left -= take;
        }
        self.bundle(chosen, shape.workers as usize)
    }

    fn bundle(&self, mut offers: Vec<Offer>, count: usize) -> Option<Found> {
        if offers.len() < count {
            return None;
        }
        offers.truncate(count);
        let workers = offers.iter().map(|(_, wid, _)| *wid).collect();
        // A gang on several of the workers is lost once.
        let stopped: BTreeSet<(u64, JobId)> = offers.into_iter().flat_map(|(_, _, stopped)| stopped).collect();
        let cost = stopped.iter().map(|(cost, _)| cost).sum();
        let victims = stopped.into_iter().map(|(_, victim)| victim).collect();
        Some(Found { workers, victims, cost })
    }

    /// What must be stopped on a worker so that one part fits, and its cost.
    fn offer(&self, wid: Wid, seeker: &Seeker, cost: &impl Fn(Wid, &Placed) -> Option<u64>) -> Option<Offer> {
        let node = &self.topology.nodes[wid];
        let Seeker {
            account,
            shape,
            kind,
            waits,
        } = *seeker;
        if !node.usable() || shape.accelerators > node.info.accelerators {
            return None;
        }
        let open = match waits {
            true => self.guarantees.unpacked(&self.topology, wid, account),
            false => self.guarantees.open(&self.topology, wid, account),
        };
        if kind.pinned && open < shape.accelerators as i32 {
            return None;
        }
        let mut missing = shape.accelerators as i64 - promised(node);
        let mut slots = 1 - promised_slots(node);
        let mut long = if kind.long {
            i64::from(node.long) + 1 - i64::from(node.long_limit(self.topology.reserve))
        } else {
            0
        };
        if missing <= 0 && slots <= 0 && long <= 0 {
            return Some((0, wid, Vec::new()));
        }
        let mut victims: Vec<(u64, JobId, i64, bool)> = Vec::new();
        for job in &node.jobs {
            let victim = &self.placed[job];
            if victim.stopping || !victim.parts().any(|(_, on)| on == wid) {
                continue;
            }
            if let Some(price) = cost(wid, victim) {
                victims.push((price, *job, victim.spec.shape.accelerators.into(), victim.long));
            }
        }
        victims.sort_unstable();
        let mut chosen: Vec<(u64, JobId, i64, bool)> = Vec::new();
        for victim in victims {
            if missing <= 0 && slots <= 0 && long <= 0 {
                break;
            }
            if slots <= 0 && long <= 0 && victim.2 == 0 {
                continue;
            }
            missing -= victim.2;
            slots -= 1;
            long -= i64::from(victim.3);
            chosen.push(victim);
        }
        if missing > 0 || slots > 0 || long > 0 {
            return None;
        }
        // The last one may have made earlier ones unnecessary.
        for index in (0..chosen.len()).rev() {
            let (_, _, accelerators, is_long) = chosen[index];
            if missing + accelerators <= 0 && slots < 0 && long + i64::from(is_long) <= 0 {
                missing += accelerators;
                slots += 1;
                long += i64::from(is_long);
                chosen.remove(index);
            }
        }
        let total = chosen.iter().map(|(price, ..)| price).sum();
        Some((
            total,
            wid,
            chosen.into_iter().map(|(price, job, ..)| (price, job)).collect(),
        ))
    }
}

/// Accelerators of a worker that are free, or will be once work that is being stopped has ended
/// and what is kept for other jobs is taken.
fn promised(node: &Node) -> i64 {
    i64::from(node.info.accelerators) + i64::from(node.stopping) - i64::from(node.used) - i64::from(node.claimed)
}

fn promised_slots(node: &Node) -> i64 {
    i64::from(node.info.slots) + i64::from(node.stopping_slots) - i64::from(node.tasks) - i64::from(node.claimed_slots)
}

/// Work lost by stopping a job, in milliseconds of accelerators (or of tasks without any); nothing
/// if it can't be stopped.
pub(crate) fn loss(placed: &Placed, now: Millis) -> Option<u64> {
    let width = u64::from(placed.spec.shape.total().max(placed.spec.shape.workers));
    match placed.key.stop {
        Stop::Checkpoint => Some(RESUME * width),
        Stop::Restart => Some((RESUME + placed.run(now).0) * width),
        Stop::Pinned => None,
    }
}
