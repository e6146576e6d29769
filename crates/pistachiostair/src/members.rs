//! Service around membership: heartbeats, the platform's list, and this daemon's share of the workers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::clock::Millis;
use crate::config::Config;
use crate::edge::{BoxFuture, Vm, VmList, VmRole};
use crate::error::Result;
use crate::ids::{DaemonName, RegionName, Revision, WorkerName};
use crate::kernel::{Kernel, Service};
use crate::links::Links;
use crate::membership::{MemberAction, MemberEvent, Membership};
use crate::message::{Heartbeat, Leader, Request, Response, View};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::rendezvous;
use crate::resource::{Member, MemberState};
use crate::scheduler_service::SchedulerService;
use crate::store::Store;
use crate::supervisor::Supervisor;

/// Time between two ticks of the membership.
const TICK: Millis = Millis(100);

/// Time between two reads of the platform's list by all daemons of a region together. A leaving
/// worker must get nothing new within 3 s.
const LIST_INTERVAL: Millis = Millis(1_000);

/// Longest time between two reads by one daemon, in case that what the others told was lost.
const LIST_MAX: Millis = Millis(10_000);

/// Longest time for a peer to take changes of the list.
const LIST_TIMEOUT: Millis = Millis(1_000);

/// Time between two looks at which workers are this daemon's.
const SHARE_INTERVAL: Millis = Millis(500);

/// Longest time for a heartbeat's answer.
const HEARTBEAT_TIMEOUT: Millis = Millis(1_500);

/// The service of the members.
pub(crate) struct Members {
    kernel: Arc<Kernel>,
    region: RegionName,
    log: slog::Logger,
    membership: Mutex<Membership>,
    list: Mutex<List>,
}

/// The platform's list as this daemon knows it. One read costs as many bytes as there are VMs, so
/// that the daemons of a region take turns and tell each other what changed.
#[derive(Default)]
struct List {
    vms: BTreeMap<String, Vm>,
    /// Last read by this daemon, and last one by any daemon of the region with its reader.
    own: Option<Millis>,
    last: Option<(Millis, DaemonName)>,
}

impl Service for Members {
    const NAME: &'static str = "members";

    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {
            let actions = self.on(MemberEvent::Exit);
            self.send_all(actions).await;
        })
    }
}

impl Members {
    /// Registers the service and starts its tasks.
    pub(crate) fn start(kernel: &Arc<Kernel>, me: Member, seeds: Vec<String>, log: slog::Logger) -> Result<Arc<Self>> {
        let members = Arc::new(Self {
            kernel: kernel.clone(),
            region: me.region.clone(),
            log,
            membership: Mutex::new(Membership::new(me)),
            list: Mutex::default(),
        });
        kernel.register(members.clone())?;
        members.on(MemberEvent::Seeds(seeds));
        kernel.spawn_until_stop(members.clone().tick());
        kernel.spawn_until_stop(members.clone().read_list());
        Ok(members)
    }

    /// Link address of a daemon.
    pub(crate) fn address(&self, daemon: &DaemonName) -> Option<String> {
        let membership = self.membership.lock().expect("membership lock");
        membership.daemon(daemon).map(|member| member.address.clone())
    }

    /// Scheduler of a region, as told by heartbeats.
    pub(crate) fn leader(&self, region: &RegionName) -> Option<Leader> {
        self.membership.lock().expect("membership lock").leader(region).cloned()
    }

    /// Daemons and listed workers.
    pub(crate) fn view(&self) -> View {
        self.membership.lock().expect("membership lock").view()
    }

    /// Daemons besides this one that take requests.
    pub(crate) fn other_daemons(&self) -> Vec<DaemonName> {
        let membership = self.membership.lock().expect("membership lock");
        let me = membership.me().name.clone();
        let live = membership.daemons(MemberState::Live);
        live.iter()
            .map(|member| member.name.clone())
            .filter(|name| *name != me)
            .collect()
    }

    /// Live daemons in which a newer configuration is in force.
    pub(crate) fn daemons_ahead(&self, revision: Revision) -> Vec<DaemonName> {
        let membership = self.membership.lock().expect("membership lock");
        let live = membership.daemons(MemberState::Live).into_iter();
        live.filter(|member| member.policy > revision)
            .map(|member| member.name.clone())
            .collect()
    }

    /// Workers of this region in the platform's list, or nothing before it was read.
    pub(crate) fn listed_workers(&self) -> Option<BTreeMap<WorkerName, Vm>> {
        self.list.lock().expect("list lock").own?;
        let workers = self.view().workers.into_iter().filter(|vm| self.is_own(vm));
        Some(workers.map(|vm| (WorkerName::from(vm.name.as_str()), vm)).collect())
    }

    /// Address of a worker.
    pub(crate) fn worker_address(&self, worker: &WorkerName) -> Option<String> {
        let membership = self.membership.lock().expect("membership lock");
        membership.worker(worker.as_str()).map(|vm| vm.address.clone())
    }

    /// The daemon that supervises a worker.
    pub(crate) fn supervisor(&self, worker: &WorkerName) -> Option<DaemonName> {
        let membership = self.membership.lock().expect("membership lock");
        let daemons = membership.region_daemons(&self.region);
        rendezvous::worker_owner(worker.as_str(), Some(&self.region), daemons).cloned()
    }

    /// Answers a heartbeat.
    pub(crate) fn receive(&self, heartbeat: Heartbeat) -> Response {
        let mut response = Response::Ack;
        for action in self.on(MemberEvent::Asked(Box::new(heartbeat))) {
            match action {
                MemberAction::Respond(heartbeat) => response = Response::Heartbeat(heartbeat),
                other => self.perform(other),
            }
        }
        response
    }

    /// Tells the other daemons that this one takes no new work.
    pub(crate) async fn leave(&self) {
        let actions = self.on(MemberEvent::Leave);
        self.send_all(actions).await;
    }

    /// Number of live daemons of this region.
    pub(crate) fn region_daemons(&self) -> usize {
        self.live_names().len()
    }

    /// Whether a region is this one or a daemon of it is alive.
    pub(crate) fn is_reachable(&self, region: &RegionName) -> bool {
        let membership = self.membership.lock().expect("membership lock");
        let mut daemons = membership.region_daemons(region);
        *region == self.region || daemons.any(|member| member.state != MemberState::Dead)
    }

    /// Name of this daemon.
    fn me(&self) -> DaemonName {
        self.membership.lock().expect("membership lock").me().name.clone()
    }

    fn is_own(&self, vm: &Vm) -> bool {
        vm.role == VmRole::Worker && vm.region.as_ref().is_none_or(|region| *region == self.region)
    }

    fn on(&self, event: MemberEvent) -> Vec<MemberAction> {
        self.membership
            .lock()
            .expect("membership lock")
            .on(self.kernel.clock.now(), event)
    }

    async fn tick(self: Arc<Self>) {
        let mut shared = Millis::ZERO;
        loop {
            if let Ok(config) = self.kernel.find::<Config>() {
                self.on(MemberEvent::Policy(config.revision()));
            }
            let govern = self.kernel.find::<SchedulerService>().ok();
            if let Some(leader) = govern.and_then(|govern| govern.leader(&self.region)) {
                self.handle(MemberEvent::Leader(leader));
            }
            self.handle(MemberEvent::Tick);
            let now = self.kernel.clock.now();
            if now.since(shared) >= SHARE_INTERVAL {
                shared = now;
                self.update_share();
            }
            Timer::after(TICK.duration()).await;
        }
    }

    async fn read_list(self: Arc<Self>) {
        loop {
            if self.is_turn() {
                self.read_once().await;
            }
            Timer::after(TICK.duration()).await;
        }
    }

    /// Whether this daemon reads the list next: the daemon after the last reader in order of names
    /// goes first, each further one waits one interval more.
    fn is_turn(&self) -> bool {
        let now = self.kernel.clock.now();
        let list = self.list.lock().expect("list lock");
        let (Some(own), Some((last, reader))) = (list.own, list.last.as_ref()) else {
            return true;
        };
        if now.since(own) >= LIST_MAX {
            return true;
        }
        let live = self.live_names();
        let me = self.me();
        let place = |name: &DaemonName| live.iter().position(|live| live == name);
        let distance = match (place(&me), place(reader)) {
            (Some(me), Some(reader)) => (me + live.len() - reader - 1) % live.len().max(1),
            _ => live.len(),
        };
        now.since(*last) >= Millis(LIST_INTERVAL.0 * (distance as u64 + 1))
    }

    /// Live daemons of this region, in order of names.
    fn live_names(&self) -> Vec<DaemonName> {
        let membership = self.membership.lock().expect("membership lock");
        let live = membership.daemons(MemberState::Live).into_iter();
        live.filter(|member| member.region == self.region)
            .map(|member| member.name.clone())
            .collect()
    }

    async fn read_once(&self) {
        let Ok(store) = self.kernel.find::<Store>() else { return };
        let vms = match store.list().await {
            Ok(vms) => vms,
            Err(error) => {
                slog::debug!(self.log, "list not read"; "error" => %error);
                Timer::after(LIST_INTERVAL.duration()).await;
                return;
            }
        };
        let me = self.me();
        let now = self.kernel.clock.now();
        let (changed, removed) = {
            let mut list = self.list.lock().expect("list lock");
            let new: BTreeMap<String, Vm> = vms.iter().map(|vm| (vm.name.clone(), vm.clone())).collect();
            let changed: Vec<Vm> = vms
                .iter()
                .filter(|vm| list.vms.get(&vm.name) != Some(*vm))
                .cloned()
                .collect();
            let removed: Vec<String> = list
                .vms
                .keys()
                .filter(|name| !new.contains_key(*name))
                .cloned()
                .collect();
            let first = list.own.is_none();
            *list = List {
                vms: new,
                own: Some(now),
                last: Some((now, me)),
            };
            // What a starting daemon finds is news to nobody else.
            if first {
                (Vec::new(), Vec::new())
            } else {
                (changed, removed)
            }
        };
        self.handle(MemberEvent::Listed(vms));
        self.tell_list(&changed, &removed);
    }

    /// Tells the other daemons of the region that the list was read, and what changed.
    fn tell_list(&self, changed: &[Vm], removed: &[String]) {
        let Ok(links) = self.kernel.find::<Links>() else { return };
        let me = self.me();
        for daemon in self.live_names().into_iter().filter(|name| *name != me) {
            let links = links.clone();
            let request = Request::Listed {
                changed: changed.to_vec(),
                removed: removed.to_vec(),
            };
            self.kernel.spawn_until_stop(async move {
                // A daemon that misses this reads the list itself in its turn.
                let _ = links.to_daemon(&daemon, request, LIST_TIMEOUT).await;
            });
        }
    }

    /// Takes what another daemon read in the platform's list.
    pub(crate) fn take_list(&self, from: DaemonName, changed: Vec<Vm>, removed: &[String]) {
        let vms = {
            let mut list = self.list.lock().expect("list lock");
            list.last = Some((self.kernel.clock.now(), from));
            if changed.is_empty() && removed.is_empty() {
                return;
            }
            for vm in changed {
                list.vms.insert(vm.name.clone(), vm);
            }
            list.vms.retain(|name, _| !removed.contains(name));
            list.vms.values().cloned().collect()
        };
        self.handle(MemberEvent::Listed(vms));
    }

    fn handle(&self, event: MemberEvent) {
        for action in self.on(event) {
            self.perform(action);
        }
    }

    fn perform(&self, action: MemberAction) {
        match action {
            MemberAction::Send { address, heartbeat } => self.send(address, heartbeat),
            MemberAction::Respond(_) => {}
            MemberAction::Daemon(member) => {
                slog::info!(self.log, "daemon changed"; "daemon" => %member.name, "state" => ?member.state,
                    "incarnation" => member.incarnation.0);
                if let Ok(metrics) = self.kernel.find::<Metrics>() {
                    metrics.peers.set(self.other_daemons().len() as i64);
                }
            }
            MemberAction::Worker(vm) => {
                slog::info!(self.log, "worker changed"; "worker" => vm.name, "state" => ?vm.state);
            }
            MemberAction::Leader(leader) => {
                slog::info!(self.log, "scheduler known"; "region" => %leader.region, "daemon" => %leader.daemon,
                    "term" => leader.term.0);
            }
        }
    }

    fn send(&self, address: String, heartbeat: Box<Heartbeat>) {
        let kernel = self.kernel.clone();
        self.kernel
            .spawn_until_stop(async move { exchange(&kernel, &address, heartbeat).await });
    }

    /// Sends heartbeats and waits for them, at the end of the process.
    async fn send_all(&self, actions: Vec<MemberAction>) {
        for action in actions {
            if let MemberAction::Send { address, heartbeat } = action {
                let kernel = self.kernel.clone();
                self.kernel
                    .spawn(async move { exchange(&kernel, &address, heartbeat).await });
            }
        }
        Timer::after(TICK.duration()).await;
    }

    fn update_share(&self) {
        let Ok(supervise) = self.kernel.find::<Supervisor>() else {
            return;
        };
        let view = self.view();
        let me = self.me();
        let daemons: Vec<Member> = {
            let membership = self.membership.lock().expect("membership lock");
            membership.region_daemons(&self.region).cloned().collect()
        };
        let workers: Vec<Vm> = view.workers.into_iter().filter(|vm| self.is_own(vm)).collect();
        let share = rendezvous::owned_workers(&me, &daemons, &workers);
        let addresses: BTreeMap<&str, &str> = workers
            .iter()
            .map(|vm| (vm.name.as_str(), vm.address.as_str()))
            .collect();
        let share: Vec<(WorkerName, String)> = share
            .into_iter()
            .filter_map(|name| Some((name.clone(), (*addresses.get(name.as_str())?).to_owned())))
            .collect();
        supervise.set_share(&share);
    }
}

/// Sends one heartbeat and takes its answer.
async fn exchange(kernel: &Kernel, address: &str, heartbeat: Box<Heartbeat>) {
    let (Ok(peers), Ok(members)) = (kernel.find::<Peers>(), kernel.find::<Members>()) else {
        return;
    };
    let answer = peers
        .call(address, Request::Heartbeat(heartbeat), HEARTBEAT_TIMEOUT)
        .await;
    if let Ok(Response::Heartbeat(heartbeat)) = answer {
        members.handle(MemberEvent::Answered(heartbeat));
    }
}
