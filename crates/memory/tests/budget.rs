//! Who yields when a process is short.

use std::rc::Rc;
use std::time::Duration;

use agate_memory::{Budget, Purpose, Share, Shortage, Size, Standing};
use rstest::rstest;
use tokio::task::yield_now;
use tokio::time::Instant;

const SIZE: Size = Size {
    bytes: 300,
    connections: 3,
};

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

/// Returns a share in this standing that holds bytes of a body since `at`.
async fn holder(budget: &Rc<Budget>, standing: Standing, bytes: usize, at: Instant) -> Share {
    let share = budget.admit(at).expect("a connection is free");
    share.set(standing, at);
    share.take(Purpose::Bodies, bytes, at).await.expect("room");
    share
}

// Load: bodies that are begun and not ended fill the budget, then another caller sends a whole one.
#[actix_rt::test]
async fn the_slowest_unfinished_body_yields_to_a_new_one() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let slow = holder(&budget, Standing::Reading, 100, start).await;
    let fast = holder(&budget, Standing::Reading, 100, after(start, 9)).await;
    let new = holder(&budget, Standing::Reading, 0, after(start, 10)).await;
    let take = new.take(Purpose::Bodies, 50, after(start, 10));
    let yielding = async {
        slow.asked().await;
        slow.close();
    };
    let (taken, ()) = tokio::join!(take, yielding);
    assert_eq!(taken, Ok(()));
    assert!(!fast.yields());
    assert_eq!(budget.held(Purpose::Bodies), 150);
}

// Load: the budget is held by requests that may have been sent.
#[actix_rt::test]
async fn a_request_that_may_have_been_sent_never_yields() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let running = holder(&budget, Standing::Running, 200, start).await;
    let new = holder(&budget, Standing::Reading, 0, after(start, 100)).await;
    let taken = new.take(Purpose::Bodies, 1, after(start, 100)).await;
    assert_eq!(taken, Err(Shortage));
    assert!(!running.yields());
    assert_eq!(budget.counts().refused_bytes, 1);
}

// Load: one caller holds almost everything and sends on, beside small bodies.
#[actix_rt::test]
async fn the_largest_slowest_taker_is_refused_itself() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let small = holder(&budget, Standing::Reading, 10, after(start, 1)).await;
    let large = holder(&budget, Standing::Reading, 190, start).await;
    let taken = large.take(Purpose::Bodies, 1, after(start, 2)).await;
    assert_eq!(taken, Err(Shortage));
    assert!(!small.yields());
}

// Load: bodies fill the part of requests while responses come.
#[actix_rt::test]
async fn requests_leave_a_third_to_responses() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let running = holder(&budget, Standing::Running, 200, start).await;
    running.wait(Purpose::Responses, 100, start).await;
    assert_eq!(budget.held(Purpose::Responses), 100);
}

// Load: responses fill the budget, and their callers read them one after the other.
#[actix_rt::test]
async fn a_response_waits_until_another_is_read() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let first = holder(&budget, Standing::Running, 0, start).await;
    first.wait(Purpose::Responses, 300, start).await;
    let second = holder(&budget, Standing::Running, 0, start).await;
    let reading = async {
        yield_now().await;
        first.give(Purpose::Responses, 300);
    };
    tokio::join!(second.wait(Purpose::Responses, 300, start), reading);
    assert_eq!(budget.held(Purpose::Responses), 300);
}

// Load: as many connections as the process may have, of which one has sent nothing.
#[rstest]
#[case::idle_before_reading(Standing::Idle, 0, Standing::Reading, 100)]
#[case::reading_before_running(Standing::Reading, 0, Standing::Running, 100)]
#[actix_rt::test]
async fn a_connection_yields_to_a_new_one(
    #[case] first: Standing,
    #[case] first_age: u64,
    #[case] second: Standing,
    #[case] second_age: u64,
) {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let now = after(start, 100);
    let yielding = holder(&budget, first, 0, after(start, 100 - first_age)).await;
    let staying = [
        holder(&budget, second, 10, after(start, 100 - second_age)).await,
        holder(&budget, second, 10, after(start, 100 - second_age)).await,
    ];
    let new = budget.admit(now);
    assert!(new.is_some() && yielding.yields());
    assert!(staying.iter().all(|share| !share.yields()));
}

// Load: more connections than the process may have, all with requests that run.
#[actix_rt::test]
async fn a_connection_is_refused_when_none_yields() {
    let (budget, start) = (Budget::new(SIZE), Instant::now());
    let mut running = Vec::new();
    for _ in 0..SIZE.connections {
        running.push(holder(&budget, Standing::Running, 0, start).await);
    }
    assert!(budget.admit(start).is_none());
    running.pop();
    assert!(budget.admit(start).is_some());
}

// A host of the smallest class serves the largest body and its response at once.
#[test]
fn the_smallest_machine_has_room_for_a_request_within_the_limits() {
    let size = Size::of_machine(88 << 20, 4096);
    assert!(size.bytes / 3 * 2 > 2 * (4 << 20), "{size:?}");
    assert!(size.connections > 2_000, "{size:?}");
}
