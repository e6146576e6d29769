//! Counters and gauges of a daemon.

use std::sync::Arc;

use prometheus::core::Collector;
use prometheus::{
    CounterVec, Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::error::{Error, ErrorKind, Ran, Result};
use crate::kernel::Service;
use crate::planner::PlannerStats;
use crate::traffic::Traffic;

#[cfg(test)]
mod tests;

/// Clock ticks a second in `/proc/self/stat`. Linux fixes the unit that it shows to programs at 100.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bounds of the buckets of latencies in seconds: from an exchange within a failure domain to the longest deadline.
const LATENCY_BUCKETS: [f64; 9] = [0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Metrics of the budget for what clients make a daemon hold.
#[derive(Clone, Debug)]
pub struct ClientCounts {
    /// Bytes charged to connections of clients.
    pub held: IntGauge,
    /// Connections and requests that were shed, by reason.
    pub shed: IntCounterVec,
}

/// Metrics of a daemon, each with the prefix `pistachiostair_`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of callers, by route template and status.
    pub requests: IntCounterVec,
    /// Requests that were refused, by kind and whether they ran.
    pub refusals: IntCounterVec,
    /// Jobs placed by this daemon's scheduler.
    pub placements: IntCounter,
    /// Jobs stopped to give capacity back.
    pub reclaims: IntCounter,
    /// Workers ejected by this daemon's scheduler.
    pub ejections: IntCounter,
    /// Jobs that wait in the region.
    pub queue: IntGauge,
    /// Accelerators in use in the region.
    pub used: IntGauge,
    /// Accelerators of live workers that are not in use.
    pub free: IntGauge,
    /// Largest number of adjacent free accelerators.
    pub largest: IntGauge,
    /// Share of free accelerators outside the largest placeable shape, from 0 to 1.
    pub fragmentation: Gauge,
    /// Guarantees that can't be honoured at present.
    pub broken: IntGauge,
    /// Requests that read the store.
    pub reads: IntCounter,
    /// Rows and objects written to the store.
    pub writes: IntCounter,
    /// Requests to the store that failed.
    pub errors: IntCounter,
    /// 1 while the store counts as unavailable.
    pub outage: IntGauge,
    /// Other daemons that are live.
    pub peers: IntGauge,
    /// Revision of the configuration in force.
    pub policy: IntGauge,
    /// Term of this daemon's scheduler while it holds the lease, 0 otherwise.
    pub tenure: IntGauge,
    /// Bytes between this daemon and other daemons, workers and the platform.
    pub traffic: Arc<Traffic>,
    /// Calls about jobs made of steps, by kind and outcome.
    pub step_calls: IntCounterVec,
    /// Time in seconds until these calls were answered, by kind.
    pub step_latency: HistogramVec,
    /// Orders to workers, by kind and outcome.
    pub step_orders: IntCounterVec,
    /// Time in seconds until workers answered, by kind of order; holds wait for an end.
    pub order_latency: HistogramVec,
    /// Decisions of the scheduler of steps, by what was decided.
    pub step_decisions: IntCounterVec,
    /// Evacuated failure domains with workers, at this daemon's scheduler.
    pub evacuated: IntGauge,
    /// Starts of tasks that were decided and not ordered because of an evacuation.
    pub withheld: IntCounter,
    /// Work lost by runs that ended before their task was done, in core-seconds, by root cause.
    wasted: CounterVec,
    /// The same by account.
    wasted_by_account: CounterVec,
    /// What clients make this daemon hold.
    pub clients: ClientCounts,
    control: IntCounterVec,
    kinds: IntCounterVec,
    cpu: Gauge,
    memory: IntGauge,
}

impl Service for Metrics {
    const NAME: &'static str = "metrics";
}

impl Metrics {
    /// Metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// `Internal` if the registry takes two metrics for the same one.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("pistachiostair".to_owned()), None).map_err(internal)?;
        let with = Registrar(&registry);
        Ok(Self {
            requests: with.vec("requests_total", "Requests by route and status.", &["route", "status"])?,
            refusals: with.vec("refusals_total", "Refused requests by kind and ran.", &["kind", "ran"])?,
            placements: with.counter("placements_total", "Jobs placed.")?,
            reclaims: with.counter("reclaims_total", "Jobs stopped to give capacity back.")?,
            ejections: with.counter("ejections_total", "Workers ejected because they fail requests.")?,
            queue: with.gauge("queue_jobs", "Jobs that wait in the region.")?,
            used: with.gauge("accelerators_used", "Accelerators in use in the region.")?,
            free: with.gauge("accelerators_free", "Free accelerators of live workers.")?,
            largest: with.gauge(
                "largest_placeable_accelerators",
                "Largest set of adjacent free accelerators.",
            )?,
            fragmentation: with.float("fragmentation_ratio", "Free accelerators outside the largest shape.")?,
            broken: with.gauge("guarantees_broken", "Guarantees that can't be honoured.")?,
            reads: with.counter("store_reads_total", "Reads of the store.")?,
            writes: with.counter("store_writes_total", "Rows and objects written to the store.")?,
            errors: with.counter("store_errors_total", "Failed requests to the store.")?,
            outage: with.gauge("store_outage", "1 while the store counts as unavailable.")?,
            peers: with.gauge("peers_live", "Other daemons that are live.")?,
            policy: with.gauge("policy_revision", "Revision of the configuration in force.")?,
            tenure: with.gauge("scheduler_term", "Term of the scheduler here; 0 if it runs elsewhere.")?,
            step_calls: with.vec(
                "step_calls_total",
                "Calls about jobs made of steps.",
                &["call", "outcome"],
            )?,
            step_latency: with.histogram("step_call_seconds", "Time until a call was answered.", &["call"])?,
            step_orders: with.vec("step_orders_total", "Orders to workers.", &["order", "outcome"])?,
            order_latency: with.histogram("step_order_seconds", "Time until a worker answered.", &["order"])?,
            step_decisions: with.vec("step_decisions_total", "Decisions about steps.", &["decision"])?,
            evacuated: with.gauge(
                "evacuated_domains",
                "Evacuated failure domains with workers; 0 if the scheduler runs elsewhere.",
            )?,
            withheld: with.counter(
                "starts_withheld_total",
                "Starts that were decided and not ordered because of an evacuation.",
            )?,
            wasted: with.amounts("wasted_core_seconds_total", "Wasted work by root cause.", "cause")?,
            wasted_by_account: with.amounts(
                "wasted_account_core_seconds_total",
                "Wasted work by account.",
                "account",
            )?,
            clients: ClientCounts {
                held: with.gauge("client_held_bytes", "Bytes charged to connections of clients.")?,
                shed: with.vec(
                    "clients_shed_total",
                    "Connections and requests shed to bound memory and descriptors.",
                    &["reason"],
                )?,
            },
            control: with.vec("control_bytes_total", "Bytes of the control plane.", &["direction"])?,
            kinds: with.vec(
                "control_kind_bytes_total",
                "Bytes of the control plane by kind, without those of QUIC, UDP and IP.",
                &["kind", "direction"],
            )?,
            cpu: with.float("process_cpu_seconds_total", "Processor time of the process.")?,
            memory: with.gauge("process_resident_bytes", "Resident memory of the process.")?,
            traffic: Arc::default(),
            registry,
        })
    }

    /// Counts a request of a caller. `route` is a template without names of objects, so that the
    /// number of series stays bounded.
    pub fn count_request(&self, route: &str, status: u16) {
        self.requests.with_label_values(&[route, &status.to_string()]).inc();
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, kind: ErrorKind, ran: Ran) {
        self.refusals
            .with_label_values(&[kind_label(kind), ran_label(ran)])
            .inc();
    }

    /// Counts wasted work. The caller bounds the number of accounts.
    pub(crate) fn count_waste(&self, cause: &str, account: &str, core_millis: u64) {
        let core_seconds = core_millis as f64 / 1_000.0;
        self.wasted.with_label_values(&[cause]).inc_by(core_seconds);
        self.wasted_by_account
            .with_label_values(&[account])
            .inc_by(core_seconds);
    }

    /// Takes over the planner's figures.
    pub fn set_figures(&self, figures: &PlannerStats) {
        self.queue.set(figures.waiting as i64);
        self.used.set(figures.used.into());
        self.free.set(figures.accelerators.saturating_sub(figures.used).into());
        self.largest.set(figures.largest.into());
        self.fragmentation.set(figures.fragmentation);
        self.broken.set(figures.broken as i64);
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        for (direction, total) in [("sent", self.traffic.sent()), ("received", self.traffic.received())] {
            let counter = self.control.with_label_values(&[direction]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
        for (kind, sent, received) in self.traffic.kinds() {
            for (direction, total) in [("sent", sent), ("received", received)] {
                let counter = self.kinds.with_label_values(&[kind, direction]);
                counter.inc_by(total.saturating_sub(counter.get()));
            }
        }
        let usage = process_usage();
        self.cpu.set(usage.cpu);
        self.memory.set(usage.resident as i64);
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics can't be rendered: {error}\n"),
        }
    }
}

struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn add<C: Collector + Clone + 'static>(&self, metric: prometheus::Result<C>) -> Result<C> {
        let metric = metric.map_err(internal)?;
        self.0.register(Box::new(metric.clone())).map_err(internal)?;
        Ok(metric)
    }

    fn vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn amounts(&self, name: &str, help: &str, label: &str) -> Result<CounterVec> {
        self.add(CounterVec::new(Opts::new(name, help), &[label]))
    }

    fn histogram(&self, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
        self.add(HistogramVec::new(options, labels))
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.add(IntCounter::new(name, help))
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.add(IntGauge::new(name, help))
    }

    fn float(&self, name: &str, help: &str) -> Result<Gauge> {
        self.add(Gauge::new(name, help))
    }
}

fn internal(error: prometheus::Error) -> Error {
    Error::new(ErrorKind::Internal, "register metric", error)
}

fn kind_label(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::Invalid => "invalid",
        ErrorKind::NotFound => "notFound",
        ErrorKind::Conflict => "conflict",
        ErrorKind::Limited => "limited",
        ErrorKind::Unavailable => "unavailable",
        ErrorKind::Timeout => "timeout",
        ErrorKind::Expired => "expired",
        ErrorKind::Refused => "refused",
        ErrorKind::Impossible => "impossible",
        ErrorKind::Internal => "internal",
    }
}

fn ran_label(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no",
        Ran::Yes => "yes",
        Ran::Unknown => "unknown",
    }
}

/// Resources that this process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Part of the resident memory that is no file's: heaps and stacks, in bytes.
    pub anonymous: u64,
}

/// Reads the process's usage from `/proc/self`; zero where it can't be read.
pub fn process_usage() -> ProcessUsage {
    let read = |name| std::fs::read_to_string(name).unwrap_or_default();
    let status = read("/proc/self/status");
    ProcessUsage {
        cpu: cpu_seconds(&read("/proc/self/stat")).unwrap_or_default(),
        resident: status_bytes(&status, "VmRSS:").unwrap_or_default(),
        anonymous: status_bytes(&status, "RssAnon:").unwrap_or_default(),
    }
}

/// User and system time of a line of `/proc/PID/stat`. The command's name, the second field, may
/// itself contain spaces and parentheses.
fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_SECOND)
}

/// Amount of memory in a line of `/proc/PID/status` that starts with `prefix`.
fn status_bytes(status: &str, prefix: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(prefix))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
