//! Callers of the resource interface, with what they were told.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use anyhow::Context;
use async_io::Timer;
use hyper::{Method, StatusCode};
use pistachiostair::{Failure, HttpCall, HttpClient, Job, Millis, Ran};
use serde_json::{Value, json};

/// Time that a response may take beyond the wait that the caller asks for.
const MARGIN: Millis = Millis(5_000);
/// Wait of one request of a caller that retries.
const ROUND: Millis = Millis(5_000);
/// Pause of a caller before it asks another daemon.
const PAUSE: Millis = Millis(200);

/// A submission with a name and key of its own. Its payload makes the worker answer with the name.
#[derive(Clone, Debug)]
pub struct Order {
    /// Client account.
    pub account: String,
    /// Name, which is also the idempotency key.
    pub name: String,
    /// Specification.
    pub spec: Value,
}

impl Order {
    /// An order of `shape` that runs for `millis`, is not idempotent, and is answered with its name.
    pub fn new(account: &str, name: &str, shape: &str, millis: u64) -> Self {
        let payload = json!({"sleepMs": millis, "echo": name}).to_string();
        Self {
            account: account.to_owned(),
            name: name.to_owned(),
            spec: json!({"account": account, "shape": shape, "payload": payload, "runtime": millis.max(1)}),
        }
    }

    /// Sets a field of the specification.
    #[must_use]
    pub fn with(mut self, field: &str, value: impl Into<Value>) -> Self {
        self.spec[field] = value.into();
        self
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.spec["idempotent"] == true
    }
}

/// What a caller was told in response to one request.
#[derive(Clone, Debug)]
pub enum Told {
    /// The job.
    Job(Box<Job>),
    /// The request was not met.
    Failed(StatusCode, Failure),
    /// The response did not arrive, or has no known form.
    Lost(String),
}

/// What a caller that retried with the same key has learnt.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The order.
    pub order: Order,
    /// The job as last seen; nothing if no response told of it.
    pub job: Option<Job>,
    /// Responses that were failures.
    pub failures: Vec<Failure>,
    /// Responses that did not arrive.
    pub lost: u32,
    /// Time until the last response.
    pub took: Millis,
}

impl Settled {
    /// Whether the caller knows the end of its job.
    pub fn is_final(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.status.phase.is_final())
    }

    /// Whether every response said that nothing ran.
    pub fn was_refused(&self) -> bool {
        self.job.is_none() && self.lost == 0 && self.failures.iter().all(|failure| failure.ran == Ran::No)
    }
}

/// A caller that knows the entry daemons.
#[derive(Clone)]
pub struct Caller {
    client: Arc<HttpClient>,
    entries: Arc<Mutex<Vec<String>>>,
}

impl Caller {
    /// A caller of the daemons at these addresses.
    pub fn new(client: Arc<HttpClient>, entries: Arc<Mutex<Vec<String>>>) -> Self {
        Self { client, entries }
    }

    fn entry(&self, index: usize) -> Option<String> {
        let entries = self.entries.lock().expect("entries lock");
        let index = index.checked_rem(entries.len())?;
        Some(entries[index].clone())
    }

    /// Sends a request to a daemon.
    ///
    /// # Errors
    ///
    /// If the response does not arrive.
    pub async fn send(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Millis,
    ) -> anyhow::Result<(StatusCode, String)> {
        let call = HttpCall {
            method,
            path,
            headers,
            body: body.to_owned().into(),
            timeout,
        };
        let peer = self.entry(entry).context("no daemon serves callers")?;
        let answer = self.client.send(&peer, call).await?;
        Ok((answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
    }

    /// Creates or replaces an object.
    ///
    /// # Errors
    ///
    /// If it is not accepted.
    pub async fn put(&self, entry: usize, path: &str, body: &Value) -> anyhow::Result<Value> {
        let body = body.to_string();
        let headers = [("content-type", "application/json")];
        let (status, text) = self.send(entry, Method::PUT, path, &headers, &body, MARGIN).await?;
        anyhow::ensure!(status.is_success(), "PUT {path}: {status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Reads an object or a list.
    ///
    /// # Errors
    ///
    /// If there is no successful response.
    pub async fn read(&self, entry: usize, path: &str) -> anyhow::Result<Value> {
        let (status, text) = self.send(entry, Method::GET, path, &[], "", MARGIN).await?;
        anyhow::ensure!(status.is_success(), "GET {path}: {status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Submits an order once and waits at most `wait` for its end.
    pub async fn submit(&self, entry: usize, order: &Order, wait: Millis) -> Told {
        let path = match wait {
            Millis(0) => "/v1/jobs".to_owned(),
            Millis(wait) => format!("/v1/jobs?wait={wait}"),
        };
        let body = json!({"metadata": {"name": order.name}, "spec": order.spec}).to_string();
        let headers = [
            ("idempotency-key", order.name.as_str()),
            ("content-type", "application/json"),
        ];
        let sent = self.send(entry, Method::POST, &path, &headers, &body, wait + MARGIN);
        told(sent.await)
    }

    /// Reads a job and waits at most `wait` for its end.
    pub async fn get(&self, entry: usize, account: &str, name: &str, wait: Millis) -> Told {
        let path = format!("/v1/jobs/{account}/{name}?wait={}", wait.0);
        told(self.send(entry, Method::GET, &path, &[], "", wait + MARGIN).await)
    }

    /// Cancels a job.
    pub async fn cancel(&self, entry: usize, account: &str, name: &str) -> Told {
        let path = format!("/v1/jobs/{account}/{name}");
        told(self.send(entry, Method::DELETE, &path, &[], "", MARGIN).await)
    }

    /// Submits an order with one key, at one daemon after the other, until its end is known, it is
    /// refused for good, or `within` has passed.
    pub async fn settle(&self, entry: usize, order: Order, within: Millis) -> Settled {
        let begun = Instant::now();
        let mut settled = Settled {
            order,
            job: None,
            failures: Vec::new(),
            lost: 0,
            took: Millis::ZERO,
        };
        for attempt in 0.. {
            let left = within.since(Millis(begun.elapsed().as_millis() as u64));
            let told = self.submit(entry + attempt, &settled.order, ROUND.min(left)).await;
            settled.took = Millis(begun.elapsed().as_millis() as u64);
            let pause = match told {
                Told::Job(job) => {
                    settled.job = Some(*job);
                    Millis::ZERO
                }
                Told::Failed(_, failure) => {
                    let pause = failure.retry.map_or(PAUSE, Millis);
                    let again = failure.retry.is_some() || failure.ran == Ran::Unknown;
                    settled.failures.push(failure);
                    if !again {
                        break;
                    }
                    pause
                }
                Told::Lost(_) => {
                    settled.lost += 1;
                    PAUSE
                }
            };
            if settled.is_final() || settled.took + pause >= within {
                break;
            }
            Timer::after(pause.duration()).await;
        }
        settled
    }
}

fn told(sent: anyhow::Result<(StatusCode, String)>) -> Told {
    let (status, text) = match sent {
        Ok(sent) => sent,
        Err(error) => return Told::Lost(format!("{error:#}")),
    };
    if status.is_success() {
        return match serde_json::from_str(&text) {
            Ok(job) => Told::Job(Box::new(job)),
            Err(error) => Told::Lost(format!("{status}: {error}: {text}")),
        };
    }
    match serde_json::from_str(&text) {
        Ok(failure) => Told::Failed(status, failure),
        Err(error) => Told::Lost(format!("{status}: {error}: {text}")),
    }
}
