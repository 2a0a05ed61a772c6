//! Estimate of the rate of starts while requests are queued.

use std::time::{Duration, Instant};

/// Time constant with which old observations lose weight.
const MEMORY: Duration = Duration::from_secs(20);
/// Number of starts that is enough for an estimate.
const MIN_STARTS: f64 = 8.0;
/// Busy time that is enough for an estimate, however few the starts.
const MIN_BUSY: Duration = Duration::from_secs(5);

/// Number of starts and time with queued requests, both with exponential decay.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    /// Decayed number of starts.
    starts: f64,
    /// Decayed time in seconds during which requests were queued.
    busy_seconds: f64,
    /// Time of the last call of [`Rate::advance`].
    last: Option<Instant>,
}

impl Rate {
    /// Adds the time since the last call; `busy` tells whether requests were queued during it.
    pub(crate) fn advance(&mut self, now: Instant, busy: bool) {
        let last = self.last.replace(now).unwrap_or(now);
        if !busy {
            return;
        }
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.starts *= kept;
        self.busy_seconds = self.busy_seconds * kept + elapsed;
    }

    /// Counts the start of a request.
    pub(crate) fn start(&mut self) {
        self.starts += 1.0;
    }

    /// Returns the starts per second while requests are queued, or `None` before there are
    /// [`MIN_STARTS`] starts or [`MIN_BUSY`] of busy time.
    pub(crate) fn per_second(&self) -> Option<f64> {
        let is_known = self.starts >= MIN_STARTS || self.busy_seconds >= MIN_BUSY.as_secs_f64();
        (is_known && self.busy_seconds > 0.0).then(|| self.starts / self.busy_seconds)
    }
}
