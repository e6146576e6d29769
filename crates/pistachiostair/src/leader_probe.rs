//! Liveness probes of the scheduler and announcements by it. Each daemon probes the scheduler of its region at short
//! intervals, so that candidates need not read the lease row, and notices early when it is gone. A new scheduler
//! announces itself to all daemons of the region, since some may not reach the table service at the time. One that
//! released its lease tells the daemons that probed it lately.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::clock::Millis;
use crate::edge::{Transaction, Write};
use crate::election::ElectionEvent;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{DaemonName, RegionName, Term};
use crate::kernel::{Kernel, Service};
use crate::message::{Request, Response};
use crate::peers::Peers;
use crate::record;
use crate::scheduler_service::{SchedulerService, failed};
use crate::storage::Storage;

/// Time between two probes of the scheduler.
const PROBE_INTERVAL: Millis = Millis(300);

/// Timeout of a probe or announcement. An exchange takes about 10 ms, and a daemon may be several times slower than
/// usual.
const PROBE_TIMEOUT: Millis = Millis(700);

/// Daemons whose last probe is no older than this are told when the lease is released.
const MAX_PROBE_AGE: Millis = Millis(2_000);

/// Time between the claims of two daemons for a released lease: the time that a claim takes.
const CLAIM_INTERVAL: Millis = Millis(60);

/// How many times a new scheduler tries to announce itself to a daemon that does not answer.
const ANNOUNCEMENT_TRIES: u32 = 5;

/// Most daemons that a new scheduler announces itself to.
const ROSTER_LIMIT: usize = 500;

/// Pause before a failed write of this daemon's row is tried again.
const RETRY_PAUSE: Millis = Millis(500);

/// Key prefix of the rows of a region's daemons.
fn roster_prefix(region: &RegionName) -> String {
    format!("daemon/{region}/")
}

#[derive(Default)]
struct Shared {
    /// Daemons that sent a probe to this one, each with its address and the time of its last probe.
    followers: BTreeMap<DaemonName, (String, Millis)>,
    /// When the last probe was sent that the scheduler answered, or this daemon last was the scheduler.
    last_answer: Millis,
}

record! {
    /// Value of the row `daemon/REGION/NAME`, as JSON.
    struct DaemonRow {
        /// Address (`ip:port`) at which other daemons reach the daemon.
        address: String,
    }
}

/// The service that probes the scheduler, and answers probes while this daemon is the scheduler.
pub(crate) struct LeaderProbe {
    kernel: Arc<Kernel>,
    region: RegionName,
    me: DaemonName,
    /// Address (`ip:port`) at which other daemons reach this one.
    address: String,
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
        log: slog::Logger,
    ) -> Result<Arc<Self>> {
        let probe = Arc::new(Self {
            kernel: kernel.clone(),
            region,
            me,
            address,
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

    /// Answers the probe of the daemon `from`, which other daemons reach at `address`: with the lease while this daemon
    /// is the scheduler and the lease is valid, otherwise with an `Unavailable` error.
    pub(crate) fn answer_probe(&self, from: &DaemonName, address: String) -> Response {
        let now = self.kernel.clock.now();
        self.shared
            .lock()
            .expect("leader probe lock")
            .followers
            .insert(from.clone(), (address, now));
        let lease = self
            .kernel
            .find::<SchedulerService>()
            .ok()
            .and_then(|service| service.lease());
        match lease {
            Some((version, until)) if until > now => Response::Beat {
                version,
                left: until.since(now),
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
        let recent = followers
            .into_values()
            .filter(|(_, sent)| now.since(*sent) <= MAX_PROBE_AGE);
        for (position, (address, _)) in (0..).zip(recent) {
            let peers = peers.clone();
            let request = Request::Vacant {
                pause: Millis(CLAIM_INTERVAL.0 * position),
            };
            self.kernel.spawn_until_stop(async move {
                // A daemon that misses this polls the lease row once the scheduler no longer answers its probes.
                let _ = peers.call(&address, request, PROBE_TIMEOUT).await;
            });
        }
    }

    /// Writes this daemon's row, from which new schedulers learn where to announce themselves. Repeats until the write
    /// succeeds.
    async fn register(self: Arc<Self>) {
        let row = DaemonRow {
            address: self.address.clone(),
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

    /// Announces to all other daemons of the region that this one is the scheduler under `term`.
    pub(crate) fn announce_term(self: &Arc<Self>, term: Term) {
        let probe = self.clone();
        self.kernel.spawn_until_stop(async move {
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
            for row in rows {
                match serde_json::from_str::<DaemonRow>(&row.value) {
                    Ok(other) if other.address != probe.address => probe.announce_to(other.address, term),
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
        if service.term().is_some() {
            self.shared.lock().expect("leader probe lock").last_answer = self.kernel.clock.now();
            return Some(true);
        }
        let (_, address) = service.holder().filter(|(_, address)| *address != self.address)?;
        let peers = self.kernel.find::<Peers>().ok()?;
        let request = Request::Beat {
            address: self.address.clone(),
        };
        let sent = self.kernel.clock.now();
        match peers.call(&address, request, PROBE_TIMEOUT).await {
            Ok(Response::Beat { version, left }) => {
                self.shared.lock().expect("leader probe lock").last_answer = sent;
                service.election_event(ElectionEvent::HolderAnswered {
                    version,
                    remaining: left,
                });
                Some(true)
            }
            _ => Some(false),
        }
    }
}
