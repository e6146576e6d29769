//! Tests of the estimates, with drawn durations.

use rstest::rstest;

use super::*;

const MACHINES: usize = 12;
const SECOND: u64 = 1_000;

/// A fleet whose tasks take a random time, with estimates learnt from its steps.
struct Fleet {
    speeds: Speeds,
    paces: Vec<f64>,
    random: fastrand::Rng,
    now: Millis,
}

fn name(number: usize) -> String {
    format!("m{number}")
}

impl Fleet {
    fn new(seed: u64, paces: &[f64]) -> Self {
        Self {
            speeds: Speeds::default(),
            paces: (0..MACHINES).map(|number| paces[number % paces.len()]).collect(),
            random: fastrand::Rng::with_seed(seed),
            now: Millis(SECOND),
        }
    }

    /// Lets a step with a task on each machine end; task sizes differ by up to 30%.
    fn step(&mut self) {
        let size = 1_000.0 + self.random.f64() * 9_000.0;
        let sizes: Vec<f64> = self
            .paces
            .iter()
            .map(|pace| size * (0.7 + 0.6 * self.random.f64()) / pace)
            .collect();
        self.learn(&sizes);
    }

    fn learn(&mut self, durations: &[f64]) -> Learned {
        self.now += Millis(5 * SECOND);
        let names: Vec<String> = (0..durations.len()).map(name).collect();
        let samples = names.iter().zip(durations).map(|(machine, duration)| Sample {
            machine,
            duration: Millis(*duration as u64),
        });
        self.speeds.learn(self.now, &samples.collect::<Vec<_>>(), false)
    }

    fn classes(&self) -> Vec<SpeedClass> {
        let machines = (0..MACHINES).map(name);
        machines.map(|machine| self.speeds.class(&machine, self.now)).collect()
    }
}

/// Guards against estimates that confuse the speeds of a mixed fleet after a few steps.
#[rstest]
fn three_speeds_known(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::new(seed, &[0.6, 1.0, 1.6]);
    for _ in 0..12 {
        fleet.step();
    }
    for (number, class) in fleet.classes().into_iter().enumerate() {
        let expected = [-1, 0, 1][number % 3];
        assert_eq!(
            class.cmp(&SpeedClass::default()) as i32,
            expected,
            "{number}: {class:?}"
        );
    }
}

/// Guards against decisions that differ on a fleet of one speed: its machines all count as equal.
#[rstest]
fn one_speed_uniform(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::new(seed, &[1.0]);
    for step in 0..200 {
        fleet.step();
        let known = fleet.classes();
        assert_eq!(known, vec![SpeedClass::default(); MACHINES], "step {step}");
    }
}

/// Guards against a speed that is changed by a task which is long by itself, or by a machine that is slow for seconds.
#[test]
fn long_task_no_change() {
    let mut fleet = Fleet::new(1, &[1.0]);
    for _ in 0..10 {
        fleet.step();
    }
    let before = fleet.classes();
    let mut durations = vec![2_000.0; MACHINES];
    durations[3] = 9_000.0;
    fleet.learn(&durations);
    fleet.learn(&durations);
    assert_eq!(fleet.classes(), before);
}

/// Guards against a machine that stays slow for good and keeps its old estimate.
#[test]
fn lasting_slowness_learnt() {
    let mut fleet = Fleet::new(1, &[1.0]);
    for _ in 0..10 {
        fleet.step();
    }
    fleet.paces[3] = 0.3;
    for _ in 0..40 {
        fleet.step();
    }
    assert!(fleet.classes()[3] < SpeedClass::default());
    assert_eq!(fleet.classes()[4], SpeedClass::default());
}

/// Guards against fast members of a gang that are taken for slow, as all members report the progress of the slowest.
#[test]
fn common_pace_not_learnt() {
    let mut speeds = Speeds::default();
    let names: Vec<String> = (0..5).map(name).collect();
    let durations = [4_000, 4_050, 4_100, 4_000, 4_010];
    let samples = names.iter().zip(durations).map(|(machine, duration)| Sample {
        machine,
        duration: Millis(duration),
    });
    let learned = speeds.learn(Millis(SECOND), &samples.collect::<Vec<_>>(), true);
    assert_eq!(learned, Learned::default());
}

/// Guards against durations that no task can have, which would make estimates infinite or not a number.
#[test]
fn bad_values_dropped() {
    let mut fleet = Fleet::new(1, &[1.0]);
    let learned = fleet.learn(&[0.0, f64::INFINITY, f64::NAN, 2_000.0, 2_100.0, 1_900.0]);
    assert_eq!((learned.dropped, learned.changed), (3, true));
    assert_eq!(fleet.classes(), vec![SpeedClass::default(); MACHINES]);
    let learned = fleet.learn(&[0.0, 0.0, 0.0, 2_000.0]);
    assert_eq!((learned.dropped, learned.changed), (3, false));
}

/// Guards against estimates that grow without bound or count for ever: they are limited, and fade without tasks.
#[test]
fn estimates_bounded_and_aged() {
    let mut fleet = Fleet::new(1, &[0.6, 1.0, 1.6]);
    for _ in 0..12 {
        fleet.step();
    }
    assert_ne!(fleet.classes(), vec![SpeedClass::default(); MACHINES]);
    fleet.now += Millis(3 * 3_600 * SECOND);
    fleet.speeds.expire(fleet.now);
    assert_eq!(fleet.speeds.machines.len(), MACHINES);
    fleet.now += Millis(24 * 3_600 * SECOND);
    assert_eq!(fleet.classes(), vec![SpeedClass::default(); MACHINES]);
    fleet.speeds.expire(fleet.now);
    assert!(fleet.speeds.machines.is_empty());
    let many = vec![2_000.0; MAX_MACHINES + 10];
    fleet.learn(&many);
    assert_eq!(fleet.speeds.machines.len(), MAX_MACHINES);
}
