//! Follows the platform's configuration for jobs made of steps (queues, services, accounts), keeps the newest version
//! and the time at which it was last confirmed.

use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::clock::Millis;
use crate::edge::RulesSource;
use crate::error::{ErrorKind, Result};
use crate::kernel::{Kernel, Service};
use crate::steps::Rules;

/// Longest time that the source waits for a change before it answers. Bounds the age of the configuration while the
/// source answers.
const MAX_WAIT: Millis = Millis(1_000);

/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(200);

#[derive(Default)]
struct Shared {
    /// The configuration in force; `None` before the first one was read.
    rules: Option<Arc<Rules>>,
    /// When the last request was sent that the source answered; `None` before the first answer.
    confirmed: Option<Millis>,
}

/// The service that follows the configuration source.
pub(crate) struct RulesWatch {
    kernel: Arc<Kernel>,
    source: Arc<dyn RulesSource>,
    log: slog::Logger,
    shared: Mutex<Shared>,
}

impl Service for RulesWatch {
    const NAME: &'static str = "rules";
}

impl RulesWatch {
    /// Registers the service and starts to follow the source.
    pub(crate) fn start(kernel: &Arc<Kernel>, source: Arc<dyn RulesSource>, log: slog::Logger) -> Result<Arc<Self>> {
        let watch = Arc::new(Self {
            kernel: kernel.clone(),
            source,
            log,
            shared: Mutex::default(),
        });
        kernel.register(watch.clone())?;
        kernel.spawn_until_stop(watch.clone().follow());
        Ok(watch)
    }

    /// The configuration in force; `None` before the first one was read.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.shared.lock().expect("rules lock").rules.clone()
    }

    /// Time since the configuration was last confirmed as current; `None` before the source first answered.
    pub(crate) fn age(&self) -> Option<Millis> {
        let confirmed = self.shared.lock().expect("rules lock").confirmed;
        confirmed.map(|confirmed| self.kernel.clock.now().since(confirmed))
    }

    async fn follow(self: Arc<Self>) {
        let mut position = None;
        let mut reached = true;
        loop {
            let sent = self.kernel.clock.now();
            let read = self.source.rules(position, MAX_WAIT).await;
            if read.is_ok() != reached {
                reached = read.is_ok();
                match &read {
                    Ok(_) => slog::info!(self.log, "source reached again"),
                    Err(error) => slog::warn!(self.log, "source not reached"; "error" => %error),
                }
            }
            match read {
                Ok((next, rules)) => {
                    position = Some(next);
                    self.apply(sent, rules);
                }
                Err(error) if error.kind == ErrorKind::Expired => position = None,
                Err(_) => {
                    Timer::after(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Records an answer to the request sent at `sent`, and puts its configuration in force if its version is higher
    /// than that of the present one.
    fn apply(&self, sent: Millis, rules: Option<Rules>) {
        let mut shared = self.shared.lock().expect("rules lock");
        shared.confirmed = Some(sent);
        let Some(rules) = rules else { return };
        let before = shared.rules.as_ref().map(|rules| rules.version);
        if before.is_some_and(|before| before >= rules.version) {
            return;
        }
        slog::info!(self.log, "applied"; "version" => rules.version.0, "before" => before.map(|before| before.0),
            "queues" => rules.queues.len(), "accounts" => rules.accounts.len());
        shared.rules = Some(Arc::new(rules));
    }
}
