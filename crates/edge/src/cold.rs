//! Endpoints that are cold: slow for some seconds after their start, or at any other moment, and
//! overloaded by a fraction of their usual work.
//!
//! The rate that a cold endpoint bears is a bound on all hosts together, and hosts that don't know of
//! each other can't share a rate. So no host sends to an endpoint that it takes for cold: work goes to
//! warm endpoints, waits or is refused.

use std::time::Duration;

use tokio::time::Instant;

/// What is known of the time for which an endpoint is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    /// End according to the endpoint's row.
    listed: Option<Instant>,
    /// End as presumed until the row can tell.
    presumed: Option<Instant>,
}

impl Cold {
    /// Records the time left in a row that was read at `now`. The row may be older, so the end that
    /// follows is never before the true one. A later row counts alone, whether longer or shorter.
    pub fn observe(&mut self, now: Instant, left: Duration) {
        self.listed = (!left.is_zero()).then(|| now + left);
    }

    /// Presumes that the endpoint is cold until `end`, whatever its row says.
    pub fn presume(&mut self, end: Instant) {
        self.presumed = self.presumed.max(Some(end));
    }

    /// Returns until when the endpoint is cold; `None` if it is warm.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        let end = self.listed.max(self.presumed)?;
        (end > now).then_some(end)
    }
}
