//! The planner: decides which waiting job starts on which workers and which running work is stopped for it.
//!
//! The active scheduler of a region owns one [`Planner`]. It reports every [`Change`] of workers, jobs, accounts
//! and guarantees with [`Planner::apply`] and asks for [`Decision`]s with [`Planner::plan`]. The planner does no I/O
//! and reads neither a clock nor a random source, so the same calls always give the same decisions.
//!
//! The steps of a plan call are in other modules: `placement` (free workers, in fair order), `reclaim` (running work
//! that is stopped for waiting jobs) and `compact` (compaction and reservations for large gangs). `bookkeeping`
//! applies the changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::Millis;
use crate::failures::FailureHistory;
use crate::fair::{AccountState, ClassKey, StopEffect};
use crate::guarantee::{AccountIndex, Guarantees};
use crate::headroom::Headroom;
use crate::ids::{AccountName, GuaranteeName, JobId, WorkerName};
use crate::rack::{WorkKind, WorkerIndex};
use crate::resource::{AccountSpec, Guarantee, JobSpec, MemberState, Scheduling, Shape, Size, WorkerInfo};
use crate::topology::Topology;

/// An event that placement depends on, for [`Planner::apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A worker appeared, or its capacity, rack or state changed. Only live workers get new work.
    Worker {
        /// Capacity and location of the worker.
        info: WorkerInfo,
        /// State of the worker. A dead worker stays known only while jobs are placed on it.
        state: MemberState,
    },
    /// A worker was removed from the region. It is forgotten once no job is counted on it.
    WorkerRemoved(WorkerName),
    /// The settings of a client account were set or changed.
    Account(AccountName, AccountSpec),
    /// A guarantee was created or changed. One that can't be honoured is listed by [`Planner::broken_guarantees`].
    Guarantee(Guarantee),
    /// A guarantee was deleted.
    GuaranteeDeleted(GuaranteeName),
    /// The scheduling parameters changed.
    Scheduling(Scheduling),
    /// The workers on which a job failed under earlier schedulers. Comes before the job is queued or adopted.
    FailedBefore {
        /// The job.
        job: JobId,
        /// The workers.
        workers: BTreeSet<WorkerName>,
    },
    /// A job waits for a start. Ignored if the job already waits or is placed.
    Queued {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// Run time of its earlier attempts; zero if there were none.
        served: Millis,
    },
    /// A job that an earlier scheduler placed was found running during takeover.
    Adopted {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// The worker of each part, in the order of the parts. Workers that have not reported yet are allowed.
        workers: Vec<WorkerName>,
    },
    /// All parts of a placed job run. The run time of the attempt counts from the time of this call.
    Running(JobId),
    /// A job left the queue or its workers: it finished, was cancelled, or will be queued again.
    Ended {
        /// The job.
        job: JobId,
        /// How its attempt ended; failures count against the job and the worker.
        end: AttemptEnd,
    },
    /// The part with this index ended and released its accelerators while other parts of the job still hold theirs.
    PartEnded(JobId, u32),
    /// Observed resource use of one part of a placed job. It replaces the previous observation and is counted for
    /// each part. Observations lag behind the real use.
    Usage(JobId, Size),
}

/// How an attempt of a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// All parts succeeded.
    Succeeded,
    /// The part with this index failed.
    Failed(u32),
    /// The job was cancelled, reclaimed or not started. Nothing is counted against the job or its workers.
    Stopped,
}

/// What the caller of [`Planner::plan`] has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start a waiting job. The planner counts the capacity as used from now on.
    Place {
        /// The job to start.
        job: JobId,
        /// The worker of each part, in the order of the parts. Parts without accelerators may share a worker.
        workers: Vec<WorkerName>,
        /// Why the job is placed now and on these workers, for the log.
        reason: String,
    },
    /// Stop a placed job to free its capacity, which counts as used until [`Change::Ended`] for the job.
    Reclaim {
        /// The job to stop.
        job: JobId,
        /// The waiting job that gets the capacity.
        beneficiary: JobId,
        /// Time that the job has for a checkpoint before it is stopped.
        grace: Millis,
        /// Why capacity is reclaimed, for the log.
        reason: String,
    },
    /// End a waiting job that can't run in this region. The planner has forgotten the job.
    Unrunnable {
        /// The job to end.
        job: JobId,
        /// Why it can't run, for the caller who submitted it.
        reason: String,
    },
}

/// Queue, use and fragmentation of the region, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannerStats {
    /// Number of jobs that wait.
    pub waiting: usize,
    /// Number of jobs that are placed.
    pub placed: usize,
    /// Accelerators of live workers.
    pub accelerators: u32,
    /// Accelerators held by placed jobs.
    pub used: u32,
    /// Largest number of adjacent free accelerators that one gang can get.
    pub largest: u32,
    /// Share of the free accelerators that the largest placeable gang could not use, from 0 to 1; 0 if none is free.
    pub fragmentation: f64,
    /// Number of guarantees that can't be honoured at present.
    pub broken: usize,
}

/// A job that waits for workers, whether or not some are held for it.
#[derive(Clone, Debug)]
pub(crate) struct WaitingJob {
    pub(crate) spec: JobSpec,
    pub(crate) account: AccountIndex,
    pub(crate) key: ClassKey,
    /// When it was queued.
    pub(crate) since: Millis,
    /// Run time of earlier attempts.
    pub(crate) served: Millis,
}

/// A job that is placed on workers, from the decision until it has ended.
#[derive(Clone, Debug)]
pub(crate) struct PlacedJob {
    pub(crate) spec: JobSpec,
    pub(crate) account: AccountIndex,
    pub(crate) key: ClassKey,
    /// The worker of each part.
    pub(crate) workers: Vec<WorkerIndex>,
    /// Indexes of the parts that have ended.
    pub(crate) ended: BTreeSet<u32>,
    /// When it was placed or, once `running` is set, when the whole gang began to run.
    pub(crate) since: Millis,
    pub(crate) running: bool,
    /// Run time of earlier attempts.
    pub(crate) served: Millis,
    /// Whether it counts as long work: it was expected to be long, or has run longer than `Scheduling.short`.
    pub(crate) long: bool,
    /// Whether it has run longer than `Scheduling.short`, earlier attempts included.
    pub(crate) ran_long: bool,
    /// Whether it is being stopped by a reclaim decision.
    pub(crate) stopping: bool,
    /// Observed memory of each part, in mebibytes.
    pub(crate) memory: u64,
}

impl PlacedJob {
    /// Whether the job can't be stopped.
    pub(crate) fn pinned(&self) -> bool {
        self.key.stop == StopEffect::Pinned
    }

    /// Run time of this attempt; zero until the whole gang runs.
    pub(crate) fn run_time(&self, now: Millis) -> Millis {
        if self.running {
            now.since(self.since)
        } else {
            Millis::ZERO
        }
    }

    /// Index and worker of each part that has not ended.
    pub(crate) fn active_parts(&self) -> impl Iterator<Item = (u32, WorkerIndex)> + '_ {
        let parts = self
            .workers
            .iter()
            .enumerate()
            .map(|(part, worker)| (part as u32, *worker));
        parts.filter(|(part, _)| !self.ended.contains(part))
    }
}

/// Workers that are held for a waiting job until the work on them has ended.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    /// The worker of each part.
    pub(crate) workers: Vec<WorkerIndex>,
    /// Why they are held, for the log and for `explain`.
    pub(crate) reason: &'static str,
    pub(crate) since: Millis,
    /// True if running work is being stopped for the job; false for a reservation, which waits for work to end.
    pub(crate) reclaim: bool,
    /// Whether its accelerators are counted in the headroom as held for long work.
    pub(crate) long: bool,
}

/// Decides placement and reclaim for the jobs of one region; see the module for its use.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pub(crate) topology: Topology,
    pub(crate) guarantees: Guarantees,
    pub(crate) blame: FailureHistory,
    pub(crate) accounts: Vec<AccountState>,
    account_indexes: BTreeMap<AccountName, AccountIndex>,
    pub(crate) scheduling: Scheduling,
    pub(crate) waiting: BTreeMap<JobId, WaitingJob>,
    pub(crate) placed: BTreeMap<JobId, PlacedJob>,
    pub(crate) holds: BTreeMap<JobId, Hold>,
    /// Running jobs by the time at which their run time exceeds `Scheduling.short`.
    pub(crate) aging: BTreeSet<(Millis, JobId)>,
    /// Waiting jobs that no hardware can hold or that failed on too many workers. The former may become runnable
    /// when hardware is added.
    pub(crate) unrunnable: BTreeSet<JobId>,
    /// Decisions that have taken effect in the planner but were not yet returned to the caller.
    pub(crate) backlog: VecDeque<Decision>,
    pub(crate) headroom: Headroom,
    /// Incremented whenever work that could not be placed before may be placeable now.
    pub(crate) epoch: u64,
    /// Shapes for which no workers were found in this epoch, by the kind of work.
    pub(crate) unfit: BTreeSet<(Shape, WorkKind)>,
    /// Shapes that were checked for free workers in this epoch, whatever the kind of work.
    pub(crate) tried: BTreeSet<Shape>,
    /// Number of placements so far.
    pub(crate) placements: u64,
    /// Tokens of the bucket that limits searches over running work. A search for work to reclaim takes one if it finds
    /// nothing, a search for room for a gang always.
    pub(crate) search_tokens: u32,
    /// When tokens were last added.
    pub(crate) last_refill: Millis,
    /// When hardware was last added.
    pub(crate) last_growth: Millis,
}

impl Planner {
    /// A planner without workers, jobs and guarantees, with the default scheduling parameters.
    pub fn new() -> Self {
        let mut planner = Self::default();
        planner.topology.set_reserve(planner.scheduling.reserve);
        planner.epoch = 1;
        planner
    }

    /// Updates the planner for a change that happened at `now`. Decisions follow with the next [`Self::plan`].
    pub fn apply(&mut self, now: Millis, change: Change) {
        match change {
            Change::Worker { info, state } => self.set_worker(now, info, state),
            Change::WorkerRemoved(name) => self.remove_worker(&name),
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
            Change::GuaranteeDeleted(name) => {
                self.guarantees.remove(&mut self.topology, &name);
                self.next_epoch();
            }
            Change::Scheduling(scheduling) => {
                self.topology.set_reserve(scheduling.reserve);
                self.scheduling = scheduling;
                self.next_epoch();
            }
            Change::FailedBefore { job, workers } => self.blame.restore_job(job, workers),
            Change::Queued { job, spec, served } => self.queue(now, job, spec, served),
            Change::Adopted { job, spec, workers } => self.adopt(now, job, spec, &workers),
            Change::Running(job) => self.start(now, job),
            Change::Ended { job, end } => self.end(now, job, end),
            Change::PartEnded(job, part) => self.end_part(job, part),
            Change::Usage(job, size) => self.observe_usage(job, size),
        }
    }

    /// Returns at most `limit` decisions; none if nothing can be decided at `now`.
    ///
    /// If as many as `limit` are returned, there may be more for another call. Some rules depend on how long jobs
    /// have waited, so the call is repeated as time passes even without changes.
    pub fn plan(&mut self, now: Millis, limit: usize) -> Vec<Decision> {
        self.age(now);
        self.guarantees.update_packing(&mut self.topology);
        let mut decisions = Vec::new();
        self.drain_backlog(&mut decisions, limit);
        self.reject_unrunnable(now, &mut decisions, limit);
        self.place_held(now, &mut decisions, limit);
        self.place_waiting(now, &mut decisions, limit);
        self.probe_quarantined(now, &mut decisions, limit);
        self.reclaim_and_reserve(now, limit.saturating_sub(decisions.len()));
        self.drain_backlog(&mut decisions, limit);
        decisions
    }

    /// Checks whether a guarantee can be honoured together with all others. One with the same name is replaced.
    ///
    /// # Errors
    ///
    /// The reason, for the caller: the hardware can't hold the shape, there is no room beside the other guarantees
    /// and work that can't be stopped, or another guarantee would break.
    pub fn check_guarantee(&self, guarantee: &Guarantee) -> Result<(), String> {
        let shape = guarantee.spec.shape;
        if !self.topology.can_hold(shape) {
            return Err(format!("no hardware of this region can hold {shape}"));
        }
        let account = self.account_indexes.get(&guarantee.spec.account).copied();
        let account = account.unwrap_or(self.accounts.len());
        let (mut guarantees, mut topology) = (self.guarantees.clone(), self.topology.clone());
        guarantees.update_packing(&mut topology);
        let before = guarantees.broken();
        guarantees.set(&mut topology, guarantee.name(), account, guarantee.spec.clone());
        guarantees.update_packing(&mut topology);
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

    /// Explains why a job waits, one reason a line, as text for people; empty if the job does not wait.
    pub fn explain(&self, job: JobId) -> Vec<String> {
        self.reasons(job)
    }

    /// Guarantees that can't be honoured at present, each with the reason as text for people.
    pub fn broken_guarantees(&self) -> Vec<(GuaranteeName, String)> {
        let broken = if self.guarantees.is_dirty() {
            let (mut guarantees, mut topology) = (self.guarantees.clone(), self.topology.clone());
            guarantees.update_packing(&mut topology);
            guarantees.broken()
        } else {
            self.guarantees.broken()
        };
        let reason = |shape: Shape, missing: u32| {
            let cause = if self.topology.can_hold(shape) {
                "on the live workers beside other guarantees and work that can't be stopped"
            } else {
                "in the hardware of this region"
            };
            format!("no room for {missing} x {shape} {cause}")
        };
        broken
            .into_iter()
            .map(|(name, (shape, missing))| (name, reason(shape, missing)))
            .collect()
    }

    /// Workers that are quarantined after failures of several jobs. They get only probes.
    pub fn quarantined(&self) -> Vec<WorkerName> {
        self.blame.quarantined()
    }

    /// Queue, use and fragmentation at present, for metrics.
    pub fn stats(&self) -> PlannerStats {
        let used = self.accounts.iter().map(|account| account.used).sum();
        let free: u32 = self.topology.racks.iter().map(|rack| rack.free).sum();
        let largest = self.topology.largest_gang();
        let fragmentation = if free == 0 {
            0.0
        } else {
            1.0 - f64::from(largest) / f64::from(free)
        };
        PlannerStats {
            waiting: self.waiting.len(),
            placed: self.placed.len(),
            accelerators: self.topology.total,
            used,
            largest,
            fragmentation,
            broken: self.broken_guarantees().len(),
        }
    }

    /// Index of an account. An unknown one is added with weight 1 and without a quota.
    pub(crate) fn account(&mut self, name: &AccountName) -> AccountIndex {
        if let Some(account) = self.account_indexes.get(name) {
            return *account;
        }
        let account = self.accounts.len();
        self.accounts.push(AccountState::new(name.clone()));
        self.account_indexes.insert(name.clone(), account);
        account
    }

    /// Starts a new epoch, in which shapes and job classes that did not fit are tried again.
    pub(crate) fn next_epoch(&mut self) {
        self.epoch += 1;
        self.unfit.clear();
        self.tried.clear();
    }
}
