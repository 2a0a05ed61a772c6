//! Evidence that the configuration in force is the newest one.
//!
//! A withdrawn key must stop working within a bound that starts with the store's acknowledgement.
//! Requests with a key are served only while the store is known to have held nothing newer a short
//! time ago. Ages are measured on the clock that keeps running while the host is suspended.

use std::time::Duration;

use agate_model::id::Era;

/// Latest time at which the store is known to have held no newer configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// Time since boot; `None` without evidence.
    at: Option<Duration>,
    /// Era of the store and time since boot of what [`Evidence::settle`] lets count.
    supposed: Option<(Era, Duration)>,
}

impl Evidence {
    /// Records that the store held nothing newer at `at`, in time since boot. Older evidence than
    /// the present one is ignored.
    pub fn confirm(&mut self, at: Duration) {
        self.at = Some(self.at.map_or(at, |latest| latest.max(at)));
    }

    /// Records the same of the store in `era`, as far as it has not lost a version that this host lacks.
    pub fn suppose(&mut self, era: Era, at: Duration) {
        self.supposed = self.supposed.max(Some((era, at)));
    }

    /// Lets what was supposed of the store in `era` count.
    pub fn settle(&mut self, era: Era) {
        if let Some((_, at)) = self.supposed.take().filter(|(known, _)| *known == era) {
            self.confirm(at);
        }
    }

    /// Returns the age of the evidence at the time `boot`, in time since boot; `None` without any.
    pub fn age(&self, boot: Duration) -> Option<Duration> {
        self.at.map(|at| boot.saturating_sub(at))
    }
}
