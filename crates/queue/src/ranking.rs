//! Fair order of members by the service that they received.

use std::collections::BTreeSet;

/// Service received, in tokens times [`SCALE`] divided by the weight of the member.
pub(crate) type Counter = u64;

/// Fixed-point factor of a [`Counter`], so that division by the weight loses little.
pub(crate) const SCALE: u64 = 1 << 12;

/// Returns what `tokens` add to the counter of a member of this weight.
pub(crate) fn cost(tokens: u64, weight: u32) -> Counter {
    tokens.saturating_mul(SCALE) / u64::from(weight.max(1))
}

/// Members with queued requests, least served first.
///
/// The counter of a member that joins is raised to [`Ranking::min_served`], so that idle time
/// earns no credit.
#[derive(Debug)]
pub(crate) struct Ranking<K> {
    /// Counter and key of each member.
    members: BTreeSet<(Counter, K)>,
    /// Counter of the least served member; it never decreases.
    min_served: Counter,
}

impl<K: Copy + Ord> Ranking<K> {
    /// Creates a ranking without members.
    pub(crate) fn new() -> Self {
        Self {
            members: BTreeSet::new(),
            min_served: 0,
        }
    }

    /// Adds a member and returns its counter, raised to [`Ranking::min_served`] if it is lower.
    pub(crate) fn join(&mut self, key: K, served: Counter) -> Counter {
        let served = served.max(self.min_served);
        self.members.insert((served, key));
        served
    }

    /// Removes a member whose counter is `served`. If it was the last one, the next member starts
    /// at its counter.
    pub(crate) fn leave(&mut self, key: K, served: Counter) {
        self.members.remove(&(served, key));
        if self.members.is_empty() {
            self.min_served = self.min_served.max(served);
        }
        self.raise_min_served();
    }

    /// Changes the counter of a member; others than members are ignored.
    pub(crate) fn update(&mut self, key: K, from: Counter, to: Counter) {
        if self.members.remove(&(from, key)) {
            self.members.insert((to, key));
            self.raise_min_served();
        }
    }

    /// Returns the least served member, if there are members.
    pub(crate) fn first(&self) -> Option<K> {
        self.members.first().map(|&(_, key)| key)
    }

    /// Returns the members with their counters, least served first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Counter, K)> + '_ {
        self.members.iter().copied()
    }

    /// Returns the highest counter that the least served member has had, at which members join.
    pub(crate) fn min_served(&self) -> Counter {
        self.min_served
    }

    /// Raises `min_served` to the counter of the least served member.
    fn raise_min_served(&mut self) {
        if let Some(&(served, _)) = self.members.first() {
            self.min_served = self.min_served.max(served);
        }
    }
}
