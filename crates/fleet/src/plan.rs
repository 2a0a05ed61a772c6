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
    /// Share of the slots that should be busy with work that needs standard
    /// endpoints; the rest keeps its waits short.
    pub busy: f64,
    /// The same for work that may run on reclaimable endpoints.
    pub busy_reclaimable: f64,
    /// Share of the slots above which endpoints are added, relative to the
    /// share that should be busy.
    pub high: f64,
    /// Demand must stay low for so long before endpoints are let go.
    pub cooling: Duration,
    /// Price of a reclaimable endpoint relative to a standard one.
    pub price: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            busy: 0.6,
            busy_reclaimable: 0.85,
            high: 1.15,
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

/// Endpoints by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Standard ones.
    pub standard: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// Endpoints for one part of the demand.
#[derive(Debug, Default)]
struct Part {
    smooth: Smooth,
    total: Option<u32>,
}

impl Part {
    /// Takes up the slots needed and returns the number of endpoints.
    /// `slots` is what one endpoint should have busy, `current` the number of endpoints.
    fn size(&mut self, now: Instant, need: f64, slots: f64, current: u32, tuning: &Tuning) -> u32 {
        self.smooth.observe(now, need, tuning.cooling);
        let have = self.total.unwrap_or(current);
        let endpoints = |mean: f64| (mean / slots).ceil() as u32;
        let mean = self.smooth.mean();
        let total = if mean > f64::from(have) * slots * tuning.high {
            endpoints(mean).max(have)
        } else if self.smooth.has_seen(now, tuning.cooling) {
            endpoints(self.smooth.peak()).min(have)
        } else {
            have
        };
        self.total = Some(total);
        total
    }
}

/// Sizes one pool.
///
/// Work that may run on reclaimable endpoints is sized apart from the rest. Endpoints
/// are added as soon as the busy share passes the upper limit, and let go once
/// the demand of the whole cooling time would fit into fewer. A new planner,
/// for example that of a new lease holder, lets nothing go before it has
/// watched for the cooling time.
#[derive(Debug)]
pub struct Planner {
    tuning: Tuning,
    standard: Part,
    reclaimable: Part,
}

impl Planner {
    /// A planner that has seen no demand.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            standard: Part::default(),
            reclaimable: Part::default(),
        }
    }

    /// Takes up the demand of an interval and returns the targets. `slots` is
    /// the number of slots of one endpoint, `current` what is there now.
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
        let cheap_zones = zones.iter().filter(|zone| zone.reclaimable).count();
        let is_split = pool.reclaimable && cheap_zones > 0;
        let share = if is_split {
            demand.reclaimable.clamp(0.0, 1.0)
        } else {
            0.0
        };
        let need = demand.slots();
        let busy = slots * tuning.busy;
        let standard = need * (1.0 - share);
        let standard = self
            .standard
            .size(now, standard, busy, current.standard, &tuning);
        let busy = slots * tuning.busy_reclaimable;
        let reclaimable = need * share;
        let reclaimable =
            self.reclaimable
                .size(now, reclaimable, busy, current.reclaimable, &tuning);
        let mut size = Size {
            standard,
            reclaimable: if is_split { reclaimable } else { 0 },
        };
        let is_whole = cheap_zones == zones.len();
        if is_whole {
            self.add_reserve(&mut size, cheap_zones as u32);
        }
        limit(pool, size)
    }

    /// Adds what the loss of one availability zone of the cheaper kind would
    /// take away, in the kind that costs less. While a zone is lost, the
    /// reserve is in use.
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
