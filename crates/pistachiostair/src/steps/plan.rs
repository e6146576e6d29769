//! One planning pass: gives workers to the steps that wait, in the order of the queue.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::FreeCapacity;
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler, TaskRun};
use crate::steps::forecast::Forecast;
use crate::steps::host::RunKey;
use crate::steps::job_table::JobEntry;
use crate::steps::place::{near_sets, place};
use crate::steps::preemption::{Preemption, PreemptionLimits};
use crate::steps::queue::StepKey;
use crate::steps::record::{StartRecord, StepRecord};
use crate::steps::reservation::{NewReservation, Reservation, runs_of_claims};
use crate::steps::spec::{JobKey, Step, TaskKey};

/// Times as long that tasks take away from their data or spread over racks. The platform's default; only the order of
/// choices and the comparison of runs depend on it.
pub(crate) const REMOTE_SLOWDOWN: u64 = 3;

/// Most accelerators that are kept free for steps that wait, in percent of all.
const RESERVED_SHARE: u64 = 40;

/// Workers chosen for tasks of a step.
pub(crate) struct StepPlacement {
    pub(crate) group: StepKey,
    pub(crate) workers: Vec<(u32, WorkerName)>,
    pub(crate) reason: &'static str,
}

/// State of one planning pass.
struct PlanningPass<'a> {
    room: FreeCapacity<'a>,
    forecast: Forecast,
    covered: BTreeSet<JobKey>,
    /// Accelerators that may still be kept free.
    reservable: u64,
    chosen: Vec<StepPlacement>,
    claims: Vec<NewReservation>,
}

impl StepScheduler {
    /// Places what can be placed.
    pub(crate) fn plan(&mut self, cx: &Context<'_>) {
        if !cx.lease_held {
            return;
        }
        self.replan = false;
        if !self.workers_known || self.waiting.is_empty() {
            return;
        }
        let (chosen, claims) = self.decide(cx);
        for found in chosen {
            self.assign(cx, found);
        }
        self.apply_reservations(cx, claims);
    }

    fn decide(&self, cx: &Context<'_>) -> (Vec<StepPlacement>, Vec<NewReservation>) {
        let capacity = self.hosts.values().filter_map(|host| host.info.as_ref());
        let accelerators: u64 = capacity.map(|info| info.capacity.accelerators).sum();
        let mut pass = PlanningPass {
            room: FreeCapacity::of(self, cx),
            forecast: Forecast::of(self, cx),
            covered: self.guaranteed_jobs(cx),
            reservable: accelerators * RESERVED_SHARE / 100,
            chosen: Vec::new(),
            claims: Vec::new(),
        };
        self.honour_claims(&mut pass);
        let mut line = self.planning_queue(cx, &pass.covered);
        while let Some(group) = line.next() {
            let Some(entry) = cx.book.job(group.0) else { continue };
            let Some(step) = entry.spec.steps.get(group.2 as usize) else {
                continue;
            };
            if !self.reservations.contains_key(&group) {
                let placed = self.serve(cx, &mut pass, entry, (group, step));
                line.charge(&entry.spec.account, step.demand.accelerators * placed);
            }
        }
        (pass.chosen, pass.claims)
    }

    /// Places the steps whose claimed room is free by now, and keeps the room of the others.
    fn honour_claims(&self, pass: &mut PlanningPass<'_>) {
        let mut open = Vec::new();
        for (group, claim) in &self.reservations {
            if claim.take(&mut pass.room) {
                let workers = claim.workers.iter().map(|(index, worker)| (*index, worker.clone()));
                pass.chosen.push(StepPlacement {
                    group: *group,
                    workers: workers.collect(),
                    reason: "the room that was claimed for it is free",
                });
            } else {
                open.push(claim);
            }
        }
        for claim in open {
            claim.reserve(&mut pass.room);
        }
    }

    /// Finds workers for the tasks of a step, or keeps room for them; the number of tasks placed.
    fn serve<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        entry: &JobEntry,
        (group, step): (StepKey, &Step),
    ) -> u64 {
        let indices: Vec<u32> = self.waiting[&group].indices.iter().copied().collect();
        let spots = self.candidates(&pass.room, &self.terms(entry).service, group, step);
        let near = near_sets(step, &spots);
        let wishes = near.is_some();
        let sets = near.unwrap_or_else(|| vec![spots.clone()]);
        let wanted = (indices.len() as u32, self.terms(entry).priority == 0);
        let mut found = place(step, wanted, sets.clone());
        let mut reason = "best fit";
        let missing = indices.len() - found.len();
        let mut soonest = sets
            .iter()
            .filter_map(|spots| pass.forecast.earliest(spots, &step.demand, missing))
            .min();
        if missing > 0 && wishes {
            let worthwhile = Millis(step.estimate.0 * (REMOTE_SLOWDOWN - 1));
            if soonest.as_ref().is_none_or(|(at, _)| *at > worthwhile) {
                let far = place(step, wanted, vec![spots.clone()]);
                if far.len() > found.len() {
                    found = far;
                    reason = "its rack is not free soon enough";
                }
            }
            if soonest.is_none() {
                soonest = pass.forecast.earliest(&spots, &step.demand, missing);
            }
        }
        for worker in &found {
            pass.room.take(worker, &step.demand);
        }
        let placed = found.len();
        if placed > 0 {
            pass.chosen.push(StepPlacement {
                group,
                workers: indices.iter().copied().zip(found).collect(),
                reason,
            });
        }
        if placed == 0 {
            self.keep_room(cx, pass, entry, (group, step), &indices, soonest);
        }
        placed as u64
    }

    /// Keeps room for a step that does not fit: others give way if it would be late otherwise and little is lost, or
    /// the room that becomes free soonest stays free for it.
    fn keep_room<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        entry: &JobEntry,
        (group, step): (StepKey, &Step),
        indices: &[u32],
        soonest: Option<(Millis, Vec<WorkerName>)>,
    ) {
        let covered = pass.covered.contains(&group.0);
        let urgency = self.preemption_budget(cx, entry, (group.2, step), indices.len(), covered);
        let overdue = urgency.loss.is_none();
        if overdue || soonest.as_ref().is_none_or(|(at, _)| *at > urgency.slack) {
            let taken = runs_of_claims(&pass.claims);
            let mercy = PreemptionLimits {
                spared: &pass.covered,
                priority: urgency.loss.map(|_| self.terms(entry).priority),
                taken: &taken,
            };
            let clearance = self.find_preemption(cx, entry, (group, step), &pass.room, &mercy);
            let cheap = |clearance: &Preemption| urgency.loss.is_none_or(|loss| clearance.lost <= loss);
            if let Some(clearance) = clearance.filter(cheap) {
                let reason = format!(
                    "{} runs give way, {} core-ms are lost; slack {}, free in {:?} ms",
                    clearance.runs.len(),
                    clearance.lost,
                    urgency.slack,
                    soonest.map(|(at, _)| at.0)
                );
                let claim = Reservation {
                    workers: indices.iter().copied().zip(clearance.workers).collect(),
                    demand: step.demand,
                    since: cx.now,
                };
                claim.reserve(&mut pass.room);
                let runs = clearance.runs;
                pass.claims.push(NewReservation {
                    group,
                    claim,
                    runs,
                    reason,
                });
                return;
            }
        }
        let need = step.demand.accelerators * indices.len() as u64;
        let entitled = step.gang || self.terms(entry).priority == 0;
        if let Some((_, workers)) = soonest.filter(|_| entitled && need <= pass.reservable) {
            pass.reservable -= need;
            pass.room.reserve(&workers, &step.demand);
        }
    }

    /// Makes a choice the plan of record: the orders follow once it is durable.
    pub(crate) fn assign(&mut self, cx: &Context<'_>, chosen: StepPlacement) {
        let (job, occurrence, number) = chosen.group;
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
        let last = |index: u32| entry.task(&key(index)).map_or(0, |task| task.last_run);
        let shared = (0..step.count).map(last).max().unwrap_or(0) + 1;
        self.reservations.remove(&chosen.group);
        let waiting = self.waiting.get(&chosen.group).map(|waiting| waiting.indices.clone());
        let waiting = waiting.unwrap_or_default();
        let mut starts = Vec::new();
        for (index, worker) in chosen.workers.into_iter().filter(|(index, _)| waiting.contains(index)) {
            let run = if step.gang { shared } else { last(index) + 1 };
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
            let placed = TaskRun {
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
            self.runs.insert((key(index), run), placed);
        }
        self.forget_waiting(chosen.group, starts.iter().map(|start| start.task.index));
        let runs: Vec<RunKey> = starts.iter().map(|start| (start.task, start.run)).collect();
        for run in runs {
            self.log_run("placed", run, chosen.reason.to_owned());
        }
        if !starts.is_empty() {
            self.records.push(StepRecord::Started { starts });
        }
    }

    fn forget_waiting(&mut self, group: StepKey, placed: impl Iterator<Item = u32>) {
        let placed: BTreeSet<u32> = placed.collect();
        if let Some(waiting) = self.waiting.get_mut(&group) {
            waiting.indices.retain(|index| !placed.contains(index));
            if waiting.indices.is_empty() {
                self.waiting.remove(&group);
                self.reservations.remove(&group);
            }
        }
    }
}
