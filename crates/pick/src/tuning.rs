//! Parameters of the choice between endpoints.

use std::time::Duration;

use agate_model::id::TIER_COUNT;

/// Part of the slots that one host may use. The slots are those counted for the tier of the
/// request, see [`Tuning::headroom`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sharing {
    /// Each host may use all slots.
    Whole,
    /// Each live host may use an equal part, times a factor.
    Equal {
        /// Multiplier of the equal part; above 1 the parts of the hosts overlap.
        factor: f64,
    },
    /// Each live host may use an equal part, and more while the pool has spare slots.
    Adaptive {
        /// Growth per second while the host uses up its part, relative to the equal part.
        growth: f64,
        /// Share of the excess over the equal part that is left after a second without spare
        /// slots in the pool, from 0 to 1.
        kept: f64,
    },
}

/// Parameters of a [`crate::Picker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Rule for the part of an endpoint's slots that this host may use.
    pub sharing: Sharing,
    /// Slots counted for each tier, relative to the endpoint's slots; the index is the tier.
    /// Above 1 requests may wait on the endpoint, which starts higher tiers first. The values
    /// decrease from tier to tier, so that lower tiers leave slots to higher ones. For plain
    /// services, which know no priorities, 1 is used where the value is above 1.
    pub headroom: [f64; TIER_COUNT],
    /// Time constant with which the weight of a load report decays: at this age it has lost
    /// most of its weight.
    pub report_decay: Duration,
    /// Highest load, relative to the mean of the pool, at which an endpoint is still preferred
    /// for its prefix cache; zero turns the preference off.
    pub affinity_bound: f64,
    /// Time added to the expected time of an endpoint in another availability zone.
    pub zone_cost: Duration,
    /// Factor on the expected time of a standard endpoint for requests that may run on
    /// reclaimable ones.
    pub standard_factor: f64,
    /// Time over which the slots counted for a new or readmitted endpoint grow to all of them.
    pub slow_start: Duration,
    /// Failures in a row that eject an endpoint; zero turns ejection for failures off.
    pub eject_failures: u32,
    /// Time per token, relative to the median of the pool, above which an endpoint is ejected;
    /// infinity turns this off.
    pub eject_slowdown: f64,
    /// Share of the endpoints of a pool that stay in use whatever fails: when only so many are
    /// left, no further one is ejected.
    pub min_in_use: f64,
    /// Duration of the first ejection; it doubles with each further ejection.
    pub eject_base: Duration,
    /// Longest duration of an ejection. An endpoint in use for longer than this starts again
    /// at `eject_base`.
    pub eject_max: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            sharing: Sharing::Adaptive {
                growth: 0.5,
                kept: 0.3,
            },
            headroom: [2.0, 2.0, 1.0, 0.85, 0.75],
            report_decay: Duration::from_secs(5),
            affinity_bound: 1.25,
            zone_cost: Duration::from_millis(2),
            standard_factor: 1.5,
            slow_start: Duration::from_secs(10),
            eject_failures: 4,
            eject_slowdown: 3.0,
            min_in_use: 0.5,
            eject_base: Duration::from_secs(5),
            eject_max: Duration::from_secs(300),
        }
    }
}
