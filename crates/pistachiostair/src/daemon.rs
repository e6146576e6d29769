//! The daemon: its services, their start and their graceful end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_executor::Executor;
use async_io::Timer;
use async_net::TcpListener;
use hyper::StatusCode;

use crate::active::Retention;
use crate::api::{Api, error_reply};
use crate::client_memory::{ClientMemory, client_connections};
use crate::clock::{Millis, within};
use crate::config::Config;
use crate::election::ElectionTimes;
use crate::error::{Error, ErrorKind, Result};
use crate::http_client::HttpClient;
use crate::http_server::{HttpHandler, HttpLimits, HttpRefusal, HttpReply, HttpRequest, HttpServer};
use crate::kernel::{Kernel, Stop};
use crate::limits::{AccountLimits, Admission};
use crate::links::Links;
use crate::logging::{Component, component_logger};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peer_tls::PeerTls;
use crate::peers::{LinkSettings, Peers};
use crate::resource::{Limits, Member, MemberState};
use crate::scheduler_service::{SchedulerService, SchedulerSettings, new_incarnation};
use crate::serve::dispatch;
use crate::settings::Settings;
use crate::steps::StepLimits;
use crate::storage::Storage;
use crate::store::Store;
use crate::supervisor::Supervisor;

/// Connections to the platform.
const STORE_CONNECTIONS: usize = 16;

/// Connections to one worker: one for the poll, the others for commands.
const WORKER_CONNECTIONS: usize = 4;

/// Largest response of the platform, which holds the largest snapshot.
const STORE_BODY: usize = 64 * 1024 * 1024;

/// Largest response of a worker.
const WORKER_BODY: usize = 4 * 1024 * 1024;

/// Longest time for requests and connections to end after the drain.
const END_TIMEOUT: Millis = Millis(10_000);

/// Retry time of a request that was refused because clients hold too much memory.
const SHED_RETRY: Millis = Millis(1_000);

/// Addresses that a daemon serves on.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Resource interface.
    pub api: SocketAddr,
    /// Health, readiness and metrics.
    pub admin: SocketAddr,
    /// Links with other daemons.
    pub peers: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    kernel: Arc<Kernel>,
    log: slog::Logger,
    addresses: Addresses,
    drain: Millis,
    ready: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    servers: Stop,
}

impl Daemon {
    /// Starts all services.
    ///
    /// # Errors
    ///
    /// `Unavailable` if an address can't be bound, `Invalid` if a key can't be read.
    pub async fn start(settings: Settings, executor: Arc<Executor<'static>>, log: slog::Logger) -> Result<Self> {
        let kernel = Kernel::new(executor.clone());
        let api_listener = bind("bind api", settings.api).await?;
        let admin_listener = bind("bind admin", settings.admin).await?;
        kernel.register(Arc::new(Metrics::new()?))?;
        let metrics = kernel.find::<Metrics>()?;
        let platform = HttpClient::new(executor.clone(), STORE_CONNECTIONS, STORE_BODY);
        let platform = Arc::new(platform.with_traffic(metrics.traffic.clone(), "platform"));
        let store = Store::new(
            platform,
            settings.platform.address.to_string(),
            settings.platform.timeout,
        );
        let store = Arc::new(store.with_metrics(metrics.clone()));
        kernel.register(store.clone())?;
        kernel.register(Arc::new(Storage {
            table: store.clone(),
            objects: store,
        }))?;
        let peers = start_peers(&kernel, &settings, &log)?;
        let addresses = Addresses {
            api: local(&api_listener)?,
            admin: local(&admin_listener)?,
            peers: peers.local_address()?,
        };
        start_services(&kernel, &settings, &addresses, &executor, &log)?;

        let ready = Arc::new(AtomicBool::new(true));
        let servers = Stop::new();
        let open = Arc::new(AtomicUsize::new(0));
        let api = start_api(&kernel, &settings, &log)?;
        let handler: HttpHandler = Arc::new(move |request| {
            let api = api.clone();
            Box::pin(async move { api.handle(request).await })
        });
        let limits = settings.limits.http();
        let connections = limits.connections.min(client_connections(None, 0));
        let memory = ClientMemory::new(
            settings.limits.memory << 20,
            connections,
            metrics.clients.clone(),
            component_logger(&log, Component::Api),
        );
        let memory = Arc::new(memory);
        let server = |handler, limits| {
            Arc::new(HttpServer {
                executor: executor.clone(),
                limits,
                handler,
                refusal: refusal(),
                stop: servers.clone(),
                open: open.clone(),
                memory: memory.clone(),
            })
        };
        executor.spawn(server(handler, limits).serve(api_listener)).detach();
        let admin = admin_handler(kernel.clone(), ready.clone());
        let admin_limits = HttpLimits {
            reserved: true,
            ..HttpLimits::default()
        };
        executor
            .spawn(server(admin, admin_limits).serve(admin_listener))
            .detach();
        slog::info!(log, "serving"; "api" => %addresses.api, "admin" => %addresses.admin,
            "peers" => %addresses.peers);
        Ok(Self {
            kernel,
            log,
            addresses,
            drain: settings.drain,
            ready,
            open,
            servers,
        })
    }

    /// Addresses that it serves on.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Ends gracefully: fails readiness, hands over lease and workers, serves during the drain time,
    /// answers what is in flight, then ends all services.
    pub async fn stop(self) {
        slog::info!(self.log, "stopping"; "drain" => self.drain.0);
        self.ready.store(false, Ordering::Relaxed);
        if let Ok(members) = self.kernel.find::<Members>() {
            members.leave().await;
        }
        if let Ok(govern) = self.kernel.find::<SchedulerService>() {
            govern.resign().await;
        }
        Timer::after(self.drain.duration()).await;
        if let Ok(api) = self.kernel.find::<Api>() {
            api.stopping.raise();
        }
        self.servers.raise();
        let deadline = self.kernel.clock.now() + END_TIMEOUT;
        while self.open.load(Ordering::Relaxed) > 0 && self.kernel.clock.now() < deadline {
            Timer::after(Millis(20).duration()).await;
        }
        let _ = within(END_TIMEOUT, self.kernel.stop()).await;
        slog::info!(self.log, "stopped");
    }
}

async fn bind(step: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|e| Error::new(ErrorKind::Unavailable, step, e).at(address.to_string()))
}

fn local(listener: &TcpListener) -> Result<SocketAddr> {
    listener
        .local_addr()
        .map_err(|e| Error::new(ErrorKind::Internal, "read address", e))
}

fn start_peers(kernel: &Arc<Kernel>, settings: &Settings, log: &slog::Logger) -> Result<Arc<Peers>> {
    let log = component_logger(log, Component::Peers);
    let tls = PeerTls::read(&settings.peers.ca, &settings.peers.certificate, &settings.peers.key)?;
    let region = settings.region.clone();
    let weak = Arc::downgrade(kernel);
    let handler: crate::peers::PeerHandler = Arc::new(move |envelope| {
        let region = region.clone();
        let kernel = weak.upgrade();
        Box::pin(async move {
            match kernel {
                Some(kernel) => dispatch(kernel, region, envelope.from, envelope.request, envelope.timeout).await,
                None => {
                    let error = Error::msg(ErrorKind::Unavailable, "answer peer", "the daemon has stopped");
                    crate::message::Response::Failed((&error).into())
                }
            }
        })
    });
    let refused: crate::peers::PeerReport = Arc::new(move |address, error| {
        slog::warn!(log, "refused"; "address" => %address, "error" => %error);
    });
    let peer_settings = LinkSettings {
        name: settings.name.clone(),
        listen: settings.peers.listen,
        tls,
        refused: Some(refused),
    };
    let peers = Peers::start(kernel, peer_settings, handler)?;
    kernel.register(peers.clone())?;
    Ok(peers)
}

fn start_services(
    kernel: &Arc<Kernel>,
    settings: &Settings,
    addresses: &Addresses,
    executor: &Arc<Executor<'static>>,
    log: &slog::Logger,
) -> Result<()> {
    let advertised = settings.peers.advertise.unwrap_or(addresses.peers).to_string();
    let incarnation = new_incarnation();
    let me = Member {
        name: settings.name.clone(),
        incarnation,
        address: advertised.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        state: MemberState::Live,
        policy: crate::ids::Revision(0),
    };
    let (dispatcher, region) = (kernel.clone(), settings.region.clone());
    let local: crate::links::Dispatch = Arc::new(move |from, request, timeout| {
        Box::pin(dispatch(dispatcher.clone(), region.clone(), from, request, timeout))
    });
    kernel.register(Arc::new(Links::new(kernel.clone(), settings.name.clone(), local)))?;
    Config::start(kernel, settings.name.clone(), component_logger(log, Component::Policy))?;
    let traffic = kernel.find::<Metrics>()?.traffic.clone();
    let workers = HttpClient::new(executor.clone(), WORKER_CONNECTIONS, WORKER_BODY);
    let workers = Arc::new(workers.with_traffic(traffic, "workers"));
    let region = settings.region.clone();
    let supervise = Supervisor::new(
        kernel.clone(),
        workers,
        region,
        component_logger(log, Component::Supervisor),
    );
    kernel.register(supervise.clone())?;
    kernel.spawn_until_stop(supervise.report_alive());
    let seeds = settings.seeds.iter().map(ToString::to_string).collect();
    Members::start(kernel, me, seeds, component_logger(log, Component::Members))?;
    let log = component_logger(log, Component::Scheduler);
    let govern = SchedulerSettings {
        region: settings.region.clone(),
        me: settings.name.clone(),
        incarnation,
        address: advertised,
        capacity: None,
        times: ElectionTimes::default(),
        row_bytes: usize::MAX,
        retention: Retention::default(),
        step_limits: StepLimits::default(),
    };
    SchedulerService::start(kernel, govern, log).map(drop)
}

fn start_api(kernel: &Arc<Kernel>, settings: &Settings, log: &slog::Logger) -> Result<Arc<Api>> {
    let api = Arc::new(Api {
        kernel: kernel.clone(),
        region: settings.region.clone(),
        log: component_logger(log, Component::Api),
        links: kernel.find()?,
        config: kernel.find()?,
        members: kernel.find()?,
        metrics: kernel.find()?,
        admission: std::sync::Mutex::new(initial_admission()),
        running: AtomicUsize::new(0),
        watches: Arc::new(AtomicUsize::new(0)),
        watch_limit: settings.limits.watches,
        stopping: Stop::new(),
    });
    kernel.register(api.clone())?;
    Ok(api)
}

/// Admission by the default limits, until the first request brings those in force.
fn initial_admission() -> Admission {
    let limits = Limits::default();
    let defaults = AccountLimits {
        rate: limits.rate,
        outstanding: limits.requests,
        weight: 1,
    };
    Admission::new(limits.requests, defaults)
}

fn refusal() -> HttpRefusal {
    Arc::new(|status, reason| {
        let kind = match status {
            StatusCode::REQUEST_TIMEOUT => ErrorKind::Timeout,
            StatusCode::SERVICE_UNAVAILABLE => ErrorKind::Unavailable,
            _ => ErrorKind::Invalid,
        };
        let mut error = Error::msg(kind, "read request", reason);
        if kind == ErrorKind::Unavailable {
            error = error.retry_after(SHED_RETRY.0);
        }
        let mut reply = error_reply(&error, false);
        reply.status = status;
        reply
    })
}

fn admin_handler(kernel: Arc<Kernel>, ready: Arc<AtomicBool>) -> HttpHandler {
    Arc::new(move |request| {
        let reply = admin(&kernel, &ready, &request);
        Box::pin(async move { reply })
    })
}

fn admin(kernel: &Arc<Kernel>, ready: &AtomicBool, request: &HttpRequest) -> HttpReply {
    match request.path.as_str() {
        "/healthz" => HttpReply::text(StatusCode::OK, "ok\n"),
        "/readyz" => match readiness(kernel, ready) {
            Ok(state) => HttpReply::text(StatusCode::OK, format!("{state}\n")),
            Err(reason) => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/metrics" => match kernel.find::<Metrics>() {
            Ok(metrics) => HttpReply::text(StatusCode::OK, metrics.render()),
            Err(error) => HttpReply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")),
        },
        _ => HttpReply::text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Whether callers may be sent here; a ready daemon that can't reach the table service says that it may be behind.
fn readiness(kernel: &Arc<Kernel>, ready: &AtomicBool) -> Result<&'static str, String> {
    if !ready.load(Ordering::Relaxed) {
        return Err("stopping".to_owned());
    }
    let config = kernel.find::<Config>().map_err(|error| error.to_string())?;
    if !config.is_ready() {
        return Err("the configuration is not known yet".to_owned());
    }
    if config.is_behind() {
        return Err("a newer configuration is known and not in force yet".to_owned());
    }
    if !config.store_reached() {
        return Ok("ready; the table service is not reached, the configuration may be behind");
    }
    Ok("ready")
}
