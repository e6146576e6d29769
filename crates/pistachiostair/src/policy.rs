//! The configuration in force.

use crate::error::{Error, ErrorKind, Result};
use crate::ids::Revision;
use crate::resource::Policy;
use crate::validate;

/// The newest configuration that was applied.
#[derive(Clone, Debug, Default)]
pub struct PolicyState {
    revision: Revision,
    policy: Policy,
    document: String,
}

impl PolicyState {
    /// Parses and checks a document.
    pub fn parse(document: &str) -> Result<Policy> {
        validate::parse_policy(document).map_err(|findings| {
            Error::msg(
                ErrorKind::Invalid,
                "parse configuration",
                validate::join_findings(&findings),
            )
        })
    }

    /// Applies a document if its revision is higher; tells whether it did.
    pub fn apply(&mut self, revision: Revision, document: &str) -> Result<bool> {
        if revision <= self.revision {
            return Ok(false);
        }
        self.policy = Self::parse(document)?;
        self.revision = revision;
        document.clone_into(&mut self.document);
        Ok(true)
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The configuration in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Its document.
    pub fn document(&self) -> &str {
        &self.document
    }
}
