//! Starts the processes of a bench.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use pistachiostair::{MemberState, VmRole};
use serde_json::{Value, json};

use crate::bench::Bench;
use crate::process::Process;
use crate::udp_relay::UdpRelay;

/// Time within which a process must serve.
pub(crate) const START: Duration = Duration::from_secs(20);
/// Region of daemons and workers.
pub(crate) const REGION: &str = "fi";
/// Region of the daemons and workers of [`Setup::far_daemons`] and [`Setup::far_workers`].
pub const FAR_REGION: &str = "sn";
/// Failure domains.
const DOMAINS: [&str; 3] = ["helsinki", "espoo", "vantaa"];
/// Workers in a rack.
const PER_RACK: usize = 4;

/// What to start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Daemons.
    pub daemons: usize,
    /// Worker processes.
    pub workers: usize,
    /// Workers in each of these processes.
    pub identities: usize,
    /// Slots of each worker.
    pub slots: u32,
    /// Accelerators of each worker.
    pub accelerators: u32,
    /// Daemons of a second region, after the others. If there are any, each daemon is reached through a relay that can
    /// drop what the other region sends.
    pub far_daemons: usize,
    /// Worker processes of the second region, after the others.
    pub far_workers: usize,
    /// Drain time of the daemons in milliseconds.
    pub drain: u64,
    /// Whether each daemon reaches the platform through a relay of its own.
    pub platform_relays: bool,
    /// Whether daemons reach each worker through a relay of its own.
    pub worker_relays: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 3,
            identities: 1,
            far_daemons: 0,
            far_workers: 0,
            slots: 8,
            accelerators: 8,
            drain: 500,
            platform_relays: false,
            worker_relays: false,
        }
    }
}

impl Setup {
    pub(crate) fn daemon_region(&self, index: usize) -> &'static str {
        region(index >= self.daemons)
    }

    pub(crate) fn worker_region(&self, index: usize) -> &'static str {
        region(index >= self.workers)
    }

    /// Address that the links of a daemon use: one for each region.
    fn link_ip(&self, index: usize) -> IpAddr {
        Ipv4Addr::new(127, 0, 0, if index < self.daemons { 1 } else { 2 }).into()
    }
}

fn region(far: bool) -> &'static str {
    if far { FAR_REGION } else { REGION }
}

/// A process with the address that it serves on.
pub(crate) struct Server {
    pub(crate) process: Process,
    pub(crate) address: String,
}

pub(crate) struct Relayed {
    pub(crate) process: Process,
    pub(crate) address: String,
    pub(crate) control: String,
}

pub(crate) struct Daemon {
    pub(crate) server: Server,
    pub(crate) admin: String,
    pub(crate) peers: String,
    pub(crate) relay: Option<Arc<UdpRelay>>,
}

/// A directory that is removed when it is dropped, unless a test fails: it holds the logs.
pub(crate) struct Scratch(pub(crate) PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

impl Bench {
    pub(crate) fn add_worker(&mut self, index: usize) -> Result<()> {
        let name = worker_name(index);
        let domain = DOMAINS[index / PER_RACK % DOMAINS.len()];
        let rack = format!("r{}", index / PER_RACK);
        let (slots, accelerators) = (self.setup.slots.to_string(), self.setup.accelerators.to_string());
        let log = self.worker_log(index).display().to_string();
        let mut args = vec![
            "--name",
            &name,
            "--region",
            self.setup.worker_region(index),
            "--domain",
            domain,
            "--rack",
            &rack,
            "--slots",
            &slots,
            "--accelerators",
            &accelerators,
            "--log",
            &log,
        ];
        let count = self.setup.identities.to_string();
        if self.setup.identities > 1 {
            args.extend(["--count", &count]);
        }
        let platform = self.platform.address.clone();
        if !self.setup.worker_relays {
            args.extend(["--platform", &platform]);
        }
        let server = start_server(&name, "standin-worker", &args, self.dir())?;
        if self.setup.worker_relays {
            let relay = self.start_relay(&format!("{name}-relay"), &server.address)?;
            let region = self.setup.worker_region(index);
            self.list_vm_of(region, &name, VmRole::Worker, &relay.address, MemberState::Live)?;
            self.worker_relays.push(relay);
        }
        self.workers.push(server);
        Ok(())
    }

    pub(crate) fn worker_log(&self, index: usize) -> PathBuf {
        self.dir().join(format!("{}.log", worker_name(index)))
    }

    pub(crate) fn start_relay(&self, name: &str, target: &str) -> Result<Relayed> {
        let Server { process, address } = start_server(name, "standin-relay", &["--target", target], self.dir())?;
        let control = process.value("control ", START)?;
        Ok(Relayed {
            process,
            address,
            control,
        })
    }

    pub(crate) fn start_daemon(&self, index: usize) -> Result<Daemon> {
        let name = format!("d{index}");
        let path = self.dir().join(format!("{name}.yaml"));
        let ip = self.setup.link_ip(index);
        let relay = match self.setup.far_daemons {
            0 => None,
            _ => Some(self.block(UdpRelay::start(&self.executor, ip))?),
        };
        let mut settings = self.settings(index);
        settings["peers"]["listen"] = json!(SocketAddr::new(ip, 0));
        settings["peers"]["advertise"] = json!(relay.as_ref().map(|relay| relay.address()));
        std::fs::write(&path, settings.to_string())?;
        let process = Process::start(&name, "pistachiostaird", &[&path.display().to_string()], self.dir())?;
        let line = process.line(START)?;
        let address = |key: &str| -> Result<SocketAddr> {
            let field = line.split_whitespace().find_map(|word| word.strip_prefix(key));
            let address = field.with_context(|| format!("{name}: {key} is missing in {line:?}"))?;
            Ok(address.parse()?)
        };
        let mut peers = address("peers=")?;
        if let Some(relay) = &relay {
            relay.set_target(peers);
            peers = relay.address();
        }
        let (admin, peers) = (address("admin=")?.to_string(), peers.to_string());
        let server = Server {
            address: address("api=")?.to_string(),
            process,
        };
        let region = self.setup.daemon_region(index);
        self.list_vm_of(region, &name, VmRole::Daemon, &peers, MemberState::Live)?;
        Ok(Daemon {
            server,
            admin,
            peers,
            relay,
        })
    }

    /// Settings of a daemon; JSON is YAML as well.
    fn settings(&self, index: usize) -> Value {
        let others = self.daemons.iter().enumerate().filter(|(other, _)| *other != index);
        let seeds: Vec<&str> = others.map(|(_, daemon)| daemon.peers.as_str()).collect();
        let relay = self.platform_relays.get(index);
        let platform = relay.map_or(&self.platform.address, |relay| &relay.address);
        json!({
            "name": format!("d{index}"),
            "region": self.setup.daemon_region(index),
            "domain": DOMAINS[index % DOMAINS.len()],
            "api": {"listen": "127.0.0.1:0"},
            "admin": {"listen": "127.0.0.1:0"},
            "peers": {
                "listen": "127.0.0.1:0",
                "ca": "keys/ca.pem",
                "certificate": "keys/node.pem",
                "key": "keys/node.key",
            },
            "platform": {"address": platform},
            "seeds": seeds,
            "drain": self.setup.drain,
            "logging": {"format": "json", "level": "debug"},
        })
    }
}

fn worker_name(index: usize) -> String {
    format!("w{index}")
}

pub(crate) fn start_server(name: &str, binary: &str, args: &[&str], dir: &Path) -> Result<Server> {
    let process = Process::start(name, binary, args, dir)?;
    let address = process.value("listening ", START)?;
    Ok(Server { process, address })
}

/// A directory of its own for each bench of each process.
pub(crate) fn new_dir() -> Result<Scratch> {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("standin-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(Scratch(dir))
}
