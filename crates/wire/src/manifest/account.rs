//! Manifest of a client account.

use agate_model::account;
use agate_model::finding::Report;
use serde::{Deserialize, Serialize};

use super::{at_least_one, one};

const DEFAULT_MAX_CONCURRENT: u32 = 64;

fn concurrent() -> u32 {
    DEFAULT_MAX_CONCURRENT
}

/// Serialised form of [`account::Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the client account.
    pub id: String,
    /// Relative share of endpoint time, at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum number of requests in flight or queued on one host, at least 1.
    #[serde(default = "concurrent")]
    pub max_concurrent: u32,
    /// Maximum request rate on one host, per second; `None` is unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_second: Option<u32>,
    /// Maximum token rate on one host, per minute; `None` is unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_minute: Option<u64>,
    /// Names of the classes that callers of the account may request.
    #[serde(default)]
    pub classes: Vec<String>,
}

impl From<account::Account> for Account {
    fn from(account: account::Account) -> Self {
        Self {
            id: account.id,
            weight: account.weight,
            max_concurrent: account.max_concurrent,
            requests_per_second: account.requests_per_second,
            tokens_per_minute: account.tokens_per_minute,
            classes: account.classes,
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
