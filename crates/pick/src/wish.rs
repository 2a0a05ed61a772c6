//! Questions to a picker and its answers.

use std::time::Duration;

use agate_model::id::{EndpointId, PoolId, Tier, ZoneId};

use crate::endpoint::Key;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Pools in order of preference.
    pub pools: &'a [PoolId],
    /// Hashes of the prompt's prefix blocks; each covers the blocks before it too.
    pub prefix: &'a [u64],
    /// Priority; 0 is the highest. Higher tiers may fill more of an endpoint.
    pub tier: Tier,
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Whether it may run on reclaimable endpoints.
    pub reclaimable: bool,
    /// Endpoints already tried.
    pub excluded: &'a [EndpointId],
    /// Expected work, see [`work_tokens`].
    pub tokens: u64,
}

/// Prompt tokens that cost as much as one answer token.
const PROMPT_PER_ANSWER: u64 = 50;

/// Work of a request in answer tokens; a plain call counts as one.
pub fn work_tokens(prompt: u64, answer: u64) -> u64 {
    (answer + prompt / PROMPT_PER_ANSWER).max(1)
}

/// The lowest tier for which an endpoint may be chosen now, by kind; `None` if
/// there is none for any tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// On standard endpoints.
    pub standard: Option<Tier>,
    /// On reclaimable endpoints.
    pub reclaimable: Option<Tier>,
}

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key for [`crate::Picker::start`].
    pub key: Key,
    /// Name.
    pub id: EndpointId,
    /// Expected time of the whole answer; zero if nothing is known yet.
    pub expected: Duration,
    /// Whether it was preferred for its prefix cache.
    pub cached: bool,
}

/// A request running on an endpoint.
#[derive(Debug)]
#[must_use = "a flight is given to `Picker::finish` when the request ends"]
pub struct Flight {
    pub(crate) key: Key,
}

impl Flight {
    /// Key of the endpoint.
    pub fn key(&self) -> Key {
        self.key
    }
}

/// How a request ended on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Success(Latency),
    /// The endpoint failed or did not answer in time.
    Failure,
    /// The router or the caller ended it; says nothing about the endpoint.
    Cancelled,
}

/// Times of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency {
    /// From sending to the end of the answer.
    pub total: Duration,
    /// Work done, see [`work_tokens`].
    pub tokens: u64,
}

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests in the batch, from all hosts.
    pub running: u32,
    /// Requests waiting for the batch, from all hosts.
    pub queued: u32,
    /// Age of the figures when they arrived.
    pub age: Duration,
}
