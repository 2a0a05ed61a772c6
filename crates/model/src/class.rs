//! Request classes: tier, latency targets and permissions.

use std::time::Duration;

use crate::id::{ClassId, Tier};

/// Latency targets of a class. Attainment counts the requests that met all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// From arrival to the first token, or to the answer of a plain call.
    pub first_token: Duration,
    /// Longest mean gap between tokens.
    pub between_tokens: Duration,
    /// From arrival to the whole answer. Queued work past it is refused.
    pub deadline: Duration,
}

/// A kind of work with one priority and one set of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name.
    pub id: ClassId,
    /// Priority; 0 is the highest.
    pub tier: Tier,
    /// Relative share of starts among classes, also against higher tiers.
    pub weight: u32,
    /// Latency targets.
    pub target: Target,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether a slow idempotent request may be sent to a second endpoint.
    pub hedge: bool,
    /// Whether the work may run on endpoints that can be reclaimed.
    pub reclaimable: bool,
    /// Requests that may wait on one host.
    pub queue_limit: u32,
    /// Retries and hedges per hundred requests.
    pub retry_percent: u32,
}
