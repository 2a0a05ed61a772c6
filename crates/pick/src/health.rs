//! Response times and failures of one endpoint, and its ejections.

use std::time::{Duration, Instant};

use crate::tuning::Tuning;

/// Weight of a new observation in the moving average of the time per token.
const GAIN: f64 = 0.15;
/// Observations before an endpoint is ejected for its time per token.
const MIN_OBSERVATIONS: u32 = 5;
/// Successful responses that end the probation after an ejection.
const PROBATION_OBSERVATIONS: u32 = 3;

/// Outcomes of the requests that this host sent to one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Moving average in seconds; `None` before the first successful response.
    time_per_token: Option<f64>,
    /// Successful responses since the endpoint was added or readmitted.
    observations: u32,
    /// Failures in a row.
    failures: u32,
    /// Exponent of the next ejection time: ejections so far, at most 31.
    ejections: u32,
    /// End of the current ejection, if there is one.
    ejected_until: Option<Instant>,
    /// Whether the endpoint was readmitted and has not yet had [`PROBATION_OBSERVATIONS`]
    /// successful responses.
    on_probation: bool,
}

impl Health {
    /// Returns the average time per token in seconds, or `None` if nothing was observed yet.
    pub(crate) fn time_per_token(&self) -> Option<f64> {
        self.time_per_token
    }

    /// Records a successful response and its time per token in seconds.
    pub(crate) fn succeed(&mut self, time_per_token: f64) {
        self.failures = 0;
        self.observations += 1;
        self.on_probation &= self.observations < PROBATION_OBSERVATIONS;
        self.time_per_token = Some(match self.time_per_token {
            None => time_per_token,
            Some(average) => average + GAIN * (time_per_token - average),
        });
    }

    /// Records a failure.
    pub(crate) fn fail(&mut self) {
        self.failures += 1;
    }

    /// Returns whether the endpoint should be ejected. `median` is the time per token of its
    /// pool. On probation one failure is enough, and the time per token counts at once.
    pub(crate) fn is_outlier(&self, median: Option<f64>, tuning: &Tuning) -> bool {
        let max_failures = if self.on_probation {
            1
        } else {
            tuning.eject_failures
        };
        if tuning.eject_failures > 0 && self.failures >= max_failures {
            return true;
        }
        let counts_time = self.on_probation || self.observations >= MIN_OBSERVATIONS;
        match (self.time_per_token, median) {
            (Some(time), Some(median)) if counts_time => time > median * tuning.eject_slowdown,
            _ => false,
        }
    }

    /// Returns whether the endpoint is ejected now.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the endpoint was readmitted and gets one request at a time until enough
    /// of them have succeeded.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Starts an ejection and returns its end. Its time doubles with each ejection, up to
    /// [`Tuning::eject_max`].
    pub(crate) fn eject(&mut self, now: Instant, tuning: &Tuning) -> Instant {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let duration = tuning
            .eject_base
            .saturating_mul(factor)
            .min(tuning.eject_max);
        self.ejections = (self.ejections + 1).min(31);
        let until = now + duration;
        self.ejected_until = Some(until);
        until
    }

    /// Ends an ejection and starts the probation. Observations start anew from `median`, the
    /// time per token of the pool; the number of ejections stays.
    pub(crate) fn readmit(&mut self, median: Option<f64>) {
        self.ejected_until = None;
        self.failures = 0;
        self.observations = 0;
        self.on_probation = true;
        self.time_per_token = median;
    }

    /// Resets the number of ejections, after a successful response, if the endpoint has been in use for longer than
    /// [`Tuning::eject_max`]; `age` is the time since it was added or readmitted.
    pub(crate) fn reset_ejections(&mut self, age: Duration, tuning: &Tuning) {
        if age > tuning.eject_max {
            self.ejections = 0;
        }
    }
}
