//! Messages on a stream: a length of 4 bytes, big endian, and that many bytes of MessagePack.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use quinn::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind, Result};
use crate::message::MAX_MESSAGE;

/// Deepest nesting of a message. The library's default of 1,024 overflows the stack of 2 MiB in a debug build;
/// the deepest message has about 20 levels.
const MAX_DEPTH: usize = 64;
/// Bytes of all requests held at once, so that large messages of many peers stay within the daemon's 256 MB.
const MAX_HELD: usize = 64 * 1024 * 1024;
/// Bytes of the length before a message.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Retry time in milliseconds told with a refusal.
pub(crate) const RETRY: u64 = 100;

pub(crate) fn encode<T: Serialize>(message: &T, step: &'static str) -> Result<Vec<u8>> {
    let mut frame = vec![0; LENGTH_BYTES];
    let mut serializer = rmp_serde::Serializer::new(&mut frame).with_struct_map();
    message
        .serialize(&mut serializer)
        .map_err(|e| Error::new(ErrorKind::Internal, step, e))?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE {
        return Err(too_long(step, length));
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes a message of another daemon.
///
/// # Errors
///
/// `Invalid` if it is malformed, of another type, or nested deeper than any message is.
pub fn decode_message<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer).map_err(|e| Error::new(ErrorKind::Invalid, "decode message", e))
}

fn too_long(step: &'static str, length: usize) -> Error {
    let message = format!("{length} bytes are more than the {MAX_MESSAGE} allowed");
    Error::msg(ErrorKind::Invalid, step, message)
}

/// Reads a message after `admit` accepted its length.
pub(crate) async fn read_frame(recv: &mut RecvStream, mut admit: impl FnMut(usize) -> Result<()>) -> Result<Vec<u8>> {
    let broken = |e| Error::new(ErrorKind::Unavailable, "read message", anyhow::Error::new(e));
    let mut length = [0; LENGTH_BYTES];
    recv.read_exact(&mut length).await.map_err(broken)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_MESSAGE {
        return Err(too_long("read message", length));
    }
    admit(length)?;
    let mut body = vec![0; length];
    recv.read_exact(&mut body).await.map_err(broken)?;
    Ok(body)
}

/// Bytes of a request taken from the total that all requests may hold.
pub(crate) struct Held {
    total: Arc<AtomicUsize>,
    length: usize,
}

impl Held {
    pub(crate) fn new(total: &Arc<AtomicUsize>) -> Self {
        Self {
            total: total.clone(),
            length: 0,
        }
    }

    /// Bytes taken so far.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    pub(crate) fn take(&mut self, length: usize) -> Result<()> {
        self.length += length;
        if self.total.fetch_add(length, Ordering::Relaxed) + length > MAX_HELD {
            let error = Error::msg(
                ErrorKind::Limited,
                "read request",
                "too many bytes of requests are held",
            );
            return Err(error.retry_after(RETRY));
        }
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.total.fetch_sub(self.length, Ordering::Relaxed);
    }
}
