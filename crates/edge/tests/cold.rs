//! Endpoints that are cold get few requests.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use agate_edge::balancer::{Assignment, Balancer, Criteria, Outcome, Tuning};
use agate_edge::cold::{Cold, share};
use agate_edge::roster::{Change, Endpoint};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::{Instant, advance};

const SERVICE: &str = "model";
/// Time for which endpoints are cold after their start.
const COLD_START: Duration = Duration::from_secs(3);

fn endpoint(id: &str, zone: &str, cold: Duration) -> Rc<Endpoint> {
    Rc::new(Endpoint {
        id: id.to_owned(),
        born: Some(1),
        number: None,
        service: SERVICE.to_owned(),
        address: ([10, 0, 0, 1], 1).into(),
        zone: zone.to_owned(),
        slots: 16,
        draining: false,
        reclaimable: false,
        cold,
    })
}

/// Returns a balancer with a cold endpoint in zone `a` and a warm one in `b`.
fn balancer(is_spared: bool) -> Balancer {
    let mut balancer = Balancer::new(Tuning::default());
    if is_spared {
        balancer.set_cold_starts(HashMap::from([(SERVICE.to_owned(), COLD_START)]));
    }
    balancer.apply(&Change::Joined(endpoint("cold", "a", COLD_START)));
    balancer.apply(&Change::Joined(endpoint("warm", "b", Duration::ZERO)));
    balancer
}

/// Chooses an endpoint for a request that waits for no slot.
fn choose(balancer: &mut Balancer) -> Option<Assignment> {
    let (service, zone) = (SERVICE.to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix: None,
        cost: 1.0,
        tokens: 1_000.0,
        subset: None,
        hosts: 1,
        excluded: &[],
        zone: &zone,
    };
    balancer.choose(Instant::now(), &criteria, u32::MAX)
}

/// Returns the endpoints that 100 requests reach.
fn reached(balancer: &mut Balancer) -> HashSet<String> {
    let assignments: Vec<Assignment> = (0..100).filter_map(|_| choose(balancer)).collect();
    let ids = assignments.iter().map(|chosen| {
        balancer.finish(Instant::now(), chosen, Outcome::Answered);
        chosen.endpoint.id.clone()
    });
    ids.collect()
}

/// Load: hosts that prefer idle endpoints all turn to one that has just started.
#[tokio::test(start_paused = true)]
async fn a_cold_endpoint_gets_nothing_from_hosts_without_a_share() {
    let mut balancer = balancer(true);
    assert_eq!(reached(&mut balancer), HashSet::from(["warm".to_owned()]));
    advance(COLD_START).await;
    assert_eq!(reached(&mut balancer).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn cold_endpoints_of_services_without_a_bound_are_used() {
    assert_eq!(reached(&mut balancer(false)).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn callers_are_told_when_the_first_endpoint_is_warm() {
    let mut balancer = balancer(true);
    let start = Instant::now();
    assert!(balancer.opening(start, SERVICE).is_none());
    balancer.apply(&Change::Left("warm".to_owned()));
    assert!(choose(&mut balancer).is_none());
    let opening = balancer.opening(start, SERVICE).expect("a time");
    assert_eq!(opening - start, COLD_START);
}

/// Load: an endpoint becomes cold while requests wait for their connections to be opened.
#[tokio::test(start_paused = true)]
async fn an_assignment_ends_when_its_endpoint_becomes_cold() {
    let mut balancer = balancer(true);
    let chosen = choose(&mut balancer).expect("an endpoint");
    assert!(balancer.is_open(Instant::now(), &chosen));
    let again = endpoint("warm", "b", Duration::from_millis(700));
    balancer.apply(&Change::Updated(again));
    assert!(!balancer.is_open(Instant::now(), &chosen));
    assert!(choose(&mut balancer).is_none());
    advance(Duration::from_millis(700)).await;
    assert!(choose(&mut balancer).is_some());
}

/// Load: all hosts turn to a zone that is taken back before its endpoints' rows say that they are cold.
#[tokio::test(start_paused = true)]
async fn endpoints_of_a_zone_that_is_taken_back_are_presumed_cold() {
    let mut balancer = balancer(true);
    advance(COLD_START).await;
    let zone = HashSet::from(["b".to_owned()]);
    balancer.evacuate(Instant::now(), zone);
    balancer.evacuate(Instant::now(), HashSet::new());
    // A row that was written before the zone was taken back.
    balancer.apply(&Change::Updated(endpoint("warm", "b", Duration::ZERO)));
    assert_eq!(reached(&mut balancer), HashSet::from(["cold".to_owned()]));
    advance(COLD_START).await;
    assert_eq!(reached(&mut balancer).len(), 2);
}

/// Load: the owners of a cold endpoint send it all requests that they may.
#[tokio::test(start_paused = true)]
async fn an_owner_sends_to_a_cold_endpoint_at_its_rate() {
    const STEP: Duration = Duration::from_millis(10);
    let mut balancer = balancer(true);
    balancer.set_cold_rate(Instant::now(), &"cold".to_owned(), 4.0);
    let end = Instant::now() + COLD_START;
    let mut count = 0;
    while Instant::now() + STEP < end {
        advance(STEP).await;
        let chosen = choose(&mut balancer).expect("an endpoint");
        assert!(balancer.is_open(Instant::now(), &chosen));
        count += usize::from(chosen.endpoint.id == "cold");
    }
    assert!((10..=12).contains(&count), "{count} in three seconds");
}

/// Hosts that join, are cut off and read late or old rows send nothing to an endpoint before it is warm,
/// however many they are. What goes unused is the time by which they count it as cold for longer.
#[rstest]
#[case(2)]
#[case(9)]
#[case(85)]
#[case(300)]
#[tokio::test(start_paused = true)]
async fn no_host_takes_a_cold_endpoint_for_warm(#[case] hosts: usize) {
    let mut unused = Duration::ZERO;
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let end = start + COLD_START;
        let millis = Duration::from_millis;
        for _ in 0..hosts {
            let mut known = Cold::default();
            let mut read = start + millis(random.random_range(0..3_000));
            // A row may be as old as the beats, the list and the relay let it be.
            let mut written = start.max(read - millis(random.random_range(0..2_500)));
            while read < end {
                known.observe(read, end - written);
                let gap = millis(random.random_range(1..1_500));
                assert!(known.until(read).is_some_and(|until| until >= end));
                read += gap;
                written = (written + millis(random.random_range(0..1_500)))
                    .min(read)
                    .min(end);
            }
            let last = known.until(end - millis(1));
            unused += last.map_or(Duration::ZERO, |until| until - end);
        }
    }
    let mean = unused / 20 / u32::try_from(hosts).expect("a count");
    println!("{hosts} hosts: warm for {mean:?} on average before a host uses it");
    assert!(mean < COLD_START);
}

/// One host as it knows the others.
struct Host {
    name: String,
    live: Vec<String>,
    sharing: usize,
    cold: Cold,
}

/// Returns the time of each request that the hosts send to a cold endpoint if each sends whenever it may.
fn arrivals(hosts: &mut [Host], rate: f64, random: &mut StdRng) -> Vec<Duration> {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    for host in hosts.iter_mut() {
        let live: Vec<&str> = host.live.iter().map(String::as_str).collect();
        let share = share("i-1", &host.name, &live, host.sharing, rate);
        host.cold.set_rate(start, share);
    }
    let mut arrivals = Vec::new();
    for step in 0..300 {
        let time = STEP * step;
        for host in hosts.iter_mut() {
            if host.cold.admits(start + time) {
                host.cold.take(start + time);
                // A connection may have to be opened first.
                arrivals.push(time + Duration::from_millis(random.random_range(0..700)));
            }
        }
    }
    arrivals.sort();
    arrivals
}

/// Returns the largest number of arrivals in one second.
fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let window = arrivals.iter().filter(|at| *at >= first);
        window
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Load: each host sends to the cold endpoint whenever it may, with tables that lack hosts which have
/// joined, list those which are gone, or hold one zone of four or the host alone.
#[rstest]
#[case(1)]
#[case(2)]
#[case(9)]
#[case(85)]
#[case(300)]
fn no_second_goes_over_what_a_cold_endpoint_bears(#[case] count: usize) {
    const RATE: f64 = 17.0;
    let mut most = 0;
    let mut total = 0;
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..count).map(|n| format!("host-{n}")).collect();
        let gone: Vec<String> = (0..count / 4).map(|n| format!("gone-{n}")).collect();
        let (missing, lost) = (random.random_range(0.0..0.2), random.random_bool(0.5));
        let parts = *[1, 1, 4, count].choose(&mut random).expect("a part");
        let mut hosts = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let knows = |(other, other_name): (usize, &String)| {
                let is_seen = other % parts == n % parts;
                let is_listed = other == n || is_seen && !random.random_bool(missing);
                is_listed.then(|| other_name.clone())
            };
            let mut live: Vec<String> = names.iter().enumerate().filter_map(knows).collect();
            if lost {
                live.extend(gone.iter().filter(|_| random.random_bool(0.5)).cloned());
            }
            let sharing = live.len().max(count.div_ceil(2));
            hosts.push(Host {
                name: name.clone(),
                live,
                sharing,
                cold: Cold::default(),
            });
        }
        let arrivals = arrivals(&mut hosts, RATE, &mut random);
        most = most.max(most_in_a_second(&arrivals));
        total += arrivals.len();
    }
    let unused = 1.0 - total as f64 / (60.0 * 3.0 * RATE);
    println!("{count} hosts: at most {most} in a second, {unused:.2} of the rate unused");
    assert!(most as f64 <= RATE * 1.5, "{most} in a second");
}

#[test]
fn a_host_that_is_not_in_the_table_has_no_share() {
    assert!(share("i-1", "one", &[], 0, 17.0) <= 0.0);
    assert!(share("i-1", "one", &["two"], 1, 17.0) <= 0.0);
}
