//! When to send a second copy of a slow idempotent request.

use std::time::Duration;

/// Buckets in each doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Upper bound of the first bucket, in seconds.
const FIRST_SECONDS: f64 = 0.001;
/// Buckets; the last one holds everything above about a minute.
const BUCKETS: usize = 128;
/// Observations after which all counts are halved.
const MAX_COUNT: u32 = 2048;
/// Observations needed before hedging.
const MIN_COUNT: u32 = 50;

/// Tracks a high quantile of recent latencies.
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
    /// A tracker of `quantile`, between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile: quantile.clamp(0.0, 1.0),
            counts: [0; BUCKETS],
            total: 0,
        }
    }

    /// Adds the latency of the first token, or of the answer of a plain call.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= MAX_COUNT {
            self.halve();
        }
    }

    /// Wait before a hedge; `None` while there are too few observations.
    pub fn get(&self) -> Option<Duration> {
        if self.total < MIN_COUNT {
            return None;
        }
        let rank = self.quantile * f64::from(self.total);
        let mut seen = 0;
        for (n, count) in self.counts.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= rank {
                return Some(upper(n));
            }
        }
        Some(upper(BUCKETS - 1))
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

fn upper(bucket: usize) -> Duration {
    Duration::from_secs_f64(FIRST_SECONDS * (bucket as f64 / BUCKETS_PER_OCTAVE).exp2())
}
