//! Responses of endpoints that end early, come late or belong elsewhere.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, is_complete, read_response, request, status};
use tokio::io::AsyncWriteExt as _;
use tokio::time::sleep;

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";

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

// Guards against: the text of an error in the middle of a stream, or a stream that ends as complete with it.
#[rstest]
#[case::failure("HTTP/1.1 500 No\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nwrong")]
#[case::refusal("HTTP/1.1 503 No\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nwrong")]
#[case::not_found("HTTP/1.1 404 No\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nwrong")]
#[case::partial("HTTP/1.1 206 Hm\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 5\r\n\r\nwrong")]
#[case::not_a_stream(
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-type: text/plain\r\n\
     content-length: 7\r\n\r\nwrong\n\n"
)]
#[case::nothing("")]
#[actix_rt::test]
async fn an_error_after_a_broken_stream_does_not_reach_its_caller(#[case] error: &'static str) {
    let broken = vec![
        Step::Write(STREAM),
        Step::Write("12\r\nid: 1\ndata\n\nid: 2\n\r\n"),
        // The host learns of the other endpoint in this time.
        Step::Wait(Duration::from_millis(800)),
        Step::Close,
    ];
    let first = Server::start(vec![broken]).await;
    let bench = Harness::start(&[&first]).await;
    let second = Server::start(vec![vec![Step::Write(error), Step::Close]]).await;
    let mut caller = bench.connect().await;
    let text = request("draft", "r1", "body");
    caller.write_all(text.as_bytes()).await.expect("written");
    while first.count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let address = second.address.to_string();
    bench.store.put("endpoints", "e1", Some(&address));
    let response = read_response(&mut caller).await;
    assert!(second.count() > 0, "the stream was not resumed");
    assert!(!is_complete(&response), "{response}");
    assert!(!response.contains("wrong"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert_eq!(response.matches("id: 1\n").count(), 1, "{response}");
}

// Guards against: a response to another request that ends with its connection panics the task of the caller, who
// gets no response (review/4).
#[rstest]
#[case::empty("HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\n\r\n")]
#[case::with_a_body("HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\n\r\nfine")]
#[case::failure("HTTP/1.1 500 No\r\nx-id: other\r\nx-signed: 1\r\n\r\nwrong")]
#[case::after_one_with_a_length(
    "HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine\
     HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\n\r\nfine"
)]
#[actix_rt::test]
async fn an_unframed_response_to_another_request_is_a_failure_of_the_endpoint(
    #[case] foreign: &'static str,
    #[values("read", "book", "talk", "draft")] route: &'static str,
) {
    let server = Server::start(vec![vec![Step::Write(foreign), Step::Close]]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request(route, "r1", "body")).await;
    assert!(is_complete(&response), "{response}");
    assert_eq!(status(&response), "502", "{response}");
}

// Guards against: a success without the proof that an endpoint made it reaches a caller.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\nfine")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n\
     c\r\nid: 1\ndata\n\n\r\n0\r\n\r\n"
)]
#[case::created("HTTP/1.1 201 Made\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\nfine")]
#[case::empty("HTTP/1.1 204 None\r\nx-id: {id}\r\n\r\n")]
#[actix_rt::test]
async fn a_success_without_proof_is_a_failure_of_the_endpoint(
    #[case] unsigned: &'static str,
    #[values("read", "book", "talk", "draft")] route: &'static str,
) {
    let server = Server::start(vec![vec![Step::Write(unsigned)]]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request(route, "r1", "body")).await;
    assert!(is_complete(&response), "{response}");
    assert_eq!(status(&response), "502", "{response}");
}

// Guards against: a caller gets a failure though another endpoint would have answered.
#[actix_rt::test]
async fn an_idempotent_request_is_sent_again_after_a_success_without_proof() {
    let unsigned = "HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\nfake";
    let first = Server::start(vec![vec![Step::Write(unsigned)]]).await;
    let second = Server::start(vec![vec![Step::Write(OK)]]).await;
    let bench = Harness::start(&[&first, &second]).await;
    for n in 0..6 {
        let response = bench.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&response), "200", "{response}");
        assert!(response.ends_with("fine"), "{response}");
    }
}
