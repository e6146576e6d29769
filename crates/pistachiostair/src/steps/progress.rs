//! Progress of a run as its worker reports it, and the duration and remaining time that follow from it.

use crate::clock::Millis;

/// Least time between two reports from which a speed is calculated, since workers report whole percent.
const MIN_WINDOW: Millis = Millis(300);

/// Time without progress after which a run counts as stalled, in percent of its usual duration.
const STALL_PERCENT: u64 = 4;

/// Least progress, in percent, from which the duration of a run is calculated.
const MIN_PROGRESS: u32 = 5;

/// Progress that a worker has reported of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunProgress {
    /// Progress at the start of the observation, in percent.
    base: u32,
    /// Start of the observation.
    from: Millis,
    /// Progress of an earlier report, in percent, and when it arrived; the latest speed is measured from it.
    earlier: (u32, Millis),
    /// Progress of the latest report, in percent.
    percent: u32,
    /// When the latest report arrived. Reports after the first one of 100 percent don't count, since a member of a gang
    /// then waits for the others.
    at: Millis,
}

impl RunProgress {
    /// Creates the progress from the first report, `percent` at time `at`, of a run that had done `base` percent at
    /// `from`.
    pub(crate) fn first((base, from): (u32, Millis), percent: u32, at: Millis) -> Self {
        Self {
            base,
            from,
            earlier: (base, from),
            percent,
            at,
        }
    }

    /// Adds a later report.
    pub(crate) fn advance(&mut self, percent: u32, at: Millis) {
        if self.percent >= 100 {
            return;
        }
        if self.at.since(self.earlier.1) >= MIN_WINDOW {
            self.earlier = (self.percent, self.at);
        }
        self.percent = percent;
        self.at = at;
    }

    /// Progress of the latest report, in percent.
    pub(crate) fn percent(&self) -> u32 {
        self.percent
    }

    /// Duration of the whole task at its average speed; none while the observed progress or time is too short.
    pub(crate) fn duration(&self) -> Option<Millis> {
        let done = self.percent.saturating_sub(self.base);
        let span = self.at.since(self.from);
        let known = done >= MIN_PROGRESS && span >= MIN_WINDOW;
        known.then(|| Millis(span.0 * 100 / u64::from(done)))
    }

    /// Time from `now` until the run ends at its latest speed; zero if it should have ended by now. `Millis::MAX` while it
    /// is stalled, none while its speed is not known. `usual` is the usual duration of such a task, which sets how long it
    /// may go without progress.
    pub(crate) fn remaining(&self, now: Millis, usual: Millis) -> Option<Millis> {
        let left = self.left_at_report(usual)?;
        Some(if left == Millis::MAX {
            left
        } else {
            left.since(self.age(now))
        })
    }

    /// Like [`Self::remaining`], but a run that should have ended by now is taken to need as long again as it is overdue.
    pub(crate) fn forecast(&self, now: Millis, usual: Millis) -> Option<Millis> {
        let left = self.left_at_report(usual)?;
        Some(match left {
            Millis::MAX => left,
            _ => Millis(left.0.abs_diff(self.age(now).0)),
        })
    }

    fn age(&self, now: Millis) -> Millis {
        now.since(self.at)
    }

    /// Time from the latest report until the run ends, see [`Self::remaining`].
    fn left_at_report(&self, usual: Millis) -> Option<Millis> {
        if self.percent >= 100 {
            return Some(Millis::ZERO);
        }
        let span = self.at.since(self.earlier.1);
        let done = self.percent.saturating_sub(self.earlier.0);
        if done == 0 {
            let stalled = span >= MIN_WINDOW.max(Millis(usual.0.saturating_mul(STALL_PERCENT) / 100));
            return stalled.then_some(Millis::MAX);
        }
        let left = span.0 * u64::from(100 - self.percent) / u64::from(done);
        (span >= MIN_WINDOW).then_some(Millis(left))
    }
}
