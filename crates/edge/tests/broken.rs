//! Responses of endpoints that end early, come late or belong elsewhere.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, is_complete, request, status};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

// Guards against: a stream that ends with its connection, in the middle of an event, looks complete.
#[rstest]
#[case::inside_an_event("id: 1\ndata\n\nid: 2\nda", false)]
#[case::inside_the_first_event("id: 1\nda", false)]
#[case::after_an_event("id: 1\ndata\n\nid: 2\ndata\n\n", true)]
#[case::after_an_event_with_crlf("id: 1\r\ndata\r\n\r\n", true)]
#[actix_rt::test]
async fn a_stream_without_length_is_complete_only_after_an_event(
    #[case] body: &'static str,
    #[case] is_whole: bool,
) {
    const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r\n";
    let script = vec![
        Step::Write(UNFRAMED),
        Step::Write(body),
        Step::Wait(Duration::from_millis(50)),
        Step::Close,
    ];
    let server = Server::start(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request("talk", "r1", "body")).await;
    assert_eq!(is_complete(&response), is_whole, "{response}");
}

// Guards against: "not run" for a request that runs, since the endpoint wrote an earlier refusal again.
#[rstest]
#[case::declined("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")]
#[case::throttled("HTTP/1.1 429 Many\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")]
#[case::misdirected("HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n")]
#[case::of_the_earlier_request(
    "HTTP/1.1 503 Full\r\nx-id: r0\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[actix_rt::test]
async fn a_refusal_on_a_kept_connection_counts_only_with_the_id_of_its_request(
    #[case] refusal: &'static str,
) {
    let repeated = vec![
        Step::Write(refusal),
        Step::Wait(Duration::from_millis(50)),
        Step::Write(OK),
    ];
    let server = Server::start(vec![vec![Step::Write(OK)], repeated]).await;
    let bench = Harness::start(&[&server]).await;
    let first = bench.call(&request("book", "r0", "body")).await;
    assert_eq!(status(&first), "200");
    let second = bench.call(&request("book", "r1", "body")).await;
    assert!(matches!(status(&second), "200" | "502"), "{second}");
    assert_eq!(server.count(), 2, "the request ran once more");
}
