//! A TCP relay whose connections can be delayed, held one way, go silent, be reset or refused, and whose bandwidth can
//! be limited.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::{Method, StatusCode};
use pistachiostair::{HttpReply, HttpRequest, Millis, Stop};
use rustix::net::sockopt::set_socket_linger;

use crate::server::{reply_status, segments, serve};

/// Largest number of bytes that are forwarded at once.
const BLOCK: usize = 64 * 1024;

/// Smallest number of bytes that are forwarded at once.
const MIN_BLOCK: usize = 1_500;

/// Time that a block takes at the limit of the bandwidth, and by which a sender may be late without losing bandwidth.
const BLOCK_TIME: Duration = Duration::from_millis(5);

/// Pause between looks at whether data that is held may pass.
const HOLD_POLL: Duration = Duration::from_millis(10);

/// What a relay does to the data of all its connections, until it is changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Delay of each block, in each direction.
    pub delay: Millis,
    /// Whether data towards the target and data from it are held until this is changed, as by a partition.
    pub held: [bool; 2],
}

/// One direction of the link that all connections of a relay share.
struct Lane {
    /// When all bytes that were forwarded so far have left.
    free_at: Instant,
}

struct State {
    link: Link,
    /// Raised to make the connections of now silent, and then replaced.
    silence: Stop,
    /// Raised to close the connections of now; new ones are refused until it is replaced.
    cut: Stop,
    /// Raised to close the listener, and replaced to listen again.
    shut: Stop,
    /// Bytes a second in each direction; unlimited if there is none.
    bandwidth: Option<u64>,
    /// Bytes of a response after which its connection goes silent; applies to one connection.
    stall: Option<usize>,
}

/// A relay to one target.
pub struct Relay {
    target: String,
    state: Mutex<State>,
    /// The directions towards the target and back.
    lanes: [Mutex<Lane>; 2],
}

impl Relay {
    /// A relay to `target`, an `ip:port`.
    pub fn new(target: impl Into<String>) -> Arc<Self> {
        Arc::new(Self {
            target: target.into(),
            state: Mutex::new(State {
                link: Link::default(),
                silence: Stop::new(),
                cut: Stop::new(),
                shut: Stop::new(),
                bandwidth: None,
                stall: None,
            }),
            lanes: [(); 2].map(|()| {
                Mutex::new(Lane {
                    free_at: Instant::now(),
                })
            }),
        })
    }

    /// Limits the bandwidth in each direction to this many bytes a second; removes the limit if there is none.
    pub fn limit(&self, bandwidth: Option<u64>) {
        self.state.lock().expect("relay lock").bandwidth = bandwidth;
    }

    /// Makes the next connection silent for good that forwards more than `bytes` bytes of one response.
    pub fn stall_after(&self, bytes: usize) {
        self.state.lock().expect("relay lock").stall = Some(bytes);
    }

    /// Whether a connection went silent since the last [`Self::stall_after`].
    pub fn has_stalled(&self) -> bool {
        self.state.lock().expect("relay lock").stall.is_none()
    }

    /// Changes what happens to the data of all connections.
    pub fn change_link(&self, change: impl FnOnce(&mut Link)) {
        change(&mut self.state.lock().expect("relay lock").link);
    }

    /// Makes the connections of now silent. They stay open.
    pub fn silence(&self) {
        std::mem::take(&mut self.state.lock().expect("relay lock").silence).raise();
    }

    /// Resets the connections of now.
    pub fn reset(&self) {
        std::mem::take(&mut self.state.lock().expect("relay lock").cut).raise();
    }

    /// Resets all connections and refuses new ones until [`Self::open`].
    pub fn cut(&self) {
        self.state.lock().expect("relay lock").cut.raise();
    }

    /// Resets all connections and closes the listener until [`Self::open`], as the end of the target's process does.
    pub fn shut(&self) {
        let state = self.state.lock().expect("relay lock");
        state.cut.raise();
        state.shut.raise();
    }

    /// Accepts connections again.
    pub fn open(&self) {
        let mut state = self.state.lock().expect("relay lock");
        state.cut = Stop::new();
        if state.shut.is_raised() {
            state.shut = Stop::new();
        }
    }

    /// Relays in the background; returns the address and that of the control server.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn serve(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
        control: SocketAddr,
    ) -> anyhow::Result<(SocketAddr, SocketAddr)> {
        let address = self.listen(executor, listen).await?;
        let relay = self.clone();
        let handler = Arc::new(move |request: HttpRequest| {
            let reply = relay.control(&request);
            Box::pin(async move { reply }) as _
        });
        Ok((address, serve(executor, control, 16, handler).await?))
    }

    /// Relays in the background without a control server; returns the address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn listen(
        self: &Arc<Self>,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
    ) -> anyhow::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let relay = self.clone();
        let spawner = executor.clone();
        executor
            .spawn(async move { relay.accept(&spawner, listener).await })
            .detach();
        Ok(address)
    }

    fn control(&self, request: &HttpRequest) -> HttpReply {
        if request.method != Method::POST {
            return reply_status(StatusCode::METHOD_NOT_ALLOWED);
        }
        match segments(&request.path).iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["control", "silence"] => self.silence(),
            ["control", "cut"] => self.cut(),
            ["control", "open"] => self.open(),
            _ => return reply_status(StatusCode::NOT_FOUND),
        }
        reply_status(StatusCode::OK)
    }

    async fn accept(self: Arc<Self>, executor: &Arc<Executor<'static>>, mut listener: TcpListener) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        loop {
            let shut = self.state.lock().expect("relay lock").shut.clone();
            let shutting = async {
                shut.wait().await;
                None
            };
            let Some(accepted) = future::or(shutting, async { Some(listener.accept().await) }).await else {
                drop(listener);
                listener = self.listen_again(address).await;
                continue;
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let (silence, cut) = {
                let state = self.state.lock().expect("relay lock");
                (state.silence.clone(), state.cut.clone())
            };
            if cut.is_raised() {
                continue;
            }
            let relay = self.clone();
            executor
                .spawn(async move { relay.forward(stream, &silence, &cut).await })
                .detach();
        }
    }

    /// Listens at `address` once that is allowed.
    async fn listen_again(&self, address: SocketAddr) -> TcpListener {
        loop {
            if !self.state.lock().expect("relay lock").shut.is_raised()
                && let Ok(listener) = TcpListener::bind(address).await
            {
                return listener;
            }
            Timer::after(HOLD_POLL).await;
        }
    }

    async fn forward(&self, near: TcpStream, silence: &Stop, cut: &Stop) {
        let Ok(far) = TcpStream::connect(&self.target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let response = AtomicUsize::new(0);
        let ended = async {
            let requests = self.copy(near.clone(), far.clone(), 0, &response);
            let responses = self.copy(far.clone(), near.clone(), 1, &response);
            future::race(requests, responses).await
        };
        let silenced = async {
            silence.wait().await;
            true
        };
        let relayed = async {
            if future::or(silenced, ended).await {
                // Both sides stay open and nothing moves until the connection is cut or the relay ends.
                std::future::pending().await
            }
            false
        };
        let reset = async {
            cut.wait().await;
            true
        };
        if future::or(relayed, reset).await {
            // Without lingering, the close sends a reset.
            let _ = (
                set_socket_linger(&near, Some(Duration::ZERO)),
                set_socket_linger(&far, Some(Duration::ZERO)),
            );
        }
    }

    /// Copies until one side ends, or the connection is to go silent; returns whether it is. In the first case both
    /// directions are closed by dropping the streams. `response` counts the bytes of the response since the last request.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, lane: usize, response: &AtomicUsize) -> bool {
        let mut block = vec![0; BLOCK];
        loop {
            let size = self.block_size();
            match from.read(&mut block[..size]).await {
                Ok(count) if count > 0 => {
                    match lane {
                        0 => response.store(0, Ordering::Relaxed),
                        _ if self.stalls(response.fetch_add(count, Ordering::Relaxed) + count) => return true,
                        _ => {}
                    }
                    self.wait_turn(lane, count).await;
                    self.wait_link(lane).await;
                    if to.write_all(&block[..count]).await.is_err() {
                        return false;
                    }
                }
                _ => return false,
            }
        }
    }

    /// Waits for the delay of a block, and until its direction is not held.
    async fn wait_link(&self, lane: usize) {
        let link = || self.state.lock().expect("relay lock").link;
        while link().held[lane] {
            Timer::after(HOLD_POLL).await;
        }
        let delay = link().delay;
        if delay > Millis::ZERO {
            Timer::after(delay.duration()).await;
        }
    }

    /// Bytes that are forwarded at once.
    fn block_size(&self) -> usize {
        let bandwidth = self.state.lock().expect("relay lock").bandwidth;
        bandwidth.map_or(BLOCK, |bandwidth| {
            ((bandwidth as f64 * BLOCK_TIME.as_secs_f64()) as usize).clamp(MIN_BLOCK, BLOCK)
        })
    }

    /// Whether a connection goes silent that has read this many bytes of a response.
    fn stalls(&self, bytes: usize) -> bool {
        let mut state = self.state.lock().expect("relay lock");
        state.stall.take_if(|limit| bytes > *limit).is_some()
    }

    /// Waits until these bytes have passed the link after those of other connections.
    async fn wait_turn(&self, lane: usize, bytes: usize) {
        let Some(bandwidth) = self.state.lock().expect("relay lock").bandwidth else {
            return;
        };
        let time = Duration::from_secs_f64(bytes as f64 / bandwidth as f64);
        let until = {
            let mut lane = self.lanes[lane].lock().expect("lane lock");
            let begin = Instant::now().checked_sub(BLOCK_TIME).unwrap_or(lane.free_at);
            lane.free_at = lane.free_at.max(begin) + time;
            lane.free_at
        };
        Timer::at(until).await;
    }
}
