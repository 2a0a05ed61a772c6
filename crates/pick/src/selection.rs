//! Input and output of a picker.

use std::time::Duration;

use agate_model::id::{EndpointId, PoolId, Tier, ZoneId};

use crate::endpoint::Key;

/// What an endpoint must fulfil to be chosen for a request, and what it is ranked by.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Pools in order of preference; a later one is used if no endpoint of the earlier ones
    /// may be chosen.
    pub pools: &'a [PoolId],
    /// Hashes of the prompt's prefix blocks; each one also covers the blocks before it. Empty
    /// if the request has no prompt.
    pub prefix: &'a [u64],
    /// Priority of the request; 0 is the highest. Higher tiers may use more of the slots of an
    /// endpoint.
    pub tier: Tier,
    /// Availability zone of this host; endpoints in the same zone are preferred.
    pub zone: &'a ZoneId,
    /// Whether the request may run on reclaimable endpoints.
    pub reclaimable: bool,
    /// Endpoints that earlier attempts used; none of them is chosen.
    pub excluded: &'a [EndpointId],
    /// Expected work in response tokens, see [`work_tokens`].
    pub tokens: u64,
}

/// Number of prompt tokens that cost as much as one response token.
const PROMPT_PER_RESPONSE: u64 = 50;

/// Returns the work of a request in response tokens, at least 1; a call of a plain service
/// counts as 1.
pub fn work_tokens(prompt: u64, response: u64) -> u64 {
    (response + prompt / PROMPT_PER_RESPONSE).max(1)
}

/// Lowest tier for which an endpoint may be chosen now, by kind of endpoint; `None` if no
/// endpoint of the kind may be chosen for any tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Lowest tier for which a standard endpoint may be chosen.
    pub standard: Option<Tier>,
    /// Lowest tier for which a reclaimable endpoint may be chosen.
    pub reclaimable: Option<Tier>,
}

/// Endpoint that was chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Key to pass to [`crate::Picker::start`].
    pub key: Key,
    /// Name of the endpoint in the configuration.
    pub id: EndpointId,
    /// Expected time until the response is complete; zero if no response of the endpoint was
    /// observed yet.
    pub expected: Duration,
    /// Whether the endpoint was preferred because its cache probably holds the prompt prefix.
    pub cached: bool,
}

/// One request in flight on an endpoint, as counted by [`crate::Picker::start`].
#[derive(Debug)]
#[must_use = "a request in flight is passed to `Picker::finish` when it ends"]
pub struct InFlight {
    pub(crate) key: Key,
}

impl InFlight {
    /// Returns the key of the endpoint.
    pub fn key(&self) -> Key {
        self.key
    }
}

/// Result of a request on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response was received.
    Success(Latency),
    /// The endpoint failed or did not respond in time.
    Failure,
    /// The router or the caller cancelled the request; the health of the endpoint is not
    /// affected.
    Cancelled,
}

/// Duration of a response and the work that it was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency {
    /// Time from sending the request to the end of the response.
    pub total: Duration,
    /// Work done in response tokens, see [`work_tokens`].
    pub tokens: u64,
}

/// Load that an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests in the batch, from all hosts.
    pub running: u32,
    /// Requests waiting for the batch, from all hosts.
    pub queued: u32,
    /// Time between the counting on the endpoint and the arrival of the report.
    pub age: Duration,
}
