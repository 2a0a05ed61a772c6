//! Removals of endpoints around outages of the store.

use std::time::Duration;

use agate_edge::removal::{Decision, Removals};
use tokio::time::Instant;

const HOLD_TIME: Duration = Duration::from_millis(1700);

#[test]
fn a_removal_by_a_working_store_applies_at_once() {
    let now = Instant::now();
    let mut removals = Removals::new(HOLD_TIME);
    removals.start_response();
    assert_eq!(removals.remove(now, &"a".to_owned()), Decision::Apply);
}

#[test]
fn a_removal_in_the_first_response_after_an_outage_is_held_until_the_entry_reappears() {
    let now = Instant::now();
    let mut removals = Removals::new(HOLD_TIME);
    removals.store_unavailable();
    removals.start_response();
    assert_eq!(removals.remove(now, &"a".to_owned()), Decision::Hold);
    assert_eq!(removals.remove(now, &"b".to_owned()), Decision::Hold);
    removals.restore("a");
    assert!(
        removals
            .take_expired(now + HOLD_TIME - Duration::from_millis(1))
            .is_empty()
    );
    assert_eq!(removals.take_expired(now + HOLD_TIME), ["b"]);
    assert_eq!(removals.next_expiry(), None);
}

/// Guards against holding every removal for some time after an outage: an endpoint that left one
/// second after the recovery of the store received requests for two and a half seconds more.
#[test]
fn a_removal_in_a_later_response_after_an_outage_applies_at_once() {
    let now = Instant::now();
    let mut removals = Removals::new(HOLD_TIME);
    removals.store_unavailable();
    removals.start_response();
    removals.start_response();
    let later = now + Duration::from_millis(800);
    assert_eq!(removals.remove(later, &"a".to_owned()), Decision::Apply);
}
