//! Work of the host that holds the lease: reporting usage and ordering endpoints.

pub mod demand;
pub mod fleet;
pub mod memo;
pub mod plan;
pub mod seat;
pub mod usage;

use std::time::Duration;

/// Longest time that a call of the holder may take. A successor waits longer than this after the
/// lease has ended before it acts.
pub const FLIGHT: Duration = Duration::from_millis(700);
