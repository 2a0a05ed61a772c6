//! Guards against gates that together send an endpoint more than it says that it takes, also while a
//! host is replaced.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_proof::caller::booking;
use agate_proof::deployment::{Deployment, Options};
use agate_proof::resources;
use agate_proof::wait::POLL;
use agate_wire::manifest::Manifest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Response of the endpoint, which takes one request a second.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nserver-limit: 1\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
/// Time from the first response with a limit until the limit holds.
const NOTICE: Duration = Duration::from_secs(3);
/// Span in which requests are counted, and the requests that it may have.
const SPAN: Duration = Duration::from_secs(4);
const ALLOWED: usize = 11;

/// Times at which the endpoint got requests.
type Times = Rc<RefCell<Vec<Instant>>>;

async fn respond(mut stream: TcpStream, times: Times) {
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
    let _ = stream.write_all(RESPONSE).await;
    let _ = stream.shutdown().await;
    let _ = stream.read(&mut buffer).await;
}

/// Starts an endpoint that names its limit in each response.
async fn limited() -> (SocketAddr, Times) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let times = Times::default();
    let log = times.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(respond(stream, log.clone()));
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
        tokio::time::sleep(POLL).await;
    }
}

#[actix_rt::test]
async fn gates_together_keep_to_a_limit_while_a_host_is_replaced() {
    let options = Options {
        hosts: 3,
        ..Options::default()
    };
    let mut deployment = Deployment::start(options).await;
    let key = deployment.grant_key("limited").await;
    let (address, times) = limited().await;
    let endpoint = resources::service("floor-limited", address);
    let operator = deployment.operator(0);
    operator.apply(&[Manifest::Endpoint(endpoint)]).await;
    send(&deployment, &key, &[0, 1, 2], NOTICE + SPAN).await;
    deployment.replace_host(0);
    send(&deployment, &key, &[1, 2], SPAN).await;
    deployment.hosts[0].wait_until_ready().await;
    send(&deployment, &key, &[0, 1, 2], SPAN * 2).await;
    let times = times.borrow();
    let held: Vec<Instant> = times
        .iter()
        .copied()
        .filter(|at| *at >= times[0] + NOTICE)
        .collect();
    let counts = held.iter().enumerate().map(|(n, from)| {
        let later = &held[n..];
        later.partition_point(|at| *at < *from + SPAN)
    });
    let most = counts.max().unwrap_or(0);
    assert!(most <= ALLOWED, "{most} in a span, {ALLOWED} allowed");
    assert!(held.len() >= 3, "{} after the notice: not used", held.len());
}
