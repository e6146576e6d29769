//! Opens QUIC connections to other daemons.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Weak};

use quinn::{ClientConfig, Endpoint};

use crate::clock::{Millis, within};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::Kernel;
use crate::peer_link::Link;
use crate::peer_tls::{KernelRuntime, SERVER_NAME};

/// Longest time until the peer takes part in the handshake.
const FIRST_RESPONSE: Millis = Millis(1_000);
/// Longest time to open a connection to a peer that takes part: the handshakes of a new scheduler of 0.12 cores with all
/// other daemons share its processor.
pub(crate) const CONNECT_TIMEOUT: Millis = Millis(2_500);

/// What it takes to open connections.
#[derive(Clone)]
pub(crate) struct Connector {
    /// Address that connections are opened from.
    pub(crate) ip: IpAddr,
    pub(crate) client: ClientConfig,
    pub(crate) kernel: Weak<Kernel>,
}

impl Connector {
    /// Opens a connection from a socket of its own: a device that dropped the state of the flow between
    /// two ports would also drop a new connection between the same ports.
    pub(crate) async fn connect(self, address: String) -> Result<Arc<Link>> {
        let result = within(CONNECT_TIMEOUT, self.handshake(&address)).await;
        let result = result.unwrap_or_else(|| Err(unconnected(CONNECT_TIMEOUT)));
        result.map_err(|error| error.at(address))
    }

    async fn handshake(&self, address: &str) -> Result<Arc<Link>> {
        let target: SocketAddr = address
            .parse()
            .map_err(|e: std::net::AddrParseError| Error::new(ErrorKind::Invalid, "connect peer", e))?;
        let unavailable = |e: std::io::Error| Error::new(ErrorKind::Unavailable, "connect peer", e);
        let socket = std::net::UdpSocket::bind(SocketAddr::new(self.ip, 0)).map_err(unavailable)?;
        let runtime = Arc::new(KernelRuntime::new(self.kernel.clone()));
        let endpoint = Endpoint::new(Default::default(), None, socket, runtime).map_err(unavailable)?;
        let mut connecting = endpoint
            .connect_with(self.client.clone(), target, SERVER_NAME)
            .map_err(|e| Error::new(ErrorKind::Invalid, "connect peer", e))?;
        let responding = within(FIRST_RESPONSE, connecting.handshake_data()).await;
        responding
            .ok_or_else(|| unconnected(FIRST_RESPONSE))?
            .map_err(|e| lost("connect peer", e))?;
        let connection = connecting.await.map_err(|e| lost("connect peer", e))?;
        // The peer opens this stream once it has accepted our certificate. Without it, requests
        // would be sent to a peer that may still refuse the connection.
        connection.accept_uni().await.map_err(|e| lost("connect peer", e))?;
        Ok(Arc::new(Link::new(connection, endpoint)))
    }
}

/// Error of an attempt that takes longer than `limit`.
pub(crate) fn unconnected(limit: Millis) -> Error {
    Error::msg(
        ErrorKind::Unavailable,
        "connect peer",
        format!("no connection within {limit}"),
    )
}

/// Error of a lost connection; `Refused` if the TLS handshake failed on either side.
pub(crate) fn lost(step: &'static str, error: quinn::ConnectionError) -> Error {
    let code = match &error {
        quinn::ConnectionError::TransportError(error) => u64::from(error.code),
        quinn::ConnectionError::ConnectionClosed(close) => u64::from(close.error_code),
        _ => 0,
    };
    // RFC 9000, section 20.1: 0x0100 to 0x01ff are TLS alerts.
    let kind = if (0x100..0x200).contains(&code) {
        ErrorKind::Refused
    } else {
        ErrorKind::Unavailable
    };
    Error::new(kind, step, error)
}
