//! Micro-kernel: services that find each other by name, their start order and their end.

use std::any::Any;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::{Arc, Mutex};

use async_executor::Executor;

use crate::clock::Clock;
use crate::edge::BoxFuture;
use crate::error::{Error, ErrorKind, Result};

/// A part of the daemon that others find by its name.
pub trait Service: Send + Sync + 'static {
    /// Name under which others find it.
    const NAME: &'static str;

    /// Ends the service in good order. Called once, in the reverse of the order of registration.
    fn stop(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}

type StopHook = Box<dyn Fn() -> BoxFuture<'static, ()> + Send + Sync>;

#[derive(Default)]
struct Registry {
    services: BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>,
    hooks: Vec<StopHook>,
}

/// The kernel of a daemon.
pub struct Kernel {
    /// Clock of the process.
    pub clock: Clock,
    executor: Arc<Executor<'static>>,
    registry: Mutex<Registry>,
    stop: Stop,
}

impl Kernel {
    /// A kernel without services that runs its tasks on `executor`.
    pub fn new(executor: Arc<Executor<'static>>) -> Arc<Self> {
        Arc::new(Self {
            clock: Clock::start(),
            executor,
            registry: Mutex::default(),
            stop: Stop::new(),
        })
    }

    /// Registers a service under its name.
    ///
    /// # Errors
    ///
    /// `Internal` if the name is taken.
    pub fn register<S: Service>(&self, service: Arc<S>) -> Result<()> {
        let mut registry = self.registry.lock().expect("registry lock");
        if registry.services.contains_key(S::NAME) {
            return Err(Error::msg(
                ErrorKind::Internal,
                "register service",
                format!("{:?} is registered", S::NAME),
            ));
        }
        registry.services.insert(S::NAME, service.clone());
        registry.hooks.push(Box::new(move || {
            let service = service.clone();
            Box::pin(async move { service.stop().await })
        }));
        Ok(())
    }

    /// Finds a service by the name of its type.
    ///
    /// # Errors
    ///
    /// `Internal` if no such service is registered.
    pub fn find<S: Service>(&self) -> Result<Arc<S>> {
        let registry = self.registry.lock().expect("registry lock");
        let service = registry.services.get(S::NAME).cloned();
        service.and_then(|service| service.downcast().ok()).ok_or_else(|| {
            Error::msg(
                ErrorKind::Internal,
                "find service",
                format!("{:?} is not registered", S::NAME),
            )
        })
    }

    /// Runs a task in the background.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Runs a task in the background until the kernel stops.
    pub fn spawn_until_stop(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.spawn(futures_lite::future::or(task, async move { stop.wait().await }));
    }

    /// The signal that is raised when the kernel stops.
    pub fn stop_signal(&self) -> Stop {
        self.stop.clone()
    }

    /// Ends all services, last registered first, then raises the stop signal for background tasks.
    pub async fn stop(&self) {
        let hooks = std::mem::take(&mut self.registry.lock().expect("registry lock").hooks);
        for hook in hooks.iter().rev() {
            hook().await;
        }
        self.stop.raise();
        self.registry.lock().expect("registry lock").services.clear();
    }
}

/// A signal that is raised once and that many tasks can wait for.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

impl Stop {
    /// A signal that is not raised yet.
    pub fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Raises the signal.
    pub fn raise(&self) {
        self.sender.close();
    }

    /// Whether it is raised.
    pub fn is_raised(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until it is raised.
    pub async fn wait(&self) {
        // Nothing is ever sent: the receive ends when the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
