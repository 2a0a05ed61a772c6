//! The cluster key, which tells the system's own processes from strangers.

use hmac::{Hmac, Mac as _};
use sha2::Sha256;

/// Shortest cluster key, in bytes.
pub const SECRET_BYTES: usize = 32;

/// Length of a whole authentication code, in bytes.
pub const CODE_BYTES: usize = 32;

/// A cluster key.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

/// A text that is no cluster key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("needs at least {} hexadecimal digits", 2 * SECRET_BYTES)]
pub struct Malformed;

impl Secret {
    /// A key written in hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, Malformed> {
        let bytes = hex::decode(text.trim()).map_err(|_| Malformed)?;
        if bytes.len() < SECRET_BYTES {
            return Err(Malformed);
        }
        let code = Hmac::new_from_slice(&bytes).map_err(|_| Malformed)?;
        Ok(Self(code))
    }

    /// HMAC-SHA256 over the parts, each preceded by its length.
    pub fn code(&self, parts: &[&[u8]]) -> [u8; CODE_BYTES] {
        self.over(parts).finalize().into_bytes().into()
    }

    /// Whether `code`, which may be truncated, belongs to the parts. Takes the same time for every code.
    pub fn is_code(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.over(parts).verify_truncated_left(code).is_ok()
    }

    fn over(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut state = self.0.clone();
        for part in parts {
            state.update(&(part.len() as u64).to_be_bytes());
            state.update(part);
        }
        state
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}
