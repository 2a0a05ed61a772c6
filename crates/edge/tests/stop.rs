//! Requests that come late in a planned stop, or last longer than it.

mod support;

use std::time::Duration;

use support::{Harness, Server, Step, is_complete, read_response, request, settings, status};
use tokio::io::AsyncWriteExt as _;
use tokio::time::sleep;

const SILENT: [Step; 1] = [Step::Wait(Duration::from_secs(10))];

/// Starts a host whose stop takes `grace`, with an endpoint that never answers.
async fn host(grace: Duration) -> (Server, Harness) {
    let server = Server::start(vec![SILENT.to_vec()]).await;
    let mut settings = settings().await;
    settings.bounds.grace = grace;
    let harness = Harness::with_duties(Harness::store(&[&server]), settings, None).await;
    (server, harness)
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
