//! HTTP connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, StatusCode, Version};
use agate_retry::attempt::{Sent, Unconnected};
use awc::error::{ConnectError, SendRequestError};
use awc::{ClientResponse, Connector};
use bytes::Bytes;
use futures_util::StreamExt as _;

use super::transport;
use crate::refusal::{Handed, Progress};

/// Idle time after which a connection is not used again.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection was made.
    Unreachable,
    /// The connection broke, or what came was not HTTP.
    Broken,
    /// No answer in time.
    Timeout,
}

/// An attempt without an answer, and what is known of the request now.
#[derive(Debug)]
pub struct Failure {
    /// What is known of the execution.
    pub progress: Progress,
    /// What happened.
    pub cause: Cause,
}

/// An answer that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// How the end of a body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length, its chunks, or the absence of a body.
    Framed,
    /// By the end of the connection, in HTTP/1.0.
    UntilClose,
    /// By the end of the connection, in HTTP/1.1. The HTTP client takes such bodies for empty.
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

/// Body of an answer.
pub struct Body {
    response: ClientResponse,
    framing: Framing,
}

impl Body {
    /// Body of `response` to a request with this method.
    pub fn new(method: &Method, response: ClientResponse) -> Self {
        Self {
            framing: Framing::of(method, &response),
            response,
        }
    }

    /// Next part, `None` after the last. Cancel safe.
    pub async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.framing == Framing::Unreadable {
            return Some(Err(Broken));
        }
        match self.response.next().await? {
            Ok(bytes) => Some(Ok(bytes)),
            Err(err) if self.framing == Framing::UntilClose && is_end(&err) => None,
            Err(_) => Some(Err(Broken)),
        }
    }
}

fn is_end(err: &PayloadError) -> bool {
    match err {
        PayloadError::Incomplete(Some(err)) | PayloadError::Io(err) => {
            err.kind() == io::ErrorKind::UnexpectedEof
        }
        _ => false,
    }
}

/// One HTTP request.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// All headers but those that frame the message.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time for connecting, sending and the head of the answer.
    pub timeout: Duration,
    /// Whether a connection may be used that served another request before.
    pub reuse: bool,
}

/// Connections to endpoints. Redirects are not followed and bodies are not decoded.
pub struct Client {
    pooled: awc::Client,
    fresh: awc::Client,
}

impl Client {
    /// A client that gives connecting up after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pooled: build(connect_timeout, KEEP_ALIVE),
            fresh: build(connect_timeout, Duration::ZERO),
        }
    }

    /// Sends a caller's request once. Only errors that rule out a connection leave it unsent.
    pub async fn send(
        &self,
        outgoing: Outgoing,
        handed: Handed,
    ) -> Result<(ClientResponse, Sent), Failure> {
        match self.exchange(outgoing).await {
            Ok(response) => Ok((response, handed.send())),
            Err(err) => Err(failure(&err, handed)),
        }
    }

    /// Sends a request of the gate's own, such as a resume or a cancellation.
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
        request.send_body(outgoing.body).await
    }
}

fn build(connect_timeout: Duration, keep_alive: Duration) -> awc::Client {
    let connector = Connector::new()
        .connector(transport::Connector::new(connect_timeout))
        // The connector's own timeout comes first and says that no connection was made.
        .timeout(connect_timeout * 2)
        .conn_keep_alive(keep_alive)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn failure(err: &SendRequestError, handed: Handed) -> Failure {
    tracing::debug!(event = "attempt_failed", error = %err);
    match unconnected(err) {
        Some(proof) => Failure {
            progress: handed.fail(proof),
            cause: Cause::Unreachable,
        },
        None => Failure {
            progress: Progress::Sent(handed.send()),
            cause: cause(err),
        },
    }
}

fn cause(err: &SendRequestError) -> Cause {
    match err {
        _ if unconnected(err).is_some() => Cause::Unreachable,
        SendRequestError::Timeout => Cause::Timeout,
        _ => Cause::Broken,
    }
}

/// Evidence that no connection was made. Other `Connect` errors also stand for
/// servers that read the whole request and then closed.
fn unconnected(err: &SendRequestError) -> Option<Unconnected> {
    match err {
        SendRequestError::Connect(ConnectError::Io(err)) => Unconnected::from_kind(err.kind()),
        _ => None,
    }
}
