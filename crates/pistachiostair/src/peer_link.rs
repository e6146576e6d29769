//! The connection to one peer: opened once for concurrent callers, replaced when it seems to be silent.

use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use quinn::{Connection, Endpoint, VarInt};

use crate::clock::Millis;
use crate::error::{Error, Result};

/// A connection counts as silent only after this many round trips without a packet.
const SILENT_ROUND_TRIPS: u32 = 3;
/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADERS: u64 = 28;
/// No count of packets: nothing points to silence.
const NOT_SILENT: u64 = u64::MAX;

/// An open connection to a peer. It closes when it was replaced and its last request ended.
pub(crate) struct Link {
    pub(crate) connection: Connection,
    endpoint: Endpoint,
    suspect: AtomicBool,
    /// Number of packets received when the connection was found silent.
    silent: AtomicU64,
}

impl Link {
    pub(crate) fn new(connection: Connection, endpoint: Endpoint) -> Self {
        Self {
            connection,
            endpoint,
            suspect: AtomicBool::new(false),
            silent: AtomicU64::new(NOT_SILENT),
        }
    }

    /// Number of packets received so far.
    pub(crate) fn heard(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Notes that a request got no response within `timeout`, sent after `heard` packets were received. The
    /// next call opens a new connection. A slow peer sees at most one handshake per timeout from this.
    pub(crate) fn suspect(&self, heard: u64, timeout: Millis) {
        if self.heard() == heard && timeout.duration() >= self.connection.rtt() * SILENT_ROUND_TRIPS {
            self.silent.store(heard, Ordering::Relaxed);
        }
        self.suspect.store(true, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed) == self.heard()
    }

    fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    fn is_usable(&self) -> bool {
        self.is_open() && !self.suspect.load(Ordering::Relaxed)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.connection.close(VarInt::from_u32(0), b"replaced");
    }
}

/// Place of the connection to one address.
pub(crate) struct Slot {
    state: Mutex<State>,
    /// Holds one token; the caller that takes it opens the connection.
    gate: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

#[derive(Default)]
struct State {
    link: Option<Arc<Link>>,
    /// Number of attempts to connect that ended, and the error of the last one.
    attempts: u64,
    failure: Option<Error>,
}

impl Default for Slot {
    fn default() -> Self {
        let gate = async_channel::bounded(1);
        gate.0.try_send(()).expect("the new channel has room");
        Self {
            state: Mutex::default(),
            gate,
        }
    }
}

impl Slot {
    /// The connection in use, or a new one from `connect` if there is none or it is suspect. Callers
    /// that wait while another one connects share the outcome.
    pub(crate) async fn get<F: Future<Output = Result<Arc<Link>>>>(
        &self,
        connect: impl FnOnce() -> F,
    ) -> Result<Arc<Link>> {
        let attempts = match self.usable() {
            Ok(link) => return Ok(link),
            Err(attempts) => attempts,
        };
        let _token = Token::take(&self.gate).await;
        match self.usable() {
            Ok(link) => return Ok(link),
            Err(now) if now > attempts => {
                if let Some(failure) = self.failure() {
                    return Err(failure);
                }
            }
            Err(_) => {}
        }
        let result = connect().await;
        self.settle(result)
    }

    /// Whether the slot holds a connection that is not closed.
    pub(crate) fn is_open(&self) -> bool {
        self.lock().link.as_ref().is_some_and(|link| link.is_open())
    }

    /// Bytes sent and received on the connection, with headers.
    pub(crate) fn traffic(&self) -> Option<(u64, u64)> {
        let stats = self.lock().link.as_ref()?.connection.stats();
        let bytes = |udp: &quinn::UdpStats| udp.bytes + udp.datagrams * HEADERS;
        Some((bytes(&stats.udp_tx), bytes(&stats.udp_rx)))
    }

    /// Closes the connection and returns its endpoint, which still tells the peer.
    pub(crate) fn close(&self) -> Option<Endpoint> {
        let link = self.lock().link.take()?;
        link.connection.close(VarInt::from_u32(0), b"stopped");
        Some(link.endpoint.clone())
    }

    /// The connection in use, or the number of attempts to connect so far.
    fn usable(&self) -> std::result::Result<Arc<Link>, u64> {
        let state = self.lock();
        let link = state.link.as_ref().filter(|link| link.is_usable());
        link.cloned().ok_or(state.attempts)
    }

    fn failure(&self) -> Option<Error> {
        let state = self.lock();
        let failure = state.failure.as_ref()?;
        let mut error = Error::msg(failure.kind, failure.step, &failure.source);
        error.peer.clone_from(&failure.peer);
        Some(error)
    }

    fn settle(&self, result: Result<Arc<Link>>) -> Result<Arc<Link>> {
        let mut state = self.lock();
        state.attempts += 1;
        match result {
            Ok(link) => {
                state.failure = None;
                if let Some(old) = state.link.replace(link.clone()).filter(|old| old.is_silent()) {
                    old.connection.close(VarInt::from_u32(0), b"silent");
                }
                Ok(link)
            }
            Err(error) => {
                // An old connection that still receives packets is better than none.
                let old = state.link.as_ref().filter(|old| old.is_open() && !old.is_silent());
                if let Some(old) = old {
                    return Ok(old.clone());
                }
                let shared = Error::msg(error.kind, error.step, &error.source);
                state.failure = Some(Error {
                    peer: error.peer.clone(),
                    ..shared
                });
                Err(error)
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("slot lock")
    }
}

/// The token of a gate, put back when dropped.
struct Token(async_channel::Sender<()>);

impl Token {
    async fn take(gate: &(async_channel::Sender<()>, async_channel::Receiver<()>)) -> Self {
        gate.1.recv().await.expect("the gate holds its sender");
        Self(gate.0.clone())
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}
