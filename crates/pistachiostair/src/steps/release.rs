//! Releases: the workers of a service are replaced, one after another, by ones with a newer version of their software.
//! Tells which workers are likely to leave soon, so that long work is better placed elsewhere.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::ids::WorkerName;
use crate::steps::spec::{ServiceName, Step};

/// Time without a replacement after which a release counts as over, finished or not.
const STANDSTILL: Millis = Millis(30_000);

/// Time between two replacements that is assumed until two were seen.
const DEFAULT_INTERVAL: Millis = Millis(5_000);

/// The workers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    workers: BTreeMap<WorkerName, (String, bool)>,
    /// The newest version that a worker has had.
    newest: String,
    /// First and last replacement of the release, and their number.
    seen: Option<(Millis, Millis, u64)>,
}

/// A release that goes on, from the view of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReleaseView {
    /// Whether the worker is likely to be replaced soon.
    pub(crate) leaving: bool,
    /// Mean time between two replacements.
    pub(crate) interval: Millis,
}

/// Releases of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Releases {
    services: BTreeMap<ServiceName, ServiceVersions>,
}

impl Releases {
    /// Takes note of an entry of the list of workers. An entry without a version tells nothing about releases.
    pub(crate) fn note(
        &mut self,
        now: Millis,
        (service, worker): (&ServiceName, &WorkerName),
        version: &str,
        draining: bool,
    ) {
        if version.is_empty() {
            return;
        }
        let versions = self.services.entry(service.clone()).or_default();
        let known = versions.workers.insert(worker.clone(), (version.to_owned(), draining));
        let newer = compare(version, &versions.newest) == Ordering::Greater;
        if newer {
            let first = versions.newest.is_empty();
            versions.newest = version.to_owned();
            versions.seen = (!first).then_some((now, now, 1));
            return;
        }
        let older = compare(version, &versions.newest) == Ordering::Less;
        match &mut versions.seen {
            Some((_, last, count)) => {
                let replaced = !older && known.as_ref().is_none_or(|(before, _)| before != version);
                let drains = older && draining && known.is_some_and(|(_, before)| !before);
                if replaced {
                    *count += 1;
                }
                if replaced || drains {
                    *last = now;
                }
            }
            // The first list of a term may show a release that has begun before.
            None if older => versions.seen = Some((now, now, 1)),
            None => {}
        }
    }

    /// Forgets a worker that is no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&WorkerName) -> bool) {
        for versions in self.services.values_mut() {
            versions.workers.retain(|worker, _| known(worker));
        }
        self.services.retain(|_, versions| !versions.workers.is_empty());
    }

    /// The release of a worker's service; none if there is none at present.
    pub(crate) fn view(&self, now: Millis, service: &ServiceName, version: &str) -> Option<ReleaseView> {
        let versions = self.services.get(service)?;
        let (first, last, count) = versions.seen.filter(|(_, last, _)| now.since(*last) < STANDSTILL)?;
        let interval = match count.checked_sub(1).filter(|gaps| *gaps > 0) {
            Some(gaps) => Millis(last.since(first).0 / gaps),
            None => DEFAULT_INTERVAL,
        };
        let leaving = !version.is_empty() && compare(version, &versions.newest) == Ordering::Less;
        Some(ReleaseView { leaving, interval })
    }
}

/// Whether a worker is better left to other steps during a release: one that is likely to leave soon to single tasks that
/// are short compared with the time between two replacements, any other one to gangs and to longer tasks.
pub(crate) fn is_avoided(release: Option<ReleaseView>, step: &Step) -> bool {
    release.is_some_and(|release| {
        let long = step.gang || step.long_running || step.estimate > release.interval;
        release.leaving == long
    })
}

/// Order of two versions: runs of digits compare as numbers, so that 1.10 is newer than 1.9; an empty one is the oldest.
fn compare(one: &str, other: &str) -> Ordering {
    let (mut one, mut other) = (one.as_bytes(), other.as_bytes());
    loop {
        let (first, second) = (take_part(&mut one), take_part(&mut other));
        if first.is_empty() || second.is_empty() {
            return first.len().cmp(&second.len());
        }
        let digits = first[0].is_ascii_digit() && second[0].is_ascii_digit();
        let order = match digits {
            true => first.len().cmp(&second.len()).then_with(|| first.cmp(second)),
            false => first.cmp(second),
        };
        if order != Ordering::Equal {
            return order;
        }
    }
}

/// Takes the leading run of digits, without leading zeros, or of other characters off a version.
fn take_part<'a>(rest: &mut &'a [u8]) -> &'a [u8] {
    let Some(first) = rest.first() else { return &[] };
    let digits = first.is_ascii_digit();
    let end = rest
        .iter()
        .position(|byte| byte.is_ascii_digit() != digits)
        .unwrap_or(rest.len());
    let (part, left) = rest.split_at(end);
    *rest = left;
    let zeros = part.iter().take_while(|byte| **byte == b'0').count();
    if digits {
        &part[zeros.min(part.len() - 1)..]
    } else {
        part
    }
}

#[cfg(test)]
mod tests;
