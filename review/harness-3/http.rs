//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// A parameter of the query, decoded; empty if there is none.
    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next().unwrap_or_default()
    }
}

pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok()));
        match code.flatten() {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// What a handler does with a request.
pub enum Answer {
    Reply(u16, Vec<u8>),
    /// Nothing is answered; the connection stays open.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// An address that can be opened and closed.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    open: Mutex<Option<Arc<AtomicBool>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether nothing is carried out or answered: the path is cut without a reset.
    silent: Arc<AtomicBool>,
}

impl Server {
    /// Serves `address`, of which port 0 is replaced by a free one.
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Server {
            address: listener.local_addr()?,
            handler,
            open: Mutex::new(None),
            streams: Arc::default(),
            silent: Arc::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    fn listen(&self, listener: TcpListener) {
        let open = Arc::new(AtomicBool::new(true));
        *self.open.lock().unwrap() = Some(open.clone());
        let (handler, streams, silent) = (self.handler.clone(), self.streams.clone(), self.silent.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if !open.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let (handler, silent) = (handler.clone(), silent.clone());
                std::thread::spawn(move || connection(stream, &handler, &silent));
            }
        });
    }

    /// Lets all requests and answers get lost, or no longer.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Closes all connections, and refuses new ones from now on.
    pub fn close(&self) {
        let Some(open) = self.open.lock().unwrap().take() else { return };
        open.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        std::thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn reopen(&self) {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return self.listen(listener);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("{} can't be bound again", self.address);
    }
}

fn connection(stream: TcpStream, handler: &Handler, silent: &AtomicBool) {
    let Ok(read) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(read), stream);
    while let Some(request) = read_request(&mut reader) {
        if silent.load(Ordering::SeqCst) {
            continue;
        }
        match handler(request) {
            Answer::Reply(..) if silent.load(Ordering::SeqCst) => {}
            Answer::Silence => {}
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut message = head.into_bytes();
                message.extend(body);
                if writer.write_all(&message).is_err() {
                    return;
                }
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim();
        if line.is_empty() {
            return Some((first.trim().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let header = |name: &str| headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
    if header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(body);
            }
            body.extend(&chunk[..length]);
        }
    }
    let mut body = vec![0; header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends a request on a connection of its own. None if no whole answer came within `timeout`.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut message = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        message += &format!("{name}: {value}\r\n");
    }
    message += "\r\n";
    message += body;
    stream.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
