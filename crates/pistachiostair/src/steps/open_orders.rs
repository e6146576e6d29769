//! Start orders without an answer, which may still be carried out.
//!
//! An order names its worker, not the incarnation of it. One that is late may thus reach a later incarnation, which knows
//! neither the run nor that it has ended, and would start it again. So a later incarnation is told to stop each run of
//! which an order may still arrive, whatever has become of the run since: it refuses the order from then on. Until it has
//! confirmed that, the task is not started elsewhere.
//!
//! Orders of earlier terms are not known here. An incarnation that has got an order of this term refuses them.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::steps::engine::{Context, HoldReply, RunOrigin, RunPhase, StepScheduler, Target};
use crate::steps::host::{Host, RunKey};
use crate::steps::spec::{JobKey, TaskKey};

/// Longest time after which an order without an answer is still carried out. The platform states no limit.
pub(crate) const MAX_ORDER_DELAY: Millis = Millis(12_500);

/// Time until an order to a later incarnation to stop a run is repeated: until it is confirmed, the run may start there.
const BAR_RETRY_DELAY: Millis = Millis(100);

/// How far the order to a later incarnation to stop a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bar {
    /// It was sent at this time.
    Ordered(Millis),
    /// It was confirmed when the worker's clock showed this: no start order has an effect any more.
    Confirmed(Millis),
    /// Later lists of the worker don't have the run.
    Complete,
}

/// The start orders of one run of which it is not known whether they were carried out.
#[derive(Clone, Copy, Debug)]
struct OpenOrder {
    /// The incarnation that they were meant for.
    incarnation: Incarnation,
    /// When the order was sent whose outcome is awaited.
    awaited: Option<Millis>,
    /// When the last order was sent that was not answered.
    lost: Option<Millis>,
    /// The last later incarnation that was told to stop the run.
    bar: Option<(Incarnation, Bar)>,
}

impl OpenOrder {
    /// Time from which on none of the orders arrives any more.
    fn until(&self) -> Millis {
        let sent = self.awaited.max(self.lost);
        sent.map_or(Millis::ZERO, |sent| sent + MAX_ORDER_DELAY)
    }

    /// Whether the run may start, or may have started, in this incarnation of the worker.
    fn is_loose(&self, incarnation: Incarnation, now: Millis) -> bool {
        let barred = self.bar == Some((incarnation, Bar::Complete));
        incarnation > self.incarnation && !barred && now < self.until()
    }

    /// How far an incarnation has come with stopping the run; none if it was not told to.
    fn bar_of(&self, incarnation: Incarnation) -> Option<Bar> {
        let (told, bar) = self.bar?;
        (told == incarnation).then_some(bar)
    }
}

/// The start orders of this term that may still be carried out.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenOrders {
    orders: BTreeMap<WorkerName, BTreeMap<RunKey, OpenOrder>>,
    /// Tasks of which a later incarnation of a worker may start an earlier run.
    held: BTreeSet<TaskKey>,
}

impl OpenOrders {
    /// Takes note of an order that is being sent.
    pub(crate) fn note_sent(&mut self, worker: &WorkerName, key: RunKey, incarnation: Incarnation, now: Millis) {
        let orders = self.orders.entry(worker.clone()).or_default();
        let order = orders.entry(key).or_insert(OpenOrder {
            incarnation,
            awaited: None,
            lost: None,
            bar: None,
        });
        order.awaited = Some(now);
    }

    /// Takes note of the outcome of an order. One without an answer may still be carried out.
    pub(crate) fn note_outcome(&mut self, worker: &WorkerName, key: RunKey, unanswered: bool) {
        let Some(orders) = self.orders.get_mut(worker) else {
            return;
        };
        if let Some(order) = orders.get_mut(&key) {
            let sent = order.awaited.take();
            if unanswered {
                order.lost = sent.max(order.lost);
            }
            if order.lost.is_none() {
                orders.remove(&key);
            }
        }
        if orders.is_empty() {
            self.orders.remove(worker);
        }
    }

    /// Takes note that a worker has confirmed to stop a run when its clock showed `clock`.
    pub(crate) fn note_stopped(&mut self, target: &Target, key: RunKey, clock: Millis) {
        let orders = self.orders.get_mut(&target.worker);
        let Some(order) = orders.and_then(|orders| orders.get_mut(&key)) else {
            return;
        };
        match order.bar_of(target.incarnation) {
            Some(Bar::Confirmed(_) | Bar::Complete) => {}
            Some(Bar::Ordered(_)) | None => order.bar = Some((target.incarnation, Bar::Confirmed(clock))),
        }
    }

    /// Takes note of the runs that a worker lists.
    fn note_lists(&mut self, worker: &WorkerName, reply: &HoldReply) {
        for (key, order) in self.orders.get_mut(worker).into_iter().flatten() {
            let listed = reply.running.iter().any(|line| (line.task, line.run) == *key);
            match order.bar_of(reply.incarnation) {
                Some(Bar::Confirmed(at)) if at < reply.clock && !listed => {
                    order.bar = Some((reply.incarnation, Bar::Complete));
                }
                _ => {}
            }
        }
    }

    /// Whether there is an order to this worker that may still be carried out.
    pub(crate) fn concern(&self, worker: &WorkerName) -> bool {
        self.orders.contains_key(worker)
    }

    /// Whether an order of this run may still be carried out.
    pub(crate) fn may_arrive(&self, worker: &WorkerName, key: &RunKey, now: Millis) -> bool {
        let order = self.orders.get(worker).and_then(|orders| orders.get(key));
        order.is_some_and(|order| now < order.until())
    }

    /// Time from which on no order to this worker arrives any more.
    pub(crate) fn last_arrival(&self, worker: &WorkerName) -> Millis {
        let orders = self.orders.get(worker).into_iter().flat_map(BTreeMap::values);
        orders.map(OpenOrder::until).max().unwrap_or_default()
    }

    /// Whether a task must not be started, as an earlier run of it may start in a later incarnation of its worker.
    pub(crate) fn hold_back(&self, task: &TaskKey) -> bool {
        self.held.contains(task)
    }

    /// Forgets the orders that don't arrive any more.
    fn sweep(&mut self, now: Millis) {
        self.orders.retain(|_, orders| {
            orders.retain(|_, order| now < order.until());
            !orders.is_empty()
        });
    }

    /// Determines anew which tasks must not be started. Returns the jobs of those for which that has changed.
    fn update_held(&mut self, hosts: &BTreeMap<WorkerName, Host>, now: Millis) -> BTreeSet<JobKey> {
        let mut held = BTreeSet::new();
        for (worker, orders) in &self.orders {
            let Some(host) = hosts.get(worker) else { continue };
            let loose = orders.iter().filter(|(_, order)| order.is_loose(host.expected(), now));
            held.extend(loose.map(|((task, _), _)| *task));
        }
        let changed = held.symmetric_difference(&self.held).map(|task| task.job);
        let changed = changed.collect();
        self.held = held;
        changed
    }
}

impl StepScheduler {
    /// Tells later incarnations of workers to stop the runs that a late order might start there, and updates which tasks
    /// wait for that.
    pub(crate) fn bar_open_orders(&mut self, cx: &Context<'_>) {
        if self.open_orders.orders.is_empty() && self.open_orders.held.is_empty() {
            return;
        }
        self.open_orders.sweep(cx.now);
        let mut due = Vec::new();
        let mut unread = BTreeSet::new();
        for (worker, orders) in &mut self.open_orders.orders {
            let Some(host) = self.hosts.get(worker) else { continue };
            let incarnation = host.incarnation;
            let pause = match host.is_silent(cx.now) {
                true => cx.limits.stop_repeat(),
                false => BAR_RETRY_DELAY,
            };
            for (key, order) in orders {
                // A run that has not ended is stopped by itself.
                let open = self.runs.get(key).is_some_and(|run| run.phase != RunPhase::Ended);
                if open || !order.is_loose(incarnation, cx.now) {
                    continue;
                }
                match order.bar_of(incarnation) {
                    Some(Bar::Confirmed(_)) => {
                        unread.insert(worker.clone());
                    }
                    Some(Bar::Ordered(at)) if cx.now.since(at) < pause => {}
                    _ => {
                        order.bar = Some((incarnation, Bar::Ordered(cx.now)));
                        due.push((worker.clone(), incarnation, *key));
                    }
                }
            }
        }
        for (worker, incarnation, key) in due {
            let Some(target) = self.target(&worker, incarnation) else {
                continue;
            };
            let reason = format!(
                "incarnation {incarnation} is told to stop {} run {}, whose unanswered start order may still arrive",
                key.0, key.1
            );
            self.log_worker("barring", &worker, reason);
            self.send_stop_to(target, key);
        }
        for worker in unread {
            self.hold_now(cx, &worker);
        }
        for job in self.open_orders.update_held(&self.hosts, cx.now) {
            self.refresh_job(cx, job);
        }
    }

    /// Takes note of the lists of a worker, which may show that a run of which an order may still arrive is barred there.
    pub(crate) fn note_listed_runs(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        if self.open_orders.concern(worker) {
            self.open_orders.note_lists(worker, reply);
            self.bar_open_orders(cx);
        }
    }

    /// Whether an order may still arrive that would start this run, of this term or of an earlier one.
    pub(crate) fn may_still_start(&self, cx: &Context<'_>, worker: &WorkerName, key: &RunKey) -> bool {
        let recovered = self.runs.get(key).is_some_and(|run| run.origin == RunOrigin::Recovered);
        recovered && cx.now < self.elected + MAX_ORDER_DELAY || self.open_orders.may_arrive(worker, key, cx.now)
    }
}
