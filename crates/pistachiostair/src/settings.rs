//! Settings of a daemon, read from YAML and checked as a whole.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_norway::{Mapping, Value};

use crate::clock::Millis;
use crate::http_server::HttpLimits;
use crate::ids::{DaemonName, DomainName, RegionName};
use crate::logging::{LogFormat, LogLevel};
use crate::validate::{Finding, name_fault};

#[cfg(test)]
mod tests;

const DEFAULT_TIMEOUT: u64 = 2_000;
const DEFAULT_DRAIN: u64 = 3_000;
const DEFAULT_WATCHES: u64 = 500;
/// Megabytes: what the smallest machine, of 120 MB, has beside the daemon's own 65 MB and a margin of 15 MB.
const DEFAULT_MEMORY: u64 = 40;
const MAX_WAIT: u64 = 600_000;
const MAX_AGE: u64 = 7 * 24 * 3_600_000;

/// Settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the daemon, unique among all daemons.
    pub name: DaemonName,
    /// Region that it belongs to.
    pub region: RegionName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address of the resource interface.
    pub api: SocketAddr,
    /// Address of `/healthz`, `/readyz` and `/metrics`.
    pub admin: SocketAddr,
    /// Links with the other daemons.
    pub peers: PeerSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Link addresses of daemons to ask at start.
    pub seeds: Vec<SocketAddr>,
    /// Span for which the daemon serves after `/readyz` fails.
    pub drain: Millis,
    /// Logging.
    pub logging: LogSettings,
    /// Limits of the HTTP server.
    pub limits: LimitSettings,
}

/// Settings of the links with the other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address that others use; the bound one if absent.
    pub advertise: Option<SocketAddr>,
    /// PEM file of the certificate authorities that sign peers' certificates.
    pub ca: PathBuf,
    /// PEM file of the daemon's own certificate chain.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub key: PathBuf,
}

/// Settings of the access to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's services.
    pub address: SocketAddr,
    /// Longest wait for a response.
    pub timeout: Millis,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: LogLevel,
}

/// Limits of the HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Connections open at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Watches open at once.
    pub watches: usize,
    /// Longest life of a connection.
    pub age: Millis,
    /// Megabytes that all connections may hold.
    pub memory: usize,
    /// Longest time without a byte of a body whose end has not arrived.
    pub progress: Millis,
}

impl LimitSettings {
    /// The limits in the form that the server takes.
    pub fn http(&self) -> HttpLimits {
        HttpLimits {
            connections: self.connections,
            head: self.head,
            body: self.body,
            age: self.age,
            progress: self.progress,
            ..HttpLimits::default()
        }
    }
}

impl Settings {
    /// Reads settings from a YAML document. Relative paths of files are relative to `base`, the
    /// directory of the settings file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with the document, at once.
    pub fn check(text: &str, base: &Path) -> Result<Self, Vec<Finding>> {
        let document: Value = serde_norway::from_str(text).map_err(|e| vec![Finding::new("", e.to_string())])?;
        let mut reader = Reader {
            base,
            findings: Vec::new(),
        };
        let settings = reader.settings(&document);
        match settings {
            Some(settings) if reader.findings.is_empty() => Ok(settings),
            _ => Err(reader.findings),
        }
    }
}

/// A mapping in the document with its path.
struct Section<'a> {
    path: &'a str,
    entries: Option<&'a Mapping>,
}

impl Section<'_> {
    fn child(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The value of a key; an explicit null counts as absent.
    fn get(&self, key: &str) -> Option<&Value> {
        self.entries?.get(key).filter(|value| !value.is_null())
    }
}

/// Reads fields and collects findings instead of stopping at the first.
struct Reader<'a> {
    base: &'a Path,
    findings: Vec<Finding>,
}

impl Reader<'_> {
    fn settings(&mut self, document: &Value) -> Option<Settings> {
        const KEYS: &[&str] = &[
            "name", "region", "domain", "api", "admin", "peers", "platform", "seeds", "drain", "logging", "limits",
        ];
        let root = self.section("", Some(document), KEYS);
        let daemon = self.required(&root, "name", name);
        let region = self.required(&root, "region", name);
        let domain = self.required(&root, "domain", name);
        let api = self.listener(&root, "api");
        let admin = self.listener(&root, "admin");
        let peers = self.peers(&root);
        let platform = self.platform(&root);
        let seeds = self.seeds(&root);
        let drain = self.optional(&root, "drain", |v| number(v, 0, MAX_WAIT), DEFAULT_DRAIN);
        let logging = self.logging(&root);
        let limits = self.limits(&root);
        Some(Settings {
            name: DaemonName::from(daemon?),
            region: RegionName::from(region?),
            domain: DomainName::from(domain?),
            api: api?,
            admin: admin?,
            peers: peers?,
            platform: platform?,
            seeds,
            drain: Millis(drain),
            logging,
            limits,
        })
    }

    fn listener(&mut self, root: &Section<'_>, key: &'static str) -> Option<SocketAddr> {
        let section = self.section(key, root.get(key), &["listen"]);
        self.required(&section, "listen", address)
    }

    fn peers(&mut self, root: &Section<'_>) -> Option<PeerSettings> {
        const KEYS: &[&str] = &["listen", "advertise", "ca", "certificate", "key"];
        let section = self.section("peers", root.get("peers"), KEYS);
        let listen = self.required(&section, "listen", address);
        let advertise = self.optional(&section, "advertise", |v| target(v).map(Some), None);
        if advertise.is_none() && listen.is_some_and(|listen| listen.ip().is_unspecified()) {
            let reason = "is needed when peers.listen is the unspecified address";
            self.add(section.child("advertise"), reason);
        }
        let base = self.base;
        let ca = self.required(&section, "ca", |v| file(v, base));
        let certificate = self.required(&section, "certificate", |v| file(v, base));
        let key = self.required(&section, "key", |v| file(v, base));
        Some(PeerSettings {
            listen: listen?,
            advertise,
            ca: ca?,
            certificate: certificate?,
            key: key?,
        })
    }

    fn platform(&mut self, root: &Section<'_>) -> Option<PlatformSettings> {
        let section = self.section("platform", root.get("platform"), &["address", "timeout"]);
        let address = self.required(&section, "address", target);
        let timeout = self.optional(&section, "timeout", |v| number(v, 1, MAX_WAIT), DEFAULT_TIMEOUT);
        Some(PlatformSettings {
            address: address?,
            timeout: Millis(timeout),
        })
    }

    fn seeds(&mut self, root: &Section<'_>) -> Vec<SocketAddr> {
        let Some(value) = root.get("seeds") else {
            return Vec::new();
        };
        let Some(list) = value.as_sequence() else {
            self.add("seeds", "must be a list of ip:port addresses");
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for (at, value) in list.iter().enumerate() {
            match target(value) {
                Ok(seed) => seeds.push(seed),
                Err(reason) => self.add(format!("seeds[{at}]"), reason),
            }
        }
        seeds
    }

    fn logging(&mut self, root: &Section<'_>) -> LogSettings {
        let section = self.section("logging", root.get("logging"), &["format", "level"]);
        LogSettings {
            format: self.optional(&section, "format", |v| word(v, "terminal or json"), LogFormat::Terminal),
            level: self.optional(
                &section,
                "level",
                |v| word(v, "trace, debug, info, warn or error"),
                LogLevel::Info,
            ),
        }
    }

    fn limits(&mut self, root: &Section<'_>) -> LimitSettings {
        const KEYS: &[&str] = &["connections", "head", "body", "watches", "age", "memory", "progress"];
        let section = self.section("limits", root.get("limits"), KEYS);
        let default = HttpLimits::default();
        let mut count = |key, least, most, default| self.optional(&section, key, |v| number(v, least, most), default);
        LimitSettings {
            connections: count("connections", 1, 100_000, default.connections as u64) as usize,
            // hyper's read buffer takes no less than 8 KiB.
            head: count("head", 8_192, 1_048_576, default.head as u64) as usize,
            body: count("body", 1_024, 1_048_576, default.body as u64) as usize,
            watches: count("watches", 0, 100_000, DEFAULT_WATCHES) as usize,
            age: Millis(count("age", 1_000, MAX_AGE, default.age.0)),
            memory: count("memory", 8, 65_536, DEFAULT_MEMORY) as usize,
            progress: Millis(count("progress", 1_000, 60_000, default.progress.0)),
        }
    }

    fn section<'a>(&mut self, path: &'a str, value: Option<&'a Value>, known: &[&str]) -> Section<'a> {
        let entries = value.and_then(Value::as_mapping);
        if value.is_some_and(|value| !value.is_mapping()) {
            self.add(path, "must be a mapping");
        }
        let section = Section { path, entries };
        for key in entries.into_iter().flat_map(Mapping::keys) {
            match key.as_str() {
                Some(key) if known.contains(&key) => {}
                Some(key) => self.add(
                    section.child(key),
                    format!("unknown key; known are {}", known.join(", ")),
                ),
                None => self.add(path, format!("key {key:?} is not text")),
            }
        }
        section
    }

    fn required<T>(
        &mut self,
        section: &Section<'_>,
        key: &str,
        parse: impl FnOnce(&Value) -> Result<T, String>,
    ) -> Option<T> {
        let parsed = match section.get(key) {
            Some(value) => parse(value),
            None => Err("is missing".to_owned()),
        };
        parsed.map_err(|reason| self.add(section.child(key), reason)).ok()
    }

    fn optional<T>(
        &mut self,
        section: &Section<'_>,
        key: &str,
        parse: impl FnOnce(&Value) -> Result<T, String>,
        default: T,
    ) -> T {
        let Some(value) = section.get(key) else {
            return default;
        };
        parse(value).unwrap_or_else(|reason| {
            self.add(section.child(key), reason);
            default
        })
    }

    fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        self.findings.push(Finding::new(path, reason));
    }
}

fn text(value: &Value) -> Result<&str, String> {
    value.as_str().ok_or_else(|| "must be text".to_owned())
}

fn name(value: &Value) -> Result<String, String> {
    let name = text(value)?;
    name_fault(name).map_or_else(|| Ok(name.to_owned()), Err)
}

fn address(value: &Value) -> Result<SocketAddr, String> {
    let text = text(value)?;
    text.parse()
        .map_err(|_| format!("{text:?} is not an ip:port address, such as 127.0.0.1:7400"))
}

/// An address to connect to, which needs a host and a port.
fn target(value: &Value) -> Result<SocketAddr, String> {
    let address = address(value)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(format!("{address} can't be connected to"));
    }
    Ok(address)
}

fn number(value: &Value, least: u64, most: u64) -> Result<u64, String> {
    value
        .as_u64()
        .filter(|n| (least..=most).contains(n))
        .ok_or_else(|| format!("must be a whole number from {least} to {most}"))
}

fn word<T: serde::de::DeserializeOwned>(value: &Value, words: &str) -> Result<T, String> {
    serde_norway::from_value(value.clone()).map_err(|_| format!("must be {words}"))
}

fn file(value: &Value, base: &Path) -> Result<PathBuf, String> {
    let path = base.join(text(value)?);
    match std::fs::File::open(&path).and_then(|file| file.metadata()) {
        Ok(metadata) if metadata.is_file() => Ok(path),
        Ok(_) => Err(format!("{} is not a file", path.display())),
        Err(error) => Err(format!("{} can't be read: {error}", path.display())),
    }
}
