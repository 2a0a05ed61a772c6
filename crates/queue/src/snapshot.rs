//! State of a scheduler for metrics.

use std::time::Duration;

use agate_model::id::{ClassId, Tier};

/// State of a lane.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Classes seen, ordered by tier and name.
    pub classes: Vec<Class>,
    /// Accounts with state, over all classes.
    pub accounts: usize,
    /// Starts per second while requests were queued.
    pub starts_per_second: Option<f64>,
    /// Highest tier that was shed lately.
    pub pressure: Option<Tier>,
}

/// State of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name.
    pub id: ClassId,
    /// Priority.
    pub tier: Tier,
    /// Requests queued.
    pub queued: usize,
    /// Longest time that a queued request has waited.
    pub oldest: Duration,
}
