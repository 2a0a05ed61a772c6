//! Single transitions of candidates, holders and permits.

use std::time::{Duration, Instant};

use agate_lease::{Candidate, Entry, Holder, Lost, Row, Settlement, Terms, Verdict};
use agate_model::revision;
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

// Guards against: a caller that reads nothing but the row never holds the lease once the store has returned from an older
// copy, and writes the row again and again.
#[test]
fn candidate_that_reads_only_the_row_acquires_in_its_era() {
    let now = Instant::now();
    let revision = |number| revision::join(1, number).expect("small numbers");
    let mut candidate = candidate();
    let entry = foreign_entry(revision(5), false);
    candidate.observe(Some(&entry), now);
    let later = now + Terms::default().takeover_wait();
    assert_eq!(candidate.observe(Some(&entry), later), Verdict::Acquire);
    let attempt = candidate.acquire(Some(&entry), "n1".to_owned(), later);
    assert!(attempt.committed(revision(6)).is_ok());
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

/// Returns the revision with this number in the era.
fn revision(era: u64, number: u64) -> u64 {
    revision::join(era, number).expect("eras are small")
}

/// Guards against one epoch for two tenures: the one granted before a return was granted again after it.
#[test]
fn epoch_after_a_return_exceeds_those_that_are_lost() {
    let now = Instant::now();
    let mut first = candidate();
    first.observe_revision(revision(1, 9));
    let lost = first.acquire(Some(&foreign_entry(5, false)), "n1".to_owned(), now);
    let mut second = candidate();
    second.observe_revision(revision(2, 5));
    let entry = foreign_entry(revision(2, 5), false);
    let next = second.acquire(Some(&entry), "n2".to_owned(), now);
    assert!(next.row.epoch > lost.row.epoch);
    assert!(next.row.epoch > revision(2, 0));
}

/// Guards against an epoch below one whose row was overwritten in the same era by an attempt of an earlier era.
#[test]
fn epoch_exceeds_the_revision_of_the_row_found() {
    let mut candidate = candidate();
    candidate.observe_revision(revision(2, 5));
    let entry = foreign_entry(revision(2, 8), false);
    let attempt = candidate.acquire(Some(&entry), "n1".to_owned(), Instant::now());
    assert_eq!(attempt.row.epoch, revision(2, 9));
}

/// Guards against an epoch taken for a tenure after another process may have had it: the attempt was carried out after
/// the return.
#[test]
fn attempt_does_not_count_in_a_later_era() {
    let now = Instant::now();
    let attempt = candidate().acquire(None, "n1".to_owned(), now);
    let epoch = attempt.row.epoch;
    assert_eq!(
        attempt.clone().committed(revision(1, 1)),
        Err(Lost { epoch })
    );
    let entry = Entry {
        row: attempt.row.clone(),
        revision: revision(1, 1),
    };
    assert_eq!(attempt.settle(Some(&entry)), Settlement::Lost);
}

/// Guards against two holders: the row of a former tenure is there again after a return, and its renewal succeeds.
#[rstest]
#[case::term_goes_on(8, true)]
#[case::term_is_over(9, false)]
fn renewal_in_a_later_era_counts_only_while_the_term_goes_on(
    #[case] seconds: u32,
    #[case] is_held: bool,
) {
    let now = Instant::now();
    let mut held = holder(now);
    let renewal = held.renew(now + 7 * SECOND);
    let mut settled = held.clone();
    let at = now + seconds * SECOND;
    let outcome = held.renewed(revision(1, 2), at);
    assert_eq!(outcome.is_ok(), is_held);
    assert_eq!(held.is_active(now + 10 * SECOND), is_held);
    let entry = Entry {
        row: renewal.row,
        revision: revision(1, 2),
    };
    assert_eq!(settled.settle(Some(&entry), at).is_ok(), is_held);
    assert_eq!(settled.is_active(now + 10 * SECOND), is_held);
}

/// Guards against two holders: the tenure that goes on is absent, or released by the one before it, in the copy.
#[rstest]
#[case::absent(None)]
#[case::released(Some(foreign_entry(revision(1, 3), true)))]
fn free_row_is_not_acquired_at_once_after_a_return(#[case] found: Option<Entry>) {
    let now = Instant::now();
    let wait = Terms::default().takeover_wait();
    let mut candidate = candidate();
    assert_eq!(candidate.observe(None, now), Verdict::Acquire);
    candidate.observe_revision(revision(1, 3));
    assert_eq!(candidate.observe(found.as_ref(), now), Verdict::Wait(wait));
    let verdict = candidate.observe(found.as_ref(), now + wait);
    assert_eq!(verdict, Verdict::Acquire);
}

/// Guards against a wait that began before the return: the holder may have renewed in what is lost.
#[test]
fn candidate_waits_anew_in_each_era() {
    let now = Instant::now();
    let wait = Terms::default().takeover_wait();
    let mut candidate = candidate();
    for era in 1..3 {
        candidate.observe_revision(revision(era, 0));
        let entry = foreign_entry(revision(era, 0), false);
        let now = now + wait * u32::try_from(era).expect("eras are small");
        assert_eq!(candidate.observe(Some(&entry), now), Verdict::Wait(wait));
    }
    candidate.observe_revision(revision(3, 0));
    assert_eq!(candidate.observe(None, now), Verdict::Wait(wait));
    candidate.observe_revision(revision(4, 0));
    let verdict = candidate.observe(None, now + wait);
    assert_eq!(verdict, Verdict::Wait(wait), "the row is absent in both");
}
