//! Requests that come in a planned stop, or last longer than it.

mod support;

use std::future::ready;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use agate_edge::edge::Phase;
use agate_edge::response::{Adapter, Responder, Response};
use agate_edge::server::{self, Incoming};
use futures_util::future::LocalBoxFuture;
use rstest::rstest;
use support::{Harness, Server, Step, is_complete, read_response, request, settings, status};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

const SILENT: [Step; 1] = [Step::Wait(Duration::from_secs(10))];
/// An answer after a time in which a host that waits for nothing would have ended.
const SLOW: [Step; 2] = [
    Step::Wait(Duration::from_millis(300)),
    Step::Write("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine"),
];

/// Starts a host whose stop takes `grace`, with an endpoint that never answers.
async fn host(grace: Duration) -> (Server, Harness) {
    let server = Server::start(vec![SILENT.to_vec()]).await;
    let mut settings = settings().await;
    settings.bounds.grace = grace;
    let harness = Harness::with_duties(Harness::store(&[&server]), settings, None).await;
    (server, harness)
}

/// Opens a connection that has served a request.
async fn kept(harness: &Harness) -> TcpStream {
    let mut caller = harness.connect().await;
    let text = request("book", "r0", "body");
    caller.write_all(text.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert!(response.ends_with("fine"), "{response}");
    caller
}

// Guards against: a request that comes late in a planned stop is passed on, and cut without a response when the
// process ends.
#[actix_rt::test]
async fn a_request_that_comes_late_in_a_stop_is_refused_and_not_sent() {
    let (server, harness) = host(Duration::from_secs(3)).await;
    let mut caller = harness.connect().await;
    let text = request("book", "r1", "body");
    let (begin, rest) = text.split_at(20);
    caller.write_all(begin.as_bytes()).await.expect("written");
    sleep(Duration::from_millis(50)).await;
    let closing = actix_rt::spawn(harness.program.close());
    sleep(Duration::from_millis(1_600)).await;
    caller.write_all(rest.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert_eq!(status(&response), "503", "{response}");
    assert!(
        response.to_lowercase().contains("retry-after"),
        "{response}"
    );
    assert!(
        response.to_lowercase().contains("connection: close"),
        "{response}"
    );
    assert_eq!(server.count(), 0, "the request was sent");
    assert_eq!(closing.await.expect("the stop ends"), 0);
}

// Guards against: a request that the endpoint has when the process ends is cut without a response.
#[actix_rt::test]
async fn a_request_that_outlasts_a_stop_gets_a_final_response() {
    let (server, harness) = host(Duration::from_secs(1)).await;
    let mut caller = harness.connect().await;
    let text = request("book", "r1", "body");
    caller.write_all(text.as_bytes()).await.expect("written");
    while server.count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let closing = actix_rt::spawn(harness.program.close());
    let response = read_response(&mut caller).await;
    assert!(is_complete(&response), "{response}");
    assert_eq!(status(&response), "504", "{response}");
    assert_eq!(closing.await.expect("the stop ends"), 0);
}

// Guards against: a request that waits for an endpoint when the process ends is cut, though it has not run.
#[actix_rt::test]
async fn a_request_that_waits_through_a_stop_is_told_that_it_has_not_run() {
    let (_server, harness) = host(Duration::from_millis(200)).await;
    harness.store.put("endpoints", "e0", None);
    while harness.program.edge().roster.borrow().endpoints().count() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let mut caller = harness.connect().await;
    let closing = actix_rt::spawn(harness.program.close());
    let text = request("book", "r1", "body");
    caller.write_all(text.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert_eq!(status(&response), "503", "{response}");
    closing.await.expect("the stop ends");
}

// Guards against: a request that is whole while a stop writes its last heartbeat is passed on and cut, or is cut
// before it is whole though the grace time is not over.
#[rstest]
#[case::before_the_last_heartbeat(Duration::from_millis(850))]
#[case::during_the_last_heartbeat(Duration::from_millis(950))]
#[case::long_after_it(Duration::from_millis(2_000))]
#[actix_rt::test]
async fn a_request_that_is_being_sent_holds_up_the_end_of_a_stop(#[case] whole_after: Duration) {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    // Each heartbeat of the stop takes this long; without requests the last one ends after 1 s.
    harness.store.commit_time.set(Duration::from_millis(100));
    let mut caller = harness.connect().await;
    let text = request("book", "r1", "body");
    let (begin, rest) = text.split_at(20);
    caller.write_all(begin.as_bytes()).await.expect("written");
    sleep(Duration::from_millis(50)).await;
    let started = Instant::now();
    let closing = actix_rt::spawn(harness.program.close());
    sleep_until(started + whole_after).await;
    assert!(!closing.is_finished(), "the process has ended");
    caller.write_all(rest.as_bytes()).await.expect("written");
    let cut = closing.await.expect("the stop ends");
    assert_eq!(cut, 0, "requests in flight at the end");
    let response = read_response(&mut caller).await;
    assert!(is_complete(&response), "{response}");
}

// Guards against: a request is taken after the last look at the requests in flight.
#[actix_rt::test]
async fn a_request_that_is_whole_after_the_last_look_is_refused_and_not_sent() {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = harness.connect().await;
    let text = request("book", "r1", "body");
    let (begin, rest) = text.split_at(20);
    caller.write_all(begin.as_bytes()).await.expect("written");
    sleep(Duration::from_millis(50)).await;
    harness.program.edge().leave();
    harness.program.edge().enter(Phase::Sealed);
    caller.write_all(rest.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert_eq!(status(&response), "503", "{response}");
    assert_eq!(server.count(), 0, "the request was sent");
}

// Guards against: a host that begins to stop closes a kept connection while a request is on its way.
#[actix_rt::test]
async fn a_request_on_a_kept_connection_gets_a_response_when_a_stop_has_begun() {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = kept(&harness).await;
    let closing = actix_rt::spawn(harness.program.close());
    sleep(Duration::from_millis(100)).await;
    let second = request("book", "r2", "body");
    caller.write_all(second.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert!(response.ends_with("fine"), "{response}");
    let head = response.to_lowercase();
    assert!(head.contains("connection: close"), "{response}");
    assert_eq!(closing.await.expect("the stop ends"), 0);
}

// Guards against: a connection is closed for its idleness while the kernel holds a request that the runtime has not
// noticed, as on a busy machine.
#[actix_rt::test]
async fn a_request_in_the_kernel_is_read_before_its_connection_is_closed() {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = kept(&harness).await;
    // Between these lines the runtime looks at no socket.
    let second = request("book", "r2", "body");
    let written = caller.try_write(second.as_bytes());
    harness.program.edge().leave();
    harness.program.edge().enter(Phase::Closing);
    assert_eq!(written.expect("written"), second.len());
    let response = read_response(&mut caller).await;
    assert!(response.ends_with("fine"), "{response}");
}

// Guards against: a host that is stopping accepts a connection and closes it before the request has come.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::late(Duration::from_millis(200))]
#[actix_rt::test]
async fn a_connection_that_is_accepted_in_a_stop_gets_a_response(#[case] pause: Duration) {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    let front = harness.settings.listen.front;
    let closing = actix_rt::spawn(harness.program.close());
    sleep(Duration::from_millis(700)).await;
    let mut caller = TcpStream::connect(front).await.expect("the host accepts");
    // The host sees the connection before the request.
    sleep(pause.max(Duration::from_millis(5))).await;
    let text = request("book", "r1", "body");
    caller.write_all(text.as_bytes()).await.expect("written");
    let response = read_response(&mut caller).await;
    assert!(response.ends_with("fine"), "{response}");
    assert_eq!(closing.await.expect("the stop ends"), 0);
}

// Guards against: a request that was read behind another one is dropped without a response in a stop.
#[actix_rt::test]
async fn a_request_that_is_pipelined_in_a_stop_gets_a_response() {
    let server = Server::start(vec![SLOW.to_vec()]).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = kept(&harness).await;
    let closing = actix_rt::spawn(harness.program.close());
    sleep(Duration::from_millis(100)).await;
    let both = request("book", "r1", "body") + &request("book", "r2", "body");
    caller.write_all(both.as_bytes()).await.expect("written");
    let first = read_response(&mut caller).await;
    assert!(first.ends_with("fine"), "{first}");
    let second = read_response(&mut caller).await;
    assert!(is_complete(&second), "{second}");
    assert_eq!(closing.await.expect("the stop ends"), 0);
}

// Guards against: a request that is half sent at the end of a stop counts as cut, and its connection ends without
// a response.
#[actix_rt::test]
async fn a_request_that_is_half_sent_at_the_end_of_a_stop_is_refused() {
    let (_server, harness) = host(Duration::from_secs(1)).await;
    let mut caller = harness.connect().await;
    let text = request("book", "r1", "body");
    let (begin, _) = text.split_at(20);
    caller.write_all(begin.as_bytes()).await.expect("written");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(harness.program.close().await, 0, "requests that are cut");
    let response = read_response(&mut caller).await;
    assert_eq!(status(&response), "503", "{response}");
}

/// Responds to every request.
struct Fine;

impl Responder for Fine {
    fn respond<'a>(&'a self, _incoming: &'a Incoming) -> LocalBoxFuture<'a, Response> {
        Box::pin(ready(Response::bare(StatusCode::OK)))
    }
}

// Guards against: connections that the kernel has queued are reset when a listener is closed.
#[actix_rt::test]
async fn a_connection_that_is_queued_when_the_listener_is_closed_gets_a_response() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = server::bind(any).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut caller = TcpStream::connect(address).await.expect("connected");
    let text = request("read", "r1", "");
    caller.write_all(text.as_bytes()).await.expect("written");
    server::serve(listener, Rc::new(Adapter(Fine)), ready(())).await;
    let response = read_response(&mut caller).await;
    assert_eq!(status(&response), "200", "{response}");
    assert!(TcpStream::connect(address).await.is_err(), "still accepts");
}
