//! Builds responses to callers.

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use crate::refusal::REQUEST_ID_HEADER;

/// Response to a caller, with a callback for its delivery.
pub struct Reply {
    /// Status, headers and body; the request id is added before it is sent.
    pub response: Response<BoxBody>,
    /// Called once the complete body was handed to the caller's connection; `None` if nothing
    /// depends on the delivery.
    pub on_delivered: Option<Box<dyn FnOnce()>>,
}

impl From<Response<BoxBody>> for Reply {
    fn from(response: Response<BoxBody>) -> Self {
        Self {
            response,
            on_delivered: None,
        }
    }
}

/// Builds a response with `value` as its JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::with_body(status, BoxBody::new(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response with `body` as plain text.
pub fn text(status: StatusCode, body: &'static str) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response with the status, headers and body that an endpoint sent.
pub fn forwarded(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(body));
    *response.headers_mut() = headers;
    response
}

/// Adds the request id header. An id that is no valid header value is left out.
pub fn set_request_id(response: &mut Response<BoxBody>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}
