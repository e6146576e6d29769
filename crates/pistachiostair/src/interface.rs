//! Bodies of the resource interface that are not objects themselves: lists, lines of a watch,
//! explanations, and the configuration.

use crate::ids::Revision;
use crate::message::Failure;
use crate::record;
use crate::resource::{Metadata, Policy};

record! {
    /// A list of objects, and the revision from which a watch continues it.
    pub struct Listing<T> {
        /// The objects.
        pub items: Vec<T>,
        /// Pass this as `?watch=` to receive the changes after the list.
        #[serde(default)]
        pub revision: Revision,
    }
}

record! {
    /// One line of a watch. A line with none of the optional fields is sent from time to time, so
    /// that a silent connection is noticed, and as the last line before the server ends the watch.
    pub struct WatchLine<T> {
        /// Revision from which a later watch continues after this line.
        #[serde(default)]
        pub revision: Revision,
        /// An object that was created or changed.
        #[serde(default = "none", skip_serializing_if = "Option::is_none")]
        pub object: Option<T>,
        /// Name of an object that was deleted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deleted: Option<String>,
        /// Why the watch ends.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub error: Option<Failure>,
    }
}

/// A default for `Option<T>` that puts no bound on `T`.
fn none<T>() -> Option<T> {
    None
}

record! {
    /// Why a job waits, in lines of text.
    pub struct Explanation {
        /// The lines.
        pub lines: Vec<String>,
    }
}

record! {
    /// The configuration as an object: `metadata.revision` is its revision.
    pub struct Configuration {
        /// Metadata.
        #[serde(default)]
        pub metadata: Metadata,
        /// Who committed it.
        #[serde(default)]
        pub author: String,
        /// The configuration.
        pub spec: Policy,
    }
}
