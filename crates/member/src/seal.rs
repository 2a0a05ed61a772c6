//! Seals calls between the system's processes with an authentication code.
//!
//! The code of a request covers its method, sender, time, nonce and body. The code of the response
//! covers the same nonce, so that a response can neither be forged nor replayed. A replayed request
//! is harmless, since all calls are idempotent. Bodies are not encrypted.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::secret::Secret;

/// Maximum difference between the time of a sealed request and the receiver's clock.
pub const CLOCK_SKEW: Duration = Duration::from_secs(120);

/// First part of the authenticated text of a request.
const REQUEST: &[u8] = b"agate request 1";
/// First part of the authenticated text of a response.
const RESPONSE: &[u8] = b"agate answer 1";

/// A sealed request or response, the only parameter or result of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// Name of the sender's host.
    pub sender: String,
    /// Time of sealing, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Random text of 32 hexadecimal digits chosen by the requester and copied into the response.
    pub nonce: String,
    /// Parameters or result of the call, as JSON.
    pub body: String,
    /// HMAC-SHA256 over the method and all other fields, in hexadecimal digits.
    pub code: String,
}

/// Reason for which a sealed message was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The authentication code is wrong; the sender may have another cluster key.
    #[error("sealed with another cluster key")]
    Code,
    /// The request was sealed more than [`CLOCK_SKEW`] ago, or the clocks differ by more than that.
    #[error("sealed more than {} s away from this host's clock", CLOCK_SKEW.as_secs())]
    Time,
    /// The response belongs to another request.
    #[error("answer to another request")]
    Nonce,
}

/// Seals a request of `sender` with a new random nonce.
pub fn request(
    secret: &Secret,
    method: &str,
    sender: &str,
    now: SystemTime,
    body: String,
) -> Sealed {
    let nonce = hex::encode(rand::random::<[u8; 16]>());
    seal(secret, REQUEST, method, sender, now, nonce, body)
}

/// Returns the body of a sealed request if its code and its time are valid.
pub fn open_request<'a>(
    secret: &Secret,
    method: &str,
    request: &'a Sealed,
    now: SystemTime,
) -> Result<&'a str, Refusal> {
    verify(secret, REQUEST, method, request)?;
    let skew = unix_ms(now).abs_diff(request.time_ms);
    if Duration::from_millis(skew) > CLOCK_SKEW {
        return Err(Refusal::Time);
    }
    Ok(&request.body)
}

/// Seals the response to `request` with the request's nonce.
pub fn response(
    secret: &Secret,
    method: &str,
    request: &Sealed,
    sender: &str,
    now: SystemTime,
    body: String,
) -> Sealed {
    let nonce = request.nonce.clone();
    seal(secret, RESPONSE, method, sender, now, nonce, body)
}

/// Returns the body of a sealed response if its code is valid and its nonce is that of `request`.
/// The time of a response is not checked.
pub fn open_response<'a>(
    secret: &Secret,
    method: &str,
    request: &Sealed,
    response: &'a Sealed,
) -> Result<&'a str, Refusal> {
    verify(secret, RESPONSE, method, response)?;
    if response.nonce != request.nonce {
        return Err(Refusal::Nonce);
    }
    Ok(&response.body)
}

fn seal(
    secret: &Secret,
    label: &[u8],
    method: &str,
    sender: &str,
    now: SystemTime,
    nonce: String,
    body: String,
) -> Sealed {
    let mut sealed = Sealed {
        sender: sender.to_owned(),
        time_ms: unix_ms(now),
        nonce,
        body,
        code: String::new(),
    };
    let time = sealed.time_ms.to_be_bytes();
    sealed.code = hex::encode(secret.code(&parts(label, method, &time, &sealed)));
    sealed
}

fn verify(secret: &Secret, label: &[u8], method: &str, sealed: &Sealed) -> Result<(), Refusal> {
    let code = hex::decode(&sealed.code).map_err(|_| Refusal::Code)?;
    let time = sealed.time_ms.to_be_bytes();
    let is_full_length = code.len() == crate::secret::CODE_BYTES;
    if is_full_length && secret.verify(&parts(label, method, &time, sealed), &code) {
        Ok(())
    } else {
        Err(Refusal::Code)
    }
}

/// Returns the authenticated parts of a sealed message.
fn parts<'a>(
    label: &'a [u8],
    method: &'a str,
    time: &'a [u8],
    sealed: &'a Sealed,
) -> [&'a [u8]; 6] {
    [
        label,
        method.as_bytes(),
        sealed.sender.as_bytes(),
        time,
        sealed.nonce.as_bytes(),
        sealed.body.as_bytes(),
    ]
}

fn unix_ms(time: SystemTime) -> u64 {
    let since_epoch = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
