//! Durations of the lease and the condition that makes them safe.

use std::time::Duration;

/// Durations of the lease. Takeover is safe only if all processes use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Time for which one renewal holds, counted from before its request is sent.
    pub term: Duration,
    /// Time before the end of `term` at which the holder stops. Covers the difference between
    /// the rates of two clocks over `takeover_wait`.
    pub margin: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
    /// Longest time from the first byte of an order to its effect at the receiver.
    pub flight: Duration,
    /// Longest time that a receiver keeps a connection on which nothing arrives.
    pub idle: Duration,
}

impl Terms {
    /// Returns the time for which a candidate must find the row unchanged before it takes over.
    pub fn takeover_wait(&self) -> Duration {
        self.term + self.flight + self.idle
    }

    /// Returns whether the margin covers clocks that run too fast or too slow by a share of up to
    /// `drift` (such as 0.001).
    pub fn covers_drift(&self, drift: f64) -> bool {
        let stop = (self.term.saturating_sub(self.margin)).as_secs_f64() / (1.0 - drift);
        let takeover = self.takeover_wait().as_secs_f64() / (1.0 + drift);
        stop + (self.flight + self.idle).as_secs_f64() <= takeover
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            renewal: Duration::from_secs(2),
            flight: Duration::from_secs(2),
            idle: Duration::from_secs(5),
        }
    }
}
