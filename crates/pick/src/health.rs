//! Pace and failures of one endpoint.

use std::time::{Duration, Instant};

use crate::tuning::Tuning;

/// Weight of a new observation in the moving average.
const GAIN: f64 = 0.15;
/// Observations before an endpoint is judged by its pace.
const MIN_OBSERVATIONS: u32 = 5;

/// Good answers that end the probation after an ejection.
const PROBATION_OBSERVATIONS: u32 = 3;

/// What an endpoint's answers say about it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Seconds per token, moving average.
    pace: Option<f64>,
    observations: u32,
    failures: u32,
    ejections: u32,
    ejected: Option<Instant>,
    /// Readmitted, and not yet proven.
    on_probation: bool,
}

impl Health {
    pub(crate) fn pace(&self) -> Option<f64> {
        self.pace
    }

    pub(crate) fn succeed(&mut self, pace: f64) {
        self.failures = 0;
        self.observations += 1;
        self.on_probation &= self.observations < PROBATION_OBSERVATIONS;
        self.pace = Some(match self.pace {
            None => pace,
            Some(old) => old + GAIN * (pace - old),
        });
    }

    pub(crate) fn fail(&mut self) {
        self.failures += 1;
    }

    /// Whether it should be ejected; `median` is the pool's time per token.
    pub(crate) fn is_outlier(&self, median: Option<f64>, tuning: &Tuning) -> bool {
        let patience = if self.on_probation {
            1
        } else {
            tuning.eject_failures
        };
        if tuning.eject_failures > 0 && self.failures >= patience {
            return true;
        }
        let judged = self.on_probation || self.observations >= MIN_OBSERVATIONS;
        match (self.pace, median) {
            (Some(pace), Some(median)) if judged => pace > median * tuning.eject_pace,
            _ => false,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected.is_some()
    }

    /// Whether it was readmitted and has yet to prove itself, one request at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Starts an ejection and returns its end.
    pub(crate) fn eject(&mut self, now: Instant, tuning: &Tuning) -> Instant {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let time = tuning
            .eject_base
            .saturating_mul(factor)
            .min(tuning.eject_max);
        self.ejections = (self.ejections + 1).min(31);
        let until = now + time;
        self.ejected = Some(until);
        until
    }

    /// Ends an ejection; the endpoint is judged anew, with the old ejections kept in mind.
    pub(crate) fn readmit(&mut self, median: Option<f64>) {
        self.ejected = None;
        self.failures = 0;
        self.observations = 0;
        self.on_probation = true;
        self.pace = median;
    }

    /// Forgets ejections after a long time of good answers.
    pub(crate) fn forgive(&mut self, since: Duration, tuning: &Tuning) {
        if since > tuning.eject_max {
            self.ejections = 0;
        }
    }
}
