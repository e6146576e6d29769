//! Performs the actions of the scheduler of step jobs: sends orders to workers and answers to callers, writes log
//! lines. While this daemon is the scheduler, it also polls the platform's list of workers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_io::Timer;

use crate::clock::{Clock, Millis};
use crate::edge::{HostList, Hosts};
use crate::error::{ErrorKind, Result};
use crate::ids::{DomainName, Term};
use crate::kernel::Service;
use crate::metrics::Metrics;
use crate::rules_watch::RulesWatch;
use crate::scheduler::Event;
use crate::scheduler_actor::SchedulerActor;
use crate::scheduler_service::Input;
use crate::steps::{HostUpdate, OrderReply, StepsAction, StepsEvent, StepsLog, WITHHELD};

/// Shortest time between two reads of the platform's list of workers while it changes.
const LIST_INTERVAL: Millis = Millis(150);

/// Time that a read waits for a change. A worker that leaves at short notice has 2 s left.
const LIST_WAIT: Millis = Millis(450);

/// Time until the next read after a failed one.
const LIST_RETRY: Millis = Millis(200);

/// Clients of the workers and of the platform's list of them, registered with the kernel.
pub(crate) struct HostClients {
    pub(crate) hosts: Arc<dyn Hosts>,
    pub(crate) listing: Arc<dyn HostList>,
}

impl Service for HostClients {
    const NAME: &'static str = "hosts";
}

/// Outcome of a read of the platform's list of workers, with the position to continue from.
pub(crate) type Listing = Result<(u64, HostUpdate)>;

impl SchedulerActor {
    /// Performs one action. Orders are sent by a task of their own, whose outcome comes back as an event.
    pub(crate) fn perform_step_action(&mut self, action: StepsAction) {
        let clients = match action {
            StepsAction::Reply { token, answer } => {
                if let Some(reply) = self.step_calls.remove(&token) {
                    // Fails if the caller no longer waits.
                    let _ = reply.try_send(answer);
                }
                return;
            }
            StepsAction::Log(line) => return self.log_step(&line),
            StepsAction::Wasted {
                cause,
                account,
                core_millis,
            } => return self.metrics.count_waste(cause, account.as_str(), core_millis),
            StepsAction::Start { .. } | StepsAction::Stop { .. } | StepsAction::Hold { .. } => {
                self.kernel.find::<HostClients>()
            }
        };
        match clients {
            Ok(clients) => {
                let (metrics, clock) = (self.metrics.clone(), self.kernel.clock);
                let (open_orders, term) = (self.open_orders.clone(), self.elected.map(|(term, _)| term));
                open_orders.fetch_add(1, Ordering::Relaxed);
                let (slots, shared) = (self.order_slots.clone(), self.shared.clone());
                let gate = self.start_gate(&action);
                self.spawn_input(async move {
                    // Hold orders wait for ends.
                    let slot = match action {
                        StepsAction::Start { .. } | StepsAction::Stop { .. } => Some(slots.take().await),
                        _ => None,
                    };
                    let sent = clock.now();
                    let current = shared.lock().expect("leader lock").term == term;
                    // The requests may have changed since the decision, while the order waited for its slot.
                    let banned = gate.is_some_and(|(watch, domain)| watch.start_ban(&domain).is_some());
                    let event = match (current, banned) {
                        (true, false) => send_order(clients.hosts.as_ref(), action).await,
                        (true, true) => unsent(action, OrderReply::Withheld),
                        (false, _) => unsent(action, OrderReply::Undelivered),
                    };
                    drop(slot);
                    open_orders.fetch_sub(1, Ordering::Relaxed);
                    count_order(&metrics, &event, clock.now().since(sent));
                    outcome_of(term, Event::Steps(event))
                });
            }
            Err(error) => {
                slog::error!(self.log, "order not sent: no client of the workers is registered"; "error" => %error)
            }
        }
    }

    /// For a start order, what tells whether it may still be sent: the requests to evacuate failure domains, and the
    /// domain of its worker. None for other orders, and without a source of such requests.
    fn start_gate(&self, action: &StepsAction) -> Option<(Arc<RulesWatch>, DomainName)> {
        let StepsAction::Start { target, .. } = action else {
            return None;
        };
        let watch = self.kernel.find::<RulesWatch>().ok()?;
        Some((watch, self.scheduler.step_domain(&target.worker)?))
    }

    /// Writes a decision to the log and counts it in the metrics.
    fn log_step(&self, line: &StepsLog) {
        if line.what == WITHHELD {
            self.metrics.withheld.inc();
        }
        self.metrics.step_decisions.with_label_values(&[line.what]).inc();
        let job = line.job.map(|job| job.to_string());
        let task = line.task.map(|(task, _)| task.to_string());
        let run = line.task.map(|(_, run)| run);
        let worker = line.worker.as_ref().map(|worker| worker.as_str());
        let term = self.elected.map(|(term, _)| term.0);
        slog::info!(self.log, "{}", line.what; "job" => job, "task" => task, "run" => run, "worker" => worker,
            "reason" => &line.reason, "term" => term);
    }

    /// Starts to read the whole list of workers, for [`Self::poll_host_list`].
    pub(crate) fn read_first_list(&mut self) {
        let (sender, first) = async_channel::bounded(1);
        self.first_list = Some(first);
        if let Ok(clients) = self.kernel.find::<HostClients>() {
            let clock = self.kernel.clock;
            self.kernel.spawn_until_stop(async move {
                // Fails if the daemon is no longer the scheduler.
                let _ = sender
                    .send(read_list(clock, &*clients.listing, None, Millis::ZERO).await)
                    .await;
            });
        }
    }

    /// Starts a task that polls the platform's list of workers until this daemon is no longer the scheduler under
    /// `term`. It takes the list whose read was started before, and reads the whole list again when the position to
    /// continue from has expired.
    pub(crate) fn poll_host_list(&mut self, term: Term) {
        let mut first = self.first_list.take();
        let Ok(clients) = self.kernel.find::<HostClients>() else {
            return;
        };
        let (inbox, shared, log) = (self.inbox.clone(), self.shared.clone(), self.log.clone());
        let clock = self.kernel.clock;
        self.kernel.spawn_until_stop(async move {
            let mut position = None;
            let mut reached = true;
            while shared.lock().expect("leader lock").term == Some(term) {
                let started = match first.take() {
                    Some(first) => first.recv().await.ok(),
                    None => None,
                };
                let read = match started {
                    Some(read) => read,
                    None if reached => read_list(clock, &*clients.listing, position, LIST_WAIT).await,
                    None => read_list(clock, &*clients.listing, position, Millis::ZERO).await,
                };
                if read.is_ok() != reached {
                    reached = read.is_ok();
                    slog::info!(log, "reachability of the list of workers changed"; "reached" => reached,
                        "error" => read.as_ref().err().map(ToString::to_string));
                }
                let pause = match read {
                    Ok((next, update)) => {
                        position = Some(next);
                        if inbox.send(Input::Hosts { term, update }).await.is_err() {
                            return;
                        }
                        LIST_INTERVAL
                    }
                    Err(error) if error.kind == ErrorKind::Expired => {
                        position = None;
                        Millis::ZERO
                    }
                    Err(_) => LIST_RETRY,
                };
                Timer::after(pause.duration()).await;
            }
        });
    }
}

/// Reads the list of workers, whole or from `position` on, and notes when the read was requested.
async fn read_list(clock: Clock, listing: &dyn HostList, position: Option<u64>, wait: Millis) -> Listing {
    let confirmed = clock.now();
    let (next, mut update) = listing.hosts(position, wait).await?;
    update.confirmed = confirmed;
    Ok((next, update))
}

/// The outcome of an action that was returned under `term`; none while this daemon was not the scheduler.
pub(crate) fn outcome_of(term: Option<Term>, event: Event) -> Input {
    let event = Box::new(event);
    let term = term.unwrap_or_default();
    Input::Event(Box::new(Event::Outcome { term, event }))
}

/// Counts the outcome of an order and its duration in the metrics.
fn count_order(metrics: &Metrics, event: &StepsEvent, took: Millis) {
    let (kind, outcome) = match event {
        StepsEvent::Started { reply, .. } => ("start", outcome(reply)),
        StepsEvent::Stopped { reply, .. } => ("stop", outcome(reply)),
        StepsEvent::Held { reply: Ok(_), .. } => ("hold", "done"),
        StepsEvent::Held { reply: Err(reply), .. } => ("hold", outcome(reply)),
        StepsEvent::Call { .. } | StepsEvent::Hosts(_) | StepsEvent::Rules(_) | StepsEvent::Evacuations(_) => return,
    };
    metrics.step_orders.with_label_values(&[kind, outcome]).inc();
    metrics
        .order_latency
        .with_label_values(&[kind])
        .observe(took.0 as f64 / 1_000.0);
}

/// The value of the metrics' label `outcome`.
fn outcome(reply: &OrderReply) -> &'static str {
    match reply {
        OrderReply::Done { .. } => "done",
        OrderReply::OldTerm => "old term",
        OrderReply::OldRun => "old run",
        OrderReply::Late => "late",
        OrderReply::NoRoom => "no room",
        OrderReply::OtherIncarnation => "other incarnation",
        OrderReply::Unhealthy => "unhealthy",
        OrderReply::Invalid { .. } => "invalid",
        OrderReply::Undelivered => "undelivered",
        OrderReply::NoListener => "no listener",
        OrderReply::Withheld => "withheld",
        OrderReply::Unanswered => "unanswered",
    }
}

/// The outcome of an order that was not sent, since this daemon is no longer the scheduler that gave it.
fn unsent(action: StepsAction, reply: OrderReply) -> StepsEvent {
    match action {
        StepsAction::Start { target, order } => StepsEvent::Started {
            target,
            task: order.task,
            run: order.run,
            reply,
        },
        StepsAction::Stop { target, task, run, .. } => StepsEvent::Stopped {
            target,
            task,
            run,
            reply,
        },
        StepsAction::Hold { target, order } => StepsEvent::Held {
            target,
            ack: order.ack,
            long_poll: order.wait > Millis::ZERO,
            reply: Err(reply),
        },
        StepsAction::Reply { .. } | StepsAction::Log(_) | StepsAction::Wasted { .. } => {
            unreachable!("handled before")
        }
    }
}

/// Sends an order and returns its outcome as an event.
async fn send_order(hosts: &dyn Hosts, action: StepsAction) -> StepsEvent {
    match action {
        StepsAction::Start { target, order } => StepsEvent::Started {
            reply: hosts.start(&target, &order).await,
            target,
            task: order.task,
            run: order.run,
        },
        StepsAction::Stop {
            target,
            task,
            run,
            term,
        } => StepsEvent::Stopped {
            reply: hosts.stop(&target, (task, run), term).await,
            target,
            task,
            run,
        },
        StepsAction::Hold { target, order } => StepsEvent::Held {
            reply: hosts.hold(&target, &order).await,
            target,
            ack: order.ack,
            long_poll: order.wait > Millis::ZERO,
        },
        StepsAction::Reply { .. } | StepsAction::Log(_) | StepsAction::Wasted { .. } => {
            unreachable!("handled before")
        }
    }
}
