//! The scheduler of a region: the life cycle of its jobs, as a state machine without I/O.
//!
//! The region's scheduler service feeds [`Event`]s to [`Scheduler::on`] and carries out the [`Action`]s it returns:
//! writes to the journal, commands to workers, responses to callers and log lines. Every daemon has a [`Scheduler`];
//! it is active only between [`Event::Elected`] and [`Event::Deposed`].

use std::collections::BTreeMap;

use crate::active::{ActiveScheduler, RegionConfig, Retention};
use crate::appender::{AppendAction, AppendEvent, JournalLoad};
use crate::clock::Millis;
use crate::edge::Transaction;
use crate::error::{ErrorKind, Ran};
use crate::ids::{AccountName, DomainName, GuaranteeName, JobId, JobName, RegionName, Seq, Term, WorkerName};
use crate::message::{Call, Failure, Response};
use crate::number_id;
use crate::resource::{AccountSpec, Guarantee, MemberState, Policy};
use crate::snapshot::SnapshotLimits;
use crate::steps::{StepAnswer, StepLimits, StepLoad, StepsAction, StepsEvent};
use crate::worker::{BatchReply, Changes, CommandBatch};

number_id! {
    /// Identifies a call until its response; assigned by the scheduler service, unique within the process.
    Token(u64)
}

/// Input of [`Scheduler::on`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This daemon became the region's scheduler. Replaces the state of an earlier term.
    Elected {
        /// Term of this scheduler; fences its commands to workers.
        term: Term,
        /// Version of the term row in the store. Journal commits are conditional on it, so that they fail once a newer
        /// term begins.
        fence: u64,
        /// Encoded newest snapshot ([`RegionState::encode`](crate::RegionState::encode)); `None` if there is none yet.
        snapshot: Option<Vec<u8>>,
        /// Journal rows after the snapshot, in order. Rows that the snapshot contains already are skipped; a gap fails
        /// the takeover.
        rows: Vec<(Seq, String)>,
        /// Wall clock in milliseconds since the Unix epoch. Deadlines and retention count on it, since they go on
        /// across takeovers.
        wall: Millis,
    },
    /// The end of the scheduler's own lease changed. From that time on it neither accepts, places nor starts jobs; it
    /// still renews task leases, stops tasks and reclaims. A new scheduler starts without the lease.
    LeaseChanged {
        /// The end of the lease, on the clock of this scheduler; it is not held if that has passed.
        until: Millis,
    },
    /// This daemon is no longer the region's scheduler: all waiting calls fail and the state is dropped.
    Deposed,
    /// A call arrived. It is answered once, by [`Action::Reply`] or from the outcome of [`Action::WriteGuarantee`].
    Call {
        /// Identifies the call in the response.
        token: Token,
        /// The call.
        call: Call,
    },
    /// The caller no longer waits for the response. What the call asked for still happens.
    Abandoned {
        /// The call.
        token: Token,
    },
    /// A supervisor polled a worker for changes of its inventory.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The changes; `None` if the worker did not answer.
        changes: Option<Changes>,
    },
    /// Outcomes of a supervisor's requests to a worker, from which outliers are ejected.
    Outcomes {
        /// The worker.
        worker: WorkerName,
        /// One entry for each request, oldest first; `true` for a success.
        outcomes: Vec<bool>,
    },
    /// Reply to a batch of [`Action::Send`].
    Replied {
        /// The worker.
        worker: WorkerName,
        /// The batch as sent.
        batch: CommandBatch,
        /// The reply; `None` if it was lost, so that the commands may or may not have been carried out.
        reply: Option<BatchReply>,
    },
    /// The platform's list of workers with their states, always whole: once after a takeover, then at each change.
    WorkerList(BTreeMap<WorkerName, MemberState>),
    /// A client account was created or changed; `None` if it was deleted.
    Account(AccountName, Option<AccountSpec>),
    /// A guarantee was created or changed; `None` if it was deleted.
    Guarantee(GuaranteeName, Option<Guarantee>),
    /// The policy in force changed.
    Policy(Policy),
    /// Outcome of [`Action::Append`].
    Stored(AppendEvent),
    /// Outcome of an action that this scheduler returned under a term; dropped if that term is over, since its journal
    /// and runs are not those of the present one.
    Outcome {
        /// The term.
        term: Term,
        /// The outcome.
        event: Box<Event>,
    },
    /// Event for jobs made of steps.
    Steps(StepsEvent),
    /// Time passed. Comes every 100 ms.
    Tick,
    /// The time of [`Scheduler::wake_at`] has come.
    Wake,
}

/// Output of [`Scheduler::on`], for the scheduler service to carry out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Access the journal or its objects; the outcome comes back as [`Event::Stored`].
    Append(AppendAction),
    /// Answer a call.
    Reply {
        /// The call.
        token: Token,
        /// The response.
        response: Response,
    },
    /// Send commands to a worker through its supervisor. Always followed by [`Event::Replied`], also if the reply is
    /// lost.
    Send {
        /// The worker.
        worker: WorkerName,
        /// The commands; none if the batch only probes an ejected worker.
        batch: CommandBatch,
    },
    /// Commit a guarantee's row, then answer the call from the outcome.
    WriteGuarantee {
        /// The call.
        token: Token,
        /// The transaction to commit.
        transaction: Transaction,
        /// The guarantee as written; `None` if it is deleted.
        guarantee: Option<Guarantee>,
    },
    /// Stop being the scheduler: a newer term was seen, the journal was lost to another scheduler, or the takeover
    /// failed.
    StepDown,
    /// Action for jobs made of steps.
    Steps(StepsAction),
    /// Log a decision.
    Log(LogLine),
}

/// One decision of the scheduler about a job or a worker, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Kind of the decision, such as `placed`.
    pub what: &'static str,
    /// The job; 0 if the decision is about no single job.
    pub job: JobId,
    /// Name of the job; empty if the job is unknown.
    pub name: JobName,
    /// Client account of the job; empty if the job is unknown.
    pub account: AccountName,
    /// Workers that the decision concerns.
    pub workers: Vec<WorkerName>,
    /// Term of the scheduler.
    pub term: Term,
    /// Free text; may be empty.
    pub reason: String,
}

/// The scheduler of a region: accepts jobs, places them on workers, and runs them until they end.
///
/// While this daemon is not the region's scheduler, it refuses every call and only keeps the accounts, guarantees and
/// policy that it is given, so that a takeover has them. It drops accounts and guarantees when it is deposed.
#[derive(Clone, Debug)]
pub struct Scheduler {
    region: RegionName,
    retention: Retention,
    snapshots: SnapshotLimits,
    row_bytes: usize,
    step_limits: StepLimits,
    config: RegionConfig,
    /// State of the current term; `None` while this daemon is not the scheduler.
    active: Option<Box<ActiveScheduler>>,
}

impl Scheduler {
    /// A scheduler of `region` that is not elected.
    pub fn new(region: RegionName) -> Self {
        Self {
            region,
            retention: Retention::default(),
            snapshots: SnapshotLimits::default(),
            row_bytes: usize::MAX,
            step_limits: StepLimits::default(),
            config: RegionConfig {
                accounts: BTreeMap::new(),
                guarantees: BTreeMap::new(),
                policy: Policy::default(),
            },
            active: None,
        }
    }

    /// Sets how long ended jobs are kept, from the next election on.
    #[must_use]
    pub fn with_retention(mut self, retention: Retention) -> Self {
        self.retention = retention;
        self
    }

    /// Sets when a snapshot of the state is due, from the next election on.
    #[must_use]
    pub fn with_snapshots(mut self, limits: SnapshotLimits) -> Self {
        self.snapshots = limits;
        self
    }

    /// Limits the text of a journal row to what the table service can store.
    #[must_use]
    pub fn with_row_bytes(mut self, bytes: usize) -> Self {
        self.row_bytes = bytes;
        self
    }

    /// Sets the limits of the platform and of this daemon for the runs of steps, from the next election on.
    #[must_use]
    pub fn with_step_limits(mut self, limits: StepLimits) -> Self {
        self.step_limits = limits;
        self
    }

    /// Handles an event at `now`, which never goes back, and returns the actions that follow from it.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.track_config(&event);
        match event {
            Event::Elected {
                term,
                fence,
                snapshot,
                rows,
                wall,
            } => {
                let mut actions = self.depose();
                let active = ActiveScheduler::new(
                    now,
                    wall,
                    self.region.clone(),
                    (self.retention, self.snapshots, self.row_bytes),
                    (term, fence),
                    snapshot.as_deref(),
                    &rows,
                    &self.config,
                );
                match active {
                    Ok(mut active) => {
                        active.step_limits = self.step_limits;
                        self.active = Some(Box::new(active));
                    }
                    Err(error) => {
                        actions.push(Action::Log(LogLine::of("takeover failed", term, error.to_string())));
                        actions.push(Action::StepDown);
                    }
                }
                actions
            }
            Event::Deposed => self.depose(),
            Event::Outcome { term, event } => match &self.active {
                Some(active) if active.term == term => self.on(now, *event),
                _ => Vec::new(),
            },
            event => {
                let Some(active) = &mut self.active else {
                    return self.refuse(event);
                };
                let mut actions = active.on(now, event);
                if active.must_step_down() {
                    actions.extend(self.depose());
                    actions.push(Action::StepDown);
                }
                actions
            }
        }
    }

    /// Time at which an [`Event::Wake`] before the next tick is useful, since a batch of records or a placement that
    /// waits may then be written. `None` if none waits, or while this daemon is not the scheduler.
    pub fn wake_at(&self) -> Option<Millis> {
        self.active.as_ref().and_then(|active| active.wake_at())
    }

    /// Counts for metrics; `None` while this daemon is not the scheduler.
    pub fn stats(&self) -> Option<crate::planner::PlannerStats> {
        self.active.as_ref().map(|active| active.stats())
    }

    /// How much the scheduler of step jobs has to do; `None` while this daemon is not the scheduler.
    pub fn step_load(&self) -> Option<StepLoad> {
        self.active.as_ref().map(|active| active.steps.load())
    }

    /// Number of evacuated failure domains with workers; `None` while this daemon is not the scheduler.
    pub(crate) fn evacuated_domains(&self) -> Option<usize> {
        self.active.as_ref().map(|active| active.steps.evacuated_domains())
    }

    /// The failure domain of a worker of step jobs; `None` if the worker is not listed, or while this daemon is not the
    /// scheduler.
    pub(crate) fn step_domain(&self, worker: &WorkerName) -> Option<DomainName> {
        let active = self.active.as_ref()?;
        active.steps.domain_of(worker).cloned()
    }

    /// What the journal's writer holds; `None` while this daemon is not the scheduler.
    pub(crate) fn journal_load(&self) -> Option<JournalLoad> {
        self.active.as_ref().map(|active| active.appender.load())
    }

    /// Acts on `decision` as if the planner had made it, for tests of what follows from it.
    #[doc(hidden)]
    pub fn decide(&mut self, now: Millis, decision: crate::planner::Decision) -> Vec<Action> {
        let Some(active) = &mut self.active else {
            return Vec::new();
        };
        active.decide(now, decision);
        active.on(now, Event::Tick)
    }

    /// Keeps accounts, guarantees and the policy for the next election.
    fn track_config(&mut self, event: &Event) {
        match event {
            Event::Account(name, Some(spec)) => {
                self.config.accounts.insert(name.clone(), spec.clone());
            }
            Event::Account(name, None) => {
                self.config.accounts.remove(name);
            }
            Event::Guarantee(name, Some(guarantee)) => {
                self.config.guarantees.insert(name.clone(), guarantee.clone());
            }
            Event::Guarantee(name, None) => {
                self.config.guarantees.remove(name);
            }
            Event::Policy(policy) => self.config.policy = policy.clone(),
            _ => {}
        }
    }

    /// Drops the state of the term; every waiting call fails. Accounts and guarantees are given again after an election.
    fn depose(&mut self) -> Vec<Action> {
        let Some(mut active) = self.active.take() else {
            return Vec::new();
        };
        // They may change or be deleted before the next election.
        self.config.accounts.clear();
        self.config.guarantees.clear();
        active.steps_finish_term();
        active.fail_pending_calls()
    }

    /// Fails a call, and ignores other events, while this daemon is not the scheduler.
    fn refuse(&self, event: Event) -> Vec<Action> {
        const RETRY_AFTER_MS: u64 = 200;
        let steps = matches!(event, Event::Steps(_));
        let (Event::Call { token, .. } | Event::Steps(StepsEvent::Call { token, .. })) = event else {
            return Vec::new();
        };
        let failure = Failure {
            kind: ErrorKind::Unavailable,
            message: format!("this daemon is not the scheduler of region {}", self.region),
            ran: Ran::No,
            retry: Some(RETRY_AFTER_MS),
        };
        if steps {
            let answer = StepAnswer::Failed(failure);
            return vec![Action::Steps(StepsAction::Reply { token, answer })];
        }
        vec![Action::Reply {
            token,
            response: Response::Failed(failure),
        }]
    }
}

impl LogLine {
    /// A line about no job and no worker.
    pub(crate) fn of(what: &'static str, term: Term, reason: impl Into<String>) -> Self {
        Self {
            what,
            job: JobId(0),
            name: JobName::default(),
            account: AccountName::default(),
            workers: Vec::new(),
            term,
            reason: reason.into(),
        }
    }
}
