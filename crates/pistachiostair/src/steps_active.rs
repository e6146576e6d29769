//! The scheduler of steps as a part of a region's scheduler under one term: one journal, one lease, one clock.

use crate::active::Active;
use crate::calls::STALLED;
use crate::clock::Millis;
use crate::ids::Term;
use crate::journal::Record;
use crate::scheduler::Action;
use crate::state::State;
use crate::steps::{Context, StepRecord, StepScheduler, StepsEvent};

/// Takes over the jobs made of steps that the journal has.
pub(crate) fn adopt_steps(now: Millis, wall: Millis, term: Term, state: &State) -> StepScheduler {
    let cx = Context {
        now,
        wall,
        lease_held: false,
        store_stalled: false,
        last_held: now,
        book: &state.book,
    };
    StepScheduler::recover(term, &cx)
}

impl Active {
    /// Lets the scheduler of steps work with what it reads of this one.
    fn with_steps(&mut self, now: Millis, work: impl FnOnce(&mut StepScheduler, &Context<'_>)) {
        if self.held {
            self.tenured = now;
        }
        let cx = Context {
            now,
            wall: self.wall,
            lease_held: self.held,
            store_stalled: self.appender.stalled(now) >= STALLED,
            last_held: self.tenured,
            book: &self.state.book,
        };
        work(&mut self.steps, &cx);
    }

    pub(crate) fn steps_event(&mut self, now: Millis, event: StepsEvent) {
        self.with_steps(now, |steps, cx| steps.handle(cx, event));
    }

    pub(crate) fn steps_committed(&mut self, now: Millis, record: &StepRecord) {
        self.with_steps(now, |steps, cx| steps.committed(cx, record));
    }

    pub(crate) fn steps_tick(&mut self, now: Millis) {
        let retention = self.retention;
        self.with_steps(now, |steps, cx| {
            steps.tick(cx);
            steps.retire(cx, retention.span, retention.jobs);
        });
    }

    /// Places what waits, and hands records and actions on.
    pub(crate) fn steps_finish(&mut self, now: Millis) {
        if self.steps.replan && self.appender.ready(now) {
            self.with_steps(now, StepScheduler::plan);
        }
        self.with_steps(now, StepScheduler::renew_touched);
        let records = std::mem::take(&mut self.steps.records);
        self.appender.push(records.into_iter().map(Record::Steps));
        self.steps_flush();
    }

    /// Hands on what the scheduler of steps wants done.
    pub(crate) fn steps_flush(&mut self) {
        let actions = std::mem::take(&mut self.steps.actions);
        self.actions.extend(actions.into_iter().map(Action::Steps));
    }
}
