//! Demand for a pool, smoothed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Demand for a pool over the last interval, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Requests offered per second, refused ones included.
    pub arrivals: f64,
    /// Mean time that a request holds a slot.
    pub service: Duration,
    /// Requests queued.
    pub queued: f64,
    /// Slots in use.
    pub running: f64,
    /// Share of the work that may run on reclaimable endpoints, 0 to 1.
    pub reclaimable: f64,
    /// Time in which queued requests should be worked off.
    pub wait_target: Duration,
}

impl Demand {
    /// Slots that the demand keeps busy: arrivals times service time, and what
    /// it takes to work off the queue in time.
    pub fn slots(&self) -> f64 {
        let service = self.service.as_secs_f64();
        let steady = self.arrivals * service;
        let target = self.wait_target.as_secs_f64().max(1.0);
        let backlog = self.queued * service / target.max(service);
        steady.max(self.running.min(steady * RUNNING_LIMIT)) + backlog
    }
}

/// Slots in use count for at most this many times the steady demand, since
/// slow endpoints hold slots for longer.
const RUNNING_LIMIT: f64 = 1.5;
/// Longest time between observations that counts as unbroken observation.
const MAX_GAP: Duration = Duration::from_secs(60);
/// Time over which demand is averaged.
const MEMORY: Duration = Duration::from_secs(30);

/// Moving average of the slots needed, and its maximum over the cooling time.
#[derive(Debug, Default)]
pub(crate) struct Smooth {
    mean: Option<f64>,
    last: Option<Instant>,
    /// Begin of unbroken observation.
    since: Option<Instant>,
    /// Times and means, the means falling from front to back.
    peaks: VecDeque<(Instant, f64)>,
}

impl Smooth {
    /// Adds the slots needed in an interval that ends now.
    pub(crate) fn observe(&mut self, now: Instant, slots: f64, cooling: Duration) {
        let last = self.last.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(last);
        if self.since.is_none() || gap > MAX_GAP {
            self.since = Some(now);
        }
        let elapsed = gap.as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        let mean = match self.mean {
            None => slots,
            Some(old) => old * kept + slots * (1.0 - kept),
        };
        self.mean = Some(mean);
        self.note_peak(now, mean, cooling);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean.unwrap_or(0.0)
    }

    /// Whether demand was observed without a break for so long.
    pub(crate) fn has_seen(&self, now: Instant, time: Duration) -> bool {
        self.since
            .is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    /// Highest mean within the cooling time.
    pub(crate) fn peak(&self) -> f64 {
        self.peaks.front().map_or(0.0, |peak| peak.1)
    }

    fn note_peak(&mut self, now: Instant, mean: f64, cooling: Duration) {
        while self.peaks.back().is_some_and(|peak| peak.1 <= mean) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, mean));
        let is_old = |peak: &(Instant, f64)| now.saturating_duration_since(peak.0) > cooling;
        while self.peaks.front().is_some_and(is_old) {
            self.peaks.pop_front();
        }
    }
}
