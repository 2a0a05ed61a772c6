//! Order of members by the service that they received.

use std::collections::BTreeSet;

/// Counter of service received, in tokens times [`SCALE`] per weight.
pub(crate) type Counter = u64;

/// Fixed-point factor of a [`Counter`].
pub(crate) const SCALE: u64 = 1 << 12;

/// Cost of `tokens` for a member of this weight.
pub(crate) fn cost(tokens: u64, weight: u32) -> Counter {
    tokens.saturating_mul(SCALE) / u64::from(weight.max(1))
}

/// Members that have work, least served first.
///
/// The floor is the counter of the least served member. A member that joins is
/// lifted to the floor, so idle time earns no credit.
#[derive(Debug)]
pub(crate) struct Share<K> {
    ready: BTreeSet<(Counter, K)>,
    floor: Counter,
}

impl<K: Copy + Ord> Share<K> {
    pub(crate) fn new() -> Self {
        Self {
            ready: BTreeSet::new(),
            floor: 0,
        }
    }

    /// Adds a member and returns its counter, lifted to the floor.
    pub(crate) fn join(&mut self, key: K, served: Counter) -> Counter {
        let served = served.max(self.floor);
        self.ready.insert((served, key));
        served
    }

    /// Removes a member.
    pub(crate) fn leave(&mut self, key: K, served: Counter) {
        self.ready.remove(&(served, key));
        if self.ready.is_empty() {
            self.floor = self.floor.max(served);
        }
        self.raise();
    }

    /// Moves a member to a new counter.
    pub(crate) fn update(&mut self, key: K, from: Counter, to: Counter) {
        if self.ready.remove(&(from, key)) {
            self.ready.insert((to, key));
            self.raise();
        }
    }

    /// The least served member.
    pub(crate) fn first(&self) -> Option<K> {
        self.ready.first().map(|&(_, key)| key)
    }

    /// Members with their counters, least served first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Counter, K)> + '_ {
        self.ready.iter().copied()
    }

    pub(crate) fn floor(&self) -> Counter {
        self.floor
    }

    fn raise(&mut self) {
        if let Some(&(served, _)) = self.ready.first() {
            self.floor = self.floor.max(served);
        }
    }
}
