//! Manifest of a client account.

use agate_model::account;
use agate_model::finding::Report;
use serde::{Deserialize, Serialize};

use super::{at_least_one, one};

const DEFAULT_CONCURRENT: u32 = 64;

fn concurrent() -> u32 {
    DEFAULT_CONCURRENT
}

/// See [`account::Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name.
    pub id: String,
    /// Relative share, from 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests running or queued at once on one host.
    #[serde(default = "concurrent")]
    pub max_concurrent: u32,
    /// Requests per second on one host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Tokens per minute on one host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_minute: Option<u64>,
    /// Classes that callers may name.
    #[serde(default)]
    pub classes: Vec<String>,
}

impl From<account::Account> for Account {
    fn from(it: account::Account) -> Self {
        Self {
            id: it.id,
            weight: it.weight,
            max_concurrent: it.max_concurrent,
            requests_per_second: it.requests_per_second,
            tokens_per_minute: it.tokens_per_minute,
            classes: it.classes,
        }
    }
}

impl Account {
    pub(super) fn convert(self, report: &mut Report) -> account::Account {
        at_least_one(self.weight, format!("account/{}.weight", self.id), report);
        at_least_one(
            self.max_concurrent,
            format!("account/{}.max_concurrent", self.id),
            report,
        );
        account::Account {
            id: self.id,
            weight: self.weight,
            max_concurrent: self.max_concurrent,
            requests_per_second: self.requests_per_second,
            tokens_per_minute: self.tokens_per_minute,
            classes: self.classes,
        }
    }
}
