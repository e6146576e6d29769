//! ByteCounts the bytes of the control plane at its sockets: links between daemons, workers and platform.

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

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEAD: u64 = 28;

/// Bytes sent and received of one kind.
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

/// Bytes sent and received. TCP counts payload only.
///
/// They are also counted by kind: the peer of an HTTP client, or the kind of a message between daemons. A message
/// counts with its length prefix; what QUIC, UDP and IP add is only in the total.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    kinds: Mutex<BTreeMap<&'static str, Arc<ByteCounts>>>,
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

/// A stream whose bytes are counted.
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

/// A UDP socket that takes and gives one datagram a call, without segmentation offload and control messages, which some
/// virtual networks lack. Its bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedSocket {
    socket: Async<UdpSocket>,
    /// The last datagram found no room.
    full: AtomicBool,
    traffic: Arc<Traffic>,
}

impl CountedSocket {
    pub(crate) fn new(socket: UdpSocket, traffic: Arc<Traffic>) -> io::Result<Self> {
        let socket = Async::new(socket)?;
        Ok(Self {
            socket,
            full: AtomicBool::new(false),
            traffic,
        })
    }
}

impl AsyncUdpSocket for CountedSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Writable(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let sent = self.socket.get_ref().send_to(transmit.contents, transmit.destination);
        if sent
            .as_ref()
            .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        {
            self.full.store(true, Ordering::Relaxed);
        }
        let length = sent?;
        self.traffic.add_sent(length as u64 + DATAGRAM_HEAD);
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
                    self.traffic.add_received(length as u64 + DATAGRAM_HEAD);
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

/// Waits until a socket takes another datagram, but only once it has refused one.
#[derive(Debug)]
struct Writable(Arc<CountedSocket>);

impl UdpPoller for Writable {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.0.full.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        ready!(self.0.socket.poll_writable(cx))?;
        self.0.full.store(false, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}
