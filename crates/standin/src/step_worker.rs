//! Workers that run the tasks of steps, without I/O: leases, fencing, gangs, checkpoints and listed ends.
//!
//! The text of a job tells what its tasks do, as in `work=2000 gang=3 fails=1 gpu=4`.
//!
//! `lasts=1` says that the tasks are long-running: they start again after they have ended as done.
//!
//! `startup=500` lets a task report to be at work, with 100 percent, 500 milliseconds after its start. It makes no
//! checkpoints.
//!
//! `vary=25` lets the work of each task differ from `work` by up to 25%, the same in each of its runs.
//!
//! `deadly=2` lets the second task of each step (that with index 1) crash each worker that starts it, `deadly=all` lets
//! every task do so: `crash_after=1500` milliseconds after the start, or without it before the start is answered.

use std::collections::BTreeMap;

use pistachiostair::{
    Demand, HoldOrder, HoldReply, Incarnation, Millis, OrderReply, RunEnd, RunOutcome, RunReport, StartOrder, TaskKey,
    Term, WorkerName,
};

/// Longest lease that a worker grants.
const MAX_LEASE: Millis = Millis(10_000);
/// Lease that the scheduler grants, from when it sends an order.
const LEASE: Millis = Millis(8_000);
/// Time that a member of a gang waits for the others.
const GANG_WAIT: Millis = Millis(3_000);
/// Time that a stop takes.
const STOP_TIME: Millis = Millis(100);
/// Most ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// Work after which a checkpoint is made.
const CHECKPOINT: Millis = Millis(1_000);

/// The tasks of a step that crash each worker that starts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deadly {
    /// No task.
    #[default]
    Never,
    /// The task with this index.
    One(u32),
    /// Every task.
    All,
}

/// What the tasks of a job do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskPlan {
    /// Duration.
    pub work: Millis,
    /// Most by which the duration of a task differs from that, in percent.
    pub vary: u64,
    /// Members of the gang; 0 if each task works alone.
    pub gang: u32,
    /// The first runs that fail.
    pub fails: u32,
    /// What a task takes.
    pub demand: Demand,
    /// Whether the tasks are long-running.
    pub lasts: bool,
    /// Work after which a task reports 100 percent; all of it if zero.
    pub startup: Millis,
    /// Tasks that crash their worker.
    pub deadly: Deadly,
    /// Time from the start of such a task to the crash.
    pub crash_after: Millis,
}

impl TaskPlan {
    /// Parses the text of a job; what is missing or can't be read counts as zero.
    pub fn parse(text: &str) -> Self {
        let value = |name: &str| {
            text.split_whitespace()
                .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        };
        let field = |name: &str| value(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
        Self {
            work: Millis(field("work")),
            vary: field("vary").min(99),
            gang: field("gang") as u32,
            fails: field("fails") as u32,
            demand: Demand {
                millicores: field("cpu"),
                memory: field("mem"),
                accelerators: field("gpu"),
            },
            lasts: field("lasts") > 0,
            startup: Millis(field("startup")),
            deadly: match value("deadly") {
                Some("all") => Deadly::All,
                _ => (field("deadly") as u32)
                    .checked_sub(1)
                    .map_or(Deadly::Never, Deadly::One),
            },
            crash_after: Millis(field("crash_after")),
        }
    }

    /// The work of a task, drawn from its identity.
    fn work_of(&self, task: &TaskKey) -> Millis {
        let [occurrence, step, index] = [task.occurrence, task.step, task.index].map(u64::from);
        let seed = [task.job.0, occurrence, step, index]
            .into_iter()
            .fold(0, |seed: u64, part| {
                seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(part + 1)
            });
        let percent = 100 - self.vary + fastrand::Rng::with_seed(seed).u64(0..=2 * self.vary);
        Millis(self.work.0 * percent / 100)
    }

    /// Whether run `run` must not start after run `done` has ended as done, or go on beside that.
    fn is_barred(&self, run: u32, done: u32) -> bool {
        !self.lasts || run <= done
    }

    /// Whether the task with this index crashes its worker.
    pub fn is_deadly(&self, index: u32) -> bool {
        match self.deadly {
            Deadly::Never => false,
            Deadly::One(deadly) => deadly == index,
            Deadly::All => true,
        }
    }
}

/// A crash of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// When it happened.
    pub at: Millis,
    /// The worker.
    pub worker: WorkerName,
    /// The task that caused it; none if it had another cause.
    pub culprit: Option<TaskKey>,
    /// Tasks that ran there, the culprit among them.
    pub tasks: Vec<TaskKey>,
}

/// A crashed worker that is, or will be, back as a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReturn {
    /// When it is back.
    pub at: Millis,
    /// Its name before the crash.
    pub before: WorkerName,
    /// Its name.
    pub name: WorkerName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    capacity: Demand,
}

#[derive(Clone, Debug)]
struct Running {
    run: u32,
    plan: TaskPlan,
    since: Millis,
    worked: Millis,
    saved: Millis,
    stops: Option<Millis>,
}

impl Running {
    fn is_finished(&self) -> bool {
        self.worked >= self.plan.work
    }

    fn percent(&self) -> u32 {
        let whole = match self.plan.startup {
            Millis::ZERO => self.plan.work,
            startup => startup,
        };
        (self.worked.0 * 100 / whole.0.max(1)).min(100) as u32
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub struct StepWorker {
    incarnation: Incarnation,
    capacity: Demand,
    /// Capacities that it had before, and until when each still counts.
    earlier: Vec<(Millis, Demand)>,
    /// When it started; its clock counts from then.
    started: Millis,
    /// What its clock showed at its start.
    offset: Millis,
    /// Since when its clock has been 2% slow; none if it is exact.
    slow_since: Option<Millis>,
    token: Term,
    deadline: Millis,
    tasks: BTreeMap<TaskKey, Running>,
    /// Highest run of each task that was stopped or ended here.
    barred: BTreeMap<TaskKey, u32>,
    ends: Vec<RunEnd>,
    next: u64,
    /// Ends with lower numbers were listed when the lease lapsed; taking note of them later does not count.
    lapsed: u64,
}

/// All workers of a region, and what they saw go wrong.
#[derive(Clone, Debug, Default)]
pub struct StepWorkers {
    workers: BTreeMap<WorkerName, StepWorker>,
    /// Speeds of workers in percent; those that are not named have 100.
    pub paces: BTreeMap<WorkerName, u64>,
    /// Time that a stop takes, if not [`STOP_TIME`].
    pub stop_time: Option<Millis>,
    /// Workers on which each run fails, and the time after its start at which it does.
    pub bad: BTreeMap<WorkerName, Millis>,
    /// Whether workers start what does not fit; such a start is a violation.
    pub unguarded: bool,
    /// Tasks whose end as done was acknowledged, with the highest run that ended so.
    noted: BTreeMap<TaskKey, u32>,
    /// The highest run of each task that was started, without those of long-running tasks.
    started: BTreeMap<TaskKey, u32>,
    /// Starts that were carried out.
    pub starts: u32,
    /// Orders to start that did not fit.
    pub refused: u32,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Starts and ends of runs in their order, with the run's number and, for an end, how it ended.
    pub log: Vec<(Millis, TaskKey, u32, Option<RunOutcome>)>,
    /// The same starts: when the scheduler sent the order, as far as its lease tells, when it arrived, and the worker. The
    /// first time may be too early, but not too late.
    pub orders: Vec<(Millis, Millis, WorkerName)>,
    /// Time after which a crashed worker is back; none if it stays away.
    pub downtime: Option<Millis>,
    /// Whether a worker that is back has a new name.
    pub renames: bool,
    /// Crashes in their order.
    pub crashes: Vec<Crash>,
    /// Workers that are down and will be back.
    down: Vec<WorkerReturn>,
    /// Workers that are back, for [`Self::take_returns`].
    returned: Vec<WorkerReturn>,
}

impl StepWorker {
    fn new(incarnation: Incarnation, capacity: Demand, now: Millis) -> Self {
        Self {
            incarnation,
            capacity,
            earlier: Vec::new(),
            started: now,
            offset: Millis(incarnation.0 * 1_000),
            slow_since: None,
            token: Term(0),
            deadline: Millis::ZERO,
            tasks: BTreeMap::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next: 1,
            lapsed: 0,
        }
    }

    fn clock(&self, now: Millis) -> Millis {
        let behind = self.slow_since.map_or(0, |since| now.since(since).0 * 2 / 100);
        now - self.started + self.offset - Millis(behind)
    }

    fn used(&self) -> Demand {
        let demands = self.tasks.values().map(|running| running.plan.demand);
        demands.fold(Demand::default(), |sum, demand| sum.plus(&demand))
    }

    /// Whether a task exceeds the capacity beside what runs and what is being stopped.
    fn exceeds(&self, now: Millis, demand: &Demand) -> bool {
        let used = self.used().plus(demand);
        let counted = self.earlier.iter().filter(|(until, _)| *until > now);
        let mut capacities = counted.map(|(_, capacity)| capacity).chain([&self.capacity]);
        !capacities.any(|capacity| used.fits(capacity))
    }

    fn extend(&mut self, now: Millis, deadline: Millis) {
        let longest = self.clock(now) + MAX_LEASE;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    fn end(&mut self, task: TaskKey, fate: RunOutcome) -> Option<u32> {
        let running = self.tasks.remove(&task)?;
        self.barred.insert(task, running.run);
        let saved = if running.saved > Millis::ZERO && fate != RunOutcome::Done {
            running.saved.0.to_string()
        } else {
            String::new()
        };
        self.ends.push(RunEnd {
            number: self.next,
            task,
            run: running.run,
            outcome: fate,
            checkpoint: saved,
        });
        self.next += 1;
        Some(running.run)
    }
}

impl StepWorkers {
    /// Adds a worker, or starts one anew: nothing runs there and it has seen no term.
    pub fn start_worker(&mut self, name: &WorkerName, incarnation: Incarnation, capacity: Demand, now: Millis) {
        self.workers
            .insert(name.clone(), StepWorker::new(incarnation, capacity, now));
    }

    /// Changes the capacity of a worker. What runs there stays; the earlier capacity counts until `until` for starts that
    /// exceed the new one.
    pub fn resize(&mut self, name: &WorkerName, capacity: Demand, until: Millis) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.earlier.push((until, worker.capacity));
            worker.capacity = capacity;
        }
    }

    /// Lets the clock of a worker be 2% slow from now on.
    pub fn slow_clock(&mut self, name: &WorkerName, now: Millis) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.slow_since = Some(now);
        }
    }

    /// Ends a worker with all that runs there.
    pub fn crash(&mut self, name: &WorkerName) {
        self.workers.remove(name);
    }

    /// Crashes a worker, which is back after [`Self::downtime`]. Nothing happens if it is down.
    pub fn crash_at(&mut self, now: Millis, name: &WorkerName, culprit: Option<TaskKey>) {
        let Some(worker) = self.workers.remove(name) else {
            return;
        };
        self.crashes.push(Crash {
            at: now,
            worker: name.clone(),
            culprit,
            tasks: worker.tasks.into_keys().collect(),
        });
        let Some(downtime) = self.downtime else {
            return;
        };
        let incarnation = Incarnation(worker.incarnation.0 + 1);
        let place = name.as_str().split('.').next().unwrap_or_default();
        let name_after = match self.renames {
            true => WorkerName::from(format!("{place}.{}", incarnation.0)),
            false => name.clone(),
        };
        self.down.push(WorkerReturn {
            at: now + downtime,
            before: name.clone(),
            name: name_after,
            incarnation,
            capacity: worker.capacity,
        });
    }

    /// Starts the crashed workers whose downtime is over.
    fn return_workers(&mut self, now: Millis) {
        let (due, down): (Vec<_>, Vec<_>) = std::mem::take(&mut self.down)
            .into_iter()
            .partition(|back| back.at <= now);
        self.down = down;
        for back in due {
            self.start_worker(&back.name, back.incarnation, back.capacity, now);
            self.returned.push(back);
        }
    }

    /// Crashes the workers of deadly tasks whose time has come.
    fn crash_due(&mut self, now: Millis) {
        let mut due = Vec::new();
        for (name, worker) in &self.workers {
            let culprit = worker.tasks.iter().find(|(task, running)| {
                running.plan.is_deadly(task.index) && now.since(running.since) >= running.plan.crash_after
            });
            due.extend(culprit.map(|(task, _)| (name.clone(), *task)));
        }
        for (name, culprit) in due {
            self.crash_at(now, &name, Some(culprit));
        }
    }

    /// Workers that came back since the last call.
    pub fn take_returns(&mut self) -> Vec<WorkerReturn> {
        std::mem::take(&mut self.returned)
    }

    /// Names of the workers that are up.
    pub fn names(&self) -> Vec<WorkerName> {
        self.workers.keys().cloned().collect()
    }

    /// Number of starts of a task.
    pub fn starts_of(&self, task: TaskKey) -> usize {
        let log = self.log.iter();
        log.filter(|(_, started, _, end)| *started == task && end.is_none())
            .count()
    }

    /// Number of starts of a task after `count` workers have crashed on which it ran.
    pub fn starts_after(&self, task: TaskKey, count: usize) -> usize {
        let mut crashes = self.crashes.iter().filter(|crash| crash.tasks.contains(&task));
        let Some(last) = crashes.nth(count - 1) else {
            return 0;
        };
        let log = self.log.iter();
        log.filter(|(at, started, _, end)| *started == task && end.is_none() && *at > last.at)
            .count()
    }

    /// Crashes of workers on which a task ran, whatever their cause.
    pub fn crashes_under(&self, task: TaskKey) -> usize {
        self.crashes.iter().filter(|crash| crash.tasks.contains(&task)).count()
    }

    /// Crashes of workers that a task caused.
    pub fn crashes_by(&self, task: TaskKey) -> usize {
        self.crashes.iter().filter(|crash| crash.culprit == Some(task)).count()
    }

    /// Its incarnation, if it is up.
    pub fn incarnation(&self, name: &WorkerName) -> Option<Incarnation> {
        self.workers.get(name).map(|worker| worker.incarnation)
    }

    /// Tasks that run anywhere.
    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.tasks.len()).sum()
    }

    /// Tasks of a job that run anywhere.
    pub fn running_of(&self, job: pistachiostair::JobKey) -> usize {
        let tasks = self.workers.values().flat_map(|worker| worker.tasks.keys());
        tasks.filter(|task| task.job == job).count()
    }

    /// Whether a task of a job runs on a worker.
    pub fn runs_job(&self, name: &WorkerName, job: pistachiostair::JobKey) -> bool {
        let worker = self.workers.get(name);
        worker.is_some_and(|worker| worker.tasks.keys().any(|task| task.job == job))
    }

    /// Number of accelerators that run on all workers take.
    pub fn accelerators_in_use(&self) -> u64 {
        let used = self.workers.values().map(|worker| worker.used().accelerators);
        used.sum()
    }

    /// Tasks that run on the worker `name`.
    pub fn running_on(&self, name: &str) -> usize {
        let worker = self.workers.get(&WorkerName::from(name));
        worker.map_or(0, |worker| worker.tasks.len())
    }

    /// Ends that no scheduler has acknowledged.
    pub fn unacknowledged(&self) -> usize {
        self.workers.values().map(|worker| worker.ends.len()).sum()
    }

    /// Carries out an order to start.
    pub fn start(
        &mut self,
        now: Millis,
        name: &WorkerName,
        incarnation: Incarnation,
        order: &StartOrder,
    ) -> OrderReply {
        let elsewhere = self
            .workers
            .iter()
            .any(|(other, worker)| other != name && worker.tasks.contains_key(&order.task));
        let Some(worker) = self.workers.get_mut(name) else {
            return OrderReply::NoListener;
        };
        if worker.incarnation != incarnation {
            return OrderReply::OtherIncarnation;
        }
        if order.term < worker.token {
            return OrderReply::OldTerm;
        }
        worker.token = order.term;
        let clock = worker.clock(now);
        if order.deadline <= clock {
            return OrderReply::Late;
        }
        worker.extend(now, order.deadline);
        if worker
            .tasks
            .get(&order.task)
            .is_some_and(|running| running.run == order.run)
        {
            return OrderReply::Done { clock };
        }
        let barred = worker.barred.get(&order.task).is_some_and(|run| *run >= order.run);
        if barred || worker.tasks.contains_key(&order.task) {
            return OrderReply::OldRun;
        }
        let mut plan = TaskPlan::parse(&order.payload);
        plan.work = plan.work_of(&order.task);
        if self.unguarded {
            if worker.exceeds(now, &plan.demand) {
                let violation = format!("{} exceeds the capacity of {}", order.task, name.as_str());
                self.violations.push(violation);
            }
        } else if !worker.used().plus(&plan.demand).fits(&worker.capacity) {
            self.refused += 1;
            return OrderReply::NoRoom;
        }
        self.starts += 1;
        self.log.push((now, order.task, order.run, None));
        let age = LEASE.since(order.deadline.since(clock));
        self.orders.push((now.since(age), now, name.clone()));
        if elsewhere {
            self.violations
                .push(format!("{} runs twice at the same time", order.task));
        }
        if self
            .noted
            .get(&order.task)
            .is_some_and(|run| plan.is_barred(order.run, *run))
        {
            self.violations.push(format!("{} starts after it was done", order.task));
        }
        if !plan.lasts {
            self.started.insert(order.task, order.run);
        }
        let worked = Millis(order.checkpoint.parse().unwrap_or(0));
        let running = Running {
            run: order.run,
            plan,
            since: now,
            worked,
            saved: worked,
            stops: None,
        };
        let crashes = running.plan.is_deadly(order.task.index) && running.plan.crash_after == Millis::ZERO;
        worker.tasks.insert(order.task, running);
        if crashes {
            self.crash_at(now, name, Some(order.task));
            return OrderReply::Unanswered;
        }
        OrderReply::Done { clock }
    }

    /// Carries out an order to stop.
    pub fn stop(
        &mut self,
        now: Millis,
        name: &WorkerName,
        incarnation: Incarnation,
        (task, run): (TaskKey, u32),
        term: Term,
    ) -> OrderReply {
        let Some(worker) = self.workers.get_mut(name) else {
            return OrderReply::NoListener;
        };
        if worker.incarnation != incarnation {
            return OrderReply::OtherIncarnation;
        }
        if term < worker.token {
            return OrderReply::OldTerm;
        }
        worker.token = term;
        match worker.tasks.get_mut(&task).filter(|running| running.run == run) {
            Some(running) => {
                running.stops.get_or_insert(now + self.stop_time.unwrap_or(STOP_TIME));
            }
            None => {
                let barred = worker.barred.entry(task).or_default();
                *barred = (*barred).max(run);
            }
        }
        let clock = worker.clock(now);
        OrderReply::Done { clock }
    }

    /// Carries out a hold without waiting.
    ///
    /// # Errors
    ///
    /// What the worker says instead of its lists.
    pub fn hold(
        &mut self,
        now: Millis,
        name: &WorkerName,
        incarnation: Incarnation,
        order: &HoldOrder,
    ) -> Result<HoldReply, OrderReply> {
        let worker = self.workers.get_mut(name).ok_or(OrderReply::NoListener)?;
        if worker.incarnation != incarnation {
            return Err(OrderReply::OtherIncarnation);
        }
        if order.term < worker.token {
            return Err(OrderReply::OldTerm);
        }
        worker.token = order.term;
        if let Some(deadline) = order.deadline {
            worker.extend(now, deadline);
        }
        let noted = worker
            .ends
            .iter()
            .filter(|end| end.number >= worker.lapsed && end.number <= order.ack && end.outcome == RunOutcome::Done);
        let noted: Vec<(TaskKey, u32)> = noted.map(|end| (end.task, end.run)).collect();
        worker.ends.retain(|end| end.number > order.ack);
        let line = |(task, running): (&TaskKey, &Running)| RunReport {
            task: *task,
            run: running.run,
            checkpoint: match running.saved {
                Millis::ZERO => String::new(),
                saved => saved.0.to_string(),
            },
            percent: running.percent(),
        };
        let reply = HoldReply {
            clock: worker.clock(now),
            incarnation: worker.incarnation,
            running: worker.tasks.iter().map(line).collect(),
            finished: worker.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            more_ends: worker.ends.len() > MAX_LISTED_ENDS,
        };
        for (task, run) in noted {
            let mut running = self.workers.values().filter_map(|worker| worker.tasks.get(&task));
            if running.any(|running| running.plan.is_barred(running.run, run)) {
                self.violations
                    .push(format!("{task} runs while its end as done is acknowledged"));
            } else if self.started.get(&task).is_some_and(|later| *later > run) {
                self.violations.push(format!(
                    "{task} was started again, and its earlier end as done is acknowledged"
                ));
            }
            let noted = self.noted.entry(task).or_default();
            *noted = run.max(*noted);
        }
        Ok(reply)
    }

    /// Lets all tasks work until `now`, for `span` since the last call.
    pub fn advance(&mut self, now: Millis, span: Millis) {
        self.return_workers(now);
        self.lapse(now);
        self.crash_due(now);
        let present = self.members(|_| true);
        let finished = self.members(Running::is_finished);
        let mut ends = Vec::new();
        for (name, worker) in &mut self.workers {
            let pace = self.paces.get(name).copied().unwrap_or(100);
            for (task, running) in &mut worker.tasks {
                let gang = gang_of(task, running.run);
                let whole = |members: &BTreeMap<GangRun, u32>| {
                    running.plan.gang == 0 || members.get(&gang).is_some_and(|count| *count >= running.plan.gang)
                };
                let (complete, all_finished) = (whole(&present), whole(&finished));
                if running.stops.is_some_and(|at| at <= now) {
                    ends.push((name.clone(), *task, RunOutcome::Stopped));
                } else if self
                    .bad
                    .get(name)
                    .is_some_and(|after| now.since(running.since) >= *after)
                {
                    ends.push((name.clone(), *task, RunOutcome::Failed));
                } else if !complete {
                    if now.since(running.since) >= GANG_WAIT && running.worked == running.saved {
                        ends.push((name.clone(), *task, RunOutcome::Alone));
                    }
                } else {
                    // A member of a gang that has finished waits for the others.
                    if !running.is_finished() {
                        running.worked += Millis(span.0 * pace / 100);
                    }
                    let checkpoints = running.plan.startup == Millis::ZERO;
                    if checkpoints && running.worked.since(running.saved) >= CHECKPOINT {
                        running.saved = running.worked;
                    }
                    if running.is_finished() && all_finished {
                        let fails = running.run <= running.plan.fails;
                        ends.push((
                            name.clone(),
                            *task,
                            if fails { RunOutcome::Failed } else { RunOutcome::Done },
                        ));
                    }
                }
            }
        }
        for (name, task, fate) in ends {
            self.end(now, &name, task, fate);
        }
    }

    fn lapse(&mut self, now: Millis) {
        let mut lapsed = Vec::new();
        for (name, worker) in &mut self.workers {
            if worker.clock(now) >= worker.deadline {
                worker.lapsed = worker.next;
                lapsed.extend(worker.tasks.keys().map(|task| (name.clone(), *task)));
            }
        }
        for (name, task) in lapsed {
            self.end(now, &name, task, RunOutcome::Lapsed);
        }
    }

    /// Members of each gang's run that are there and of which `counts` holds.
    fn members(&self, counts: impl Fn(&Running) -> bool) -> BTreeMap<GangRun, u32> {
        let mut members = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for (task, running) in tasks.filter(|(_, running)| counts(running)) {
            *members.entry(gang_of(task, running.run)).or_default() += 1;
        }
        members
    }

    /// Ends a task; the other members of its gang end with it.
    fn end(&mut self, now: Millis, name: &WorkerName, task: TaskKey, fate: RunOutcome) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some(running) = worker.tasks.get(&task).cloned() else {
            return;
        };
        if let Some(run) = worker.end(task, fate) {
            self.log.push((now, task, run, Some(fate)));
        }
        if running.plan.gang == 0 {
            return;
        }
        let gang = gang_of(&task, running.run);
        let others = if fate == RunOutcome::Done {
            RunOutcome::Done
        } else {
            RunOutcome::Broken
        };
        for worker in self.workers.values_mut() {
            let members = worker
                .tasks
                .iter()
                .filter(|(task, running)| gang_of(task, running.run) == gang);
            let members: Vec<TaskKey> = members.map(|(task, _)| *task).collect();
            for member in members {
                if let Some(run) = worker.end(member, others) {
                    self.log.push((now, member, run, Some(others)));
                }
            }
        }
    }
}

/// Job, occurrence, step and run.
type GangRun = (pistachiostair::JobKey, u32, u32, u32);

fn gang_of(task: &TaskKey, run: u32) -> GangRun {
    (task.job, task.occurrence, task.step, run)
}
