//! Clients that hold a daemon's memory and descriptors: they send what they are told to, and never read.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Pause between two rounds of writes to all connections.
const ROUND: Duration = Duration::from_millis(5);

/// Clients of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Crowd {
    pub(crate) clients: usize,
    /// What each of them sends, as far as the daemon takes it.
    pub(crate) bytes: Arc<[u8]>,
}

impl Crowd {
    pub(crate) fn new(clients: usize, bytes: Vec<u8>) -> Self {
        Self {
            clients,
            bytes: bytes.into(),
        }
    }
}

/// A request with a body of known length, of which the last `missing` bytes are not sent.
pub(crate) fn sized(path: &str, length: usize, missing: usize) -> Vec<u8> {
    let mut bytes =
        format!("POST {path} HTTP/1.1\r\nhost: orders.example\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length - missing, b'x');
    bytes
}

/// A request with a body in chunks of `size` bytes that ends before the last chunk.
pub(crate) fn chunked(path: &str, length: usize, size: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: orders.example\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let mut bytes = head.into_bytes();
    bytes.extend(chunk.repeat(length / size).into_bytes());
    bytes
}

/// A head of `length` bytes that does not end.
pub(crate) fn endless_head(path: &str, length: usize) -> Vec<u8> {
    let mut bytes = format!("GET {path} HTTP/1.1\r\nhost: orders.example\r\n").into_bytes();
    while bytes.len() < length {
        bytes.extend(format!("x-{}: {}\r\n", bytes.len(), "y".repeat(400)).into_bytes());
    }
    bytes.truncate(length);
    bytes
}

/// Reads, sent without a wait for the answers.
pub(crate) fn reads(path: &str, count: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: orders.example\r\napi-key: key-of-court\r\n\r\n")
        .repeat(count)
        .into_bytes()
}

/// Connects all clients and sends until `end` is raised; then closes the connections.
pub(crate) fn press(address: SocketAddr, crowds: &[Crowd], end: &AtomicBool) {
    let mut open: Vec<(TcpStream, Arc<[u8]>, usize)> = Vec::new();
    let most = crowds.iter().map(|crowd| crowd.clients).max().unwrap_or(0);
    for index in 0..most {
        for crowd in crowds.iter().filter(|crowd| index < crowd.clients) {
            // A daemon may refuse connections under pressure.
            if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) {
                let _ = stream.set_nonblocking(true);
                open.push((stream, crowd.bytes.clone(), 0));
            }
        }
        if index % 50 == 49 {
            write_some(&mut open);
        }
        if end.load(Ordering::Relaxed) {
            return;
        }
    }
    while !end.load(Ordering::Relaxed) {
        write_some(&mut open);
        std::thread::sleep(ROUND);
    }
}

/// Sends what the sockets take. A connection that the daemon has closed stays in the list and takes nothing.
fn write_some(open: &mut [(TcpStream, Arc<[u8]>, usize)]) {
    for (stream, bytes, sent) in open {
        while *sent < bytes.len() {
            match stream.write(&bytes[*sent..]) {
                Ok(written) => *sent += written,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => *sent = bytes.len(),
            }
        }
    }
}

/// Sends one request with `connection: close` and returns the status of its answer.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .expect("a timeout");
    stream.write_all(bytes).expect("the request is taken");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.split(' ').nth(1).unwrap_or(&answer).to_owned()
}
