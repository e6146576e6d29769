//! Reclaiming room for work that an account's guarantee covers.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{RackName, WorkerName};
use crate::steps::board::{Cx, RunPhase, Steps, Why, step_of};
use crate::steps::host::RunKey;
use crate::steps::queue::GroupKey;
use crate::steps::room::{Room, Spot};
use crate::steps::spec::{Demand, JobKey, Step};

/// Cores that an accelerator counts as when lost work is compared, as in the platform's prices.
const ACCELERATOR_CORES: u64 = 8;

/// Time after which a claim whose room does not become free is given up and made anew.
const GIVE_UP: Millis = Millis(1_000);

/// Workers that are kept for the tasks of a step until others have left them.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) workers: BTreeMap<u32, WorkerName>,
    pub(crate) demand: Demand,
    since: Millis,
}

impl Claim {
    /// Whether the workers have room for all its tasks.
    pub(crate) fn is_vacant(&self, room: &Room<'_>) -> bool {
        let mut room = room.clone();
        self.workers.values().all(|worker| {
            let fits = room.free(worker).is_some_and(|free| self.demand.fits(&free));
            room.take(worker, &self.demand);
            fits
        })
    }

    /// Takes the room away, or what there is of it.
    pub(crate) fn reserve(&self, room: &mut Room<'_>) {
        for worker in self.workers.values() {
            room.take(worker, &self.demand);
        }
    }
}

/// Runs that give way together: one run, or all members of a gang.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<RunKey>,
    /// Work that is lost, in core-milliseconds, after less important work.
    cost: (u32, u64),
}

/// What could be made free.
struct Ground<'a> {
    spots: Vec<Spot<'a>>,
    victims: BTreeMap<WorkerName, Vec<usize>>,
    all: Vec<Victim>,
    stopped: BTreeSet<usize>,
}

impl Steps {
    /// Chooses workers for a step that its account's guarantee covers, and stops what is in its way there.
    pub(crate) fn claim_room(&mut self, cx: &Cx<'_>, group: GroupKey) {
        let Some(entry) = cx.book.job(group.0) else { return };
        let Some(step) = entry.spec.steps.get(group.2 as usize) else {
            return;
        };
        let Some(waiting) = self.waiting.get(&group) else {
            return;
        };
        let indices: Vec<u32> = waiting.indices.iter().copied().collect();
        let Some((workers, victims)) = self.find_claim(cx, group, step, indices.len()) else {
            self.log_job(
                "waits",
                group.0,
                "not even work without a guarantee leaves enough room".to_owned(),
            );
            return;
        };
        let claim = Claim {
            workers: indices.into_iter().zip(workers).collect(),
            demand: step.demand,
            since: cx.now,
        };
        self.log_job("reclaims", group.0, format!("{} runs give way", victims.len()));
        self.claims.insert(group, claim);
        for run in victims {
            self.halt(cx, run, Why::Reclaimed);
        }
        self.replan = true;
    }

    fn find_claim(
        &self,
        cx: &Cx<'_>,
        group: GroupKey,
        step: &Step,
        count: usize,
    ) -> Option<(Vec<WorkerName>, Vec<RunKey>)> {
        let entry = cx.book.job(group.0)?;
        let mut room = Room::of(self, cx);
        for claim in self.claims.values() {
            claim.reserve(&mut room);
        }
        let spots = self.spots(&room, &self.terms(entry).service, group, step);
        let racks: BTreeSet<&RackName> = spots.iter().map(|spot| spot.rack).collect();
        let covered = self.covered(cx);
        let within = |rack: Option<&RackName>| {
            let spots = spots.iter().filter(|spot| rack.is_none_or(|rack| spot.rack == rack));
            let mut ground = self.ground(cx, spots.cloned().collect(), &covered);
            let workers = ground.fit(self, &step.demand, count)?;
            let stopped = ground.stopped.iter().map(|victim| &ground.all[*victim]);
            let cost: u64 = stopped.clone().map(|victim| victim.cost.1).sum();
            let runs: Vec<RunKey> = stopped.flat_map(|victim| victim.runs.clone()).collect();
            Some((cost, workers, runs))
        };
        let near = match (&step.affinity, step.gang && step.same_rack) {
            (Some(rack), _) => within(Some(&RackName::from(rack.as_str()))),
            (None, true) => racks
                .iter()
                .filter_map(|rack| within(Some(rack)))
                .min_by_key(|(cost, ..)| *cost),
            (None, false) => None,
        };
        let (_, workers, runs) = near.or_else(|| within(None))?;
        Some((workers, runs))
    }

    /// Everything that may give way on these workers. Room of runs that are being stopped counts as free.
    fn ground<'a>(&self, cx: &Cx<'_>, spots: Vec<Spot<'a>>, covered: &BTreeSet<JobKey>) -> Ground<'a> {
        let mut ground = Ground {
            spots,
            victims: BTreeMap::new(),
            all: Vec::new(),
            stopped: BTreeSet::new(),
        };
        let mut gangs: BTreeMap<(GroupKey, u32), usize> = BTreeMap::new();
        for (key, run) in &self.runs {
            let (task, number) = *key;
            if run.phase == RunPhase::Ended {
                continue;
            }
            if run.halt.is_some() {
                ground.free(&run.worker, &run.demand);
                continue;
            }
            let (Some(entry), Some(step)) = (cx.book.job(task.job), step_of(cx.book, &task)) else {
                continue;
            };
            if covered.contains(&task.job) {
                continue;
            }
            let cores = run.demand.millicores / 1_000 + ACCELERATOR_CORES * run.demand.accelerators;
            let lost = if step.checkpointing {
                1
            } else {
                cx.now.since(run.since).0.max(1)
            };
            let lost = lost * cores;
            let rank = u32::MAX - self.terms(entry).priority;
            let victim = if step.gang {
                let gang = ((task.job, task.occurrence, task.step), number);
                *gangs.entry(gang).or_insert_with(|| ground.add(rank))
            } else {
                ground.add(rank)
            };
            ground.all[victim].runs.push(*key);
            ground.all[victim].cost.1 += lost;
            ground.victims.entry(run.worker.clone()).or_default().push(victim);
        }
        ground
    }
}

impl Ground<'_> {
    fn add(&mut self, rank: u32) -> usize {
        self.all.push(Victim {
            runs: Vec::new(),
            cost: (rank, 0),
        });
        self.all.len() - 1
    }

    fn free(&mut self, worker: &WorkerName, demand: &Demand) {
        if let Some(spot) = self.spots.iter_mut().find(|spot| spot.worker == worker) {
            spot.free = spot.free.plus(demand);
        }
    }

    /// Finds workers for all tasks, one after the other where the least is lost.
    fn fit(&mut self, steps: &Steps, demand: &Demand, count: usize) -> Option<Vec<WorkerName>> {
        let mut found = Vec::new();
        for _ in 0..count {
            let options = (0..self.spots.len()).filter(|place| self.spots[*place].spread > 0);
            let options = options.filter_map(|place| Some((self.cheapest(steps, place, demand)?, place)));
            let ((_, victims), place) = options.min_by_key(|((cost, _), place)| {
                let left = self.spots[*place].free.minus(demand);
                (*cost, left.accelerators, left.memory, *place)
            })?;
            for victim in victims {
                self.stop(steps, victim);
            }
            let spot = &mut self.spots[place];
            spot.free = spot.free.minus(demand);
            spot.spread -= 1;
            found.push(spot.worker.clone());
        }
        Some(found)
    }

    /// The cheapest runs whose end makes room on one worker, with what is lost.
    fn cheapest(&self, steps: &Steps, place: usize, demand: &Demand) -> Option<((u64, u64), Vec<usize>)> {
        let spot = &self.spots[place];
        let mut free = spot.free;
        let mut chosen = Vec::new();
        let mut cost = (0, 0);
        let candidates = self.victims.get(spot.worker).map_or(&[][..], Vec::as_slice);
        let mut candidates: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|victim| !self.stopped.contains(victim))
            .collect();
        candidates.sort_unstable_by_key(|victim| self.all[*victim].cost);
        candidates.dedup();
        for victim in candidates {
            if demand.fits(&free) {
                break;
            }
            let here = self.all[victim].runs.iter().filter_map(|run| steps.runs.get(run));
            for run in here.filter(|run| run.worker == *spot.worker) {
                free = free.plus(&run.demand);
            }
            let (rank, lost) = self.all[victim].cost;
            cost = (cost.0.max(u64::from(rank)), cost.1 + lost);
            chosen.push(victim);
        }
        demand.fits(&free).then_some((cost, chosen))
    }

    fn stop(&mut self, steps: &Steps, victim: usize) {
        if !self.stopped.insert(victim) {
            return;
        }
        for key in self.all[victim].runs.clone() {
            if let Some(run) = steps.runs.get(&key) {
                self.free(&run.worker, &run.demand);
            }
        }
    }
}

impl Steps {
    /// Gives up claims whose room does not become free, or whose workers take no new work any more.
    pub(crate) fn review_claims(&mut self, cx: &Cx<'_>) {
        let hosts = &self.hosts;
        let usable = |worker: &WorkerName| hosts.get(worker).is_some_and(|host| host.is_usable(cx.now));
        let before = self.claims.len();
        self.claims
            .retain(|_, claim| cx.now.since(claim.since) < GIVE_UP && claim.workers.values().all(usable));
        self.replan |= self.claims.len() < before;
    }
}
