//! Row keys of claims and digests of the requests that they protect.

use std::fmt::Write as _;

use agate_model::key::Digest;
use sha2::{Digest as _, Sha256};

/// Name of the table that holds the claims.
pub const TABLE: &str = "claim";

/// Returns the key of the claim's row: `account/` and the hexadecimal digest of the idempotency
/// key. The account is part of it, so accounts that choose the same idempotency key do not
/// collide.
pub fn row_key(account: &str, idempotency_key: &str) -> String {
    let digest = Digest::of(idempotency_key.as_bytes());
    let mut key = String::with_capacity(account.len() + 1 + 2 * digest.0.len());
    key.push_str(account);
    key.push('/');
    for byte in digest.0 {
        write!(key, "{byte:02x}").expect("writing to a string never fails");
    }
    key
}

/// Returns the digest that tells requests under the same idempotency key apart. The lengths of
/// `method` and `path` are hashed too, so bytes moved from one part to the next change the digest.
pub fn request(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    Digest(hash.finalize().into())
}
