//! Endpoints of one pool.

use agate_model::endpoint::Kind;
use agate_model::id::{TIER_COUNT, Tier};

use crate::endpoint;
use crate::popularity::Popularity;
use crate::set::Set;
use crate::table::Table;

slotmap::new_key_type! {
    /// A pool.
    pub(crate) struct Key;
}

/// Relative step of the running median.
const MEDIAN_STEP: f64 = 0.03;

/// Endpoints of a pool and the figures that they are compared with.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Endpoints that may be chosen now, by kind and by tier of the request.
    standard: [Set; TIER_COUNT],
    reclaimable: [Set; TIER_COUNT],
    /// All endpoints that take new work, for prefix affinity.
    pub(crate) table: Table,
    pub(crate) popularity: Popularity,
    /// Endpoints that take new work, ejected ones included.
    pub(crate) members: usize,
    pub(crate) ejected: usize,
    /// Slots of all members.
    pub(crate) slots: u32,
    /// Own requests in flight on all members.
    pub(crate) own: u32,
    /// Load of other hosts on all members, as last reported.
    pub(crate) others: f64,
    median: Option<f64>,
}

impl Pool {
    /// Endpoints that may be chosen for a tier.
    pub(crate) fn open(&self, kind: Kind, tier: usize) -> &Set {
        match kind {
            Kind::Standard => &self.standard[tier],
            Kind::Reclaimable => &self.reclaimable[tier],
        }
    }

    /// Notes the lowest tier for which an endpoint may be chosen.
    pub(crate) fn set_open(&mut self, kind: Kind, key: endpoint::Key, lowest: Option<usize>) {
        let sets = match kind {
            Kind::Standard => &mut self.standard,
            Kind::Reclaimable => &mut self.reclaimable,
        };
        for (tier, set) in sets.iter_mut().enumerate() {
            set.set(key, lowest.is_some_and(|lowest| tier <= lowest));
        }
    }

    /// The lowest tier for which some endpoint may be chosen.
    pub(crate) fn lowest_tier(&self, kind: Kind) -> Option<Tier> {
        let mut tiers = (0..TIER_COUNT).rev();
        let lowest = tiers.find(|&tier| self.open(kind, tier).len() > 0)?;
        Some(lowest as Tier)
    }

    /// Median time per token over all answers.
    pub(crate) fn median(&self) -> Option<f64> {
        self.median
    }

    /// Moves the median a small step towards an observation.
    pub(crate) fn observe(&mut self, pace: f64) {
        self.median = Some(match self.median {
            None => pace,
            Some(old) if pace > old => old * (1.0 + MEDIAN_STEP),
            Some(old) => old / (1.0 + MEDIAN_STEP),
        });
    }

    /// Load per slot of the pool, from all hosts.
    pub(crate) fn mean_load(&self) -> f64 {
        (f64::from(self.own) + self.others) / f64::from(self.slots.max(1))
    }

    /// Guess of other hosts' load on an endpoint without a recent report.
    pub(crate) fn guess(&self, slots: u32) -> f64 {
        self.others * f64::from(slots) / f64::from(self.slots.max(1))
    }
}
