//! Freshness of a configuration copy.

use std::time::Duration;

use crate::id::Version;

/// A version, and how long ago it was certainly the newest accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Version of the copy.
    pub version: Version,
    /// Age of the proof; `None` if there is no proof.
    pub age: Option<Duration>,
}

/// Age of the proof beyond which a gate refuses keyed work.
pub const FRESHNESS_LIMIT: Duration = Duration::from_millis(2500);
