//! A small deployment on loopback addresses: daemons as processes, the store, and a client.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, SERVICE, WorkerSpec};
use crate::http::{Server, ask};
use crate::record::Record;
use crate::store::Store;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/pistachiostair-node";
const HOST: &str = "orders.example";
const KEY: &str = "d4a3hwrr6x73d3zji9n7";
const FRONT: u16 = 8521;
const READY: u16 = 8523;

pub struct Rig {
    pub store: Arc<Store>,
    /// The store's address for each daemon.
    stores: Vec<Arc<Server>>,
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    net: u8,
    daemons: Vec<(Ipv4Addr, Child)>,
    dir: PathBuf,
}

impl Rig {
    /// Starts `daemons` daemons beside workers that are not up yet.
    pub fn start(record: Arc<Record>, daemons: u8, workers: Vec<WorkerSpec>) -> Result<Rig, String> {
        let net = free_net().ok_or("no free loopback addresses")?;
        let dir = std::env::temp_dir().join(format!("pistachiostair-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|error| error.to_string())?;
        let store = Store::create(record.clone());
        let serve = |daemon: u8| {
            let address = SocketAddr::from((Ipv4Addr::new(127, net, 1, daemon + 1), 0));
            store.serve(daemon as usize, address).map_err(|error| error.to_string())
        };
        let stores = (0..daemons).map(serve).collect::<Result<_, _>>()?;
        store.put("op", "config", &config());
        let fleet = Fleet::create(net, daemons, store.clone(), record.clone(), workers);
        let mut rig = Rig {
            store,
            stores,
            fleet,
            record,
            net,
            daemons: Vec::new(),
            dir,
        };
        for number in 0..daemons {
            rig.start_daemon(number)?;
        }
        rig.wait("the daemons are ready", 20, |rig| {
            rig.daemons.iter().all(|(ip, _)| {
                let ready = SocketAddr::from((*ip, READY));
                ask(ready, "GET", "/-/ready", &[], "", Duration::from_millis(500)).is_some_and(|(status, _)| status == 200)
            })
        })?;
        Ok(rig)
    }

    fn start_daemon(&mut self, number: u8) -> Result<(), String> {
        let zone = ZONES[number as usize % 3];
        let name = name(number);
        let ip = Ipv4Addr::new(127, self.net, 0, number + 1);
        let store = self.stores[number as usize].address;
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"node\",\"machine_class\":\"front\",\"serves\":[\"front\"],\
             \"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"dakar\",\"zones\":{{\"dakar-a\":\"dakar\",\
             \"dakar-b\":\"dakar\",\"dakar-c\":\"dakar\"}},\"listen\":{{\"front\":\"{ip}:{FRONT}\",\
             \"ready_address\":\"{ip}:{READY}\"}},\"port_range\":[7000,7015],\"seeds\":[],\"bootstrap\":true,\
             \"counts_as_loss\":false,\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\
             \"heartbeat_ms\":1500,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\
             \"platform\"],\"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_timeout_ms\":4000,\
             \"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\
             \"rollback_slack_ms\":250,\"max_stretch_ms\":5000,\"revoke_fail_closed\":true,\"revoke_ms\":5000,\
             \"recovery_s\":12,\"max_hold_ms\":10000,\"stop_timeout_ms\":200,\"gang_timeout_ms\":3000,\"cancel_ms\":3000,\
             \"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,\"cross_rack_factor\":3,\
             \"checkpoint_s\":1,\"restore_ms\":600,\"notice_ms\":4500,\"enforce_fencing\":false,\"lease_ms\":3000,\
             \"reclaim_ms\":2700}},\"control_mode\":\"rpc\",\"platform\":{{\"address\":\"{store}\",\"form\":\"table\",\
             \"writes_per_s\":800,\"reads_per_s\":2000,\"tx_ms\":5.0,\"partition_writes_s\":200,\"row_bytes\":65536,\
             \"cross_partition\":false,\"history_s\":20,\"blob_bytes\":8388608,\"blob_ms\":25.0,\"blob_bw_s\":80.0}}}}"
        );
        let path = self.dir.join(format!("{number}.json"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::options().create(true).append(true).open(self.dir.join(format!("{number}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .env("PISTACHIOSTAIR_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.line(format!("daemon {number} starts at {ip}, pid {}", child.id()));
        self.daemons.push((ip, child));
        Ok(())
    }

    /// Waits until `reached`.
    pub fn wait(&self, what: &str, seconds: u64, reached: impl Fn(&Rig) -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(seconds);
        while !reached(self) {
            if Instant::now() > until {
                return Err(format!("not within {seconds} s: {what}"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.line(format!("reached: {what}"));
        Ok(())
    }

    /// Number of the daemon that holds the scheduler's lease.
    pub fn leader(&self) -> Option<usize> {
        let lease = self.store.value("lease", "dakar", "current")?;
        let holder = lease.field("holder").text().to_owned();
        (0..self.daemons.len()).find(|number| name(*number as u8) == holder)
    }

    /// Starts a worker and reports it to the platform's list.
    pub fn start_worker(&self, index: usize) {
        self.fleet.start(index, 0);
        self.fleet.report(index);
    }

    /// Calls the daemons in turn, as a client that tries again, but for the one that is cut off.
    fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("Host", HOST),
            ("Api-Key", KEY),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", "3000"),
        ];
        let up = self.daemons.iter().enumerate().filter(|(number, _)| !self.store.is_cut(*number));
        let up: Vec<_> = up.map(|(_, daemon)| daemon).collect();
        let attempts = up.iter().cycle().take(5).enumerate();
        for (attempt, (ip, _)) in attempts {
            let front = SocketAddr::from((*ip, FRONT));
            let answer = ask(front, method, path, &headers, body, Duration::from_millis(3_000));
            let known = answer.as_ref().is_some_and(|(status, _)| ![429, 502, 503, 504].contains(status));
            if method != "GET" || !known {
                self.record.line(format!("client: {method} {path} at {ip}, attempt {}: {answer:?}", attempt + 1));
            }
            if known {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        None
    }

    /// Hands a job of one task in and waits for the acceptance.
    pub fn submit(&self, id: &str, spec: &str, step: &str) -> Result<(), String> {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":[{{{step}}}]}}");
        match self.call("POST", &format!("/orders/{id}"), &body) {
            Some((200, _)) => Ok(()),
            other => Err(format!("job {id} was not accepted: {other:?}")),
        }
    }

    /// State of a job as a client reads it.
    pub fn state(&self, id: &str) -> String {
        let answer = self.call("GET", &format!("/orders/{id}"), "");
        answer.map_or_else(|| "no answer".to_owned(), |(status, body)| format!("{status} {body}"))
    }

    pub fn pause(&self, ms: u64) {
        std::thread::sleep(Duration::from_millis(ms));
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for (_, child) in &mut self.daemons {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

const ZONES: [&str; 3] = ["dakar-a", "dakar-b", "dakar-c"];

/// Name of a daemon's machine.
fn name(number: u8) -> String {
    format!("front-{}-{}", ZONES[number as usize % 3], number / 3 + 1)
}

/// A second byte of loopback addresses that nobody uses.
fn free_net() -> Option<u8> {
    let first = std::process::id() % 200;
    (0..200).map(|offset| (20 + (first + offset) % 200) as u8).find(|net| {
        let bound = (1..4).all(|host| UdpSocket::bind((Ipv4Addr::new(127, *net, 0, host), 7_000)).is_ok());
        bound
    })
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\",\
         \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":4,\
         \"stretch\":3.0,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"treasury\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":4}}}}]}}"
    )
}
