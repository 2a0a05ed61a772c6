//! Keys of callers, kept as digests only.

use std::time::SystemTime;

use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::id::{AccountId, KeyId};

/// Length of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key. Keys carry 256 random bits, so no slow hash is needed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Digest of a key as the caller shows it.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Comparison whose duration does not depend on the contents.
    pub fn is_same(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// A key that callers of one account show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Public name.
    pub id: KeyId,
    /// Owner.
    pub account: AccountId,
    /// Digest of the secret.
    pub digest: Digest,
    /// From this time on the key is refused; `None` is never.
    pub expires: Option<SystemTime>,
}

impl Key {
    /// Whether the key has expired at `now`.
    pub fn is_expired(&self, now: SystemTime) -> bool {
        self.expires.is_some_and(|at| now >= at)
    }
}
