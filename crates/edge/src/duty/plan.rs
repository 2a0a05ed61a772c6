//! Plans how many standard and reclaimable endpoints of a service each availability zone gets.

use std::collections::BTreeMap;

use agate_model::id::ZoneId;

use crate::config::Scale;

/// Number of endpoints of each kind in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Endpoints that the platform does not take away.
    pub standard: u32,
    /// Endpoints that the platform may take away on short notice.
    pub reclaimable: u32,
}

impl Size {
    /// Returns the count of one kind of endpoints, to be changed.
    pub fn count_mut(&mut self, reclaimable: bool) -> &mut u32 {
        match reclaimable {
            true => &mut self.reclaimable,
            false => &mut self.standard,
        }
    }
}

/// Number of endpoints of one service by zone.
pub type Plan = BTreeMap<ZoneId, Size>;

/// Inputs of a plan for one service.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    /// Bounds for each zone, and prices.
    pub scale: &'a Scale,
    /// Endpoints of both kinds that the work needs, including the reserve for bursts.
    pub needed: u32,
    /// Endpoints that the work needs without the reserve: as many remain if a zone loses its reclaimable
    /// ones, and standard ones fill in if those are not available.
    pub minimum: u32,
    /// Number of standard endpoints, which remain if all reclaimable ones are taken away.
    pub base: u32,
    /// Zones that refused further reclaimable endpoints, with the number listed in each.
    pub exhausted: &'a BTreeMap<ZoneId, u32>,
}

/// Plans `base` standard endpoints, starting with the cheapest zones, and reclaimable ones for the
/// rest, spread evenly so that the loss of a zone takes away as few as possible. Standard endpoints
/// replace reclaimable ones that are not available only up to `minimum`.
pub fn plan(inputs: &Inputs<'_>) -> Plan {
    let scale = inputs.scale;
    let mut zones: Vec<(&ZoneId, f64)> = scale
        .zone_prices
        .iter()
        .map(|(zone, price)| (zone, *price))
        .collect();
    zones.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut plan: Plan = zones
        .iter()
        .map(|(zone, _)| ((*zone).clone(), Size::default()))
        .collect();
    let is_split = scale.reclaimable_price.is_some_and(|price| price < 1.0);
    let base = if is_split {
        inputs.base.min(inputs.needed)
    } else {
        inputs.needed
    };
    fill(&mut plan, &zones, base, scale.max, |size| {
        &mut size.standard
    });
    let mut rest = inputs.needed - base;
    if is_split {
        for (zone, listed) in inputs.exhausted {
            let size = plan.entry(zone.clone()).or_default();
            size.reclaimable = (*listed).min(rest).min(scale.max - size.standard);
            rest -= size.reclaimable;
        }
    }
    let available: Vec<(&ZoneId, f64)> = zones
        .iter()
        .copied()
        .filter(|(zone, _)| is_split && !inputs.exhausted.contains_key(*zone))
        .collect();
    fill(&mut plan, &available, rest, scale.max, |size| {
        &mut size.reclaimable
    });
    if is_split {
        reserve(&mut plan, &zones, &available, inputs);
    }
    let planned: u32 = plan
        .values()
        .map(|size| size.standard + size.reclaimable)
        .sum();
    let shortfall = inputs.minimum.saturating_sub(planned);
    fill(&mut plan, &zones, shortfall, scale.max, |size| {
        &mut size.standard
    });
    for size in plan.values_mut() {
        let shortfall = scale.min.saturating_sub(size.standard + size.reclaimable);
        if is_split {
            size.reclaimable += shortfall;
        } else {
            size.standard += shortfall;
        }
    }
    plan
}

/// Adds endpoints until as many as `minimum` remain if the zone with the most reclaimable ones loses them
/// all: reclaimable ones in `available` zones, or standard ones where those cost less for the same room.
fn reserve(
    plan: &mut Plan,
    zones: &[(&ZoneId, f64)],
    available: &[(&ZoneId, f64)],
    inputs: &Inputs<'_>,
) {
    let price = inputs.scale.reclaimable_price.unwrap_or(1.0);
    // With k zones alike, k reclaimable endpoints leave room for k - 1; with one they leave none.
    let count = available.len() as f64;
    let is_cheaper = count > 1.0 && price * count / (count - 1.0) <= 1.0;
    loop {
        let most = plan.values().map(|size| size.reclaimable).max();
        let all: u32 = plan
            .values()
            .map(|size| size.standard + size.reclaimable)
            .sum();
        let missing = inputs.minimum.saturating_sub(all - most.unwrap_or(0));
        let places = if is_cheaper { available } else { zones };
        if missing == 0 || !fill_least(plan, places, inputs.scale.max, is_cheaper) {
            return;
        }
    }
}

/// Adds an endpoint of one kind to the zone that has the fewest of them and fewer than `max` of both.
/// Returns whether there is such a zone.
fn fill_least(plan: &mut Plan, zones: &[(&ZoneId, f64)], max: u32, reclaimable: bool) -> bool {
    let places = plan.iter_mut().filter(|(zone, size)| {
        let is_full = size.standard + size.reclaimable >= max;
        !is_full && zones.iter().any(|(allowed, _)| allowed == zone)
    });
    let counts = places.map(|(_, size)| size.count_mut(reclaimable));
    let Some(least) = counts.min_by_key(|count| **count) else {
        return false;
    };
    *least += 1;
    true
}

/// Adds up to `count` endpoints of one kind to the zones in turn, up to `max` of both kinds in
/// each. Returns the number added.
fn fill(
    plan: &mut Plan,
    zones: &[(&ZoneId, f64)],
    count: u32,
    max: u32,
    kind: impl Fn(&mut Size) -> &mut u32,
) -> u32 {
    let mut placed = 0;
    while placed < count {
        let before = placed;
        for (zone, _) in zones {
            let size = plan.entry((*zone).clone()).or_default();
            if placed < count && size.standard + size.reclaimable < max {
                *kind(size) += 1;
                placed += 1;
            }
        }
        if placed == before {
            break;
        }
    }
    placed
}

/// Keeps standard endpoints until the endpoints that replace them are listed: while fewer than
/// `needed` would remain, the zones keep the standard ones that they have, including booting ones.
/// `listed` holds the endpoints that serve, `ordered` the counts of recent orders.
pub fn retain_standard(plan: &mut Plan, listed: &Plan, ordered: &Plan, needed: u32) {
    let size_in = |known: &Plan, zone: &ZoneId| known.get(zone).copied().unwrap_or_default();
    let present = |zone: &ZoneId| {
        size_in(listed, zone)
            .standard
            .max(size_in(ordered, zone).standard)
    };
    let remaining_in = |(zone, size): (&ZoneId, &Size)| {
        size_in(listed, zone).reclaimable.min(size.reclaimable) + present(zone).min(size.standard)
    };
    let mut remaining: u32 = plan.iter().map(remaining_in).sum();
    for (zone, size) in plan {
        while remaining < needed && size.standard < present(zone) {
            size.standard += 1;
            remaining += 1;
        }
    }
}
