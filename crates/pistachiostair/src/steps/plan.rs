//! The planning pass: assigns workers to the tasks of waiting steps, in queue order.
//!
//! Runs whenever something that placement depends on has changed. A step that does not fit may preempt running tasks
//! or have capacity reserved that is forecast to become free.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::FreeCapacity;
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler, TaskRun};
use crate::steps::forecast::Forecast;
use crate::steps::host::RunKey;
use crate::steps::job_table::JobEntry;
use crate::steps::place::{place_tasks, preferred_sets};
use crate::steps::preemption::{Preemption, PreemptionLimits};
use crate::steps::queue::StepKey;
use crate::steps::record::{StartRecord, StepRecord};
use crate::steps::reservation::{NewReservation, Reservation, preempted_runs};
use crate::steps::spec::{JobKey, Step, TaskKey};

/// Factor by which a task's duration grows when it runs outside the rack of its data, or when its gang is spread over
/// racks. This is the platform's default; only the order of choices and the comparison of runs depend on it.
pub(crate) const REMOTE_SLOWDOWN: u64 = 3;

/// Share of all accelerators that may at most be kept free for waiting steps, in percent.
const MAX_RESERVED_PERCENT: u64 = 40;

/// Workers chosen for tasks of one step.
pub(crate) struct StepPlacement {
    pub(crate) step: StepKey,
    /// Index of each placed task, and its worker.
    pub(crate) workers: Vec<(u32, WorkerName)>,
    /// Why these workers were chosen, for the log.
    pub(crate) reason: &'static str,
}

/// State of one planning pass.
struct PlanningPass<'a> {
    /// Capacity that is left after the placements and reservations made so far.
    free: FreeCapacity<'a>,
    forecast: Forecast,
    /// Jobs that the guarantees of their accounts cover.
    covered: BTreeSet<JobKey>,
    /// Number of accelerators that may still be kept free for waiting steps.
    reservable: u64,
    placements: Vec<StepPlacement>,
    reservations: Vec<NewReservation>,
}

impl StepScheduler {
    /// Runs one planning pass and records its placements and reservations. Does nothing while the scheduler's lease is
    /// not held or the list of workers was not read.
    pub(crate) fn plan(&mut self, cx: &Context<'_>) {
        if !cx.lease_held {
            return;
        }
        self.replan = false;
        if !self.workers_known || self.waiting.is_empty() {
            return;
        }
        self.passes += 1;
        let (placements, reservations) = self.decide(cx);
        for placement in placements {
            self.assign(cx, placement);
        }
        self.apply_reservations(cx, reservations);
    }

    /// Determines the placements and reservations of a pass without changing any state.
    fn decide(&self, cx: &Context<'_>) -> (Vec<StepPlacement>, Vec<NewReservation>) {
        let capacity = self.hosts.values().filter_map(|host| host.info.as_ref());
        let accelerators: u64 = capacity.map(|info| info.capacity.accelerators).sum();
        let mut pass = PlanningPass {
            free: FreeCapacity::new(self, cx),
            forecast: Forecast::new(self, cx),
            covered: self.guaranteed_jobs(cx),
            reservable: accelerators * MAX_RESERVED_PERCENT / 100,
            placements: Vec::new(),
            reservations: Vec::new(),
        };
        self.use_reservations(&mut pass);
        let mut queue = self.planning_queue(cx, &pass.covered);
        while let Some(key) = queue.next() {
            let Some(entry) = cx.book.job(key.0) else { continue };
            let Some(step) = entry.spec.steps.get(key.2 as usize) else {
                continue;
            };
            if !self.reservations.contains_key(&key) {
                let placed = self.place_step(cx, &mut pass, entry, (key, step));
                queue.charge(&entry.spec.account, step.demand.accelerators * placed);
            }
        }
        (pass.placements, pass.reservations)
    }

    /// Places the steps whose reserved capacity has become free, and withholds that of the others from the pass.
    fn use_reservations(&self, pass: &mut PlanningPass<'_>) {
        let mut open = Vec::new();
        for (key, reservation) in &self.reservations {
            if reservation.take(&mut pass.free) {
                let workers = reservation
                    .workers
                    .iter()
                    .map(|(index, worker)| (*index, worker.clone()));
                pass.placements.push(StepPlacement {
                    step: *key,
                    workers: workers.collect(),
                    reason: "the capacity reserved for it is free",
                });
            } else {
                open.push(reservation);
            }
        }
        for reservation in open {
            reservation.reserve(&mut pass.free);
        }
    }

    /// Places as many of a step's waiting tasks as it can; if that is none, preempts others or reserves capacity for
    /// the step. Returns the number of tasks placed.
    fn place_step<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        entry: &JobEntry,
        (key, step): (StepKey, &Step),
    ) -> u64 {
        let indices: Vec<u32> = self.waiting[&key].indices.iter().copied().collect();
        let candidates = self.candidates(&pass.free, &self.terms(entry).service, key, step);
        let preferred = preferred_sets(step, &candidates);
        let has_preference = preferred.is_some();
        let sets = preferred.unwrap_or_else(|| vec![candidates.clone()]);
        let wanted = (indices.len() as u32, self.terms(entry).priority == 0);
        let mut workers = place_tasks(step, wanted, sets.clone());
        let mut reason = "best fit";
        let missing = indices.len() - workers.len();
        let mut earliest = sets
            .iter()
            .filter_map(|candidates| pass.forecast.earliest_start(candidates, &step.demand, missing))
            .min();
        if missing > 0 && has_preference {
            let max_delay = Millis(step.estimate.0 * (REMOTE_SLOWDOWN - 1));
            if earliest.as_ref().is_none_or(|(at, _)| *at > max_delay) {
                let anywhere = place_tasks(step, wanted, vec![candidates.clone()]);
                if anywhere.len() > workers.len() {
                    workers = anywhere;
                    reason = "its preferred rack does not become free soon enough";
                }
            }
            if earliest.is_none() {
                earliest = pass.forecast.earliest_start(&candidates, &step.demand, missing);
            }
        }
        for worker in &workers {
            pass.free.take(worker, &step.demand);
        }
        let placed = workers.len();
        if placed > 0 {
            pass.placements.push(StepPlacement {
                step: key,
                workers: indices.iter().copied().zip(workers).collect(),
                reason,
            });
        }
        if placed == 0 {
            self.secure_capacity(cx, pass, entry, (key, step), &indices, earliest);
        }
        placed as u64
    }

    /// Secures capacity for a step of which no task fits. Preempts running tasks if the step would otherwise be late
    /// and the loss of work is within its budget. Otherwise, for a gang or a step of priority 0, keeps the capacity
    /// that is forecast to become free first from other steps for the rest of this pass, if `reservable` allows that.
    /// `earliest` is the time from now until enough capacity is free without preemption, and the workers; none if it
    /// never is.
    fn secure_capacity<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        entry: &JobEntry,
        (key, step): (StepKey, &Step),
        indices: &[u32],
        earliest: Option<(Millis, Vec<WorkerName>)>,
    ) {
        let covered = pass.covered.contains(&key.0);
        let budget = self.preemption_budget(cx, entry, (key.2, step), indices.len(), covered);
        let unlimited = budget.max_loss.is_none();
        if unlimited || earliest.as_ref().is_none_or(|(at, _)| *at > budget.slack) {
            let preempted = preempted_runs(&pass.reservations);
            let limits = PreemptionLimits {
                protected: &pass.covered,
                priority: budget.max_loss.map(|_| self.terms(entry).priority),
                preempted: &preempted,
            };
            let preemption = self.find_preemption(cx, entry, (key, step), &pass.free, &limits);
            let within_budget = |found: &Preemption| budget.max_loss.is_none_or(|max| found.lost <= max);
            if let Some(preemption) = preemption.filter(within_budget) {
                let reason = format!(
                    "preempts {} runs, losing {} core-ms; slack {}, free without preemption in {:?} ms",
                    preemption.runs.len(),
                    preemption.lost,
                    budget.slack,
                    earliest.map(|(at, _)| at.0)
                );
                let reservation = Reservation {
                    workers: indices.iter().copied().zip(preemption.workers).collect(),
                    demand: step.demand,
                    since: cx.now,
                };
                reservation.reserve(&mut pass.free);
                let runs = preemption.runs;
                pass.reservations.push(NewReservation {
                    step: key,
                    reservation,
                    runs,
                    reason,
                });
                return;
            }
        }
        let needed = step.demand.accelerators * indices.len() as u64;
        let may_reserve = step.gang || self.terms(entry).priority == 0;
        if let Some((_, workers)) = earliest.filter(|_| may_reserve && needed <= pass.reservable) {
            pass.reservable -= needed;
            pass.free.reserve(&workers, &step.demand);
        }
    }

    /// Adds the runs of a placement and pushes their start record; the orders to start are sent once it is durable.
    pub(crate) fn assign(&mut self, cx: &Context<'_>, placement: StepPlacement) {
        let (job, occurrence, number) = placement.step;
        let Some(entry) = cx.book.job(job) else { return };
        let Some(step) = entry.spec.steps.get(number as usize) else {
            return;
        };
        let key = |index: u32| TaskKey {
            job,
            occurrence,
            step: number,
            index,
        };
        let last_run = |index: u32| entry.task(&key(index)).map_or(0, |task| task.last_run);
        let gang_run = (0..step.count).map(last_run).max().unwrap_or(0) + 1;
        self.reservations.remove(&placement.step);
        let waiting = self.waiting.get(&placement.step).map(|waiting| waiting.indices.clone());
        let waiting = waiting.unwrap_or_default();
        let mut starts = Vec::new();
        for (index, worker) in placement
            .workers
            .into_iter()
            .filter(|(index, _)| waiting.contains(index))
        {
            let run = if step.gang { gang_run } else { last_run(index) + 1 };
            let Some(host) = self.hosts.get_mut(&worker) else {
                continue;
            };
            host.used = host.used.plus(&step.demand);
            host.runs.insert((key(index), run));
            let incarnation = host.incarnation;
            starts.push(StartRecord {
                task: key(index),
                run,
                worker: worker.clone(),
                incarnation,
            });
            let task_run = TaskRun {
                worker,
                incarnation,
                demand: step.demand,
                phase: RunPhase::Planned,
                since: cx.now,
                sends: 0,
                sent: cx.now,
                seen: None,
                checkpoint: String::new(),
                origin: match entry.task(&key(index)) {
                    Some(task) if !task.checkpoint.is_empty() => RunOrigin::Checkpoint,
                    _ => RunOrigin::Fresh,
                },
                progress: None,
                stop: None,
            };
            self.runs.insert((key(index), run), task_run);
        }
        self.remove_waiting(placement.step, starts.iter().map(|start| start.task.index));
        let runs: Vec<RunKey> = starts.iter().map(|start| (start.task, start.run)).collect();
        for run in runs {
            self.log_run("placed", run, placement.reason.to_owned());
        }
        if !starts.is_empty() {
            self.records.push(StepRecord::Started { starts });
        }
    }

    fn remove_waiting(&mut self, step: StepKey, placed: impl Iterator<Item = u32>) {
        let placed: BTreeSet<u32> = placed.collect();
        if let Some(waiting) = self.waiting.get_mut(&step) {
            waiting.indices.retain(|index| !placed.contains(index));
            if waiting.indices.is_empty() {
                self.waiting.remove(&step);
                self.reservations.remove(&step);
            }
        }
    }
}
