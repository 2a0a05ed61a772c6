//! Sealed calls between the system's processes.
//!
//! A request is sealed over its method, sender, time, nonce and body. The answer is
//! sealed over the same nonce, so that an answer can neither be forged nor replayed.
//! A repeated request is harmless: all calls are idempotent. Bodies are not encrypted.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::secret::Secret;

/// Largest difference of clocks between sender and receiver.
pub const CLOCK_SKEW: Duration = Duration::from_secs(120);

const REQUEST: &[u8] = b"agate request 1";
const ANSWER: &[u8] = b"agate answer 1";

/// A sealed request or answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// Host of the sender.
    pub sender: String,
    /// Time of sealing, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Chosen by the caller; the answer repeats it.
    pub nonce: String,
    /// JSON.
    pub body: String,
    /// HMAC-SHA256 in hexadecimal digits.
    pub code: String,
}

/// Why a sealed message was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The code does not fit; the sender has another cluster key.
    #[error("sealed with another cluster key")]
    Code,
    /// Sealed too long ago, or the clocks differ.
    #[error("sealed more than {} s away from this host's clock", CLOCK_SKEW.as_secs())]
    Time,
    /// An answer to another request.
    #[error("answer to another request")]
    Nonce,
}

/// Seals a request.
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

/// Body of a sealed request.
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

/// Seals the answer to `request`.
pub fn answer(
    secret: &Secret,
    method: &str,
    request: &Sealed,
    sender: &str,
    now: SystemTime,
    body: String,
) -> Sealed {
    let nonce = request.nonce.clone();
    seal(secret, ANSWER, method, sender, now, nonce, body)
}

/// Body of a sealed answer to `request`.
pub fn open_answer<'a>(
    secret: &Secret,
    method: &str,
    request: &Sealed,
    answer: &'a Sealed,
) -> Result<&'a str, Refusal> {
    verify(secret, ANSWER, method, answer)?;
    if answer.nonce != request.nonce {
        return Err(Refusal::Nonce);
    }
    Ok(&answer.body)
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
    let is_whole = code.len() == crate::secret::CODE_BYTES;
    if is_whole && secret.is_code(&parts(label, method, &time, sealed), &code) {
        Ok(())
    } else {
        Err(Refusal::Code)
    }
}

fn parts<'a>(label: &'a [u8], method: &'a str, time: &'a [u8], it: &'a Sealed) -> [&'a [u8]; 6] {
    [
        label,
        method.as_bytes(),
        it.sender.as_bytes(),
        time,
        it.nonce.as_bytes(),
        it.body.as_bytes(),
    ]
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
