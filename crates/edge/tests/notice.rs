//! Endpoints that say that they are leaving, and endpoints that ask for a pause.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, request, status};
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const LEAVING: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\n\
                       content-length: 4\r\n\r\nfine";
const LEAVING_FAILED: &str = "HTTP/1.1 500 No\r\nx-id: {id}\r\nx-signed: 1\r\nx-leaving: 1\r\n\
                              content-length: 0\r\n\r\n";
const LEAVING_FULL: &str = "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nx-leaving: 1\r\n\
                            content-length: 0\r\n\r\n";
const PAUSE: &str = "HTTP/1.1 503 Full\r\nx-id: {id}\r\nx-not-run: 1\r\nretry-after: 2\r\n\
                     content-length: 0\r\n\r\n";

// Guards against: an endpoint that says in a response that it is leaving gets new requests.
#[rstest]
#[case::answer(LEAVING)]
#[case::failure(LEAVING_FAILED)]
#[case::refusal(LEAVING_FULL)]
#[actix_rt::test]
async fn a_leaving_endpoint_gets_no_new_requests_whatever_the_list_says(
    #[case] response: &'static str,
) {
    let leaving = Server::start(vec![vec![Step::Write(response)]]).await;
    let staying = Server::start(vec![vec![Step::Write(OK)]]).await;
    let bench = Harness::start(&[&leaving, &staying]).await;
    let mut n = 0;
    while leaving.count() == 0 && n < 64 {
        bench.call(&request("read", &format!("r{n}"), "")).await;
        n += 1;
    }
    let marked = leaving.count();
    assert_eq!(marked, 1, "the endpoint was not tried, or tried again");
    // The list loses the row and names the same incarnation again.
    bench.store.put("endpoints", "e0", None);
    sleep(Duration::from_millis(300)).await;
    let address = leaving.address.to_string();
    bench.store.put("endpoints", "e0", Some(&address));
    sleep(Duration::from_millis(300)).await;
    for n in 0..20 {
        let response = bench.call(&request("read", &format!("s{n}"), "")).await;
        assert_eq!(status(&response), "200");
    }
    assert_eq!(leaving.count(), marked);
}

#[actix_rt::test]
async fn a_service_whose_endpoints_all_leave_is_refused_at_once() {
    let leaving = Server::start(vec![vec![Step::Write(LEAVING)]]).await;
    let bench = Harness::start(&[&leaving]).await;
    assert_eq!(status(&bench.call(&request("read", "r1", "")).await), "200");
    let response = bench.call(&request("read", "r2", "")).await;
    assert_eq!(status(&response), "503", "{response}");
    assert_eq!(leaving.count(), 1);
}

// Guards against: requests reach an endpoint that has asked for a pause.
#[actix_rt::test]
async fn a_paused_endpoint_gets_nothing_until_its_time_is_over() {
    let paused = Server::start(vec![vec![Step::Write(PAUSE)], vec![Step::Write(OK)]]).await;
    let other = Server::start(vec![vec![Step::Write(OK)]]).await;
    let bench = Harness::start(&[&paused, &other]).await;
    let mut n = 0;
    while paused.count() == 0 && n < 64 {
        let response = bench.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&response), "200");
        n += 1;
    }
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_900) {
        let response = bench.call(&request("read", &format!("p{n}"), "")).await;
        assert_eq!(status(&response), "200");
        n += 1;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(paused.count(), 1);
    // A pause is no failure: the endpoint is used like the other one afterwards.
    sleep(Duration::from_millis(500)).await;
    for n in 0..30 {
        bench.call(&request("read", &format!("q{n}"), "")).await;
    }
    assert!(paused.count() > 5, "{}", paused.count());
}

#[actix_rt::test]
async fn callers_are_told_when_the_first_paused_endpoint_returns() {
    let paused = Server::start(vec![vec![Step::Write(PAUSE)], vec![Step::Write(OK)]]).await;
    let bench = Harness::start(&[&paused]).await;
    bench.call(&request("book", "r1", "body")).await;
    let start = Instant::now();
    let response = bench.call(&request("book", "r2", "body")).await;
    assert_eq!(status(&response), "503", "{response}");
    assert!(start.elapsed() < Duration::from_millis(200), "held back");
    let text = response.to_ascii_lowercase();
    let wait = text
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let wait: f64 = wait.and_then(|wait| wait.parse().ok()).expect("a wait");
    assert!((1.5..=2.8).contains(&wait), "{wait}");
    sleep(Duration::from_secs_f64(wait)).await;
    let response = bench.call(&request("book", "r3", "body")).await;
    assert_eq!(status(&response), "200", "{response}");
    assert_eq!(paused.count(), 2);
}
