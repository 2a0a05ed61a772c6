//! What hosts tell each other of the endpoints. Each test names the load or the failure that it answers.

#[path = "support/endpoints.rs"]
mod endpoints;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::balancer::{Assignment, Balancer, Criteria, Outcome};
use agate_edge::load::Figure;
use agate_edge::roster::{Change, Endpoint};
use agate_edge::share::{self, Digest, MAX_PART, MAX_TOTALS, Malformed, News, Pool};
use agate_pick::capacity::Sample;
use rstest::rstest;
use tokio::time::Instant;

use self::endpoints::{SERVICE, balancer, endpoint};

fn choose(balancer: &mut Balancer, now: Instant, prefix: Option<u64>, hosts: usize) -> Assignment {
    let (service, zone) = (SERVICE.to_owned(), "a".to_owned());
    let criteria = Criteria {
        service: &service,
        prefix,
        cost: 50.0,
        tokens: 1_000.0,
        subset: None,
        hosts,
        excluded: &[],
        zone: &zone,
    };
    let assignment = balancer.choose(now, &criteria, 16);
    assignment.expect("an endpoint is free")
}

const USUAL: Sample = Sample {
    first: Duration::from_millis(100),
    prompt_tokens: 1_500.0,
    rest: Duration::from_millis(180),
    events: 6,
};

/// Lets a host observe a response, so that it tells of the service.
fn observe(balancer: &mut Balancer, now: Instant, hosts: usize) {
    let assignment = choose(balancer, now, None, hosts);
    balancer.observe(now, &assignment, &USUAL);
    balancer.finish(now, &assignment, Outcome::Answered);
}

/// Plays hosts that each send `each` requests that last, one in turn after the other, with a heartbeat
/// between them if they share. Returns the variance of the requests at an endpoint relative to their mean,
/// which is 1 if each host chooses at random.
fn play(hosts: usize, endpoints: usize, each: usize, is_shared: bool) -> f64 {
    let start = Instant::now();
    let mut pool = Pool::default();
    let mut fleet: Vec<Balancer> = (0..hosts).map(|_| balancer(endpoints, |_| false)).collect();
    for host in &mut fleet {
        observe(host, start, hosts);
    }
    let mut counts: HashMap<String, u32> = HashMap::new();
    for round in 0..each {
        let now = start + Duration::from_millis(800) * u32::try_from(round).expect("a round");
        for (n, host) in fleet.iter_mut().enumerate() {
            if is_shared {
                let part = host.take_news(now);
                pool.record(now, &format!("host-{n}"), part.clone());
                host.learn(now, &pool.totals(now), &part);
            }
            let assignment = choose(host, now, None, hosts);
            *counts.entry(assignment.endpoint.id.clone()).or_default() += 1;
        }
    }
    let mean = (hosts * each) as f64 / endpoints as f64;
    let squares = counts.values().map(|count| f64::from(*count).powi(2));
    (squares.sum::<f64>() / endpoints as f64 - mean * mean) / mean
}

/// Load: 33, 60 and 300 hosts with a few requests each and news that is a heartbeat old. Each knows only
/// a small part of the load.
#[rstest]
#[case(33, 30)]
#[case(60, 60)]
#[case(300, 100)]
fn hosts_that_share_spread_their_requests(#[case] hosts: usize, #[case] endpoints: usize) {
    const PLAYS: u32 = 8;
    let variance = |is_shared| {
        let plays = (0..PLAYS).map(|_| play(hosts, endpoints, 4, is_shared));
        plays.sum::<f64>() / f64::from(PLAYS)
    };
    let (alone, shared) = (variance(false), variance(true));
    println!("{hosts} hosts: variance {shared:.2} with news, {alone:.2} without");
    assert!(shared < alone * 0.75, "{shared} {alone}");
}

/// Load: a few requests of one prompt at one of 33 hosts while the others leave the endpoint that holds it nearly
/// idle. Guards against bounding the prompt by this host's small part alone: the prompt is read again elsewhere.
#[test]
fn requests_of_a_prompt_stay_together_while_others_leave_room() {
    let now = Instant::now();
    let mut host = balancer(12, |_| false);
    observe(&mut host, now, 33);
    let home = choose(&mut host, now, Some(7), 33);
    let light = Figure {
        running: 1.0,
        work: 50.0,
        tokens: 3_000.0,
        ..Figure::default()
    };
    let totals = News::from([(share::tag(&home.endpoint.id), light)]);
    host.learn(now, &totals, &News::new());
    for _ in 0..3 {
        let next = choose(&mut host, now, Some(7), 33);
        assert_eq!(next.endpoint.id, home.endpoint.id);
    }
}

/// Load: other hosts run a quarter of the slots of the endpoint that holds a prompt, at an engine with many. Guards
/// against a bound that fits engines with few slots: shared parts were read again half as often again on such engines.
#[test]
fn a_prompt_stays_where_others_take_a_quarter_of_the_slots() {
    let now = Instant::now();
    let mut host = balancer(12, |_| false);
    for n in 0..12 {
        let large = Endpoint {
            slots: 64,
            ..endpoint(n, false)
        };
        host.apply(&Change::Joined(Rc::new(large)));
    }
    observe(&mut host, now, 33);
    let home = choose(&mut host, now, Some(7), 33);
    let quarter = Figure {
        running: 16.0,
        work: 1_500.0,
        tokens: 100_000.0,
        ..Figure::default()
    };
    let totals = News::from([(share::tag(&home.endpoint.id), quarter)]);
    host.learn(now, &totals, &News::new());
    let next = choose(&mut host, now, Some(7), 33);
    assert_eq!(next.endpoint.id, home.endpoint.id);
}

/// Load: other hosts fill the endpoint that holds a prompt. The prompt goes elsewhere, and returns when they
/// are done or nothing is heard of them any more.
#[test]
fn a_prompt_leaves_an_endpoint_that_others_fill() {
    let now = Instant::now();
    let mut host = balancer(12, |_| false);
    observe(&mut host, now, 33);
    let home = choose(&mut host, now, Some(7), 33);
    host.finish(now, &home, Outcome::Answered);
    let full = Figure {
        running: 16.0,
        work: 1_500.0,
        tokens: 100_000.0,
        ..Figure::default()
    };
    let totals = News::from([(share::tag(&home.endpoint.id), full)]);
    host.learn(now, &totals, &News::new());
    let other = choose(&mut host, now, Some(7), 33);
    assert_ne!(other.endpoint.id, home.endpoint.id);
    host.finish(now, &other, Outcome::Answered);
    let later = now + Duration::from_secs(4);
    let back = choose(&mut host, later, Some(7), 33);
    assert_eq!(back.endpoint.id, home.endpoint.id);
}

/// Failure: the reader is lost. Its news counts for less each second, and then not at all.
#[test]
fn a_host_that_hears_nobody_falls_back_to_its_own_requests() {
    let now = Instant::now();
    let mut host = balancer(3, |_| false);
    observe(&mut host, now, 9);
    let busy = Figure {
        running: 10.0,
        work: 900.0,
        ..Figure::default()
    };
    let totals: News = (0..2)
        .map(|n| (share::tag(&format!("e{n:02}")), busy))
        .collect();
    host.learn(now, &totals, &News::new());
    let first = choose(&mut host, now, None, 9);
    assert_eq!(first.endpoint.id, "e02");
    let later = now + Duration::from_secs(4);
    for _ in 0..2 {
        let next = choose(&mut host, later, None, 9);
        assert_ne!(next.endpoint.id, "e02");
    }
}

/// Failure: a host stops telling, and one restarts: their requests in flight are no longer counted.
#[test]
fn what_a_host_told_expires() {
    let now = Instant::now();
    let figure = Figure {
        running: 4.0,
        work: 200.0,
        responses: 40.0,
        slowness: 20.0,
        ..Figure::default()
    };
    let news = News::from([(7, figure)]);
    let mut pool = Pool::default();
    pool.record(now, "host-1", news.clone());
    pool.record_zone(now, "host-2", news);
    assert_eq!(pool.totals(now)[&7].running, 8.0);
    let later = now + Duration::from_secs(3);
    let totals = pool.totals(later);
    assert_eq!(totals[&7].running, 4.0, "the other zone writes less often");
    let later = now + Duration::from_secs(60);
    assert!(pool.totals(later).values().all(|sum| sum.running == 0.0));
}

/// Load: 180 endpoints that are all busy, of which a receipt tells 80. Those that it leaves out draw no
/// requests.
#[test]
fn endpoints_without_news_do_not_look_idle() {
    let now = Instant::now();
    let mut host = balancer(180, |_| false);
    observe(&mut host, now, 300);
    let busy = Figure {
        running: 8.0,
        work: 700.0,
        ..Figure::default()
    };
    let all: News = (0..180)
        .map(|n| (share::tag(&format!("e{n:02}")), busy))
        .collect();
    let told = share::select(all, MAX_TOTALS);
    host.learn(now, &told, &News::new());
    let untold = (0..400).filter(|_| {
        let assignment = choose(&mut host, now, None, 300);
        let is_told = told.contains_key(&share::tag(&assignment.endpoint.id));
        host.finish(now, &assignment, Outcome::Answered);
        !is_told
    });
    // A share of 100 in 180 would be 222.
    let untold = untold.count();
    assert!((150..290).contains(&untold), "{untold} of 400");
}

/// Failure: a heartbeat reaches nobody. Its responses are told with the next one.
#[test]
fn responses_that_reached_nobody_are_told_again() {
    let now = Instant::now();
    let mut host = balancer(3, |_| false);
    observe(&mut host, now, 9);
    let lost = host.take_news(now);
    assert_eq!(host.take_news(now), News::new());
    host.restore(&lost);
    assert_eq!(host.take_news(now), lost);
}

/// Load: a zone of 63 hosts asks for the sums with each heartbeat; they are added up four times a second and
/// still hold the part that was told last.
#[test]
fn sums_hold_the_part_that_was_told_last() {
    let now = Instant::now();
    let mut pool = Pool::default();
    let part = |running: f64| {
        let figure = Figure {
            running,
            ..Figure::default()
        };
        News::from([(1, figure)])
    };
    for n in 0..63 {
        pool.record(now, &format!("host-{n}"), part(1.0));
        assert_eq!(pool.totals(now)[&1].running, f64::from(n + 1));
    }
    pool.record(now, "host-0", part(5.0));
    assert_eq!(pool.totals(now)[&1].running, 67.0);
    let later = now + Duration::from_secs(1);
    assert_eq!(pool.totals(later)[&1].running, 67.0);
}

/// Load: 380 hosts and 600 endpoints. A host's messages stay below 2 KB a second.
#[test]
fn messages_stay_small() {
    let busy = |count: u32| -> News {
        let figure = Figure {
            running: 3.0,
            work: 300.0,
            tokens: 30_000.0,
            responses: 12.0,
            slowness: -1.0,
        };
        (0..count).map(|tag| (tag, figure)).collect()
    };
    let bytes = |news: &News| serde_json::to_string(&Digest::from(news)).map(|text| text.len());
    let part = bytes(&share::select(busy(600), MAX_PART)).expect("a digest");
    let totals = bytes(&share::select(busy(600), MAX_TOTALS)).expect("a digest");
    let per_second = (part + totals) as f64 / 0.8;
    assert!(per_second < 2_000.0, "{per_second}");
}

/// The busiest endpoints are always told, the others from time to time.
#[test]
fn the_busiest_endpoints_are_told_first() {
    let figure = |running: u32| Figure {
        running: f64::from(running),
        ..Figure::default()
    };
    let news: News = (0..200).map(|n| (n, figure(n))).collect();
    let mut told = std::collections::HashSet::new();
    for _ in 0..200 {
        let some = share::select(news.clone(), 20);
        assert_eq!(some.len(), 20);
        assert!((190..200).all(|tag| some.contains_key(&tag)));
        told.extend(some.into_keys());
    }
    assert_eq!(told.len(), 200);
}

#[test]
fn a_digest_keeps_what_matters() {
    let figure = Figure {
        running: 5.0,
        work: 410.0,
        tokens: 46_000.0,
        responses: 12.0,
        slowness: 3.0,
    };
    let news = News::from([(0xfedc_ba98, figure), (3, Figure::default())]);
    let told = News::try_from(&Digest::from(&news)).expect("a digest");
    assert_eq!(told[&3], Figure::default());
    let told = told[&0xfedc_ba98];
    assert_eq!((told.running, told.responses), (5.0, 12.0));
    assert!((told.work - figure.work).abs() < 10.0, "{told:?}");
    assert!((told.tokens - figure.tokens).abs() < 1_000.0, "{told:?}");
    assert!((told.slowness - figure.slowness).abs() < 0.2, "{told:?}");
}

/// Failure: a host tells nonsense. Values that can't be true end in the range of what can; unknown
/// endpoints are ignored.
#[test]
fn nonsense_is_bounded_or_refused() {
    let wild = Figure {
        running: f64::INFINITY,
        work: -1.0,
        tokens: f64::NAN,
        responses: -3.0,
        slowness: f64::NAN,
    };
    let told = News::try_from(&Digest::from(&News::from([(1, wild)]))).expect("a digest");
    let figure = told[&1];
    assert_eq!((figure.running, figure.work), (255.0, 0.0));
    assert_eq!((figure.tokens, figure.responses), (0.0, 0.0));
    assert!(figure.slowness == 0.0);
    let now = Instant::now();
    let mut host = balancer(3, |_| false);
    host.learn(now, &told, &News::new());
    let malformed = |text: &str| {
        let digest: Digest = serde_json::from_str(text).expect("a text");
        News::try_from(&digest)
    };
    assert_eq!(malformed("\"!\""), Err(Malformed::Encoding));
    assert_eq!(malformed("\"AAAA\""), Err(Malformed::Length(3)));
    let long = format!("\"{}\"", "A".repeat(12 * 1_000));
    assert_eq!(malformed(&long), Err(Malformed::Length(9_000)));
}

/// Load: an endpoint is slow, which each host sees only once in a while. Together they find out.
#[test]
fn hosts_find_a_slow_endpoint_together() {
    let start = Instant::now();
    let mut pool = Pool::default();
    let mut fleet: Vec<Balancer> = (0..33).map(|_| balancer(30, |_| false)).collect();
    let slow = Sample {
        first: USUAL.first * 2,
        rest: USUAL.rest * 2,
        ..USUAL
    };
    let mut alone = 1.0_f64;
    for round in 0..5_u32 {
        let now = start + Duration::from_millis(800) * round;
        for (n, host) in fleet.iter_mut().enumerate() {
            for _ in 0..12 {
                let assignment = choose(host, now, None, 33);
                let sample = match assignment.endpoint.id.as_str() {
                    "e03" => slow,
                    _ => USUAL,
                };
                host.observe(now, &assignment, &sample);
                host.finish(now, &assignment, Outcome::Answered);
            }
            if round == 0 {
                alone = alone.min(host.load("e03").map(|load| load.speed(now)).unwrap_or(1.0));
            }
            let part = host.take_news(now);
            pool.record(now, &format!("host-{n}"), part.clone());
            host.learn(now, &pool.totals(now), &part);
        }
    }
    let now = start + Duration::from_millis(3_300);
    let speed = fleet[0]
        .load("e03")
        .map(|load| load.speed(now))
        .expect("it is listed");
    assert!(speed < 0.8 && speed < alone, "{speed} {alone}");
}
