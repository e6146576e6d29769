//! How a run of a task ended, and whether the task may run again.

use crate::closed_set;

closed_set! {
    /// How a run ended. The set is closed: for each outcome [`Self::may_run_again`] tells whether the task may be
    /// started again.
    pub enum RunOutcome {
        /// The task completed. It never runs again. Not stored for long-running tasks, see [`Self::for_task`].
        Done,
        /// The task failed, because of itself or of the worker. The only outcome that counts as an attempt.
        Failed,
        /// The worker stopped it by order of the scheduler.
        Stopped,
        /// The worker stopped it when its lease expired.
        Lapsed,
        /// Another member of its gang ended without being done.
        Broken,
        /// It gave up, since the other members of its gang did not start in time.
        Alone,
        /// It does not run on its worker, and no order still on its way can start it.
        Refused,
        /// Its worker was restarted, or its lease expired while the worker did not answer.
        Lost,
    }
}

impl RunOutcome {
    /// What the outcome means for a task: a long-running one is never done, so that a run of it that completed has failed.
    pub(crate) fn for_task(self, long_running: bool) -> Self {
        match self {
            Self::Done if long_running => Self::Failed,
            other => other,
        }
    }

    /// Whether the task may be started again after this outcome.
    pub fn may_run_again(self) -> bool {
        match self {
            Self::Done => false,
            Self::Failed | Self::Stopped | Self::Lapsed | Self::Broken | Self::Alone | Self::Refused | Self::Lost => {
                true
            }
        }
    }

    /// Whether the end shows that a worker had begun the run.
    pub(crate) fn shows_begin(self) -> bool {
        match self {
            Self::Done | Self::Failed | Self::Stopped | Self::Lapsed | Self::Broken | Self::Alone => true,
            Self::Refused | Self::Lost => false,
        }
    }

    /// Whether the run counts against the attempts that the queue allows.
    pub fn counts_as_attempt(self) -> bool {
        self == Self::Failed
    }
}
