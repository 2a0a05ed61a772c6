//! Targets for one pool by availability zone and kind.

use std::time::{Duration, Instant};

use agate_model::endpoint::Kind;
use agate_model::id::ZoneId;
use agate_model::pool::Pool;

use crate::demand::{Demand, Smooth};
use crate::machine::Place;

/// Parameters of a [`Planner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Share of the slots that should be busy.
    pub busy: f64,
    /// Share of the slots above which endpoints are added.
    pub high: f64,
    /// Demand must stay low for so long before endpoints are let go.
    pub cooling: Duration,
    /// Price of a reclaimable endpoint relative to a standard one.
    pub price: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            busy: 0.7,
            high: 0.85,
            cooling: Duration::from_secs(300),
            price: 0.4,
        }
    }
}

/// Availability zones and what they can give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name.
    pub id: ZoneId,
    /// Whether reclaimable endpoints can be had there now.
    pub reclaimable: bool,
    /// Whether standard endpoints can be had there now.
    pub standard: bool,
}

/// Endpoints wanted in one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Place.
    pub place: Place,
    /// Endpoints.
    pub count: u32,
}

/// Targets for one pool; places that are not named are to be emptied.
pub type Plan = Vec<Target>;

/// Endpoints wanted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Size {
    standard: u32,
    reclaimable: u32,
}

/// Sizes one pool.
///
/// Endpoints are added as soon as the busy share passes the upper limit, and
/// let go once the demand of the whole cooling time would fit into fewer. A new
/// planner, for example that of a new lease holder, lets nothing go before it
/// has watched for the cooling time.
#[derive(Debug)]
pub struct Planner {
    tuning: Tuning,
    smooth: Smooth,
    total: Option<u32>,
}

impl Planner {
    /// A planner that has seen no demand.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            smooth: Smooth::default(),
            total: None,
        }
    }

    /// Takes up the demand of an interval and returns the targets. `slots` is
    /// the number of slots of one endpoint, `current` the number of endpoints.
    pub fn plan(
        &mut self,
        now: Instant,
        pool: &Pool,
        slots: u32,
        current: u32,
        demand: &Demand,
        zones: &[Zone],
    ) -> Plan {
        self.smooth.observe(now, demand, self.tuning.cooling);
        let total = self.total(now, f64::from(slots.max(1)), current);
        self.total = Some(total);
        let size = self.split(pool, total, zones);
        let mut plan = spread(pool, Kind::Standard, size.standard, zones);
        plan.extend(spread(pool, Kind::Reclaimable, size.reclaimable, zones));
        plan
    }

    /// Endpoints for the demand, before any reserve.
    fn total(&self, now: Instant, slots: f64, current: u32) -> u32 {
        let have = self.total.unwrap_or(current);
        let need = |mean: f64| (mean / (slots * self.tuning.busy)).ceil() as u32;
        let is_high = self.smooth.mean() > f64::from(have) * slots * self.tuning.high;
        if is_high {
            return need(self.smooth.mean()).max(have);
        }
        if !self.smooth.has_seen(now, self.tuning.cooling) {
            return have;
        }
        need(self.smooth.peak()).min(have)
    }

    fn split(&self, pool: &Pool, total: u32, zones: &[Zone]) -> Size {
        let cheap_zones = zones.iter().filter(|zone| zone.reclaimable).count() as u32;
        let mut size = Size {
            standard: total,
            reclaimable: 0,
        };
        if pool.reclaimable && cheap_zones > 0 {
            size.reclaimable = (f64::from(total) * self.smooth.reclaimable()).floor() as u32;
            size.standard = total - size.reclaimable;
            self.add_reserve(&mut size, cheap_zones);
        }
        limit(pool, size)
    }

    /// Adds what the loss of one availability zone of the cheaper kind would
    /// take away, in the kind that costs less.
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
        let is_cheaper = f64::from(spare) * self.tuning.price < f64::from(lost);
        if is_cheaper {
            size.reclaimable += spare;
        } else {
            size.standard += lost;
        }
    }
}

/// Keeps a size within the limits of its pool; reclaimable endpoints give way first.
fn limit(pool: &Pool, size: Size) -> Size {
    let standard = size.standard.min(pool.max_endpoints);
    let reclaimable = size.reclaimable.min(pool.max_endpoints - standard);
    let short = pool.min_endpoints.saturating_sub(standard + reclaimable);
    Size {
        standard: standard + short,
        reclaimable,
    }
}

/// Spreads endpoints of one kind evenly over the availability zones that can give them.
fn spread(pool: &Pool, kind: Kind, count: u32, zones: &[Zone]) -> Plan {
    let usable: Vec<&Zone> = zones.iter().filter(|zone| can_give(zone, kind)).collect();
    if usable.is_empty() {
        return Plan::new();
    }
    let base = count / usable.len() as u32;
    let rest = count as usize % usable.len();
    let target = |(n, zone): (usize, &&Zone)| Target {
        place: Place {
            pool: pool.id.clone(),
            zone: zone.id.clone(),
            kind,
        },
        count: base + u32::from(n < rest),
    };
    usable.iter().enumerate().map(target).collect()
}

fn can_give(zone: &Zone, kind: Kind) -> bool {
    match kind {
        Kind::Standard => zone.standard,
        Kind::Reclaimable => zone.reclaimable,
    }
}
