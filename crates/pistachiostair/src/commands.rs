//! Commands on their way to workers: one batch at a time to each, and renewals many at a time to each supervisor.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{DaemonName, Term, WorkerName};
use crate::kernel::Kernel;
use crate::links::Links;
use crate::members::Members;
use crate::message::{Failure, Renewal, Request, Response};
use crate::supervisor::Supervisor;
use crate::worker::{BatchReply, Command, CommandBatch, CommandResult};

#[cfg(test)]
mod tests;

/// Command batches that may wait for one worker; older ones are given up, since the scheduler sends again.
const MAX_QUEUED_BATCHES: usize = 64;

/// Longest time for commands to reach a worker through its supervisor.
const COMMAND_TIMEOUT: Millis = Millis(3_000);

/// Workers in one request for renewals.
const MAX_RENEWALS: usize = 256;

/// A renewal with the batch that it stands for.
type WorkerBatch = (WorkerName, CommandBatch);

/// Batches that wait for one worker; one is on its way at a time, so that they arrive in order.
#[derive(Default)]
struct WorkerQueue {
    busy: bool,
    waiting: VecDeque<CommandBatch>,
}

/// Commands that wait.
#[derive(Default)]
pub(crate) struct CommandQueues {
    queues: BTreeMap<WorkerName, WorkerQueue>,
    due: BTreeSet<WorkerName>,
    renewals: Vec<WorkerBatch>,
}

impl CommandQueues {
    /// Adds a batch; gives back one that no longer finds room.
    pub(crate) fn push(&mut self, worker: WorkerName, batch: CommandBatch) -> Option<WorkerBatch> {
        if matches!(batch.commands[..], [Command::Renew { .. }]) {
            // Renewals need no order: they name the newest change that they stand for.
            self.renewals.push((worker, batch));
            return None;
        }
        let queue = self.queues.entry(worker.clone()).or_default();
        queue.waiting.push_back(batch);
        if !queue.busy {
            self.due.insert(worker.clone());
        }
        if queue.waiting.len() <= MAX_QUEUED_BATCHES {
            return None;
        }
        queue.waiting.pop_front().map(|batch| (worker, batch))
    }

    /// Takes one batch for each worker that has none on its way.
    pub(crate) fn take_due(&mut self) -> Vec<WorkerBatch> {
        let mut taken = Vec::new();
        for worker in std::mem::take(&mut self.due) {
            let Some(queue) = self.queues.get_mut(&worker) else {
                continue;
            };
            if let Some(batch) = queue.waiting.pop_front() {
                queue.busy = true;
                taken.push((worker, batch));
            }
        }
        taken
    }

    /// Takes note that the batch on its way to a worker was answered or lost.
    pub(crate) fn mark_idle(&mut self, worker: &WorkerName) {
        let Some(queue) = self.queues.get_mut(worker) else {
            return;
        };
        queue.busy = false;
        if queue.waiting.is_empty() {
            self.queues.remove(worker);
        } else {
            self.due.insert(worker.clone());
        }
    }

    /// Takes the renewals, by supervisor and in requests of bounded length.
    pub(crate) fn take_renewals(
        &mut self,
        supervisor: impl Fn(&WorkerName) -> Option<DaemonName>,
    ) -> Vec<(Option<DaemonName>, Vec<WorkerBatch>)> {
        let mut groups: BTreeMap<Option<DaemonName>, Vec<WorkerBatch>> = BTreeMap::new();
        for (worker, batch) in std::mem::take(&mut self.renewals) {
            groups.entry(supervisor(&worker)).or_default().push((worker, batch));
        }
        let chunked = groups.into_iter().flat_map(|(supervisor, group)| {
            let chunks: Vec<Vec<WorkerBatch>> = group.chunks(MAX_RENEWALS).map(<[WorkerBatch]>::to_vec).collect();
            chunks.into_iter().map(move |chunk| (supervisor.clone(), chunk))
        });
        chunked.collect()
    }
}

/// Sends commands to a worker through the daemon that supervises it; nothing if they may be lost.
pub(crate) async fn send(
    kernel: &Kernel,
    log: &slog::Logger,
    worker: &WorkerName,
    batch: &CommandBatch,
) -> Option<BatchReply> {
    match send_batch(kernel, worker, batch).await {
        Ok(reply) => Some(reply),
        Err(error) if error.ran == Ran::No => {
            slog::info!(log, "commands not sent"; "worker" => %worker, "error" => %error);
            Some(BatchReply::Undelivered)
        }
        Err(error) => {
            slog::info!(log, "commands lost"; "worker" => %worker, "error" => %error);
            None
        }
    }
}

/// Sends renewals to one supervisor; gives each back with the worker's reply, or nothing if it may be lost.
pub(crate) async fn renew(
    kernel: &Kernel,
    log: &slog::Logger,
    supervisor: Option<&DaemonName>,
    due: Vec<WorkerBatch>,
) -> Vec<(WorkerName, CommandBatch, Option<BatchReply>)> {
    let replies = match send_renewals(kernel, supervisor, &due).await {
        Ok(replies) => replies,
        Err(error) => {
            slog::info!(log, "renewals lost"; "workers" => due.len(), "error" => %error);
            Vec::new()
        }
    };
    let replies = replies.into_iter().chain(std::iter::repeat(None));
    due.into_iter()
        .zip(replies)
        .map(|((worker, batch), reply)| (worker, batch, reply))
        .collect()
}

async fn send_renewals(
    kernel: &Kernel,
    supervisor: Option<&DaemonName>,
    due: &[WorkerBatch],
) -> Result<Vec<Option<BatchReply>>> {
    let step = "send renewals";
    let supervisor =
        supervisor.ok_or_else(|| Error::msg(ErrorKind::Unavailable, step, "no live daemon of the region"))?;
    let (term, lease, renewals) = to_renewals(due);
    let request = Request::Renew { term, lease, renewals };
    match kernel
        .find::<Links>()?
        .to_daemon(supervisor, request, COMMAND_TIMEOUT)
        .await?
    {
        Response::Renewed { others } => Ok(all_replies(others, due.len())),
        Response::Failed(failure) => Err(failure.into_error(step, supervisor.as_str())),
        _ => Err(Error::msg(ErrorKind::Internal, step, "unexpected response").at(supervisor.as_str())),
    }
}

/// The renewals of one request with their term and their longest lease.
fn to_renewals(due: &[WorkerBatch]) -> (Term, Millis, Vec<Renewal>) {
    let mut span = (Term::default(), Millis::ZERO);
    let mut renewals = Vec::with_capacity(due.len());
    for (worker, batch) in due {
        if let [Command::Renew { seen, except, lease }] = &batch.commands[..] {
            span = (batch.term, span.1.max(*lease));
            renewals.push(Renewal {
                worker: worker.clone(),
                incarnation: batch.incarnation,
                seen: *seen,
                expires: batch.expires,
                lease: Some(*lease),
                except: except.clone(),
            });
        }
    }
    let (term, longest) = span;
    for renewal in &mut renewals {
        renewal.lease = renewal.lease.filter(|lease| *lease < longest);
    }
    (term, longest, renewals)
}

/// Passes renewals on to the workers, all at once, as their supervisor.
pub(crate) async fn deliver_renewals(
    kernel: &Arc<Kernel>,
    term: Term,
    lease: Millis,
    renewals: Vec<Renewal>,
) -> Response {
    let (sender, receiver) = async_channel::bounded(renewals.len().max(1));
    let mut replies = vec![None; renewals.len()];
    for (index, renewal) in renewals.into_iter().enumerate() {
        let kernel_task = kernel.clone();
        let sender = sender.clone();
        kernel.spawn_until_stop(async move {
            let (seen, except) = (renewal.seen, renewal.except);
            let lease = renewal.lease.unwrap_or(lease);
            let commands = vec![Command::Renew { seen, except, lease }];
            let batch = CommandBatch {
                term,
                incarnation: renewal.incarnation,
                expires: renewal.expires,
                commands,
            };
            if let Response::Command(reply) = deliver_commands(&kernel_task, &renewal.worker, &batch).await {
                let _ = sender.send((index, reply)).await;
            }
        });
    }
    drop(sender);
    while let Ok((index, reply)) = receiver.recv().await {
        replies[index] = Some(reply);
    }
    Response::Renewed {
        others: other_replies(replies),
    }
}

/// Reply of a worker that renewed all that it was asked to.
fn renewed() -> Option<BatchReply> {
    Some(BatchReply::Done {
        results: vec![CommandResult::Ok],
    })
}

/// The replies that don't say that the renewal was carried out, with their places.
fn other_replies(replies: Vec<Option<BatchReply>>) -> Vec<(u32, Option<BatchReply>)> {
    let placed = (0..).zip(replies);
    placed.filter(|(_, reply)| *reply != renewed()).collect()
}

/// All of `count` replies. Places beyond them are ignored.
fn all_replies(others: Vec<(u32, Option<BatchReply>)>, count: usize) -> Vec<Option<BatchReply>> {
    let mut replies = vec![renewed(); count];
    for (place, reply) in others {
        if let Some(slot) = replies.get_mut(place as usize) {
            *slot = reply;
        }
    }
    replies
}

/// Sends commands to a worker through the daemon that supervises it.
async fn send_batch(kernel: &Kernel, worker: &WorkerName, batch: &CommandBatch) -> Result<BatchReply> {
    let members = kernel.find::<Members>()?;
    let supervisor = members.supervisor(worker).ok_or_else(|| {
        Error::msg(
            ErrorKind::Unavailable,
            "find supervisor",
            "no live daemon of the region",
        )
        .at(worker.as_str())
    })?;
    let request = Request::Command {
        worker: worker.clone(),
        batch: batch.clone(),
    };
    match kernel
        .find::<Links>()?
        .to_daemon(&supervisor, request, COMMAND_TIMEOUT)
        .await?
    {
        Response::Command(reply) => Ok(reply),
        Response::Failed(failure) => Err(failure.into_error("send commands", worker.as_str())),
        _ => Err(Error::msg(ErrorKind::Internal, "send commands", "unexpected response")
            .at(supervisor.as_str())
            .ran(Ran::Unknown)),
    }
}

/// Passes commands on to a worker, as its supervisor.
pub(crate) async fn deliver_commands(kernel: &Kernel, worker: &WorkerName, batch: &CommandBatch) -> Response {
    let passed = async {
        let address = kernel.find::<Members>()?.worker_address(worker).ok_or_else(|| {
            Error::msg(
                ErrorKind::Unavailable,
                "find worker",
                "the platform's list has no address",
            )
            .at(worker.as_str())
        })?;
        kernel.find::<Supervisor>()?.command(worker, &address, batch).await
    };
    match passed.await {
        Ok(reply) => Response::Command(reply),
        Err(error) => Response::Failed(Failure::from(&error)),
    }
}
