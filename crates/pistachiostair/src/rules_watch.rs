//! Follows the platform's configuration for jobs made of steps (queues, services, accounts), keeps the newest version
//! and the time at which it was last confirmed, and the requests to evacuate failure domains likewise.
//!
//! A daemon that the platform's store turns away learns the configuration and its age from the scheduler, whose answers to
//! probes carry them. The requests come from the store only, as only the scheduler needs them.

use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::clock::Millis;
use crate::config_check::check_rules;
use crate::edge::RulesSource;
use crate::error::{ErrorKind, Result};
use crate::ids::DomainName;
use crate::kernel::{Kernel, Service};
use crate::message::{Request, Response, RulesAge};
use crate::peers::Peers;
use crate::steps::{DomainGate, EvacuationSource, EvacuationUpdate, Evacuations, Rules, StartBan};

#[cfg(test)]
mod tests;

/// Longest time that the source waits for a change before it answers. Bounds the age of the configuration while the
/// source answers.
const MAX_WAIT: Millis = Millis(1_000);

/// Most findings about one configuration that are logged.
const MAX_LOGGED_FINDINGS: usize = 10;

/// Part of the age at which requests to evacuate count as outdated that a read may wait for a change, as a divisor. A
/// read is confirmed as of its beginning, so that the age reaches the time that two reads take while nothing changes.
const WAIT_PART: u64 = 3;

/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(200);

/// Longest time to read the configuration from another daemon.
const PEER_TIMEOUT: Millis = Millis(1_000);

/// What is known of the configuration.
#[derive(Debug, Default)]
struct Known {
    /// The configuration in force; `None` before the first one was read.
    rules: Option<Arc<Rules>>,
    /// Time at which it was current for certain; `None` before the source or another daemon confirmed it.
    confirmed: Option<Millis>,
    /// When the last request was sent that the source answered; `None` before the first answer.
    source_answered: Option<Millis>,
    /// The requests to evacuate failure domains.
    gate: DomainGate,
    /// Whether a newer version is being read from another daemon.
    fetching: bool,
}

impl Known {
    /// Puts a configuration in force if its version is higher than that of the present one. Returns the version before
    /// if it did.
    fn apply(&mut self, rules: Rules) -> Option<Option<u64>> {
        let before = self.rules.as_ref().map(|rules| rules.version);
        if before.is_some_and(|before| before >= rules.version) {
            return None;
        }
        self.rules = Some(Arc::new(rules));
        Some(before.map(|before| before.0))
    }

    /// Records that the version in force was current `age` before `at`. Nothing is recorded of a time before this
    /// process's clock was started: it would count as later than it was.
    fn confirm(&mut self, at: Millis, age: Millis) {
        let confirmed = at.0.checked_sub(age.0).map(Millis);
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Applies what another daemon said of its configuration in its answer to a request sent at `sent`. Returns whether
    /// it has a newer one. The age was measured after `sent`, so that the configuration was confirmed after `sent - age`.
    fn compare(&mut self, sent: Millis, theirs: RulesAge) -> bool {
        match self.rules.as_ref().map(|rules| rules.version) {
            Some(version) if version > theirs.version => false,
            Some(version) if version == theirs.version => {
                self.confirm(sent, theirs.age);
                false
            }
            _ => true,
        }
    }
}

/// The service that follows the configuration source.
pub(crate) struct RulesWatch {
    kernel: Arc<Kernel>,
    source: Arc<dyn RulesSource>,
    evacuations: EvacuationSource,
    log: slog::Logger,
    known: Mutex<Known>,
}

impl Service for RulesWatch {
    const NAME: &'static str = "rules";
}

impl RulesWatch {
    /// Registers the service and starts to follow the source.
    pub(crate) fn start(
        kernel: &Arc<Kernel>,
        source: Arc<dyn RulesSource>,
        evacuations: EvacuationSource,
        log: slog::Logger,
    ) -> Result<Arc<Self>> {
        let watch = Arc::new(Self {
            kernel: kernel.clone(),
            source,
            evacuations,
            log,
            known: Mutex::default(),
        });
        kernel.register(watch.clone())?;
        kernel.spawn_until_stop(watch.clone().follow());
        Ok(watch)
    }

    fn known(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().expect("rules lock")
    }

    /// The configuration in force; `None` before the first one was read.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.known().rules.clone()
    }

    /// Time since the configuration was last confirmed as current; `None` before it first was.
    pub(crate) fn age(&self) -> Option<Millis> {
        let confirmed = self.known().confirmed;
        confirmed.map(|confirmed| self.kernel.clock.now().since(confirmed))
    }

    /// Time since the last request that the source itself answered; `None` before the first answer.
    pub(crate) fn source_silence(&self) -> Option<Millis> {
        let answered = self.known().source_answered;
        answered.map(|answered| self.kernel.clock.now().since(answered))
    }

    /// The requests to evacuate failure domains, with the time that confirmed them; `None` before the first read.
    pub(crate) fn evacuations(&self) -> Option<Evacuations> {
        self.known().gate.known().cloned()
    }

    /// Why nothing may be started in a failure domain at present; `None` if it may.
    pub(crate) fn start_ban(&self, domain: &DomainName) -> Option<StartBan> {
        let now = self.kernel.clock.now();
        self.known().gate.ban_in(self.evacuations, domain, now)
    }

    /// Time that a read waits for a change.
    fn wait(&self) -> Millis {
        match self.evacuations {
            EvacuationSource::Followed { max_age: Some(max_age) } => MAX_WAIT.min(Millis(max_age.0 / WAIT_PART)),
            EvacuationSource::Followed { max_age: None } | EvacuationSource::None => MAX_WAIT,
        }
    }

    /// Version and age of the configuration in force, for other daemons; `None` before it was first confirmed.
    pub(crate) fn current(&self) -> Option<RulesAge> {
        let known = self.known();
        Some(RulesAge {
            version: known.rules.as_ref()?.version,
            age: self.kernel.clock.now().since(known.confirmed?),
        })
    }

    /// Takes note of the configuration of the daemon at `address`, as told in its answer to a request sent at `sent`,
    /// and reads it from there if it is newer.
    pub(crate) fn compare(self: &Arc<Self>, sent: Millis, theirs: RulesAge, address: &str) {
        let mut known = self.known();
        if known.compare(sent, theirs) && !known.fetching {
            known.fetching = true;
            let fetch = self.clone().fetch(address.to_owned());
            self.kernel.spawn_until_stop(fetch);
        }
    }

    async fn fetch(self: Arc<Self>, address: String) {
        let sent = self.kernel.clock.now();
        let answer = match self.kernel.find::<Peers>() {
            Ok(peers) => peers.call(&address, Request::GetRules, PEER_TIMEOUT).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(Response::Rules { rules, age }) => self.apply((sent, age), Some(*rules), &address),
            Ok(other) => {
                slog::warn!(self.log, "configuration not read from another daemon"; "address" => &address,
                    "answer" => ?other);
            }
            Err(error) => {
                slog::info!(self.log, "configuration not read from another daemon"; "address" => &address,
                    "error" => %error);
            }
        }
        self.known().fetching = false;
    }

    async fn follow(self: Arc<Self>) {
        let mut position = None;
        let mut reached = true;
        loop {
            let sent = self.kernel.clock.now();
            // A read that waits for a change and gets lost is given up later than one that asks for an answer at once.
            let wait = if reached { self.wait() } else { Millis::ZERO };
            let read = self.source.rules(position, wait).await;
            if read.is_ok() != reached {
                reached = read.is_ok();
                match &read {
                    Ok(_) => slog::info!(self.log, "source reached again"),
                    Err(error) => slog::warn!(self.log, "source not reached"; "error" => %error),
                }
            }
            match read {
                Ok((next, update)) => {
                    position = Some(next);
                    self.apply_evacuations(update.evacuations, sent);
                    self.apply((sent, Millis::ZERO), update.rules, "store");
                }
                Err(error) if error.kind == ErrorKind::Expired => position = None,
                Err(_) => {
                    Timer::after(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Applies the requests to evacuate failure domains that the source returned for a read sent at `sent`.
    fn apply_evacuations(&self, update: EvacuationUpdate, sent: Millis) {
        let mut known = self.known();
        known.source_answered = Some(sent);
        for domain in &update.requested {
            slog::info!(self.log, "evacuation requested"; "domain" => %domain, "full" => update.full);
        }
        for domain in &update.withdrawn {
            slog::info!(self.log, "evacuation withdrawn"; "domain" => %domain);
        }
        known.gate.apply(update, sent);
    }

    /// Records that the newest configuration was current `age` before `at`, and puts `rules` in force if they are newer
    /// than the present ones.
    fn apply(&self, (at, age): (Millis, Millis), rules: Option<Rules>, source: &str) {
        let mut known = self.known();
        let (version, size) = (
            rules.as_ref().map(|rules| rules.version.0),
            rules.as_ref().map(|rules| (rules.queues.len(), rules.accounts.len())),
        );
        if let Some(before) = rules.and_then(|rules| known.apply(rules)) {
            let findings = known.rules.as_deref().map_or_else(Vec::new, check_rules);
            for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
                slog::warn!(self.log, "questionable configuration"; "finding" => %finding);
            }
            let (queues, accounts) = size.unwrap_or_default();
            slog::info!(self.log, "applied"; "version" => version, "before" => before, "queues" => queues,
                "accounts" => accounts, "source" => source);
        }
        known.confirm(at, age);
    }
}
