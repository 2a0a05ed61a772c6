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

const FIVE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-limit: 5\r\n\
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

// Guards against: hosts that restart, and have forgotten the limit and what they granted, send too much.
#[actix_rt::test]
async fn a_limit_holds_while_hosts_restart() {
    let limited = Server::start(vec![vec![Step::Write(ONE)]]).await;
    let other = Server::start(vec![vec![Step::Write(OK)]]).await;
    let mut hosts = vec![Harness::start(&[&limited, &other]).await];
    for name in ["two", "three"] {
        let peer = hosts[0].start_peer(name).await;
        hosts.push(peer);
    }
    for _ in 0..5 {
        let all: Vec<&Harness> = hosts.iter().collect();
        send(&all, Duration::from_secs(2)).await;
        let ended = hosts.remove(0);
        let restarted = ended.start_peer(&ended.settings.host).await;
        ended.program.kill();
        hosts.push(restarted);
    }
    let most = most_in_a_span(&limited);
    assert!(most <= 11, "{most} in a span, 11 allowed");
}

// Guards against: a host that has had no response of a limited endpoint does not know of the limit.
#[actix_rt::test]
async fn a_host_learns_of_a_limit_from_others() {
    let limited = Server::start(vec![vec![Step::Write(ONE)]]).await;
    let first = Harness::start(&[&limited]).await;
    let second = first.start_peer("two").await;
    first.call(&request("read", "r1", "")).await;
    sleep(NOTICE).await;
    assert_eq!(second.program.edge().board.borrow().limited_count(), 1);
    // So does one that starts later.
    let third = first.start_peer("three").await;
    sleep(NOTICE).await;
    assert_eq!(third.program.edge().board.borrow().limited_count(), 1);
    assert_eq!(limited.count(), 1);
}

// Guards against: an endpoint that names its limit no more stays limited.
#[actix_rt::test]
async fn a_limit_ends_soon_after_the_endpoint_names_none() {
    let mut scripts = vec![vec![Step::Write(FIVE)]; 8];
    scripts.push(vec![Step::Write(OK)]);
    let limited = Server::start(scripts).await;
    let other = Server::start(vec![vec![Step::Write(OK)]]).await;
    let first = Harness::start(&[&limited, &other]).await;
    let second = first.start_peer("two").await;
    let hosts = [&first, &second];
    let start = Instant::now();
    while limited.count() <= 8 && start.elapsed() < Duration::from_secs(12) {
        send(&hosts, Duration::from_millis(100)).await;
    }
    let ended = Instant::now();
    send(&hosts, NOTICE).await;
    let requests = limited.requests.borrow();
    let later = requests.iter().filter(|received| received.at > ended);
    assert!(later.count() > 40, "the endpoint is still limited");
    drop(requests);
    for host in hosts {
        assert_eq!(host.program.edge().board.borrow().limited_count(), 0);
    }
}

// Guards against: where all endpoints of a service have limits, requests exceed them, are held until their callers
// give up, or are refused although they have run.
#[actix_rt::test]
async fn requests_wait_or_are_refused_where_no_other_endpoint_is_left() {
    let limited = Server::start(vec![vec![Step::Write(FIVE)]]).await;
    let first = Harness::start(&[&limited]).await;
    let second = first.start_peer("two").await;
    sleep(Duration::from_secs(5)).await;
    let start = Instant::now();
    let calls = (0..240).map(|n| {
        let host = if n % 2 == 0 { &first } else { &second };
        async move {
            sleep(Duration::from_millis(25 * n)).await;
            let sent = Instant::now();
            let response = host.call(&request("book", &format!("r{n}"), "body")).await;
            (response, sent.elapsed())
        }
    });
    let responses = futures_util::future::join_all(calls).await;
    let served = responses.iter().filter(|(text, _)| status(text) == "200");
    let served = served.count();
    assert_eq!(served, limited.count(), "a refused request has run");
    let time = start.elapsed().as_secs_f64();
    assert!(
        (2.0 * time..6.0 * time).contains(&(served as f64)),
        "{served} in {time} s"
    );
    for (text, took) in &responses {
        let is_refused = status(text) == "503" && text.to_ascii_lowercase().contains("retry-after");
        assert!(status(text) == "200" || is_refused, "{text}");
        assert!(*took < Duration::from_secs(1), "held for {took:?}");
    }
    let most = most_in_a_span(&limited);
    assert!(most <= 35, "{most} in a span, 35 allowed");
}

// Guards against: while the store is away a limit does not hold, or nothing is sent to the endpoint any more.
#[actix_rt::test]
async fn a_limit_holds_while_the_store_is_away() {
    let limited = Server::start(vec![vec![Step::Write(FIVE)]]).await;
    let other = Server::start(vec![vec![Step::Write(OK)]]).await;
    let first = Harness::start(&[&limited, &other]).await;
    let second = first.start_peer("two").await;
    let hosts = [&first, &second];
    send(&hosts, Duration::from_millis(6_500)).await;
    first.store.is_down.set(true);
    // The rows of hosts are from before; requests with a key are refused after some seconds.
    sleep(Duration::from_millis(1_500)).await;
    let before = limited.count();
    send(&hosts, Duration::from_millis(2_500)).await;
    let count = limited.count() - before;
    assert!((2..=20).contains(&count), "{count} in 2.5 s");
    let most = most_in_a_span(&limited);
    assert!(most <= 35, "{most} in a span, 35 allowed");
}

// Guards against: a value that is no number ends a limit, or makes one.
#[actix_rt::test]
async fn a_malformed_limit_says_nothing() {
    const MALFORMED: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\nx-limit: few\r\n\
                             content-length: 4\r\n\r\nfine";
    let scripts = vec![
        vec![Step::Write(MALFORMED)],
        vec![Step::Write(FIVE)],
        vec![Step::Write(MALFORMED)],
    ];
    let server = Server::start(scripts).await;
    let bench = Harness::start(&[&server]).await;
    let limits = || bench.program.edge().board.borrow().limited_count();
    bench.call(&request("read", "r1", "")).await;
    assert_eq!(limits(), 0);
    bench.call(&request("read", "r2", "")).await;
    assert_eq!(limits(), 1);
    // The next one waits until this host may own the endpoint.
    let start = Instant::now();
    while server.count() < 3 && start.elapsed() < Duration::from_secs(10) {
        bench.call(&request("read", "r3", "")).await;
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!((server.count(), limits()), (3, 1));
}
