//! How long a request may wait for its start.

use std::time::Duration;

/// Weight of a new observation in the moving average.
const GAIN: f64 = 0.05;
/// Share of the first-token target that a request may always wait.
const MIN_PATIENCE: f64 = 0.1;

/// Tracks the time from the start of a class's requests to their first token,
/// which includes waits on the endpoints. Use one for each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    /// Moving average, in seconds.
    lead: f64,
}

impl Patience {
    /// Adds the time from a start to the first token.
    pub fn observe(&mut self, lead: Duration) {
        self.lead += GAIN * (lead.as_secs_f64() - self.lead);
    }

    /// Wait after which a first token would miss `target`, for [`crate::Item::start_by`].
    pub fn get(&self, target: Duration) -> Duration {
        let lead = Duration::from_secs_f64(self.lead);
        target
            .saturating_sub(lead)
            .max(target.mul_f64(MIN_PATIENCE))
    }
}
