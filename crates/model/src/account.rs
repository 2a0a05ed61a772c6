//! Client accounts and their limits.

use crate::id::{AccountId, ClassId};

/// A client account, whose callers authenticate with keys and to which usage is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Relative share of endpoint time among the accounts of one class.
    pub weight: u32,
    /// Maximum number of requests in flight or queued on one host.
    pub max_concurrent: u32,
    /// Maximum request rate on one host, per second; `None` is unlimited.
    pub requests_per_second: Option<u32>,
    /// Maximum rate of prompt and response tokens on one host, per minute; `None` is unlimited.
    pub tokens_per_minute: Option<u64>,
    /// Classes that callers of the account may request in `x-agate-class`.
    pub classes: Vec<ClassId>,
}
