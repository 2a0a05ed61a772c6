//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng as _, RngCore};

/// Bounds of the waits between attempts.
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
    /// Upper bound of the wait before attempt `number`; the first retry is number 1.
    pub fn bound(&self, number: u32) -> Duration {
        let factor = 1u32
            .checked_shl(number.saturating_sub(1))
            .unwrap_or(u32::MAX);
        self.base.saturating_mul(factor).min(self.max)
    }

    /// A wait between zero and the bound, evenly distributed.
    pub fn wait(&self, number: u32, rng: &mut dyn RngCore) -> Duration {
        self.bound(number).mul_f64(rng.random::<f64>())
    }
}
