//! What the platform's list and the workers' own lists tell.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::ids::{Incarnation, WorkerName};
use crate::steps::engine::{Context, HoldReply, OrderReply, RunOrigin, RunPhase, StepScheduler, Target};
use crate::steps::fate::Fate;
use crate::steps::host::{Host, HostInfo, HostUpdate, RunKey};
use crate::steps::progress::RunProgress;
use crate::steps::queue::StepKey;

/// Longest time that a run takes to resume from a checkpoint.
pub(crate) const RESTORE_TIME: Millis = Millis(600);

impl StepScheduler {
    /// Takes in news of the platform's list.
    pub(crate) fn take_list(&mut self, cx: &Context<'_>, update: HostUpdate) {
        if update.full {
            for host in self.hosts.values_mut() {
                host.listed = false;
            }
            self.workers_known = true;
        }
        for worker in &update.removed {
            if let Some(host) = self.hosts.get_mut(worker) {
                host.listed = false;
                self.log_worker("unlisted", worker, "the platform's list dropped it".to_owned());
            }
        }
        for info in update.changed {
            self.take_entry(cx, info);
        }
        self.hosts.retain(|_, host| host.listed || !host.runs.is_empty());
        self.replan = true;
    }

    fn take_entry(&mut self, cx: &Context<'_>, info: HostInfo) {
        let worker = info.name.clone();
        let host = self.hosts.entry(worker.clone());
        let host = host.or_insert_with(|| Host::new(info.incarnation, Millis::ZERO));
        host.listed = true;
        let left = info.remaining.unwrap_or_default();
        let leaves = host.leaves.unwrap_or(Millis::MAX).min(cx.now + left);
        host.leaves = info.draining.then_some(leaves);
        let restarted = info.incarnation > host.incarnation;
        let changed = host.info.as_ref() != Some(&info);
        let draining = info.draining;
        let incarnation = info.incarnation;
        host.info = Some(info);
        if restarted {
            self.restart(cx, &worker, incarnation);
        } else if changed {
            self.log_worker(
                "listed",
                &worker,
                format!("incarnation {incarnation}, draining {draining}, {left} left"),
            );
        }
    }

    /// A worker runs as a new incarnation: what ran there before is gone.
    fn restart(&mut self, cx: &Context<'_>, worker: &WorkerName, incarnation: Incarnation) {
        let Some(host) = self.hosts.get_mut(worker) else { return };
        let before = host.incarnation;
        host.restart(incarnation);
        let runs: Vec<RunKey> = host.runs.iter().copied().collect();
        self.log_worker("restarted", worker, format!("incarnation {incarnation} after {before}"));
        for run in runs {
            if self.runs.get(&run).is_some_and(|run| run.incarnation < incarnation) {
                self.end(cx, run, Fate::Lost, "");
            }
        }
    }

    /// Takes in a worker's lists, or the lack of them.
    pub(crate) fn held(
        &mut self,
        cx: &Context<'_>,
        target: &Target,
        (ack, waited): (u64, bool),
        reply: Result<HoldReply, OrderReply>,
    ) {
        let (worker, incarnation) = (&target.worker, target.incarnation);
        let Some(host) = self.hosts.get_mut(worker) else { return };
        match waited {
            true => host.holding = false,
            false => host.looking = false,
        }
        self.touched.insert(worker.clone());
        let reply = match reply {
            Ok(reply) => reply,
            Err(failure) => {
                self.outdated |= failure == OrderReply::OldTerm;
                if host.failures == 0 && host.incarnation == incarnation {
                    self.log_worker("unreachable", worker, format!("the hold met {failure:?}"));
                }
                self.answered(cx, target, &failure);
                return;
            }
        };
        if reply.incarnation > host.incarnation {
            self.restart(cx, worker, reply.incarnation);
        }
        let Some(host) = self.hosts.get_mut(worker) else { return };
        if reply.incarnation < host.incarnation {
            return;
        }
        if host.failures > 0 {
            self.log_worker("reachable", worker, "it answers again".to_owned());
        }
        let Some(host) = self.hosts.get_mut(worker) else { return };
        host.failures = 0;
        if !host.claimed || !host.is_usable(cx.now) {
            self.replan = true;
        }
        host.claimed = true;
        host.read_clock(reply.clock, cx.now);
        if incarnation == reply.incarnation {
            host.acknowledge(ack);
        }
        self.take_ends(cx, worker, &reply);
        self.take_running(cx, worker, &reply);
        self.take_absent(cx, worker, &reply);
        let groups: BTreeSet<StepKey> = reply.running.iter().map(|line| line.task.step_key()).collect();
        for group in groups {
            self.check_stragglers(cx, group);
        }
    }

    fn take_ends(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        for end in &reply.finished {
            let key = (end.task, end.run);
            let Some(host) = self.hosts.get_mut(worker) else { return };
            if !host.list_end(end.number, key) {
                continue;
            }
            let known = self
                .runs
                .get(&key)
                .is_some_and(|run| run.incarnation == reply.incarnation);
            if known {
                self.end(cx, key, end.outcome, &end.checkpoint);
            }
            if !self.runs.contains_key(&key)
                && let Some(host) = self.hosts.get_mut(worker)
            {
                host.settle_end(key);
            }
        }
    }

    fn take_running(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        for line in &reply.running {
            let key = (line.task, line.run);
            match self
                .runs
                .get_mut(&key)
                .filter(|run| run.incarnation == reply.incarnation)
            {
                Some(run) if run.phase == RunPhase::Ended => {}
                Some(run) => {
                    if run.phase == RunPhase::Ordered {
                        run.phase = RunPhase::Live;
                        run.since = cx.now;
                    }
                    run.seen = Some(run.seen.unwrap_or_default().max(reply.clock));
                    match &mut run.progress {
                        Some(progress) => progress.advance(line.percent, cx.now),
                        None => {
                            let start = match run.origin {
                                RunOrigin::Fresh => (0, run.since),
                                RunOrigin::Checkpoint => (line.percent, cx.now + RESTORE_TIME),
                                RunOrigin::Recovered => (line.percent, cx.now),
                            };
                            run.progress = Some(RunProgress::first(start, line.percent, cx.now));
                        }
                    }
                    if !line.checkpoint.is_empty() {
                        run.checkpoint.clone_from(&line.checkpoint);
                    }
                }
                None => {
                    let target = self.target(worker, reply.incarnation);
                    self.log_worker(
                        "stray run",
                        worker,
                        format!("{} run {} is stopped", line.task, line.run),
                    );
                    if let Some(target) = target {
                        self.stop_at(target, key);
                    }
                }
            }
        }
    }

    /// Runs that the worker has neither running nor ended: a confirmed one that it no longer has, or one that was
    /// stopped before it began.
    fn take_absent(&mut self, cx: &Context<'_>, worker: &WorkerName, reply: &HoldReply) {
        let Some(host) = self.hosts.get(worker) else { return };
        let mut absent = Vec::new();
        for key in &host.runs {
            let Some(run) = self.runs.get(key).filter(|run| run.incarnation == reply.incarnation) else {
                continue;
            };
            let there = reply.running.iter().any(|line| (line.task, line.run) == *key);
            let confirmed = run.phase == RunPhase::Live && run.seen.is_some_and(|seen| seen < reply.clock);
            let acked = run
                .stop
                .and_then(|halt| halt.confirmed_at)
                .is_some_and(|acked| acked < reply.clock);
            let ordered = matches!(run.phase, RunPhase::Live | RunPhase::Ordered);
            if !there && ordered && (confirmed || acked) {
                absent.push(*key);
            }
        }
        for key in absent {
            self.end(cx, key, Fate::Refused, "");
        }
    }
}
