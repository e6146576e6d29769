//! The lease row, which names the daemon that is the scheduler of a region.

use crate::clock::Millis;
use crate::ids::{DaemonName, Incarnation, RegionName, Term};
use crate::record;

record! {
    /// Value of the row `lease/REGION`, as JSON.
    pub struct Lease {
        /// The daemon that holds the lease; `None` once it was released.
        pub holder: Option<DaemonName>,
        /// Incarnation of the process that wrote the row.
        pub incarnation: Incarnation,
        /// Term in which the row was written; it identifies the holder to workers and in the journal.
        pub term: Term,
        /// How long the lease is valid after this renewal.
        pub ttl: Millis,
        /// Number of the renewal, different for each transaction that a process sends under one term.
        pub renewal: u64,
        /// Address (`ip:port`) at which other daemons reach the process that wrote the row.
        pub address: String,
    }
}

impl Lease {
    /// Parses the value of a lease row; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

/// Key of a region's lease row, `lease/REGION`.
pub fn lease_key(region: &RegionName) -> String {
    format!("lease/{region}")
}
