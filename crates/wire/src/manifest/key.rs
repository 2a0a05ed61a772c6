//! Manifest of a key.

use std::time::SystemTime;

use agate_model::finding::Report;
use agate_model::key;
use serde::{Deserialize, Serialize};

use super::parse_digest;

/// Serialised form of [`key::Key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public name of the key.
    pub id: String,
    /// Name of the client account that owns the key.
    pub account: String,
    /// SHA-256 digest of the key, as 64 hexadecimal digits.
    pub digest: String,
    /// Time from which the key is refused, written in RFC 3339; `None` if it does not expire.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub expires: Option<SystemTime>,
}

impl From<key::Key> for Key {
    fn from(key: key::Key) -> Self {
        Self {
            id: key.id,
            account: key.account,
            digest: hex::encode(key.digest.0),
            expires: key.expires,
        }
    }
}

impl Key {
    pub(super) fn convert(self, report: &mut Report) -> key::Key {
        let digest = parse_digest(&self.digest, format!("key/{}.digest", self.id), report);
        key::Key {
            id: self.id,
            account: self.account,
            digest,
            expires: self.expires,
        }
    }
}
