//! Selection of the HTTP headers that are forwarded.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Returns the host named in the `Host` header, without port; empty if it is missing.
pub fn host(headers: &HeaderMap) -> &str {
    let text = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let text = text.unwrap_or_default();
    text.rsplit_once(':').map_or(text, |(host, _)| host)
}

/// Copies the end-to-end headers: all but the hop-by-hop ones and those that `Connection` lists.
/// The codec sets the length of the body.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive";
        if !is_hop_by_hop && !listed.iter().any(|other| other == name.as_str()) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Returns the headers of an endpoint's response that are passed on to the caller.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// Returns headers that hold only this `Content-Type`.
pub fn content_type(media_type: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers
}
