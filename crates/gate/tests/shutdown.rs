//! Graceful shutdown: new and running requests, usage, and what a drain timeout cuts off.

mod support;

use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use support::raw::{Behaviour, RawServer};
use support::{
    DONE, Deployment, Endpoint, engine, event, event_stream, run, service, settings, text, until,
};

fn leaving_settings() -> agate_gate::settings::Settings {
    let mut settings = settings();
    settings.keep_addresses = Duration::from_millis(400);
    settings
}

/// Starts an engine that streams four chunks, 200 ms apart.
async fn slow_engine() -> Endpoint {
    Endpoint::start(|_| async {
        let chunks = futures_util::stream::unfold(0_u64, |index| async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let data = match index {
                0..=3 => event(index, "x", index == 3),
                4 => DONE.to_owned(),
                _ => return None,
            };
            Some((Ok::<_, std::io::Error>(Bytes::from(data)), index + 1))
        });
        let body = actix_http::body::BodyStream::new(Box::pin(chunks));
        event_stream(String::new()).map_body(|_, _| actix_http::body::BoxBody::new(body))
    })
    .await
}

#[test]
fn a_leaving_host_serves_until_callers_no_longer_keep_its_address() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let deployment =
            Deployment::with(leaving_settings(), vec![service("s1", upstream.address)]).await;
        let Deployment {
            gate,
            steer,
            program,
            client,
        } = deployment;
        let address = program.address();
        let closing = actix_rt::spawn(program.close());
        until(|| gate.activity.phase() == agate_gate::activity::Phase::Leaving).await;
        let get = async |path: &str| {
            let sent = client.get(format!("http://{address}{path}")).send().await;
            sent.map(|response| response.status().as_u16())
        };
        assert_eq!(get("/readyz").await.expect("a response"), 503);
        assert_eq!(get("/prices/1").await.expect("a response"), 200);
        until(|| {
            steer
                .requests
                .borrow()
                .last()
                .is_some_and(|request| request.leaving)
        })
        .await;
        let loss = closing.await.expect("the shutdown ends");
        assert!(loss.is_none());
        assert!(get("/prices/1").await.is_err());
    });
}

#[test]
fn a_running_stream_completes_and_its_usage_is_reported() {
    run(async {
        let upstream = slow_engine().await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        let client = deployment.client.clone();
        let url = deployment.url("/v1/chat/completions");
        let call = actix_rt::spawn(async move {
            let mut response = client
                .post(url)
                .insert_header(("authorization", format!("Bearer {}", support::KEY)))
                .send_body(support::chat_body(true))
                .await
                .expect("a response");
            response.body().await.expect("a complete body")
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert!(loss.is_none(), "{loss:?}");
        let body = call.await.expect("the call ends");
        assert!(body.ends_with(DONE.as_bytes()));
        let usage = deployment.steer.usage();
        assert_eq!(usage[0].figures.answer_tokens, 4);
    });
}

#[test]
fn requests_cut_off_by_the_drain_timeout_are_reported() {
    run(async {
        let upstream = slow_engine().await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        settings.drain_timeout = Duration::from_millis(50);
        let deployment = Deployment::with(settings, vec![engine("e1", upstream.address)]).await;
        let chat = deployment
            .client
            .post(deployment.url("/v1/chat/completions"));
        let call = actix_rt::spawn(async move {
            let sent = chat
                .insert_header(("authorization", format!("Bearer {}", support::KEY)))
                .send_body(support::chat_body(true));
            let _response = sent.await;
            tokio::time::sleep(Duration::from_secs(5)).await;
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert_eq!(loss.requests, 1);
        call.abort();
    });
}

// Guards against: a request that an endpoint has when the host ends is cut without a response.
#[rstest]
#[case::plain("/bookings/1", false)]
#[case::completion("/v1/chat/completions", false)]
#[case::stream("/v1/chat/completions", true)]
fn a_request_that_outlasts_the_drain_timeout_gets_a_final_response(
    #[case] target: &'static str,
    #[case] stream: bool,
) {
    run(async {
        let upstream = RawServer::start(Behaviour::Silent).await;
        let mut settings = leaving_settings();
        settings.keep_addresses = Duration::from_millis(50);
        settings.drain_timeout = Duration::from_millis(400);
        let endpoints = vec![
            engine("e1", upstream.address),
            service("s1", upstream.address),
        ];
        let deployment = Deployment::with(settings, endpoints).await;
        let call = deployment
            .client
            .post(deployment.url(target))
            .insert_header(("authorization", format!("Bearer {}", support::KEY)))
            .send_body(support::chat_body(stream));
        let call = actix_rt::spawn(async move {
            let mut response = call.await.expect("a response");
            let body = response.body().await.expect("a complete body");
            (response.status().as_u16(), body)
        });
        until(|| upstream.count() >= 1).await;
        let loss = deployment.program.close().await;
        assert_eq!(loss.requests, 0);
        let (status, body) = call.await.expect("the call ends");
        assert_eq!(status, 504);
        assert!(
            String::from_utf8_lossy(&body).contains("unknown"),
            "{body:?}"
        );
    });
}
