//! Computes the number of endpoints of one pool for each availability zone and kind.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::id::ZoneId;
use agate_model::pool::Pool;

use crate::demand::{Average, Demand};
use crate::machine::Place;

/// Parameters of a [`Planner`]: utilization, cooldown and price.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Target utilization of standard endpoints, from 0 to 1: the share of their slots that should
    /// be busy. The free slots keep waits short for work that needs standard endpoints.
    pub utilization: f64,
    /// Target utilization of reclaimable endpoints, from 0 to 1, for work that may run on them.
    pub utilization_reclaimable: f64,
    /// Multiple of the target utilization above which endpoints are added.
    pub scale_up_factor: f64,
    /// Time for which demand must stay low before endpoints are removed.
    pub cooldown: Duration,
    /// Price of a reclaimable endpoint divided by that of a standard one.
    pub price_ratio: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            utilization: 0.6,
            utilization_reclaimable: 0.85,
            scale_up_factor: 1.15,
            cooldown: Duration::from_secs(300),
            price_ratio: 0.4,
        }
    }
}

/// An availability zone and the kinds of endpoints that can be started there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name of the availability zone.
    pub id: ZoneId,
    /// Whether reclaimable endpoints are available there now.
    pub reclaimable: bool,
    /// Whether standard endpoints are available there now.
    pub standard: bool,
}

/// Number of endpoints wanted in one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Pool, availability zone and kind of the endpoints.
    pub place: Place,
    /// Number of endpoints; zero asks for the place to be emptied.
    pub count: u32,
}

/// Targets for one pool. Places of the pool that it doesn't name are to be emptied.
pub type Plan = Vec<Target>;

/// Number of endpoints of a pool by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of standard endpoints.
    pub standard: u32,
    /// Number of reclaimable endpoints.
    pub reclaimable: u32,
}

/// Sizes the endpoints for one share of the demand.
#[derive(Debug, Default)]
struct Sizer {
    demand: Average,
    /// Number of endpoints planned last, `None` before the first plan.
    planned: Option<u32>,
}

impl Sizer {
    /// Records that `need` slots are needed and returns the number of endpoints. `busy` is the
    /// number of slots of one endpoint that should be busy, `current` the number of endpoints
    /// that exist, which counts only for the first plan.
    fn size(&mut self, now: Instant, need: f64, busy: f64, current: u32, tuning: &Tuning) -> u32 {
        self.demand.observe(now, need, tuning.cooldown);
        let previous = self.planned.unwrap_or(current);
        let endpoints = |slots: f64| (slots / busy).ceil() as u32;
        let mean = self.demand.mean();
        let planned = if mean > f64::from(previous) * busy * tuning.scale_up_factor {
            endpoints(mean).max(previous)
        } else if self.demand.is_observed_for(now, tuning.cooldown) {
            endpoints(self.demand.peak()).min(previous)
        } else {
            previous
        };
        self.planned = Some(planned);
        planned
    }
}

/// Sizes one pool.
///
/// Work that may run on reclaimable endpoints is sized apart from the rest. Endpoints are added as
/// soon as the utilization passes the upper limit, and removed once the highest demand of the
/// cooldown would fit into fewer. A new planner, for example that of a new lease holder, removes
/// nothing before it has observed the demand for the cooldown.
#[derive(Debug)]
pub struct Planner {
    tuning: Tuning,
    standard: Sizer,
    reclaimable: Sizer,
}

impl Planner {
    /// Returns a planner that has observed no demand yet.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            standard: Sizer::default(),
            reclaimable: Sizer::default(),
        }
    }

    /// Records the demand of an interval that ends at `now` and returns the targets. `slots` is
    /// the number of slots of one endpoint, `current` the number of endpoints that exist.
    pub fn plan(
        &mut self,
        now: Instant,
        pool: &Pool,
        slots: u32,
        current: Size,
        demand: &Demand,
        zones: &[Zone],
    ) -> Plan {
        let size = self.size(now, pool, f64::from(slots.max(1)), current, demand, zones);
        let mut plan = spread(pool, Kind::Standard, size.standard, zones);
        plan.extend(spread(pool, Kind::Reclaimable, size.reclaimable, zones));
        plan
    }

    fn size(
        &mut self,
        now: Instant,
        pool: &Pool,
        slots: f64,
        current: Size,
        demand: &Demand,
        zones: &[Zone],
    ) -> Size {
        let tuning = self.tuning;
        let reclaimable_zones = zones.iter().filter(|zone| zone.reclaimable).count();
        let is_split = pool.reclaimable && reclaimable_zones > 0;
        let share = if is_split {
            demand.reclaimable.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let need = demand.slots();
        let busy = slots * tuning.utilization;
        let standard = need * (1.0 - share);
        let standard = self
            .standard
            .size(now, standard, busy, current.standard, &tuning);
        let busy = slots * tuning.utilization_reclaimable;
        let reclaimable = need * share;
        let reclaimable =
            self.reclaimable
                .size(now, reclaimable, busy, current.reclaimable, &tuning);
        let mut size = Size {
            standard,
            reclaimable: if is_split { reclaimable } else { 0 },
        };
        let is_every_zone_reclaimable = reclaimable_zones == zones.len();
        if is_every_zone_reclaimable {
            self.add_reserve(&mut size, reclaimable_zones as u32);
        }
        clamp(pool, size)
    }

    /// Adds a reserve for the loss of the reclaimable endpoints of one availability zone, of
    /// whichever kind costs less. While reclaimable endpoints are unavailable in a zone, the
    /// reserve is in use and none is added.
    fn add_reserve(&self, size: &mut Size, zones: u32) {
        if size.reclaimable == 0 {
            return;
        }
        let lost = size.reclaimable.div_ceil(zones);
        let spare = if zones > 1 {
            size.reclaimable.div_ceil(zones - 1)
        } else {
            u32::MAX
        };
        let is_cheaper = f64::from(spare) * self.tuning.price_ratio < f64::from(lost);
        if is_cheaper {
            size.reclaimable += spare;
        } else {
            size.standard += lost;
        }
    }
}

/// Clamps a size to the limits of its pool; reclaimable endpoints are cut before standard ones.
fn clamp(pool: &Pool, size: Size) -> Size {
    let standard = size.standard.min(pool.max_endpoints);
    let reclaimable = size.reclaimable.min(pool.max_endpoints - standard);
    let short = pool.min_endpoints.saturating_sub(standard + reclaimable);
    Size {
        standard: standard + short,
        reclaimable,
    }
}

/// Spreads endpoints of one kind evenly over the availability zones where they are available.
fn spread(pool: &Pool, kind: Kind, count: u32, zones: &[Zone]) -> Plan {
    let usable: Vec<&Zone> = zones
        .iter()
        .filter(|zone| is_available(zone, kind))
        .collect();
    if usable.is_empty() {
        return Plan::new();
    }
    let base = count / usable.len() as u32;
    let remainder = count as usize % usable.len();
    let target = |(index, zone): (usize, &&Zone)| Target {
        place: Place {
            pool: pool.id.clone(),
            zone: zone.id.clone(),
            kind,
        },
        count: base + u32::from(index < remainder),
    };
    usable.iter().enumerate().map(target).collect()
}

fn is_available(zone: &Zone, kind: Kind) -> bool {
    match kind {
        Kind::Standard => zone.standard,
        Kind::Reclaimable => zone.reclaimable,
    }
}
