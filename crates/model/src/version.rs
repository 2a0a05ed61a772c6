//! Freshness of a configuration copy and its limit.

use std::time::Duration;

use crate::id::Version;

/// Version of a configuration copy and the age of the evidence that it is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Configuration version of the copy.
    pub version: Version,
    /// Time since this version was certainly the newest accepted one; `None` without evidence.
    pub age: Option<Duration>,
}

/// Age of the evidence above which a gate refuses keyed requests.
pub const FRESHNESS_LIMIT: Duration = Duration::from_millis(2500);
