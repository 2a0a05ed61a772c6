//! Prefix cache of an engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

/// Set of prefix blocks, limited in number.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Most blocks that are held after a visit.
    capacity: usize,
    /// Number of uses so far; numbers the uses.
    clock: u64,
    /// Number of the last use of each block.
    used: HashMap<u64, u64>,
    /// Block of each last use, the oldest first.
    order: BTreeMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Uses blocks in order and returns how many of the leading ones were held before. Blocks used
    /// longest ago are evicted beyond the capacity.
    pub(crate) fn visit(&mut self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        for &block in blocks {
            self.touch(block);
        }
        while self.used.len() > self.capacity {
            let (_, block) = self
                .order
                .pop_first()
                .expect("every held block has an entry in `order`");
            self.used.remove(&block);
        }
        held
    }

    /// Makes a block the most recently used one.
    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(last_use) = self.used.insert(block, self.clock) {
            self.order.remove(&last_use);
        }
        self.order.insert(self.clock, block);
    }
}
