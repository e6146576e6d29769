//! Traits for the platform's services that the daemon uses: table service, object store, lists of VMs and workers,
//! orders to workers and configuration. [`crate::Store`] implements some of them over HTTP.

use std::future::Future;
use std::pin::Pin;

use crate::clock::Millis;
use crate::error::Result;
use crate::ids::{RegionName, Term};
use crate::resource::MemberState;
use crate::steps::{
    EvacuationUpdate, HoldOrder, HoldReply, HostUpdate, OrderReply, Rules, StartOrder, Target, TaskKey,
};
use crate::{closed_set, record};

/// A boxed future that can move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

record! {
    /// A row of the table service. `value` is JSON text or base64 text, as the owner of the key decides.
    pub struct Row {
        /// Key of the row.
        pub key: String,
        /// Version; each write gives the row a higher one, and it is never 0.
        pub version: u64,
        /// Value of the row.
        pub value: String,
    }
}

record! {
    /// A precondition of a transaction on the version of one row.
    pub struct Check {
        /// Key of the row.
        pub key: String,
        /// Version that the row must have; 0 if it must not exist.
        pub version: u64,
    }
}

record! {
    /// A write or deletion of one row in a transaction.
    pub struct Write {
        /// Key of the row.
        pub key: String,
        /// New value; `None` deletes the row.
        pub value: Option<String>,
    }
}

record! {
    /// A conditional transaction over several rows: either all writes take effect or none.
    #[derive(Default)]
    pub struct Transaction {
        /// Preconditions, all checked before any write.
        pub checks: Vec<Check>,
        /// Writes, carried out if all preconditions hold.
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
/// An error of [`Table::commit`] means that the outcome is not known: the writes may have taken effect. The caller
/// reads the rows back to find out.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;
    /// Reads at most `limit` rows whose key starts with `prefix` and sorts after `after`, in order of keys.
    fn scan<'a>(&'a self, prefix: &'a str, after: &'a str, limit: usize) -> BoxFuture<'a, Result<Vec<Row>>>;
    /// Commits a transaction and returns its outcome.
    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<Commit>>;
}

/// The platform's object store.
pub trait Objects: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>>>;
    /// Writes an object, or replaces it if it exists.
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
    /// An entry of the platform's list of VMs, which may lag behind the true state.
    pub struct Vm {
        /// Name of the VM.
        pub name: String,
        /// What runs on it.
        pub role: VmRole,
        /// Address of the service on it, `ip:port`.
        pub address: String,
        /// State of the VM as the platform last saw it.
        pub state: MemberState,
        /// Region of the VM; `None` if the platform does not give it.
        #[serde(default)]
        pub region: Option<RegionName>,
    }
}

/// The platform's list of VMs, which may lag behind their true state.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<Vm>>>;
}

/// Orders to the workers that run the tasks of steps.
///
/// If a reply does not say whether the order took effect, the result is [`OrderReply::Unanswered`], and the
/// implementation logs the cause.
pub trait Hosts: Send + Sync {
    /// Starts a run.
    fn start<'a>(&'a self, target: &'a Target, order: &'a StartOrder) -> BoxFuture<'a, OrderReply>;
    /// Stops a run. A run that the worker does not have can no longer start there.
    fn stop<'a>(&'a self, target: &'a Target, run: (TaskKey, u32), term: Term) -> BoxFuture<'a, OrderReply>;
    /// Renews the lease of all runs on a worker, acknowledges ended runs, waits for the end of a run, and returns the
    /// worker's lists of running and ended runs.
    fn hold<'a>(&'a self, target: &'a Target, order: &'a HoldOrder) -> BoxFuture<'a, Result<HoldReply, OrderReply>>;
    /// Number of open connections to workers.
    fn connections(&self) -> Connections;
}

/// Number of open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// All of them.
    pub open: usize,
    /// Those that no request uses.
    pub idle: usize,
}

/// The platform's list of workers that run the tasks of steps.
pub trait HostList: Send + Sync {
    /// Reads the changes after the position `after`, or the whole list if it is `None`. Waits up to `wait` for a change.
    /// Returns the changes with the position to continue from.
    ///
    /// # Errors
    ///
    /// `Expired` if the changes after the position are no longer known; the caller then reads the whole list.
    fn hosts(&self, after: Option<u64>, wait: Millis) -> BoxFuture<'_, Result<(u64, HostUpdate)>>;
}

record! {
    /// What a read of [`RulesSource`] returns.
    #[derive(Default)]
    pub struct RulesUpdate {
        /// The configuration; absent if it did not change or there is none yet.
        pub rules: Option<Rules>,
        /// Requests to evacuate failure domains: all that are in force, or the changes.
        pub evacuations: EvacuationUpdate,
    }
}

/// The platform's source of what operators set for jobs made of steps: the configuration, and requests to evacuate
/// failure domains.
pub trait RulesSource: Send + Sync {
    /// Reads everything if `after` is `None`; otherwise waits at most `wait` for a change after that position. Returns
    /// the position to continue from and what was read.
    ///
    /// The result holds what was in force at some time after the call, so that the time of the call confirms it.
    ///
    /// # Errors
    ///
    /// `Expired` if the changes after the position are no longer known; the caller then reads everything again without a
    /// position.
    fn rules(&self, after: Option<u64>, wait: Millis) -> BoxFuture<'_, Result<(u64, RulesUpdate)>>;
}
