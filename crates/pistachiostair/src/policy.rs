//! The configuration in force: only a higher revision replaces it.

use crate::ids::{DaemonName, Revision};
use crate::resource::{Member, MemberState, Policy};
use crate::validate::{Finding, parse_policy};

/// Longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Configuration of one daemon.
#[derive(Clone, Debug, Default)]
pub struct PolicyState {
    revision: Revision,
    document: String,
    policy: Policy,
    newest: Revision,
    rejected: Option<(Revision, Vec<Finding>)>,
}

/// Daemons whose configuration differs from this daemon's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicySkew {
    /// Daemons with a lower revision.
    pub behind: Vec<DaemonName>,
    /// Daemons with a higher revision.
    pub ahead: Vec<DaemonName>,
}

impl PolicyState {
    /// The defaults, at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a document in force if its revision is higher than the one in force; returns whether it did.
    ///
    /// # Errors
    ///
    /// What is wrong with the document, with paths. The one before stays in force.
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

    /// Takes note of a revision that exists according to the store or a peer.
    pub fn note_revision(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// The configuration in force.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Its revision; 0 for the defaults.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Its document; empty for the defaults.
    pub fn document(&self) -> &str {
        &self.document
    }

    /// The newest revision that is known to exist.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Whether a revision is known that is not in force here.
    pub fn is_behind(&self) -> bool {
        self.revision < self.newest
    }

    /// The newest document that could not be put in force, and why.
    pub fn rejected(&self) -> Option<&(Revision, Vec<Finding>)> {
        self.rejected.as_ref()
    }

    /// Compares with the revisions that other daemons report; dead ones don't count.
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
