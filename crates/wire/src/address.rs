//! Answer to `GET /v1/addresses`: which entry hosts a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Where to connect.
    pub address: SocketAddr,
}

/// Addresses in the order in which to try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Entry hosts.
    pub hosts: Vec<Entry>,
    /// How long the answer may be kept, in seconds.
    pub keep_seconds: u64,
}
