//! Request classes: tier, latency targets and permissions.

use std::time::Duration;

use crate::id::{ClassId, Tier};

/// Latency targets of a class. Attainment counts the requests that met all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time from arrival to the first token, or to the response of a plain call.
    pub first_token: Duration,
    /// Maximum mean gap between tokens.
    pub between_tokens: Duration,
    /// Time from arrival to the end of the response. Requests still queued after it are refused.
    pub deadline: Duration,
}

/// A group of requests with one priority and one set of latency targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name of the class.
    pub id: ClassId,
    /// Priority of the class; 0 is the highest.
    pub tier: Tier,
    /// Relative share of request starts among classes, also against higher tiers.
    pub weight: u32,
    /// Latency targets of requests in the class.
    pub target: Target,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether a slow idempotent request may be sent to a second endpoint.
    pub hedge: bool,
    /// Whether requests may run on endpoints that can be reclaimed.
    pub reclaimable: bool,
    /// Maximum number of queued requests on one host.
    pub queue_limit: u32,
    /// Maximum number of retries and hedges per hundred requests.
    pub retry_percent: u32,
}
