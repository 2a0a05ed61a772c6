//! Parameters of the choice.

use std::time::Duration;

use agate_model::id::TIER_COUNT;

/// How much of an endpoint one host may use. The slots meant here are those
/// for the tier of the request, see [`Tuning::headroom`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sharing {
    /// All slots.
    Whole,
    /// An equal part for each live host, times a factor.
    Equal {
        /// Above 1 the parts overlap.
        factor: f64,
    },
    /// An equal part, and more for as long as the pool has slots to spare.
    Adaptive {
        /// Growth per second while the host uses all of its part, relative to
        /// the equal part.
        growth: f64,
        /// Share of what goes beyond the equal part that is kept for a second
        /// while the pool has no slots to spare.
        kept: f64,
    },
}

/// Parameters of a [`crate::Picker`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Part of an endpoint's slots for this host.
    pub sharing: Sharing,
    /// Slots counted for each tier, relative to the endpoint's slots. Above 1 requests
    /// may wait on the endpoint, which starts higher tiers first; falling with the tier,
    /// so that lower tiers leave room for higher ones. At most 1 for plain services,
    /// which know no priorities.
    pub headroom: [f64; TIER_COUNT],
    /// Age at which a load report has lost most of its weight.
    pub report_memory: Duration,
    /// Load of the endpoint preferred for its prefix cache, relative to the
    /// mean of the pool, up to which it is chosen; zero turns the preference off.
    pub affinity_bound: f64,
    /// Added to the expected time of an endpoint in another availability zone.
    pub zone_cost: Duration,
    /// Factor on the expected time of a standard endpoint for work that may
    /// run on reclaimable ones.
    pub standard_factor: f64,
    /// Time over which a new or readmitted endpoint reaches its full share.
    pub slow_start: Duration,
    /// Failures in a row that eject an endpoint; zero turns ejection off.
    pub eject_failures: u32,
    /// Time per token, relative to the median of the pool, that ejects an
    /// endpoint; infinite turns this off.
    pub eject_pace: f64,
    /// Share of a pool that stays in use whatever fails.
    pub keep: f64,
    /// First ejection time; it doubles with each further ejection.
    pub eject_base: Duration,
    /// Longest ejection time.
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
            report_memory: Duration::from_secs(5),
            affinity_bound: 1.25,
            zone_cost: Duration::from_millis(2),
            standard_factor: 1.5,
            slow_start: Duration::from_secs(10),
            eject_failures: 4,
            eject_pace: 3.0,
            keep: 0.5,
            eject_base: Duration::from_secs(5),
            eject_max: Duration::from_secs(300),
        }
    }
}
