//! Starts a platform, workers and daemons as processes and gives tests access to them.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use async_executor::{Executor, Task};
use hyper::Method;
use pistachiostair::{HttpAnswer, HttpCall, HttpClient, MemberState, Millis, Row, Vm, VmRole};
use serde_json::Value;

use crate::build::Build;
use crate::caller::Caller;
use crate::check::read_log;
use crate::inventory::LogEntry;
use crate::keys::write_keys;
use crate::launch::{Daemon, REGION, Relayed, START, Scratch, Server, Setup, link_host, new_dir, start_server};
use crate::platform::Counts;
use crate::process::{Process, end_on_signal};
use crate::server::ask;

/// Connections of callers to one daemon.
const CONNECTIONS: usize = 2_000;
/// Largest response that callers read, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;
/// Running processes. All of them end when this value is dropped.
pub struct Bench {
    /// Callers' client.
    pub caller: Caller,
    pub(crate) setup: Setup,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) client: Arc<HttpClient>,
    pub(crate) entries: Arc<Mutex<Vec<String>>>,
    pub(crate) platform: Server,
    pub(crate) platform_relays: Vec<Relayed>,
    pub(crate) workers: Vec<Server>,
    pub(crate) worker_relays: Vec<Relayed>,
    pub(crate) daemons: Vec<Daemon>,
    /// Last, so that the processes end before it is removed.
    pub(crate) dir: Scratch,
}

impl Bench {
    /// Starts everything and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// If a process does not start; those that did are ended.
    pub fn start(setup: Setup) -> Result<Self> {
        end_on_signal();
        let dir = new_dir()?;
        write_keys(&dir.0.join("keys"))?;
        let executor = Arc::new(Executor::new());
        let runner = executor.clone();
        // The thread lives as long as the test process.
        thread::spawn(move || async_io::block_on(runner.run(std::future::pending::<()>())));
        let client = Arc::new(HttpClient::new(executor.clone(), CONNECTIONS, MAX_BODY));
        let entries = Arc::new(Mutex::new(Vec::new()));
        let platform = start_server("platform", "standin-platform", &[], &dir.0)?;
        let mut bench = Self {
            caller: Caller::new(client.clone(), entries.clone()),
            dir,
            setup: setup.clone(),
            executor,
            client,
            entries,
            platform,
            platform_relays: Vec::new(),
            workers: Vec::new(),
            worker_relays: Vec::new(),
            daemons: Vec::new(),
        };
        for index in 0..setup.workers + setup.far_workers {
            bench.add_worker(index)?;
        }
        for index in 0..setup.daemons + setup.far_daemons {
            if setup.platform_relays {
                let relay = bench.start_relay(&format!("platform-relay-{index}"), &bench.platform.address)?;
                bench.platform_relays.push(relay);
            }
            let daemon = bench.start_daemon(index)?;
            bench.daemons.push(daemon);
        }
        for index in 0..setup.daemons + setup.far_daemons {
            bench.await_ready(index)?;
            bench.set_entry(index, true);
        }
        Ok(bench)
    }

    /// Directory with settings, keys and logs.
    pub fn dir(&self) -> &Path {
        &self.dir.0
    }

    /// Runs a future to its end.
    pub fn block<T>(&self, future: impl Future<Output = T>) -> T {
        async_io::block_on(future)
    }

    /// Runs a future in the background.
    pub fn spawn<T: Send + 'static>(&self, future: impl Future<Output = T> + Send + 'static) -> Task<T> {
        self.executor.spawn(future)
    }

    /// The executor of callers.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        self.executor.clone()
    }

    /// Address of the interface for callers of a daemon.
    pub fn api(&self, daemon: usize) -> &str {
        &self.daemons[daemon].server.address
    }

    /// Address of `/healthz`, `/readyz` and `/metrics` of a daemon.
    pub fn admin(&self, daemon: usize) -> &str {
        &self.daemons[daemon].admin
    }

    /// Address of the platform.
    pub fn platform(&self) -> &str {
        &self.platform.address
    }

    /// Address of a worker, not of its relay.
    pub fn worker(&self, worker: usize) -> &str {
        &self.workers[worker].address
    }

    /// Process of a daemon.
    pub fn daemon_process(&mut self, daemon: usize) -> &mut Process {
        &mut self.daemons[daemon].server.process
    }

    /// Process id of a daemon.
    pub fn daemon_id(&self, daemon: usize) -> u32 {
        self.daemons[daemon].server.process.id()
    }

    /// What the platform was asked so far.
    ///
    /// # Errors
    ///
    /// If it does not respond.
    pub fn counts(&self) -> Result<Counts> {
        self.ask_platform(Method::GET, "/control/counts", &())
    }

    /// Process of a worker.
    pub fn worker_process(&mut self, worker: usize) -> &mut Process {
        &mut self.workers[worker].process
    }

    /// Index of the daemon that holds the region's lease.
    ///
    /// # Errors
    ///
    /// If there is no lease or its holder is not among the daemons.
    pub fn leader(&self) -> Result<usize> {
        let row = self.platform_row(&format!("lease/{REGION}"))?;
        let lease: Value = serde_json::from_str(&row.value)?;
        let holder = lease["holder"].as_str().context("the lease names no holder")?;
        let index = holder.strip_prefix('d').and_then(|digits| digits.parse().ok());
        index.with_context(|| format!("{holder} is not one of the daemons"))
    }

    /// A row of the platform's table.
    ///
    /// # Errors
    ///
    /// If there is no such row, or the platform does not respond.
    pub fn platform_row(&self, key: &str) -> Result<Row> {
        let path = format!("/v1/rows/{}", key.replace('/', "%2F"));
        self.ask_platform(Method::GET, &path, &())
    }

    /// Replaces the process of a daemon, which has ended, by a new one on new ports. Callers are
    /// not sent there yet.
    ///
    /// # Errors
    ///
    /// If the new one does not start.
    pub fn restart_daemon(&mut self, index: usize) -> Result<()> {
        self.set_entry(index, false);
        self.daemons[index] = self.start_daemon(index)?;
        Ok(())
    }

    /// Sets the build of a daemon from its next start on.
    pub fn set_build(&mut self, index: usize, build: Build) {
        self.setup.builds.insert(index, build);
    }

    /// Stops sending callers to a daemon, or sends them there again.
    pub fn set_entry(&self, index: usize, used: bool) {
        let mut entries = self.entries.lock().expect("entries lock");
        let address = self.api(index).to_owned();
        entries.retain(|entry| *entry != address);
        if used {
            entries.push(address);
        }
    }

    /// Waits until a daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// If it does not say so in time.
    pub fn await_ready(&self, index: usize) -> Result<()> {
        self.await_that(&format!("d{index} is ready"), START, || self.is_ready(index))
    }

    /// Whether a daemon says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        self.block(get_status(&self.client, self.admin(index), "/readyz")) == Some(200)
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// If it does not hold `within` the time.
    pub fn await_that(&self, what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Result<()> {
        let until = Instant::now() + within;
        while !holds() {
            anyhow::ensure!(
                Instant::now() < until,
                "not within {within:?}: {what}; see {}",
                self.dir().display()
            );
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Adds a VM to the platform's list, or changes it.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub fn list_vm(&self, name: &str, role: VmRole, address: &str, state: MemberState) -> Result<()> {
        self.list_vm_of(REGION, name, role, address, state)
    }

    pub(crate) fn list_vm_of(
        &self,
        region: &str,
        name: &str,
        role: VmRole,
        address: &str,
        state: MemberState,
    ) -> Result<()> {
        let vm = Vm {
            name: name.to_owned(),
            role,
            address: address.to_owned(),
            state,
            region: Some(region.into()),
        };
        self.ask_platform(Method::POST, "/v1/vms", &vm)
    }

    /// Removes a VM from the platform's list.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub fn unlist_vm(&self, name: &str) -> Result<()> {
        self.ask_platform(Method::DELETE, &format!("/v1/vms/{name}"), &())
    }

    /// Sets the platform's fault.
    ///
    /// # Errors
    ///
    /// If the platform does not respond.
    pub fn fault_platform(&self, fault: &Value) -> Result<()> {
        self.ask_platform(Method::POST, "/control/fault", fault)
    }

    /// Sets a worker's fault.
    ///
    /// # Errors
    ///
    /// If the worker does not respond.
    pub fn fault_worker(&self, worker: usize, fault: &Value) -> Result<()> {
        let address = self.worker(worker);
        self.block(ask(&self.client, address, Method::POST, "/control/fault", fault))
    }

    /// Sends `silence`, `cut` or `open` to the relay between a daemon and the platform.
    ///
    /// # Errors
    ///
    /// If the relay does not respond.
    pub fn platform_relay(&self, daemon: usize, order: &str) -> Result<()> {
        self.control(&self.platform_relays[daemon], order)
    }

    /// Cuts the links between a daemon and all others; all of them need relays.
    ///
    /// # Errors
    ///
    /// If there is no relay, or one does not respond.
    pub fn cut_links(&self, daemon: usize) -> Result<()> {
        let block = format!("block/{}", link_host(daemon));
        self.each_link(|index| if index == daemon { "cut" } else { &block })
    }

    /// Cuts the links between the two regions.
    ///
    /// # Errors
    ///
    /// If there is no relay, or one does not respond.
    pub fn cut_regions(&self) -> Result<()> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let relay = daemon.relay.as_ref().context("links without relays")?;
            let region = self.setup.daemon_region(index);
            for other in (0..self.daemons.len()).filter(|other| self.setup.daemon_region(*other) != region) {
                self.control(relay, &format!("block/{}", link_host(other)))?;
            }
        }
        Ok(())
    }

    /// Restores all links between daemons.
    ///
    /// # Errors
    ///
    /// If there is no relay, or one does not respond.
    pub fn open_links(&self) -> Result<()> {
        self.each_link(|_| "open")
    }

    fn each_link<'a>(&self, order: impl Fn(usize) -> &'a str) -> Result<()> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let relay = daemon.relay.as_ref().context("links without relays")?;
            self.control(relay, order(index))?;
        }
        Ok(())
    }

    /// Body of a path on a daemon's admin address, whatever the status.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond.
    pub fn read_admin(&self, daemon: usize, path: &str) -> Result<String> {
        let answer = self.block(get(&self.client, self.admin(daemon), path))?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends `silence`, `cut` or `open` to the relay before a worker.
    ///
    /// # Errors
    ///
    /// If the relay does not respond.
    pub fn worker_relay(&self, worker: usize, order: &str) -> Result<()> {
        self.control(&self.worker_relays[worker], order)
    }

    /// The logs of all workers, also of those that have ended.
    ///
    /// # Errors
    ///
    /// If a log can't be read.
    pub fn log(&self) -> Result<Vec<LogEntry>> {
        let logs = (0..self.setup.workers + self.setup.far_workers).map(|index| read_log(&self.worker_log(index)));
        Ok(logs.collect::<Result<Vec<_>>>()?.concat())
    }

    /// Leaves all processes and the directory, and returns the names and ids of the processes.
    pub fn keep(self) -> Vec<(String, u32)> {
        std::mem::forget(self.dir);
        let daemons = self.daemons.into_iter().map(|daemon| daemon.server);
        let servers = [self.platform].into_iter().chain(self.workers).chain(daemons);
        let relays = self.platform_relays.into_iter().chain(self.worker_relays);
        let processes = servers
            .map(|server| server.process)
            .chain(relays.map(|relay| relay.process));
        let kept = processes.map(|process| {
            let id = (process.name.clone(), process.id());
            process.keep();
            id
        });
        kept.collect()
    }

    pub(crate) fn control(&self, relay: &Relayed, order: &str) -> Result<()> {
        let path = format!("/control/{order}");
        self.block(ask(&self.client, &relay.control, Method::POST, &path, &()))
    }

    fn ask_platform<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T> {
        self.block(ask(&self.client, &self.platform.address, method, path, body))
    }
}

async fn get_status(client: &HttpClient, peer: &str, path: &str) -> Option<u16> {
    get(client, peer, path).await.ok().map(|answer| answer.status.as_u16())
}

async fn get(client: &HttpClient, peer: &str, path: &str) -> pistachiostair::Result<HttpAnswer> {
    let call = HttpCall {
        method: Method::GET,
        path,
        headers: &[],
        body: Default::default(),
        timeout: Millis(1_000),
    };
    client.send(peer, call).await
}
