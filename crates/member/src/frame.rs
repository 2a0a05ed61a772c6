//! Gossip frames: a question with a nonce and its answer, each one UDP datagram.
//!
//! An answer is authentic for one question, so a statement in it was true after the question
//! was sent. The asker counts every age from that moment: neither a delayed datagram nor
//! a process that was frozen makes a statement look younger than it is.

use std::time::Duration;

use agate_model::id::{Epoch, Version};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::rumour::Rumour;
use crate::secret::Secret;

/// Length of the authentication code of a frame, in bytes.
pub const CODE_BYTES: usize = 16;

/// Longest frame, in bytes; fits into one packet of the smallest usual path MTU.
pub const FRAME_BYTES: usize = 512;

/// Most attestations in a frame.
pub const ATTESTATION_LIMIT: usize = 15;

/// Most rumours in a frame.
pub const RUMOUR_LIMIT: usize = 8;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const HEADER_BYTES: usize = 28;

/// Stands for an attestation that is missing or too old.
pub const NO_AGE: u8 = u8::MAX;

const AGE_UNIT: Duration = Duration::from_millis(10);

const LABEL: &[u8] = b"agate gossip 1";

/// First 64 bits of the SHA-256 of a name, which stand for it in frames.
pub type Tag = u64;

/// Tag of a name.
pub fn tag(name: &str) -> Tag {
    let digest: [u8; 32] = Sha256::digest(name.as_bytes()).into();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    Tag::from_be_bytes(first)
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Host of the sender.
    pub host: Tag,
    /// Run of the sender.
    pub incarnation: Tag,
    /// Chosen by the asker; the answer repeats it.
    pub nonce: u64,
    /// Version that the sender has.
    pub version: Version,
    /// Highest version that the sender knows to be accepted.
    pub accepted: Version,
    /// Highest lease epoch that the sender has seen.
    pub epoch: Epoch,
    /// Facts that need no proof of age.
    pub rumours: Vec<Rumour>,
    /// Statements with their ages; only in answers.
    pub answer: Option<Answer>,
}

/// Statements of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Head version that somebody read in the store.
    pub store: Option<Statement>,
    /// First version of the witness set that the attestations refer to.
    pub set_since: Version,
    /// For each member of that set the age of its statement that it has no version
    /// above the sender's, in units of 10 ms; [`NO_AGE`] without such a statement.
    pub attestations: Vec<u8>,
    /// Age of the sender's own proof.
    pub proof_age_ms: Option<u16>,
    /// The platform's lists that the sender has.
    pub lists: Option<Lists>,
}

/// Identity and age of the platform's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Digest of the contents.
    pub digest: u32,
    /// Time since they were read, in milliseconds, rounded up.
    pub age_ms: u32,
}

/// A version and the age of the statement about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Version.
    pub version: Version,
    /// Age when the frame was written, in milliseconds, rounded up.
    pub age_ms: u16,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Longer than any frame.
    #[error("too long")]
    TooLong,
    /// The code does not fit; the sender has another cluster key.
    #[error("authentication code does not fit")]
    Code,
    /// Authentic, but written by another version of the program.
    #[error("malformed")]
    Malformed,
}

impl Frame {
    /// The datagram. Surplus attestations and rumours are left out.
    pub fn encode(&self, secret: &Secret) -> Vec<u8> {
        let mut frame = self.clone();
        frame.rumours.truncate(RUMOUR_LIMIT);
        if let Some(answer) = &mut frame.answer {
            answer.attestations.truncate(ATTESTATION_LIMIT);
        }
        let mut bytes = postcard::to_stdvec(&frame).expect("a frame has no unbounded part");
        let code = secret.code(&[LABEL, &bytes]);
        bytes.extend_from_slice(&code[..CODE_BYTES]);
        bytes
    }

    /// The frame of a datagram of somebody who has the cluster key.
    pub fn decode(secret: &Secret, datagram: &[u8]) -> Result<Self, Refusal> {
        if datagram.len() > FRAME_BYTES {
            return Err(Refusal::TooLong);
        }
        let length = datagram.len().checked_sub(CODE_BYTES);
        let (body, code) = datagram.split_at(length.ok_or(Refusal::Code)?);
        if !secret.is_code(&[LABEL, body], code) {
            return Err(Refusal::Code);
        }
        postcard::from_bytes(body).map_err(|_| Refusal::Malformed)
    }
}

/// An age of an attestation as frames carry it, rounded up.
pub fn short_age(age: Option<Duration>) -> u8 {
    let units = age.map(|it| it.as_micros().div_ceil(AGE_UNIT.as_micros()));
    let short = units.and_then(|it| u8::try_from(it).ok());
    short.unwrap_or(NO_AGE)
}

/// Inverse of [`short_age`].
pub fn long_age(short: u8) -> Option<Duration> {
    (short != NO_AGE).then(|| AGE_UNIT * u32::from(short))
}

/// An age as frames carry it, or `None` if it is too old to matter.
pub fn age_ms(age: Duration) -> Option<u16> {
    u16::try_from(age.as_micros().div_ceil(1000)).ok()
}
