//! Durations that all candidates share.

use std::time::Duration;

/// Durations of the lease. All processes must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long one renewal lasts, from before its request was sent.
    pub term: Duration,
    /// How much earlier than `term` the holder stops. Covers the difference
    /// between the rates of two clocks over `takeover_wait`.
    pub margin: Duration,
    /// Time between renewals.
    pub renewal: Duration,
    /// Longest time from the first byte of an order to its effect at the receiver.
    pub flight: Duration,
    /// Longest time that a receiver keeps a connection on which nothing arrives.
    pub idle: Duration,
}

impl Terms {
    /// How long a candidate has to see the row unchanged before it takes over.
    pub fn takeover_wait(&self) -> Duration {
        self.term + self.flight + self.idle
    }

    /// Whether the margin covers clocks that run up to `rate` (such as 0.001) too fast or too slow.
    pub fn is_covered(&self, rate: f64) -> bool {
        let stop = (self.term.saturating_sub(self.margin)).as_secs_f64() / (1.0 - rate);
        let takeover = self.takeover_wait().as_secs_f64() / (1.0 + rate);
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
