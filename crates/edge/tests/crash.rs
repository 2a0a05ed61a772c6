//! Endpoints that end in the middle of a response, in a way that may look like its regular end.

mod support;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use agate_edge::client::{self, Error, Exchange, Outgoing};
use bytes::Bytes;
use rstest::rstest;
use support::{Harness, Server, Step, is_complete, request, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longer than the buffers of a connection, so that the end comes while it is being sent.
const LONG_BODY: usize = 4_000_000;

/// Sends a request with a long body; returns the body of the response if it is complete.
async fn send_long(address: SocketAddr) -> Result<Vec<u8>, Error> {
    let stream = client::connect(address, Duration::from_secs(1)).await?;
    let outgoing = Outgoing {
        method: Method::POST,
        target: "/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'x'; LONG_BODY]),
    };
    let (mut exchange, _) = Exchange::start(stream, outgoing, &|_| true).await?;
    let mut body = Vec::new();
    while let Some(bytes) = exchange.next().await? {
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}

// Guards against: a reset that a write has reported is taken for the end of a response (review/1).
#[rstest]
#[case::before_the_head("")]
#[case::inside_the_head("HTTP/1.1 200 OK\r\nx-signed")]
#[case::after_the_head("HTTP/1.1 200 OK\r\n\r\n")]
#[case::inside_the_body("HTTP/1.1 200 OK\r\n\r\npart of it")]
#[case::at_an_event_border("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata\n\n")]
#[case::inside_a_length("HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\npart of it")]
#[case::inside_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\npart")]
#[case::between_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n")]
#[actix_rt::test]
async fn a_reset_while_the_request_is_being_sent_is_no_end_of_the_response(
    #[case] answer: &'static str,
) {
    let server = Server::start_early(vec![vec![Step::Write(answer), Step::Reset]]).await;
    let result = send_long(server.address).await;
    assert!(matches!(result, Err(Error::Interrupted(_))), "{result:?}");
}

// Guards against: a response that was complete before the reset is lost with it.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")]
#[actix_rt::test]
async fn a_response_that_was_complete_before_a_reset_is_delivered(#[case] answer: &'static str) {
    let server = Server::start_early(vec![vec![Step::Write(answer), Step::Reset]]).await;
    let body = send_long(server.address).await.expect("complete");
    assert_eq!(body, b"whole");
}

// Guards against: a caller gets a part of a body as a complete success, since its endpoint crashed before it
// had read the request (review/1).
#[rstest]
#[case::unframed("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r\npart of it")]
#[case::inside_the_head("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-le")]
#[actix_rt::test]
async fn a_crash_while_the_request_is_being_sent_is_no_success(#[case] answer: &'static str) {
    let script = vec![Step::Write(answer), Step::Reset];
    let server = Server::start_early(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let body = "x".repeat(LONG_BODY);
    let response = bench.call(&request("book", "r1", &body)).await;
    assert_eq!(status(&response), "502", "{response}");
}

// Guards against: an endpoint that stops in the middle of the head of its response and closes makes a
// complete response with an empty or short body.
#[rstest]
#[case::status_line("HTTP/1.1 200 O")]
#[case::header_name("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-le")]
#[case::header_value("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 1")]
#[case::last_line("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 10\r\n")]
#[case::half_a_line_end("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r")]
#[actix_rt::test]
async fn half_a_head_is_no_response(
    #[case] answer: &'static str,
    #[values("read", "book", "talk", "draft")] route: &'static str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let server = Server::start(vec![vec![Step::Write(answer), end]]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request(route, "r1", "body")).await;
    assert_eq!(status(&response), "502", "{response}");
}

// Guards against: an endpoint that crashes after the head of a response without a length makes an empty
// success.
#[rstest]
#[case::stream("talk")]
#[case::resumable_stream("draft")]
#[case::idempotent("read")]
#[case::once("book")]
#[actix_rt::test]
async fn an_unframed_response_without_a_byte_is_no_success(#[case] route: &'static str) {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r\n";
    let server = Server::start(vec![vec![Step::Write(HEAD), Step::Close]]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request(route, "r1", "body")).await;
    assert!(is_complete(&response), "{response}");
    assert_eq!(status(&response), "502", "{response}");
}

/// Connects an exchange to a peer; returns both ends.
async fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = client::connect(address, Duration::from_secs(1)).await;
    let (peer, _) = listener.accept().await.expect("a connection");
    (stream.expect("a listener"), peer)
}

fn get() -> Outgoing {
    Outgoing {
        method: Method::GET,
        target: "/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

/// Reads what the exchange sent and then how it ended the connection.
async fn end_at(peer: &mut TcpStream) -> io::Result<usize> {
    let mut buffer = [0; 4096];
    assert!(peer.read(&mut buffer).await.expect("the request") > 0);
    peer.read(&mut buffer).await
}

// Guards against: a request that was given up stays in the kernel during a cut of the network, and reaches an
// endpoint that has left (review/5).
#[rstest]
#[case::without_a_response("")]
#[case::inside_the_head("HTTP/1.1 200 OK\r\n")]
#[case::inside_the_body("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")]
#[actix_rt::test]
async fn a_request_that_is_given_up_resets_its_connection(#[case] answer: &'static str) {
    let (stream, mut peer) = connected().await;
    peer.write_all(answer.as_bytes()).await.expect("written");
    let exchange = async {
        let (mut exchange, _) = Exchange::start(stream, get(), &|_| true).await?;
        while exchange.next().await?.is_some() {}
        Ok::<_, Error>(())
    };
    let given_up = timeout(Duration::from_millis(50), exchange).await;
    assert!(given_up.is_err(), "{given_up:?}");
    let end = end_at(&mut peer).await.map_err(|err| err.kind());
    assert_eq!(end, Err(io::ErrorKind::ConnectionReset));
}

// Guards against: a connection that is kept after a complete response is reset when it is closed.
#[actix_rt::test]
async fn an_idle_connection_is_closed() {
    let (stream, mut peer) = connected().await;
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine";
    peer.write_all(answer).await.expect("written");
    let started = Exchange::start(stream, get(), &|_| true).await;
    let (mut exchange, _) = started.expect("a response");
    while exchange.next().await.expect("a body").is_some() {}
    drop(exchange.into_stream().expect("a connection that is kept"));
    assert_eq!(end_at(&mut peer).await.expect("closed"), 0);
}

// Guards against: an endpoint that answers a long request early, without a length, and is reset a moment later makes a
// complete response of the part that it has sent, whichever call meets the reset.
#[rstest]
#[actix_rt::test]
async fn a_reset_some_time_after_an_early_response_is_no_end_of_it(
    #[values("read", "book", "talk", "draft")] route: &'static str,
    #[values(0, 1, 5, 40, 300)] pause_ms: u64,
) {
    const PART: &str =
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let pause = Step::Wait(Duration::from_millis(pause_ms));
    let script = vec![Step::Write(PART), pause, Step::Reset];
    let server = Server::start_early(vec![script]).await;
    let bench = Harness::start(&[&server]).await;
    let body = "x".repeat(LONG_BODY);
    let response = bench.call(&request(route, "r1", &body)).await;
    let is_whole = status(&response) == "200" && is_complete(&response);
    assert!(!is_whole, "{response}");
}

// Guards against: a response with a status that HTTP does not know is passed on to the caller.
#[rstest]
#[case::zero("HTTP/1.1 000 Trouble\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine")]
#[case::zero_unsigned("HTTP/1.1 000 Trouble\r\ncontent-length: 4\r\n\r\nfine")]
#[case::below("HTTP/1.1 099 Low\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine")]
#[case::above("HTTP/1.1 600 High\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine")]
#[case::far_above("HTTP/1.1 999 Far\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine")]
#[actix_rt::test]
async fn a_status_that_http_does_not_know_is_no_response(
    #[case] answer: &'static str,
    #[values("read", "book", "talk", "draft")] route: &'static str,
) {
    let server = Server::start(vec![vec![Step::Write(answer)]]).await;
    let bench = Harness::start(&[&server]).await;
    let response = bench.call(&request(route, "r1", "body")).await;
    assert_eq!(status(&response), "502", "{response}");
}
