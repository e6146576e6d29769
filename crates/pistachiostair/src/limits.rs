//! Admission of requests per client account: a rate limit, a limit on work in progress, and a fair share of the
//! daemon's total.
//!
//! Half of the total is reserved: it is divided among the tracked accounts by weight, and an account within its share
//! is not refused because of the others. The other half is a pool, given to accounts in the order of their requests.
//! Once more than three quarters of the pool are taken, an account gets no more of it than its weight among the
//! accounts that have used up their shares.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::error::{ErrorKind, Ran};
use crate::ids::AccountName;
use crate::message::Failure;

/// Most accounts that [`Admission`] tracks at once; the system is designed for 34 teams.
pub const MAX_ACCOUNTS: usize = 1_024;
/// Capacity of an account's token bucket, as the time in which its rate fills it.
const BURST: Millis = Millis(1_000);
/// Retry time of a refusal that lasts until another request ends, whose time is not known.
const BUSY_RETRY: Millis = Millis(200);

/// Limits of one client account in one daemon. The cost of a plain request is 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Cost admitted per second; 0 admits nothing.
    pub rate: u32,
    /// Most cost in progress at once.
    pub outstanding: u32,
    /// Weight of the account's share of the total, relative to those of the other accounts; 0 counts as 1.
    pub weight: u32,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The account exceeded its rate.
    Rate,
    /// The account has too much work in progress.
    Outstanding,
    /// The total of the daemon has no room for more of this account.
    Total,
    /// [`MAX_ACCOUNTS`] other accounts are in use or have limits of their own.
    Accounts,
}

/// A request that was not admitted. Nothing of it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Client account that sent the request.
    pub account: AccountName,
    /// The limit that was reached.
    pub reason: RefusalReason,
    /// Time after which the request may be sent again.
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

/// The cost in progress of an admitted request. Returned with [`Admission::release`] when the request ends; it is not
/// released on drop.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    account: AccountName,
    cost: u32,
}

/// Limits and use of one tracked account.
#[derive(Debug)]
struct Usage {
    limits: AccountLimits,
    /// Whether `limits` were set for this account, rather than taken from the defaults.
    configured: bool,
    /// Cost in progress.
    used: u64,
    /// Content of the token bucket at `refilled_at`, in thousandths of cost.
    tokens: u64,
    refilled_at: Millis,
}

/// Admission control of one daemon: counts the cost in progress of each account and refuses requests over the limits.
#[derive(Debug)]
pub struct Admission {
    /// Most cost in progress of all accounts.
    total: u64,
    /// Limits of accounts that have none of their own.
    defaults: AccountLimits,
    accounts: BTreeMap<AccountName, Usage>,
    /// Cost in progress of all accounts.
    used: u64,
}

impl Admission {
    /// Creates an admission of at most `total` cost in progress. Accounts without limits of their own get `defaults`.
    pub fn new(total: u32, defaults: AccountLimits) -> Self {
        Self {
            total: u64::from(total),
            defaults,
            accounts: BTreeMap::new(),
            used: 0,
        }
    }

    /// Changes the total and the defaults. Requests in progress stay admitted, even if they exceed the new total.
    pub fn configure(&mut self, total: u32, defaults: AccountLimits) {
        self.total = u64::from(total);
        self.defaults = defaults;
        let unconfigured = self.accounts.values_mut().filter(|usage| !usage.configured);
        unconfigured.for_each(|usage| usage.limits = defaults);
    }

    /// Sets the limits of an account; `None` returns it to the defaults. An account with limits of its own stays
    /// tracked while idle.
    pub fn set_limits(&mut self, now: Millis, account: &AccountName, limits: Option<AccountLimits>) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.limits = limits.unwrap_or(self.defaults);
            usage.configured = limits.is_some();
        } else if let Some(limits) = limits {
            self.accounts.insert(account.clone(), Usage::new(now, limits, true));
        }
    }

    /// Admits a request of an account. `cost` is 1 for a plain request.
    ///
    /// # Errors
    ///
    /// The limit that was reached, and the time after which to try again.
    pub fn admit(&mut self, now: Millis, account: &AccountName, cost: u32) -> Result<Permit, Refusal> {
        let refuse = |reason, retry| Refusal {
            account: account.clone(),
            reason,
            retry,
        };
        if !self.track(now, account) {
            return Err(refuse(RefusalReason::Accounts, BUSY_RETRY));
        }
        if !self.fits_total(account, u64::from(cost)) {
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

    /// Ends an admitted request: its cost is no longer in progress.
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

    /// Tracks the account, if need be in place of idle accounts without limits of their own. Returns false if
    /// [`MAX_ACCOUNTS`] others can't be dropped.
    fn track(&mut self, now: Millis, account: &AccountName) -> bool {
        if self.accounts.contains_key(account) {
            return true;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, usage| usage.configured || !usage.is_idle(now));
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            return false;
        }
        self.accounts
            .insert(account.clone(), Usage::new(now, self.defaults, false));
        true
    }

    /// Whether the total and the account's share of it allow `cost` more in progress. The module's documentation has
    /// the rule.
    fn fits_total(&self, account: &AccountName, cost: u64) -> bool {
        if self.used + cost > self.total {
            return false;
        }
        let weights: u64 = self.accounts.values().map(Usage::weight).sum();
        let reserved = self.total / 2;
        let share = |usage: &Usage| reserved * usage.weight() / weights;
        let excess = |usage: &Usage| usage.used.saturating_sub(share(usage));
        let own = &self.accounts[account];
        if own.used + cost <= share(own).max(1) {
            return true;
        }
        let pool = self.total - reserved;
        let taken: u64 = self.accounts.values().map(excess).sum();
        let added = (own.used + cost).saturating_sub(share(own)) - excess(own);
        if taken + added > pool {
            return false;
        }
        // An account that has used up its share competes for the pool, even if it has nothing of it yet.
        let competes = |usage: &&Usage| usage.used > 0 && usage.used >= share(usage) && !std::ptr::eq(*usage, own);
        let others = self.accounts.values().filter(competes);
        let competing: u64 = others.map(Usage::weight).sum::<u64>() + own.weight();
        taken + added <= pool * 3 / 4 || excess(own) + added <= pool * own.weight() / competing
    }
}

impl Usage {
    fn new(now: Millis, limits: AccountLimits, configured: bool) -> Self {
        let mut usage = Self {
            limits,
            configured,
            used: 0,
            tokens: 0,
            refilled_at: now,
        };
        usage.tokens = usage.burst();
        usage
    }

    fn weight(&self) -> u64 {
        u64::from(self.limits.weight.max(1))
    }

    /// Capacity of the token bucket, in thousandths of cost.
    fn burst(&self) -> u64 {
        u64::from(self.limits.rate) * BURST.0
    }

    /// Content of the token bucket at `now`. A rate of one per second adds one thousandth per millisecond.
    fn tokens_at(&self, now: Millis) -> u64 {
        let added = u64::from(self.limits.rate).saturating_mul(now.since(self.refilled_at).0);
        self.tokens.saturating_add(added).min(self.burst())
    }

    /// Takes the tokens for `cost` out of the bucket, but at most a full bucket: a cost above its capacity would never
    /// be admitted.
    ///
    /// # Errors
    ///
    /// The time after which the bucket holds enough; a minute if the rate is 0.
    fn take(&mut self, now: Millis, cost: u32) -> Result<(), Millis> {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
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

    /// Whether nothing is in progress and the bucket is full, so that forgetting the account loses nothing.
    fn is_idle(&self, now: Millis) -> bool {
        self.used == 0 && self.tokens_at(now) >= self.burst()
    }
}
