//! Requests about jobs.

use hyper::StatusCode;

use crate::api::{
    Api, Document, MAX_WAIT, if_match, json_reply, list_reply, millis_param, parse_body, refuse_findings, unexpected,
};
use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Result};
use crate::http_server::{HttpReply, HttpRequest};
use crate::ids::{AccountName, Revision};
use crate::interface::Explanation;
use crate::limits::AccountLimits;
use crate::message::{Call, Failure, Response};
use crate::resource::{AccountSpec, Job, JobSpec};
use crate::validate;

/// Longest time for a submission without `wait`, including a change of the region's scheduler.
const SUBMIT_TIMEOUT: Millis = Millis(9_000);

/// Longest single wait at the scheduler; a longer one is asked for again.
const WAIT_STEP: Millis = Millis(15_000);

/// Time for the scheduler's answer to travel after the wait is over.
const ANSWER_MARGIN: Millis = Millis(1_000);

/// Most jobs in one page of a list.
const PAGE: u32 = 500;

impl Api {
    pub(crate) async fn list_jobs(&self, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let account = request.query.get("account").cloned();
        let after = match request.query.get("after").map(|text| text.parse()) {
            None => Revision(0),
            Some(Ok(number)) => Revision(number),
            Some(Err(_)) => return Err(Error::msg(ErrorKind::Invalid, "list jobs", "after: not a revision")),
        };
        let call = Call::List {
            account,
            after,
            limit: PAGE,
            wait: Millis::ZERO,
        };
        match self.call(request, &call, deadline).await? {
            Response::Jobs { jobs, revision, .. } => list_reply(jobs, revision),
            _ => Err(unexpected("list jobs")),
        }
    }

    pub(crate) async fn create_job(&self, request: &HttpRequest) -> Result<HttpReply> {
        let step = "create job";
        let document: Document<JobSpec> = parse_body(step, request)?;
        let mut findings = validate::check_job_metadata(&document.metadata);
        findings.extend(validate::check_job(&document.spec));
        if !document.metadata.labels.is_empty() {
            findings.push(validate::Finding::new("metadata.labels", "jobs carry no labels"));
        }
        refuse_findings(step, findings)?;
        let wait = millis_param(request, "wait")?.map(|wait| wait.min(MAX_WAIT));
        let account = document.spec.account.clone();
        let region = document.spec.region.clone().unwrap_or_else(|| self.region_of(request));
        let spec = self.account_spec(step, &account).await?;
        let _permit = self.admit(&account, &spec)?;
        let name = match document.metadata.name.as_str() {
            "" => format!("job-{:016x}", fastrand::u64(..)),
            name => name.to_owned(),
        };
        let key = request.headers.get("idempotency-key").cloned();
        if let Some(fault) = key.as_deref().and_then(validate::key_fault) {
            return Err(Error::msg(ErrorKind::Invalid, step, format!("Idempotency-Key {fault}")));
        }
        let call = Call::Submit {
            name,
            key,
            spec: Box::new(document.spec),
        };
        let deadline = self.kernel.clock.now() + wait.unwrap_or_default().max(SUBMIT_TIMEOUT);
        let response = self.links.call(&region, &call, deadline).await?;
        let Response::Jobs { mut jobs, created, .. } = response else {
            return Err(unexpected(step));
        };
        let Some(mut job) = jobs.pop() else {
            return Err(unexpected(step));
        };
        if let Some(wait) = wait {
            job = self.wait_for(&region, job, self.kernel.clock.now() + wait).await;
        }
        let status = match (wait.is_some() && !job.status.phase.is_final(), created) {
            (true, _) => StatusCode::ACCEPTED,
            (false, true) => StatusCode::CREATED,
            (false, false) => StatusCode::OK,
        };
        json_reply(status, &job)
    }

    pub(crate) async fn get_job(&self, request: &HttpRequest, account: String, name: String) -> Result<HttpReply> {
        let wait = millis_param(request, "wait")?.map(|wait| wait.min(MAX_WAIT));
        let deadline = self.kernel.clock.now() + SUBMIT_TIMEOUT;
        let mut job = one_job(self.call(request, &Call::Get { account, name }, deadline).await?)?;
        if let Some(wait) = wait {
            let region = self.region_of(request);
            job = self.wait_for(&region, job, self.kernel.clock.now() + wait).await;
        }
        json_reply(StatusCode::OK, &job)
    }

    pub(crate) async fn cancel_job(
        &self,
        request: &HttpRequest,
        account: String,
        name: String,
        deadline: Millis,
    ) -> Result<HttpReply> {
        let call = Call::Cancel {
            account,
            name,
            revision: if_match(request)?,
        };
        json_reply(StatusCode::OK, &one_job(self.call(request, &call, deadline).await?)?)
    }

    pub(crate) async fn explain_job(
        &self,
        request: &HttpRequest,
        account: String,
        name: String,
        deadline: Millis,
    ) -> Result<HttpReply> {
        match self.call(request, &Call::Explain { account, name }, deadline).await? {
            Response::Explained { lines } => json_reply(StatusCode::OK, &Explanation { lines }),
            _ => Err(unexpected("explain job")),
        }
    }

    /// Waits until a job is final, `deadline` passed or this daemon stops; gives the newest known state.
    async fn wait_for(&self, region: &crate::ids::RegionName, mut job: Job, deadline: Millis) -> Job {
        let stopping = self.stopping.clone();
        while !job.status.phase.is_final() {
            let left = deadline.since(self.kernel.clock.now());
            if left == Millis::ZERO || stopping.is_raised() {
                break;
            }
            let call = Call::Wait {
                account: job.spec.account.to_string(),
                name: job.metadata.name.clone(),
                wait: left.min(WAIT_STEP),
            };
            let answer = futures_lite::future::or(
                async { Some(self.links.call(region, &call, deadline + ANSWER_MARGIN).await) },
                async {
                    stopping.wait().await;
                    None
                },
            );
            match answer.await {
                Some(Ok(response)) => match one_job(response) {
                    Ok(newer) => job = newer,
                    Err(_) => break,
                },
                Some(Err(error)) if error.kind == ErrorKind::NotFound => break,
                Some(Err(error)) => {
                    slog::debug!(self.log, "wait interrupted"; "job" => job.status.id.0, "error" => %error);
                    async_io::Timer::after(Millis(100).duration()).await;
                }
                None => break,
            }
        }
        job
    }

    /// Admits a submission of an account, or refuses it before anything is sent.
    fn admit(&self, account: &AccountName, spec: &AccountSpec) -> Result<Admitted<'_>> {
        let (_, policy) = self.config.policy();
        let now = self.kernel.clock.now();
        // Callers reach all daemons of the region alike, so each admits its part of the rate.
        let daemons = self.members.region_daemons().max(1) as u32;
        let part = |rate: u32| rate.div_ceil(daemons).max(1);
        let defaults = AccountLimits {
            rate: part(policy.limits.rate),
            outstanding: policy.limits.requests,
            weight: 1,
        };
        let own = AccountLimits {
            rate: spec.rate.map_or(defaults.rate, part),
            weight: policy.weights.get(account).copied().unwrap_or(spec.weight),
            ..defaults
        };
        let mut admission = self.admission.lock().expect("admission lock");
        admission.configure(policy.limits.requests, defaults);
        admission.set_limits(now, account, Some(own));
        match admission.admit(now, account, 1) {
            Ok(permit) => Ok(Admitted {
                api: self,
                permit: Some(permit),
            }),
            Err(refusal) => Err(Failure::from(&refusal).into_error("admit", account.as_str())),
        }
    }
}

/// Gives the place of an admitted request back when it is dropped.
struct Admitted<'a> {
    api: &'a Api,
    permit: Option<crate::limits::Permit>,
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.api.admission.lock().expect("admission lock").release(permit);
        }
    }
}

fn one_job(response: Response) -> Result<Job> {
    match response {
        Response::Jobs { mut jobs, .. } if jobs.len() == 1 => Ok(jobs.remove(0)),
        _ => Err(unexpected("read job")),
    }
}
