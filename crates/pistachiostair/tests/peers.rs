//! Links between daemons over loopback, with certificates made for each test.

mod authority;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Timer, block_on};
use authority::Authority;
use pistachiostair::{
    DaemonName, ErrorKind, Kernel, LinkSettings, MAX_MESSAGE, Millis, PeerHandler, PeerReport, PeerTls, Peers, Ran,
    Request, Response, Revision,
};

/// A kernel whose executor runs on a thread until it is dropped.
struct Daemon {
    kernel: Arc<Kernel>,
    peers: Arc<Peers>,
    refused: Arc<AtomicUsize>,
    _stop: async_channel::Sender<()>,
}

impl Daemon {
    fn start(name: &str, tls: PeerTls, handler: PeerHandler) -> Self {
        let refused = Arc::new(AtomicUsize::new(0));
        let count = refused.clone();
        let report: PeerReport = Arc::new(move |_, error| {
            assert_eq!(error.kind, ErrorKind::Refused);
            count.fetch_add(1, Ordering::SeqCst);
        });
        Self {
            refused,
            ..Self::start_reporting(name, tls, handler, Some(report))
        }
    }

    fn start_reporting(name: &str, tls: PeerTls, handler: PeerHandler, report: Option<PeerReport>) -> Self {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let runner = executor.clone();
        std::thread::spawn(move || block_on(runner.run(stopped.recv())));
        let kernel = Kernel::new(executor);
        let settings = LinkSettings {
            name: DaemonName::from(name),
            listen: "127.0.0.1:0".parse().unwrap(),
            tls,
            refused: report,
        };
        let peers = Peers::start(&kernel, settings, handler).unwrap();
        kernel.register(peers.clone()).unwrap();
        Self {
            kernel,
            peers,
            refused: Arc::default(),
            _stop: stop,
        }
    }

    fn address(&self) -> String {
        self.peers.local_address().unwrap().to_string()
    }

    fn call(&self, address: &str, request: Request, timeout: u64) -> pistachiostair::Result<Response> {
        block_on(self.peers.call(address, request, Millis(timeout)))
    }
}

fn policy(revision: u64, length: usize) -> Request {
    Request::Policy {
        revision: Revision(revision),
        document: "x".repeat(length),
    }
}

/// Returns the document of a policy, after as many milliseconds as its revision says.
fn echo() -> PeerHandler {
    Arc::new(|envelope| {
        Box::pin(async move {
            match envelope.request {
                Request::Policy { revision, document } => {
                    Timer::after(Duration::from_millis(revision.0)).await;
                    Response::Policy { revision, document }
                }
                _ => Response::Ack,
            }
        })
    })
}

fn pair() -> (Daemon, Daemon, Authority) {
    let authority = Authority::new();
    let server = Daemon::start("b", authority.tls(), echo());
    (Daemon::start("a", authority.tls(), echo()), server, authority)
}

/// Guards against responses that reach the wrong caller, and against one connection for each caller.
#[test]
fn call_concurrent_echo() {
    let (client, server, _) = pair();
    let calls = (0..40).map(|number| {
        let (peers, address) = (client.peers.clone(), server.address());
        let length = if number == 7 { MAX_MESSAGE - 1_000 } else { number };
        std::thread::spawn(move || {
            // Later calls end first.
            let request = policy(40 - number as u64, length);
            match block_on(peers.call(&address, request, Millis(5_000))).unwrap() {
                Response::Policy { document, .. } => assert_eq!(document.len(), length),
                other => panic!("{other:?}"),
            }
        })
    });
    let calls: Vec<_> = calls.collect();
    calls.into_iter().for_each(|call| call.join().unwrap());
    assert_eq!(server.peers.connections(), 1);
}

/// Guards against a foreign daemon being let in, and against an unsent request reported as possibly run.
#[test]
fn call_wrong_authority() {
    let (_client, server, authority) = pair();
    let foreign = Authority::new();
    let mut trusting = foreign.tls();
    trusting.authority = authority.pem.into_bytes();
    let strangers = [foreign.tls(), trusting].map(|tls| Daemon::start("x", tls, echo()));
    for stranger in &strangers {
        let error = stranger.call(&server.address(), Request::GetPolicy, 2_000).unwrap_err();
        assert_eq!((error.kind, error.ran), (ErrorKind::Refused, Ran::No), "{error}");
    }
    // The server learns of a certificate that the client refused one packet later than the client.
    let start = Instant::now();
    while server.refused.load(Ordering::SeqCst) < 2 && start.elapsed() < Duration::from_secs(2) {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(server.refused.load(Ordering::SeqCst), 2);
}

/// Guards against an over-long request that is sent, or cut.
#[test]
fn call_oversize() {
    let (client, server, _) = pair();
    let error = client
        .call(&server.address(), policy(1, MAX_MESSAGE), 2_000)
        .unwrap_err();
    assert_eq!((error.kind, error.ran), (ErrorKind::Invalid, Ran::No));
}

/// Guards against a claimed length that makes the daemon read or allocate more than its limit: the
/// response arrives though no byte of the body was sent.
#[test]
fn answer_oversize_unread() {
    let (_client, server, authority) = pair();
    let length = (MAX_MESSAGE as u32 + 1).to_be_bytes();
    match raw_call(&server, &authority, &length) {
        Response::Failed(failure) => assert_eq!((failure.kind, failure.ran), (ErrorKind::Invalid, Ran::No)),
        other => panic!("{other:?}"),
    }
}

/// Guards against daemons of two releases that can't talk to each other.
#[test]
fn answer_unknown_fields() {
    let (_client, server, authority) = pair();
    let envelope = serde_json::json!({
        "version": 9, "from": "z", "timeout": 1000, "later": {"a": [1, null]},
        "request": {"policy": {"revision": 1, "document": "d", "signature": [1, 2]}},
    });
    let body = rmp_serde::to_vec_named(&envelope).unwrap();
    let frame = [&(body.len() as u32).to_be_bytes()[..], &body].concat();
    let expected = Response::Policy {
        revision: Revision(1),
        document: "d".to_owned(),
    };
    assert_eq!(raw_call(&server, &authority, &frame), expected);
}

/// Guards against a link that stays unusable after a device on the path lost its state, and against a
/// lost request reported as not run.
#[test]
fn call_silent_link() {
    let (client, server, _) = pair();
    let relay = Relay::start(server.peers.local_address().unwrap());
    let address = relay.address.to_string();
    client.call(&address, policy(1, 1), 2_000).unwrap();
    relay.silence();
    let error = client.call(&address, policy(1, 1), 300).unwrap_err();
    assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::Unknown));
    let start = Instant::now();
    client.call(&address, policy(1, 1), 2_000).unwrap();
    // Less than the idle timeout, which would also end the silent connection.
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    assert_eq!(relay.flows.lock().unwrap().len(), 2);
}

/// Guards against a slow request that breaks the other requests on its connection.
#[test]
fn call_slow_peer() {
    let (client, server, _) = pair();
    let address = server.address();
    client.call(&address, policy(1, 1), 2_000).unwrap();
    let (peers, target) = (client.peers.clone(), address.clone());
    let other = std::thread::spawn(move || block_on(peers.call(&target, policy(1_500, 2), Millis(3_000))));
    std::thread::sleep(Duration::from_millis(100));
    let error = client.call(&address, policy(5_000, 1), 200).unwrap_err();
    assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::Unknown));
    client.call(&address, policy(1, 1), 1_000).unwrap();
    other.join().unwrap().unwrap();
}

/// Guards against a handshake that restarts with each call because it takes longer than a call may.
#[test]
fn call_slow_handshake() {
    let (client, server, _) = pair();
    let relay = Relay::delayed(server.peers.local_address().unwrap(), Duration::from_millis(900));
    let address = relay.address.to_string();
    let error = client.call(&address, policy(1, 1), 700).unwrap_err();
    assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::No));
    client.call(&address, policy(1, 1), 700).unwrap();
    assert_eq!(relay.flows.lock().unwrap().len(), 1);
}

/// Guards against a new connection for each call to a peer that answers late.
#[test]
fn call_slow_handler() {
    let (client, server, _) = pair();
    let relay = Relay::start(server.peers.local_address().unwrap());
    let address = relay.address.to_string();
    for _ in 0..3 {
        let error = client.call(&address, policy(5_000, 1), 300).unwrap_err();
        assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::Unknown));
    }
    client.call(&address, policy(1, 1), 1_000).unwrap();
    assert_eq!(relay.flows.lock().unwrap().len(), 1);
}

/// Guards against a new connection after calls that end before a live peer acknowledges them.
#[test]
fn call_short_timeout() {
    let (client, server, _) = pair();
    let relay = Relay::start(server.peers.local_address().unwrap());
    let address = relay.address.to_string();
    client.call(&address, policy(1, 1), 2_000).unwrap();
    for _ in 0..5 {
        client.call(&address, policy(5_000, 1), 5).unwrap_err();
    }
    client.call(&address, policy(1, 1), 1_000).unwrap();
    assert_eq!(relay.flows.lock().unwrap().len(), 1);
}

/// Guards against a stop that cuts off running requests, and one that never ends.
#[test]
fn stop_after_running() {
    let (client, server, _) = pair();
    let address = server.address();
    client.call(&address, policy(1, 1), 2_000).unwrap();
    let (peers, target) = (client.peers.clone(), address.clone());
    let running = std::thread::spawn(move || block_on(peers.call(&target, policy(500, 2), Millis(3_000))));
    std::thread::sleep(Duration::from_millis(100));
    let kernel = server.kernel.clone();
    let stop = std::thread::spawn(move || block_on(kernel.stop()));
    std::thread::sleep(Duration::from_millis(100));
    match client.call(&address, policy(1, 1), 1_000).unwrap() {
        Response::Failed(failure) => assert_eq!((failure.kind, failure.ran), (ErrorKind::Unavailable, Ran::No)),
        other => panic!("{other:?}"),
    }
    assert!(matches!(running.join().unwrap(), Ok(Response::Policy { .. })));
    stop.join().unwrap();
    let error = client.call(&address, policy(1, 1), 1_000).unwrap_err();
    assert_eq!((error.kind, error.ran), (ErrorKind::Unavailable, Ran::No), "{error}");
}

/// Sends bytes as they are on a stream and reads the response.
fn raw_call(server: &Daemon, authority: &Authority, frame: &[u8]) -> Response {
    use rustls::pki_types::pem::PemObject;
    use rustls::pki_types::{CertificateDer, PrivateKeyDer};
    let tls = authority.tls();
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(&tls.authority).unwrap())
        .unwrap();
    let chain = vec![CertificateDer::from_pem_slice(&tls.certificate).unwrap()];
    let key = PrivateKeyDer::from_pem_slice(&tls.key).unwrap();
    let mut crypto = rustls::ClientConfig::builder()
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .unwrap();
    crypto.alpn_protocols = vec![b"pistachiostair/1".to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(crypto).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let endpoint = quinn::Endpoint::new(Default::default(), None, socket, Arc::new(quinn::SmolRuntime)).unwrap();
    let target = server.peers.local_address().unwrap();
    block_on(async {
        let config = quinn::ClientConfig::new(Arc::new(crypto));
        let connection = endpoint
            .connect_with(config, target, "pistachiostair")
            .unwrap()
            .await
            .unwrap();
        let (mut send, mut recv) = connection.open_bi().await.unwrap();
        send.write_all(frame).await.unwrap();
        let body = recv.read_to_end(MAX_MESSAGE).await.unwrap();
        rmp_serde::from_slice(&body[4..]).unwrap()
    })
}

/// Forwards datagrams; flows that exist when it is silenced are dropped from then on, in both directions.
struct Relay {
    address: SocketAddr,
    flows: Arc<Mutex<BTreeMap<SocketAddr, Flow>>>,
    ended: Arc<AtomicBool>,
}

struct Flow {
    upstream: Arc<UdpSocket>,
    silent: Arc<AtomicBool>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        Self::delayed(target, Duration::ZERO)
    }

    /// Forwards nothing to the client until `delay` after the first packet of its flow.
    fn delayed(target: SocketAddr, delay: Duration) -> Self {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let relay = Self {
            address: socket.local_addr().unwrap(),
            flows: Arc::default(),
            ended: Arc::default(),
        };
        let (flows, ended) = (relay.flows.clone(), relay.ended.clone());
        std::thread::spawn(move || {
            let mut packet = [0; 65_536];
            while !ended.load(Ordering::SeqCst) {
                let Ok((length, client)) = socket.recv_from(&mut packet) else {
                    continue;
                };
                let mut flows = flows.lock().unwrap();
                let flow = flows
                    .entry(client)
                    .or_insert_with(|| Flow::start(socket.clone(), client, target, delay, ended.clone()));
                if !flow.silent.load(Ordering::SeqCst) {
                    flow.upstream.send(&packet[..length]).unwrap();
                }
            }
        });
        relay
    }

    fn silence(&self) {
        for flow in self.flows.lock().unwrap().values() {
            flow.silent.store(true, Ordering::SeqCst);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

impl Flow {
    fn start(
        back: Arc<UdpSocket>,
        client: SocketAddr,
        target: SocketAddr,
        delay: Duration,
        ended: Arc<AtomicBool>,
    ) -> Self {
        let upstream = Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        upstream.connect(target).unwrap();
        upstream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let flow = Self {
            upstream: upstream.clone(),
            silent: Arc::default(),
        };
        let silent = flow.silent.clone();
        std::thread::spawn(move || {
            let mut packet = [0; 65_536];
            std::thread::sleep(delay);
            while !ended.load(Ordering::SeqCst) {
                match upstream.recv(&mut packet) {
                    Ok(length) if !silent.load(Ordering::SeqCst) => {
                        back.send_to(&packet[..length], client).unwrap();
                    }
                    _ => {}
                }
            }
        });
        flow
    }
}

/// Passes datagrams on to `target` and none back. Returns the address that takes them.
fn one_way(target: &str) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let (address, target) = (socket.local_addr().unwrap(), target.to_owned());
    socket.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    std::thread::spawn(move || {
        let output = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut datagram = [0; 2_048];
        while let Ok(length) = socket.recv(&mut datagram) {
            output.send_to(&datagram[..length], &target).unwrap();
        }
    });
    address.to_string()
}

/// Guards against the memory of a daemon that more peers connect to than it can serve, all of whose handshakes then time
/// out.
#[test]
fn accept_many_handshakes() {
    const STORM: usize = 32;
    const MAX_OPEN: usize = 8;
    let authority = Authority::new();
    let server = Daemon::start_reporting("b", authority.tls(), echo(), None);
    let client = Daemon::start("a", authority.tls(), echo());
    // A peer gives up 1 s after it began, so that until then none of these connections is closing.
    let closing = Instant::now() + Duration::from_millis(900);
    let calls: Vec<_> = (0..STORM)
        .map(|_| {
            let (peers, address) = (client.peers.clone(), one_way(&server.address()));
            std::thread::spawn(move || block_on(peers.call(&address, policy(0, 1), Millis(1_500))).is_err())
        })
        .collect();
    let (mut most, mut any) = (0, false);
    while calls.iter().any(|call| !call.is_finished()) {
        let open = server.peers.connections();
        any |= open > 0;
        if Instant::now() < closing {
            most = most.max(open);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(calls.into_iter().all(|call| call.join().unwrap()));
    assert!(any && most <= MAX_OPEN, "{most} connections at once");
    // A peer that can be reached gets through as soon as the others have given up.
    let response = client.call(&server.address(), policy(1, 1), 3_000);
    assert!(response.is_ok(), "{response:?}");
}
