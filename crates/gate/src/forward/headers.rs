//! Headers that the gate forwards; all others are dropped.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::key::Digest;
use tokio::time::Instant;

use crate::work::Work;

/// Tier of the request's class.
const PRIORITY: HeaderName = HeaderName::from_static("x-agate-priority");
/// Time left until the deadline, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-agate-deadline-ms");
/// ID of the attempt.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Idempotency key, scoped to the account.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Request headers that are forwarded from callers to endpoints.
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

/// Response headers that are forwarded from endpoints to callers.
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

/// Returns the caller's headers that endpoints may see.
pub fn for_endpoint(headers: &HeaderMap) -> HeaderMap {
    allowed(headers, &REQUEST_HEADERS)
}

/// Returns the endpoint's headers that callers may see.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    allowed(headers, &RESPONSE_HEADERS)
}

fn allowed(headers: &HeaderMap, names: &[&str]) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(names.len());
    for (name, value) in headers {
        if names.contains(&name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns all headers of an attempt: those forwarded from the caller, tier, remaining time in
/// milliseconds, request ID, scoped idempotency key and the endpoint's credential.
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
    add_credential(endpoint, &mut headers);
    headers
}

/// Adds the credential that the endpoint expects from the system.
pub fn add_credential(endpoint: &Endpoint, headers: &mut HeaderMap) {
    if let Some(value) = endpoint.credential.as_deref().and_then(bearer) {
        headers.insert(header::AUTHORIZATION, value);
    }
}

/// Returns the idempotency key that a plain endpoint receives: the same for each retry, different
/// for each account. `None` for engines.
fn idempotency_key(work: &Work, endpoint: &Endpoint) -> Option<HeaderValue> {
    if endpoint.protocol != Protocol::Plain {
        return None;
    }
    let key = work.idempotency.as_deref()?;
    HeaderValue::from_str(&scoped_key(work.account().map_or("", String::as_str), key)).ok()
}

/// Returns the digest of an idempotency key and its account, in hexadecimal.
pub fn scoped_key(account: &str, key: &str) -> String {
    let text = format!("{}:{account}:{key}", account.len());
    let Digest(bytes) = Digest::of(text.as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bearer(credential: &str) -> Option<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}")).ok()?;
    value.set_sensitive(true);
    Some(value)
}
