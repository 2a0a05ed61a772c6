//! Sizes of pools in single cases, and their stability under noisy demand.

mod common;

use std::time::{Duration, Instant};

use agate_check::runner;
use agate_fleet::demand::Demand;
use agate_fleet::plan::{Plan, Planner, Size, Tuning, Zone};
use agate_model::endpoint::Kind;
use agate_model::pool::Pool;
use proptest::prelude::*;

const INTERVAL: Duration = Duration::from_secs(5);
const SLOTS: u32 = 8;

fn pool() -> Pool {
    Pool {
        id: "pool".to_owned(),
        model: Some("model".to_owned()),
        min_endpoints: 1,
        max_endpoints: 40,
        reclaimable: true,
    }
}

fn zones(count: usize) -> Vec<Zone> {
    let zone = |n| Zone {
        id: format!("z{n}"),
        reclaimable: true,
        standard: true,
    };
    (0..count).map(zone).collect()
}

fn standard(count: u32) -> Size {
    Size {
        standard: count,
        reclaimable: 0,
    }
}

fn demand(arrivals: f64, reclaimable: f64) -> Demand {
    let service = Duration::from_secs(4);
    Demand {
        arrivals,
        service,
        queued: 0.0,
        running: arrivals * 4.0,
        reclaimable,
        wait_target: Duration::from_secs(10),
    }
}

fn count(plan: &Plan, kind: Kind) -> u32 {
    plan.iter()
        .filter(|target| target.place.kind == kind)
        .map(|target| target.count)
        .sum()
}

/// Returns the number of endpoints that serve `arrivals` requests per second at `utilization`.
fn needed(arrivals: f64, utilization: f64) -> u32 {
    (arrivals * 4.0 / (f64::from(SLOTS) * utilization)).ceil() as u32
}

fn settle(planner: &mut Planner, demand: &Demand, zones: &[Zone]) -> Plan {
    let mut now = Instant::now();
    let mut plan = Plan::new();
    for _ in 0..200 {
        now += INTERVAL;
        plan = planner.plan(now, &pool(), SLOTS, standard(1), demand, zones);
    }
    plan
}

#[test]
fn demand_fits_target_utilization() {
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(14.0, 0.0), &zones(3));
    assert_eq!(
        count(&plan, Kind::Standard),
        needed(14.0, Tuning::default().utilization)
    );
    assert_eq!(count(&plan, Kind::Reclaimable), 0);
}

#[test]
fn loss_of_any_reclaimable_zone_leaves_enough_endpoints() {
    for number in 1..=7 {
        let mut planner = Planner::new(Tuning::default());
        let plan = settle(&mut planner, &demand(14.0, 0.5), &zones(number));
        let standard = count(&plan, Kind::Standard);
        let reclaimable = count(&plan, Kind::Reclaimable);
        let by_zone = plan
            .iter()
            .filter(|target| target.place.kind == Kind::Reclaimable);
        let lost = by_zone.map(|target| target.count).max().unwrap_or(0);
        assert!(
            standard + reclaimable - lost >= 10,
            "{number} zones: {standard} + {reclaimable}"
        );
        assert!(reclaimable > 0);
    }
}

#[test]
fn standard_endpoints_replace_unavailable_reclaimable_ones() {
    let mut zones = zones(3);
    for zone in &mut zones {
        zone.reclaimable = false;
    }
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(14.0, 0.5), &zones);
    assert_eq!(
        count(&plan, Kind::Standard),
        needed(14.0, Tuning::default().utilization)
    );
}

#[test]
fn idle_endpoints_are_removed_after_the_cooldown() {
    let tuning = Tuning::default();
    let mut planner = Planner::new(tuning);
    let zones = zones(3);
    settle(&mut planner, &demand(14.0, 0.0), &zones);
    let start = Instant::now() + Duration::from_secs(10_000);
    let mut now = start;
    loop {
        now += INTERVAL;
        let plan = planner.plan(now, &pool(), SLOTS, standard(10), &demand(1.0, 0.0), &zones);
        if count(&plan, Kind::Standard) < 10 {
            break;
        }
    }
    assert!(now - start >= tuning.cooldown);
    assert!(now - start <= tuning.cooldown * 2);
}

#[test]
fn new_planner_removes_nothing_before_the_cooldown() {
    let tuning = Tuning::default();
    let start = Instant::now();
    let mut planner = Planner::new(tuning);
    let mut now = start;
    while now - start < tuning.cooldown {
        let plan = planner.plan(
            now,
            &pool(),
            SLOTS,
            standard(10),
            &demand(1.0, 0.0),
            &zones(3),
        );
        assert_eq!(count(&plan, Kind::Standard), 10);
        now += INTERVAL;
    }
}

#[test]
fn pool_limits_hold_and_standard_endpoints_take_precedence() {
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(100.0, 0.5), &zones(3));
    assert_eq!(
        count(&plan, Kind::Standard) + count(&plan, Kind::Reclaimable),
        40
    );
    assert!(count(&plan, Kind::Standard) >= 36);
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(0.0, 0.5), &zones(3));
    assert_eq!(count(&plan, Kind::Standard), 1);
}

#[test]
fn plan_settles_under_noisy_constant_demand() {
    let noise = proptest::collection::vec(0.8..1.2f64, 720);
    let input = (1.0..20.0f64, 0.0..1.0f64, noise);
    runner(100)
        .run(&input, |(arrivals, reclaimable, noise)| {
            let zones = zones(3);
            let mut now = Instant::now();
            let mut planner = Planner::new(Tuning::default());
            let mut totals = Vec::new();
            for factor in noise {
                now += INTERVAL;
                let plan = planner.plan(
                    now,
                    &pool(),
                    SLOTS,
                    standard(1),
                    &demand(arrivals * factor, reclaimable),
                    &zones,
                );
                totals.push(plan.iter().map(|target| target.count).sum::<u32>());
            }
            let settled = &totals[120..];
            let changes = settled.windows(2).filter(|pair| pair[0] != pair[1]).count();
            prop_assert!(changes <= 2, "{changes} changes: {settled:?}");
            Ok(())
        })
        .unwrap();
}
