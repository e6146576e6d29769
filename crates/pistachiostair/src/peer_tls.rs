//! TLS and transport settings of the links between daemons.

use std::fmt;
use std::future::Future;
use std::io;
use std::path::Path;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{AsyncTimer, AsyncUdpSocket, ClientConfig, Runtime, ServerConfig, SmolRuntime, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::error::{Error, ErrorKind, Result};
use crate::kernel::Kernel;
use crate::metrics::Metrics;
use crate::traffic::CountedSocket;

/// DNS name that each daemon's certificate must carry. It is the same for all, since VMs are replaced and
/// their addresses with them.
pub(crate) const SERVER_NAME: &str = "pistachiostair";
/// Name of the protocol in the handshake.
const ALPN: &[u8] = b"pistachiostair/1";
/// Interval of packets that keep an idle connection open.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time without a packet after which a connection is closed.
const IDLE_TIMEOUT_MS: u32 = 4_000;
/// Round-trip time assumed before the first measurement. The default of 333 ms makes the loss of one
/// handshake packet cost a second.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Requests in progress on one connection. Each waiting caller of an entry daemon holds one.
const MAX_STREAMS: u32 = 4_096;
/// Bytes in flight on one connection, in each direction.
const WINDOW: u32 = 8 * 1024 * 1024;
/// Bytes in flight on one stream.
const STREAM_WINDOW: u32 = 1024 * 1024;

/// Certificates and key as PEM.
#[derive(Clone)]
pub struct PeerTls {
    /// Certificates of the authorities that sign the daemons' certificates.
    pub authority: Vec<u8>,
    /// Certificate of this daemon, with the DNS name `pistachiostair`.
    pub certificate: Vec<u8>,
    /// Its private key.
    pub key: Vec<u8>,
}

impl PeerTls {
    /// Reads the three PEM files.
    ///
    /// # Errors
    ///
    /// `Invalid` if a file can't be read; the error names it.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self> {
        let read = |path: &Path| {
            std::fs::read(path).map_err(|e| {
                Error::msg(
                    ErrorKind::Invalid,
                    "read certificates",
                    format!("{}: {e}", path.display()),
                )
            })
        };
        Ok(Self {
            authority: read(authority)?,
            certificate: read(certificate)?,
            key: read(key)?,
        })
    }
}

impl fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerTls").finish_non_exhaustive()
    }
}

pub(crate) fn server_config(tls: &PeerTls) -> Result<ServerConfig> {
    let (roots, chain, key) = parse(tls)?;
    let verifier = WebPkiClientVerifier::builder(Arc::new(roots))
        .build()
        .map_err(invalid)?;
    let mut config = rustls::ServerConfig::builder_with_protocol_versions(&[&rustls::version::TLS13])
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(invalid)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(config).map_err(invalid)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

pub(crate) fn client_config(tls: &PeerTls) -> Result<ClientConfig> {
    let (roots, chain, key) = parse(tls)?;
    let mut config = rustls::ClientConfig::builder_with_protocol_versions(&[&rustls::version::TLS13])
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(invalid)?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(config).map_err(invalid)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn parse(tls: &PeerTls) -> Result<(RootCertStore, Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
    // An error means that the provider was installed before.
    let _ = rustls::crypto::ring::default_provider().install_default();
    let mut roots = RootCertStore::empty();
    for authority in certificates(&tls.authority, "authority")? {
        roots.add(authority).map_err(invalid)?;
    }
    let chain = certificates(&tls.certificate, "certificate")?;
    let key = PrivateKeyDer::from_pem_slice(&tls.key).map_err(invalid)?;
    Ok((roots, chain, key))
}

fn certificates(pem: &[u8], what: &str) -> Result<Vec<CertificateDer<'static>>> {
    let certificates: Vec<_> = CertificateDer::pem_slice_iter(pem)
        .collect::<std::result::Result<_, _>>()
        .map_err(invalid)?;
    if certificates.is_empty() {
        let message = format!("the {what} file holds no certificate");
        return Err(Error::msg(ErrorKind::Invalid, "load certificates", message));
    }
    Ok(certificates)
}

fn invalid(error: impl Into<anyhow::Error>) -> Error {
    Error::new(ErrorKind::Invalid, "load certificates", error)
}

fn transport() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(WINDOW))
        .send_window(u64::from(WINDOW))
        .datagram_receive_buffer_size(None);
    config
}

/// The smol runtime of quinn, but with tasks on the kernel's executor instead of the global one.
pub(crate) struct KernelRuntime(Weak<Kernel>);

impl KernelRuntime {
    pub(crate) fn new(kernel: Weak<Kernel>) -> Self {
        Self(kernel)
    }
}

impl fmt::Debug for KernelRuntime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KernelRuntime")
    }
}

impl Runtime for KernelRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        if let Some(kernel) = self.0.upgrade() {
            kernel.spawn(future);
        }
    }

    fn wrap_udp_socket(&self, socket: std::net::UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        let metrics = self.0.upgrade().and_then(|kernel| kernel.find::<Metrics>().ok());
        let traffic = metrics.map(|metrics| metrics.traffic.clone()).unwrap_or_default();
        Ok(Arc::new(CountedSocket::new(socket, traffic)?))
    }
}
