//! How often prefix blocks were asked for lately.

use crate::table::mix;

/// Counters in each row.
const WIDTH: usize = 2048;
/// Rows with independent hashes.
const ROWS: usize = 2;
/// Requests after which all counters are halved.
const MAX_TOTAL: u32 = 4096;
/// Requests before which every block counts as rare.
const MIN_TOTAL: u32 = 64;

/// Count-min sketch with decay.
#[derive(Debug)]
pub(crate) struct Popularity {
    rows: Vec<[u16; ROWS]>,
    total: u32,
}

impl Default for Popularity {
    fn default() -> Self {
        Self {
            rows: vec![[0; ROWS]; WIDTH],
            total: 0,
        }
    }
}

impl Popularity {
    /// Counts a request with these blocks.
    pub(crate) fn observe(&mut self, blocks: &[u64]) {
        for &block in blocks {
            for row in 0..ROWS {
                let cell = &mut self.rows[slot(block, row)][row];
                *cell = cell.saturating_add(1);
            }
        }
        self.total += 1;
        if self.total >= MAX_TOTAL {
            self.halve();
        }
    }

    /// Share of recent requests that had this block.
    pub(crate) fn share(&self, block: u64) -> f64 {
        if self.total < MIN_TOTAL {
            return 0.0;
        }
        let cells = (0..ROWS).map(|row| self.rows[slot(block, row)][row]);
        let count = cells.min().unwrap_or(0);
        f64::from(count) / f64::from(self.total)
    }

    fn halve(&mut self) {
        for cell in self.rows.iter_mut().flatten() {
            *cell /= 2;
        }
        self.total /= 2;
    }
}

fn slot(block: u64, row: usize) -> usize {
    mix(block.wrapping_add(row as u64)) as usize % WIDTH
}
