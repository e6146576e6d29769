//! Evacuation of failure domains: decides by domain and time whether a task may be started.
//!
//! Operators request that no new task starts on the workers of a domain, until they withdraw the request. What is known
//! of the requests is as old as the last read that confirmed it. Without a read, or once that is too old, a request may
//! be in force for any domain, so that nothing is started anywhere.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::DomainName;
use crate::record;

#[cfg(test)]
mod tests;

record! {
    /// Where a scheduler learns of requests to evacuate failure domains.
    #[derive(Copy, Default)]
    pub enum EvacuationSource {
        /// There are no such requests: tasks start in all domains.
        #[default]
        None,
        /// They are read from the platform, and nothing starts before the first read.
        Followed {
            /// Age of the last confirmed read from which on nothing starts until the next one; never if absent.
            max_age: Option<Millis>,
        },
    }
}

record! {
    /// Requests to evacuate failure domains, as one read returned them.
    #[derive(Default)]
    pub struct EvacuationUpdate {
        /// Whether `requested` is all that is in force; otherwise these are changes.
        pub full: bool,
        /// Domains with a request in force.
        pub requested: BTreeSet<DomainName>,
        /// Domains whose request was withdrawn.
        pub withdrawn: BTreeSet<DomainName>,
    }
}

record! {
    /// The requests in force.
    pub struct Evacuations {
        /// Domains with a request in force.
        pub domains: BTreeSet<DomainName>,
        /// Time at which they were current for certain, by the scheduler's clock.
        pub confirmed: Millis,
    }
}

/// Why a task may not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartBan {
    /// An operator requested it for the domain.
    Evacuated,
    /// The requests were not read yet.
    NotRead,
    /// The requests were confirmed too long ago.
    Outdated,
}

impl StartBan {
    /// The reason, for the log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Evacuated => "its domain is evacuated",
            Self::NotRead => "the requests to evacuate domains were not read yet",
            Self::Outdated => "the requests to evacuate domains were not confirmed lately",
        }
    }
}

/// What is known of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainGate {
    /// None before the first read.
    known: Option<Evacuations>,
}

impl DomainGate {
    /// The requests in force; none before the first read.
    pub(crate) fn known(&self) -> Option<&Evacuations> {
        self.known.as_ref()
    }

    /// Applies a read that was requested at `confirmed`. Changes without an earlier read of all requests are ignored,
    /// since they don't tell what else is in force.
    pub(crate) fn apply(&mut self, update: EvacuationUpdate, confirmed: Millis) {
        let domains = match (update.full, &mut self.known) {
            (true, _) => update.requested,
            (false, Some(known)) => {
                let kept = known.domains.difference(&update.withdrawn).cloned();
                kept.chain(update.requested).collect()
            }
            (false, None) => return,
        };
        self.known = Some(Evacuations { domains, confirmed });
    }

    /// Takes over requests that were read elsewhere in this process. A confirmation from after `now`, which a clock that
    /// jumped may give, counts as one at `now`: it would otherwise stay valid for too long.
    pub(crate) fn replace(&mut self, mut known: Evacuations, now: Millis) {
        known.confirmed = known.confirmed.min(now);
        self.known = Some(known);
    }

    /// Why nothing may be started in any domain; none if it may in some.
    pub(crate) fn ban(&self, source: EvacuationSource, now: Millis) -> Option<StartBan> {
        let EvacuationSource::Followed { max_age } = source else {
            return None;
        };
        let Some(known) = &self.known else {
            return Some(StartBan::NotRead);
        };
        let outdated = max_age.is_some_and(|max_age| now.since(known.confirmed) >= max_age);
        outdated.then_some(StartBan::Outdated)
    }

    /// Why nothing may be started in a domain; none if it may.
    pub(crate) fn ban_in(&self, source: EvacuationSource, domain: &DomainName, now: Millis) -> Option<StartBan> {
        self.ban(source, now).or_else(|| {
            let known = self.known.as_ref();
            let evacuated = known.is_some_and(|known| known.domains.contains(domain));
            evacuated.then_some(StartBan::Evacuated)
        })
    }
}
