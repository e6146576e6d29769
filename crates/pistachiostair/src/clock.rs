//! Time in milliseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use rustix::time::{ClockId, clock_gettime};

/// A point in time or a span, in milliseconds. Points count from the start of the process's
/// monotonic clock, so that points of two processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);
    /// A point later than every other.
    pub const MAX: Self = Self(u64::MAX);

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// This value as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;
    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// The monotonic clock of a process. It also counts the time for which the VM was suspended, so that a lease is not
/// taken for held after that.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Milliseconds since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(boot_time().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Time since the VM was booted.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// Output of a future, or nothing if it takes longer than `timeout`; the future is dropped then.
pub(crate) async fn within<T>(timeout: Millis, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(timeout.duration()).await;
        None
    })
    .await
}
