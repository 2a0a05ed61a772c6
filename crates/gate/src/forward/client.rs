//! HTTP client for endpoints. It sends each request once and reports truncated bodies as errors.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::error::{ParseError, PayloadError};
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, StatusCode, Version};
use agate_retry::attempt::{Sent, Unconnected};
use agate_store::http::transport;
use awc::error::{ConnectError, SendRequestError};
use awc::{ClientResponse, Connector};
use bytes::Bytes;
use futures_util::StreamExt as _;

use crate::refusal::{Progress, SendPermit};

/// Highest status that HTTP knows.
const MAX_STATUS: u16 = 599;
/// Idle time after which a pooled connection is not reused.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Why an attempt got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection was made, so the endpoint received nothing.
    Unreachable,
    /// The connection broke, or the bytes received were not HTTP.
    Broken,
    /// No response head arrived before the timeout.
    Timeout,
}

/// An attempt that got no response head.
#[derive(Debug)]
pub struct Failure {
    /// Whether the request may have reached an endpoint.
    pub progress: Progress,
    /// Why no response head was received.
    pub cause: Cause,
}

/// The response body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response body ended before it was complete")]
pub struct Broken;

/// How the end of a response body is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length, its chunks, or the absence of a body.
    Framed,
    /// By the end of the connection, in HTTP/1.0.
    UntilClose,
    /// By the end of the connection, in HTTP/1.1. The HTTP client treats such bodies as empty, so
    /// they can't be read.
    Unreadable,
}

impl Framing {
    fn of(method: &Method, response: &ClientResponse) -> Self {
        let headers = response.headers();
        let framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        let bodiless = method == Method::HEAD
            || response.status() == StatusCode::NO_CONTENT
            || response.status() == StatusCode::NOT_MODIFIED;
        match response.version() {
            _ if framed || bodiless => Self::Framed,
            Version::HTTP_10 => Self::UntilClose,
            _ => Self::Unreadable,
        }
    }
}

/// Response body that reports truncation as an error.
pub struct Body {
    response: ClientResponse,
    framing: Framing,
}

impl Body {
    /// Creates the body of `response` to a request with this method.
    pub fn new(method: &Method, response: ClientResponse) -> Self {
        Self {
            framing: Framing::of(method, &response),
            response,
        }
    }

    /// Returns the next chunk, or `None` after the last. Cancel safe.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.framing == Framing::Unreadable {
            return Some(Err(Broken));
        }
        match self.response.next().await? {
            Ok(bytes) => Some(Ok(bytes)),
            Err(err) if self.framing == Framing::UntilClose && is_end_of_stream(&err) => None,
            Err(_) => Some(Err(Broken)),
        }
    }
}

fn is_end_of_stream(err: &PayloadError) -> bool {
    match err {
        PayloadError::Incomplete(Some(err)) | PayloadError::Io(err) => {
            err.kind() == io::ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}

/// An HTTP request to an endpoint.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Socket address of the endpoint.
    pub address: SocketAddr,
    /// Method of the request line.
    pub method: Method,
    /// Path and query of the request line.
    pub target: String,
    /// All headers except those that frame the message, which the client adds.
    pub headers: HeaderMap,
    /// Request body; may be empty.
    pub body: Bytes,
    /// Timeout for connecting, sending and receiving the response head.
    pub timeout: Duration,
    /// Whether a pooled connection that served another request may be used.
    pub reuse: bool,
}

/// HTTP client for endpoints. It follows no redirects and decodes no bodies.
pub struct Client {
    pooled: awc::Client,
    fresh: awc::Client,
}

impl Client {
    /// Creates a client whose connection attempts time out after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pooled: build_client(connect_timeout, KEEP_ALIVE),
            fresh: build_client(connect_timeout, Duration::ZERO),
        }
    }

    /// Sends a caller's request once. Only an error that proves that no connection was made leaves
    /// it unsent.
    pub async fn send(
        &self,
        outgoing: Outgoing,
        permit: SendPermit,
    ) -> Result<(ClientResponse, Sent), Failure> {
        match self.exchange(outgoing).await {
            Ok(response) => Ok((response, permit.send())),
            Err(err) => Err(failure(&err, permit)),
        }
    }

    /// Sends a request that the gate itself makes, such as a resume or a cancellation.
    pub async fn call(&self, outgoing: Outgoing) -> Result<ClientResponse, Cause> {
        self.exchange(outgoing).await.map_err(|err| cause(&err))
    }

    async fn exchange(&self, outgoing: Outgoing) -> Result<ClientResponse, SendRequestError> {
        let uri = format!("http://{}{}", outgoing.address, outgoing.target);
        let client = if outgoing.reuse {
            &self.pooled
        } else {
            &self.fresh
        };
        let mut request = client
            .request(outgoing.method, uri)
            .address(outgoing.address)
            .timeout(outgoing.timeout);
        for (name, value) in &outgoing.headers {
            request.headers_mut().append(name.clone(), value.clone());
        }
        if !outgoing.reuse {
            request = request.force_close();
        }
        let response = request.send_body(outgoing.body).await?;
        match response.status().as_u16() {
            ..=MAX_STATUS => Ok(response),
            _ => Err(SendRequestError::Response(ParseError::Status)),
        }
    }
}

fn build_client(connect_timeout: Duration, keep_alive: Duration) -> awc::Client {
    let connector = Connector::new()
        .connector(transport::Connector::new(connect_timeout))
        // The timeout of `transport::Connector` expires first, and its error proves that no
        // connection was made.
        .timeout(connect_timeout * 2)
        .conn_keep_alive(keep_alive)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn failure(err: &SendRequestError, permit: SendPermit) -> Failure {
    tracing::debug!(event = "attempt_failed", error = %err);
    match unconnected_proof(err) {
        Some(proof) => Failure {
            progress: permit.fail(proof),
            cause: Cause::Unreachable,
        },
        None => Failure {
            progress: Progress::Sent(permit.send()),
            cause: cause(err),
        },
    }
}

fn cause(err: &SendRequestError) -> Cause {
    match err {
        _ if unconnected_proof(err).is_some() => Cause::Unreachable,
        SendRequestError::Timeout => Cause::Timeout,
        _ => Cause::Broken,
    }
}

/// Returns the proof that no connection was made, if `err` gives it. Other `Connect` errors also
/// occur when a server reads the whole request and then closes.
fn unconnected_proof(err: &SendRequestError) -> Option<Unconnected> {
    match err {
        SendRequestError::Connect(ConnectError::Io(err)) => Unconnected::from_kind(err.kind()),
        _ => None,
    }
}
