//! Finds the parts of prompts that crash every endpoint that begins to answer them, so that no further
//! request with such a part is sent.
//!
//! A request that was at an endpoint when it crashed is evidence against each part of its prompt. A
//! part that was answered since is cleared. What is left in several crashes, at more than one address
//! and at different moments, is blocked. Parts that always came together are blocked together: only
//! requests that have all of them are refused, until an answer clears one.
//!
//! Hosts exchange [`report::Report`]s, so that each decides by what all have seen.

mod detector;
mod evidence;
pub mod pace;
pub mod report;
mod suspects;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

pub use self::detector::{Detector, Tuning, Verdict, Work};
pub use self::evidence::MIN_AGE;

/// Identity of a part of a prompt; equal for the same content at the same service.
pub type PartId = u64;

/// Time on a steady clock that all hosts share.
pub type Time = Duration;

/// A request that was lost when its endpoint crashed, before it was answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// When the connection ended.
    pub at: Time,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Parts of the prompt.
    pub parts: Vec<PartId>,
}

/// Parts whose common presence in a prompt crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// A request is refused if its prompt has all of these.
    pub parts: BTreeSet<PartId>,
    /// The first crash in evidence; an answer to a part after it clears that part.
    pub since: Time,
    /// The last known crash.
    pub last: Time,
    /// How long after the last crash requests are refused.
    pub hold: Duration,
}

impl Block {
    /// Returns when requests are sent again.
    #[must_use]
    pub fn until(&self) -> Time {
        self.last + self.hold
    }

    /// Returns whether a prompt with `parts` has all parts of the block.
    #[must_use]
    pub fn matches(&self, parts: &[PartId]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }
}
