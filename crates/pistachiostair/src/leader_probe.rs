//! Signs of life of the scheduler: each daemon asks it at short intervals, so that candidates need not read its lease,
//! and notices early when it is gone. A new scheduler announces itself to all daemons, since some may not reach the
//! table service at the time.

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

/// Time between two questions to the scheduler.
const BEAT: Millis = Millis(300);

/// Longest time for the answer: an exchange takes about 10 ms, and a daemon may be several times slower than usual.
const BEAT_TIMEOUT: Millis = Millis(700);

/// Daemons that asked within this span are told when the lease is given back.
const FOLLOWING: Millis = Millis(2_000);

/// Pause between the claims of two daemons on a lease that was given back: the time that a claim takes.
const CLAIM_PAUSE: Millis = Millis(60);

/// Times that a new scheduler announces itself to a daemon that does not answer.
const ANNOUNCEMENTS: u32 = 5;

/// Most daemons that a new scheduler announces itself to.
const ROSTER_LIMIT: usize = 500;

/// Pause before a failed registration is tried again.
const RETRY: Millis = Millis(500);

/// Prefix of the rows of a region's daemons.
fn roster_prefix(region: &RegionName) -> String {
    format!("daemon/{region}/")
}

#[derive(Default)]
struct Shared {
    /// Daemons that asked this one, with their addresses and when they last did.
    followers: BTreeMap<DaemonName, (String, Millis)>,
    /// When the scheduler last answered, or this daemon was the scheduler.
    heard: Millis,
}

record! {
    /// Value of the row `daemon/R/NAME`, as JSON.
    struct DaemonRow {
        /// Address of the daemon's links.
        address: String,
    }
}

/// The service.
pub(crate) struct LeaderProbe {
    kernel: Arc<Kernel>,
    region: RegionName,
    me: DaemonName,
    /// Address of this daemon's links.
    address: String,
    log: slog::Logger,
    shared: Mutex<Shared>,
}

impl Service for LeaderProbe {
    const NAME: &'static str = "beats";
}

impl LeaderProbe {
    /// Registers the service and starts to ask.
    pub(crate) fn start(
        kernel: &Arc<Kernel>,
        (region, me): (RegionName, DaemonName),
        address: String,
        log: slog::Logger,
    ) -> Result<Arc<Self>> {
        let beats = Arc::new(Self {
            kernel: kernel.clone(),
            region,
            me,
            address,
            log,
            shared: Mutex::default(),
        });
        kernel.register(beats.clone())?;
        kernel.spawn_until_stop(beats.clone().register());
        kernel.spawn_until_stop(beats.clone().run());
        Ok(beats)
    }

    /// For how long no scheduler has answered.
    pub(crate) fn silence(&self) -> Millis {
        self.kernel
            .clock
            .now()
            .since(self.shared.lock().expect("beats lock").heard)
    }

    /// Answers the question of another daemon.
    pub(crate) fn answer_probe(&self, from: &DaemonName, address: String) -> Response {
        let now = self.kernel.clock.now();
        self.shared
            .lock()
            .expect("beats lock")
            .followers
            .insert(from.clone(), (address, now));
        let lease = self
            .kernel
            .find::<SchedulerService>()
            .ok()
            .and_then(|govern| govern.lease());
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

    /// Tells the daemons that asked lately that this one has given the lease back.
    pub(crate) fn announce_release(&self) {
        let Ok(peers) = self.kernel.find::<Peers>() else { return };
        let now = self.kernel.clock.now();
        let followers = self.shared.lock().expect("beats lock").followers.clone();
        let recent = followers
            .into_values()
            .filter(|(_, asked)| now.since(*asked) <= FOLLOWING);
        for (place, (address, _)) in (0..).zip(recent) {
            let peers = peers.clone();
            let request = Request::Vacant {
                pause: Millis(CLAIM_PAUSE.0 * place),
            };
            self.kernel.spawn_until_stop(async move {
                // A daemon that misses this reads the lease once the scheduler does not answer.
                let _ = peers.call(&address, request, BEAT_TIMEOUT).await;
            });
        }
    }

    /// Writes this daemon's row, so that new schedulers can announce themselves to it.
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
            let Ok(durable) = self.kernel.find::<Storage>() else {
                return;
            };
            match durable.table.commit(&transaction).await {
                Ok(_) => return,
                Err(error) => slog::info!(self.log, "daemon not registered"; "error" => %error),
            }
            Timer::after(RETRY.duration()).await;
        }
    }

    /// Tells all daemons that this one is the scheduler.
    pub(crate) fn announce_term(self: &Arc<Self>, term: Term) {
        let beats = self.clone();
        self.kernel.spawn_until_stop(async move {
            let Ok(durable) = beats.kernel.find::<Storage>() else {
                return;
            };
            let rows = match durable
                .table
                .scan(&roster_prefix(&beats.region), "", ROSTER_LIMIT)
                .await
            {
                Ok(rows) => rows,
                Err(error) => return slog::info!(beats.log, "daemons not read"; "error" => %error),
            };
            for row in rows {
                match serde_json::from_str::<DaemonRow>(&row.value) {
                    Ok(other) if other.address != beats.address => beats.announce_to(other.address, term),
                    Ok(_) => {}
                    Err(error) => slog::warn!(beats.log, "row of a daemon"; "key" => row.key, "error" => %error),
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
            for _ in 0..ANNOUNCEMENTS {
                // A daemon that is down asks once it is up again.
                if peers.call(&address, request.clone(), BEAT_TIMEOUT).await.is_ok() {
                    return;
                }
                Timer::after(BEAT.duration()).await;
            }
        });
    }

    async fn run(self: Arc<Self>) {
        let mut lost = false;
        loop {
            if let Some(answered) = self.ask().await {
                if answered && lost {
                    slog::info!(self.log, "scheduler answers again");
                } else if !answered && !lost {
                    slog::warn!(self.log, "scheduler does not answer");
                }
                lost = !answered;
            }
            Timer::after(BEAT.duration()).await;
        }
    }

    /// Asks the scheduler once; nothing if none is known.
    async fn ask(&self) -> Option<bool> {
        let govern = self.kernel.find::<SchedulerService>().ok()?;
        if govern.term().is_some() {
            self.shared.lock().expect("beats lock").heard = self.kernel.clock.now();
            return Some(true);
        }
        let (_, address) = govern.holder().filter(|(_, address)| *address != self.address)?;
        let peers = self.kernel.find::<Peers>().ok()?;
        let request = Request::Beat {
            address: self.address.clone(),
        };
        let asked = self.kernel.clock.now();
        match peers.call(&address, request, BEAT_TIMEOUT).await {
            Ok(Response::Beat { version, left }) => {
                self.shared.lock().expect("beats lock").heard = asked;
                govern.election_event(ElectionEvent::HolderAnswered {
                    version,
                    remaining: left,
                });
                Some(true)
            }
            _ => Some(false),
        }
    }
}
