//! Orders of endpoints under the loads and losses that they answer.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_edge::config::Scale;
use agate_edge::duty::demand::{Capability, Demand, Requirement};
use agate_edge::duty::plan::{Inputs, Plan, plan};
use agate_edge::ledger::{Offer, Row};
use rstest::rstest;
use tokio::time::Instant;

const SERVICE: &str = "floor";
/// Time until an endpoint that was ordered accepts requests, in seconds.
const BOOT: u64 = 4;

/// Maximum number of endpoints in a zone.
const MAX: u32 = 60;

fn scale() -> Scale {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    Scale {
        min: 1,
        max: MAX,
        boot: Duration::from_secs(BOOT),
        reclaimable_price: Some(0.15),
        zone_prices: prices.map(|(zone, price)| (zone.to_owned(), price)).into(),
    }
}

/// Interval between two rows of a host, in milliseconds.
const ROW_INTERVAL: u64 = 1_200;

/// Returns the requirement after each second of a day on which the load of each second is given, with one
/// host that writes a row each second.
fn play(loads: &[f64]) -> Vec<Requirement> {
    play_rows(loads, 1, 1_000)
}

/// Returns the requirement after each second; each of the hosts writes a row each `interval`, in
/// milliseconds, one after the other.
fn play_rows(loads: &[f64], hosts: u64, interval: u64) -> Vec<Requirement> {
    let start = Instant::now();
    let mut demand = Demand::default();
    demand.set_bounds(Capability::default(), &scale());
    let work_until = |millis: u64| {
        let second = usize::try_from(millis / 1000).expect("an index");
        let whole: f64 = loads[..second].iter().sum();
        let part = loads.get(second).copied().unwrap_or_default();
        (whole * 1000.0 + part * (millis % 1000) as f64) / hosts as f64
    };
    let mut needed = Vec::new();
    for second in 1..=loads.len() as u64 {
        let row = |host: u64| {
            let offset = host * interval / hosts;
            let at = (second * 1000).saturating_sub(offset) / interval * interval + offset;
            let offer = Offer {
                work: work_until(at.min(second * 1000)),
                ..Offer::default()
            };
            Row {
                run: format!("host/{host}/x"),
                at: 1000 + at,
                offers: BTreeMap::from([(SERVICE.to_owned(), offer)]),
                ..Row::default()
            }
        };
        let rows: Vec<Row> = (0..hosts).map(row).collect();
        let now = start + Duration::from_secs(second);
        demand.observe(now, SERVICE, &rows.iter().collect::<Vec<_>>(), 9);
        needed.extend(demand.endpoints(now));
    }
    needed
}

/// Returns the load of each second: `count` seconds of each value.
fn loads(parts: &[(usize, f64)]) -> Vec<f64> {
    let parts = parts.iter();
    parts
        .flat_map(|(count, load)| std::iter::repeat_n(*load, *count))
        .collect()
}

// Load: a burst of 2.7 times the load for 9 s, and 30 s of the former load after it.
#[test]
fn after_a_burst_standard_endpoints_go_first() {
    let needed = play(&loads(&[(30, 20.0), (9, 54.0), (30, 20.0)]));
    let after = |second: usize| needed[needed.len() - 30 + second];
    assert!(after(0).present >= 91, "{:?}", after(0));
    // A burst that follows before others could have started finds the standard endpoints.
    assert!(after(6).present >= 91, "{:?}", after(6));
    assert!(after(9).present <= 35, "{:?}", after(9));
    // Another burst soon after finds all endpoints.
    assert!(after(14).total >= 123, "{:?}", after(14));
    assert!(after(17).total <= 48, "{:?}", after(17));
}

// Load: traffic that falls to a tenth at once.
#[test]
fn no_more_is_needed_than_the_zones_allow_and_little_after_a_fall() {
    let needed = play(&loads(&[(30, 200.0), (20, 20.0)]));
    let before = needed[needed.len() - 21];
    assert_eq!(before.total, 3 * MAX, "{before:?}");
    // The share of standard endpoints is of what can run.
    assert!(before.base <= 22, "{before:?}");
    let last = needed[needed.len() - 1];
    assert!(last.total <= 48, "{last:?}");
}

// Load: arrivals that grow by a twentieth a second, as in the minutes before a market opens.
#[test]
fn growth_is_foreseen_over_the_boot() {
    let growing: Vec<f64> = (0..30).map(|second| 20.0 + f64::from(second)).collect();
    let needed = play(&growing);
    let last = needed.last().expect("a requirement");
    // The load when what is ordered now accepts requests.
    let coming = 49.0 + BOOT as f64;
    assert!(last.load >= coming, "{last:?}");
    assert!(last.load <= coming * 1.1, "{last:?}");
}

// Load: a burst that begins within a second is no growth that goes on, though the rows of hosts tell of it
// one after the other.
#[rstest]
#[case::one_host(1, 1_000)]
#[case::hosts_12(12, ROW_INTERVAL)]
#[case::hosts_33(33, ROW_INTERVAL)]
fn a_burst_is_not_extrapolated(#[case] hosts: u64, #[case] interval: u64) {
    let needed = play_rows(&loads(&[(30, 20.0), (1, 40.0), (8, 54.0)]), hosts, interval);
    let highest = needed.iter().map(|needed| needed.load).fold(0.0, f64::max);
    assert!(highest <= 54.0 + 1e-6, "{highest}");
}

/// Returns the endpoints that remain if the zone with the most reclaimable ones loses them.
fn remaining(plan: &Plan) -> u32 {
    let all: u32 = plan
        .values()
        .map(|size| size.standard + size.reclaimable)
        .sum();
    let most = plan.values().map(|size| size.reclaimable).max();
    all - most.unwrap_or(0)
}

// Load: a zone is reclaimed, half of all endpoints where another zone refuses further ones.
#[rstest]
#[case::three_zones(&[], 6)]
#[case::a_zone_that_refuses(&[("a", 0)], 6)]
#[case::a_zone_that_refuses_more(&[("a", 3)], 6)]
#[case::two_zones_that_refuse_more(&[("a", 3), ("b", 3)], 30)]
fn what_the_load_needs_remains_after_the_loss_of_a_zone(
    #[case] refusing: &[(&str, u32)],
    #[case] expected_standard: u32,
) {
    let scale = scale();
    let exhausted: BTreeMap<String, u32> = refusing
        .iter()
        .map(|(zone, count)| ((*zone).to_owned(), *count))
        .collect();
    let inputs = Inputs {
        scale: &scale,
        needed: 48,
        minimum: 36,
        base: 6,
        exhausted: &exhausted,
    };
    let plan = plan(&inputs);
    assert!(remaining(&plan) >= 36, "{plan:?}");
    let standard: u32 = plan.values().map(|size| size.standard).sum();
    assert_eq!(standard, expected_standard, "{plan:?}");
    let all: u32 = plan
        .values()
        .map(|size| size.standard + size.reclaimable)
        .sum();
    assert!(all <= 72, "{plan:?}");
}
