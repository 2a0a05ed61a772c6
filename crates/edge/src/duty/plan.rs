//! How many endpoints of a service each availability zone is to have, of either kind.

use std::collections::BTreeMap;

use agate_model::id::ZoneId;

use crate::config::Scale;

/// Endpoints of both kinds in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Standard ones.
    pub standard: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// Endpoints by zone.
pub type Plan = BTreeMap<ZoneId, Size>;

/// What is known when a plan is made.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// Bounds and prices.
    pub scale: &'a Scale,
    /// Endpoints that the work needs, with the reserve for bursts.
    pub needed: u32,
    /// Endpoints that the work needs at any price.
    pub least: u32,
    /// Standard endpoints that stay if all reclaimable ones are taken away.
    pub base: u32,
    /// Zones that have no more reclaimable endpoints to give now, and how many are there.
    pub dry: &'a BTreeMap<ZoneId, u32>,
}

/// Standard endpoints up to `base`, the cheapest zones first, and reclaimable ones for the rest,
/// spread evenly so that the loss of a zone takes as few as possible. What reclaimable ones can't
/// give is made up by standard ones only as far as the work needs it at any price.
pub fn plan(situation: &Situation<'_>) -> Plan {
    let scale = situation.scale;
    let mut zones: Vec<(&ZoneId, f64)> = scale.zone_prices.iter().map(|(z, p)| (z, *p)).collect();
    zones.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut plan: Plan = zones
        .iter()
        .map(|(zone, _)| ((*zone).clone(), Size::default()))
        .collect();
    let is_split = scale.reclaimable_price.is_some_and(|price| price < 1.0);
    let base = if is_split {
        situation.base.min(situation.needed)
    } else {
        situation.needed
    };
    fill(&mut plan, &zones, base, scale.max, |size| {
        &mut size.standard
    });
    let mut rest = situation.needed - base;
    let mut given = 0;
    if is_split {
        for (zone, there) in situation.dry {
            let size = plan.entry(zone.clone()).or_default();
            size.reclaimable = (*there).min(rest).min(scale.max - size.standard);
            rest -= size.reclaimable;
            given += size.reclaimable;
        }
    }
    let wet: Vec<(&ZoneId, f64)> = zones
        .iter()
        .copied()
        .filter(|(zone, _)| is_split && !situation.dry.contains_key(*zone))
        .collect();
    given += fill(&mut plan, &wet, rest, scale.max, |size| {
        &mut size.reclaimable
    });
    let short = situation.least.saturating_sub(base + given);
    fill(&mut plan, &zones, short, scale.max, |size| {
        &mut size.standard
    });
    for size in plan.values_mut() {
        let short = scale.min.saturating_sub(size.standard + size.reclaimable);
        if is_split {
            size.reclaimable += short;
        } else {
            size.standard += short;
        }
    }
    plan
}

/// Adds endpoints of one kind in turn to the zones, up to `max` of both kinds in each; returns
/// how many there was room for.
fn fill(
    plan: &mut Plan,
    zones: &[(&ZoneId, f64)],
    count: u32,
    max: u32,
    kind: impl Fn(&mut Size) -> &mut u32,
) -> u32 {
    let mut given = 0;
    while given < count {
        let before = given;
        for (zone, _) in zones {
            let size = plan.entry((*zone).clone()).or_default();
            if given < count && size.standard + size.reclaimable < max {
                *kind(size) += 1;
                given += 1;
            }
        }
        if given == before {
            break;
        }
    }
    given
}

/// Lets no standard endpoint go before the endpoints that replace it are there: while fewer than
/// `needed` would stay, the zones keep the standard ones that they have, booting ones included.
/// `listed` are the endpoints that serve, `ordered` what the zones were told to have.
pub fn hold(plan: &mut Plan, listed: &Plan, ordered: &Plan, needed: u32) {
    let at = |known: &Plan, zone: &ZoneId| known.get(zone).copied().unwrap_or_default();
    let standing = |zone: &ZoneId| at(listed, zone).standard.max(at(ordered, zone).standard);
    let stay = |(zone, size): (&ZoneId, &Size)| {
        at(listed, zone).reclaimable.min(size.reclaimable) + standing(zone).min(size.standard)
    };
    let mut staying: u32 = plan.iter().map(stay).sum();
    for (zone, size) in plan {
        while staying < needed && size.standard < standing(zone) {
            size.standard += 1;
            staying += 1;
        }
    }
}
