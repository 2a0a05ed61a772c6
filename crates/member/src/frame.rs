//! Gossip frames: a request with a nonce and its response, each one UDP datagram.
//!
//! A response is authentic for one request only, so a statement in it was true after the request
//! was sent. The requester counts every age from the time at which it sent the request, so neither
//! a delayed datagram nor a suspended process makes a statement look younger than it is.

use std::time::Duration;

use agate_model::id::{Epoch, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::rumour::Rumour;
use crate::secret::Secret;

/// Length of the truncated authentication code at the end of a datagram, in bytes.
pub const CODE_BYTES: usize = 16;

/// Maximum length of a datagram with its authentication code, in bytes. It fits into one packet
/// of the smallest usual path MTU.
pub const FRAME_BYTES: usize = 512;

/// Maximum number of attestations in a frame; [`Frame::encode`] drops the rest.
pub const ATTESTATION_LIMIT: usize = 15;

/// Maximum number of rumours in a frame; [`Frame::encode`] drops the rest.
pub const RUMOUR_LIMIT: usize = 8;

/// Length of the IPv4 and UDP headers of a datagram, in bytes.
pub const HEADER_BYTES: usize = 28;

/// Encoded age of an attestation that is missing or too old to be encoded.
pub const NO_AGE: u8 = u8::MAX;

/// Unit of the encoded ages of attestations.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// First part of every authenticated text, which separates frames from sealed messages.
const LABEL: &[u8] = b"agate gossip 1";

/// First 64 bits of the SHA-256 of a name, which replace the name in frames.
pub type Tag = u64;

/// Returns the tag of the name of a host, process incarnation, endpoint or pool.
pub fn tag(name: &str) -> Tag {
    let digest: [u8; 32] = Sha256::digest(name.as_bytes()).into();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    Tag::from_be_bytes(prefix)
}

/// A gossip message: a request if it has no response part, else the response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Tag of the sender's host.
    pub host: Tag,
    /// Tag of the sender's process incarnation.
    pub incarnation: Tag,
    /// Random number chosen by the requester and copied into the response.
    pub nonce: u64,
    /// Configuration version that the sender has.
    pub version: Version,
    /// Highest configuration version that the sender knows to be accepted.
    pub accepted: Version,
    /// Highest lease epoch that the sender has seen.
    pub epoch: Epoch,
    /// Facts that need no proof of age, at most [`RUMOUR_LIMIT`].
    pub rumours: Vec<Rumour>,
    /// Statements with their ages; `None` in a request.
    #[serde(rename = "answer")]
    pub response: Option<Response>,
}

/// Statements of a response and their ages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Newest head version known to have been read from the store, by any host.
    pub store: Option<Statement>,
    /// First configuration version of the witness set that the attestations refer to.
    pub set_since: Version,
    /// For each member of that set, the age of its statement that it has no version above the
    /// sender's, in units of 10 ms, or [`NO_AGE`] without such a statement.
    pub attestations: Vec<u8>,
    /// Age of the sender's own proof that its version is current, in milliseconds.
    pub proof_age_ms: Option<u16>,
    /// Platform lists that the sender has, `None` if it has none.
    pub lists: Option<Lists>,
}

/// Identity and age of a copy of the platform's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Digest of the lists' contents, by which two hosts compare their copies.
    pub digest: u32,
    /// Time since the lists were read from the platform, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// A configuration version and the age of the statement about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Configuration version that the statement names.
    pub version: Version,
    /// Age when the frame was encoded, in milliseconds, rounded up.
    pub age_ms: u16,
}

/// Reason for which a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The datagram is longer than [`FRAME_BYTES`].
    #[error("datagram is longer than {FRAME_BYTES} bytes")]
    TooLong,
    /// The authentication code is missing or wrong; the sender may have another cluster key.
    #[error("authentication code is missing or was not made with this cluster key")]
    Code,
    /// The datagram is authentic, but was encoded by another version of the program.
    #[error("authentic datagram does not decode as a gossip frame of this version")]
    Malformed,
}

impl Frame {
    /// Returns the datagram with its authentication code. Attestations and rumours above the
    /// limits are left out.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let mut frame = self.clone();
        frame.rumours.truncate(RUMOUR_LIMIT);
        if let Some(response) = &mut frame.response {
            response.attestations.truncate(ATTESTATION_LIMIT);
        }
        let mut bytes =
            postcard::to_stdvec(&frame).expect("every field of a frame has a known length");
        let code = secret.code(&[LABEL, &bytes]);
        bytes.extend_from_slice(&code[..CODE_BYTES]);
        bytes
    }

    /// Decodes a datagram whose sender has the cluster key.
    pub fn decode(secret: &Secret, datagram: &[u8]) -> Result<Self, Refusal> {
        if datagram.len() > FRAME_BYTES {
            return Err(Refusal::TooLong);
        }
        let length = datagram.len().checked_sub(CODE_BYTES);
        let (body, code) = datagram.split_at(length.ok_or(Refusal::Code)?);
        if !secret.verify(&[LABEL, body], code) {
            return Err(Refusal::Code);
        }
        postcard::from_bytes(body).map_err(|_| Refusal::Malformed)
    }
}

/// Encodes the age of an attestation in units of 10 ms, rounded up. Returns [`NO_AGE`] if there is
/// none or it is too old to be encoded.
pub fn encode_age(age: Option<Duration>) -> u8 {
    let units = age.map(|age| age.as_micros().div_ceil(AGE_UNIT.as_micros()));
    let encoded = units.and_then(|units| u8::try_from(units).ok());
    encoded.unwrap_or(NO_AGE)
}

/// Decodes the age of an attestation, the inverse of [`encode_age`].
pub fn decode_age(encoded: u8) -> Option<Duration> {
    (encoded != NO_AGE).then(|| AGE_UNIT * u32::from(encoded))
}

/// Returns an age in milliseconds, rounded up, or `None` if it is too old for a frame.
pub fn age_ms(age: Duration) -> Option<u16> {
    u16::try_from(age.as_micros().div_ceil(1000)).ok()
}
