//! Choice among endpoints of different speed. Each test names the load that it answers.

#[path = "support/endpoints.rs"]
mod endpoints;

use std::rc::Rc;
use std::time::Duration;

use agate_edge::balancer::{Balancer, Criteria, Outcome};
use agate_edge::roster::{Change, Endpoint};
use agate_edge::subset::Subset;
use agate_pick::capacity::Sample;
use tokio::time::Instant;

use self::endpoints::{SERVICE, balancer, endpoint};

const ENDPOINTS: usize = 12;

/// Sends a request and finishes it with a response that takes `factor(endpoint)` times the usual time.
/// Returns the endpoint.
fn send(
    balancer: &mut Balancer,
    now: Instant,
    prefix: Option<u64>,
    subset: Option<Subset>,
    factor: &dyn Fn(&str) -> f64,
) -> String {
    let (service, zone) = (SERVICE.to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix,
        cost: 50.0,
        tokens: 1_000.0,
        subset,
        hosts: 1,
        excluded: &[],
        zone: &zone,
    };
    let assignment = balancer.choose(now, &criteria, 16);
    let assignment = assignment.expect("an endpoint is free");
    let id = assignment.endpoint.id.clone();
    let sample = Sample {
        first: Duration::from_millis(100).mul_f64(factor(&id)),
        prompt_tokens: 1_500.0,
        rest: Duration::from_millis(180).mul_f64(factor(&id)),
        events: 6,
    };
    balancer.observe(now, &assignment, &sample);
    balancer.finish(now, &assignment, Outcome::Answered);
    id
}

fn third_is_slow(id: &str) -> f64 {
    let n: usize = id[1..].parse().expect("a number");
    if n % 3 == 2 { 1.6 } else { 1.0 }
}

/// Load: a third of the endpoints is slower by a factor, and requests come one after the other, so that all
/// endpoints have room.
#[test]
fn requests_without_a_prompt_part_go_to_fast_endpoints() {
    let mut balancer = balancer(ENDPOINTS, |_| false);
    let start = Instant::now();
    let mut slow = 0;
    for n in 0..600_u32 {
        let now = start + Duration::from_millis(10) * n;
        let id = send(&mut balancer, now, None, None, &third_is_slow);
        slow += u32::from(n >= 300 && third_is_slow(&id) > 1.0);
    }
    // An endpoint that gets nothing is forgotten and tried again.
    assert!(slow < 30, "{slow} of 300");
}

/// Load: short requests that must not be disturbed, while a third of the endpoints is slower.
#[test]
fn the_light_subset_avoids_slow_endpoints_and_takes_them_back() {
    let light = Some(Subset {
        is_light: true,
        share: 0.3,
    });
    let heavy = Some(Subset {
        is_light: false,
        share: 0.3,
    });
    let mut balancer = balancer(ENDPOINTS, |_| false);
    let start = Instant::now();
    let mut used = Vec::new();
    for n in 0..900_u32 {
        let now = start + Duration::from_millis(10) * n;
        send(
            &mut balancer,
            now,
            Some(u64::from(n)),
            heavy,
            &third_is_slow,
        );
        let id = send(&mut balancer, now, None, light, &third_is_slow);
        if n >= 450 {
            used.push(id);
        }
    }
    let slow = used.iter().filter(|id| third_is_slow(id) > 1.0).count();
    assert!(slow < used.len() / 10, "{slow} of {}", used.len());
    let mut used = Vec::new();
    for n in 900..2_400_u32 {
        let now = start + Duration::from_millis(10) * n;
        send(&mut balancer, now, Some(u64::from(n)), heavy, &|_| 1.0);
        used.push(send(&mut balancer, now, None, light, &|_| 1.0));
    }
    // The order by id decides again.
    let last = &used[used.len() - 50..];
    assert!(last.iter().any(|id| third_is_slow(id) > 1.0), "{last:?}");
}

/// Load: one endpoint slows down for ten seconds. Prompts that it holds go elsewhere once it has as much
/// work as it can do, and come back.
#[test]
fn prompts_return_to_an_endpoint_after_a_slow_spell() {
    let mut balancer = balancer(ENDPOINTS, |_| false);
    let start = Instant::now();
    let home: Vec<String> = (0..60)
        .map(|prefix| send(&mut balancer, start, Some(prefix), None, &|_| 1.0))
        .collect();
    let spell = |id: &str| if id == "e03" { 3.0 } else { 1.0 };
    for n in 0..1_000_u32 {
        let now = start + Duration::from_millis(10) * n;
        send(&mut balancer, now, Some(u64::from(n % 60)), None, &spell);
    }
    let now = start + Duration::from_secs(10);
    let speed = balancer
        .load("e03")
        .map(|load| load.speed(now))
        .expect("it is listed");
    assert!(speed < 0.7, "{speed}");
    for n in 1_000..2_500_u32 {
        let now = start + Duration::from_millis(10) * n;
        send(&mut balancer, now, Some(u64::from(n % 60)), None, &|_| 1.0);
    }
    let now = start + Duration::from_secs(25);
    let after: Vec<String> = (0..60)
        .map(|prefix| send(&mut balancer, now, Some(prefix), None, &|_| 1.0))
        .collect();
    assert_eq!(home, after);
    let speed = balancer
        .load("e03")
        .map(|load| load.speed(now))
        .expect("it is listed");
    assert!(speed > 0.9, "{speed}");
}

/// Load: failures alone. They eject an endpoint, and say nothing of its speed.
#[test]
fn a_failing_endpoint_is_not_slow() {
    let mut balancer = balancer(ENDPOINTS, |_| false);
    let now = Instant::now();
    let (service, zone) = (SERVICE.to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix: Some(5),
        cost: 50.0,
        tokens: 1_000.0,
        subset: None,
        hosts: 1,
        excluded: &[],
        zone: &zone,
    };
    let assignment = balancer.choose(now, &criteria, 16);
    let assignment = assignment.expect("an endpoint is free");
    balancer.finish(now, &assignment, Outcome::Failed);
    assert_eq!(
        balancer
            .load(&assignment.endpoint.id)
            .map(|load| load.speed(now)),
        Some(1.0)
    );
}

/// Removes an endpoint from the list and adds it again as `endpoint`.
fn relist(balancer: &mut Balancer, endpoint: Endpoint) {
    balancer.apply(&Change::Left(endpoint.id.clone()));
    balancer.apply(&Change::Joined(Rc::new(endpoint)));
}

// Guards against: a slow endpoint counts as fast, since the store has lost its row for a while.
#[test]
fn a_slow_endpoint_is_slow_when_it_is_listed_again() {
    let mut balancer = balancer(ENDPOINTS, |_| false);
    let start = Instant::now();
    let fourth_is_slow = |id: &str| if id == "e03" { 3.0 } else { 1.0 };
    for n in 0..1_000_u32 {
        let now = start + Duration::from_millis(10) * n;
        let prefix = Some(u64::from(n % 60));
        send(&mut balancer, now, prefix, None, &fourth_is_slow);
    }
    let now = start + Duration::from_secs(10);
    let speed = |balancer: &Balancer| {
        let load = balancer.load("e03").expect("it is listed");
        (load.speed(now), load.is_slow())
    };
    let before = speed(&balancer);
    assert!(before.0 < 0.7, "{before:?}");
    relist(&mut balancer, endpoint(3, false));
    assert_eq!(speed(&balancer), before);
    let restarted = Endpoint {
        born: Some(1),
        ..endpoint(3, false)
    };
    relist(&mut balancer, restarted);
    assert_eq!(speed(&balancer), (1.0, false));
}

// Guards against: an ejected endpoint is used at once, since the store has lost its row for a while.
#[test]
fn an_ejected_endpoint_is_ejected_when_it_is_listed_again() {
    let mut balancer = balancer(2, |_| false);
    let now = Instant::now();
    let (service, zone) = (SERVICE.to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix: None,
        cost: 50.0,
        tokens: 1_000.0,
        subset: None,
        hosts: 1,
        excluded: &["e01".to_owned()],
        zone: &zone,
    };
    let assignment = balancer.choose(now, &criteria, 16);
    let assignment = assignment.expect("an endpoint is free");
    assert!(balancer.finish(now, &assignment, Outcome::Unreached));
    relist(&mut balancer, endpoint(0, false));
    let criteria = Criteria {
        excluded: &[],
        ..criteria
    };
    for _ in 0..20 {
        let assignment = balancer.choose(now, &criteria, 100);
        let assignment = assignment.expect("an endpoint is free");
        assert_eq!(assignment.endpoint.id, "e01");
    }
}
