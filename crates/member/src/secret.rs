//! The cluster key, with which the system's processes authenticate their messages.

use hmac::{Hmac, Mac as _};
use sha2::Sha256;

/// Minimum length of a cluster key, in bytes.
pub const SECRET_BYTES: usize = 32;

/// Length of an authentication code that is not truncated, in bytes.
pub const CODE_BYTES: usize = 32;

/// A cluster key, ready for computing authentication codes. Its `Debug` text doesn't show the key.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

/// Error for a text that is too short or not hexadecimal and so can't be a cluster key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected an even number of hexadecimal digits, at least {}",
    2 * SECRET_BYTES
)]
pub struct Malformed;

impl Secret {
    /// Parses a key written in hexadecimal digits; surrounding white space is ignored.
    pub fn from_hex(text: &str) -> Result<Self, Malformed> {
        let bytes = hex::decode(text.trim()).map_err(|_| Malformed)?;
        if bytes.len() < SECRET_BYTES {
            return Err(Malformed);
        }
        let mac = Hmac::new_from_slice(&bytes).map_err(|_| Malformed)?;
        Ok(Self(mac))
    }

    /// Returns the HMAC-SHA256 over the parts, each preceded by its length.
    pub fn code(&self, parts: &[&[u8]]) -> [u8; CODE_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Returns whether `code`, which may be truncated, authenticates the parts. Runs in constant
    /// time for codes of one length.
    pub fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.mac(parts).verify_truncated_left(code).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
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
