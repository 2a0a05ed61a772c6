//! Server-sent events of one connection to an engine, and its resume and cancel calls.

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

/// Longest duration of a stream on one connection.
const STREAM_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Timeout for the response head of a resume, and for a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Next result of reading a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Item {
    /// A complete event, with its offset if the engine numbers its chunks.
    Event(Event),
    /// The connection ended, properly or not, or an event was larger than the bound.
    End,
}

/// A streamed response on one connection.
pub struct Source {
    body: Body,
    parser: Parser,
}

impl Source {
    /// Creates a source that reads events of at most `bound` bytes from `response`.
    pub fn new(response: ClientResponse, bound: usize) -> Self {
        Self {
            body: Body::new(&Method::GET, response.timeout(STREAM_TIMEOUT)),
            parser: Parser::new(bound),
        }
    }

    /// Returns the next event. Cancel safe.
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
pub enum ResumeError {
    /// The call failed, or its status is neither 200 nor a client error; it may be retried.
    Failed,
    /// The engine responded with a client error: it does not know the stream.
    Unknown,
}

/// Requests a stream from an engine again, starting at chunk `offset`.
pub async fn resume(
    client: &Client,
    endpoint: &Endpoint,
    attempt: &RequestId,
    offset: u64,
) -> Result<ClientResponse, ResumeError> {
    let target = format!("/v1/streams/{attempt}?offset={offset}");
    match client
        .call(control_request(endpoint, Method::GET, target))
        .await
    {
        Ok(response) if response.status() == StatusCode::OK => Ok(response),
        Ok(response) if response.status().is_client_error() => Err(ResumeError::Unknown),
        Ok(_) | Err(Cause::Broken | Cause::Timeout | Cause::Unreachable) => {
            Err(ResumeError::Failed)
        }
    }
}

/// Requests that an engine stop generating a response. A failure is only logged.
pub async fn cancel(client: &Client, endpoint: &Endpoint, attempt: &RequestId) {
    let target = format!("/v1/streams/{attempt}");
    let result = client
        .call(control_request(endpoint, Method::DELETE, target))
        .await;
    if let Err(cause) = result {
        tracing::debug!(event = "cancel_failed", request = %attempt, endpoint = %endpoint.id, ?cause);
    }
}

fn control_request(endpoint: &Endpoint, method: Method, target: String) -> Outgoing {
    let mut fields = HeaderMap::new();
    headers::add_credential(endpoint, &mut fields);
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
