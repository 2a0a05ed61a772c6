//! Prefix cache of an engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

#[derive(Debug, Default)]
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Number of leading blocks that are held; all blocks are held afterwards.
    pub(crate) fn visit(&mut self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        for &block in blocks {
            self.touch(block);
        }
        while self.used.len() > self.capacity {
            let (_, block) = self.order.pop_first().expect("every block has an order");
            self.used.remove(&block);
        }
        held
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.used.insert(block, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, block);
    }
}
