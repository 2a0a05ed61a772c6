//! Manifest of a key.

use std::time::SystemTime;

use agate_model::finding::Report;
use agate_model::key;
use serde::{Deserialize, Serialize};

use super::parse_digest;

/// See [`key::Key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public name.
    pub id: String,
    /// Owner.
    pub account: String,
    /// SHA-256 of the key, in 64 hexadecimal digits.
    pub digest: String,
    /// RFC 3339 time from which the key is refused.
    #[serde(
        default,
        with = "humantime_serde::option",
        skip_serializing_if = "Option::is_none"
    )]
    pub expires: Option<SystemTime>,
}

impl From<key::Key> for Key {
    fn from(it: key::Key) -> Self {
        Self {
            id: it.id,
            account: it.account,
            digest: hex::encode(it.digest.0),
            expires: it.expires,
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
