//! Time that a test compares with another one.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the processor time that this thread has used. Unlike the time of day it does not depend on what
/// else the machine runs.
///
/// # Panics
///
/// If the system does not know the clock.
#[must_use]
pub fn used_time() -> Duration {
    let used = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    Duration::from(used.expect("the system has a clock for threads"))
}
