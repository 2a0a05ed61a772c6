//! Single transitions of candidates, holders and permits.

use std::time::{Duration, Instant};

use agate_lease::{Candidate, Entry, Holder, Lost, Row, Settlement, Terms, Verdict};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn candidate() -> Candidate {
    Candidate::new(
        Terms::default(),
        "host-1".to_owned(),
        "incarnation-1".to_owned(),
    )
}

fn foreign_entry(revision: u64, released: bool) -> Entry {
    let row = Row {
        epoch: 4,
        host: "host-2".to_owned(),
        incarnation: "incarnation-2".to_owned(),
        nonce: "n2".to_owned(),
        renewals: revision,
        released,
    };
    Entry { row, revision }
}

fn holder(now: Instant) -> Holder {
    let attempt = candidate().acquire(None, "n1".to_owned(), now);
    attempt.committed(1).expect("the era is the same")
}

#[test]
fn candidate_waits_until_the_row_has_been_unchanged_long_enough() {
    let now = Instant::now();
    let wait = Terms::default().takeover_wait();
    let mut candidate = candidate();
    assert_eq!(
        candidate.observe(Some(&foreign_entry(1, false)), now),
        Verdict::Wait(wait)
    );
    let verdict = candidate.observe(Some(&foreign_entry(2, false)), now + wait);
    assert_eq!(verdict, Verdict::Wait(wait), "a renewal restarts the wait");
    let verdict = candidate.observe(Some(&foreign_entry(2, false)), now + wait + wait);
    assert_eq!(verdict, Verdict::Acquire);
}

#[test]
fn released_lease_is_acquired_at_once_with_the_next_epoch() {
    let now = Instant::now();
    let mut candidate = candidate();
    let entry = foreign_entry(7, true);
    assert_eq!(candidate.observe(Some(&entry), now), Verdict::Acquire);
    let attempt = candidate.acquire(Some(&entry), "n1".to_owned(), now);
    assert_eq!((attempt.check, attempt.row.epoch), (Some(7), 5));
}

#[rstest]
#[case::committed("n1", true)]
#[case::taken_by_another("n2", false)]
fn lost_response_to_an_acquisition_is_settled_by_the_nonce(
    #[case] nonce: &str,
    #[case] is_held: bool,
) {
    let now = Instant::now();
    let attempt = candidate().acquire(None, "n1".to_owned(), now);
    assert_eq!(attempt.settle(None), Settlement::Unchanged);
    let row = Row {
        nonce: nonce.to_owned(),
        ..attempt.row.clone()
    };
    let settlement = attempt.settle(Some(&Entry { row, revision: 1 }));
    assert_eq!(matches!(settlement, Settlement::Held(_)), is_held);
}

#[test]
fn term_counts_from_before_the_request_is_sent() {
    let now = Instant::now();
    let mut holder = holder(now);
    assert!(holder.is_active(now + 8 * SECOND));
    assert!(!holder.is_active(now + 9 * SECOND));
    holder.renew(now + 5 * SECOND);
    holder.renewed(2, now).expect("the era is the same");
    assert!(holder.is_active(now + 13 * SECOND));
    assert!(!holder.is_active(now + 14 * SECOND));
}

#[test]
fn earlier_renewal_does_not_extend_the_term() {
    let now = Instant::now();
    let mut holder = holder(now);
    let first = holder.renew(now + SECOND);
    holder.renew(now + 2 * SECOND);
    let entry = Entry {
        row: first.row,
        revision: 2,
    };
    assert_eq!(holder.settle(Some(&entry), now), Ok(()));
    assert_eq!(holder.revision(), 2);
    assert!(!holder.is_active(now + 9 * SECOND));
}

#[test]
fn row_of_another_holder_ends_the_tenure() {
    let mut holder = holder(Instant::now());
    assert_eq!(
        holder.settle(Some(&foreign_entry(9, false)), Instant::now()),
        Err(Lost { epoch: 4 })
    );
}

#[test]
fn permit_expires_with_the_term_in_which_it_was_recorded() {
    let now = Instant::now();
    let mut holder = holder(now);
    let permit = holder.ticket(now).expect("the holder is active").recorded();
    holder.renew(now + 5 * SECOND);
    holder.renewed(2, now).expect("the era is the same");
    assert!(permit.is_valid(now + 8 * SECOND));
    assert!(!permit.is_valid(now + 9 * SECOND));
    assert!(holder.ticket(now + 14 * SECOND).is_none());
}

#[test]
fn default_margin_covers_clocks_that_differ_by_two_percent() {
    assert!(Terms::default().covers_drift(0.02));
    assert!(!Terms::default().covers_drift(0.1));
}
