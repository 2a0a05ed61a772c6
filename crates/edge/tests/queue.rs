//! Order of requests that wait for an endpoint.

use std::rc::Rc;
use std::time::Duration;

use agate_edge::queue::{Queue, Waiter};
use tokio::time::timeout;

async fn is_woken(waiter: &Waiter) -> bool {
    timeout(Duration::from_millis(1), waiter.woken())
        .await
        .is_ok()
}

// Guards against: a request that waits for another endpoint than the one that it has tried keeps the others from
// that one, and they are refused while it is free.
#[actix_rt::test]
async fn a_request_that_excludes_endpoints_does_not_hold_up_others() {
    tokio::time::pause();
    let queue = Rc::new(Queue::default());
    let choosy = queue.push(1, true);
    assert!(!queue.must_wait(1));
    let first = queue.push(1, false);
    let second = queue.push(1, false);
    assert!(queue.must_wait(1));
    queue.wake_first();
    assert!(is_woken(&choosy).await);
    assert!(is_woken(&first).await);
    assert!(!is_woken(&second).await);
}

#[actix_rt::test]
async fn requests_wait_behind_those_of_their_tier_and_of_more_urgent_ones() {
    tokio::time::pause();
    let queue = Rc::new(Queue::default());
    let later = queue.push(2, false);
    assert!(queue.must_wait(2) && queue.must_wait(3) && !queue.must_wait(1));
    let urgent = queue.push(0, false);
    assert!(queue.must_wait(1));
    queue.wake_first();
    assert!(is_woken(&urgent).await);
    assert!(!is_woken(&later).await);
    drop(urgent);
    assert!(is_woken(&later).await);
}
