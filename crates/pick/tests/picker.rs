//! Cases of the choice.

mod common;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use agate_model::endpoint::{Kind, Protocol};
use agate_pick::tuning::Sharing;
use agate_pick::{Latency, Outcome, Picker, Report, Tuning};
use common::{Asked, endpoint};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn picker(now: Instant, count: usize) -> Picker {
    let mut picker = Picker::default();
    for n in 0..count {
        picker.upsert(now, &endpoint(n, Kind::Standard));
    }
    picker
}

/// Runs one request that takes `ms` in all and returns the endpoint's name.
fn run(
    picker: &mut Picker,
    now: Instant,
    asked: &Asked,
    rng: &mut ChaCha8Rng,
    ms: impl Fn(&str) -> u64,
) -> String {
    let choice = picker
        .choose(now, &asked.wish(), rng)
        .expect("an endpoint is free");
    let flight = picker.start(now, choice.key);
    let total = Duration::from_millis(ms(&choice.id));
    picker.finish(
        now + total,
        flight,
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
    let mut asked = Asked::new();
    asked.excluded = vec!["e1".to_owned()];
    for _ in 0..2 {
        let choice = picker
            .choose(now, &asked.wish(), &mut rng)
            .expect("e0 is free");
        let _ = picker.start(now, choice.key);
    }
    asked.excluded.clear();
    let later = now + Duration::from_secs(2);
    let age = Duration::from_secs(1);
    let mine = Report {
        running: 2,
        queued: 0,
        age,
    };
    let theirs = Report {
        running: 3,
        queued: 0,
        age,
    };
    picker.report(later, &"e0".to_owned(), &mine);
    picker.report(later, &"e1".to_owned(), &theirs);
    for _ in 0..20 {
        let choice = picker
            .choose(later, &asked.wish(), &mut rng)
            .expect("both are free");
        assert_eq!(choice.id, "e0", "two own requests against three of others");
    }
}

#[test]
fn a_prompt_goes_where_its_prefix_is_and_all_hosts_agree() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut hosts = [picker(start, 9), picker(start, 9)];
    let mut used = HashSet::new();
    for prompt in 0..50u64 {
        let mut asked = Asked::new();
        asked.prefix = vec![prompt];
        let mut chosen = HashSet::new();
        for host in &mut hosts {
            for _ in 0..3 {
                chosen.insert(run(host, now, &asked, &mut rng, |_| 100));
            }
        }
        assert_eq!(chosen.len(), 1, "{chosen:?}");
        used.extend(chosen);
    }
    assert!(used.len() >= 7, "{used:?}");
}

#[test]
fn a_popular_prefix_does_not_overload_its_endpoint() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut picker = picker(start, 9);
    let mut asked = Asked::new();
    asked.prefix = vec![7, 8];
    let mut counts = std::collections::HashMap::new();
    for _ in 0..27 {
        let choice = picker
            .choose(now, &asked.wish(), &mut rng)
            .expect("an endpoint is free");
        let _ = picker.start(now, choice.key);
        *counts.entry(choice.id).or_insert(0) += 1;
    }
    assert!(counts.values().all(|&count| count <= 5), "{counts:?}");
}

#[test]
fn a_slow_endpoint_is_ejected_and_readmitted_for_ever_shorter_shares() {
    let start = Instant::now();
    let mut now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut picker = picker(start, 5);
    let asked = Asked::new();
    let mut counts = [0u32; 2];
    for step in 0..4000u32 {
        now += Duration::from_millis(100);
        let id = run(&mut picker, now, &asked, &mut rng, |id| {
            if id == "e0" { 1000 } else { 100 }
        });
        counts[usize::from(step >= 2000)] += u32::from(id == "e0");
    }
    assert!(counts[0] < 2000 / 5 / 4, "{counts:?}");
    assert!(counts[1] < counts[0], "{counts:?}");
}

#[test]
fn ejection_keeps_half_of_the_pool() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut picker = picker(start, 6);
    let asked = Asked::new();
    for _ in 0..200 {
        let choice = picker
            .choose(now, &asked.wish(), &mut rng)
            .expect("some endpoint is kept");
        let flight = picker.start(now, choice.key);
        picker.finish(now, flight, Outcome::Failure);
    }
    assert_eq!(picker.ejected(), 3);
}

#[rstest]
#[case(Sharing::Whole, 7)]
#[case(Sharing::Equal { factor: 1.0 }, 1)]
#[case(Sharing::Equal { factor: 2.0 }, 2)]
#[case(Sharing::Adaptive { growth: 0.5, kept: 0.3 }, 1)]
fn a_host_uses_its_share_of_the_slots(#[case] sharing: Sharing, #[case] most: u32) {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut picker = Picker::new(Tuning {
        sharing,
        ..Tuning::default()
    });
    let key = picker.upsert(start, &endpoint(0, Kind::Standard));
    picker.set_live_hosts(8);
    let asked = Asked::new();
    while let Some(choice) = picker.choose(now, &asked.wish(), &mut rng) {
        let _ = picker.start(now, choice.key);
    }
    assert_eq!(picker.in_flight(key), most);
    let room = picker.room(now, &asked.pools);
    assert!(
        room.standard.is_some_and(|lowest| lowest < asked.tier),
        "{room:?}"
    );
    assert_eq!(room.reclaimable, None);
}

#[test]
fn reclaimable_endpoints_go_first_for_work_that_may_be_restarted() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut picker = picker(start, 3);
    for n in 3..6 {
        picker.upsert(start, &endpoint(n, Kind::Reclaimable));
    }
    let mut asked = Asked::new();
    asked.reclaimable = true;
    let cheap = |id: &str| ["e3", "e4", "e5"].contains(&id);
    for _ in 0..50 {
        let id = run(&mut picker, now, &asked, &mut rng, |_| 100);
        assert!(cheap(&id), "{id}");
    }
    asked.reclaimable = false;
    for _ in 0..50 {
        let id = run(&mut picker, now, &asked, &mut rng, |_| 100);
        assert!(!cheap(&id), "{id}");
    }
}

#[rstest]
#[case(Protocol::Engine, true)]
#[case(Protocol::Plain, false)]
fn only_endpoints_with_priorities_are_filled_beyond_their_slots(
    #[case] protocol: Protocol,
    #[case] is_beyond: bool,
) {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picker = Picker::default();
    let mut only = endpoint(0, Kind::Standard);
    only.protocol = protocol;
    picker.upsert(now, &only);
    let mut asked = Asked::new();
    asked.tier = 0;
    let mut started = 0;
    while let Some(choice) = picker.choose(now, &asked.wish(), &mut rng) {
        let _ = picker.start(now, choice.key);
        started += 1;
    }
    assert_eq!(started > only.slots, is_beyond);
    assert!(started >= only.slots);
}

#[test]
fn a_readmitted_endpoint_takes_one_request_at_a_time_until_it_is_proven() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut picker = picker(start, 2);
    let mut asked = Asked::new();
    asked.excluded = vec!["e1".to_owned()];
    for _ in 0..Tuning::default().eject_failures {
        let choice = picker
            .choose(now, &asked.wish(), &mut rng)
            .expect("e0 is in use");
        let flight = picker.start(now, choice.key);
        picker.finish(now, flight, Outcome::Failure);
    }
    assert!(
        picker.choose(now, &asked.wish(), &mut rng).is_none(),
        "e0 is ejected"
    );
    let later = now + Tuning::default().eject_base;
    for _ in 0..3 {
        let choice = picker
            .choose(later, &asked.wish(), &mut rng)
            .expect("e0 is tried");
        let flight = picker.start(later, choice.key);
        assert!(picker.choose(later, &asked.wish(), &mut rng).is_none());
        let total = Duration::from_millis(100);
        picker.finish(
            later,
            flight,
            Outcome::Success(Latency { total, tokens: 100 }),
        );
    }
    let choice = picker
        .choose(later, &asked.wish(), &mut rng)
        .expect("e0 is proven");
    let _ = picker.start(later, choice.key);
    assert!(picker.choose(later, &asked.wish(), &mut rng).is_some());
}
