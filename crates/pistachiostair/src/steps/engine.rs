//! State of the scheduler of steps under one term, and what it reacts to.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{Incarnation, Term, WorkerName};
use crate::record;
use crate::scheduler::Token;
use crate::steps::calls::{StepAnswer, StepCall};
use crate::steps::host::{Host, HostUpdate, RunKey};
use crate::steps::job_table::{JobEntry, StepJobTable};
use crate::steps::outcome::RunOutcome;
use crate::steps::progress::RunProgress;
use crate::steps::queue::{StepKey, WaitingStep};
use crate::steps::record::StepRecord;
use crate::steps::reservation::Reservation;
use crate::steps::rules::Rules;
use crate::steps::spec::{Demand, JobKey, QueueSettings, Step, StepJobPhase, TaskKey};
use crate::steps::straggler::DurationsByStep;

/// For how long the scheduler of an earlier term may have gone on renewing leases after its own lease ended: the
/// length of outages of the store that running work survives.
pub(crate) const RENEWAL_GRACE: Millis = Millis(2_000);

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum StepsEvent {
    /// A caller's request.
    Call {
        /// Number for the answer.
        token: Token,
        /// The request.
        call: StepCall,
    },
    /// News of the platform's list of workers.
    Hosts(HostUpdate),
    /// The configuration in force changed.
    Rules(Rules),
    /// Outcome of [`StepsAction::Start`].
    Started {
        /// The worker.
        target: Target,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// The answer.
        reply: OrderReply,
    },
    /// Outcome of [`StepsAction::Stop`].
    Stopped {
        /// The worker.
        target: Target,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// The answer.
        reply: OrderReply,
    },
    /// Outcome of [`StepsAction::Hold`].
    Held {
        /// The worker.
        target: Target,
        /// The acknowledgement that was sent.
        ack: u64,
        /// Whether it could wait for an end.
        long_poll: bool,
        /// The lists, or what came instead.
        reply: Result<HoldReply, OrderReply>,
    },
}

/// A worker's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Carried out, now or earlier.
    Done {
        /// The worker's own clock.
        clock: Millis,
    },
    /// The worker has seen a newer term.
    OldTerm,
    /// A run with this number or a higher one was stopped or has ended there.
    OldRun,
    /// The lease of the order had ended when it arrived.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The worker is another incarnation.
    OtherIncarnation,
    /// The worker is not healthy and did nothing.
    Unhealthy,
    /// The worker can't make sense of the order.
    Invalid {
        /// What it said.
        reason: String,
    },
    /// Nothing was sent.
    Undelivered,
    /// No answer: the order may have been carried out, or may be later.
    Unanswered,
}

record! {
    /// A run in a worker's list.
    pub struct RunReport {
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: u32,
        /// Its newest checkpoint; empty if there is none.
        #[serde(rename = "saved")]
        pub checkpoint: String,
        /// Progress or share of the processor, in percent.
        pub percent: u32,
    }
}

record! {
    /// An end in a worker's list.
    pub struct RunEnd {
        /// Number of the end in this incarnation, counted from 1.
        pub number: u64,
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: u32,
        /// How it ended.
        #[serde(rename = "fate")]
        pub outcome: RunOutcome,
        /// Its newest checkpoint; empty if there is none.
        #[serde(rename = "saved")]
        pub checkpoint: String,
    }
}

record! {
    /// A worker's lists.
    pub struct HoldReply {
        /// The worker's own clock.
        pub clock: Millis,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// What runs there.
        pub running: Vec<RunReport>,
        /// Ends that are not acknowledged.
        pub finished: Vec<RunEnd>,
    }
}

record! {
    /// An order to renew the lease of a worker's runs and to tell its lists.
    #[derive(Copy)]
    pub struct HoldOrder {
        /// Term of the scheduler.
        pub term: Term,
        /// Ends up to this one are stored.
        pub ack: u64,
        /// End of the lease on the worker's clock; none to leave it.
        pub deadline: Option<Millis>,
        /// Longest wait for an end.
        pub wait: Millis,
    }
}

record! {
    /// An order to start a run.
    pub struct StartOrder {
        /// The task.
        pub task: TaskKey,
        /// The run.
        pub run: u32,
        /// Text for the task.
        pub payload: String,
        /// End of the lease, on the worker's clock.
        pub deadline: Millis,
        /// Term of the scheduler.
        pub term: Term,
        /// Checkpoint to resume from; empty to start anew.
        #[serde(rename = "saved")]
        pub checkpoint: String,
    }
}

record! {
    /// The worker that an order is meant for.
    pub struct Target {
        /// The worker.
        pub worker: WorkerName,
        /// Its incarnation; another one must not carry the order out.
        pub incarnation: Incarnation,
        /// Its address, `ip:port`.
        pub address: String,
    }
}

/// What must be done.
#[derive(Clone, Debug, PartialEq)]
pub enum StepsAction {
    /// Answer a call.
    Reply {
        /// Number of the call.
        token: Token,
        /// The answer.
        answer: StepAnswer,
    },
    /// Start a run.
    Start {
        /// The worker.
        target: Target,
        /// The order.
        order: StartOrder,
    },
    /// Stop a run; one that is not there can no longer start.
    Stop {
        /// The worker.
        target: Target,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// Term of the scheduler.
        term: Term,
    },
    /// Renew the lease of all that runs on a worker and read its lists.
    Hold {
        /// The worker.
        target: Target,
        /// What to renew and to wait for.
        order: HoldOrder,
    },
    /// A line for the log.
    Log(StepsLog),
}

/// One decision or change, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepsLog {
    /// What happened, such as `placed`.
    pub what: &'static str,
    /// The job.
    pub job: Option<JobKey>,
    /// The task.
    pub task: Option<(TaskKey, u32)>,
    /// The worker.
    pub worker: Option<WorkerName>,
    /// Inputs and reason.
    pub reason: String,
}

/// What the scheduler of steps reads besides its own state.
pub(crate) struct Context<'a> {
    pub(crate) now: Millis,
    /// Milliseconds since the Unix epoch.
    pub(crate) wall: Millis,
    /// Whether the lease of the scheduler is held.
    pub(crate) lease_held: bool,
    /// Whether the store has not confirmed a row for some time.
    pub(crate) store_stalled: bool,
    /// When the lease of the scheduler was last known to be held.
    pub(crate) last_held: Millis,
    pub(crate) book: &'a StepJobTable,
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStopReason {
    JobEnded,
    GangBroken,
    Reclaimed,
    WorkerLeaves,
    Unanswered,
    Straggler,
}

impl RunStopReason {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::JobEnded => "the job has ended",
            Self::GangBroken => "another member of the gang ended or did not start",
            Self::Reclaimed => "its room goes to work with a guarantee",
            Self::WorkerLeaves => "the worker leaves",
            Self::Unanswered => "the worker did not answer the start",
            Self::Straggler => "it lags behind others of its step",
        }
    }
}

/// A run that is being stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunStop {
    /// When the order was sent last.
    pub(crate) sent_at: Option<Millis>,
    /// The worker's clock when it confirmed the order.
    pub(crate) confirmed_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The record of its start is being committed.
    Planned,
    /// The order to start was sent.
    Ordered,
    /// The worker has confirmed it.
    Live,
    /// The record of its end is being committed.
    Ended,
}

/// How a run began, as far as this term knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOrigin {
    Fresh,
    Checkpoint,
    /// Under an earlier term.
    Adopted,
}

#[derive(Clone, Debug)]
pub(crate) struct TaskRun {
    pub(crate) worker: WorkerName,
    pub(crate) incarnation: Incarnation,
    pub(crate) demand: Demand,
    pub(crate) phase: RunPhase,
    /// When it was placed, then when the worker first confirmed it.
    pub(crate) since: Millis,
    /// Orders to start that were sent, and when the last one was.
    pub(crate) sends: u32,
    pub(crate) sent: Millis,
    /// The worker's clock when it last confirmed the run.
    pub(crate) seen: Option<Millis>,
    pub(crate) checkpoint: String,
    pub(crate) origin: RunOrigin,
    pub(crate) progress: Option<RunProgress>,
    pub(crate) stop: Option<RunStop>,
}

/// The scheduler of steps under one term.
#[derive(Clone, Debug)]
pub struct StepScheduler {
    pub(crate) term: Term,
    pub(crate) rules: Rules,
    /// Whether the list of workers is known.
    pub(crate) workers_known: bool,
    pub(crate) hosts: BTreeMap<WorkerName, Host>,
    pub(crate) runs: BTreeMap<RunKey, TaskRun>,
    /// Steps with tasks that can be placed.
    pub(crate) waiting: BTreeMap<StepKey, WaitingStep>,
    /// Room that is kept for steps with a guarantee until others have left it.
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// What the runs of open steps have shown of their speed.
    pub(crate) durations: DurationsByStep,
    /// Occurrences that are due later, by wall clock.
    pub(crate) due: BTreeSet<(Millis, JobKey)>,
    /// Jobs that have ended under this term or whose end is being committed.
    pub(crate) closed: BTreeSet<JobKey>,
    pub(crate) forgetting: BTreeSet<JobKey>,
    pub(crate) accepting: BTreeMap<JobKey, Vec<Token>>,
    pub(crate) cancelling: BTreeMap<JobKey, Vec<Token>>,
    /// Workers whose hold may be due.
    pub(crate) touched: BTreeSet<WorkerName>,
    /// Whether something changed that placement depends on.
    pub(crate) replan: bool,
    /// A worker has seen a newer term.
    pub(crate) outdated: bool,
    pub(crate) records: Vec<StepRecord>,
    pub(crate) actions: Vec<StepsAction>,
}

impl StepScheduler {
    /// Takes over what the journal has. A run may be alive until its worker's lists were read, or until every lease
    /// that an earlier scheduler may have given has ended.
    pub(crate) fn adopt(term: Term, cx: &Context<'_>) -> Self {
        let mut steps = Self {
            term,
            rules: Rules::default(),
            workers_known: false,
            hosts: BTreeMap::new(),
            runs: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reservations: BTreeMap::new(),
            durations: DurationsByStep::new(),
            due: BTreeSet::new(),
            closed: BTreeSet::new(),
            forgetting: BTreeSet::new(),
            accepting: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            touched: BTreeSet::new(),
            replan: true,
            outdated: false,
            records: Vec::new(),
            actions: Vec::new(),
        };
        for entry in cx.book.jobs() {
            steps.adopt_runs(cx, entry);
        }
        for entry in cx.book.jobs().filter(|entry| !entry.phase.is_final()) {
            steps.refresh_job(cx, entry.spec.key);
        }
        steps
    }

    fn adopt_runs(&mut self, cx: &Context<'_>, entry: &JobEntry) {
        let expiry = cx.now + RENEWAL_GRACE + Host::max_lease();
        for (task, placed) in entry.placed_runs() {
            let Some(step) = entry.spec.steps.get(task.step as usize) else {
                continue;
            };
            let run = TaskRun {
                worker: placed.worker.clone(),
                incarnation: placed.incarnation,
                demand: step.demand,
                phase: RunPhase::Live,
                since: cx.now,
                sends: 1,
                sent: cx.now,
                seen: Some(Millis::ZERO),
                checkpoint: String::new(),
                origin: RunOrigin::Adopted,
                progress: None,
                stop: None,
            };
            let host = self.hosts.entry(placed.worker.clone());
            let host = host.or_insert_with(|| Host::new(placed.incarnation, expiry));
            host.used = host.used.plus(&step.demand);
            host.runs.insert((task, placed.run));
            self.runs.insert((task, placed.run), run);
        }
    }

    /// Takes note of an event.
    pub(crate) fn handle(&mut self, cx: &Context<'_>, event: StepsEvent) {
        match event {
            StepsEvent::Call { token, call } => self.handle_call(cx, token, call),
            StepsEvent::Hosts(update) => self.update_hosts(cx, update),
            StepsEvent::Rules(rules) => {
                self.rules = rules;
                self.replan = true;
            }
            StepsEvent::Started {
                target,
                task,
                run,
                reply,
            } => self.handle_start_reply(cx, &target, (task, run), reply),
            StepsEvent::Stopped {
                target,
                task,
                run,
                reply,
            } => self.handle_stop_reply(cx, &target, (task, run), &reply),
            StepsEvent::Held {
                target,
                ack,
                long_poll,
                reply,
            } => self.handle_hold_reply(cx, &target, (ack, long_poll), reply),
        }
    }

    /// Acts on a record that is durable now; the book has it already.
    pub(crate) fn committed(&mut self, cx: &Context<'_>, record: &StepRecord) {
        match record {
            StepRecord::Accepted { job } => {
                for (place, token) in self
                    .accepting
                    .remove(&job.key)
                    .unwrap_or_default()
                    .into_iter()
                    .enumerate()
                {
                    self.reply(token, StepAnswer::Accepted { created: place == 0 });
                }
                self.log_job(
                    "accepted",
                    job.key,
                    format!("queue {}, account {}", job.queue, job.account),
                );
                self.refresh_job(cx, job.key);
            }
            StepRecord::Started { starts } => {
                for start in starts {
                    self.send_start(cx, (start.task, start.run));
                }
            }
            StepRecord::Ended { task, run, .. } => {
                self.remove_run((*task, *run));
                self.after_end(cx, task.job);
            }
            StepRecord::Cancelled { job } => {
                for token in self.cancelling.remove(job).unwrap_or_default() {
                    self.reply(token, StepAnswer::Cancelled);
                }
                self.log_job("cancelled", *job, "by a caller".to_owned());
                self.after_end(cx, *job);
            }
            StepRecord::Exhausted { job } => {
                self.log_job("failed", *job, "a task or a gang used up its attempts".to_owned());
                self.after_end(cx, *job);
            }
            StepRecord::Forgotten { jobs } => {
                for job in jobs {
                    self.forgetting.remove(job);
                    self.closed.remove(job);
                }
            }
        }
    }

    /// Follows up on a job of which a run or the whole ended.
    fn after_end(&mut self, cx: &Context<'_>, job: JobKey) {
        let phase = cx.book.job(job).map(|entry| entry.phase);
        match phase {
            // Other members of the gang end by themselves.
            Some(StepJobPhase::Completed) if self.closed.insert(job) => {
                self.log_job("completed", job, "all tasks are done".to_owned());
            }
            Some(StepJobPhase::Failed | StepJobPhase::Cancelled) => {
                let runs: Vec<RunKey> = self.runs_of(job).collect();
                for run in runs {
                    self.stop_run(cx, run, RunStopReason::JobEnded);
                }
            }
            _ => {}
        }
        self.refresh_job(cx, job);
        self.replan = true;
    }

    /// The terms of a job's queue: those in force, or those of its acceptance once the queue is gone.
    pub(crate) fn terms<'a>(&'a self, entry: &'a JobEntry) -> &'a QueueSettings {
        let queue = self.rules.queues.get(&entry.spec.queue);
        queue.map_or(&entry.spec.settings, |queue| &queue.settings)
    }

    /// Runs of a job in any phase.
    pub(crate) fn runs_of(&self, job: JobKey) -> impl Iterator<Item = RunKey> + '_ {
        self.runs
            .range(first_of(job, 0, 0)..)
            .map(|(key, _)| *key)
            .take_while(move |(task, _)| task.job == job)
    }

    /// Runs of one step of an occurrence in any phase.
    pub(crate) fn runs_of_step(&self, group: StepKey) -> impl Iterator<Item = RunKey> + '_ {
        let (job, occurrence, step) = group;
        let runs = self.runs.range(first_of(job, occurrence, step)..);
        runs.map(|(key, _)| *key)
            .take_while(move |(task, _)| task.step_key() == group)
    }

    pub(crate) fn log_job(&mut self, what: &'static str, job: JobKey, reason: String) {
        self.actions.push(StepsAction::Log(StepsLog {
            what,
            job: Some(job),
            task: None,
            worker: None,
            reason,
        }));
    }

    pub(crate) fn log_run(&mut self, what: &'static str, run: RunKey, reason: String) {
        let worker = self.runs.get(&run).map(|run| run.worker.clone());
        self.actions.push(StepsAction::Log(StepsLog {
            what,
            job: Some(run.0.job),
            task: Some(run),
            worker,
            reason,
        }));
    }

    pub(crate) fn log_worker(&mut self, what: &'static str, worker: &WorkerName, reason: String) {
        self.actions.push(StepsAction::Log(StepsLog {
            what,
            job: None,
            task: None,
            worker: Some(worker.clone()),
            reason,
        }));
    }
}

/// The step of a task.
pub(crate) fn step_of<'a>(book: &'a StepJobTable, task: &TaskKey) -> Option<&'a Step> {
    book.job(task.job)?.spec.steps.get(task.step as usize)
}

fn first_of(job: JobKey, occurrence: u32, step: u32) -> RunKey {
    let task = TaskKey {
        job,
        occurrence,
        step,
        index: 0,
    };
    (task, 0)
}
