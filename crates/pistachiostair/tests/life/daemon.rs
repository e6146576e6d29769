//! One daemon: tenure and scheduler, with the glue that a service puts around them.

use std::collections::BTreeMap;

use pistachiostair::{
    Action, AppendAction, AppendEvent, BatchReply, Call, Changes, Command, CommandBatch, Commit, Decision, Election,
    ElectionAction, ElectionEvent, Event, Failure, Guarantee, Incarnation, MemberState, Millis, Ran, Record,
    RegionState, Response, Retention, Row, Scheduler, Seq, SnapshotLimits, SnapshotRow, Term, Token, Transaction,
    WorkerName, snapshot_key,
};

use super::faults::Step;
use super::world::{Delivery, REGION, World};

#[derive(Clone, Debug)]
pub enum StoreOp {
    Tenure {
        sent: Millis,
        lease: String,
        term: String,
    },
    Claim {
        sent: Millis,
        transaction: Transaction,
    },
    Load {
        term: Term,
        fence: u64,
    },
    Append(AppendAction),
    Write {
        token: Token,
        transaction: Transaction,
        guarantee: Option<Guarantee>,
    },
}

impl StoreOp {
    pub fn writes(&self) -> bool {
        match self {
            Self::Tenure { .. } | Self::Load { .. } => false,
            Self::Append(action) => matches!(
                action,
                AppendAction::Commit { .. } | AppendAction::Maintain { .. } | AppendAction::WriteObject { .. }
            ),
            Self::Claim { .. } | Self::Write { .. } => true,
        }
    }

    /// What the daemon learns if no answer comes.
    pub fn unknown(self) -> StoreEvent {
        match self {
            Self::Tenure { .. } => StoreEvent::Tenure(ElectionEvent::ReadFailed),
            Self::Claim { .. } => StoreEvent::Tenure(ElectionEvent::Unknown),
            Self::Load { term, fence } => StoreEvent::Unloaded { term, fence },
            Self::Append(action) => match action {
                AppendAction::Commit { seq, .. } => StoreEvent::Append(AppendEvent::Unknown(seq)),
                AppendAction::ReadBack { seq, .. } => StoreEvent::Append(AppendEvent::ReadBackFailed(seq)),
                AppendAction::WriteObject { key, .. } => {
                    StoreEvent::Append(AppendEvent::ObjectWritten { key, done: false })
                }
                AppendAction::ReadObject { key } => StoreEvent::Append(AppendEvent::ObjectRead { key, body: None }),
                AppendAction::ReadSnapshotRow { .. } => StoreEvent::Append(AppendEvent::SnapshotRow {
                    answered: false,
                    row: None,
                }),
                AppendAction::Maintain { .. } => StoreEvent::Append(AppendEvent::Maintained(false)),
                AppendAction::DeleteObject { .. } => StoreEvent::Nothing,
            },
            Self::Write { token, guarantee, .. } => StoreEvent::Written {
                token,
                guarantee,
                commit: None,
            },
        }
    }
}

#[derive(Clone, Debug)]
pub enum StoreEvent {
    Tenure(ElectionEvent),
    Loaded {
        term: Term,
        fence: u64,
        snapshot: Option<Vec<u8>>,
        rows: Vec<(Seq, String)>,
    },
    Unloaded {
        term: Term,
        fence: u64,
    },
    Append(AppendEvent),
    Written {
        token: Token,
        guarantee: Option<Guarantee>,
        commit: Option<Commit>,
    },
    Nothing,
}

#[derive(Clone, Debug)]
pub enum Out {
    Store(StoreOp),
    Action(Action),
    Resigned,
}

pub struct Daemon {
    pub index: usize,
    pub life: u64,
    pub alive: bool,
    /// It is shutting down and is no candidate any more.
    pub stopping: bool,
    pub paused: Option<Millis>,
    pub tenure: Election,
    pub scheduler: Scheduler,
    /// Term of which it read the state.
    pub leads: Option<Term>,
    /// Term it was elected for.
    pub elected: Option<Term>,
    pub terms: Vec<Term>,
    pub retention: Retention,
    pub snapshots: SnapshotLimits,
    /// Its wall clock at time 0.
    pub wall: u64,
    /// The platform's list as last told to the scheduler in this term.
    listed: Option<Listed>,
}

/// The platform's list of workers.
pub type Listed = BTreeMap<WorkerName, MemberState>;

impl Daemon {
    pub fn new(index: usize) -> Self {
        Self {
            index,
            life: 1,
            alive: true,
            stopping: false,
            paused: None,
            tenure: tenure(index, 1),
            scheduler: Scheduler::new(REGION.into()),
            leads: None,
            elected: None,
            terms: Vec::new(),
            retention: Retention::default(),
            snapshots: SnapshotLimits::default(),
            wall: 1_000_000,
            listed: None,
        }
    }

    /// Has it start with other limits.
    pub fn limit(&mut self, retention: Retention, snapshots: SnapshotLimits) {
        self.retention = retention;
        self.snapshots = snapshots;
        self.scheduler = self.new_scheduler();
    }

    fn new_scheduler(&self) -> Scheduler {
        let scheduler = Scheduler::new(REGION.into()).with_retention(self.retention);
        scheduler.with_snapshots(self.snapshots)
    }

    /// Replaces the process.
    pub fn restart(&mut self) {
        self.life += 1;
        self.alive = true;
        self.stopping = false;
        self.paused = None;
        self.tenure = tenure(self.index, self.life);
        self.scheduler = self.new_scheduler();
        self.leads = None;
        self.elected = None;
    }

    pub fn tick(&mut self, now: Millis, listed: &Listed, out: &mut Vec<Out>) {
        self.tenure_event(now, ElectionEvent::Tick, out);
        if self.leads.is_some() && self.listed.as_ref() != Some(listed) {
            self.listed = Some(listed.clone());
            self.event(now, Event::WorkerList(listed.clone()), out);
        }
        self.event(now, Event::Tick, out);
    }

    pub fn event(&mut self, now: Millis, event: Event, out: &mut Vec<Out>) {
        let actions = self.scheduler.on(now, event);
        self.take(now, actions, out);
    }

    fn take(&mut self, now: Millis, actions: Vec<Action>, out: &mut Vec<Out>) {
        for action in actions {
            if action == Action::StepDown {
                self.leads = None;
                self.tenure_event(now, ElectionEvent::Resign, out);
            } else {
                out.push(Out::Action(action));
            }
        }
    }

    pub fn tenure_event(&mut self, now: Millis, event: ElectionEvent, out: &mut Vec<Out>) {
        for action in self.tenure.on(now, event) {
            match action {
                ElectionAction::Read { lease, term } => {
                    out.push(Out::Store(StoreOp::Tenure { sent: now, lease, term }))
                }
                ElectionAction::Commit(transaction) => out.push(Out::Store(StoreOp::Claim { sent: now, transaction })),
                ElectionAction::Elected { term, fence } => {
                    self.elected = Some(term);
                    out.push(Out::Store(StoreOp::Load { term, fence }));
                }
                ElectionAction::LeaseValid { until } => self.event(now, Event::LeaseChanged { until }, out),
                ElectionAction::Deposed => {
                    self.leads = None;
                    self.elected = None;
                    self.event(now, Event::Deposed, out);
                }
                ElectionAction::Resigned => out.push(Out::Resigned),
                ElectionAction::ClaimDelayed { .. } | ElectionAction::HandingOver { .. } => {}
            }
        }
    }

    pub fn stored(&mut self, now: Millis, event: StoreEvent, out: &mut Vec<Out>) {
        match event {
            StoreEvent::Tenure(event) => self.tenure_event(now, event, out),
            StoreEvent::Loaded {
                term,
                fence,
                snapshot,
                rows,
            } if self.elected == Some(term) => {
                self.leads = Some(term);
                self.listed = None;
                self.terms.push(term);
                let wall = Millis(self.wall + now.0);
                self.event(
                    now,
                    Event::Elected {
                        term,
                        fence,
                        snapshot,
                        rows,
                        wall,
                    },
                    out,
                );
                let until = self.tenure.lease_end();
                self.event(now, Event::LeaseChanged { until }, out);
            }
            StoreEvent::Unloaded { term, fence } if self.elected == Some(term) => {
                out.push(Out::Store(StoreOp::Load { term, fence }));
            }
            StoreEvent::Append(event) => self.event(now, Event::Stored(event), out),
            StoreEvent::Written {
                token,
                guarantee,
                commit,
            } => self.written(now, token, guarantee, commit, out),
            _ => {}
        }
    }

    fn written(
        &mut self,
        now: Millis,
        token: Token,
        guarantee: Option<Guarantee>,
        commit: Option<Commit>,
        out: &mut Vec<Out>,
    ) {
        let response = match (&commit, &guarantee) {
            (Some(Commit::Done { version }), Some(guarantee)) => {
                let mut guarantee = guarantee.clone();
                guarantee.metadata.revision = pistachiostair::Revision(*version);
                let event = Event::Guarantee(guarantee.name(), Some(guarantee.clone()));
                self.event(now, event, out);
                Response::Guarantees {
                    guarantees: vec![guarantee],
                }
            }
            (Some(Commit::Done { .. }), None) => Response::Guarantees { guarantees: Vec::new() },
            (Some(_), _) => Response::Failed(Failure {
                kind: pistachiostair::ErrorKind::Conflict,
                message: "it changed".to_owned(),
                ran: Ran::No,
                retry: None,
            }),
            (None, _) => Response::Failed(Failure {
                kind: pistachiostair::ErrorKind::Unavailable,
                message: "the outcome is not known".to_owned(),
                ran: Ran::Unknown,
                retry: None,
            }),
        };
        out.push(Out::Action(Action::Reply { token, response }));
    }

    pub fn replied(
        &mut self,
        now: Millis,
        worker: WorkerName,
        batch: CommandBatch,
        reply: Option<BatchReply>,
        out: &mut Vec<Out>,
    ) {
        self.event(now, Event::Replied { worker, batch, reply }, out);
    }

    pub fn report(&mut self, now: Millis, worker: WorkerName, changes: Option<Changes>, out: &mut Vec<Out>) {
        self.event(now, Event::Report { worker, changes }, out);
    }

    pub fn call(&mut self, now: Millis, token: Token, call: Call, out: &mut Vec<Out>) {
        self.event(now, Event::Call { token, call }, out);
    }

    pub fn decide(&mut self, now: Millis, decision: Decision, out: &mut Vec<Out>) {
        let actions = self.scheduler.decide(now, decision);
        self.take(now, actions, out);
    }
}

fn tenure(index: usize, life: u64) -> Election {
    let name = format!("d{index}");
    Election::new(
        REGION.into(),
        name.as_str().into(),
        Incarnation(life),
        format!("10.0.0.{index}:1"),
    )
}

impl World {
    /// Carries out what a daemon asks for.
    pub fn route(&mut self, daemon: usize, out: Vec<Out>) {
        let life = self.daemons[daemon].life;
        for item in out {
            match item {
                Out::Store(op) => self.store_later(daemon, op),
                Out::Resigned if self.daemons[daemon].stopping => {}
                Out::Resigned => {
                    let target = &mut self.daemons[daemon];
                    target.tenure = tenure(daemon, target.life * 1_000);
                }
                Out::Action(Action::Append(action)) => {
                    self.append_steps(&action);
                    self.store_later(daemon, StoreOp::Append(action));
                }
                Out::Action(Action::Reply { token, response }) => {
                    self.reply_steps(&response);
                    if !self.faults.is_cut(self.now, daemon) {
                        self.message(Delivery::Answer(token, response));
                    }
                }
                Out::Action(Action::Send { worker, batch }) => {
                    self.batch_steps(&batch);
                    let delivery = Delivery::Batch(daemon, life, worker.clone(), batch.clone());
                    if !self.message(delivery) {
                        self.after(2_000, Delivery::Replied(daemon, life, worker, batch, None));
                    }
                }
                Out::Action(Action::WriteGuarantee {
                    token,
                    transaction,
                    guarantee,
                }) => {
                    self.store_later(
                        daemon,
                        StoreOp::Write {
                            token,
                            transaction,
                            guarantee,
                        },
                    );
                }
                Out::Action(Action::StepDown | Action::Log(_) | Action::Steps(_)) => {}
            }
        }
    }

    /// Carries out a store operation.
    pub fn carry_out(&mut self, _daemon: usize, op: StoreOp) -> StoreEvent {
        match op {
            StoreOp::Tenure { sent, lease, term } => StoreEvent::Tenure(ElectionEvent::Read {
                sent,
                lease: self.tables.get(&lease),
                term: self.tables.get(&term),
            }),
            StoreOp::Claim { sent, transaction } => StoreEvent::Tenure(match self.commit(&transaction) {
                Commit::Done { version } => ElectionEvent::Committed { sent, version },
                Commit::Conflict { .. } => ElectionEvent::Conflict,
            }),
            StoreOp::Load { term, fence } => self.load(term, fence),
            StoreOp::Append(action) => self.append_op(action),
            StoreOp::Write {
                token,
                transaction,
                guarantee,
            } => {
                let commit = self.commit(&transaction);
                let created =
                    matches!(commit, Commit::Done { .. }) && transaction.checks.iter().any(|c| c.version == 0);
                self.guarantees += u32::from(created);
                StoreEvent::Written {
                    token,
                    guarantee,
                    commit: Some(commit),
                }
            }
        }
    }

    /// The row that names the snapshots.
    pub fn named(&self) -> Option<SnapshotRow> {
        let row = self.tables.get(&snapshot_key(&REGION.into()))?;
        SnapshotRow::parse(&row.value)
    }

    fn load(&mut self, term: Term, fence: u64) -> StoreEvent {
        let mut snapshot = None;
        if let Some(named) = self.named() {
            let count = if self.switches.no_previous { 1 } else { 2 };
            snapshot = named.refs().take(count).find_map(|known| {
                let body = self.objects.get(&known.key).cloned();
                body.filter(|body| self.switches.no_checksum || known.matches(body))
            });
            if snapshot.is_none() && !named.has_full_journal() {
                // As at a takeover of the service, nothing is led without a whole snapshot.
                return StoreEvent::Unloaded { term, fence };
            }
            self.resumed += u64::from(snapshot.is_some());
        }
        let covered = snapshot
            .as_deref()
            .and_then(|body| RegionState::decode(body).ok())
            .map_or(Seq(0), |state| state.seq);
        let rows = if self.switches.no_journal {
            Vec::new()
        } else {
            self.rows("journal/fi/")
        };
        let rows: Vec<(Seq, String)> = rows
            .iter()
            .filter_map(|row: &Row| Some((Seq(row.key.rsplit('/').next()?.parse().ok()?), row.value.clone())))
            .filter(|(seq, _)| *seq > covered)
            .collect();
        super::check::check_load(self, snapshot.as_deref(), &rows);
        StoreEvent::Loaded {
            term,
            fence,
            snapshot,
            rows,
        }
    }

    fn append_op(&mut self, action: AppendAction) -> StoreEvent {
        StoreEvent::Append(match action {
            AppendAction::Commit { seq, transaction } => match self.commit(&transaction) {
                Commit::Done { .. } => AppendEvent::Committed(seq),
                Commit::Conflict { .. } => AppendEvent::Conflict(seq),
            },
            AppendAction::ReadBack { seq, key } => {
                AppendEvent::ReadBack(seq, self.tables.get(&key).map(|row| row.value))
            }
            AppendAction::WriteObject { key, mut body } => {
                if self.switches.cut_answers && key.starts_with("answer/") {
                    body.truncate(4_096);
                }
                self.objects.insert(key.clone(), body);
                AppendEvent::ObjectWritten { key, done: true }
            }
            AppendAction::ReadObject { key } => {
                let body = self.objects.get(&key).cloned();
                AppendEvent::ObjectRead { key, body }
            }
            AppendAction::ReadSnapshotRow { key } => AppendEvent::SnapshotRow {
                answered: true,
                row: self.tables.get(&key),
            },
            AppendAction::DeleteObject { key } => {
                self.objects.remove(&key);
                return StoreEvent::Nothing;
            }
            AppendAction::Maintain { transaction } => {
                AppendEvent::Maintained(matches!(self.commit(&transaction), Commit::Done { .. }))
            }
        })
    }

    fn append_steps(&mut self, action: &AppendAction) {
        let AppendAction::Commit { transaction, .. } = action else {
            return;
        };
        let value = transaction
            .writes
            .first()
            .and_then(|write| write.value.as_deref())
            .unwrap_or_default();
        let Ok(batch) = pistachiostair::Batch::parse(value) else {
            return;
        };
        for record in &batch.records {
            match record {
                Record::Accepted { .. } => self.reach(Step::Persist),
                Record::Placed { .. } => self.reach(Step::Place),
                Record::Released { .. } => self.reach(Step::Commit),
                Record::Finished { .. } => self.reach(Step::Record),
                _ => {}
            }
        }
    }

    fn reply_steps(&mut self, response: &Response) {
        let Response::Jobs { jobs, created, .. } = response else {
            return;
        };
        if *created {
            self.reach(Step::Acknowledge);
        }
        if jobs.iter().any(|job| job.status.phase.is_final()) {
            self.reach(Step::Answer);
        }
    }

    fn batch_steps(&mut self, batch: &CommandBatch) {
        for command in &batch.commands {
            match command {
                Command::Start(start) if start.held => self.reach(Step::Hold),
                Command::Release { .. } => self.reach(Step::Start),
                Command::Checkpoint { .. } => self.reach(Step::Checkpoint),
                Command::Stop { .. } if self.reclaimed => self.reach(Step::Reclaim),
                Command::Forget { .. } => self.reach(Step::Forget),
                _ => {}
            }
        }
    }
}
