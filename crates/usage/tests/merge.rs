//! Merging of totals, target rows of late usage, and closing of windows.

use std::time::{Duration, UNIX_EPOCH};

use agate_usage::report;
use agate_usage::row::shard;
use agate_usage::window::{Head, Schedule};
use agate_usage::{Bucket, Counters, Ledger, Row};
use proptest::prelude::*;
use rstest::rstest;

/// Number of cases of each property test.
const CASES: u32 = 256;

const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(10),
    grace: Duration::from_secs(2),
};

fn rows() -> impl Strategy<Value = Row> {
    let bucket = ("[a-c]", 0u64..3).prop_map(|(account, window)| Bucket {
        account,
        origin: window * 10,
    });
    let counters =
        (0u64..9, 0u64..99, 0u64..99).prop_map(|(requests, prompt, response)| Counters {
            requests,
            prompt_tokens: prompt,
            answer_tokens: response,
        });
    prop::collection::btree_map(bucket, counters, 0..6).prop_map(|counters| Row { counters })
}

fn merged(rows: &[&Row]) -> Row {
    let mut total = Row::default();
    rows.iter().for_each(|row| total.merge(row));
    total
}

#[test]
fn merge_is_idempotent_commutative_and_associative() {
    agate_check::runner(CASES)
        .run(&(rows(), rows(), rows()), |(a, b, c)| {
            prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a, &b, &a]));
            let left = merged(&[&merged(&[&a, &b]), &c]);
            prop_assert_eq!(left, merged(&[&a, &merged(&[&b, &c])]));
            Ok(())
        })
        .expect("merging by maximum is idempotent, commutative and associative");
}

#[test]
fn totals_do_not_depend_on_the_order_of_rows() {
    agate_check::runner(CASES)
        .run(&prop::collection::vec(rows(), 0..5), |mut rows| {
            let forward = report::totals(10, &rows);
            rows.reverse();
            prop_assert_eq!(forward, report::totals(10, &rows));
            Ok(())
        })
        .expect("totals depend on the set of rows alone");
}

fn requests(requests: u64) -> Counters {
    Counters {
        requests,
        ..Counters::default()
    }
}

fn bucket(origin: u64) -> Bucket {
    Bucket {
        account: "a".to_owned(),
        origin,
    }
}

#[test]
fn late_usage_moves_to_the_open_window() {
    let mut ledger = Ledger::default();
    ledger.observe(bucket(0), requests(5));
    let head = Head {
        closed: 10,
        epoch: 1,
    };
    assert_eq!(ledger.unread(head, &SCHEDULE), [0, 10]);
    let mut closed = Row::default();
    closed.observe(bucket(0), requests(3));
    ledger.settle(0, closed);
    ledger.settle(10, Row::default());
    let rows = ledger.rows(head, &SCHEDULE);
    let row = &rows[&(20, shard("a"))];
    assert_eq!(row.get(&bucket(0)), requests(2));
    let total = report::totals(20, [row])["a"];
    assert_eq!((total.counters, total.late_requests), (requests(2), 2));
}

#[test]
fn peer_with_older_totals_adds_nothing() {
    let mut ledger = Ledger::default();
    ledger.observe(bucket(0), requests(2));
    let head = Head {
        closed: 0,
        epoch: 1,
    };
    let mut closed = Row::default();
    closed.observe(bucket(0), requests(3));
    ledger.settle(0, closed);
    assert!(ledger.rows(head, &SCHEDULE).is_empty());
}

#[rstest]
#[case(0, 21, None)]
#[case(0, 22, Some(10))]
#[case(10, 22, None)]
fn window_is_due_after_its_grace(#[case] closed: u64, #[case] now: u64, #[case] due: Option<u64>) {
    let head = Head { closed, epoch: 1 };
    let now = UNIX_EPOCH + Duration::from_secs(now);
    assert_eq!(SCHEDULE.due(head, now), due);
}

#[test]
fn first_head_leaves_the_current_window_open() {
    let now = UNIX_EPOCH + Duration::from_secs(27);
    let closed = SCHEDULE.initial(now);
    let head = Head { closed, epoch: 1 };
    assert_eq!((closed, SCHEDULE.target(20, head)), (10, 20));
}
