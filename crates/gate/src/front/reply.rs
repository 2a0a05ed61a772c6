//! Responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use crate::refusal::REQUEST_ID_HEADER;

/// An answer on its way to the caller.
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<BoxBody>,
    /// Called once the whole body was handed to the caller's connection.
    pub delivered: Option<Box<dyn FnOnce()>>,
}

impl From<Response<BoxBody>> for Answer {
    fn from(response: Response<BoxBody>) -> Self {
        Self {
            response,
            delivered: None,
        }
    }
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::with_body(status, BoxBody::new(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A plain text response.
pub fn text(status: StatusCode, body: &'static str) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// A response with the status, headers and body of an endpoint's answer.
pub fn forwarded(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    *response.headers_mut() = headers;
    response
}

/// Adds the identity of the request.
pub fn identify(response: &mut Response<BoxBody>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
