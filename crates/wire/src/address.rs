//! Body of the response to `GET /v1/addresses`, which lists the entry hosts that a caller should
//! use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Name, availability zone and address of one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the entry host.
    pub host: String,
    /// Availability zone in which the host runs.
    pub zone: String,
    /// Address on which the gate of the host accepts callers.
    pub address: SocketAddr,
}

/// Entry hosts for a caller, in the order in which it should try them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Entry hosts, the preferred one first.
    pub hosts: Vec<Entry>,
    /// Time for which the caller may cache this response, in seconds.
    pub keep_seconds: u64,
}
