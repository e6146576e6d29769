//! A small HTTP/1.1 server and client on blocking sockets, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;

/// A request as a stand-in sees it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Status and body; none closes the connection without an answer.
pub type Reply = Option<(u16, Vec<u8>)>;

pub fn json(status: u16, body: &Value) -> Reply {
    Some((status, body.to_string().into_bytes()))
}

/// Whether a server is down, and its open connections.
#[derive(Default)]
pub struct Gate {
    down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Gate {
    /// Ends the server like a crash of its process: its connections are closed, and new ones refused.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Lets the server listen again at the same address.
    pub fn start(&self) {
        self.down.store(false, Ordering::SeqCst);
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }
}

/// Serves requests on a free port of `ip`.
pub fn serve(ip: &str, handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    serve_gated(ip, Arc::default(), handler)
}

/// As [`serve`], while the gate is up.
pub fn serve_gated(
    ip: &str,
    gate: Arc<Gate>,
    handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        let mut open = Some(listener);
        loop {
            if gate.is_down() {
                open = None;
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            if open.is_none() {
                open = TcpListener::bind(address).ok();
            }
            let Some(listener) = &open else { continue };
            let _ = listener.set_nonblocking(true);
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                let mut streams = gate.streams.lock().unwrap();
                streams.retain(|stream| stream.peer_addr().is_ok());
                streams.push(copy);
            }
            let handler = handler.clone();
            std::thread::spawn(move || answer_all(stream, handler.as_ref()));
        }
    });
    address
}

fn answer_all(stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(length) if length > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked")
    {
        let mut body = Vec::new();
        loop {
            let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(body);
            }
            body.extend(&chunk[..length]);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(name, value)| (name.to_owned(), decode_percent(value)))
        .collect();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: decode_percent(path),
        query,
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own. Returns status and body, or why there was no answer.
pub fn call(
    address: &str,
    (method, host, path): (&str, &str, &str),
    (key, deadline_ms): (&str, u64),
    body: &[u8],
) -> Result<(u16, Value), String> {
    let address: SocketAddr = address.parse().map_err(|_| "bad address".to_owned())?;
    let fail = |error: std::io::Error| format!("no answer: {error}");
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).map_err(fail)?;
    stream
        .set_read_timeout(Some(Duration::from_millis(deadline_ms)))
        .map_err(fail)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nApi-Key: {key}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes).map_err(fail)?;
    let mut reader = BufReader::new(stream);
    let none = || "no answer: the connection ended or the deadline passed".to_owned();
    let status = read_line(&mut reader).ok_or_else(none)?;
    let status = status
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .ok_or_else(none)?;
    let headers = read_headers(&mut reader).ok_or_else(none)?;
    let body = read_body(&mut reader, &headers).ok_or_else(none)?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
