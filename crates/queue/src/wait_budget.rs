//! Longest time that a request may wait in the queue.

use std::time::Duration;

/// Weight of a new observation in the moving average of the time to the first token.
const GAIN: f64 = 0.05;
/// Share of the first-token target that a request may wait however late first tokens are.
const MIN_WAIT: f64 = 0.1;

/// Average time from the start of a request to its first token, which includes waits on the
/// endpoints. Each class has its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitBudget {
    /// Moving average in seconds; it starts at zero.
    first_token: f64,
}

impl WaitBudget {
    /// Records the time from the start of a request to its first token.
    pub fn observe(&mut self, first_token: Duration) {
        self.first_token += GAIN * (first_token.as_secs_f64() - self.first_token);
    }

    /// Returns the wait after which the first token would miss `target`, at least a tenth of
    /// `target`. It is meant for [`crate::Item::start_by`], as the wait after the arrival.
    pub fn max_wait(&self, target: Duration) -> Duration {
        let first_token = Duration::from_secs_f64(self.first_token);
        target
            .saturating_sub(first_token)
            .max(target.mul_f64(MIN_WAIT))
    }
}
