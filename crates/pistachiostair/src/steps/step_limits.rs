//! Limits of the platform and of this daemon that decisions about runs depend on.

use crate::clock::Millis;
use crate::record;
use crate::steps::domains::EvacuationSource;

/// Time beyond the stop itself until its capacity can be used: transit of the order and of the list with the end.
const STOP_TRANSIT: Millis = Millis(50);

/// Time beyond the stop itself until it is known to have failed or the capacity is in use again: several round trips,
/// the age of the platform's list, and a commit.
const STOP_MARGIN: Millis = Millis(700);

record! {
    /// Limits of the platform, and of the daemon that is the scheduler.
    #[derive(Copy)]
    pub struct StepLimits {
        /// Longest time that a worker takes to stop a run.
        pub stop: Millis,
        /// Time from its acceptance within which a job that a guarantee covers must have started.
        pub reclaim: Millis,
        /// Time without a report after which the platform's list drops a worker.
        pub list_silence: Millis,
        /// Most hold orders a second that the daemon sends only to learn of progress.
        pub hold_rate: u64,
        /// Where requests to evacuate failure domains come from.
        pub evacuations: EvacuationSource,
    }
}

impl Default for StepLimits {
    /// The shortest time limits of the users' deployments, on a daemon without limits.
    fn default() -> Self {
        Self {
            stop: Millis(200),
            reclaim: Millis(2_700),
            list_silence: Millis(4_500),
            hold_rate: u64::MAX,
            evacuations: EvacuationSource::None,
        }
    }
}

impl StepLimits {
    /// Time from an order to stop a run until its capacity is free.
    pub(crate) fn stopped_after(self) -> Millis {
        self.stop + STOP_TRANSIT
    }

    /// Shortest time that a hold order lets each of `workers` workers wait for an end, so that the rate is kept to.
    pub(crate) fn hold_wait(self, workers: usize) -> Millis {
        Millis((workers as u64 * 1_000).checked_div(self.hold_rate).unwrap_or(u64::MAX))
    }

    /// Time after which a stop order without effect is repeated.
    pub(crate) fn stop_repeat(self) -> Millis {
        self.stop + Millis(200)
    }

    /// Time to move a run to another worker: a stop, the report of its end, a commit and a start.
    pub(crate) fn move_time(self) -> Millis {
        self.stop + Millis(200)
    }

    /// Time for which capacity is reserved for a step that preempts others.
    pub(crate) fn reservation_age(self) -> Millis {
        self.stop + STOP_MARGIN + Millis(100)
    }

    /// Time before a draining worker is gone at which its runs must be told to stop, so that their ends and checkpoints
    /// are read before.
    pub(crate) fn leave_margin(self) -> Millis {
        self.stop + STOP_MARGIN
    }

    /// Time to start a step by preemption: a stop, the transit of the orders and a commit, with a margin.
    pub(crate) fn preemption_time(self) -> Millis {
        self.stop + Millis(400)
    }

    /// Time to make capacity free by preemption twice.
    pub(crate) fn preemption_lead(self) -> Millis {
        Millis(2 * self.preemption_time().0)
    }
}
