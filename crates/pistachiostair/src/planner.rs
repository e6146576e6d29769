//! Placement and queueing decisions, without I/O.
//!
//! The planner holds the topology, the waiting jobs and what runs where. It is fed with
//! [`Change`]s and asked for [`Decision`]s; it reads no clock and no random source.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::failures::FailureHistory;
use crate::fair::{Account, ClassKey, Stop};
use crate::guarantee::{Aid, Guarantees};
use crate::headroom::Headroom;
use crate::ids::{AccountName, GuaranteeName, JobId, WorkerName};
use crate::node::{Kind, Wid};
use crate::resource::{AccountSpec, Guarantee, JobSpec, MemberState, Scheduling, Shape, Size, WorkerInfo};
use crate::topology::Topology;

/// Something that happened and that placement depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker appeared, or its size, place or state changed. A leaving worker takes nothing new.
    Worker {
        /// Place and size.
        info: WorkerInfo,
        /// State; a dead worker is kept only while jobs are on it.
        state: MemberState,
    },
    /// A worker is gone for good.
    WorkerGone(WorkerName),
    /// A client account appeared or changed.
    Account(AccountName, AccountSpec),
    /// A guarantee appeared or changed.
    Guarantee(Guarantee),
    /// A guarantee was deleted.
    GuaranteeGone(GuaranteeName),
    /// Parameters changed.
    Scheduling(Scheduling),
    /// A job waits for a start; `served` is the service that its earlier attempts got.
    Queued {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// Service of earlier attempts.
        served: Millis,
    },
    /// A job was found running during takeover: it occupies these workers.
    Adopted {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// One worker for each part.
        workers: Vec<WorkerName>,
    },
    /// The whole gang runs since now.
    Running(JobId),
    /// The job left the queue and its workers: finished, cancelled, or about to be queued anew.
    Ended {
        /// The job.
        job: JobId,
        /// How it ended, for blame.
        end: End,
    },
    /// One part of a job ended and released its accelerators while others still hold theirs.
    PartEnded(JobId, u32),
    /// Observed usage of a running job's part, which lags.
    Usage(JobId, Size),
}

/// How a job left its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It succeeded.
    Succeeded,
    /// One part failed on this worker: index into the placement.
    Failed(u32),
    /// It was cancelled, reclaimed, or not started.
    Stopped,
}

/// What the planner decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start the job on these workers, one for each part. The planner counts them as taken from now on.
    Place {
        /// The job.
        job: JobId,
        /// One worker for each part.
        workers: Vec<WorkerName>,
        /// Why now and why here, for the log.
        reason: String,
    },
    /// Stop a running job, to give capacity back. It is counted as taken until `Change::Ended`.
    Reclaim {
        /// The job to stop.
        job: JobId,
        /// The waiting job that gains.
        winner: JobId,
        /// Time to checkpoint before the stop.
        grace: Millis,
        /// Why this one, for the log.
        reason: String,
    },
    /// The job can never run as it is.
    Unrunnable {
        /// The job.
        job: JobId,
        /// The reason, for the caller.
        reason: String,
    },
}

/// Figures for metrics and `describe`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Jobs that wait.
    pub waiting: usize,
    /// Jobs that are placed.
    pub placed: usize,
    /// Accelerators of live workers.
    pub accelerators: u32,
    /// Accelerators in use.
    pub used: u32,
    /// Largest number of adjacent free accelerators that one gang can get.
    pub largest: u32,
    /// Share of free accelerators outside the largest placeable shape, from 0 to 1.
    pub fragmentation: f64,
    /// Guarantees that can't be honoured at present.
    pub broken: usize,
}

/// A job in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) spec: JobSpec,
    pub(crate) account: Aid,
    pub(crate) key: ClassKey,
    pub(crate) since: Millis,
    pub(crate) served: Millis,
}

/// A job that occupies workers.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    pub(crate) spec: JobSpec,
    pub(crate) account: Aid,
    pub(crate) key: ClassKey,
    pub(crate) workers: Vec<Wid>,
    pub(crate) ended: BTreeSet<u32>,
    /// When it was placed, then when the whole gang began to run.
    pub(crate) since: Millis,
    pub(crate) running: bool,
    pub(crate) served: Millis,
    /// Counts as long: expected at the start, or observed since.
    pub(crate) long: bool,
    /// It has run longer than `Scheduling.short`.
    pub(crate) proven: bool,
    pub(crate) stopping: bool,
    /// Observed memory of each part, in mebibytes.
    pub(crate) memory: u64,
}

impl Placed {
    pub(crate) fn pinned(&self) -> bool {
        self.key.stop == Stop::Pinned
    }

    /// Service of this attempt.
    pub(crate) fn run(&self, now: Millis) -> Millis {
        if self.running {
            now.since(self.since)
        } else {
            Millis::ZERO
        }
    }

    /// Parts that still hold their accelerators.
    pub(crate) fn parts(&self) -> impl Iterator<Item = (u32, Wid)> + '_ {
        let parts = self.workers.iter().enumerate().map(|(part, wid)| (part as u32, *wid));
        parts.filter(|(part, _)| !self.ended.contains(part))
    }
}

/// Workers that are kept for a waiting job until they are free.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) workers: Vec<Wid>,
    pub(crate) reason: &'static str,
    pub(crate) since: Millis,
    /// Whether running work is being stopped for it.
    pub(crate) reclaim: bool,
    /// Whether it counts as long work that waits.
    pub(crate) long: bool,
}

/// The decision core of a region's scheduler.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(crate) topology: Topology,
    pub(crate) guarantees: Guarantees,
    pub(crate) blame: FailureHistory,
    pub(crate) accounts: Vec<Account>,
    names: BTreeMap<AccountName, Aid>,
    pub(crate) scheduling: Scheduling,
    pub(crate) waiting: BTreeMap<JobId, Waiting>,
    pub(crate) placed: BTreeMap<JobId, Placed>,
    pub(crate) holds: BTreeMap<JobId, Hold>,
    /// When running jobs become long.
    pub(crate) aging: BTreeSet<(Millis, JobId)>,
    /// Waiting jobs that can never run, unless hardware appears.
    pub(crate) doomed: BTreeSet<JobId>,
    /// Decisions that were taken together and exceeded the caller's limit.
    pub(crate) backlog: VecDeque<Decision>,
    pub(crate) headroom: Headroom,
    /// Rises whenever work that could not be placed before may be placeable now.
    pub(crate) epoch: u64,
    /// Shapes that did not fit since the epoch began.
    pub(crate) unfit: BTreeSet<(Shape, Kind)>,
    /// Shapes that were tried since the epoch began.
    pub(crate) tried: BTreeSet<Shape>,
    pub(crate) turn: u64,
    /// Searches for running work to stop that may still fail, and when they were last refilled.
    pub(crate) searches: u32,
    pub(crate) refilled: Millis,
    /// When hardware last appeared.
    pub(crate) grown: Millis,
}

impl Planner {
    /// An empty planner.
    pub fn new() -> Self {
        let mut planner = Self::default();
        planner.topology.set_reserve(planner.scheduling.reserve);
        planner.epoch = 1;
        planner
    }

    /// Takes note of a change.
    pub fn apply(&mut self, now: Millis, change: Change) {
        match change {
            Change::Worker { info, state } => self.set_worker(now, info, state),
            Change::WorkerGone(name) => self.remove_worker(&name),
            Change::Account(name, spec) => {
                let account = self.account(&name);
                self.accounts[account].spec = spec;
                self.next_epoch();
            }
            Change::Guarantee(guarantee) => {
                let account = self.account(&guarantee.spec.account);
                let name = guarantee.name();
                self.guarantees.set(&mut self.topology, name, account, guarantee.spec);
                self.next_epoch();
            }
            Change::GuaranteeGone(name) => {
                self.guarantees.remove(&mut self.topology, &name);
                self.next_epoch();
            }
            Change::Scheduling(scheduling) => {
                self.topology.set_reserve(scheduling.reserve);
                self.scheduling = scheduling;
                self.next_epoch();
            }
            Change::Queued { job, spec, served } => self.queue(now, job, spec, served),
            Change::Adopted { job, spec, workers } => self.adopt(now, job, spec, &workers),
            Change::Running(job) => self.start(now, job),
            Change::Ended { job, end } => self.end(now, job, end),
            Change::PartEnded(job, part) => self.end_part(job, part),
            Change::Usage(job, size) => self.observe_usage(job, size),
        }
    }

    /// Returns at most `limit` decisions.
    pub fn plan(&mut self, now: Millis, limit: usize) -> Vec<Decision> {
        self.age(now);
        self.guarantees.settle(&mut self.topology);
        let mut decisions = Vec::new();
        self.drain_backlog(&mut decisions, limit);
        self.reject(now, &mut decisions, limit);
        self.fulfil(now, &mut decisions, limit);
        self.fill(now, &mut decisions, limit);
        self.probe(now, &mut decisions, limit);
        self.recover(now, limit.saturating_sub(decisions.len()));
        self.drain_backlog(&mut decisions, limit);
        decisions
    }

    /// Checks whether a guarantee can be honoured together with all others; the reason if not.
    pub fn check_guarantee(&self, guarantee: &Guarantee) -> Result<(), String> {
        let shape = guarantee.spec.shape;
        if !self.topology.holds(shape) {
            return Err(format!("no hardware of this region can hold {shape}"));
        }
        let account = self.names.get(&guarantee.spec.account).copied();
        let account = account.unwrap_or(self.accounts.len());
        let (mut guarantees, mut topology) = (self.guarantees.clone(), self.topology.clone());
        guarantees.settle(&mut topology);
        let before = guarantees.broken();
        guarantees.set(&mut topology, guarantee.name(), account, guarantee.spec.clone());
        guarantees.settle(&mut topology);
        let after = guarantees.broken();
        if let Some((_, missing)) = after.get(&guarantee.name()) {
            let count = guarantee.spec.count;
            return Err(format!(
                "{missing} of {count} x {shape} can't be packed beside the other guarantees and work that can't be \
                 stopped"
            ));
        }
        match after.keys().find(|name| !before.contains_key(name)) {
            Some(other) => Err(format!("guarantee {other} could no longer be honoured")),
            None => Ok(()),
        }
    }

    /// Explains why a job waits, in lines for people; nothing if it does not wait.
    pub fn explain(&self, job: JobId) -> Vec<String> {
        self.reasons(job)
    }

    /// Guarantees with the reason why they can't be honoured at present.
    pub fn broken_guarantees(&self) -> Vec<(GuaranteeName, String)> {
        let broken = if self.guarantees.is_dirty() {
            let (mut guarantees, mut topology) = (self.guarantees.clone(), self.topology.clone());
            guarantees.settle(&mut topology);
            guarantees.broken()
        } else {
            self.guarantees.broken()
        };
        let reason = |shape: Shape, missing: u32| {
            let cause = if self.topology.holds(shape) {
                "left by live workers, other guarantees and work that can't be stopped"
            } else {
                "in the hardware"
            };
            format!("no room for {missing} x {shape} {cause}")
        };
        broken
            .into_iter()
            .map(|(name, (shape, missing))| (name, reason(shape, missing)))
            .collect()
    }

    /// Workers that are quarantined after failures of several jobs.
    pub fn quarantined(&self) -> Vec<WorkerName> {
        self.blame.quarantined()
    }

    /// Figures for metrics.
    pub fn figures(&self) -> Figures {
        let used = self.accounts.iter().map(|account| account.used).sum();
        let free: u32 = self.topology.racks.iter().map(|rack| rack.free).sum();
        let largest = self.topology.largest();
        let fragmentation = if free == 0 {
            0.0
        } else {
            1.0 - f64::from(largest) / f64::from(free)
        };
        Figures {
            waiting: self.waiting.len(),
            placed: self.placed.len(),
            accelerators: self.topology.total,
            used,
            largest,
            fragmentation,
            broken: self.broken_guarantees().len(),
        }
    }

    /// Index of an account; one that was never declared has weight 1 and no quota.
    pub(crate) fn account(&mut self, name: &AccountName) -> Aid {
        if let Some(account) = self.names.get(name) {
            return *account;
        }
        let account = self.accounts.len();
        self.accounts.push(Account::new(name.clone()));
        self.names.insert(name.clone(), account);
        account
    }

    /// Lets everything that did not fit be tried again.
    pub(crate) fn next_epoch(&mut self) {
        self.epoch += 1;
        self.unfit.clear();
        self.tried.clear();
    }
}
