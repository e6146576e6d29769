//! A daemon for jobs made of steps whose platform is reached through edges given from outside.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_executor::Executor;
use async_io::Timer;

use crate::active::Retention;
use crate::capacity::Capacity;
use crate::clock::{Millis, within};
use crate::edge::{HostList, Hosts, Objects, RulesSource, Table};
use crate::election::ElectionTimes;
use crate::error::{Error, ErrorKind, Result};
use crate::gateway::Gateway;
use crate::ids::{AccountName, DaemonName, RegionName};
use crate::kernel::Kernel;
use crate::leader_probe::LeaderProbe;
use crate::logging::{Component, component_logger};
use crate::metrics::Metrics;
use crate::peers::{LinkSettings, Peers};
use crate::pki::Authority;
use crate::rules_watch::RulesWatch;
use crate::scheduler_service::{SchedulerService, SchedulerSettings, new_incarnation};
use crate::serve::dispatch;
use crate::steps::{Queue, Rules, StepAnswer, StepCall, StepLimits};
use crate::steps_io::HostClients;
use crate::storage::Storage;

/// Times of the scheduler's lease. Work stands still between a crash and the next election, so that the lease is
/// short; three renewals fit into it.
const TIMES: ElectionTimes = ElectionTimes {
    ttl: Millis(1_200),
    renew_interval: Millis(300),
    margin: Millis(150),
    poll_interval: Millis(300),
    poll_holdoff: Millis(500),
};

/// Pause before a failed start of the links is tried again.
const START_PAUSE: Millis = Millis(200);

/// Silence of the scheduler after which callers are sent elsewhere: longer than an election takes.
const MAX_SILENCE: Millis = Millis(4_000);

/// Longest time for the services to end.
const END_TIMEOUT: Millis = Millis(1_000);

/// The platform as this daemon uses it.
#[derive(Clone)]
pub struct Edges {
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// Workers.
    pub hosts: Arc<dyn Hosts>,
    /// List of workers.
    pub listing: Arc<dyn HostList>,
    /// Configuration.
    pub rules: Arc<dyn RulesSource>,
}

/// Settings of a [`StepDaemon`].
#[derive(Clone, Debug)]
pub struct StepSettings {
    /// Name, unique among the daemons.
    pub name: DaemonName,
    /// Region.
    pub region: RegionName,
    /// Address of the links with the other daemons.
    pub peers: SocketAddr,
    /// Age of what is known about keys from which on calls that need one are refused; never if absent.
    pub key_age: Option<Millis>,
    /// Most bytes in a row of the table service.
    pub row_bytes: usize,
    /// How long a job that has ended can be read.
    pub job_retention: Millis,
    /// Limits of the platform and of this daemon for runs.
    pub step_limits: StepLimits,
    /// Resources of this daemon; all daemons without them count as equal.
    pub capacity: Option<Capacity>,
}

/// Why a call is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The configuration is not known yet, or what is known of keys is too old.
    Unready(&'static str),
    /// No queue has this host and path.
    NoQueue,
    /// No account has this key.
    UnknownKey,
}

/// A call that may be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The queue.
    pub queue: Queue,
    /// The account that the key belongs to; none for an open queue.
    pub account: AccountName,
}

/// A running daemon for jobs made of steps.
pub struct StepDaemon {
    kernel: Arc<Kernel>,
    settings: StepSettings,
    log: slog::Logger,
    rules: Arc<RulesWatch>,
    gateway: Arc<Gateway>,
    stopping: AtomicBool,
}

impl StepDaemon {
    /// Starts all services; those that need the table service follow once it answers.
    ///
    /// # Errors
    ///
    /// `Internal` if a service can't be registered.
    pub fn start(
        settings: StepSettings,
        edges: Edges,
        metrics: Arc<Metrics>,
        executor: Arc<Executor<'static>>,
        log: &slog::Logger,
    ) -> Result<Arc<Self>> {
        let kernel = Kernel::new(executor);
        kernel.register(metrics)?;
        kernel.register(Arc::new(Storage {
            table: edges.table,
            objects: edges.objects,
        }))?;
        kernel.register(Arc::new(HostClients {
            hosts: edges.hosts,
            listing: edges.listing,
        }))?;
        let rules = RulesWatch::start(
            &kernel,
            edges.rules,
            settings.step_limits.evacuations,
            component_logger(log, Component::Policy),
        )?;
        let gateway = Arc::new(Gateway {
            kernel: kernel.clone(),
            log: component_logger(log, Component::Api),
        });
        kernel.register(gateway.clone())?;
        let daemon = Arc::new(Self {
            kernel: kernel.clone(),
            settings,
            log: log.clone(),
            rules,
            gateway,
            stopping: AtomicBool::new(false),
        });
        kernel.spawn_until_stop(daemon.clone().boot());
        Ok(daemon)
    }

    /// Starts the links and the scheduler, again until that succeeds.
    async fn boot(self: Arc<Self>) {
        loop {
            match self.start_links().await {
                Ok(()) => return,
                Err(error) => slog::warn!(self.log, "links not started"; "error" => %error),
            }
            Timer::after(START_PAUSE.duration()).await;
        }
    }

    async fn start_links(&self) -> Result<()> {
        let settings = &self.settings;
        let durable = self.kernel.find::<Storage>()?;
        let tls = Authority::load(durable.table.as_ref(), &settings.region)
            .await?
            .issue()?;
        let log = component_logger(&self.log, Component::Peers);
        let refused: crate::peers::PeerReport = Arc::new(move |address, error| {
            slog::warn!(log, "refused"; "address" => %address, "error" => %error);
        });
        let links = LinkSettings {
            name: settings.name.clone(),
            listen: settings.peers,
            tls,
            refused: Some(refused),
        };
        let (weak, region) = (Arc::downgrade(&self.kernel), settings.region.clone());
        let handler: crate::peers::PeerHandler = Arc::new(move |envelope| {
            let (kernel, region) = (weak.upgrade(), region.clone());
            Box::pin(async move {
                let Some(kernel) = kernel else {
                    let error = Error::msg(ErrorKind::Unavailable, "answer peer", "the daemon has stopped");
                    return crate::scheduler_service::failed(&error);
                };
                dispatch(kernel, region, envelope.from, envelope.request, envelope.timeout).await
            })
        });
        let peers = Peers::start(&self.kernel, links, handler)?;
        self.kernel.register(peers)?;
        let govern = SchedulerSettings {
            region: settings.region.clone(),
            me: settings.name.clone(),
            incarnation: new_incarnation(),
            address: settings.peers.to_string(),
            times: TIMES,
            capacity: settings.capacity,
            row_bytes: settings.row_bytes,
            retention: Retention {
                span: settings.job_retention,
                ..Retention::default()
            },
            step_limits: settings.step_limits,
        };
        SchedulerService::start(&self.kernel, govern, component_logger(&self.log, Component::Scheduler))?;
        let log = component_logger(&self.log, Component::Members);
        let names = (settings.region.clone(), settings.name.clone());
        LeaderProbe::start(&self.kernel, names, settings.peers.to_string(), settings.capacity, log)?;
        slog::info!(self.log, "links started"; "address" => %settings.peers);
        Ok(())
    }

    /// Finds the queue and the account of a call. `id` names the call in the log.
    ///
    /// # Errors
    ///
    /// Why the call is not passed on.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>, id: &str) -> std::result::Result<Admitted, Denial> {
        let rules = self.rules.rules();
        let admitted = self.decide(rules.as_deref(), host, path, key);
        if let Err(denial) = &admitted {
            slog::info!(self.log, "api: denied"; "job" => id, "path" => path, "reason" => ?denial,
                "version" => rules.map(|rules| rules.version.0), "age" => self.rules.age().map(|age| age.0));
        }
        admitted
    }

    fn decide(
        &self,
        rules: Option<&Rules>,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> std::result::Result<Admitted, Denial> {
        let rules = rules.ok_or(Denial::Unready("the configuration is not known yet"))?;
        let queue = rules.queue(host, path).ok_or(Denial::NoQueue)?;
        let account = match queue.public {
            true => AccountName::default(),
            false if self.keys_aged() => return Err(Denial::Unready("keys were not confirmed lately")),
            false => key
                .and_then(|key| rules.account(key))
                .cloned()
                .ok_or(Denial::UnknownKey)?,
        };
        let queue = queue.clone();
        Ok(Admitted { queue, account })
    }

    /// Whether what is known of keys is too old to be trusted.
    fn keys_aged(&self) -> bool {
        let aged = |limit: Millis| self.rules.age().is_none_or(|age| age >= limit);
        self.settings.key_age.is_some_and(aged)
    }

    /// Sends a request to the scheduler; `left` is the time that the caller still waits.
    pub async fn call(&self, call: &StepCall, left: Millis) -> StepAnswer {
        self.gateway.call(call, self.kernel.clock.now() + left).await
    }

    /// Whether callers may be sent here; the reason if not.
    ///
    /// # Errors
    ///
    /// The reason.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Err("stopping");
        }
        if self.rules.rules().is_none() {
            return Err("the configuration is not known yet");
        }
        if self.keys_aged() {
            return Err("keys were not confirmed lately");
        }
        match self.kernel.find::<LeaderProbe>() {
            Ok(beats) if beats.silence() < MAX_SILENCE => Ok(()),
            Ok(_) => Err("the scheduler does not answer"),
            Err(_) => Err("the links are not started yet"),
        }
    }

    /// Hands the scheduler's lease over and fails readiness; calls are served on.
    pub async fn leave(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Ok(govern) = self.kernel.find::<SchedulerService>() {
            govern.resign().await;
        }
    }

    /// Ends all services.
    pub async fn stop(&self) {
        if within(END_TIMEOUT, self.kernel.stop()).await.is_none() {
            slog::warn!(self.log, "services did not end in time"; "limit" => END_TIMEOUT.0);
        }
    }
}
