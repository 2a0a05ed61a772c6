//! Graceful shutdown.

mod support;

use std::time::Duration;

use bytes::Bytes;
use support::{
    DONE, Deployment, Endpoint, engine, event, event_stream, run, service, settings, text, until,
};

fn leaving_settings() -> agate_gate::settings::Settings {
    let mut settings = settings();
    settings.keep_addresses = Duration::from_millis(400);
    settings
}

/// A stream of four chunks, 200 ms apart.
async fn slow_engine() -> Endpoint {
    Endpoint::start(|_| async {
        let parts = futures_util::stream::unfold(0_u64, |at| async move {
            tokio::time::sleep(Duration::from_millis(200)).await;
            let data = match at {
                0..=3 => event(at, "x", at == 3),
                4 => DONE.to_owned(),
                _ => return None,
            };
            Some((Ok::<_, std::io::Error>(Bytes::from(data)), at + 1))
        });
        let body = actix_http::body::BodyStream::new(Box::pin(parts));
        event_stream(String::new()).map_body(|_, _| actix_http::body::BoxBody::new(body))
    })
    .await
}

#[test]
fn a_leaving_host_serves_until_its_address_is_forgotten() {
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
            sent.map(|it| it.status().as_u16())
        };
        assert_eq!(get("/readyz").await.expect("an answer"), 503);
        assert_eq!(get("/prices/1").await.expect("an answer"), 200);
        until(|| steer.requests.borrow().last().is_some_and(|it| it.leaving)).await;
        let loss = closing.await.expect("the shutdown ends");
        assert!(loss.is_none());
        assert!(get("/prices/1").await.is_err());
    });
}

#[test]
fn a_stream_in_progress_ends_whole_and_is_counted() {
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
                .expect("an answer");
            response.body().await.expect("a whole body")
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
fn what_could_not_be_finished_is_told() {
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
