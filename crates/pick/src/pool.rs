//! Endpoints of one pool.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::id::{TIER_COUNT, Tier};

use crate::endpoint;
use crate::popularity::Popularity;
use crate::set::Set;
use crate::table::Table;
use crate::tuning::{Sharing, Tuning};

slotmap::new_key_type! {
    /// A pool.
    pub(crate) struct Key;
}

/// Shortest time between two adjustments of the allowances.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
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
    /// Allowance beyond the equal part, by tier, in slots.
    extra: [f64; TIER_COUNT],
    /// Tiers held back by their allowance since the last adjustment.
    limited: [bool; TIER_COUNT],
    adjusted: Option<Instant>,
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

    /// Whether this host may start another request of a tier.
    pub(crate) fn allows(&self, tier: usize, allowances: &[f64; TIER_COUNT]) -> bool {
        f64::from(self.own) < allowances[tier]
    }

    /// Notes which tiers the allowances hold back.
    pub(crate) fn note_limits(&mut self, allowances: &[f64; TIER_COUNT]) {
        for tier in 0..TIER_COUNT {
            self.limited[tier] |= !self.allows(tier, allowances);
        }
    }

    /// The lowest tier for which some endpoint may be chosen.
    pub(crate) fn lowest_tier(&self, kind: Kind, allowances: &[f64; TIER_COUNT]) -> Option<Tier> {
        let mut tiers = (0..TIER_COUNT).rev();
        let lowest =
            tiers.find(|&tier| self.allows(tier, allowances) && self.open(kind, tier).len() > 0)?;
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

    /// Own requests that this host may have in flight on the pool, by tier.
    pub(crate) fn allowances(&self, live_hosts: u32, tuning: &Tuning) -> [f64; TIER_COUNT] {
        let slots = f64::from(self.slots);
        let hosts = f64::from(live_hosts.max(1));
        std::array::from_fn(|tier| {
            let whole = slots * tuning.headroom[tier];
            let part = match tuning.sharing {
                Sharing::Whole => whole,
                Sharing::Equal { factor } => whole * factor / hosts,
                Sharing::Adaptive { .. } => whole / hosts + self.extra[tier],
            };
            part.clamp(1.0, whole.max(1.0))
        })
    }

    /// Grows the allowances that held requests back while the pool had slots to
    /// spare, and shrinks those of tiers for which it has none.
    pub(crate) fn adjust(&mut self, now: Instant, live_hosts: u32, tuning: &Tuning) {
        let Sharing::Adaptive { growth, kept } = tuning.sharing else {
            return;
        };
        let last = *self.adjusted.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        self.adjusted = Some(now);
        let elapsed = elapsed.as_secs_f64().min(1.0);
        let load = self.mean_load();
        let limited = std::mem::take(&mut self.limited);
        for (tier, extra) in self.extra.iter_mut().enumerate() {
            let whole = f64::from(self.slots) * tuning.headroom[tier];
            let part = whole / f64::from(live_hosts.max(1));
            if load >= tuning.headroom[tier] {
                *extra *= kept.powf(elapsed);
            } else if limited[tier] {
                *extra = (*extra + growth * part.max(1.0) * elapsed).min(whole);
            }
        }
    }

    /// Guess of other hosts' load on an endpoint without a recent report.
    pub(crate) fn guess(&self, slots: u32) -> f64 {
        self.others * f64::from(slots) / f64::from(self.slots.max(1))
    }
}
