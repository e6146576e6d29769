//! A response that is read line by line while it arrives.

use async_io::Timer;
use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};

use crate::clock::Millis;
use crate::error::{Error, ErrorKind, Ran, Result};

/// A response whose body is a sequence of lines. Dropping it closes the connection.
#[derive(Debug)]
pub struct HttpLines {
    peer: String,
    status: StatusCode,
    body: Incoming,
    buffer: BytesMut,
    max_line: usize,
}

impl HttpLines {
    pub(crate) fn new(peer: &str, response: Response<Incoming>, max_line: usize) -> Self {
        Self {
            peer: peer.to_owned(),
            status: response.status(),
            body: response.into_body(),
            buffer: BytesMut::new(),
            max_line,
        }
    }

    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// The next line without its end, or `None` once the body has ended. A last line without a line
    /// feed is cut off and an error, since a body that broke off looks the same.
    ///
    /// # Errors
    ///
    /// `Timeout` if nothing arrives within `idle`; `Unavailable` if the connection breaks, or the line
    /// is longer than the client's limit on bodies.
    pub async fn next(&mut self, idle: Millis) -> Result<Option<Bytes>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end).freeze();
                self.buffer.advance(1);
                return Ok(Some(line));
            }
            if self.buffer.len() > self.max_line {
                return Err(self.error(ErrorKind::Unavailable, "the line is too long"));
            }
            if !self.read_more(idle).await? {
                let whole = self.buffer.is_empty();
                return if whole {
                    Ok(None)
                } else {
                    Err(self.error(ErrorKind::Unavailable, "the last line is cut off"))
                };
            }
        }
    }

    /// The rest of the body as one piece, for an error's document.
    ///
    /// # Errors
    ///
    /// As for [`Self::next`].
    pub async fn rest(mut self, idle: Millis) -> Result<Bytes> {
        while self.buffer.len() <= self.max_line {
            if !self.read_more(idle).await? {
                return Ok(self.buffer.freeze());
            }
        }
        Err(self.error(ErrorKind::Unavailable, "the body is too long"))
    }

    /// Appends the next chunk to the buffer; false at the end of the body.
    async fn read_more(&mut self, idle: Millis) -> Result<bool> {
        let frame = async { Some(self.body.frame().await) };
        let lapsed = async {
            Timer::after(idle.duration()).await;
            None
        };
        match future::or(frame, lapsed).await {
            None => Err(self.error(ErrorKind::Timeout, &format!("nothing arrived within {idle}"))),
            Some(None) => Ok(false),
            Some(Some(Err(error))) => Err(self.error(ErrorKind::Unavailable, &error.to_string())),
            Some(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                Ok(true)
            }
        }
    }

    fn error(&self, kind: ErrorKind, message: &str) -> Error {
        Error::msg(kind, "read line", message)
            .at(self.peer.as_str())
            .ran(Ran::Unknown)
    }
}
