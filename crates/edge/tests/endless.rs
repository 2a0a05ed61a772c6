//! Bytes that are no response, or no end of one, and come until the connection is closed.

mod support;

use std::time::Duration;

use agate_edge::event::{Gauge, MAX_EVENT_BYTES, Overlong, Splitter};
use agate_edge::metrics::Outcome;
use agate_memory::Purpose;
use rstest::rstest;
use support::{Harness, Server, Step, request, status};
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const FOREIGN: &str =
    "HTTP/1.1 200 OK\r\nx-id: other\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
/// A chunk of 4096 bytes without a boundary between events.
const CHUNK: &str = include_str!("data/chunk.txt");

/// Returns how often responses were cut for a part of this name.
fn cuts(harness: &Harness, part: &'static str) -> u64 {
    let endless = &harness.program.edge().metrics.endless;
    endless.get_or_create(&Outcome { outcome: part }).get()
}

/// The endpoint is left and the caller answered before the deadline of 1.5 s, the connection is
/// closed, other requests are served meanwhile, and the answer does not promise that nothing has run.
#[rstest]
#[case::informational("read", "", "HTTP/1.1 103 Early Hints\r\n\r\n", "informational_heads")]
#[case::head("read", "HTTP/1.1 200 OK\r\nx-id: ", "a-long-value-", "head")]
#[case::foreign_body("read", FOREIGN, CHUNK, "foreign_body")]
#[case::body("read", CHUNKED, CHUNK, "body")]
#[case::chunk_extension("read", CHUNKED, "4;a=b;c=d;e=f;g=h", "framing")]
#[case::chunk_size("read", CHUNKED, "0000000000000000", "framing")]
#[case::event("talk", CHUNKED, CHUNK, "event")]
#[case::resumable_event("draft", CHUNKED, CHUNK, "event")]
#[actix_rt::test]
async fn an_endless_response_is_cut(
    #[case] route: &'static str,
    #[case] start: &'static str,
    #[case] flood: &'static str,
    #[case] part: &'static str,
) {
    let script = vec![Step::Write(start), Step::Flood(flood, Duration::ZERO)];
    let server = Server::start(vec![script]).await;
    let harness = Harness::start(&[&server]).await;
    let started = Instant::now();
    let other = async {
        // The host itself responds to this one.
        for _ in 0..10 {
            let sent = Instant::now();
            let response = harness.call(&request("unknown", "r2", "")).await;
            assert_eq!(status(&response), "404");
            let time = sent.elapsed();
            assert!(time < Duration::from_millis(200), "{time:?}");
            sleep(Duration::from_millis(20)).await;
        }
    };
    let request = request(route, "r1", "body");
    let (response, ()) = tokio::join!(harness.call(&request), other);
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(1_200), "{elapsed:?}");
    let status = status(&response);
    assert!(["502", "200"].contains(&status), "{response:.200}");
    assert!(status == "502" || !support::is_complete(&response));
    assert_eq!(cuts(&harness, part), 1);
    assert_eq!(harness.program.edge().memory.held(Purpose::Responses), 0);
    sleep(Duration::from_millis(100)).await;
    assert!(server.requests.borrow()[0].closed.is_some());
}

/// Several endless bodies at once take no more memory than the limit for all of them.
#[actix_rt::test]
async fn endless_bodies_share_a_limit() {
    let script = vec![
        Step::Write(CHUNKED),
        Step::Flood(CHUNK, Duration::from_millis(1)),
    ];
    let server = Server::start(vec![script]).await;
    let harness = Harness::start(&[&server]).await;
    let calls = (0..8).map(|n| {
        let request = request("book", &format!("r{n}"), "body");
        let harness = &harness;
        async move { harness.call(&request).await }
    });
    let responses = futures_util::future::join_all(calls).await;
    for response in responses {
        assert!(
            ["502", "503", "504"].contains(&status(&response)),
            "{response:.200}"
        );
    }
    assert_eq!(harness.program.edge().memory.held(Purpose::Responses), 0);
}

/// A head that grows by a byte now and then ends with the deadline.
#[actix_rt::test]
async fn a_dripping_head_ends_with_the_deadline() {
    let drip = Step::Flood("x", Duration::from_millis(50));
    let server = Server::start(vec![vec![Step::Write("HTTP/1.1 200 OK\r\n"), drip]]).await;
    let harness = Harness::start(&[&server]).await;
    let started = Instant::now();
    let response = harness.call(&request("book", "r1", "body")).await;
    assert_eq!(status(&response), "504");
    assert!(started.elapsed() < Duration::from_millis(1_900));
    sleep(Duration::from_millis(200)).await;
    assert!(server.requests.borrow()[0].closed.is_some());
}

/// Bytes after the declared end of a response never reach the next caller.
#[actix_rt::test]
async fn bytes_after_a_response_end_with_its_connection() {
    let flood = Step::Flood("garbage", Duration::ZERO);
    let first = vec![Step::Write(OK), flood];
    let server = Server::start(vec![first, vec![Step::Write(OK)]]).await;
    let harness = Harness::start(&[&server]).await;
    for n in 0..3 {
        let response = harness.call(&request("read", &format!("r{n}"), "")).await;
        assert!(response.ends_with("fine"), "{response:.200}");
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    assert!(server.requests.borrow()[0].closed.is_some());
}

/// The time for a long event grows with its length, not with the square of it.
#[test]
fn a_long_event_is_searched_once() {
    let piece = vec![b'x'; 64];
    let started = std::time::Instant::now();
    for _ in 0..10 {
        let mut splitter = Splitter::default();
        let mut pushed = 0;
        while splitter.push(&piece).is_ok() {
            pushed += piece.len();
        }
        assert!((MAX_EVENT_BYTES - 64..=MAX_EVENT_BYTES).contains(&pushed));
    }
    // Ten events of 4096 pieces each take milliseconds; searching each whole event again and again
    // takes more than ten seconds.
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// A boundary is found wherever the pieces are cut, and both kinds of streams agree on it.
#[rstest]
#[case("\n\n")]
#[case("\r\n\r\n")]
fn boundaries_are_found_across_pieces(#[case] boundary: &str) {
    let event = format!("id: 1\ndata: {}{boundary}", "x".repeat(90));
    let count = MAX_EVENT_BYTES * 3 / event.len();
    let stream = event.repeat(count);
    for size in [1, 2, 3, 4, 5, 7, 64, 1000] {
        let mut splitter = Splitter::default();
        let mut gauge = Gauge::default();
        let mut passed = 0;
        for piece in stream.as_bytes().chunks(size) {
            passed += splitter.push(piece).expect("short events").len();
            assert_eq!(gauge.push(piece), Ok(()));
        }
        assert_eq!((passed, splitter.is_partial()), (stream.len(), false));
    }
    let mut gauge = Gauge::default();
    let long = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(gauge.push(&long), Err(Overlong));
}
