//! Endpoints that name the requests that they take from all hosts together.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Harness, Server, Step, request, status};
use tokio::time::{Instant, sleep};

const OK: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";
const ONE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-limit: 1\r\n\
                   content-length: 4\r\n\r\nfine";
const HALF: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-limit: 0.5\r\n\
                    content-length: 4\r\n\r\nfine";

/// Time from the first response with a limit until the limit holds.
const NOTICE: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Sends a request every 10 ms, to each host in turn, for as long as `time`. Returns the statuses.
async fn send(hosts: &[&Harness], time: Duration) -> Vec<String> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    for (n, host) in hosts.iter().cycle().enumerate() {
        if start.elapsed() > time {
            break;
        }
        let response = host.call(&request("read", &format!("r{n}"), "")).await;
        statuses.push(status(&response).to_owned());
        sleep(Duration::from_millis(10)).await;
    }
    statuses
}

/// Returns the most requests that a server got in one span after the notice.
fn most_in_a_span(server: &Server) -> usize {
    let requests = server.requests.borrow();
    let times: Vec<Instant> = requests.iter().map(|request| request.at).collect();
    let Some(first) = times.first() else {
        return 0;
    };
    let held = times.iter().filter(|at| **at >= *first + NOTICE);
    let counts = held.map(|from| {
        let within = |at: &&Instant| **at >= *from && **at < *from + SPAN;
        times.iter().filter(within).count()
    });
    counts.max().unwrap_or(0)
}

// Guards against: an endpoint that has named a limit gets the limit from each host, or no limit at all (issue 56).
#[rstest]
#[case::one(ONE, 1.0)]
#[case::half(HALF, 0.5)]
#[actix_rt::test]
async fn a_limit_holds_over_all_hosts_and_work_goes_elsewhere(
    #[case] response: &'static str,
    #[case] rate: f64,
) {
    let limited = Server::start(vec![vec![Step::Write(response)]]).await;
    let other = Server::start(vec![vec![Step::Write(OK)]]).await;
    let first = Harness::start(&[&limited, &other]).await;
    let second = first.start_peer("two").await;
    let third = first.start_peer("three").await;
    let statuses = send(&[&first, &second, &third], NOTICE + SPAN * 2).await;
    assert!(
        statuses.iter().all(|status| status == "200"),
        "{statuses:?}"
    );
    let allowed = 1.5 * rate * SPAN.as_secs_f64() + 5.0;
    let most = most_in_a_span(&limited);
    assert!(
        most as f64 <= allowed,
        "{most} in a span, {allowed} allowed"
    );
    assert!(most > 0, "the endpoint is not used any more");
}
