//! The deployment of a script: store, workers, and daemons as processes of their own on loopback addresses.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::store::{ROW_BYTES, Store};
use crate::worker::Workers;

/// What `run` of the role in `deploy/system.toml` says, from the root of the repository.
const PROGRAM: &str = "target/release/pistachiostair-node";
pub const HOST: &str = "swaps.example";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";

/// The daemons that were started, and the folder of their files, for [`end_all`].
static DAEMONS: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Longest time that a script may take.
const LIMIT: Duration = Duration::from_secs(115);

pub struct Fleet {
    pub store: Store,
    pub workers: Workers,
    pub record: Record,
    /// Addresses of the daemons.
    daemons: Vec<String>,
    dir: PathBuf,
}

impl Fleet {
    /// Starts `daemons` daemons and the workers, and waits until the daemons are ready.
    pub fn start(root: &Path, record: Record, daemons: usize, workers: usize, size: (u64, u64)) -> Self {
        // The project's tests use 127.0 and 127.170 to 127.249.
        let first = std::process::id();
        let net = (0..140)
            .map(|offset| 20 + (first.wrapping_mul(7).wrapping_add(offset)) % 140)
            .find(|net| (1..=daemons).all(|host| TcpListener::bind((format!("127.{net}.0.{host}"), 8000)).is_ok()))
            .expect("free addresses");
        let store = Store::new();
        store.put("op", "config", &config(7, "r-match"));
        let serving = store.clone();
        let address = http::serve("127.0.0.1", move |request| serving.answer(&request));
        let workers = Workers::start("127.0.0.1", &store, &record, workers, size);
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        std::thread::spawn(|| {
            std::thread::sleep(LIMIT);
            unable("it took too long")
        });
        let mut fleet = Self {
            store,
            workers,
            record,
            daemons: Vec::new(),
            dir,
        };
        for number in 1..=daemons {
            let ip = format!("127.{net}.0.{number}");
            fleet.start_daemon(root, number, &ip, &address.to_string());
        }
        fleet.wait_ready();
        fleet
    }

    fn start_daemon(&mut self, root: &Path, number: usize, ip: &str, store: &str) {
        let settings = json!({
            "node_name": format!("front-dakar-a-{number}"), "role": "node", "machine_class": "front", "serves": ["front"],
            "ip": ip, "zone": "dakar-a", "region": "dakar", "zones": {"dakar-a": "dakar"},
            "listen": {"front": format!("{ip}:8000"), "ready_address": format!("{ip}:8001")},
            "port_range": [7000, 7015], "seeds": [], "bootstrap": true,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500, "control_mode": "rpc",
            "bounds": {
                "contact_ms": 3000, "ack_timeout_ms": 4000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
                "config_apply_ms": 2000, "revoke_fail_closed": true, "revoke_ms": 5000, "recovery_s": 12,
                "max_hold_ms": 10000, "stop_timeout_ms": 200, "gang_timeout_ms": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "finish_s": 14, "status_s": 120, "reclaim_ms": 2700,
            },
            "platform": {
                "address": store, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0,
                "partition_writes_s": 200, "row_bytes": ROW_BYTES, "cross_partition": false, "history_s": 20,
                "blob_bytes": 8388608, "blob_ms": 25.0, "blob_bw_s": 80.0,
            },
        });
        let path = self.dir.join(format!("{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        let log = std::fs::File::create(self.dir.join(format!("{number}.log"))).expect("a log file");
        let child = Command::new(root.join(PROGRAM))
            .current_dir(root)
            .env_clear()
            .env("PISTACHIOSTAIR_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().expect("a log file")))
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|error| unable(&format!("{PROGRAM}: {error}")));
        self.record
            .line(&format!("daemon {number} started at {ip}, process {}", child.id()));
        DAEMONS.lock().unwrap().push(child);
        self.daemons.push(ip.to_owned());
    }

    fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        for ip in &self.daemons {
            while !matches!(
                http::call(&format!("{ip}:8001"), ("GET", "x", "/-/ready"), ("", 1_000), b""),
                Ok((200, _))
            ) {
                if Instant::now() > end {
                    unable("the daemons are not ready within 15 s");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all daemons are ready");
    }

    /// Sends a call to a daemon (counted from 0) and records it with its answer.
    pub fn ask(&self, daemon: usize, method: &str, path: &str, body: &Value) -> Result<(u16, Value), String> {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let address = format!("{}:8000", self.daemons[daemon % self.daemons.len()]);
        self.record.line(&format!(
            "sent {method} {path} ({} bytes) to daemon {}",
            bytes.len(),
            daemon + 1
        ));
        let answer = http::call(&address, (method, HOST, path), (KEY, 3_000), &bytes);
        self.record.line(&format!("answered {method} {path}: {answer:?}"));
        answer
    }

    /// Submits a job like a client: with the same ID at another daemon after no answer, 502 or 504, up to four times.
    /// Returns whether it was accepted.
    pub fn submit(&self, path: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            match self.ask(attempt, "POST", path, body) {
                Ok((200..=299, _)) => return true,
                Ok((429 | 503, _)) => std::thread::sleep(Duration::from_millis(500)),
                _ => {}
            }
        }
        false
    }

    /// State of a job by a daemon, or status and body of another answer.
    pub fn state(&self, daemon: usize, path: &str) -> String {
        match self.ask(daemon, "GET", path, &Value::Null) {
            Ok((200, body)) => body["state"].as_str().unwrap_or_default().to_owned(),
            Ok((status, _)) => format!("status {status}"),
            Err(reason) => reason,
        }
    }

    /// Waits until `check` holds, at most `limit`.
    pub fn wait(&self, limit: Duration, check: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + limit;
        while !check(self) {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Whether all daemons still run.
    pub fn all_alive(&self) -> bool {
        DAEMONS
            .lock()
            .unwrap()
            .iter_mut()
            .all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs are in {}", self.dir.display());
        }
    }
}

/// Ends all daemons.
fn end_all() {
    for mut child in DAEMONS.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends with the exit code of a case that could not run.
pub fn unable(reason: &str) -> ! {
    println!("could not run: {reason}");
    end_all();
    std::process::exit(2)
}

/// A configuration whose only route has this name, always at the same host and path.
pub fn config(version: u64, route: &str) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": route, "host": HOST, "path_prefix": "/match/", "kind": "unsafe", "timeout_ms": 3000,
            "target_latency_ms": 1000, "priority": 1, "service": crate::worker::SERVICE, "max_attempts": 4,
            "stretch": 3.0, "public": false,
        }],
        "services": [{
            "name": crate::worker::SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
            "admission_control": true, "standby": false,
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "kaje80", "api_keys": [KEY], "priority": 1, "guaranteed": {"gpu": 16}}],
    })
}
