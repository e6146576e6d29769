//! State of a region: the fold of its journal, and the snapshots from which a takeover resumes.
//!
//! The same rows always give the same state, so that a new scheduler continues where the one before it stopped.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{AccountName, Attempt, JobId, JobName, Revision, Seq, WorkerName};
use crate::journal::{Batch, Part, Record, checksum, digest, revision};
use crate::record;
use crate::resource::{JobPhase, JobSpec};
use crate::steps::{JobEntry, JobKey, StepJobTable};

record! {
    /// How a job ended. It does not change any more.
    pub struct JobOutcome {
        /// Final phase.
        pub phase: JobPhase,
        /// Whether any attempt of the job ran.
        pub ran: Ran,
        /// The job's answer; `None` if it gave none, did not succeed, or its answer is stored as an object.
        pub answer: Option<String>,
        /// Whether the answer is stored as an object.
        pub stored: bool,
        /// Why it did not succeed; empty if it did.
        pub reason: String,
        /// When it ended, in milliseconds since the Unix epoch.
        pub wall: Millis,
    }
}

record! {
    /// The workers of an attempt in progress.
    pub struct Placement {
        /// One entry for each part of the gang, in order.
        pub parts: Vec<Part>,
        /// Whether the parts may run: all of them are held by their workers, and the release is recorded.
        pub released: bool,
    }
}

record! {
    /// A job, folded from the journal's records about it.
    pub struct JobState {
        /// Number, unique in the region.
        pub id: JobId,
        /// Name, unique among the account's jobs that are not forgotten.
        pub name: JobName,
        /// Idempotency key of its submission.
        pub key: String,
        /// Specification; the payload is dropped once the job ended.
        pub spec: JobSpec,
        /// Checksum of the specification as submitted, to recognise a duplicate submission.
        pub digest: u64,
        /// When it was accepted, in milliseconds since the Unix epoch.
        pub wall: Millis,
        /// Revision of its last record.
        pub revision: Revision,
        /// Number of the latest attempt; 0 before the first.
        pub attempt: Attempt,
        /// Placement of the attempt in progress; `None` while the job is queued and after it ended.
        pub placement: Option<Placement>,
        /// Workers of the latest attempt; empty before the first.
        pub workers: Vec<WorkerName>,
        /// Whether a caller cancelled it.
        pub cancelling: bool,
        /// Progress of each part to resume from, from 0 to 1000; empty if the next attempt starts from the beginning.
        pub progress: Vec<u32>,
        /// Run time of earlier attempts in milliseconds.
        pub served: Millis,
        /// Whether an earlier attempt ran. The attempt in progress is not contained.
        pub ran: Ran,
        /// Attempts that count against the policy's limit; reclaimed and withdrawn attempts do not.
        #[serde(rename = "strikes")]
        pub counted_attempts: u32,
        /// Workers that reported a failure of the job.
        pub failed: BTreeSet<WorkerName>,
        /// Why the latest attempt ended and the job is queued again; empty before that.
        pub reason: String,
        /// How it ended; `None` while it is queued or in progress.
        pub ended: Option<JobOutcome>,
    }
}

/// State of a region, folded from its journal.
///
/// Contains the jobs that are not forgotten, with indexes by name, idempotency key, revision and end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionState {
    /// Number of the newest row folded; 0 before the first.
    pub seq: Seq,
    /// Highest wall clock of the folded rows, in milliseconds since the Unix epoch.
    pub wall: Millis,
    /// Highest number of an accepted job; 0 before the first.
    pub last_job: JobId,
    /// Highest revision of a forgotten job; 0 if none was forgotten. Lists and watches can't resume from an older
    /// revision.
    pub compact_revision: Revision,
    /// Workers drained by operators.
    pub drained: BTreeSet<WorkerName>,
    /// Jobs made of steps.
    pub step_jobs: StepJobTable,
    jobs: BTreeMap<JobId, JobState>,
    names: BTreeMap<(AccountName, JobName), JobId>,
    keys: BTreeMap<(AccountName, String), JobId>,
    revisions: BTreeMap<Revision, JobId>,
    ended: BTreeSet<(Millis, JobId)>,
    /// Number of jobs of each account that have not ended.
    open: BTreeMap<AccountName, u32>,
    /// Bytes of the payloads of jobs that have not ended.
    bytes: usize,
}

/// Serialised form of [`RegionState`]; the indexes are rebuilt.
#[derive(Serialize, Deserialize)]
struct Image {
    seq: Seq,
    wall: Millis,
    last: JobId,
    floor: Revision,
    drained: BTreeSet<WorkerName>,
    jobs: Vec<JobState>,
    #[serde(default)]
    book: Vec<JobEntry>,
    #[serde(default)]
    barred: BTreeMap<JobKey, Millis>,
}

impl RegionState {
    /// Folds all records of the row `seq`, which must follow [`Self::seq`].
    pub fn fold_batch(&mut self, seq: Seq, batch: &Batch) {
        self.seq = seq;
        self.wall = self.wall.max(batch.wall);
        for (index, record) in batch.records.iter().enumerate() {
            self.fold(revision(seq, index), record);
        }
    }

    /// Folds one record. The job that it changes gets `revision`. A record about a job that is unknown or has ended
    /// changes nothing.
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
                entry.counted_attempts += u32::from(*counted);
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
            Record::Steps(record) => self.step_jobs.apply(self.wall, record),
        }
    }

    fn accept(&mut self, revision: Revision, job: JobId, name: &JobName, key: &str, spec: &JobSpec) {
        let account = spec.account.clone();
        self.last_job = self.last_job.max(job);
        *self.open.entry(account.clone()).or_default() += 1;
        self.insert(JobState {
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
            counted_attempts: 0,
            failed: BTreeSet::new(),
            reason: String::new(),
            ended: None,
        });
    }

    fn insert(&mut self, entry: JobState) {
        self.bytes += payload_len(&entry.spec);
        let account = entry.spec.account.clone();
        self.names.insert((account.clone(), entry.name.clone()), entry.id);
        self.keys.insert((account, entry.key.clone()), entry.id);
        self.revisions.insert(entry.revision, entry.id);
        if let Some(ended) = &entry.ended {
            self.ended.insert((ended.wall, entry.id));
        }
        self.jobs.insert(entry.id, entry);
    }

    /// Edits a job that has not ended and sets its revision.
    fn change(&mut self, revision: Revision, job: JobId, edit: impl FnOnce(&mut JobState)) {
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.ended.is_none()) else {
            return;
        };
        edit(entry);
        self.revisions.remove(&entry.revision);
        entry.revision = revision;
        self.revisions.insert(revision, job);
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
            account = Some((entry.spec.account.clone(), payload_len(&entry.spec)));
            entry.placement = None;
            entry.spec.payload = None;
            entry.ended = Some(JobOutcome {
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
            self.decrement_open(&account);
        }
    }

    /// Counts one job less that has not ended.
    fn decrement_open(&mut self, account: &AccountName) {
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
        self.bytes -= payload_len(&entry.spec);
        match &entry.ended {
            Some(ended) => {
                self.ended.remove(&(ended.wall, job));
            }
            None => self.decrement_open(&account),
        }
        self.compact_revision = self.compact_revision.max(entry.revision);
        self.revisions.remove(&entry.revision);
        self.names.remove(&(account.clone(), entry.name));
        self.keys.remove(&(account, entry.key));
    }

    /// The job with this number; `None` if it was never accepted or is forgotten.
    pub fn job(&self, job: JobId) -> Option<&JobState> {
        self.jobs.get(&job)
    }

    /// All jobs that are not forgotten, in order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// The account's job with this name.
    pub fn by_name(&self, account: &AccountName, name: &JobName) -> Option<&JobState> {
        let job = self.names.get(&(account.clone(), name.clone()))?;
        self.jobs.get(job)
    }

    /// The account's job with this idempotency key.
    pub fn by_key(&self, account: &AccountName, key: &str) -> Option<&JobState> {
        let job = self.keys.get(&(account.clone(), key.to_owned()))?;
        self.jobs.get(job)
    }

    /// Jobs whose last change came after the revision `after`, in order of revision.
    pub fn changed_since(&self, after: Revision) -> impl Iterator<Item = &JobState> {
        self.revisions
            .range(after.next()..)
            .filter_map(|(_, job)| self.jobs.get(job))
    }

    /// Highest revision of any job, forgotten ones included; 0 before the first. A list that is complete up to here may
    /// resume from it.
    pub fn newest_revision(&self) -> Revision {
        self.revisions
            .last_key_value()
            .map_or(self.compact_revision, |(revision, _)| {
                (*revision).max(self.compact_revision)
            })
    }

    /// Number of the account's jobs that have not ended.
    pub fn open_jobs(&self, account: &AccountName) -> u32 {
        self.open.get(account).copied().unwrap_or(0)
    }

    /// Bytes of the payloads of jobs that have not ended.
    pub fn payload_bytes(&self) -> usize {
        self.bytes
    }

    /// Ended jobs to forget, oldest first: those beyond the newest `keep` and those that ended before `before`, at most
    /// `limit`.
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

    /// Number of ended jobs that are not forgotten.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Encodes the state as a snapshot: a checksum of 8 bytes, then MessagePack.
    pub fn encode(&self) -> Vec<u8> {
        let image = Image {
            seq: self.seq,
            wall: self.wall,
            last: self.last_job,
            floor: self.compact_revision,
            drained: self.drained.clone(),
            jobs: self.jobs.values().cloned().collect(),
            book: self.step_jobs.jobs().cloned().collect(),
            barred: self.step_jobs.barred().clone(),
        };
        let body = rmp_serde::to_vec_named(&image).unwrap_or_default();
        let mut bytes = checksum(&body).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a snapshot of [`Self::encode`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the snapshot is truncated, altered, or not in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let damaged = |text: &str| Error::msg(ErrorKind::Internal, "decode snapshot", text);
        let (sum, body) = bytes
            .split_first_chunk::<8>()
            .ok_or_else(|| damaged("it is shorter than its checksum"))?;
        if u64::from_be_bytes(*sum) != checksum(body) {
            return Err(damaged("the checksum does not match"));
        }
        let image: Image =
            rmp_serde::from_slice(body).map_err(|e| Error::new(ErrorKind::Internal, "decode snapshot", e))?;
        let mut state = Self {
            seq: image.seq,
            wall: image.wall,
            last_job: image.last,
            compact_revision: image.floor,
            drained: image.drained,
            step_jobs: StepJobTable::restore(image.book, image.barred),
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

fn payload_len(spec: &JobSpec) -> usize {
    spec.payload.as_ref().map_or(0, String::len)
}
