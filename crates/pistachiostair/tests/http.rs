//! The HTTP server against slow, large and malformed requests, and the client against silent servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::{Method, StatusCode};
use pistachiostair::{
    ErrorKind, HttpCall, HttpClient, HttpHandler, HttpLimits, HttpRefusal, HttpReply, HttpServer, Millis, Ran, Stop,
};

/// Size of the response that the handler gives on `/large`.
const LARGE: usize = 32 * 1024 * 1024;

struct Served {
    executor: Arc<Executor<'static>>,
    address: String,
    open: Arc<AtomicUsize>,
    stop: Stop,
}

fn limits() -> HttpLimits {
    HttpLimits {
        connections: 4,
        head: 8 * 1024,
        body: 1_000,
        read: Millis(300),
        stall: Millis(300),
        age: Millis(60_000),
        ..HttpLimits::default()
    }
}

fn serve() -> Served {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let runner = executor.clone();
    // The thread lives as long as the test process.
    std::thread::spawn(move || future::block_on(runner.run(std::future::pending::<()>())));
    let listener = future::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let handler: HttpHandler = Arc::new(|request| {
        let body = if request.path == "/large" {
            vec![b'x'; LARGE]
        } else {
            request.body.to_vec()
        };
        Box::pin(async move { HttpReply::text(StatusCode::OK, body) })
    });
    let refusal: HttpRefusal = Arc::new(|status, reason| HttpReply::text(status, reason.to_owned()));
    let (open, stop) = (Arc::new(AtomicUsize::new(0)), Stop::new());
    let server = Arc::new(HttpServer {
        executor: executor.clone(),
        limits: limits(),
        handler,
        refusal,
        stop: stop.clone(),
        open: open.clone(),
        memory: Arc::default(),
    });
    executor.spawn(server.serve(listener)).detach();
    Served {
        executor,
        address,
        open,
        stop,
    }
}

/// Sends text and gives what comes back until the server closes or two seconds passed.
async fn exchange(address: &str, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    let read = async {
        let _ = stream.read_to_end(&mut answer).await;
    };
    let lapsed = async {
        async_io::Timer::after(Duration::from_secs(2)).await;
    };
    future::or(read, lapsed).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn await_closed(served: &Served) -> bool {
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        if served.open.load(Ordering::Relaxed) == 0 {
            return true;
        }
        async_io::Timer::after(Duration::from_millis(10)).await;
    }
    false
}

fn call<'a>(path: &'a str, body: &[u8], timeout: u64) -> HttpCall<'a> {
    HttpCall {
        method: Method::POST,
        path,
        headers: &[],
        body: Bytes::copy_from_slice(body),
        timeout: Millis(timeout),
    }
}

/// Guards against memory that grows with the body that a caller sends.
#[test]
fn serve_large_body() {
    let served = serve();
    let client = HttpClient::new(served.executor.clone(), 2, 10_000);
    let answer = future::block_on(client.send(&served.address, call("/", &[b'x'; 1_001], 2_000))).expect("answered");
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    let answer = future::block_on(client.send(&served.address, call("/", &[b'x'; 1_000], 2_000))).expect("answered");
    assert_eq!((answer.status, answer.body.len()), (StatusCode::OK, 1_000));
}

/// Guards against a caller that holds a connection by sending its body a byte at a time, or never.
#[test]
fn serve_slow_sender() {
    let served = serve();
    let text = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\nabc";
    let answer = future::block_on(exchange(&served.address, text));
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(future::block_on(await_closed(&served)), "the connection stays open");
}

/// Guards against a caller that never ends the head of its request.
#[test]
fn serve_slow_head() {
    let served = serve();
    let answer = future::block_on(exchange(&served.address, "GET / HTTP/1.1\r\nhost: a\r\n"));
    assert!(!answer.contains("200 OK"), "{answer}");
    assert!(future::block_on(await_closed(&served)), "the connection stays open");
}

/// Guards against garbage that is taken for a request, or that ends the server.
#[test]
fn serve_garbage() {
    let served = serve();
    let answer = future::block_on(exchange(&served.address, "\x01\x02 not a request\r\n\r\n"));
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    let client = HttpClient::new(served.executor.clone(), 2, 10_000);
    let answer = future::block_on(client.send(&served.address, call("/", b"ok", 2_000))).expect("answered");
    assert_eq!(answer.status, StatusCode::OK);
}

/// Guards against a response that stays in memory because its caller stopped reading.
#[test]
fn serve_slow_reader() {
    let served = serve();
    let mut stream = future::block_on(TcpStream::connect(&served.address)).expect("connect");
    future::block_on(stream.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")).expect("write");
    assert!(future::block_on(await_closed(&served)), "the connection stays open");
}

/// Guards against more connections than the limit, each with buffers of its own.
#[test]
fn serve_many_connections() {
    let served = serve();
    let streams: Vec<TcpStream> = (0..8)
        .map(|_| future::block_on(TcpStream::connect(&served.address)).expect("connect"))
        .collect();
    std::thread::sleep(Duration::from_millis(100));
    assert!(served.open.load(Ordering::Relaxed) <= limits().connections);
    drop(streams);
}

/// Guards against a graceful stop that cuts a request in progress.
#[test]
fn stop_answers_running() {
    let served = serve();
    let text = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab";
    let mut stream = future::block_on(TcpStream::connect(&served.address)).expect("connect");
    future::block_on(stream.write_all(text.as_bytes())).expect("write");
    std::thread::sleep(Duration::from_millis(50));
    served.stop.raise();
    future::block_on(stream.write_all(b"cde")).expect("write");
    let mut answer = Vec::new();
    future::block_on(stream.read_to_end(&mut answer)).expect("read");
    let answer = String::from_utf8_lossy(&answer);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.ends_with("abcde"),
        "{answer}"
    );
}

/// Guards against a silent server whose outcome is told as "did not run".
#[test]
fn send_silent_server() {
    let served = serve();
    let listener = future::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let client = HttpClient::new(served.executor.clone(), 2, 10_000);
    let error = future::block_on(client.send(&address, call("/", b"x", 200))).expect_err("no answer");
    assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::Unknown));
    let error = future::block_on(client.send("127.0.0.1:1", call("/", b"x", 200))).expect_err("refused");
    assert_eq!((error.kind, error.ran), (ErrorKind::Unavailable, Ran::No));
}
