//! Reads the body of a request into one buffer that is charged before it grows.

use std::sync::atomic::{AtomicUsize, Ordering};

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::client_memory::Account;
use crate::clock::Millis;

/// Least size of a buffer, so that a body in chunks of one byte doesn't start with many small ones.
const LEAST_BUFFER: usize = 1024;

/// Factor by which a buffer grows. Twice would copy more and leave the allocator more pieces of odd sizes.
const GROWTH: usize = 4;

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// It did not arrive in time, or stood still.
    Late,
    /// It is longer than the limit.
    Long,
    /// It is malformed, or its connection broke.
    Broken(String),
    /// There is no memory for it.
    Shed,
}

/// A body with the bytes charged for it.
#[derive(Debug)]
pub(crate) struct ReadBody {
    pub(crate) bytes: Bytes,
    pub(crate) charged: usize,
}

/// Limits of a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Bytes.
    pub(crate) bytes: usize,
    /// Longest time for all of it.
    pub(crate) read: Millis,
    /// Longest time without a byte of it; noticed within twice this time.
    pub(crate) progress: Millis,
}

/// Reads a body; what was charged for it is released if that fails.
pub(crate) async fn read_body<B>(body: B, limits: BodyLimits, account: &Account) -> Result<ReadBody, Unread>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let (arrived, charged) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let read = async { collect(body, limits.bytes, account, (&arrived, &charged)).await };
    let lapsed = async {
        let (mut left, mut before) = (limits.read, 0);
        while left > Millis::ZERO {
            let pause = limits.progress.min(left);
            Timer::after(pause.duration()).await;
            left = left - pause;
            let now = arrived.load(Ordering::Relaxed);
            if now == before && pause == limits.progress {
                break;
            }
            before = now;
        }
        Err(Unread::Late)
    };
    let evicted = async {
        account.evicted().await;
        Err(Unread::Shed)
    };
    let result = future::or(read, future::or(lapsed, evicted)).await;
    let charged = charged.load(Ordering::Relaxed);
    match result {
        Ok(bytes) => Ok(ReadBody { bytes, charged }),
        Err(reason) => {
            account.release(charged);
            Err(reason)
        }
    }
}

async fn collect<B>(
    mut body: B,
    limit: usize,
    account: &Account,
    (arrived, charged): (&AtomicUsize, &AtomicUsize),
) -> Result<Bytes, Unread>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limit as u64) {
        return Err(Unread::Long);
    }
    let most = declared.map_or(limit, |length| length as usize);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Unread::Broken(error.to_string()))?;
        // Trailers are ignored.
        let Ok(part) = frame.into_data() else { continue };
        let length = bytes.len() + part.len();
        if length > limit {
            return Err(Unread::Long);
        }
        if length > bytes.capacity() {
            let room = (bytes.capacity() * GROWTH).max(LEAST_BUFFER).min(most).max(length);
            // The old buffer is held until it has been copied.
            if !account.charge(room) {
                return Err(Unread::Shed);
            }
            let mut grown = Vec::with_capacity(room);
            grown.extend_from_slice(&bytes);
            account.release(charged.swap(room, Ordering::Relaxed));
            bytes = grown;
        }
        bytes.extend_from_slice(&part);
        arrived.store(length, Ordering::Relaxed);
    }
    Ok(bytes.into())
}
