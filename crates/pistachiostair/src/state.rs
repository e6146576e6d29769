//! State of a region, folded from its journal, and snapshots of it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{AccountName, Attempt, JobId, JobName, Revision, Seq, WorkerName};
use crate::journal::{Batch, Part, Record, checksum, digest, revision};
use crate::record;
use crate::resource::{JobPhase, JobSpec};
use crate::steps::{JobEntry, StepJobTable};

record! {
    /// How a job ended.
    pub struct Ended {
        /// A final phase.
        pub phase: JobPhase,
        /// Whether it ran.
        pub ran: Ran,
        /// Its answer, if it is short.
        pub answer: Option<String>,
        /// Whether the answer is stored as an object.
        pub stored: bool,
        /// Why.
        pub reason: String,
        /// When, in milliseconds since the Unix epoch.
        pub wall: Millis,
    }
}

record! {
    /// A placement of an attempt.
    pub struct Placement {
        /// One entry for each part.
        pub parts: Vec<Part>,
        /// Whether the parts may run.
        pub released: bool,
    }
}

record! {
    /// A job as the journal has it.
    pub struct Entry {
        /// Number.
        pub id: JobId,
        /// Name.
        pub name: JobName,
        /// Idempotency key.
        pub key: String,
        /// Specification; without the payload once it ended.
        pub spec: JobSpec,
        /// Checksum of the whole specification, to recognise a duplicate submission.
        pub digest: u64,
        /// When it was accepted, in milliseconds since the Unix epoch.
        pub wall: Millis,
        /// Revision of its last record.
        pub revision: Revision,
        /// Latest attempt; 0 before the first.
        pub attempt: Attempt,
        /// Placement of the attempt in progress.
        pub placement: Option<Placement>,
        /// Workers of the latest attempt.
        pub workers: Vec<WorkerName>,
        /// Whether a caller cancelled it.
        pub cancelling: bool,
        /// Progress of each part to resume from; empty if it starts anew.
        pub progress: Vec<u32>,
        /// Service of earlier attempts.
        pub served: Millis,
        /// Whether an earlier attempt ran.
        pub ran: Ran,
        /// Attempts that count against the limit.
        pub strikes: u32,
        /// Workers on which attempts failed.
        pub failed: BTreeSet<WorkerName>,
        /// Why it waits again.
        pub reason: String,
        /// How it ended.
        pub ended: Option<Ended>,
    }
}

/// State of a region, folded from its journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The newest row folded.
    pub seq: Seq,
    /// Clock of the newest row.
    pub wall: Millis,
    /// Number of the last job accepted.
    pub last: JobId,
    /// Highest revision of a forgotten job: lists can't resume from before it.
    pub floor: Revision,
    /// Workers drained by operators.
    pub drained: BTreeSet<WorkerName>,
    /// Jobs made of steps.
    pub book: StepJobTable,
    jobs: BTreeMap<JobId, Entry>,
    names: BTreeMap<(AccountName, JobName), JobId>,
    keys: BTreeMap<(AccountName, String), JobId>,
    order: BTreeMap<Revision, JobId>,
    ended: BTreeSet<(Millis, JobId)>,
    open: BTreeMap<AccountName, u32>,
    /// Bytes of the payloads of jobs that have not ended.
    bytes: usize,
}

#[derive(Serialize, Deserialize)]
struct Image {
    seq: Seq,
    wall: Millis,
    last: JobId,
    floor: Revision,
    drained: BTreeSet<WorkerName>,
    jobs: Vec<Entry>,
    #[serde(default)]
    book: Vec<JobEntry>,
}

impl State {
    /// Folds a whole row.
    pub fn fold_batch(&mut self, seq: Seq, batch: &Batch) {
        self.seq = seq;
        self.wall = self.wall.max(batch.wall);
        for (index, record) in batch.records.iter().enumerate() {
            self.fold(revision(seq, index), record);
        }
    }

    /// Folds one record, which gives the jobs that it concerns this revision. A record about a job
    /// that is unknown or has ended changes nothing.
    pub fn fold(&mut self, revision: Revision, record: &Record) {
        match record {
            Record::Accepted { job, name, key, spec } => self.accept(revision, *job, name, key, spec),
            Record::Placed { job, attempt, parts } => self.change(revision, *job, |entry| {
                entry.attempt = *attempt;
                entry.workers = parts.iter().map(|part| part.worker.clone()).collect();
                entry.placement = Some(Placement {
                    parts: parts.clone(),
                    released: false,
                });
            }),
            Record::Released { job, .. } => self.change(revision, *job, |entry| {
                if let Some(placement) = &mut entry.placement {
                    placement.released = true;
                }
            }),
            Record::Requeued {
                job,
                progress,
                served,
                ran,
                counted,
                failed,
                reason,
                ..
            } => self.change(revision, *job, |entry| {
                entry.placement = None;
                entry.progress.clone_from(progress);
                entry.served = *served;
                entry.ran = *ran;
                entry.strikes += u32::from(*counted);
                entry.failed.extend(failed.clone());
                entry.reason.clone_from(reason);
            }),
            Record::Finished { job, .. } => self.finish(revision, *job, record),
            Record::Cancelling { job } => self.change(revision, *job, |entry| entry.cancelling = true),
            Record::Forgotten { jobs } => jobs.iter().for_each(|job| self.forget(*job)),
            Record::Drained { worker, drain: true } => {
                self.drained.insert(worker.clone());
            }
            Record::Drained { worker, .. } => {
                self.drained.remove(worker);
            }
            Record::Steps(record) => self.book.apply(self.wall, record),
        }
    }

    fn accept(&mut self, revision: Revision, job: JobId, name: &JobName, key: &str, spec: &JobSpec) {
        let account = spec.account.clone();
        self.last = self.last.max(job);
        *self.open.entry(account.clone()).or_default() += 1;
        self.insert(Entry {
            id: job,
            name: name.clone(),
            key: key.to_owned(),
            spec: spec.clone(),
            digest: digest(spec),
            wall: self.wall,
            revision,
            attempt: Attempt(0),
            placement: None,
            workers: Vec::new(),
            cancelling: false,
            progress: Vec::new(),
            served: Millis::ZERO,
            ran: Ran::No,
            strikes: 0,
            failed: BTreeSet::new(),
            reason: String::new(),
            ended: None,
        });
    }

    fn insert(&mut self, entry: Entry) {
        self.bytes += payload(&entry.spec);
        let account = entry.spec.account.clone();
        self.names.insert((account.clone(), entry.name.clone()), entry.id);
        self.keys.insert((account, entry.key.clone()), entry.id);
        self.order.insert(entry.revision, entry.id);
        if let Some(ended) = &entry.ended {
            self.ended.insert((ended.wall, entry.id));
        }
        self.jobs.insert(entry.id, entry);
    }

    fn change(&mut self, revision: Revision, job: JobId, edit: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.ended.is_none()) else {
            return;
        };
        edit(entry);
        self.order.remove(&entry.revision);
        entry.revision = revision;
        self.order.insert(revision, job);
    }

    fn finish(&mut self, revision: Revision, job: JobId, record: &Record) {
        let Record::Finished {
            phase,
            ran,
            answer,
            stored,
            reason,
            ..
        } = record
        else {
            return;
        };
        let wall = self.wall;
        let mut account = None;
        self.change(revision, job, |entry| {
            account = Some((entry.spec.account.clone(), payload(&entry.spec)));
            entry.placement = None;
            entry.spec.payload = None;
            entry.ended = Some(Ended {
                phase: *phase,
                ran: *ran,
                answer: answer.clone(),
                stored: *stored,
                reason: reason.clone(),
                wall,
            });
        });
        if let Some((account, bytes)) = account {
            self.bytes -= bytes;
            self.ended.insert((wall, job));
            self.close(&account);
        }
    }

    fn close(&mut self, account: &AccountName) {
        if let Some(open) = self.open.get_mut(account) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                self.open.remove(account);
            }
        }
    }

    fn forget(&mut self, job: JobId) {
        let Some(entry) = self.jobs.remove(&job) else {
            return;
        };
        let account = entry.spec.account.clone();
        self.bytes -= payload(&entry.spec);
        match &entry.ended {
            Some(ended) => {
                self.ended.remove(&(ended.wall, job));
            }
            None => self.close(&account),
        }
        self.floor = self.floor.max(entry.revision);
        self.order.remove(&entry.revision);
        self.names.remove(&(account.clone(), entry.name));
        self.keys.remove(&(account, entry.key));
    }

    /// A job.
    pub fn job(&self, job: JobId) -> Option<&Entry> {
        self.jobs.get(&job)
    }

    /// All jobs in order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = &Entry> {
        self.jobs.values()
    }

    /// The job with this name.
    pub fn named(&self, account: &AccountName, name: &JobName) -> Option<&Entry> {
        let job = self.names.get(&(account.clone(), name.clone()))?;
        self.jobs.get(job)
    }

    /// The job with this idempotency key.
    pub fn keyed(&self, account: &AccountName, key: &str) -> Option<&Entry> {
        let job = self.keys.get(&(account.clone(), key.to_owned()))?;
        self.jobs.get(job)
    }

    /// Jobs changed after `after`, in order of revision.
    pub fn since(&self, after: Revision) -> impl Iterator<Item = &Entry> {
        self.order
            .range(after.next()..)
            .filter_map(|(_, job)| self.jobs.get(job))
    }

    /// Revision of the newest record about a job that is still known.
    pub fn newest(&self) -> Revision {
        self.order
            .last_key_value()
            .map_or(self.floor, |(revision, _)| (*revision).max(self.floor))
    }

    /// Jobs of the account that are accepted and not ended.
    pub fn open(&self, account: &AccountName) -> u32 {
        self.open.get(account).copied().unwrap_or(0)
    }

    /// Bytes of the payloads of jobs that have not ended.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ended jobs beyond the newest `keep` or ended before `before`, oldest first, at most `limit`.
    pub fn outdated(&self, before: Millis, keep: usize, limit: usize) -> Vec<JobId> {
        let excess = self.ended.len().saturating_sub(keep);
        self.ended
            .iter()
            .enumerate()
            .take_while(|(index, (wall, _))| *index < excess || *wall < before)
            .take(limit)
            .map(|(_, (_, job))| *job)
            .collect()
    }

    /// Number of ended jobs kept.
    pub fn kept(&self) -> usize {
        self.ended.len()
    }

    /// Encodes the state with a checksum in front.
    pub fn encode(&self) -> Vec<u8> {
        let image = Image {
            seq: self.seq,
            wall: self.wall,
            last: self.last,
            floor: self.floor,
            drained: self.drained.clone(),
            jobs: self.jobs.values().cloned().collect(),
            book: self.book.jobs().cloned().collect(),
        };
        let body = rmp_serde::to_vec_named(&image).unwrap_or_default();
        let mut bytes = checksum(&body).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a snapshot; fails if it is cut off or altered.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let broken = |text: &str| Error::msg(ErrorKind::Internal, "decode snapshot", text);
        let (sum, body) = bytes
            .split_first_chunk::<8>()
            .ok_or_else(|| broken("it is shorter than its checksum"))?;
        if u64::from_be_bytes(*sum) != checksum(body) {
            return Err(broken("the checksum does not match"));
        }
        let image: Image =
            rmp_serde::from_slice(body).map_err(|e| Error::new(ErrorKind::Internal, "decode snapshot", e))?;
        let mut state = Self {
            seq: image.seq,
            wall: image.wall,
            last: image.last,
            floor: image.floor,
            drained: image.drained,
            book: StepJobTable::restore(image.book),
            ..Self::default()
        };
        for entry in image.jobs {
            if entry.ended.is_none() {
                *state.open.entry(entry.spec.account.clone()).or_default() += 1;
            }
            state.insert(entry);
        }
        Ok(state)
    }
}

fn payload(spec: &JobSpec) -> usize {
    spec.payload.as_ref().map_or(0, String::len)
}
