//! Starts the processes of a bench.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use pistachiostair::{MemberState, VmRole};
use serde_json::{Value, json};

use crate::bench::Bench;
use crate::build::Build;
use crate::process::Process;
use crate::udp_relay::Impairment;

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
    /// Daemons of a second region, after the others. If there are any, each daemon is reached through a relay.
    pub far_daemons: usize,
    /// Worker processes of the second region, after the others.
    pub far_workers: usize,
    /// Drain time of the daemons in milliseconds.
    pub drain: u64,
    /// Whether each daemon reaches the platform through a relay of its own.
    pub platform_relays: bool,
    /// Whether daemons reach each worker through a relay of its own.
    pub worker_relays: bool,
    /// What the links to each daemon go through, if through a relay of its own.
    pub peer_relays: Option<Impairment>,
    /// Builds of daemons whose number does not decide it, see [`Build::of`].
    pub builds: BTreeMap<usize, Build>,
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
            peer_relays: None,
            builds: BTreeMap::new(),
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

    fn daemon_build(&self, index: usize) -> Build {
        self.builds.get(&index).copied().unwrap_or_else(|| Build::of(index))
    }

    /// What the links to each daemon go through. Between regions there is always a relay that can be cut.
    fn link_relays(&self) -> Option<Impairment> {
        let between = (self.far_daemons > 0).then(Impairment::default);
        self.peer_relays.or(between)
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
    /// Address that other daemons use for links, that of the relay if there is one.
    pub(crate) peers: String,
    pub(crate) relay: Option<Relayed>,
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
        let process = Process::start(&name, Build::of(index), "standin-worker", &args, self.dir())?;
        let address = process.value("listening ", START)?;
        let server = Server { process, address };
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

    /// Starts the relay before a daemon's links. Its target is set once the daemon has bound its own address.
    fn start_peer_relay(&self, index: usize, impairment: Impairment) -> Result<Relayed> {
        let values = [
            ("--loss", impairment.loss.to_string()),
            ("--duplicates", impairment.duplicates.to_string()),
            ("--least", impairment.delay.0.to_string()),
            ("--largest", impairment.delay.1.to_string()),
            ("--seed", (impairment.seed + index as u64).to_string()),
        ];
        let args: Vec<&str> = values
            .iter()
            .flat_map(|(name, value)| [*name, value.as_str()])
            .collect();
        let name = format!("peer-relay-{index}");
        let Server { process, address } = start_server(&name, "standin-udp-relay", &args, self.dir())?;
        let control = process.value("control ", START)?;
        Ok(Relayed {
            process,
            address,
            control,
        })
    }

    pub(crate) fn start_daemon(&self, index: usize) -> Result<Daemon> {
        let impairment = self.setup.link_relays();
        let relay = impairment.map(|impairment| self.start_peer_relay(index, impairment));
        let relay = relay.transpose()?;
        let name = format!("d{index}");
        let path = self.dir().join(format!("{name}.yaml"));
        let advertised = relay.as_ref().map(|relay| relay.address.as_str());
        std::fs::write(&path, self.settings(index, advertised).to_string())?;
        let build = self.setup.daemon_build(index);
        let process = Process::start(
            &name,
            build,
            "pistachiostaird",
            &[&path.display().to_string()],
            self.dir(),
        )?;
        let line = process.line(START)?;
        let address = |key: &str| -> Result<String> {
            let field = line.split_whitespace().find_map(|word| word.strip_prefix(key));
            let address = field.with_context(|| format!("{name}: {key} is missing in {line:?}"))?;
            Ok(address.parse::<SocketAddr>()?.to_string())
        };
        let (admin, bound) = (address("admin=")?, address("peers=")?);
        let peers = match &relay {
            Some(relay) => {
                self.control(relay, &format!("target/{bound}"))?;
                relay.address.clone()
            }
            None => bound,
        };
        let server = Server {
            address: address("api=")?,
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
    fn settings(&self, index: usize, advertised: Option<&str>) -> Value {
        let others = self.daemons.iter().enumerate().filter(|(other, _)| *other != index);
        let seeds: Vec<&str> = others.map(|(_, daemon)| daemon.peers.as_str()).collect();
        let relay = self.platform_relays.get(index);
        let platform = relay.map_or(&self.platform.address, |relay| &relay.address);
        let mut settings = json!({
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
        });
        if let Some(address) = advertised {
            settings["peers"]["advertise"] = address.into();
            settings["peers"]["listen"] = format!("{}:0", link_host(index)).into();
        }
        settings
    }
}

/// Loopback host of a daemon's links, so that a relay can tell one daemon's datagrams from another's.
pub(crate) fn link_host(daemon: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, 1 + daemon as u8)
}

fn worker_name(index: usize) -> String {
    format!("w{index}")
}

pub(crate) fn start_server(name: &str, binary: &str, args: &[&str], dir: &Path) -> Result<Server> {
    let process = Process::start(name, Build::Own, binary, args, dir)?;
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
