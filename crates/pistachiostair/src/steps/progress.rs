//! Progress of a run as its worker reports it, and what it tells of the time that the run still takes.

use crate::clock::Millis;

/// Least time between two reports that tell a speed: workers report whole percent.
const WINDOW: Millis = Millis(300);

/// Time for which a run must not have got on before it counts as standing still, in percent of its usual duration.
const STANDSTILL: u64 = 4;

/// Least progress, in percent, from which the duration of a run is told.
const LEAST_PROGRESS: u32 = 5;

/// Progress that a worker has reported of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunProgress {
    /// Percent that were done at the start of the observation.
    base: u32,
    /// The start of the observation.
    from: Millis,
    /// An earlier report, and when it came: the latest speed is that from then on.
    earlier: (u32, Millis),
    /// Percent that are done.
    percent: u32,
    /// When that was reported, or when all was reported to be done: members of a gang then wait for the others.
    at: Millis,
}

impl RunProgress {
    /// A first report, of a run that had done `base` percent at `from`.
    pub(crate) fn first((base, from): (u32, Millis), percent: u32, at: Millis) -> Self {
        Self {
            base,
            from,
            earlier: (base, from),
            percent,
            at,
        }
    }

    /// Takes in a further report.
    pub(crate) fn advance(&mut self, percent: u32, at: Millis) {
        if self.percent >= 100 {
            return;
        }
        if self.at.since(self.earlier.1) >= WINDOW {
            self.earlier = (self.percent, self.at);
        }
        self.percent = percent;
        self.at = at;
    }

    pub(crate) fn percent(&self) -> u32 {
        self.percent
    }

    /// Time that the whole task takes at the average speed; none while too little is done.
    pub(crate) fn duration(&self) -> Option<Millis> {
        let done = self.percent.saturating_sub(self.base);
        let span = self.at.since(self.from);
        let known = done >= LEAST_PROGRESS && span >= WINDOW;
        known.then(|| Millis(span.0 * 100 / u64::from(done)))
    }

    /// Time from `now` on that the run takes at its latest speed; the longest there is while it stands still, none
    /// while the speed is not known. `usual` is the duration of such tasks.
    pub(crate) fn rest(&self, now: Millis, usual: Millis) -> Option<Millis> {
        if self.percent >= 100 {
            return Some(Millis::ZERO);
        }
        let span = self.at.since(self.earlier.1);
        let done = self.percent.saturating_sub(self.earlier.0);
        if done == 0 {
            let stands = span >= WINDOW.max(Millis(usual.0 * STANDSTILL / 100));
            return stands.then_some(Millis::MAX);
        }
        let left = span.0 * u64::from(100 - self.percent) / u64::from(done);
        (span >= WINDOW).then(|| Millis(left).since(now.since(self.at)))
    }
}
