//! Keys and values of the rows in the `config` table.

use agate_model::id::Version;
use serde::{Deserialize, Serialize};

/// Name of the table that holds all configuration rows.
pub const TABLE: &str = "config";
/// Key of the row with the newest version. Every commit checks and writes it.
pub const HEAD: &str = "head";
/// Key of the row with a version that is known to be accepted, which is a lower bound.
pub const ACCEPTED: &str = "accepted";
/// Key of the row that names the newest snapshot object.
pub const SNAPSHOT: &str = "snapshot";
/// Prefix of the keys of change rows.
pub const CHANGE_PREFIX: &str = "change/";

/// Returns the key of a change's row, padded with zeros so that keys sort by version.
pub fn change(version: Version) -> String {
    format!("{CHANGE_PREFIX}{version:020}")
}

/// Returns the key of a nonce's row, which tells a retried change from a new one.
pub fn nonce(nonce: &str) -> String {
    format!("nonce/{nonce}")
}

/// Returns the name of the snapshot object of `version`.
pub fn object(version: Version) -> String {
    format!("config/snapshot-{version:020}")
}

/// Value of a nonce's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Nonce {
    /// Version that the change created.
    pub version: Version,
    /// Digest of the request that made the change.
    pub digest: String,
}
