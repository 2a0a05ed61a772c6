//! Writes responses to callers.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Response, StatusCode};
use agate_memory::Share;
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Encoder as _;

use super::Handler;

/// Timeout for writing one part of a response to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a complete response that are encoded at one time.
const WRITE_BYTES: usize = 256 << 10;

/// Writes the response to one request.
pub struct ResponseWriter<'a> {
    pub(super) writer: WriteHalf<'a>,
    pub(super) codec: &'a mut Codec,
    pub(super) write_buffer: BytesMut,
    pub(super) handler: &'a dyn Handler,
    pub(super) share: &'a Share,
    /// Whether a part of another request was read behind this one.
    pub(super) has_next: &'a Cell<bool>,
    /// Whether the connection closes after this response.
    pub(super) is_closing: bool,
    pub(super) is_started: bool,
}

impl ResponseWriter<'_> {
    /// Returns whether a write of the response was started.
    pub fn is_started(&self) -> bool {
        self.is_started
    }

    /// Makes the connection close after this response.
    pub fn close_after(&mut self) {
        self.is_closing = true;
    }

    /// Writes the head of a response whose body follows in chunks. `length` is the length of the
    /// body, if it is known.
    pub async fn head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        length: Option<u64>,
    ) -> io::Result<()> {
        let size = length.map_or(BodySize::Stream, BodySize::Sized);
        self.encode_head(status, headers, size)?;
        self.flush().await
    }

    /// Returns what the caller's connection holds of the memory.
    pub fn share(&self) -> &Share {
        self.share
    }

    /// Writes a chunk of the body.
    pub async fn chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(bytes)), &mut self.write_buffer)?;
        self.flush().await
    }

    /// Ends a body that was written in chunks.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(None), &mut self.write_buffer)?;
        self.flush().await
    }

    /// Writes a complete response.
    pub async fn send(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let mut rest = body;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(WRITE_BYTES));
            self.codec
                .encode(Message::Chunk(Some(part)), &mut self.write_buffer)?;
            if !rest.is_empty() {
                self.flush_until(deadline).await?;
            }
        }
        self.codec
            .encode(Message::Chunk(None), &mut self.write_buffer)?;
        self.flush_until(deadline).await
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        // What was read already gets a response of its own.
        self.is_closing |= self.handler.is_closing() && !self.has_next.get();
        if self.is_closing {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.codec
            .encode(Message::Item((response, size)), &mut self.write_buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.flush_until(Instant::now() + WRITE_TIMEOUT).await
    }

    async fn flush_until(&mut self, deadline: Instant) -> io::Result<()> {
        if self.write_buffer.is_empty() {
            return Ok(());
        }
        self.is_started = true;
        let result = timeout_at(deadline, self.writer.write_all_buf(&mut self.write_buffer)).await;
        result.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }
}
