//! The resource interface: HTTP and JSON for callers and operators.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

use crate::clock::Millis;
use crate::config::{Config, parse_document};
use crate::edge::BoxFuture;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::http_server::{HttpBody, HttpReply, HttpRequest};
use crate::ids::{AccountName, RegionName, Revision, WorkerName};
use crate::interface::{Configuration, Listing};
use crate::kernel::{Kernel, Service, Stop};
use crate::limits::Admission;
use crate::links::Links;
use crate::members::Members;
use crate::message::{Call, Failure, Response};
use crate::metrics::Metrics;
use crate::resource::{AccountSpec, Metadata, Policy};
use crate::route::{Route, parse_route};
use crate::validate;

/// Longest time for a request without `wait`, including a change of the region's scheduler.
const CALL_TIMEOUT: Millis = Millis(9_000);

/// Longest `wait` that a caller may ask for.
pub(crate) const MAX_WAIT: Millis = Millis(600_000);

/// Most revisions in the history.
const HISTORY_LIMIT: usize = 50;

/// The service of the resource interface.
pub(crate) struct Api {
    pub(crate) kernel: Arc<Kernel>,
    pub(crate) region: RegionName,
    pub(crate) log: slog::Logger,
    pub(crate) links: Arc<Links>,
    pub(crate) config: Arc<Config>,
    pub(crate) members: Arc<Members>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) admission: std::sync::Mutex<Admission>,
    /// Requests in progress.
    pub(crate) running: AtomicUsize,
    /// Watches open, and the most allowed.
    pub(crate) watches: Arc<AtomicUsize>,
    pub(crate) watch_limit: usize,
    /// Raised when the daemon stops: waits and watches end with what is known.
    pub(crate) stopping: Stop,
}

impl Service for Api {
    const NAME: &'static str = "api";

    /// Waits until the requests in progress are answered.
    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {
            self.stopping.raise();
            while self.running.load(Ordering::Relaxed) > 0 {
                async_io::Timer::after(Millis(20).duration()).await;
            }
        })
    }
}

/// A document with metadata and spec, as callers send it.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document<S> {
    #[serde(default)]
    pub(crate) metadata: Metadata,
    pub(crate) spec: S,
}

impl Api {
    /// Answers one request.
    pub(crate) async fn handle(self: Arc<Self>, request: HttpRequest) -> HttpReply {
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.running);
        let conditional = request.headers.contains_key("if-match");
        let route = parse_route(&request.method, &request.path);
        let label = route.as_ref().map_or("unknown path", Route::label);
        let reply = match route {
            Some(route) => self.answer(route, &request).await,
            None => Err(Error::msg(
                ErrorKind::NotFound,
                "find path",
                format!("{:?} does not exist", request.path),
            )),
        };
        let reply = reply.unwrap_or_else(|error| {
            self.metrics.count_refusal(error.kind, error.ran);
            slog::debug!(self.log, "refused"; "request" => label, "error" => %error, "ran" => ?error.ran);
            error_reply(&error, conditional)
        });
        self.metrics.count_request(label, reply.status.as_u16());
        reply
    }

    async fn answer(self: &Arc<Self>, route: Route, request: &HttpRequest) -> Result<HttpReply> {
        if request.query.contains_key("watch") {
            return self.watch(&route, request);
        }
        let deadline = self.kernel.clock.now() + CALL_TIMEOUT;
        match route {
            Route::ListJobs => self.list_jobs(request, deadline).await,
            Route::CreateJob => self.create_job(request).await,
            Route::GetJob { account, name } => self.get_job(request, account, name).await,
            Route::CancelJob { account, name } => self.cancel_job(request, account, name, deadline).await,
            Route::ExplainJob { account, name } => self.explain_job(request, account, name, deadline).await,
            Route::ListAccounts => self.list_accounts(),
            Route::GetAccount(name) => self.get_account(&name).await,
            Route::PutAccount(name) => self.put_account(&name, request).await,
            Route::DeleteAccount(name) => self.delete_account(&name, request).await,
            Route::ListGuarantees => self.list_guarantees(request, deadline).await,
            Route::GetGuarantee(name) => self.get_guarantee(&name, request, deadline).await,
            Route::PutGuarantee(name) => self.put_guarantee(&name, request, deadline).await,
            Route::DeleteGuarantee(name) => self.delete_guarantee(name, request, deadline).await,
            Route::ListWorkers => self.list_workers(request, deadline).await,
            Route::GetWorker(name) => self.get_worker(&name, request, deadline).await,
            Route::Drain { worker, drain } => self.drain(worker, drain, request, deadline).await,
            Route::GetConfiguration => json_reply(StatusCode::OK, &self.configuration()),
            Route::PutConfiguration => self.put_configuration(request).await,
            Route::ConfigurationHistory => self.configuration_history().await,
            Route::ListMembers => self.list_members(),
            Route::WrongMethod => Err(Error::msg(
                ErrorKind::Invalid,
                "find path",
                format!("{} is not allowed on {}", request.method, request.path),
            )),
        }
    }

    /// Region that a request names, or this daemon's own.
    pub(crate) fn region_of(&self, request: &HttpRequest) -> RegionName {
        request
            .query
            .get("region")
            .map_or_else(|| self.region.clone(), |name| RegionName::from(name.as_str()))
    }

    pub(crate) async fn call(&self, request: &HttpRequest, call: &Call, deadline: Millis) -> Result<Response> {
        self.links.call(&self.region_of(request), call, deadline).await
    }

    /// The specification of an account that a document names.
    ///
    /// # Errors
    ///
    /// `Invalid` if it does not exist.
    pub(crate) async fn account_spec(&self, step: &'static str, name: &AccountName) -> Result<AccountSpec> {
        let account = self
            .config
            .find_account(name)
            .await
            .map_err(|e| e.ran(Ran::No).retry_after(1_000))?;
        account.map(|account| account.spec).ok_or_else(|| {
            Error::msg(
                ErrorKind::Invalid,
                step,
                format!("spec.account: account \"{name}\" does not exist"),
            )
        })
    }

    pub(crate) async fn workers(
        &self,
        request: &HttpRequest,
        deadline: Millis,
    ) -> Result<Vec<crate::resource::Worker>> {
        match self.call(request, &Call::Workers, deadline).await? {
            Response::Workers { workers } => Ok(workers),
            _ => Err(unexpected("list workers")),
        }
    }

    async fn list_workers(&self, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        list_reply(self.workers(request, deadline).await?, Revision(0))
    }

    async fn get_worker(&self, name: &str, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let workers = self.workers(request, deadline).await?;
        let found = workers.iter().find(|worker| worker.info.name.as_str() == name);
        json_reply(StatusCode::OK, found.ok_or_else(|| not_found("get worker", name))?)
    }

    async fn drain(&self, worker: String, drain: bool, request: &HttpRequest, deadline: Millis) -> Result<HttpReply> {
        let call = Call::Drain {
            worker: WorkerName::from(worker),
            drain,
        };
        match self.call(request, &call, deadline).await? {
            Response::Workers { workers } if workers.len() == 1 => json_reply(StatusCode::OK, &workers[0]),
            Response::Ack => Ok(no_content()),
            _ => Err(unexpected("drain worker")),
        }
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Configuration {
        let (revision, policy) = self.config.policy();
        Configuration {
            metadata: configuration_metadata(revision),
            author: self.config.author(),
            spec: policy,
        }
    }

    async fn put_configuration(&self, request: &HttpRequest) -> Result<HttpReply> {
        let step = "set configuration";
        let document: Document<Policy> = parse_body(step, request)?;
        refuse_findings(step, validate::check_policy(&document.spec))?;
        let author = request.headers.get("author").map_or("", String::as_str).to_owned();
        let text = serde_norway::to_string(&document.spec).map_err(|e| Error::new(ErrorKind::Internal, step, e))?;
        let revision = self.config.set_policy(&text, &author, if_match(request)?).await?;
        let metadata = configuration_metadata(revision);
        json_reply(
            StatusCode::OK,
            &Configuration {
                metadata,
                author,
                spec: document.spec,
            },
        )
    }

    async fn configuration_history(&self) -> Result<HttpReply> {
        let mut items = Vec::new();
        for row in self.config.history(HISTORY_LIMIT).await? {
            let spec = parse_document(&row.document)?;
            items.push(Configuration {
                metadata: configuration_metadata(row.revision),
                author: row.author,
                spec,
            });
        }
        list_reply(items, self.config.revision())
    }

    fn list_members(&self) -> Result<HttpReply> {
        list_reply(self.members.view().daemons, Revision(0))
    }
}

/// Counts a request in progress until it is dropped.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn configuration_metadata(revision: Revision) -> Metadata {
    Metadata {
        name: "configuration".to_owned(),
        revision,
        ..Metadata::default()
    }
}

pub(crate) fn no_content() -> HttpReply {
    HttpReply {
        status: StatusCode::NO_CONTENT,
        headers: Vec::new(),
        body: HttpBody::Full(Bytes::new()),
    }
}

pub(crate) fn unexpected(step: &'static str) -> Error {
    Error::msg(ErrorKind::Internal, step, "unexpected response")
}

pub(crate) fn not_found(step: &'static str, name: &str) -> Error {
    Error::msg(ErrorKind::NotFound, step, format!("{name:?} does not exist"))
}

pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Result<HttpReply> {
    let body = serde_json::to_vec(value).map_err(|e| Error::new(ErrorKind::Internal, "encode response", e))?;
    Ok(HttpReply::json(status, body))
}

pub(crate) fn list_reply<T: Serialize>(items: Vec<T>, revision: Revision) -> Result<HttpReply> {
    json_reply(StatusCode::OK, &Listing { items, revision })
}

pub(crate) fn parse_body<T: serde::de::DeserializeOwned>(step: &'static str, request: &HttpRequest) -> Result<T> {
    validate::parse_json(&request.body).map_err(|finding| Error::msg(ErrorKind::Invalid, step, finding))
}

/// The revision of `If-Match`, with or without quotes.
pub(crate) fn if_match(request: &HttpRequest) -> Result<Option<Revision>> {
    let Some(text) = request.headers.get("if-match") else {
        return Ok(None);
    };
    let number = text.trim().trim_matches('"').parse();
    let invalid = |_| {
        Error::msg(
            ErrorKind::Invalid,
            "read If-Match",
            format!("{text:?} is not a revision"),
        )
    };
    number.map(|number| Some(Revision(number))).map_err(invalid)
}

/// A number of milliseconds in the query.
pub(crate) fn millis_param(request: &HttpRequest, name: &str) -> Result<Option<Millis>> {
    let Some(text) = request.query.get(name) else {
        return Ok(None);
    };
    let invalid = |_| {
        Error::msg(
            ErrorKind::Invalid,
            "read query",
            format!("{name}: {text:?} is not a number"),
        )
    };
    text.parse().map(|number| Some(Millis(number))).map_err(invalid)
}

/// Turns findings into one error that names each field and reason.
pub(crate) fn refuse_findings(step: &'static str, findings: Vec<validate::Finding>) -> Result<()> {
    if findings.is_empty() {
        return Ok(());
    }
    Err(Error::msg(ErrorKind::Invalid, step, validate::join_findings(&findings)))
}

/// The response that tells a caller of an error.
pub(crate) fn error_reply(error: &Error, conditional: bool) -> HttpReply {
    let status = match error.kind {
        ErrorKind::Invalid => StatusCode::BAD_REQUEST,
        ErrorKind::Impossible => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Conflict if conditional => StatusCode::PRECONDITION_FAILED,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::Limited => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        ErrorKind::Timeout => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Expired => StatusCode::GONE,
        ErrorKind::Refused => StatusCode::FORBIDDEN,
        ErrorKind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    };
    let body = serde_json::to_vec(&Failure::from(error)).unwrap_or_default();
    let mut reply = HttpReply::json(status, body);
    if let Some(retry) = error.retry {
        reply.headers.push(("retry-after", retry.div_ceil(1000).to_string()));
    }
    reply
}
