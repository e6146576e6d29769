//! A small server on loopback and runs of the client against it.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use async_net::TcpListener;
use bytes::Bytes;
use futures_lite::future;
use hyper::StatusCode;
use pistachiostair::{HttpBody, HttpLimits, HttpReply, HttpRequest, HttpServer, Stop};

/// A server that answers with a closure and keeps the requests.
pub(crate) struct Server {
    /// Its address.
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<HttpRequest>>>,
    stop: Stop,
}

impl Server {
    /// Starts a server on a free port.
    pub(crate) fn start(answer: impl Fn(&HttpRequest) -> HttpReply + Send + Sync + 'static) -> Self {
        let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
        let requests: Arc<Mutex<Vec<HttpRequest>>> = Arc::default();
        let stop = Stop::new();
        let listener = future::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let seen = requests.clone();
        let server = Arc::new(HttpServer {
            executor: executor.clone(),
            limits: HttpLimits::default(),
            handler: Arc::new(move |request| {
                seen.lock().unwrap().push(request.clone());
                let reply = answer(&request);
                Box::pin(async move { reply })
            }),
            refusal: Arc::new(|status, reason| HttpReply::text(status, reason.to_owned())),
            stop: stop.clone(),
            open: Arc::new(AtomicUsize::new(0)),
            memory: Arc::default(),
        });
        std::thread::spawn(move || future::block_on(executor.run(server.serve(listener))));
        Self {
            address,
            requests,
            stop,
        }
    }

    /// The requests so far, as method, path and query parameters.
    pub(crate) fn requests(&self) -> Vec<HttpRequest> {
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.raise();
    }
}

/// An address at which nothing listens.
pub(crate) fn closed_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A listener that reads a request and then closes the connection without a response, so that the
/// request may have taken effect. It serves until the test ends.
pub(crate) fn dropping_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = std::io::Read::read(&mut stream, &mut [0; 4096]);
        }
    });
    address
}

/// A response whose head arrives and whose body never does, as on a connection that went silent.
pub(crate) fn silence() -> HttpReply {
    let (sender, receiver) = async_channel::unbounded();
    // The body ends when the sender is dropped.
    std::mem::forget(sender);
    HttpReply {
        status: StatusCode::OK,
        headers: Vec::new(),
        body: HttpBody::Chunks(receiver),
    }
}

/// Runs the client with several servers and standard input.
pub(crate) fn pstair(servers: &[SocketAddr], args: &[&str], input: &str) -> Output {
    let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pstair"));
    command.env_remove("PSTAIR_SERVER");
    if !servers.is_empty() {
        command.env("PSTAIR_SERVER", servers.join(","));
    }
    let mut child = command
        .args(args)
        .env("USER", "tester")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A client that refuses its arguments does not read its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Exit code of a run.
pub(crate) fn code(output: &Output) -> i32 {
    output.status.code().unwrap_or(-1)
}

/// Standard output of a run.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Standard error of a run.
pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A JSON response.
pub(crate) fn json(status: u16, body: &str) -> HttpReply {
    HttpReply::json(StatusCode::from_u16(status).unwrap(), body.to_owned())
}

/// A response of lines that ends after the last one.
pub(crate) fn lines(text: &[&str]) -> HttpReply {
    let (sender, receiver) = async_channel::unbounded();
    for line in text {
        sender.try_send(Bytes::from(format!("{line}\n"))).unwrap();
    }
    HttpReply {
        status: StatusCode::OK,
        headers: Vec::new(),
        body: HttpBody::Chunks(receiver),
    }
}
