//! The configuration in force on a daemon.
//!
//! Documents arrive from the store and from other daemons, in any order and more than once. Only a valid document with
//! a higher revision replaces the one in force.

use crate::ids::{DaemonName, Revision};
use crate::resource::{Member, MemberState, Policy};
use crate::validate::{Finding, parse_policy};

/// Maximum length of a configuration document.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// The configuration of one daemon: the document in force, the newest known revision and the newest rejected document.
#[derive(Clone, Debug, Default)]
pub struct PolicyState {
    revision: Revision,
    document: String,
    policy: Policy,
    newest: Revision,
    rejected: Option<(Revision, Vec<Finding>)>,
}

/// Daemons whose configuration revision differs from this daemon's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicySkew {
    /// Daemons with a lower revision.
    pub behind: Vec<DaemonName>,
    /// Daemons with a higher revision.
    pub ahead: Vec<DaemonName>,
}

impl PolicyState {
    /// The default configuration, at revision 0 and with an empty document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force if its revision is higher than the one in force; returns whether it did.
    ///
    /// # Errors
    ///
    /// The faults of the document, each with the path of the field. The previous document stays in force.
    pub fn apply(&mut self, revision: Revision, document: &str) -> Result<bool, Vec<Finding>> {
        self.note_revision(revision);
        if revision <= self.revision {
            return Ok(false);
        }
        match check_document(document) {
            Ok(policy) => {
                self.revision = revision;
                document.clone_into(&mut self.document);
                self.policy = policy;
                let newer = |rejected: &(Revision, Vec<Finding>)| rejected.0 > revision;
                self.rejected = self.rejected.take().filter(newer);
                Ok(true)
            }
            Err(findings) => {
                if self.rejected.as_ref().is_none_or(|(known, _)| *known <= revision) {
                    self.rejected = Some((revision, findings.clone()));
                }
                Err(findings)
            }
        }
    }

    /// Records that a revision exists, according to the store or another daemon. Its document need not be known here.
    pub fn note_revision(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// The parsed configuration in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The revision in force; 0 for the defaults.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document in force, as it was written; empty for the defaults.
    pub fn document(&self) -> &str {
        &self.document
    }

    /// The highest revision that is known to exist, in force or not.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Whether a revision above the one in force is known to exist.
    pub fn is_behind(&self) -> bool {
        self.revision < self.newest
    }

    /// Revision and faults of the newest invalid document; `None` if there was none or a newer one is in force.
    pub fn rejected(&self) -> Option<&(Revision, Vec<Finding>)> {
        self.rejected.as_ref()
    }

    /// Compares the revision in force with those that other daemons report. Dead daemons are ignored.
    pub fn skew(&self, members: &[Member]) -> PolicySkew {
        let present = members.iter().filter(|member| member.state != MemberState::Dead);
        let names = |keep: &dyn Fn(Revision) -> bool| {
            let kept = present.clone().filter(|member| keep(member.policy));
            kept.map(|member| member.name.clone()).collect()
        };
        PolicySkew {
            behind: names(&|revision| revision < self.revision),
            ahead: names(&|revision| revision > self.revision),
        }
    }
}

/// Parses a document after checking its length.
fn check_document(document: &str) -> Result<Policy, Vec<Finding>> {
    if document.len() > MAX_DOCUMENT_BYTES {
        let reason = format!(
            "is {} bytes long; at most {MAX_DOCUMENT_BYTES} are allowed",
            document.len()
        );
        return Err(vec![Finding::new("", reason)]);
    }
    parse_policy(document)
}
