//! Requests to other daemons and to the schedulers of regions, found by name.

use std::sync::{Arc, Mutex};

use futures_lite::future;

use crate::clock::Millis;
use crate::config::Config;
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::{DaemonName, RegionName};
use crate::kernel::{Kernel, Service};
use crate::members::Members;
use crate::message::{Call, Leader, Request, Response};
use crate::peers::Peers;
use crate::retry::RetryBudget;
use crate::scheduler_service::{SchedulerService, mutates};

/// Pause between two attempts to reach a region's scheduler.
const RETRY_PAUSE: Millis = Millis(150);

/// Longest time for one attempt before the scheduler is looked up again.
const ATTEMPT_TIMEOUT: Millis = Millis(3_000);

/// Time after which a call to a region that is cut off makes sense again: its daemons are tried every 3 s.
const CUT_OFF_RETRY: Millis = Millis(3_000);

/// Answers requests of this daemon to itself, without a link.
pub(crate) type Dispatch = Arc<dyn Fn(DaemonName, Request, Millis) -> future::Boxed<Response> + Send + Sync>;

/// Routes requests between daemons.
pub(crate) struct Links {
    kernel: Arc<Kernel>,
    me: DaemonName,
    dispatch: Dispatch,
    budget: Mutex<RetryBudget>,
}

impl Service for Links {
    const NAME: &'static str = "links";
}

impl Links {
    pub(crate) fn new(kernel: Arc<Kernel>, me: DaemonName, dispatch: Dispatch) -> Self {
        Self {
            kernel,
            me,
            dispatch,
            budget: Mutex::default(),
        }
    }

    /// Sends a request to a daemon and waits for the response.
    pub(crate) async fn to_daemon(&self, daemon: &DaemonName, request: Request, timeout: Millis) -> Result<Response> {
        if *daemon == self.me {
            return Ok((self.dispatch)(self.me.clone(), request, timeout).await);
        }
        let address = self.kernel.find::<Members>()?.address(daemon).ok_or_else(|| {
            Error::msg(ErrorKind::Unavailable, "find daemon", "its address is not known").at(daemon.as_str())
        })?;
        self.kernel.find::<Peers>()?.call(&address, request, timeout).await
    }

    /// The scheduler of a region, as far as this daemon knows.
    pub(crate) fn leader(&self, region: &RegionName) -> Option<Leader> {
        let own = self
            .kernel
            .find::<SchedulerService>()
            .ok()
            .and_then(|govern| govern.leader(region));
        let heard = self
            .kernel
            .find::<Members>()
            .ok()
            .and_then(|members| members.leader(region));
        own.into_iter().chain(heard).max_by_key(|leader| leader.term)
    }

    /// Sends a request to a region's scheduler once.
    pub(crate) async fn to_leader(&self, region: &RegionName, request: Request, timeout: Millis) -> Result<Response> {
        if self.is_cut_off(region) {
            return Err(cut_off(region));
        }
        let leader = self.leader(region).ok_or_else(|| no_leader(region))?;
        self.to_daemon(&leader.daemon, request, timeout).await
    }

    /// Whether no daemon of another region is known to be alive, as with a name that no region has. A region that only lost its scheduler elects a new one
    /// within seconds; one that is cut off may be so for an hour, so that callers are not kept waiting.
    fn is_cut_off(&self, region: &RegionName) -> bool {
        let members = self.kernel.find::<Members>();
        members.is_ok_and(|members| !members.is_reachable(region))
    }

    /// Sends a caller's request to a region's scheduler, again while that is safe and `deadline` has not passed.
    ///
    /// After an attempt of unknown outcome only a call is sent again that has the same effect and the
    /// same answer twice: a conditional write would meet its own change as a conflict.
    pub(crate) async fn call(&self, region: &RegionName, call: &Call, deadline: Millis) -> Result<Response> {
        let mut ran = Ran::No;
        self.budget
            .lock()
            .expect("budget lock")
            .record_request(self.kernel.clock.now());
        loop {
            let left = deadline.since(self.kernel.clock.now());
            let request = Request::Call {
                region: region.clone(),
                call: call.clone(),
            };
            let limit = Millis(left.0.min(attempt_timeout(call).0));
            let result = match self.to_leader(region, request, limit).await {
                Ok(Response::Failed(failure)) => Err(failure.into_error("call scheduler", region.as_str())),
                other => other,
            };
            let mut error = match result {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            // An attempt of unknown outcome is not made known by a later refusal.
            if error.ran != Ran::No {
                ran = error.ran;
            }
            let passing = matches!(error.kind, ErrorKind::Unavailable | ErrorKind::Timeout);
            let pause = Millis(error.retry.unwrap_or(RETRY_PAUSE.0).clamp(20, 1_000));
            // Only a request that reached a scheduler counts as load on it.
            let allowed = error.ran == Ran::No
                || self
                    .budget
                    .lock()
                    .expect("budget lock")
                    .try_retry(self.kernel.clock.now());
            // While this daemon can't reach the table service either, no new scheduler is to be expected soon.
            let outage =
                error.ran == Ran::No && !self.kernel.find::<Config>().is_ok_and(|config| config.store_reached());
            let again = ran == Ran::No || is_repeatable(call);
            let cut_off = error.ran == Ran::No && self.is_cut_off(region);
            if !passing || outage || cut_off || !allowed || !again || self.kernel.clock.now() + pause >= deadline {
                if mutates(call) && ran != Ran::No {
                    error.ran = ran;
                }
                if cut_off {
                    error.retry.get_or_insert(CUT_OFF_RETRY.0);
                }
                return Err(error);
            }
            async_io::Timer::after(pause.duration()).await;
        }
    }
}

/// A waiting call may take as long as its wait.
fn attempt_timeout(call: &Call) -> Millis {
    match call {
        Call::Wait { wait, .. } | Call::List { wait, .. } => *wait + ATTEMPT_TIMEOUT,
        _ => ATTEMPT_TIMEOUT,
    }
}

fn is_repeatable(call: &Call) -> bool {
    match call {
        Call::PutGuarantee { revision, .. } => revision.is_none(),
        Call::Cancel { revision, .. } => revision.is_none(),
        Call::DeleteGuarantee { .. } => false,
        _ => true,
    }
}

fn cut_off(region: &RegionName) -> Error {
    let message = "no daemon of the region can be reached at present";
    Error::msg(ErrorKind::Unavailable, "find scheduler", message)
        .at(region.as_str())
        .retry_after(CUT_OFF_RETRY.0)
}

fn no_leader(region: &RegionName) -> Error {
    Error::msg(
        ErrorKind::Unavailable,
        "find scheduler",
        "the region has no scheduler at present",
    )
    .at(region.as_str())
    .retry_after(500)
}
