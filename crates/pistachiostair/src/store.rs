//! HTTP client of the platform's table service, object store and list of VMs.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::clock::{Clock, Millis};
use crate::edge::{BoxFuture, Commit, Objects, Row, Table, Transaction, Vm, VmList};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::http_client::{HttpAnswer, HttpCall, HttpClient};
use crate::http_server::encode_percent;
use crate::kernel::Service;
use crate::metrics::Metrics;
use crate::retry::{Breaker, BreakerPermit};

/// HTTP client of the platform's services. A circuit breaker refuses requests at once while the platform fails.
pub struct Store {
    client: Arc<HttpClient>,
    address: String,
    timeout: Millis,
    metrics: Option<Arc<Metrics>>,
    clock: Clock,
    breaker: Mutex<Breaker>,
    /// The last list of VMs with its entity tag. It takes about 100 bytes per VM, and most reads find it unchanged.
    vm_list: Mutex<Option<(String, Vec<Vm>)>>,
}

impl Service for Store {
    const NAME: &'static str = "store";
}

impl Store {
    /// Makes a client of the platform at `address`, an `ip:port`, that waits at most `timeout` for each answer.
    pub fn new(client: Arc<HttpClient>, address: impl Into<String>, timeout: Millis) -> Self {
        Self {
            client,
            address: address.into(),
            timeout,
            metrics: None,
            clock: Clock::start(),
            breaker: Mutex::default(),
            vm_list: Mutex::default(),
        }
    }

    /// Counts reads, writes and failures in `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Asks the circuit breaker for a pass, so that callers learn at once, while the platform fails, that nothing was
    /// sent.
    fn admit(&self, step: &'static str) -> Result<RequestGuard<'_>> {
        let mut breaker = self.breaker.lock().expect("breaker lock");
        match breaker.admit(self.clock.now()) {
            Ok(pass) => Ok(RequestGuard {
                store: self,
                pass,
                reported: false,
            }),
            Err(wait) => Err(Error::msg(
                ErrorKind::Unavailable,
                step,
                "requests to the platform fail at present; nothing was sent",
            )
            .at(self.address.as_str())
            .retry_after(wait.0)),
        }
    }

    fn count_request(&self, method: &Method, rows: usize, failed: bool) {
        let Some(metrics) = &self.metrics else { return };
        match *method {
            Method::GET => metrics.reads.inc(),
            _ => metrics.writes.inc_by(rows as u64),
        }
        metrics.outage.set(i64::from(failed));
        if failed {
            metrics.errors.inc();
        }
    }

    async fn send(&self, step: &'static str, method: Method, path: &str, body: Bytes) -> Result<HttpAnswer> {
        self.send_rows(step, method, path, &[], body, 1).await
    }

    /// Sends a request. `rows` is the number of rows or objects that it writes, for the metrics; ignored for reads.
    async fn send_rows(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        rows: usize,
    ) -> Result<HttpAnswer> {
        let call = HttpCall {
            method: method.clone(),
            path,
            headers,
            body,
            timeout: self.timeout,
        };
        let guard = self.admit(step)?;
        let result = self.client.transfer(&self.address, call).await;
        let failed = result.as_ref().map_or(true, |answer| answer.status.is_server_error());
        guard.report(failed);
        self.count_request(&method, rows, failed);
        let answer = result?;
        let unchanged = answer.status == StatusCode::NOT_MODIFIED && !headers.is_empty();
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND || unchanged {
            return Ok(answer);
        }
        // An error status does not say whether a write took effect.
        Err(Error::msg(
            ErrorKind::Unavailable,
            step,
            format!("the platform answered {}", answer.status),
        )
        .at(self.address.as_str())
        .ran(Ran::Unknown))
    }

    async fn get_json<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<Option<T>> {
        let answer = self.send(step, Method::GET, path, Bytes::new()).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.parse(step, &answer.body).map(Some)
    }

    /// Reads the list of VMs. With an entity tag from the last read, the platform sends the entries only if they
    /// changed.
    async fn read_list(&self) -> Result<Vec<Vm>> {
        let step = "list VMs";
        let known = self.vm_list.lock().expect("VM list lock").clone();
        let headers: Vec<(&str, &str)> = known.iter().map(|(tag, _)| ("if-none-match", tag.as_str())).collect();
        let answer = self
            .send_rows(step, Method::GET, "/v1/vms", &headers, Bytes::new(), 1)
            .await?;
        match (answer.status, known) {
            (StatusCode::NOT_MODIFIED, Some((_, vms))) => Ok(vms),
            (StatusCode::NOT_FOUND, _) => Ok(Vec::new()),
            _ => {
                let vms: Vec<Vm> = self.parse(step, &answer.body)?;
                let tag = answer.headers.get("etag").and_then(|tag| tag.to_str().ok());
                *self.vm_list.lock().expect("VM list lock") = tag.map(|tag| (tag.to_owned(), vms.clone()));
                Ok(vms)
            }
        }
    }

    fn parse<T: DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|e| {
            Error::new(ErrorKind::Unavailable, step, e)
                .at(self.address.as_str())
                .ran(Ran::Unknown)
        })
    }
}

impl Table for Store {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            self.get_json("read row", &format!("/v1/rows/{}", encode_percent(key)))
                .await
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let path = format!(
                "/v1/scan?prefix={}&after={}&limit={limit}",
                encode_percent(prefix),
                encode_percent(after)
            );
            Ok(self.get_json("scan rows", &path).await?.unwrap_or_default())
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<Commit>> {
        Box::pin(async move {
            let body = serde_json::to_vec(transaction)
                .map_err(|e| Error::new(ErrorKind::Internal, "encode transaction", e))?;
            let answer = self
                .send_rows(
                    "commit",
                    Method::POST,
                    "/v1/transactions",
                    &[],
                    body.into(),
                    transaction.writes.len(),
                )
                .await?;
            self.parse("commit", &answer.body)
        })
    }
}

impl Objects for Store {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{}", encode_percent(key));
            let answer = self.send("read object", Method::GET, &path, Bytes::new()).await?;
            Ok((answer.status != StatusCode::NOT_FOUND).then(|| answer.body.to_vec()))
        })
    }

    fn write<'a>(&'a self, key: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{}", encode_percent(key));
            self.send("write object", Method::PUT, &path, Bytes::copy_from_slice(body))
                .await
                .map(drop)
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{}", encode_percent(key));
            self.send("delete object", Method::DELETE, &path, Bytes::new())
                .await
                .map(drop)
        })
    }
}

impl VmList for Store {
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>>> {
        Box::pin(self.read_list())
    }
}

/// Reports the outcome of one request to the circuit breaker, also if the request is dropped before its answer: a probe
/// without an outcome would keep the breaker half-open.
struct RequestGuard<'a> {
    store: &'a Store,
    pass: BreakerPermit,
    reported: bool,
}

impl RequestGuard<'_> {
    fn report(mut self, failed: bool) {
        self.reported = true;
        let mut breaker = self.store.breaker.lock().expect("breaker lock");
        if failed {
            breaker.record_failure(self.store.clock.now(), self.pass);
        } else {
            breaker.record_success(self.pass);
        }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.reported {
            let mut breaker = self.store.breaker.lock().expect("breaker lock");
            breaker.record_abandoned(self.store.clock.now(), self.pass);
        }
    }
}
