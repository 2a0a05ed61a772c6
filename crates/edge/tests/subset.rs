//! Choice of endpoints for a service with two routes: `dossier` has long prompts, `question` short
//! ones.

#[path = "support/endpoints.rs"]
mod endpoints;

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::LazyLock;
use std::time::Duration;

use agate_edge::balancer::{Balancer, Criteria, Outcome, Tuning};
use agate_edge::roster::{Change, Endpoint};
use agate_edge::subset::{Profile, Recent, Subset, Sum, Sums};
use rstest::rstest;
use tokio::time::Instant;

use self::endpoints::{SERVICE, balancer, endpoint};

fn criteria(service: &String, prefix: Option<u64>, subset: Option<Subset>) -> Criteria<'_> {
    static ZONE: LazyLock<String> = LazyLock::new(|| "a".to_owned());
    let zone = &*ZONE;
    Criteria {
        service,
        prefix,
        cost: 50.0,
        tokens: 1_000.0,
        subset,
        hosts: 1,
        excluded: &[],
        zone,
    }
}

/// Returns the subsets of the routes `question` and `dossier`, in this order.
fn profile() -> (Option<Subset>, Option<Subset>) {
    let mut profile = Profile::default();
    let mut subsets = (None, None);
    for _ in 0..100 {
        for _ in 0..3 {
            subsets.1 = profile.observe(&"dossier".to_owned(), 9000, 70.0);
        }
        subsets.0 = profile.observe(&"question".to_owned(), 700, 90.0);
    }
    subsets
}

#[test]
fn short_and_long_prompts_share_no_endpoint() {
    let service = SERVICE.to_owned();
    let (light, heavy) = profile();
    assert!(
        light.is_some_and(|subset| subset.is_light) && heavy.is_some_and(|subset| !subset.is_light)
    );
    let mut balancer = balancer(12, |n| n % 3 != 0);
    let now = Instant::now();
    let mut short = Vec::new();
    let mut long = Vec::new();
    for n in 0..24 {
        let short_assignment = balancer
            .choose(now, &criteria(&service, None, light), 16)
            .expect("an endpoint is free");
        short.push(short_assignment.endpoint.id.clone());
        let long_assignment = balancer
            .choose(now, &criteria(&service, Some(n), heavy), 16)
            .expect("an endpoint is free");
        long.push(long_assignment.endpoint.id.clone());
    }
    assert!(
        short.iter().all(|id| !long.contains(id)),
        "{short:?} {long:?}"
    );
}

#[test]
fn light_requests_prefer_endpoints_that_are_not_reclaimable() {
    let service = SERVICE.to_owned();
    let (light, _) = profile();
    let mut balancer = balancer(12, |n| n % 3 != 0);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..10 {
        let assignment = balancer.choose(Instant::now(), &criteria(&service, None, light), 16);
        let endpoint = assignment.expect("an endpoint is free").endpoint;
        used.insert((endpoint.reclaimable, endpoint.id.clone()));
    }
    let standard = used.iter().filter(|(reclaimable, _)| !reclaimable).count();
    assert_eq!((standard, used.len() - standard), (4, 1), "{used:?}");
}

#[test]
fn a_burst_of_light_requests_spills_over_to_the_other_endpoints() {
    let service = SERVICE.to_owned();
    let (light, _) = profile();
    let mut balancer = balancer(6, |n| n % 3 != 0);
    let now = Instant::now();
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let Some(assignment) = balancer.choose(now, &criteria(&service, None, light), 16) else {
            break;
        };
        used.insert(assignment.endpoint.id.clone());
    }
    assert_eq!(used.len(), 6);
}

/// All hosts send a prompt to the same endpoint without coordination.
#[test]
fn a_shared_prompt_goes_to_the_same_endpoint_on_every_host() {
    let service = SERVICE.to_owned();
    let now = Instant::now();
    let chosen = |balancer: &mut Balancer, prefix| {
        let assignment = balancer
            .choose(now, &criteria(&service, Some(prefix), None), 16)
            .expect("an endpoint is free");
        let id = assignment.endpoint.id.clone();
        balancer.finish(now, &assignment, Outcome::Answered);
        id
    };
    let (mut first, mut second) = (balancer(9, |n| n % 3 != 0), balancer(9, |n| n % 3 != 0));
    for prefix in 0..50 {
        assert_eq!(chosen(&mut first, prefix), chosen(&mut second, prefix));
    }
}

/// A prompt that has a quarter of the requests of nine hosts overloads no endpoint, although each
/// host knows only its own requests.
#[test]
fn a_popular_prompt_is_spread_by_load() {
    const HOSTS: usize = 9;
    const ENDPOINTS: u32 = 8;
    let service = SERVICE.to_owned();
    let now = Instant::now();
    let mut counts = std::collections::HashMap::new();
    let mut total = 0;
    for host in 0..HOSTS as u64 {
        let mut balancer = balancer(8, |n| n % 3 != 0);
        for n in 0..160_u64 {
            let prefix = if n % 4 == 0 { 7 } else { 1000 * host + n };
            let criteria = Criteria {
                hosts: HOSTS,
                ..criteria(&service, Some(prefix), None)
            };
            let assignment = balancer
                .choose(now, &criteria, 64)
                .expect("an endpoint is free");
            *counts
                .entry(assignment.endpoint.id.clone())
                .or_insert(0_u32) += 1;
            total += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= total / ENDPOINTS * 2, "{counts:?}");
}

/// Light requests stay in the zone of their host; long prompts go to the endpoint that holds their
/// shared part, in whichever zone.
#[test]
fn light_requests_stay_in_their_zone_while_it_has_enough_endpoints() {
    let service = SERVICE.to_owned();
    let (light, heavy) = profile();
    let mut balancer = Balancer::new(Tuning::default());
    for n in 0..72 {
        let zone = ["a", "b", "c"][n % 3].to_owned();
        let endpoint = Endpoint {
            zone,
            ..endpoint(n, false)
        };
        balancer.apply(&Change::Joined(Rc::new(endpoint)));
    }
    let mut zones = [HashSet::new(), HashSet::new()];
    for n in 0..60 {
        for (index, subset) in [light, heavy].into_iter().enumerate() {
            let assignment =
                balancer.choose(Instant::now(), &criteria(&service, Some(n), subset), 16);
            let assignment = assignment.expect("an endpoint is free");
            zones[index].insert(assignment.endpoint.zone.clone());
            balancer.finish(Instant::now(), &assignment, Outcome::Answered);
        }
    }
    assert_eq!(zones.map(|used| used.len()), [1, 3]);
}

/// Guards against hosts of a large fleet that send short requests to the endpoints of long ones for
/// the first 20 s, since each sees two requests a second and classifies none before the thirtieth.
#[rstest]
#[case(9)]
#[case(75)]
#[case(300)]
#[case(1000)]
fn a_fleet_classifies_within_a_few_requests_of_each_host(#[case] count: usize) {
    let now = Instant::now();
    let mut recent = Recent::default();
    let kinds = [
        ("long", 9000, 120.0),
        ("short", 700, 30.0),
        ("note", 2400, 50.0),
    ];
    // The reader of a zone learns what its hosts have seen: five requests each.
    let zone = count.min(60);
    let mut hosts: Vec<Profile> = (0..zone).map(|_| Profile::default()).collect();
    for (n, host) in hosts.iter_mut().enumerate() {
        for request in 0..5 {
            let (route, tokens, work) = kinds[(n + request) % kinds.len()];
            assert_eq!(host.observe(&route.to_owned(), tokens, work), None);
        }
        let sums = Sums::from([(SERVICE.to_owned(), host.sums().clone())]);
        recent.record(now, &format!("host-{n}"), &sums);
    }
    let mut counts = HashSet::new();
    for host in &mut hosts {
        host.learn(&recent.sums()[SERVICE]);
        let short = host.observe(&"short".to_owned(), 700, 30.0);
        let short = short.expect("a subset");
        let long = host.observe(&"long".to_owned(), 9000, 120.0);
        assert!(short.is_light && !long.expect("a subset").is_light);
        counts.insert(short.light_count(150));
    }
    assert_eq!(counts.len(), 1, "hosts divide the endpoints alike");
}

/// The requests of a minute ago count for little, also those of hosts that have ended.
#[test]
fn recent_requests_count_for_more() {
    let now = Instant::now();
    let mut recent = Recent::default();
    let sums = |requests: f64| {
        let sum = Sum {
            requests,
            prompt_tokens: requests * 100.0,
            work: requests,
        };
        Sums::from([(
            SERVICE.to_owned(),
            [("route".to_owned(), sum)].into_iter().collect(),
        )])
    };
    recent.record(now, "one", &sums(1000.0));
    recent.record(now + Duration::from_secs(5), "one", &sums(1010.0));
    let requests = recent.sums()[SERVICE]["route"].requests;
    assert!((requests - 510.0).abs() < 0.01, "{requests}");
    recent.record(now + Duration::from_secs(60), "two", &sums(10.0));
    let requests = recent.sums()[SERVICE]["route"].requests;
    assert!((10.0..11.0).contains(&requests), "{requests}");
}
