//! The configuration of jobs made of steps as this daemon knows it, and how old that knowledge is.

use std::sync::{Arc, Mutex};

use async_io::Timer;

use crate::clock::Millis;
use crate::edge::RulesSource;
use crate::error::{ErrorKind, Result};
use crate::kernel::{Kernel, Service};
use crate::steps::Rules;

/// Longest wait of the source for a change. Bounds the age of what is known while the source answers.
const WAIT: Millis = Millis(1_000);

/// Pause after a failure.
const RETRY: Millis = Millis(200);

#[derive(Default)]
struct Shared {
    rules: Option<Arc<Rules>>,
    /// When the newest request was sent that the source has answered.
    confirmed: Option<Millis>,
}

/// The service.
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

    /// The configuration in force; none before the first one was read.
    pub(crate) fn rules(&self) -> Option<Arc<Rules>> {
        self.shared.lock().expect("rules lock").rules.clone()
    }

    /// The age of what is known about the configuration; none before the source was reached.
    pub(crate) fn age(&self) -> Option<Millis> {
        let confirmed = self.shared.lock().expect("rules lock").confirmed;
        confirmed.map(|confirmed| self.kernel.clock.now().since(confirmed))
    }

    async fn follow(self: Arc<Self>) {
        let mut position = None;
        let mut reached = true;
        loop {
            let sent = self.kernel.clock.now();
            let read = self.source.rules(position, WAIT).await;
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
                    Timer::after(RETRY.duration()).await;
                }
            }
        }
    }

    /// Puts a configuration in force unless a higher version is.
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
