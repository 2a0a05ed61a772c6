//! Manifest of a request class.

use std::time::Duration;

use agate_model::class;
use agate_model::finding::Report;
use agate_model::id::TIER_COUNT;
use serde::{Deserialize, Serialize};

use super::{at_least_one, one};

const DEFAULT_QUEUE_LIMIT: u32 = 256;
const DEFAULT_RETRY_PERCENT: u32 = 10;

fn yes() -> bool {
    true
}

fn queue() -> u32 {
    DEFAULT_QUEUE_LIMIT
}

fn retry() -> u32 {
    DEFAULT_RETRY_PERCENT
}

/// Serialised form of [`class::Target`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Time from arrival to the first token, for example `900ms`; at most `deadline`.
    #[serde(with = "humantime_serde")]
    pub first_token: Duration,
    /// Maximum mean gap between tokens, for example `28ms`.
    #[serde(with = "humantime_serde")]
    pub between_tokens: Duration,
    /// Time from arrival to the end of the response, for example `30s`; more than `0s`.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// Serialised form of [`class::Class`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub id: String,
    /// Priority, below [`TIER_COUNT`]; 0 is the highest.
    pub tier: u8,
    /// Relative share of request starts, at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Latency targets of requests in the class.
    pub target: Target,
    /// Whether requests may be executed more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Whether slow requests may be hedged; needs an idempotent class.
    #[serde(default)]
    pub hedge: bool,
    /// Whether requests may run on reclaimable endpoints; needs an idempotent class.
    #[serde(default)]
    pub reclaimable: bool,
    /// Maximum number of queued requests on one host.
    #[serde(default = "queue")]
    pub queue_limit: u32,
    /// Maximum number of retries and hedges per hundred requests, 0 to 100.
    #[serde(default = "retry")]
    pub retry_percent: u32,
}

impl From<class::Class> for Class {
    fn from(class: class::Class) -> Self {
        Self {
            id: class.id,
            tier: class.tier,
            weight: class.weight,
            target: Target {
                first_token: class.target.first_token,
                between_tokens: class.target.between_tokens,
                deadline: class.target.deadline,
            },
            idempotent: class.idempotent,
            hedge: class.hedge,
            reclaimable: class.reclaimable,
            queue_limit: class.queue_limit,
            retry_percent: class.retry_percent,
        }
    }
}

impl Class {
    pub(super) fn convert(self, report: &mut Report) -> class::Class {
        let place = |field: &str| format!("class/{}.{field}", self.id);
        if usize::from(self.tier) >= TIER_COUNT {
            report.push(place("tier"), format!("needs to be below {TIER_COUNT}"));
        }
        at_least_one(self.weight, place("weight"), report);
        if self.target.deadline.is_zero() {
            report.push(place("target.deadline"), "needs to be longer than 0s");
        }
        if self.target.first_token > self.target.deadline {
            report.push(place("target.first_token"), "is longer than the deadline");
        }
        if self.hedge && !self.idempotent {
            report.push(place("hedge"), "needs an idempotent class");
        }
        if self.reclaimable && !self.idempotent {
            report.push(place("reclaimable"), "needs an idempotent class");
        }
        if self.retry_percent > 100 {
            report.push(place("retry_percent"), "needs to be 100 or less");
        }
        class::Class {
            id: self.id,
            tier: self.tier,
            weight: self.weight,
            target: class::Target {
                first_token: self.target.first_token,
                between_tokens: self.target.between_tokens,
                deadline: self.target.deadline,
            },
            idempotent: self.idempotent,
            hedge: self.hedge,
            reclaimable: self.reclaimable,
            queue_limit: self.queue_limit,
            retry_percent: self.retry_percent,
        }
    }
}
