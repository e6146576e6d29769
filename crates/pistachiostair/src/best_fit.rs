//! Best-fit search for free, adjacent workers.
//!
//! Adjacent means in one rack or, for a shape that no single rack could hold, in neighbouring racks of one failure
//! domain. Best fit leaves the largest remaining room whole: the fullest workers and racks that fit are taken first.
//! Parts without accelerators need only slots and may go anywhere.

use std::ops::Range;

use crate::rack::{Rack, WorkKind, WorkerIndex};
use crate::resource::Shape;
use crate::topology::Topology;

impl Topology {
    /// The largest number of workers of one rack that could each hold a part with this many accelerators when empty.
    pub(crate) fn widest_rack(&self, accelerators: u32) -> u32 {
        let widths = self.racks.iter().map(|rack| rack.capacity(accelerators));
        widths.max().unwrap_or(0)
    }

    /// Whether the known hardware could hold the shape if it were empty.
    pub(crate) fn can_hold(&self, shape: Shape) -> bool {
        if shape.accelerators == 0 {
            return self.workers().any(|w| self.nodes[w].info.slots > 0);
        }
        shape.workers <= self.widest_rack(shape.accelerators)
            || self
                .rack_window(shape.workers, &self.counts(|rack| rack.capacity(shape.accelerators)))
                .is_some()
    }

    /// The best fit for a job of this kind: one worker for each part, `None` if it does not fit. Uses the counts of the
    /// racks.
    pub(crate) fn find(&self, shape: Shape, kind: WorkKind) -> Option<Vec<WorkerIndex>> {
        let need = shape.accelerators;
        if need == 0 {
            return self.find_slots(shape.workers, |w| self.nodes[w].room(kind, self.reserve), kind);
        }
        if shape.workers == 1 {
            let smallest_fit = |rack: &Rack| rack.smallest_fit(kind, need);
            return self.find_single(need, smallest_fit, |w| self.avail(w, kind));
        }
        let count = |rack: &Rack| rack.count(kind, need);
        self.find_gang(shape, count, |w| self.avail(w, kind))
    }

    /// Like [`Self::find`], with the accelerators that each worker offers given by `avail` (-1 if it takes no part).
    /// Slower, since it examines every worker.
    pub(crate) fn find_with(&self, shape: Shape, avail: impl Fn(WorkerIndex) -> i32) -> Option<Vec<WorkerIndex>> {
        let need = shape.accelerators;
        if need == 0 {
            let any = WorkKind::new(false, false);
            return self.find_slots(shape.workers, |w| u32::from(avail(w) >= 0), any);
        }
        let fitting = |rack: &Rack| rack.members.iter().filter(|w| avail(**w) >= need as i32).count() as u32;
        self.find_gang(shape, fitting, &avail)
    }

    /// Accelerators that a worker offers to a kind of work; -1 if it takes no part.
    pub(crate) fn avail(&self, worker: WorkerIndex, kind: WorkKind) -> i32 {
        self.nodes[worker].avail(kind)
    }

    /// Whether the shape is spread over neighbouring racks, which is allowed only if no single rack could hold it.
    pub(crate) fn spans_racks(&self, shape: Shape) -> bool {
        shape.workers > self.widest_rack(shape.accelerators)
    }

    /// The shortest range of neighbouring racks of one domain that have `need` workers in all, each rack at least one.
    /// `counts` is the number of workers in each rack.
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

    /// The worker with the fewest available accelerators that fit one part. `smallest_fit` is that number in a rack.
    fn find_single(
        &self,
        need: u32,
        smallest_fit: impl Fn(&Rack) -> Option<u32>,
        avail: impl Fn(WorkerIndex) -> i32,
    ) -> Option<Vec<WorkerIndex>> {
        let racks = self.racks.iter();
        let (level, _, rack) = racks
            .filter_map(|rack| smallest_fit(rack).map(|level| (level, rack.free, rack)))
            .min_by_key(|(level, free, _)| (*level, *free))?;
        debug_assert!(level >= need);
        let members = rack.members.iter().copied();
        members.filter(|w| avail(*w) == level as i32).min().map(|w| vec![w])
    }

    /// Workers for all parts, each on its own worker. `count` is the number of workers of a rack that fit a part.
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
            // Leaves one part for each further rack: an unused rack would separate the others.
            let racks_left = range.len() - 1 - index;
            members.truncate(left.saturating_sub(racks_left));
            left -= members.len();
            chosen.extend(members.into_iter().map(|(_, w)| w));
        }
        (left == 0).then_some(chosen)
    }

    /// Slots for parts without accelerators, on the fullest racks first; parts may share a worker. `room` is the number
    /// of slots that a worker offers.
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
            // Reserved capacity that short work may use is not free for a gang.
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

    /// The largest sum of `counts` over neighbouring racks of one domain, none of which has zero.
    fn longest_run(&self, counts: &[u32]) -> u32 {
        let (mut sum, mut best) = (0, 0);
        for (index, count) in counts.iter().enumerate() {
            let first_of_domain = index == 0 || self.racks[index].domain != self.racks[index - 1].domain;
            sum = if first_of_domain || *count == 0 {
                *count
            } else {
                sum + count
            };
            best = best.max(sum);
        }
        best
    }
}
