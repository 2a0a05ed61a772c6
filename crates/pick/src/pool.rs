//! Endpoints of one pool.

use agate_model::endpoint::Kind;

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
    /// Endpoints that may be chosen now, by kind.
    pub(crate) standard: Set,
    pub(crate) reclaimable: Set,
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
    pub(crate) fn available(&mut self, kind: Kind) -> &mut Set {
        match kind {
            Kind::Standard => &mut self.standard,
            Kind::Reclaimable => &mut self.reclaimable,
        }
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
