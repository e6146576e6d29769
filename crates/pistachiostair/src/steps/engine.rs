//! The step scheduler: its in-memory state under one term, the events it handles and the actions it requests.
//!
//! It does no I/O. Its owner passes in events and committed journal records, then takes out the records to commit and
//! the actions to carry out.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, DomainName, Incarnation, RackName, Term, WorkerName};
use crate::record;
use crate::scheduler::Token;
use crate::steps::backoff::Backoffs;
use crate::steps::calls::{StepAnswer, StepCall};
use crate::steps::crashes::{Crash, LostHost, MIN_TRIAL_WORKERS, RECOVERED_AGE};
use crate::steps::domains::{DomainGate, Evacuations, StartBan};
use crate::steps::ejection::JobOutcomes;
use crate::steps::host::{Host, HostUpdate, RunKey};
use crate::steps::job_table::{JobEntry, StepJobTable};
use crate::steps::liveness::ListReads;
use crate::steps::losses::{HostLife, HostLoss};
use crate::steps::open_orders::OpenOrders;
use crate::steps::outcome::RunOutcome;
use crate::steps::progress::RunProgress;
use crate::steps::queue::{StepKey, WaitingStep};
use crate::steps::record::StepRecord;
use crate::steps::release::Releases;
use crate::steps::reservation::Reservation;
use crate::steps::rules::Rules;
use crate::steps::spec::{Demand, JobKey, QueueSettings, Step, StepJobPhase, TaskKey};
use crate::steps::speed::{SpeedClass, Speeds};
use crate::steps::step_limits::StepLimits;
use crate::steps::straggler::DurationsByStep;
use crate::steps::trial::Suspect;
use crate::steps::victim::PreemptionHistory;
pub(crate) use crate::steps::wasted::RunStopReason;
use crate::steps::wasted::WastedWork;

/// How long a scheduler may go on granting and renewing worker leases after its own lease has ended, so that running
/// tasks survive a store outage of this length. A new scheduler adds it to the expiry of leases that it did not grant
/// itself.
pub(crate) const RENEWAL_GRACE: Millis = Millis(2_000);

/// Time until an order to stop a run that failed is repeated.
const STOP_RETRY_DELAY: Millis = Millis(100);

/// An input of the step scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum StepsEvent {
    /// A request from a caller.
    Call {
        /// Identifies the call in the matching [`StepsAction::Reply`].
        token: Token,
        /// The request.
        call: StepCall,
    },
    /// The platform's list of workers, or changes to it.
    Hosts(HostUpdate),
    /// A new configuration is in force; it replaces the previous one.
    Rules(Rules),
    /// The requests to evacuate failure domains that are in force; they replace the previous ones.
    Evacuations(Evacuations),
    /// Outcome of [`StepsAction::Start`].
    Started {
        /// The worker that the order was sent to.
        target: Target,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker's answer, or why there is none.
        reply: OrderReply,
    },
    /// Outcome of [`StepsAction::Stop`].
    Stopped {
        /// The worker that the order was sent to.
        target: Target,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The worker's answer, or why there is none.
        reply: OrderReply,
    },
    /// Outcome of [`StepsAction::Hold`].
    Held {
        /// The worker that the order was sent to.
        target: Target,
        /// [`HoldOrder::ack`] of the order.
        ack: u64,
        /// Whether the worker could delay its answer until a run ended ([`HoldOrder::wait`] above zero).
        long_poll: bool,
        /// The worker's lists of runs, or why they were not read.
        reply: Result<HoldReply, OrderReply>,
    },
}

/// A worker's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was carried out, now or when an earlier copy of it arrived.
    Done {
        /// The worker's own clock when it answered.
        clock: Millis,
    },
    /// Refused: the worker has received an order of a newer term.
    OldTerm,
    /// Refused: a run of the task with this number or a higher one was already stopped or has ended on the worker.
    OldRun,
    /// Refused: the order's lease deadline had passed when it arrived.
    Late,
    /// Refused: the worker has too little free capacity for the task.
    NoRoom,
    /// Refused: the worker has restarted and runs as another incarnation.
    OtherIncarnation,
    /// Refused: the worker reports itself unhealthy and did nothing.
    Unhealthy,
    /// Refused: the worker rejected the order as malformed.
    Invalid {
        /// The worker's error message.
        reason: String,
    },
    /// The order was not sent, so it can't have been carried out.
    Undelivered,
    /// The order was not sent: the connection was refused. The worker may have ended, or may be cut off and work on.
    NoListener,
    /// The order was not sent: nothing may be started in the worker's failure domain any more.
    Withheld,
    /// No answer came: the order may have been carried out, or may still be.
    Unanswered,
}

record! {
    /// A running run, as its worker lists it.
    pub struct RunReport {
        /// The task.
        pub task: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Newest checkpoint of the run; empty if there is none.
        #[serde(rename = "saved")]
        pub checkpoint: String,
        /// Progress, or share of the processor in use, in percent.
        pub percent: u32,
    }
}

record! {
    /// An ended run, as its worker lists it until the end is acknowledged.
    pub struct RunEnd {
        /// Sequence number of the end in the worker's incarnation, counted from 1.
        pub number: u64,
        /// The task.
        pub task: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// How the run ended.
        #[serde(rename = "fate")]
        pub outcome: RunOutcome,
        /// Newest checkpoint of the run; empty if there is none.
        #[serde(rename = "saved")]
        pub checkpoint: String,
    }
}

record! {
    /// A worker's answer to a [`HoldOrder`].
    pub struct HoldReply {
        /// The worker's own clock when it answered.
        pub clock: Millis,
        /// The worker's incarnation.
        pub incarnation: Incarnation,
        /// All runs that are running on the worker.
        pub running: Vec<RunReport>,
        /// Ends that have not been acknowledged, lowest number first.
        pub finished: Vec<RunEnd>,
        /// Whether there may be further such ends, which the worker lists once these are acknowledged.
        pub more_ends: bool,
    }
}

record! {
    /// An order to renew the lease that all runs of a worker share, and to return the worker's lists of runs.
    #[derive(Copy)]
    pub struct HoldOrder {
        /// Term of the scheduler; the worker refuses a term older than the newest it has seen.
        pub term: Term,
        /// Acknowledges the ends with numbers up to this one: they are durable, and the worker drops them.
        pub ack: u64,
        /// New end of the lease on the worker's clock; absent to leave the lease as it is.
        pub deadline: Option<Millis>,
        /// Longest time for which the worker delays its answer until a run ends; zero for an answer at once.
        pub wait: Millis,
    }
}

record! {
    /// An order to start a run.
    pub struct StartOrder {
        /// The task.
        pub task: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// The job's payload, passed to the task as it is.
        pub payload: String,
        /// End of the lease, on the worker's clock.
        pub deadline: Millis,
        /// Term of the scheduler; the worker refuses a term older than the newest it has seen.
        pub term: Term,
        /// Checkpoint to resume from; empty to start from the beginning.
        #[serde(rename = "saved")]
        pub checkpoint: String,
    }
}

record! {
    /// The worker that an order is sent to.
    pub struct Target {
        /// Name of the worker.
        pub worker: WorkerName,
        /// Incarnation of the worker; any other incarnation must refuse the order.
        pub incarnation: Incarnation,
        /// Address of the worker, `ip:port`.
        pub address: String,
    }
}

/// An output of the step scheduler, for its owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum StepsAction {
    /// Answer a call.
    Reply {
        /// Token of the [`StepsEvent::Call`].
        token: Token,
        /// The answer.
        answer: StepAnswer,
    },
    /// Order a worker to start a run; answered by [`StepsEvent::Started`].
    Start {
        /// The worker.
        target: Target,
        /// The order.
        order: StartOrder,
    },
    /// Order a worker to stop a run; answered by [`StepsEvent::Stopped`]. If the worker does not have the run, it
    /// refuses to start it from then on.
    Stop {
        /// The worker.
        target: Target,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Term of the scheduler.
        term: Term,
    },
    /// Renew the lease of all runs on a worker and read its lists of runs; answered by [`StepsEvent::Held`].
    Hold {
        /// The worker.
        target: Target,
        /// The order.
        order: HoldOrder,
    },
    /// Write a log line.
    Log(StepsLog),
    /// Count wasted work in the metrics.
    Wasted {
        /// Label of the root cause.
        cause: &'static str,
        /// The account of the job.
        account: AccountName,
        /// The work, in core-milliseconds; an accelerator counts as 8 cores.
        core_millis: u64,
    },
}

/// A log line about one decision or change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepsLog {
    /// The message, such as `placed`; also the label of the decision in metrics.
    pub what: &'static str,
    /// The job, if the line is about a job or one of its runs.
    pub job: Option<JobKey>,
    /// The task and the number of the run, if the line is about a run.
    pub task: Option<(TaskKey, u32)>,
    /// The worker, if the line is about one or its run is still known.
    pub worker: Option<WorkerName>,
    /// Why it happened, with the values that led to it.
    pub reason: String,
}

/// Inputs of the step scheduler beyond its own state, as they are when it is called.
pub(crate) struct Context<'a> {
    /// Monotonic clock.
    pub(crate) now: Millis,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub(crate) wall: Millis,
    /// The end of the region's lease that this scheduler holds, which may have passed.
    pub(crate) lease_until: Millis,
    /// Whether a journal write has been waiting for the store for too long to accept further calls.
    pub(crate) store_stalled: bool,
    /// Limits of the platform and of this daemon.
    pub(crate) limits: StepLimits,
    /// Most bytes of a record, as JSON, that a journal row can hold.
    pub(crate) record_bytes: usize,
    /// Durable state, as folded from the journal.
    pub(crate) book: &'a StepJobTable,
}

impl Context<'_> {
    /// Whether this scheduler holds the region's lease.
    pub(crate) fn holds_lease(&self) -> bool {
        self.now < self.lease_until
    }

    /// Whether this scheduler may grant or renew leases of workers. After that time another scheduler may be in charge,
    /// which counts on no later ones; see [`StepScheduler::recover`].
    pub(crate) fn may_grant(&self) -> bool {
        self.now < self.lease_until + RENEWAL_GRACE
    }
}

/// State of the order to stop a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunStop {
    pub(crate) why: RunStopReason,
    /// When the stop was decided.
    pub(crate) asked_at: Millis,
    /// When the order was last sent; none if it has not been sent.
    pub(crate) sent_at: Option<Millis>,
    /// Whether the last order that was sent is known to have failed.
    pub(crate) failed: bool,
    /// Number of orders that failed since the last one that the worker confirmed.
    pub(crate) failures: u32,
    /// The worker's clock when it first confirmed the order; none if it has not.
    pub(crate) confirmed_at: Option<Millis>,
    /// Time by which the run has ended for certain, since the worker has confirmed the order; none if it has not.
    pub(crate) over_at: Option<Millis>,
}

/// Stage in the life of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The record of its start is being committed; no order has been sent.
    Planned,
    /// The order to start was sent.
    Ordered,
    /// The worker has confirmed that it runs, or it was recovered from the journal.
    Live,
    /// It has ended; the record of that is being committed.
    Ended,
}

/// How a run began; decides how much of its progress report was done under observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOrigin {
    /// From the beginning of the task.
    Fresh,
    /// From a checkpoint of an earlier run.
    Checkpoint,
    /// Under an earlier term; the run was recovered from the journal.
    Recovered,
}

/// A run of a task from its placement until the record of its end is durable.
#[derive(Clone, Debug)]
pub(crate) struct TaskRun {
    pub(crate) worker: WorkerName,
    /// [`Host::number`] of the worker.
    pub(crate) host: u32,
    /// Incarnation of the worker on which it was placed.
    pub(crate) incarnation: Incarnation,
    pub(crate) demand: Demand,
    /// Speed of the worker as it was known when the run was placed.
    pub(crate) speed: SpeedClass,
    pub(crate) phase: RunPhase,
    /// When it was placed or, from [`RunPhase::Live`] on, when the worker first confirmed it.
    pub(crate) since: Millis,
    /// Number of orders to start that were sent.
    pub(crate) sends: u32,
    /// When the last order to start was sent.
    pub(crate) sent: Millis,
    /// The worker's clock when it last confirmed the run; none before the first confirmation,
    /// zero for a run that was recovered and not confirmed since.
    pub(crate) seen: Option<Millis>,
    /// Newest checkpoint reported; empty if there is none.
    pub(crate) checkpoint: String,
    pub(crate) origin: RunOrigin,
    /// None until the worker has reported progress.
    pub(crate) progress: Option<RunProgress>,
    /// Set once the run is being stopped.
    pub(crate) stop: Option<RunStop>,
    /// When the worker last confirmed the run.
    pub(crate) listed_at: Millis,
    /// Time at work after which the run passes its trial; none if it is not on trial.
    pub(crate) trial: Option<Millis>,
    /// Set once its worker is known to have crashed.
    pub(crate) crash: Option<Crash>,
    /// What is known of the crash of its worker, if that turns out to have crashed.
    pub(crate) doubt: Option<Crash>,
    /// Whether it is a run of a long-running task that has been at work for a while.
    pub(crate) stable: bool,
    /// Whether an order without an answer is not repeated because the worker's failure domain is evacuated.
    pub(crate) withheld: bool,
}

impl TaskRun {
    /// Whether an order to stop the run is due, for the first time or again: one that failed after a short pause, any
    /// other one once it should have had its effect. A confirmed one is due again only if later lists have the run.
    pub(crate) fn is_stop_due(&self, now: Millis, limits: StepLimits) -> bool {
        let Some(stop) = self.stop else { return false };
        let confirmed = stop
            .confirmed_at
            .is_some_and(|at| self.seen.is_none_or(|seen| seen <= at));
        let pause = match stop.failed {
            true => STOP_RETRY_DELAY,
            false => limits.stop_repeat(),
        };
        !confirmed && stop.sent_at.is_none_or(|sent| now.since(sent) >= pause)
    }
}

/// How much the scheduler of step jobs has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepLoad {
    /// Planning passes since the election.
    pub passes: u64,
    /// Steps with tasks that can be placed.
    pub waiting: usize,
    /// Runs that may be alive or whose end is not durable.
    pub runs: usize,
    /// Suspects that the last planning pass left unplaced.
    pub held_suspects: usize,
    /// When the first of them was left unplaced.
    pub held_since: Option<Millis>,
    /// Ends that workers list and that are not durable.
    pub unstored_ends: usize,
}

/// The scheduler of step jobs under one term.
///
/// Handles calls, events and committed records one at a time. What it decides collects in `records`, which must become
/// durable before the orders that follow from them are sent, and in `actions`.
#[derive(Clone, Debug)]
pub struct StepScheduler {
    pub(crate) term: Term,
    /// When the term began.
    pub(crate) elected: Millis,
    pub(crate) rules: Rules,
    /// Failure domains in which nothing may be started.
    pub(crate) gate: DomainGate,
    /// Domains whose evacuation was logged, with the number of their workers then.
    pub(crate) evacuated: BTreeMap<DomainName, usize>,
    /// Why nothing may be started in any domain, as it was logged.
    pub(crate) suspended: Option<StartBan>,
    /// Waiting steps of which it was logged that they wait for an evacuated domain.
    pub(crate) withheld: BTreeSet<StepKey>,
    /// Whether the platform's whole list of workers was read under this term.
    pub(crate) workers_known: bool,
    /// Time by which all leases have ended that schedulers of earlier terms may have granted.
    pub(crate) earlier_leases: Millis,
    /// Workers that are listed or that runs were placed on.
    pub(crate) hosts: BTreeMap<WorkerName, Host>,
    /// Highest [`Host::number`] so far.
    pub(crate) last_host: u32,
    /// Number of each rack that a listed worker was in.
    pub(crate) racks: BTreeMap<RackName, u32>,
    /// Runs that may be alive or whose end is not durable.
    pub(crate) runs: BTreeMap<RunKey, TaskRun>,
    /// Start orders that may still be carried out.
    pub(crate) open_orders: OpenOrders,
    /// Runs that are being stopped and have not ended.
    pub(crate) stopping: BTreeSet<RunKey>,
    /// Number of accelerators in use by the runs of each account that have not ended.
    pub(crate) usage: BTreeMap<AccountName, u64>,
    /// Steps with tasks that can be placed.
    pub(crate) waiting: BTreeMap<StepKey, WaitingStep>,
    /// Capacity reserved for steps that preempt others, until the preempted runs have ended.
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// Durations of finished tasks, by step, of jobs that have not ended.
    pub(crate) durations: DurationsByStep,
    /// Estimates of how fast each machine is.
    pub(crate) speeds: Speeds,
    /// Jobs whose next occurrence is due later, by the wall clock at which it is.
    pub(crate) due: BTreeSet<(Millis, JobKey)>,
    /// Jobs that have ended under this term or whose end is being committed; nothing of them is placed any more.
    pub(crate) closed: BTreeSet<JobKey>,
    /// Jobs whose [`StepRecord::Forgotten`] is being committed.
    pub(crate) forgetting: BTreeSet<JobKey>,
    /// Jobs that have not ended and of which a worker confirmed or listed a run under this term.
    pub(crate) begun: BTreeSet<JobKey>,
    /// Runs on trial, in any phase before their end.
    pub(crate) trials: BTreeSet<RunKey>,
    /// Number of workers that may be used for trials at present.
    pub(crate) trial_workers: usize,
    /// Suspects that the last planning pass left unplaced, and since when.
    pub(crate) held: BTreeMap<Suspect, Millis>,
    /// Where the tasks of jobs that have not ended failed and succeeded.
    pub(crate) outcomes: BTreeMap<JobKey, JobOutcomes>,
    /// Long-running tasks that keep failing.
    pub(crate) backoffs: Backoffs,
    /// Workers that were lost a short time ago, by number.
    pub(crate) lost_hosts: BTreeMap<u32, LostHost>,
    /// Reads of the platform's list of workers.
    pub(crate) list_reads: ListReads,
    /// Workers that refused connections until their runs were lost, and may have crashed.
    pub(crate) open_losses: BTreeMap<HostLife, HostLoss>,
    /// Workers whose crash only the list shows, so that they may still answer.
    pub(crate) refutable: BTreeMap<HostLife, HostLoss>,
    /// Calls to answer once the job's [`StepRecord::Accepted`] is durable.
    pub(crate) accepting: BTreeMap<JobKey, Vec<Token>>,
    /// Calls to answer once the job's [`StepRecord::Cancelled`] is durable.
    pub(crate) cancelling: BTreeMap<JobKey, Vec<Token>>,
    /// Releases that replace workers.
    pub(crate) releases: Releases,
    /// Recent preemptions of tasks.
    pub(crate) preempted: PreemptionHistory,
    /// Work lost by runs that ended before their task was done.
    pub(crate) wasted: WastedWork,
    /// Shortest time that hold orders let a worker wait for an end, as the daemon's own resources require.
    pub(crate) hold_wait: Millis,
    /// Workers to which a hold order may be due after the event in progress.
    pub(crate) touched: BTreeSet<WorkerName>,
    /// Whether something changed that placement depends on.
    pub(crate) replan: bool,
    /// Number of planning passes so far.
    pub(crate) passes: u64,
    /// Whether a worker has seen a newer term, so that this scheduler must stop.
    pub(crate) outdated: bool,
    /// Records to commit.
    pub(crate) records: Vec<StepRecord>,
    /// Actions to carry out.
    pub(crate) actions: Vec<StepsAction>,
}

impl StepScheduler {
    /// Creates the scheduler of a new term from the jobs in the journal.
    ///
    /// Runs that the journal has as started may still be alive: each counts as such until its worker's lists are read,
    /// or until the latest lease that an earlier scheduler can have granted has expired.
    pub(crate) fn recover(term: Term, cx: &Context<'_>) -> Self {
        let mut steps = Self {
            term,
            elected: cx.now,
            rules: Rules::default(),
            gate: DomainGate::default(),
            evacuated: BTreeMap::new(),
            suspended: None,
            withheld: BTreeSet::new(),
            workers_known: false,
            earlier_leases: cx.now + RENEWAL_GRACE + Host::max_lease(),
            hosts: BTreeMap::new(),
            last_host: 0,
            racks: BTreeMap::new(),
            runs: BTreeMap::new(),
            open_orders: OpenOrders::default(),
            stopping: BTreeSet::new(),
            usage: BTreeMap::new(),
            waiting: BTreeMap::new(),
            reservations: BTreeMap::new(),
            durations: DurationsByStep::new(),
            speeds: Speeds::default(),
            due: BTreeSet::new(),
            closed: BTreeSet::new(),
            forgetting: BTreeSet::new(),
            begun: BTreeSet::new(),
            trials: BTreeSet::new(),
            trial_workers: MIN_TRIAL_WORKERS,
            held: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            backoffs: Backoffs::default(),
            lost_hosts: BTreeMap::new(),
            list_reads: ListReads::default(),
            open_losses: BTreeMap::new(),
            refutable: BTreeMap::new(),
            accepting: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            releases: Releases::default(),
            preempted: PreemptionHistory::default(),
            wasted: WastedWork::default(),
            hold_wait: Millis::ZERO,
            touched: BTreeSet::new(),
            replan: true,
            passes: 0,
            outdated: false,
            records: Vec::new(),
            actions: Vec::new(),
        };
        for entry in cx.book.jobs() {
            steps.recover_runs(cx, entry);
        }
        for entry in cx.book.open_jobs() {
            steps.recover_losses(cx, entry);
        }
        steps.log_recovered(cx);
        steps.stop_earlier_incarnations(cx);
        let jobs = steps.runs.keys().map(|(task, _)| task.job);
        let jobs: BTreeSet<JobKey> = jobs.chain(cx.book.open_jobs().map(|entry| entry.spec.key)).collect();
        for job in jobs {
            steps.reconcile_job(cx, job);
        }
        steps
    }

    fn recover_runs(&mut self, cx: &Context<'_>, entry: &JobEntry) {
        let expiry = self.earlier_leases;
        for (task, placed) in entry.placed_runs() {
            let Some(step) = entry.spec.steps.get(task.step as usize) else {
                continue;
            };
            let host = self.hosts.entry(placed.worker.clone());
            let host = host.or_insert_with(|| {
                self.last_host += 1;
                Host::new(self.last_host, placed.incarnation, expiry, cx.now)
            });
            host.incarnation = host.incarnation.max(placed.incarnation);
            host.used = host.used.plus(&step.demand);
            host.runs.insert((task, placed.run));
            let run = TaskRun {
                worker: placed.worker.clone(),
                host: host.number,
                incarnation: placed.incarnation,
                demand: step.demand,
                speed: SpeedClass::default(),
                phase: RunPhase::Live,
                since: cx.now,
                sends: 1,
                sent: cx.now,
                seen: Some(Millis::ZERO),
                checkpoint: String::new(),
                origin: RunOrigin::Recovered,
                progress: None,
                stop: None,
                listed_at: cx.now,
                trial: None,
                crash: None,
                doubt: None,
                stable: false,
                withheld: false,
            };
            self.charge(&entry.spec.account, step.demand.accelerators);
            self.runs.insert((task, placed.run), run);
        }
    }

    /// Logs what the journal says may be alive.
    fn log_recovered(&mut self, cx: &Context<'_>) {
        let ended = |job: JobKey| cx.book.job(job).is_some_and(|entry| entry.phase.is_final());
        let jobs: BTreeSet<JobKey> = self.runs.keys().map(|(task, _)| task.job).collect();
        let runs_left = self.runs.keys().filter(|(task, _)| ended(task.job)).count();
        let reason = format!(
            "{} runs of {} jobs on {} workers may be alive, {runs_left} of them of jobs that have ended",
            self.runs.len(),
            jobs.len(),
            self.hosts.len()
        );
        self.actions.push(StepsAction::Log(StepsLog {
            what: "recovered",
            job: None,
            task: None,
            worker: None,
            reason,
        }));
    }

    /// Stops the recovered runs that were ordered in an earlier incarnation of a worker than the last one known.
    fn stop_earlier_incarnations(&mut self, cx: &Context<'_>) {
        let hosts = &self.hosts;
        let newest = |run: &TaskRun| hosts.get(&run.worker).map(|host| host.incarnation);
        let earlier = self.runs.iter().filter(|(_, run)| newest(run) > Some(run.incarnation));
        let earlier: Vec<RunKey> = earlier.map(|(key, _)| *key).collect();
        for key in earlier {
            if let Some(run) = self.runs.get_mut(&key) {
                let age = RECOVERED_AGE;
                let (alone, shared, unseen) = (false, false, false);
                run.crash.get_or_insert(Crash {
                    age,
                    alone,
                    shared,
                    unseen,
                });
            }
            self.stop_in_later_incarnation(cx, key);
        }
    }

    /// Stops a run in the present incarnation of its worker, which may have carried out the order for an earlier one.
    pub(crate) fn stop_in_later_incarnation(&mut self, cx: &Context<'_>, key: RunKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        let Some(host) = self.hosts.get(&run.worker) else {
            return;
        };
        run.incarnation = host.incarnation;
        run.phase = RunPhase::Ordered;
        run.stop = None;
        let why = match run.progress {
            Some(_) => RunStopReason::WorkerLost,
            None => RunStopReason::Unanswered,
        };
        self.stop_run(cx, key, why);
    }

    /// How much there is to do at present.
    pub(crate) fn load(&self) -> StepLoad {
        StepLoad {
            passes: self.passes,
            waiting: self.waiting.len(),
            runs: self.runs.len(),
            held_suspects: self.held.len(),
            held_since: self.held.values().copied().min(),
            unstored_ends: self.hosts.values().map(Host::unstored_ends).sum(),
        }
    }

    /// Handles an event.
    pub(crate) fn handle(&mut self, cx: &Context<'_>, event: StepsEvent) {
        match event {
            StepsEvent::Call { token, call } => self.handle_call(cx, token, call),
            StepsEvent::Hosts(update) => self.update_hosts(cx, update),
            StepsEvent::Rules(rules) => {
                self.rules = rules;
                self.replan = true;
            }
            StepsEvent::Evacuations(known) => self.update_evacuations(cx, known),
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

    /// Acts on a record that has become durable and is already folded into the context's durable state.
    pub(crate) fn committed(&mut self, cx: &Context<'_>, record: &StepRecord) {
        match record {
            StepRecord::Accepted { job } => {
                for (index, token) in self
                    .accepting
                    .remove(&job.key)
                    .unwrap_or_default()
                    .into_iter()
                    .enumerate()
                {
                    self.reply(token, StepAnswer::Accepted { created: index == 0 });
                }
                self.log_job(
                    "accepted",
                    job.key,
                    format!("queue {}, account {}", job.queue, job.account),
                );
                self.refresh_job(cx, job.key);
            }
            StepRecord::Started { starts } => {
                // One member of a gang that may no longer start keeps the others from being ordered.
                for start in starts {
                    self.drop_outdated_start(cx, (start.task, start.run));
                }
                for start in starts {
                    self.send_start(cx, (start.task, start.run));
                }
            }
            StepRecord::Ended { task, run, .. } => {
                self.remove_run((*task, *run));
                self.after_end(cx, task.job);
            }
            StepRecord::Cancelled { job } => {
                let known = cx.book.job(*job).is_some();
                let answer = if known {
                    StepAnswer::Cancelled
                } else {
                    StepAnswer::Unknown
                };
                for token in self.cancelling.remove(job).unwrap_or_default() {
                    self.reply(token, answer.clone());
                }
                let reason = match known {
                    true => "by a caller",
                    false => "by a caller, before it was submitted",
                };
                self.log_job("cancelled", *job, reason.to_owned());
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
                    // Members of a gang may end after their job.
                    self.outcomes.remove(job);
                    self.backoffs.forget_job(*job);
                }
            }
        }
    }

    /// Brings a job in line after one of its runs or the whole job has ended.
    fn after_end(&mut self, cx: &Context<'_>, job: JobKey) {
        let completed = cx
            .book
            .job(job)
            .is_some_and(|entry| entry.phase == StepJobPhase::Completed);
        if cx.book.job(job).is_none_or(|entry| entry.phase.is_final()) {
            self.begun.remove(&job);
            self.outcomes.remove(&job);
            self.backoffs.forget_job(job);
        }
        if completed && self.closed.insert(job) {
            self.log_job("completed", job, "all tasks are done".to_owned());
        }
        self.reconcile_job(cx, job);
        self.replan = true;
    }

    /// Brings the runs and the waiting steps of a job in line with its stored state.
    ///
    /// Consequences of a record are derived here from the state, not from the event of its commit: a scheduler that
    /// replays the record must reach the same ones, as the one that committed it may have been deposed at once.
    fn reconcile_job(&mut self, cx: &Context<'_>, job: JobKey) {
        let entry = cx.book.job(job);
        for (key, why) in entry.map_or_else(Vec::new, |entry| self.unwanted_runs(entry)) {
            self.stop_run(cx, key, why);
        }
        self.refresh_job(cx, job);
    }

    /// Runs that must not go on according to the stored state of their job, and why.
    fn unwanted_runs(&self, entry: &JobEntry) -> Vec<(RunKey, RunStopReason)> {
        let runs = self.runs_of(entry.spec.key);
        match entry.phase {
            StepJobPhase::Failed | StepJobPhase::Cancelled => {
                return runs.map(|key| (key, RunStopReason::JobEnded)).collect();
            }
            // Members of a gang that are still running end by themselves.
            StepJobPhase::Completed => return Vec::new(),
            StepJobPhase::Queued | StepJobPhase::Running => {}
        }
        let mut gangs: BTreeMap<(u32, u32, u32), Vec<RunKey>> = BTreeMap::new();
        for (task, number) in runs {
            if entry.spec.steps.get(task.step as usize).is_some_and(|step| step.gang) {
                let gang = gangs.entry((task.occurrence, task.step, number)).or_default();
                gang.push((task, number));
            }
        }
        let broken = gangs.into_iter().filter(|((occurrence, step, _), members)| {
            let count = entry.spec.steps[*step as usize].count as usize;
            members.len() < count && !entry.is_step_done(*occurrence, *step)
        });
        let members = broken.flat_map(|(_, members)| members);
        members.map(|key| (key, RunStopReason::GangBroken)).collect()
    }

    /// Adds accelerators to those in use by an account.
    pub(crate) fn charge(&mut self, account: &AccountName, accelerators: u64) {
        match self.usage.get_mut(account) {
            Some(used) => *used += accelerators,
            None => {
                self.usage.insert(account.clone(), accelerators);
            }
        }
    }

    /// Takes accelerators off those in use by an account.
    pub(crate) fn discharge(&mut self, account: &AccountName, accelerators: u64) {
        if let Some(used) = self.usage.get_mut(account) {
            *used = used.saturating_sub(accelerators);
            if *used == 0 {
                self.usage.remove(account);
            }
        }
    }

    /// Settings of a job's queue: those in force or, if the queue was removed, those at the job's acceptance.
    pub(crate) fn terms<'a>(&'a self, entry: &'a JobEntry) -> &'a QueueSettings {
        let queue = self.rules.queues.get(&entry.spec.queue);
        queue.map_or(&entry.spec.settings, |queue| &queue.settings)
    }

    /// Runs of a job, in any phase.
    pub(crate) fn runs_of(&self, job: JobKey) -> impl Iterator<Item = RunKey> + '_ {
        self.runs
            .range(first_run_key(job, 0, 0)..)
            .map(|(key, _)| *key)
            .take_while(move |(task, _)| task.job == job)
    }

    /// Runs of one step of one occurrence, in any phase.
    pub(crate) fn runs_of_step(&self, key: StepKey) -> impl Iterator<Item = RunKey> + '_ {
        let (job, occurrence, step) = key;
        let runs = self.runs.range(first_run_key(job, occurrence, step)..);
        runs.map(|(key, _)| *key)
            .take_while(move |(task, _)| task.step_key() == key)
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

/// Specification of a task's step; none if the job is not known.
pub(crate) fn step_of<'a>(book: &'a StepJobTable, task: &TaskKey) -> Option<&'a Step> {
    book.job(task.job)?.spec.steps.get(task.step as usize)
}

/// Lower bound of the run keys of a step.
fn first_run_key(job: JobKey, occurrence: u32, step: u32) -> RunKey {
    let task = TaskKey {
        job,
        occurrence,
        step,
        index: 0,
    };
    (task, 0)
}
