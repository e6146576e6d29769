//! Starts that are withheld because a failure domain is evacuated, or because it is not known which ones are.
//!
//! Runs go on: only what has not been ordered yet is given up. An order whose outcome is not known is not repeated; its
//! run counts as started or not as the worker's lists show.

use std::collections::BTreeMap;

use crate::ids::{DomainName, WorkerName};
use crate::steps::domains::{Evacuations, StartBan};
use crate::steps::engine::{Context, RunPhase, RunStopReason, StepScheduler, StepsAction, StepsLog, TaskRun};
use crate::steps::host::{Host, RunKey};
use crate::steps::outcome::RunOutcome;
use crate::steps::queue::StepKey;

/// Message of the log line about a start that was decided and is not ordered; the metrics count these lines.
pub(crate) const WITHHELD: &str = "withheld";

impl StepScheduler {
    /// Why nothing may be started on a worker because of its failure domain; none if it may.
    pub(crate) fn start_ban(&self, cx: &Context<'_>, worker: &WorkerName) -> Option<StartBan> {
        self.host_ban(cx, self.hosts.get(worker)?)
    }

    /// Like [`Self::start_ban`], of a worker's state.
    pub(crate) fn host_ban(&self, cx: &Context<'_>, host: &Host) -> Option<StartBan> {
        let source = cx.limits.evacuations;
        match &host.info {
            Some(info) => self.gate.ban_in(source, &info.domain, cx.now),
            None => self.gate.ban(source, cx.now),
        }
    }

    /// Whether new tasks may be placed on a worker, as far as it and its failure domain are concerned.
    pub(crate) fn may_start(&self, cx: &Context<'_>, host: &Host) -> bool {
        host.is_usable(cx.now) && self.host_ban(cx, host).is_none()
    }

    /// The failure domain of a worker; none if the worker is not listed.
    pub(crate) fn domain_of(&self, worker: &WorkerName) -> Option<&DomainName> {
        Some(&self.hosts.get(worker)?.info.as_ref()?.domain)
    }

    /// Number of evacuated domains that have workers.
    pub(crate) fn evacuated_domains(&self) -> usize {
        self.evacuated.values().filter(|workers| **workers > 0).count()
    }

    /// Puts the requests in force that the platform has.
    pub(crate) fn update_evacuations(&mut self, cx: &Context<'_>, known: Evacuations) {
        let closed = self.gate.ban(cx.limits.evacuations, cx.now).is_some();
        let before = self.gate.known().map(|before| &before.domains);
        let changed = before != Some(&known.domains);
        self.gate.replace(known, cx.now);
        self.replan |= closed || changed;
        if changed {
            self.expire_reservations(cx);
            self.log_evacuations();
        }
    }

    /// Logs the evacuations that began or ended since the last call. Does nothing before the list of workers was read:
    /// until then no domain has workers.
    pub(crate) fn log_evacuations(&mut self) {
        let requested = self.gate.known().map(|known| &known.domains);
        if !self.workers_known || requested.is_none_or(|domains| domains.is_empty()) && self.evacuated.is_empty() {
            return;
        }
        let mut workers: BTreeMap<&DomainName, usize> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.listed) {
            if let Some(info) = &host.info {
                *workers.entry(&info.domain).or_default() += 1;
            }
        }
        let count = |domain: &DomainName| workers.get(domain).copied().unwrap_or(0);
        let counted = requested
            .into_iter()
            .flatten()
            .map(|domain| (domain.clone(), count(domain)));
        let evacuated: BTreeMap<DomainName, usize> = counted.collect();
        let mut lines = Vec::new();
        for (domain, workers) in &evacuated {
            match (workers, self.evacuated.get(domain)) {
                (0, None) => lines.push((
                    "unknown domain",
                    format!("request to evacuate {domain}, where no worker is"),
                )),
                (1.., None | Some(0)) => {
                    lines.push((
                        "evacuated",
                        format!("domain {domain}: its {workers} workers get no new tasks"),
                    ));
                }
                _ => {}
            }
        }
        for domain in self.evacuated.keys().filter(|domain| !evacuated.contains_key(*domain)) {
            let workers = count(domain);
            lines.push((
                "taken back",
                format!("domain {domain}: its {workers} workers get new tasks again"),
            ));
        }
        self.evacuated = evacuated;
        for (what, reason) in lines {
            self.log_about(what, reason);
        }
    }

    /// Takes note of whether starts are withheld in all domains, and logs when that changes.
    pub(crate) fn note_suspension(&mut self, ban: Option<StartBan>) {
        if std::mem::replace(&mut self.suspended, ban) == ban {
            return;
        }
        let waiting = self.waiting.len();
        match ban {
            Some(ban) => self.log_about("starts suspended", format!("{}; {waiting} steps wait", ban.text())),
            None => self.log_about("starts resumed", format!("{waiting} steps wait")),
        }
    }

    /// Takes note of the steps that a planning pass left waiting although workers of evacuated domains might run them,
    /// with the number of these workers. Each is logged once while it waits so.
    pub(crate) fn note_withheld(&mut self, steps: &BTreeMap<StepKey, usize>) {
        self.withheld.retain(|step| steps.contains_key(step));
        for (step, workers) in steps {
            if self.withheld.insert(*step) {
                let reason = format!("step {}: {}, on {workers} workers", step.2, StartBan::Evacuated.text());
                self.log_job("waits", step.0, reason);
            }
        }
    }

    /// Gives up a start that is not ordered, or not ordered again. `only_order` says that no order was sent that may
    /// still be carried out: the run ends as `Refused`. Otherwise it may have begun, so that it goes on if the worker
    /// lists it, see [`Self::stop_unlisted`].
    pub(crate) fn withhold_start(&mut self, cx: &Context<'_>, key: RunKey, only_order: bool, reason: &str) {
        self.log_run(WITHHELD, key, reason.to_owned());
        if only_order {
            self.end_run(cx, key, RunOutcome::Refused, "");
        } else if let Some(run) = self.runs.get_mut(&key) {
            run.withheld = true;
            let worker = run.worker.clone();
            self.hold_now(cx, &worker);
        }
    }

    /// Stops the withheld runs of a worker that its complete lists don't have: an order that was lost may still arrive.
    pub(crate) fn stop_unlisted(&mut self, cx: &Context<'_>, worker: &WorkerName) {
        let Some(host) = self.hosts.get(worker) else { return };
        let unlisted = |run: &TaskRun| run.withheld && run.phase == RunPhase::Ordered && run.stop.is_none();
        let runs = host.runs.iter().copied();
        let runs: Vec<RunKey> = runs.filter(|key| self.runs.get(key).is_some_and(unlisted)).collect();
        for key in runs {
            self.stop_run(cx, key, RunStopReason::Unanswered);
        }
    }

    /// Writes a log line about no job and no worker.
    fn log_about(&mut self, what: &'static str, reason: String) {
        self.actions.push(StepsAction::Log(StepsLog {
            what,
            job: None,
            task: None,
            worker: None,
            reason,
        }));
    }
}
