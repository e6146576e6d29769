//! The elected scheduler of a region: its state under one term and the order in which an event is processed.
//!
//! An event changes the state and marks jobs and workers as dirty. Before [`ActiveScheduler::on`] returns, it handles
//! committed journal rows, advances dirty jobs, asks the planner for placements, writes the pending records, and sends
//! dirty workers the commands that they lack.

use std::collections::{BTreeMap, BTreeSet};

use crate::appender::{AppendAction, Appender};
use crate::calls::Calls;
use crate::clock::Millis;
use crate::commits::answer_deletes;
use crate::ejection::Ejector;
use crate::error::{Error, ErrorKind, Result};
use crate::gang::Run;
use crate::ids::{AccountName, GuaranteeName, JobId, RegionName, Seq, Term, WorkerName};
use crate::journal::{Batch, Record};
use crate::outlier::Probe;
use crate::planner::{Change, Planner, PlannerStats};
use crate::reconcile::Upstream;
use crate::resource::{AccountSpec, Guarantee, JobPhase, MemberState, Policy};
use crate::scheduler::{Action, Event, LogLine};
use crate::snapshot::SnapshotLimits;
use crate::state::{JobState, RegionState};
use crate::steps::{StepLimits, StepScheduler};
use crate::steps_active::recover_steps;

/// Most decisions that the planner makes for one batch of records; it is asked for more with the next batch.
const PLAN_LIMIT: usize = 256;

/// How long ended jobs are kept, so that callers can still ask for their outcome. A job is forgotten once either limit
/// is exceeded, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Time in milliseconds after the job's end.
    pub span: Millis,
    /// Number of ended jobs in the region.
    pub jobs: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            span: Millis::from_secs(3_600),
            jobs: 20_000,
        }
    }
}

/// Configuration of a region in force.
#[derive(Clone, Debug)]
pub(crate) struct RegionConfig {
    pub(crate) accounts: BTreeMap<AccountName, AccountSpec>,
    pub(crate) guarantees: BTreeMap<GuaranteeName, Guarantee>,
    pub(crate) policy: Policy,
}

/// State of the region's scheduler under one term. Created at the election, dropped when the daemon is deposed.
#[derive(Clone, Debug)]
pub(crate) struct ActiveScheduler {
    pub(crate) region: RegionName,
    pub(crate) retention: Retention,
    pub(crate) term: Term,
    /// Version of the term row, on which transactions are conditional.
    pub(crate) fence: u64,
    /// Whether this daemon holds the scheduler's lease at the event in progress; without it no job is accepted, placed
    /// or started.
    pub(crate) lease_held: bool,
    /// The end of that lease, which may have passed.
    pub(crate) lease_until: Millis,
    /// A worker has seen a newer term.
    pub(crate) superseded: bool,
    pub(crate) elected_at: Millis,
    /// Wall clock at `elected_at`.
    elected_wall: Millis,
    /// Wall clock at the event in progress, in milliseconds since the Unix epoch.
    pub(crate) wall: Millis,
    pub(crate) config: RegionConfig,
    /// Folded from the committed records only.
    pub(crate) state: RegionState,
    pub(crate) appender: Appender,
    pub(crate) planner: Planner,
    /// Something changed that placement depends on since the planner was last asked.
    pub(crate) replan: bool,
    /// Attempts in progress: those whose placement is committed and whose end is not.
    pub(crate) runs: BTreeMap<JobId, Run>,
    /// Jobs whose placement is not committed yet, with the planner's reason for it.
    pub(crate) placing: BTreeMap<JobId, String>,
    /// Jobs whose `Finished` record is not committed yet, or that wait for their answer to be stored first.
    pub(crate) finishing: BTreeSet<JobId>,
    /// Long answers that must be stored as objects before their job ends, and whether the write is in flight.
    pub(crate) storing: BTreeMap<JobId, (String, bool)>,
    /// Ended jobs whose removal is not committed yet.
    pub(crate) forgetting: BTreeSet<JobId>,
    pub(crate) workers: BTreeMap<WorkerName, Upstream>,
    /// Ejects workers that fail requests.
    pub(crate) ejector: Ejector<WorkerName>,
    /// Last probe of each ejected worker.
    pub(crate) probes: BTreeMap<WorkerName, Probe>,
    /// The platform's list of workers; `None` until it arrives in this term.
    pub(crate) listed: Option<BTreeMap<WorkerName, MemberState>>,
    pub(crate) calls: Calls,
    /// Deadlines of jobs that have not ended, on the wall clock.
    pub(crate) deadlines: BTreeSet<(Millis, JobId)>,
    /// When jobs become dirty.
    pub(crate) job_timers: BTreeSet<(Millis, JobId)>,
    /// When workers become dirty.
    pub(crate) worker_timers: BTreeSet<(Millis, WorkerName)>,
    /// Jobs to advance before the event in progress is done.
    pub(crate) dirty_jobs: BTreeSet<JobId>,
    /// Workers to send commands to before the event in progress is done.
    pub(crate) dirty_workers: BTreeSet<WorkerName>,
    /// Actions that the event in progress returns.
    pub(crate) actions: Vec<Action>,
    /// Jobs made of steps.
    pub(crate) steps: StepScheduler,
    /// Limits of the platform and of this daemon for the runs of steps.
    pub(crate) step_limits: StepLimits,
}

impl ActiveScheduler {
    /// Rebuilds the state from the newest snapshot and the journal rows after it, and continues the attempts in
    /// progress. Fails if the snapshot is damaged, or a row is missing or damaged.
    #[expect(clippy::too_many_arguments, reason = "called once, with everything a takeover reads")]
    pub(crate) fn new(
        now: Millis,
        wall: Millis,
        region: RegionName,
        (retention, limits, row_bytes): (Retention, SnapshotLimits, usize),
        (term, fence): (Term, u64),
        snapshot: Option<&[u8]>,
        rows: &[(Seq, String)],
        config: &RegionConfig,
    ) -> Result<Self> {
        let mut state = snapshot.map(RegionState::decode).transpose()?.unwrap_or_default();
        let covered = state.seq;
        let mut deletes = Vec::new();
        let read = (
            snapshot.map_or(0, <[u8]>::len),
            rows.iter().map(|(_, text)| text.len()).sum(),
        );
        for (seq, text) in rows.iter().filter(|(seq, _)| *seq > covered) {
            if *seq != state.seq.next() {
                let text = format!("row {} is missing before row {seq}", state.seq.next());
                return Err(Error::msg(ErrorKind::Internal, "read journal", text));
            }
            let batch = Batch::parse(text)?;
            let is_forgotten = |record: &&Record| matches!(record, Record::Forgotten { .. });
            // Only the newest: its writer went on to another one after it had sent the removals of the one before.
            if let Some(record) = batch.records.iter().rfind(is_forgotten) {
                deletes = answer_deletes(&region, &state, record);
            }
            state.fold_batch(*seq, &batch);
        }
        // The clock of the region never goes back, whatever this daemon's clock says.
        let wall = wall.max(state.wall);
        let mut active = Self {
            appender: Appender::new(region.clone(), term, fence, state.seq, covered)
                .with_snapshots(limits)
                .with_read(read.0, read.1)
                .with_row_bytes(row_bytes),
            region,
            retention,
            term,
            fence,
            lease_held: false,
            lease_until: Millis::ZERO,
            superseded: false,
            elected_at: now,
            elected_wall: wall,
            wall,
            config: config.clone(),
            planner: Planner::new(),
            replan: true,
            runs: BTreeMap::new(),
            placing: BTreeMap::new(),
            finishing: BTreeSet::new(),
            storing: BTreeMap::new(),
            forgetting: BTreeSet::new(),
            workers: BTreeMap::new(),
            ejector: Ejector::probing(),
            probes: BTreeMap::new(),
            listed: None,
            calls: Calls::new(state.last_job),
            deadlines: BTreeSet::new(),
            job_timers: BTreeSet::new(),
            worker_timers: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_workers: BTreeSet::new(),
            actions: deletes.into_iter().map(Action::Append).collect(),
            steps: recover_steps(now, wall, term, &state),
            step_limits: StepLimits::default(),
            state,
        };
        active.recover(now);
        Ok(active)
    }

    /// Hands the configuration and all jobs that have not ended to the planner, and restores the attempts in progress.
    fn recover(&mut self, now: Millis) {
        self.configure(now);
        let guarantees: Vec<Guarantee> = self.config.guarantees.values().cloned().collect();
        for guarantee in guarantees {
            self.planner.apply(now, Change::Guarantee(guarantee));
        }
        let open: Vec<JobState> = self
            .state
            .jobs()
            .filter(|entry| entry.ended.is_none())
            .cloned()
            .collect();
        for entry in open {
            self.track_deadline(&entry);
            if !entry.failed.is_empty() {
                let (job, workers) = (entry.id, entry.failed.clone());
                self.planner.apply(now, Change::FailedBefore { job, workers });
            }
            match &entry.placement {
                Some(placement) => {
                    let run = Run::recovered(&entry, placement, now);
                    self.begin_run(now, entry.id, run);
                }
                // Its attempt ended before the cancellation was recorded.
                None if entry.cancelling => {
                    self.finish_queued(now, entry.id, JobPhase::Cancelled, "cancelled by a caller");
                }
                None => self.queue(now, &entry),
            }
            self.dirty_jobs.insert(entry.id);
        }
    }

    /// Has the job expire at its deadline, if it has one.
    pub(crate) fn track_deadline(&mut self, entry: &JobState) {
        if let Some(span) = entry.spec.deadline {
            self.deadlines.insert((entry.wall + span, entry.id));
        }
    }

    /// Hands a job to the planner to be placed.
    pub(crate) fn queue(&mut self, now: Millis, entry: &JobState) {
        let change = Change::Queued {
            job: entry.id,
            spec: entry.spec.clone(),
            served: entry.served,
        };
        self.planner.apply(now, change);
        self.replan = true;
    }

    /// Passes the policy's parameters and the accounts with the weights in force to the planner.
    fn configure(&mut self, now: Millis) {
        let scheduling = self.config.policy.scheduling.clone();
        self.planner.apply(now, Change::Scheduling(scheduling));
        let names: BTreeSet<AccountName> = self
            .config
            .accounts
            .keys()
            .chain(self.config.policy.weights.keys())
            .cloned()
            .collect();
        for name in names {
            self.configure_account(now, name);
        }
    }

    fn configure_account(&mut self, now: Millis, name: AccountName) {
        let mut spec = self.config.accounts.get(&name).cloned().unwrap_or(AccountSpec {
            weight: 1,
            quota: None,
            outstanding: None,
            rate: None,
        });
        if let Some(weight) = self.config.policy.weights.get(&name) {
            spec.weight = *weight;
        }
        self.planner.apply(now, Change::Account(name, spec));
        self.replan = true;
    }

    /// Whether this daemon must stop being the scheduler: a newer term was seen or a journal commit was fenced off.
    pub(crate) fn must_step_down(&self) -> bool {
        self.superseded || self.steps.outdated || self.appender.superseded()
    }

    pub(crate) fn wake_at(&self) -> Option<Millis> {
        let replan = self.lease_held && self.steps.replan;
        let placement = if replan { self.appender.ready_at() } else { None };
        self.appender.next_send().into_iter().chain(placement).min()
    }

    pub(crate) fn stats(&self) -> PlannerStats {
        self.planner.stats()
    }

    pub(crate) fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.wall = self.elected_wall + now.since(self.elected_at);
        if let Event::LeaseChanged { until } = event {
            self.lease_until = until;
        }
        self.check_lease(now);
        match event {
            Event::LeaseChanged { .. } => {}
            Event::Call { token, call } => self.handle_call(now, token, call),
            Event::Abandoned { token } => self.calls.abandon(token),
            Event::Report { worker, changes } => self.report(now, worker, changes),
            Event::Outcomes { worker, outcomes } => self.record_outcomes(now, &worker, &outcomes),
            Event::Replied { worker, batch, reply } => {
                self.probe_replied(now, &worker, &batch, reply.as_ref());
                self.replied(now, &worker, &batch, reply);
            }
            Event::WorkerList(workers) => self.update_listed(now, workers),
            Event::Account(name, spec) => {
                match spec {
                    Some(spec) => self.config.accounts.insert(name.clone(), spec),
                    None => self.config.accounts.remove(&name),
                };
                self.configure_account(now, name);
            }
            Event::Guarantee(name, guarantee) => self.apply_guarantee(now, name, guarantee),
            Event::Policy(policy) => {
                self.config.policy = policy;
                self.configure(now);
            }
            Event::Stored(event) => self.handle_append_event(now, event),
            Event::Steps(event) => self.steps_event(now, event),
            Event::Tick => {
                self.tick(now);
                self.steps_tick(now);
            }
            Event::Wake | Event::Elected { .. } | Event::Deposed | Event::Outcome { .. } => {}
        }
        self.process_pending(now);
        std::mem::take(&mut self.actions)
    }

    /// Compares the end of the lease with the clock at each event: the process may have been paused since the last one.
    fn check_lease(&mut self, now: Millis) {
        let held = now < self.lease_until;
        if held == self.lease_held {
            return;
        }
        self.lease_held = held;
        self.steps.replan = true;
        self.replan = true;
        self.dirty_workers.extend(self.workers.keys().cloned());
        self.dirty_jobs.extend(self.runs.keys().copied());
    }

    /// Processes what the event left pending: committed rows, dirty jobs, placements, records to write, dirty workers.
    fn process_pending(&mut self, now: Millis) {
        while let Some((seq, batch)) = self.appender.next_committed() {
            self.apply_batch(now, seq, &batch);
        }
        if self.must_step_down() {
            self.steps_flush();
            return;
        }
        while let Some(job) = self.dirty_jobs.pop_first() {
            self.advance_job(now, job);
        }
        if self.lease_held && self.replan && self.appender.ready(now) {
            self.plan(now);
        }
        self.steps_finish(now);
        let mut appends = self.appender.poll(now, self.wall);
        appends.extend(self.appender.maintain(now, &self.state));
        self.append(appends);
        while let Some(worker) = self.dirty_workers.pop_first() {
            self.dispatch(now, &worker);
        }
    }

    /// Adds actions for the journal or its objects.
    pub(crate) fn append(&mut self, actions: Vec<AppendAction>) {
        self.actions.extend(actions.into_iter().map(Action::Append));
    }

    /// Queues a record for the next batch. It takes effect on the state once it is committed.
    pub(crate) fn push(&mut self, record: Record) {
        self.appender.push([record]);
    }

    fn plan(&mut self, now: Millis) {
        let decisions = self.planner.plan(now, PLAN_LIMIT);
        self.replan = decisions.len() == PLAN_LIMIT;
        for decision in decisions {
            self.decide(now, decision);
        }
    }

    fn tick(&mut self, now: Millis) {
        // Placement also depends on time: reservations, quarantine, retries after a refusal.
        self.replan = true;
        self.expire(now);
        while let Some((at, job)) = self.job_timers.first().copied()
            && at <= now
        {
            self.job_timers.remove(&(at, job));
            self.dirty_jobs.insert(job);
        }
        self.check_workers(now);
        self.probe_ejected(now);
        self.expire_calls(now);
        self.forget_expired();
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, job)) = self.deadlines.first().copied()
            && at <= self.wall
        {
            self.deadlines.remove(&(at, job));
            self.expire_job(now, job);
        }
    }

    /// Forgets ended jobs that are past their retention, a limited number at a time.
    fn forget_expired(&mut self) {
        const LIMIT: usize = 500;
        if !self.lease_held || !self.forgetting.is_empty() {
            return;
        }
        let before = self.wall.since(self.retention.span);
        let jobs = self.state.outdated(before, self.retention.jobs, LIMIT);
        if !jobs.is_empty() {
            self.forgetting.extend(&jobs);
            self.push(Record::Forgotten { jobs });
        }
    }

    /// Logs a decision about a job; job 0 stands for none.
    pub(crate) fn log(&mut self, what: &'static str, job: JobId, workers: Vec<WorkerName>, reason: impl Into<String>) {
        let mut line = LogLine::of(what, self.term, reason);
        line.job = job;
        line.workers = workers;
        if let Some(entry) = self.state.job(job) {
            line.name = entry.name.clone();
            line.account = entry.spec.account.clone();
        }
        self.actions.push(Action::Log(line));
    }
}
