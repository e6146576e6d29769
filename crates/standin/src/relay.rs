//! A TCP relay whose connections can go silent or be refused.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::{Method, StatusCode};
use pistachiostair::{HttpReply, HttpRequest, Stop};

use crate::server::{reply_status, segments, serve};

/// Bytes that are forwarded at once.
const BLOCK: usize = 64 * 1024;

struct State {
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
                silence: Stop::new(),
                cut: Stop::new(),
            }),
        })
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
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let relay = self.clone();
        let spawner = executor.clone();
        executor
            .spawn(async move { relay.accept(&spawner, listener).await })
            .detach();
        let relay = self.clone();
        let handler = Arc::new(move |request: HttpRequest| {
            let reply = relay.control(&request);
            Box::pin(async move { reply }) as _
        });
        Ok((address, serve(executor, control, 16, handler).await?))
    }

    fn control(&self, request: &HttpRequest) -> HttpReply {
        if request.method != Method::POST {
            return reply_status(StatusCode::METHOD_NOT_ALLOWED);
        }
        let mut state = self.state.lock().expect("relay lock");
        match segments(&request.path).iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["control", "silence"] => std::mem::take(&mut state.silence).raise(),
            ["control", "cut"] => state.cut.raise(),
            ["control", "open"] => state.cut = Stop::new(),
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
                .spawn(async move { future::or(relay.forward(stream, &silence), cut.wait()).await })
                .detach();
        }
    }

    async fn forward(&self, near: TcpStream, silence: &Stop) {
        let Ok(far) = TcpStream::connect(&self.target).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ended = async {
            future::race(copy(near.clone(), far.clone()), copy(far.clone(), near.clone())).await;
            false
        };
        let silenced = async {
            silence.wait().await;
            true
        };
        if future::or(silenced, ended).await {
            // Both sides stay open and nothing moves until the connection is cut or the relay ends.
            std::future::pending().await
        }
    }
}

/// Copies until one side ends; then both directions are closed by dropping the streams.
async fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut block = vec![0; BLOCK];
    loop {
        match from.read(&mut block).await {
            Ok(count) if count > 0 => {
                if to.write_all(&block[..count]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}
