//! Demand for a pool and its moving average.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Demand for a pool over the last planning interval, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Requests per second, refused ones included.
    pub arrivals: f64,
    /// Mean time for which a request holds a slot.
    pub service: Duration,
    /// Number of queued requests.
    pub queued: f64,
    /// Number of slots in use.
    pub running: f64,
    /// Share of the work that may run on reclaimable endpoints, from 0 to 1.
    pub reclaimable: f64,
    /// Time within which the queue should be drained; counts as at least one second.
    pub wait_target: Duration,
}

impl Demand {
    /// Returns the number of slots that the demand keeps busy: arrivals times service time, plus
    /// the slots that drain the queue within the wait target.
    pub fn slots(&self) -> f64 {
        let service = self.service.as_secs_f64();
        let steady = self.arrivals * service;
        let wait_target = self.wait_target.as_secs_f64().max(1.0);
        let backlog = self.queued * service / wait_target.max(service);
        steady.max(self.running.min(steady * RUNNING_LIMIT)) + backlog
    }
}

/// Multiple of the steady demand up to which slots in use count as demand. The bound is needed
/// because slow endpoints hold slots for longer.
const RUNNING_LIMIT: f64 = 1.5;
/// Longest time between two observations that counts as continuous observation.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Time constant of the exponential moving average of the demand.
const TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Moving average of the slots needed, and its maximum over the cooldown.
#[derive(Debug, Default)]
pub(crate) struct Average {
    mean: Option<f64>,
    last_observed: Option<Instant>,
    /// Start of continuous observation.
    observed_since: Option<Instant>,
    /// Times and values of the average within the cooldown, the values falling from front to back.
    peaks: VecDeque<(Instant, f64)>,
}

impl Average {
    /// Records the slots needed in an interval that ends at `now`.
    pub(crate) fn observe(&mut self, now: Instant, slots: f64, cooldown: Duration) {
        let last_observed = self.last_observed.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(last_observed);
        if self.observed_since.is_none() || gap > MAX_GAP {
            self.observed_since = Some(now);
        }
        let elapsed = gap.as_secs_f64();
        let decay = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        let mean = match self.mean {
            None => slots,
            Some(old) => old * decay + slots * (1.0 - decay),
        };
        self.mean = Some(mean);
        self.record_peak(now, mean, cooldown);
    }

    /// Returns the current average, or zero before the first observation.
    pub(crate) fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// Returns whether demand has been observed continuously for at least `duration`.
    pub(crate) fn is_observed_for(&self, now: Instant, duration: Duration) -> bool {
        self.observed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= duration)
    }

    /// Returns the highest average within the cooldown, or zero before the first observation.
    pub(crate) fn peak(&self) -> f64 {
        self.peaks.front().map_or(0.0, |peak| peak.1)
    }

    fn record_peak(&mut self, now: Instant, mean: f64, cooldown: Duration) {
        while self.peaks.back().is_some_and(|peak| peak.1 <= mean) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, mean));
        let is_old = |peak: &(Instant, f64)| now.saturating_duration_since(peak.0) > cooldown;
        while self.peaks.front().is_some_and(is_old) {
            self.peaks.pop_front();
        }
    }
}
