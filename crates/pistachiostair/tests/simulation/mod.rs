//! Simulated daemons that exchange heartbeats over a network with varying delay and loss.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use pistachiostair::{
    DaemonName, DomainName, Heartbeat, Incarnation, Member, MemberAction, MemberEvent, MemberState, Membership, Millis,
    RegionName, Revision, Vm, VmRole,
};

const TICK: u64 = 100;
/// How long the platform's list lags.
const LIST_LAG: u64 = 30_000;

pub(crate) fn member(number: usize, incarnation: u64) -> Member {
    Member {
        name: DaemonName::from(format!("d{number}")),
        incarnation: Incarnation(incarnation),
        address: number.to_string(),
        region: RegionName::from("fi"),
        domain: DomainName::from("a"),
        state: MemberState::Live,
        policy: Revision(0),
    }
}

pub(crate) fn vm(number: usize, state: MemberState) -> Vm {
    Vm {
        name: format!("d{number}"),
        role: VmRole::Daemon,
        address: number.to_string(),
        state,
        region: None,
    }
}

struct Message {
    from: usize,
    to: usize,
    asks: bool,
    heartbeat: Box<Heartbeat>,
}

/// What a simulation counts.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Directed pairs of running daemons times seconds.
    pub(crate) intervals: u64,
    /// Running daemons that another one found dead.
    pub(crate) false_deaths: u64,
    /// Silences between heartbeats of a running daemon, by whole seconds.
    pub(crate) silences: BTreeMap<u64, u64>,
    /// Milliseconds from the crash of a daemon until another one found it dead.
    pub(crate) detections: Vec<u64>,
}

pub(crate) struct Simulation {
    daemons: Vec<Option<Membership>>,
    phases: Vec<u64>,
    crashed: Vec<Option<u64>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, Message>,
    heard: BTreeMap<(usize, usize), u64>,
    rng: fastrand::Rng,
    loss: f64,
    sent: u64,
    now: u64,
    pub(crate) counts: Counts,
}

impl Simulation {
    /// Daemons that know each other from the platform's list, `loss` of whose messages are lost.
    pub(crate) fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let vms: Vec<Vm> = (0..count).map(|number| vm(number, MemberState::Live)).collect();
        let daemon = |number| {
            let mut membership = Membership::new(member(number, 1));
            membership.on(Millis(0), MemberEvent::Listed(vms.clone()));
            Some(membership)
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            phases: (0..count).map(|_| rng.u64(0..TICK)).collect(),
            crashed: vec![None; count],
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            heard: BTreeMap::new(),
            rng,
            loss,
            sent: 0,
            now: 0,
            counts: Counts::default(),
        }
    }

    /// Runs until `end`, in milliseconds.
    pub(crate) fn run(&mut self, end: u64) {
        while self.now < end {
            while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|top| top.0.0 <= self.now) {
                self.queue.pop();
                self.deliver(at, id);
            }
            for number in 0..self.daemons.len() {
                if self.now % TICK == self.phases[number] {
                    self.event(number, None, MemberEvent::Tick);
                }
            }
            if self.now.is_multiple_of(1_000) {
                let up = self.daemons.iter().flatten().count() as u64;
                self.counts.intervals += up * (up - 1);
                self.list();
            }
            self.now += 1;
        }
    }

    /// Ends a daemon without a word.
    pub(crate) fn crash(&mut self, number: usize) {
        self.daemons[number] = None;
        self.crashed[number] = Some(self.now);
    }

    /// Starts a daemon again, at the same address.
    pub(crate) fn restart(&mut self, number: usize, incarnation: u64) {
        let mut membership = Membership::new(member(number, incarnation));
        membership.on(
            Millis(self.now),
            MemberEvent::Seeds(vec!["0".to_owned(), "1".to_owned()]),
        );
        self.daemons[number] = Some(membership);
        self.crashed[number] = None;
    }

    /// The daemon, if it runs.
    pub(crate) fn daemon(&self, number: usize) -> Option<&Membership> {
        self.daemons[number].as_ref()
    }

    fn list(&mut self) {
        let gone = |at: &Option<u64>| at.is_some_and(|at| self.now >= at + LIST_LAG);
        let present = self.crashed.iter().enumerate().filter(|(_, at)| !gone(at));
        let vms: Vec<Vm> = present.map(|(number, _)| vm(number, MemberState::Live)).collect();
        for number in 0..self.daemons.len() {
            self.event(number, None, MemberEvent::Listed(vms.clone()));
        }
    }

    fn event(&mut self, number: usize, asker: Option<usize>, event: MemberEvent) {
        let Some(daemon) = &mut self.daemons[number] else {
            return;
        };
        for action in daemon.on(Millis(self.now), event) {
            match action {
                MemberAction::Send { address, heartbeat } => {
                    self.send(number, address.parse().unwrap(), true, heartbeat);
                }
                MemberAction::Respond(heartbeat) => self.send(number, asker.unwrap(), false, heartbeat),
                MemberAction::Daemon(member) if member.state == MemberState::Dead => self.count_death(&member),
                _ => {}
            }
        }
    }

    fn count_death(&mut self, member: &Member) {
        let number: usize = member.address.parse().unwrap();
        match self.crashed[number] {
            Some(at) => self.counts.detections.push(self.now - at),
            None => self.counts.false_deaths += 1,
        }
    }

    fn send(&mut self, from: usize, to: usize, asks: bool, heartbeat: Box<Heartbeat>) {
        if self.rng.f64() < self.loss {
            return;
        }
        self.sent += 1;
        self.queue.push(Reverse((self.now + self.rng.u64(5..=50), self.sent)));
        self.messages.insert(
            self.sent,
            Message {
                from,
                to,
                asks,
                heartbeat,
            },
        );
    }

    fn deliver(&mut self, at: u64, id: u64) {
        let Message {
            from,
            to,
            asks,
            heartbeat,
        } = self.messages.remove(&id).unwrap();
        if self.daemons[from].is_some()
            && let Some(last) = self.heard.insert((to, from), at)
        {
            *self.counts.silences.entry((at - last) / 1_000).or_default() += 1;
        }
        if asks {
            self.event(to, Some(from), MemberEvent::Asked(heartbeat));
        } else {
            self.event(to, None, MemberEvent::Answered(heartbeat));
        }
    }
}
