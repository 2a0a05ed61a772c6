//! Sizing: cases, and steadiness under noise.

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
        .filter(|it| it.place.kind == kind)
        .map(|it| it.count)
        .sum()
}

/// Endpoints for so many arrivals per second if this share of the slots should be busy.
fn needed(arrivals: f64, busy: f64) -> u32 {
    (arrivals * 4.0 / (f64::from(SLOTS) * busy)).ceil() as u32
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
fn the_demand_fits_into_the_busy_share() {
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(14.0, 0.0), &zones(3));
    assert_eq!(
        count(&plan, Kind::Standard),
        needed(14.0, Tuning::default().busy)
    );
    assert_eq!(count(&plan, Kind::Reclaimable), 0);
}

#[test]
fn the_loss_of_any_zone_of_the_cheaper_kind_leaves_enough() {
    for number in 1..=7 {
        let mut planner = Planner::new(Tuning::default());
        let plan = settle(&mut planner, &demand(14.0, 0.5), &zones(number));
        let standard = count(&plan, Kind::Standard);
        let cheap = count(&plan, Kind::Reclaimable);
        let cheapest = plan.iter().filter(|it| it.place.kind == Kind::Reclaimable);
        let lost = cheapest.map(|it| it.count).max().unwrap_or(0);
        assert!(
            standard + cheap - lost >= 10,
            "{number} zones: {standard} + {cheap}"
        );
        assert!(cheap > 0);
    }
}

#[test]
fn standard_endpoints_stand_in_where_the_cheaper_kind_cannot_be_had() {
    let mut zones = zones(3);
    for zone in &mut zones {
        zone.reclaimable = false;
    }
    let mut planner = Planner::new(Tuning::default());
    let plan = settle(&mut planner, &demand(14.0, 0.5), &zones);
    assert_eq!(
        count(&plan, Kind::Standard),
        needed(14.0, Tuning::default().busy)
    );
}

#[test]
fn idle_endpoints_are_let_go_after_the_cooling_time() {
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
    assert!(now - start >= tuning.cooling);
    assert!(now - start <= tuning.cooling * 2);
}

#[test]
fn a_new_planner_lets_nothing_go_before_the_cooling_time() {
    let tuning = Tuning::default();
    let start = Instant::now();
    let mut planner = Planner::new(tuning);
    let mut now = start;
    while now - start < tuning.cooling {
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
fn limits_hold_and_standard_endpoints_go_first() {
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
fn noisy_constant_demand_does_not_change_the_plan_for_long() {
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
                totals.push(plan.iter().map(|it| it.count).sum::<u32>());
            }
            let settled = &totals[120..];
            let changes = settled.windows(2).filter(|pair| pair[0] != pair[1]).count();
            prop_assert!(changes <= 2, "{changes} changes: {settled:?}");
            Ok(())
        })
        .unwrap();
}
