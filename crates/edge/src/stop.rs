//! What a host that is leaving still takes, and when it ends what it has taken.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the grace time within which requests are taken as before: nearly all of them end in what is
/// left of it.
const ADMIT_SHARE: f64 = 0.35;
/// Share of the grace time after which requests that have no response yet get a final one. What follows
/// is left for writing it.
const FINAL_SHARE: f64 = 0.9;
/// Share of the grace time after which the process waits for requests in flight no longer.
const DRAIN_SHARE: f64 = 0.92;
/// Share of the grace time after which the process does not wait for its last heartbeat any more.
const EXIT_SHARE: f64 = 0.96;

/// Times of a planned stop, in the order in which they pass.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Until when requests are taken whatever time they may need.
    pub admit: Instant,
    /// When requests without a response get a final one.
    pub last_response: Instant,
    /// Until when requests in flight may end.
    pub drain: Instant,
    /// Until when the last heartbeat may be written.
    pub exit: Instant,
}

impl Stop {
    /// Returns the times of a stop that begins at `start` and ends with the process after `grace`.
    pub fn new(start: Instant, grace: Duration) -> Self {
        let after = |share| start + grace.mul_f64(share);
        Self {
            admit: after(ADMIT_SHARE),
            last_response: after(FINAL_SHARE),
            drain: after(DRAIN_SHARE),
            exit: after(EXIT_SHARE),
        }
    }

    /// Returns whether a request may be taken at `now`. Late ones need a deadline that passes before the
    /// host gives a final response: they are sure to end, and others are better served elsewhere.
    pub fn admits(&self, now: Instant, deadline: Instant) -> bool {
        now < self.admit || deadline <= self.last_response
    }
}
