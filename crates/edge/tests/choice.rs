//! What notices and subsets cost in a choice among as many endpoints as a large service has.

use std::rc::Rc;
use std::time::Duration;

use agate_check::clock::used_time;
use agate_edge::balancer::{Balancer, Criteria, Outcome, Tuning};
use agate_edge::roster::{Change, Endpoint};
use agate_edge::subset::Subset;
use rstest::rstest;

/// Endpoints of the largest service to come.
const ENDPOINTS: usize = 600;
/// Most time that a choice may take with notices, as a multiple of the time without.
const MAX_RATIO: f64 = 2.0;

fn balancer(count: usize) -> Balancer {
    let mut balancer = Balancer::new(Tuning::default());
    for n in 0..count {
        let port = 1_000 + u16::try_from(n).expect("a port");
        balancer.apply(&Change::Joined(Rc::new(Endpoint {
            id: format!("i-{n}"),
            born: Some(1),
            number: None,
            service: "model".to_owned(),
            address: ([10, 0, 0, 1], port).into(),
            zone: "a".to_owned(),
            slots: 16,
            draining: false,
            reclaimable: false,
            cold: Duration::ZERO,
        })));
    }
    balancer
}

/// Returns the shortest time of several runs of many choices of a subset.
fn measure(balancer: &mut Balancer, subset: Option<Subset>) -> Duration {
    let service = "model".to_owned();
    let zone = "a".to_owned();
    let criteria = Criteria {
        service: &service,
        prefix: None,
        cost: 1.0,
        tokens: 1_000.0,
        subset,
        hosts: 10,
        excluded: &[],
        zone: &zone,
    };
    let run = |balancer: &mut Balancer| {
        let started = used_time();
        for _ in 0..200 {
            let now = tokio::time::Instant::now();
            let chosen = balancer.choose(now, &criteria, 100).expect("an endpoint");
            balancer.finish(now, &chosen, Outcome::Answered);
        }
        used_time() - started
    };
    let times = (0..9).map(|_| run(balancer));
    times.min().unwrap_or_default()
}

// Guards against: choices become slow when many endpoints leave or pause.
#[test]
fn notices_cost_little_in_a_choice_among_600_endpoints() {
    let mut plain = balancer(ENDPOINTS);
    let mut noticed = balancer(ENDPOINTS);
    let now = tokio::time::Instant::now();
    let service = "model".to_owned();
    let zone = "a".to_owned();
    let criteria = Criteria {
        service: &service,
        prefix: Some(7),
        cost: 1.0,
        tokens: 1_000.0,
        subset: None,
        hosts: 10,
        excluded: &[],
        zone: &zone,
    };
    // A third of the endpoints is paused.
    for _ in 0..ENDPOINTS / 3 {
        let chosen = noticed.choose(now, &criteria, 100).expect("an endpoint");
        noticed.pause(now, &chosen, Duration::from_secs(3_600));
        noticed.finish(now, &chosen, Outcome::Excused);
    }
    let (without, with) = (measure(&mut plain, None), measure(&mut noticed, None));
    let ratio = with.as_secs_f64() / without.as_secs_f64();
    println!("{without:?} without notices, {with:?} with 200, ratio {ratio:.2}");
    assert!(ratio < MAX_RATIO, "ratio {ratio:.2}");
}

// Guards against: each choice sorts all endpoints and looks each of them up in a list.
#[rstest]
#[case(90)]
#[case(600)]
fn a_subset_costs_little_in_a_choice(#[case] count: usize) {
    let mut balancer = balancer(count);
    for is_light in [true, false] {
        let subset = Subset {
            is_light,
            share: 0.3,
        };
        // By turns, so that other load of the machine meets both.
        let mut least = [Duration::MAX; 2];
        for _ in 0..4 {
            for (least, subset) in least.iter_mut().zip([None, Some(subset)]) {
                *least = measure(&mut balancer, subset).min(*least);
            }
        }
        let [without, with] = least;
        let ratio = with.as_secs_f64() / without.as_secs_f64();
        println!("{count}: {without:?} without subset, {with:?} with, ratio {ratio:.2}");
        assert!(ratio < MAX_RATIO, "ratio {ratio:.2}");
    }
}
