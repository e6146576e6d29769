//! Forecast of when capacity becomes free, from the progress that workers report of each run.

use crate::clock::Millis;
use crate::steps::capacity::{Eligible, FreeCapacity, Room};
use crate::steps::engine::{Context, RunPhase, StepScheduler, TaskRun, step_of};
use crate::steps::queue::StepKey;
use crate::steps::spec::{Demand, Step, TaskKey};

/// Least remaining time that is assumed for a run that is being stopped.
const MIN_STOP_REMAINING: Millis = Millis(50);

/// Least remaining time that is assumed for a run whose speed is not known.
const MIN_UNKNOWN_REMAINING: Millis = Millis(300);

/// Forecast ends of the runs on the workers that accept new tasks.
pub(crate) struct Forecast {
    /// Time from now until each end and the capacity that it frees, by the worker's position and earliest first.
    ends: Vec<(Millis, Demand)>,
    /// Start of the ends of each position, and the end of the last.
    bounds: Vec<u32>,
}

impl Forecast {
    /// Forecasts the ends of all runs. Members of a gang end together, when the slowest of them does.
    pub(crate) fn new(scheduler: &StepScheduler, cx: &Context<'_>, free: &FreeCapacity<'_>) -> Self {
        let mut found: Vec<(u32, Millis, Demand)> = Vec::with_capacity(scheduler.runs.len());
        // Runs of one step are next to each other.
        let mut current: Option<(StepKey, Option<&Step>)> = None;
        let mut members: Vec<Member> = Vec::new();
        for ((task, number), run) in &scheduler.runs {
            if run.phase == RunPhase::Ended {
                continue;
            }
            let key = task.step_key();
            let step = match current {
                Some((step_key, step)) if step_key == key => step,
                _ => {
                    take_ends(&mut members, &mut found);
                    let step = step_of(cx.book, task);
                    current = Some((key, step));
                    step
                }
            };
            let (position, end) = (free.position(run.host), remaining_of_step(cx, step, run));
            if step.is_some_and(|step| step.gang) {
                members.push(Member {
                    run: *number,
                    position,
                    end,
                    demand: run.demand,
                });
            } else if let Some(position) = position {
                found.push((position, end, run.demand));
            }
        }
        take_ends(&mut members, &mut found);
        Self::sorted(&found, free.len())
    }

    /// Sorts ends on `count` workers, each with its worker's position.
    fn sorted(found: &[(u32, Millis, Demand)], count: usize) -> Self {
        let mut bounds = vec![0; count + 1];
        for (position, ..) in found {
            bounds[*position as usize + 1] += 1;
        }
        for position in 0..count {
            bounds[position + 1] += bounds[position];
        }
        let mut next = bounds.clone();
        let mut ends = vec![(Millis::ZERO, Demand::default()); found.len()];
        for (position, end, demand) in found {
            let next = &mut next[*position as usize];
            ends[*next as usize] = (*end, *demand);
            *next += 1;
        }
        for bound in bounds.windows(2) {
            ends[bound[0] as usize..bound[1] as usize].sort_unstable_by_key(|(end, _)| *end);
        }
        Self { ends, bounds }
    }

    fn ends_on(&self, position: u32) -> &[(Millis, Demand)] {
        let position = position as usize;
        &self.ends[self.bounds[position] as usize..self.bounds[position + 1] as usize]
    }

    /// Time from now after which the last run on the worker at this position has ended.
    pub(crate) fn empty_at(&self, position: u32) -> Millis {
        self.ends_on(position).last().map_or(Millis::ZERO, |(at, _)| *at)
    }

    /// The shortest time from now after which `count` tasks fit on the workers, and the position of a worker for each of
    /// them. None if they don't fit by `latest`, or only after an end that is not known to come.
    pub(crate) fn earliest_start(
        &self,
        workers: &[Eligible],
        free: &FreeCapacity<'_>,
        (demand, count): (&Demand, u32),
        mut latest: Millis,
    ) -> Option<(Millis, Vec<u32>)> {
        let needed = count as usize;
        let mut slots: Vec<(Millis, u32)> = Vec::new();
        for worker in workers {
            let mut room = free.room(worker.position);
            let mut limit = worker.limit.min(count);
            let mut fill = |room: &mut Room, at: Millis| {
                let fitting = room.fitting(demand, limit);
                room.free = room.free.minus(&demand.times(fitting.into()));
                limit -= fitting;
                slots.extend((0..fitting).map(|_| (at, worker.position)));
                limit > 0
            };
            let mut open = fill(&mut room, Millis::ZERO);
            for (at, freed) in self.ends_on(worker.position) {
                if !open || *at > latest {
                    break;
                }
                room.release(freed);
                open = fill(&mut room, *at);
            }
            if needed > 0 && slots.len() >= 2 * needed {
                // Later slots are of no use.
                latest = slots.select_nth_unstable(needed - 1).1.0;
                slots.truncate(needed);
            }
        }
        slots.retain(|(at, _)| *at < Millis::MAX);
        let last = needed.checked_sub(1).filter(|last| *last < slots.len())?;
        slots.select_nth_unstable(last);
        slots.truncate(needed);
        slots.sort_unstable();
        Some((slots[last].0, slots.into_iter().map(|(_, position)| position).collect()))
    }
}

/// A member of a gang, with the forecast of its end if it ended by itself.
struct Member {
    run: u32,
    /// Position of its worker; none if that accepts no new tasks.
    position: Option<u32>,
    end: Millis,
    demand: Demand,
}

/// Moves the ends of the members of a gang to `found`: each ends when the last member of the same run does.
fn take_ends(members: &mut Vec<Member>, found: &mut Vec<(u32, Millis, Demand)>) {
    let mut last: Vec<(u32, Millis)> = Vec::new();
    for member in members.iter() {
        match last.iter_mut().find(|(run, _)| *run == member.run) {
            Some((_, end)) => *end = member.end.max(*end),
            None => last.push((member.run, member.end)),
        }
    }
    for member in members.drain(..) {
        if let Some(position) = member.position {
            let gang_end = last.iter().find(|(run, _)| *run == member.run);
            let end = gang_end.map_or(member.end, |(_, end)| *end);
            found.push((position, end, member.demand));
        }
    }
}

/// Forecast of the time from now until a run ends; `Millis::MAX` if it is not known to, as it is long-running or stalled.
pub(crate) fn remaining(cx: &Context<'_>, task: &TaskKey, run: &TaskRun) -> Millis {
    remaining_of_step(cx, step_of(cx.book, task), run)
}

fn remaining_of_step(cx: &Context<'_>, step: Option<&Step>, run: &TaskRun) -> Millis {
    if let Some(stop) = run.stop {
        let since = stop.sent_at.unwrap_or(cx.now);
        return (since + cx.limits.stopped_after())
            .since(cx.now)
            .max(MIN_STOP_REMAINING);
    }
    if step.is_some_and(|step| step.long_running) {
        return Millis::MAX;
    }
    let estimate = step.map_or(Millis::ZERO, |step| run.speed.duration(step.estimate));
    let known = run.progress.and_then(|progress| progress.forecast(cx.now, estimate));
    known.unwrap_or_else(|| estimate.since(cx.now.since(run.since)).max(MIN_UNKNOWN_REMAINING))
}
