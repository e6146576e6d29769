//! Liveness probes of the scheduler and announcements by it. Each daemon probes the scheduler of its region at short
//! intervals, so that candidates need not read the lease row, and notices early when it is gone. A new scheduler
//! announces itself to all daemons of the region, since some may not reach the table service at the time. One that
//! released its lease tells the daemons that probed it lately, the strongest first.

use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::capacity::Capacity;
use crate::clock::Millis;
use crate::edge::{Row, Transaction, Write};
use crate::election::ElectionEvent;
use crate::error::{Error, ErrorKind, Result};
use crate::followers::Followers;
use crate::ids::{DaemonName, RegionName, Term};
use crate::kernel::{Kernel, Service};
use crate::message::{Request, Response};
use crate::peers::Peers;
use crate::record;
use crate::rules_watch::RulesWatch;
use crate::scheduler_service::{SchedulerService, failed};
use crate::storage::Storage;

/// Time between two probes of the scheduler.
const PROBE_INTERVAL: Millis = Millis(300);

/// Timeout of a probe or announcement. An exchange takes about 10 ms, and a daemon may be several times slower than
/// usual.
const PROBE_TIMEOUT: Millis = Millis(700);

/// Time between the claims of two daemons for a released lease: the time that a claim takes.
const CLAIM_INTERVAL: Millis = Millis(60);

/// How many times a new scheduler tries to announce itself to a daemon that does not answer.
const ANNOUNCEMENT_TRIES: u32 = 5;

/// Time after which a new scheduler announces itself. Daemons that reach the table service know of it by then from the
/// lease row, and need no handshake from it while it has the state and all workers to read.
const ANNOUNCEMENT_DELAY: Millis = Millis(700);

/// Most daemons that a new scheduler announces itself to.
const ROSTER_LIMIT: usize = 500;

/// Pause before a failed write of this daemon's row, or a failed read of all rows, is tried again.
const RETRY_PAUSE: Millis = Millis(500);

/// A daemon that has not heard of the table service for this long does not offer to become the scheduler. Longer than
/// the source of the configuration may wait before it answers.
const MAX_STORE_SILENCE: Millis = Millis(3_000);

/// Time after which a new scheduler has heard of all daemons that probe it, so that it can rank them.
const RANKING_DELAY: Millis = Millis(1_000);

/// Shortest time between two log lines about a changed rank.
const RANK_LOG_INTERVAL: Millis = Millis(10_000);

/// Text of a capacity for the log.
fn describe(capacity: Option<Capacity>) -> String {
    capacity.map_or_else(|| "unknown".to_owned(), |capacity| capacity.to_string())
}

/// Key prefix of the rows of a region's daemons.
fn roster_prefix(region: &RegionName) -> String {
    format!("daemon/{region}/")
}

#[derive(Default)]
struct Shared {
    followers: Followers,
    /// When this daemon was first seen to be the scheduler; `None` while it is not.
    leading_since: Option<Millis>,
    /// Number of daemons that are stronger than this one, as last told by a scheduler or the rows of daemons.
    rank: Option<u32>,
    /// When a change of the rank was last logged.
    rank_logged: Option<Millis>,
    /// When the last probe was sent that the scheduler answered, or this daemon last was the scheduler.
    last_answer: Millis,
}

record! {
    /// Value of the row `daemon/REGION/NAME`, as JSON.
    struct DaemonRow {
        /// Address (`ip:port`) at which other daemons reach the daemon.
        address: String,
        /// Resources of the daemon; absent if they are not known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        capacity: Option<Capacity>,
    }
}

/// The service that probes the scheduler, and answers probes while this daemon is the scheduler.
pub(crate) struct LeaderProbe {
    kernel: Arc<Kernel>,
    region: RegionName,
    me: DaemonName,
    /// Address (`ip:port`) at which other daemons reach this one.
    address: String,
    /// Resources of this daemon; `None` if they are not known.
    capacity: Option<Capacity>,
    log: slog::Logger,
    shared: Mutex<Shared>,
}

impl Service for LeaderProbe {
    const NAME: &'static str = "beats";
}

impl LeaderProbe {
    /// Registers the service, starts to probe, and writes this daemon's row.
    pub(crate) fn start(
        kernel: &Arc<Kernel>,
        (region, me): (RegionName, DaemonName),
        address: String,
        capacity: Option<Capacity>,
        log: slog::Logger,
    ) -> Result<Arc<Self>> {
        let probe = Arc::new(Self {
            kernel: kernel.clone(),
            region,
            me,
            address,
            capacity,
            log,
            shared: Mutex::default(),
        });
        kernel.register(probe.clone())?;
        kernel.spawn_until_stop(probe.clone().register());
        kernel.spawn_until_stop(probe.clone().run());
        Ok(probe)
    }

    /// Time since the last probe that a scheduler answered, or since this daemon last was the scheduler; before that,
    /// time since the start of the process.
    pub(crate) fn silence(&self) -> Millis {
        self.kernel
            .clock
            .now()
            .since(self.shared.lock().expect("leader probe lock").last_answer)
    }

    /// Answers the probe of the daemon `from`, which other daemons reach at `address`: with the lease and the daemon's
    /// rank while this daemon is the scheduler and the lease is valid, otherwise with an `Unavailable` error.
    pub(crate) fn answer_probe(&self, from: &DaemonName, address: String, capacity: Option<Capacity>) -> Response {
        let now = self.kernel.clock.now();
        let mut shared = self.shared.lock().expect("leader probe lock");
        shared.followers.record(now, from, address, capacity);
        let settled = shared.leading_since.is_some_and(|since| now >= since + RANKING_DELAY);
        let rank = settled.then(|| shared.followers.rank(now, from)).flatten();
        drop(shared);
        let lease = self
            .kernel
            .find::<SchedulerService>()
            .ok()
            .and_then(|service| service.lease());
        match lease {
            Some((version, until)) if until > now => Response::Beat {
                version,
                left: until.since(now),
                rank,
                rules: self.kernel.find::<RulesWatch>().ok().and_then(|watch| watch.current()),
            },
            _ => failed(&Error::msg(
                ErrorKind::Unavailable,
                "answer beat",
                "this daemon is not the scheduler",
            )),
        }
    }

    /// Tells the daemons that probed this one lately that it released the lease. Each gets another pause before its
    /// claim.
    pub(crate) fn announce_release(&self) {
        let Ok(peers) = self.kernel.find::<Peers>() else { return };
        let now = self.kernel.clock.now();
        let followers = self.shared.lock().expect("leader probe lock").followers.clone();
        for (position, address) in (0..).zip(followers.succession(now)) {
            let (peers, address) = (peers.clone(), address.to_owned());
            let request = Request::Vacant {
                pause: Millis(CLAIM_INTERVAL.0 * position),
            };
            self.kernel.spawn_until_stop(async move {
                // A daemon that misses this polls the lease row once the scheduler no longer answers its probes.
                let _ = peers.call(&address, request, PROBE_TIMEOUT).await;
            });
        }
    }

    /// Logs that the lease goes to the daemon `to`.
    pub(crate) fn log_handover(&self, to: &DaemonName) {
        let theirs = self.shared.lock().expect("leader probe lock").followers.capacity(to);
        slog::info!(self.log, "lease handed over to a stronger daemon"; "to" => %to, "capacity" => describe(self.capacity),
            "other_capacity" => describe(theirs));
    }

    /// What this daemon offers to serve with as the scheduler; `None` while it should not become the scheduler.
    fn offer(&self, service: &SchedulerService) -> Option<Capacity> {
        let watch = self.kernel.find::<RulesWatch>();
        let silence = watch.ok().and_then(|watch| watch.source_silence());
        let reached = silence.is_some_and(|silence| silence <= MAX_STORE_SILENCE);
        self.capacity.filter(|_| reached && !service.is_penalized())
    }

    /// Hands the lease over if this daemon holds it and a much stronger one probes it steadily.
    fn hand_over(&self, service: &SchedulerService) {
        let Some(own) = &self.capacity else { return };
        let now = self.kernel.clock.now();
        let shared = self.shared.lock().expect("leader probe lock");
        if let Some(to) = shared.followers.replacement(now, own) {
            service.election_event(ElectionEvent::HandOver { to: to.clone() });
        }
    }

    /// Records the rank of this daemon, and logs it on a change unless a change was logged a short time ago.
    fn learn_rank(&self, rank: u32) {
        let now = self.kernel.clock.now();
        let mut shared = self.shared.lock().expect("leader probe lock");
        let before = shared.rank.replace(rank);
        let due = shared.rank_logged.is_none_or(|last| now >= last + RANK_LOG_INTERVAL);
        if before != Some(rank) && due {
            shared.rank_logged = Some(now);
            slog::info!(self.log, "rank changed"; "stronger" => rank, "before" => before,
                "capacity" => describe(self.capacity));
        }
    }

    /// Writes this daemon's row, from which new schedulers learn where to announce themselves and candidates their
    /// rank, and then reads the rows of all daemons. Repeats until both succeed.
    async fn register(self: Arc<Self>) {
        self.write_row().await;
        loop {
            let Ok(storage) = self.kernel.find::<Storage>() else {
                return;
            };
            match storage.table.scan(&roster_prefix(&self.region), "", ROSTER_LIMIT).await {
                Ok(rows) => return self.rank_by_rows(&rows),
                Err(error) => slog::info!(self.log, "rows of daemons not read; trying again"; "error" => %error),
            }
            Timer::after(RETRY_PAUSE.duration()).await;
        }
    }

    fn rank_by_rows(&self, rows: &[Row]) {
        let stronger = rows.iter().filter(|row| {
            let other = serde_json::from_str::<DaemonRow>(&row.value).ok();
            let theirs = other.and_then(|other| other.capacity);
            matches!((theirs, self.capacity), (Some(theirs), Some(own)) if theirs.is_stronger(&own))
        });
        let rank = stronger.count() as u32;
        if self.shared.lock().expect("leader probe lock").rank.is_none() {
            self.learn_rank(rank);
        }
        if let Ok(service) = self.kernel.find::<SchedulerService>() {
            service.election_event(ElectionEvent::Ranked { rank });
        }
    }

    async fn write_row(&self) {
        let row = DaemonRow {
            address: self.address.clone(),
            capacity: self.capacity,
        };
        let write = Write {
            key: format!("{}{}", roster_prefix(&self.region), self.me),
            value: serde_json::to_string(&row).ok(),
        };
        let transaction = Transaction {
            checks: Vec::new(),
            writes: vec![write],
        };
        loop {
            let Ok(storage) = self.kernel.find::<Storage>() else {
                return;
            };
            match storage.table.commit(&transaction).await {
                Ok(_) => return,
                Err(error) => slog::info!(self.log, "row of this daemon not written; trying again"; "error" => %error),
            }
            Timer::after(RETRY_PAUSE.duration()).await;
        }
    }

    /// Announces to the other daemons of the region that have not probed this one yet that it is the scheduler under
    /// `term`.
    pub(crate) fn announce_term(self: &Arc<Self>, term: Term) {
        let probe = self.clone();
        self.kernel.spawn_until_stop(async move {
            Timer::after(ANNOUNCEMENT_DELAY.duration()).await;
            let service = probe.kernel.find::<SchedulerService>();
            if !service.is_ok_and(|service| service.term() == Some(term)) {
                return;
            }
            let Ok(storage) = probe.kernel.find::<Storage>() else {
                return;
            };
            let rows = match storage
                .table
                .scan(&roster_prefix(&probe.region), "", ROSTER_LIMIT)
                .await
            {
                Ok(rows) => rows,
                Err(error) => {
                    return slog::info!(probe.log, "rows of daemons not read; term not announced"; "error" => %error);
                }
            };
            let known = probe.shared.lock().expect("leader probe lock").followers.clone();
            let known = known.succession(probe.kernel.clock.now());
            let informed = |address: &str| address == probe.address || known.contains(&address);
            for row in rows {
                match serde_json::from_str::<DaemonRow>(&row.value) {
                    Ok(other) if !informed(&other.address) => probe.announce_to(other.address, term),
                    Ok(_) => {}
                    Err(error) => slog::warn!(probe.log, "row of a daemon can't be parsed; term not announced to it";
                        "key" => row.key, "error" => %error),
                }
            }
        });
    }

    fn announce_to(&self, address: String, term: Term) {
        let Ok(peers) = self.kernel.find::<Peers>() else { return };
        let request = Request::Leading {
            term,
            address: self.address.clone(),
        };
        self.kernel.spawn_until_stop(async move {
            for _ in 0..ANNOUNCEMENT_TRIES {
                // A daemon that is down finds the scheduler by the lease row once it is up again.
                if peers.call(&address, request.clone(), PROBE_TIMEOUT).await.is_ok() {
                    return;
                }
                Timer::after(PROBE_INTERVAL.duration()).await;
            }
        });
    }

    async fn run(self: Arc<Self>) {
        let mut silent = false;
        loop {
            if let Some(answered) = self.probe().await {
                if answered && silent {
                    slog::info!(self.log, "scheduler answers again");
                } else if !answered && !silent {
                    slog::warn!(self.log, "scheduler does not answer");
                }
                silent = !answered;
            }
            Timer::after(PROBE_INTERVAL.duration()).await;
        }
    }

    /// Probes the scheduler once. Returns whether it answered that it holds the lease; `None` if no scheduler is
    /// known. True, without a request, if this daemon is the scheduler.
    async fn probe(&self) -> Option<bool> {
        let service = self.kernel.find::<SchedulerService>().ok()?;
        self.hand_over(&service);
        {
            let now = self.kernel.clock.now();
            let mut shared = self.shared.lock().expect("leader probe lock");
            if service.term().is_some() {
                shared.leading_since.get_or_insert(now);
                shared.last_answer = now;
                return Some(true);
            }
            shared.leading_since = None;
        }
        let (_, address) = service.holder().filter(|(_, address)| *address != self.address)?;
        let peers = self.kernel.find::<Peers>().ok()?;
        let request = Request::Beat {
            address: self.address.clone(),
            capacity: self.offer(&service),
        };
        let sent = self.kernel.clock.now();
        match peers.call(&address, request, PROBE_TIMEOUT).await {
            Ok(Response::Beat {
                version,
                left,
                rank,
                rules,
            }) => {
                if let (Some(theirs), Ok(watch)) = (rules, self.kernel.find::<RulesWatch>()) {
                    watch.compare(sent, theirs, &address);
                }
                self.shared.lock().expect("leader probe lock").last_answer = sent;
                if let Some(rank) = rank {
                    self.learn_rank(rank);
                }
                service.election_event(ElectionEvent::HolderAnswered {
                    version,
                    remaining: left,
                    rank,
                });
                Some(true)
            }
            _ => Some(false),
        }
    }
}
