//! Estimate of the rate of starts while requests are queued.

use std::time::{Duration, Instant};

/// Time over which old observations lose most of their weight.
const MEMORY: Duration = Duration::from_secs(20);
/// Starts that are enough for an estimate.
const MIN_STARTS: f64 = 8.0;
/// Busy time that is enough for an estimate, however few the starts.
const MIN_BUSY: Duration = Duration::from_secs(5);

/// Starts and busy time, both decaying.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    starts: f64,
    busy: f64,
    last: Option<Instant>,
}

impl Rate {
    /// Accounts for the time since the last call; `busy` tells whether requests were queued.
    pub(crate) fn advance(&mut self, now: Instant, busy: bool) {
        let last = self.last.replace(now).unwrap_or(now);
        if !busy {
            return;
        }
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.starts *= kept;
        self.busy = self.busy * kept + elapsed;
    }

    /// Counts a start.
    pub(crate) fn start(&mut self) {
        self.starts += 1.0;
    }

    /// Starts per second, once enough was seen.
    pub(crate) fn per_second(&self) -> Option<f64> {
        let is_known = self.starts >= MIN_STARTS || self.busy >= MIN_BUSY.as_secs_f64();
        (is_known && self.busy > 0.0).then(|| self.starts / self.busy)
    }
}
