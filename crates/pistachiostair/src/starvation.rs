//! Recognises a daemon that gets much less processor time than it is configured to have, since its machine has become
//! slow: work waits long for the processor although the daemon uses a fraction of its share.
//!
//! A daemon that uses its whole share is not starved but has too much to do, which another one of its strength would
//! have as well.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Time between two samples.
pub(crate) const SAMPLE_INTERVAL: Millis = Millis(250);

/// Samples in a row that must agree: a daemon may stand still for a moment.
const SAMPLES: usize = 6;

/// Time that work must wait for the processor, in each sample. A request passes through several such waits.
const LONG_WAIT: Millis = Millis(40);

/// Part of its share that a starved daemon uses at most over all samples, in percent.
const USED_PERCENT: u64 = 50;

/// A sample of the process.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    /// Processor time used so far.
    used: Millis,
    /// How long a task waited for the processor.
    waited: Millis,
}

/// The last samples of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct StarvationWatch(Vec<Sample>);

impl StarvationWatch {
    /// Adds a sample: the processor time `used` so far, and how long a task `waited` that was ready before `at`.
    pub(crate) fn sample(&mut self, at: Millis, used: Millis, waited: Millis) {
        if self.0.len() > SAMPLES {
            self.0.remove(0);
        }
        self.0.push(Sample { at, used, waited });
    }

    /// Whether the process is starved, with a share of `millicores` thousandths of a core.
    pub(crate) fn is_starved(&self, millicores: u64) -> bool {
        let [first, rest @ ..] = &self.0[..] else { return false };
        let Some(last) = rest.last().filter(|_| rest.len() >= SAMPLES) else {
            return false;
        };
        let share = Millis(last.at.since(first.at).0 * millicores / 1_000);
        let used = last.used.since(first.used);
        rest.iter().all(|sample| sample.waited >= LONG_WAIT) && used.0 * 100 < share.0 * USED_PERCENT
    }

    /// Forgets all samples.
    pub(crate) fn reset(&mut self) {
        self.0.clear();
    }
}
