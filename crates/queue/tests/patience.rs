//! Waits that leave time for the first token.

use std::time::Duration;

use agate_queue::patience::Patience;

const TARGET: Duration = Duration::from_millis(900);

#[test]
fn the_wait_leaves_time_for_the_first_token_but_never_vanishes() {
    let mut patience = Patience::default();
    assert_eq!(patience.get(TARGET), TARGET);
    for _ in 0..200 {
        patience.observe(Duration::from_millis(300));
    }
    let wait = patience.get(TARGET).as_secs_f64();
    assert!((0.59..0.61).contains(&wait), "{wait}");
    for _ in 0..200 {
        patience.observe(Duration::from_secs(5));
    }
    assert_eq!(patience.get(TARGET), Duration::from_millis(90));
}
