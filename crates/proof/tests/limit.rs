//! Guards against gates that together send an endpoint more than it says that it takes, also while a
//! host is replaced.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_proof::caller::booking;
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use agate_proof::resources;
use agate_proof::wait::POLL;
use agate_wire::manifest::Manifest;
use awc::http::Method;
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time from the first response with a limit until the limit holds.
const NOTICE: Duration = Duration::from_secs(3);
/// Span in which requests are counted, and the requests that it may have.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = 11;

/// Times at which the endpoint got requests.
type Times = Rc<RefCell<Vec<Instant>>>;

async fn respond(mut stream: TcpStream, limit: u32, times: Times) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    times.borrow_mut().push(Instant::now());
    // A gate that is gone does not matter here.
    let response = format!(
        "HTTP/1.1 200 OK\r\nserver-limit: {limit}\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}"
    );
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
    let _ = stream.read(&mut buffer).await;
}

/// Starts an endpoint that names its limit, in requests a second, in each response.
async fn limited(limit: u32) -> (SocketAddr, Times) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let times = Times::default();
    let log = times.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(respond(stream, limit, log.clone()));
        }
    });
    (address, times)
}

/// Sends bookings through these gates in turn; each has to succeed.
async fn send(deployment: &Deployment, key: &str, gates: &[usize], time: Duration) {
    let start = Instant::now();
    for (n, gate) in gates.iter().cycle().enumerate() {
        if start.elapsed() >= time {
            break;
        }
        let request = booking(deployment.gate(*gate), key, &format!("lap-{n}"));
        let response = request.send().await.expect("a response");
        assert_eq!(response.status, 200);
        sleep(POLL).await;
    }
}

/// Returns the times from which the limit holds.
fn held(times: &Times) -> Vec<Instant> {
    let times = times.borrow();
    let held = times.iter().filter(|at| **at >= times[0] + NOTICE);
    held.copied().collect()
}

fn most_in_a_span(times: &[Instant]) -> usize {
    let counts = times.iter().enumerate().map(|(n, from)| {
        let later = &times[n..];
        later.partition_point(|at| *at < *from + SPAN)
    });
    counts.max().unwrap_or(0)
}

#[actix_rt::test]
async fn gates_together_keep_to_a_limit_while_a_host_is_replaced() {
    let options = Options {
        hosts: 3,
        ..Options::default()
    };
    let mut deployment = Deployment::start(options).await;
    let key = deployment.grant_key("limited").await;
    let (address, times) = limited(1).await;
    let endpoint = resources::service("floor-limited", address);
    let operator = deployment.operator(0);
    operator.apply(&[Manifest::Endpoint(endpoint)]).await;
    send(&deployment, &key, &[0, 1, 2], NOTICE + SPAN).await;
    deployment.replace_host(0);
    send(&deployment, &key, &[1, 2], SPAN).await;
    deployment.hosts[0].wait_until_ready().await;
    send(&deployment, &key, &[0, 1, 2], SPAN * 2).await;
    let held = held(&times);
    let most = most_in_a_span(&held);
    assert!(most <= ALLOWED, "{most} in a span, {ALLOWED} allowed");
    assert!(held.len() >= 3, "{} after the notice: not used", held.len());
}

// Guards against: gates that own no part of a limit refuse all that only the limited endpoint could serve (issue 56).
#[actix_rt::test]
async fn each_gate_serves_where_only_a_limited_endpoint_is_left() {
    let options = Options {
        hosts: 3,
        ..Options::default()
    };
    let deployment = Deployment::start(options).await;
    let key = deployment.grant_key("laps").await;
    let (address, times) = limited(3).await;
    let mut endpoint = resources::service("lap-counter", address);
    endpoint.pool = "laps".to_owned();
    let manifests = [
        resources::pool("laps", None),
        resources::route("laps", None, Some("/laps"), "lookup", "laps"),
        Manifest::Endpoint(endpoint),
    ];
    deployment.operator(0).apply(&manifests).await;
    let start = Instant::now();
    let callers = (0..3).map(|gate| {
        let request = Request::new(Method::GET, deployment.gate(gate), "/laps")
            .header("authorization", format!("Bearer {key}"));
        async move {
            let mut served = 0;
            while start.elapsed() < NOTICE + SPAN * 4 {
                let response = timeout(SPAN, request.send()).await;
                let is_served = response.is_ok_and(|sent| sent.expect("a response").status == 200);
                served += usize::from(is_served && start.elapsed() > NOTICE + SPAN);
                sleep(POLL).await;
            }
            served
        }
    });
    let served = join_all(callers).await;
    let most = most_in_a_span(&held(&times));
    assert!(most <= 23, "{most} in a span, 23 allowed");
    assert!(served.iter().all(|count| *count >= 3), "{served:?}");
}
