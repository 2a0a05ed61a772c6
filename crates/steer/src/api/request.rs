//! Requests of operators, read with their body.

use actix_http::header::HeaderMap;
use actix_http::{Method, Request as HttpRequest, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;

use crate::api::response::Failure;

/// Largest accepted body, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// A request with its head and full body.
#[derive(Debug)]
pub struct Request {
    /// HTTP method, which decides the role that is needed.
    pub method: Method,
    /// Path segments below `/`, with percent-encoding resolved.
    pub segments: Vec<String>,
    query: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Request {
    /// Reads the body; fails with 413 above `BODY_BYTES`.
    pub async fn read(mut request: HttpRequest) -> Result<Self, Failure> {
        let body = read_body(&mut request).await?;
        let segments = request.path().trim_start_matches('/').split('/');
        Ok(Self {
            method: request.method().clone(),
            segments: segments.map(decode).collect(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            headers: request.head().headers().clone(),
            body,
        })
    }

    /// Returns the value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the first value of a query parameter, decoded; `None` if it is absent.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode(value))
    }

    /// Parses a query parameter as a number; `None` if it is absent.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Failure> {
        let Some(text) = self.query(name) else {
            return Ok(None);
        };
        let fault = || Failure::bad_request(format!("query parameter {name} needs a number"));
        text.parse().map(Some).map_err(|_| fault())
    }

    /// Parses the body as JSON; fails with 400 if it doesn't match.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Failure::bad_request(format!("body: {err}")))
    }

    /// Returns the body as it was received.
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}

async fn read_body(request: &mut HttpRequest) -> Result<Bytes, Failure> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|err| Failure::bad_request(format!("body: {err}")))?;
        if body.len() + chunk.len() > BODY_BYTES {
            let message = format!("body is larger than {BODY_BYTES} bytes");
            return Err(Failure::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                message,
            ));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Resolves percent-encoding. Malformed escapes stay as they are, and invalid UTF-8 is replaced.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escaped = (bytes[position] == b'%')
            .then(|| bytes.get(position + 1..position + 3))
            .flatten()
            .and_then(|digits| hex::decode(digits).ok());
        match escaped {
            Some(byte) => {
                decoded.extend(byte);
                position += 3;
            }
            None => {
                decoded.push(bytes[position]);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
