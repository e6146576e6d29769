//! A region with a scheduler, its journal and workers, on a clock of its own. Messages take time, and may be lost.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{
    AccountName, Action, AppendAction, AppendEvent, Demand, Entitlement, Event, HostInfo, HostUpdate, Incarnation,
    JobKey, Millis, OrderReply, Queue, QueueName, Revision, Rules, Scheduler, Seq, ServiceName, Step, StepAnswer,
    StepCall, StepJob, StepPhase, StepsAction, StepsEvent, Target, Term, Terms, Token, WorkerName,
};
use standin::StepWorkers;

/// One way between the scheduler and a worker.
const HOP: u64 = 4;
/// Time of a commit.
const COMMIT: u64 = 12;
/// Time after which a call without an answer is given up.
const TIMEOUT: u64 = 500;
/// Resolution of the clock.
const STEP: u64 = 10;

/// Accelerators of a worker.
pub(crate) const ACCELERATORS: u64 = 8;

#[derive(Clone, Debug)]
enum Delivery {
    /// An order reaches its worker.
    Order(StepsAction, u64),
    /// An outcome reaches the scheduler of a term.
    Event(Term, Box<Event>),
    /// A transaction reaches the store.
    Store(Term, AppendAction),
}

/// The region.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) workers: StepWorkers,
    /// Workers that no call reaches.
    pub(crate) cut: BTreeSet<WorkerName>,
    /// Workers whose answers are lost.
    pub(crate) mute: BTreeSet<WorkerName>,
    pub(crate) store_down: bool,
    pub(crate) answers: BTreeMap<Token, StepAnswer>,
    /// Holds that were sent.
    pub(crate) holds: u32,
    /// Orders to start that were sent.
    pub(crate) orders: u32,
    /// Workers that leave, with the time that is left to them.
    pub(crate) leaving: BTreeMap<WorkerName, u64>,
    scheduler: Scheduler,
    term: Term,
    rows: Vec<(Seq, String)>,
    queue: BTreeMap<(u64, u64), Delivery>,
    sent: u64,
    tokens: u64,
    listed: BTreeMap<WorkerName, HostInfo>,
    guaranteed: u64,
}

impl World {
    /// A region with `count` workers in racks of four, whose scheduler has just been elected.
    pub(crate) fn new(count: usize) -> Self {
        Self::with_guarantee(count, 0)
    }

    /// Like [`Self::new`]; the account `court` has `guaranteed` accelerators.
    pub(crate) fn with_guarantee(count: usize, guaranteed: u64) -> Self {
        let mut world = Self {
            now: 1_000,
            workers: StepWorkers::default(),
            cut: BTreeSet::new(),
            mute: BTreeSet::new(),
            store_down: false,
            answers: BTreeMap::new(),
            holds: 0,
            orders: 0,
            leaving: BTreeMap::new(),
            scheduler: Scheduler::new("fi".into()),
            term: Term(0),
            rows: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            tokens: 0,
            listed: BTreeMap::new(),
            guaranteed,
        };
        for number in 0..count {
            world.add_worker(number, 1);
        }
        world.take_over();
        world
    }

    /// Starts a worker as the given incarnation and lists it.
    pub(crate) fn add_worker(&mut self, number: usize, incarnation: u64) {
        let name = worker(number);
        let capacity = Demand {
            millicores: 32_000,
            memory: 65_536,
            accelerators: ACCELERATORS,
        };
        let incarnation = Incarnation(incarnation);
        self.workers
            .start_worker(&name, incarnation, capacity, Millis(self.now));
        let rack = format!("r{}", number / 4);
        let info = HostInfo {
            name: name.clone(),
            address: format!("10.0.0.{number}:80"),
            service: ServiceName::from("orders"),
            domain: "helsinki".into(),
            rack: rack.as_str().into(),
            labels: BTreeSet::from(["a".to_owned(), rack]),
            capacity,
            draining: false,
            remaining: None,
            incarnation,
        };
        self.listed.insert(name, info);
    }

    /// Tells the scheduler the platform's list.
    pub(crate) fn tell_list(&mut self) {
        let mut changed: Vec<HostInfo> = self.listed.values().cloned().collect();
        for info in &mut changed {
            if let Some(left) = self.leaving.get(&info.name) {
                info.draining = true;
                info.remaining = Some(Millis(left.saturating_sub(self.now)));
            }
        }
        let update = HostUpdate {
            full: true,
            changed,
            removed: Vec::new(),
        };
        self.feed(Event::Steps(StepsEvent::Hosts(update)));
    }

    /// Drops a worker from the list.
    pub(crate) fn unlist(&mut self, number: usize) {
        self.listed.remove(&worker(number));
        self.tell_list();
    }

    fn rules(&self) -> Rules {
        let queue = |name: &str, priority: u32, attempts: u32| Queue {
            name: QueueName::from(name),
            host: "host".to_owned(),
            prefix: format!("/{name}/"),
            terms: Terms {
                service: ServiceName::from("orders"),
                priority,
                attempts,
                stretch: 2_000,
                allowance: Millis(300),
            },
            timeout: Millis(3_000),
            open: false,
            advised: false,
        };
        let queues = [queue("urgent", 0, 2), queue("normal", 1, 2), queue("bulk", 2, 2)];
        let entitlement = Entitlement {
            keys: BTreeSet::new(),
            guaranteed: self.guaranteed,
        };
        Rules {
            version: Revision(1),
            queues: queues.into_iter().map(|queue| (queue.name.clone(), queue)).collect(),
            services: BTreeMap::new(),
            accounts: BTreeMap::from([(AccountName::from("court"), entitlement)]),
        }
    }

    /// Another daemon becomes the scheduler. What the one before has sent still arrives.
    pub(crate) fn take_over(&mut self) {
        self.elect();
        self.tell_list();
    }

    /// Another daemon becomes the scheduler and does not know the list of workers yet.
    pub(crate) fn elect(&mut self) {
        self.term = Term(self.term.0 + 1);
        self.scheduler = Scheduler::new("fi".into());
        let elected = Event::Elected {
            term: self.term,
            fence: self.term.0,
            snapshot: None,
            rows: self.rows.clone(),
            wall: Millis(1_000_000 + self.now),
        };
        self.feed(elected);
        self.feed(Event::Tenure { held: true });
        self.feed(Event::Steps(StepsEvent::Rules(self.rules())));
    }

    /// Hands in a call.
    pub(crate) fn call(&mut self, call: StepCall) -> Token {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.feed(Event::Steps(StepsEvent::Call { token, call }));
        token
    }

    /// Hands in a job and runs until it is answered.
    pub(crate) fn submit(&mut self, job: StepJob) -> StepAnswer {
        let token = self.call(StepCall::Submit { job: Box::new(job) });
        self.run(100);
        self.answers.get(&token).cloned().expect("an answer")
    }

    /// Where a job stands.
    pub(crate) fn phase(&mut self, key: u64, queue: &str) -> StepPhase {
        let token = self.call(StepCall::State {
            job: JobKey(key),
            queue: QueueName::from(queue),
        });
        match self.answers.get(&token) {
            Some(StepAnswer::State { phase }) => *phase,
            other => panic!("state of {key}: {other:?}"),
        }
    }

    /// Lets `span` milliseconds pass.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.workers.advance(Millis(self.now), Millis(STEP));
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            if self.now.is_multiple_of(100) || self.scheduler.wake().is_some_and(|wake| wake.0 <= self.now) {
                self.feed(Event::Tick);
            }
        }
    }

    /// Whether the scheduler would ask for a tick at once again and again.
    pub(crate) fn spins(&mut self) -> bool {
        self.feed(Event::Tick);
        self.scheduler.wake().is_some_and(|wake| wake.0 <= self.now)
    }

    /// Fails with what the workers saw go wrong.
    pub(crate) fn check(&self) {
        assert_eq!(self.workers.violations, Vec::<String>::new());
    }

    fn feed(&mut self, event: Event) {
        for action in self.scheduler.on(Millis(self.now), event) {
            match action {
                Action::Append(append) => self.after(COMMIT / 2, Delivery::Store(self.term, append)),
                Action::Steps(action) => self.perform(action),
                Action::Log(_) | Action::StepDown => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    fn after(&mut self, span: u64, delivery: Delivery) {
        self.sent += 1;
        self.queue.insert((self.now + span, self.sent), delivery);
    }

    fn perform(&mut self, action: StepsAction) {
        match action {
            StepsAction::Reply { token, answer } => {
                self.answers.insert(token, answer);
            }
            StepsAction::Log(_) => {}
            StepsAction::Start { ref target, .. }
            | StepsAction::Stop { ref target, .. }
            | StepsAction::Hold { ref target, .. } => {
                match action {
                    StepsAction::Hold { .. } => self.holds += 1,
                    StepsAction::Start { .. } => self.orders += 1,
                    _ => {}
                }
                if self.cut.contains(&target.worker) {
                    let event = outcome(&action, None);
                    let event = Delivery::Event(self.term, Box::new(Event::Steps(event)));
                    self.after(TIMEOUT, event);
                } else {
                    let until = self.now + HOP;
                    self.after(HOP, Delivery::Order(action, until));
                }
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Order(action, since) => self.order(action, since),
            Delivery::Event(term, event) if term == self.term => self.feed(*event),
            Delivery::Event(..) => {}
            Delivery::Store(term, action) => self.store(term, action),
        }
    }

    fn order(&mut self, action: StepsAction, since: u64) {
        let now = Millis(self.now);
        let reply = match &action {
            StepsAction::Start { target, order } => {
                Reply::Order(self.workers.start(now, &target.worker, target.incarnation, order))
            }
            StepsAction::Stop {
                target,
                task,
                run,
                term,
            } => Reply::Order(
                self.workers
                    .stop(now, &target.worker, target.incarnation, (*task, *run), *term),
            ),
            StepsAction::Hold { target, order } => {
                let lists = self.workers.hold(now, &target.worker, target.incarnation, order);
                let waits = lists.as_ref().is_ok_and(|lists| lists.finished.is_empty());
                if waits && self.now < since + order.wait.0 {
                    return self.after(STEP, Delivery::Order(action, since));
                }
                Reply::Lists(lists)
            }
            StepsAction::Reply { .. } | StepsAction::Log(_) => return,
        };
        let mute = self.mute.contains(&target_of(&action).worker);
        let event = outcome(&action, (!mute).then_some(reply));
        let event = Delivery::Event(self.term_of(&action), Box::new(Event::Steps(event)));
        self.after(if mute { TIMEOUT } else { HOP }, event);
    }

    fn term_of(&self, action: &StepsAction) -> Term {
        match action {
            StepsAction::Start { order, .. } => order.term,
            StepsAction::Stop { term, .. } => *term,
            StepsAction::Hold { order, .. } => order.term,
            StepsAction::Reply { .. } | StepsAction::Log(_) => self.term,
        }
    }

    fn store(&mut self, term: Term, action: AppendAction) {
        let event = match action {
            AppendAction::Commit { seq, .. } if self.store_down => AppendEvent::Unknown(seq),
            AppendAction::Commit { seq, .. } if term != self.term => AppendEvent::Conflict(seq),
            AppendAction::Commit { seq, transaction } => {
                if let Some(value) = transaction.writes.into_iter().find_map(|write| write.value) {
                    self.rows.push((seq, value));
                }
                AppendEvent::Committed(seq)
            }
            AppendAction::ReadBack { seq, .. } if self.store_down => AppendEvent::Unread(seq),
            AppendAction::ReadBack { seq, .. } => {
                let row = self.rows.iter().find(|(row, _)| *row == seq);
                AppendEvent::Row(seq, row.map(|(_, value)| value.clone()))
            }
            other => panic!("unexpected {other:?}"),
        };
        self.after(COMMIT / 2, Delivery::Event(term, Box::new(Event::Stored(event))));
    }
}

enum Reply {
    Order(OrderReply),
    Lists(Result<pistachiostair::HoldReply, OrderReply>),
}

fn target_of(action: &StepsAction) -> &Target {
    match action {
        StepsAction::Start { target, .. } | StepsAction::Stop { target, .. } | StepsAction::Hold { target, .. } => {
            target
        }
        StepsAction::Reply { .. } | StepsAction::Log(_) => panic!("{action:?} has no target"),
    }
}

/// The event for the outcome of an order; nothing if there was no answer.
fn outcome(action: &StepsAction, reply: Option<Reply>) -> StepsEvent {
    let order_reply = |reply: Option<Reply>| match reply {
        Some(Reply::Order(reply)) => reply,
        _ => OrderReply::Unanswered,
    };
    let target = target_of(action).clone();
    match action {
        StepsAction::Start { order, .. } => StepsEvent::Started {
            target,
            task: order.task,
            run: order.run,
            reply: order_reply(reply),
        },
        StepsAction::Stop { task, run, .. } => StepsEvent::Stopped {
            target,
            task: *task,
            run: *run,
            reply: order_reply(reply),
        },
        StepsAction::Hold { order, .. } => StepsEvent::Held {
            target,
            ack: order.ack,
            long_poll: order.wait > Millis::ZERO,
            reply: match reply {
                Some(Reply::Lists(lists)) => lists,
                _ => Err(OrderReply::Unanswered),
            },
        },
        StepsAction::Reply { .. } | StepsAction::Log(_) => panic!("{action:?} has no outcome"),
    }
}

/// Name of a worker.
pub(crate) fn worker(number: usize) -> WorkerName {
    WorkerName::from(format!("w{number:02}"))
}

/// A job of one step.
pub(crate) fn job(key: u64, queue: &str, count: u32, accelerators: u64, work: u64) -> StepJob {
    StepJob {
        key: JobKey(key),
        account: AccountName::from("court"),
        queue: QueueName::from(queue),
        terms: Terms::default(),
        payload: format!("work={work} gpu={accelerators}"),
        steps: vec![Step {
            count,
            demand: Demand {
                accelerators,
                ..Demand::default()
            },
            estimate: Millis(work),
            ..Step::default()
        }],
        recurrence: None,
    }
}

/// A job of one gang.
pub(crate) fn gang(key: u64, queue: &str, count: u32, accelerators: u64, work: u64) -> StepJob {
    let mut job = job(key, queue, count, accelerators, work);
    job.steps[0].gang = true;
    job.payload = format!("{} gang={count}", job.payload);
    job
}
