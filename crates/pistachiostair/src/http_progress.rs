//! Progress of an HTTP request, and the body of a request that reports how much of it was written.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use async_io::Timer;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::clock::{Clock, Millis};

/// Largest part of a body that is passed to the connection at once.
const PART_BYTES: usize = 16 * 1024;

/// Time from one pause of a paced body to the next, for which other requests may have to wait for the link.
const PACE_TIME: Millis = Millis(25);

/// Bytes from which on a body counts as large.
const LARGE_BYTES: usize = 64 * 1024;

/// How many times as long a request may go without progress while the link is busy with large bodies of others.
const BUSY_FACTOR: u64 = 4;

/// How far a request has come.
#[derive(Clone, Copy, Debug)]
enum Stage {
    Connecting,
    /// The bytes of the body that were passed to the connection.
    Sending(usize),
    /// The bytes of the response's body that have arrived.
    Receiving(usize),
}

/// When a connection to a peer last moved a part of a large body. Requests on other connections wait for the link then.
#[derive(Clone, Default)]
pub(crate) struct LinkActivity(Arc<Mutex<Option<Millis>>>);

impl LinkActivity {
    fn touch(&self, now: Millis) {
        *self.0.lock().expect("link lock") = Some(now);
    }

    /// Whether a part of a large body was moved within `span`.
    fn is_busy(&self, now: Millis, span: Millis) -> bool {
        let last = *self.0.lock().expect("link lock");
        last.is_some_and(|last| now.since(last) < span)
    }
}

/// Progress of one request. The task that sends the request and the task of its connection share it.
pub(crate) struct Progress {
    clock: Clock,
    state: Mutex<(Stage, Millis)>,
    link: LinkActivity,
}

impl Progress {
    /// A request that begins now, on a link whose activity `link` records. `clock` is the same for all requests there.
    pub(crate) fn start(clock: Clock, link: LinkActivity) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new((Stage::Connecting, clock.now())),
            link,
        })
    }

    /// The time after which the request may have stalled, if there is no progress until then; zero if it has: without
    /// progress for `timeout`, or for [`BUSY_FACTOR`] times as long while the link is busy with large bodies.
    pub(crate) fn time_left(&self, timeout: Millis) -> Millis {
        let now = self.clock.now();
        let idle = now.since(self.state.lock().expect("progress lock").1);
        let limit = match self.link.is_busy(now, timeout) {
            true => Millis(timeout.0 * BUSY_FACTOR),
            false => timeout,
        };
        (limit - idle).min(timeout)
    }

    /// The connection is open.
    pub(crate) fn connected(&self) {
        self.advance(|_| Stage::Sending(0));
    }

    /// The head of the response has arrived.
    pub(crate) fn answered(&self) {
        self.advance(|_| Stage::Receiving(0));
    }

    /// A part of the response's body has arrived.
    pub(crate) fn received(&self, bytes: usize) {
        self.advance(|stage| match stage {
            Stage::Receiving(before) => Stage::Receiving(before + bytes),
            Stage::Connecting | Stage::Sending(_) => stage,
        });
    }

    /// A part of the request's body was passed to the connection.
    fn sent(&self, bytes: usize) {
        self.advance(|stage| match stage {
            Stage::Sending(before) => Stage::Sending(before + bytes),
            Stage::Connecting | Stage::Receiving(_) => stage,
        });
    }

    fn advance(&self, next: impl FnOnce(Stage) -> Stage) {
        let now = self.clock.now();
        let mut state = self.state.lock().expect("progress lock");
        *state = (next(state.0), now);
        if let Stage::Sending(bytes) | Stage::Receiving(bytes) = state.0
            && bytes >= LARGE_BYTES
        {
            self.link.touch(now);
        }
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.state.lock().expect("progress lock").0 {
            Stage::Connecting => f.write_str("the connection was not opened"),
            Stage::Sending(bytes) => write!(f, "{bytes} bytes of the body sent, no head of the response"),
            Stage::Receiving(bytes) => write!(f, "{bytes} bytes of the response's body arrived"),
        }
    }
}

/// Body of a request, passed to the connection in parts so that its progress shows while the peer takes it.
pub(crate) struct Upload {
    rest: Bytes,
    progress: Arc<Progress>,
    /// Bytes a millisecond that the body is sent with; unlimited if absent.
    rate: Option<usize>,
    /// Bytes passed on since the last pause of a paced body.
    burst: usize,
    /// Ends when the next part of a paced body is due.
    pause: Option<Timer>,
}

impl Upload {
    /// A body whose parts count as progress of the request. A large one is sent with `rate` bytes a millisecond, if that
    /// is given.
    pub(crate) fn new(body: Bytes, progress: Arc<Progress>, rate: Option<usize>) -> Self {
        let rate = rate.filter(|_| body.len() >= LARGE_BYTES).map(|rate| rate.max(1));
        Self {
            rest: body,
            progress,
            rate,
            burst: 0,
            pause: None,
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if let Some(pause) = &mut self.pause {
            ready!(Pin::new(pause).poll(cx));
            self.pause = None;
        }
        let most_burst = self
            .rate
            .map_or(usize::MAX, |rate| rate.saturating_mul(PACE_TIME.0 as usize));
        let bytes = self.rest.len().min(PART_BYTES).min(most_burst - self.burst);
        let part = self.rest.split_to(bytes);
        self.progress.sent(bytes);
        if self.rate.is_some() {
            self.burst += bytes;
        }
        if self.burst == most_burst {
            self.burst = 0;
            self.pause = Some(Timer::after(PACE_TIME.duration()));
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
