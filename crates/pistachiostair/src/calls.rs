//! Calls about jobs, and the callers that wait for an answer.

use std::collections::{BTreeMap, BTreeSet};

use crate::active::Active;
use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::ids::{AccountName, JobId, JobName, Revision, WorkerName};
use crate::journal::Record;
use crate::message::{Call, Failure, Response};
use crate::resource::JobPhase;
use crate::scheduler::{Action, Token};
use crate::state::Entry;

/// Submissions are refused while a transaction has had no outcome for this long.
pub(crate) const STALLED: Millis = Millis(1_000);
/// A submission whose commit takes longer is answered: its outcome is not known.
const COMMIT_WAIT: Millis = Millis(3_000);
/// Most calls that wait at a time.
const MAX_WAITS: usize = 20_000;
/// When a refused caller may try again, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// Longest wait of a call.
const MAX_WAIT: Millis = Millis(60_000);

/// A submission that is not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) account: AccountName,
    pub(crate) name: JobName,
    pub(crate) key: String,
    pub(crate) digest: u64,
    pub(crate) bytes: usize,
    pub(crate) since: Millis,
    /// Callers, and whether each created the job.
    pub(crate) tokens: Vec<(Token, bool)>,
}

#[derive(Clone, Debug)]
pub(crate) struct ListWait {
    pub(crate) account: Option<AccountName>,
    pub(crate) after: Revision,
    pub(crate) limit: u32,
}

#[derive(Clone, Debug)]
pub(crate) enum Wait {
    Job(JobId),
    List(ListWait),
}

/// Calls that wait, and submissions that are not committed yet.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    pub(crate) last: JobId,
    pub(crate) pending: BTreeMap<JobId, Pending>,
    pub(crate) names: BTreeMap<(AccountName, JobName), JobId>,
    pub(crate) keys: BTreeMap<(AccountName, String), JobId>,
    pub(crate) open: BTreeMap<AccountName, u32>,
    pub(crate) bytes: usize,
    pub(crate) cancels: BTreeMap<JobId, Vec<Token>>,
    pub(crate) drains: BTreeMap<WorkerName, Vec<Token>>,
    pub(crate) waits: BTreeMap<Token, (Wait, Millis)>,
    pub(crate) by_job: BTreeMap<JobId, BTreeSet<Token>>,
    pub(crate) lists: BTreeSet<Token>,
    pub(crate) timeouts: BTreeSet<(Millis, Token)>,
    /// Callers that wait for an answer stored as an object.
    pub(crate) reads: BTreeMap<JobId, Vec<(Token, bool)>>,
    /// The guarantee being written, until its outcome is known.
    pub(crate) writing: Option<(crate::ids::GuaranteeName, Millis)>,
}

impl Calls {
    /// `last` is the number of the last job accepted.
    pub(crate) fn new(last: JobId) -> Self {
        Self {
            last,
            pending: BTreeMap::new(),
            names: BTreeMap::new(),
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            bytes: 0,
            cancels: BTreeMap::new(),
            drains: BTreeMap::new(),
            waits: BTreeMap::new(),
            by_job: BTreeMap::new(),
            lists: BTreeSet::new(),
            timeouts: BTreeSet::new(),
            reads: BTreeMap::new(),
            writing: None,
        }
    }

    /// Drops a call whose caller no longer waits. What it asked for goes on.
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
        self.reads
            .values_mut()
            .for_each(|tokens| tokens.retain(|(other, _)| *other != token));
    }

    pub(crate) fn stop_waiting(&mut self, token: Token) {
        let Some((wait, until)) = self.waits.remove(&token) else {
            return;
        };
        self.timeouts.remove(&(until, token));
        self.lists.remove(&token);
        if let Wait::Job(job) = wait
            && let Some(tokens) = self.by_job.get_mut(&job)
        {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.by_job.remove(&job);
            }
        }
    }

    pub(crate) fn wait(&mut self, token: Token, wait: Wait, until: Millis) {
        // A call that was delivered twice waits once.
        self.stop_waiting(token);
        match &wait {
            Wait::Job(job) => {
                self.by_job.entry(*job).or_default().insert(token);
            }
            Wait::List(_) => {
                self.lists.insert(token);
            }
        }
        self.timeouts.insert((until, token));
        self.waits.insert(token, (wait, until));
    }

    pub(crate) fn add(&mut self, job: JobId, pending: Pending) {
        self.names.insert((pending.account.clone(), pending.name.clone()), job);
        self.keys.insert((pending.account.clone(), pending.key.clone()), job);
        *self.open.entry(pending.account.clone()).or_default() += 1;
        self.bytes += pending.bytes;
        self.pending.insert(job, pending);
    }

    pub(crate) fn remove(&mut self, job: JobId) -> Option<Pending> {
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

/// A failed call that did nothing.
pub(crate) fn refusal(kind: ErrorKind, message: impl Into<String>) -> Failure {
    let retry = matches!(kind, ErrorKind::Unavailable | ErrorKind::Limited);
    Failure {
        kind,
        message: message.into(),
        ran: Ran::No,
        retry: retry.then_some(RETRY_MS),
    }
}

impl Active {
    pub(crate) fn reply(&mut self, token: Token, response: Response) {
        self.actions.push(Action::Reply { token, response });
    }

    pub(crate) fn fail(&mut self, token: Token, failure: Failure) {
        self.reply(token, Response::Failed(failure));
    }

    pub(crate) fn call(&mut self, now: Millis, token: Token, call: Call) {
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

    /// Refuses a change while this daemon may not be the scheduler, or can't reach the store.
    pub(crate) fn writable(&self, now: Millis) -> Result<(), Failure> {
        if !self.held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        if self.appender.stalled(now) >= STALLED {
            return Err(refusal(ErrorKind::Unavailable, "the store does not answer"));
        }
        Ok(())
    }

    /// Finds a job for a call. An absent one can be told only while the lease is held: another
    /// scheduler may have accepted it.
    pub(crate) fn find(&self, account: &str, name: &str) -> Result<Entry, Failure> {
        let (account, name) = (AccountName::from(account), JobName::from(name));
        if let Some(entry) = self.state.named(&account, &name) {
            return Ok(entry.clone());
        }
        if self.calls.names.contains_key(&(account.clone(), name.clone())) {
            return Err(refusal(ErrorKind::Unavailable, "the job is being accepted"));
        }
        if !self.held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        Err(refusal(
            ErrorKind::NotFound,
            format!("account {account} has no job {name}"),
        ))
    }

    fn get(&mut self, token: Token, account: &str, name: &str) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        self.answer_job(token, &entry, false);
        Ok(())
    }

    fn wait_for(&mut self, now: Millis, token: Token, account: &str, name: &str, wait: Millis) -> Result<(), Failure> {
        let entry = self.find(account, name)?;
        if entry.ended.is_some() || wait == Millis::ZERO {
            self.answer_job(token, &entry, false);
            return Ok(());
        }
        self.admit_wait()?;
        self.calls.wait(token, Wait::Job(entry.id), now + wait.min(MAX_WAIT));
        Ok(())
    }

    fn admit_wait(&self) -> Result<(), Failure> {
        if self.calls.waits.len() >= MAX_WAITS {
            return Err(refusal(ErrorKind::Limited, "too many calls wait"));
        }
        Ok(())
    }

    fn list(&mut self, now: Millis, token: Token, list: ListWait, wait: Millis) -> Result<(), Failure> {
        if list.after != Revision(0) && list.after < self.state.floor {
            let text = format!("revision {} is too old, list again", list.after);
            return Err(refusal(ErrorKind::Expired, text));
        }
        let (jobs, revision) = self.changed(&list);
        if jobs.is_empty() && wait > Millis::ZERO {
            self.admit_wait()?;
            self.calls.wait(token, Wait::List(list), now + wait.min(MAX_WAIT));
            return Ok(());
        }
        self.answer_list(token, jobs, revision);
        Ok(())
    }

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
        if entry.ended.is_some() {
            self.answer_job(token, &entry, false);
            return Ok(());
        }
        self.writable(now)?;
        let job = entry.id;
        let first = !self.calls.cancels.contains_key(&job) && !entry.cancelling;
        self.calls.cancels.entry(job).or_default().push(token);
        if self.closing.contains(&job) || !first {
            return Ok(());
        }
        if self.runs.contains_key(&job) || self.placing.contains_key(&job) {
            self.push(Record::Cancelling { job });
        } else {
            self.finish_queued(now, job, JobPhase::Cancelled, "cancelled by a caller");
        }
        Ok(())
    }

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

    fn drain(&mut self, token: Token, worker: WorkerName, drain: bool) -> Result<(), Failure> {
        if !self.held {
            return Err(refusal(ErrorKind::Unavailable, "the scheduler's lease is not renewed"));
        }
        if !self.workers.contains_key(&worker) {
            return Err(refusal(ErrorKind::NotFound, format!("there is no worker {worker}")));
        }
        self.calls.drains.entry(worker.clone()).or_default().push(token);
        self.push(Record::Drained { worker, drain });
        Ok(())
    }

    /// Answers submissions whose commit takes too long, and waits that are over.
    pub(crate) fn expire_calls(&mut self, now: Millis) {
        let unknown = Failure {
            kind: ErrorKind::Unavailable,
            message: "the store has not confirmed the submission".to_owned(),
            ran: Ran::Unknown,
            retry: Some(RETRY_MS),
        };
        let mut late = Vec::new();
        for pending in self.calls.pending.values_mut() {
            if now.since(pending.since) >= COMMIT_WAIT {
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

    /// Answers everyone who waits: this daemon is no longer the scheduler.
    pub(crate) fn abandon(&mut self) -> Vec<Action> {
        let failure = |ran| Failure {
            kind: ErrorKind::Unavailable,
            message: "another daemon became the scheduler".to_owned(),
            ran,
            retry: Some(RETRY_MS),
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
            .chain(calls.reads.into_values().flatten().map(|(token, _)| token));
        for token in writes {
            self.fail(token, failure(Ran::Unknown));
        }
        for token in reads {
            self.fail(token, failure(Ran::No));
        }
        self.steps.abandon();
        self.steps_flush();
        std::mem::take(&mut self.actions)
    }
}
