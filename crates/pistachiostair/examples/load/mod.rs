//! Arrivals, workers and guarantees of the two deployments.

pub(crate) mod measure;

use pistachiostair::{Guarantee, GuaranteeSpec, JobSpec, Metadata, Millis, Size, Urgency, WorkerInfo};

pub(crate) const WORKERS: usize = 50;
pub(crate) const WIDTH: usize = 8;
pub(crate) const SHORT: u64 = 5_000;
pub(crate) const SPAN: u64 = 3_600_000;
/// Bursts come every ten minutes and last four seconds.
const BURST_EVERY: u64 = 600_000;
const BURST_SPAN: u64 = 4_000;

#[derive(Clone)]
pub(crate) struct Arrival {
    pub(crate) at: u64,
    pub(crate) spec: JobSpec,
    pub(crate) run: u64,
    pub(crate) cancel: Option<u64>,
    pub(crate) burst: bool,
}

pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) burst: usize,
    pub(crate) gang: &'static [&'static str],
    pub(crate) gang_run: u64,
    pub(crate) gangs: u64,
}

/// Arrivals of one hour: a steady stream, bursts, stragglers, cancellation waves, gangs.
pub(crate) fn arrivals(deployment: &Deployment, seed: u64) -> Vec<Arrival> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut all = Vec::new();
    let mut push = |random: &mut fastrand::Rng, at: u64, shape: &str, run: u64, burst: bool| {
        let straggles = shape.starts_with("1x") && random.u32(0..100) < 3;
        let run = if straggles { run * 30 } else { run };
        // Two large accounts and two small ones; declared run times are off by up to ten times.
        let account = ["a", "a", "a", "a", "b", "b", "b", "c", "c", "d"][random.usize(0..10)];
        let declared = run as f64 * 10f64.powf(random.f64() * 2.0 - 1.0);
        let stop = random.u32(0..10);
        let spec = JobSpec {
            account: account.into(),
            shape: shape.parse().expect("shape"),
            urgency: if random.u32(0..10) == 0 {
                Urgency::Urgent
            } else {
                Urgency::Normal
            },
            size: Size::default(),
            runtime: Some(Millis(declared as u64)),
            idempotent: stop < 5,
            checkpointable: stop < 3 || run > 60_000 && stop < 8,
            payload: None,
            deadline: None,
            region: None,
        };
        let wave = burst && random.u32(0..100) < 15;
        let cancel = wave.then(|| at / BURST_EVERY * BURST_EVERY + BURST_SPAN + 2_000);
        all.push(Arrival {
            at,
            spec,
            run,
            cancel,
            burst,
        });
    };
    for at in (0..SPAN).step_by(250) {
        let run = random.u64(500..4_000);
        let shape = ["1x0", "1x1"][random.usize(0..2)];
        push(&mut random, at, shape, run, false);
        if random.u32(0..100) < 3 {
            let run = random.u64(60_000..600_000);
            let shape = ["1x4", "1x8", "2x8", "1x2"][random.usize(0..4)];
            push(&mut random, at, shape, run, false);
        }
    }
    for start in (BURST_EVERY..SPAN).step_by(BURST_EVERY as usize) {
        for _ in 0..deployment.burst {
            let at = start + random.u64(0..BURST_SPAN);
            let run = random.u64(500..4_000);
            let shape = if random.bool() { "1x0" } else { "1x1" };
            push(&mut random, at, shape, run, true);
        }
    }
    for index in 0..deployment.gangs {
        let at = SPAN / 2 + index * 20_000;
        let run = random.u64(deployment.gang_run / 2..deployment.gang_run);
        let shape = deployment.gang[random.usize(0..deployment.gang.len())];
        push(&mut random, at, shape, run, false);
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

pub(crate) fn deployments() -> [Deployment; 2] {
    let transcripts = Deployment {
        name: "transcripts",
        burst: 1_500,
        gang: &["8x8", "4x8"],
        gang_run: 300_000,
        gangs: 6,
    };
    let treasury = Deployment {
        name: "treasury",
        burst: 800,
        gang: &["8x8", "16x8"],
        gang_run: 600_000,
        gangs: 12,
    };
    [transcripts, treasury]
}

pub(crate) fn workers() -> Vec<WorkerInfo> {
    let info = |index: usize| WorkerInfo {
        name: format!("w{index:02}").as_str().into(),
        region: "r".into(),
        domain: format!("d{}", index / WIDTH / 3).as_str().into(),
        rack: format!("r{}", index / WIDTH).as_str().into(),
        slots: 8,
        accelerators: 8,
        millicores: 30_000,
        memory: 65_536,
    };
    (0..WORKERS).map(info).collect()
}

/// A large account is guaranteed three gangs of four workers, a small one two gangs of two.
pub(crate) fn guarantees() -> Vec<Guarantee> {
    let guarantee = |name: &str, account: &str, shape: &str, count: u32| Guarantee {
        metadata: Metadata {
            name: name.to_owned(),
            ..Metadata::default()
        },
        spec: GuaranteeSpec {
            account: account.into(),
            shape: shape.parse().expect("shape"),
            count,
            region: None,
            grace: Millis(2_000),
        },
        conditions: Vec::new(),
    };
    vec![guarantee("large", "a", "4x8", 3), guarantee("small", "d", "2x8", 2)]
}
