//! The schedule of a soak: faults and jobs, drawn from a seed.

use fastrand::Rng;
use pistachiostair::{JobKey, Millis};
use serde_json::{Value, json};

use crate::node_fleet::{WORKER_ZONES, WorkerMode};
use crate::node_store::StoreMode;

/// Times that callers who do not give up at once submit a job.
const MAX_TRIES: usize = 12;

/// Size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSetup {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of workers.
    pub workers: usize,
    /// Time during which faults are injected.
    pub span: Millis,
    /// Number of jobs that callers submit in that time.
    pub jobs: usize,
    /// Number of daemons whose links have only 10 Mbit/s.
    pub slow_links: usize,
    /// Largest memory that a daemon may use, in megabytes.
    pub memory_mb: u64,
    /// Whether daemons are neither stopped nor ended, so that faults of connections and of the store last.
    pub steady: bool,
    /// Whether failure domains are evacuated and taken back.
    pub evacuations: bool,
    /// Whether logs are kept although no promise was broken.
    pub logs_kept: bool,
}

/// The daemon that a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Victim {
    /// The scheduler at that moment; a daemon by number if there is none.
    Scheduler(usize),
    /// A daemon by number.
    Daemon(usize),
}

/// What happens to the connections that pass through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Each block of data is delayed.
    Delayed(Millis),
    /// Data towards the target or from it, or both, is held.
    Held([bool; 2]),
    /// The connections of that moment go silent for good.
    Silent,
    /// The connections of that moment are reset.
    Reset,
    /// All connections are reset, and new ones refused.
    Cut,
}

/// What happens to the datagrams that other daemons exchange with a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerFault {
    /// All are lost.
    Cut,
    /// This share of them is lost, in percent.
    Lossy(u8),
    /// They are delayed by up to this time, and overtake each other.
    Delayed(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A daemon is stopped with SIGSTOP and continued.
    Pause(Victim),
    /// A daemon is ended with SIGKILL and started again.
    Kill(Victim),
    /// All daemons are ended with SIGKILL and started again.
    KillAll,
    /// A daemon is ended with SIGTERM and started again.
    Terminate(Victim),
    /// A daemon is told with SIGHUP to read its settings again.
    Reload(usize),
    StoreLink(Victim, LinkFault),
    PeerLink(Victim, PeerFault),
    FrontLink(usize, LinkFault),
    WorkerLink(usize, LinkFault),
    Store(StoreMode),
    /// The store drops the history of its feed.
    DropHistory,
    /// A configuration with another time-out and a new API key in place of the last one.
    Config,
    Worker(usize, WorkerMode),
    /// A worker works at this share of its speed, in percent.
    WorkerSlow(usize, u64),
    /// A worker ends with all that runs there, leaves the list, and starts again.
    WorkerCrash(usize),
    /// A worker restarts at once under its name.
    WorkerRestart(usize),
    /// A worker is listed as draining, then ends, and starts again.
    WorkerDrain(usize),
    /// A failure domain, by its number, is evacuated and taken back.
    Evacuate(usize),
}

impl Fault {
    /// Whether a daemon is stopped or ended.
    fn strikes_process(self) -> bool {
        matches!(
            self,
            Self::Pause(_) | Self::Kill(_) | Self::KillAll | Self::Terminate(_)
        )
    }
}

/// A fault that begins at a time, counted from the start of the soak, and lasts for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) at: Millis,
    pub(crate) lasts: Millis,
    pub(crate) fault: Fault,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedJob {
    pub(crate) at: Millis,
    pub(crate) key: JobKey,
    /// The daemon that it is first submitted to.
    pub(crate) daemon: usize,
    /// Tasks of each step; a second step runs after the first.
    pub(crate) steps: [u32; 2],
    pub(crate) gang: bool,
    pub(crate) work: Millis,
    /// Runs of each task that fail by the task's fault.
    pub(crate) fails: u32,
    /// Times that it is submitted before its caller gives up.
    pub(crate) tries: usize,
    /// Time after which the caller breaks off the first attempt.
    pub(crate) patience: Option<Millis>,
    /// Whether it is submitted once more after it was accepted.
    pub(crate) repeated: bool,
    /// Time from its acceptance to its cancellation.
    pub(crate) cancel: Option<Millis>,
}

impl PlannedJob {
    /// Body of its submission.
    pub(crate) fn body(&self) -> Value {
        let (gpu, gang) = if self.gang { (4, self.steps[0]) } else { (1, 0) };
        let (work, fails) = (self.work.0, self.fails);
        let step = |count: u32, after: &[u32]| json!({"count": count, "gpu": gpu, "estimated_ms": work, "gang": self.gang, "after": after});
        let mut steps = vec![step(self.steps[0], &[])];
        if self.steps[1] > 0 {
            steps.push(step(self.steps[1], &[0]));
        }
        json!({"spec": format!("work={work} gpu={gpu} gang={gang} fails={fails}"), "steps": steps})
    }
}

/// Faults and jobs in order of their times.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<PlannedFault>,
    pub(crate) jobs: Vec<PlannedJob>,
}

impl Plan {
    pub(crate) fn draw(seed: u64, setup: &SoakSetup) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut jobs: Vec<PlannedJob> = (0..setup.jobs).map(|_| draw_job(&mut rng, setup)).collect();
        if jobs.len() >= 8 {
            // A burst: a quarter of the jobs come at once.
            let at = Millis(rng.u64(0..setup.span.0));
            let burst = jobs.len() / 4;
            jobs[..burst].iter_mut().for_each(|job| job.at = at);
        }
        jobs.sort_by_key(|job| job.at);
        let mut faults = Vec::new();
        let mut at = 300;
        while at < setup.span.0 {
            let mut fault = draw_fault(&mut rng, setup);
            while setup.steady && fault.strikes_process() {
                fault = draw_fault(&mut rng, setup);
            }
            // A third of the faults strike in series.
            let times = if rng.u8(..3) == 0 { rng.u64(2..=4) } else { 1 };
            let mut next = at;
            for _ in 0..times {
                // Some outlast the leases and the age at which keys are refused.
                let longest = if rng.u8(..5) == 0 { 9_000 } else { 2_000 };
                let lasts = Millis(rng.u64(100..longest).min(setup.span.0.saturating_sub(next)));
                faults.push(PlannedFault {
                    at: Millis(next),
                    lasts,
                    fault,
                });
                next += lasts.0 + rng.u64(50..800);
                if next >= setup.span.0 {
                    break;
                }
            }
            at += rng.u64(50..1_000);
        }
        // Configurations follow each other all the time, so that keys are removed during other faults.
        let mut at = 0;
        while at < setup.span.0 {
            faults.push(PlannedFault {
                at: Millis(at),
                lasts: Millis::ZERO,
                fault: Fault::Config,
            });
            at += rng.u64(200..2_000);
        }
        if setup.evacuations {
            faults.extend(draw_evacuations(seed, setup));
        }
        faults.sort_by_key(|planned| planned.at);
        Self { faults, jobs }
    }
}

/// Evacuations, each of them for longer than the bound or, to follow each other quickly, a moment. They have draws of their own, so
/// that the other faults of a seed stay as they are without them.
fn draw_evacuations(seed: u64, setup: &SoakSetup) -> Vec<PlannedFault> {
    let mut rng = Rng::with_seed(!seed);
    let mut evacuations = Vec::new();
    let mut at = rng.u64(100..1_500);
    while at < setup.span.0 {
        // Only what starts after the bound of 5 s counts.
        let lasts = if rng.u8(..3) == 0 {
            rng.u64(20..300)
        } else {
            rng.u64(6_000..10_000)
        };
        let lasts = Millis(lasts.min(setup.span.0 - at));
        evacuations.push(PlannedFault {
            at: Millis(at),
            lasts,
            fault: Fault::Evacuate(rng.usize(..WORKER_ZONES)),
        });
        at += rng.u64(50..2_500);
    }
    evacuations
}

fn draw_job(rng: &mut Rng, setup: &SoakSetup) -> PlannedJob {
    let gang = rng.u8(..3) == 0;
    let second = if !gang && rng.u8(..4) == 0 { rng.u32(1..=3) } else { 0 };
    let one_in = |rng: &mut Rng, times: u8| rng.u8(..times) == 0;
    PlannedJob {
        at: Millis(rng.u64(0..setup.span.0)),
        key: JobKey(rng.u64(2..)),
        daemon: rng.usize(..setup.daemons),
        steps: [if gang { rng.u32(2..=3) } else { rng.u32(1..=4) }, second],
        gang,
        work: Millis(match one_in(rng, 10) {
            true => rng.u64(2_000..7_000),
            false => rng.u64(50..2_000),
        }),
        fails: match rng.u8(..20) {
            0 => 9,
            1 | 2 => 1,
            _ => 0,
        },
        tries: if one_in(rng, 3) { 1 } else { MAX_TRIES },
        patience: one_in(rng, 10).then(|| Millis(rng.u64(1..500))),
        repeated: one_in(rng, 6),
        cancel: one_in(rng, 6).then(|| Millis(rng.u64(0..2_500))),
    }
}

fn draw_fault(rng: &mut Rng, setup: &SoakSetup) -> Fault {
    let daemon = rng.usize(..setup.daemons);
    let worker = rng.usize(..setup.workers);
    let victim = match rng.bool() {
        true => Victim::Scheduler(daemon),
        false => Victim::Daemon(daemon),
    };
    match rng.u8(..30) {
        0 | 1 => Fault::Pause(victim),
        2 | 3 => Fault::Kill(victim),
        4 => Fault::KillAll,
        5 | 6 => Fault::Terminate(victim),
        7..=12 => Fault::StoreLink(victim, draw_link(rng)),
        13 => Fault::FrontLink(daemon, draw_link(rng)),
        14 | 15 => Fault::WorkerLink(worker, draw_link(rng)),
        16 => Fault::Store(StoreMode::Refuses),
        17 => Fault::Store(StoreMode::Silent),
        18 => Fault::Store(StoreMode::LosesReplies),
        19 => Fault::Store(StoreMode::Slow(rng.u64(20..400))),
        20 => Fault::Store(StoreMode::Late(rng.u64(300..4_000))),
        21 => Fault::DropHistory,
        22 => match rng.u8(..3) {
            0 => Fault::Worker(worker, WorkerMode::FailsAll),
            1 => Fault::Worker(worker, WorkerMode::Refuses),
            _ => Fault::Worker(worker, WorkerMode::Late(rng.u64(300..4_000))),
        },
        23 => Fault::WorkerSlow(worker, rng.u64(..50)),
        24 => Fault::WorkerCrash(worker),
        25 => Fault::WorkerRestart(worker),
        26 => Fault::WorkerDrain(worker),
        27 => Fault::Reload(daemon),
        _ => Fault::PeerLink(victim, draw_peer_fault(rng)),
    }
}

fn draw_link(rng: &mut Rng) -> LinkFault {
    match rng.u8(..7) {
        0 | 1 => LinkFault::Delayed(Millis(rng.u64(5..300))),
        2 => LinkFault::Held([true, false]),
        3 => LinkFault::Held([false, true]),
        4 => LinkFault::Silent,
        5 => LinkFault::Reset,
        _ => LinkFault::Cut,
    }
}

fn draw_peer_fault(rng: &mut Rng) -> PeerFault {
    match rng.u8(..3) {
        0 => PeerFault::Cut,
        1 => PeerFault::Lossy(rng.u8(5..60)),
        _ => PeerFault::Delayed(Millis(rng.u64(10..500))),
    }
}
