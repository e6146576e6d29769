//! Baselines: first-come-first-served first-fit, and backfill with trusted run times.

use std::collections::BTreeMap;

use pistachiostair::{JobId, JobSpec, Shape};

use crate::WIDTH;

/// First-fit over the same hardware and adjacency, for both baselines.
pub(crate) struct Simple {
    pub(crate) free: Vec<(u32, u32)>,
    pub(crate) waiting: BTreeMap<JobId, JobSpec>,
    pub(crate) placed: BTreeMap<JobId, (Vec<usize>, u32, u64)>,
    pub(crate) backfill: bool,
}

impl Simple {
    fn find(free: &[(u32, u32)], shape: Shape) -> Option<Vec<usize>> {
        let fits = |index: &usize| free[*index].0 > 0 && free[*index].1 >= shape.accelerators;
        let count = shape.workers as usize;
        let width = if count > WIDTH { 3 * WIDTH } else { WIDTH };
        (0..free.len()).step_by(width).find_map(|start| {
            let range = start..(start + width).min(free.len());
            let found: Vec<usize> = range.filter(fits).take(count).collect();
            (found.len() == count).then_some(found)
        })
    }

    /// Share of free accelerators outside the largest gang that fits, as in `Planner::stats`.
    pub(crate) fn fragmentation(&self) -> f64 {
        let gang = |width: usize, size: u32| {
            let wide = |rack: &[(u32, u32)]| rack.iter().filter(|free| free.0 > 0 && free.1 >= size).count();
            self.free.chunks(width).map(wide).max().unwrap_or(0) as u32
        };
        let size = |size: u32| match gang(3 * WIDTH, size) {
            parts if parts as usize > WIDTH => parts * size,
            _ => gang(WIDTH, size) * size,
        };
        let free: u32 = self.free.iter().map(|free| free.1).sum();
        1.0 - f64::from((1..=8).map(size).max().unwrap_or(0)) / f64::from(free.max(1))
    }

    fn take(free: &mut [(u32, u32)], workers: &[usize], accelerators: u32, add: bool) {
        for worker in workers {
            let (slots, acc) = &mut free[*worker];
            *slots = if add { *slots + 1 } else { *slots - 1 };
            *acc = if add { *acc + accelerators } else { *acc - accelerators };
        }
    }

    /// Start of the first job in the queue if all run times were as declared.
    fn shadow(&self, now: u64, shape: Shape) -> u64 {
        let mut free = self.free.clone();
        let mut ends: Vec<_> = self.placed.values().collect();
        ends.sort_by_key(|(_, _, end)| *end);
        for (workers, accelerators, end) in ends {
            Self::take(&mut free, workers, *accelerators, true);
            if Self::find(&free, shape).is_some() {
                return (*end).max(now);
            }
        }
        u64::MAX
    }

    pub(crate) fn plan(&mut self, now: u64) -> Vec<JobId> {
        let mut placed = Vec::new();
        let mut limit = None;
        for (job, spec) in self.waiting.clone() {
            let declared = spec.runtime.map_or(0, |runtime| runtime.0);
            if limit.is_some_and(|limit| now + declared > limit) {
                continue;
            }
            let Some(workers) = Self::find(&self.free, spec.shape) else {
                if !self.backfill {
                    break;
                }
                limit = limit.or_else(|| Some(self.shadow(now, spec.shape)));
                continue;
            };
            Self::take(&mut self.free, &workers, spec.shape.accelerators, false);
            self.waiting.remove(&job);
            self.placed
                .insert(job, (workers, spec.shape.accelerators, now + declared));
            placed.push(job);
        }
        placed
    }

    pub(crate) fn end(&mut self, job: JobId) {
        self.waiting.remove(&job);
        if let Some((workers, accelerators, _)) = self.placed.remove(&job) {
            Self::take(&mut self.free, &workers, accelerators, true);
        }
    }
}
