//! Estimates of how fast each machine is, relative to the fleet.
//!
//! The tasks of one step are equal work up to a spread of 15 to 30%, so that their durations on several machines tell how
//! the speeds of these compare. [`Speeds`] owns the estimates. Each is the logarithm of a machine's speed with its
//! variance, updated as by a Kalman filter: the size of the task is the weighted mean over the other machines of the step.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// Variance of the logarithm of a speed of which nothing is known: 0.6 and 1.6 are within 1.5 standard deviations.
const PRIOR_VARIANCE: f64 = 0.12;

/// Variance of the logarithm of a task's own size: tasks of one step differ by 15 to 30%.
const TASK_VARIANCE: f64 = 0.05;

/// Least variance of an estimate, so that it keeps following a machine that changes slowly.
const MIN_VARIANCE: f64 = 0.0015;

/// Growth of the variance of an estimate in an hour without tasks: after six hours it counts for little.
const DRIFT_PER_HOUR: f64 = 0.02;

/// Most by which one task counts, as a logarithm (a factor of 1.8): a task may be long by itself, or its worker slow for
/// some seconds.
const MAX_SHIFT: f64 = 0.6;

/// Bound on the logarithm of a speed, a factor of 4: beyond that a machine is faulty rather than slow.
const MAX_LOG: f64 = 1.4;

/// Number of standard deviations from which on a duration contradicts the estimate.
const ODD_DEVIATIONS: f64 = 3.0;

/// A machine has changed once so many durations in a row contradict its estimate, over at least [`LASTING`].
const MIN_ODD: u32 = 3;

/// Time for which a machine must have been slow before that counts as its speed. Shorter spells are left to the ejection
/// of stragglers.
const LASTING: Millis = Millis(60_000);

/// Least number of finished tasks of a step from which the speeds of their machines are learnt.
const MIN_TASKS: usize = 3;

/// Ratio of the longest to the shortest duration of a gang's members, in percent, up to which they are taken to report the
/// progress of the slowest one: members that work at their own pace differ by more, whole percents by less.
const COMMON_PERCENT: u64 = 108;

/// Longest duration that a task can be observed to have.
const MAX_DURATION: Millis = Millis(86_400_000);

/// Width of a class of speeds, as a logarithm. Machines within 12% of the usual speed count as equal; the two kinds of
/// machines that take 93 and 117% of the usual time are one class apart.
const CLASS_WIDTH: f64 = 0.25;

/// Number of standard deviations by which a speed must differ from the usual one to count as another. With 2.0, some of 12
/// equal machines counted as faster within ten steps.
const SIGNIFICANCE: f64 = 3.5;

/// Highest class, and the lowest with the opposite sign: that of [`MAX_LOG`].
const MAX_CLASS: i8 = 6;

/// Number of classes.
pub(crate) const CLASSES: usize = 2 * MAX_CLASS as usize + 1;

/// Most machines with an estimate, several times those of the largest deployment.
const MAX_MACHINES: usize = 4_096;

/// Time without tasks after which an estimate is dropped.
const MAX_ABSENCE: Millis = Millis(86_400_000);

/// A class of machines of similar speed. 0 is the usual speed, and that of machines which are not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SpeedClass(i8);

impl SpeedClass {
    pub(crate) const MIN: Self = Self(-MAX_CLASS);

    /// Rank among all classes, slowest first.
    pub(crate) fn index(self) -> usize {
        usize::from((self.0 + MAX_CLASS).unsigned_abs())
    }

    /// The class with this rank.
    pub(crate) fn from_index(index: usize) -> Self {
        Self((index.min(CLASSES - 1)) as i8 - MAX_CLASS)
    }

    /// Duration on a machine of this class of what takes `usual` at the usual speed.
    pub(crate) fn duration(self, usual: Millis) -> Millis {
        self.scale(usual, -1.0)
    }

    /// Duration at the usual speed of what takes `duration` on a machine of this class.
    pub(crate) fn usual(self, duration: Millis) -> Millis {
        self.scale(duration, 1.0)
    }

    fn scale(self, span: Millis, sign: f64) -> Millis {
        if self.0 == 0 {
            return span;
        }
        let factor = (sign * f64::from(self.0) * CLASS_WIDTH).exp();
        Millis((span.0 as f64 * factor).round() as u64)
    }
}

/// Estimate of one machine.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Logarithm of the speed.
    log: f64,
    variance: f64,
    /// When a task was last counted.
    at: Millis,
    /// Durations in a row that contradict the estimate in the same direction, and since when.
    odd: u32,
    odd_since: Millis,
    slower: bool,
}

impl Estimate {
    fn new(now: Millis) -> Self {
        Self {
            log: 0.0,
            variance: PRIOR_VARIANCE,
            at: now,
            odd: 0,
            odd_since: now,
            slower: false,
        }
    }

    /// The estimate as it counts at `now`, with the uncertainty that has grown since the last task.
    fn aged(self, now: Millis) -> Self {
        let hours = now.since(self.at).0 as f64 / 3_600_000.0;
        let variance = (self.variance + hours * DRIFT_PER_HOUR).min(PRIOR_VARIANCE);
        Self { variance, ..self }
    }

    /// Adds the observation that the logarithm of the speed is `log`, up to `variance`.
    fn observe(&mut self, now: Millis, log: f64, variance: f64) {
        let residual = log - self.log;
        let total = self.variance + variance;
        if residual * residual > ODD_DEVIATIONS * ODD_DEVIATIONS * total {
            let slower = residual < 0.0;
            if self.odd == 0 || self.slower != slower {
                (self.odd, self.odd_since, self.slower) = (0, now, slower);
            }
            self.odd += 1;
            if self.odd < MIN_ODD || now.since(self.odd_since) < LASTING {
                return;
            }
            self.variance = PRIOR_VARIANCE;
        }
        self.odd = 0;
        let gain = self.variance / (self.variance + variance);
        self.log = (self.log + gain * residual.clamp(-MAX_SHIFT, MAX_SHIFT)).clamp(-MAX_LOG, MAX_LOG);
        self.variance = (self.variance * (1.0 - gain)).max(MIN_VARIANCE);
        self.at = now;
    }

    fn class(&self) -> SpeedClass {
        let significant = self.log * self.log >= SIGNIFICANCE * SIGNIFICANCE * self.variance;
        let class = (self.log / CLASS_WIDTH).round() as i8;
        SpeedClass(if significant {
            class.clamp(-MAX_CLASS, MAX_CLASS)
        } else {
            0
        })
    }
}

/// Duration of a finished task, as if in the rack of its data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    /// The machine that it ran on.
    pub(crate) machine: &'a str,
    pub(crate) duration: Millis,
}

/// What came of the durations of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Learned {
    /// Number of durations that no task can have; they were dropped.
    pub(crate) dropped: usize,
    /// Whether estimates may have changed.
    pub(crate) changed: bool,
}

/// Whether the members of a gang, of which these are durations, report the progress of the slowest one.
pub(crate) fn is_common_pace(durations: impl Iterator<Item = Millis> + Clone) -> bool {
    match (durations.clone().min(), durations.max()) {
        (Some(shortest), Some(longest)) => longest.0.saturating_mul(100) <= shortest.0.saturating_mul(COMMON_PERCENT),
        _ => true,
    }
}

/// Estimates of all machines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speeds {
    machines: BTreeMap<String, Estimate>,
}

impl Speeds {
    /// The class of a machine.
    pub(crate) fn class(&self, machine: &str, now: Millis) -> SpeedClass {
        let known = self.machines.get(machine);
        known.map_or(SpeedClass::default(), |estimate| estimate.aged(now).class())
    }

    /// Learns from the tasks of one step. A gang whose members report the same pace tells nothing of the faster ones.
    pub(crate) fn learn(&mut self, now: Millis, samples: &[Sample<'_>], gang: bool) -> Learned {
        let valid = |sample: &&Sample<'_>| sample.duration > Millis::ZERO && sample.duration <= MAX_DURATION;
        let used: Vec<&Sample<'_>> = samples.iter().filter(valid).collect();
        let dropped = samples.len() - used.len();
        let common = gang && is_common_pace(used.iter().map(|sample| sample.duration));
        if used.len() < MIN_TASKS || common {
            return Learned {
                dropped,
                changed: false,
            };
        }
        // Size of each task by the present estimates, and its weight.
        let sizes: Vec<(f64, f64)> = used
            .iter()
            .map(|sample| {
                let known = self.machines.get(sample.machine);
                let known = known.map_or_else(|| Estimate::new(now), |estimate| estimate.aged(now));
                let size = (sample.duration.0 as f64).ln() + known.log;
                (size, 1.0 / (TASK_VARIANCE + known.variance))
            })
            .collect();
        let mut sorted: Vec<f64> = sizes.iter().map(|(size, _)| *size).collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[(sorted.len() - 1) / 2];
        let bounded = |size: f64| median + (size - median).clamp(-MAX_SHIFT, MAX_SHIFT);
        let weights: f64 = sizes.iter().map(|(_, weight)| weight).sum();
        let sum: f64 = sizes.iter().map(|(size, weight)| bounded(*size) * weight).sum();
        for (sample, (size, weight)) in used.iter().zip(&sizes) {
            let others = weights - weight;
            let mean = (sum - bounded(*size) * weight) / others;
            let observed = mean - (sample.duration.0 as f64).ln();
            let known = self.machines.entry(sample.machine.to_owned());
            let known = known.or_insert_with(|| Estimate::new(now));
            *known = known.aged(now);
            known.observe(now, observed, TASK_VARIANCE + 1.0 / others);
        }
        self.limit();
        Learned { dropped, changed: true }
    }

    /// Drops the estimates of machines that have run nothing for long.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.machines.retain(|_, estimate| now.since(estimate.at) < MAX_ABSENCE);
    }

    /// Drops the oldest estimates beyond the most that are kept.
    fn limit(&mut self) {
        while self.machines.len() > MAX_MACHINES {
            let oldest = self.machines.iter().min_by_key(|(_, estimate)| estimate.at);
            let Some(oldest) = oldest.map(|(machine, _)| machine.clone()) else {
                return;
            };
            self.machines.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
