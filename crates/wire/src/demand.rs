//! JSON-RPC call by which hosts report demand towards the lease holder.

use serde::{Deserialize, Serialize};

/// JSON-RPC method that takes [`Push`] and returns [`Ack`].
pub const METHOD: &str = "agate_demand";

/// Demand for one pool. The serialised names are short, since every host sends this for many pools.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    #[serde(rename = "p")]
    pub pool: String,
    /// Rate at which requests arrive, per second.
    #[serde(rename = "a")]
    pub arrivals: f64,
    /// Number of requests in the queue.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Number of requests in flight.
    #[serde(rename = "r")]
    pub running: u32,
}

/// Demand on the sender, or on a group of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Push {
    /// Demand for each pool.
    pub pools: Vec<Pool>,
    /// Whether this is the sum over the hosts that report to the sender. The receiver does not
    /// forward sums.
    pub is_sum: bool,
}

/// Response of a receiver that has recorded the demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Whether the receiver is the lease holder.
    pub is_holder: bool,
}
