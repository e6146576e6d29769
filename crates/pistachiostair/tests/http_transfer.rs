//! Requests over links that are slow, or that fall silent half way.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::Method;
use pistachiostair::{ErrorKind, HttpAnswer, HttpCall, HttpClient, Millis, Ran, Result};
use rstest::rstest;
use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Bytes of a body, several times what a link moves within [`TIMEOUT`].
const BODY: usize = 2 * 1024 * 1024;
/// Bytes that the link moves at once, and the pause after them: 1 MB a second.
const PART: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(62);
/// Longest time without progress.
const TIMEOUT: u64 = 250;

/// What the simulated server does with a connection.
#[derive(Clone, Copy, Debug)]
enum Link {
    /// Sends a large body at the pace of the link.
    Download,
    /// Sends the head and this many parts of a large body, and then nothing more.
    Stalls(usize),
    /// Reads a large body at the pace of the link and answers after its end.
    Upload,
    /// Reads the head of a large body and nothing of the rest.
    Deaf,
    /// As [`Link::Download`] for requests of `/large`; answers others after so many milliseconds, or never.
    Shared(Option<u64>),
}

/// Starts a server and returns a client and the address.
fn start(link: Link) -> (HttpClient, String) {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let runner = executor.clone();
    // The thread lives as long as the test process.
    std::thread::spawn(move || future::block_on(runner.run(future::pending::<()>())));
    let listener = future::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
    // The kernel would otherwise take megabytes that the server has not read, which a link doesn't.
    set_socket_recv_buffer_size(&listener, PART / 4).expect("a buffer size");
    let address = listener.local_addr().expect("address").to_string();
    let server = executor.clone();
    executor
        .spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Fails once the client gives up and closes the connection.
                server.spawn(async move { drop(serve(link, stream).await) }).detach();
            }
        })
        .detach();
    (HttpClient::new(executor, 2, 2 * BODY), address)
}

/// Sends the head of a response with a large body, and this many parts of the body at the pace of the link.
async fn send_body(stream: &mut TcpStream, parts: usize) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..parts {
        stream.write_all(&[b'x'; PART]).await?;
        Timer::after(PAUSE).await;
    }
    Ok(())
}

async fn serve(link: Link, mut stream: TcpStream) -> std::io::Result<()> {
    let mut buffer = vec![0; PART];
    match link {
        Link::Download | Link::Stalls(_) => {
            let parts = match link {
                Link::Stalls(parts) => parts,
                _ => BODY / PART,
            };
            let _ = stream.read(&mut buffer).await?;
            send_body(&mut stream, parts).await?;
            future::pending().await
        }
        Link::Upload => {
            for _ in 0..BODY / PART {
                stream.read_exact(&mut buffer).await?;
                Timer::after(PAUSE).await;
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await
        }
        Link::Deaf => {
            let _ = stream.read(&mut buffer[..512]).await?;
            future::pending().await
        }
        Link::Shared(delay) => {
            let read = stream.read(&mut buffer).await?;
            if buffer[..read].starts_with(b"GET /large") {
                return send_body(&mut stream, BODY / PART).await;
            }
            match delay {
                Some(delay) => Timer::after(Duration::from_millis(delay)).await,
                None => future::pending().await,
            };
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await
        }
    }
}

fn call(path: &str, body: usize) -> HttpCall<'_> {
    HttpCall {
        method: if body == 0 { Method::GET } else { Method::PUT },
        path,
        headers: &[],
        body: Bytes::from(vec![b'x'; body]),
        timeout: Millis(TIMEOUT),
    }
}

fn transfer(client: &HttpClient, address: &str, body: usize) -> (Result<HttpAnswer>, Duration) {
    let begun = Instant::now();
    let answer = future::block_on(client.transfer(address, call("/", body)));
    (answer, begun.elapsed())
}

/// Guards against a body that is given up although it arrives: its size and the link decide how long it takes.
#[rstest]
#[case::download(Link::Download, 0, BODY)]
#[case::upload(Link::Upload, BODY, 0)]
fn transfer_slow_link(#[case] link: Link, #[case] sent: usize, #[case] received: usize) {
    let (client, address) = start(link);
    let (answer, took) = transfer(&client, &address, sent);
    assert_eq!(answer.expect("the whole body arrives").body.len(), received);
    assert!(
        took > Duration::from_millis(4 * TIMEOUT),
        "the link is not slow: {took:?}"
    );
}

/// Guards against a request that is given up because another one's large body takes up the link, and against one on a
/// silent connection that hides behind it for good.
#[rstest]
#[case::answered(Link::Shared(Some(500)), true)]
#[case::silent(Link::Shared(None), false)]
fn transfer_busy_link(#[case] link: Link, #[case] answers: bool) {
    let (client, address) = start(link);
    let large = async { client.transfer(&address, call("/large", 0)).await };
    let small = async {
        Timer::after(Duration::from_millis(100)).await;
        let begun = Instant::now();
        (client.transfer(&address, call("/", 0)).await, begun.elapsed())
    };
    let (large, (small, took)) = future::block_on(future::zip(large, small));
    assert_eq!(large.expect("the large body arrives").body.len(), BODY);
    assert_eq!(small.is_ok(), answers, "{small:?} after {took:?}");
    assert!(
        took > Duration::from_millis(TIMEOUT) && took < Duration::from_millis(6 * TIMEOUT),
        "{took:?}"
    );
}

/// Guards against waiting on a connection that has fallen silent, at whatever point of the request.
#[rstest]
#[case::no_head(Link::Deaf, 0)]
#[case::no_body(Link::Stalls(0), 0)]
#[case::half_body(Link::Stalls(8), 0)]
#[case::half_upload(Link::Deaf, BODY)]
fn transfer_silent(#[case] link: Link, #[case] sent: usize) {
    let (client, address) = start(link);
    let (answer, took) = transfer(&client, &address, sent);
    let error = answer.expect_err("no whole answer");
    assert_eq!((error.kind, error.ran), (ErrorKind::Timeout, Ran::Unknown));
    assert!(took < Duration::from_millis(2_000), "given up only after {took:?}");
}

/// Guards against a large body, such as a snapshot, that fills the link of a small daemon, so that renewals of its lease
/// come too late, and against its being given up because it is sent slowly.
#[test]
fn upload_paced() {
    const RATE: usize = 700;
    let (client, address) = start(Link::Upload);
    let (answer, took) = transfer(&client.with_upload_rate(RATE), &address, BODY);
    answer.expect("the whole body arrives");
    // The link alone takes two thirds of it.
    let paced = Duration::from_millis((BODY / RATE) as u64);
    assert!(took > paced * 9 / 10, "{took:?}");
}
