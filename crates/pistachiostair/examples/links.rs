//! Measures links between daemons on loopback: round-trip time, bytes per second, processor time.
//!
//! `cargo run --release -p pistachiostair --example links`

#[path = "../tests/authority/mod.rs"]
mod authority;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Timer, block_on};
use authority::Authority;
use pistachiostair::{
    DaemonName, DomainName, Incarnation, Kernel, LinkSettings, Member, MemberAction, MemberEvent, MemberState,
    Membership, Millis, PeerHandler, Peers, RegionName, Request, Response, Revision, process_usage,
};

const ROUND_TRIPS: usize = 5_000;
const CONCURRENT: usize = 64;
const SPAN: Duration = Duration::from_secs(15);

struct Daemon {
    kernel: Arc<Kernel>,
    peers: Arc<Peers>,
    membership: Arc<Mutex<Membership>>,
}

impl Daemon {
    fn start(executor: &Arc<Executor<'static>>, authority: &Authority, number: usize) -> Self {
        let kernel = Kernel::new(executor.clone());
        let member = Member {
            name: DaemonName::from(format!("entry-{number}")),
            incarnation: Incarnation(1_764_800_000_000),
            address: String::new(),
            region: RegionName::from(["south-finland", "dakar", "third"][number % 3]),
            domain: DomainName::from("helsinki"),
            state: MemberState::Live,
            policy: Revision(4_900),
        };
        let membership = Arc::new(Mutex::new(Membership::new(member.clone())));
        let settings = LinkSettings {
            name: member.name.clone(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            tls: authority.tls(),
            refused: None,
        };
        let handler = handler(kernel.clone(), membership.clone());
        let peers = Peers::start(&kernel, settings, handler).expect("links start");
        let address = peers.local_address().expect("an address").to_string();
        *membership.lock().expect("members lock") = Membership::new(Member { address, ..member });
        Self {
            kernel,
            peers,
            membership,
        }
    }

    /// Sends heartbeats as the members service does.
    async fn beat(kernel: Arc<Kernel>, peers: Arc<Peers>, membership: Arc<Mutex<Membership>>) {
        loop {
            let actions = membership
                .lock()
                .expect("members lock")
                .on(kernel.clock.now(), MemberEvent::Tick);
            for action in actions {
                let MemberAction::Send { address, heartbeat } = action else {
                    continue;
                };
                let (clock, peers, membership) = (kernel.clock, peers.clone(), membership.clone());
                kernel.spawn(async move {
                    let sent = peers.call(&address, Request::Heartbeat(heartbeat), Millis(1_000)).await;
                    if let Ok(Response::Heartbeat(heartbeat)) = sent {
                        let event = MemberEvent::Answered(heartbeat);
                        membership.lock().expect("members lock").on(clock.now(), event);
                    }
                });
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    }
}

fn handler(kernel: Arc<Kernel>, membership: Arc<Mutex<Membership>>) -> PeerHandler {
    Arc::new(move |envelope| {
        let (clock, membership) = (kernel.clock, membership.clone());
        Box::pin(async move {
            let Request::Heartbeat(heartbeat) = envelope.request else {
                return Response::Ack;
            };
            let event = MemberEvent::Asked(heartbeat);
            let actions = membership.lock().expect("members lock").on(clock.now(), event);
            let response = actions.into_iter().find_map(|action| match action {
                MemberAction::Respond(heartbeat) => Some(Response::Heartbeat(heartbeat)),
                _ => None,
            });
            response.unwrap_or(Response::Ack)
        })
    })
}

fn main() {
    let executor = Arc::new(Executor::new());
    let runner = executor.clone();
    std::thread::spawn(move || block_on(runner.run(std::future::pending::<()>())));
    let authority = Authority::new();
    requests(&executor, &authority);
    for count in [9, 27] {
        heartbeats(&executor, &authority, count);
    }
}

fn requests(executor: &Arc<Executor<'static>>, authority: &Authority) {
    let (client, server) = (
        Daemon::start(executor, authority, 0),
        Daemon::start(executor, authority, 1),
    );
    let address = server.peers.local_address().expect("an address").to_string();
    let call = || block_on(client.peers.call(&address, Request::GetPolicy, Millis(2_000))).expect("a response");
    let start = Instant::now();
    call();
    println!("first request with handshake: {:?}", start.elapsed());

    let cpu = processor();
    let mut times: Vec<Duration> = (0..ROUND_TRIPS)
        .map(|_| {
            let start = Instant::now();
            call();
            start.elapsed()
        })
        .collect();
    let cpu = processor() - cpu;
    times.sort_unstable();
    let at = |percent: usize| times[(ROUND_TRIPS - 1) * percent / 100];
    println!(
        "round trip: median {:?}, 99th percentile {:?}, {:.0} us of processor time for both sides",
        at(50),
        at(99),
        cpu / ROUND_TRIPS as f64 * 1e6
    );

    let (cpu, start) = (processor(), Instant::now());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT {
            scope.spawn(|| (0..ROUND_TRIPS / CONCURRENT).for_each(|_| drop(call())));
        }
    });
    let number = (ROUND_TRIPS / CONCURRENT * CONCURRENT) as f64;
    println!(
        "{CONCURRENT} callers: {:.0} requests per second, {:.0} us of processor time each",
        number / start.elapsed().as_secs_f64(),
        (processor() - cpu) / number * 1e6
    );

    let (before, cpu) = (client.peers.traffic(), processor());
    std::thread::sleep(SPAN);
    let after = client.peers.traffic();
    let rate = |bytes: u64| bytes as f64 / SPAN.as_secs_f64();
    println!(
        "idle link: {:.0} bytes/s sent, {:.0} bytes/s received, {:.4}% of a core for both sides",
        rate(after.0 - before.0),
        rate(after.1 - before.1),
        (processor() - cpu) / SPAN.as_secs_f64() * 100.0
    );
}

/// Links between all daemons, each with its share of the sum: what one sends another receives.
fn heartbeats(executor: &Arc<Executor<'static>>, authority: &Authority, count: usize) {
    let daemons: Vec<Daemon> = (0..count)
        .map(|number| Daemon::start(executor, authority, number))
        .collect();
    let seeds = vec![daemons[0].peers.local_address().expect("an address").to_string()];
    for daemon in &daemons {
        let event = MemberEvent::Seeds(seeds.clone());
        daemon.membership.lock().expect("members lock").on(Millis(0), event);
        daemon.kernel.spawn_until_stop(Daemon::beat(
            daemon.kernel.clone(),
            daemon.peers.clone(),
            daemon.membership.clone(),
        ));
    }
    let start = Instant::now();
    let live = |daemon: &Daemon| {
        daemon
            .membership
            .lock()
            .expect("members lock")
            .daemons(MemberState::Live)
            .len()
    };
    while daemons.iter().any(|daemon| live(daemon) < count) && start.elapsed() < SPAN {
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("{count} daemons: all known to all after {:?}", start.elapsed());
    std::thread::sleep(Duration::from_secs(4));
    let total = || {
        daemons
            .iter()
            .map(|daemon| daemon.peers.traffic())
            .fold(0, |sum, (sent, received)| sum + sent + received)
    };
    let (before, cpu) = (total(), processor());
    std::thread::sleep(SPAN);
    let share = (total() - before) as f64 / SPAN.as_secs_f64() / count as f64;
    let cpu = (processor() - cpu) / SPAN.as_secs_f64() / count as f64 * 100.0;
    println!("{count} daemons: {share:.0} bytes/s sent by each, {cpu:.2}% of a core each");
    for daemon in &daemons {
        assert_eq!(live(daemon), count);
        block_on(daemon.kernel.stop());
    }
}

/// Processor seconds of this process.
fn processor() -> f64 {
    process_usage().cpu
}
