//! HTTP client with a pool for each peer, deadlines, and no trust in silent connections.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use async_io::Timer;
use async_net::TcpStream;
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol_hyper::rt::FuturesIo;

use crate::clock::{Clock, Millis};
use crate::edge::Connections;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::http_lines::HttpLines;
use crate::http_progress::{LinkActivity, Progress, Upload};
use crate::traffic::{ByteCounts, CountedStream, Traffic};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Most bytes that a connection buffers in each direction, and that its socket buffers for sending. Larger buffers would
/// take a whole body at once, so that no progress shows while the peer takes it.
const BUFFER_BYTES: usize = 32 * 1024;

/// Shortest time between two searches for connections that are idle for too long.
const SWEEP_INTERVAL: Millis = Millis(500);

/// A request without its peer.
#[derive(Clone, Debug)]
pub struct HttpCall<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides the length; the host is the peer if they have none.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: Bytes,
    /// Longest time until the whole response is there or, for [`HttpClient::transfer`], without progress.
    pub timeout: Millis,
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Bounds of the connections that no request uses. Each takes about 25 KB.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// To one peer.
    pub peer: usize,
    /// To all peers.
    pub all: usize,
    /// Time without a request after which a connection is closed.
    pub time: Millis,
}

/// A connection that no request uses.
struct Idle {
    epoch: u64,
    since: Millis,
    sender: SendRequest<Upload>,
}

#[derive(Default)]
struct Pool {
    /// Raised when a request on this peer timed out; connections of older epochs are not used again.
    epoch: u64,
    /// The one that was used last is at the end.
    idle: Vec<Idle>,
    open: usize,
    activity: LinkActivity,
}

#[derive(Default)]
struct Pools {
    peers: BTreeMap<String, Pool>,
    /// Number of idle connections to all peers.
    idle: usize,
    /// When connections past their idle time were last closed.
    swept: Millis,
}

impl Pools {
    fn clear_idle(&mut self, peer: &str) {
        if let Some(pool) = self.peers.get_mut(peer) {
            self.idle -= pool.idle.len();
            pool.idle.clear();
        }
    }

    /// Closes the connections that are idle for `time` or longer, and forgets peers without connections.
    fn close_idle(&mut self, now: Millis, time: Millis) {
        self.swept = now;
        for pool in self.peers.values_mut() {
            pool.idle.retain(|idle| now.since(idle.since) < time);
        }
        self.idle = self.peers.values().map(|pool| pool.idle.len()).sum();
        self.peers.retain(|_, pool| pool.open > 0);
    }
}

/// HTTP/1.1 client: one request at a time on each connection.
pub struct HttpClient {
    executor: Arc<Executor<'static>>,
    clock: Clock,
    pools: Arc<Mutex<Pools>>,
    limit: usize,
    idle: IdleLimits,
    max_body: usize,
    /// Bytes a millisecond that large bodies are sent with; unlimited if absent.
    upload_rate: Option<usize>,
    traffic: Arc<Traffic>,
    kind: Arc<ByteCounts>,
}

impl HttpClient {
    /// A client that holds at most `limit` connections to a peer and reads at most `max_body` bytes of a response.
    pub fn new(executor: Arc<Executor<'static>>, limit: usize, max_body: usize) -> Self {
        Self {
            executor,
            clock: Clock::start(),
            pools: Arc::default(),
            limit,
            idle: IdleLimits {
                peer: limit,
                all: usize::MAX,
                time: Millis(u64::MAX),
            },
            max_body,
            upload_rate: None,
            traffic: Arc::default(),
            kind: Arc::default(),
        }
    }

    /// Bounds the connections that it keeps for later requests.
    #[must_use]
    pub fn with_idle(mut self, idle: IdleLimits) -> Self {
        self.idle = idle;
        self
    }

    /// Sends large bodies with at most `rate` bytes a millisecond, so that other requests don't wait for the link.
    #[must_use]
    pub fn with_upload_rate(mut self, rate: usize) -> Self {
        self.upload_rate = Some(rate);
        self
    }

    /// Counts the bytes of its connections in `traffic`, under `kind`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<Traffic>, kind: &'static str) -> Self {
        self.kind = traffic.kind(kind);
        self.traffic = traffic;
        self
    }

    /// Sends a request to `peer`, an `ip:port`, and reads the whole response within the call's timeout.
    ///
    /// # Errors
    ///
    /// `Limited` or `Unavailable` with `ran: no` if nothing was sent; `Timeout` or `Unavailable`
    /// with `ran: unknown` if the request was sent and the response did not arrive whole.
    pub async fn send(&self, peer: &str, call: HttpCall<'_>) -> Result<HttpAnswer> {
        let progress = self.begin(peer);
        let timeout = call.timeout;
        let lapsed = async {
            Timer::after(timeout.duration()).await;
            format!("no response within {timeout}: {progress}")
        };
        self.send_until(peer, &call, &progress, lapsed).await
    }

    /// As [`Self::send`], but the call's timeout bounds the time without progress instead of the whole request: until
    /// the connection is open, until a further part of the request is written, until the head of the response is there,
    /// and until a further part of its body is. So a large body may take as long as the link needs for it. Other
    /// requests to the peer may take several times as long meanwhile.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn transfer(&self, peer: &str, call: HttpCall<'_>) -> Result<HttpAnswer> {
        let progress = self.begin(peer);
        let timeout = call.timeout;
        let stalled = async {
            loop {
                match progress.time_left(timeout) {
                    Millis::ZERO => break,
                    left => drop(Timer::after(left.duration()).await),
                }
            }
            format!("no progress for {timeout}: {progress}")
        };
        self.send_until(peer, &call, &progress, stalled).await
    }

    /// Progress of a request to `peer` that begins now.
    fn begin(&self, peer: &str) -> Arc<Progress> {
        let mut pools = self.pools.lock().expect("pool lock");
        let pool = pools.peers.entry(peer.to_owned()).or_default();
        Progress::start(self.clock, pool.activity.clone())
    }

    /// Sends a request and reads the whole response, unless `lapsed` ends before; it returns the reason.
    async fn send_until(
        &self,
        peer: &str,
        call: &HttpCall<'_>,
        progress: &Arc<Progress>,
        lapsed: impl Future<Output = String>,
    ) -> Result<HttpAnswer> {
        let attempt = async {
            let (epoch, mut sender) = match self.take_idle(peer) {
                Some(found) => found,
                None => self.connect(peer).await?,
            };
            progress.connected();
            let result = self.exchange(peer, &mut sender, call, progress).await;
            self.put_back(peer, epoch, sender, result.is_ok());
            result
        };
        let lapsed = async {
            let reason = lapsed.await;
            self.distrust(peer);
            Err(Error::msg(ErrorKind::Timeout, "http request", reason)
                .at(peer)
                .ran(Ran::Unknown))
        };
        future::or(attempt, lapsed).await
    }

    /// Sends a request on a connection of its own and returns once the head of the response is there;
    /// the body is then read line by line. The call's timeout is for the head.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn stream(&self, peer: &str, call: HttpCall<'_>) -> Result<HttpLines> {
        let attempt = async {
            let (_, mut sender) = self.connect(peer).await?;
            self.request(peer, &mut sender, &call, &self.begin(peer)).await
        };
        let lapsed = async {
            Timer::after(call.timeout.duration()).await;
            let message = format!("no response within {}", call.timeout);
            Err(Error::msg(ErrorKind::Timeout, "http request", message)
                .at(peer)
                .ran(Ran::Unknown))
        };
        let response = future::or(attempt, lapsed).await?;
        Ok(HttpLines::new(peer, response, self.max_body))
    }

    /// Closes all idle connections to `peer`.
    pub fn forget(&self, peer: &str) {
        self.pools.lock().expect("pool lock").clear_idle(peer);
    }

    /// Number of idle and busy connections to `peer`.
    pub fn open(&self, peer: &str) -> usize {
        self.pools
            .lock()
            .expect("pool lock")
            .peers
            .get(peer)
            .map_or(0, |pool| pool.open)
    }

    /// Number of connections to all peers.
    pub fn connections(&self) -> Connections {
        let pools = self.pools.lock().expect("pool lock");
        Connections {
            open: pools.peers.values().map(|pool| pool.open).sum(),
            idle: pools.idle,
        }
    }

    fn take_idle(&self, peer: &str) -> Option<(u64, SendRequest<Upload>)> {
        let mut pools = self.pools.lock().expect("pool lock");
        let Pools { peers, idle, .. } = &mut *pools;
        let pool = peers.get_mut(peer)?;
        while let Some(Idle { epoch, sender, .. }) = pool.idle.pop() {
            *idle -= 1;
            if epoch == pool.epoch && sender.is_ready() {
                return Some((epoch, sender));
            }
        }
        None
    }

    fn put_back(&self, peer: &str, epoch: u64, sender: SendRequest<Upload>, usable: bool) {
        let mut pools = self.pools.lock().expect("pool lock");
        let Pools { peers, idle, .. } = &mut *pools;
        let pool = peers.entry(peer.to_owned()).or_default();
        let room = pool.idle.len() < self.idle.peer && *idle < self.idle.all;
        if usable && epoch == pool.epoch && !sender.is_closed() && room {
            let since = self.clock.now();
            pool.idle.push(Idle { epoch, since, sender });
            *idle += 1;
        }
    }

    fn distrust(&self, peer: &str) {
        let mut pools = self.pools.lock().expect("pool lock");
        pools.peers.entry(peer.to_owned()).or_default().epoch += 1;
        pools.clear_idle(peer);
    }

    async fn connect(&self, peer: &str) -> Result<(u64, SendRequest<Upload>)> {
        let guard = self.reserve(peer)?;
        let unavailable = |error: anyhow::Error| Error::new(ErrorKind::Unavailable, "connect", error).at(peer);
        let lapsed = async {
            Timer::after(CONNECT_TIMEOUT.duration()).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        let stream = future::or(TcpStream::connect(peer), lapsed)
            .await
            .map_err(|e| unavailable(e.into()))?;
        stream.set_nodelay(true).map_err(|e| unavailable(e.into()))?;
        set_socket_send_buffer_size(&stream, BUFFER_BYTES).map_err(|e| unavailable(e.into()))?;
        let stream = CountedStream::new(stream, self.traffic.clone(), self.kind.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|e| unavailable(e.into()))?;
        let epoch = guard.epoch;
        self.executor
            .spawn(async move {
                let _guard = guard;
                // The error reaches the request that uses the connection.
                let _ = connection.await;
            })
            .detach();
        Ok((epoch, sender))
    }

    fn reserve(&self, peer: &str) -> Result<OpenGuard> {
        let mut pools = self.pools.lock().expect("pool lock");
        let now = self.clock.now();
        if now.since(pools.swept) >= SWEEP_INTERVAL {
            pools.close_idle(now, self.idle.time);
        }
        let pool = pools.peers.entry(peer.to_owned()).or_default();
        if pool.open >= self.limit {
            let message = format!("{} connections are open, the most allowed", pool.open);
            return Err(Error::msg(ErrorKind::Limited, "connect", message)
                .at(peer)
                .retry_after(100));
        }
        pool.open += 1;
        Ok(OpenGuard {
            pools: self.pools.clone(),
            peer: peer.to_owned(),
            epoch: pool.epoch,
        })
    }

    async fn exchange(
        &self,
        peer: &str,
        sender: &mut SendRequest<Upload>,
        call: &HttpCall<'_>,
        progress: &Arc<Progress>,
    ) -> Result<HttpAnswer> {
        let response = self.request(peer, sender, call, progress).await?;
        progress.answered();
        let (head, body) = response.into_parts();
        let failed = |reason: String| {
            Error::msg(ErrorKind::Unavailable, "read response", reason)
                .at(peer)
                .ran(Ran::Unknown)
        };
        let mut body = std::pin::pin!(Limited::new(body, self.max_body));
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|e| failed(e.to_string()))?.into_data() {
                progress.received(data.len());
                received.extend_from_slice(&data);
            }
        }
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body: received.freeze(),
        })
    }

    async fn request(
        &self,
        peer: &str,
        sender: &mut SendRequest<Upload>,
        call: &HttpCall<'_>,
        progress: &Arc<Progress>,
    ) -> Result<Response<Incoming>> {
        let invalid = |e: hyper::http::Error| Error::new(ErrorKind::Invalid, "build request", e).at(peer);
        let mut builder = Request::builder().method(call.method.clone()).uri(call.path);
        if call.headers.iter().all(|(name, _)| *name != "host") {
            builder = builder.header("host", peer);
        }
        for (name, value) in call.headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Upload::new(call.body.clone(), progress.clone(), self.upload_rate))
            .map_err(invalid)?;
        sender.send_request(request).await.map_err(|e| {
            let ran = if e.is_canceled() { Ran::No } else { Ran::Unknown };
            Error::new(ErrorKind::Unavailable, "send request", e).at(peer).ran(ran)
        })
    }
}

/// A place among the open connections of a peer, given back when the connection ends.
struct OpenGuard {
    pools: Arc<Mutex<Pools>>,
    peer: String,
    epoch: u64,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(pool) = self.pools.lock().expect("pool lock").peers.get_mut(&self.peer) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}
