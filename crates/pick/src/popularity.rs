//! Approximate share of recent requests that had a given prefix block.

use crate::table::mix;

/// Number of counters for each hash function.
const WIDTH: usize = 2048;
/// Number of independent hash functions.
const HASHES: usize = 2;
/// Requests after which all counters and the total are halved.
const MAX_TOTAL: u32 = 4096;
/// Requests before which the share of every block counts as zero.
const MIN_TOTAL: u32 = 64;

/// Count-min sketch that decays by halving, so that old requests lose weight.
#[derive(Debug)]
pub(crate) struct Popularity {
    /// One counter per position and hash function.
    counters: Vec<[u16; HASHES]>,
    /// Requests counted, halved with the counters.
    total: u32,
}

impl Default for Popularity {
    fn default() -> Self {
        Self {
            counters: vec![[0; HASHES]; WIDTH],
            total: 0,
        }
    }
}

impl Popularity {
    /// Counts a request whose prompt has these prefix blocks.
    pub(crate) fn observe(&mut self, blocks: &[u64]) {
        for &block in blocks {
            for hash in 0..HASHES {
                let counter = &mut self.counters[position(block, hash)][hash];
                *counter = counter.saturating_add(1);
            }
        }
        self.total += 1;
        if self.total >= MAX_TOTAL {
            self.halve();
        }
    }

    /// Returns the share of recent requests that had this block, from 0 to 1. Collisions can
    /// only make it too high.
    pub(crate) fn share(&self, block: u64) -> f64 {
        if self.total < MIN_TOTAL {
            return 0.0;
        }
        let counts = (0..HASHES).map(|hash| self.counters[position(block, hash)][hash]);
        let count = counts.min().unwrap_or(0);
        f64::from(count) / f64::from(self.total)
    }

    /// Halves all counters and the total.
    fn halve(&mut self) {
        for counter in self.counters.iter_mut().flatten() {
            *counter /= 2;
        }
        self.total /= 2;
    }
}

/// Returns the position of the counter of a block for one hash function.
fn position(block: u64, hash: usize) -> usize {
    mix(block.wrapping_add(hash as u64)) as usize % WIDTH
}
