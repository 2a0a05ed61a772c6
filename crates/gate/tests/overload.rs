//! Callers that send too much or too slowly, or open too many connections.

mod support;

use std::time::Duration;

use support::{Deployment, Endpoint, KEY, run, service, settings, text, until};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const SHORT: Duration = Duration::from_millis(200);

async fn start(change: impl FnOnce(&mut agate_gate::settings::Limits)) -> (Endpoint, Deployment) {
    let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
    let mut settings = settings();
    change(&mut settings.limits);
    let deployment = Deployment::with(settings, vec![service("s1", upstream.address)]).await;
    (upstream, deployment)
}

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.program.address())
        .await
        .expect("the gate listens")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.as_bytes())
        .await
        .expect("an open connection");
}

/// Reads until the connection is closed.
async fn read_rest(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).expect("text")
}

fn head(length: usize) -> String {
    format!(
        "POST /records/1 HTTP/1.1\r\nhost: gate\r\nauthorization: Bearer {KEY}\r\ncontent-length: {length}\r\n"
    )
}

#[test]
fn a_large_body_is_refused() {
    run(async {
        let (upstream, deployment) =
            start(|limits| limits.body = "1KiB".parse().expect("a size")).await;
        let reply = deployment
            .call("POST", "/records/1", &"x".repeat(1025))
            .await;
        assert_eq!(reply.refusal(), ("body_too_large".into(), "not run".into()));
        let reply = deployment
            .call("POST", "/records/1", &"x".repeat(1024))
            .await;
        assert_eq!((reply.status, upstream.count()), (200, 1));
    });
}

#[test]
fn a_slow_body_is_refused() {
    run(async {
        let (upstream, deployment) = start(|limits| limits.body_timeout = SHORT).await;
        let mut stream = connect(&deployment).await;
        send(&mut stream, &(head(1000) + "\r\nx")).await;
        let reply = read_rest(&mut stream).await;
        assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
        assert!(reply.contains("slow_request") && reply.contains("not run"));
        assert_eq!(upstream.count(), 0);
        until(|| deployment.gate.connections.get() == 0).await;
    });
}

#[test]
fn a_slow_head_is_refused() {
    run(async {
        let (_, deployment) = start(|limits| limits.head_timeout = SHORT).await;
        let mut stream = connect(&deployment).await;
        send(&mut stream, "GET /records/1 HTTP/1.1\r\nhost: ").await;
        let reply = read_rest(&mut stream).await;
        assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
        until(|| deployment.gate.connections.get() == 0).await;
    });
}

#[test]
fn a_slow_second_head_closes_the_connection() {
    run(async {
        let (_, deployment) = start(|limits| {
            limits.head_timeout = SHORT;
            limits.keep_alive = SHORT;
        })
        .await;
        let mut stream = connect(&deployment).await;
        send(&mut stream, &(head(0) + "\r\n")).await;
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.expect("the gate responds");
        assert!(buffer[..count].starts_with(b"HTTP/1.1 200"));
        send(&mut stream, "GET /records/1 HTTP/1.1\r\nhost: ").await;
        read_rest(&mut stream).await;
        until(|| deployment.gate.connections.get() == 0).await;
    });
}

#[test]
fn a_large_head_is_refused() {
    run(async {
        let (upstream, deployment) = start(|_| {}).await;
        let mut stream = connect(&deployment).await;
        let filler = "x".repeat(1000);
        let mut request = head(0);
        for at in 0..200 {
            request += &format!("x-{at}: {filler}\r\n");
        }
        let _ = stream.write_all(request.as_bytes()).await;
        let reply = read_rest(&mut stream).await;
        assert!(reply.starts_with("HTTP/1.1 4"), "{reply}");
        assert_eq!(upstream.count(), 0);
    });
}

#[test]
fn connections_above_the_limit_are_refused() {
    run(async {
        let (_, deployment) = start(|limits| limits.connections = 2).await;
        let mut kept = Vec::new();
        for _ in 0..2 {
            let mut stream = connect(&deployment).await;
            send(&mut stream, &(head(0) + "\r\n")).await;
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).await.expect("the gate responds");
            assert!(buffer[..count].starts_with(b"HTTP/1.1 200"));
            kept.push(stream);
        }
        let mut stream = connect(&deployment).await;
        send(&mut stream, &(head(0) + "\r\n")).await;
        let reply = read_rest(&mut stream).await;
        assert!(
            reply.starts_with("HTTP/1.1 503") && reply.contains("connection_limit"),
            "{reply}"
        );
        assert!(reply.contains("not run") && reply.contains("retry-after"));
        assert!((deployment.refusals("connection_limit") - 1.0).abs() < f64::EPSILON);
        drop(kept);
        until(|| deployment.gate.connections.get() == 0).await;
        assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
    });
}

#[test]
fn every_reason_has_a_counter_at_startup() {
    run(async {
        let (_, deployment) = start(|_| {}).await;
        for reason in agate_model::refusal::Reason::ALL {
            assert!(deployment.refusals(reason.code()).abs() < f64::EPSILON);
        }
        for retry in agate_gate::metrics::Retry::ALL {
            assert!(deployment.retries(retry.code()).abs() < f64::EPSILON);
        }
    });
}
