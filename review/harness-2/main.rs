//! Cases of the second review: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With TROUBLE=0 in the environment the disruption is left out.

mod record;
mod rig;
mod store;
mod wire;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use record::Record;
use rig::{HOST, Rig};

fn route(name: &str, prefix: &str, priority: u32, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":{priority},\"service\":\"svc\",\"max_attempts\":{attempts},\
         \"stretch\":3.0,\"public\":false}}"
    )
}

fn routes() -> String {
    [route("r-norm", "/norm/", 1, 4), route("r-urgent", "/urgent/", 0, 4), route("r-bulk", "/bulk/", 2, 4)].join(",")
}

fn job(spec: &str, gpu: u32, estimate: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":1,\"cpu\":{},\"mem_mb\":{},\"gpu\":{gpu},\"estimated_ms\":{estimate}{more}}}]}}",
        gpu * 3_700,
        gpu * 8_000
    )
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !done() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(ms(20));
    }
    true
}

/// Down for 1 s and up for 2 s, four times.
fn crash_four_times(rig: &Rig, number: usize) {
    for _ in 0..4 {
        rig.workers[number].crash();
        thread::sleep(ms(1_000));
        rig.workers[number].start();
        thread::sleep(ms(2_000));
    }
}

/// One worker of twenty crashes and starts again, four times; a task that lasts runs there.
fn lasting_crash_loop(record: Record, trouble: bool) -> i32 {
    const WORKERS: usize = 20;
    let rig = Rig::start(record.clone(), 3, &["a"; WORKERS], &routes());
    for number in 0..WORKERS - 1 {
        rig.submit("/norm/", &format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64), &job("done 60000", 8, 60_000, ""));
    }
    let id = "5c0e7a2100000100";
    let task = format!("{id}.0.0.0");
    rig.submit("/norm/", id, &job("run", 8, 2_000, ",\"long_running\":true"));
    if !wait_for(ms(10_000), || !rig.at_work(&task).is_empty()) {
        return 2;
    }
    thread::sleep(ms(3_000));
    if trouble {
        let (name, _) = rig.at_work(&task)[0].clone();
        let number = rig.workers.iter().position(|worker| worker.id == name).unwrap();
        crash_four_times(&rig, number);
    }
    let broken = wait_for(ms(15_000), || rig.state("/norm/", id) == "failed");
    record.line(format!("the job is shown as {}; at work: {:?}", rig.state("/norm/", id), rig.at_work(&task)));
    i32::from(broken)
}

/// A task that lasts fails now and then; the workers that may run it are idle and sound.
fn lasting(record: Record, trouble: bool) -> i32 {
    let labels = ["a", "a", "a", "a", "b", "b"];
    let rig = Rig::start(record.clone(), 3, &labels, &routes());
    let id = "5c0e7a2100000001";
    let task = format!("{id}.0.0.0");
    let spec = if trouble { "fail 5000" } else { "run" };
    rig.submit("/norm/", id, &job(spec, 4, 2_000, ",\"long_running\":true,\"requires\":\"b\""));
    if !wait_for(ms(5_000), || !rig.at_work(&task).is_empty()) {
        return 2;
    }
    // The rule: nothing at work for 3 s, from 6 s after the last run on.
    let begun = Instant::now();
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    while begun.elapsed() < ms(80_000) {
        if !rig.at_work(&task).is_empty() {
            last = Instant::now();
        }
        longest = longest.max(last.elapsed());
        if longest > ms(9_500) {
            record.line(format!("nothing of {task} has run for {longest:?}; workers i-04 and i-05 are up and empty"));
            return 1;
        }
        thread::sleep(ms(10));
    }
    record.line(format!("longest time without a run: {longest:?}"));
    0
}

/// A task that lasts fails once while a gang waits for more workers than are free.
fn reserved(record: Record, trouble: bool) -> i32 {
    let rig = Rig::start(record.clone(), 3, &["a"; 10], &routes());
    let id = "5c0e7a2100000001";
    let task = format!("{id}.0.0.0");
    let spec = if trouble { "fail 8000" } else { "run" };
    rig.submit("/bulk/", id, &job(spec, 4, 2_000, ",\"long_running\":true"));
    if !wait_for(ms(5_000), || !rig.at_work(&task).is_empty()) {
        return 2;
    }
    for number in 0..7 {
        rig.submit("/urgent/", &format!("{:016x}", 0x5c0e_7a21_0000_0010_u64 + number), &job("done 40000", 8, 40_000, ""));
    }
    thread::sleep(ms(2_000));
    let gang = job("done 3000", 8, 3_000, ",\"gang\":true").replace("\"count\":1", "\"count\":4");
    rig.submit("/norm/", "5c0e7a2100000020", &gang);
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    let begun = Instant::now();
    while begun.elapsed() < ms(60_000) {
        if !rig.at_work(&task).is_empty() {
            last = Instant::now();
        }
        longest = longest.max(last.elapsed());
        if longest > ms(9_500) {
            let idle = rig.workers.iter().filter(|worker| worker.running().is_empty()).count();
            record.line(format!("nothing of {task} has run for {longest:?}; {idle} workers are up and empty"));
            return if idle >= 1 { 1 } else { 2 };
        }
        thread::sleep(ms(10));
    }
    record.line(format!("longest time without a run: {longest:?}"));
    0
}

/// A start order is not answered and carried out late, after its repetition was answered and the worker has crashed and
/// started again.
fn late(record: Record, trouble: bool) -> i32 {
    let rig = Rig::start(record.clone(), 3, &["a"; 6], &routes());
    let id = "5c0e7a2100000002";
    let task = format!("{id}.0.0.0");
    // Takes the worker that comes first, so that the task starts on another one and again on this one.
    rig.submit("/norm/", "5c0e7a2100000009", &job("done 4000", 8, 4_000, ""));
    if !wait_for(ms(5_000), || !rig.at_work("5c0e7a2100000009.0.0.0").is_empty()) {
        return 2;
    }
    let used = Arc::new(AtomicBool::new(!trouble));
    for worker in &rig.workers {
        let used = used.clone();
        worker.set_late_start(Some(Arc::new(move |_, _, _| {
            (!used.swap(true, Ordering::SeqCst)).then_some(ms(8_000))
        })));
    }
    rig.submit("/norm/", id, &job("done 14000", 8, 14_000, ""));
    if !wait_for(ms(5_000), || !rig.at_work(&task).is_empty()) {
        return 2;
    }
    let (first, _) = rig.at_work(&task)[0].clone();
    thread::sleep(ms(3_000));
    if trouble {
        let worker = rig.workers.iter().find(|worker| worker.id == first).unwrap();
        worker.crash();
        thread::sleep(ms(700));
        worker.start();
    }
    let mut overlap = Duration::ZERO;
    let mut since: Option<Instant> = None;
    let ended = wait_for(ms(45_000), || {
        let runs = rig.at_work(&task);
        match runs.len() > 1 {
            true => {
                let begun = *since.get_or_insert_with(|| {
                    record.line(format!("{task} runs twice at the same time: {runs:?}"));
                    Instant::now()
                });
                overlap = overlap.max(begun.elapsed());
            }
            false => since = None,
        }
        rig.state("/norm/", id) == "completed"
    });
    record.line(format!("two runs at the same time for {overlap:?}; ended: {ended}"));
    if overlap > Duration::ZERO { 1 } else if ended { 0 } else { 2 }
}

/// Two jobs with a week of occurrences that are all due come beside ordinary jobs of one task. Each of nine daemons has a quarter
/// of a core, as on the site. Without the disruption the two jobs have 20 occurrences each.
fn schedules(record: Record, trouble: bool) -> i32 {
    const DAEMONS: usize = 9;
    const WORKERS: usize = 48;
    const LARGE: [&str; 2] = ["5c0e7a2100000100", "5c0e7a2100000101"];
    let rig = Rig::start(record.clone(), DAEMONS, &["a"; WORKERS], &routes());
    rig.limit_processor(0.25);
    thread::sleep(ms(1_000));
    let times: u64 = if trouble { 7 * 24 * 60 } else { 20 };
    let (mut accepted, mut asked) = (0, 0);
    let traffic = Instant::now();
    let mut handed_in = false;
    for second in 0.. {
        if traffic.elapsed() > ms(14_000) {
            break;
        }
        if traffic.elapsed() > ms(3_000) && !std::mem::replace(&mut handed_in, true) {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis()) as u64;
            let body = job("one done 2000", 1, 2_000, "");
            let first = now - times * 60_000;
            let body = format!("{},\"times\":{times},\"start_at_ms\":{first},\"interval_ms\":60000}}", &body[..body.len() - 1]);
            let (rig, body) = (&rig, &body);
            thread::scope(|scope| {
                for id in LARGE {
                    scope.spawn(move || rig.submit("/bulk/", id, body));
                }
            });
        }
        let (sent, id) = (Instant::now(), format!("{:016x}", 0x5c0e_7a22_0000_0000_u64 + second));
        asked += 1;
        let answer = rig.ask(asked % DAEMONS, "POST", &format!("/urgent/{id}"), &job("one done 5000", 1, 5_000, ""));
        record.line(format!("POST of ordinary job {id}: {answer:?} after {:?}", sent.elapsed()));
        accepted += usize::from(answer.is_some_and(|(status, _)| status == 200));
        thread::sleep(ms(1_000).saturating_sub(sent.elapsed()));
    }
    record.line(format!("traffic ends; {accepted} of {asked} ordinary jobs were accepted at the first attempt"));
    thread::sleep(ms(14_000));
    // From `finish_s` on: nothing of a job runs for 3 s, its tasks are due, and most of the workers' capacity is free.
    let begun = Instant::now();
    let mut idle_since = [begun; 2];
    let (mut longest, mut reported) = ([Duration::ZERO; 2], begun);
    while begun.elapsed() < ms(20_000) {
        let running: Vec<String> = rig.workers.iter().flat_map(|worker| worker.running()).map(|(task, _)| task).collect();
        let busy = running.len() * 2 >= WORKERS * 8;
        let large = LARGE.map(|id| running.iter().filter(|task| task.starts_with(id)).count());
        for number in 0..LARGE.len() {
            if large[number] > 0 || busy {
                idle_since[number] = Instant::now();
            }
            longest[number] = longest[number].max(idle_since[number].elapsed());
        }
        if reported.elapsed() >= ms(1_000) {
            reported = Instant::now();
            record.line(format!("tasks at work: {large:?} of the large jobs, {} in all, of {} that fit", running.len(), WORKERS * 8));
        }
        thread::sleep(ms(20));
    }
    let states = LARGE.map(|id| rig.state("/bulk/", id));
    record.line(format!("the large jobs are shown as {states:?}; nothing of them ran for {longest:?} at the longest"));
    let broken = (0..LARGE.len()).any(|number| longest[number] > ms(3_500) && states[number] != "completed");
    i32::from(broken)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&args[2]);
    let code = match args[1].as_str() {
        "lasting-crash-loop" => lasting_crash_loop(record, trouble),
        "reserved" => reserved(record, trouble),
        "lasting" => lasting(record, trouble),
        "schedules" => schedules(record, trouble),
        "late" => late(record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
