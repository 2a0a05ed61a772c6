//! Duties of the lease holder: reporting usage and ordering endpoints.

pub mod checkpoint;
pub mod demand;
pub mod fleet;
pub mod lease;
pub mod plan;
pub mod usage;

use std::time::Duration;

/// Timeout of each call that the lease holder makes in that role. A successor waits longer than
/// this after the lease has expired before it acts.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
