//! Row keys and digests of requests.

use std::fmt::Write as _;

use agate_model::key::Digest;
use sha2::{Digest as _, Sha256};

/// Table that holds the claims.
pub const TABLE: &str = "claim";

/// Key of the claim's row. The account is part of it, so accounts that choose
/// the same idempotency key do not meet.
pub fn row_key(account: &str, idempotency_key: &str) -> String {
    let digest = Digest::of(idempotency_key.as_bytes());
    let mut key = String::with_capacity(account.len() + 1 + 2 * digest.0.len());
    key.push_str(account);
    key.push('/');
    for byte in digest.0 {
        write!(key, "{byte:02x}").expect("writing to a string succeeds");
    }
    key
}

/// Digest that tells one request from another under the same idempotency key.
pub fn request(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.update(body);
    Digest(hash.finalize().into())
}
