//! A UDP relay that loses, delays and duplicates datagrams, for the links between daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use async_executor::Executor;
use async_io::Timer;
use async_net::UdpSocket;
use hyper::StatusCode;
use pistachiostair::{HttpReply, HttpRequest, Millis};

use crate::server::{reply_status, segments, serve};

/// Largest datagram.
const DATAGRAM: usize = 64 * 1024;

/// What a path does to each datagram, in each direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Impairment {
    /// Share of lost datagrams, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, from 0 to 1.
    pub duplicates: f64,
    /// Least and largest delay in milliseconds; each copy draws its own, so that datagrams overtake each other.
    pub delay: (u64, u64),
    /// Seed of the draws.
    pub seed: u64,
}

#[derive(Default)]
struct State {
    rng: fastrand::Rng,
    target: Option<SocketAddr>,
    /// Sockets towards the target, by the sender that each stands for.
    senders: BTreeMap<SocketAddr, UdpSocket>,
    /// Hosts whose datagrams are dropped, or all. The links of a daemon use many ports.
    blocked: BTreeSet<IpAddr>,
    cut: bool,
    impairment: Impairment,
}

/// A relay to one target, which is set once it is known.
pub struct UdpRelay {
    executor: Arc<Executor<'static>>,
    state: Mutex<State>,
}

impl UdpRelay {
    /// Relays in the background; returns the address and that of the control server.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub async fn serve(
        impairment: Impairment,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
        control: SocketAddr,
    ) -> anyhow::Result<(SocketAddr, SocketAddr)> {
        let (relay, address) = Self::listen(impairment, executor, listen).await?;
        let handler = Arc::new(move |request: HttpRequest| {
            let reply = relay.control(&request);
            Box::pin(async move { reply }) as _
        });
        Ok((address, serve(executor, control, 16, handler).await?))
    }

    /// Relays in the background without a control server; returns the relay and its address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn listen(
        impairment: Impairment,
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
    ) -> anyhow::Result<(Arc<Self>, SocketAddr)> {
        let relay = Arc::new(Self {
            executor: executor.clone(),
            state: Mutex::new(State {
                rng: fastrand::Rng::with_seed(impairment.seed),
                impairment,
                ..State::default()
            }),
        });
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        executor.spawn(relay.clone().receive(socket)).detach();
        Ok((relay, address))
    }

    /// Sets the target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().expect("relay lock").target = Some(target);
    }

    /// Drops all datagrams, or none because of this.
    pub fn set_cut(&self, cut: bool) {
        self.state.lock().expect("relay lock").cut = cut;
    }

    /// Changes what the path does to each datagram; the seed has no effect.
    pub fn impair(&self, impairment: Impairment) {
        self.state.lock().expect("relay lock").impairment = impairment;
    }

    fn control(&self, request: &HttpRequest) -> HttpReply {
        let mut state = self.state.lock().expect("relay lock");
        let path = segments(&request.path);
        match path.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["control", "cut"] => state.cut = true,
            ["control", "open"] => (state.cut, state.blocked) = (false, BTreeSet::new()),
            ["control", "target", address] => state.target = address.parse().ok(),
            ["control", "block", address] => state.blocked.extend(address.parse::<IpAddr>().ok()),
            _ => return reply_status(StatusCode::NOT_FOUND),
        }
        reply_status(StatusCode::OK)
    }

    async fn receive(self: Arc<Self>, socket: UdpSocket) {
        let mut datagram = vec![0; DATAGRAM];
        loop {
            let Ok((count, sender)) = socket.recv_from(&mut datagram).await else {
                continue;
            };
            if let Some((towards, target)) = self.towards(&socket, sender).await {
                self.pass(sender, &datagram[..count], &towards, target);
            }
        }
    }

    /// The socket that stands for a sender; what arrives there goes back to the sender.
    async fn towards(self: &Arc<Self>, socket: &UdpSocket, sender: SocketAddr) -> Option<(UdpSocket, SocketAddr)> {
        let target = {
            let state = self.state.lock().expect("relay lock");
            let target = state.target?;
            if let Some(known) = state.senders.get(&sender) {
                return Some((known.clone(), target));
            }
            target
        };
        let towards = UdpSocket::bind("127.0.0.1:0").await.ok()?;
        let mut state = self.state.lock().expect("relay lock");
        state.senders.insert(sender, towards.clone());
        let (relay, back, from) = (self.clone(), socket.clone(), towards.clone());
        let answers = async move {
            let mut datagram = vec![0; DATAGRAM];
            loop {
                if let Ok((count, _)) = from.recv_from(&mut datagram).await {
                    relay.pass(sender, &datagram[..count], &back, sender);
                }
            }
        };
        self.executor.spawn(answers).detach();
        Some((towards, target))
    }

    /// Sends a datagram of the exchange with `sender`.
    fn pass(&self, sender: SocketAddr, datagram: &[u8], socket: &UdpSocket, to: SocketAddr) {
        let mut state = self.state.lock().expect("relay lock");
        let faults = state.impairment;
        if state.cut || state.blocked.contains(&sender.ip()) || state.rng.f64() < faults.loss {
            return;
        }
        let copies = if state.rng.f64() < faults.duplicates { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Millis(state.rng.u64(faults.delay.0..=faults.delay.1));
            let (socket, datagram) = (socket.clone(), datagram.to_vec());
            let later = async move {
                Timer::after(delay.duration()).await;
                let _ = socket.send_to(&datagram, to).await;
            };
            self.executor.spawn(later).detach();
        }
    }
}
