//! The designs with owners: a lease and a journal for the region or for each rack.

use std::collections::{BTreeSet, VecDeque};

use pistachiostair::{
    AppendAction, AppendEvent, Appender, Attempt, Commit, Election, ElectionAction, ElectionEvent, Incarnation, JobId,
    JobPhase, JobSpec, Millis, Part, Ran, Record, RegionName, Seq,
};

use super::{DAEMONS, Design, HOP, RACK, RUN, SLOTS, Sim, VIEW};

/// The scheduler of a region or of a rack.
pub(super) struct Owner {
    region: RegionName,
    tenures: Vec<Election>,
    pub(super) holder: Option<usize>,
    journal: Option<Appender>,
    last: Seq,
    queue: VecDeque<usize>,
}

impl Owner {
    pub(super) fn new(index: usize) -> Self {
        let region = RegionName::from(format!("r{index}").as_str());
        let name = |daemon: usize| format!("d{daemon}").as_str().into();
        let tenure = |daemon| Election::new(region.clone(), name(daemon), Incarnation(1), "10.0.0.1:1");
        Owner {
            tenures: (0..DAEMONS).map(tenure).collect(),
            region,
            holder: None,
            journal: None,
            last: Seq(0),
            queue: VecDeque::new(),
        }
    }
}

impl Sim {
    pub(super) fn tenure(&mut self, owner: usize, daemon: usize, event: ElectionEvent) {
        let sent = Millis(self.now);
        if self.dead == Some(daemon) {
            return;
        }
        for action in self.owners[owner].tenures[daemon].on(sent, event) {
            match action {
                ElectionAction::Read { lease, term } => {
                    self.lease_reads += 2;
                    self.after(HOP, move |sim| {
                        let (lease, term) = (sim.tables.get(&lease), sim.tables.get(&term));
                        let read = ElectionEvent::Read { sent, lease, term };
                        sim.after(HOP, move |sim| sim.tenure(owner, daemon, read));
                    });
                }
                ElectionAction::Commit(transaction) => {
                    let rows = transaction.writes.len() as u64;
                    self.commit(transaction, move |sim, commit| {
                        let event = match commit {
                            Commit::Done { version } => ElectionEvent::Committed { sent, version },
                            Commit::Conflict { .. } => ElectionEvent::Conflict,
                        };
                        sim.lease_rows += if event == ElectionEvent::Conflict { 0 } else { rows };
                        sim.tenure(owner, daemon, event);
                    });
                }
                ElectionAction::Elected { term, fence } => {
                    let owner = &mut self.owners[owner];
                    owner.journal = Some(Appender::new(owner.region.clone(), term, fence, owner.last, Seq(0)));
                }
                ElectionAction::LeaseValid { until } => self.owners[owner].holder = (sent < until).then_some(daemon),
                ElectionAction::Deposed | ElectionAction::Resigned => self.deposed += 1,
                ElectionAction::ClaimDelayed { .. } | ElectionAction::HandingOver { .. } => {}
            }
        }
    }

    pub(super) fn arrive(&mut self, job: usize) {
        if !self.placers.is_empty() {
            return self.placers[job % DAEMONS].queue.push_back((job, false));
        }
        if self.jobs[job].gang {
            return self.try_gang(job);
        }
        let owner = self.rng.usize(..self.used.len()) / self.size;
        self.after(HOP, move |sim| {
            sim.owners[owner].queue.push_back(job);
            let spec: JobSpec = serde_json::from_str(r#"{"account":"court","shape":"1x1"}"#).expect("a valid job");
            let (name, key) = (format!("j{job}").as_str().into(), format!("k{job}"));
            let (job, spec) = (JobId(job as u64), Box::new(spec));
            sim.record(owner, Record::Accepted { job, name, key, spec });
        });
    }

    fn record(&mut self, owner: usize, record: Record) {
        let journal = self.owners[owner].journal.as_mut().expect("an elected owner");
        journal.push([record]);
        self.pump(owner);
    }

    fn record_placed(&mut self, owner: usize, job: usize, workers: &[usize]) {
        let (incarnation, attempt) = (Incarnation(1), Attempt(1));
        let name = |worker: &usize| format!("w{worker}").as_str().into();
        let part = |worker| Part {
            worker: name(worker),
            incarnation,
        };
        let (job, parts) = (JobId(job as u64), workers.iter().map(part).collect());
        self.record(owner, Record::Placed { job, attempt, parts });
    }

    /// Places what waits at an owner and writes its journal.
    pub(super) fn pump(&mut self, owner: usize) {
        let workers = owner * self.size..((owner + 1) * self.size).min(self.used.len());
        if self.owners[owner].holder.is_none() {
            return;
        }
        let room = workers.filter(|w| self.used[*w] < SLOTS).max_by_key(|w| self.used[*w]);
        if let Some(worker) = room
            && let Some(job) = self.owners[owner].queue.pop_front()
        {
            self.used[worker] += 1;
            self.jobs[job].workers = vec![worker];
            return self.record_placed(owner, job, &[worker]);
        }
        let Owner { journal, last, .. } = &mut self.owners[owner];
        let Some(journal) = journal else { return };
        let mut records = Vec::new();
        while let Some((seq, batch)) = journal.next_committed() {
            *last = seq;
            records.extend(batch.records);
        }
        let now = Millis(self.now);
        for action in journal.poll(now, now) {
            let AppendAction::Commit { seq, transaction } = action else {
                panic!("a conflict without a new term")
            };
            self.commit(transaction, move |sim, commit| {
                assert!(matches!(commit, Commit::Done { .. }), "a conflict without a new term");
                let journal = sim.owners[owner].journal.as_mut().expect("an elected owner");
                journal.on(Millis(sim.now), AppendEvent::Committed(seq));
                sim.pump(owner);
            });
        }
        for record in records {
            match record {
                Record::Placed { job, .. } if self.jobs[job.0 as usize].gang => {
                    self.after(HOP, move |sim| sim.vote(owner, job.0 as usize, true));
                }
                Record::Placed { job, .. } | Record::Released { job, .. } => self.placed(job.0 as usize),
                _ => {}
            }
        }
    }

    /// Asks the owners of eight workers that seemed free: one owner if that is enough.
    fn try_gang(&mut self, job: usize) {
        let view = if self.design == Design::Racks {
            &self.seen
        } else {
            &self.used
        };
        let free = |owner: usize| {
            let workers = owner * self.size..((owner + 1) * self.size).min(view.len());
            workers.filter(|w| view[*w] == 0).take(RACK).collect::<Vec<_>>()
        };
        let mut free: Vec<Vec<usize>> = (0..self.owners.len()).map(free).collect();
        free.sort_by_key(|workers| std::cmp::Reverse(workers.len()));
        let workers: Vec<usize> = free.into_iter().flatten().take(RACK).collect();
        if workers.len() < RACK {
            return self.after(VIEW, move |sim| sim.try_gang(job));
        }
        self.jobs[job].workers = workers;
        self.jobs[job].votes.clear();
        for owner in self.parts(job) {
            self.after(HOP, move |sim| sim.reserve(owner, job));
        }
    }

    fn parts(&self, job: usize) -> BTreeSet<usize> {
        self.jobs[job].workers.iter().map(|worker| worker / self.size).collect()
    }

    fn part(&self, owner: usize, job: usize) -> Vec<usize> {
        let workers = self.jobs[job].workers.iter().copied();
        workers.filter(|worker| worker / self.size == owner).collect()
    }

    fn reserve(&mut self, owner: usize, job: usize) {
        let workers = self.part(owner, job);
        if self.owners[owner].holder.is_none() || workers.iter().any(|w| self.used[*w] > 0) {
            return self.after(HOP, move |sim| sim.vote(owner, job, false));
        }
        workers.iter().for_each(|w| self.used[*w] = SLOTS);
        self.record_placed(owner, job, &workers);
    }

    /// One owner's reservation is the placement; of several, the first records the decision.
    fn vote(&mut self, owner: usize, job: usize, reserved: bool) {
        self.jobs[job].votes.insert(owner, reserved);
        let votes = self.jobs[job].votes.clone();
        let id = JobId(job as u64);
        if votes.len() < self.parts(job).len() {
            return;
        }
        match votes.values().all(|reserved| *reserved) {
            true if votes.len() == 1 => self.placed(job),
            true => self.record(
                *votes.first_key_value().expect("a vote").0,
                Record::Released {
                    job: id,
                    attempt: Attempt(1),
                },
            ),
            false => {
                self.retried += 1;
                for (owner, _) in votes.into_iter().filter(|(_, reserved)| *reserved) {
                    self.part(owner, job).iter().for_each(|w| self.used[*w] = 0);
                    self.record(owner, Record::Forgotten { jobs: vec![id] });
                }
                self.after(VIEW, move |sim| sim.try_gang(job));
            }
        }
    }

    pub(super) fn placed(&mut self, job: usize) {
        self.jobs[job].placed = Some(self.now);
        self.after(RUN, move |sim| sim.end(job));
    }

    fn end(&mut self, job: usize) {
        if let Design::Optimistic { reports, .. } = self.design {
            self.occupy(job, !reports, false);
            return self.placers[job % DAEMONS].queue.push_front((job, true));
        }
        let slots = if self.jobs[job].gang { SLOTS } else { 1 };
        for owner in self.parts(job) {
            self.part(owner, job).iter().for_each(|w| self.used[*w] -= slots);
            let (ran, answer, reason) = (Ran::Yes, Some("done".to_owned()), String::new());
            let (job, phase, stored) = (JobId(job as u64), JobPhase::Succeeded, false);
            self.record(
                owner,
                Record::Finished {
                    job,
                    phase,
                    ran,
                    answer,
                    stored,
                    reason,
                },
            );
        }
    }
}
