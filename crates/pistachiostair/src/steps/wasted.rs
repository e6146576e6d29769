//! Accounts of wasted work: core-seconds of runs that ended before their task was done, as far as no checkpoint saved
//! them, by root cause and by account.
//!
//! A member of a gang whose end has no cause of its own ([`RunStopReason::GangBroken`]) takes that of its gang. Workers
//! may list such an end before the one that caused it, so that it is kept open for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::steps::outcome::RunOutcome;
use crate::steps::queue::StepKey;

/// Time between two reports in the log.
const REPORT_INTERVAL: Millis = Millis(60_000);

/// Time for which a gang is remembered after its first end: the longest lease, after which all members have ended.
const GANG_SPAN: Millis = Millis(12_000);

/// Most accounts with totals of their own; the system is designed for 34 teams. The others count together.
const MAX_ACCOUNTS: usize = 64;

/// Name under which accounts beyond [`MAX_ACCOUNTS`] are counted.
const OTHER_ACCOUNTS: &str = "(others)";

#[cfg(test)]
mod tests;

/// Why a run is stopped or ends before its task is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RunStopReason {
    JobEnded,
    /// A member of the gang ended, and why is not known, as under an earlier scheduler.
    GangBroken,
    MemberFailed,
    MemberPreempted,
    MemberLeaves,
    /// A member of the gang was not started, since its order was refused.
    MemberRefused,
    /// Preempted in favour of a step that waits.
    Reclaimed,
    /// The worker drains and leaves before the run would end.
    WorkerLeaves,
    /// Whether the order to start was carried out is not known.
    Unanswered,
    /// The run is much slower than others of its step.
    Straggler,
    WorkerLost,
    LeaseLapsed,
    /// The other members of the gang did not start in time.
    RanAlone,
    /// The worker has stopped or no longer has the run, and why is not known.
    Unknown,
}

impl RunStopReason {
    /// Text for the log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::JobEnded => "the job has ended",
            Self::GangBroken => "another member of its gang ended or did not start",
            Self::MemberFailed => "a member of its gang failed",
            Self::MemberPreempted => "a member of its gang was preempted by a step that waits for its capacity",
            Self::MemberLeaves => "the worker of a member of its gang drains and leaves before the gang would end",
            Self::MemberRefused => "a member of its gang was not started",
            Self::Reclaimed => "preempted by a step that waits for its capacity",
            Self::WorkerLeaves => "the worker drains and leaves before the run would end",
            Self::Unanswered => "no certain answer to the order to start",
            Self::Straggler => "it is much slower than others of its step",
            Self::WorkerLost => "a worker was lost",
            Self::LeaseLapsed => "the lease of the run lapsed",
            Self::RanAlone => "members of its gang did not start in time",
            Self::Unknown => "stopped for a cause that is not known here",
        }
    }

    /// Label of the cause in metrics and reports.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::JobEnded => "job_ended",
            Self::GangBroken => "gang_broken",
            Self::MemberFailed => "member_failed",
            Self::MemberPreempted => "member_preempted",
            Self::MemberLeaves => "member_drained",
            Self::MemberRefused => "member_refused",
            Self::Reclaimed => "preempted",
            Self::WorkerLeaves => "drained",
            Self::Unanswered => "start_unanswered",
            Self::Straggler => "straggler_moved",
            Self::WorkerLost => "worker_lost",
            Self::LeaseLapsed => "lease_lapsed",
            Self::RanAlone => "ran_alone",
            Self::Unknown => "unknown",
        }
    }

    /// The cause for the other members of the gang of a run that ends for this one.
    pub(crate) fn for_members(self) -> Self {
        match self {
            Self::Reclaimed => Self::MemberPreempted,
            Self::WorkerLeaves => Self::MemberLeaves,
            Self::Unknown => Self::GangBroken,
            other => other,
        }
    }

    /// The cause of an end that the scheduler did not order, for the other members of the gang if it is a member's.
    /// `begun` tells whether the worker had confirmed the run, `leaves` whether it drains, so that its end is expected.
    pub(crate) fn of_outcome(outcome: RunOutcome, begun: bool, leaves: bool) -> Self {
        match outcome {
            RunOutcome::Done | RunOutcome::Failed => Self::MemberFailed,
            RunOutcome::Broken => Self::GangBroken,
            RunOutcome::Alone => Self::RanAlone,
            RunOutcome::Refused if begun => Self::Unknown,
            RunOutcome::Refused => Self::MemberRefused,
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Lost if leaves => Self::WorkerLeaves,
            RunOutcome::Stopped => Self::Unknown,
            RunOutcome::Lapsed => Self::LeaseLapsed,
            RunOutcome::Lost => Self::WorkerLost,
        }
    }
}

/// A gang's run: its step and the number of the run.
pub(crate) type GangRun = (StepKey, u32);

/// Work that was wasted for a cause, of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Waste {
    pub(crate) cause: RunStopReason,
    pub(crate) account: AccountName,
    pub(crate) core_millis: u64,
}

/// Gangs of which a member has ended.
#[derive(Clone, Debug)]
struct BrokenGang {
    since: Millis,
    /// Why it ended; none while that is not known.
    root: Option<RunStopReason>,
    /// Work of members that waits for that.
    open: Vec<(AccountName, u64)>,
}

/// Totals of wasted work, in core-milliseconds.
#[derive(Clone, Debug, Default)]
struct Totals {
    causes: BTreeMap<RunStopReason, u64>,
    accounts: BTreeMap<AccountName, u64>,
}

impl Totals {
    fn add(&mut self, waste: &Waste) {
        add(&mut self.causes, waste.cause, waste.core_millis);
        add(&mut self.accounts, waste.account.clone(), waste.core_millis);
    }

    fn sum(&self) -> u64 {
        self.causes.values().copied().fold(0, u64::saturating_add)
    }
}

fn add<K: Ord>(totals: &mut BTreeMap<K, u64>, key: K, amount: u64) {
    let total = totals.entry(key).or_default();
    *total = total.saturating_add(amount);
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} core-s", self.sum() / 1_000)?;
        for (cause, amount) in &self.causes {
            write!(f, ", {} {}", cause.label(), amount / 1_000)?;
        }
        f.write_str("; accounts:")?;
        for (account, amount) in &self.accounts {
            write!(f, " {account} {}", amount / 1_000)?;
        }
        Ok(())
    }
}

/// Wasted work of one term.
#[derive(Clone, Debug, Default)]
pub(crate) struct WastedWork {
    gangs: BTreeMap<GangRun, BrokenGang>,
    term: Totals,
    /// Since the last report.
    recent: Totals,
    /// Accounts with totals of their own.
    accounts: BTreeSet<AccountName>,
    reported_at: Option<Millis>,
    /// Work whose cause is known and that the owner has not yet taken for the metrics.
    counted: Vec<Waste>,
}

impl WastedWork {
    /// Takes note of why a gang ends; the first cause that is known counts.
    pub(crate) fn note_gang(&mut self, now: Millis, gang: GangRun, cause: RunStopReason) {
        let entry = self.gangs.entry(gang).or_insert(BrokenGang {
            since: now,
            root: None,
            open: Vec::new(),
        });
        if entry.root.is_some() || cause.for_members() == RunStopReason::GangBroken {
            return;
        }
        let cause = cause.for_members();
        entry.root = Some(cause);
        for (account, core_millis) in std::mem::take(&mut entry.open) {
            self.count(cause, account, core_millis);
        }
    }

    /// Adds the work that the end of a run loses, in core-milliseconds. `gang` is its gang, if it is a member of one.
    pub(crate) fn add(
        &mut self,
        now: Millis,
        gang: Option<GangRun>,
        (cause, account): (RunStopReason, &AccountName),
        core_millis: u64,
    ) {
        if core_millis == 0 {
            return;
        }
        let Some(gang) = gang.filter(|_| cause == RunStopReason::GangBroken) else {
            return self.count(cause, account.clone(), core_millis);
        };
        self.note_gang(now, gang, cause);
        let Some(entry) = self.gangs.get_mut(&gang) else { return };
        match entry.root {
            Some(root) => self.count(root, account.clone(), core_millis),
            None => entry.open.push((account.clone(), core_millis)),
        }
    }

    fn count(&mut self, cause: RunStopReason, account: AccountName, core_millis: u64) {
        let known = self.accounts.contains(&account) || self.accounts.len() < MAX_ACCOUNTS;
        let account = match known {
            true => account,
            false => AccountName::from(OTHER_ACCOUNTS),
        };
        if known {
            self.accounts.insert(account.clone());
        }
        let waste = Waste {
            cause,
            account,
            core_millis,
        };
        self.term.add(&waste);
        self.recent.add(&waste);
        self.counted.push(waste);
    }

    /// Forgets gangs whose members have all ended for certain. Work whose cause is still not known counts as that of
    /// broken gangs.
    fn forget_gangs(&mut self, now: Option<Millis>) {
        let old = |gang: &BrokenGang| now.is_none_or(|now| now.since(gang.since) >= GANG_SPAN);
        let keys: Vec<GangRun> = self
            .gangs
            .iter()
            .filter(|(_, gang)| old(gang))
            .map(|(key, _)| *key)
            .collect();
        let ended: Vec<BrokenGang> = keys.iter().filter_map(|key| self.gangs.remove(key)).collect();
        for gang in ended {
            for (account, core_millis) in gang.open {
                self.count(RunStopReason::GangBroken, account, core_millis);
            }
        }
    }

    /// Work whose cause became known since the last call.
    pub(crate) fn take_counted(&mut self) -> Vec<Waste> {
        std::mem::take(&mut self.counted)
    }

    /// Called on each tick. Returns the report for the log once a minute, if work was wasted since the last one.
    pub(crate) fn tick(&mut self, now: Millis) -> Option<String> {
        self.forget_gangs(Some(now));
        let since = *self.reported_at.get_or_insert(now);
        if now.since(since) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = Some(now);
        let recent = std::mem::take(&mut self.recent);
        let span = now.since(since);
        (recent.sum() > 0).then(|| format!("in {span}: {recent}; in this term: {}", self.term))
    }

    /// The report at the end of the term; none if no work was wasted.
    pub(crate) fn finish(&mut self) -> Option<String> {
        self.forget_gangs(None);
        (self.term.sum() > 0).then(|| format!("the term has ended; in this term: {}", self.term))
    }
}
