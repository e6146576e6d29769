//! Counts the bytes that a daemon sends and receives on its sockets to other daemons, workers and the platform.

use std::collections::BTreeMap;
use std::io::{self, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};
use quinn::udp::{RecvMeta, Transmit};
use quinn::{AsyncUdpSocket, UdpPoller};

/// Size of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes sent and received of one kind of traffic; see [`Traffic`].
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounts {
    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Bytes that a daemon has sent and received, in total and by kind.
///
/// A kind is the peer of an HTTP client, or the kind of a message between daemons. On TCP only the payload is counted.
/// A message between daemons is counted under its kind with its length prefix; the overhead of QUIC, UDP and IP is only
/// in the total.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    kinds: Mutex<BTreeMap<&'static str, Arc<ByteCounts>>>,
}

impl Traffic {
    /// Total of bytes sent, since the start.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Total of bytes received, since the start.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Each kind counted so far with its bytes sent and its bytes received, sorted by kind.
    pub fn kinds(&self) -> Vec<(&'static str, u64, u64)> {
        let kinds = self.kinds.lock().expect("kinds lock");
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        kinds
            .iter()
            .map(|(kind, counts)| (*kind, read(&counts.sent), read(&counts.received)))
            .collect()
    }

    /// Returns the counters of a kind, at zero if it is new. They are not added to the total. Kinds are constants, so
    /// that the number of metric series stays bounded.
    pub(crate) fn kind(&self, kind: &'static str) -> Arc<ByteCounts> {
        self.kinds.lock().expect("kinds lock").entry(kind).or_default().clone()
    }

    pub(crate) fn add_sent(&self, bytes: u64) {
        self.sent.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: u64) {
        self.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted, in the total and under one kind.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    traffic: Arc<Traffic>,
    kind: Arc<ByteCounts>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, traffic: Arc<Traffic>, kind: Arc<ByteCounts>) -> Self {
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

/// A UDP socket for QUIC whose bytes are counted, headers included. It sends and receives one datagram a call, without
/// segmentation offload and control messages, which some virtual networks lack.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: Async<UdpSocket>,
    /// Whether the last datagram was refused because the send buffer was full.
    blocked: AtomicBool,
    traffic: Arc<Traffic>,
}

impl CountedSocket {
    pub(crate) fn new(socket: UdpSocket, traffic: Arc<Traffic>) -> io::Result<Self> {
        let socket = Async::new(socket)?;
        Ok(Self {
            socket,
            blocked: AtomicBool::new(false),
            traffic,
        })
    }
}

impl AsyncUdpSocket for CountedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritablePoller(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let sent = self.socket.get_ref().send_to(transmit.contents, transmit.destination);
        if sent
            .as_ref()
            .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        {
            self.blocked.store(true, Ordering::Relaxed);
        }
        let length = sent?;
        self.traffic.add_sent(length as u64 + DATAGRAM_HEADER_BYTES);
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let (Some(buf), Some(meta)) = (bufs.first_mut(), meta.first_mut()) else {
            return Poll::Ready(Ok(0));
        };
        loop {
            match self.socket.get_ref().recv_from(buf) {
                Ok((length, addr)) => {
                    self.traffic.add_received(length as u64 + DATAGRAM_HEADER_BYTES);
                    *meta = RecvMeta {
                        addr,
                        len: length,
                        stride: length,
                        ecn: None,
                        dst_ip: None,
                    };
                    return Poll::Ready(Ok(1));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => ready!(self.socket.poll_readable(cx))?,
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    fn may_fragment(&self) -> bool {
        true
    }
}

/// Waits until the socket accepts another datagram. Asks the reactor only if the socket has refused one.
#[derive(Debug)]
struct WritablePoller(Arc<CountedSocket>);

impl UdpPoller for WritablePoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.0.blocked.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        ready!(self.0.socket.poll_writable(cx))?;
        self.0.blocked.store(false, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}
