//! Requests and responses of the stand-ins.

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Response, StatusCode};
use agate_model::key::Digest;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ledger;

/// A whole request.
#[derive(Debug)]
pub struct Request {
    /// Its place in the ledger.
    pub sequence: ledger::Sequence,
    /// Connection that it came on.
    pub connection: u64,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What a stand-in does with a request.
pub struct Answer {
    /// Response.
    pub response: Response<BoxBody>,
    /// What became of the request; `None` if the stand-in records it later.
    pub outcome: Option<ledger::Outcome>,
}

impl Request {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_matches('/').split('/').collect()
    }

    /// Decoded value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }

    /// Body as JSON, or the answer that refuses it.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|err| Answer::error(400, &err.to_string()))
    }
}

impl Answer {
    /// Carried out, with a JSON body.
    pub fn json<T: Serialize>(value: &T) -> Self {
        Self::with_status(200, value)
    }

    /// A JSON body with a status; below 400 it counts as carried out.
    pub fn with_status<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("wire types serialise to JSON");
        Self::bytes(status, "application/json", Bytes::from(body))
    }

    /// A body of any type.
    pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Self {
        let response = Response::build(code(status))
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

    /// A server-sent event stream, whose outcome is recorded by its producer.
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

    /// A refusal.
    pub fn error(status: u16, message: &str) -> Self {
        let body = serde_json::json!({ "error": { "message": message } });
        Self::with_status(status, &body)
    }

    /// Nothing is there.
    pub fn not_found() -> Self {
        Self::error(404, "not found")
    }

    /// The answer whose producer records the outcome.
    pub fn unsettled(mut self) -> Self {
        self.outcome = None;
        self
    }
}

/// SHA-256 in hexadecimal digits.
pub fn digest(bytes: &[u8]) -> String {
    Digest::of(bytes)
        .0
        .iter()
        .map(|it| format!("{it:02x}"))
        .collect()
}

/// Decodes percent signs and plus signs of a path segment or query value.
pub fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escaped = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], escaped) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
