//! Bodies of the HTTP API beside the objects of `resource`: lists, lines of a watch, explanations and the policy
//! configuration.

use crate::ids::Revision;
use crate::message::Failure;
use crate::record;
use crate::resource::{Metadata, Policy};

record! {
    /// A list of objects, and the revision from which a watch continues.
    pub struct Listing<T> {
        /// The objects.
        pub items: Vec<T>,
        /// Revision of the list. A watch with `?watch=` and this number sends the changes after the list.
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
        /// Error that ends the watch.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub error: Option<Failure>,
    }
}

/// `None` as a serde default: unlike `#[serde(default)]` alone, it adds no bound `T: Default`.
fn none<T>() -> Option<T> {
    None
}

record! {
    /// Explanation for operators why a job is in its present state, as text.
    pub struct Explanation {
        /// Lines of the text, in order.
        pub lines: Vec<String>,
    }
}

record! {
    /// The policy configuration as an object of the API.
    pub struct Configuration {
        /// Name and labels, and in `revision` the revision of the configuration.
        #[serde(default)]
        pub metadata: Metadata,
        /// Operator who committed it; empty if that is not known.
        #[serde(default)]
        pub author: String,
        /// The policy.
        pub spec: Policy,
    }
}
