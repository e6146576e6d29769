//! Memory that clients make a daemon hold: accounts of their connections, and who is shed when there is too much.
//!
//! Bytes are charged before they are read. Below [`PRESSURE_PERCENT`] of the budget a charge costs an addition; only beyond
//! it are the accounts compared, and then enough of them are evicted that this is rare.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Share of the budget beyond which holders are evicted. The rest is for those that have not let go yet.
const PRESSURE_PERCENT: usize = 85;

/// Share of the budget to which evictions reduce what is held, so that not every charge compares all accounts.
const RELIEF_PERCENT: usize = 70;

/// Time without a byte after which a holder counts as stalled. Links of callers have disturbances of up to 1 s.
const STALL: Millis = Millis(2_000);

/// Identifies a connection's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HolderId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It has not sent a byte yet.
    Silent,
    /// It sends the head of a request.
    Head,
    /// It sends the body of a request.
    Body,
    /// Its request is being answered.
    Answering,
    /// Its request, which changes nothing, is being answered: a read that waits, or a watch.
    Reading,
    /// It has its answer and has sent nothing since.
    Idle,
}

/// Limits of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BudgetLimits {
    /// Bytes that ordinary connections may hold.
    pub(crate) bytes: usize,
    /// Ordinary connections at once.
    pub(crate) connections: usize,
    /// Bytes that connections to the addresses of operators, readiness and metrics may hold besides.
    pub(crate) reserved_bytes: usize,
    /// Connections to these addresses at once.
    pub(crate) reserved_connections: usize,
}

/// The answer to a charge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The bytes may be held, once these holders have been told to let go of theirs.
    Admit(Vec<HolderId>),
    /// The bytes may not be held; these holders have to let go of theirs in any case.
    Refuse(Vec<HolderId>),
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    reserved: bool,
    stage: Stage,
    bytes: usize,
    /// When it last moved a byte.
    moved: Millis,
    /// Whether it does not take its answer.
    blocked: bool,
    evicted: bool,
}

/// What the holders of one class hold.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    bytes: usize,
    holders: usize,
    /// The part of evicted holders, which will let go of it.
    leaving: (usize, usize),
}

/// Accounts of all connections of a process.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limits: BudgetLimits,
    holders: BTreeMap<HolderId, Holder>,
    /// Ordinary holders, and those of reserved addresses.
    sums: [Sum; 2],
    next: u64,
}

impl MemoryBudget {
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            sums: [Sum::default(); 2],
            next: 0,
        }
    }

    /// Bytes held now by all.
    pub(crate) fn held(&self) -> usize {
        self.sums.iter().map(|sum| sum.bytes).sum()
    }

    /// Connections with an account now.
    pub(crate) fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Opens an account of a connection that holds `bytes`. Returns none with a verdict of [`Verdict::Refuse`].
    pub(crate) fn open(&mut self, reserved: bool, bytes: usize, now: Millis) -> (Option<HolderId>, Verdict) {
        let verdict = self.admit(reserved, (bytes, 1), None, now);
        if let Verdict::Refuse(_) = verdict {
            return (None, verdict);
        }
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            reserved,
            stage: Stage::Silent,
            bytes,
            moved: now,
            blocked: false,
            evicted: false,
        };
        self.holders.insert(id, holder);
        let sum = &mut self.sums[usize::from(reserved)];
        sum.bytes += bytes;
        sum.holders += 1;
        (Some(id), verdict)
    }

    /// Charges a holder for `bytes` more.
    pub(crate) fn charge(&mut self, id: HolderId, bytes: usize, now: Millis) -> Verdict {
        let Some(holder) = self.holders.get(&id) else {
            return Verdict::Refuse(Vec::new());
        };
        if holder.evicted {
            return Verdict::Refuse(Vec::new());
        }
        let verdict = self.admit(holder.reserved, (bytes, 0), Some(id), now);
        if let (Verdict::Admit(_), Some(holder)) = (&verdict, self.holders.get_mut(&id)) {
            holder.bytes += bytes;
            self.sums[usize::from(holder.reserved)].bytes += bytes;
        }
        verdict
    }

    /// Credits a holder with bytes that it no longer holds.
    pub(crate) fn release(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        let sum = &mut self.sums[usize::from(holder.reserved)];
        sum.bytes -= bytes;
        if holder.evicted {
            sum.leaving.0 -= bytes;
        }
    }

    /// Notes that a holder has moved bytes or goes on to another stage.
    pub(crate) fn note(&mut self, id: HolderId, stage: Option<Stage>, moved: bool, now: Millis) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.stage = stage.unwrap_or(holder.stage);
            if moved {
                holder.moved = now;
            }
        }
    }

    /// Notes whether a holder does not take its answer.
    pub(crate) fn set_blocked(&mut self, id: HolderId, blocked: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.blocked = blocked;
        }
    }

    /// What a connection does; none if it has no account.
    pub(crate) fn stage(&self, id: HolderId) -> Option<Stage> {
        self.holders.get(&id).map(|holder| holder.stage)
    }

    /// Closes the account of a connection that has ended.
    pub(crate) fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            let sum = &mut self.sums[usize::from(holder.reserved)];
            sum.bytes -= holder.bytes;
            sum.holders -= 1;
            if holder.evicted {
                sum.leaving.0 -= holder.bytes;
                sum.leaving.1 -= 1;
            }
        }
    }

    fn admit(&mut self, reserved: bool, more: (usize, usize), own: Option<HolderId>, now: Millis) -> Verdict {
        let limits = match reserved {
            true => (self.limits.reserved_bytes, self.limits.reserved_connections),
            false => (self.limits.bytes, self.limits.connections),
        };
        let sum = self.sums[usize::from(reserved)];
        let stays = (sum.bytes - sum.leaving.0 + more.0, sum.holders - sum.leaving.1 + more.1);
        let above = |percent| stays.0 > share(limits.0, percent) || stays.1 > share(limits.1, percent);
        let mut evicted = Vec::new();
        if above(PRESSURE_PERCENT) {
            let relief = (share(limits.0, RELIEF_PERCENT), share(limits.1, RELIEF_PERCENT));
            let least = (stays.0.saturating_sub(relief.0), stays.1.saturating_sub(relief.1));
            evicted = self.evict(reserved, least, now);
        }
        let fits = sum.bytes + more.0 <= limits.0 && sum.holders + more.1 <= limits.1;
        match fits && !own.is_some_and(|own| evicted.contains(&own)) {
            true => Verdict::Admit(evicted),
            false => Verdict::Refuse(evicted),
        }
    }

    /// Evicts the worst holders until they make up at least these bytes and connections, or none is left that may be
    /// evicted. Requests that are being answered stay, since they may have taken effect, unless the
    /// connection does not take its answers.
    fn evict(&mut self, reserved: bool, least: (usize, usize), now: Millis) -> Vec<HolderId> {
        let mut ranked: Vec<_> = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.reserved == reserved && !holder.evicted)
            .filter(|(_, holder)| holder.stage != Stage::Answering || holder.blocked)
            .map(|(id, holder)| (rank(holder, now), *id))
            .collect();
        ranked.sort_unstable();
        let mut freed = (0, 0);
        let mut evicted = Vec::new();
        for (_, id) in ranked {
            if freed.0 >= least.0 && freed.1 >= least.1 {
                break;
            }
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.evicted = true;
                freed = (freed.0 + holder.bytes, freed.1 + 1);
                evicted.push(id);
            }
        }
        let sum = &mut self.sums[usize::from(reserved)];
        sum.leaving = (sum.leaving.0 + freed.0, sum.leaving.1 + freed.1);
        evicted
    }
}

/// Order of eviction, the first first: holders that make no progress, those that never sent anything, idle connections
/// and reads that wait, which lose nothing, and then those that progress. Among equals the one with the most bytes for the longest time.
fn rank(holder: &Holder, now: Millis) -> (u8, Reverse<u64>) {
    let still = now - holder.moved;
    let class = match holder.stage {
        Stage::Answering | Stage::Reading if still < STALL => 4,
        _ if still < STALL => 3,
        Stage::Head | Stage::Body => 0,
        _ if holder.blocked => 0,
        Stage::Silent => 1,
        Stage::Idle | Stage::Reading | Stage::Answering => 2,
    };
    (class, Reverse(holder.bytes as u64 * (still.0 + 100)))
}

fn share(limit: usize, percent: usize) -> usize {
    (limit as u128 * percent as u128 / 100) as usize
}
