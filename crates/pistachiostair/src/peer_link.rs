//! The connection to one peer: opened once for concurrent callers, replaced when it seems to be silent.

use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::Receiver;
use quinn::{Connection, Endpoint, VarInt};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Result};

/// Time in which a live peer acknowledges a request, in round trips and beyond them: a daemon that has used up its
/// processor quota stands still for up to a tenth of a second, and acknowledgements are delayed by 25 ms.
const ACK_ROUND_TRIPS: u64 = 3;
const ACK_TIME: Millis = Millis(250);
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
    /// Packets received when a request was given up too early to tell, and when it was sent.
    unclear: Mutex<Option<(u64, Millis)>>,
}

impl Link {
    pub(crate) fn new(connection: Connection, endpoint: Endpoint) -> Self {
        Self {
            connection,
            endpoint,
            suspect: AtomicBool::new(false),
            silent: AtomicU64::new(NOT_SILENT),
            unclear: Mutex::default(),
        }
    }

    /// Number of packets received so far.
    pub(crate) fn heard(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    /// Notes that a request was given up at `now` without an acknowledgement; it was sent at `since`, after `heard`
    /// packets were received. If the peer should have acknowledged it by then, the next call opens a new connection. For
    /// requests that are given up earlier, that is the case if nothing at all was received for as long.
    pub(crate) fn note_unacknowledged(&self, heard: u64, since: Millis, now: Millis) {
        let round_trip = Millis(self.connection.rtt().as_millis() as u64);
        let enough = ACK_TIME.max(Millis(round_trip.0 * ACK_ROUND_TRIPS));
        let heard_now = self.heard();
        let mut unclear = self.unclear.lock().expect("link lock");
        let quiet_since = match *unclear {
            Some((heard, earlier)) if heard == heard_now => earlier.min(since),
            _ => since,
        };
        if now.since(since) < enough && now.since(quiet_since) < enough {
            *unclear = Some((heard_now, quiet_since));
            return;
        }
        if heard_now == heard {
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
#[derive(Default)]
pub(crate) struct Slot {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    link: Option<Arc<Link>>,
    /// Closed when the attempt to connect that is in progress ends.
    attempt: Option<Receiver<()>>,
    /// The error of the last attempt.
    failure: Option<Error>,
}

impl Slot {
    /// The connection in use. If there is none or it is suspect, waits for the attempt to connect that is in progress,
    /// or starts one with `connect`, run by `spawn`, which goes on if the caller gives up. Callers that wait at the same
    /// time share the outcome.
    pub(crate) async fn get<F>(
        self: Arc<Self>,
        connect: impl FnOnce() -> F,
        spawn: impl FnOnce(Pin<Box<dyn Future<Output = ()> + Send>>),
    ) -> Result<Arc<Link>>
    where
        F: Future<Output = Result<Arc<Link>>> + Send + 'static,
    {
        let (ended, attempt) = {
            let mut state = self.lock();
            if let Some(link) = state.link.as_ref().filter(|link| link.is_usable()) {
                return Ok(link.clone());
            }
            match &state.attempt {
                Some(ended) => (ended.clone(), None),
                None => {
                    let (running, ended) = async_channel::bounded::<()>(1);
                    state.attempt = Some(ended.clone());
                    let (slot, opening) = (self.clone(), connect());
                    let attempt = async move {
                        let result = opening.await;
                        slot.settle(result);
                        drop(running);
                    };
                    (ended, Some(Box::pin(attempt)))
                }
            }
        };
        if let Some(attempt) = attempt {
            spawn(attempt);
        }
        // Nothing is sent: this waits until the attempt has dropped its end.
        let _ = ended.recv().await;
        self.outcome()
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

    /// The connection that the last attempt left in use, or its error.
    fn outcome(&self) -> Result<Arc<Link>> {
        let state = self.lock();
        if let Some(failure) = &state.failure {
            let mut error = Error::msg(failure.kind, failure.step, &failure.source);
            error.peer.clone_from(&failure.peer);
            return Err(error);
        }
        let stopped = || Error::msg(ErrorKind::Unavailable, "connect peer", "links are closed");
        state.link.clone().ok_or_else(stopped)
    }

    fn settle(&self, result: Result<Arc<Link>>) {
        let mut state = self.lock();
        state.attempt = None;
        state.failure = None;
        match result {
            Ok(link) => {
                if let Some(old) = state.link.replace(link).filter(|old| old.is_silent()) {
                    old.connection.close(VarInt::from_u32(0), b"silent");
                }
            }
            Err(error) => {
                // An old connection that still receives packets is better than none.
                let old = state.link.as_ref().filter(|old| old.is_open() && !old.is_silent());
                if old.is_none() {
                    state.failure = Some(error);
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("slot lock")
    }
}
