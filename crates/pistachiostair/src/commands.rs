//! Delivery of the scheduler's commands to workers, through the daemon that supervises each worker.
//!
//! Each worker gets one batch at a time, so that batches arrive in order. Renewals of leases need no order, and are
//! sent many at a time to each supervisor.

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

/// Maximum number of queued batches for one worker. Beyond it the oldest is dropped, since the scheduler sends again.
const MAX_QUEUED_BATCHES: usize = 64;

/// Time limit for a supervisor's answer to commands or renewals, the delivery to the workers included.
const COMMAND_TIMEOUT: Millis = Millis(3_000);

/// Maximum number of workers in one renewal request.
const MAX_RENEWALS: usize = 256;

/// A batch of commands with the worker that it is for.
type WorkerBatch = (WorkerName, CommandBatch);

/// Batches queued for one worker.
#[derive(Default)]
struct WorkerQueue {
    /// Whether a batch is in flight; the others wait until it is answered or lost.
    busy: bool,
    batches: VecDeque<CommandBatch>,
}

/// Commands that the scheduler has not sent yet.
#[derive(Default)]
pub(crate) struct CommandQueues {
    queues: BTreeMap<WorkerName, WorkerQueue>,
    /// Workers with queued batches and none in flight.
    due: BTreeSet<WorkerName>,
    renewals: Vec<WorkerBatch>,
}

impl CommandQueues {
    /// Queues a batch. Returns the worker's oldest queued batch if its queue is full; that one will not be sent.
    pub(crate) fn push(&mut self, worker: WorkerName, batch: CommandBatch) -> Option<WorkerBatch> {
        if matches!(batch.commands[..], [Command::Renew { .. }]) {
            // Renewals need no order: each names the newest change that it acknowledges.
            self.renewals.push((worker, batch));
            return None;
        }
        let queue = self.queues.entry(worker.clone()).or_default();
        queue.batches.push_back(batch);
        if !queue.busy {
            self.due.insert(worker.clone());
        }
        if queue.batches.len() <= MAX_QUEUED_BATCHES {
            return None;
        }
        queue.batches.pop_front().map(|batch| (worker, batch))
    }

    /// Takes the oldest batch of each worker that has none in flight. It counts as in flight until
    /// [`Self::mark_idle`].
    pub(crate) fn take_due(&mut self) -> Vec<WorkerBatch> {
        let mut taken = Vec::new();
        for worker in std::mem::take(&mut self.due) {
            let Some(queue) = self.queues.get_mut(&worker) else {
                continue;
            };
            if let Some(batch) = queue.batches.pop_front() {
                queue.busy = true;
                taken.push((worker, batch));
            }
        }
        taken
    }

    /// Records that the batch in flight to a worker was answered or lost, so that the next one may be sent.
    pub(crate) fn mark_idle(&mut self, worker: &WorkerName) {
        let Some(queue) = self.queues.get_mut(worker) else {
            return;
        };
        queue.busy = false;
        if queue.batches.is_empty() {
            self.queues.remove(worker);
        } else {
            self.due.insert(worker.clone());
        }
    }

    /// Takes all renewals, grouped by the daemon that supervises the worker, in groups of at most [`MAX_RENEWALS`].
    /// `None` stands for workers without a supervisor.
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

/// Sends commands to a worker through the daemon that supervises it. Returns `Undelivered` if they certainly did not
/// arrive, and `None` if no reply came and they may have arrived.
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
            slog::info!(log, "no reply to commands; they may have arrived"; "worker" => %worker, "error" => %error);
            None
        }
    }
}

/// Sends renewals to one supervisor in one request. Returns each batch with the worker's reply; `None` if no reply came
/// and the renewal may or may not have arrived.
pub(crate) async fn renew(
    kernel: &Kernel,
    log: &slog::Logger,
    supervisor: Option<&DaemonName>,
    batches: Vec<WorkerBatch>,
) -> Vec<(WorkerName, CommandBatch, Option<BatchReply>)> {
    let replies = match send_renewals(kernel, supervisor, &batches).await {
        Ok(replies) => replies,
        Err(error) => {
            slog::info!(log, "no replies to renewals"; "workers" => batches.len(), "error" => %error);
            Vec::new()
        }
    };
    let replies = replies.into_iter().chain(std::iter::repeat(None));
    batches
        .into_iter()
        .zip(replies)
        .map(|((worker, batch), reply)| (worker, batch, reply))
        .collect()
}

/// Sends one renewal request. The replies are in the order of `batches`.
async fn send_renewals(
    kernel: &Kernel,
    supervisor: Option<&DaemonName>,
    batches: &[WorkerBatch],
) -> Result<Vec<Option<BatchReply>>> {
    let step = "send renewals";
    let supervisor =
        supervisor.ok_or_else(|| Error::msg(ErrorKind::Unavailable, step, "no live daemon of the region"))?;
    let (term, lease, renewals) = to_renewals(batches);
    let request = Request::Renew { term, lease, renewals };
    match kernel
        .find::<Links>()?
        .to_daemon(supervisor, request, COMMAND_TIMEOUT)
        .await?
    {
        Response::Renewed { others } => Ok(all_replies(others, batches.len())),
        Response::Failed(failure) => Err(failure.into_error(step, supervisor.as_str())),
        _ => Err(Error::msg(ErrorKind::Internal, step, "unexpected response").at(supervisor.as_str())),
    }
}

/// Converts batches to the renewals of one request, and returns them with their term and the longest lease. A renewal
/// with that lease leaves its own out.
fn to_renewals(batches: &[WorkerBatch]) -> (Term, Millis, Vec<Renewal>) {
    let mut term_and_lease = (Term::default(), Millis::ZERO);
    let mut renewals = Vec::with_capacity(batches.len());
    for (worker, batch) in batches {
        if let [Command::Renew { seen, except, lease }] = &batch.commands[..] {
            term_and_lease = (batch.term, term_and_lease.1.max(*lease));
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
    let (term, longest) = term_and_lease;
    for renewal in &mut renewals {
        renewal.lease = renewal.lease.filter(|lease| *lease < longest);
    }
    (term, longest, renewals)
}

/// Delivers renewals to this daemon's workers, all at the same time, and returns the replies when all are in. `lease`
/// applies to the renewals that contain none. Called on the supervisor.
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

/// Reply of a worker that carried out a renewal.
fn renewed() -> Option<BatchReply> {
    Some(BatchReply::Done {
        results: vec![CommandResult::Ok],
    })
}

/// The replies other than [`renewed`], each with its index. Most renewals succeed, and their replies are left out.
fn other_replies(replies: Vec<Option<BatchReply>>) -> Vec<(u32, Option<BatchReply>)> {
    let indexed = (0..).zip(replies);
    indexed.filter(|(_, reply)| *reply != renewed()).collect()
}

/// Restores all `count` replies from those that [`other_replies`] returned. An index that is out of range is ignored.
fn all_replies(others: Vec<(u32, Option<BatchReply>)>, count: usize) -> Vec<Option<BatchReply>> {
    let mut replies = vec![renewed(); count];
    for (index, reply) in others {
        if let Some(slot) = replies.get_mut(index as usize) {
            *slot = reply;
        }
    }
    replies
}

/// Sends commands to a worker through the daemon that supervises it.
///
/// # Errors
///
/// `Unavailable` if no live daemon supervises the worker; [`Ran::Unknown`] if the commands may have arrived.
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

/// Delivers commands to one of this daemon's workers and returns its reply, or the failure. Called on the supervisor.
pub(crate) async fn deliver_commands(kernel: &Kernel, worker: &WorkerName, batch: &CommandBatch) -> Response {
    let delivery = async {
        let address = kernel.find::<Members>()?.worker_address(worker).ok_or_else(|| {
            Error::msg(
                ErrorKind::Unavailable,
                "find worker",
                "the platform's list of VMs has no address of the worker",
            )
            .at(worker.as_str())
        })?;
        kernel.find::<Supervisor>()?.command(worker, &address, batch).await
    };
    match delivery.await {
        Ok(reply) => Response::Command(reply),
        Err(error) => Response::Failed(Failure::from(&error)),
    }
}
