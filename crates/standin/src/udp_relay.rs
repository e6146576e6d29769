//! A UDP relay in front of a daemon's links that can drop what other regions send.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use async_executor::Executor;
use async_net::UdpSocket;

/// Largest datagram that is forwarded, in bytes.
const DATAGRAM: usize = 65_536;

/// A relay to one daemon. The daemons of a region share an IP address, which tells regions apart.
pub(crate) struct UdpRelay {
    address: SocketAddr,
    target: OnceLock<SocketAddr>,
    cut: AtomicBool,
}

impl UdpRelay {
    /// Relays in the background, once the target is set, from an unused port of `ip`.
    pub(crate) async fn start(executor: &Arc<Executor<'static>>, ip: IpAddr) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind((ip, 0)).await?;
        let relay = Arc::new(Self {
            address: socket.local_addr()?,
            target: OnceLock::new(),
            cut: AtomicBool::new(false),
        });
        let task = relay.clone().run(executor.clone(), socket);
        executor.spawn(task).detach();
        Ok(relay)
    }

    /// Address to send to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the daemon's own address, once.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        let _ = self.target.set(target);
    }

    /// Drops datagrams to and from other regions from now on, or no longer.
    pub(crate) fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    fn drops(&self, source: SocketAddr) -> bool {
        self.cut.load(Ordering::Relaxed) && source.ip() != self.address.ip()
    }

    async fn run(self: Arc<Self>, executor: Arc<Executor<'static>>, socket: UdpSocket) {
        let mut flows: BTreeMap<SocketAddr, UdpSocket> = BTreeMap::new();
        let mut block = vec![0; DATAGRAM];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut block).await else {
                continue;
            };
            let Some(target) = self.target.get().filter(|_| !self.drops(source)) else {
                continue;
            };
            let far = match flows.get(&source) {
                Some(far) => far.clone(),
                None => {
                    let Ok(far) = self.open(*target).await else { continue };
                    let back = self.clone().answer(far.clone(), socket.clone(), source);
                    executor.spawn(back).detach();
                    flows.insert(source, far.clone());
                    far
                }
            };
            // A datagram that can't be sent is lost, as on any network.
            let _ = far.send(&block[..length]).await;
        }
    }

    async fn open(&self, target: SocketAddr) -> std::io::Result<UdpSocket> {
        let socket = UdpSocket::bind((self.address.ip(), 0)).await?;
        socket.connect(target).await?;
        Ok(socket)
    }

    async fn answer(self: Arc<Self>, far: UdpSocket, near: UdpSocket, source: SocketAddr) {
        let mut block = vec![0; DATAGRAM];
        while let Ok(length) = far.recv(&mut block).await {
            if !self.drops(source) {
                let _ = near.send_to(&block[..length], source).await;
            }
        }
    }
}
