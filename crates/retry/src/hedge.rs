//! Delay after which a second copy of a slow idempotent request is sent.

use std::time::Duration;

/// Number of buckets in each doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Upper bound of the first bucket, in seconds.
const FIRST_SECONDS: f64 = 0.001;
/// Number of buckets; the last one holds everything above about a minute.
const BUCKETS: usize = 128;
/// Number of observations at which all counts are halved, so that older ones lose weight.
const MAX_COUNT: u32 = 2048;
/// Number of observations needed before the first hedge.
const MIN_COUNT: u32 = 50;

/// Histogram of recent latencies, one of whose high quantiles is the hedge delay.
#[derive(Debug)]
pub struct Delay {
    quantile: f64,
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Delay {
    fn default() -> Self {
        Self::new(0.95)
    }
}

impl Delay {
    /// Creates an empty histogram that reports `quantile`, limited to 0 to 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.0, 1.0),
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Records the latency of the first token, or of the response to a plain call.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= MAX_COUNT {
            self.halve();
        }
    }

    /// Returns the wait before a hedge, rounded up to the upper bound of a bucket; `None` while
    /// there are too few observations.
    pub fn get(&self) -> Option<Duration> {
        if self.total < MIN_COUNT {
            return None;
        }
        let rank = self.quantile * f64::from(self.total);
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if f64::from(cumulative) >= rank {
                return Some(upper_bound(bucket));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(latency: Duration) -> usize {
    let octaves = (latency.as_secs_f64() / FIRST_SECONDS).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_SECONDS * (bucket as f64 / BUCKETS_PER_OCTAVE).exp2())
}
