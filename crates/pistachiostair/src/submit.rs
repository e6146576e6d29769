//! Submissions: recognises duplicates by their idempotency key, enforces limits, and answers after the commit.

use crate::active::ActiveScheduler;
use crate::calls::{PendingSubmit, refusal};
use crate::clock::Millis;
use crate::error::ErrorKind;
use crate::ids::{AccountName, JobId, JobName};
use crate::journal::{Record, digest};
use crate::message::Failure;
use crate::planner::Change;
use crate::resource::JobSpec;
use crate::scheduler::Token;

/// Most records that wait for a commit; further submissions are refused.
const MAX_BACKLOG_RECORDS: usize = 20_000;
/// Most bytes of payloads of the region's jobs that have not ended; further submissions are refused.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

impl ActiveScheduler {
    /// Accepts a job, or answers a duplicate with the first job. An absent name is derived from the job's number; an
    /// absent key is the name. The planner gets the job at once, before the commit.
    ///
    /// Fails with `Conflict` if the key or the name belongs to another job, with `Limited` if a limit is reached, and
    /// with `Unavailable` if nothing can be written.
    pub(crate) fn submit(
        &mut self,
        now: Millis,
        token: Token,
        name: String,
        key: Option<String>,
        spec: Box<JobSpec>,
    ) -> Result<(), Failure> {
        let account = spec.account.clone();
        let job = self.calls.last_job.next();
        let key = match (key, name.is_empty()) {
            (Some(key), _) => key,
            (None, false) => name.clone(),
            (None, true) => format!("job-{job}"),
        };
        let digest = digest(&spec);
        if self.answer_duplicate(token, &account, &key, &name, digest)? {
            return Ok(());
        }
        self.check_writable(now)?;
        let name = JobName::from(if name.is_empty() { format!("job-{job}") } else { name });
        self.check_limits(&spec)?;
        let taken = self.calls.names.contains_key(&(account.clone(), name.clone()));
        if taken || self.state.by_name(&account, &name).is_some() {
            let text = format!("account {account} has a job {name} with another idempotency key");
            return Err(refusal(ErrorKind::Conflict, text));
        }
        self.calls.last_job = job;
        let pending = PendingSubmit {
            account,
            name: name.clone(),
            key: key.clone(),
            digest,
            bytes: spec.payload.as_ref().map_or(0, String::len),
            since: now,
            tokens: vec![(token, true)],
        };
        self.calls.add(job, pending);
        let queued = Change::Queued {
            job,
            spec: spec.as_ref().clone(),
            served: Millis::ZERO,
        };
        self.push(Record::Accepted { job, name, key, spec });
        self.planner.apply(now, queued);
        self.replan = true;
        Ok(())
    }

    /// Answers a repeated submission with the job of the first one, at once or after its commit. Returns false if the
    /// key is new.
    fn answer_duplicate(
        &mut self,
        token: Token,
        account: &AccountName,
        key: &str,
        name: &str,
        digest: u64,
    ) -> Result<bool, Failure> {
        let same = |other: &JobName, sum: u64| (name.is_empty() || other.as_str() == name) && sum == digest;
        let conflict = || {
            let text = format!("idempotency key {key} was used for another job of account {account}");
            refusal(ErrorKind::Conflict, text)
        };
        if let Some(entry) = self.state.by_key(account, key).cloned() {
            if !same(&entry.name, entry.digest) {
                return Err(conflict());
            }
            self.answer_job(token, &entry, false);
            return Ok(true);
        }
        let job = self.calls.keys.get(&(account.clone(), key.to_owned()));
        if let Some(pending) = job.and_then(|job| self.calls.pending.get_mut(job)) {
            if !same(&pending.name, pending.digest) {
                return Err(conflict());
            }
            pending.tokens.push((token, false));
            return Ok(true);
        }
        Ok(false)
    }

    /// Fails if the account has too many jobs that have not ended, or the region too many payload bytes or records.
    fn check_limits(&self, spec: &JobSpec) -> Result<(), Failure> {
        let account = &spec.account;
        let known = self.config.accounts.get(account).and_then(|spec| spec.outstanding);
        let limit = known.unwrap_or(self.config.policy.limits.outstanding);
        let open = self.state.open_jobs(account) + self.calls.open.get(account).copied().unwrap_or(0);
        if open >= limit {
            let text = format!("account {account} has {open} jobs that have not ended, of at most {limit}");
            return Err(refusal(ErrorKind::Limited, text));
        }
        let bytes = self.state.payload_bytes() + self.calls.bytes + spec.payload.as_ref().map_or(0, String::len);
        if bytes > MAX_PAYLOAD_BYTES || self.appender.backlog() >= MAX_BACKLOG_RECORDS {
            return Err(refusal(
                ErrorKind::Limited,
                "the region has too many jobs that have not ended",
            ));
        }
        Ok(())
    }

    /// Answers all callers of a submission that is committed.
    pub(crate) fn answer_submit(&mut self, job: JobId) {
        let Some(pending) = self.calls.remove(job) else {
            return;
        };
        let Some(entry) = self.state.job(job).cloned() else {
            return;
        };
        for (token, created) in pending.tokens {
            self.answer_job(token, &entry, created);
        }
    }
}
