//! Answers requests of other daemons, and of this one to itself.

use std::sync::Arc;

use crate::clock::Millis;
use crate::commands::{deliver_commands, deliver_renewals};
use crate::config::Config;
use crate::election::ElectionEvent;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{DaemonName, RegionName};
use crate::kernel::Kernel;
use crate::leader_probe::LeaderProbe;
use crate::members::Members;
use crate::message::{Failure, Request, Response};
use crate::rules_watch::RulesWatch;
use crate::scheduler_service::SchedulerService;

/// Answers a request; failures become a response.
pub(crate) async fn dispatch(
    kernel: Arc<Kernel>,
    region: RegionName,
    from: DaemonName,
    request: Request,
    timeout: Millis,
) -> Response {
    let answer = answer(&kernel, &region, &from, request, timeout).await;
    answer.unwrap_or_else(|error| Response::Failed(Failure::from(&error)))
}

async fn answer(
    kernel: &Arc<Kernel>,
    region: &RegionName,
    from: &DaemonName,
    request: Request,
    timeout: Millis,
) -> Result<Response> {
    let own = |wanted: &RegionName| {
        if wanted == region {
            return Ok(());
        }
        let message = format!("this daemon serves region {region}, not {wanted}");
        Err(Error::msg(ErrorKind::Refused, "find region", message))
    };
    match request {
        Request::Heartbeat(heartbeat) => Ok(kernel.find::<Members>()?.receive(*heartbeat)),
        Request::Command { worker, batch } => Ok(deliver_commands(kernel, &worker, &batch).await),
        Request::Report {
            region: wanted,
            worker,
            changes,
        } => {
            own(&wanted)?;
            Ok(kernel
                .find::<SchedulerService>()?
                .report(worker, changes.map(|changes| *changes)))
        }
        Request::Alive {
            region: wanted,
            workers,
            outcomes,
        } => {
            own(&wanted)?;
            Ok(kernel.find::<SchedulerService>()?.alive(workers, outcomes))
        }
        Request::Listed { changed, removed } => {
            kernel.find::<Members>()?.take_list(from.clone(), changed, &removed);
            Ok(Response::Ack)
        }
        Request::Renew { term, lease, renewals } => Ok(deliver_renewals(kernel, term, lease, renewals).await),
        Request::Call { region: wanted, call } => {
            own(&wanted)?;
            Ok(kernel.find::<SchedulerService>()?.call(call, timeout).await)
        }
        Request::Policy { revision, document } => {
            kernel.find::<Config>()?.apply(revision, &document, from.as_str());
            Ok(Response::Ack)
        }
        Request::Steps { call } => Ok(Response::Steps(
            kernel.find::<SchedulerService>()?.call_steps(call, timeout).await,
        )),
        Request::Beat { address, capacity } => Ok(kernel.find::<LeaderProbe>()?.answer_probe(from, address, capacity)),
        Request::Leading { term, address } => {
            kernel
                .find::<SchedulerService>()?
                .learn_leader(from.clone(), term, address);
            Ok(Response::Ack)
        }
        Request::Vacant { pause } => {
            kernel
                .find::<SchedulerService>()?
                .election_event(ElectionEvent::Released { pause });
            Ok(Response::Ack)
        }
        Request::GetRules => {
            let watch = kernel.find::<RulesWatch>()?;
            let unknown = || Error::msg(ErrorKind::Unavailable, "read configuration", "it is not known yet");
            let age = watch.age().ok_or_else(unknown)?;
            let rules = watch.rules().ok_or_else(unknown)?;
            Ok(Response::Rules {
                rules: Box::new((*rules).clone()),
                age,
            })
        }
        Request::GetPolicy => {
            let (revision, document) = kernel.find::<Config>()?.document();
            Ok(Response::Policy { revision, document })
        }
    }
}
