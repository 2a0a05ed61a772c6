//! Refusals report "not run" only if no endpoint received the request, and non-idempotent requests
//! are executed at most once.
//!
//! Each test compares the refusal with what a test server received.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use support::raw::{Behaviour, RawServer};
use support::{Deployment, Endpoint, KEY, engine, event, event_stream, run, service, text};

const SHORT_DEADLINE_MS: &str = "300";

async fn book(deployment: &Deployment) -> (String, String) {
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-agate-deadline-ms", SHORT_DEADLINE_MS),
    ];
    let reply = deployment
        .call_with("POST", "/bookings/1", &headers, "lap 3")
        .await;
    reply.refusal()
}

#[rstest]
#[case::close_immediately(Behaviour::CloseImmediately, "endpoint_failed")]
#[case::close_after_request(Behaviour::CloseAfterRequest, "endpoint_failed")]
#[case::reset(Behaviour::Reset, "endpoint_failed")]
#[case::silent(Behaviour::Silent, "endpoint_timeout")]
#[case::garbage(Behaviour::Garbage, "endpoint_failed")]
#[case::truncated(Behaviour::Truncated, "endpoint_failed")]
#[case::truncated_chunks(Behaviour::TruncatedChunks, "endpoint_failed")]
#[case::unframed(Behaviour::Unframed, "endpoint_failed")]
fn a_request_that_may_have_run_is_never_reported_as_not_run(
    #[case] behaviour: Behaviour,
    #[case] code: &str,
) {
    run(async {
        let first = RawServer::start(behaviour).await;
        let second = RawServer::start(behaviour).await;
        let endpoints = vec![service("s1", first.address), service("s2", second.address)];
        let deployment = Deployment::start(endpoints).await;
        assert_eq!(book(&deployment).await, (code.into(), "unknown".into()));
        assert_eq!(first.connections.get() + second.connections.get(), 1);
        assert!(first.count() + second.count() <= 1);
    });
}

#[test]
fn a_refused_connection_is_not_run_and_retried_on_another_endpoint() {
    run(async {
        let (closed, _socket) = support::closed_port();
        let deployment = Deployment::start(vec![service("s1", closed)]).await;
        assert_eq!(
            book(&deployment).await,
            ("endpoint_unreachable".into(), "not run".into())
        );
        let upstream = Endpoint::start(|_| async { text(200, "booked") }).await;
        let endpoints = vec![
            service("s1", closed),
            support::remote(service("s2", upstream.address)),
        ];
        let deployment = Deployment::start(endpoints).await;
        let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
        assert_eq!((reply.status, upstream.count()), (200, 1));
        assert!(deployment.retries("unreachable") > 0.0);
    });
}

#[test]
fn a_connection_that_is_never_accepted_is_not_run() {
    run(async {
        let (address, _full) = full_backlog().await;
        let mut settings = support::settings();
        settings.limits.connect_timeout = std::time::Duration::from_millis(50);
        let deployment = Deployment::with(settings, vec![service("s1", address)]).await;
        let (code, execution) = book(&deployment).await;
        assert_eq!(execution, "not run");
        assert!(
            code == "endpoint_unreachable" || code == "deadline_passed",
            "{code}"
        );
    });
}

#[test]
fn a_non_idempotent_request_uses_a_fresh_connection() {
    run(async {
        let upstream = RawServer::start(Behaviour::RespondThenClose).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        for count in 1..=3 {
            let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
            assert_eq!(reply.status, 200);
            assert_eq!(
                (upstream.connections.get(), upstream.count()),
                (count, count)
            );
        }
    });
}

#[test]
fn a_response_delimited_by_connection_close_is_complete() {
    run(async {
        let upstream = RawServer::start(Behaviour::CloseDelimited).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole"));
    });
}

#[test]
fn redirects_are_returned_to_the_caller() {
    run(async {
        let other = Endpoint::start(|_| async { text(200, "") }).await;
        let location = format!("http://{}/elsewhere", other.address);
        let upstream = Endpoint::start(move |_| {
            let location = location.clone();
            async move {
                let mut response = text(307, "");
                let value = location.parse().expect("a header value");
                response
                    .headers_mut()
                    .insert(actix_http::header::LOCATION, value);
                response
            }
        })
        .await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        let reply = deployment.call("POST", "/bookings/1", "lap 3").await;
        assert_eq!(reply.status, 307);
        assert!(reply.header("location").is_some());
        assert_eq!((upstream.count(), other.count()), (1, 0));
    });
}

#[rstest]
#[case::close_after_request(Behaviour::CloseAfterRequest, "broken")]
#[case::truncated(Behaviour::Truncated, "broken")]
#[case::truncated_chunks(Behaviour::TruncatedChunks, "broken")]
fn a_failed_idempotent_request_is_retried_on_another_endpoint(
    #[case] behaviour: Behaviour,
    #[case] reason: &str,
) {
    run(async {
        let broken = RawServer::start(behaviour).await;
        let upstream = Endpoint::start(|_| async { text(200, "record") }).await;
        let endpoints = vec![
            service("s1", broken.address),
            support::remote(service("s2", upstream.address)),
        ];
        let deployment = Deployment::start(endpoints).await;
        let reply = deployment.call("GET", "/records/1", "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "record"));
        assert_eq!((broken.count(), upstream.count()), (1, 1));
        assert!((deployment.retries(reason) - 1.0).abs() < f64::EPSILON);
    });
}

#[rstest]
#[case::idempotent("/records/1", 2)]
#[case::non_idempotent("/bookings/1", 1)]
fn only_idempotent_requests_are_retried_after_a_503(#[case] target: &str, #[case] sent: usize) {
    run(async {
        let first = Endpoint::start(|_| async { text(503, "busy") }).await;
        let second = Endpoint::start(|_| async { text(503, "busy") }).await;
        let endpoints = vec![service("s1", first.address), service("s2", second.address)];
        let deployment = Deployment::start(endpoints).await;
        let reply = deployment.call("POST", target, "").await;
        assert_eq!((reply.status, reply.body.as_str()), (503, "busy"));
        assert!(first.count() + second.count() >= sent);
        if sent == 1 {
            assert_eq!(first.count() + second.count(), 1);
        }
    });
}

#[test]
fn a_disconnected_caller_cancels_its_request_on_the_engine() {
    run(async {
        let upstream = Endpoint::start(|request| async move {
            if request.method == "POST" {
                tokio::time::sleep(std::time::Duration::from_secs(20)).await;
            }
            event_stream(event(0, "a", true))
        })
        .await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let bearer = format!("Bearer {KEY}");
        let call = deployment
            .client
            .post(deployment.url("/v1/chat/completions"))
            .insert_header(("authorization", bearer))
            .send_body(support::chat_body(true));
        let timed_out = tokio::time::timeout(std::time::Duration::from_millis(200), call).await;
        assert!(timed_out.is_err());
        support::until(|| upstream.count() == 2).await;
        let received = upstream.received.borrow().clone();
        let id = received[0]
            .header("x-request-id")
            .expect("the attempt carries a request ID")
            .to_owned();
        assert_eq!(received[1].method, "DELETE");
        assert_eq!(received[1].target, format!("/v1/streams/{id}"));
        support::until(|| deployment.gate.activity.is_idle()).await;
    });
}

/// Returns the address of a listener whose backlog is full, so that further connections are not
/// accepted, and the streams that fill it.
async fn full_backlog() -> (SocketAddr, Vec<tokio::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a free port");
    let listener = socket.listen(1).expect("a listening socket");
    let address = listener.local_addr().expect("a bound socket");
    std::mem::forget(listener);
    let mut streams = Vec::new();
    let connect_timeout = std::time::Duration::from_millis(100);
    while let Ok(Ok(stream)) =
        tokio::time::timeout(connect_timeout, tokio::net::TcpStream::connect(address)).await
    {
        streams.push(stream);
    }
    (address, streams)
}
