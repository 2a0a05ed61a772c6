//! Choice of endpoints in fixed situations: prefix affinity, ejection, shares and tiers.

mod common;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use agate_model::endpoint::{Kind, Protocol};
use agate_pick::tuning::Sharing;
use agate_pick::{Latency, Outcome, Picker, Report, Tuning};
use common::{Request, endpoint};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Returns a picker with `count` standard endpoints.
fn picker(now: Instant, count: usize) -> Picker {
    let mut picker = Picker::default();
    for n in 0..count {
        picker.upsert(now, &endpoint(n, Kind::Standard));
    }
    picker
}

/// Runs one request to its end and returns the name of its endpoint. The response takes
/// `response_ms` of that name, in milliseconds.
fn run(
    picker: &mut Picker,
    now: Instant,
    request: &Request,
    rng: &mut ChaCha8Rng,
    response_ms: impl Fn(&str) -> u64,
) -> String {
    let choice = picker
        .choose(now, &request.criteria(), rng)
        .expect("an endpoint has a free slot");
    let in_flight = picker.start(now, choice.key);
    let total = Duration::from_millis(response_ms(&choice.id));
    picker.finish(
        now + total,
        in_flight,
        Outcome::Success(Latency { total, tokens: 100 }),
    );
    choice.id
}

#[test]
fn reports_do_not_count_own_requests_twice() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picker = picker(start, 2);
    let mut request = Request::new();
    request.excluded = vec!["e1".to_owned()];
    for _ in 0..2 {
        let choice = picker
            .choose(now, &request.criteria(), &mut rng)
            .expect("e0 has a free slot");
        let _ = picker.start(now, choice.key);
    }
    request.excluded.clear();
    let later = now + Duration::from_secs(2);
    let age = Duration::from_secs(1);
    let own_report = Report {
        running: 2,
        queued: 0,
        age,
    };
    let remote_report = Report {
        running: 3,
        queued: 0,
        age,
    };
    picker.report(later, &"e0".to_owned(), &own_report);
    picker.report(later, &"e1".to_owned(), &remote_report);
    for _ in 0..20 {
        let choice = picker
            .choose(later, &request.criteria(), &mut rng)
            .expect("both endpoints have free slots");
        assert_eq!(
            choice.id, "e0",
            "e0 has two requests of this host, e1 has three of others"
        );
    }
}

#[test]
fn all_hosts_choose_the_same_endpoint_for_a_prompt_prefix() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut hosts = [picker(start, 9), picker(start, 9)];
    let mut chosen_for_any = HashSet::new();
    for prompt in 0..50u64 {
        let mut request = Request::new();
        request.prefix = vec![prompt];
        let mut chosen = HashSet::new();
        for host in &mut hosts {
            for _ in 0..3 {
                chosen.insert(run(host, now, &request, &mut rng, |_| 100));
            }
        }
        assert_eq!(chosen.len(), 1, "{chosen:?}");
        chosen_for_any.extend(chosen);
    }
    assert!(chosen_for_any.len() >= 7, "{chosen_for_any:?}");
}

#[test]
fn requests_with_a_popular_prefix_do_not_overload_one_endpoint() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut picker = picker(start, 9);
    let mut request = Request::new();
    request.prefix = vec![7, 8];
    let mut counts = std::collections::HashMap::new();
    for _ in 0..27 {
        let choice = picker
            .choose(now, &request.criteria(), &mut rng)
            .expect("an endpoint has a free slot");
        let _ = picker.start(now, choice.key);
        *counts.entry(choice.id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|&count| count <= 5), "{counts:?}");
}

#[test]
fn a_slow_endpoint_gets_fewer_requests_with_each_ejection() {
    let start = Instant::now();
    let mut now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut picker = picker(start, 5);
    let request = Request::new();
    let mut counts = [0u32; 2];
    for step in 0..4000u32 {
        now += Duration::from_millis(100);
        let id = run(&mut picker, now, &request, &mut rng, |id| {
            if id == "e0" { 1000 } else { 100 }
        });
        counts[usize::from(step >= 2000)] += u32::from(id == "e0");
    }
    assert!(counts[0] < 2000 / 5 / 4, "{counts:?}");
    assert!(counts[1] < counts[0], "{counts:?}");
}

#[test]
fn ejection_leaves_half_of_the_pool_in_use() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut picker = picker(start, 6);
    let request = Request::new();
    for _ in 0..200 {
        let choice = picker
            .choose(now, &request.criteria(), &mut rng)
            .expect("half of the endpoints stay in use");
        let in_flight = picker.start(now, choice.key);
        picker.finish(now, in_flight, Outcome::Failure);
    }
    assert_eq!(picker.ejected(), 3);
}

#[rstest]
#[case(Sharing::Whole, 7)]
#[case(Sharing::Equal { factor: 1.0 }, 1)]
#[case(Sharing::Equal { factor: 2.0 }, 2)]
#[case(Sharing::Adaptive { growth: 0.5, kept: 0.3 }, 1)]
fn a_host_uses_at_most_its_share_of_the_slots(#[case] sharing: Sharing, #[case] expected: u32) {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut picker = Picker::new(Tuning {
        sharing,
        ..Tuning::default()
    });
    let key = picker.upsert(start, &endpoint(0, Kind::Standard));
    picker.set_live_hosts(8);
    let request = Request::new();
    while let Some(choice) = picker.choose(now, &request.criteria(), &mut rng) {
        let _ = picker.start(now, choice.key);
    }
    assert_eq!(picker.in_flight(key), expected);
    let room = picker.room(now, &request.pools);
    assert!(
        room.standard.is_some_and(|lowest| lowest < request.tier),
        "{room:?}"
    );
    assert_eq!(room.reclaimable, None);
}

#[test]
fn reclaimable_endpoints_are_preferred_for_requests_that_may_run_on_them() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut picker = picker(start, 3);
    for n in 3..6 {
        picker.upsert(start, &endpoint(n, Kind::Reclaimable));
    }
    let mut request = Request::new();
    request.reclaimable = true;
    let is_reclaimable = |id: &str| ["e3", "e4", "e5"].contains(&id);
    for _ in 0..50 {
        let id = run(&mut picker, now, &request, &mut rng, |_| 100);
        assert!(is_reclaimable(&id), "{id}");
    }
    request.reclaimable = false;
    for _ in 0..50 {
        let id = run(&mut picker, now, &request, &mut rng, |_| 100);
        assert!(!is_reclaimable(&id), "{id}");
    }
}

#[rstest]
#[case(Protocol::Engine, true)]
#[case(Protocol::Plain, false)]
fn only_endpoints_with_priorities_get_more_requests_than_slots(
    #[case] protocol: Protocol,
    #[case] exceeds_slots: bool,
) {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picker = Picker::default();
    let mut only = endpoint(0, Kind::Standard);
    only.protocol = protocol;
    picker.upsert(now, &only);
    let mut request = Request::new();
    request.tier = 0;
    let mut started = 0;
    while let Some(choice) = picker.choose(now, &request.criteria(), &mut rng) {
        let _ = picker.start(now, choice.key);
        started += 1;
    }
    assert_eq!(started > only.slots, exceeds_slots);
    assert!(started >= only.slots);
}

#[test]
fn a_readmitted_endpoint_gets_one_request_at_a_time_until_three_succeed() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut picker = picker(start, 2);
    let mut request = Request::new();
    request.excluded = vec!["e1".to_owned()];
    for _ in 0..Tuning::default().eject_failures {
        let choice = picker
            .choose(now, &request.criteria(), &mut rng)
            .expect("e0 is in use");
        let in_flight = picker.start(now, choice.key);
        picker.finish(now, in_flight, Outcome::Failure);
    }
    assert!(
        picker.choose(now, &request.criteria(), &mut rng).is_none(),
        "e0 is ejected"
    );
    let later = now + Tuning::default().eject_base;
    for _ in 0..3 {
        let choice = picker
            .choose(later, &request.criteria(), &mut rng)
            .expect("e0 is on probation");
        let in_flight = picker.start(later, choice.key);
        assert!(
            picker
                .choose(later, &request.criteria(), &mut rng)
                .is_none()
        );
        let total = Duration::from_millis(100);
        picker.finish(
            later,
            in_flight,
            Outcome::Success(Latency { total, tokens: 100 }),
        );
    }
    let choice = picker
        .choose(later, &request.criteria(), &mut rng)
        .expect("the probation of e0 has ended");
    let _ = picker.start(later, choice.key);
    assert!(
        picker
            .choose(later, &request.criteria(), &mut rng)
            .is_some()
    );
}
