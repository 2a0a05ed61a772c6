//! Bodies of requests and responses.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::Payload;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use agate_model::refusal::Reason;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use crate::refusal::Denial;

/// Reads a whole request body of at most `limit` bytes.
pub async fn read(payload: Payload, limit: usize, timeout: Duration) -> Result<Bytes, Denial> {
    match tokio::time::timeout(timeout, collect(payload, limit)).await {
        Ok(result) => result,
        Err(_) => Err(Denial::new(
            Reason::SlowRequest,
            "the request body did not arrive in time",
        )),
    }
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, Denial> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|err| broken(&err))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the request body is larger than {limit} bytes");
            return Err(Denial::new(Reason::BodyTooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn broken(err: &PayloadError) -> Denial {
    match err {
        PayloadError::Overflow => Denial::new(Reason::BodyTooLarge, err.to_string()),
        _ => Denial::new(Reason::BadRequest, err.to_string()),
    }
}

/// A response body that holds a guard until it was handed over, and tells whether it was.
pub struct Tracked<G> {
    body: BoxBody,
    delivered: Option<Box<dyn FnOnce()>>,
    _guard: G,
}

impl<G> Tracked<G> {
    /// Wraps `body`; `delivered` is called once all of it was handed to the connection.
    pub fn new(body: BoxBody, guard: G, delivered: Option<Box<dyn FnOnce()>>) -> Self {
        Self {
            body,
            delivered,
            _guard: guard,
        }
    }
}

impl<G: Unpin> MessageBody for Tracked<G> {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_next(cx);
        if let Poll::Ready(None) = polled
            && let Some(delivered) = self.delivered.take()
        {
            delivered();
        }
        polled
    }
}
