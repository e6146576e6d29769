//! Best-fit search for free workers that are adjacent.

use std::ops::Range;

use crate::rack::{Rack, WorkKind, WorkerIndex};
use crate::resource::Shape;
use crate::topology::Topology;

impl Topology {
    /// The largest number of workers of one rack that could hold parts of this size.
    pub(crate) fn widest_rack(&self, accelerators: u32) -> u32 {
        let widths = self.racks.iter().map(|rack| rack.capacity(accelerators));
        widths.max().unwrap_or(0)
    }

    /// Whether empty hardware could hold the shape.
    pub(crate) fn can_hold(&self, shape: Shape) -> bool {
        if shape.accelerators == 0 {
            return self.workers().any(|w| self.nodes[w].info.slots > 0);
        }
        shape.workers <= self.widest_rack(shape.accelerators)
            || self
                .rack_window(shape.workers, &self.counts(|rack| rack.capacity(shape.accelerators)))
                .is_some()
    }

    /// Best fit for a job of this kind.
    pub(crate) fn find(&self, shape: Shape, kind: WorkKind) -> Option<Vec<WorkerIndex>> {
        let need = shape.accelerators;
        if need == 0 {
            return self.find_slots(shape.workers, |w| self.nodes[w].room(kind, self.reserve), kind);
        }
        if shape.workers == 1 {
            let tight = |rack: &Rack| rack.smallest_fit(kind, need);
            return self.find_single(need, tight, |w| self.avail(w, kind));
        }
        let count = |rack: &Rack| rack.count(kind, need);
        self.find_gang(shape, count, |w| self.avail(w, kind))
    }

    /// Best fit where `avail` says what each worker has; -1 for none. Looks at every worker.
    pub(crate) fn find_with(&self, shape: Shape, avail: impl Fn(WorkerIndex) -> i32) -> Option<Vec<WorkerIndex>> {
        let need = shape.accelerators;
        if need == 0 {
            let any = WorkKind::new(false, false);
            return self.find_slots(shape.workers, |w| u32::from(avail(w) >= 0), any);
        }
        let fitting = |rack: &Rack| rack.members.iter().filter(|w| avail(**w) >= need as i32).count() as u32;
        self.find_gang(shape, fitting, &avail)
    }

    /// Accelerators that a worker offers to a kind; -1 if none can go there.
    pub(crate) fn avail(&self, worker: WorkerIndex, kind: WorkKind) -> i32 {
        self.nodes[worker].avail(kind)
    }

    /// Whether neighbouring racks may be used: only if no single rack could hold the shape.
    pub(crate) fn spans_racks(&self, shape: Shape) -> bool {
        shape.workers > self.widest_rack(shape.accelerators)
    }

    /// The fewest neighbouring racks of one domain that have `need` workers by `counts`; each of
    /// them contributes.
    pub(crate) fn rack_window(&self, need: u32, counts: &[u32]) -> Option<Range<usize>> {
        let mut best: Option<(usize, u32, usize)> = None;
        let (mut start, mut sum) = (0, 0);
        for end in 0..counts.len() {
            if start < end && (counts[end] == 0 || self.racks[end].domain != self.racks[start].domain) {
                (start, sum) = (end, 0);
            }
            if counts[end] == 0 {
                start = end + 1;
                continue;
            }
            sum += counts[end];
            while sum - counts[start] >= need {
                sum -= counts[start];
                start += 1;
            }
            if sum >= need {
                let candidate = (end + 1 - start, sum - need, start);
                best = Some(best.map_or(candidate, |old| old.min(candidate)));
            }
        }
        best.map(|(length, _, start)| start..start + length)
    }

    fn find_single(
        &self,
        need: u32,
        tight: impl Fn(&Rack) -> Option<u32>,
        avail: impl Fn(WorkerIndex) -> i32,
    ) -> Option<Vec<WorkerIndex>> {
        let racks = self.racks.iter();
        let (level, _, rack) = racks
            .filter_map(|rack| tight(rack).map(|level| (level, rack.free, rack)))
            .min_by_key(|(level, free, _)| (*level, *free))?;
        debug_assert!(level >= need);
        let members = rack.members.iter().copied();
        members.filter(|w| avail(*w) == level as i32).min().map(|w| vec![w])
    }

    fn find_gang(
        &self,
        shape: Shape,
        count: impl Fn(&Rack) -> u32,
        avail: impl Fn(WorkerIndex) -> i32,
    ) -> Option<Vec<WorkerIndex>> {
        let need = shape.accelerators as i32;
        let range = if self.spans_racks(shape) {
            self.rack_window(shape.workers, &self.counts(count))?
        } else {
            let fitting = self.racks.iter().enumerate().filter_map(|(index, rack)| {
                let spare = count(rack).checked_sub(shape.workers)?;
                Some((spare, rack.free, index))
            });
            let (_, _, index) = fitting.min()?;
            index..index + 1
        };
        let mut chosen = Vec::new();
        let mut left = shape.workers as usize;
        for (index, rack) in self.racks[range.clone()].iter().enumerate() {
            let mut members: Vec<(i32, WorkerIndex)> = rack.members.iter().map(|w| (avail(*w), *w)).collect();
            members.retain(|(level, _)| *level >= need);
            members.sort_unstable();
            // Each rack of the window must contribute, or the others would not be neighbours.
            let behind = range.len() - 1 - index;
            members.truncate(left.saturating_sub(behind));
            left -= members.len();
            chosen.extend(members.into_iter().map(|(_, w)| w));
        }
        (left == 0).then_some(chosen)
    }

    /// Slots for parts without accelerators, on the fullest racks first; parts may share a worker.
    fn find_slots(&self, parts: u32, room: impl Fn(WorkerIndex) -> u32, kind: WorkKind) -> Option<Vec<WorkerIndex>> {
        let mut racks: Vec<&Rack> = self.racks.iter().filter(|rack| rack.count(kind, 0) > 0).collect();
        racks.sort_by_key(|rack| rack.free);
        let mut chosen = Vec::new();
        for rack in racks {
            for worker in &rack.members {
                let take = room(*worker).min(parts - chosen.len() as u32);
                chosen.extend(std::iter::repeat_n(*worker, take as usize));
                if chosen.len() as u32 == parts {
                    return Some(chosen);
                }
            }
        }
        None
    }

    fn counts(&self, count: impl Fn(&Rack) -> u32) -> Vec<u32> {
        self.racks.iter().map(count).collect()
    }

    /// The largest number of adjacent free accelerators that one gang can get.
    pub(crate) fn largest_gang(&self) -> u32 {
        let sizes = (1..=Shape::MAX_ACCELERATORS).take_while(|size| self.widest_rack(*size) > 0);
        let gangs = sizes.map(|size| {
            // Room that short work may borrow from a reservation is not free to a gang.
            let fits = |worker: &&WorkerIndex| self.nodes[**worker].unclaimed() >= size;
            let counts = self.counts(|rack| rack.members.iter().filter(fits).count() as u32);
            let mut parts = counts.iter().copied().max().unwrap_or(0);
            let longest = self.longest_run(&counts);
            if longest > self.widest_rack(size) {
                parts = longest;
            }
            parts.min(Shape::MAX_WORKERS) * size
        });
        gangs.max().unwrap_or(0)
    }

    /// The largest sum over neighbouring racks of one domain that all have some.
    fn longest_run(&self, counts: &[u32]) -> u32 {
        let (mut sum, mut best) = (0, 0);
        for (index, count) in counts.iter().enumerate() {
            let fresh = index == 0 || self.racks[index].domain != self.racks[index - 1].domain;
            sum = if fresh || *count == 0 { *count } else { sum + count };
            best = best.max(sum);
        }
        best
    }
}
