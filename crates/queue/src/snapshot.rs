//! State of a scheduler as shown in metrics.

use std::time::Duration;

use agate_model::id::{ClassId, Tier};

/// State of the queue of one lane.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Classes of which requests have been offered, ordered by tier and name.
    pub classes: Vec<Class>,
    /// Number of flows: client accounts with state, counted once for each class.
    pub accounts: usize,
    /// Recent starts per second while requests were queued; `None` until there are enough
    /// starts for an estimate.
    pub starts_per_second: Option<f64>,
    /// Highest tier of which requests were shed within the last second, if any.
    pub pressure: Option<Tier>,
}

/// State of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class in the configuration.
    pub id: ClassId,
    /// Priority of the class; 0 is the highest.
    pub tier: Tier,
    /// Number of queued requests.
    pub queued: usize,
    /// Time that the oldest queued request has waited; zero if none is queued.
    pub oldest: Duration,
}
