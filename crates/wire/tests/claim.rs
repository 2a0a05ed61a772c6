//! Rows of the `claim` table: a record converts to a row and back, and malformed rows are refused.

use std::time::{Duration, SystemTime};

use agate_claim::{Header, Record, Response, digest};
use agate_wire::claim;
use rstest::rstest;

fn running() -> Record {
    Record::running(
        digest::request("POST", "/bids", b"10"),
        "n1".to_owned(),
        SystemTime::UNIX_EPOCH + Duration::from_secs(7),
        "host-1".to_owned(),
        "run-1".to_owned(),
    )
}

fn response() -> Response {
    Response {
        status: 201,
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: vec![0, 159, 255],
    }
}

#[rstest]
#[case(running())]
#[case(running().unknown())]
#[case(running().done(response()))]
fn record_is_unchanged_by_a_row_round_trip(#[case] record: Record) {
    let row = claim::Record::from(record.clone()).to_row();
    assert_eq!(claim::Record::from_row(&row), Ok(record));
}

#[rstest]
#[case("{}")]
#[case(r#"{"request":"00","nonce":"n","created":0,"state":"unknown"}"#)]
fn malformed_row_is_refused(#[case] row: &str) {
    assert!(claim::Record::from_row(row).is_err());
}
