//! What the platform's list of workers tells of one that does not answer.
//!
//! A worker reports to the list by itself, on another path than the scheduler's calls to it, and the list drops one that
//! has not reported for a while. So a worker that is cut off from the scheduler stays listed, and one that has crashed does
//! not. What a read shows counts only if it is new enough, and if the store did not go without reports shortly before.

use crate::clock::Millis;

/// Time between two reads of the list from which on the store may have been unavailable in between.
const OUTAGE_GAP: Millis = Millis(1_500);

/// Time after an outage of the store within which the workers that are alive are listed again: about 2 s.
const RELIST_SPAN: Millis = Millis(3_000);

/// Time by which a read may lag behind the list, and a report behind its interval.
const READ_LAG: Millis = Millis(1_000);

/// What the list tells of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    /// It was alive after the given time.
    Alive,
    /// It is no longer listed, so that it has not reported for a while.
    Gone,
    /// The list was not read late enough to tell.
    Unknown,
}

/// The reads of the list so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ListReads {
    /// Time by which the newest read was requested.
    confirmed: Millis,
    /// Since when reads have followed each other without an outage of the store.
    since: Millis,
}

impl ListReads {
    /// Takes note of a read that was requested at `confirmed`.
    pub(crate) fn note(&mut self, confirmed: Millis) {
        let first = self.confirmed == Millis::ZERO;
        if first || confirmed > self.confirmed + OUTAGE_GAP {
            self.since = confirmed;
        }
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// What the list tells of a worker: whether it was alive after `at`. `listed` says whether the newest read has it, and
    /// `silence` after which time without a report it would be dropped.
    pub(crate) fn liveness(&self, listed: bool, at: Millis, silence: Millis) -> Liveness {
        // While the store is unavailable it may keep the entries of silent workers, or drop those of others.
        let (due, verdict) = match listed {
            true => (at.max(self.since) + silence + READ_LAG, Liveness::Alive),
            false => (self.since + RELIST_SPAN, Liveness::Gone),
        };
        match self.confirmed >= due {
            true => verdict,
            false => Liveness::Unknown,
        }
    }
}
