//! Evidence that the configuration in force is the newest one.
//!
//! A withdrawn key must stop working within a bound that starts with the store's acknowledgement.
//! Requests with a key are served only while the store is known to have held nothing newer a short
//! time ago. Ages are measured on the clock that keeps running while the host is suspended.

use std::time::Duration;

/// Latest time at which the store is known to have held no newer configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Time since boot; `None` without evidence.
    at: Option<Duration>,
}

impl Evidence {
    /// Records that the store held nothing newer at `at`, in time since boot. Older evidence than
    /// the present one is ignored.
    pub fn confirm(&mut self, at: Duration) {
        self.at = Some(self.at.map_or(at, |latest| latest.max(at)));
    }

    /// Returns the age of the evidence at the time `boot`, in time since boot; `None` without any.
    pub fn age(&self, boot: Duration) -> Option<Duration> {
        self.at.map(|at| boot.saturating_sub(at))
    }

    /// Returns whether there is evidence younger than `limit`.
    pub fn is_fresh(&self, boot: Duration, limit: Duration) -> bool {
        self.age(boot).is_some_and(|age| age < limit)
    }
}
