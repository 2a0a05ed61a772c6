//! Order of requests that wait for an endpoint, by the load that it answers.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::queue::{Crowded, Demand, Queue, Space, Turn, Waiter};
use agate_edge::refusal::busy_retry_after;
use agate_edge::room::share;
use rstest::rstest;
use tokio::time::{Instant, timeout};

/// Interval at which the tests free slots.
const STEP: Duration = Duration::from_millis(10);

fn demand(now: Instant, tier: u8, account: &str) -> Demand {
    Demand {
        account: Some(account.to_owned()),
        tier,
        is_urgent: tier == 0,
        target: Duration::from_millis(400),
        arrival: now,
        deadline: now + Duration::from_secs(3),
        tokens: 100,
        bytes: 1_000,
    }
}

fn space(count: usize) -> Space {
    Space {
        any: count,
        urgent: count,
    }
}

/// Requests that were offered in steps while a fixed number of slots became free in each.
#[derive(Default)]
struct Load {
    queue: Rc<Queue>,
    waiting: Vec<(String, Waiter)>,
    /// Waits of started requests, by name.
    waits: BTreeMap<String, Vec<Duration>>,
    /// Number of requests that were refused at once, and that were refused later, by name.
    refused: BTreeMap<String, (usize, usize)>,
}

impl Load {
    fn offer(&mut self, now: Instant, name: &str, demand: Demand) {
        match self.queue.offer(now, demand) {
            Ok(waiter) => self.waiting.push((name.to_owned(), waiter)),
            Err(_) => self.refused.entry(name.to_owned()).or_default().0 += 1,
        }
    }

    fn step(&mut self, now: Instant, slots: usize) {
        self.queue.grant(now, space(slots));
        for (name, waiter) in std::mem::take(&mut self.waiting) {
            match waiter.turn(now) {
                Turn::Granted => {
                    let waited = now - waiter.arrival();
                    let charge = waiter.close();
                    assert!(charge.is_some());
                    self.waits.entry(name).or_default().push(waited);
                }
                Turn::Waiting => self.waiting.push((name, waiter)),
                Turn::Lost(_) => self.refused.entry(name).or_default().1 += 1,
            }
        }
    }

    fn started(&self, name: &str) -> usize {
        self.waits.get(name).map_or(0, Vec::len)
    }

    fn longest(&self, name: &str) -> Duration {
        let waits = self.waits.get(name).into_iter().flatten();
        waits.max().copied().unwrap_or_default()
    }
}

// Guards against: a request that waits for another endpoint than the one that it has tried keeps the others from
// that one, and they are refused while it is free.
#[actix_rt::test]
async fn a_request_that_excludes_endpoints_does_not_hold_up_others() {
    tokio::time::pause();
    let now = Instant::now();
    let queue = Rc::new(Queue::default());
    let retry = queue.push_retry(1);
    let first = queue.offer(now, demand(now, 1, "a")).unwrap();
    let second = queue.offer(now, demand(now, 1, "a")).unwrap();
    queue.grant(now, space(1));
    assert!(timeout(STEP, retry.woken()).await.is_ok());
    assert_eq!(first.turn(now), Turn::Granted);
    assert_eq!(second.turn(now), Turn::Waiting);
}

#[test]
fn requests_wait_behind_those_of_their_tier_and_of_more_urgent_ones() {
    let now = Instant::now();
    let queue = Rc::new(Queue::default());
    let later = queue.offer(now, demand(now, 2, "a")).unwrap();
    let next = queue.offer(now, demand(now, 2, "a")).unwrap();
    let urgent = queue.offer(now, demand(now, 0, "a")).unwrap();
    queue.grant(now, space(1));
    assert_eq!(urgent.turn(now), Turn::Granted);
    assert_eq!(later.turn(now), Turn::Waiting);
    drop(urgent);
    assert_eq!(later.turn(now), Turn::Granted);
    assert_eq!(next.turn(now), Turn::Waiting);
}

// Load: all slots of the share are taken by less urgent requests. Endpoints would run the urgent one first.
#[test]
fn an_urgent_request_does_not_wait_for_the_usual_share() {
    let now = Instant::now();
    let queue = Rc::new(Queue::default());
    let usual = queue.offer(now, demand(now, 1, "a")).unwrap();
    let urgent = queue.offer(now, demand(now, 0, "a")).unwrap();
    let other = queue.offer(now, demand(now, 0, "a")).unwrap();
    queue.grant(now, Space { any: 0, urgent: 1 });
    assert_eq!(urgent.turn(now), Turn::Granted);
    assert_eq!(
        (usual.turn(now), other.turn(now)),
        (Turn::Waiting, Turn::Waiting)
    );
}

#[test]
fn a_turn_without_an_endpoint_goes_back_to_its_place() {
    let now = Instant::now();
    let queue = Rc::new(Queue::default());
    let first = queue.offer(now, demand(now, 1, "a")).unwrap();
    let second = queue.offer(now, demand(now, 1, "a")).unwrap();
    queue.grant(now, space(1));
    assert_eq!(first.turn(now), Turn::Granted);
    first.put_back();
    assert_eq!(first.turn(now), Turn::Waiting);
    queue.grant(now, space(1));
    assert_eq!(
        (first.turn(now), second.turn(now)),
        (Turn::Granted, Turn::Waiting)
    );
}

// Load: one account sends 7.5 times its usual, and all accounts together exceed the slots. In order of arrival all
// accounts wait alike.
#[test]
fn a_surge_of_one_account_delays_that_account_first() {
    let mut load = Load::default();
    let start = Instant::now();
    for step in 0..300 {
        let now = start + STEP * step;
        for account in ["a", "b", "c"] {
            load.offer(now, account, demand(now, 1, account));
        }
        for _ in 0..8 {
            load.offer(now, "surge", demand(now, 1, "surge"));
        }
        load.step(now, 6);
    }
    for account in ["a", "b", "c"] {
        assert_eq!(load.started(account), 300, "{account}");
        assert!(
            load.longest(account) <= STEP * 2,
            "{:?}",
            load.longest(account)
        );
    }
    // What the others leave goes to the surge.
    assert!(load.started("surge") >= 850, "{}", load.started("surge"));
}

// Load: one account alone sends as much as all slots bear. Its share is what the others leave.
#[test]
fn one_account_alone_uses_all_slots() {
    let mut load = Load::default();
    let start = Instant::now();
    for step in 0..100 {
        let now = start + STEP * step;
        for _ in 0..6 {
            load.offer(now, "only", demand(now, 1, "only"));
        }
        load.step(now, 6);
    }
    assert_eq!(load.started("only"), 600);
}

// Load: one kind is asked for 2.7 times as often as usual for 9 s, beside a more urgent kind and a less urgent one.
// In the earlier form every request of the surge was refused after half of its target.
#[test]
fn a_surge_of_one_kind_leaves_the_more_urgent_one_alone_and_starves_no_other() {
    let mut load = Load::default();
    let start = Instant::now();
    for step in 0..900 {
        let now = start + STEP * step;
        load.offer(now, "urgent", demand(now, 0, "a"));
        for _ in 0..8 {
            load.offer(now, "surge", demand(now, 1, "a"));
        }
        load.offer(now, "last", demand(now, 2, "a"));
        load.step(now, 6);
    }
    assert!(load.started("urgent") >= 899);
    assert!(load.longest("urgent") <= STEP * 2);
    assert!(load.started("last") >= 100, "{}", load.started("last"));
    assert!(load.started("surge") >= 4_000, "{}", load.started("surge"));
    // Most of what is refused is refused at once.
    let (at_once, later) = load.refused["surge"];
    assert!(at_once > 4 * later, "{at_once} {later}");
}

// Load: half of the endpoints are gone, so that requests come twice as fast as slots become free.
#[test]
fn what_plainly_comes_too_late_is_refused_at_once() {
    let mut load = Load::default();
    let start = Instant::now();
    for step in 0..1_000 {
        let now = start + STEP * step;
        for _ in 0..6 {
            load.offer(now, "a", demand(now, 1, "a"));
        }
        load.step(now, 3);
    }
    let now = start + STEP * 1_000;
    let expected = load.queue.expected_wait(&demand(now, 1, "a")).unwrap();
    assert!(expected > Duration::from_secs(1), "{expected:?}");
    // A refusal leaves half of the time limit for another try.
    assert!(load.longest("a") <= Duration::from_millis(1_500));
    let (at_once, later) = load.refused["a"];
    assert!(at_once > 4 * later, "{at_once} {later}");
    assert_eq!(load.started("a"), 3_000);
    // Most of those that start do so in time.
    let on_time = load.waits["a"]
        .iter()
        .filter(|wait| **wait <= Duration::from_millis(400));
    assert!(on_time.count() > 2_000);
}

// Load: all callers repeat at once.
#[test]
fn requests_that_wait_are_bounded_in_number_and_bytes() {
    let now = Instant::now();
    let queue = Rc::new(Queue::default());
    let mut waiters = Vec::new();
    let crowded = loop {
        match queue.offer(now, demand(now, 1, "a")) {
            Ok(waiter) => waiters.push(waiter),
            Err(crowded) => break crowded,
        }
    };
    assert_eq!((crowded, waiters.len()), (Crowded::Full, 512));
    // A more urgent one takes the place of the last.
    let urgent = queue.offer(now, demand(now, 0, "a")).unwrap();
    assert_eq!(urgent.turn(now), Turn::Waiting);
    drop(waiters);
    let bytes = 6 << 20;
    let large = || Demand {
        bytes,
        ..demand(now, 1, "a")
    };
    let held: Vec<_> = (0..2).map(|_| queue.offer(now, large()).unwrap()).collect();
    assert_eq!(queue.offer(now, large()).unwrap_err(), Crowded::Full);
    drop(held);
    assert!(queue.offer(now, large()).is_ok());
}

#[test]
fn a_request_that_misses_its_target_waits_on_behind_those_that_can_meet_it() {
    let start = Instant::now();
    let queue = Rc::new(Queue::default());
    let late = queue.offer(start, demand(start, 1, "a")).unwrap();
    let now = start + Duration::from_millis(500);
    assert_eq!(late.turn(now), Turn::Waiting);
    let first = queue.offer(now, demand(now, 1, "a")).unwrap();
    queue.grant(now, space(1));
    assert_eq!(
        (late.turn(now), first.turn(now)),
        (Turn::Waiting, Turn::Granted)
    );
    let end = start + Duration::from_millis(1_500);
    assert_eq!(late.turn(end), Turn::Lost(Crowded::Unreachable));
}

#[rstest]
#[case::equal_shares_with_a_margin(1_440, 33, 131, 197)]
#[case::half_of_the_endpoints_gone(720, 33, 66, 99)]
#[case::fewer_slots_than_hosts(24, 60, 8, 8)]
#[case::no_endpoint(0, 60, 8, 8)]
fn a_host_sends_its_share_of_the_slots(
    #[case] slots: usize,
    #[case] hosts: usize,
    #[case] any: usize,
    #[case] urgent: usize,
) {
    assert_eq!(share(slots, hosts), Space { any, urgent });
}

// Load: all callers are refused at once and come back. Named alike, the time to return brings them back at once.
#[rstest]
#[case::short_queue(0, 0.25, 0.3)]
#[case::as_long_as_the_queue(1_000, 1.0, 1.2)]
#[case::a_queue_that_may_shrink(30_000, 2.0, 2.4)]
fn refused_callers_return_spread_when_the_queue_is_worked_off(
    #[case] wait: u64,
    #[case] first: f64,
    #[case] last: f64,
) {
    let wait = Duration::from_millis(wait);
    let after = |draw: f64| busy_retry_after(wait, draw).as_secs_f64();
    assert!((after(0.0) - first).abs() < 1e-9 && (after(1.0) - last).abs() < 1e-9);
    assert!((after(0.5) - (first + last) / 2.0).abs() < 1e-9);
}

// Guards against: a tier that waits for five seconds before its first start panics, or refuses all requests for good
// (review/7).
#[test]
fn a_tier_that_waited_for_long_before_its_first_start_takes_requests() {
    let mut load = Load::default();
    let start = Instant::now();
    // No endpoint can take anything for ten seconds.
    for step in 0..1_000 {
        let now = start + STEP * step;
        load.offer(now, "before", demand(now, 1, "a"));
        load.step(now, 0);
    }
    assert_eq!(load.started("before"), 0);
    for step in 1_000..2_000 {
        let now = start + STEP * step;
        load.offer(now, "after", demand(now, 1, "a"));
        load.step(now, 1);
    }
    assert!(load.started("after") > 900, "{}", load.started("after"));
}
