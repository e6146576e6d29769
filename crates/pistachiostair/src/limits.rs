//! Admission of requests per client account: rate, outstanding work, and a fair part of the daemon's total.
//!
//! Half of the total is divided among the tracked accounts by weight; an account within its part is
//! admitted whatever the others do. The other half goes to whoever asks first. While less than a quarter of
//! it is left, an account gets no more of it than its weight among the accounts that have used up their part.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::ids::AccountName;
use crate::message::Failure;

/// The most accounts tracked; the design has 34 teams.
pub const MAX_ACCOUNTS: usize = 1_024;
/// Span whose requests an account may send at once.
const BURST: Millis = Millis(1_000);
/// Retry time of a refusal that ends when another request ends.
const BUSY_RETRY: Millis = Millis(200);

/// Limits of one client account in one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Cost admitted per second.
    pub rate: u32,
    /// Cost in progress at once.
    pub outstanding: u32,
    /// Weight of its part of the total.
    pub weight: u32,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The account's rate.
    Rate,
    /// The account's outstanding work.
    Outstanding,
    /// The total of all accounts.
    Total,
    /// The number of accounts.
    Accounts,
}

/// A request that was not admitted. Nothing of it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Client account.
    pub account: AccountName,
    /// The limit that was reached.
    pub reason: RefusalReason,
    /// Time after which a new try makes sense.
    pub retry: Millis,
}

impl From<&Refusal> for Failure {
    fn from(refusal: &Refusal) -> Self {
        let account = &refusal.account;
        let message = match refusal.reason {
            RefusalReason::Rate => format!("account {account} sends requests faster than its rate allows"),
            RefusalReason::Outstanding => format!("account {account} has too many requests in progress"),
            RefusalReason::Total => format!("too many requests are in progress for account {account} to get more"),
            RefusalReason::Accounts => "too many accounts send requests".to_owned(),
        };
        Self {
            kind: ErrorKind::Limited,
            message,
            ran: Ran::No,
            retry: Some(refusal.retry.0),
        }
    }
}

/// An admitted request, given back with [`Admission::release`] when it ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    account: AccountName,
    cost: u32,
}

#[derive(Debug)]
struct Usage {
    limits: AccountLimits,
    /// Limits were given for this account, rather than taken from the defaults.
    named: bool,
    used: u64,
    /// Thousandths of cost that may be admitted now.
    tokens: u64,
    filled: Millis,
}

/// Admission of requests in one daemon.
#[derive(Debug)]
pub struct Admission {
    total: u64,
    defaults: AccountLimits,
    accounts: BTreeMap<AccountName, Usage>,
    used: u64,
}

impl Admission {
    /// Admits up to `total` cost in progress, and accounts without limits of their own by `defaults`.
    pub fn new(total: u32, defaults: AccountLimits) -> Self {
        Self {
            total: u64::from(total),
            defaults,
            accounts: BTreeMap::new(),
            used: 0,
        }
    }

    /// Changes the total and the defaults. What is in progress stays.
    pub fn configure(&mut self, total: u32, defaults: AccountLimits) {
        self.total = u64::from(total);
        self.defaults = defaults;
        let unnamed = self.accounts.values_mut().filter(|usage| !usage.named);
        unnamed.for_each(|usage| usage.limits = defaults);
    }

    /// Gives an account limits of its own, or the defaults again.
    pub fn set_limits(&mut self, now: Millis, account: &AccountName, limits: Option<AccountLimits>) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.limits = limits.unwrap_or(self.defaults);
            usage.named = limits.is_some();
        } else if let Some(limits) = limits {
            self.accounts.insert(account.clone(), Usage::new(now, limits, true));
        }
    }

    /// Admits a request of an account with a cost, 1 for a plain one.
    ///
    /// # Errors
    ///
    /// The limit that was reached, and when to try again.
    pub fn admit(&mut self, now: Millis, account: &AccountName, cost: u32) -> Result<Permit, Refusal> {
        let refuse = |reason, retry| Refusal {
            account: account.clone(),
            reason,
            retry,
        };
        if !self.track(now, account) {
            return Err(refuse(RefusalReason::Accounts, BUSY_RETRY));
        }
        if !self.has_room(account, u64::from(cost)) {
            return Err(refuse(RefusalReason::Total, BUSY_RETRY));
        }
        let usage = self.accounts.get_mut(account).expect("the account is tracked");
        if usage.used + u64::from(cost) > u64::from(usage.limits.outstanding) {
            return Err(refuse(RefusalReason::Outstanding, BUSY_RETRY));
        }
        usage
            .take(now, cost)
            .map_err(|retry| refuse(RefusalReason::Rate, retry))?;
        usage.used += u64::from(cost);
        self.used += u64::from(cost);
        Ok(Permit {
            account: account.clone(),
            cost,
        })
    }

    /// Takes a permit back.
    pub fn release(&mut self, permit: Permit) {
        self.used -= u64::from(permit.cost);
        if let Some(usage) = self.accounts.get_mut(&permit.account) {
            usage.used -= u64::from(permit.cost);
        }
    }

    /// Cost in progress of all accounts.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Number of accounts tracked.
    pub fn tracked_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Makes a place for the account; idle ones without limits of their own give up theirs.
    fn track(&mut self, now: Millis, account: &AccountName) -> bool {
        if self.accounts.contains_key(account) {
            return true;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, usage| usage.named || !usage.is_idle(now));
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            return false;
        }
        self.accounts
            .insert(account.clone(), Usage::new(now, self.defaults, false));
        true
    }

    /// Whether the total has room for more of the account.
    fn has_room(&self, account: &AccountName, cost: u64) -> bool {
        if self.used + cost > self.total {
            return false;
        }
        let weights: u64 = self.accounts.values().map(Usage::weight).sum();
        let half = self.total / 2;
        let part = |usage: &Usage| half * usage.weight() / weights;
        let excess = |usage: &Usage| usage.used.saturating_sub(part(usage));
        let mine = &self.accounts[account];
        if mine.used + cost <= part(mine).max(1) {
            return true;
        }
        let pool = self.total - half;
        let taken: u64 = self.accounts.values().map(excess).sum();
        let added = (mine.used + cost).saturating_sub(part(mine)) - excess(mine);
        if taken + added > pool {
            return false;
        }
        // An account that has used up its part wants more, even if it got nothing of the pool yet.
        let wants = |usage: &&Usage| usage.used > 0 && usage.used >= part(usage) && !std::ptr::eq(*usage, mine);
        let others = self.accounts.values().filter(wants);
        let competing: u64 = others.map(Usage::weight).sum::<u64>() + mine.weight();
        taken + added <= pool * 3 / 4 || excess(mine) + added <= pool * mine.weight() / competing
    }
}

impl Usage {
    fn new(now: Millis, limits: AccountLimits, named: bool) -> Self {
        let mut usage = Self {
            limits,
            named,
            used: 0,
            tokens: 0,
            filled: now,
        };
        usage.tokens = usage.burst();
        usage
    }

    fn weight(&self) -> u64 {
        u64::from(self.limits.weight.max(1))
    }

    /// Thousandths of cost that the bucket holds at most.
    fn burst(&self) -> u64 {
        u64::from(self.limits.rate) * BURST.0
    }

    /// Tokens at `now`: a rate of one per second is one thousandth per millisecond.
    fn filled(&self, now: Millis) -> u64 {
        let added = u64::from(self.limits.rate).saturating_mul(now.since(self.filled).0);
        self.tokens.saturating_add(added).min(self.burst())
    }

    /// Takes tokens for `cost`, at most a full bucket, or says how long they take to come.
    fn take(&mut self, now: Millis, cost: u32) -> Result<(), Millis> {
        self.tokens = self.filled(now);
        self.filled = self.filled.max(now);
        let needed = (u64::from(cost) * 1_000).min(self.burst());
        if self.limits.rate == 0 {
            return Err(Millis::from_secs(60));
        }
        if self.tokens < needed {
            return Err(Millis((needed - self.tokens).div_ceil(u64::from(self.limits.rate))));
        }
        self.tokens -= needed;
        Ok(())
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.used == 0 && self.filled(now) >= self.burst()
    }
}
