//! The reader of requests against drawn splits, chunks, lengths and early ends. More cases than in CI:
//! `PISTACHIOSTAIR_FUZZ_CASES=20000 cargo test -p pistachiostair --test request_reader`.

use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::StatusCode;
use pistachiostair::{
    ClientMemory, HttpHandler, HttpLimits, HttpReply, HttpServer, Metrics, Millis, Stop, client_connections,
};
use proptest::prelude::*;

/// Limit of a body in bytes.
const BODY: usize = 2_000;
/// Limit of a head in bytes: the least that hyper takes.
const HEAD: usize = 8_192;
/// Budget in bytes: some connections with their bodies.
const BUDGET: usize = 512 * 1024;
/// Cases in CI.
const CASES: u32 = 200;

/// How a body is sent.
#[derive(Clone, Debug)]
enum Framing {
    Length,
    /// Chunks of these sizes in turn, each with the extension, and then trailers.
    Chunks(Vec<usize>, &'static str, &'static str),
    /// Chunks, and a length besides.
    Both(usize),
}

impl Framing {
    /// Whether hyper may refuse a legal body because of how it is sent: both kinds at once, or more than its 16 KiB of
    /// extensions.
    fn may_be_refused(&self, body: usize) -> bool {
        match self {
            Self::Length => false,
            Self::Chunks(sizes, extension, _) => {
                let rounds = body / sizes.iter().sum::<usize>() + 1;
                (rounds * sizes.len() + 1) * extension.len() > 16 * 1024
            }
            Self::Both(_) => true,
        }
    }
}

#[derive(Clone, Debug)]
struct Drawn {
    /// Length of the body.
    body: usize,
    /// Length of a header that serves no purpose.
    padding: usize,
    framing: Framing,
}

/// A request as the handler saw it.
type Seen = (String, Vec<u8>);

struct Served {
    address: String,
    memory: Arc<ClientMemory>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

static SERVED: LazyLock<Served> = LazyLock::new(serve);

fn serve() -> Served {
    let executor: Arc<Executor<'static>> = Arc::new(Executor::new());
    let runner = executor.clone();
    std::thread::spawn(move || future::block_on(runner.run(std::future::pending::<()>())));
    let listener = future::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let metrics = Metrics::new().expect("metrics");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let connections = client_connections(None, 0);
    let memory = Arc::new(ClientMemory::new(BUDGET, connections, metrics.clients.clone(), log));
    let (record, budget) = (seen.clone(), memory.clone());
    let handler: HttpHandler = Arc::new(move |request| {
        assert!(budget.held() <= BUDGET, "{} bytes are held", budget.held());
        let body = request.body.to_vec();
        record.lock().expect("record lock").push((request.path, body));
        Box::pin(async { HttpReply::text(StatusCode::OK, "") })
    });
    let server = HttpServer {
        executor: executor.clone(),
        limits: HttpLimits {
            head: HEAD,
            body: BODY,
            read: Millis(5_000),
            ..HttpLimits::default()
        },
        handler,
        refusal: Arc::new(|status, reason| HttpReply::text(status, reason.to_owned())),
        stop: Stop::new(),
        open: Arc::default(),
        memory: memory.clone(),
    };
    executor.spawn(Arc::new(server).serve(listener)).detach();
    Served { address, memory, seen }
}

/// A body whose bytes would be a request of their own to a reader that loses its place.
fn body(length: usize) -> Vec<u8> {
    b"\r\n0\r\n\r\nPOST /smuggled HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
        .iter()
        .copied()
        .cycle()
        .take(length)
        .collect()
}

fn encode(index: usize, drawn: &Drawn, last: bool) -> Vec<u8> {
    let body = body(drawn.body);
    let close = if last { "connection: close\r\n" } else { "" };
    let padding = "p".repeat(drawn.padding);
    let mut bytes = format!("POST /{index} HTTP/1.1\r\nhost: a\r\n{close}x-padding: {padding}\r\n").into_bytes();
    let (sizes, extension, trailers) = match &drawn.framing {
        Framing::Length => {
            bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
            bytes.extend(&body);
            return bytes;
        }
        Framing::Chunks(sizes, extension, trailers) => (sizes.clone(), *extension, *trailers),
        Framing::Both(length) => {
            bytes.extend(format!("content-length: {length}\r\n").bytes());
            (vec![100], "", "")
        }
    };
    bytes.extend(b"transfer-encoding: chunked\r\n\r\n");
    let mut rest = &body[..];
    for size in sizes.iter().cycle() {
        let (part, left) = rest.split_at((*size).min(rest.len()));
        if part.is_empty() {
            break;
        }
        bytes.extend(format!("{:x}{extension}\r\n", part.len()).bytes());
        bytes.extend(part);
        bytes.extend(b"\r\n");
        rest = left;
    }
    bytes.extend(format!("0{extension}\r\n{trailers}\r\n").bytes());
    bytes
}

fn drawn() -> impl Strategy<Value = Drawn> {
    let length = prop_oneof![0..20_usize, 0..=BODY, BODY - 2..BODY + 3, BODY..3 * BODY];
    let sizes = proptest::collection::vec(prop_oneof![Just(1_usize), 1..64_usize, 1..5_000_usize], 1..4);
    let extension = prop_oneof![Just(""), Just(";a=b"), Just(";name=\"quoted\"")];
    let trailers = prop_oneof![Just(""), Just("x-sum: 1\r\n"), Just("content-length: 7\r\n")];
    let framing = prop_oneof![
        Just(Framing::Length),
        (sizes, extension, trailers)
            .prop_map(|(sizes, extension, trailers)| Framing::Chunks(sizes, extension, trailers)),
        (0..50_usize).prop_map(Framing::Both),
    ];
    let padding = prop_oneof![4 => 0..200_usize, 1 => 0..2 * HEAD];
    (length, padding, framing).prop_map(|(body, padding, framing)| Drawn { body, padding, framing })
}

/// Sends the bytes in pieces and reads until the server closes the connection. Ends it after the bytes if `early`.
async fn exchange(bytes: &[u8], splits: &[usize], early: bool) {
    let mut stream = TcpStream::connect(&SERVED.address).await.expect("connect");
    let (mut reader, mut rest) = (stream.clone(), bytes);
    let write = async {
        let mut splits = splits.iter().cycle();
        while !rest.is_empty() {
            let size = splits.next().map_or(rest.len(), |size| (*size).min(rest.len()));
            // The server closes the connection after a request that it refuses.
            if stream.write_all(&rest[..size]).await.is_err() {
                break;
            }
            rest = &rest[size..];
            future::yield_now().await;
        }
        if early {
            let _ = stream.shutdown(std::net::Shutdown::Write);
        }
    };
    let read = async {
        let mut answers = Vec::new();
        let _ = reader.read_to_end(&mut answers).await;
    };
    let lapsed = async {
        Timer::after(Duration::from_secs(20)).await;
        panic!("the server neither answers nor closes the connection");
    };
    future::or(
        async {
            future::zip(write, read).await;
        },
        lapsed,
    )
    .await;
}

fn config() -> ProptestConfig {
    let cases = std::env::var("PISTACHIOSTAIR_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases.unwrap_or(CASES))
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a reader that takes a part of a body for a request, joins bodies of two, passes on one that is too
    /// long or has not ended, or holds memory of connections that have ended.
    #[test]
    fn read_drawn_requests(
        requests in proptest::collection::vec(drawn(), 1..4),
        splits in proptest::collection::vec(prop_oneof![1..8_usize, 1..3_000_usize], 1..6),
        cut in proptest::option::of(1..400_usize),
    ) {
        let count = requests.len();
        let mut bytes = Vec::new();
        let mut ends = Vec::new();
        for (index, drawn) in requests.iter().enumerate() {
            bytes.extend(encode(index, drawn, index + 1 == count));
            ends.push(bytes.len());
        }
        let sent = bytes.len().saturating_sub(cut.unwrap_or(0)).max(1);
        bytes.truncate(sent);
        SERVED.seen.lock().expect("record lock").clear();
        future::block_on(exchange(&bytes, &splits, cut.is_some()));
        let until = Instant::now() + Duration::from_secs(10);
        while SERVED.memory.held() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
        prop_assert_eq!(SERVED.memory.held(), 0, "memory of a closed connection is held");
        let seen = std::mem::take(&mut *SERVED.seen.lock().expect("record lock"));
        let mut seen = seen.into_iter();
        // hyper ends the connection after a request with both, and drops a request that is complete but not yet passed on
        // if the client ends the connection.
        let mut may_end = cut.is_some();
        for (index, drawn) in requests.iter().enumerate() {
            let complete = ends[index] <= sent;
            let may_be_refused = drawn.padding > HEAD / 2 || drawn.framing.may_be_refused(drawn.body);
            let Some(request) = seen.next() else {
                let refused = !complete || drawn.body > BODY || may_be_refused || may_end;
                prop_assert!(refused, "request {} was not passed on", index);
                break;
            };
            prop_assert!(complete && drawn.body <= BODY, "request {} was passed on", index);
            may_end |= matches!(drawn.framing, Framing::Both(_));
            prop_assert_eq!(request, (format!("/{index}"), body(drawn.body)));
        }
        prop_assert_eq!(seen.next(), None);
    }
}
