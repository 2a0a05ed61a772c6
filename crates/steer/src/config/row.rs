//! Rows of the `config` table.

use agate_model::id::Version;
use serde::{Deserialize, Serialize};

/// Table of configuration rows.
pub const TABLE: &str = "config";
/// Row with the newest version.
pub const HEAD: &str = "head";
/// Row with a version that is known to be accepted; a lower bound.
pub const ACCEPTED: &str = "accepted";
/// Row that names the newest snapshot object.
pub const SNAPSHOT: &str = "snapshot";
/// Prefix of changes.
pub const CHANGE_PREFIX: &str = "change/";

/// Row of a change.
pub fn change(version: Version) -> String {
    format!("{CHANGE_PREFIX}{version:020}")
}

/// Row of a nonce, which tells a repeated change from a new one.
pub fn nonce(nonce: &str) -> String {
    format!("nonce/{nonce}")
}

/// Name of a snapshot object.
pub fn object(version: Version) -> String {
    format!("config/snapshot-{version:020}")
}

/// Contents of a nonce row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce {
    /// Version that the change created.
    pub version: Version,
    /// Digest of the request.
    pub digest: String,
}
