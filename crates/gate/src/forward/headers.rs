//! Headers that pass the gate. Everything else is left out.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::key::Digest;
use tokio::time::Instant;

use crate::work::Work;

const PRIORITY: HeaderName = HeaderName::from_static("x-agate-priority");
const DEADLINE: HeaderName = HeaderName::from_static("x-agate-deadline-ms");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// From callers to endpoints.
const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "cache-control",
    "content-encoding",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "range",
    "traceparent",
    "tracestate",
    "user-agent",
];

/// From endpoints to callers.
const RESPONSE_HEADERS: [&str; 14] = [
    "accept-ranges",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "location",
    "retry-after",
    "vary",
];

/// The caller's headers that endpoints may see.
pub fn passed_on(headers: &HeaderMap) -> HeaderMap {
    allowed(headers, &REQUEST_HEADERS)
}

/// The endpoint's headers that callers may see.
pub fn passed_back(headers: &HeaderMap) -> HeaderMap {
    allowed(headers, &RESPONSE_HEADERS)
}

fn allowed(headers: &HeaderMap, names: &[&str]) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(names.len());
    for (name, value) in headers {
        if names.contains(&name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// All headers of an attempt.
pub fn outgoing(work: &Work, endpoint: &Endpoint, attempt_id: &str, now: Instant) -> HeaderMap {
    let mut headers = work.headers.clone();
    let remaining = u64::try_from(work.remaining(now).as_millis()).unwrap_or(u64::MAX);
    headers.insert(PRIORITY, HeaderValue::from(u16::from(work.class.tier)));
    headers.insert(DEADLINE, HeaderValue::from(remaining));
    if let Ok(value) = HeaderValue::from_str(attempt_id) {
        headers.insert(REQUEST_ID, value);
    }
    if let Some(value) = idempotency_key(work, endpoint) {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    credential(endpoint, &mut headers);
    headers
}

/// Adds the credential that the endpoint expects from the system.
pub fn credential(endpoint: &Endpoint, headers: &mut HeaderMap) {
    if let Some(value) = endpoint.credential.as_deref().and_then(bearer) {
        headers.insert(header::AUTHORIZATION, value);
    }
}

/// The idempotency key as an endpoint sees it: the same for each repetition, different for each account.
fn idempotency_key(work: &Work, endpoint: &Endpoint) -> Option<HeaderValue> {
    if endpoint.protocol != Protocol::Plain {
        return None;
    }
    let key = work.idempotency.as_deref()?;
    HeaderValue::from_str(&scoped(work.account().map_or("", String::as_str), key)).ok()
}

/// Digest of an idempotency key together with its account, in hexadecimal.
pub fn scoped(account: &str, key: &str) -> String {
    let text = format!("{}:{account}:{key}", account.len());
    let Digest(bytes) = Digest::of(text.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bearer(credential: &str) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}")).ok()?;
    value.set_sensitive(true);
    Some(value)
}
