//! State of a region's scheduler under one term.

use std::collections::{BTreeMap, BTreeSet};

use crate::appender::{AppendAction, Appender};
use crate::calls::Calls;
use crate::clock::Millis;
use crate::ejection::Ejector;
use crate::error::{Error, ErrorKind, Result};
use crate::gang::Run;
use crate::ids::{AccountName, GuaranteeName, JobId, RegionName, Seq, Term, WorkerName};
use crate::journal::{Batch, Record};
use crate::outlier::Probe;
use crate::planner::{Change, Figures, Planner};
use crate::reconcile::Upstream;
use crate::resource::{AccountSpec, Guarantee, MemberState, Policy};
use crate::scheduler::{Action, Event, LogLine};
use crate::snapshot::SnapshotLimits;
use crate::state::{Entry, State};
use crate::steps::Steps;
use crate::steps_active::adopt_steps;

/// Decisions taken from the planner before the next batch is written.
const PLAN_LIMIT: usize = 256;

/// How long ended jobs are kept, for callers that ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Span after the end.
    pub span: Millis,
    /// The most ended jobs.
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

/// Objects that are kept across terms.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) accounts: BTreeMap<AccountName, AccountSpec>,
    pub(crate) guarantees: BTreeMap<GuaranteeName, Guarantee>,
    pub(crate) policy: Policy,
}

#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) region: RegionName,
    pub(crate) retention: Retention,
    pub(crate) term: Term,
    pub(crate) fence: u64,
    pub(crate) held: bool,
    /// A newer term was seen.
    pub(crate) outdated: bool,
    pub(crate) elected: Millis,
    base: Millis,
    /// Wall clock at `now` of the event in progress.
    pub(crate) wall: Millis,
    pub(crate) known: Known,
    pub(crate) state: State,
    pub(crate) appender: Appender,
    pub(crate) planner: Planner,
    /// Something changed that placement depends on.
    pub(crate) replan: bool,
    pub(crate) runs: BTreeMap<JobId, Run>,
    /// Jobs with a placement that is not committed yet, and its reason.
    pub(crate) placing: BTreeMap<JobId, String>,
    /// Jobs whose end is not committed yet.
    pub(crate) closing: BTreeSet<JobId>,
    /// Long answers that are being stored as objects, and whether the write is under way.
    pub(crate) storing: BTreeMap<JobId, (String, bool)>,
    /// Ended jobs whose removal is not committed yet.
    pub(crate) forgetting: BTreeSet<JobId>,
    pub(crate) workers: BTreeMap<WorkerName, Upstream>,
    /// Workers that fail requests, and their last probes.
    pub(crate) ejector: Ejector<WorkerName>,
    pub(crate) probes: BTreeMap<WorkerName, Probe>,
    /// The platform's list; none before it is known in this term.
    pub(crate) listed: Option<BTreeMap<WorkerName, MemberState>>,
    pub(crate) calls: Calls,
    pub(crate) deadlines: BTreeSet<(Millis, JobId)>,
    /// When jobs must be looked at again.
    pub(crate) timers: BTreeSet<(Millis, JobId)>,
    /// When workers must be looked at again.
    pub(crate) alarms: BTreeSet<(Millis, WorkerName)>,
    /// Jobs to look at in this step.
    pub(crate) review: BTreeSet<JobId>,
    /// Workers to look at in this step.
    pub(crate) touched: BTreeSet<WorkerName>,
    pub(crate) actions: Vec<Action>,
    /// Jobs made of steps.
    pub(crate) steps: Steps,
    /// When the lease was last known to be held.
    pub(crate) tenured: Millis,
}

impl Active {
    /// Rebuilds the state from the store. Fails if the snapshot is damaged or a row is missing.
    #[expect(clippy::too_many_arguments, reason = "called once, with everything a takeover reads")]
    pub(crate) fn new(
        now: Millis,
        wall: Millis,
        region: RegionName,
        (retention, limits, row_bytes): (Retention, SnapshotLimits, usize),
        (term, fence): (Term, u64),
        snapshot: Option<&[u8]>,
        rows: &[(Seq, String)],
        known: &Known,
    ) -> Result<Self> {
        let mut state = snapshot.map(State::decode).transpose()?.unwrap_or_default();
        let covered = state.seq;
        for (seq, text) in rows.iter().filter(|(seq, _)| *seq > covered) {
            if *seq != state.seq.next() {
                let text = format!("row {} is missing before row {seq}", state.seq.next());
                return Err(Error::msg(ErrorKind::Internal, "read journal", text));
            }
            state.fold_batch(*seq, &Batch::parse(text)?);
        }
        // The clock of the region never goes back, whatever this daemon's clock says.
        let wall = wall.max(state.wall);
        let mut core = Self {
            appender: Appender::new(region.clone(), term, fence, state.seq, covered)
                .with_snapshots(limits)
                .with_row_bytes(row_bytes),
            region,
            retention,
            term,
            fence,
            held: false,
            outdated: false,
            elected: now,
            base: wall,
            wall,
            known: known.clone(),
            planner: Planner::new(),
            replan: true,
            runs: BTreeMap::new(),
            placing: BTreeMap::new(),
            closing: BTreeSet::new(),
            storing: BTreeMap::new(),
            forgetting: BTreeSet::new(),
            workers: BTreeMap::new(),
            ejector: Ejector::probing(),
            probes: BTreeMap::new(),
            listed: None,
            calls: Calls::new(state.last),
            deadlines: BTreeSet::new(),
            timers: BTreeSet::new(),
            alarms: BTreeSet::new(),
            review: BTreeSet::new(),
            touched: BTreeSet::new(),
            actions: Vec::new(),
            steps: adopt_steps(now, wall, term, &state),
            tenured: now,
            state,
        };
        core.adopt(now);
        Ok(core)
    }

    fn adopt(&mut self, now: Millis) {
        self.configure(now);
        let guarantees: Vec<Guarantee> = self.known.guarantees.values().cloned().collect();
        for guarantee in guarantees {
            self.planner.apply(now, Change::Guarantee(guarantee));
        }
        let open: Vec<Entry> = self
            .state
            .jobs()
            .filter(|entry| entry.ended.is_none())
            .cloned()
            .collect();
        for entry in open {
            self.watch_deadline(&entry);
            match &entry.placement {
                Some(placement) => {
                    let run = Run::adopted(&entry, placement, now);
                    self.begin(now, entry.id, run);
                }
                None => self.queue(now, &entry),
            }
            self.review.insert(entry.id);
        }
    }

    pub(crate) fn watch_deadline(&mut self, entry: &Entry) {
        if let Some(span) = entry.spec.deadline {
            self.deadlines.insert((entry.wall + span, entry.id));
        }
    }

    pub(crate) fn queue(&mut self, now: Millis, entry: &Entry) {
        let change = Change::Queued {
            job: entry.id,
            spec: entry.spec.clone(),
            served: entry.served,
        };
        self.planner.apply(now, change);
        self.replan = true;
    }

    /// Tells the planner the parameters and the accounts with their weights in force.
    fn configure(&mut self, now: Millis) {
        let scheduling = self.known.policy.scheduling.clone();
        self.planner.apply(now, Change::Scheduling(scheduling));
        let names: BTreeSet<AccountName> = self
            .known
            .accounts
            .keys()
            .chain(self.known.policy.weights.keys())
            .cloned()
            .collect();
        for name in names {
            self.configure_account(now, name);
        }
    }

    fn configure_account(&mut self, now: Millis, name: AccountName) {
        let mut spec = self.known.accounts.get(&name).cloned().unwrap_or(AccountSpec {
            weight: 1,
            quota: None,
            outstanding: None,
            rate: None,
        });
        if let Some(weight) = self.known.policy.weights.get(&name) {
            spec.weight = *weight;
        }
        self.planner.apply(now, Change::Account(name, spec));
        self.replan = true;
    }

    /// Whether this daemon must stop being the scheduler.
    pub(crate) fn over(&self) -> bool {
        self.outdated || self.steps.outdated || self.appender.superseded()
    }

    pub(crate) fn wake(&self) -> Option<Millis> {
        let replan = self.held && self.steps.replan;
        let placement = if replan { self.appender.ready_at() } else { None };
        self.appender.next_send().into_iter().chain(placement).min()
    }

    pub(crate) fn figures(&self) -> Figures {
        self.planner.figures()
    }

    pub(crate) fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.wall = self.base + now.since(self.elected);
        match event {
            Event::Tenure { held } => {
                self.held = held;
                self.steps.replan = true;
                self.replan = true;
                self.touched.extend(self.workers.keys().cloned());
                self.review.extend(self.runs.keys().copied());
            }
            Event::Call { token, call } => self.call(now, token, call),
            Event::Abandoned { token } => self.calls.abandon(token),
            Event::Report { worker, changes } => self.report(now, worker, changes),
            Event::Outcomes { worker, outcomes } => self.outcomes(now, &worker, &outcomes),
            Event::Replied { worker, batch, reply } => {
                self.probed(now, &worker, &batch, reply.as_ref());
                self.replied(now, &worker, &batch, reply);
            }
            Event::Listed(workers) => self.take_list(now, workers),
            Event::Account(name, spec) => {
                match spec {
                    Some(spec) => self.known.accounts.insert(name.clone(), spec),
                    None => self.known.accounts.remove(&name),
                };
                self.configure_account(now, name);
            }
            Event::Guarantee(name, guarantee) => self.guarantee(now, name, guarantee),
            Event::Policy(policy) => {
                self.known.policy = policy;
                self.configure(now);
            }
            Event::Stored(event) => self.handle_append_event(now, event),
            Event::Steps(event) => self.steps_event(now, event),
            Event::Tick => {
                self.tick(now);
                self.steps_tick(now);
            }
            Event::Elected { .. } | Event::Deposed => {}
        }
        self.finish(now);
        std::mem::take(&mut self.actions)
    }

    /// Brings everything that the event touched to its conclusion.
    fn finish(&mut self, now: Millis) {
        while let Some((seq, batch)) = self.appender.next_committed() {
            self.apply_batch(now, seq, &batch);
        }
        if self.over() {
            self.steps_flush();
            return;
        }
        while let Some(job) = self.review.pop_first() {
            self.review_job(now, job);
        }
        if self.held && self.replan && self.appender.ready(now) {
            self.plan(now);
        }
        self.steps_finish(now);
        let mut appends = self.appender.poll(now, self.wall);
        appends.extend(self.appender.maintain(now, &self.state));
        self.append(appends);
        while let Some(worker) = self.touched.pop_first() {
            self.dispatch(now, &worker);
        }
    }

    pub(crate) fn append(&mut self, actions: Vec<AppendAction>) {
        self.actions.extend(actions.into_iter().map(Action::Append));
    }

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
        while let Some((at, job)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.remove(&(at, job));
            self.review.insert(job);
        }
        self.watch_workers(now);
        self.probe_ejected(now);
        self.expire_calls(now);
        self.retire();
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, job)) = self.deadlines.first().copied()
            && at <= self.wall
        {
            self.deadlines.remove(&(at, job));
            self.expire_job(now, job);
        }
    }

    /// Forgets ended jobs past their retention, a few hundred at a time.
    fn retire(&mut self) {
        const LIMIT: usize = 500;
        if !self.held || !self.forgetting.is_empty() {
            return;
        }
        let before = self.wall.since(self.retention.span);
        let jobs = self.state.outdated(before, self.retention.jobs, LIMIT);
        if !jobs.is_empty() {
            self.forgetting.extend(&jobs);
            self.push(Record::Forgotten { jobs });
        }
    }

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
