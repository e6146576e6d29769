//! Order in which candidates claim a lease that is free or has expired.

use crate::clock::Millis;

/// Time between the claims of candidates with successive ranks: the time that a claim takes.
const RANK_INTERVAL: Millis = Millis(60);

/// Higher ranks wait no longer than this one, since all stronger candidates may be down.
const MAX_RANK: u32 = 5;

/// A stronger candidate reads the lease and claims it at its ticks, one for each.
const TICKS_MARGIN: Millis = Millis(200);

/// Additional delay of a candidate that gave the lease up. Longer than that of any rank.
const PENALTY_DELAY: Millis = Millis(1_500);

/// For how long that delay applies.
const PENALTY_DURATION: Millis = Millis(15_000);

/// How long this candidate waits before it claims a lease, so that stronger ones come first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimOrder {
    /// Number of stronger candidates; `None` before it is known.
    rank: Option<u32>,
    penalty_end: Millis,
    /// Whether the holder announced a release. The pauses of its announcements are in order of strength already.
    announced: bool,
}

impl ClaimOrder {
    pub(crate) fn with_rank(rank: Option<u32>) -> Self {
        Self {
            rank,
            ..Self::default()
        }
    }

    pub(crate) fn rank(&self) -> Option<u32> {
        self.rank
    }

    pub(crate) fn set_rank(&mut self, rank: u32) {
        self.rank = Some(rank);
    }

    pub(crate) fn penalize(&mut self, now: Millis) {
        self.penalty_end = now + PENALTY_DURATION;
    }

    pub(crate) fn is_penalized(&self, now: Millis) -> bool {
        now < self.penalty_end
    }

    pub(crate) fn set_announced(&mut self, announced: bool) {
        self.announced = announced;
    }

    /// Delay from the time at which the lease may be claimed. `spread` is how much later than others a candidate may
    /// learn of the last renewal.
    pub(crate) fn delay(&self, now: Millis, spread: Millis) -> Millis {
        let rank = match self.rank {
            _ if self.announced => 0,
            Some(rank) => rank.min(MAX_RANK),
            None => MAX_RANK,
        };
        let ranked = match rank {
            0 => Millis::ZERO,
            rank => spread + TICKS_MARGIN + Millis(RANK_INTERVAL.0 * u64::from(rank)),
        };
        match self.is_penalized(now) {
            true => ranked + PENALTY_DELAY,
            false => ranked,
        }
    }
}
