//! Counts the bytes of the control plane at its sockets: links between daemons, workers and platform.

use std::collections::BTreeMap;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEAD: u64 = 28;

/// Bytes sent and received of one kind.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Counts {
    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Bytes sent and received. TCP counts payload only.
///
/// They are also counted by kind: the peer of an HTTP client, or the kind of a message between daemons. A message
/// counts with its length prefix; what QUIC, UDP and IP add is only in the total.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    kinds: Mutex<BTreeMap<&'static str, Arc<Counts>>>,
}

impl Traffic {
    /// Bytes sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Bytes sent and received of each kind so far.
    pub fn kinds(&self) -> Vec<(&'static str, u64, u64)> {
        let kinds = self.kinds.lock().expect("kinds lock");
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        kinds
            .iter()
            .map(|(kind, counts)| (*kind, read(&counts.sent), read(&counts.received)))
            .collect()
    }

    /// Counters of one kind. Kinds are fixed words, so that the number of series stays bounded.
    pub(crate) fn kind(&self, kind: &'static str) -> Arc<Counts> {
        self.kinds.lock().expect("kinds lock").entry(kind).or_default().clone()
    }

    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    traffic: Arc<Traffic>,
    kind: Arc<Counts>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, traffic: Arc<Traffic>, kind: Arc<Counts>) -> Self {
        Self { stream, traffic, kind }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &poll {
            self.traffic.add_received(*count as u64);
            self.kind.add_received(*count as u64);
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &poll {
            self.traffic.add_sent(*count as u64);
            self.kind.add_sent(*count as u64);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A UDP socket whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: Arc<dyn AsyncUdpSocket>,
    traffic: Arc<Traffic>,
}

impl CountedSocket {
    pub(crate) fn new(socket: Arc<dyn AsyncUdpSocket>, traffic: Arc<Traffic>) -> Self {
        Self { socket, traffic }
    }
}

impl AsyncUdpSocket for CountedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        self.socket.clone().create_io_poller()
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.socket.try_send(transmit)?;
        let length = transmit.contents.len();
        let datagrams = transmit.segment_size.map_or(1, |size| length.div_ceil(size.max(1)));
        self.traffic.add_sent(length as u64 + datagrams as u64 * DATAGRAM_HEAD);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let poll = self.socket.poll_recv(cx, bufs, meta);
        if let Poll::Ready(Ok(count)) = &poll {
            for received in &meta[..*count] {
                let datagrams = received.len.div_ceil(received.stride.max(1));
                self.traffic
                    .add_received(received.len as u64 + datagrams as u64 * DATAGRAM_HEAD);
            }
        }
        poll
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn max_transmit_segments(&self) -> usize {
        self.socket.max_transmit_segments()
    }

    fn max_receive_segments(&self) -> usize {
        self.socket.max_receive_segments()
    }

    fn may_fragment(&self) -> bool {
        self.socket.may_fragment()
    }
}
