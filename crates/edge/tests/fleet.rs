//! Number and kind of the endpoints that are planned, and the demand behind it.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_edge::config::Scale;
use agate_edge::duty::demand::Demand;
use agate_edge::duty::plan::{Inputs, Plan, Size, plan, retain_standard};
use agate_edge::ledger::{Offer, Row};
use proptest::prelude::*;
use tokio::time::Instant;

const SERVICE: &str = "floor";

fn scale(max: u32) -> Scale {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    Scale {
        min: 1,
        max,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.2),
        zone_prices: prices.map(|(zone, price)| (zone.to_owned(), price)).into(),
    }
}

/// Returns the number of endpoints of each kind in all zones.
fn total(plan: &Plan) -> Size {
    plan.values().fold(Size::default(), |sum, size| Size {
        standard: sum.standard + size.standard,
        reclaimable: sum.reclaimable + size.reclaimable,
    })
}

fn inputs<'a>(scale: &'a Scale, exhausted: &'a BTreeMap<String, u32>) -> Inputs<'a> {
    Inputs {
        scale,
        needed: 18,
        minimum: 10,
        base: 3,
        exhausted,
    }
}

#[test]
fn endpoints_above_the_base_are_reclaimable_and_spread_evenly() {
    let scale = scale(12);
    let plan = plan(&inputs(&scale, &BTreeMap::new()));
    assert_eq!(
        total(&plan),
        Size {
            standard: 3,
            reclaimable: 15
        }
    );
    assert!(plan.values().all(|size| size.reclaimable == 5), "{plan:?}");
}

#[test]
fn other_zones_replace_reclaimable_endpoints_of_an_exhausted_zone() {
    let scale = scale(12);
    let exhausted = BTreeMap::from([("a".to_owned(), 0)]);
    let plan = plan(&inputs(&scale, &exhausted));
    assert_eq!(plan["a"].reclaimable, 0);
    assert_eq!(total(&plan).reclaimable, 15);
}

/// Guards against standard endpoints, at five times the price, for the whole reserve while all
/// zones are exhausted: they had booted only when reclaimable ones were available again.
#[test]
fn standard_endpoints_replace_reclaimable_ones_only_up_to_the_minimum() {
    let scale = scale(12);
    let exhausted = ["a", "b", "c"].map(|zone| (zone.to_owned(), 0)).into();
    let plan = plan(&inputs(&scale, &exhausted));
    assert_eq!(total(&plan).standard, 10);
}

/// Guards against planning an exhausted zone as if it had no reclaimable endpoints, by which
/// standard ones were ordered for all that ran there.
#[test]
fn exhausted_zones_keep_their_reclaimable_endpoints() {
    let scale = scale(12);
    let exhausted = ["a", "b", "c"].map(|zone| (zone.to_owned(), 4)).into();
    let plan = plan(&inputs(&scale, &exhausted));
    let expected = Size {
        standard: 3,
        reclaimable: 12,
    };
    assert_eq!(total(&plan), expected);
}

/// Guards against releasing standard endpoints while they boot, once the zones that they replace
/// are no longer exhausted: they were ordered again a second later, and no requests were served in
/// between.
#[test]
fn booting_standard_endpoints_are_kept_until_replacements_serve() {
    let scale = scale(12);
    let size = |standard, reclaimable| Size {
        standard,
        reclaimable,
    };
    let zones = |size| ["a", "b", "c"].map(|zone| (zone.to_owned(), size)).into();
    let listed: Plan = zones(size(1, 0));
    let ordered: Plan = zones(size(4, 0));
    let mut planned = plan(&inputs(&scale, &BTreeMap::new()));
    retain_standard(&mut planned, &listed, &ordered, 10);
    assert_eq!(total(&planned).standard, 10);
    let served: Plan = zones(size(4, 5));
    let mut planned = plan(&inputs(&scale, &BTreeMap::new()));
    retain_standard(&mut planned, &served, &ordered, 10);
    assert_eq!(total(&planned).standard, 3);
}

fn row(at: u64, work: f64) -> Row {
    let offer = Offer {
        work,
        ..Offer::default()
    };
    Row {
        run: "host/one/x".to_owned(),
        at,
        offers: BTreeMap::from([(SERVICE.to_owned(), offer)]),
        ..Row::default()
    }
}

/// Guards against counting endpoints that the first order started as initial ones.
#[test]
fn initial_endpoints_are_needed_before_any_work() {
    let now = Instant::now();
    let mut demand = Demand::default();
    assert_eq!(demand.endpoints(now), None);
    for second in 0..12 {
        let listed = if second < 4 { 6 } else { 18 };
        demand.observe(now + Duration::from_secs(second), SERVICE, &[], listed);
    }
    let needed = demand.endpoints(now + Duration::from_secs(12));
    assert_eq!(needed.map(|needed| needed.total), Some(6));
}

/// Guards against counting the work of a host that was cut off for twelve seconds as one burst: 41
/// endpoints were ordered where 15 were needed.
#[test]
fn work_of_a_host_that_was_cut_off_counts_as_a_mean() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for second in 0..30_u64 {
        let at = 1000 + second * 1000;
        let row = match second {
            5..17 => row(5000, 10_000.0),
            _ => row(at, 2.0 * at as f64),
        };
        demand.observe(now + Duration::from_secs(second), SERVICE, &[&row], 9);
    }
    let needed = demand
        .endpoints(now + Duration::from_secs(30))
        .expect("the list of endpoints should have settled");
    assert!(needed.load <= 2.1, "{needed:?}");
}

/// Guards against averaging the work of a burst with the seconds before it: half of the burst was
/// over before it was detected.
#[test]
fn burst_raises_the_load_with_the_next_heartbeat() {
    let now = Instant::now();
    let mut demand = Demand::default();
    let mut work = 0.0;
    for second in 0..22_u64 {
        work += if second < 20 { 2_000.0 } else { 8_000.0 };
        let row = row(1000 + second * 1000, work);
        demand.observe(now + Duration::from_secs(second), SERVICE, &[&row], 9);
    }
    let needed = demand
        .endpoints(now + Duration::from_secs(22))
        .expect("the list of endpoints should have settled");
    assert!(needed.load >= 7.9, "{needed:?}");
}

/// Guards against releasing standard endpoints just before a burst in the first seconds of work.
#[test]
fn standard_endpoints_are_kept_during_the_warm_up() {
    let now = Instant::now();
    let mut demand = Demand::default();
    let mut early = Vec::new();
    for second in 0..12_u64 {
        let at = now + Duration::from_secs(second);
        let work = 1_000.0 * second.saturating_sub(4) as f64;
        let row = row(1000 + second * 1000, work);
        demand.observe(at, SERVICE, &[&row], 9);
        early.push(
            demand
                .endpoints(at)
                .is_none_or(|needed| needed.is_provisional),
        );
    }
    assert!(
        early[..9].iter().all(|is_provisional| *is_provisional) && !early[11],
        "{early:?}"
    );
}

/// Guards against lease holders that start without the observed load: during a restart of all hosts
/// in turn, each new holder kept all standard endpoints for five seconds and the initial number of
/// endpoints for fifteen.
#[test]
fn new_holder_restores_the_load_of_the_previous_one() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut before = Demand::default();
    for second in 0..20_u64 {
        let at = now + Duration::from_secs(second);
        let row = row(1000 + second * 1000, 9_000.0 * second as f64);
        before.observe(at, SERVICE, &[&row], 90);
    }
    let taken = now + Duration::from_secs(24);
    let peak = before
        .peak(now + Duration::from_secs(19))
        .expect("the work should be observed for the warm-up");
    let mut after = Demand::default();
    after.restore(taken, peak, Duration::from_secs(5));
    let row = row(40_000, 300_000.0);
    after.observe(taken, SERVICE, &[&row], 90);
    let needed = after
        .endpoints(taken)
        .expect("the restored load should replace the warm-up");
    assert!(!needed.is_provisional);
    assert_eq!(needed.load, peak);
    assert!(needed.total < 30, "{needed:?}");
}

proptest! {
    #[test]
    fn plan_respects_the_bounds_of_each_zone(
        needed in 0_u32..60,
        minimum in 0_u32..60,
        base in 0_u32..60,
        max in 1_u32..20,
        exhausted in proptest::collection::btree_map("[a-c]", 0_u32..25, 0..3),
    ) {
        let scale = scale(max);
        let inputs = Inputs {
            scale: &scale,
            needed,
            minimum: minimum.min(needed),
            base,
            exhausted: &exhausted,
        };
        for size in plan(&inputs).values() {
            let both = size.standard + size.reclaimable;
            prop_assert!(both >= scale.min && both <= scale.max, "{size:?}");
        }
    }
}
