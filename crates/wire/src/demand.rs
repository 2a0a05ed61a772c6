//! Demand of hosts on its way to the holder of the lease, by JSON-RPC.

use serde::{Deserialize, Serialize};

/// JSON-RPC method: [`Push`], answered by [`Ack`].
pub const METHOD: &str = "agate_demand";

/// Demand for one pool. Names are short, since every host sends this for many pools.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Pool.
    #[serde(rename = "p")]
    pub pool: String,
    /// Requests that arrive per second.
    #[serde(rename = "a")]
    pub arrivals: f64,
    /// Requests waiting.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Requests running.
    #[serde(rename = "r")]
    pub running: u32,
}

/// Demand of the sender, or of a group of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Push {
    /// Demand by pool.
    pub pools: Vec<Pool>,
    /// Whether it is the sum over the hosts that report to the sender. Sums are
    /// not passed on.
    pub is_sum: bool,
}

/// The demand was taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}
