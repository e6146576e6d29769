//! The rules for step jobs: the part of the platform's configuration that defines queues, services and client accounts.
//!
//! Daemons use them to route and authorise calls, the scheduler to rank jobs and to keep guarantees.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, Revision};
use crate::record;
use crate::steps::spec::{QueueName, QueueSettings, ServiceName};

record! {
    /// A queue, to which callers submit jobs.
    pub struct Queue {
        /// Its name.
        pub name: QueueName,
        /// Host name of the queue's calls, compared without regard to case.
        pub host: String,
        /// Prefix of the URL paths of its calls.
        pub prefix: String,
        /// Settings for its jobs.
        #[serde(rename = "terms")]
        pub settings: QueueSettings,
        /// Longest time that a call may take to be answered.
        pub timeout: Millis,
        /// Whether calls need no API key; they then have no account.
        #[serde(rename = "open")]
        pub public: bool,
        /// Whether an external adviser decides which workers may run its tasks; submissions to such a queue are
        /// refused.
        pub advised: bool,
    }
}

impl Queue {
    /// What all URLs of its calls begin with: the host in lower case, and the prefix of the path.
    pub fn base_url(&self) -> String {
        format!("{}{}", self.host.to_ascii_lowercase(), self.prefix)
    }
}

record! {
    /// Settings of a service, a pool of workers.
    pub struct ServiceRule {
        /// Whether its workers refuse tasks that do not fit.
        #[serde(rename = "guarded")]
        pub admission_control: bool,
    }
}

record! {
    /// Rights of a client account.
    #[derive(Default)]
    pub struct AccountRule {
        /// The API keys that identify the account.
        #[serde(rename = "keys")]
        pub api_keys: BTreeSet<String>,
        /// Number of accelerators that its jobs of priority 0 are guaranteed; work without a guarantee is preempted for
        /// them.
        pub guaranteed: u64,
    }
}

record! {
    /// All rules in force; they replace those of a lower version as a whole.
    #[derive(Default)]
    pub struct Rules {
        /// Version of the configuration; a lower one never replaces a higher one.
        pub version: Revision,
        /// Queues by name.
        pub queues: BTreeMap<QueueName, Queue>,
        /// Services by name.
        pub services: BTreeMap<ServiceName, ServiceRule>,
        /// Accounts by name.
        pub accounts: BTreeMap<AccountName, AccountRule>,
    }
}

impl Rules {
    /// The queue of a call: of those with its host, the one with the longest prefix of its path. None if no queue
    /// matches.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = self.queues.values();
        matching
            .filter(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The account that an API key belongs to; none for an unknown key.
    pub fn account(&self, key: &str) -> Option<&AccountName> {
        let mut accounts = self.accounts.iter();
        accounts
            .find(|(_, account)| account.api_keys.contains(key))
            .map(|(name, _)| name)
    }
}
