//! Connects the scheduler of step jobs to the region's scheduler, of which it is a part for one term.
//!
//! Both share the journal, the leadership lease and the clocks. After each event `steps_finish` plans, and
//! moves the records and actions of the step scheduler to those of the region's scheduler.

use crate::active::ActiveScheduler;
use crate::calls::STORE_STALL;
use crate::clock::Millis;
use crate::ids::Term;
use crate::journal::{Record, step_overhead};
use crate::scheduler::Action;
use crate::state::RegionState;
use crate::steps::{Context, StepLimits, StepRecord, StepScheduler, StepsEvent};

/// Builds the scheduler of step jobs for a new term from the state that was read from the journal. The lease counts as
/// not held until the first event says otherwise.
pub(crate) fn recover_steps(now: Millis, wall: Millis, term: Term, state: &RegionState) -> StepScheduler {
    let cx = Context {
        now,
        wall,
        lease_until: Millis::ZERO,
        store_stalled: false,
        limits: StepLimits::default(),
        record_bytes: usize::MAX,
        book: &state.step_jobs,
    };
    StepScheduler::recover(term, &cx)
}

impl ActiveScheduler {
    /// Calls the scheduler of step jobs with its view of this one: clocks, lease, state of the store, and stored jobs.
    fn with_steps(&mut self, now: Millis, work: impl FnOnce(&mut StepScheduler, &Context<'_>)) {
        let cx = Context {
            now,
            wall: self.wall,
            lease_until: self.lease_until,
            store_stalled: self.appender.stalled(now) >= STORE_STALL,
            limits: self.step_limits,
            record_bytes: self.step_record_bytes(),
            book: &self.state.step_jobs,
        };
        work(&mut self.steps, &cx);
    }

    /// Most bytes of a record of step jobs, as JSON, that a journal row can hold.
    fn step_record_bytes(&self) -> usize {
        self.appender.record_bytes().saturating_sub(step_overhead())
    }

    /// Passes on an event.
    pub(crate) fn steps_event(&mut self, now: Millis, event: StepsEvent) {
        self.with_steps(now, |steps, cx| steps.handle(cx, event));
    }

    /// Passes on a record that is durable and applied to the stored jobs.
    pub(crate) fn steps_committed(&mut self, now: Millis, record: &StepRecord) {
        self.with_steps(now, |steps, cx| steps.committed(cx, record));
    }

    /// Does the work of step jobs that became due with time, and forgets ended jobs past their retention.
    pub(crate) fn steps_tick(&mut self, now: Millis) {
        let retention = self.retention;
        self.with_steps(now, |steps, cx| {
            steps.tick(cx);
            steps.forget_expired(cx, retention.span, retention.jobs);
        });
    }

    /// Concludes an event: plans if something changed and the journal can take a row, sends the hold orders that are
    /// due, and queues records for the journal and actions for the caller.
    pub(crate) fn steps_finish(&mut self, now: Millis) {
        if self.steps.replan && self.appender.ready(now) {
            self.with_steps(now, StepScheduler::plan);
        }
        self.with_steps(now, StepScheduler::hold_touched);
        let records = std::mem::take(&mut self.steps.records);
        let limit = self.step_record_bytes();
        let records = records.into_iter().flat_map(|record| record.split(limit));
        self.appender.push(records.map(Record::Steps));
        self.steps_flush();
    }

    /// Queues the report of the work that was wasted in the term that ends.
    pub(crate) fn steps_finish_term(&mut self) {
        self.steps.report_term_waste();
        self.steps_flush();
    }

    /// Queues the actions of the scheduler of step jobs for the caller.
    pub(crate) fn steps_flush(&mut self) {
        self.steps.count_wasted();
        let actions = std::mem::take(&mut self.steps.actions);
        self.actions.extend(actions.into_iter().map(Action::Steps));
    }
}
