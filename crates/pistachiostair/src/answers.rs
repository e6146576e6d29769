//! Answers to callers, and the calls about guarantees.

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

/// Most jobs in one list.
const MAX_LIST: usize = 1_000;
/// Rough bytes of jobs in one list: half of the largest message.
const MAX_LIST_BYTES: usize = crate::message::MAX_MESSAGE / 2;
/// A guarantee's write of which no outcome came holds up others no longer than this.
const GUARANTEE_WRITE_TIMEOUT: Millis = Millis(5_000);

impl ActiveScheduler {
    /// Answers with one job; a stored answer is read first.
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

    /// A stored answer was read, or can't be read at present.
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

    /// Jobs changed after a revision, and the revision to continue from. Stored answers are left out.
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
            let wanted = list
                .account
                .as_ref()
                .is_none_or(|account| *account == entry.spec.account);
            if wanted {
                bytes += size(entry);
                jobs.push(self.job_view(entry));
            }
        }
        (jobs, last.max(self.state.newest_revision()))
    }

    pub(crate) fn answer_list(&mut self, token: Token, jobs: Vec<Job>, revision: Revision) {
        let response = Response::Jobs {
            jobs,
            revision,
            created: false,
        };
        self.reply(token, response);
    }

    /// Answers the lists that wait for a change, after a commit.
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

    /// Answers those who wait for the end of a job.
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

    pub(crate) fn answer_cancels(&mut self, job: JobId) {
        let tokens = self.calls.cancels.remove(&job).unwrap_or_default();
        let Some(entry) = self.state.job(job).cloned() else {
            return;
        };
        for token in tokens {
            self.answer_job(token, &entry, false);
        }
    }

    pub(crate) fn answer_drains(&mut self, worker: &WorkerName) {
        for token in self.calls.drains.remove(worker).unwrap_or_default() {
            let workers = self.worker_views();
            let workers = workers.into_iter().filter(|view| view.info.name == *worker).collect();
            self.reply(token, Response::Workers { workers });
        }
    }

    /// A wait is over without the event that it waited for.
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

    /// All guarantees with whether they can be honoured at present.
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

    /// Checks that a guarantee may be written, and returns the version that its row must have.
    /// One write at a time: each is checked against all guarantees that are in force.
    fn check_guarantee_write(
        &self,
        now: Millis,
        name: &GuaranteeName,
        asked: Option<Revision>,
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
        match asked {
            Some(asked) if asked != current => {
                let text = format!("guarantee {name} has revision {current}");
                Err(refusal(ErrorKind::Conflict, text))
            }
            _ => Ok(current.0),
        }
    }

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

    /// A guarantee changed, or the outcome of its write is known.
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

fn size(entry: &JobState) -> usize {
    const FIXED: usize = 600;
    let answer = entry.ended.as_ref().and_then(|ended| ended.answer.as_ref());
    FIXED + entry.spec.payload.as_ref().map_or(0, String::len) + answer.map_or(0, String::len)
}
