//! Weight store with limited bandwidth, shared by all engines with a reference to it.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Store that serves one download at a time, each for the size of a model divided by the rate.
#[derive(Debug)]
pub struct Store {
    /// Duration of one download.
    download: Duration,
    /// End of the last queued download; `None` before the first.
    free_at: Cell<Option<Instant>>,
}

impl Store {
    /// Creates a store for models of `model_bytes` that serves `bytes_per_second` to all engines
    /// together.
    pub fn new(model_bytes: u64, bytes_per_second: u64) -> Self {
        let seconds = model_bytes as f64 / bytes_per_second.max(1) as f64;
        Self {
            download: Duration::from_secs_f64(seconds),
            free_at: Cell::new(None),
        }
    }

    /// Queues a download and returns the time at which it ends.
    pub fn fetch(&self) -> Instant {
        let now = Instant::now();
        let start = self.free_at.get().map_or(now, |free_at| free_at.max(now));
        let end = start + self.download;
        self.free_at.set(Some(end));
        end
    }
}
