//! Requests to one of several servers, with fail-over that does nothing twice.

use std::cell::Cell;
use std::sync::Arc;

use async_executor::Executor;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use pistachiostair::{Error, ErrorKind, Failure, HttpCall, HttpClient, HttpLines, Millis, Ran, Result, encode_percent};
use serde::de::DeserializeOwned;

use crate::api::with_query;

/// Connections to one server; one for requests and one for a watch are in use.
const CONNECTIONS: usize = 4;
/// Largest response, and largest line of a watch, in bytes. A list of 20,000 jobs is about 16 MB.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Whether a request may be sent to another server although it may have taken effect at the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Safety {
    /// It changes nothing.
    Read,
    /// It has an idempotency key or `If-Match`, so that it takes effect once.
    Keyed,
    /// It may not be repeated.
    Once,
}

/// A request to the resource interface.
#[derive(Clone, Debug)]
pub(crate) struct ApiCall {
    /// What the request does, for error messages.
    pub(crate) step: &'static str,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether it may be repeated.
    pub(crate) safety: Safety,
    /// Time for which the server may hold the request, on top of the time-out.
    pub(crate) hold: Millis,
}

impl ApiCall {
    /// A request that changes nothing.
    pub(crate) fn read(step: &'static str, path: impl Into<String>) -> Self {
        Self {
            step,
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            safety: Safety::Read,
            hold: Millis::ZERO,
        }
    }

    /// A request that changes something and may not be repeated.
    pub(crate) fn write(step: &'static str, method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            safety: Safety::Once,
            ..Self::read(step, path)
        }
    }

    /// Adds the header that makes the request safe to repeat.
    pub(crate) fn keyed(mut self, header: &'static str, value: impl ToString) -> Self {
        self.headers.push((header, value.to_string()));
        self.safety = Safety::Keyed;
        self
    }

    fn error(&self, kind: ErrorKind, peer: &str, message: impl std::fmt::Display) -> Error {
        Error::msg(kind, self.step, message).at(peer)
    }

    /// A read never takes effect, whatever became of it.
    fn settle(&self, error: Error) -> Error {
        if self.safety == Safety::Read {
            error.ran(Ran::No)
        } else {
            error
        }
    }

    /// Whether to try the next server after `error`.
    fn moves_on(&self, error: &Error) -> bool {
        let unreachable = matches!(error.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
        unreachable
            && match error.ran {
                Ran::No => true,
                Ran::Unknown => self.safety != Safety::Once,
                Ran::Yes => false,
            }
    }
}

/// A response with a success status.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Status.
    pub(crate) status: StatusCode,
    body: Bytes,
    peer: String,
}

impl Reply {
    /// Parses the body.
    pub(crate) fn parse<T: DeserializeOwned>(&self, call: &ApiCall) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let message = format!("the response can't be read: {error}");
            call.settle(call.error(ErrorKind::Internal, &self.peer, message).ran(Ran::Unknown))
        })
    }
}

/// Client of several servers that answer alike.
pub(crate) struct Client {
    http: HttpClient,
    servers: Vec<String>,
    current: Cell<usize>,
    /// Longest wait for one server's response.
    pub(crate) timeout: Millis,
    /// Region to ask about; the server's own if absent.
    pub(crate) region: Option<String>,
}

impl Client {
    /// A client that starts with the first server.
    pub(crate) fn new(
        executor: Arc<Executor<'static>>,
        servers: Vec<String>,
        timeout: Millis,
        region: Option<String>,
    ) -> Self {
        Self {
            http: HttpClient::new(executor, CONNECTIONS, MAX_BODY),
            servers,
            current: Cell::new(0),
            timeout,
            region,
        }
    }

    /// The path of a call with the region, if one is given.
    fn path(&self, call: &ApiCall) -> String {
        self.region.as_ref().map_or_else(
            || call.path.clone(),
            |region| with_query(&call.path, "region", encode_percent(region)),
        )
    }

    /// Sends a request to the current server and, as far as it can't take effect twice, to the
    /// others. An error has `ran: unknown` if any attempt may have taken effect.
    pub(crate) async fn send(&self, call: &ApiCall) -> Result<Reply> {
        let mut doubtful = false;
        let mut last: Option<Error> = None;
        for (index, server) in self.order() {
            match self.attempt(call, server).await {
                Ok(reply) => {
                    self.current.set(index);
                    return Ok(reply);
                }
                Err(error) => {
                    doubtful |= error.ran == Ran::Unknown;
                    let moves_on = call.moves_on(&error);
                    let error = if doubtful { error.ran(Ran::Unknown) } else { error };
                    last = Some(after(error, last));
                    if !moves_on {
                        break;
                    }
                }
            }
        }
        Err(last.unwrap_or_else(|| Error::msg(ErrorKind::Invalid, call.step, "no server is given")))
    }

    /// Opens a response that is read line by line.
    pub(crate) async fn stream(&self, call: &ApiCall) -> Result<(String, HttpLines)> {
        let mut last: Option<Error> = None;
        for (index, server) in self.order() {
            match self.open(call, server).await {
                Ok(lines) => {
                    self.current.set(index);
                    return Ok((server.to_owned(), lines));
                }
                Err(error) => {
                    let moves_on = call.moves_on(&error);
                    last = Some(after(error, last));
                    if !moves_on {
                        break;
                    }
                }
            }
        }
        Err(last.unwrap_or_else(|| Error::msg(ErrorKind::Invalid, call.step, "no server is given")))
    }

    /// Starts with another server from now on.
    pub(crate) fn next_server(&self) {
        self.current.set((self.current.get() + 1) % self.servers.len().max(1));
    }

    /// The servers, the current one first.
    fn order(&self) -> impl Iterator<Item = (usize, &str)> {
        let start = self.current.get();
        let count = self.servers.len();
        (start..start + count).map(move |at| (at % count, self.servers[at % count].as_str()))
    }

    async fn attempt(&self, call: &ApiCall, server: &str) -> Result<Reply> {
        let headers = borrow(&call.headers);
        let path = self.path(call);
        let answer = self
            .http
            .send(server, self.http_call(call, &path, &headers))
            .await
            .map_err(|error| transport(call, server, error))?;
        if answer.status.is_success() {
            return Ok(Reply {
                status: answer.status,
                body: answer.body,
                peer: server.to_owned(),
            });
        }
        Err(refusal(call, server, answer.status, &answer.body))
    }

    async fn open(&self, call: &ApiCall, server: &str) -> Result<HttpLines> {
        let headers = borrow(&call.headers);
        let path = self.path(call);
        let lines = self
            .http
            .stream(server, self.http_call(call, &path, &headers))
            .await
            .map_err(|error| transport(call, server, error))?;
        let status = lines.status();
        if status.is_success() {
            return Ok(lines);
        }
        let body = lines.rest(self.timeout).await.unwrap_or_default();
        Err(refusal(call, server, status, &body))
    }

    fn http_call<'a>(&self, call: &ApiCall, path: &'a str, headers: &'a [(&'a str, &'a str)]) -> HttpCall<'a> {
        HttpCall {
            method: call.method.clone(),
            path,
            headers,
            body: call.body.clone(),
            timeout: self.timeout + call.hold,
        }
    }
}

fn borrow<'a>(headers: &'a [(&'static str, String)]) -> Vec<(&'a str, &'a str)> {
    headers.iter().map(|(name, value)| (*name, value.as_str())).collect()
}

/// An error that followed another one at the server tried before. The earlier one is told only if the
/// later one is no answer to the request.
fn after(error: Error, before: Option<Error>) -> Error {
    let unreachable = matches!(error.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
    let Some(before) = before.filter(|_| unreachable || error.ran == Ran::Unknown) else {
        return error;
    };
    let source = anyhow::anyhow!("{:#}; before that, {before}", error.source);
    Error { source, ..error }
}

/// An error of the connection, told as an error of the request's step.
fn transport(call: &ApiCall, server: &str, error: Error) -> Error {
    let message = format!("{}: {:#}", error.step, error.source);
    call.settle(call.error(error.kind, server, message).ran(error.ran))
}

/// An error status with a `Failure` in the body, or with a body that no daemon sends.
fn refusal(call: &ApiCall, server: &str, status: StatusCode, body: &[u8]) -> Error {
    let error = match serde_json::from_slice::<Failure>(body) {
        Ok(failure) => failure.into_error(call.step, server),
        Err(_) => {
            let kind = match status {
                StatusCode::SERVICE_UNAVAILABLE => ErrorKind::Unavailable,
                StatusCode::GATEWAY_TIMEOUT => ErrorKind::Timeout,
                _ => ErrorKind::Internal,
            };
            let message = format!("the server answered {status} without an error document");
            call.error(kind, server, message).ran(Ran::Unknown)
        }
    };
    call.settle(error)
}
