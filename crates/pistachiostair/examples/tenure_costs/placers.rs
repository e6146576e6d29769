//! The optimistic design: every daemon places by conditional writes on the rows of workers.

use std::collections::{BTreeMap, VecDeque};

use pistachiostair::{Check, Commit, Transaction, Write};

use super::{ACCOUNTS, Design, HOP, RACK, SLOTS, Sim};

/// Span for which a row must be unchanged before a worker's report counts.
const SETTLED: u64 = 150;
/// Most jobs in a transaction of the optimistic design; halved by a conflict.
const BATCH: usize = 32;
/// A daemon that places by conditional writes; `true` in its queue stands for the end of a job.
#[derive(Clone, Default)]
pub(super) struct Placer {
    pub(super) queue: VecDeque<(usize, bool)>,
    /// Used slots and version of each worker's row, and since when it was seen unchanged.
    view: Vec<(u8, u64, u64)>,
    pub(super) busy: bool,
    cap: usize,
}

impl Placer {
    pub(super) fn new(workers: usize) -> Self {
        Self {
            view: vec![(0, 0, 0); workers + ACCOUNTS],
            cap: BATCH,
            ..Self::default()
        }
    }
}

impl Sim {
    /// Reads the rows of workers and accounts.
    pub(super) fn refresh(&mut self, daemon: usize) {
        let Design::Optimistic { reports, .. } = self.design else {
            return;
        };
        for (index, seen) in self.placers[daemon].view.iter_mut().enumerate() {
            let row = self.tables.get(&format!("worker/{index}"));
            let (used, version) = row.map_or((0, 0), |row| (row.value.parse().expect("a count"), row.version));
            // A report may lack a placement that was committed but not started yet: it counts only when the
            // row has been unchanged for longer than any answer of the store takes.
            let since = if version == seen.1 { seen.2 } else { self.now };
            let report = self.used.get(index).filter(|_| reports && self.now >= since + SETTLED);
            *seen = (report.copied().unwrap_or(used), version, since);
        }
    }

    /// Sends a transaction for what waits at a daemon: the rows of its workers and a journal row.
    pub(super) fn place(&mut self, daemon: usize) {
        let Design::Optimistic {
            fullest,
            reports,
            quotas,
        } = self.design
        else {
            return;
        };
        let placer = &mut self.placers[daemon];
        let workers = self.used.len();
        let mut rows: BTreeMap<usize, u8> = BTreeMap::new();
        let mut items = Vec::new();
        let mut waiting = Vec::new();
        while !placer.busy && items.len() < placer.cap {
            let Some((job, end)) = placer.queue.pop_front() else {
                break;
            };
            let gang = self.jobs[job].gang;
            let shift = self.rng.usize(..workers);
            let used = |worker: usize| rows.get(&worker).copied().unwrap_or(placer.view[worker].0);
            let room: Vec<usize> = match (end, gang) {
                (true, _) => self.jobs[job].workers.clone(),
                (_, true) => (0..workers).filter(|w| used(*w) == 0).take(RACK).collect(),
                _ if fullest => (0..workers)
                    .filter(|w| used(*w) < SLOTS)
                    .max_by_key(|w| used(*w))
                    .into_iter()
                    .collect(),
                _ => (0..workers)
                    .map(|w| (w + shift) % workers)
                    .find(|w| used(*w) < SLOTS)
                    .into_iter()
                    .collect(),
            };
            // A gang goes alone, so that a conflict of another job does not reject it.
            if gang && !items.is_empty() || room.len() < if gang { RACK } else { 1 } {
                waiting.push((job, end));
                continue;
            }
            let slots = if gang { SLOTS } else { 1 };
            let next: Vec<u8> = room
                .iter()
                .map(|w| {
                    if end {
                        used(*w).saturating_sub(slots)
                    } else {
                        used(*w) + slots
                    }
                })
                .collect();
            if !(end && reports) {
                rows.extend(room.iter().copied().zip(next));
            }
            if quotas {
                rows.insert(workers + job % ACCOUNTS, 0);
            }
            self.jobs[job].workers = room;
            items.push((job, end));
            if gang {
                break;
            }
        }
        waiting.into_iter().rev().for_each(|item| placer.queue.push_front(item));
        if items.is_empty() {
            return;
        }
        placer.busy = true;
        self.next += 1;
        let key = |index: &usize| format!("worker/{index}");
        let check = |index: &usize| Check {
            key: key(index),
            version: placer.view[*index].1,
        };
        let write = |(index, used): (&usize, &u8)| Write {
            key: key(index),
            value: Some(used.to_string()),
        };
        let journal = Write {
            key: format!("journal/{daemon}/{}", self.next),
            value: Some(format!("{items:?}")),
        };
        let checks = rows.keys().map(check).collect();
        let writes = rows.iter().map(write).chain([journal]).collect();
        self.commit(Transaction { checks, writes }, move |sim, commit| {
            sim.settle(daemon, rows, items, commit)
        });
    }

    fn settle(&mut self, daemon: usize, rows: BTreeMap<usize, u8>, items: Vec<(usize, bool)>, commit: Commit) {
        let Design::Optimistic { reports, .. } = self.design else {
            return;
        };
        let placer = &mut self.placers[daemon];
        let Commit::Done { version } = commit else {
            self.retried += items.len();
            placer.cap = (placer.cap / 2).max(1);
            items.into_iter().rev().for_each(|item| placer.queue.push_front(item));
            return self.after(2 * HOP, move |sim| {
                sim.refresh(daemon);
                sim.placers[daemon].busy = false;
            });
        };
        placer.busy = false;
        placer.cap = (placer.cap + 1).min(BATCH);
        rows.into_iter()
            .for_each(|(index, used)| placer.view[index] = (used, version, 0));
        let placed = items.into_iter().filter(|(_, end)| !end);
        for (job, _) in placed {
            self.occupy(job, !reports, true);
            self.placed(job);
        }
    }

    /// What the workers report, in the variant that uses it.
    pub(super) fn occupy(&mut self, job: usize, ignored: bool, begin: bool) {
        let slots = if self.jobs[job].gang { SLOTS } else { 1 };
        for worker in self.jobs[job].workers.iter().filter(|_| !ignored) {
            let used = &mut self.used[*worker];
            *used = if begin { *used + slots } else { *used - slots };
            assert!(*used <= SLOTS, "a worker is overbooked");
        }
    }
}
