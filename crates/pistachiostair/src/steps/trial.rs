//! Placement of suspects: tasks that may have crashed the workers that started them, each started apart from other work.
//!
//! A trial takes a whole worker, which may crash. The number of workers used for trials at the same time is small at
//! first, grows with each trial that is passed, and falls back with each worker that crashes.

use std::collections::BTreeSet;

use crate::steps::capacity::Eligible;
use crate::steps::engine::{Context, StepScheduler};
use crate::steps::forecast::Forecast;
use crate::steps::job_table::JobEntry;
use crate::steps::place::{place_tasks, preferred_sets};
use crate::steps::plan::{PlanningPass, StepPlacement};
use crate::steps::queue::StepKey;
use crate::steps::spec::{JobKey, Step};

/// Part of the usable workers that trials may always take, as a divisor, and the largest such part.
const MIN_TRIAL_PART: usize = 8;
const MAX_TRIAL_PART: usize = 2;

/// A suspect that waits: a task, or all members of a gang.
struct Suspect<'a> {
    /// Workers that crashed during earlier trials of any task of its job, and of the suspect itself, most first.
    job_crashes: u32,
    crashes: std::cmp::Reverse<u32>,
    priority: u32,
    key: StepKey,
    indices: Vec<u32>,
    entry: &'a JobEntry,
    step: &'a Step,
}

impl StepScheduler {
    /// Places suspects on workers that run nothing else, and keeps the workers that are forecast to be empty first free
    /// for those that find none.
    pub(crate) fn place_suspects<'a>(&'a self, cx: &Context<'_>, pass: &mut PlanningPass<'a>) {
        let suspects = self.waiting_suspects(cx);
        if suspects.is_empty() {
            return;
        }
        let runs = self.trials.iter().filter_map(|key| self.runs.get(key));
        let hosts: BTreeSet<u32> = runs.map(|run| run.host).collect();
        let (least, most) = (
            pass.free.len() / MIN_TRIAL_PART,
            (pass.free.len() / MAX_TRIAL_PART).max(1),
        );
        let mut slots = self.trial_workers.max(least).min(most).saturating_sub(hosts.len());
        let mut idle_region = hosts.is_empty();
        let mut jobs: BTreeSet<JobKey> = self.trials.iter().map(|(task, _)| task.job).collect();
        for suspect in suspects {
            // A job whose tasks crashed a worker on trial fails with the first of them that is given up.
            let job = suspect.key.0;
            if slots == 0 || suspect.job_crashes > 0 && jobs.contains(&job) {
                continue;
            }
            let (workers, placed) = self.find_trial(cx, pass, &suspect);
            let distinct: BTreeSet<u32> = workers.iter().copied().collect();
            // A gang may need more workers than are allowed; then it is tried while nothing else is, and nothing overtakes
            // it until then.
            if distinct.is_empty() {
                continue;
            }
            if distinct.len() > slots && !idle_region {
                break;
            }
            for position in &distinct {
                pass.free.withdraw(*position);
            }
            slots = slots.saturating_sub(distinct.len());
            idle_region = false;
            if placed {
                jobs.insert(job);
                let workers = workers.iter().map(|position| pass.free.worker(*position).clone());
                pass.placements.push(StepPlacement {
                    step: suspect.key,
                    workers: suspect.indices.iter().copied().zip(workers).collect(),
                    reason: "on trial, apart from other work: workers crashed under it",
                });
            }
        }
    }

    /// Suspects that wait, in the order in which they are tried: jobs without a crash during a trial first; of one with
    /// crashes, the task with most of them, so that it is given up before others take more workers down.
    fn waiting_suspects<'a>(&self, cx: &Context<'a>) -> Vec<Suspect<'a>> {
        let mut suspects = Vec::new();
        for (key, waiting) in self.waiting.iter().filter(|(_, waiting)| !waiting.suspects.is_empty()) {
            let Some(entry) = cx.book.job(key.0) else { continue };
            let Some(step) = entry.spec.steps.get(key.2 as usize) else {
                continue;
            };
            let tasks = entry.step(key.1, key.2).map(|step| &step.tasks);
            let crashes = |index: &u32| Some(tasks?.get(index)?.trial_crashes);
            let all = entry.steps.values().flat_map(|step| step.tasks.values());
            let job_crashes = all.map(|task| task.trial_crashes).max().unwrap_or(0);
            let groups: Vec<Vec<u32>> = match step.gang {
                true => vec![waiting.suspects.iter().copied().collect()],
                false => waiting.suspects.iter().map(|index| vec![*index]).collect(),
            };
            suspects.extend(groups.into_iter().map(|indices| Suspect {
                job_crashes,
                crashes: std::cmp::Reverse(indices.iter().filter_map(crashes).max().unwrap_or(0)),
                priority: self.terms(entry).priority,
                key: *key,
                indices,
                entry,
                step,
            }));
        }
        suspects.sort_by_key(|suspect| {
            let Suspect {
                job_crashes,
                crashes,
                priority,
                key,
                ..
            } = suspect;
            (*job_crashes, *crashes, *priority, suspect.entry.accepted, *key)
        });
        suspects
    }

    /// Positions of workers for a suspect, and whether they are empty, so that it may start there at once. Otherwise they
    /// are those that are forecast to be empty first. No position if it fits on no worker.
    fn find_trial(&self, cx: &Context<'_>, pass: &mut PlanningPass<'_>, suspect: &Suspect<'_>) -> (Vec<u32>, bool) {
        let (step, count) = (suspect.step, suspect.indices.len() as u32);
        let terms = self.terms(suspect.entry);
        let eligible = self.eligible(&pass.free, &terms.service, suspect.key, step);
        let empty: Vec<Eligible> = eligible
            .iter()
            .copied()
            .filter(|w| pass.free.is_empty(w.position))
            .collect();
        let steady = empty
            .iter()
            .copied()
            .filter(|w| pass.free.is_steady(w.position))
            .collect();
        for set in [steady, empty] {
            let preferred = preferred_sets(step, &set, &pass.free, &self.racks).unwrap_or_default();
            for sets in [preferred, vec![set]] {
                let workers = place_tasks(step, (count, terms.priority == 0), &sets, &pass.free);
                if workers.len() == count as usize {
                    return (workers, true);
                }
            }
        }
        let free = &pass.free;
        let forecast = pass.forecast.get_or_insert_with(|| Forecast::new(self, cx, free));
        let mut order: Vec<_> = eligible
            .into_iter()
            .filter(|worker| !free.is_withdrawn(worker.position))
            .map(|worker| (forecast.empty_at(worker.position), worker))
            .collect();
        order.sort_by_key(|(at, worker)| (*at, worker.position));
        let mut missing = count;
        let mut workers = Vec::new();
        for (_, worker) in order {
            if missing == 0 {
                break;
            }
            let fitting = free
                .capacity(worker.position)
                .fitting(&step.demand, worker.limit.min(missing));
            missing -= fitting;
            workers.extend((fitting > 0).then_some(worker.position));
        }
        (if missing == 0 { workers } else { Vec::new() }, false)
    }
}
