//! Failures of one endpoint, and its ejections.

use tokio::time::Instant;

use super::{Outcome, Tuning};

/// Weight of one request in the moving average of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.15;
/// Moving average of failures above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;

/// Recent failures of an endpoint, and until when it gets no requests because of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Consecutive failures since the last success or ejection.
    failures: u32,
    /// Moving average of the share of requests that failed, between 0 and 1.
    failure_rate: f64,
    /// Ejections since the last success after one.
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Returns whether the endpoint is ejected.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Records the outcome of a request. Returns whether it ejects the endpoint.
    pub(super) fn record(&mut self, now: Instant, tuning: &Tuning, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Answered => {
                self.failures = 0;
                self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
                if self.ejected_until.is_some_and(|until| until <= now) {
                    self.ejected_until = None;
                    self.ejections = 0;
                }
                false
            }
            Outcome::Abandoned | Outcome::Excused => false,
            Outcome::Failed | Outcome::Unreached | Outcome::Full => {
                self.failures += 1;
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
                let is_ejected = self.failures >= tuning.max_failures
                    || outcome != Outcome::Failed
                    || self.failure_rate > MAX_FAILURE_RATE;
                if is_ejected {
                    let ejection = tuning.base_ejection * 2_u32.pow(self.ejections.min(8));
                    self.ejected_until = Some(now + ejection.min(tuning.max_ejection));
                    self.ejections += 1;
                    self.failures = 0;
                }
                is_ejected
            }
        }
    }
}
