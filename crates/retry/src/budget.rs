//! Budget of retries and hedges as a share of recent requests.

use std::time::{Duration, Instant};

/// Time over which past requests lose most of their weight.
const MEMORY: Duration = Duration::from_secs(10);
/// Retries always allowed within [`MEMORY`], for classes with few requests.
const FLOOR: f64 = 2.0;

/// Budget of one class on one host.
///
/// Requests and retries are counted with the same exponential decay, and a
/// retry needs `retries + 1 <= FLOOR + share * requests`. Over a time `t` with
/// `n` requests this allows at most `share * n + FLOOR * (1 + t / MEMORY)` retries.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    requests: f64,
    retries: f64,
    last: Option<Instant>,
}

impl Budget {
    /// A budget of `percent` retries in a hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            requests: 0.0,
            retries: 0.0,
            last: None,
        }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Counts a request; retries and hedges of it are not counted here.
    pub fn request(&mut self, now: Instant) {
        self.decay(now);
        self.requests += 1.0;
    }

    /// Takes one retry or hedge from the budget, if it allows it.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.decay(now);
        let allowed = self.retries + 1.0 <= FLOOR + self.share * self.requests;
        if allowed {
            self.retries += 1.0;
        }
        allowed
    }

    /// Returns a retry that was not carried out.
    pub fn refund(&mut self) {
        self.retries = (self.retries - 1.0).max(0.0);
    }

    /// Most retries allowed over `elapsed` with this many requests.
    pub fn bound(&self, requests: u64, elapsed: Duration) -> f64 {
        let memories = elapsed.as_secs_f64() / MEMORY.as_secs_f64();
        self.share * requests as f64 + FLOOR * (1.0 + memories)
    }

    fn decay(&mut self, now: Instant) {
        let last = self.last.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.requests *= kept;
        self.retries *= kept;
        self.last = Some(now.max(last));
    }
}
