//! The platform's storage, registered as a service so that others find it by its name.

use std::sync::Arc;

use crate::edge::{Objects, Table};
use crate::kernel::Service;

/// The platform's table service and object store, which hold leases, the journal and snapshots.
pub(crate) struct Storage {
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Objects>,
}

impl Service for Storage {
    const NAME: &'static str = "durable";
}
