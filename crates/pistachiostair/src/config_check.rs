//! Checks beyond the validity of single documents: entries that can never match, limits that contradict each other, and
//! what a change means for callers.
//!
//! Daemons run the checks on the configuration that they receive and log what they find; nothing that the store has accepted
//! is refused because of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::AccountName;
use crate::resource::{AccountSpec, GuaranteeSpec, Limits, Policy, Worker};
use crate::steps::Rules;
use crate::{closed_set, record};

closed_set! {
    /// How much a finding matters.
    pub enum Severity {
        /// It has an effect that its author can hardly want.
        Warning,
        /// It can't work.
        Error,
    }
}

record! {
    /// A finding about one object.
    pub struct ConfigFinding {
        /// How much it matters.
        pub severity: Severity,
        /// Kind and name of the object, such as `guarantee hearing`.
        pub subject: String,
        /// Path of the field in the object; empty for the whole object.
        pub path: String,
        /// What is wrong, with the values that contradict each other.
        pub reason: String,
    }
}

impl std::fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let separator = if self.path.is_empty() { "" } else { ": " };
        write!(f, "{}{separator}{}: {}", self.subject, self.path, self.reason)
    }
}

/// The objects that make up a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigObjects {
    /// The configuration document; none if it is not part of what is checked.
    pub policy: Option<Policy>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountName, AccountSpec>,
    /// Guarantees by name.
    pub guarantees: BTreeMap<String, GuaranteeSpec>,
    /// Whether `accounts` are all accounts that exist, so that any other name matches none.
    pub complete: bool,
    /// The known workers; none if they are not known.
    pub workers: Vec<Worker>,
}

impl ConfigObjects {
    /// These objects with those of `newer` added or in the place of those with the same name.
    #[must_use]
    pub fn merged(&self, newer: &Self) -> Self {
        let mut merged = self.clone();
        merged.accounts.extend(newer.accounts.clone());
        merged.guarantees.extend(newer.guarantees.clone());
        merged.policy = newer.policy.clone().or(merged.policy);
        merged
    }
}

/// Checks objects against each other. Each is expected to be valid by itself.
pub fn check_objects(objects: &ConfigObjects) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    check_weights(objects, &mut findings);
    check_accounts(objects, &mut findings);
    check_guarantees(objects, &mut findings);
    findings
}

fn finding(severity: Severity, subject: String, path: &str, reason: String) -> ConfigFinding {
    ConfigFinding {
        severity,
        subject,
        path: path.to_owned(),
        reason,
    }
}

fn check_weights(objects: &ConfigObjects, findings: &mut Vec<ConfigFinding>) {
    let Some(policy) = &objects.policy else { return };
    let unknown = policy.weights.keys().filter(|name| objects.is_unknown(name));
    findings.extend(unknown.map(|name| {
        let reason = "no account has this name, so that the weight never applies".to_owned();
        let path = format!("weights.{name}");
        finding(Severity::Warning, "configuration".to_owned(), &path, reason)
    }));
    let smallest = objects.workers.iter().map(|worker| worker.info.slots).min();
    if let Some(slots) = smallest.filter(|slots| policy.scheduling.reserve >= *slots) {
        let reason = format!(
            "{} slots of each worker are kept free for short work, and the smallest worker has {slots}: longer work never runs there",
            policy.scheduling.reserve
        );
        let subject = "configuration".to_owned();
        findings.push(finding(Severity::Warning, subject, "scheduling.reserve", reason));
    }
}

fn check_accounts(objects: &ConfigObjects, findings: &mut Vec<ConfigFinding>) {
    for (name, account) in &objects.accounts {
        let subject = || format!("account {name}");
        let guaranteed = objects.guaranteed(name);
        match account.quota {
            Some(0) => {
                let reason = "no job of the account that needs an accelerator ever starts".to_owned();
                findings.push(finding(Severity::Warning, subject(), "quota", reason));
            }
            Some(quota) if u64::from(quota) < guaranteed => {
                let reason = format!("{quota} is below the {guaranteed} accelerators that the account is guaranteed");
                findings.push(finding(Severity::Error, subject(), "quota", reason));
            }
            _ => {}
        }
    }
}

fn check_guarantees(objects: &ConfigObjects, findings: &mut Vec<ConfigFinding>) {
    let largest = objects.workers.iter().map(|worker| worker.info.accelerators).max();
    let patience = objects.policy.as_ref().map(|policy| policy.scheduling.patience);
    for (name, guarantee) in &objects.guarantees {
        let subject = || format!("guarantee {name}");
        if objects.is_unknown(&guarantee.account) {
            let reason = format!("no account is named {}, so that nobody can use it", guarantee.account);
            findings.push(finding(Severity::Error, subject(), "account", reason));
        }
        if let Some(largest) = largest.filter(|largest| guarantee.shape.accelerators > *largest) {
            let reason = format!(
                "{} needs {} accelerators of one worker, and the largest has {largest}",
                guarantee.shape, guarantee.shape.accelerators
            );
            findings.push(finding(Severity::Error, subject(), "shape", reason));
        }
        if let Some(patience) = patience.filter(|patience| guarantee.grace > *patience && *patience > Millis::ZERO) {
            let reason = format!(
                "reclaimed work may take {}, longer than the {patience} that a job waits before it gets a reservation",
                guarantee.grace
            );
            findings.push(finding(Severity::Warning, subject(), "grace", reason));
        }
    }
    check_capacity(objects, findings);
}

/// Compares all guarantees of a region with the accelerators of its workers.
fn check_capacity(objects: &ConfigObjects, findings: &mut Vec<ConfigFinding>) {
    let mut capacity = BTreeMap::new();
    for worker in &objects.workers {
        *capacity.entry(&worker.info.region).or_insert(0_u64) += u64::from(worker.info.accelerators);
    }
    let only = match capacity.len() {
        1 => capacity.keys().next().copied(),
        _ => None,
    };
    let mut guaranteed = BTreeMap::new();
    for guarantee in objects.guarantees.values() {
        if let Some(region) = guarantee.region.as_ref().or(only) {
            *guaranteed.entry(region).or_insert(0_u64) += accelerators(guarantee);
        }
    }
    for (region, sum) in guaranteed {
        let Some(known) = capacity.get(region).filter(|known| sum > **known) else {
            continue;
        };
        let reason = format!("guarantees add up to {sum} accelerators, and the workers have {known}");
        findings.push(finding(Severity::Error, format!("region {region}"), "", reason));
    }
}

fn accelerators(guarantee: &GuaranteeSpec) -> u64 {
    u64::from(guarantee.shape.total()) * u64::from(guarantee.count)
}

impl ConfigObjects {
    /// Whether it is certain that no account has this name.
    fn is_unknown(&self, name: &AccountName) -> bool {
        self.complete && !self.accounts.contains_key(name)
    }

    /// Accelerators that an account is guaranteed in all.
    fn guaranteed(&self, account: &AccountName) -> u64 {
        let own = self
            .guarantees
            .values()
            .filter(|guarantee| guarantee.account == *account);
        own.map(accelerators).sum()
    }
}

/// Checks the queues, services and accounts of the platform's configuration.
pub fn check_rules(rules: &Rules) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    let mut urls = BTreeMap::new();
    for (name, queue) in &rules.queues {
        let subject = || format!("queue {name}");
        if let Some(hidden) = urls.insert(queue.base_url(), name) {
            let reason = format!("queue {name} has the same host and prefix, so that no call reaches this one");
            findings.push(finding(Severity::Warning, format!("queue {hidden}"), "prefix", reason));
        }
        if !queue.prefix.starts_with('/') {
            let reason = format!("no path begins with {:?}", queue.prefix);
            findings.push(finding(Severity::Warning, subject(), "prefix", reason));
        }
        let settings = &queue.settings;
        if !rules.services.contains_key(&settings.service) {
            let reason = format!(
                "no service is named {}, so that its jobs wait for ever",
                settings.service
            );
            findings.push(finding(Severity::Warning, subject(), "service", reason));
        }
        if queue.timeout == Millis::ZERO {
            let reason = "calls have no time to be answered".to_owned();
            findings.push(finding(Severity::Warning, subject(), "timeout", reason));
        }
        if settings.stretch == 0 && settings.allowance == Millis::ZERO {
            let reason = "stretch and allowance are 0, so that every job is late".to_owned();
            findings.push(finding(Severity::Warning, subject(), "stretch", reason));
        }
    }
    check_keys(rules, &mut findings);
    findings
}

fn check_keys(rules: &Rules, findings: &mut Vec<ConfigFinding>) {
    let mut owners = BTreeMap::new();
    for (name, account) in &rules.accounts {
        for key in &account.api_keys {
            if let Some(owner) = owners.get(key) {
                let reason =
                    format!("one of its keys is also a key of account {owner}, to which its calls are charged");
                findings.push(finding(Severity::Warning, format!("account {name}"), "keys", reason));
            } else {
                owners.insert(key, name);
            }
        }
    }
}

/// Describes what the objects of `newer` change in those of `current`, one sentence a change, by what it means for callers.
/// `waiting` gives the number of waiting jobs by account.
pub fn describe_changes(
    current: &ConfigObjects,
    newer: &ConfigObjects,
    waiting: &BTreeMap<AccountName, u64>,
) -> Vec<String> {
    let mut changes = Vec::new();
    if let Some(policy) = &newer.policy {
        let before = current.policy.clone().unwrap_or_default();
        describe_policy(&before, policy, &mut changes);
    }
    for (name, account) in &newer.accounts {
        let jobs = waiting.get(name).copied().unwrap_or(0);
        describe_account(name, current.accounts.get(name), account, jobs, &mut changes);
    }
    for (name, guarantee) in &newer.guarantees {
        match current.guarantees.get(name) {
            None => changes.push(format!(
                "guarantee {name} is new: account {} is guaranteed {} x {}",
                guarantee.account, guarantee.count, guarantee.shape
            )),
            Some(before) if before != guarantee => changes.push(format!(
                "guarantee {name}: {} x {} for account {} becomes {} x {} for account {}",
                before.count, before.shape, before.account, guarantee.count, guarantee.shape, guarantee.account
            )),
            Some(_) => {}
        }
    }
    changes
}

fn describe_policy(before: &Policy, after: &Policy, changes: &mut Vec<String>) {
    let number = |limit: fn(&Limits) -> u32| (limit(&before.limits), limit(&after.limits));
    let limits = [
        (
            number(|limits| limits.rate),
            "submissions a second for each account without a rate of its own",
        ),
        (
            number(|limits| limits.outstanding),
            "unfinished jobs for each account without a limit of its own",
        ),
        (
            number(|limits| limits.requests),
            "requests in progress in one daemon; further ones are refused",
        ),
        (
            number(|limits| limits.body),
            "bytes of a request body; longer ones are refused",
        ),
    ];
    let scheduling = (&before.scheduling, &after.scheduling);
    let spans = [
        (
            (scheduling.0.short.0, scheduling.1.short.0),
            "ms up to which work counts as short",
        ),
        (
            (scheduling.0.patience.0, scheduling.1.patience.0),
            "ms until a large gang that waits gets a reservation",
        ),
        (
            (scheduling.0.reserve.into(), scheduling.1.reserve.into()),
            "slots of each worker that are kept free for short work",
        ),
        (
            (scheduling.0.attempts.into(), scheduling.1.attempts.into()),
            "attempts after which a job is given up",
        ),
    ];
    let limits = limits.map(|((old, new), what)| ((u64::from(old), u64::from(new)), what));
    for ((old, new), what) in limits.into_iter().chain(spans).filter(|((old, new), _)| old != new) {
        changes.push(format!("{old} becomes {new}: {what}"));
    }
    let names: BTreeSet<&AccountName> = before.weights.keys().chain(after.weights.keys()).collect();
    for name in names {
        match (before.weights.get(name), after.weights.get(name)) {
            (Some(old), Some(new)) if old != new => changes.push(format!("account {name}: weight {old} becomes {new}")),
            (Some(old), None) => changes.push(format!("account {name}: weight {old} no longer overrides its own")),
            (None, Some(new)) => changes.push(format!("account {name}: weight {new} overrides its own")),
            _ => {}
        }
    }
}

fn describe_account(
    name: &AccountName,
    before: Option<&AccountSpec>,
    after: &AccountSpec,
    waiting: u64,
    changes: &mut Vec<String>,
) {
    let Some(before) = before else {
        changes.push(format!("account {name} is new"));
        return;
    };
    let text = |limit: Option<u32>| limit.map_or_else(|| "no limit".to_owned(), |limit| limit.to_string());
    if before.quota != after.quota {
        let (old, new) = (text(before.quota), text(after.quota));
        changes.push(format!(
            "account {name}: quota {old} becomes {new}; {waiting} of its jobs wait"
        ));
    }
    if before.outstanding != after.outstanding {
        let (old, new) = (text(before.outstanding), text(after.outstanding));
        changes.push(format!(
            "account {name}: {old} unfinished jobs become {new}; further ones are refused"
        ));
    }
    if before.rate != after.rate {
        let (old, new) = (text(before.rate), text(after.rate));
        changes.push(format!(
            "account {name}: {old} submissions a second become {new}; further ones are refused"
        ));
    }
    if before.weight != after.weight {
        changes.push(format!(
            "account {name}: weight {} becomes {}",
            before.weight, after.weight
        ));
    }
}
