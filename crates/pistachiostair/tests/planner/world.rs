//! A model of a region that carries out and checks every decision of a planner.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{
    AccountSpec, AttemptEnd, Change, Decision, Guarantee, GuaranteeSpec, JobId, JobSpec, MemberState, Metadata, Millis,
    Planner, Shape, Size, Urgency, WorkerInfo, WorkerName,
};

pub(crate) fn shape(text: &str) -> Shape {
    text.parse().expect("shape")
}

/// An idempotent job of normal urgency, without a declared run time.
pub(crate) fn spec(account: &str, text: &str) -> JobSpec {
    JobSpec {
        account: account.into(),
        shape: shape(text),
        urgency: Urgency::Normal,
        size: Size::default(),
        runtime: None,
        idempotent: true,
        checkpointable: false,
        payload: None,
        deadline: None,
        region: None,
    }
}

/// A job that can't be stopped.
pub(crate) fn pinned(account: &str, text: &str) -> JobSpec {
    JobSpec {
        idempotent: false,
        ..spec(account, text)
    }
}

/// A job that resumes from a checkpoint.
pub(crate) fn checkpointable(account: &str, text: &str) -> JobSpec {
    JobSpec {
        checkpointable: true,
        ..spec(account, text)
    }
}

pub(crate) fn guarantee(name: &str, account: &str, text: &str, count: u32) -> Guarantee {
    Guarantee {
        metadata: Metadata {
            name: name.to_owned(),
            ..Metadata::default()
        },
        spec: GuaranteeSpec {
            account: account.into(),
            shape: shape(text),
            count,
            region: None,
            grace: Millis(500),
        },
        conditions: Vec::new(),
    }
}

pub(crate) fn info(name: &str, domain: &str, rack: &str, slots: u32, accelerators: u32) -> WorkerInfo {
    WorkerInfo {
        name: name.into(),
        region: "r".into(),
        domain: domain.into(),
        rack: rack.into(),
        slots,
        accelerators,
        millicores: 30_000,
        memory: 65_536,
    }
}

/// Workers, jobs and guarantees of a region, kept independently of the planner under test.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) planner: Planner,
    pub(crate) now: Millis,
    pub(crate) workers: BTreeMap<WorkerName, (WorkerInfo, MemberState)>,
    pub(crate) queued: BTreeMap<JobId, JobSpec>,
    pub(crate) placed: BTreeMap<JobId, (JobSpec, Vec<WorkerName>)>,
    /// Placed jobs that are to be stopped, with the beneficiary and the grace.
    pub(crate) reclaimed: BTreeMap<JobId, (JobId, Millis)>,
    /// Jobs that were ended as unrunnable, with the reason.
    pub(crate) unrunnable: BTreeMap<JobId, String>,
    pub(crate) guarantees: BTreeMap<String, Guarantee>,
    last_job: u64,
}

impl World {
    /// A region of `domains` domains with `racks` racks each and `width` equal workers in each rack.
    pub(crate) fn new(domains: usize, racks: usize, width: usize, slots: u32, accelerators: u32) -> Self {
        let mut world = Self {
            planner: Planner::new(),
            ..Self::default()
        };
        for domain in 0..domains {
            for rack in 0..racks {
                for index in 0..width {
                    let (domain, rack) = (format!("d{domain}"), format!("r{rack}"));
                    world.worker(info(
                        &format!("{domain}{rack}w{index}"),
                        &domain,
                        &rack,
                        slots,
                        accelerators,
                    ));
                }
            }
        }
        world.now = Millis(10_000);
        world
    }

    pub(crate) fn apply(&mut self, change: Change) {
        self.planner.apply(self.now, change);
    }

    /// Adds a live worker, or updates one.
    pub(crate) fn worker(&mut self, info: WorkerInfo) {
        self.set_state(info, MemberState::Live);
    }

    pub(crate) fn set_state(&mut self, info: WorkerInfo, state: MemberState) {
        self.workers.insert(info.name.clone(), (info.clone(), state));
        self.apply(Change::Worker { info, state });
    }

    pub(crate) fn account(&mut self, name: &str, weight: u32, quota: Option<u32>) {
        let spec = AccountSpec {
            weight,
            quota,
            outstanding: None,
            rate: None,
        };
        self.apply(Change::Account(name.into(), spec));
    }

    pub(crate) fn guarantee(&mut self, guarantee: Guarantee) {
        self.guarantees
            .insert(guarantee.metadata.name.clone(), guarantee.clone());
        self.apply(Change::Guarantee(guarantee));
    }

    /// Queues a new job.
    pub(crate) fn queue(&mut self, spec: JobSpec) -> JobId {
        self.last_job += 1;
        let job = JobId(self.last_job);
        self.requeue(job, spec, Millis::ZERO);
        job
    }

    pub(crate) fn requeue(&mut self, job: JobId, spec: JobSpec, served: Millis) {
        self.queued.insert(job, spec.clone());
        self.apply(Change::Queued { job, spec, served });
    }

    /// Ends a placed or waiting job and returns its specification; `None` if it is not known.
    pub(crate) fn end(&mut self, job: JobId, end: AttemptEnd) -> Option<JobSpec> {
        self.apply(Change::Ended { job, end });
        self.reclaimed.remove(&job);
        let placed = self.placed.remove(&job).map(|(spec, _)| spec);
        placed.or_else(|| self.queued.remove(&job))
    }

    /// Plans until nothing more is decided, and checks every decision. Placed jobs run at once.
    pub(crate) fn plan(&mut self) -> Vec<Decision> {
        let mut all = Vec::new();
        loop {
            let decisions = self.planner.plan(self.now, 50);
            if decisions.is_empty() {
                return all;
            }
            assert!(decisions.len() <= 50, "more decisions than the limit");
            for decision in &decisions {
                self.check(decision);
            }
            all.extend(decisions);
        }
    }

    /// Advances the time and plans.
    pub(crate) fn later(&mut self, millis: u64) -> Vec<Decision> {
        self.now += Millis(millis);
        self.plan()
    }

    fn check(&mut self, decision: &Decision) {
        match decision {
            Decision::Place { job, workers, reason } => {
                assert!(!reason.is_empty());
                let spec = self.queued.remove(job).expect("a job is placed only from the queue");
                self.check_adjacent(&spec, workers);
                self.placed.insert(*job, (spec, workers.clone()));
                self.check_usage();
                self.apply(Change::Running(*job));
            }
            Decision::Reclaim {
                job,
                beneficiary,
                grace,
                ..
            } => {
                let (spec, _) = &self.placed[job];
                assert!(spec.idempotent || spec.checkpointable, "{job} can't be stopped");
                assert!(
                    self.queued.contains_key(beneficiary),
                    "the beneficiary {beneficiary} must wait"
                );
                assert!(
                    self.reclaimed.insert(*job, (*beneficiary, *grace)).is_none(),
                    "{job} is stopped twice"
                );
            }
            Decision::Unrunnable { job, reason } => {
                self.queued.remove(job).expect("only a waiting job is ended");
                self.unrunnable.insert(*job, reason.clone());
            }
        }
    }

    /// Checks that the workers of a gang are live and distinct, in one rack if that is possible, or else in
    /// neighbouring racks of one domain.
    fn check_adjacent(&self, spec: &JobSpec, workers: &[WorkerName]) {
        assert_eq!(workers.len() as u32, spec.shape.workers);
        let infos: Vec<&(WorkerInfo, MemberState)> = workers.iter().map(|name| &self.workers[name]).collect();
        assert!(
            infos.iter().all(|(_, state)| *state == MemberState::Live),
            "placed on {workers:?}"
        );
        if spec.shape.accelerators == 0 {
            return;
        }
        let distinct: BTreeSet<&WorkerName> = workers.iter().collect();
        assert_eq!(distinct.len(), workers.len(), "parts share a worker");
        let place = |info: &WorkerInfo| (info.domain.clone(), info.rack.clone());
        let used: BTreeSet<_> = infos.iter().map(|(info, _)| place(info)).collect();
        let mut width: BTreeMap<_, u32> = BTreeMap::new();
        for (info, _) in self.workers.values() {
            *width.entry(place(info)).or_default() += u32::from(info.accelerators >= spec.shape.accelerators);
        }
        if width.values().any(|width| *width >= spec.shape.workers) {
            assert_eq!(used.len(), 1, "{} fits a rack and got {used:?}", spec.shape);
        }
        let order: Vec<_> = width.keys().collect();
        let position = |place| order.iter().position(|other| *other == place).expect("known rack");
        let (first, last) = (used.first().expect("a rack"), used.last().expect("a rack"));
        assert_eq!(first.0, last.0, "two failure domains");
        assert_eq!(
            position(last) - position(first) + 1,
            used.len(),
            "the racks are not neighbours"
        );
    }

    /// Checks that no worker has more tasks or accelerators in use than it has.
    pub(crate) fn check_usage(&self) {
        let mut used: BTreeMap<&WorkerName, (u32, u32)> = BTreeMap::new();
        for (spec, workers) in self.placed.values() {
            for worker in workers {
                let entry = used.entry(worker).or_default();
                entry.0 += spec.shape.accelerators;
                entry.1 += 1;
            }
        }
        for (worker, (accelerators, slots)) in used {
            let (info, _) = &self.workers[worker];
            assert!(accelerators <= info.accelerators, "{worker} has {accelerators} in use");
            assert!(slots <= info.slots, "{worker} runs {slots} tasks");
        }
    }

    /// Whether all guarantees can be packed beside the pinned work, by an exhaustive search independent of the planner.
    pub(crate) fn packable(&self) -> bool {
        let mut instances: Vec<(&str, Shape)> = Vec::new();
        for guarantee in self.guarantees.values() {
            let spec = &guarantee.spec;
            instances.extend((0..spec.count).map(|_| (spec.account.as_str(), spec.shape)));
        }
        let mut pinned: BTreeMap<(&WorkerName, &str), (u32, u32)> = BTreeMap::new();
        for (spec, workers) in self
            .placed
            .values()
            .filter(|(spec, _)| !spec.idempotent && !spec.checkpointable)
        {
            for worker in workers {
                let entry = pinned.entry((worker, spec.account.as_str())).or_default();
                entry.0 += spec.shape.accelerators;
                entry.1 += 1;
            }
        }
        self.pack(&instances, &pinned, &mut BTreeMap::new())
    }

    /// Whether the remaining instances can be packed in addition to `packed`.
    fn pack<'a>(
        &'a self,
        instances: &[(&'a str, Shape)],
        pinned: &BTreeMap<(&'a WorkerName, &'a str), (u32, u32)>,
        packed: &mut BTreeMap<(&'a WorkerName, &'a str), (u32, u32)>,
    ) -> bool {
        let Some(((account, shape), rest)) = instances.split_first() else {
            return true;
        };
        let mut racks: BTreeMap<_, Vec<&WorkerName>> = BTreeMap::new();
        for (name, (info, state)) in &self.workers {
            if *state == MemberState::Live {
                racks.entry((&info.domain, &info.rack)).or_default().push(name);
            }
        }
        for members in racks.values().filter(|members| members.len() >= shape.workers as usize) {
            for chosen in subsets(members, shape.workers as usize) {
                for name in &chosen {
                    let entry = packed.entry((name, account)).or_default();
                    entry.0 += shape.accelerators;
                    entry.1 += 1;
                }
                let fits = chosen.iter().all(|name| self.fits_worker(name, pinned, packed));
                if fits && self.pack(rest, pinned, packed) {
                    return true;
                }
                for name in &chosen {
                    let entry = packed.entry((name, account)).or_default();
                    entry.0 -= shape.accelerators;
                    entry.1 -= 1;
                }
            }
        }
        false
    }

    /// Whether pinned work and packed instances of all accounts fit on a worker.
    fn fits_worker(
        &self,
        name: &WorkerName,
        pinned: &BTreeMap<(&WorkerName, &str), (u32, u32)>,
        packed: &BTreeMap<(&WorkerName, &str), (u32, u32)>,
    ) -> bool {
        let accounts: BTreeSet<&str> = pinned
            .keys()
            .chain(packed.keys())
            .map(|(_, account)| *account)
            .collect();
        let (mut accelerators, mut slots) = (0, 0);
        for account in accounts {
            let a = pinned.get(&(name, account)).copied().unwrap_or_default();
            let b = packed.get(&(name, account)).copied().unwrap_or_default();
            accelerators += a.0.max(b.0);
            slots += a.1.max(b.1);
        }
        let (info, _) = &self.workers[name];
        accelerators <= info.accelerators && slots <= info.slots
    }
}

/// All subsets of `members` with `count` elements.
fn subsets<'a>(members: &[&'a WorkerName], count: usize) -> Vec<Vec<&'a WorkerName>> {
    let Some((first, rest)) = members.split_first() else {
        return if count == 0 { vec![Vec::new()] } else { Vec::new() };
    };
    let mut all = subsets(rest, count);
    if count > 0 {
        for mut with in subsets(rest, count - 1) {
            with.push(first);
            all.push(with);
        }
    }
    all
}
