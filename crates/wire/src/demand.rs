//! Demand of one host's gates, sent to the holder of the lease by JSON-RPC.

use serde::{Deserialize, Serialize};

use crate::sync::Demand;

/// JSON-RPC method: [`Push`], answered by [`Ack`].
pub const METHOD: &str = "agate_demand";

/// Demand since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Time that the arrivals cover, in milliseconds.
    pub interval_ms: u64,
    /// Demand by pool.
    pub pools: Vec<Demand>,
}

/// The demand was taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {}
