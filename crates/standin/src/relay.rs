//! A TCP relay whose connections can be delayed, throttled, held one way, go silent, be reset or refused.

use std::net::SocketAddr;
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

/// Bytes that are forwarded at once.
const BLOCK: usize = 64 * 1024;

/// Pause between looks at whether data that is held may pass.
const HOLD_POLL: Duration = Duration::from_millis(10);

/// What a relay does to the data of all its connections, until it is changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Delay of each block, in each direction.
    pub delay: Millis,
    /// Bandwidth in bytes per millisecond, in each direction; 0 if unlimited.
    pub rate: u64,
    /// Whether data towards the target and data from it are held until this is changed, as by a partition.
    pub held: [bool; 2],
}

struct State {
    link: Link,
    /// When the link is free again, in each direction.
    free: [Instant; 2],
    /// Raised to make the connections of now silent, and then replaced.
    silence: Stop,
    /// Raised to close the connections of now; new ones are refused until it is replaced.
    cut: Stop,
}

/// A relay to one target.
pub struct Relay {
    target: String,
    state: Mutex<State>,
}

impl Relay {
    /// A relay to `target`, an `ip:port`.
    pub fn new(target: impl Into<String>) -> Arc<Self> {
        Arc::new(Self {
            target: target.into(),
            state: Mutex::new(State {
                link: Link::default(),
                free: [Instant::now(); 2],
                silence: Stop::new(),
                cut: Stop::new(),
            }),
        })
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

    /// Resets the connections of now, and refuses new ones until [`Self::open`].
    pub fn cut(&self) {
        self.state.lock().expect("relay lock").cut.raise();
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.state.lock().expect("relay lock").cut = Stop::new();
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

    async fn accept(self: Arc<Self>, executor: &Arc<Executor<'static>>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
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

    async fn forward(&self, near: TcpStream, silence: &Stop, cut: &Stop) {
        let Ok(far) = TcpStream::connect(&self.target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ended = async {
            future::race(
                self.copy(near.clone(), far.clone(), 0),
                self.copy(far.clone(), near.clone(), 1),
            )
            .await;
            false
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

    /// Copies in one direction until one side ends; then both directions are closed by dropping the streams.
    async fn copy(&self, mut from: TcpStream, mut to: TcpStream, direction: usize) {
        let mut block = vec![0; BLOCK];
        loop {
            match from.read(&mut block).await {
                Ok(count) if count > 0 => {
                    self.pass(count, direction).await;
                    if to.write_all(&block[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    }

    /// Waits until the link lets a block pass.
    async fn pass(&self, count: usize, direction: usize) {
        loop {
            match self.reserve(count, direction) {
                Some(at) => {
                    if at > Instant::now() {
                        Timer::at(at).await;
                    }
                    return;
                }
                None => drop(Timer::after(HOLD_POLL).await),
            }
        }
    }

    /// Reserves the link for a block; returns when the block has passed, or none while the direction is held.
    fn reserve(&self, count: usize, direction: usize) -> Option<Instant> {
        let mut state = self.state.lock().expect("relay lock");
        let link = state.link;
        if link.held[direction] {
            return None;
        }
        let mut sent = Instant::now();
        if let Some(millis) = (count as u64).checked_div(link.rate) {
            sent = sent.max(state.free[direction]) + Duration::from_millis(millis);
            state.free[direction] = sent;
        }
        Some(sent + link.delay.duration())
    }
}
