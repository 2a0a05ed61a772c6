//! What hosts know of limits.

use std::time::Duration;

use agate_limit::book::{Book, Change, Statement};
use agate_limit::mention::{Malformed, parse};
use rstest::rstest;

fn at(millis: u64, rate: Option<f64>) -> Statement {
    Statement {
        rate,
        at: Duration::from_millis(millis),
        is_own: true,
    }
}

const NOW: Duration = Duration::from_secs(100);

#[rstest]
#[case("1", Ok(1.0))]
#[case(" 0.5 ", Ok(0.5))]
#[case("0", Ok(0.0))]
#[case("-1", Err(Malformed))]
#[case("NaN", Err(Malformed))]
#[case("inf", Err(Malformed))]
#[case("", Err(Malformed))]
#[case("ten", Err(Malformed))]
fn a_limit_is_a_decimal_number(#[case] value: &str, #[case] rate: Result<f64, Malformed>) {
    assert_eq!(parse(value), rate);
}

#[test]
fn the_newest_statement_counts_in_whatever_order_statements_arrive() {
    let mut book = Book::default();
    assert_eq!(book.record(NOW, &"e", at(5_000, None)), None);
    assert!(
        book.is_empty(),
        "nothing is kept of endpoints without a limit"
    );
    assert_eq!(
        book.record(NOW, &"e", at(6_000, Some(2.0))),
        Some(Change::Limited(2.0))
    );
    assert_eq!(book.record(NOW, &"e", at(5_900, Some(9.0))), None);
    assert_eq!(book.record(NOW, &"e", at(7_000, Some(2.0))), None);
    assert_eq!(
        book.record(NOW, &"e", at(8_000, Some(1.0))),
        Some(Change::Limited(1.0))
    );
    assert_eq!(
        book.record(NOW, &"e", at(9_000, None)),
        Some(Change::Lifted)
    );
    assert_eq!(book.record(NOW, &"e", at(8_500, Some(1.0))), None);
    assert_eq!(book.rate(&"e"), None);
    assert_eq!(
        book.record(NOW, &"e", at(9_500, Some(1.0))),
        Some(Change::Limited(1.0))
    );
}

// Guards against: a response that was under way when the endpoint named its limit lifts it.
#[test]
fn a_request_from_before_the_limit_does_not_lift_it() {
    let mut book = Book::default();
    book.record(NOW, &"e", at(6_000, Some(1.0)));
    assert_eq!(book.record(NOW, &"e", at(5_000, None)), None);
    // The clocks of hosts differ by some milliseconds.
    assert_eq!(book.record(NOW, &"e", at(6_050, None)), None);
    assert_eq!(book.rate(&"e"), Some(1.0));
}

// Guards against: a statement from the future, by the clock of another host, holds for as long as that is ahead.
#[test]
fn a_statement_of_a_host_whose_clock_is_ahead_counts_from_its_arrival() {
    let mut book = Book::default();
    book.record(NOW, &"e", at(500_000, Some(1.0)));
    let later = NOW + Duration::from_secs(1);
    let lifted = Statement {
        rate: None,
        at: later,
        is_own: true,
    };
    assert_eq!(book.record(later, &"e", lifted), Some(Change::Lifted));
}

#[test]
fn statements_are_bounded_and_end() {
    let mut book = Book::default();
    for n in 0..20_000_u64 {
        book.record(NOW, &n, at(n, Some(1.0)));
    }
    assert!(book.statements().count() <= 8_192);
    assert_eq!(book.rate(&19_999), Some(1.0));
    book.record(NOW, &19_999, at(90_000, None));
    book.expire(NOW + Duration::from_secs(55));
    assert!(book.statement(&19_999).is_none());
    book.expire(NOW + Duration::from_secs(3_700));
    assert!(book.is_empty());
}
