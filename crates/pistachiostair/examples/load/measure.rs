//! What a run is measured by.

use pistachiostair::Urgency;

use super::{Arrival, SHORT};

pub(crate) const LABELS: [&str; 14] = [
    "completion median",
    "completion p99",
    "burst wait median",
    "burst wait p99",
    "urgent wait p99",
    "urgent wait p99, gangs left out",
    "gang wait max",
    "gang completion median",
    "gang completion p99",
    "fragmentation",
    "stopped",
    "accelerator seconds lost",
    "guaranteed jobs",
    "guaranteed jobs late",
];
pub(crate) type Row = [f64; LABELS.len()];

#[derive(Clone, Copy, Default)]
pub(crate) struct Progress {
    pub(crate) attempt: u64,
    pub(crate) start: Option<u64>,
    /// Service of ended attempts, and the part of it that checkpoints kept.
    pub(crate) served: u64,
    pub(crate) kept: u64,
    pub(crate) first: Option<u64>,
    pub(crate) end: Option<u64>,
    pub(crate) cancelled: bool,
    /// Latest start that honours a guarantee.
    pub(crate) due: Option<u64>,
}

/// Waits, completion and late guaranteed jobs of a run that has ended.
pub(crate) fn row(table: &[Arrival], jobs: &[Progress], totals: [f64; 3]) -> Row {
    let [fragmentation, stops, lost] = totals;
    let pairs = || table.iter().zip(jobs);
    let pick = |share: f64, filter: &dyn Fn(&Arrival) -> bool, value: &dyn Fn(&Progress) -> Option<u64>| {
        let jobs = pairs().filter(|(arrival, _)| filter(arrival));
        let mut waits: Vec<u64> = jobs.filter_map(|(a, entry)| value(entry).map(|at| at - a.at)).collect();
        waits.sort_unstable();
        let index = (waits.len().saturating_sub(1) as f64 * share) as usize;
        waits.get(index).copied().unwrap_or(0) as f64 / 1_000.0
    };
    let (first, end) = (|entry: &Progress| entry.first, |entry: &Progress| entry.end);
    let gang = |arrival: &Arrival| arrival.spec.shape.workers >= 8;
    let peak = |arrival: &Arrival| arrival.burst && arrival.run <= SHORT;
    let urgent = |arrival: &Arrival| arrival.spec.urgency == Urgency::Urgent;
    let single = |arrival: &Arrival| urgent(arrival) && arrival.spec.shape.workers == 1;
    let unfinished = pairs()
        .filter(|(_, entry)| entry.end.is_none() && !entry.cancelled)
        .count();
    assert_eq!(unfinished, 0, "every job ends or is cancelled");
    let due = pairs().filter(|(_, entry)| entry.due.is_some() && !entry.cancelled);
    let late = due.clone().filter(|(_, entry)| entry.first > entry.due);
    [
        pick(0.5, &|_| true, &end),
        pick(0.99, &|_| true, &end),
        pick(0.5, &peak, &first),
        pick(0.99, &peak, &first),
        pick(0.99, &urgent, &first),
        pick(0.99, &single, &first),
        pick(1.0, &gang, &first),
        pick(0.5, &gang, &end),
        pick(0.99, &gang, &end),
        fragmentation,
        stops,
        lost,
        due.count() as f64,
        late.count() as f64,
    ]
}
