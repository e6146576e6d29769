//! Life cycle of jobs in a region, without I/O.

use std::collections::BTreeMap;

use crate::active::{ActiveScheduler, RegionConfig, Retention};
use crate::appender::{AppendAction, AppendEvent};
use crate::clock::Millis;
use crate::edge::Transaction;
use crate::error::{ErrorKind, Ran};
use crate::ids::{AccountName, GuaranteeName, JobId, JobName, RegionName, Seq, Term, WorkerName};
use crate::message::{Call, Failure, Response};
use crate::number_id;
use crate::resource::{AccountSpec, Guarantee, MemberState, Policy};
use crate::snapshot::SnapshotLimits;
use crate::steps::{StepAnswer, StepsAction, StepsEvent};
use crate::worker::{BatchReply, Changes, CommandBatch};

number_id! {
    /// A call that waits for its response, numbered by the service.
    Token(u64)
}

/// Something that happened and that the scheduler reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This daemon became the region's scheduler.
    Elected {
        /// Its term.
        term: Term,
        /// Version of the term row.
        fence: u64,
        /// The newest snapshot.
        snapshot: Option<Vec<u8>>,
        /// Journal rows behind the snapshot, in order.
        rows: Vec<(Seq, String)>,
        /// Milliseconds since the Unix epoch, for deadlines and retention across takeovers.
        wall: Millis,
    },
    /// Whether it may accept, place and start; renewing, stopping and reclaiming go on without.
    LeaseChanged {
        /// Whether the lease is held.
        held: bool,
    },
    /// This daemon is no longer the scheduler.
    Deposed,
    /// A caller's request.
    Call {
        /// Number for the response.
        token: Token,
        /// The request.
        call: Call,
    },
    /// The caller no longer waits for the response.
    Abandoned {
        /// Number of the call.
        token: Token,
    },
    /// News of a worker.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The changes, or nothing if it does not answer.
        changes: Option<Changes>,
    },
    /// Outcomes of a supervisor's requests to a worker, oldest first; true for a success.
    Outcomes {
        /// The worker.
        worker: WorkerName,
        /// The outcomes.
        outcomes: Vec<bool>,
    },
    /// Answer to commands.
    Replied {
        /// The worker.
        worker: WorkerName,
        /// The commands.
        batch: CommandBatch,
        /// The reply, or nothing if it was lost.
        reply: Option<BatchReply>,
    },
    /// The workers of the platform's list with their states: once after a takeover, then at each change.
    WorkerList(BTreeMap<WorkerName, MemberState>),
    /// A client account was created, changed or deleted.
    Account(AccountName, Option<AccountSpec>),
    /// A guarantee was created, changed or deleted.
    Guarantee(GuaranteeName, Option<Guarantee>),
    /// The configuration in force changed.
    Policy(Policy),
    /// Outcome of [`Action::Append`].
    Stored(AppendEvent),
    /// Something about jobs made of steps.
    Steps(StepsEvent),
    /// Time passed; comes every 100 ms.
    Tick,
}

/// What the scheduler's service must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Work for the journal.
    Append(AppendAction),
    /// Answer a call.
    Reply {
        /// Number of the call.
        token: Token,
        /// The response.
        response: Response,
    },
    /// Send commands to a worker through its supervisor.
    Send {
        /// The worker.
        worker: WorkerName,
        /// The commands.
        batch: CommandBatch,
    },
    /// Commit a guarantee's row, then answer the call from the outcome.
    WriteGuarantee {
        /// Number of the call.
        token: Token,
        /// The transaction.
        transaction: Transaction,
        /// The guarantee as written, or nothing if it was deleted.
        guarantee: Option<Guarantee>,
    },
    /// A newer term was seen: stop being the scheduler.
    StepDown,
    /// Work for jobs made of steps.
    Steps(StepsAction),
    /// A line for the log.
    Log(LogLine),
}

/// One decision, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// What was decided, such as `placed`.
    pub what: &'static str,
    /// The job.
    pub job: JobId,
    /// Its name.
    pub name: JobName,
    /// Its client account.
    pub account: AccountName,
    /// Chosen workers.
    pub workers: Vec<WorkerName>,
    /// Term.
    pub term: Term,
    /// Reason.
    pub reason: String,
}

/// The scheduler of a region: accepts jobs, places them, and carries them to their end.
///
/// While this daemon is not the region's scheduler it refuses every call and does nothing else.
#[derive(Clone, Debug)]
pub struct Scheduler {
    region: RegionName,
    retention: Retention,
    snapshots: SnapshotLimits,
    row_bytes: usize,
    known: RegionConfig,
    active: Option<Box<ActiveScheduler>>,
}

impl Scheduler {
    /// A scheduler that waits to be elected.
    pub fn new(region: RegionName) -> Self {
        Self {
            region,
            retention: Retention::default(),
            snapshots: SnapshotLimits::default(),
            row_bytes: usize::MAX,
            known: RegionConfig {
                accounts: BTreeMap::new(),
                guarantees: BTreeMap::new(),
                policy: Policy::default(),
            },
            active: None,
        }
    }

    /// Changes how long ended jobs are kept.
    #[must_use]
    pub fn with_retention(mut self, retention: Retention) -> Self {
        self.retention = retention;
        self
    }

    /// Changes when a snapshot of the state is due.
    #[must_use]
    pub fn with_snapshots(mut self, limits: SnapshotLimits) -> Self {
        self.snapshots = limits;
        self
    }

    /// Lowers the bytes of records in a row of the journal to what the table service holds.
    #[must_use]
    pub fn with_row_bytes(mut self, bytes: usize) -> Self {
        self.row_bytes = bytes;
        self
    }

    /// Takes note of an event and returns what must be done.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.remember(&event);
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
                    &self.known,
                );
                match active {
                    Ok(active) => self.active = Some(Box::new(active)),
                    Err(error) => {
                        actions.push(Action::Log(LogLine::of("takeover failed", term, error.to_string())));
                        actions.push(Action::StepDown);
                    }
                }
                actions
            }
            Event::Deposed => self.depose(),
            event => {
                let Some(active) = &mut self.active else {
                    return self.refuse(event);
                };
                let mut actions = active.on(now, event);
                if active.over() {
                    actions.extend(self.depose());
                    actions.push(Action::StepDown);
                }
                actions
            }
        }
    }

    /// When an [`Event::Tick`] before the regular one is useful: a batch waits for its gap.
    pub fn wake_at(&self) -> Option<Millis> {
        self.active.as_ref().and_then(|active| active.wake_at())
    }

    /// Counts for metrics; nothing while this daemon is not the scheduler.
    pub fn figures(&self) -> Option<crate::planner::Figures> {
        self.active.as_ref().map(|active| active.figures())
    }

    /// Acts on a decision as if the planner had made it, for tests of what follows from it.
    #[doc(hidden)]
    pub fn decide(&mut self, now: Millis, decision: crate::planner::Decision) -> Vec<Action> {
        let Some(active) = &mut self.active else {
            return Vec::new();
        };
        active.decide(now, decision);
        active.on(now, Event::Tick)
    }

    fn remember(&mut self, event: &Event) {
        match event {
            Event::Account(name, Some(spec)) => {
                self.known.accounts.insert(name.clone(), spec.clone());
            }
            Event::Account(name, None) => {
                self.known.accounts.remove(name);
            }
            Event::Guarantee(name, Some(guarantee)) => {
                self.known.guarantees.insert(name.clone(), guarantee.clone());
            }
            Event::Guarantee(name, None) => {
                self.known.guarantees.remove(name);
            }
            Event::Policy(policy) => self.known.policy = policy.clone(),
            _ => {}
        }
    }

    fn depose(&mut self) -> Vec<Action> {
        self.active.take().map_or_else(Vec::new, |mut active| active.abandon())
    }

    fn refuse(&self, event: Event) -> Vec<Action> {
        const RETRY_MS: u64 = 200;
        let steps = matches!(event, Event::Steps(_));
        let (Event::Call { token, .. } | Event::Steps(StepsEvent::Call { token, .. })) = event else {
            return Vec::new();
        };
        let failure = Failure {
            kind: ErrorKind::Unavailable,
            message: format!("this daemon is not the scheduler of region {}", self.region),
            ran: Ran::No,
            retry: Some(RETRY_MS),
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
