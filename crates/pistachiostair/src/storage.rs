//! The platform's services that hold durable state, found by name.

use std::sync::Arc;

use crate::edge::{Objects, Table};
use crate::kernel::Service;

/// Table service and object store, as the scheduler uses them.
pub(crate) struct Storage {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Objects>,
}

impl Service for Storage {
    const NAME: &'static str = "durable";
}
