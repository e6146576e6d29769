//! The planning pass: assigns workers to the tasks of waiting steps, in queue order.
//!
//! Runs whenever something that placement depends on has changed. A step that does not fit may preempt running tasks
//! or have capacity reserved that is forecast to become free.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::capacity::{Eligible, FreeCapacity, Loan};
use crate::steps::engine::{Context, RunOrigin, RunPhase, StepScheduler, TaskRun};
use crate::steps::forecast::Forecast;
use crate::steps::host::RunKey;
use crate::steps::job_table::JobEntry;
use crate::steps::patience::Patience;
use crate::steps::place::{SpeedPreference, fast_parts, place_tasks, preferred_sets};
use crate::steps::preemption::{Preemption, PreemptionLimits, Search, Victims};
use crate::steps::queue::StepKey;
use crate::steps::record::{StartRecord, StepRecord};
use crate::steps::reservation::{NewReservation, Reservation, preempted_runs};
use crate::steps::spec::{JobKey, ServiceName, Step, TaskKey};
use crate::steps::speed::SpeedClass;
use crate::steps::trial::{TrialKind, TrialPass};

/// Factor by which a task's duration grows when it runs outside the rack of its data, or when its gang is spread over
/// racks. This is the platform's default; only the order of choices and the comparison of runs depend on it.
pub(crate) const REMOTE_SLOWDOWN: u64 = 3;

/// Duration that a step is expected to take at most, in percent of its estimate on its workers: a gang ends with its
/// longest task, and durations differ by 15 to 30%.
const MARGIN_PERCENT: u64 = 115;

/// Duration of a step for which capacity kept for another must be lent to it, in percent of its estimate, which may be off by
/// half.
const LOAN_PERCENT: u64 = 150;

/// Share of all accelerators that may at most be kept free for waiting steps, in percent.
const MAX_RESERVED_PERCENT: u64 = 40;

/// Workers chosen for tasks of one step.
pub(crate) struct StepPlacement {
    pub(crate) step: StepKey,
    /// Index of each placed task, and its worker.
    pub(crate) workers: Vec<(u32, WorkerName)>,
    /// How the tasks are on trial; none if they are not.
    pub(crate) trial: Option<TrialKind>,
    /// Why these workers were chosen, for the log.
    pub(crate) reason: &'static str,
}

/// State of one planning pass.
pub(crate) struct PlanningPass<'a> {
    /// Capacity that is left after the placements and reservations made so far.
    pub(crate) free: FreeCapacity<'a>,
    /// Forecast of ends, once a step needed it.
    pub(crate) forecast: Option<Forecast>,
    /// Runs that may be preempted, by the priority that protects runs, once a step needed them; emptied with each new
    /// reservation.
    victims: BTreeMap<Option<u32>, Victims>,
    /// Workers of steps with the same requirements.
    sets: BTreeMap<Requirements, Rc<WorkerSets>>,
    /// Forecast starts of tasks at a version of `free`, by requirements, demand and number of tasks.
    starts: BTreeMap<TaskGroup, (u64, Option<ForecastStart>)>,
    /// Jobs that the guarantees of their accounts cover.
    covered: BTreeSet<JobKey>,
    /// Number of accelerators that may still be kept free for waiting steps.
    reservable: u64,
    pub(crate) placements: Vec<StepPlacement>,
    reservations: Vec<NewReservation>,
    pub(crate) trials: TrialPass,
    /// Steps left waiting that workers of evacuated domains might run, with the number of these workers.
    withheld: BTreeMap<StepKey, usize>,
}

/// A step that does not fit whole, and the workers that may run it.
struct Blocked<'a> {
    key: StepKey,
    step: &'a Step,
    entry: &'a JobEntry,
    /// Number of its tasks that wait.
    count: u32,
    /// Whether it only waits for faster workers than those that are free.
    waits_for_speed: bool,
    requirements: Requirements,
    sets: Rc<WorkerSets>,
}

/// What a step requires of the workers, and which it prefers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Requirements {
    service: ServiceName,
    label: Option<String>,
    affinity: Option<String>,
    same_rack: bool,
    /// The least speed at which it ends in time; none if any worker of the fleet will do, or none will.
    speed: Option<SpeedClass>,
    /// The step itself, if it limits the number of its tasks on a worker.
    spread: Option<StepKey>,
}

/// A number of tasks with the same requirements and demand; the demand is in millicores, memory and accelerators. Their
/// estimate counts only if they require a speed, and is zero otherwise.
type TaskGroup = (Requirements, [u64; 3], Millis, u32);

/// The workers that may run a step.
struct WorkerSets {
    /// The parts of the preferred sets, or of all workers, that are fast enough; none if no speed is required.
    fast: Option<Vec<Vec<Eligible>>>,
    /// The sets of workers that it prefers; none if it has no preference.
    preferred: Option<Vec<Vec<Eligible>>>,
    eligible: Vec<Eligible>,
    /// Number of further workers that might run it and are in evacuated domains.
    withheld: usize,
}

/// When tasks can start without preemption.
#[derive(Clone, Debug)]
struct ForecastStart {
    /// Time from now.
    at: Millis,
    /// Position of a worker for each task.
    workers: Vec<u32>,
    /// Whether they are in one of the sets that the step prefers.
    preferred: bool,
    /// Whether they are fast enough for the step; false if it requires no speed.
    fast: bool,
}

impl Blocked<'_> {
    /// Time from now until tasks end that start after `wait` on these workers, which have the speed of the slowest.
    fn end(&self, free: &FreeCapacity<'_>, wait: Millis, workers: &[u32]) -> Millis {
        wait + free.lowest_speed(workers).duration(self.step.estimate)
    }

    /// The shortest time from now after which `count` tasks fit, and a worker for each: within one of the preferred sets
    /// or, if they never fit there, anywhere. Workers that are fast enough are chosen if the tasks then end sooner than on
    /// those that become free first.
    fn earliest_start(
        &self,
        scheduler: &StepScheduler,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'_>,
        count: u32,
    ) -> Option<ForecastStart> {
        let demand = &self.step.demand;
        let demand = [demand.millicores, demand.memory, demand.accelerators];
        let estimate = match self.requirements.speed {
            Some(_) => self.step.estimate,
            None => Millis::ZERO,
        };
        let tasks = (self.requirements.clone(), demand, estimate, count);
        if let Some((version, start)) = pass.starts.get(&tasks)
            && *version == pass.free.version
        {
            return start.clone();
        }
        let free = &pass.free;
        let forecast = pass.forecast.get_or_insert_with(|| Forecast::new(scheduler, cx, free));
        let within =
            |set: &[Eligible], latest: Millis| forecast.earliest_start(set, free, (&self.step.demand, count), latest);
        let first = |sets: &Option<Vec<Vec<Eligible>>>| {
            let mut best: Option<(Millis, Vec<u32>)> = None;
            for set in sets.iter().flatten() {
                let latest = best.as_ref().map_or(Millis::MAX, |(at, _)| *at);
                best = best.into_iter().chain(within(set, latest)).min();
            }
            best
        };
        let best = first(&self.sets.preferred);
        let preferred = best.is_some();
        let best = best.or_else(|| within(&self.sets.eligible, Millis::MAX));
        let fast = first(&self.sets.fast).filter(|(at, workers)| {
            let sooner =
                |(other, others): &(Millis, Vec<u32>)| self.end(free, *at, workers) <= self.end(free, *other, others);
            best.as_ref().is_none_or(sooner)
        });
        let start = match fast {
            Some((at, workers)) => Some(ForecastStart {
                at,
                workers,
                preferred: self.sets.preferred.as_ref().is_some_and(|sets| !sets.is_empty()),
                fast: true,
            }),
            None => best.map(|(at, workers)| ForecastStart {
                at,
                workers,
                preferred,
                fast: false,
            }),
        };
        pass.starts.insert(tasks, (pass.free.version, start.clone()));
        start
    }
}

impl StepScheduler {
    /// Runs one planning pass and records its placements and reservations. Does nothing while the scheduler's lease is
    /// not held or the list of workers was not read.
    pub(crate) fn plan(&mut self, cx: &Context<'_>) {
        if !cx.holds_lease() {
            return;
        }
        self.replan = false;
        let ban = self.gate.ban(cx.limits.evacuations, cx.now);
        self.note_suspension(ban);
        if !self.workers_known || self.waiting.is_empty() || ban.is_some() {
            self.held.clear();
            self.withheld.clear();
            return;
        }
        self.passes += 1;
        let (placements, reservations, trials, withheld) = self.decide(cx);
        for placement in placements {
            self.assign(cx, placement);
        }
        self.apply_reservations(cx, reservations);
        self.note_held(cx, trials);
        self.note_withheld(&withheld);
    }

    /// Determines the placements and reservations of a pass without changing any state, and which steps it leaves waiting
    /// although workers of evacuated domains might run them, with the number of these workers.
    fn decide(
        &self,
        cx: &Context<'_>,
    ) -> (
        Vec<StepPlacement>,
        Vec<NewReservation>,
        TrialPass,
        BTreeMap<StepKey, usize>,
    ) {
        let free = FreeCapacity::new(self, cx);
        let mut pass = PlanningPass {
            reservable: free.accelerators.saturating_mul(MAX_RESERVED_PERCENT) / 100,
            trials: self.trial_pass(cx, &free),
            free,
            forecast: None,
            victims: BTreeMap::new(),
            sets: BTreeMap::new(),
            starts: BTreeMap::new(),
            covered: self.guaranteed_jobs(cx),
            placements: Vec::new(),
            reservations: Vec::new(),
            withheld: BTreeMap::new(),
        };
        self.use_reservations(&mut pass);
        let mut queue = self.planning_queue(cx, &pass.covered);
        while let Some(key) = queue.next() {
            let Some(entry) = cx.book.job(key.0) else { continue };
            let Some(step) = entry.spec.steps.get(key.2 as usize) else {
                continue;
            };
            self.place_suspects(cx, &mut pass, (key, entry, step));
            let indices = self.ordinary_tasks(&pass, key);
            if !self.reservations.contains_key(&key) && !indices.is_empty() {
                let placed = self.place_step(cx, &mut pass, entry, (key, step, &indices));
                queue.charge(&entry.spec.account, step.demand.accelerators * placed);
            }
        }
        (pass.placements, pass.reservations, pass.trials, pass.withheld)
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
                    trial: None,
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
        (key, step, indices): (StepKey, &Step, &BTreeSet<u32>),
    ) -> u64 {
        let count = indices.len() as u32;
        let (speed, preference) = self.speed_preference(cx, &pass.free, entry, (key, step));
        let requirements = Requirements {
            service: self.terms(entry).service.clone(),
            label: step.requires.clone(),
            affinity: step.affinity.clone(),
            same_rack: step.gang && step.same_rack,
            speed,
            spread: step.spread.map(|_| key),
        };
        let sets = match pass.sets.get(&requirements) {
            Some(sets) => sets.clone(),
            None => {
                let eligible = self.eligible((&pass.free, &pass.placements), &requirements.service, key, step);
                let preferred = preferred_sets(step, &eligible, &pass.free, &self.racks);
                let withheld = pass.free.withheld(&requirements.service, step);
                let all = std::slice::from_ref(&eligible);
                let sets = preferred.as_deref().filter(|sets| !sets.is_empty()).unwrap_or(all);
                let fast = speed.map(|speed| fast_parts(sets, speed, &pass.free));
                let sets = Rc::new(WorkerSets {
                    fast,
                    preferred,
                    eligible,
                    withheld,
                });
                pass.sets.insert(requirements.clone(), sets.clone());
                sets
            }
        };
        let mut blocked = Blocked {
            key,
            step,
            entry,
            count,
            waits_for_speed: false,
            requirements,
            sets,
        };
        let everywhere = std::slice::from_ref(&blocked.sets.eligible);
        let wanted = (count, preference);
        let sets = blocked.sets.preferred.as_deref().unwrap_or(everywhere);
        let fast = blocked.sets.fast.as_deref();
        let mut workers = place_tasks(step, wanted, fast.unwrap_or(sets), &pass.free);
        let mut reason = match fast {
            Some(_) => "best fit among workers that are fast enough for its objective",
            None => "best fit",
        };
        let mut missing = count - workers.len() as u32;
        let patience = self.patience(cx, &pass.free, entry, (key, step));
        if missing > 0 && fast.is_some() {
            let any_speed = place_tasks(step, wanted, sets, &pass.free);
            if any_speed.len() > workers.len() {
                let now = blocked.end(&pass.free, Millis::ZERO, &any_speed);
                let later = blocked.earliest_start(self, cx, pass, missing);
                let later = later.filter(|start| start.fast && patience.allows(start.at));
                blocked.waits_for_speed =
                    later.is_some_and(|start| blocked.end(&pass.free, start.at, &start.workers) < now);
                if !blocked.waits_for_speed {
                    workers = any_speed;
                    missing = count - workers.len() as u32;
                    reason = "workers that are fast enough for its objective don't become free soon enough";
                }
            }
        }
        if missing > 0 && !blocked.waits_for_speed && blocked.sets.preferred.is_some() {
            let anywhere = place_tasks(step, wanted, everywhere, &pass.free);
            let max_delay = Millis(step.estimate.0.saturating_mul(REMOTE_SLOWDOWN - 1));
            let in_time = |pass: &mut PlanningPass<'a>| {
                let earliest = blocked.earliest_start(self, cx, pass, missing);
                earliest.is_some_and(|start| start.preferred && start.at <= max_delay && patience.allows(start.at))
            };
            if anywhere.len() > workers.len() && !in_time(pass) {
                workers = anywhere;
                reason = "its preferred rack does not become free soon enough";
            }
        }
        if workers.is_empty() && !blocked.waits_for_speed && pass.free.keeps_any() {
            let loan = loan(step, patience);
            pass.free.lend(loan);
            workers = place_tasks(step, wanted, sets, &pass.free);
            if workers.is_empty() && loan == Loan::Any {
                workers = place_tasks(step, wanted, everywhere, &pass.free);
            }
            pass.free.lend(Loan::None);
            reason = "capacity that is kept for a step which starts later";
        }
        if workers.is_empty() && !blocked.waits_for_speed && patience.is_over() {
            let service = &blocked.requirements.service;
            let all = self.with_ejected((&pass.free, &pass.placements), service, key, step);
            workers = place_tasks(step, wanted, std::slice::from_ref(&all), &pass.free);
            reason = "no other workers than ejected ones have room, and it must not wait";
        }
        for worker in &workers {
            pass.free.take(*worker, &step.demand);
        }
        let placed = workers.len();
        if placed > 0 {
            let workers = workers.iter().map(|position| pass.free.worker(*position).clone());
            pass.placements.push(StepPlacement {
                step: key,
                workers: indices.iter().copied().zip(workers).collect(),
                trial: None,
                reason,
            });
        } else {
            if blocked.sets.withheld > 0 {
                pass.withheld.insert(key, blocked.sets.withheld);
            }
            self.secure_capacity(cx, pass, &blocked, indices);
        }
        placed as u64
    }

    /// The least speed at which a step is expected to end within its objective, and which of the fitting workers it
    /// prefers. The speed is none if the slowest worker will do, or if even the fastest won't.
    fn speed_preference(
        &self,
        cx: &Context<'_>,
        free: &FreeCapacity<'_>,
        entry: &JobEntry,
        (key, step): (StepKey, &Step),
    ) -> (Option<SpeedClass>, SpeedPreference) {
        let (lowest, highest) = free.speeds();
        let urgent = self.terms(entry).priority == 0;
        let mut least = None;
        if !free.is_uniform() && !step.long_running {
            let allowed = self.allowed_duration(cx, entry, key, step);
            let expected = Millis(step.estimate.0.saturating_mul(MARGIN_PERCENT) / 100);
            let speeds = (lowest.index()..=highest.index()).map(SpeedClass::from_index);
            least = speeds
                .into_iter()
                .find(|speed| speed.duration(expected) <= allowed)
                .filter(|speed| *speed > lowest);
        }
        let preference = match urgent {
            true => SpeedPreference::Fastest,
            false => SpeedPreference::SlowestFrom(least.unwrap_or(lowest)),
        };
        (least, preference)
    }

    /// Secures capacity for a step of which no task fits. Preempts running tasks if the step would otherwise be late, can
    /// start sooner that way, and the loss of work is within its budget. Otherwise, for a gang or a step of priority 0,
    /// keeps the capacity that is forecast to become free first from other steps for the rest of this pass, if
    /// `reservable` allows that; see [`loan`] for those that may use it all the same.
    fn secure_capacity<'a>(
        &'a self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'a>,
        blocked: &Blocked<'_>,
        indices: &BTreeSet<u32>,
    ) {
        let Blocked {
            key,
            step,
            entry,
            count,
            ..
        } = *blocked;
        let covered = pass.covered.contains(&key.0);
        let budget = self.preemption_budget(cx, entry, (key, step), indices.len(), covered);
        let needed = step.demand.accelerators.saturating_mul(indices.len() as u64);
        let may_reserve = (step.gang || self.terms(entry).priority == 0) && needed <= pass.reservable;
        let unlimited = budget.max_loss.is_none();
        let earliest = blocked.earliest_start(self, cx, pass, count);
        // Preemption takes as long as a stop, so that it gains nothing over capacity that becomes free before.
        let stopped_after = cx.limits.stopped_after();
        let too_late = match &earliest {
            None => true,
            Some(start) if unlimited => start.at > stopped_after.min(budget.slack) || !may_reserve,
            Some(start) => start.at > budget.slack.max(stopped_after),
        };
        let max_loss = budget.allowed_loss(earliest.as_ref().map(|start| start.at), stopped_after);
        if too_late && let Some(preemption) = self.find_preemption(cx, pass, blocked, max_loss) {
            let reason = format!(
                "preempts {} runs, losing {} core-ms; slack {}, free without preemption in {:?} ms",
                preemption.runs.len(),
                preemption.lost,
                budget.slack,
                earliest.map(|start| start.at.0)
            );
            let workers = preemption
                .workers
                .iter()
                .map(|position| pass.free.worker(*position).clone());
            let reservation = Reservation {
                workers: indices.iter().copied().zip(workers).collect(),
                demand: step.demand,
                since: cx.now,
            };
            reservation.reserve(&mut pass.free);
            pass.victims.clear();
            pass.reservations.push(NewReservation {
                step: key,
                reservation,
                runs: preemption.runs,
                reason,
            });
            return;
        }
        if let Some(start) = earliest.filter(|_| may_reserve) {
            pass.reservable -= needed;
            for worker in start.workers {
                pass.free.keep(worker, &step.demand, start.at);
            }
        }
    }

    /// Finds the preemption with the least lost work that lets all waiting tasks of a step start: within one of its
    /// preferred sets of workers (near its data, or in one rack) if possible, otherwise anywhere. None if even
    /// preemption makes too little capacity free, or if more than `max_loss` would be lost.
    fn find_preemption(
        &self,
        cx: &Context<'_>,
        pass: &mut PlanningPass<'_>,
        blocked: &Blocked<'_>,
        max_loss: Option<u64>,
    ) -> Option<Preemption> {
        let priority = max_loss.map(|_| self.terms(blocked.entry).priority);
        if !pass.victims.contains_key(&priority) {
            let limits = PreemptionLimits {
                protected: &pass.covered,
                priority,
                preempted: &preempted_runs(&pass.reservations),
            };
            let victims = Victims::new(self, cx, &pass.free, &limits);
            pass.victims.insert(priority, victims);
        }
        let victims = &pass.victims[&priority];
        let tasks = (&blocked.step.demand, blocked.count);
        if let Some(fast) = &blocked.sets.fast {
            let found = fast.iter().map(|set| victims.find(set, &pass.free, tasks, max_loss));
            let found = found.filter_map(|search| match search {
                Search::Found(found) => Some(found),
                Search::Impossible | Search::TooCostly => None,
            });
            let best = found.min_by_key(|found| found.lost);
            if best.is_some() || blocked.waits_for_speed {
                return best;
            }
        }
        let mut best: Option<Preemption> = None;
        let mut possible = false;
        for set in blocked.sets.preferred.iter().flatten() {
            match victims.find(set, &pass.free, tasks, max_loss) {
                Search::Impossible => {}
                Search::TooCostly => possible = true,
                Search::Found(found) => {
                    possible = true;
                    if best.as_ref().is_none_or(|best| found.cost < best.cost) {
                        best = Some(found);
                    }
                }
            }
        }
        if possible {
            return best;
        }
        match victims.find(&blocked.sets.eligible, &pass.free, tasks, max_loss) {
            Search::Found(found) => Some(found),
            Search::Impossible | Search::TooCostly => None,
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
        let waiting = self.waiting.get(&placement.step);
        let waiting = waiting.map_or_else(BTreeSet::new, |waiting| &waiting.indices | &waiting.suspects);
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
            let whole = host.info.as_ref().filter(|_| placement.trial == Some(TrialKind::Alone));
            let demand = whole.map_or(step.demand, |info| info.capacity.minus(&host.used));
            host.used = host.used.plus(&demand);
            host.runs.insert((key(index), run));
            let (number, incarnation, speed) = (host.number, host.incarnation, host.speed);
            starts.push(StartRecord {
                task: key(index),
                run,
                worker: worker.clone(),
                incarnation,
            });
            let task_run = TaskRun {
                worker,
                host: number,
                incarnation,
                demand,
                speed,
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
                listed_at: cx.now,
                trial: entry.trial_span(&key(index)).filter(|_| placement.trial.is_some()),
                crash: None,
                doubt: None,
                stable: false,
                withheld: false,
            };
            if task_run.trial.is_some() {
                self.trials.insert((key(index), run));
            }
            self.runs.insert((key(index), run), task_run);
            self.charge(&entry.spec.account, demand.accelerators);
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
            waiting.suspects.retain(|index| !placed.contains(index));
            if waiting.indices.is_empty() && waiting.suspects.is_empty() {
                self.waiting.remove(&step);
                self.reservations.remove(&step);
            }
        }
    }
}

/// Which capacity that is kept for others a step may use: what they won't use until it has ended or, once it must not wait any
/// more, all of it.
fn loan(step: &Step, patience: Patience) -> Loan {
    match patience {
        _ if patience.is_over() => Loan::Any,
        _ if step.long_running => Loan::None,
        _ => Loan::For(Millis(step.estimate.0.saturating_mul(LOAN_PERCENT) / 100)),
    }
}
