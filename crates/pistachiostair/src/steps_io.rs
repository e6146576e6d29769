//! Carries out what the scheduler of steps decides: orders to workers, answers to callers, lines for the log.

use std::sync::Arc;

use async_io::Timer;

use crate::clock::Millis;
use crate::edge::{HostList, Hosts};
use crate::error::ErrorKind;
use crate::govern::Input;
use crate::govern_actor::Actor;
use crate::ids::Term;
use crate::kernel::Service;
use crate::metrics::Metrics;
use crate::scheduler::Event;
use crate::steps::{OrderReply, StepsAction, StepsEvent, StepsLog};

/// Time between two reads of the platform's list. A worker that leaves must get nothing new within 2 s.
const LIST_INTERVAL: Millis = Millis(600);

/// Pause after the list could not be read.
const LIST_RETRY: Millis = Millis(200);

/// Workers and their list, found by name.
pub(crate) struct HostEdges {
    pub(crate) hosts: Arc<dyn Hosts>,
    pub(crate) listing: Arc<dyn HostList>,
}

impl Service for HostEdges {
    const NAME: &'static str = "hosts";
}

impl Actor {
    pub(crate) fn step_action(&mut self, action: StepsAction) {
        let edges = match action {
            StepsAction::Reply { token, answer } => {
                if let Some(reply) = self.step_calls.remove(&token) {
                    // The caller may no longer wait.
                    let _ = reply.try_send(answer);
                }
                return;
            }
            StepsAction::Log(line) => return self.log_step(&line),
            StepsAction::Start { .. } | StepsAction::Stop { .. } | StepsAction::Hold { .. } => {
                self.kernel.find::<HostEdges>()
            }
        };
        match edges {
            Ok(edges) => {
                let (metrics, clock) = (self.metrics.clone(), self.kernel.clock);
                self.reply_later(async move {
                    let sent = clock.now();
                    let event = order(edges.hosts.as_ref(), action).await;
                    count(&metrics, &event, clock.now().since(sent));
                    Input::Event(Box::new(Event::Steps(event)))
                });
            }
            Err(error) => slog::error!(self.log, "order not sent"; "error" => %error),
        }
    }

    fn log_step(&self, line: &StepsLog) {
        self.metrics.step_decisions.with_label_values(&[line.what]).inc();
        let job = line.job.map(|job| job.to_string());
        let task = line.task.map(|(task, _)| task.to_string());
        let run = line.task.map(|(_, run)| run);
        let worker = line.worker.as_ref().map(|worker| worker.as_str());
        let term = self.elected.map(|(term, _)| term.0);
        slog::info!(self.log, "{}", line.what; "job" => job, "task" => task, "run" => run, "worker" => worker,
            "reason" => &line.reason, "term" => term);
    }

    /// Follows the platform's list of workers for as long as the term lasts.
    pub(crate) fn follow_hosts(&self, term: Term) {
        let Ok(edges) = self.kernel.find::<HostEdges>() else {
            return;
        };
        let (inbox, shared, log) = (self.inbox.clone(), self.shared.clone(), self.log.clone());
        self.kernel.spawn_until_stop(async move {
            let mut position = None;
            let mut reached = true;
            while shared.lock().expect("leader lock").term == Some(term) {
                let read = edges.listing.hosts(position).await;
                if read.is_ok() != reached {
                    reached = read.is_ok();
                    slog::info!(log, "list of workers"; "reached" => reached,
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

fn count(metrics: &Metrics, event: &StepsEvent, took: Millis) {
    let (kind, outcome) = match event {
        StepsEvent::Started { reply, .. } => ("start", outcome(reply)),
        StepsEvent::Stopped { reply, .. } => ("stop", outcome(reply)),
        StepsEvent::Held { reply: Ok(_), .. } => ("hold", "done"),
        StepsEvent::Held { reply: Err(reply), .. } => ("hold", outcome(reply)),
        StepsEvent::Call { .. } | StepsEvent::Hosts(_) | StepsEvent::Rules(_) => return,
    };
    metrics.step_orders.with_label_values(&[kind, outcome]).inc();
    metrics
        .order_latency
        .with_label_values(&[kind])
        .observe(took.0 as f64 / 1_000.0);
}

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
        OrderReply::Unanswered => "unanswered",
    }
}

/// Sends an order and turns its outcome into an event.
async fn order(hosts: &dyn Hosts, action: StepsAction) -> StepsEvent {
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
        StepsAction::Reply { .. } | StepsAction::Log(_) => unreachable!("handled before"),
    }
}
