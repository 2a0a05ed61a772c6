//! Requests as the stand-ins receive them, and the responses to them.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Response, StatusCode};
use agate_model::key::Digest;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ledger;

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct Request {
    /// Sequence number of its ledger entry; 0 for requests to admin paths.
    pub sequence: ledger::Sequence,
    /// Number of the connection that carries it, counted from 0; `u64::MAX` if it is unknown.
    pub connection: u64,
    /// HTTP method as sent.
    pub method: String,
    /// Path as sent, with percent signs still encoded.
    pub path: String,
    /// Query string as sent, without the question mark; empty if there is none.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body, at most 16 MiB.
    pub body: Bytes,
}

/// A response and the outcome that the ledger records for its request.
pub struct Reply {
    /// Response for the client.
    pub response: Response<BoxBody>,
    /// Outcome of the request; `None` if the stand-in records it later.
    pub outcome: Option<ledger::Outcome>,
}

impl Request {
    /// Returns the first value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path's segments, still percent-encoded.
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_matches('/').split('/').collect()
    }

    /// Returns the decoded value of the first query parameter with this name.
    pub fn parameter(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }

    /// Parses the body as JSON; the error is a response with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|err| Reply::error(400, &err.to_string()))
    }
}

impl Reply {
    /// Returns a JSON response with status 200 to a completed request.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self::with_status(200, value)
    }

    /// Returns a JSON response; the request counts as completed if the status is below 400.
    pub fn with_status<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("response body serialises to JSON");
        Self::bytes(status, "application/json", Bytes::from(body))
    }

    /// Returns a response with a body of any type; the request counts as completed if the status
    /// is below 400.
    pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Self {
        let response = Response::build(status_code(status))
            .insert_header((CONTENT_TYPE, content_type))
            .body(body)
            .map_into_boxed_body();
        let outcome = if status < 400 {
            ledger::Outcome::Completed
        } else {
            ledger::Outcome::Refused
        };
        Self {
            response,
            outcome: Some(outcome),
        }
    }

    /// Returns a stream of server-sent events; its producer records the outcome.
    pub fn events(body: impl MessageBody + 'static) -> Self {
        let response = Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .body(body)
            .map_into_boxed_body();
        Self {
            response,
            outcome: None,
        }
    }

    /// Returns a JSON error; the request counts as refused if the status is 400 or above.
    pub fn error(status: u16, message: &str) -> Self {
        let body = serde_json::json!({ "error": { "message": message } });
        Self::with_status(status, &body)
    }

    /// Returns status 404.
    pub fn not_found() -> Self {
        Self::error(404, "not found")
    }

    /// Removes the outcome, for a request whose outcome its producer records.
    pub fn without_outcome(mut self) -> Self {
        self.outcome = None;
        self
    }
}

/// Returns the SHA-256 digest as lower-case hexadecimal digits.
pub fn digest(bytes: &[u8]) -> String {
    Digest::of(bytes)
        .0
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Decodes percent escapes, and plus signs as spaces, in a path segment or query value; bytes
/// that are not UTF-8 are replaced.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escaped = text
            .get(index + 1..index + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[index], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                index += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
