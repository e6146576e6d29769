//! HTTP server with limits on connections, headers, bodies and progress.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt, Stream, future};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::client_memory::{Account, ClientMemory};
use crate::clock::{Millis, within};
use crate::edge::BoxFuture;
use crate::kernel::Stop;
use crate::memory_budget::Stage;
use crate::request_body::{BodyLimits, Unread, read_body};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections open at once; more are closed at accept.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Longest time to read a request's head, or its body.
    pub read: Millis,
    /// Longest time without progress when writing a response.
    pub stall: Millis,
    /// Longest time without a byte of a body whose end has not arrived.
    pub progress: Millis,
    /// Longest life of a connection; it ends after the request in progress.
    pub age: Millis,
    /// Whether its connections have a share of memory and descriptors of their own, as those of operators.
    pub reserved: bool,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 2_000,
            head: 16 * 1024,
            body: 64 * 1024,
            read: Millis(10_000),
            stall: Millis(10_000),
            // Callers' links have disturbances of up to 1 s.
            progress: Millis(5_000),
            age: Millis::from_secs(3600),
            reserved: false,
        }
    }
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without the query, percent-encoded.
    pub path: String,
    /// Query parameters, decoded.
    pub query: BTreeMap<String, String>,
    /// Headers with lower-case names; values that are not text are left out.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Bytes,
}

/// A response.
#[derive(Debug)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Headers besides length and date.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: HttpBody,
}

/// Body of a response.
#[derive(Debug)]
pub enum HttpBody {
    /// All of it.
    Full(Bytes),
    /// Chunks until the sender is closed.
    Chunks(async_channel::Receiver<Bytes>),
}

impl HttpReply {
    /// A response of JSON text.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: vec![("content-type", "application/json".to_owned())],
            body: HttpBody::Full(body.into()),
        }
    }

    /// A response of plain text.
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: vec![("content-type", "text/plain; charset=utf-8".to_owned())],
            body: HttpBody::Full(body.into()),
        }
    }
}

/// Answers requests.
pub type HttpHandler = Arc<dyn Fn(HttpRequest) -> BoxFuture<'static, HttpReply> + Send + Sync>;

/// Turns an over-long or unreadable request into a response: status and reason.
pub type HttpRefusal = Arc<dyn Fn(StatusCode, &str) -> HttpReply + Send + Sync>;

/// Bytes charged for a response in chunks: lines that wait for a reader, and what the handler knows that it has sent.
const STREAM_BYTES: usize = 64 * 1024;

/// Connections that are accepted before other tasks get a turn.
const ACCEPTS_PER_TURN: u32 = 16;

/// Longest time to write the refusal of an evicted request.
const REFUSAL_TIME: Millis = Millis(500);

/// Bytes of a head that the cost of every connection includes: hyper's first read buffer.
const INCLUDED_HEAD: usize = 8 * 1024;

/// Bytes of one read from which on hyper's read buffer may grow: it does when a read fills it.
const LARGE_READ: usize = 4 * 1024;

/// Why a connection is no longer served as before.
enum Ended {
    /// It has ended, whether well or not: the caller sees that.
    Itself,
    /// It is old, or the server stops: it ends after the request in progress.
    Aged,
    /// It has to let go of what it holds.
    Evicted,
}

type Body = BoxBody<Bytes, Infallible>;

/// An HTTP/1.1 server.
pub struct HttpServer {
    /// Executor of its connections.
    pub executor: Arc<Executor<'static>>,
    /// Limits.
    pub limits: HttpLimits,
    /// Answers requests.
    pub handler: HttpHandler,
    /// Answers requests that break a limit.
    pub refusal: HttpRefusal,
    /// Raised to end: connections close after the request in progress.
    pub stop: Stop,
    /// Connections open now.
    pub open: Arc<AtomicUsize>,
    /// Budget for what connections hold, shared by all servers of a process.
    pub memory: Arc<ClientMemory>,
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HttpServer {
    /// Serves until the stop signal is raised; connections end by themselves after it.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        self.memory.bound_buffers(&listener);
        let mut accepts = 0_u32;
        loop {
            let accepted = future::or(async { Some(listener.accept().await) }, async {
                self.stop.wait().await;
                None
            });
            match accepted.await {
                None => return,
                // Out of file descriptors, or the connection ended before it was accepted.
                Some(Err(_)) => {
                    self.memory.note_accept_error();
                    Timer::after(Millis(10).duration()).await;
                }
                Some(Ok((stream, _))) => self.clone().accept(stream),
            }
            // Without this a crowd of connections to accept would keep other tasks from running.
            accepts = accepts.wrapping_add(1);
            if accepts.is_multiple_of(ACCEPTS_PER_TURN) {
                future::yield_now().await;
            }
        }
    }

    fn accept(self: Arc<Self>, stream: TcpStream) {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let open = OpenConnection(self.open.clone());
        if before >= self.limits.connections && !self.limits.reserved {
            self.memory.note_closed();
            return;
        }
        let Some(account) = self.memory.open(self.limits.reserved) else {
            return;
        };
        let executor = self.executor.clone();
        executor
            .spawn(async move {
                let _ = stream.set_nodelay(true);
                self.connection(stream, account).await;
                drop(open);
            })
            .detach();
    }

    async fn connection(&self, stream: TcpStream, account: Arc<Account>) {
        let io = FuturesIo::new(Progress {
            stream,
            stall: self.limits.stall,
            timer: None,
            account: account.clone(),
            head: 0,
            grown: false,
            limit: self.limits.head,
        });
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request, &account).await) });
        let mut builder = http1::Builder::new();
        builder
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.read.duration())
            .max_buf_size(self.limits.head.max(8192))
            .max_headers(64);
        let mut connection = pin!(builder.serve_connection(io, service));
        let ended = future::or(
            async {
                let _ = connection.as_mut().await;
                Ended::Itself
            },
            async {
                let age = async {
                    Timer::after(self.limits.age.duration()).await;
                    Ended::Aged
                };
                let stop = async {
                    self.stop.wait().await;
                    Ended::Aged
                };
                let evicted = async {
                    account.evicted().await;
                    Ended::Evicted
                };
                future::or(stop, future::or(age, evicted)).await
            },
        )
        .await;
        match ended {
            Ended::Itself => {}
            Ended::Aged => {
                connection.as_mut().graceful_shutdown();
                let evicted = async {
                    account.evicted().await;
                    Ok(())
                };
                let _ = future::or(connection, evicted).await;
            }
            // Only a request whose body is being read gets an answer; it is told that nothing has run.
            Ended::Evicted if account.stage() == Some(Stage::Body) => {
                within(REFUSAL_TIME, connection).await;
            }
            Ended::Evicted => {}
        }
    }

    async fn answer(&self, request: Request<Incoming>, account: &Account) -> Response<Body> {
        let (parts, body) = request.into_parts();
        account.enter(Stage::Body);
        let limits = BodyLimits {
            bytes: self.limits.body,
            read: self.limits.read,
            progress: self.limits.progress,
        };
        let reads = matches!(parts.method, Method::GET | Method::HEAD);
        let reply = match read_body(body, limits, account).await {
            // A second copy exists while the handler decodes the body and passes it on.
            Ok(body) if !body.bytes.is_empty() && !account.charge(body.bytes.len()) => {
                account.release(body.charged);
                self.shed()
            }
            Ok(body) => {
                account.enter(if reads { Stage::Reading } else { Stage::Answering });
                let charged = body.charged + body.bytes.len();
                let request = HttpRequest {
                    method: parts.method,
                    path: parts.uri.path().to_owned(),
                    query: parse_query(parts.uri.query().unwrap_or_default()),
                    headers: text_headers(&parts.headers),
                    body: body.bytes,
                };
                let reply = (self.handler)(request).await;
                if charged > 0 {
                    account.release(charged);
                }
                self.charge_answer(reply, reads, account)
            }
            Err(Unread::Late) => {
                account.memory().note_stalled();
                closing((self.refusal)(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not arrive in time",
                ))
            }
            Err(Unread::Long) => {
                let reason = format!("the body is longer than {} bytes", self.limits.body);
                closing((self.refusal)(StatusCode::PAYLOAD_TOO_LARGE, &reason))
            }
            Err(Unread::Broken(error)) => {
                (self.refusal)(StatusCode::BAD_REQUEST, &format!("the body can't be read: {error}"))
            }
            Err(Unread::Shed) => self.shed(),
        };
        // A stream is being answered until the connection ends. A refusal stays with the body that it refuses.
        if matches!(reply.body, HttpBody::Full(_)) && account.stage() != Some(Stage::Body) {
            account.enter(Stage::Idle);
        }
        into_response(reply)
    }

    /// Refuses a request that was not passed on, since too much memory is in use.
    fn shed(&self) -> HttpReply {
        let reason = "clients hold too much of this daemon's memory; nothing was done";
        closing((self.refusal)(StatusCode::SERVICE_UNAVAILABLE, reason))
    }

    /// Charges an answer until it is written. One for which there is no memory is replaced if the request only `reads`;
    /// any other is short, and callers need it.
    fn charge_answer(&self, reply: HttpReply, reads: bool, account: &Account) -> HttpReply {
        let bytes = match &reply.body {
            HttpBody::Full(bytes) => bytes.len(),
            HttpBody::Chunks(_) => STREAM_BYTES,
        };
        match account.charge_answer(bytes) {
            true => reply,
            false if reads => self.shed(),
            false => closing(reply),
        }
    }
}

/// Tells the caller that the connection ends, since the rest of the body is not read: another request on it would be
/// lost.
fn closing(mut reply: HttpReply) -> HttpReply {
    reply.headers.push(("connection", "close".to_owned()));
    reply
}

fn into_response(reply: HttpReply) -> Response<Body> {
    let body = match reply.body {
        HttpBody::Full(bytes) => Full::new(bytes).boxed(),
        HttpBody::Chunks(receiver) => BodyExt::boxed(StreamBody::new(ChunkStream(Box::pin(receiver)))),
    };
    let mut response = Response::new(body);
    *response.status_mut() = reply.status;
    for (name, value) in reply.headers {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn text_headers(headers: &hyper::HeaderMap) -> BTreeMap<String, String> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Parses `a=1&b=2`; a later parameter of the same name wins.
pub fn parse_query(query: &str) -> BTreeMap<String, String> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode_percent(name), decode_percent(value))
        })
        .collect()
}

/// Decodes `%41` and leaves malformed escapes as they are.
pub fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3).and_then(hex_byte))
            .flatten();
        decoded.push(escape.unwrap_or(bytes[at]));
        at += if escape.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Encodes everything but letters, digits and `-._~`.
pub fn encode_percent(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

struct ChunkStream(Pin<Box<async_channel::Receiver<Bytes>>>);

impl Stream for ChunkStream {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0
            .as_mut()
            .poll_next(cx)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// A stream whose writes fail after a time without progress, so that a caller that stops reading
/// does not hold memory for ever.
struct Progress {
    stream: TcpStream,
    stall: Millis,
    timer: Option<Timer>,
    account: Arc<Account>,
    /// Bytes of the present head that have arrived.
    head: usize,
    /// Whether hyper's read buffer was charged for more than its first size.
    grown: bool,
    /// Most bytes of a head.
    limit: usize,
}

impl Progress {
    fn check<T>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            if self.timer.take().is_some() {
                self.account.set_blocked(false);
            }
            return poll;
        }
        let (stall, account) = (self.stall, &self.account);
        let timer = self.timer.get_or_insert_with(|| {
            account.set_blocked(true);
            Timer::after(stall.duration())
        });
        match timer.poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Progress {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if read == 0 {
            return Poll::Ready(Ok(0));
        }
        self.head = if self.account.received() { self.head + read } else { 0 };
        if !self.grown && (read >= LARGE_READ || self.head > INCLUDED_HEAD) {
            self.grown = true;
            // hyper's buffer grows to up to twice the limit of a head, and stays as long.
            if !self.account.charge(2 * self.limit) {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for Progress {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(1..)) = &poll {
            self.account.sent();
        }
        self.check(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.check(cx, poll)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
