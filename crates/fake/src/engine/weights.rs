//! Rate-limited weight store, shared by the engines that hold a reference.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Downloads follow each other; each takes the size of a model over the rate.
#[derive(Debug)]
pub struct Store {
    download: Duration,
    free_at: Cell<Option<Instant>>,
}

impl Store {
    /// A store for models of `model_bytes`, with `bytes_per_second` for all engines together.
    pub fn new(model_bytes: u64, bytes_per_second: u64) -> Self {
        let seconds = model_bytes as f64 / bytes_per_second.max(1) as f64;
        Self {
            download: Duration::from_secs_f64(seconds),
            free_at: Cell::new(None),
        }
    }

    /// Queues a download and answers when it will have ended.
    pub fn fetch(&self) -> Instant {
        let now = Instant::now();
        let begin = self.free_at.get().map_or(now, |it| it.max(now));
        let end = begin + self.download;
        self.free_at.set(Some(end));
        end
    }
}
