//! Answers of the elected scheduler to callers: jobs, lists of changed jobs, cancels and drains. Also the calls that
//! write guarantees, one at a time, and the effect of a changed guarantee on the planner.

use crate::active::ActiveScheduler;
use crate::appender::{AppendAction, fenced};
use crate::calls::{ListWait, Wait, refusal};
use crate::clock::Millis;
use crate::edge::{Check, Write};
use crate::error::ErrorKind;
use crate::finish::answer_key;
use crate::ids::{GuaranteeName, JobId, Revision, WorkerName};
use crate::state::JobState;

use crate::message::{Failure, Response};
use crate::planner::Change;
use crate::resource::{Condition, Guarantee, Job};
use crate::scheduler::{Action, Token};

/// Maximum number of jobs in one list.
const MAX_LIST: usize = 1_000;
/// Approximate size of the jobs after which a list is cut off: half of the largest message.
const MAX_LIST_BYTES: usize = crate::message::MAX_MESSAGE / 2;
/// Time after which a write of a guarantee no longer blocks other writes, even if its outcome is not known.
const GUARANTEE_WRITE_TIMEOUT: Millis = Millis(5_000);

impl ActiveScheduler {
    /// Replies to a call with one job. If the job's answer is stored as an object of its own, it is read first and the
    /// reply follows in [`Self::finish_answer_read`]. `created` says whether the call created the job.
    pub(crate) fn answer_job(&mut self, token: Token, entry: &JobState, created: bool) {
        if entry.ended.as_ref().is_some_and(|ended| ended.stored) {
            let readers = self.calls.answer_reads.entry(entry.id).or_default();
            readers.push((token, created));
            if readers.len() == 1 {
                let key = answer_key(&self.region, entry.id);
                self.append(vec![AppendAction::ReadObject { key }]);
            }
            return;
        }
        let job = self.job_view(entry);
        self.reply_job(token, job, created);
    }

    fn reply_job(&mut self, token: Token, job: Job, created: bool) {
        let revision = job.metadata.revision;
        let jobs = vec![job];
        let response = Response::Jobs {
            jobs,
            revision,
            created,
        };
        self.reply(token, response);
    }

    /// Replies to all calls that wait for a job's stored answer, after it was read. `body` is `None` if it could not be
    /// read; these calls then fail with `Unavailable`, or with `NotFound` if the job was removed meanwhile.
    pub(crate) fn finish_answer_read(&mut self, job: JobId, body: Option<&[u8]>) {
        let readers = self.calls.answer_reads.remove(&job).unwrap_or_default();
        let text = body.and_then(|body| std::str::from_utf8(body).ok());
        let entry = self.state.job(job).cloned();
        for (token, created) in readers {
            match (&entry, text) {
                (Some(entry), Some(text)) => {
                    let mut job = self.job_view(entry);
                    job.status.answer = Some(text.to_owned());
                    self.reply_job(token, job, created);
                }
                (Some(_), None) => {
                    let failure = refusal(ErrorKind::Unavailable, "the job's answer can't be read at present");
                    self.fail(token, failure);
                }
                (None, _) => self.fail(token, refusal(ErrorKind::NotFound, "the job was removed")),
            }
        }
    }

    /// The jobs of a list call that changed after its revision, oldest change first, and the revision from which the
    /// next call continues. The list ends early at the limit of jobs or bytes. Answers that are stored as objects are
    /// left out.
    pub(crate) fn changed_jobs(&self, list: &ListWait) -> (Vec<Job>, Revision) {
        let limit = (list.limit as usize).clamp(1, MAX_LIST);
        let mut jobs = Vec::new();
        let mut bytes = 0;
        let mut last = list.after;
        for entry in self.state.changed_since(list.after) {
            if jobs.len() == limit || bytes >= MAX_LIST_BYTES {
                return (jobs, last);
            }
            last = entry.revision;
            let matches = list
                .account
                .as_ref()
                .is_none_or(|account| *account == entry.spec.account);
            if matches {
                bytes += approx_bytes(entry);
                jobs.push(self.job_view(entry));
            }
        }
        (jobs, last.max(self.state.newest_revision()))
    }

    /// Replies to a list call with `jobs` and the revision from which the next call continues.
    pub(crate) fn answer_list(&mut self, token: Token, jobs: Vec<Job>, revision: Revision) {
        let response = Response::Jobs {
            jobs,
            revision,
            created: false,
        };
        self.reply(token, response);
    }

    /// Replies to the list calls that wait for a change and now have one. Called after each commit.
    pub(crate) fn answer_list_waits(&mut self) {
        let tokens: Vec<Token> = self.calls.list_waits.iter().copied().collect();
        for token in tokens {
            let Some((Wait::List(list), _)) = self.calls.waits.get(&token) else {
                continue;
            };
            let (jobs, revision) = self.changed_jobs(list);
            if !jobs.is_empty() {
                self.calls.stop_waiting(token);
                self.answer_list(token, jobs, revision);
            }
        }
    }

    /// Replies to the calls that wait for the end of a job. Called when the end is committed.
    pub(crate) fn answer_job_waits(&mut self, job: JobId) {
        let tokens = self.calls.waits_by_job.get(&job).cloned().unwrap_or_default();
        let Some(entry) = self.state.job(job).cloned() else {
            return;
        };
        for token in tokens {
            self.calls.stop_waiting(token);
            self.answer_job(token, &entry, false);
        }
    }

    /// Replies to the calls that cancelled a job, with its present state.
    pub(crate) fn answer_cancels(&mut self, job: JobId) {
        let tokens = self.calls.cancels.remove(&job).unwrap_or_default();
        let Some(entry) = self.state.job(job).cloned() else {
            return;
        };
        for token in tokens {
            self.answer_job(token, &entry, false);
        }
    }

    /// Replies to the drain calls for a worker, with its present state.
    pub(crate) fn answer_drains(&mut self, worker: &WorkerName) {
        for token in self.calls.drains.remove(worker).unwrap_or_default() {
            let workers = self.worker_views();
            let workers = workers.into_iter().filter(|view| view.info.name == *worker).collect();
            self.reply(token, Response::Workers { workers });
        }
    }

    /// Replies to a call whose wait ended without the event that it waited for: with the job as it is, or with the list
    /// of changes, which may be empty. `None` means that the call is no longer waiting.
    pub(crate) fn end_wait(&mut self, token: Token, wait: Option<Wait>) {
        match wait {
            Some(Wait::Job(job)) => match self.state.job(job).cloned() {
                Some(entry) => self.answer_job(token, &entry, false),
                None => self.fail(token, refusal(ErrorKind::NotFound, "the job was removed")),
            },
            Some(Wait::List(list)) => {
                let (jobs, revision) = self.changed_jobs(&list);
                self.answer_list(token, jobs, revision);
            }
            None => {}
        }
    }

    /// All guarantees, each with the condition `Honoured`: whether it can be honoured at present, and if not, why.
    pub(crate) fn guarantee_views(&self) -> Vec<Guarantee> {
        let broken = self.planner.broken_guarantees();
        let view = |guarantee: &Guarantee| {
            let reason = broken.iter().find(|(name, _)| *name == guarantee.name());
            let mut guarantee = guarantee.clone();
            guarantee.conditions = vec![Condition {
                kind: "Honoured".to_owned(),
                status: reason.is_none(),
                reason: reason.map_or_else(String::new, |(_, reason)| reason.clone()),
            }];
            guarantee
        };
        self.config.guarantees.values().map(view).collect()
    }

    /// Starts to create or replace a guarantee; the reply follows when the outcome of the write is known. `revision` is
    /// the revision that it must replace; `None` replaces any.
    ///
    /// # Errors
    ///
    /// `Conflict` for another revision; `Impossible` if the planner can't honour it beside the others; `Unavailable`
    /// while another guarantee is being written; those of `check_writable`.
    pub(crate) fn put_guarantee(
        &mut self,
        now: Millis,
        token: Token,
        mut guarantee: Guarantee,
        revision: Option<Revision>,
    ) -> Result<(), Failure> {
        let name = guarantee.name();
        let version = self.check_guarantee_write(now, &name, revision)?;
        self.planner
            .check_guarantee(&guarantee)
            .map_err(|reason| refusal(ErrorKind::Impossible, reason))?;
        guarantee.conditions.clear();
        guarantee.metadata.revision = Revision(0);
        let value = serde_json::to_string(&guarantee).ok();
        self.write_guarantee(now, token, &name, version, value, Some(guarantee));
        Ok(())
    }

    /// Starts to delete a guarantee, as [`Self::put_guarantee`] does.
    ///
    /// # Errors
    ///
    /// `NotFound` if there is no such guarantee; otherwise as for [`Self::put_guarantee`], but not `Impossible`.
    pub(crate) fn delete_guarantee(
        &mut self,
        now: Millis,
        token: Token,
        name: &str,
        revision: Option<Revision>,
    ) -> Result<(), Failure> {
        let name = GuaranteeName::from(name);
        if !self.config.guarantees.contains_key(&name) {
            return Err(refusal(ErrorKind::NotFound, format!("there is no guarantee {name}")));
        }
        let version = self.check_guarantee_write(now, &name, revision)?;
        self.write_guarantee(now, token, &name, version, None, None);
        Ok(())
    }

    /// Checks that a guarantee may be written, and returns the version that its row must have, 0 for none. Only one
    /// write is in progress at a time, since each is checked against all guarantees in force.
    fn check_guarantee_write(
        &self,
        now: Millis,
        name: &GuaranteeName,
        expected: Option<Revision>,
    ) -> Result<u64, Failure> {
        self.check_writable(now)?;
        if self
            .calls
            .guarantee_write
            .as_ref()
            .is_some_and(|(_, until)| now < *until)
        {
            return Err(refusal(ErrorKind::Unavailable, "another guarantee is being written"));
        }
        let current = self
            .config
            .guarantees
            .get(name)
            .map_or(Revision(0), |old| old.metadata.revision);
        match expected {
            Some(expected) if expected != current => {
                let text = format!("guarantee {name} has revision {current}");
                Err(refusal(ErrorKind::Conflict, text))
            }
            _ => Ok(current.0),
        }
    }

    /// Has a guarantee's row written under this term's fence. `value` is `None` to delete it.
    fn write_guarantee(
        &mut self,
        now: Millis,
        token: Token,
        name: &GuaranteeName,
        version: u64,
        value: Option<String>,
        guarantee: Option<Guarantee>,
    ) {
        let key = format!("guarantee/{name}");
        let mut transaction = fenced(&self.region, self.fence);
        transaction.checks.push(Check {
            key: key.clone(),
            version,
        });
        transaction.writes.push(Write { key, value });
        self.calls.guarantee_write = Some((name.clone(), now + GUARANTEE_WRITE_TIMEOUT));
        self.actions.push(Action::WriteGuarantee {
            token,
            transaction,
            guarantee,
        });
    }

    /// Applies a changed guarantee to the planner; `None` deletes it. Called when the catalog shows a change or the
    /// outcome of a write is known. A write of this guarantee that is in progress is over.
    pub(crate) fn apply_guarantee(&mut self, now: Millis, name: GuaranteeName, guarantee: Option<Guarantee>) {
        if self
            .calls
            .guarantee_write
            .as_ref()
            .is_some_and(|(writing, _)| *writing == name)
        {
            self.calls.guarantee_write = None;
        }
        match guarantee {
            Some(guarantee) => {
                self.config.guarantees.insert(name, guarantee.clone());
                self.planner.apply(now, Change::Guarantee(guarantee));
            }
            None => {
                self.config.guarantees.remove(&name);
                self.planner.apply(now, Change::GuaranteeDeleted(name));
            }
        }
        self.replan = true;
    }
}

/// Approximate size of a job in a list.
fn approx_bytes(entry: &JobState) -> usize {
    const FIXED_BYTES: usize = 600;
    let answer = entry.ended.as_ref().and_then(|ended| ended.answer.as_ref());
    FIXED_BYTES + entry.spec.payload.as_ref().map_or(0, String::len) + answer.map_or(0, String::len)
}
