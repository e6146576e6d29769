//! Ejection of workers on which several runs in a row fail, or which are slow: they take no new tasks for a while.
//!
//! A run may fail because of its job. [`JobOutcomes`] tells by the other workers on which the job was tried: failures of a
//! job that fails elsewhere too hardly count against a worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::engine::{Context, StepScheduler, TaskRun, step_of};
use crate::steps::host::{Host, RunKey};
use crate::steps::spec::JobKey;

/// Number of failures in a row that count against a worker after which it is ejected. A single one is often caused by the
/// task itself.
const FAILURE_LIMIT: u32 = 2;
/// Duration of the first ejection for failures; each further failure without a success in between doubles it.
const FAILURE_EJECTION: Millis = Millis(4_000);
/// Longest ejection for failures.
const MAX_EJECTION: Millis = Millis(16_000);
/// Time after which a failure no longer counts.
const FAILURE_SPAN: Millis = Millis(60_000);
/// Time at work after which a run of a long-running task counts as a success of its worker.
pub(crate) const STABLE_AGE: Millis = Millis(10_000);
/// Duration of an ejection for a straggler; it starts again with each report that shows one.
const STRAGGLER_EJECTION: Millis = Millis(3_000);
/// Most workers of a service that are ejected for failures at the same time, as a divisor: if more fail, the jobs are the
/// likelier cause.
const MAX_EJECTED_PART: usize = 2;

/// Failures of one job on a worker.
#[derive(Clone, Copy, Debug)]
struct JobFailures {
    count: u32,
    last: Millis,
}

/// Ejection state of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// Failures since the last success.
    failures: BTreeMap<JobKey, JobFailures>,
    /// End of the ejection for failures.
    until: Millis,
    /// End of the ejection for a straggler.
    slow_until: Millis,
}

impl Ejection {
    /// Whether the worker may not be given new tasks at present.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.until || now < self.slow_until
    }

    /// Records the failure of a run. One that was at work before shows that the worker can run the job: such failures count
    /// once.
    fn record_failure(&mut self, now: Millis, job: JobKey, was_at_work: bool) {
        let failures = self.failures.entry(job).or_insert(JobFailures { count: 0, last: now });
        failures.last = now;
        failures.count = match was_at_work {
            true => failures.count.max(1),
            false => failures.count + 1,
        };
    }

    /// Number of failures that count against the worker, if at most `limit` of each job do.
    fn weight(&self, now: Millis, limit: impl Fn(JobKey) -> u32) -> u32 {
        let recent = self
            .failures
            .iter()
            .filter(|(_, failures)| now.since(failures.last) < FAILURE_SPAN);
        recent.map(|(job, failures)| failures.count.min(limit(*job))).sum()
    }

    /// Ejects the worker for so many failures.
    fn eject(&mut self, now: Millis, weight: u32) {
        let doublings = weight.saturating_sub(FAILURE_LIMIT).min(8);
        self.until = now + Millis(FAILURE_EJECTION.0 << doublings).min(MAX_EJECTION);
    }

    /// Ejects the worker because a run there is much slower than others of its step elsewhere.
    pub(crate) fn record_straggler(&mut self, now: Millis) {
        self.slow_until = now + STRAGGLER_EJECTION;
    }

    /// Records a success, which ends an ejection for failures.
    fn record_success(&mut self) {
        self.failures.clear();
        self.until = Millis::ZERO;
    }
}

/// Workers on which a job was tried, by their numbers and the last outcome there.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobOutcomes {
    failed: BTreeSet<u32>,
    succeeded: BTreeSet<u32>,
    /// Whether a long-running task has failed, of which nothing limits the attempts.
    lasting: bool,
}

impl JobOutcomes {
    /// Most failures of the job that count against a worker: all of them, unless it fails on others too and succeeds on
    /// fewer.
    fn limit(&self, host: u32) -> u32 {
        let others = self.failed.iter().filter(|other| **other != host).count();
        match others {
            0 => u32::MAX,
            _ if others <= self.succeeded.len() => u32::MAX,
            1 if self.lasting => 1,
            1 => u32::MAX,
            _ => 0,
        }
    }
}

impl StepScheduler {
    /// Takes note of the failure of a run on a worker, and ejects the worker if it is the likelier cause of its failures.
    pub(crate) fn note_failure(&mut self, cx: &Context<'_>, worker: &WorkerName, key: RunKey) {
        let job = key.0.job;
        let lasting = step_of(cx.book, &key.0).is_some_and(|step| step.long_running);
        let was_at_work = lasting && self.runs.get(&key).is_some_and(TaskRun::is_at_work);
        let Some(host) = self.hosts.get_mut(worker) else { return };
        let number = host.number;
        host.ejection.record_failure(cx.now, job, was_at_work);
        let outcomes = self.outcomes.entry(job).or_default();
        outcomes.lasting |= lasting;
        outcomes.succeeded.remove(&number);
        if outcomes.failed.insert(number) {
            self.readmit(cx, job);
        }
        let Some(host) = self.hosts.get(worker) else { return };
        let weight = host.ejection.weight(cx.now, |job| self.failure_limit(job, number));
        if weight < FAILURE_LIMIT || !self.may_eject(cx, worker) {
            return;
        }
        if let Some(host) = self.hosts.get_mut(worker) {
            host.ejection.eject(cx.now, weight);
        }
        let reason = format!("{weight} runs failed there in a row; it takes no new tasks for a while");
        self.log_worker("ejected", worker, reason);
    }

    /// Takes note that a worker has run a task of a job as it should.
    pub(crate) fn note_success(&mut self, worker: &WorkerName, job: JobKey) {
        let Some(host) = self.hosts.get_mut(worker) else { return };
        host.ejection.record_success();
        let outcomes = self.outcomes.entry(job).or_default();
        outcomes.failed.remove(&host.number);
        outcomes.succeeded.insert(host.number);
    }

    /// Ends the ejection of workers whose failures no longer count, now that a job has failed elsewhere too.
    fn readmit(&mut self, cx: &Context<'_>, job: JobKey) {
        let innocent = |(_, host): &(&WorkerName, &Host)| {
            let ejection = &host.ejection;
            let counted = || ejection.weight(cx.now, |job| self.failure_limit(job, host.number));
            cx.now < ejection.until && ejection.failures.contains_key(&job) && counted() < FAILURE_LIMIT
        };
        let innocent: Vec<WorkerName> = self
            .hosts
            .iter()
            .filter(innocent)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in innocent {
            if let Some(host) = self.hosts.get_mut(&worker) {
                host.ejection.until = Millis::ZERO;
            }
            let reason = format!("job {job}, which failed there, fails on other workers too");
            self.log_worker("readmitted", &worker, reason);
        }
    }

    fn failure_limit(&self, job: JobKey, host: u32) -> u32 {
        let outcomes = self.outcomes.get(&job);
        outcomes.map_or(u32::MAX, |outcomes| outcomes.limit(host))
    }

    /// Whether enough workers of its service are left if a worker is ejected for failures.
    fn may_eject(&self, cx: &Context<'_>, worker: &WorkerName) -> bool {
        let service = |host: &Host| host.info.as_ref().map(|info| info.service.clone());
        let own = self.hosts.get(worker).and_then(service);
        let peers = self
            .hosts
            .iter()
            .filter(|(_, host)| host.listed && service(host) == own);
        let (mut listed, mut ejected) = (0, 1);
        for (peer, host) in peers {
            listed += 1;
            ejected += usize::from(peer != worker && cx.now < host.ejection.until);
        }
        ejected * MAX_EJECTED_PART <= listed
    }
}

impl TaskRun {
    /// Whether the run of a long-running task has reported to be at work.
    pub(crate) fn is_at_work(&self) -> bool {
        self.progress.is_some_and(|progress| progress.percent() >= 100)
    }
}
