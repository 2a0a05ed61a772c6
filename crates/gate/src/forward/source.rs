//! Events of one connection to an engine.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use agate_model::endpoint::Endpoint;
use agate_model::id::RequestId;
use agate_stream::sse::{Event, Parser};
use awc::ClientResponse;
use bytes::Bytes;

use super::client::{Body, Cause, Client, Outgoing};
use super::headers;

/// Longest total duration of one connection's stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Time for the head of a resumed stream, and for a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a connection brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Item {
    /// An event.
    Event(Event),
    /// The connection ended, in order or not.
    End,
}

/// A streamed answer on one connection.
pub struct Source {
    body: Body,
    parser: Parser,
}

impl Source {
    /// Reads events of at most `bound` bytes from `response`.
    pub fn new(response: ClientResponse, bound: usize) -> Self {
        Self {
            body: Body::new(&Method::GET, response.timeout(STREAM_TIMEOUT)),
            parser: Parser::new(bound),
        }
    }

    /// Next event. Cancel safe.
    pub async fn next(&mut self) -> Item {
        loop {
            match self.parser.next_event() {
                Ok(Some(event)) => return Item::Event(event),
                Ok(None) => {}
                Err(_) => return Item::End,
            }
            match self.body.next().await {
                Some(Ok(bytes)) => self.parser.feed(&bytes),
                Some(Err(_)) | None => return Item::End,
            }
        }
    }
}

/// Why a stream was not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unresumed {
    /// The engine could not be asked; it may be asked again.
    Failed,
    /// The engine does not know the stream.
    Unknown,
}

/// Asks an engine for a stream again, from chunk `offset`.
pub async fn resume(
    client: &Client,
    endpoint: &Endpoint,
    attempt: &RequestId,
    offset: u64,
) -> Result<ClientResponse, Unresumed> {
    let target = format!("/v1/streams/{attempt}?offset={offset}");
    match client.call(control(endpoint, Method::GET, target)).await {
        Ok(response) if response.status() == StatusCode::OK => Ok(response),
        Ok(response) if response.status().is_client_error() => Err(Unresumed::Unknown),
        Ok(_) | Err(Cause::Broken | Cause::Timeout | Cause::Unreachable) => Err(Unresumed::Failed),
    }
}

/// Tells an engine that nobody waits for an answer any more.
pub async fn cancel(client: &Client, endpoint: &Endpoint, attempt: &RequestId) {
    let target = format!("/v1/streams/{attempt}");
    let result = client.call(control(endpoint, Method::DELETE, target)).await;
    if let Err(cause) = result {
        tracing::debug!(event = "cancel_failed", request = %attempt, endpoint = %endpoint.id, ?cause);
    }
}

fn control(endpoint: &Endpoint, method: Method, target: String) -> Outgoing {
    let mut fields = HeaderMap::new();
    headers::credential(endpoint, &mut fields);
    Outgoing {
        address: endpoint.address,
        method,
        target,
        headers: fields,
        body: Bytes::new(),
        timeout: CONTROL_TIMEOUT,
        reuse: true,
    }
}
