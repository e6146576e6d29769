//! The daemons as processes, and their clients.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;
use crate::wire::{Json, Server, call};
use crate::worker::Worker;

const PROGRAM: &str = "target/release/pistachiostair-node";
pub const HOST: &str = "orders.example";
pub const KEY: &str = "key-1";

pub struct Rig {
    _store: Store,
    _store_server: Server,
    pub workers: Vec<Worker>,
    pub record: Record,
    daemons: Arc<Mutex<Vec<Option<Child>>>>,
    count: usize,
    net: (u8, u8),
    dir: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        end_all(&self.daemons);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Processor time that a process has used.
fn processor_ns(id: u32) -> Option<u64> {
    let tasks = fs::read_dir(format!("/proc/{id}/task")).ok()?;
    let times = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    Some(times.sum())
}

fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).stderr(Stdio::null()).status();
}

fn end_all(daemons: &Mutex<Vec<Option<Child>>>) {
    for child in daemons.lock().unwrap_or_else(|e| e.into_inner()).iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A network of loopback addresses on which nothing listens.
fn free_net() -> (u8, u8) {
    let seed = std::process::id();
    for step in 0..200 {
        let net = ((80 + (seed + step) % 90) as u8, ((seed / 90 + step) % 250 + 1) as u8);
        let free = |last, port| TcpListener::bind(SocketAddr::from((Ipv4Addr::new(127, net.0, net.1, last), port))).is_ok();
        if free(200, 8524) && free(1, 8521) && free(2, 8521) {
            return net;
        }
    }
    panic!("no free loopback network");
}

impl Rig {
    /// Starts the store, `workers` workers with these labels, and `daemons` daemons, and waits until jobs are accepted.
    pub fn start(record: Record, daemons: usize, labels: &[&str], routes: &str) -> Rig {
        let net = free_net();
        let address = |last: u8, port: u16| SocketAddr::from((Ipv4Addr::new(127, net.0, net.1, last), port));
        let store = Store::new();
        let store_server = store.serve(address(200, 8524)).expect("address of the store");
        store.put("op", "config", &format!(
            "{{\"version\":3,\"routes\":[{routes}],\"services\":[{{\"name\":\"svc\",\"health_path\":\"/health\",\
             \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,\"standby\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"t1\",\"api_keys\":[\"{KEY}\"],\
             \"guaranteed\":{{\"gpu\":0}}}}]}}"
        ));
        let workers: Vec<Worker> = labels
            .iter()
            .enumerate()
            .map(|(number, label)| {
                let address = address(100 + number as u8, 8080);
                Worker::new(&format!("i-{number:02}"), address, label, store.clone(), record.clone())
            })
            .collect();
        for worker in &workers {
            worker.start();
        }
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("temporary folder");
        let rig = Rig {
            _store: store,
            _store_server: store_server,
            workers,
            record,
            daemons: Arc::new(Mutex::new((0..daemons).map(|_| None).collect())),
            count: daemons,
            net,
            dir,
        };
        let guarded = rig.daemons.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(115));
            end_all(&guarded);
            eprintln!("not done after 115 s");
            std::process::exit(2);
        });
        for number in 0..daemons {
            rig.start_daemon(number);
        }
        let until = Instant::now() + Duration::from_secs(20);
        while (0..daemons).any(|number| rig.ask(number, "GET", "/norm/", "").is_none_or(|(status, _)| status != 200)) {
            if Instant::now() > until {
                rig.record.line("the daemons don't serve");
                drop(rig);
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        rig.record.line("the daemons serve");
        // Workers are known and their lists read.
        thread::sleep(Duration::from_secs(2));
        rig
    }

    fn address(&self, last: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net.0, self.net.1, last), port))
    }

    pub fn start_daemon(&self, number: usize) {
        let ip = format!("127.{}.{}.{}", self.net.0, self.net.1, number + 1);
        let settings = format!(
            r#"{{"node_name":"front-z1-{n}","role":"node","machine_class":"front","serves":["front"],"ip":"{ip}","zone":"z1",
"region":"r1","zones":{{"z1":"r1"}},"listen":{{"front":"{ip}:8521","ready_address":"{ip}:8523"}},"port_range":[7000,7015],
"seeds":[],"bootstrap":true,"counts_as_loss":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,
"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1500,
"contracts":["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,
"ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,
"rollback_slack_ms":250,"max_stretch_ms":5000,"revoke_fail_closed":true,"revoke_ms":5000,"recovery_s":12,
"max_hold_ms":10000,"stop_timeout_ms":200,"gang_timeout_ms":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,
"finish_s":14,"status_s":120,"cross_rack_factor":3,"checkpoint_s":1,"restore_ms":600,"notice_ms":4500,"move_s":1.5,
"maintenance_s":2,"enforce_fencing":false,"lease_ms":3000,"thaw_slack_ms":300,"pace_ms":100,"harm_ms":4000,
"reclaim_ms":2700}},"control_mode":"rpc","advice":"{advice}","platform":{{"address":"{store}","form":"table",
"writes_per_s":800,"reads_per_s":2000,"tx_ms":5.0,"partition_writes_s":200,"row_bytes":65536,"cross_partition":false,
"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_bw_s":80.0}},"cloud_api":{{"address":"{cloud}",
"rate_per_s":60.0,"duties":[],"duty_per_s":60.0}}}}"#,
            n = number + 1,
            advice = self.address(201, 8524),
            store = self.address(200, 8524),
            cloud = self.address(202, 8524),
        );
        let path = self.dir.join(format!("settings-{number}.json"));
        fs::write(&path, settings).expect("settings file");
        let log = File::options().create(true).append(true).open(self.dir.join(format!("log-{number}.txt"))).expect("log");
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PISTACHIOSTAIR_NODE_FILE", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("{PROGRAM}: {error}");
                std::process::exit(2);
            });
        self.daemons.lock().unwrap()[number] = Some(child);
    }

    /// Gives each daemon `share` of a core as a quota: one that has used it up stands still for the rest of a tenth of a second.
    pub fn limit_processor(&self, share: f64) {
        let daemons = self.daemons.clone();
        thread::spawn(move || {
            let ids = || -> Vec<u32> { daemons.lock().unwrap().iter().flatten().map(Child::id).collect() };
            loop {
                let begun = Instant::now();
                let used: Vec<(u32, Option<u64>)> = ids().into_iter().map(|id| (id, processor_ns(id))).collect();
                let mut stopped = Vec::new();
                while begun.elapsed() < Duration::from_millis(100) {
                    for (id, before) in &used {
                        let spent = processor_ns(*id).zip(*before).map_or(0, |(now, before)| now.saturating_sub(before));
                        if !stopped.contains(id) && spent as f64 >= share * 100e6 {
                            signal(*id, "STOP");
                            stopped.push(*id);
                        }
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                stopped.iter().for_each(|id| signal(*id, "CONT"));
            }
        });
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        self.address(number as u8 + 1, 8521)
    }

    /// A client's call at a daemon; none without an answer within 3 s.
    pub fn ask(&self, number: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let headers = [("host", HOST), ("api-key", KEY), ("deadline-ms", "3000"), ("content-type", "application/json")];
        call(self.front(number), (method, path), &headers, body, Duration::from_secs(3))
    }

    /// Hands a job in until it is accepted, at one daemon after the other.
    pub fn submit(&self, prefix: &str, job: &str, body: &str) {
        let until = Instant::now() + Duration::from_secs(15);
        for attempt in 0.. {
            let answer = self.ask(attempt % self.count, "POST", &format!("{prefix}{job}"), body);
            self.record.line(format!("POST {prefix}{job} {body}: {answer:?}"));
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            if Instant::now() > until {
                self.record.line("the job is not accepted");
                end_all(&self.daemons);
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// The state of a job as one of three daemons shows it; empty without an answer.
    pub fn state(&self, prefix: &str, job: &str) -> String {
        for number in 0..self.count.min(3) {
            if let Some((200, body)) = self.ask(number, "GET", &format!("{prefix}{job}"), "") {
                return Json::parse(&body).map_or_else(String::new, |body| body.get("state").text().to_owned());
            }
        }
        String::new()
    }

    /// Where each task is at work: worker and run.
    pub fn at_work(&self, task: &str) -> Vec<(String, u32)> {
        let workers = self.workers.iter();
        let runs = workers.flat_map(|worker| {
            let runs = worker.running().into_iter().filter(|(name, _)| name == task);
            runs.map(|(_, run)| (worker.id.clone(), run)).collect::<Vec<_>>()
        });
        runs.collect()
    }
}
