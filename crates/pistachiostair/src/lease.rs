//! The row that says which daemon is the scheduler of a region.

use crate::clock::Millis;
use crate::ids::{DaemonName, Incarnation, RegionName, Term};
use crate::record;

record! {
    /// Value of the row `lease/R`, as JSON.
    pub struct Lease {
        /// The holder; nobody once the lease was given back.
        pub holder: Option<DaemonName>,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Term.
        pub term: Term,
        /// Span in milliseconds for which each renewal protects the holder.
        pub ttl: Millis,
        /// Number of the renewal, different for each transaction sent under one term.
        pub renewal: u64,
        /// Address of the holder's links.
        pub address: String,
    }
}

impl Lease {
    /// Parses the row's value.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

/// Key of a region's lease row.
pub fn lease_key(region: &RegionName) -> String {
    format!("lease/{region}")
}
