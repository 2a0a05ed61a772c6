//! Extracts the caller's key from the request headers and refuses keys in places that endpoints
//! or logs would see.

use actix_http::RequestHead;
use actix_http::header::{self, HeaderMap, HeaderValue};
use agate_model::key::Digest;
use agate_model::refusal::Reason;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use zeroize::Zeroizing;

use crate::refusal::Denial;

/// Header that carries a key without a scheme, as an alternative to `Authorization`.
const API_KEY_HEADER: &str = "x-api-key";
/// Names of query parameters and cookies whose value is taken for a key, in any case.
const KEY_NAMES: [&str; 4] = ["key", "api_key", "api-key", "access_token"];
/// Length in bytes below which a key is not searched for, because short keys occur by chance.
const MIN_SEARCHED_KEY_BYTES: usize = 12;

/// Key as the caller presented it. Its memory is wiped on drop and `Debug` hides it.
pub struct Secret(Zeroizing<Vec<u8>>);

impl Secret {
    fn new(bytes: &[u8]) -> Self {
        Self(Zeroizing::new(bytes.to_vec()))
    }

    /// Returns the digest by which the configuration identifies the key.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }

    /// Returns whether `text` contains the key. Keys of less than 12 bytes are never found.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let key = self.0.as_slice();
        if key.len() < MIN_SEARCHED_KEY_BYTES || text.len() < key.len() {
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

/// Returns the key that the headers present, or `None` without one. A key in the query or a cookie,
/// and headers with different keys, are refused.
pub fn presented_key(head: &RequestHead) -> Result<Option<Secret>, Denial> {
    check_query(head.uri.query().unwrap_or_default())?;
    check_cookies(&head.headers)?;
    let mut found: Option<Secret> = None;
    for secret in header_keys(&head.headers)? {
        match &found {
            Some(earlier) if !earlier.digest().is_same(&secret.digest()) => {
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
        keys.push(authorization_key(value)?);
    }
    for value in headers.get_all(API_KEY_HEADER) {
        keys.push(Secret::new(value.as_bytes().trim_ascii()));
    }
    Ok(keys)
}

/// Returns the key of an `Authorization` header: the Bearer token, or the password of Basic.
fn authorization_key(value: &HeaderValue) -> Result<Secret, Denial> {
    let malformed = || {
        let message = "the Authorization header is neither Bearer nor Basic";
        Denial::new(Reason::KeyInvalid, message)
    };
    let bytes = value.as_bytes().trim_ascii();
    let space = bytes
        .iter()
        .position(|byte| *byte == b' ')
        .ok_or_else(malformed)?;
    let (scheme, credentials) = bytes.split_at(space);
    let credentials = credentials.trim_ascii();
    if scheme.eq_ignore_ascii_case(b"bearer") {
        return Ok(Secret::new(credentials));
    }
    if !scheme.eq_ignore_ascii_case(b"basic") {
        return Err(malformed());
    }
    let decoded = Zeroizing::new(
        BASE64_STANDARD
            .decode(credentials)
            .map_err(|_| malformed())?,
    );
    let colon = decoded
        .iter()
        .position(|byte| *byte == b':')
        .ok_or_else(malformed)?;
    Ok(Secret::new(&decoded[colon + 1..]))
}

/// Refuses a query that has a parameter for a key.
fn check_query(query: &str) -> Result<(), Denial> {
    let misplaced = query
        .split(['&', ';'])
        .filter_map(|pair| pair.split('=').next())
        .any(|name| is_key_name(&percent_decode(name)));
    if misplaced {
        return Err(misplaced_key("the query"));
    }
    Ok(())
}

/// Refuses cookies that have the name of a key parameter.
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

/// Returns the denial for a key in `place`, which endpoints or logs would see.
pub fn misplaced_key(place: &str) -> Denial {
    let message = format!("a key was shown in {place}; show it in the Authorization header");
    Denial::new(Reason::KeyMisplaced, message)
}

fn is_key_name(name: &str) -> bool {
    KEY_NAMES
        .iter()
        .any(|key_name| name.eq_ignore_ascii_case(key_name))
}

/// Decodes percent escapes in `text`. Malformed escapes stay as they are, and invalid UTF-8 becomes
/// U+FFFD.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        match decode_escape(bytes, at) {
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

/// Returns the byte that the escape at `at` encodes, or `None` if there is no well-formed escape.
fn decode_escape(bytes: &[u8], at: usize) -> Option<u8> {
    if bytes[at] != b'%' {
        return None;
    }
    let digits = std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
