//! One planning pass: gives workers to the steps that wait, in the order of the queue.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::board::{Cx, Run, RunPhase, Steps};
use crate::steps::book::JobEntry;
use crate::steps::host::RunKey;
use crate::steps::place::{Reach, place};
use crate::steps::queue::GroupKey;
use crate::steps::record::{StartRecord, StepRecord};
use crate::steps::room::Room;
use crate::steps::spec::{Step, TaskKey};

/// Span for which a step waits for its rack, as a share of its estimated duration in percent. Running elsewhere takes
/// several times as long.
const RACK_PATIENCE: u64 = 100;

/// Workers chosen for tasks of a step.
pub(crate) struct Chosen {
    pub(crate) group: GroupKey,
    pub(crate) workers: Vec<(u32, WorkerName)>,
    pub(crate) reason: &'static str,
}

impl Steps {
    /// Places what can be placed.
    pub(crate) fn plan(&mut self, cx: &Cx<'_>) {
        if !cx.held {
            return;
        }
        self.replan = false;
        if !self.listed {
            return;
        }
        let mut line = self.line(cx);
        let mut chosen = Vec::new();
        let mut starved = Vec::new();
        {
            let mut room = Room::of(self, cx);
            chosen.extend(self.honour_claims(&mut room));
            while let Some((group, covered)) = line.next() {
                let Some(entry) = cx.book.job(group.0) else { continue };
                let Some(step) = entry.spec.steps.get(group.2 as usize) else {
                    continue;
                };
                if self.claims.contains_key(&group) {
                    continue;
                }
                let found = self.choose(cx, entry, step, group, &mut room);
                let missing = self.waiting[&group].indices.len() > found.workers.len();
                if missing && covered {
                    starved.push(group);
                }
                line.charge(
                    &entry.spec.account,
                    step.demand.accelerators * found.workers.len() as u64,
                );
                if !found.workers.is_empty() {
                    chosen.push(found);
                }
            }
        }
        for found in chosen {
            self.assign(cx, found);
        }
        for group in starved {
            self.claim_room(cx, group);
        }
    }

    /// Places the steps whose claimed room is free by now, and keeps the room of the others.
    fn honour_claims(&self, room: &mut Room<'_>) -> Vec<Chosen> {
        let mut chosen = Vec::new();
        for (group, claim) in &self.claims {
            if claim.is_vacant(room) {
                let workers = claim.workers.iter().map(|(index, worker)| (*index, worker.clone()));
                chosen.push(Chosen {
                    group: *group,
                    workers: workers.collect(),
                    reason: "the room kept for its guarantee is free",
                });
            }
            claim.reserve(room);
        }
        chosen
    }

    fn choose(&self, cx: &Cx<'_>, entry: &JobEntry, step: &Step, group: GroupKey, room: &mut Room<'_>) -> Chosen {
        let waiting = &self.waiting[&group];
        let patience = Millis(step.estimate.0 * RACK_PATIENCE / 100);
        let (reach, reason) = match cx.now.since(waiting.since) >= patience {
            true => (Reach::Anywhere, "best fit on any rack"),
            false => (Reach::Near, "best fit"),
        };
        let service = &self.terms(entry).service;
        let spots = self.spots(room, service, group, step);
        let found = place(step, waiting.indices.len() as u32, &spots, reach);
        for worker in &found {
            room.take(worker, &step.demand);
        }
        let workers = waiting.indices.iter().copied().zip(found).collect();
        Chosen { group, workers, reason }
    }

    /// Makes a choice the plan of record: the orders follow once it is durable.
    pub(crate) fn assign(&mut self, cx: &Cx<'_>, chosen: Chosen) {
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
        let last = |index: u32| entry.task(&key(index)).map_or(0, |task| task.run);
        let shared = (0..step.count).map(last).max().unwrap_or(0) + 1;
        let mut starts = Vec::new();
        for (index, worker) in chosen.workers {
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
            let placed = Run {
                worker,
                incarnation,
                demand: step.demand,
                phase: RunPhase::Planned,
                since: cx.now,
                sends: 0,
                sent: cx.now,
                seen: None,
                saved: String::new(),
                percent: 0,
                halt: None,
            };
            self.runs.insert((key(index), run), placed);
        }
        self.forget_waiting(chosen.group, starts.iter().map(|start| start.task.index));
        let runs: Vec<RunKey> = starts.iter().map(|start| (start.task, start.run)).collect();
        for run in runs {
            self.log_run("placed", run, chosen.reason.to_owned());
        }
        self.records.push(StepRecord::Started { starts });
    }

    fn forget_waiting(&mut self, group: GroupKey, placed: impl Iterator<Item = u32>) {
        let placed: BTreeSet<u32> = placed.collect();
        if let Some(waiting) = self.waiting.get_mut(&group) {
            waiting.indices.retain(|index| !placed.contains(index));
            if waiting.indices.is_empty() {
                self.waiting.remove(&group);
                self.claims.remove(&group);
            }
        }
    }
}
