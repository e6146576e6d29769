//! What the stand-in servers share: executor threads, listening, replies, faults.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use async_executor::Executor;
use async_net::TcpListener;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use pistachiostair::{
    HttpBody, HttpCall, HttpClient, HttpHandler, HttpLimits, HttpReply, HttpServer, Millis, Stop, decode_percent,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest body that a stand-in reads or a client of it accepts, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Kind of a fault that a stand-in shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Mode {
    /// No fault.
    #[default]
    None,
    /// Refuses with 503 before anything takes effect.
    Down,
    /// Delays each request before it takes effect.
    Slow,
    /// Platform: applies a write, then drops the connection or answers 500.
    Lose,
    /// Accepts requests and never answers; they take no effect.
    Freeze,
    /// Worker: refuses every start.
    Refuse,
    /// Worker: fails every task at once.
    FailAll,
    /// Worker: carries out commands, then drops the connection.
    LoseReply,
    /// Worker: marks itself as leaving, for good.
    Leave,
}

/// A fault that a stand-in shows until the next one is set.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind.
    pub mode: Mode,
    /// Delay in milliseconds of [`Mode::Slow`].
    #[serde(default)]
    pub millis: u64,
    /// Share of the requests that show the fault, from 0 to 1.
    #[serde(default = "whole")]
    pub share: f64,
}

fn whole() -> f64 {
    1.0
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            mode: Mode::None,
            millis: 0,
            share: whole(),
        }
    }
}

impl Fault {
    /// The mode that one request meets.
    pub(crate) fn draw(&self) -> Mode {
        if fastrand::f64() < self.share {
            self.mode
        } else {
            Mode::None
        }
    }
}

/// Runs `main` on an executor with `threads` threads.
pub fn run<T, F: Future<Output = T>>(threads: usize, main: impl FnOnce(Arc<Executor<'static>>) -> F) -> T {
    let executor = Arc::new(Executor::new());
    for _ in 1..threads {
        let executor = executor.clone();
        std::thread::spawn(move || async_io::block_on(executor.run(std::future::pending::<()>())));
    }
    async_io::block_on(executor.clone().run(main(executor.clone())))
}

/// Serves `handler` on `listen` in the background and returns the address.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(
    executor: &Arc<Executor<'static>>,
    listen: SocketAddr,
    connections: usize,
    handler: HttpHandler,
) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind(listen)
        .await
        .with_context(|| format!("listen on {listen}"))?;
    let address = listener.local_addr()?;
    let limits = HttpLimits {
        connections,
        body: MAX_BODY,
        ..HttpLimits::default()
    };
    let server = Arc::new(HttpServer {
        executor: executor.clone(),
        limits,
        handler,
        refusal: Arc::new(|status, reason| HttpReply::text(status, reason.to_owned())),
        stop: Stop::new(),
        open: Arc::default(),
        memory: Arc::default(),
    });
    executor.spawn(server.serve(listener)).detach();
    Ok(address)
}

/// A client for stand-ins and daemons.
pub type Client = HttpClient;

/// Sends a request and parses the JSON of a successful answer; an empty one is `null`.
///
/// # Errors
///
/// If the request fails, or the answer has another status or form.
pub async fn ask<T: DeserializeOwned>(
    client: &HttpClient,
    peer: &str,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> anyhow::Result<T> {
    let call = HttpCall {
        method,
        path,
        headers: &[],
        body: serde_json::to_vec(body)?.into(),
        timeout: Millis(10_000),
    };
    let answer = client.send(peer, call).await?;
    let text = String::from_utf8_lossy(&answer.body);
    anyhow::ensure!(answer.status.is_success(), "{peer}{path}: {}: {text}", answer.status);
    let text = if text.is_empty() { "null".into() } else { text };
    serde_json::from_str(&text).with_context(|| format!("{peer}{path}: {text}"))
}

/// A client whose responses may be long.
pub fn new_client(executor: &Arc<Executor<'static>>) -> Client {
    HttpClient::new(executor.clone(), 64, MAX_BODY)
}

/// The decoded segments of a path.
pub(crate) fn segments(path: &str) -> Vec<String> {
    path.trim_start_matches('/').split('/').map(decode_percent).collect()
}

pub(crate) fn reply_json(value: &impl Serialize) -> HttpReply {
    match serde_json::to_vec(value) {
        Ok(body) => HttpReply::json(StatusCode::OK, body),
        Err(error) => HttpReply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

pub(crate) fn reply_status(status: StatusCode) -> HttpReply {
    HttpReply::text(status, Bytes::new())
}

pub(crate) fn reply_invalid(reason: impl std::fmt::Display) -> HttpReply {
    HttpReply::text(StatusCode::BAD_REQUEST, reason.to_string())
}

/// A reply that breaks off: it announces more bytes than it sends, so that the connection is closed.
pub(crate) fn reply_lost() -> HttpReply {
    let (_, chunks) = async_channel::bounded(1);
    HttpReply {
        status: StatusCode::OK,
        headers: vec![("content-length", "1024".to_owned())],
        body: HttpBody::Chunks(chunks),
    }
}
