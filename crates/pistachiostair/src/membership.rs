//! Live, leaving and dead members: heartbeats between daemons, joined with the platform's lagging list.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::edge::{Vm, VmRole};
use crate::ids::{DaemonName, Incarnation, RegionName, Revision};
use crate::message::{Heartbeat, Leader, View};
use crate::resource::{Member, MemberState};

/// Interval of heartbeats to a daemon.
pub const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Silence after which a daemon is dead. With 5% of messages lost, silences of 3 s came about twice in a million
/// heartbeats and of 4 s not once in ten million intervals of 9 daemons; see `docs/membership.md`.
pub const DETECTION_TIME: Millis = Millis(4_000);
/// Interval of heartbeats to a dead daemon, which cost a handshake each.
const PROBE_INTERVAL: Millis = Millis(3_000);
/// Time after which a dead daemon that the platform doesn't list is forgotten.
const FORGET_TIME: Millis = Millis(60_000);
/// Span between two ticks that shows that this process was paused, so that silence proves nothing.
const PAUSE: Millis = Millis(1_000);
/// Time for which a change is added to each heartbeat.
const NEWS_TIME: Millis = Millis(3_000);
/// One of this many heartbeats carries a member and a leader in turn, to repair what news did not reach.
const TURN: usize = 4;
/// The most changed members added to a heartbeat.
const MAX_NEWS: usize = 4;
/// The most daemons tracked; the design has 27.
const MAX_DAEMONS: usize = 256;
/// The most regions whose leaders are tracked; the design has 3.
const MAX_REGIONS: usize = 64;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time passed; expected every 100 ms.
    Tick,
    /// A heartbeat arrived that needs a response.
    Asked(Box<Heartbeat>),
    /// A heartbeat arrived as a response.
    Answered(Box<Heartbeat>),
    /// The platform's list was read.
    Listed(Vec<Vm>),
    /// Link addresses to try while no daemon at them is known.
    Seeds(Vec<String>),
    /// The scheduler of a region became known other than by a heartbeat.
    Leader(Leader),
    /// The revision of the configuration in force here changed.
    Policy(Revision),
    /// This daemon takes no new work from now on.
    Leave,
    /// This daemon ends now.
    Exit,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a heartbeat to a link address.
    Send {
        /// The address.
        address: String,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// Respond to the heartbeat that asked.
    Respond(Box<Heartbeat>),
    /// A daemon is new, or its state, incarnation or address changed.
    Daemon(Member),
    /// A worker is new, or its entry in the platform's list changed; dead if it is no longer listed.
    Worker(Vm),
    /// A region has a new scheduler.
    Leader(Leader),
}

struct Known {
    /// As it described itself last, with the state as seen from here.
    member: Member,
    /// The state that it gave for itself, which never goes back within an incarnation.
    said: MemberState,
    /// Last heartbeat; none if it was only heard of.
    heard: Option<Millis>,
    added: Millis,
    changed: Millis,
    next: Millis,
}

/// Members as seen by one daemon.
pub struct Membership {
    me: Member,
    daemons: BTreeMap<DaemonName, Known>,
    /// Daemons of the platform's list: address and state.
    listed: BTreeMap<DaemonName, (String, MemberState)>,
    /// Next heartbeat to listed daemons and seeds that aren't known yet, by address.
    contacts: BTreeMap<String, Millis>,
    seeds: Vec<String>,
    workers: BTreeMap<String, Vm>,
    /// Workers that the last list no longer had.
    missing: BTreeSet<String>,
    leaders: BTreeMap<RegionName, (Leader, Millis)>,
    ticked: Option<Millis>,
    turn: usize,
}

impl Membership {
    /// Members before any heartbeat: this daemon alone.
    pub fn new(me: Member) -> Self {
        Self {
            me,
            daemons: BTreeMap::new(),
            listed: BTreeMap::new(),
            contacts: BTreeMap::new(),
            seeds: Vec::new(),
            workers: BTreeMap::new(),
            missing: BTreeSet::new(),
            leaders: BTreeMap::new(),
            ticked: None,
            turn: 0,
        }
    }

    /// Takes note of an event and returns what to do.
    pub fn on(&mut self, now: Millis, event: MemberEvent) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        match event {
            MemberEvent::Tick => self.tick(now, &mut actions),
            MemberEvent::Asked(heartbeat) => {
                let newcomer = !self.is_live(&heartbeat.member);
                self.receive(now, *heartbeat, &mut actions);
                let response = self.compose(now, newcomer);
                actions.push(MemberAction::Respond(Box::new(response)));
            }
            MemberEvent::Answered(heartbeat) => self.receive(now, *heartbeat, &mut actions),
            MemberEvent::Listed(vms) => self.list(now, vms, &mut actions),
            MemberEvent::Seeds(addresses) => self.seeds = addresses,
            MemberEvent::Leader(leader) => self.lead(now, leader, &mut actions),
            MemberEvent::Policy(revision) => self.me.policy = self.me.policy.max(revision),
            MemberEvent::Leave => self.say(now, MemberState::Leaving, &mut actions),
            MemberEvent::Exit => self.say(now, MemberState::Dead, &mut actions),
        }
        actions
    }

    /// Daemons that are or were heard, this one included, and the workers of the platform's list.
    pub fn view(&self) -> View {
        let mut daemons: Vec<Member> = self.heard().chain([&self.me]).cloned().collect();
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            daemons,
            workers: self.workers.values().cloned().collect(),
        }
    }

    /// Daemons in `state`, this one included, in order of names.
    pub fn daemons(&self, state: MemberState) -> Vec<&Member> {
        let all = self.heard().chain([&self.me]);
        let mut daemons: Vec<&Member> = all.filter(|member| member.state == state).collect();
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        daemons
    }

    /// A daemon that is or was heard, or this one.
    pub(crate) fn daemon(&self, name: &DaemonName) -> Option<&Member> {
        let heard = self.daemons.get(name).filter(|known| known.heard.is_some());
        heard
            .map(|known| &known.member)
            .or_else(|| (self.me.name == *name).then_some(&self.me))
    }

    /// Daemons of a region that are or were heard, this one included, in no particular order.
    pub(crate) fn region_daemons(&self, region: &RegionName) -> impl Iterator<Item = &Member> {
        let all = self.heard().chain([&self.me]);
        all.filter(move |member| member.region == *region)
    }

    /// A worker of the platform's list.
    pub(crate) fn worker(&self, name: &str) -> Option<&Vm> {
        self.workers.get(name)
    }

    /// The scheduler of a region with the highest term that is known.
    pub fn leader(&self, region: &RegionName) -> Option<&Leader> {
        self.leaders.get(region).map(|(leader, _)| leader)
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        &self.me
    }

    fn heard(&self) -> impl Iterator<Item = &Member> {
        let heard = self.daemons.values().filter(|known| known.heard.is_some());
        heard.map(|known| &known.member)
    }

    fn is_live(&self, member: &Member) -> bool {
        let known = self.daemons.get(&member.name);
        known.is_some_and(|k| k.member.state != MemberState::Dead && k.member.incarnation == member.incarnation)
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<MemberAction>) {
        let gap = self.ticked.map_or(Millis::ZERO, |ticked| now.since(ticked));
        self.ticked = Some(now);
        if gap > PAUSE {
            // This process was paused. Its silence towards the others and theirs look the same from here.
            let heard = self.daemons.values_mut().filter_map(|known| known.heard.as_mut());
            heard.for_each(|heard| *heard = (*heard + gap).min(now));
        }
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        names.iter().for_each(|name| self.refresh(now, name, actions));
        self.forget(now);
        self.send(now, actions);
    }

    /// Sends the heartbeats that are due.
    fn send(&mut self, now: Millis, actions: &mut Vec<MemberAction>) {
        let mut due = Vec::new();
        for known in self.daemons.values_mut().filter(|known| known.next <= now) {
            let dead = known.member.state == MemberState::Dead;
            let interval = if dead { PROBE_INTERVAL } else { HEARTBEAT_INTERVAL };
            known.next = (known.next + interval).max(now + interval - Millis(HEARTBEAT_INTERVAL.0 / 2));
            let listed = self.listed.get(&known.member.name).filter(|_| dead);
            due.push(listed.map_or(&known.member.address, |(address, _)| address).clone());
        }
        self.update_contacts();
        for (address, next) in self.contacts.iter_mut().filter(|(_, next)| **next <= now) {
            *next = now + HEARTBEAT_INTERVAL;
            due.push(address.clone());
        }
        for address in due {
            let heartbeat = Box::new(self.compose(now, false));
            actions.push(MemberAction::Send { address, heartbeat });
        }
    }

    /// Addresses of listed daemons that aren't known, and of seeds where no known daemon is.
    fn update_contacts(&mut self) {
        let unknown = |name: &DaemonName| *name != self.me.name && !self.daemons.contains_key(name);
        let listed = self.listed.iter().filter(|(name, _)| unknown(name));
        let addresses: BTreeSet<&str> = self.daemons.values().map(|known| &*known.member.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !addresses.contains(seed.as_str()));
        let wanted: BTreeSet<&String> = listed.map(|(_, (address, _))| address).chain(seeds).collect();
        let wanted = wanted.into_iter().filter(|address| **address != self.me.address);
        let kept = wanted.take(MAX_DAEMONS).map(|address| {
            let next = self.contacts.get(address).copied().unwrap_or_default();
            (address.clone(), next)
        });
        self.contacts = kept.collect();
    }

    fn forget(&mut self, now: Millis) {
        let listed = &self.listed;
        self.daemons.retain(|name, known| {
            let since = now.since(known.heard.unwrap_or(known.added));
            known.member.state != MemberState::Dead || listed.contains_key(name) || since < FORGET_TIME
        });
    }

    /// Own heartbeat. Most carry only what changed, to keep the bytes per second of 27 daemons within the
    /// limit; a newcomer gets everything.
    fn compose(&mut self, now: Millis, newcomer: bool) -> Heartbeat {
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn.is_multiple_of(TURN).then_some(self.turn / TURN);
        // Dead ones are left out, or they would be told round for ever.
        let present = |known: &&Known| known.heard.is_some() && known.member.state != MemberState::Dead;
        let mut members: Vec<&Known> = self.daemons.values().filter(present).collect();
        let mut leaders: Vec<&(Leader, Millis)> = self.leaders.values().collect();
        if !newcomer {
            members = pick(&members, turn, |known| now.since(known.changed) < NEWS_TIME);
            members.truncate(MAX_NEWS);
            leaders = pick(&leaders, turn, |(_, changed)| now.since(*changed) < NEWS_TIME);
        }
        Heartbeat {
            member: self.me.clone(),
            leaders: leaders.into_iter().map(|(leader, _)| leader.clone()).collect(),
            known: members.into_iter().map(|known| known.member.clone()).collect(),
        }
    }

    fn receive(&mut self, now: Millis, heartbeat: Heartbeat, actions: &mut Vec<MemberAction>) {
        let Heartbeat { member, leaders, known } = heartbeat;
        if !self.hear(now, member, actions) {
            return;
        }
        for member in known {
            self.learn(now, member, actions);
        }
        for leader in leaders {
            self.lead(now, leader, actions);
        }
    }

    /// Takes note of a daemon's own heartbeat; false if it is from this daemon or a former incarnation.
    fn hear(&mut self, now: Millis, member: Member, actions: &mut Vec<MemberAction>) -> bool {
        let full = self.daemons.len() >= MAX_DAEMONS && !self.daemons.contains_key(&member.name);
        if member.name == self.me.name || full {
            return false;
        }
        let name = member.name.clone();
        let known = self
            .daemons
            .entry(name.clone())
            .or_insert_with(|| Known::new(now, &member));
        if member.incarnation < known.member.incarnation {
            return false;
        }
        let restarted = member.incarnation > known.member.incarnation;
        let fresh = restarted || known.heard.is_none() || member.address != known.member.address;
        known.said = if restarted {
            member.state
        } else {
            known.said.max(member.state)
        };
        let policy = if restarted {
            member.policy
        } else {
            known.member.policy.max(member.policy)
        };
        let state = if fresh { MemberState::Dead } else { known.member.state };
        known.member = Member {
            state,
            policy,
            ..member
        };
        known.heard = Some(now);
        known.next = known.next.min(now + HEARTBEAT_INTERVAL);
        self.refresh(now, &name, actions);
        true
    }

    /// Takes note of a member that another daemon told of. Only its own heartbeats show that it lives.
    fn learn(&mut self, now: Millis, member: Member, actions: &mut Vec<MemberAction>) {
        if member.name == self.me.name {
            // The clock that gave this incarnation was behind: the others would ignore it as a former one.
            if member.incarnation > self.me.incarnation {
                self.me.incarnation = Incarnation(member.incarnation.0.saturating_add(1));
            }
            return;
        }
        let full = self.daemons.len() >= MAX_DAEMONS;
        match self.daemons.get_mut(&member.name) {
            None if !full => {
                self.daemons.insert(member.name.clone(), Known::new(now, &member));
            }
            None => {}
            Some(known) if known.heard.is_none() && known.member.incarnation < member.incarnation => {
                known.member = Member {
                    state: MemberState::Dead,
                    ..member
                };
            }
            Some(known) if known.member.incarnation == member.incarnation && member.state == MemberState::Leaving => {
                known.said = known.said.max(MemberState::Leaving);
                self.refresh(now, &member.name, actions);
            }
            Some(_) => {}
        }
    }

    fn lead(&mut self, now: Millis, leader: Leader, actions: &mut Vec<MemberAction>) {
        let newer = match self.leaders.get(&leader.region) {
            Some((known, _)) => leader.term > known.term,
            None => self.leaders.len() < MAX_REGIONS,
        };
        if newer {
            self.leaders.insert(leader.region.clone(), (leader.clone(), now));
            actions.push(MemberAction::Leader(leader));
        }
    }

    /// Brings the state of a daemon up to now.
    fn refresh(&mut self, now: Millis, name: &DaemonName, actions: &mut Vec<MemberAction>) {
        let Some(known) = self.daemons.get_mut(name) else {
            return;
        };
        let listed = self.listed.get(name).map(|(_, state)| *state);
        let silent = known.heard.is_none_or(|heard| now.since(heard) > DETECTION_TIME);
        let state = if silent || known.said == MemberState::Dead {
            MemberState::Dead
        } else if known.said == MemberState::Leaving || listed == Some(MemberState::Leaving) {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        if known.member.state != state {
            known.member.state = state;
            known.changed = now;
            actions.push(MemberAction::Daemon(known.member.clone()));
        }
    }

    fn list(&mut self, now: Millis, vms: Vec<Vm>, actions: &mut Vec<MemberAction>) {
        let (daemons, workers): (Vec<Vm>, Vec<Vm>) = vms.into_iter().partition(|vm| vm.role == VmRole::Daemon);
        let present = daemons.into_iter().filter(|vm| vm.state != MemberState::Dead);
        self.listed = present
            .map(|vm| (DaemonName::from(vm.name), (vm.address, vm.state)))
            .collect();
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        names.iter().for_each(|name| self.refresh(now, name, actions));

        let workers: BTreeMap<String, Vm> = workers.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
        let absent = self.workers.keys().filter(|name| !workers.contains_key(*name)).cloned();
        // One incomplete list must not make the scheduler give up running work: two lists in a row count.
        let missing: BTreeSet<String> = absent.collect();
        for name in missing.intersection(&self.missing) {
            if let Some(vm) = self.workers.remove(name) {
                actions.push(MemberAction::Worker(Vm {
                    state: MemberState::Dead,
                    ..vm
                }));
            }
        }
        self.missing = missing;
        for (name, vm) in workers {
            if self.workers.get(&name) != Some(&vm) {
                actions.push(MemberAction::Worker(vm.clone()));
                self.workers.insert(name, vm);
            }
        }
    }

    /// Changes the own state and tells all daemons at once.
    fn say(&mut self, now: Millis, state: MemberState, actions: &mut Vec<MemberAction>) {
        self.me.state = self.me.state.max(state);
        let live = self
            .daemons
            .values_mut()
            .filter(|known| known.member.state != MemberState::Dead);
        live.for_each(|known| known.next = now);
        self.send(now, actions);
    }
}

impl Known {
    fn new(now: Millis, member: &Member) -> Self {
        Self {
            member: Member {
                state: MemberState::Dead,
                ..member.clone()
            },
            said: MemberState::Live,
            heard: None,
            added: now,
            changed: now,
            next: now,
        }
    }
}

/// The one whose turn it is, if any, and the new ones.
fn pick<'a, T>(all: &[&'a T], turn: Option<usize>, is_new: impl Fn(&T) -> bool) -> Vec<&'a T> {
    let next = turn.and_then(|turn| all.get(turn % all.len().max(1)).copied());
    let others = all
        .iter()
        .copied()
        .filter(|item| is_new(item) && !next.is_some_and(|next| std::ptr::eq(next, *item)));
    next.into_iter().chain(others).collect()
}
