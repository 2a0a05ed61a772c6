//! Reads request bodies within bounds and tracks the delivery of response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Payload;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use agate_model::refusal::Reason;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;

use crate::activity::Phase;
use crate::gate::Gate;
use crate::refusal::Denial;

/// Reads a complete request body. Refuses it if it is larger than the limit, takes longer than the
/// timeout, or is incomplete when the gate enters [`Phase::Ending`].
pub async fn read(gate: &Gate, payload: Payload) -> Result<Bytes, Denial> {
    let limits = &gate.settings.limits;
    let read = tokio::time::timeout(limits.body_timeout, collect(payload, limits.body.bytes()));
    tokio::select! {
        biased;
        () = gate.activity.reached(Phase::Ending) => Err(late()),
        read = read => read.unwrap_or_else(|_| {
            let message = "the request body did not arrive in time";
            Err(Denial::new(Reason::SlowRequest, message))
        }),
    }
}

/// Returns the denial of a request that is not complete when the gate admits none any more.
pub fn late() -> Denial {
    Denial::new(Reason::ShuttingDown, "the host shuts down")
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, Denial> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|err| payload_denial(&err))?;
        if body.len() + chunk.len() > limit {
            let message = format!("the request body is larger than {limit} bytes");
            return Err(Denial::new(Reason::BodyTooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the denial for a body that the HTTP server could not read.
fn payload_denial(err: &PayloadError) -> Denial {
    match err {
        PayloadError::Overflow => Denial::new(Reason::BodyTooLarge, err.to_string()),
        _ => Denial::new(Reason::BadRequest, err.to_string()),
    }
}

/// Response body that holds a guard until it is dropped, and reports when it was handed over to the
/// connection in full.
pub struct Tracked<G> {
    body: BoxBody,
    on_delivered: Option<Box<dyn FnOnce()>>,
    _guard: G,
}

impl<G> Tracked<G> {
    /// Wraps `body`. `on_delivered` is called once all of it was handed to the connection, and
    /// never if the connection ends before.
    pub fn new(body: BoxBody, guard: G, on_delivered: Option<Box<dyn FnOnce()>>) -> Self {
        Self {
            body,
            on_delivered,
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
            && let Some(on_delivered) = self.on_delivered.take()
        {
            on_delivered();
        }
        polled
    }
}
