//! Endpoints of one pool, their total load and the allowances of this host.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::id::{TIER_COUNT, Tier};

use crate::endpoint;
use crate::popularity::Popularity;
use crate::set::Set;
use crate::table::Table;
use crate::tuning::{Sharing, Tuning};

slotmap::new_key_type! {
    /// Identifies a pool within one [`crate::Picker`].
    pub(crate) struct Key;
}

/// Shortest time between two adjustments of the allowances.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Relative step by which the running median moves with each observation.
const MEDIAN_STEP: f64 = 0.03;

/// Endpoints of a pool and the totals and averages that they are compared with.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Standard endpoints that may be chosen now, by tier of the request.
    standard: [Set; TIER_COUNT],
    /// Reclaimable endpoints that may be chosen now, by tier of the request.
    reclaimable: [Set; TIER_COUNT],
    /// Maps prefix blocks to the endpoints that take new work.
    pub(crate) affinity: Table,
    /// Recent use of prefix blocks in this pool.
    pub(crate) popularity: Popularity,
    /// Number of endpoints that take new work, ejected ones included.
    pub(crate) members: usize,
    /// Number of members that are ejected now.
    pub(crate) ejected: usize,
    /// Sum of the slots of all members.
    pub(crate) slots: u32,
    /// Requests that this host has in flight on all members.
    pub(crate) own: u32,
    /// Load that other hosts put on all members, as last reported.
    pub(crate) remote_load: f64,
    /// Running median of the time per token in seconds; `None` before the first response.
    median: Option<f64>,
    /// Allowance beyond the equal part of this host, by tier, in slots.
    extra: [f64; TIER_COUNT],
    /// Tiers that reached their allowance since the last adjustment.
    limited: [bool; TIER_COUNT],
    /// Time of the last adjustment of `extra`, or of the first attempt at one.
    last_adjusted: Option<Instant>,
}

impl Pool {
    /// Returns the endpoints of a kind that may be chosen for a tier now.
    pub(crate) fn available(&self, kind: Kind, tier: usize) -> &Set {
        match kind {
            Kind::Standard => &self.standard[tier],
            Kind::Reclaimable => &self.reclaimable[tier],
        }
    }

    /// Sets the lowest tier for which an endpoint may be chosen; `None` is for no tier.
    pub(crate) fn set_available(&mut self, kind: Kind, key: endpoint::Key, lowest: Option<usize>) {
        let sets = match kind {
            Kind::Standard => &mut self.standard,
            Kind::Reclaimable => &mut self.reclaimable,
        };
        for (tier, set) in sets.iter_mut().enumerate() {
            set.set(key, lowest.is_some_and(|lowest| tier <= lowest));
        }
    }

    /// Returns whether this host may start another request of a tier on the pool.
    pub(crate) fn allows(&self, tier: usize, allowances: &[f64; TIER_COUNT]) -> bool {
        f64::from(self.own) < allowances[tier]
    }

    /// Records the tiers that have reached their allowance, for [`Pool::adjust`].
    pub(crate) fn record_limits(&mut self, allowances: &[f64; TIER_COUNT]) {
        for tier in 0..TIER_COUNT {
            self.limited[tier] |= !self.allows(tier, allowances);
        }
    }

    /// Returns the lowest tier for which an endpoint of a kind may be chosen, if there is one.
    pub(crate) fn lowest_tier(&self, kind: Kind, allowances: &[f64; TIER_COUNT]) -> Option<Tier> {
        let mut tiers = (0..TIER_COUNT).rev();
        let lowest = tiers
            .find(|&tier| self.allows(tier, allowances) && self.available(kind, tier).len() > 0)?;
        Some(lowest as Tier)
    }

    /// Returns the median time per token of all responses in seconds, if there were any.
    pub(crate) fn median(&self) -> Option<f64> {
        self.median
    }

    /// Moves the median a small step towards an observation.
    pub(crate) fn observe(&mut self, time_per_token: f64) {
        self.median = Some(match self.median {
            None => time_per_token,
            Some(median) if time_per_token > median => median * (1.0 + MEDIAN_STEP),
            Some(median) => median / (1.0 + MEDIAN_STEP),
        });
    }

    /// Returns the load per slot of the pool, from all hosts.
    pub(crate) fn mean_load(&self) -> f64 {
        (f64::from(self.own) + self.remote_load) / f64::from(self.slots.max(1))
    }

    /// Returns how many requests this host may have in flight on the pool, by tier; at least 1.
    pub(crate) fn allowances(&self, live_hosts: u32, tuning: &Tuning) -> [f64; TIER_COUNT] {
        let slots = f64::from(self.slots);
        let hosts = f64::from(live_hosts.max(1));
        std::array::from_fn(|tier| {
            let capacity = slots * tuning.headroom[tier];
            let share = match tuning.sharing {
                Sharing::Whole => capacity,
                Sharing::Equal { factor } => capacity * factor / hosts,
                Sharing::Adaptive { .. } => capacity / hosts + self.extra[tier],
            };
            share.clamp(1.0, capacity.max(1.0))
        })
    }

    /// Raises the allowances that were reached since the last call while the pool has spare
    /// slots, and lowers those of tiers for which it has none. Only for
    /// [`Sharing::Adaptive`], and at most once per [`ADJUST_INTERVAL`].
    pub(crate) fn adjust(&mut self, now: Instant, live_hosts: u32, tuning: &Tuning) {
        let Sharing::Adaptive { growth, kept } = tuning.sharing else {
            return;
        };
        let last = *self.last_adjusted.get_or_insert(now);
        let elapsed = now.saturating_duration_since(last);
        if elapsed < ADJUST_INTERVAL {
            return;
        }
        self.last_adjusted = Some(now);
        let elapsed = elapsed.as_secs_f64().min(1.0);
        let load = self.mean_load();
        let limited = std::mem::take(&mut self.limited);
        for (tier, extra) in self.extra.iter_mut().enumerate() {
            let capacity = f64::from(self.slots) * tuning.headroom[tier];
            let share = capacity / f64::from(live_hosts.max(1));
            if load >= tuning.headroom[tier] {
                *extra *= kept.powf(elapsed);
            } else if limited[tier] {
                *extra = (*extra + growth * share.max(1.0) * elapsed).min(capacity);
            }
        }
    }

    /// Estimates the load of other hosts on an endpoint without a recent report: the part of
    /// their load on the pool that its `slots` are of all slots.
    pub(crate) fn estimate_remote_load(&self, slots: u32) -> f64 {
        self.remote_load * f64::from(slots) / f64::from(self.slots.max(1))
    }
}
