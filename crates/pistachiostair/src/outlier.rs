//! Ejection of workers that fail requests, from the outcomes that their supervisors observe.

use crate::active::ActiveScheduler;
use crate::clock::Millis;
use crate::ids::{JobId, WorkerName};
use crate::worker::{BatchReply, CommandBatch};

/// Time between two probes of a worker.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// Time after which a probe without a reply no longer holds back the next one; commands take at most 3 s.
const PROBE_LOST: Millis = Millis(10_000);

/// The last probe of an ejected worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    sent: Millis,
    replied: bool,
}

impl ActiveScheduler {
    /// Takes in the outcomes of a supervisor's requests, oldest first.
    pub(crate) fn record_outcomes(&mut self, now: Millis, worker: &WorkerName, outcomes: &[bool]) {
        self.set_candidates();
        for success in outcomes {
            if let Some(until) = self.ejector.record(now, worker, *success) {
                let span = until.since(now);
                self.note_ejection(
                    now,
                    "ejected",
                    worker,
                    format!("it fails requests; probed after {span}"),
                );
            }
        }
    }

    /// Sends probes to ejected workers whose span is over.
    pub(crate) fn probe_ejected(&mut self, now: Millis) {
        if self.ejector.ejected(now).is_empty() {
            self.probes.clear();
            return;
        }
        self.set_candidates();
        let due: Vec<WorkerName> = self.ejector.due_probes(now).into_iter().cloned().collect();
        for worker in due {
            let waits = self.probes.get(&worker).is_some_and(|probe| {
                let pause = if probe.replied { PROBE_INTERVAL } else { PROBE_LOST };
                now.since(probe.sent) < pause
            });
            if !waits {
                let replied = false;
                self.probes.insert(worker.clone(), Probe { sent: now, replied });
                self.send_probe(now, &worker);
            }
        }
    }

    /// Takes in the reply to a probe, which is a batch without commands.
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
            self.note_ejection(now, "readmitted", worker, "its probes succeeded".to_owned());
        }
    }

    /// Workers that may be ejected: silence covers the others, which must not use up the cap.
    fn set_candidates(&mut self) {
        let answering = self
            .workers
            .iter()
            .filter(|(_, upstream)| !upstream.unresponsive && !upstream.gone);
        self.ejector.set_upstreams(answering.map(|(name, _)| name.clone()));
    }

    fn note_ejection(&mut self, now: Millis, what: &'static str, worker: &WorkerName, reason: String) {
        self.log(what, JobId(0), vec![worker.clone()], reason);
        let parts = self.workers.get(worker).map(|upstream| &upstream.parts);
        let jobs: Vec<JobId> = parts.into_iter().flatten().map(|task| task.job).collect();
        self.dirty_jobs.extend(jobs);
        self.sync_worker(now, worker);
    }
}
