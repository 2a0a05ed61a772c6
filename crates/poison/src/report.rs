//! What hosts tell one another, as it is serialised. Times are in milliseconds.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PartId, Time};

/// Evidence and decisions of one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Requests that the host lost in crashes that no block explains.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub losses: Vec<Loss>,
    /// Parts that the host refuses, and those that it has refused.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub blocks: Vec<Block>,
    /// Parts under suspicion that were answered, with the time of the answer.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sound: Vec<(PartId, u64)>,
}

impl Report {
    /// Returns whether the report says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Serialised form of [`crate::Loss`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    at: u64,
    endpoint: SocketAddr,
    parts: Vec<PartId>,
}

/// Serialised form of [`crate::Block`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    parts: Vec<PartId>,
    since: u64,
    last: u64,
    hold: u64,
}

impl From<&crate::Loss> for Loss {
    fn from(loss: &crate::Loss) -> Self {
        Self {
            at: millis(loss.at),
            endpoint: loss.endpoint,
            parts: loss.parts.clone(),
        }
    }
}

impl From<Loss> for crate::Loss {
    fn from(loss: Loss) -> Self {
        Self {
            at: Duration::from_millis(loss.at),
            endpoint: loss.endpoint,
            parts: loss.parts,
        }
    }
}

impl From<&crate::Block> for Block {
    fn from(block: &crate::Block) -> Self {
        Self {
            parts: block.parts.iter().copied().collect(),
            since: millis(block.since),
            last: millis(block.last),
            hold: millis(block.hold),
        }
    }
}

impl From<Block> for crate::Block {
    fn from(block: Block) -> Self {
        Self {
            parts: block.parts.into_iter().collect(),
            since: Duration::from_millis(block.since),
            last: Duration::from_millis(block.last),
            hold: Duration::from_millis(block.hold),
        }
    }
}

/// Returns a time in milliseconds.
pub(crate) fn millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
