//! How a run of a task ended, and what may follow.

use crate::closed_set;

closed_set! {
    /// How a run ended. The set is closed: each end says whether the task may run again.
    pub enum RunOutcome {
        /// The task did its work. It never runs again.
        Done,
        /// The task failed, through its own fault or the worker's. It counts as an attempt.
        Failed,
        /// It was stopped by order.
        Stopped,
        /// Its lease expired.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// It waited in vain for the other members of its gang.
        Alone,
        /// It never started, and no order on its way can start it any more.
        Refused,
        /// Its worker was restarted, or its lease must have expired unseen.
        Lost,
    }
}

impl RunOutcome {
    /// Whether the task may be started again after this end.
    pub fn may_run_again(self) -> bool {
        match self {
            Self::Done => false,
            Self::Failed | Self::Stopped | Self::Lapsed | Self::Broken | Self::Alone | Self::Refused | Self::Lost => {
                true
            }
        }
    }

    /// Whether the end counts as one of the task's attempts.
    pub fn counts_as_attempt(self) -> bool {
        self == Self::Failed
    }
}
