//! Ejection of workers that fail requests: feeds the outcomes that supervisors observe to the region's ejector, and
//! probes ejected workers until they are readmitted. The rules are in `ejection`.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};
use crate::worker::{BatchReply, CommandBatch};

/// Time between two probes of a worker.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// Time after which a probe without a reply counts as lost and the next one is sent; commands take at most 3 s.
const PROBE_TIMEOUT: Millis = Millis(10_000);

/// The last probe sent to an ejected worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    sent_at: Millis,
    replied: bool,
}

impl ActiveScheduler {
    /// Records the outcomes of a supervisor's requests to a worker, oldest first; `true` is a success. Ejects the
    /// worker if it is an outlier.
    pub(crate) fn record_outcomes(&mut self, now: Millis, worker: &WorkerName, outcomes: &[bool]) {
        self.update_candidates();
        for success in outcomes {
            if let Some(until) = self.ejector.record(now, worker, *success) {
                let span = until.since(now);
                self.apply_ejection(
                    now,
                    "ejected",
                    worker,
                    format!("it fails requests; probes start after {span}"),
                );
            }
        }
    }

    /// Sends probes to ejected workers whose ejection time is over.
    pub(crate) fn probe_ejected(&mut self, now: Millis) {
        if self.ejector.ejected(now).is_empty() {
            self.probes.clear();
            return;
        }
        self.update_candidates();
        let due: Vec<WorkerName> = self.ejector.due_probes(now).into_iter().cloned().collect();
        for worker in due {
            let waits = self.probes.get(&worker).is_some_and(|probe| {
                let interval = if probe.replied { PROBE_INTERVAL } else { PROBE_TIMEOUT };
                now.since(probe.sent_at) < interval
            });
            if !waits {
                let replied = false;
                self.probes.insert(worker.clone(), Probe { sent_at: now, replied });
                self.send_probe(now, &worker);
            }
        }
    }

    /// Handles the reply to a probe, which is a batch without commands; `None` if the reply was lost. Readmits the
    /// worker after enough successes. Other batches are ignored.
    pub(crate) fn probe_replied(
        &mut self,
        now: Millis,
        worker: &WorkerName,
        batch: &CommandBatch,
        reply: Option<&BatchReply>,
    ) {
        if !batch.commands.is_empty() {
            return;
        }
        let Some(probe) = self.probes.get_mut(worker).filter(|probe| !probe.replied) else {
            return;
        };
        probe.replied = true;
        let success = reply.is_some_and(|reply| *reply != BatchReply::Expired);
        if self.ejector.record_probe(now, worker, success) {
            self.probes.remove(worker);
            self.apply_ejection(now, "readmitted", worker, "its probes succeeded".to_owned());
        }
    }

    /// Tells the ejector which workers it may eject. Unresponsive workers get no work in any case and must not use up
    /// the cap.
    fn update_candidates(&mut self) {
        let answering = self
            .workers
            .iter()
            .filter(|(_, upstream)| !upstream.unresponsive && !upstream.gone);
        self.ejector.set_upstreams(answering.map(|(name, _)| name.clone()));
    }

    /// Logs that a worker was ejected or readmitted, and has its jobs and the planner follow.
    fn apply_ejection(&mut self, now: Millis, what: &'static str, worker: &WorkerName, reason: String) {
        self.log(what, JobId(0), vec![worker.clone()], reason);
        let parts = self.workers.get(worker).map(|upstream| &upstream.parts);
        let jobs: Vec<JobId> = parts.into_iter().flatten().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.sync_worker(now, worker);
    }
}
