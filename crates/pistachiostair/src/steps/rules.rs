//! The configuration that governs jobs made of steps: queues, services and accounts.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::ids::{AccountName, Revision};
use crate::record;
use crate::steps::spec::{QueueName, QueueSettings, ServiceName};

record! {
    /// A queue.
    pub struct Queue {
        /// Its name.
        pub name: QueueName,
        /// Host that callers name.
        pub host: String,
        /// Prefix of the paths of its jobs.
        pub prefix: String,
        /// What it grants its jobs.
        #[serde(rename = "terms")]
        pub settings: QueueSettings,
        /// Longest time for an answer.
        pub timeout: Millis,
        /// Whether calls need no key.
        #[serde(rename = "open")]
        pub public: bool,
        /// Whether only an adviser knows which workers may run its tasks.
        pub advised: bool,
    }
}

record! {
    /// A service.
    pub struct ServiceRule {
        /// Whether its workers refuse what does not fit.
        #[serde(rename = "guarded")]
        pub admission_control: bool,
    }
}

record! {
    /// What a client account may do.
    #[derive(Default)]
    pub struct AccountRule {
        /// Its keys.
        #[serde(rename = "keys")]
        pub api_keys: BTreeSet<String>,
        /// Accelerators that belong to it at all times for work of priority 0.
        pub guaranteed: u64,
    }
}

record! {
    /// A whole configuration.
    #[derive(Default)]
    pub struct Rules {
        /// Version; a lower one never replaces a higher one.
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
    /// The queue of a call: its host, and the longest prefix that the path begins with.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = self.queues.values();
        matching
            .filter(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The account that a key belongs to.
    pub fn account(&self, key: &str) -> Option<&AccountName> {
        let mut accounts = self.accounts.iter();
        accounts
            .find(|(_, account)| account.api_keys.contains(key))
            .map(|(name, _)| name)
    }
}
