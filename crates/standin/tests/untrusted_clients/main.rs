//! Untrusted clients: a daemon stays within its memory and descriptors whatever they send, and serves others after them.
//!
//! Bounds: the smallest machine has 120 MB. The daemon itself takes up to 65 MB on a busy day, and 15 MB are margin, which
//! leaves 40 MB for what clients make it hold. [`ALLOWANCE`] covers what a debug build and the allocator add. Crowds are
//! scaled so that they hold about 100 MB on a daemon without such a budget.

mod crowd;
mod usage;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::json;
use standin::{Bench, Fleet, Setup, URGENT};

use crowd::{Crowd, chunked, endless_head, exchange, press, reads, sized};
use usage::Usage;

/// Memory that clients may make a daemon hold, in bytes.
const BUDGET: u64 = 40 << 20;
/// Memory beyond the idle daemon's and the budget, in bytes: freed memory that the allocator keeps, and a debug build.
const ALLOWANCE: u64 = 16 << 20;
/// Descriptors of a daemon on the smallest machine, in its settings.
const NODE_FILES: usize = 1_000;
/// Descriptors of `pistachiostaird`: the default of `limits.connections`, and room for peers, workers and the store.
const DAEMON_FILES: usize = 2_000 + 200;
/// Time for which a crowd holds its connections.
const HOLD: Duration = Duration::from_secs(6);
/// Interval between two looks at a daemon's usage.
const LOOK: Duration = Duration::from_millis(50);
/// Time within which an ordinary request is answered after a crowd has left: generous, since the machine may be busy.
const RECOVERY: Duration = Duration::from_secs(60);

/// Daemons with a crowd each run one at a time, so that one does not starve the next.
static ALONE: Mutex<()> = Mutex::new(());

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// Large bodies sent whole.
    Whole,
    /// Large bodies without their last byte.
    Short,
    /// Bodies in chunks of 4,000 bytes without an end.
    LargeChunks,
    /// Bodies in chunks of one byte without an end.
    SmallChunks,
    /// Heads that do not end.
    Heads,
    /// Reads whose answers nobody takes.
    Unread,
    /// Watches whose lines nobody takes.
    Watches,
    /// Many requests on each connection.
    Pipelined,
    /// Connections that say nothing.
    Silent,
    /// A part of each.
    Mixed,
}

/// The clients of a kind. `body` is the largest body that the daemon takes, `list` the path of its longest answer.
fn crowds(kind: Kind, body: usize, list: &str) -> Vec<Crowd> {
    let post = if list == URGENT {
        "/urgent/0000000000000001"
    } else {
        "/v1/jobs"
    };
    // The same number of bytes in all, whatever the limit of a body.
    let many = 1_500 * 65_000 / body;
    let one = |clients, bytes| vec![Crowd::new(clients, bytes)];
    match kind {
        Kind::Whole => one(many, sized(post, body, 0)),
        Kind::Short => one(many, sized(post, body, 1)),
        Kind::LargeChunks => one(many, chunked(post, body, 4_000)),
        Kind::SmallChunks => one(200 * 65_000 / body, chunked(post, body, 1)),
        Kind::Heads => one(1_800, endless_head(post, 15_000)),
        Kind::Unread => one(600, reads(list, 400)),
        Kind::Watches => one(600, reads(&format!("{list}?watch=0"), 1)),
        Kind::Pipelined => one(200, reads(list, 2_000)),
        Kind::Silent => one(1_800, Vec::new()),
        Kind::Mixed => {
            let kinds = [
                Kind::Whole,
                Kind::Short,
                Kind::LargeChunks,
                Kind::SmallChunks,
                Kind::Heads,
                Kind::Unread,
                Kind::Silent,
            ];
            let part = |kind| crowds(kind, body, list).remove(0);
            kinds
                .map(part)
                .map(|crowd| Crowd {
                    clients: crowd.clients / 3,
                    ..crowd
                })
                .into()
        }
    }
}

/// Runs a crowd at `address` while `caller` makes ordinary requests, and checks the daemon `id`'s usage, which must be
/// under the bounds at all times.
fn check(name: &str, id: u32, address: SocketAddr, crowds: &[Crowd], files: usize, caller: impl Fn()) {
    let idle = Usage::read(id, address).expect("a running daemon");
    let end = AtomicBool::new(false);
    let peak = std::thread::scope(|scope| {
        scope.spawn(|| press(address, crowds, &end));
        let sampler = scope.spawn(|| {
            let mut peak = idle;
            while !end.load(Ordering::Relaxed) {
                peak = peak.max(Usage::read(id, address).expect("the daemon runs"));
                std::thread::sleep(LOOK);
            }
            peak
        });
        let until = Instant::now() + HOLD;
        while Instant::now() < until {
            caller();
            std::thread::sleep(Duration::from_millis(200));
        }
        end.store(true, Ordering::Relaxed);
        sampler.join().expect("a peak")
    });
    let bound = idle.memory() + BUDGET + ALLOWANCE;
    println!(
        "{name}: idle {} kB, peak {} kB resident and {} kB unread, bound {} kB; {} descriptors, bound {files}",
        idle.resident >> 10,
        peak.resident >> 10,
        peak.unread >> 10,
        bound >> 10,
        peak.files
    );
    assert!(Usage::read(id, address).is_some(), "the daemon has ended");
    assert!(peak.memory() <= bound, "{name}: more memory than the bound");
    assert!(peak.files <= files, "{name}: more descriptors than the bound");
}

/// Guards against a `pistachiostaird` whose memory or descriptors grow with the number of clients.
#[rstest]
fn daemon(
    #[values(
        Kind::Whole,
        Kind::Short,
        Kind::LargeChunks,
        Kind::SmallChunks,
        Kind::Heads,
        Kind::Unread,
        Kind::Watches,
        Kind::Pipelined,
        Kind::Silent,
        Kind::Mixed
    )]
    kind: Kind,
) {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let setup = Setup {
        daemons: 1,
        workers: 1,
        identities: 50,
        ..Setup::default()
    };
    let bench = Bench::start(setup).expect("bench");
    let answered = || bench.block(bench.caller.read(0, "/v1/workers")).is_ok();
    bench
        .await_that("the daemon answers", RECOVERY, answered)
        .expect("a first answer");
    let address = bench.api(0).parse().expect("an address");
    let crowds = crowds(kind, 65_000, "/v1/workers");
    let name = format!("daemon, {kind:?}");
    check(&name, bench.daemon_id(0), address, &crowds, DAEMON_FILES, || ());
    bench
        .await_that("an ordinary request is answered", RECOVERY, answered)
        .expect("an answer");
}

/// Starts daemons of the smallest machines.
fn smallest(daemons: usize) -> Fleet {
    let mut fleet = Fleet::create(Default::default(), 1);
    let limits = json!({"cpu_share": 0.5, "cores": 1, "memory_mb": 120, "link_mbps": 200.0, "max_fds": NODE_FILES});
    for number in 0..daemons {
        fleet.start_daemon_with(number, &limits);
    }
    for number in 0..daemons {
        fleet.wait_serving(number, RECOVERY);
    }
    fleet
}

/// Guards against a `pistachiostair-node` whose memory or descriptors grow with the number of clients.
#[rstest]
fn node(
    #[values(
        Kind::Whole,
        Kind::Short,
        Kind::LargeChunks,
        Kind::SmallChunks,
        Kind::Heads,
        Kind::Unread,
        Kind::Pipelined,
        Kind::Silent,
        Kind::Mixed
    )]
    kind: Kind,
) {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let fleet = smallest(1);
    let address = fleet.front(0).parse().expect("an address");
    let crowds = crowds(kind, 256_000, URGENT);
    check(
        &format!("node, {kind:?}"),
        fleet.daemon_id(0),
        address,
        &crowds,
        NODE_FILES,
        || (),
    );
    fleet.wait_serving(0, RECOVERY);
}

/// Guards against a scheduler that holds what clients of another daemon make that daemon forward, and against that
/// daemon itself: ordinary callers ask both meanwhile.
#[rstest]
fn forwarded(#[values(Kind::Pipelined, Kind::Unread, Kind::Mixed)] kind: Kind) {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let fleet = smallest(2);
    let leader = fleet.leader().expect("a scheduler");
    let (entry, crowds) = (1 - leader, crowds(kind, 256_000, URGENT));
    let before = Usage::read(
        fleet.daemon_id(leader),
        fleet.front(leader).parse().expect("an address"),
    );
    let ask = || {
        let _ = fleet.ask(entry, hyper::Method::GET, URGENT, &json!(null));
    };
    let address = fleet.front(entry).parse().expect("an address");
    let name = format!("forwarded, {kind:?}");
    check(&name, fleet.daemon_id(entry), address, &crowds, NODE_FILES, ask);
    let scheduler = fleet.peak_memory(leader).expect("the scheduler runs") << 10;
    let bound = before.expect("the scheduler ran").memory() + BUDGET + ALLOWANCE;
    println!(
        "{name}: scheduler's peak {} kB, bound {} kB",
        scheduler >> 10,
        bound >> 10
    );
    assert!(
        scheduler <= bound,
        "{name}: more memory than the bound at the scheduler"
    );
    fleet.wait_serving(entry, RECOVERY);
    fleet.wait_serving(leader, RECOVERY);
}

/// A request in chunks of one byte: JSON with spaces up to the limit of a body.
fn in_bytes(request: &str, json: &str, length: usize) -> Vec<u8> {
    let mut bytes = format!("{request} HTTP/1.1\r\nhost: orders.example\r\napi-key: key-of-court\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n").into_bytes();
    for byte in json.bytes().chain(std::iter::repeat(b' ')).take(length) {
        bytes.extend([b'1', b'\r', b'\n', byte, b'\r', b'\n']);
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// A read whose head has the largest length that is allowed.
fn long_head(path: &str) -> Vec<u8> {
    let start = format!(
        "GET {path} HTTP/1.1\r\nhost: orders.example\r\napi-key: key-of-court\r\nconnection: close\r\nx-padding: "
    );
    let padding = "p".repeat(16 * 1024 - start.len() - 4);
    format!("{start}{padding}\r\n\r\n").into_bytes()
}

/// Guards against limits that refuse a single legal request: the longest body in the smallest chunks, the longest head.
#[test]
fn daemon_single() {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let setup = Setup {
        daemons: 1,
        workers: 1,
        ..Setup::default()
    };
    let bench = Bench::start(setup).expect("bench");
    let answered = || bench.block(bench.caller.read(0, "/v1/workers")).is_ok();
    bench
        .await_that("the daemon answers", RECOVERY, answered)
        .expect("a first answer");
    let address = bench.api(0).parse().expect("an address");
    let account = r#"{"metadata": {"name": "court"}, "spec": {}}"#;
    let status = exchange(address, &in_bytes("PUT /v1/accounts/court", account, 65_536));
    assert!(["200", "201"].contains(&status.as_str()), "{status}");
    assert_eq!(exchange(address, &long_head("/v1/workers")), "200");
}

/// As [`daemon_single`], for the platform's daemon.
#[test]
fn node_single() {
    let _alone = ALONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let fleet = smallest(1);
    let address = fleet.front(0).parse().expect("an address");
    let job = r#"{"spec": "work=1 gpu=1", "steps": [{"count": 1, "gpu": 1}]}"#;
    let status = exchange(address, &in_bytes("POST /urgent/0000000000000002", job, 262_144));
    assert_eq!(status, "200");
    assert_eq!(exchange(address, &long_head(URGENT)), "200");
}
