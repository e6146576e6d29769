//! Traits at the edges of the process: what the platform gives.

use std::future::Future;
use std::pin::Pin;

use crate::clock::Millis;
use crate::error::Result;
use crate::ids::{RegionName, Term};
use crate::resource::MemberState;
use crate::steps::{HoldOrder, HoldReply, HostUpdate, OrderReply, Rules, StartOrder, Target, TaskKey};
use crate::{closed_set, record};

/// A boxed future that can move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

record! {
    /// A row of the table service. `value` is JSON text or base64 text, as the owner of the key decides.
    pub struct Row {
        /// Key.
        pub key: String,
        /// Version, raised by each write to the table.
        pub version: u64,
        /// Value.
        pub value: String,
    }
}

record! {
    /// A precondition of a transaction.
    pub struct Check {
        /// Key of the row.
        pub key: String,
        /// Version that the row must have; 0 if it must not exist.
        pub version: u64,
    }
}

record! {
    /// A write of a transaction.
    pub struct Write {
        /// Key of the row.
        pub key: String,
        /// New value, or nothing to delete the row.
        pub value: Option<String>,
    }
}

record! {
    /// A conditional transaction over several rows.
    #[derive(Default)]
    pub struct Transaction {
        /// Preconditions, all checked before any write.
        pub checks: Vec<Check>,
        /// Writes.
        pub writes: Vec<Write>,
    }
}

record! {
    /// Outcome of a transaction that was answered.
    pub enum Commit {
        /// All writes took effect with this version.
        Done {
            /// Version of all rows written.
            version: u64,
        },
        /// No write took effect: a precondition did not hold.
        Conflict {
            /// The key whose precondition failed.
            key: String,
            /// The version that the row has; 0 if it does not exist.
            version: u64,
        },
    }
}

/// The platform's transactional table service.
///
/// An error means that the outcome is not known: a write may have taken effect. The caller reads
/// back to find out.
pub trait Table: Send + Sync {
    /// Reads a row.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;
    /// Reads at most `limit` rows whose key starts with `prefix` and sorts after `after`, in order of keys.
    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> BoxFuture<'a, Result<Vec<Row>>>;
    /// Commits a transaction.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<Commit>>;
}

/// The platform's object store.
pub trait Objects: Send + Sync {
    /// Reads an object.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>>>;
    /// Writes an object.
    fn write<'a>(&'a self, key: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<()>>;
    /// Deletes an object; succeeds if it does not exist.
    fn delete<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<()>>;
}

closed_set! {
    /// What runs on a VM.
    pub enum VmRole {
        /// A daemon of this system.
        Daemon,
        /// A worker.
        Worker,
    }
}

record! {
    /// An entry of the platform's lagging list of VMs.
    pub struct Vm {
        /// Name.
        pub name: String,
        /// What runs on it.
        pub role: VmRole,
        /// Address of its service, `ip:port`.
        pub address: String,
        /// State as far as the platform knows.
        pub state: MemberState,
        /// Region, if the platform tells it.
        #[serde(default)]
        pub region: Option<RegionName>,
    }
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>>>;
}

/// Workers that run the tasks of steps.
///
/// A reply that says nothing of the order's effect is [`OrderReply::Unanswered`]; the implementation logs its cause.
pub trait Hosts: Send + Sync {
    /// Starts a run.
    fn start<'a>(&'a self, target: &'a Target, order: &'a StartOrder) -> BoxFuture<'a, OrderReply>;
    /// Stops a run; one that is not there can no longer start.
    fn stop<'a>(&'a self, target: &'a Target, run: (TaskKey, u32), term: Term) -> BoxFuture<'a, OrderReply>;
    /// Renews the lease of all that runs on a worker, acknowledges ends, waits for one, and reads the worker's lists.
    fn hold<'a>(&'a self, target: &'a Target, order: &'a HoldOrder) -> BoxFuture<'a, Result<HoldReply, OrderReply>>;
}

/// The platform's list of workers that run the tasks of steps.
pub trait HostList: Send + Sync {
    /// Reads the whole list, or what changed after a position, and the position to continue from.
    ///
    /// # Errors
    ///
    /// `Expired` if the changes after the position are no longer known: read the whole list.
    fn hosts(&self, after: Option<u64>) -> BoxFuture<'_, Result<(u64, HostUpdate)>>;
}

/// The platform's source of the configuration for jobs made of steps.
pub trait RulesSource: Send + Sync {
    /// Reads the configuration, or waits at most `wait` milliseconds for a change after a position; with the position
    /// to continue from. Nothing if it did not change, or there is none yet.
    ///
    /// # Errors
    ///
    /// `Expired` if the changes after the position are no longer known: read it anew.
    fn rules(&self, after: Option<u64>, wait: Millis) -> BoxFuture<'_, Result<(u64, Option<Rules>)>>;
}
