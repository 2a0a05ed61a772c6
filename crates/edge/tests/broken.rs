//! Responses of endpoints that end early, come late or belong elsewhere.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, is_complete, request};

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
