//! Calls of callers and operators, and the bookkeeping of those that wait for their response.
//!
//! Reads are answered at once or, as a long poll, when something changes. Writes are answered once their record is
//! committed. The responses themselves are built in `answers`.

use std::collections::{BTreeMap, BTreeSet};

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::ids::{AccountName, JobId, JobName, Revision, WorkerName};
use crate::journal::Record;
use crate::message::{Call, Failure, Response};
use crate::resource::JobPhase;
use crate::scheduler::{Action, Token};
use crate::state::JobState;

/// Calls that write are refused while a transaction has had no outcome for this long.
pub(crate) const STORE_STALL: Millis = Millis(1_000);
/// A submission that is not committed after this time is answered with an unknown outcome.
const COMMIT_TIMEOUT: Millis = Millis(3_000);
/// Most long polls that wait at a time.
const MAX_WAITING_CALLS: usize = 20_000;
/// Time after which a refused caller may try again.
const RETRY_AFTER_MS: u64 = 1_000;
/// Longest wait of a long poll; a longer one is cut to this.
const MAX_WAIT: Millis = Millis(60_000);

/// A submission that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingSubmit {
    pub(crate) account: AccountName,
    pub(crate) name: JobName,
    pub(crate) key: String,
    /// Checksum of the specification.
    pub(crate) digest: u64,
    /// Length of the payload.
    pub(crate) bytes: usize,
    pub(crate) since: Millis,
    /// Callers to answer, each with whether its submission created the job rather than repeated it.
    pub(crate) tokens: Vec<(Token, bool)>,
}

/// A list of jobs that changed after a revision.
#[derive(Clone, Debug)]
pub(crate) struct ListWait {
    /// `None` lists the jobs of all accounts.
    pub(crate) account: Option<AccountName>,
    pub(crate) after: Revision,
    pub(crate) limit: u32,
}

/// What a long poll waits for.
#[derive(Clone, Debug)]
pub(crate) enum Wait {
    /// The end of a job.
    Job(JobId),
    /// A change of a listed job.
    List(ListWait),
}

/// Calls that wait, and submissions that are not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    /// Number of the last submitted job, which may not be committed yet.
    pub(crate) last_job: JobId,
    pub(crate) pending: BTreeMap<JobId, PendingSubmit>,
    /// Indexes of `pending` by name and by idempotency key.
    pub(crate) names: BTreeMap<(AccountName, JobName), JobId>,
    pub(crate) keys: BTreeMap<(AccountName, String), JobId>,
    /// Number of pending submissions of each account.
    pub(crate) open: BTreeMap<AccountName, u32>,
    /// Total payload length of pending submissions.
    pub(crate) bytes: usize,
    /// Calls to answer once a cancellation or the end of a job is committed.
    pub(crate) cancels: BTreeMap<JobId, Vec<Token>>,
    /// Calls to answer once a drain or its end is committed.
    pub(crate) drains: BTreeMap<WorkerName, Vec<Token>>,
    /// Long polls with the times at which they end.
    pub(crate) waits: BTreeMap<Token, (Wait, Millis)>,
    pub(crate) waits_by_job: BTreeMap<JobId, BTreeSet<Token>>,
    pub(crate) list_waits: BTreeSet<Token>,
    pub(crate) timeouts: BTreeSet<(Millis, Token)>,
    /// Calls that wait for a job's answer to be read from its object, each with whether it created the job.
    pub(crate) answer_reads: BTreeMap<JobId, Vec<(Token, bool)>>,
    /// The guarantee being written, and the time after which another one may be written without its outcome.
    pub(crate) guarantee_write: Option<(crate::ids::GuaranteeName, Millis)>,
}

impl Calls {
    /// `last` is the number of the last accepted job; new jobs count up from it.
    pub(crate) fn new(last: JobId) -> Self {
        Self {
            last_job: last,
            pending: BTreeMap::new(),
            names: BTreeMap::new(),
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            bytes: 0,
            cancels: BTreeMap::new(),
            drains: BTreeMap::new(),
            waits: BTreeMap::new(),
            waits_by_job: BTreeMap::new(),
            list_waits: BTreeSet::new(),
            timeouts: BTreeSet::new(),
            answer_reads: BTreeMap::new(),
            guarantee_write: None,
        }
    }

    /// Drops a call whose caller no longer waits. What the call asked for still happens.
    pub(crate) fn abandon(&mut self, token: Token) {
        self.stop_waiting(token);
        for pending in self.pending.values_mut() {
            pending.tokens.retain(|(other, _)| *other != token);
        }
        let keep = |tokens: &mut Vec<Token>| {
            tokens.retain(|other| *other != token);
            !tokens.is_empty()
        };
        self.cancels.retain(|_, tokens| keep(tokens));
        self.drains.retain(|_, tokens| keep(tokens));
        self.answer_reads
            .values_mut()
            .for_each(|tokens| tokens.retain(|(other, _)| *other != token));
    }

    /// Ends a long poll without a response; does nothing if `token` is none.
    pub(crate) fn stop_waiting(&mut self, token: Token) {
        let Some((wait, until)) = self.waits.remove(&token) else {
            return;
        };
        self.timeouts.remove(&(until, token));
        self.list_waits.remove(&token);
        if let Wait::Job(job) = wait
            && let Some(tokens) = self.waits_by_job.get_mut(&job)
        {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.waits_by_job.remove(&job);
            }
        }
    }

    /// Adds a long poll that ends at `until`.
    pub(crate) fn wait(&mut self, token: Token, wait: Wait, until: Millis) {
        // A call that was delivered twice waits once.
        self.stop_waiting(token);
        match &wait {
            Wait::Job(job) => {
                self.waits_by_job.entry(*job).or_default().insert(token);
            }
            Wait::List(_) => {
                self.list_waits.insert(token);
            }
        }
        self.timeouts.insert((until, token));
        self.waits.insert(token, (wait, until));
    }

    /// Adds a submission that is not committed yet.
    pub(crate) fn add(&mut self, job: JobId, pending: PendingSubmit) {
        self.names.insert((pending.account.clone(), pending.name.clone()), job);
        self.keys.insert((pending.account.clone(), pending.key.clone()), job);
        *self.open.entry(pending.account.clone()).or_default() += 1;
        self.bytes += pending.bytes;
        self.pending.insert(job, pending);
    }

    /// Removes a submission once it is committed.
    pub(crate) fn remove(&mut self, job: JobId) -> Option<PendingSubmit> {
        let pending = self.pending.remove(&job)?;
        self.names.remove(&(pending.account.clone(), pending.name.clone()));
        self.keys.remove(&(pending.account.clone(), pending.key.clone()));
        self.bytes -= pending.bytes;
        if let Some(open) = self.open.get_mut(&pending.account) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&pending.account);
            }
        }
        Some(pending)
    }
}

/// The failure of a call that changed nothing. A caller may retry it if the cause is likely to pass.
pub(crate) fn refusal(kind: ErrorKind, message: impl Into<String>) -> Failure {
    let retry = matches!(kind, ErrorKind::Unavailable | ErrorKind::Limited);
    Failure {
        kind,
        message: message.into(),
        ran: Ran::No,
        retry: retry.then_some(RETRY_AFTER_MS),
    }
}

impl ActiveScheduler {
    pub(crate) fn reply(&mut self, token: Token, response: Response) {
        self.actions.push(Action::Reply { token, response });
    }

    pub(crate) fn fail(&mut self, token: Token, failure: Failure) {
        self.reply(token, Response::Failed(failure));
    }

    /// Handles a call: answers it, has it wait, or fails it.
    pub(crate) fn handle_call(&mut self, now: Millis, token: Token, call: Call) {
        let outcome = match call {
            Call::Submit { name, key, spec } => self.submit(now, token, name, key, spec),
            Call::Get { account, name } => self.get(token, &account, &name),
            Call::Wait { account, name, wait } => self.wait_for(now, token, &account, &name, wait),
            Call::List {
                account,
                after,
                limit,
                wait,
            } => {
                let list = ListWait {
                    account: account.map(AccountName::from),
                    after,
                    limit,
                };
                self.list(now, token, list, wait)
            }
            Call::Cancel {
                account,
                name,
                revision,
            } => self.cancel(now, token, &account, &name, revision),
            Call::Explain { account, name } => self.explain(token, &account, &name),
            Call::Workers => {
                let workers = self.worker_views();
                self.reply(token, Response::Workers { workers });
                Ok(())
            }
            Call::Drain { worker, drain } => self.drain(token, worker, drain),
            Call::PutGuarantee { guarantee, revision } => self.put_guarantee(now, token, *guarantee, revision),
            Call::DeleteGuarantee { name, revision } => self.delete_guarantee(now, token, &name, revision),
            Call::Guarantees => {
                let guarantees = self.guarantee_views();
                self.reply(token, Response::Guarantees { guarantees });
                Ok(())
            }
        };
        if let Err(failure) = outcome {
            self.fail(token, failure);
        }
    }

    /// Fails if no record can be written, since the lease is not held or the store does not answer.
    pub(crate) fn check_writable(&self, now: Millis) -> Result<(), Failure> {
        if !self.lease_held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        if self.appender.stalled(now) >= STORE_STALL {
            return Err(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        Ok(())
    }

    /// Finds a job for a call. Without the lease, a job that is not found may exist all the same, since another
    /// scheduler may have accepted it; the call then fails as unavailable instead of not found.
    pub(crate) fn find(&self, account: &str, name: &str) -> Result<JobState, Failure> {
        let (account, name) = (AccountName::from(account), JobName::from(name));
        if let Some(entry) = self.state.by_name(&account, &name) {
            return Ok(entry.clone());
        }
        if self.calls.names.contains_key(&(account.clone(), name.clone())) {
            return Err(refusal(ErrorKind::Unavailable, "the job is being accepted"));
        }
        if !self.lease_held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        Err(refusal(
            ErrorKind::NotFound,
            format!("account {account} has no job {name}"),
        ))
    }

    /// Answers with a job.
    fn get(&mut self, token: Token, account: &str, name: &str) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        self.answer_job(token, &entry, false);
        Ok(())
    }

    /// Answers with a job once it ended, at the latest after `wait`.
    fn wait_for(&mut self, now: Millis, token: Token, account: &str, name: &str, wait: Millis) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        if entry.ended.is_some() || wait == Millis::ZERO {
            self.answer_job(token, &entry, false);
            return Ok(());
        }
        self.check_waits()?;
        self.calls.wait(token, Wait::Job(entry.id), now + wait.min(MAX_WAIT));
        Ok(())
    }

    /// Fails if too many long polls wait already.
    fn check_waits(&self) -> Result<(), Failure> {
        if self.calls.waits.len() >= MAX_WAITING_CALLS {
            return Err(refusal(ErrorKind::Limited, "too many calls wait"));
        }
        Ok(())
    }

    /// Answers with the jobs that changed after a revision; waits for the first change if there is none.
    fn list(&mut self, now: Millis, token: Token, list: ListWait, wait: Millis) -> Result<(), Failure> {
        if list.after != Revision(0) && list.after < self.state.compact_revision {
            let text = format!("revision {} is too old, list again", list.after);
            return Err(refusal(ErrorKind::Expired, text));
        }
        let (jobs, revision) = self.changed_jobs(&list);
        if jobs.is_empty() && wait > Millis::ZERO {
            self.check_waits()?;
            self.calls.wait(token, Wait::List(list), now + wait.min(MAX_WAIT));
            return Ok(());
        }
        self.answer_list(token, jobs, revision);
        Ok(())
    }

    /// Cancels a job: ends it if it is not placed, and otherwise records the cancellation, which stops its attempt.
    fn cancel(
        &mut self,
        now: Millis,
        token: Token,
        account: &str,
        name: &str,
        revision: Option<Revision>,
    ) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        if revision.is_some_and(|revision| revision != entry.revision) {
            let text = format!("the job has revision {}", entry.revision);
            return Err(refusal(ErrorKind::Conflict, text));
        }
        if entry.ended.is_some() || entry.cancelling {
            self.answer_job(token, &entry, false);
            return Ok(());
        }
        self.check_writable(now)?;
        let job = entry.id;
        let first = !self.calls.cancels.contains_key(&job);
        self.calls.cancels.entry(job).or_default().push(token);
        if self.finishing.contains(&job) || !first {
            return Ok(());
        }
        if self.runs.contains_key(&job) || self.placing.contains_key(&job) {
            self.push(Record::Cancelling { job });
        } else {
            self.finish_queued(now, job, JobPhase::Cancelled, "cancelled by a caller");
        }
        Ok(())
    }

    /// Answers with the phase of a job and the reasons why it waits.
    fn explain(&mut self, token: Token, account: &str, name: &str) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        let job = self.job_view(&entry);
        let mut lines = vec![format!("phase {:?}, attempt {}", job.status.phase, job.status.attempt)];
        if !job.status.reason.is_empty() {
            lines.push(job.status.reason);
        }
        lines.extend(job.status.conditions.into_iter().map(|condition| condition.reason));
        lines.extend(self.planner.explain(entry.id));
        lines.dedup();
        self.reply(token, Response::Explained { lines });
        Ok(())
    }

    /// Records that a worker gets no new work, or gets work again.
    fn drain(&mut self, token: Token, worker: WorkerName, drain: bool) -> Result<(), Failure> {
        if !self.lease_held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        if !self.workers.contains_key(&worker) {
            return Err(refusal(ErrorKind::NotFound, format!("there is no worker {worker}")));
        }
        self.calls.drains.entry(worker.clone()).or_default().push(token);
        self.push(Record::Drained { worker, drain });
        Ok(())
    }

    /// Answers submissions whose commit takes too long, and long polls whose time is over.
    pub(crate) fn expire_calls(&mut self, now: Millis) {
        let unknown = Failure {
            kind: ErrorKind::Unavailable,
            message: "the store has not confirmed the submission".to_owned(),
            ran: Ran::Unknown,
            retry: Some(RETRY_AFTER_MS),
        };
        let mut late = Vec::new();
        for pending in self.calls.pending.values_mut() {
            if now.since(pending.since) >= COMMIT_TIMEOUT {
                late.append(&mut pending.tokens);
            }
        }
        for (token, _) in late {
            self.fail(token, unknown.clone());
        }
        while let Some((at, token)) = self.calls.timeouts.first().copied()
            && at <= now
        {
            self.calls.timeouts.remove(&(at, token));
            let wait = self.calls.waits.get(&token).map(|(wait, _)| wait.clone());
            self.calls.stop_waiting(token);
            self.end_wait(token, wait);
        }
    }

    /// Fails every call that waits, since this daemon is no longer the scheduler. Calls that only read did nothing;
    /// the outcome of the others is not known.
    pub(crate) fn fail_pending_calls(&mut self) -> Vec<Action> {
        let failure = |ran| Failure {
            kind: ErrorKind::Unavailable,
            message: "another daemon became the scheduler".to_owned(),
            ran,
            retry: Some(RETRY_AFTER_MS),
        };
        let calls = std::mem::replace(&mut self.calls, Calls::new(JobId(0)));
        let pending = calls.pending.into_values().flat_map(|pending| pending.tokens);
        let writes = pending
            .map(|(token, _)| token)
            .chain(calls.cancels.into_values().flatten())
            .chain(calls.drains.into_values().flatten());
        let reads = calls
            .waits
            .into_keys()
            .chain(calls.answer_reads.into_values().flatten().map(|(token, _)| token));
        for token in writes {
            self.fail(token, failure(Ran::Unknown));
        }
        for token in reads {
            self.fail(token, failure(Ran::No));
        }
        let unsent = self.appender.unsent().filter_map(|record| match record {
            Record::Steps(record) => Some(record),
            _ => None,
        });
        self.steps.fail_pending_calls(unsent);
        self.steps_flush();
        std::mem::take(&mut self.actions)
    }
}
