//! Guarantees as an explicit packing (the planner's way) against a buddy allocation of cells:
//! refusals and cost over the same random creations and deletions, on 50 workers of 8.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachiostair::{
    Change, Guarantee, GuaranteeName, GuaranteeSpec, MemberState, Metadata, Millis, Planner, Shape, WorkerInfo,
};

const WORKERS: u32 = 50;
const WIDTH: u32 = 8;
const RACK: u32 = 64;
const STEPS: usize = 3_000;

/// Cells of 1 to 64 accelerators; a gang gets whole workers, a power of two of them.
struct Buddy {
    free: BTreeSet<(u32, u32)>,
}

impl Buddy {
    fn new() -> Self {
        let mut free: BTreeSet<(u32, u32)> = (0..WORKERS / WIDTH).map(|rack| (RACK, rack * RACK)).collect();
        free.insert((WORKERS % WIDTH * WIDTH, WORKERS / WIDTH * RACK));
        Self { free }
    }

    fn size(shape: Shape) -> u32 {
        match shape.workers {
            1 => shape.accelerators.next_power_of_two(),
            workers => workers.next_power_of_two() * WIDTH,
        }
    }

    fn take(&mut self, shape: Shape) -> Option<Vec<(u32, u32)>> {
        let size = Self::size(shape);
        if size > RACK {
            let racks = shape.workers.div_ceil(WIDTH);
            let run = |first: &u32| (0..racks).all(|rack| self.free.contains(&(RACK, (first + rack) * RACK)));
            let first = (0..WORKERS / WIDTH).filter(|first| first % 3 + racks <= 3).find(run)?;
            let cells: Vec<(u32, u32)> = (first..first + racks).map(|rack| (RACK, rack * RACK)).collect();
            cells.iter().for_each(|cell| {
                self.free.remove(cell);
            });
            return Some(cells);
        }
        let (mut have, at) = self.free.range((size, 0)..).next().copied()?;
        self.free.remove(&(have, at));
        while have > size {
            have /= 2;
            self.free.insert((have, at + have));
        }
        Some(vec![(size, at)])
    }

    fn give(&mut self, cells: Vec<(u32, u32)>) {
        for (mut size, mut at) in cells {
            while size < RACK && self.free.remove(&(size, at ^ size)) {
                at &= !size;
                size *= 2;
            }
            self.free.insert((size, at));
        }
    }
}

fn guarantee(name: &str, shape: Shape) -> Guarantee {
    Guarantee {
        metadata: Metadata {
            name: name.to_owned(),
            ..Metadata::default()
        },
        spec: GuaranteeSpec {
            account: name.into(),
            shape,
            count: 1,
            region: None,
            grace: Millis(2_000),
        },
        conditions: Vec::new(),
    }
}

fn main() {
    let mut planner = Planner::new();
    for index in 0..WORKERS {
        let info = WorkerInfo {
            name: format!("w{index:02}").as_str().into(),
            region: "r".into(),
            domain: format!("d{}", index / WIDTH / 3).as_str().into(),
            rack: format!("r{}", index / WIDTH).as_str().into(),
            slots: 8,
            accelerators: 8,
            millicores: 30_000,
            memory: 65_536,
        };
        let state = MemberState::Live;
        planner.apply(Millis(0), Change::Worker { info, state });
    }
    let mut buddy = Buddy::new();
    let mut random = fastrand::Rng::with_seed(5);
    let (mut packed, mut celled) = (Vec::new(), Vec::new());
    let (mut refused, mut cost, mut held) = ([0u32; 2], [Duration::ZERO; 2], [0u64; 2]);
    let shapes = [
        "1x1", "1x2", "1x3", "1x4", "1x8", "2x4", "3x2", "2x8", "3x8", "5x8", "8x8", "12x8",
    ];
    for step in 0..STEPS {
        let shape: Shape = shapes[random.usize(0..shapes.len())].parse().expect("shape");
        let name = format!("g{step}");
        let start = Instant::now();
        let wanted = guarantee(&name, shape);
        if planner.check_guarantee(&wanted).is_ok() {
            planner.apply(Millis(0), Change::Guarantee(wanted));
            planner.plan(Millis(0), 1);
            packed.push((name, shape.total()));
        } else {
            refused[0] += 1;
        }
        cost[0] += start.elapsed();
        let start = Instant::now();
        match buddy.take(shape) {
            Some(cells) => celled.push((cells, shape.total())),
            None => refused[1] += 1,
        }
        cost[1] += start.elapsed();
        // One deletion for two requests: the region fills, and what is refused depends on packing.
        let gone = random.usize(0..1_000);
        if step % 2 == 0 && !packed.is_empty() {
            let (name, _) = packed.swap_remove(gone % packed.len());
            planner.apply(Millis(0), Change::GuaranteeDeleted(GuaranteeName::from(name)));
        }
        if step % 2 == 0 && !celled.is_empty() {
            let (cells, _) = celled.swap_remove(gone % celled.len());
            buddy.give(cells);
        }
        held[0] += packed.iter().map(|(_, total)| u64::from(*total)).sum::<u64>();
        held[1] += celled.iter().map(|(_, total)| u64::from(*total)).sum::<u64>();
    }
    println!("{STEPS} requests on {} accelerators", WORKERS * 8);
    for (index, name) in ["explicit packing", "buddy cells"].into_iter().enumerate() {
        let (refused, mean) = (refused[index], held[index] as f64 / STEPS as f64);
        let each = cost[index].as_secs_f64() * 1e6 / STEPS as f64;
        println!("  {name:17} refused {refused}; {mean:.0} accelerators guaranteed on average; {each:.1} us each");
    }
}
