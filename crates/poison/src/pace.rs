//! Limits how often something happens: a few times at once, and then at an interval.

use std::time::Duration;

use crate::Time;

/// Token bucket on the clock that all hosts share.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Time in which one token is added.
    interval: Duration,
    /// Largest number of tokens.
    burst: u32,
    /// When the bucket was, or will be, empty; `None` while it is full.
    empty_at: Option<Time>,
}

impl Pace {
    /// Creates a full bucket of `burst` tokens, to which one is added each `interval`.
    #[must_use]
    pub fn new(burst: u32, interval: Duration) -> Self {
        Self {
            interval,
            burst,
            empty_at: None,
        }
    }

    /// Takes a token. Returns whether there was one.
    pub fn try_take(&mut self, now: Time) -> bool {
        let full = self.interval * self.burst;
        let oldest = now.saturating_sub(full);
        // A clock that was set back must not keep the bucket empty.
        let empty_at = self.empty_at.unwrap_or(oldest).clamp(oldest, now);
        let has_token = empty_at + self.interval <= now || full.is_zero();
        self.empty_at = Some(match has_token {
            true => empty_at + self.interval,
            false => empty_at,
        });
        has_token
    }
}
