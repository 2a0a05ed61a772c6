//! Exponential backoff with full jitter between attempts.

use std::time::Duration;

use rand::{Rng as _, RngCore};

/// Bounds of the waits, which double with every retry from `base` up to `max`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first wait.
    pub base: Duration,
    /// Upper bound of every wait.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(10),
            max: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Returns the upper bound of the wait before retry number `retry`, counted from 1.
    pub fn bound(&self, retry: u32) -> Duration {
        let factor = 1u32
            .checked_shl(retry.saturating_sub(1))
            .unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.max)
    }

    /// Returns a random wait before retry number `retry`, evenly distributed between zero and
    /// [`Backoff::bound`].
    pub fn wait(&self, retry: u32, rng: &mut dyn RngCore) -> Duration {
        self.bound(retry).mul_f64(rng.random::<f64>())
    }
}
