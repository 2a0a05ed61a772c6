//! Client accounts and their limits.

use crate::id::{AccountId, ClassId};

/// A tenant whose callers show keys, and to whom usage is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub id: AccountId,
    /// Relative share of endpoint time among accounts of one class.
    pub weight: u32,
    /// Requests running or queued at once on one host.
    pub max_concurrent: u32,
    /// Requests per second on one host; `None` is unlimited.
    pub requests_per_second: Option<u32>,
    /// Prompt and answer tokens per minute on one host; `None` is unlimited.
    pub tokens_per_minute: Option<u64>,
    /// Classes that its callers may name in `x-agate-class`.
    pub classes: Vec<ClassId>,
}
