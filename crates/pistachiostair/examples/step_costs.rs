//! Cost of scheduling step jobs: time of planning passes, hold replies, ticks and calls.
//!
//! `step_costs WORKERS SECONDS [design]` drives the scheduler of a region and simulated workers on a simulated clock. By
//! default the jobs are a mix of urgent, normal and bulk ones whose number swings around three quarters of the capacity;
//! with `design` 11 long tasks run on each worker and gangs of 128 wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachiostair::{
    AccountName, AccountRule, Action, AppendAction, AppendEvent, Demand, Event, HostInfo, HostUpdate, Incarnation,
    JobKey, Millis, OrderReply, Queue, QueueName, QueueSettings, Revision, Rules, Scheduler, ServiceName, Step,
    StepCall, StepJob, StepsAction, StepsEvent, Term, Token, WorkerName,
};
use standin::StepWorkers;

/// Latency of a message between the scheduler and a worker.
const ONE_WAY_MS: u64 = 5;
/// Duration of a commit to the store.
const COMMIT_MS: u64 = 12;
/// Resolution of the simulated clock.
const STEP_MS: u64 = 5;
const TICK_MS: u64 = 100;
/// Time between two reads of the platform's list of workers.
const LIST_MS: u64 = 600;
const WORKERS_PER_RACK: usize = 12;
const ACCOUNTS: u64 = 10;
/// Period of the swing of arrivals.
const SWING_MS: f64 = 17_000.0;

/// A queue of the mixed load.
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Jobs a second on 350 workers.
    rate: f64,
    /// Largest number of tasks; the mean is half of it.
    width: u64,
    work: u64,
    demand: Demand,
    accelerators: &'static [u64],
    gang: bool,
}

const fn demand(millicores: u64, memory: u64) -> Demand {
    Demand {
        millicores,
        memory,
        accelerators: 0,
    }
}

const KINDS: [Kind; 3] = [
    Kind {
        queue: "normal",
        priority: 1,
        rate: 2.09,
        width: 20,
        work: 9_400,
        demand: demand(52_000, 75_000),
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
    },
    Kind {
        queue: "urgent",
        priority: 0,
        rate: 12.1,
        width: 10,
        work: 2_100,
        demand: demand(15_000, 22_000),
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
    },
    Kind {
        queue: "bulk",
        priority: 2,
        rate: 2.57,
        width: 60,
        work: 6_500,
        demand: demand(11_000, 23_000),
        accelerators: &[1],
        gang: false,
    },
];

enum Delivery {
    /// An order reaches its worker; the time is that at which it arrived first.
    Order(StepsAction, u64),
    Event(Event),
}

/// Times of the events of one kind.
#[derive(Default)]
struct Times(Vec<Duration>);

impl Times {
    fn print(&mut self, name: &str, seconds: u64) {
        self.0.sort_unstable();
        let total: Duration = self.0.iter().sum();
        let at = |part: usize| {
            self.0
                .get((self.0.len() * part / 1_000).min(self.0.len().saturating_sub(1)))
        };
        let ms = |time: Option<&Duration>| time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0);
        println!(
            "{name:<12} {:>7.1}/s  {:>7.3} ms/s  p50 {:.3}  p99 {:.3}  max {:.3} ms",
            self.0.len() as f64 / seconds as f64,
            total.as_secs_f64() * 1_000.0 / seconds as f64,
            ms(at(500)),
            ms(at(990)),
            ms(self.0.last()),
        );
    }
}

struct Load {
    now: u64,
    scheduler: Scheduler,
    workers: StepWorkers,
    listed: Vec<HostInfo>,
    queue: BTreeMap<(u64, u64), Delivery>,
    sent: u64,
    jobs: u64,
    random: fastrand::Rng,
    measuring: bool,
    times: BTreeMap<&'static str, Times>,
    placed: u64,
    preempted: u64,
    /// Digest of all placements, which tells whether two versions decide alike.
    digest: u64,
}

impl Load {
    fn new(count: usize) -> Self {
        let mut load = Self {
            now: 1_000,
            scheduler: Scheduler::new("r".into()),
            workers: StepWorkers::default(),
            listed: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            jobs: 0,
            random: fastrand::Rng::with_seed(7),
            measuring: false,
            times: BTreeMap::new(),
            placed: 0,
            preempted: 0,
            digest: 0,
        };
        let capacity = Demand {
            millicores: 128_000,
            memory: 262_144,
            accelerators: 8,
        };
        for number in 0..count {
            let name = WorkerName::from(format!("confirm-svc-zone-{}-{number}", number % 4));
            let incarnation = Incarnation(1);
            load.workers
                .start_worker(&name, incarnation, capacity, Millis(load.now));
            if number % 3 == 2 {
                load.workers.paces.insert(name.clone(), 77);
            }
            let rack = format!("rack-{}", number / WORKERS_PER_RACK);
            load.listed.push(HostInfo {
                machine: name.as_str().to_owned(),
                name,
                address: format!("10.0.{}.{}:80", number / 256, number % 256),
                service: ServiceName::from("service"),
                domain: format!("zone-{}", number % 4).as_str().into(),
                rack: rack.as_str().into(),
                labels: [format!("half-{}", number % 2), rack].into(),
                capacity,
                draining: false,
                remaining: None,
                incarnation,
                version: String::new(),
            });
        }
        let elected = Event::Elected {
            term: Term(1),
            fence: 1,
            snapshot: None,
            rows: Vec::new(),
            wall: Millis(1_000_000),
        };
        load.feed("other", elected);
        load.feed("other", Event::LeaseChanged { until: Millis::MAX });
        load.feed("other", Event::Steps(StepsEvent::Rules(rules())));
        let update = HostUpdate {
            full: true,
            changed: load.listed.clone(),
            ..HostUpdate::default()
        };
        load.feed("list", Event::Steps(StepsEvent::Hosts(update)));
        load
    }

    fn feed(&mut self, kind: &'static str, event: Event) {
        let passes = self.scheduler.step_load().map(|load| load.passes);
        let started = Instant::now();
        let actions = self.scheduler.on(Millis(self.now), event);
        let took = started.elapsed();
        let planned = self.scheduler.step_load().map(|load| load.passes) != passes;
        if self.measuring {
            let kind = if planned { "pass" } else { kind };
            self.times.entry(kind).or_default().0.push(took);
        }
        for action in actions {
            match action {
                Action::Append(AppendAction::Commit { seq, .. }) => {
                    self.after(COMMIT_MS, Delivery::Event(Event::Stored(AppendEvent::Committed(seq))));
                }
                Action::Steps(action) => self.perform(action),
                _ => {}
            }
        }
    }

    fn after(&mut self, span: u64, delivery: Delivery) {
        self.sent += 1;
        self.queue.insert((self.now + span, self.sent), delivery);
    }

    fn perform(&mut self, action: StepsAction) {
        match action {
            StepsAction::Start { .. } | StepsAction::Stop { .. } | StepsAction::Hold { .. } => {
                let arrives = self.now + ONE_WAY_MS;
                self.after(ONE_WAY_MS, Delivery::Order(action, arrives));
            }
            StepsAction::Log(line) => {
                self.placed += u64::from(line.what == "placed");
                self.preempted += u64::from(line.what == "reclaims");
                if let (true, Some(worker)) = (line.what == "placed", &line.worker) {
                    for byte in worker.as_str().bytes().chain(format!("{:?}", line.task).bytes()) {
                        self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                    }
                }
            }
            StepsAction::Reply { .. } | StepsAction::Wasted { .. } => {}
        }
    }

    /// Has a worker carry out an order. A hold order without ends to list waits as long as it allows.
    fn execute(&mut self, action: StepsAction, arrived: u64) {
        let now = Millis(self.now);
        let event = match action {
            StepsAction::Start { target, order } => StepsEvent::Started {
                reply: self.workers.start(now, &target.worker, target.incarnation, &order),
                target,
                task: order.task,
                run: order.run,
            },
            StepsAction::Stop {
                target,
                task,
                run,
                term,
            } => StepsEvent::Stopped {
                reply: self
                    .workers
                    .stop(now, &target.worker, target.incarnation, (task, run), term),
                target,
                task,
                run,
            },
            StepsAction::Hold { target, order } => {
                let reply = self.workers.hold(now, &target.worker, target.incarnation, &order);
                let waits = reply.as_ref().is_ok_and(|lists| lists.finished.is_empty());
                if waits && self.now < arrived + order.wait.0 {
                    let action = StepsAction::Hold { target, order };
                    return self.after(20, Delivery::Order(action, arrived));
                }
                let reply: Result<_, OrderReply> = reply;
                StepsEvent::Held {
                    target,
                    ack: order.ack,
                    long_poll: order.wait > Millis::ZERO,
                    reply,
                }
            }
            StepsAction::Reply { .. } | StepsAction::Log(_) | StepsAction::Wasted { .. } => return,
        };
        self.after(ONE_WAY_MS, Delivery::Event(Event::Steps(event)));
    }

    fn submit(&mut self, job: StepJob) {
        let call = StepCall::Submit { job: Box::new(job) };
        let token = Token(self.jobs);
        self.feed("call", Event::Steps(StepsEvent::Call { token, call }));
    }

    /// Submits the jobs that arrive within one step of the clock.
    fn arrivals(&mut self) {
        let swing = 1.0 + 0.55 * (self.now as f64 / SWING_MS * std::f64::consts::TAU).sin();
        let scale = self.listed.len() as f64 / 350.0 * swing * STEP_MS as f64 / 1_000.0;
        for kind in &KINDS {
            if self.random.f64() < kind.rate * scale {
                let job = self.job(kind);
                self.submit(job);
            }
        }
    }

    fn job(&mut self, kind: &Kind) -> StepJob {
        self.jobs += 1;
        let count = 1 + self.random.u64(0..kind.width) as u32;
        let accelerators = self.random.choice(kind.accelerators).copied().unwrap_or(1);
        let work = kind.work / 2 + self.random.u64(0..kind.work);
        let demand = Demand {
            accelerators,
            ..kind.demand
        };
        let step = Step {
            count,
            demand,
            estimate: Millis(work * self.random.u64(70..140) / 100),
            gang: kind.gang,
            same_rack: kind.gang && self.random.f64() < 0.7,
            checkpointing: self.random.f64() < 0.4,
            requires: (self.random.f64() < 0.15).then(|| format!("half-{}", self.random.u64(0..2))),
            ..Step::default()
        };
        let account = self.random.u64(0..ACCOUNTS);
        job(self.jobs, (kind.queue, account), step, work)
    }

    fn run(&mut self, span: u64, mixed: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            if self.now.is_multiple_of(20) {
                self.workers.advance(Millis(self.now), Millis(20));
            }
            if mixed {
                self.arrivals();
            } else if self.now.is_multiple_of(1_000) {
                let job = self.job(&KINDS[1]);
                self.submit(job);
            }
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= self.now) {
                match entry.remove() {
                    Delivery::Order(action, arrived) => self.execute(action, arrived),
                    Delivery::Event(event) => self.feed(kind_of(&event), event),
                }
            }
            if self.now.is_multiple_of(LIST_MS) {
                let update = HostUpdate::default();
                self.feed("list", Event::Steps(StepsEvent::Hosts(update)));
            }
            if self.now.is_multiple_of(TICK_MS) {
                self.feed("tick", Event::Tick);
            } else if self.scheduler.wake_at().is_some_and(|wake| wake.0 <= self.now) {
                self.feed("wake", Event::Wake);
            }
        }
    }
}

fn kind_of(event: &Event) -> &'static str {
    match event {
        Event::Steps(StepsEvent::Held { .. }) => "hold reply",
        Event::Steps(StepsEvent::Started { .. }) => "start reply",
        Event::Steps(StepsEvent::Stopped { .. }) => "stop reply",
        Event::Stored(_) => "commit",
        _ => "other",
    }
}

fn job(key: u64, (queue, account): (&str, u64), step: Step, work: u64) -> StepJob {
    let Demand {
        millicores,
        memory,
        accelerators,
    } = step.demand;
    let gang = if step.gang { step.count } else { 0 };
    StepJob {
        key: JobKey(key),
        account: AccountName::from(format!("account-{account}")),
        queue: QueueName::from(queue),
        base_url: String::new(),
        settings: QueueSettings::default(),
        payload: format!("work={work} gang={gang} cpu={millicores} mem={memory} gpu={accelerators}"),
        steps: vec![step],
        recurrence: None,
    }
}

fn rules() -> Rules {
    let queue = |kind: &Kind| Queue {
        name: QueueName::from(kind.queue),
        host: "host".to_owned(),
        prefix: format!("/{}/", kind.queue),
        settings: QueueSettings {
            service: ServiceName::from("service"),
            priority: kind.priority,
            attempts: 3,
            stretch: if kind.priority == 0 { 1_500 } else { 3_000 },
            allowance: Millis(300),
        },
        timeout: Millis(3_000),
        public: false,
        advised: false,
    };
    let account = |number: u64| {
        let rule = AccountRule {
            guaranteed: 20 + 20 * number,
            ..AccountRule::default()
        };
        (AccountName::from(format!("account-{number}")), rule)
    };
    Rules {
        version: Revision(1),
        queues: KINDS
            .iter()
            .map(queue)
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        services: BTreeMap::new(),
        accounts: (0..ACCOUNTS / 2).map(account).collect(),
    }
}

/// Fills the workers with long gangs of 128, and queues some that do not fit.
fn fill(load: &mut Load, workers: u64) {
    const HOUR_MS: u64 = 3_600_000;
    let gangs = workers * 11 / 128;
    for number in 0..gangs + 20 {
        let step = Step {
            count: 128,
            demand: Demand {
                millicores: 11_000,
                memory: 23_000,
                accelerators: if number < gangs { u64::from(number % 6 == 0) } else { 8 },
            },
            estimate: Millis(HOUR_MS),
            gang: true,
            ..Step::default()
        };
        load.jobs += 1;
        let job = job(load.jobs, ("normal", number % ACCOUNTS), step, HOUR_MS);
        load.submit(job);
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |index: usize| args.get(index).and_then(|arg| arg.parse::<u64>().ok());
    let (Some(workers), Some(seconds)) = (number(1), number(2)) else {
        eprintln!("usage: step_costs WORKERS SECONDS [design]");
        std::process::exit(2);
    };
    let design = args.get(3).is_some_and(|arg| arg == "design");
    let mut load = Load::new(workers as usize);
    if design {
        fill(&mut load, workers);
    }
    load.run(10_000, !design);
    load.measuring = true;
    load.run(seconds * 1_000, !design);
    for (kind, times) in &mut load.times {
        times.print(kind, seconds);
    }
    let total: Duration = load.times.values().flat_map(|times| &times.0).sum();
    println!(
        "all events {:.1} ms/s; {} tasks running, {:?}; {} placed, {} preemptions, digest {:016x}; {} violations",
        total.as_secs_f64() * 1_000.0 / seconds as f64,
        load.workers.running(),
        load.scheduler.step_load().expect("elected"),
        load.placed,
        load.preempted,
        load.digest,
        load.workers.violations.len(),
    );
}
