//! How many endpoints are ordered, and of which kind.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_edge::config::Scale;
use agate_edge::duty::demand::Demand;
use agate_edge::duty::plan::{Plan, Situation, Size, hold, plan};
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

fn total(plan: &Plan) -> Size {
    plan.values().fold(Size::default(), |sum, it| Size {
        standard: sum.standard + it.standard,
        reclaimable: sum.reclaimable + it.reclaimable,
    })
}

fn situation<'a>(scale: &'a Scale, dry: &'a BTreeMap<String, u32>) -> Situation<'a> {
    Situation {
        scale,
        needed: 18,
        least: 10,
        base: 3,
        dry,
    }
}

#[test]
fn most_of_a_fleet_is_reclaimable_and_spread_evenly() {
    let scale = scale(12);
    let plan = plan(&situation(&scale, &BTreeMap::new()));
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
fn zones_that_give_no_reclaimable_ones_are_made_up_by_the_others() {
    let scale = scale(12);
    let dry = BTreeMap::from([("a".to_owned(), 0)]);
    let plan = plan(&situation(&scale, &dry));
    assert_eq!(plan["a"].reclaimable, 0);
    assert_eq!(total(&plan).reclaimable, 15);
}

/// All zones dry at once ordered standard endpoints for the whole reserve, at five times the
/// price, which were there only when the reclaimable ones were to be had again.
#[test]
fn without_reclaimable_ones_only_what_the_work_needs_is_standard() {
    let scale = scale(12);
    let dry = ["a", "b", "c"].map(|it| (it.to_owned(), 0)).into();
    let plan = plan(&situation(&scale, &dry));
    assert_eq!(total(&plan).standard, 10);
}

/// A zone that had no more to give was planned as if it had none. Standard endpoints were ordered
/// for all that ran there.
#[test]
fn zones_that_give_no_more_keep_the_reclaimable_ones_that_they_have() {
    let scale = scale(12);
    let dry = ["a", "b", "c"].map(|it| (it.to_owned(), 4)).into();
    let plan = plan(&situation(&scale, &dry));
    let expected = Size {
        standard: 3,
        reclaimable: 12,
    };
    assert_eq!(total(&plan), expected);
}

/// Once zones were no longer known as dry, the standard endpoints that made up for them were let
/// go while they booted, and ordered again a second later: seconds that nobody was served in.
#[test]
fn standard_endpoints_that_boot_are_kept_until_others_serve() {
    let scale = scale(12);
    let of = |standard, reclaimable| Size {
        standard,
        reclaimable,
    };
    let zones = |size| ["a", "b", "c"].map(|zone| (zone.to_owned(), size)).into();
    let listed: Plan = zones(of(1, 0));
    let ordered: Plan = zones(of(4, 0));
    let mut wanted = plan(&situation(&scale, &BTreeMap::new()));
    hold(&mut wanted, &listed, &ordered, 10);
    assert_eq!(total(&wanted).standard, 10);
    let served: Plan = zones(of(4, 5));
    let mut wanted = plan(&situation(&scale, &BTreeMap::new()));
    hold(&mut wanted, &served, &ordered, 10);
    assert_eq!(total(&wanted).standard, 3);
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

/// Endpoints that came by the first order were taken for ones that had been there before.
#[test]
fn before_any_work_the_endpoints_that_were_found_are_needed() {
    let now = Instant::now();
    let mut demand = Demand::default();
    assert_eq!(demand.endpoints(now), None);
    for second in 0..12 {
        let listed = if second < 4 { 6 } else { 18 };
        demand.observe(now + Duration::from_secs(second), SERVICE, &[], listed);
    }
    let needed = demand.endpoints(now + Duration::from_secs(12));
    assert_eq!(needed.map(|it| it.total), Some(6));
}

/// A host that was cut off for twelve seconds brought its work of that time as one burst, and 41
/// endpoints were ordered where 15 were needed.
#[test]
fn a_host_that_was_cut_off_brings_its_work_as_a_mean() {
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
        .expect("settled");
    assert!(needed.load <= 2.1, "{needed:?}");
}

/// Half of the seconds of a burst were over before it was seen, because work was averaged with the
/// seconds before it.
#[test]
fn a_burst_is_seen_with_the_next_heartbeat() {
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
        .expect("settled");
    assert!(needed.load >= 7.9, "{needed:?}");
}

/// A burst in the first seconds met a fleet whose standard endpoints had just been let go.
#[test]
fn no_standard_endpoint_is_let_go_before_work_was_watched() {
    let now = Instant::now();
    let mut demand = Demand::default();
    let mut early = Vec::new();
    for second in 0..12_u64 {
        let at = now + Duration::from_secs(second);
        let work = 1_000.0 * second.saturating_sub(4) as f64;
        let row = row(1000 + second * 1000, work);
        demand.observe(at, SERVICE, &[&row], 9);
        early.push(demand.endpoints(at).is_none_or(|it| it.is_early));
    }
    assert!(early[..9].iter().all(|it| *it) && !early[11], "{early:?}");
}

/// Each holder began without memory: after a stop of all hosts in turn, every standard endpoint
/// was kept for five seconds and the fleet that was found for fifteen, several times over.
#[test]
fn a_new_holder_goes_on_with_the_work_that_the_one_before_knew() {
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
        .expect("work was watched");
    let mut after = Demand::default();
    after.recall(taken, peak, Duration::from_secs(5));
    let row = row(40_000, 300_000.0);
    after.observe(taken, SERVICE, &[&row], 90);
    let needed = after.endpoints(taken).expect("the work is known");
    assert!(!needed.is_early);
    assert_eq!(needed.load, peak);
    assert!(needed.total < 30, "{needed:?}");
}

proptest! {
    #[test]
    fn a_plan_keeps_the_bounds_of_each_zone(
        needed in 0_u32..60,
        least in 0_u32..60,
        base in 0_u32..60,
        max in 1_u32..20,
        dry in proptest::collection::btree_map("[a-c]", 0_u32..25, 0..3),
    ) {
        let scale = scale(max);
        let situation = Situation { scale: &scale, needed, least: least.min(needed), base, dry: &dry };
        for size in plan(&situation).values() {
            let both = size.standard + size.reclaimable;
            prop_assert!(both >= scale.min && both <= scale.max, "{size:?}");
        }
    }
}
