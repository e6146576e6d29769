//! A simulated region whose daemons elect their scheduler.

use std::collections::{BTreeMap, BTreeSet};

use pistachiostair::{
    Capacity, Commit, Election, ElectionAction, ElectionEvent, ElectionTimes, Followers, Incarnation, Millis, Term,
};
use standin::Tables;

/// Lease times of a daemon for jobs made of steps.
pub(crate) const TIMES: ElectionTimes = ElectionTimes {
    ttl: Millis(1_200),
    renew_interval: Millis(300),
    margin: Millis(150),
    poll_interval: Millis(300),
    poll_holdoff: Millis(500),
};

/// Time between two probes of the holder by a daemon.
const PROBE_INTERVAL: u64 = 300;

/// Time after which a holder tells the daemons that probe it their ranks.
const RANKING_DELAY: u64 = 1_000;

/// Time between the claims of two daemons for a released lease.
const CLAIM_INTERVAL: u64 = 60;

/// Resources of the machines that run the scheduler of a large region.
pub(crate) const STRONG: Capacity = Capacity {
    millicores: 500,
    link_kbps: 200_000,
    memory_mb: 512,
};

/// Resources of machines that can't.
pub(crate) const WEAK: Capacity = Capacity {
    millicores: 120,
    link_kbps: 10_000,
    memory_mb: 160,
};

/// Time after its election until a daemon that can't serve gives the lease up.
const YIELD_AFTER: u64 = 2_000;

/// A daemon's number, and how many processes it had before this one.
type Process = (usize, usize);

#[derive(Clone, Debug)]
enum Delivery {
    /// A request, sent at this time on its clock, reaches the table service.
    Request(Process, Millis, ElectionAction),
    /// An answer reaches the process; lost if another one runs by then.
    Answer(Process, ElectionEvent),
}

/// A simulated region. All times are in milliseconds.
pub(crate) struct Region {
    pub(crate) now: u64,
    tables: Tables,
    pub(crate) elections: Vec<Election>,
    /// How far each daemon's clock is ahead of `now`.
    offsets: Vec<u64>,
    /// Until when each daemon is paused.
    pub(crate) paused_until: Vec<u64>,
    /// Until when the table service does not answer.
    pub(crate) down_until: u64,
    /// How many of the next transactions take effect, but lose their answers.
    pub(crate) lost_answers: u32,
    /// Whether each daemon was last told that its lease is valid.
    pub(crate) lease_valid: Vec<bool>,
    /// Terms of all elections so far.
    pub(crate) terms: Vec<Term>,
    /// Messages in flight, by the time of their arrival and a running number.
    queue: BTreeMap<(u64, u64), Delivery>,
    next: u64,
    /// Delays of messages, used in turn.
    delays: Vec<u64>,
    pub(crate) resigned: Vec<bool>,
    /// Whether daemons become candidates again after they resigned.
    pub(crate) restart: bool,
    /// After which a request to the table service fails while that does not answer.
    timeout: u64,
    /// How often each daemon's process was restarted.
    restarts: Vec<usize>,
    /// Resources of each daemon.
    capacities: Vec<Capacity>,
    /// Whether daemons probe the holder and know their ranks.
    ranked: bool,
    /// Until when each daemon is cut off from the table service.
    pub(crate) cut_until: Vec<u64>,
    /// Daemons that give the lease up at once when they are elected.
    pub(crate) unable: BTreeSet<usize>,
    /// Which probes are lost, used in turn.
    pub(crate) lost_probes: Vec<bool>,
    followers: Vec<Followers>,
    /// Holder and the time since which it is seen to hold the lease.
    leading: Option<(usize, u64)>,
    /// Who was elected when, in order.
    pub(crate) elected: Vec<(u64, usize)>,
}

impl Region {
    pub(crate) fn new(count: usize, delays: Vec<u64>) -> Self {
        let election = |index: usize| {
            let name = format!("d{index}");
            Election::new(
                "fi".into(),
                name.as_str().into(),
                Incarnation(index as u64),
                "10.0.0.1:1",
            )
        };
        Self {
            now: 0,
            tables: Tables::default(),
            elections: (0..count).map(election).collect(),
            offsets: (0..count as u64).map(|index| index * 1_000_000).collect(),
            paused_until: vec![0; count],
            down_until: 0,
            lost_answers: 0,
            lease_valid: vec![false; count],
            terms: Vec::new(),
            queue: BTreeMap::new(),
            next: 0,
            delays,
            resigned: vec![false; count],
            restart: false,
            timeout: 1_000,
            restarts: vec![0; count],
            capacities: vec![STRONG; count],
            ranked: false,
            cut_until: vec![0; count],
            unable: BTreeSet::new(),
            lost_probes: vec![false],
            followers: vec![Followers::default(); count],
            leading: None,
            elected: Vec::new(),
        }
    }

    /// A region whose daemons have these resources, probe the holder, and stay candidates after they gave the lease up.
    pub(crate) fn ranked(capacities: Vec<Capacity>, delays: Vec<u64>) -> Self {
        let mut region = Self::new(capacities.len(), delays);
        region.capacities = capacities;
        region.ranked = true;
        region.restart = true;
        region.timeout = 250;
        for index in 0..region.elections.len() {
            region.start(index);
        }
        region
    }

    /// Starts a daemon's process, for the first time or again, which learns its rank from the rows of all daemons.
    pub(crate) fn start(&mut self, index: usize) {
        let name = format!("d{index}");
        let incarnation = Incarnation(self.now + index as u64 + 1);
        let election = Election::new("fi".into(), name.as_str().into(), incarnation, "10.0.0.1:1");
        self.elections[index] = election.with_times(TIMES).unranked();
        self.followers[index] = Followers::default();
        self.lease_valid[index] = false;
        self.paused_until[index] = 0;
        self.restarts[index] += 1;
        let own = self.capacities[index];
        let rank = self.capacities.iter().filter(|other| other.is_stronger(&own)).count() as u32;
        let delay = 2 * self.delay();
        self.deliver_after(
            delay,
            Delivery::Answer(self.process(index), ElectionEvent::Ranked { rank }),
        );
    }

    fn process(&self, index: usize) -> Process {
        (index, self.restarts[index])
    }

    fn clock(&self, index: usize) -> Millis {
        Millis(self.now + self.offsets[index])
    }

    /// Lets a daemon probe the holder, or hand the lease over if it is the holder.
    fn probe(&mut self, index: usize) {
        let Some(holder) = self.holder().filter(|holder| self.paused_until[*holder] <= self.now) else {
            self.leading = None;
            return;
        };
        if self.leading.is_none_or(|(leading, _)| leading != holder) {
            self.leading = Some((holder, self.now));
        }
        let clock = self.clock(holder);
        if index == holder {
            let to = self.followers[holder]
                .replacement(clock, &self.capacities[holder])
                .cloned();
            if let Some(to) = to {
                self.feed(holder, ElectionEvent::HandOver { to });
            }
            return;
        }
        self.next += 1;
        if self.lost_probes[self.next as usize % self.lost_probes.len()] {
            return;
        }
        let able = self.cut_until[index] <= self.now && !self.elections[index].is_penalized(self.clock(index));
        let name = format!("d{index}").as_str().into();
        self.followers[holder].record(clock, &name, index.to_string(), able.then_some(self.capacities[index]));
        let settled = self.leading.is_some_and(|(_, since)| self.now >= since + RANKING_DELAY);
        let rank = settled.then(|| self.followers[holder].rank(clock, &name)).flatten();
        if let Some((version, until)) = self.elections[holder].valid_lease(clock) {
            let remaining = until.since(clock);
            self.feed(
                index,
                ElectionEvent::HolderAnswered {
                    version,
                    remaining,
                    rank,
                },
            );
        }
    }

    /// Tells the followers of a daemon that it released the lease.
    fn announce_release(&mut self, index: usize) {
        let followers = self.followers[index].clone();
        for (place, address) in (0..).zip(followers.succession(self.clock(index))) {
            let to: usize = address.parse().expect("number of a daemon");
            let pause = Millis(CLAIM_INTERVAL * place);
            if self.paused_until[to] <= self.now {
                self.feed(to, ElectionEvent::Released { pause });
            }
        }
    }

    /// Ends all faults and delays from now on.
    pub(crate) fn settle(&mut self) {
        self.paused_until.fill(0);
        self.cut_until.fill(0);
        self.down_until = 0;
        self.lost_answers = 0;
        self.lost_probes = vec![false];
        self.delays = vec![3];
    }

    /// Whether a daemon has the most resources of all.
    pub(crate) fn is_strong(&self, index: usize) -> bool {
        !self
            .capacities
            .iter()
            .any(|other| other.is_stronger(&self.capacities[index]))
    }

    fn deliver_after(&mut self, delay: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }

    fn delay(&mut self) -> u64 {
        self.next += 1;
        self.delays[self.next as usize % self.delays.len()]
    }

    pub(crate) fn feed(&mut self, index: usize, event: ElectionEvent) {
        let clock = Millis(self.now + self.offsets[index]);
        for action in self.elections[index].on(clock, event) {
            match action {
                ElectionAction::Elected { term, .. } => {
                    self.terms.push(term);
                    self.elected.push((self.now, index));
                    if self.unable.contains(&index) {
                        self.deliver_after(YIELD_AFTER, Delivery::Answer(self.process(index), ElectionEvent::Yield));
                    }
                }
                ElectionAction::LeaseValid { until } => self.lease_valid[index] = clock < until,
                ElectionAction::Deposed => self.lease_valid[index] = false,
                ElectionAction::Resigned => {
                    if self.ranked {
                        self.announce_release(index);
                    }
                    match self.restart {
                        true => self.elections[index].restart(clock),
                        false => self.resigned[index] = true,
                    }
                }
                ElectionAction::ClaimDelayed { .. } | ElectionAction::HandingOver { .. } => {}
                action => {
                    let delay = self.delay();
                    self.deliver_after(delay, Delivery::Request(self.process(index), clock, action));
                }
            }
        }
    }

    /// Carries out a request at the table service and sends the answer.
    fn serve(&mut self, process: Process, sent: Millis, action: ElectionAction) {
        let down = self.down_until.max(self.cut_until[process.0]) > self.now;
        let (event, delay) = match action {
            ElectionAction::Read { .. } if down => (ElectionEvent::ReadFailed, self.timeout),
            ElectionAction::Commit(_) if down => (ElectionEvent::Unknown, self.timeout),
            ElectionAction::Read { lease, term } => {
                let (lease, term) = (self.tables.get(&lease), self.tables.get(&term));
                (ElectionEvent::Read { sent, lease, term }, self.delay())
            }
            ElectionAction::Commit(transaction) => {
                let event = match self.tables.commit(&transaction) {
                    Commit::Done { version } => ElectionEvent::Committed { sent, version },
                    Commit::Conflict { .. } => ElectionEvent::Conflict,
                };
                if self.lost_answers > 0 {
                    self.lost_answers -= 1;
                    (ElectionEvent::Unknown, self.timeout)
                } else {
                    (event, self.delay())
                }
            }
            _ => return,
        };
        self.deliver_after(delay, Delivery::Answer(process, event));
    }

    /// Runs the simulation until `until`. Fails if two daemons hold a valid lease at the same time, or were elected
    /// under the same term.
    pub(crate) fn run(&mut self, until: u64) -> Result<(), String> {
        while self.now < until {
            self.now += 10;
            while let Some((&key, _)) = self.queue.first_key_value()
                && key.0 <= self.now
            {
                match self.queue.remove(&key) {
                    Some(Delivery::Request(process, sent, action)) => self.serve(process, sent, action),
                    Some(Delivery::Answer(process, _)) if process != self.process(process.0) => {}
                    Some(Delivery::Answer(process @ (index, _), event)) if self.paused_until[index] > self.now => {
                        let span = self.paused_until[index] - self.now;
                        self.deliver_after(span, Delivery::Answer(process, event));
                    }
                    Some(Delivery::Answer((index, _), event)) => self.feed(index, event),
                    None => {}
                }
            }
            for index in 0..self.elections.len() {
                if self.now.is_multiple_of(100) && self.paused_until[index] <= self.now {
                    self.feed(index, ElectionEvent::Tick);
                }
                let turn = (self.now + 70 * index as u64).is_multiple_of(PROBE_INTERVAL);
                if self.ranked && turn && self.paused_until[index] <= self.now {
                    self.probe(index);
                }
            }
            let holders = (0..self.elections.len())
                .filter(|index| self.elections[*index].is_leader(Millis(self.now + self.offsets[*index])))
                .count();
            if holders > 1 {
                return Err(format!("{holders} holders at {}", self.now));
            }
        }
        // A daemon may learn of its election only after the next one was elected, so terms may be out of order; but no
        // two elections may have the same term.
        let distinct: BTreeSet<Term> = self.terms.iter().copied().collect();
        match distinct.len() == self.terms.len() {
            true => Ok(()),
            false => Err(format!("terms {:?}", self.terms)),
        }
    }

    pub(crate) fn holder(&self) -> Option<usize> {
        (0..self.elections.len())
            .find(|index| self.elections[*index].is_leader(Millis(self.now + self.offsets[*index])))
    }
}
