//! Plays one case of the review: `cases-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With `TROUBLE=0` in the environment there is no disruption.

mod fleet;
mod http;
mod json;
mod record;
mod rig;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::WorkerSpec;
use record::Record;
use rig::Rig;

type Outcome = Result<Vec<String>, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("cases-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble {trouble}"));
    let outcome = match case.as_str() {
        "stale-leader" => stale_leader(&record, trouble),
        "odd-entry" => odd_entry(&record, trouble),
        "refused-drain" => refused_drain(&record, trouble),
        "late-start" => late_start(&record, trouble),
        "clock-back" => clock_back(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (code, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken: {}", broken.join("; "))),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

const ORDER: &str = "919854474096c47b";
const OTHER: &str = "5c0e7a21d94b36f8";

/// Seven workers, each in a rack of its own, so that one of them is a seventh of the service.
fn workers() -> Vec<WorkerSpec> {
    let places = [
        ("i-7f3a91c201", "r1-1", "dakar-a"),
        ("i-7f3a91c202", "r1-2", "dakar-a"),
        ("i-7f3a91c203", "r2-1", "dakar-b"),
        ("i-7f3a91c204", "r2-2", "dakar-b"),
        ("i-7f3a91c205", "r2-3", "dakar-b"),
        ("i-7f3a91c206", "r3-1", "dakar-c"),
        ("i-7f3a91c207", "r3-2", "dakar-c"),
    ];
    places.map(|(id, rack, zone)| WorkerSpec { id, rack, zone }).into()
}

/// A small deployment of three daemons, with the workers from `first` on up and in the platform's list.
fn deploy(record: &Arc<Record>, first: usize) -> Result<Rig, String> {
    let rig = Rig::start(record.clone(), 3, workers())?;
    for index in first..workers().len() {
        rig.start_worker(index);
    }
    rig.pause(1_000);
    Ok(rig)
}

fn step(gpu: u64, estimate: u64, rack: &str) -> String {
    format!("\"count\":1,\"cpu\":{},\"mem_mb\":1024,\"gpu\":{gpu},\"estimated_ms\":{estimate},\"affinity\":\"{rack}\"", gpu * 1_000)
}

fn task(job: &str) -> String {
    format!("{job}.0.0.0")
}

/// Hands the order in and waits until its task runs on worker 0.
fn run_order(rig: &Rig) -> Result<(), String> {
    rig.submit(ORDER, "work=9000 gpu=1", &step(1, 6_000, "r1-1"))?;
    rig.wait("the order's task runs", 5, |rig| rig.fleet.is_running(0, &task(ORDER)))?;
    rig.pause(1_000);
    Ok(())
}

/// Waits until a job is shown as completed.
fn complete(rig: &Rig, job: &str, seconds: u64) -> Result<(), String> {
    rig.wait(&format!("job {job} is completed"), seconds, |rig| rig.state(job).contains("completed"))
}

/// Waits until the order is completed, and tells what was seen.
fn conclude(rig: &Rig) -> Outcome {
    complete(rig, ORDER, 60)?;
    rig.pause(1_000);
    Ok(rig.fleet.violations())
}

/// The scheduler and the worker of a start are partitioned from the store, the other daemons and the other workers, while the
/// answer to the journal row with that start is on its way. The partition ends after 12 s.
fn stale_leader(record: &Arc<Record>, trouble: bool) -> Outcome {
    let rig = deploy(record, 0)?;
    let leader = rig.leader().ok_or("no scheduler is known")?;
    record.line(format!("daemon {leader} is the scheduler"));
    if trouble {
        rig.store.cut_at(leader, "i-7f3a91c201");
    }
    rig.submit(ORDER, "work=9000 gpu=1", &step(1, 6_000, "r1-1"))?;
    if trouble {
        rig.wait("the scheduler is cut off", 5, |rig| rig.store.is_cut(leader))?;
        rig.fleet.set_apart(0, leader, true);
        rig.pause(12_000);
        rig.store.heal(leader);
        rig.fleet.set_apart(0, leader, false);
    }
    conclude(&rig)
}

/// Another writer leaves an entry with missing fields in the list of workers, under the id of a worker that runs a task. The
/// worker's next report replaces it.
fn odd_entry(record: &Arc<Record>, trouble: bool) -> Outcome {
    let rig = deploy(record, 0)?;
    run_order(&rig)?;
    if trouble {
        rig.fleet.report(0);
        let entry = "{\"service\":\"confirm-svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"dakar-a\",\"state\":\"draining\",\"capacity\":{}}";
        record.line(format!("another writer writes servers/i-7f3a91c201: {entry}"));
        rig.store.put("servers", "i-7f3a91c201", entry);
    }
    conclude(&rig)
}

/// The path to a worker is cut, and connections are refused, while the worker is emptied. It runs on until it leaves.
fn refused_drain(record: &Arc<Record>, trouble: bool) -> Outcome {
    let rig = deploy(record, 0)?;
    run_order(&rig)?;
    if trouble {
        rig.fleet.cut(0);
        rig.pause(200);
    }
    rig.fleet.drain(0, 2_000);
    rig.pause(4_000);
    rig.fleet.leave(0);
    conclude(&rig)
}

/// An order to start gets no answer, and is carried out seconds later. Its repetition starts the run. The worker crashes
/// meanwhile and starts again under its id.
fn late_start(record: &Arc<Record>, trouble: bool) -> Outcome {
    let rig = deploy(record, 0)?;
    // Takes the worker beside the order's data until the order runs elsewhere.
    rig.submit(OTHER, "work=2500 gpu=8", &step(8, 60_000, "r1-2"))?;
    rig.wait("the other job runs", 5, |rig| rig.fleet.is_running(1, &task(OTHER)))?;
    if trouble {
        rig.fleet.delay_start(6_000);
    }
    rig.submit(ORDER, "work=9000 gpu=1", &step(1, 6_000, "r1-2"))?;
    rig.wait("the order's task runs", 5, |rig| rig.fleet.place_of(&task(ORDER)).is_some())?;
    let place = rig.fleet.place_of(&task(ORDER)).unwrap_or_default();
    complete(&rig, OTHER, 10)?;
    if trouble {
        rig.fleet.crash(place);
        rig.pause(500);
        rig.start_worker(place);
    }
    conclude(&rig)
}

/// A worker starts while its time of day is ahead, crashes, and starts again once its time of day was set right. An order
/// is handed in before its entry in the platform's list is renewed.
fn clock_back(record: &Arc<Record>, trouble: bool) -> Outcome {
    let rig = deploy(record, 1)?;
    rig.fleet.start(0, if trouble { 2_000 } else { 0 });
    rig.fleet.report(0);
    rig.pause(600);
    rig.fleet.crash(0);
    rig.pause(300);
    rig.fleet.start(0, 0);
    rig.submit(ORDER, "work=3000 gpu=1", &step(1, 3_000, "r1-1"))?;
    rig.pause(500);
    rig.fleet.report(0);
    // The traffic ends here. After finish_s a job has something running, or is done.
    rig.pause(14_000);
    let idle_since = Instant::now();
    while !rig.state(ORDER).contains("completed") && rig.fleet.place_of(&task(ORDER)).is_none() {
        if idle_since.elapsed() >= Duration::from_secs(20) {
            let (state, free) = (rig.state(ORDER), rig.fleet.free());
            return Ok(vec![format!("LOST: {ORDER} is shown as {state}, nothing of it has run for 20 s, free accelerators {free:?}")]);
        }
        rig.pause(200);
    }
    Ok(rig.fleet.violations())
}
