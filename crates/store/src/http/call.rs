//! Sends one request and reads its response; errors tell whether the call may have had an effect.

use std::io;
use std::time::Duration;

use actix_http::error::ParseError;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{self, HeaderMap};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::transport::{self, Stale};
use crate::error::Error;

/// Maximum size of the response to an order, a report or a question for load, in bytes. Each has some
/// fields, and many of them may be read at the same time.
const MAX_SHORT_BYTES: usize = 256 << 10;

/// Longest pause between two pieces of a response's body.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Lowest rate of a response's body in bytes per second, a twentieth of the thinnest link.
const MIN_RATE: f64 = 64_000.0;

/// Maximum size of an error response's body that is kept in the error, in bytes.
const MESSAGE_BYTES: usize = 512;

/// Response that was read completely.
#[derive(Debug)]
pub struct Response {
    /// Status code of any class; redirects are not followed.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the body has a length or chunks.
    pub is_framed: bool,
}

impl Response {
    fn new<S>(response: &awc::ClientResponse<S>, body: Bytes) -> Self {
        let headers = response.headers();
        let is_framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        Self {
            status: response.status(),
            headers: headers.clone(),
            body,
            is_framed,
        }
    }

    /// Returns the body of a 2xx response. A response with 4xx (also 429) or 503 states that the
    /// call had no effect and becomes [`Error::Refused`]; every other status leaves the effect
    /// open and becomes [`Error::Unknown`].
    pub fn success(self) -> Result<Bytes, Error> {
        if self.status.is_success() {
            return Ok(self.body);
        }
        let length = self.body.len().min(MESSAGE_BYTES);
        let message = String::from_utf8_lossy(&self.body[..length]).into_owned();
        if self.status.is_client_error() || self.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Refused {
                status: self.status.as_u16(),
                message,
            });
        }
        Err(Error::Unknown(format!("status {}: {message}", self.status)))
    }
}

/// Error of a call over a shared pool of connections.
#[derive(Debug)]
pub struct Failure {
    /// What is known of the call's effect.
    pub error: Error,
    /// Whether the call used a connection that had served another one, and that ended before a byte of
    /// the response. Another attempt over a new connection may succeed at once.
    pub is_stale: bool,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self {
            error,
            is_stale: false,
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        failure.error
    }
}

impl From<&SendRequestError> for Failure {
    fn from(error: &SendRequestError) -> Self {
        let cause = match error {
            SendRequestError::Response(ParseError::Io(err)) => err.get_ref(),
            _ => None,
        };
        Self {
            error: classify(error),
            is_stale: matches!(cause, Some(cause) if cause.is::<Stale>()),
        }
    }
}

/// Creates an HTTP client whose connection attempts time out after `timeout`, without connections.
pub fn client(timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(transport::Connector::new(timeout))
        .timeout(timeout);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Sends a request and reads the complete response, which is short.
pub async fn send(request: awc::ClientRequest, body: Bytes) -> Result<Response, Error> {
    let mut response = request
        .send_body(body)
        .await
        .map_err(|err| classify(&err))?;
    let body = response
        .body()
        .limit(MAX_SHORT_BYTES)
        .await
        .map_err(|err| Error::Unknown(format!("reply broke off: {err}")))?;
    Ok(Response::new(&response, body))
}

/// Sends a request and reads the response. It has to begin within `timeout`, and its body may take longer
/// for as long as it keeps coming, up to `limit` bytes. The request must have no timeout of its own.
/// `received` is called with the size of each piece of the body.
pub async fn exchange(
    request: awc::ClientRequest,
    body: Bytes,
    timeout: Duration,
    limit: usize,
    received: impl Fn(usize),
) -> Result<Response, Failure> {
    let late = |_| Error::Unknown("no response in time".to_owned());
    let send = tokio::time::timeout(timeout, request.send_body(body));
    let sent = send.await.map_err(late)?;
    let mut response = sent.map_err(|err| Failure::from(&err))?;
    let begun = Instant::now();
    let mut body = BytesMut::new();
    loop {
        let allowed = MAX_PAUSE + Duration::from_secs_f64(body.len() as f64 / MIN_RATE);
        let until = (begun + allowed).min(Instant::now() + MAX_PAUSE);
        let Some(piece) = timeout_at(until, response.next()).await.map_err(late)? else {
            break;
        };
        let piece = piece.map_err(|err| Error::Unknown(format!("reply broke off: {err}")))?;
        if body.len() + piece.len() > limit {
            let message = format!("reply exceeds {limit} bytes");
            return Err(Error::Unknown(message).into());
        }
        received(piece.len());
        body.extend_from_slice(&piece);
    }
    Ok(Response::new(&response, body.freeze()))
}

/// Classifies an error by whether the request may have been sent. Only a refused connection proves
/// that nothing was sent: `awc` also reports a connect error if the server closes the connection
/// after reading the request.
fn classify(error: &SendRequestError) -> Error {
    match error {
        SendRequestError::Connect(ConnectError::Io(err))
            if err.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Error::Unreached(err.to_string())
        }
        other => Error::Unknown(other.to_string()),
    }
}

/// Serializes a request body as JSON. Nothing has been sent if that fails.
pub fn serialize<T: Serialize>(value: &T) -> Result<Bytes, Error> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|err| Error::Unreached(format!("request cannot be written: {err}")))
}

/// Parses a JSON response body. A malformed body leaves the effect of the call open.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|err| Error::Unknown(format!("malformed reply: {err}")))
}
