//! Keys that callers show, and the places where they must not show them.

use actix_http::RequestHead;
use actix_http::header::{self, HeaderMap, HeaderValue};
use agate_model::key::Digest;
use agate_model::refusal::Reason;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use zeroize::Zeroizing;

use crate::refusal::Denial;

const API_KEY_HEADER: &str = "x-api-key";
/// Parameters and cookies whose value is taken for a key.
const KEY_NAMES: [&str; 4] = ["key", "api_key", "api-key", "access_token"];
/// Shorter keys are not searched for, because they occur by chance.
const SEARCHED_KEY_BYTES: usize = 12;

/// A key as it was shown. It is wiped when dropped and never printed.
pub struct Secret(Zeroizing<Vec<u8>>);

impl Secret {
    fn new(bytes: &[u8]) -> Self {
        Self(Zeroizing::new(bytes.to_vec()))
    }

    /// Digest under which the configuration knows the key.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }

    /// Whether the key stands in `text`.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let key = self.0.as_slice();
        if key.len() < SEARCHED_KEY_BYTES || text.len() < key.len() {
            return false;
        }
        let mut rest = text;
        while let Some(at) = rest.iter().position(|byte| *byte == key[0]) {
            rest = &rest[at..];
            if rest.starts_with(key) {
                return true;
            }
            rest = &rest[1..];
        }
        false
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The key shown in the headers, if any.
pub fn shown(head: &RequestHead) -> Result<Option<Secret>, Denial> {
    check_query(head.uri.query().unwrap_or_default())?;
    check_cookies(&head.headers)?;
    let mut found: Option<Secret> = None;
    for secret in header_keys(&head.headers)? {
        match &found {
            Some(known) if !known.digest().is_same(&secret.digest()) => {
                let message = "different keys were shown";
                return Err(Denial::new(Reason::KeyAmbiguous, message));
            }
            _ => found = Some(secret),
        }
    }
    Ok(found)
}

fn header_keys(headers: &HeaderMap) -> Result<Vec<Secret>, Denial> {
    let mut keys = Vec::new();
    for value in headers.get_all(header::AUTHORIZATION) {
        keys.push(authorization(value)?);
    }
    for value in headers.get_all(API_KEY_HEADER) {
        keys.push(Secret::new(value.as_bytes().trim_ascii()));
    }
    Ok(keys)
}

fn authorization(value: &HeaderValue) -> Result<Secret, Denial> {
    let malformed = || {
        let message = "the Authorization header is neither Bearer nor Basic";
        Denial::new(Reason::KeyInvalid, message)
    };
    let bytes = value.as_bytes().trim_ascii();
    let split = bytes
        .iter()
        .position(|byte| *byte == b' ')
        .ok_or_else(malformed)?;
    let (scheme, rest) = bytes.split_at(split);
    let rest = rest.trim_ascii();
    if scheme.eq_ignore_ascii_case(b"bearer") {
        return Ok(Secret::new(rest));
    }
    if !scheme.eq_ignore_ascii_case(b"basic") {
        return Err(malformed());
    }
    let decoded = Zeroizing::new(BASE64_STANDARD.decode(rest).map_err(|_| malformed())?);
    let colon = decoded
        .iter()
        .position(|byte| *byte == b':')
        .ok_or_else(malformed)?;
    Ok(Secret::new(&decoded[colon + 1..]))
}

fn check_query(query: &str) -> Result<(), Denial> {
    let misplaced = query
        .split(['&', ';'])
        .filter_map(|pair| pair.split('=').next())
        .any(|name| is_key_name(&decoded_percent(name)));
    if misplaced {
        return Err(misplaced_key("the query"));
    }
    Ok(())
}

fn check_cookies(headers: &HeaderMap) -> Result<(), Denial> {
    for value in headers.get_all(header::COOKIE) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let names = text.split(';').filter_map(|pair| pair.split('=').next());
        if names.map(str::trim).any(is_key_name) {
            return Err(misplaced_key("a cookie"));
        }
    }
    Ok(())
}

/// A denial for a key in a place that endpoints or logs would see.
pub fn misplaced_key(place: &str) -> Denial {
    let message = format!("a key was shown in {place}; show it in the Authorization header");
    Denial::new(Reason::KeyMisplaced, message)
}

fn is_key_name(name: &str) -> bool {
    KEY_NAMES
        .iter()
        .any(|known| name.eq_ignore_ascii_case(known))
}

/// `text` with percent escapes decoded; malformed escapes stay as they are.
pub fn decoded_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        match escaped(bytes, at) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn escaped(bytes: &[u8], at: usize) -> Option<u8> {
    if bytes[at] != b'%' {
        return None;
    }
    let digits = std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
