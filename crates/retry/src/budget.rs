//! Budget that limits retries and hedges to a share of recent requests.

use std::time::{Duration, Instant};

/// Time constant of the decay: the weight of a request falls to 1/e over it.
const DECAY_TIME: Duration = Duration::from_secs(10);
/// Retries allowed within [`DECAY_TIME`] however few requests there are, so that classes with few
/// requests can retry.
const FLOOR: f64 = 2.0;

/// Retry budget of one class on one host.
///
/// Requests and retries are counted with the same exponential decay, and a
/// retry needs `retries + 1 <= FLOOR + share * requests`. Over a time `t` with
/// `n` requests this allows at most `share * n + FLOOR * (1 + t / DECAY_TIME)` retries.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    requests: f64,
    retries: f64,
    last_decay: Option<Instant>,
}

impl Budget {
    /// Creates a budget of `percent` retries in a hundred requests, beside the floor.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            requests: 0.0,
            retries: 0.0,
            last_decay: None,
        }
    }

    /// Changes the share to `percent` retries in a hundred requests; the counts are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts a request that arrived. Retries and hedges of it are not counted here.
    pub fn request(&mut self, now: Instant) {
        self.decay(now);
        self.requests += 1.0;
    }

    /// Takes one retry or hedge from the budget. Returns `false`, and takes nothing, if the budget
    /// is used up.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.decay(now);
        let is_allowed = self.retries + 1.0 <= FLOOR + self.share * self.requests;
        if is_allowed {
            self.retries += 1.0;
        }
        is_allowed
    }

    /// Gives one retry or hedge that was not sent back to the budget.
    pub fn refund(&mut self) {
        self.retries = (self.retries - 1.0).max(0.0);
    }

    /// Returns the largest number of retries allowed over `elapsed` with this many requests.
    pub fn bound(&self, requests: u64, elapsed: Duration) -> f64 {
        let decay_times = elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.share * requests as f64 + FLOOR * (1.0 + decay_times)
    }

    fn decay(&mut self, now: Instant) {
        let last = self.last_decay.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.requests *= factor;
        self.retries *= factor;
        self.last_decay = Some(now.max(last));
    }
}
