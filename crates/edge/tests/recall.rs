//! Order of the statements of endpoints around a return of the store from an older copy.

use std::time::Duration;

use agate_edge::recall::Recall;
use agate_edge::roster::{Endpoint, Roster};
use rstest::rstest;
use tokio::time::Instant;

const HOLD_TIME: Duration = Duration::from_secs(5);

/// Returns a statement of the endpoint `e` with a number and a birth.
fn statement(number: Option<u64>, born: Option<u64>, draining: bool) -> Endpoint {
    Endpoint {
        id: "e".to_owned(),
        born,
        number,
        service: "model".to_owned(),
        address: "10.0.0.1:1".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 16,
        draining,
        reclaimable: false,
        cold: Duration::ZERO,
    }
}

// Guards against: an older statement of a listed endpoint counts after a return of the store.
#[rstest]
#[case::older(Some(6), Some(1), false)]
#[case::same(Some(7), Some(1), true)]
#[case::newer(Some(8), Some(1), true)]
#[case::older_incarnation(Some(9), Some(0), false)]
#[case::newer_incarnation(Some(1), Some(2), true)]
#[case::no_number(None, Some(1), false)]
#[case::no_birth(Some(9), None, true)]
fn a_statement_of_a_draining_endpoint(
    #[case] number: Option<u64>,
    #[case] born: Option<u64>,
    #[case] counts: bool,
) {
    let now = Instant::now();
    let known = statement(Some(7), Some(1), true);
    let mut recall = Recall::new(HOLD_TIME);
    recall.start_era(now);
    let row = statement(number, born, false);
    assert_eq!(recall.admit(now, Some(&known), &row), counts);
}

// Guards against: a row counts that was removed before the return of the store.
#[rstest]
#[case::older(Some(6), Some(1), false)]
#[case::same(Some(7), Some(1), false)]
#[case::newer(Some(8), Some(1), true)]
#[case::older_incarnation(Some(9), Some(0), false)]
#[case::newer_incarnation(Some(1), Some(2), true)]
#[case::no_number(None, Some(1), false)]
fn a_statement_of_a_removed_endpoint(
    #[case] number: Option<u64>,
    #[case] born: Option<u64>,
    #[case] counts: bool,
) {
    let now = Instant::now();
    let mut recall = Recall::new(HOLD_TIME);
    recall.record_removed(statement(Some(7), Some(1), false));
    recall.start_era(now);
    let row = statement(number, born, false);
    assert_eq!(recall.admit(now, None, &row), counts);
}

// Guards against: a live endpoint is left out since a store that never returned lists its row anew.
#[test]
fn rows_count_while_the_store_has_not_returned() {
    let now = Instant::now();
    let mut recall = Recall::new(HOLD_TIME);
    let known = statement(Some(7), Some(1), true);
    let row = statement(Some(6), Some(1), false);
    recall.record_removed(known.clone());
    assert!(recall.admit(now, None, &row));
    assert!(recall.admit(now, Some(&known), &row));
}

// Guards against: a live endpoint is left out whose row is removed after a return, and written again as it was.
#[test]
fn a_removal_after_the_return_is_older_than_the_next_row() {
    let now = Instant::now();
    let mut recall = Recall::new(HOLD_TIME);
    recall.start_era(now);
    let row = statement(Some(7), Some(1), false);
    recall.record_removed(row.clone());
    assert!(!recall.admit(now, None, &statement(Some(6), Some(1), false)));
    assert!(recall.admit(now, None, &row));
}

// Guards against: an endpoint is lost for good whose row stands.
#[test]
fn a_row_that_stands_counts_at_the_end() {
    let now = Instant::now();
    let mut recall = Recall::new(HOLD_TIME);
    recall.record_removed(statement(Some(7), Some(1), false));
    recall.start_era(now);
    let row = statement(Some(6), Some(1), false);
    assert!(!recall.admit(now, None, &row));
    assert!(recall.take_expired(now).is_empty());
    assert_eq!(recall.next_expiry(), Some(now + HOLD_TIME));
    assert_eq!(recall.take_expired(now + HOLD_TIME), [row]);
    assert_eq!(recall.next_expiry(), None);
}

// Guards against: a row counts at the end that was removed since.
#[test]
fn a_row_that_was_removed_does_not_count_at_the_end() {
    let now = Instant::now();
    let mut recall = Recall::new(HOLD_TIME);
    recall.record_removed(statement(Some(7), Some(1), false));
    recall.start_era(now);
    assert!(!recall.admit(now, None, &statement(Some(6), Some(1), false)));
    recall.forget_outdated("e");
    assert!(recall.take_expired(now + HOLD_TIME).is_empty());
}

// Guards against: each statement of an endpoint counts as a change, and wakes all queues.
#[test]
fn a_statement_that_differs_in_its_number_alone_is_no_change() {
    let mut roster = Roster::default();
    assert!(roster.insert(statement(Some(7), Some(1), false)).is_some());
    assert!(roster.insert(statement(Some(8), Some(1), false)).is_none());
    let number = roster.get("e").and_then(|endpoint| endpoint.number);
    assert_eq!(number, Some(8));
}
