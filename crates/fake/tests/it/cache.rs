//! Tests of the prefix cache (eviction, delayed and lost events) and of the weight store.

use std::time::Duration;

use agate_fake::engine::Settings;
use agate_fake::engine::cache::{BLOCK_BYTES, Cache, blocks};
use agate_fake::engine::weights::Store;
use tokio::time::advance;

use crate::client::ANY_PORT;

fn settings(capacity: usize, loss: f64) -> Settings {
    Settings {
        cache_blocks: capacity,
        event_loss: loss,
        event_lag: Duration::from_millis(500),
        ..Settings::new(ANY_PORT, 3)
    }
}

fn prompt(blocks: usize, fill: &str) -> String {
    fill.repeat(blocks * BLOCK_BYTES)
}

#[test]
fn equal_prefixes_have_equal_blocks() {
    let long = blocks("m", &(prompt(2, "a") + &prompt(1, "b")));
    let short = blocks("m", &prompt(2, "a"));
    assert_eq!(long[..2], short[..]);
    assert_ne!(long, blocks("n", &(prompt(2, "a") + &prompt(1, "b"))));
}

#[tokio::test(start_paused = true)]
async fn least_recently_used_block_is_evicted_first() {
    let mut cache = Cache::new(&settings(3, 0.0));
    let (first, second) = (blocks("m", &prompt(2, "a")), blocks("m", &prompt(1, "b")));
    assert_eq!(cache.admit(&first), 0);
    assert_eq!(cache.admit(&second), 0);
    assert_eq!(cache.admit(&first), 2);
    cache.import("0000000000000001");
    assert_eq!(
        cache.admit(&second),
        0,
        "import evicts the least recently used block, that of prompt b"
    );
}

#[tokio::test(start_paused = true)]
async fn events_are_returned_after_the_lag() {
    let mut cache = Cache::new(&settings(10, 0.0));
    cache.admit(&blocks("m", &prompt(3, "a")));
    assert!(cache.events(0).events.is_empty());
    advance(Duration::from_millis(500)).await;
    let events = cache.events(0);
    assert_eq!(events.events.len(), 3);
    assert_eq!(events.next, 3);
    assert!(cache.events(events.next).events.is_empty());
}

#[tokio::test(start_paused = true)]
async fn lost_events_leave_gaps() {
    let mut cache = Cache::new(&settings(1000, 0.5));
    cache.admit(&blocks("m", &prompt(200, "a")));
    advance(Duration::from_secs(1)).await;
    let events = cache.events(0).events;
    assert!(events.len() < 200);
    assert!(
        events
            .windows(2)
            .any(|pair| pair[1].sequence > pair[0].sequence + 1)
    );
}

#[tokio::test(start_paused = true)]
async fn downloads_run_one_at_a_time() {
    let store = Store::new(1000, 500);
    let now = tokio::time::Instant::now();
    assert_eq!(store.fetch() - now, Duration::from_secs(2));
    assert_eq!(store.fetch() - now, Duration::from_secs(4));
    advance(Duration::from_secs(10)).await;
    assert_eq!(store.fetch() - now, Duration::from_secs(12));
}
