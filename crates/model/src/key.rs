//! Keys of callers, of which only the digests are stored.

use std::time::SystemTime;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::id::{AccountId, KeyId};

/// Length of a SHA-256 digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key. Keys carry 256 random bits, so no slow hash is needed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of a key in the form in which the caller sends it.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Compares two digests in a time that does not depend on their contents.
    pub fn is_same(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// A key with which callers of one account authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Public name of the key.
    pub id: KeyId,
    /// Client account that owns the key.
    pub account: AccountId,
    /// Digest of the secret that callers send.
    pub digest: Digest,
    /// Time from which the key is refused; `None` if it does not expire.
    pub expires: Option<SystemTime>,
}

impl Key {
    /// Returns whether the key has expired at `now`.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        self.expires.is_some_and(|expiry| now >= expiry)
    }
}
