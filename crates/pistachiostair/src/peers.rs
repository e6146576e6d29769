//! QUIC links between daemons: one stream for each request and its response.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt};

use crate::clock::{Clock, Millis, within};
use crate::edge::BoxFuture;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::DaemonName;
use crate::kernel::{Kernel, Service, Stop};
use crate::message::{Envelope, Failure, MESSAGE_VERSION, Request, Response};
use crate::metrics::Metrics;
use crate::peer_connect::{CONNECT_TIMEOUT, Connector, lost, unconnected};
use crate::peer_frame::{Held, LENGTH_BYTES, RETRY, decode_message, encode, read_frame};
use crate::peer_link::{Link, Slot};
use crate::peer_tls::{KernelRuntime, PeerTls, client_config, server_config};
use crate::traffic::{ByteCounts, Traffic};

/// Longest time that a call waits for a connection.
const CONNECT_WAIT: Millis = Millis(1_000);
/// Longest time to open a stream while as many requests as a connection takes are in progress.
const STREAM_TIMEOUT: Millis = Millis(1_000);
/// Longest time to read a request, or to write a response and have it acknowledged.
const TRANSFER_TIMEOUT: Millis = Millis(10_000);
/// Longest time that a stop waits for running requests.
const DRAIN_TIMEOUT: Millis = Millis(10_000);
/// Longest time that a stop waits until peers know that connections are closed.
const CLOSE_TIMEOUT: Millis = Millis(1_000);
/// Requests of all peers answered at once; more are refused.
const MAX_RUNNING: usize = 8_192;
/// Connections from peers at once: 27 daemons with a few old connections each, and room for restarts.
const MAX_INCOMING: usize = 256;

/// Handshakes of peers in progress at once. Each takes about 0.2 MB, and all of them share the processor: with too many,
/// none is done before its peer gives up.
const MAX_HANDSHAKES: usize = 8;
/// Longest time that a connection waits for its handshake. The peer has the rest of [`CONNECT_TIMEOUT`] for it.
const HANDSHAKE_WAIT: Millis = Millis(500);

/// Answers requests of peers. The future is dropped if the peer no longer waits for the response.
pub type PeerHandler = Arc<dyn Fn(Envelope) -> BoxFuture<'static, Response> + Send + Sync>;

/// Called with the address and the error when a peer's connection is refused, for the log.
pub type PeerReport = Arc<dyn Fn(SocketAddr, &Error) + Send + Sync>;

/// Settings of the links.
#[derive(Clone)]
pub struct LinkSettings {
    /// Name of this daemon, sent with each request.
    pub name: DaemonName,
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Certificates and key.
    pub tls: PeerTls,
    /// Called when a peer's connection is refused.
    pub refused: Option<PeerReport>,
}

/// Links to the other daemons.
pub struct Peers {
    settings: LinkSettings,
    handler: PeerHandler,
    kernel: Weak<Kernel>,
    endpoint: Endpoint,
    connector: Connector,
    clock: Clock,
    slots: Mutex<BTreeMap<String, Arc<Slot>>>,
    /// Holds an element for each handshake in progress.
    handshakes: (Sender<()>, Receiver<()>),
    running: Arc<AtomicUsize>,
    held: Arc<AtomicUsize>,
    closing: Stop,
    traffic: Arc<Traffic>,
}

impl Service for Peers {
    const NAME: &'static str = "peers";

    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(self.close())
    }
}

impl Peers {
    /// Listens for peers and answers their requests with `handler` on the kernel's executor.
    ///
    /// # Errors
    ///
    /// `Invalid` if the certificates or the key are not usable, `Unavailable` if the address is not.
    pub fn start(kernel: &Arc<Kernel>, settings: LinkSettings, handler: PeerHandler) -> Result<Arc<Self>> {
        let unusable = |e: std::io::Error| {
            Error::new(ErrorKind::Unavailable, "listen for peers", e).at(settings.listen.to_string())
        };
        let server = server_config(&settings.tls)?;
        let client = client_config(&settings.tls)?;
        let socket = std::net::UdpSocket::bind(settings.listen).map_err(unusable)?;
        let runtime = Arc::new(KernelRuntime::new(Arc::downgrade(kernel)));
        let endpoint = Endpoint::new(Default::default(), Some(server), socket, runtime).map_err(unusable)?;
        let metrics = kernel.find::<Metrics>();
        let traffic = metrics.map(|metrics| metrics.traffic.clone()).unwrap_or_default();
        let listen = settings.listen;
        let peers = Arc::new(Self {
            settings,
            handler,
            kernel: Arc::downgrade(kernel),
            endpoint,
            connector: Connector {
                ip: listen.ip(),
                client,
                kernel: Arc::downgrade(kernel),
            },
            clock: kernel.clock,
            slots: Mutex::default(),
            handshakes: async_channel::bounded(MAX_HANDSHAKES),
            running: Arc::default(),
            held: Arc::default(),
            closing: Stop::new(),
            traffic,
        });
        kernel.spawn(peers.clone().accept());
        Ok(peers)
    }

    /// The address that the links listen at.
    ///
    /// # Errors
    ///
    /// `Unavailable` if the socket has none.
    pub fn local_address(&self) -> Result<SocketAddr> {
        let address = self.endpoint.local_addr();
        address.map_err(|e| Error::new(ErrorKind::Unavailable, "read local address", e))
    }

    /// Number of open connections from peers.
    pub fn connections(&self) -> usize {
        self.endpoint.open_connections()
    }

    /// Bytes sent and received so far on the open connections to peers, with 28 bytes of IP and UDP headers
    /// for each datagram.
    pub fn traffic(&self) -> (u64, u64) {
        let slots: Vec<Arc<Slot>> = self.slots.lock().expect("slots lock").values().cloned().collect();
        let traffic = slots.iter().filter_map(|slot| slot.traffic());
        traffic.fold((0, 0), |sum, link| (sum.0 + link.0, sum.1 + link.1))
    }

    /// Sends a request to the daemon at `address`, an `ip:port`, and waits for its response. A response
    /// of [`Response::Failed`] is returned as `Ok`.
    ///
    /// # Errors
    ///
    /// With `ran: no` if nothing was sent, otherwise with `ran: unknown`. `Invalid` if the request is too
    /// long, `Refused` if one of the daemons does not accept the other's certificate, `Timeout` after
    /// `timeout`, `Unavailable` if the connection can't be opened or breaks.
    pub async fn call(&self, address: &str, request: Request, timeout: Millis) -> Result<Response> {
        if self.closing.is_raised() {
            return Err(Error::msg(ErrorKind::Unavailable, "call peer", "links are closed").at(address));
        }
        let envelope = Envelope {
            version: MESSAGE_VERSION,
            from: self.settings.name.clone(),
            timeout,
            request,
        };
        let frame = encode(&envelope, "encode request").map_err(|e| e.at(address))?;
        let counts = self.traffic.kind(envelope.request.kind());
        let _running = Count::enter(&self.running);
        let track = Track::default();
        let result = within(timeout, self.attempt(address, &frame, &track, &counts)).await;
        let ran = if track.sent.load(Ordering::Relaxed) {
            Ran::Unknown
        } else {
            Ran::No
        };
        match result {
            Some(result) => result.map_err(|error| error.ran(ran)),
            None => {
                track.note_timeout(self.clock.now());
                let message = format!("no response within {timeout}");
                Err(Error::msg(ErrorKind::Timeout, "call peer", message)
                    .at(address)
                    .ran(ran))
            }
        }
    }

    async fn attempt(&self, address: &str, frame: &[u8], track: &Track, counts: &ByteCounts) -> Result<Response> {
        let broken = |e: anyhow::Error| Error::new(ErrorKind::Unavailable, "call peer", e).at(address);
        let (mut send, mut recv) = self.open(address, track).await?;
        track.sent.store(true, Ordering::Relaxed);
        send.write_all(frame).await.map_err(|e| broken(e.into()))?;
        let _ = send.finish();
        counts.add_sent(frame.len() as u64);
        let acknowledged = async {
            // An error means that the connection broke, which the read reports.
            if send.stopped().await.is_ok() {
                track.acknowledged.store(true, Ordering::Relaxed);
            }
            future::pending().await
        };
        let body = future::or(read_frame(&mut recv, |_| Ok(())), acknowledged).await;
        let body = body.map_err(|e| e.at(address))?;
        counts.add_received((body.len() + LENGTH_BYTES) as u64);
        decode_message(&body).map_err(|e| e.at(address))
    }

    /// Opens a stream. A connection that turns out to be closed is replaced once.
    async fn open(&self, address: &str, track: &Track) -> Result<(SendStream, RecvStream)> {
        let mut retried = false;
        loop {
            let link = self.link(address).await?;
            track.set(&link, self.clock.now());
            match within(STREAM_TIMEOUT, link.connection.open_bi()).await {
                Some(Ok((send, recv))) => return Ok((send, recv)),
                Some(Err(_)) if !retried => retried = true,
                Some(Err(error)) => return Err(lost("open stream", error).at(address)),
                None => {
                    let message = "too many requests are in progress on the connection";
                    let error = Error::msg(ErrorKind::Limited, "open stream", message).at(address);
                    return Err(error.retry_after(RETRY));
                }
            }
        }
    }

    /// The connection to a peer. A new one is opened in the background, so that the handshake of a slow peer goes on when
    /// the callers that wait for it have given up.
    async fn link(&self, address: &str) -> Result<Arc<Link>> {
        let slot = self.slot(address);
        let connect = || self.connector.clone().connect(address.to_owned());
        let link = within(CONNECT_WAIT, slot.get(connect, |attempt| self.spawn(attempt))).await;
        link.unwrap_or_else(|| Err(unconnected(CONNECT_WAIT).at(address)))
    }

    fn slot(&self, address: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().expect("slots lock");
        if let Some(slot) = slots.get(address) {
            return slot.clone();
        }
        // Addresses of replaced VMs are forgotten here.
        slots.retain(|_, slot| Arc::strong_count(slot) > 1 || slot.is_open());
        slots.entry(address.to_owned()).or_default().clone()
    }

    async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            if self.closing.is_raised() || self.endpoint.open_connections() > MAX_INCOMING {
                incoming.refuse();
                continue;
            }
            self.spawn(self.clone().serve(incoming));
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(kernel) = self.kernel.upgrade() {
            kernel.spawn(task);
        }
    }

    async fn serve(self: Arc<Self>, incoming: Incoming) {
        let address = incoming.remote_address();
        let (handshakes, done) = &self.handshakes;
        if within(HANDSHAKE_WAIT, handshakes.send(())).await.is_none() {
            // The peer repeats its first packet while it waits.
            incoming.ignore();
            return;
        }
        let handshake = within(CONNECT_TIMEOUT, accepted(incoming)).await;
        // Never empty: it holds the element that was sent above.
        let _ = done.try_recv();
        let connection = match handshake.unwrap_or(Err(quinn::ConnectionError::TimedOut)) {
            Ok(connection) => connection,
            Err(error) => {
                if let Some(report) = &self.settings.refused {
                    report(address, &lost("accept peer", error).at(address.to_string()));
                }
                return;
            }
        };
        while let Ok((send, recv)) = connection.accept_bi().await {
            self.spawn(self.clone().answer(send, recv));
        }
    }

    async fn answer(self: Arc<Self>, mut send: SendStream, mut recv: RecvStream) {
        let running = Count::enter(&self.running);
        let gone = send.stopped();
        let respond = async {
            let refuse = |error: Error| Some((Response::Failed(Failure::from(&error)), None));
            if self.closing.is_raised() {
                return refuse(Error::msg(
                    ErrorKind::Unavailable,
                    "answer peer",
                    "the daemon is stopping",
                ));
            }
            if running.number > MAX_RUNNING {
                let error = Error::msg(ErrorKind::Limited, "answer peer", "too many requests are in progress");
                return refuse(error.retry_after(RETRY));
            }
            match self.read(&mut recv).await {
                Ok((envelope, held)) => {
                    let counts = self.traffic.kind(envelope.request.kind());
                    counts.add_received((held.length() + LENGTH_BYTES) as u64);
                    Some(((self.handler)(envelope).await, Some(counts)))
                }
                Err(error) => {
                    let _ = recv.stop(VarInt::from_u32(1));
                    refuse(error)
                }
            }
        };
        let abandoned = async {
            let _ = gone.await;
            None
        };
        if let Some((response, counts)) = future::or(respond, abandoned).await {
            within(TRANSFER_TIMEOUT, write(&mut send, &response, counts.as_deref())).await;
        }
    }

    async fn read(&self, recv: &mut RecvStream) -> Result<(Envelope, Held)> {
        let mut held = Held::new(&self.held);
        let body = within(TRANSFER_TIMEOUT, read_frame(recv, |length| held.take(length))).await;
        let late = || Error::msg(ErrorKind::Timeout, "read request", "the request did not arrive in time");
        let body = body.ok_or_else(late)??;
        Ok((decode_message(&body)?, held))
    }

    async fn close(&self) {
        self.closing.raise();
        self.endpoint.set_server_config(None);
        let idle = async {
            while self.running.load(Ordering::Relaxed) > 0 {
                Timer::after(Millis(5).duration()).await;
            }
        };
        within(DRAIN_TIMEOUT, idle).await;
        let slots = std::mem::take(&mut *self.slots.lock().expect("slots lock"));
        let endpoints: Vec<_> = slots.values().filter_map(|slot| slot.close()).collect();
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        within(CLOSE_TIMEOUT, async {
            self.endpoint.wait_idle().await;
            for endpoint in &endpoints {
                endpoint.wait_idle().await;
            }
        })
        .await;
    }
}

/// Completes the handshake and tells the peer that its certificate is accepted.
async fn accepted(incoming: Incoming) -> std::result::Result<Connection, quinn::ConnectionError> {
    let connection = incoming.await?;
    let mut hello = connection.open_uni().await?;
    let _ = hello.write_all(&MESSAGE_VERSION.to_be_bytes()).await;
    Ok(connection)
}

async fn write(send: &mut SendStream, response: &Response, counts: Option<&ByteCounts>) {
    let frame = encode(response, "encode response").or_else(|error| {
        let failure = Failure::from(&error.ran(Ran::Unknown));
        encode(&Response::Failed(failure), "encode response")
    });
    let Ok(frame) = frame else { return };
    if let Some(counts) = counts {
        counts.add_sent(frame.len() as u64);
    }
    // An error means that the peer no longer waits, or that the connection broke, which it sees itself.
    if send.write_all(&frame).await.is_ok() && send.finish().is_ok() {
        let _ = send.stopped().await;
    }
}

/// What a call has done so far, for the time when it is cut off.
#[derive(Default)]
struct Track {
    /// The connection, the packets received on it so far, and the time, when the call began to use it.
    link: Mutex<Option<(Arc<Link>, u64, Millis)>>,
    sent: AtomicBool,
    /// Whether the peer has acknowledged the whole request.
    acknowledged: AtomicBool,
}

impl Track {
    fn set(&self, link: &Arc<Link>, now: Millis) {
        let heard = link.heard();
        *self.link.lock().expect("track lock") = Some((link.clone(), heard, now));
    }

    /// Makes the connection suspect if the peer should have acknowledged the request by now.
    fn note_timeout(&self, now: Millis) {
        let used = self.link.lock().expect("track lock").take();
        if let Some((link, heard, since)) = used
            && !self.acknowledged.load(Ordering::Relaxed)
        {
            link.note_unacknowledged(heard, since, now);
        }
    }
}

/// A place among the running requests.
struct Count {
    total: Arc<AtomicUsize>,
    number: usize,
}

impl Count {
    fn enter(total: &Arc<AtomicUsize>) -> Self {
        let number = total.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            total: total.clone(),
            number,
        }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.total.fetch_sub(1, Ordering::Relaxed);
    }
}
